package rehearse

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"wheelrill/fake"
	"wheelrill/internal/process"
)

const (
	readyTimeout       = 30 * time.Second
	pollInterval       = 50 * time.Millisecond
	controllerCores    = 1
	controllerMemoryMB = 192
	controllerSockets  = 1024
)

// startControllers starts the controllers and waits until all of them respond. Then it starts the
// fleet and waits until all proxies are connected and have tables.
func (r *run) startControllers(ctx context.Context, listen, members []string) error {
	for i := range r.Controllers {
		c, err := r.newController(i, listen, members)
		if err != nil {
			return err
		}
		r.controllers = append(r.controllers, c)
	}
	for _, c := range r.controllers {
		if err := c.Start(); err != nil {
			return err
		}
	}
	pollUntil(ctx, readyTimeout, func() bool { return r.anyExited() || r.allRespond() })
	if r.anyExited() || !r.allRespond() {
		return fmt.Errorf("a controller has ended or did not respond within %s; see the logs in %s", readyTimeout, r.folder)
	}
	r.fleet.Start()
	if !pollUntil(ctx, readyTimeout, r.allProxiesReady) {
		return fmt.Errorf("not all proxies got tables within %s; see the controllers' logs in %s", readyTimeout, r.folder)
	}
	return nil
}

func (r *run) anyExited() bool {
	return slices.ContainsFunc(r.controllers, (*process.Controller).ExitedUnexpectedly)
}

func (r *run) allRespond() bool {
	for _, c := range r.controllers {
		if !c.Responds() {
			return false
		}
	}
	return true
}

func (r *run) allProxiesReady() bool {
	connected, _ := r.fleet.ConnectedProxies(0)
	return connected == r.Proxies && r.fleet.ProxiesUsing(r.fleet.Backends[0].ID) == r.Proxies
}

// pollUntil checks a condition repeatedly, and returns true once the condition holds. It returns
// false if the context ends or the timeout passes first.
func pollUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	timer := time.After(timeout)
	for !condition() {
		select {
		case <-ctx.Done():
			return false
		case <-timer:
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}

func controllerName(i int) string { return fmt.Sprint("n", i) }

// newController writes the configuration of a controller and creates its log. It does not start the
// process.
func (r *run) newController(i int, listen, members []string) (*process.Controller, error) {
	name := controllerName(i)
	config, err := process.WriteConfig(r.folder, name+".json", map[string]any{
		"name":      name,
		"listen":    listen[i],
		"discovery": r.fleet.Discovery.Address(),
		"seed":      fmt.Sprintf("%x", r.Seed+uint64(i)+1),
		"limits":    map[string]any{"cores": controllerCores, "memory_mb": controllerMemoryMB, "sockets": controllerSockets},
		"settings":  r.Settings(classes),
	})
	if err != nil {
		return nil, err
	}
	c := &process.Controller{Name: name, Program: r.Program, Listen: listen[i], Env: []string{"LB_CONFIG=" + config}}
	if r.Sharing {
		path, err := r.writeOptions(i, members)
		if err != nil {
			return nil, err
		}
		c.Args = []string{"serve", "--options", path}
	}
	c.Log, err = os.Create(filepath.Join(r.folder, name+".log"))
	return c, err
}

// writeOptions writes the options file of a member and returns its path.
func (r *run) writeOptions(i int, members []string) (string, error) {
	addresses, err := r.memberAddresses(i, members)
	if err != nil {
		return "", err
	}
	name := controllerName(i)
	sharing := map[string]any{"name": name, "members": addresses, "plain": true}
	if r.Disk {
		sharing["folder"] = filepath.Join(r.folder, name)
	}
	body, err := yaml.Marshal(map[string]any{"sharing": sharing})
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.folder, name+".yaml")
	return path, os.WriteFile(path, body, 0o600)
}

// memberAddresses returns, by name, the addresses at which the member with index from reaches all
// members. If the scenario has faults of links, the address of each other member is replaced by the
// address of a link to that member.
func (r *run) memberAddresses(from int, members []string) (map[string]string, error) {
	addresses := map[string]string{}
	for to, address := range members {
		if to != from && r.needsLinks() {
			link, err := fake.NewFaultyLink(address)
			if err != nil {
				return nil, err
			}
			r.links[memberPair{from, to}] = link
			address = link.Address()
		}
		addresses[controllerName(to)] = address
	}
	return addresses, nil
}
