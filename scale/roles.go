package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"wheelrill/distribution"
	"wheelrill/internal/process"
	"wheelrill/replica"
	"wheelrill/standin"
	"wheelrill/subscribe"
)

// roles measures a voter, a distributor and a controller that passes on, each a real process of its own, by the entries that
// are distributed in all. The other voters are hollow ones in this process, and so are the children of both.
type roles struct{}

// roleNames are those of the processes.
const (
	voterRole       = "voter"
	distributorRole = "distributor"
	controllerRole  = "controller"
)

// Figures of the installation around the processes.
const (
	distributorChildren = mostFanOut - 1 // hollow ones; the controller is one more
	setAsideMegabytes   = 4096           // that a process on a machine set aside may take
	rolesReadyWithin    = 4 * time.Minute
	statsLineEvery      = 10 * time.Second // a controller logs what the distribution costs it
	rolesSeed           = 17
)

// Describe says what it is.
func (roles) Describe() Description {
	d := Description{Name: "roles", Size: "entries in all", Sizes: []int{5700, 50_000, 150_000, entriesOfAll}, Transport: "loopback",
		Targets: []int{entriesOfAll},
		About: fmt.Sprintf("A voter, a distributor with %d children and a controller with %d and %d backends, real processes, 4.2 changes a second",
			mostFanOut, distribution.DefaultFanOut, backendsServed)}
	for _, role := range []string{voterRole, distributorRole, controllerRole} {
		d.Metrics = append(d.Metrics,
			Metric{Name: role + "_bytes_per_s", Unit: "bytes/s", About: "in and out at the " + role, Most: mostBytesPerS},
			Metric{Name: role + "_processor", Unit: "% of a core", About: "processor time of the " + role, Most: mostProcessor},
			Metric{Name: role + "_memory", Unit: "MB", About: "resident memory of the " + role + ", the most", Most: mostMegabytes, Fit: true})
	}
	d.Metrics = append(d.Metrics,
		Metric{Name: "distributor_ready", Unit: "s", About: "from the start of the distributor until it has all entries", Fit: true},
		Metric{Name: "controller_ready", Unit: "s", About: "from the start of the controller until it has those of its services", Fit: true},
		Metric{Name: "controller_entries", Unit: "entries", About: "of its services, and those of all"},
		Metric{Name: "most", Unit: "s", About: "until in force at the last child, 100 in 100", Most: mostInForce})
	return d
}

// Needs are those of the processes and of our own.
func (roles) Needs(size int, o Options) Needs {
	held := int64(o.Voters*copiesAtVoter+2) * int64(size) * entryMemory * collectedAt
	children := int64(mostFanOut+distribution.DefaultFanOut) * (subscriberMemory + int64(size/groupsToCome)*entryMemory*collectedAt)
	needs := Needs{Memory: treeMemory + 3*memberMemory + held + children, Processes: 3,
		Time: startsWithin + 2*rolesReadyWithin + o.For}
	if o.For < 2*statsLineEvery {
		needs.Refusal = fmt.Sprintf("--for %s; a controller logs its cost each %s, give %s or more", o.For, statsLineEvery, 2*statsLineEvery)
	}
	return needs
}

// Run starts all from the voters down, makes changes, and reads what the three processes spent.
func (roles) Run(ctx context.Context, size int, o Options) (s Sample, err error) {
	folder, err := os.MkdirTemp(o.Folder, "roles-")
	if err != nil {
		return s, err
	}
	r, err := newRoleFleet(size, folder, o)
	if err != nil {
		return s, err
	}
	defer r.close()
	late := watchTurns()
	if err := r.start(ctx); err != nil {
		return s, fmt.Errorf("%w; the logs are in %s", err, folder)
	}
	if err := r.measure(ctx, &s); err != nil {
		return s, fmt.Errorf("%w; the logs are in %s", err, folder)
	}
	s.Broken, s.Unknown = r.inForce.broken, late.tooBusy()
	return s, nil
}

// roleFleet is an installation of which three nodes are processes.
type roleFleet struct {
	options   Options
	folder    string
	discovery *standin.Discovery
	content   *content
	inForce   *inForce
	addresses []string // of the voters, the real one last
	listen    map[string]string
	processes map[string]*listedController
	hollow    []*hollowMember
	dialler   *replica.Subscriber
	children  []*hollowSubscriber
	running   sync.WaitGroup
	stop      context.CancelFunc
	ready     map[string]time.Duration
}

// newRoleFleet prepares one; it starts nothing but discovery.
func newRoleFleet(size int, folder string, o Options) (r *roleFleet, err error) {
	shape := contentShape{groups: groupsToCome, ofEach: max(1, size/groupsToCome)}
	r = &roleFleet{options: o, folder: folder, content: newContent(shape, o.Seed), listen: map[string]string{},
		processes: map[string]*listedController{}, ready: map[string]time.Duration{}, stop: func() {}}
	r.inForce = newInForce(r.content)
	if r.dialler, err = replica.NewSubscriber(replica.Credentials{}); err != nil {
		return nil, err
	}
	free, err := process.FreeAddresses(o.Voters + 2 + 3)
	if err != nil {
		return nil, err
	}
	r.addresses = free[:o.Voters]
	r.listen[distributorRole], r.listen[controllerRole] = free[o.Voters], free[o.Voters+1]
	if r.discovery, _, err = newDiscovery(backendsServed); err != nil {
		return nil, err
	}
	for i, role := range []string{voterRole, distributorRole, controllerRole} {
		megabytes := setAsideMegabytes
		if role == controllerRole {
			megabytes = mostMegabytes
		}
		c, err := newListedController(role, free[o.Voters+2+i], r.discovery.Address(), folder, megabytes, o.Seed+uint64(i)+1, o)
		if err != nil {
			r.close()
			return nil, err
		}
		path := filepath.Join(folder, role+".yaml")
		if err := os.WriteFile(path, []byte(r.optionsOf(role)), 0o600); err != nil {
			r.close()
			return nil, err
		}
		c.process.Args = []string{"serve", "--options", path}
		r.processes[role] = c
	}
	return r, nil
}

// voterNames are the names of the voters; the real one is the last.
func (r *roleFleet) voterNames() (names []string) {
	for i := range r.addresses {
		names = append(names, voterName(i))
	}
	return names
}

// members are the addresses of the voters by name.
func (r *roleFleet) members() map[string]string {
	at := map[string]string{}
	for i, name := range r.voterNames() {
		at[name] = r.addresses[i]
	}
	return at
}

// optionsOf is the options file of a process.
func (r *roleFleet) optionsOf(role string) string {
	var members strings.Builder
	for i, name := range r.voterNames() {
		fmt.Fprintf(&members, "    %s: %s\n", name, r.addresses[i])
	}
	pace := fmt.Sprintf("  snapshot_bytes_per_s: %d\n", setAsidePace)
	switch role {
	case voterRole:
		return fmt.Sprintf("sharing:\n  plain: true\n  name: %s\n  lease: %s\n  folder: %s\n  members:\n%sdistribution:\n  role: voter\n  fan_out: %d\n%s",
			voterName(len(r.addresses)-1), voterLease, filepath.Join(r.folder, "voter"), members.String(), mostFanOut, pace)
	case distributorRole:
		return fmt.Sprintf("distribution:\n  role: subscriber\n  name: %s\n  plain: true\n  scopes: [\"*\"]\n  listen: %s\n  fan_out: %d\n%s  parents:\n%s",
			role, r.listen[role], mostFanOut, pace, members.String())
	}
	return fmt.Sprintf("distribution:\n  role: subscriber\n  name: %s\n  plain: true\n  scopes: [%s, %s]\n  listen: %s\n  parents:\n    %s: %s\n",
		role, commonScope, groupScope(0), r.listen[role], distributorRole, r.listen[distributorRole])
}

// start starts the voters with all content, then the distributor, the controller and the children of both.
func (r *roleFleet) start(ctx context.Context) error {
	if err := r.startVoters(ctx); err != nil {
		return err
	}
	for _, entries := range r.content.initial() {
		if err := r.propose(ctx, entries); err != nil {
			return err
		}
	}
	for _, role := range []string{distributorRole, controllerRole} {
		if err := r.startRole(ctx, role); err != nil {
			return err
		}
	}
	for i := range distributorChildren {
		r.addChild(distributorRole, i, 1+i%(groupsToCome-1))
	}
	for i := range distribution.DefaultFanOut {
		r.addChild(controllerRole, i, 0)
	}
	if !waitFor(ctx, rolesReadyWithin, func() bool { return waiting(r.children) == 0 }) {
		return fmt.Errorf("%d children have no configuration within %s: %s", waiting(r.children), rolesReadyWithin, whoWaits(r.children))
	}
	return nil
}

// startVoters starts the hollow voters and the real one, and waits until all are on the record.
func (r *roleFleet) startVoters(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	real := r.processes[voterRole]
	if err := real.start(r.folder); err != nil {
		return err
	}
	limits := distribution.DefaultLimits()
	limits.FanOut, limits.PaceBytes = mostFanOut, setAsidePace
	names := r.voterNames()
	for i, name := range names[:len(names)-1] {
		carrier := subscribe.New(subscribe.Config{
			Node: distribution.Config{Name: replica.Peer{Name: name, Address: r.addresses[i]}.String(), Voter: true, Limits: limits},
			Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("a voter dials nobody") }})
		r.running.Go(func() { carrier.Run(ctx) })
		member, err := startHollow(ctx, &r.running, replica.Config{Name: name, Members: r.members(), Folder: filepath.Join(r.folder, name),
			Distribution: voterDistribution{carrier, r.content}}, voterLease)
		if err != nil {
			return err
		}
		r.hollow = append(r.hollow, member)
	}
	entered := func() bool {
		for _, m := range r.hollow {
			if !m.entered.Load() {
				return false
			}
		}
		line, ok := real.said("sharing")
		return ok && field(line.text, "alone") == "false"
	}
	if !waitFor(ctx, startsWithin, entered) {
		return fmt.Errorf("the voters have no record within %s", startsWithin)
	}
	return nil
}

// propose has entries accepted as one change.
func (r *roleFleet) propose(ctx context.Context, entries []distribution.Entry) error {
	for {
		_, err := r.hollow[0].node.Change(ctx, distribution.Proposal{Entries: entries})
		if err == nil || errors.Is(err, replica.ErrRefused) {
			return err
		}
		if err := pauseFor(ctx, lookEvery); err != nil {
			return err
		}
	}
}

// startRole starts a process that subscribes, and waits until it has its entries.
func (r *roleFleet) startRole(ctx context.Context, role string) error {
	c := r.processes[role]
	if err := c.start(r.folder); err != nil {
		return err
	}
	has := func() bool {
		_, ok := c.said("snapshot_taken")
		return ok || c.process.Gone()
	}
	if waitTight(ctx, rolesReadyWithin, has); c.process.Gone() {
		return fmt.Errorf("the %s has ended", role)
	}
	line, ok := c.said("snapshot_taken")
	if !ok {
		return fmt.Errorf("the %s has no configuration within %s", role, rolesReadyWithin)
	}
	r.ready[role] = line.at.Sub(c.began)
	return nil
}

// addChild starts a hollow subscriber below a process.
func (r *roleFleet) addChild(below string, number, group int) {
	s := &hollowSubscriber{name: fmt.Sprintf("%s/child%d", below, number), dial: r.dialler.Dial, inForce: r.inForce,
		scopes:     distribution.SomeScopes(commonScope, groupScope(group)),
		candidates: []string{replica.Peer{Name: below, Address: r.listen[below]}.String()}}
	r.children = append(r.children, s)
	s.start()
}

// measure makes changes for as long as is observed, and notes what each process spent meanwhile.
func (r *roleFleet) measure(ctx context.Context, s *Sample) error {
	r.inForce.reset()
	random := rand.New(rand.NewPCG(r.options.Seed, rolesSeed))
	before, began := map[string]processUsage{}, time.Now()
	for role, c := range r.processes {
		usage, err := usageOf(c.process.PID())
		if err != nil {
			return err
		}
		before[role] = usage
	}
	for time.Since(began) < r.options.For {
		if err := pauseFor(ctx, time.Duration((0.5+random.Float64())/(changesPerS*timesChanges)*float64(time.Second))); err != nil {
			return err
		}
		if err := r.propose(ctx, r.content.draw()); err != nil {
			return err
		}
	}
	seconds := time.Since(began).Seconds()
	for _, role := range []string{voterRole, distributorRole, controllerRole} {
		usage, err := usageOf(r.processes[role].process.PID())
		if err != nil {
			return err
		}
		bytes, err := r.bytesPerS(role)
		if err != nil {
			return err
		}
		s.Set(role+"_bytes_per_s", bytes)
		s.Set(role+"_processor", percent*(usage.processor-before[role].processor).Seconds()/seconds)
		s.Set(role+"_memory", float64(usage.most)/megabyte)
	}
	last := r.content.last()
	waitFor(ctx, mostInForce*time.Second, func() bool { return behind(r.children, r.content, last) == 0 })
	each(r.children, func(child *hollowSubscriber) { child.check(r.content, last) })
	s.Set("distributor_ready", r.ready[distributorRole].Seconds())
	s.Set("controller_ready", r.ready[controllerRole].Seconds())
	s.Set("controller_entries", float64(commonEntries+r.content.shape.ofEach))
	s.Set("most", r.inForce.seconds(r.inForce.each, 100))
	return nil
}

// bytesPerS is what a process last logged of what it passes: a voter on all connections of the record, on which others
// subscribe as well, the rest on those of the distribution.
func (r *roleFleet) bytesPerS(role string) (sum float64, err error) {
	event, keys := "distribution", []string{"in_bytes_per_s", "out_bytes_per_s"}
	if role == voterRole {
		event, keys = "record", []string{"bytes_per_s"}
	}
	line, ok := r.processes[role].said(event)
	if !ok {
		return 0, fmt.Errorf("the %s has not logged its cost", role)
	}
	for _, key := range keys {
		value, err := strconv.ParseFloat(field(line.text, key), 64)
		if err != nil {
			return 0, fmt.Errorf("%s of event=%s: %w", key, event, err)
		}
		sum += value
	}
	return sum, nil
}

// close ends all.
func (r *roleFleet) close() {
	each(r.children, (*hollowSubscriber).kill)
	for _, c := range r.processes {
		c.end()
	}
	r.stop()
	r.running.Wait()
	if r.discovery != nil {
		r.discovery.Close()
	}
}
