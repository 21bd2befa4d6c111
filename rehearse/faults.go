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

// Kinds of faults, as --faults names them.
const (
	faultKill   = "kill"   // SIGKILL
	faultLeave  = "leave"  // SIGTERM
	faultPair   = "pair"   // two are killed within one election
	faultFreeze = "freeze" // SIGSTOP for a while
	faultCut    = "cut"    // a member is partitioned from the others
	faultHalf   = "half"   // what a member sends to the others is lost, and so what they answer
	faultSplit  = "split"  // all are partitioned from each other, and no majority is left
	faultSlow   = "slow"   // a member's links are slow
	faultReload = "reload" // SIGHUP while it may be electing
)

// linkFaults are those of links between members.
var linkFaults = []string{faultCut, faultHalf, faultSplit, faultSlow}

// How long faults last, and how long a controller that died stays away.
const (
	freezeTime    = 10 * time.Second
	linkFaultTime = 8 * time.Second
	linkDelay     = 300 * time.Millisecond
	maxDowntime   = 8 * time.Second
	shortDowntime = time.Second
	shortOneIn    = 4 // downtimes, that are short
)

func (r *run) faultKinds() []string { return strings.Split(cmp.Or(r.Faults, faultKill), ",") }

// drawsLinkFaults tells whether links between members are needed.
func (r *run) drawsLinkFaults() bool {
	return slices.ContainsFunc(r.faultKinds(), func(kind string) bool { return slices.Contains(linkFaults, kind) })
}

// injectFault has the next of the faults that are drawn from befall a controller that is up. One is left to serve.
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
	kinds := r.faultKinds()
	kind := kinds[r.random.IntN(len(kinds))]
	drawn := r.random.IntN(len(up))
	target := up[drawn]
	other := up[(drawn+1)%len(up)]
	r.faultCounts[kind]++
	r.log("%s %s", kind, r.controllers[target].Name)
	switch kind {
	case faultKill:
		r.stopController(target, syscall.SIGKILL)
	case faultLeave:
		r.stopController(target, syscall.SIGTERM)
	case faultPair:
		r.stopController(target, syscall.SIGKILL)
		if len(up) > 2 {
			r.stopController(other, syscall.SIGKILL)
		}
	case faultFreeze:
		r.freezeController(target)
	case faultReload:
		_ = r.controllers[target].Signal(syscall.SIGHUP) // an error means that it has ended, which the loop finds
		r.stopController(other, syscall.SIGKILL)
	default:
		return r.injectLinkFault(kind, target)
	}
	return nil
}

// injectLinkFault has a fault befall the links of a member, or all of them.
func (r *run) injectLinkFault(kind string, target int) error {
	touchesTarget := func(pair memberPair) bool { return pair.from == target || pair.to == target }
	fromTarget := func(pair memberPair) bool { return pair.from == target }
	every := func(memberPair) bool { return true }
	switch kind {
	case faultCut:
		r.faultLinks(fake.Partition, touchesTarget)
	case faultHalf:
		r.faultLinks(fake.Fault{DropOutgoing: true}, fromTarget)
	case faultSplit:
		r.faultLinks(fake.Partition, every)
	case faultSlow:
		r.faultLinks(fake.Fault{Delay: linkDelay}, touchesTarget)
	default:
		return fmt.Errorf("fault %q; there are kill, leave, pair, freeze, cut, half, split, slow and reload", kind)
	}
	return nil
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
