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

// Times that troubles last.
const (
	hangFor   = 8 * time.Second
	drainFor  = 6 * time.Second // of a worker, which is back then as a new process
	frozenFor = 10 * time.Second
	cutFor    = 8 * time.Second
)

// wired tells whether any of the faults is one of the ways between controllers.
func (p *play) wired() bool {
	return slices.ContainsFunc(strings.Split(p.Faults, ","), func(kind string) bool {
		return slices.Contains([]string{"cut", "half", "split", "slow"}, kind)
	})
}

// fault plays the next of the faults that are drawn from, on a controller that is up.
func (p *play) fault() error {
	var up []int
	for i, one := range p.instances {
		if one.Up {
			up = append(up, i)
		}
	}
	if len(up) < 2 {
		return nil // one is left to serve
	}
	kinds := strings.Split(cmp.Or(p.Faults, "kill"), ",")
	kind, at := kinds[p.random.IntN(len(kinds))], up[p.random.IntN(len(up))]
	one := p.instances[at]
	p.faults[kind]++
	p.say("%s %s", kind, one.Name)
	touches := func(pair [2]int) bool { return pair[0] == at || pair[1] == at }
	switch kind {
	case "kill":
		p.stops(at, syscall.SIGKILL)
	case "leave":
		p.stops(at, syscall.SIGTERM)
	case "pair": // two within one election
		p.stops(at, syscall.SIGKILL)
		if other := up[(slices.Index(up, at)+1)%len(up)]; len(up) > 2 {
			p.stops(other, syscall.SIGKILL)
		}
	case "freeze":
		one.Up = false // for other faults
		one.Signal(syscall.SIGSTOP)
		p.in.ControllerFrozen(at, true)
		p.later(min(frozenFor, p.KillEvery/2), func() error {
			one.Up = true
			p.in.ControllerFrozen(at, false)
			return one.Signal(syscall.SIGCONT)
		})
	case "cut":
		p.cuts(fake.Cut, touches)
	case "half": // what it sends to the others is lost, and what they answer
		p.cuts(fake.Fault{DropOutgoing: true}, func(pair [2]int) bool { return pair[0] == at })
	case "split": // no majority is left anywhere
		p.cuts(fake.Cut, func([2]int) bool { return true })
	case "slow":
		p.cuts(fake.Fault{Delay: 300 * time.Millisecond}, touches)
	case "reload": // while it may be electing
		one.Signal(syscall.SIGHUP)
		p.stops(up[(slices.Index(up, at)+1)%len(up)], syscall.SIGKILL)
	default:
		return fmt.Errorf("fault %q; there are kill, leave, pair, freeze, cut, half, split, slow and reload", kind)
	}
	return nil
}

// stops ends a controller, which comes back as new after a while, one time in four within a second.
func (p *play) stops(at int, by syscall.Signal) {
	one := p.instances[at]
	one.Stop(by)
	wait := time.Duration(p.random.Int64N(int64(min(p.KillEvery/2, 8*time.Second))))
	if p.random.IntN(4) == 0 {
		wait = min(wait, time.Second)
	}
	p.later(wait, func() error {
		p.in.ControllerRestarted(at)
		return one.Start()
	})
}

// cuts puts a fault on some of the wires between controllers for a while.
func (p *play) cuts(f fake.Fault, some func(pair [2]int) bool) {
	for pair, wire := range p.between {
		if some(pair) {
			wire.Set(f)
			p.later(min(cutFor, p.KillEvery/2), func() error { wire.Set(fake.Fault{}); return nil })
		}
	}
}

// steady draws a worker with which nothing is going on; nil if there is none.
func (p *play) steady() *fake.Backend {
	var all []*fake.Backend
	for _, w := range p.in.Backends {
		if !p.busy[w] && w.Warm() {
			all = append(all, w)
		}
	}
	if len(all) < 2 {
		return nil // one is left to serve
	}
	return all[p.random.IntN(len(all))]
}

// replace has a worker drain, and come back as a new process, which is cold at first.
func (p *play) replace() {
	w := p.steady()
	if w == nil {
		return
	}
	p.busy[w] = true
	p.report.Replaced++
	p.say("%s drains", w.ID)
	p.in.Discovery.Publish("draining", w)
	p.later(drainFor, func() error {
		p.say("%s is back", w.ID)
		w.Restart(warmBy)
		p.in.Discovery.Publish("up", w)
		p.later(warmBy, func() error {
			p.in.Discovery.Publish("up", w) // as it was: the account has it as warm from now on
			delete(p.busy, w)
			return nil
		})
		return nil
	})
}

// hang has a worker take everything and answer nothing for a while, and notes when nine in ten relays had left it.
func (p *play) hang(left *[]time.Duration) {
	w, began := p.steady(), time.Now()
	if w == nil {
		return
	}
	p.busy[w] = true
	w.SetMode(fake.ModeHang)
	p.report.Hangs++
	p.say("%s hangs", w.ID)
	noted := false
	var look func() error
	look = func() error {
		switch since := time.Since(began); {
		case !noted && p.in.ProxiesUsing(w.ID) <= p.Relays/10:
			noted = true
			*left = append(*left, since)
			p.say("%s is left", w.ID)
		case since >= hangFor:
			if !noted {
				*left = append(*left, since)
			}
			w.SetMode(fake.ModeHealthy)
			delete(p.busy, w)
			return nil
		}
		p.later(50*time.Millisecond, look)
		return nil
	}
	p.later(0, look)
}
