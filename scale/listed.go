package scale

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wheelrill/internal/process"
	"wheelrill/rehearse"
	"wheelrill/rules"
	"wheelrill/standin"
)

// listedZones are those of the settings that controllers are started with.
var listedZones = []string{"a", "b", "c"}

// newDiscovery serves a list of so many backends.
func newDiscovery(backends int) (*standin.Discovery, []*standin.Worker, error) {
	discovery, err := standin.NewDiscovery(rules.NewAccount(rules.Limits{}), func() time.Duration { return 0 })
	if err != nil {
		return nil, nil, err
	}
	var workers []*standin.Worker
	for i := range backends {
		workers = append(workers, &standin.Worker{ID: fmt.Sprintf("s-%08x", i), Zone: listedZones[i%len(listedZones)], Weight: 1})
	}
	discovery.List("up", workers...)
	return discovery, workers, nil
}

// listedController is a real controller's process that follows discovery and has no proxies.
type listedController struct {
	process *process.Instance
	began   time.Time
	reading sync.WaitGroup // of its log

	mutex sync.Mutex
	ready time.Time // when it logged that it is, or 0
	known string    // backends that it knew then
}

// newListedControllers prepares controllers, each with a file of its own.
func newListedControllers(count int, discovery, folder string, o Options) ([]*listedController, error) {
	listen, err := process.FreeAddresses(count)
	if err != nil {
		return nil, err
	}
	classes := []standin.Class{{Name: "lookup", Target: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 1}}
	settings := (&rehearse.Takeover{Relays: recordRelays}).Settings(classes)
	var all []*listedController
	for i := range count {
		name := memberName(i)
		path, err := process.WriteJSON(folder, name+".json", map[string]any{"name": name, "listen": listen[i],
			"discovery": discovery, "seed": fmt.Sprintf("%x", o.Seed+uint64(i)+1),
			"limits":   map[string]any{"cores": memberCores, "memory_mb": mostMegabytes, "sockets": memberSockets},
			"settings": settings})
		if err != nil {
			return nil, err
		}
		all = append(all, &listedController{process: &process.Instance{Name: name, Program: o.Program, Listen: listen[i],
			Env: []string{"LB_CONFIG=" + path}}})
	}
	return all, nil
}

// start begins the process, and reads its log until it ends.
func (c *listedController) start(folder string) error {
	log, err := os.Create(filepath.Join(folder, c.process.Name+".log"))
	if err != nil {
		return err
	}
	from, to, err := os.Pipe()
	if err != nil {
		log.Close()
		return err
	}
	c.process.Log, c.began, c.ready, c.known = to, time.Now(), time.Time{}, "" // of this life
	err = c.process.Start()
	to.Close() // the process has its own
	if err != nil {
		from.Close()
		log.Close()
		return err
	}
	c.reading.Go(func() {
		defer log.Close()
		defer from.Close()
		for lines := bufio.NewScanner(from); lines.Scan(); {
			c.read(lines.Text())
			fmt.Fprintln(log, lines.Text())
		}
	})
	return nil
}

// read notes when the controller says that it is ready.
func (c *listedController) read(line string) {
	if !strings.Contains(line, " event=ready ") {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ready, c.known = time.Now(), field(line, "backends")
}

// readyAt is when it was ready; 0 while it is not.
func (c *listedController) readyAt() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ready
}

// waitReady waits until it is ready, or has ended, or has been waited for too long.
func (c *listedController) waitReady(ctx context.Context, within time.Duration) error {
	over := func() bool {
		return !c.readyAt().IsZero() || c.process.Gone()
	}
	waitTight(ctx, within, over)
	if c.readyAt().IsZero() {
		return fmt.Errorf("%s is not ready within %s", c.process.Name, within)
	}
	return nil
}

// end kills the process, and waits for the end of its log.
func (c *listedController) end() {
	if c.process.Up {
		c.process.Signal(syscall.SIGKILL)
		c.reading.Wait()
	}
}
