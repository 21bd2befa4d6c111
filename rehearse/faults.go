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
	name         string // value of --faults that selects the fault
	needsLinks   bool   // the fault needs links between the members, because it acts on the links
	stopsProcess bool   // the fault ends or freezes the process of a controller
	inject       func(r *run, t faultTargets)
}

// faultTargets holds the controllers that were chosen for a fault, as indices into run.controllers.
type faultTargets struct {
	first int
	next  int // index of the next controller after first, among the controllers that are up
	up    int // number of controllers that are up
}

// faultKinds lists all kinds of faults. Help texts and errors list their names in this order.
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

// defaultFault is injected if the scenario names no faults.
const defaultFault = "kill"

// FaultNames returns the names of all kinds of faults.
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
	return faultKind{}, fmt.Errorf("unknown fault %q, allowed are %s and %s", name,
		strings.Join(names[:last], ", "), names[last])
}

// Durations of faults, and times after which a stopped controller is started again.
const (
	freezeTime           = 10 * time.Second
	linkFaultTime        = 8 * time.Second
	linkDelay            = 300 * time.Millisecond
	maxDowntime          = 8 * time.Second
	shortDowntime        = time.Second
	shortDowntimeDivisor = 4 // one downtime in four is at most shortDowntime
)

// faultNames returns the names of the faults that the scenario chooses from.
func (r *run) faultNames() []string { return strings.Split(cmp.Or(r.Faults, defaultFault), ",") }

// needsLinks reports whether the scenario has a fault that needs links between members.
func (r *run) needsLinks() bool {
	return slices.ContainsFunc(r.faultNames(), func(name string) bool {
		kind, err := findFaultKind(name)
		return err == nil && kind.needsLinks
	})
}

// injectFault injects a random fault of the scenario into a random controller that is up. It
// injects no fault while fewer than two controllers are up, so that one controller continues to
// serve.
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
	chosen := r.random.IntN(len(up))
	targets := faultTargets{first: up[chosen], next: up[(chosen+1)%len(up)], up: len(up)}
	r.faultCounts[name]++
	r.log("%s %s", name, r.controllers[targets.first].Name)
	kind, err := findFaultKind(name)
	if err != nil {
		return err
	}
	kind.inject(r, targets)
	return nil
}

// injectKill ends a controller with SIGKILL.
func (r *run) injectKill(t faultTargets) { r.stopController(t.first, syscall.SIGKILL) }

// injectLeave ends a controller with SIGTERM.
func (r *run) injectLeave(t faultTargets) { r.stopController(t.first, syscall.SIGTERM) }

// injectPair kills a controller and, if at least three are up, immediately a second one, so that
// both are lost within the same election.
func (r *run) injectPair(t faultTargets) {
	r.stopController(t.first, syscall.SIGKILL)
	if t.up > 2 {
		r.stopController(t.next, syscall.SIGKILL)
	}
}

// injectFreeze freezes a controller with SIGSTOP.
func (r *run) injectFreeze(t faultTargets) { r.freezeController(t.first) }

// injectReload makes a controller reload its configuration with SIGHUP and kills another one, so
// that the reload may fall into an election.
func (r *run) injectReload(t faultTargets) {
	// An error of Signal means that the process has ended; the main loop detects the end.
	_ = r.controllers[t.first].Signal(syscall.SIGHUP)
	r.stopController(t.next, syscall.SIGKILL)
}

// injectCut partitions a member from all others, in both directions.
func (r *run) injectCut(t faultTargets) {
	r.faultLinks(fake.Partition, func(pair memberPair) bool { return pair.from == t.first || pair.to == t.first })
}

// injectHalf drops the bytes that a member sends on the connections that it dials. Bytes on the
// connections that other members dial are delivered.
func (r *run) injectHalf(t faultTargets) {
	r.faultLinks(fake.Fault{DropOutgoing: true}, func(pair memberPair) bool { return pair.from == t.first })
}

// injectSplit partitions every member from every other, in both directions, so that no group of
// members has a majority.
func (r *run) injectSplit(faultTargets) {
	r.faultLinks(fake.Partition, func(memberPair) bool { return true })
}

// injectSlow delays the bytes on all links of a member, in both directions.
func (r *run) injectSlow(t faultTargets) {
	r.faultLinks(fake.Fault{Delay: linkDelay}, func(pair memberPair) bool {
		return pair.from == t.first || pair.to == t.first
	})
}

// faultLinks sets a fault on the selected links between members, and removes it after linkFaultTime
// or half the fault interval, whichever is shorter.
func (r *run) faultLinks(fault fake.Fault, selected func(memberPair) bool) {
	for pair, link := range r.links {
		if !selected(pair) {
			continue
		}
		link.SetFault(fault)
		r.scheduleAfter(min(linkFaultTime, r.FaultInterval/2), func() error {
			link.SetFault(fake.Fault{})
			return nil
		})
	}
}

// stopController ends the process of a controller with a signal, and starts a new process after a
// random downtime.
func (r *run) stopController(i int, signal syscall.Signal) {
	c := r.controllers[i]
	c.Stop(signal)
	downtime := time.Duration(r.random.Int64N(int64(min(r.FaultInterval/2, maxDowntime))))
	if r.random.IntN(shortDowntimeDivisor) == 0 {
		downtime = min(downtime, shortDowntime)
	}
	r.scheduleAfter(downtime, func() error {
		r.fleet.ControllerRestarted(i)
		return c.Start()
	})
}

// freezeController freezes the process of a controller, for freezeTime or half the fault interval,
// whichever is shorter. A frozen controller does not count as up, so that no other fault is
// injected into it.
func (r *run) freezeController(i int) {
	c := r.controllers[i]
	c.Up = false
	// An error of Signal means that the process has ended; the main loop detects the end.
	_ = c.Signal(syscall.SIGSTOP)
	r.fleet.ControllerFrozen(i, true)
	r.scheduleAfter(min(freezeTime, r.FaultInterval/2), func() error {
		c.Up = true
		r.fleet.ControllerFrozen(i, false)
		return c.Signal(syscall.SIGCONT)
	})
}
