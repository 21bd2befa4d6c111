package rehearse

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"wheelrill/fake"
)

// faultKind is one kind of fault that a scenario injects.
type faultKind struct {
	name         string // as --faults has it
	needsLinks   bool   // members reach each other by way of links
	stopsProcess bool   // a controller's process ends or stands still
	inject       func(r *run, t faultTargets)
}

// faultTargets are the controllers that a fault is drawn for, by their indices.
type faultTargets struct {
	first int
	next  int // the one after it among those that are up
	up    int // how many are up
}

// faultKinds are all there are, in the order in which they are named.
var faultKinds = []faultKind{
	{name: "kill", stopsProcess: true, inject: (*run).injectKill},
	{name: "leave", stopsProcess: true, inject: (*run).injectLeave},
	{name: "pair", stopsProcess: true, inject: (*run).injectPair},
	{name: "freeze", stopsProcess: true, inject: (*run).injectFreeze},
	{name: "cut", needsLinks: true, inject: (*run).injectCut},
	{name: "half", needsLinks: true, inject: (*run).injectHalf},
	{name: "split", needsLinks: true, inject: (*run).injectSplit},
	{name: "slow", needsLinks: true, inject: (*run).injectSlow},
	{name: "reload", stopsProcess: true, inject: (*run).injectReload},
}

// defaultFault is what is drawn where nothing is named.
const defaultFault = "kill"

// FaultNames are the names of the kinds of faults.
func FaultNames() []string {
	var names []string
	for _, kind := range faultKinds {
		names = append(names, kind.name)
	}
	return names
}

func findFaultKind(name string) (faultKind, error) {
	for _, kind := range faultKinds {
		if kind.name == name {
			return kind, nil
		}
	}
	names := FaultNames()
	last := len(names) - 1
	return faultKind{}, fmt.Errorf("fault %q; there are %s and %s", name, strings.Join(names[:last], ", "), names[last])
}

// How long faults last, and how long a controller that died stays away.
const (
	freezeTime    = 10 * time.Second
	linkFaultTime = 8 * time.Second
	linkDelay     = 300 * time.Millisecond
	maxDowntime   = 8 * time.Second
	shortDowntime = time.Second
	shortOneIn    = 4 // one downtime in so many is short
)

// faultNames are those that the scenario draws from.
func (r *run) faultNames() []string { return strings.Split(cmp.Or(r.Faults, defaultFault), ",") }

// drawsLinkFaults tells whether links between members are needed.
func (r *run) drawsLinkFaults() bool {
	return slices.ContainsFunc(r.faultNames(), func(name string) bool {
		kind, err := findFaultKind(name)
		return err == nil && kind.needsLinks
	})
}

// injectFault injects the next of the faults that are drawn from into a controller that is up. One is left to serve.
func (r *run) injectFault() error {
	var up []int
	for i, c := range r.controllers {
		if c.Up {
			up = append(up, i)
		}
	}
	if len(up) < 2 {
		return nil
	}
	names := r.faultNames()
	name := names[r.random.IntN(len(names))]
	drawn := r.random.IntN(len(up))
	targets := faultTargets{first: up[drawn], next: up[(drawn+1)%len(up)], up: len(up)}
	r.faultCounts[name]++
	r.log("%s %s", name, r.controllers[targets.first].Name)
	kind, err := findFaultKind(name)
	if err != nil {
		return err
	}
	kind.inject(r, targets)
	return nil
}

// injectKill ends a controller by SIGKILL.
func (r *run) injectKill(t faultTargets) { r.stopController(t.first, syscall.SIGKILL) }

// injectLeave ends a controller by SIGTERM.
func (r *run) injectLeave(t faultTargets) { r.stopController(t.first, syscall.SIGTERM) }

// injectPair kills two controllers within one election, if a third is up.
func (r *run) injectPair(t faultTargets) {
	r.stopController(t.first, syscall.SIGKILL)
	if t.up > 2 {
		r.stopController(t.next, syscall.SIGKILL)
	}
}

// injectFreeze has a controller stand still, by SIGSTOP.
func (r *run) injectFreeze(t faultTargets) { r.freezeController(t.first) }

// injectReload has a controller read its configuration, by SIGHUP, while another one is killed, so that it may be electing.
func (r *run) injectReload(t faultTargets) {
	_ = r.controllers[t.first].Signal(syscall.SIGHUP) // an error means that it has ended, which the loop finds
	r.stopController(t.next, syscall.SIGKILL)
}

// injectCut partitions a member from all others, both ways.
func (r *run) injectCut(t faultTargets) {
	r.faultLinks(fake.Partition, func(pair memberPair) bool { return pair.from == t.first || pair.to == t.first })
}

// injectHalf drops what a member sends on the connections that it dials; what others send by theirs comes through.
func (r *run) injectHalf(t faultTargets) {
	r.faultLinks(fake.Fault{DropOutgoing: true}, func(pair memberPair) bool { return pair.from == t.first })
}

// injectSplit partitions every member from every other, both ways, so that no majority is left.
func (r *run) injectSplit(faultTargets) {
	r.faultLinks(fake.Partition, func(memberPair) bool { return true })
}

// injectSlow delays what goes over a member's links.
func (r *run) injectSlow(t faultTargets) {
	r.faultLinks(fake.Fault{Delay: linkDelay}, func(pair memberPair) bool { return pair.from == t.first || pair.to == t.first })
}

// faultLinks puts a fault on some of the links between members for a while.
func (r *run) faultLinks(fault fake.Fault, selected func(memberPair) bool) {
	for pair, link := range r.links {
		if !selected(pair) {
			continue
		}
		link.SetFault(fault)
		r.after(min(linkFaultTime, r.FaultInterval/2), func() error {
			link.SetFault(fake.Fault{})
			return nil
		})
	}
}

// stopController ends a controller, which comes back as new after a while.
func (r *run) stopController(i int, signal syscall.Signal) {
	c := r.controllers[i]
	c.Stop(signal)
	downtime := time.Duration(r.random.Int64N(int64(min(r.FaultInterval/2, maxDowntime))))
	if r.random.IntN(shortOneIn) == 0 {
		downtime = min(downtime, shortDowntime)
	}
	r.after(downtime, func() error {
		r.fleet.ControllerRestarted(i)
		return c.Start()
	})
}

// freezeController has a controller stand still for a while, in which it counts as not up, for other faults.
func (r *run) freezeController(i int) {
	c := r.controllers[i]
	c.Up = false
	_ = c.Signal(syscall.SIGSTOP) // an error means that it has ended, which the loop finds
	r.fleet.ControllerFrozen(i, true)
	r.after(min(freezeTime, r.FaultInterval/2), func() error {
		c.Up = true
		r.fleet.ControllerFrozen(i, false)
		return c.Signal(syscall.SIGCONT)
	})
}
