package invariant

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

var limits = Limits{MaxEmptyTable: 3000 * ms, DrainGrace: 2000 * ms, MaxMessages: 3, MessageWindow: 1000 * ms, LinesPerSecond: 100, Backlog: 50}

// ready is an account with one worker that is listed, ready and warm.
func ready() *Checker {
	a := NewChecker(limits)
	a.EndpointListed("w", true, true, 0)
	return a
}

func TestJudge(t *testing.T) {
	for _, story := range []struct {
		name   string
		plays  func(a *Checker)
		end    time.Duration
		broken []int // rules
	}{
		{"a relay that lacks a line for just as long as it may", func(a *Checker) {
			a.ProxyConnected(1, true, []string{"c"}, 0)
			a.TableChanged(1, "c", true, limits.MaxEmptyTable)
		}, 9000 * ms, nil},
		{"a relay that lacks one for longer", func(a *Checker) {
			a.ProxyConnected(1, true, []string{"c"}, 0)
			a.TableChanged(1, "c", true, limits.MaxEmptyTable+ms)
		}, 9000 * ms, []int{1}},
		{"one that never gets a line, told at the end", func(a *Checker) { a.ProxyConnected(1, true, []string{"c", "d"}, 0) }, 4000 * ms, []int{1, 1}},
		{"one that lost its line later", func(a *Checker) {
			a.ProxyConnected(1, true, nil, 0)
			a.TableChanged(1, "c", false, 100*ms)
			a.TableChanged(1, "c", true, 100*ms+limits.MaxEmptyTable+ms)
		}, 9000 * ms, []int{1}},
		{"one that has no stream lacks nothing of ours", func(a *Checker) {
			a.ProxyConnected(1, true, []string{"c"}, 0)
			a.ProxyConnected(1, false, nil, 2000*ms)
			a.ProxyConnected(1, true, []string{"c"}, 8000*ms)
		}, 9000 * ms, nil},
		{"nothing is lacking while no worker is ready and warm", func(a *Checker) {
			a.EndpointListed("w", true, false, 0)
			a.ProxyConnected(1, true, []string{"c"}, 0)
			a.TableChanged(1, "c", true, 8000*ms)
		}, 9000 * ms, nil},
		{"two effects of two pieces of work", func(a *Checker) { a.EffectTaken("x", 0); a.EffectTaken("y", ms) }, 0, nil},
		{"one effect twice", func(a *Checker) { a.EffectTaken("x", 0); a.EffectTaken("x", ms) }, 0, []int{2}},
		{"a worker that drains is tried within the grace", func(a *Checker) {
			a.ProxyConnected(1, true, nil, 0)
			a.EndpointListed("w", false, false, 0)
			a.AttemptSent("w", 1, limits.DrainGrace)
		}, 0, nil},
		{"it is tried after the grace", func(a *Checker) {
			a.ProxyConnected(1, true, nil, 0)
			a.EndpointListed("w", false, false, 0)
			a.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, []int{3}},
		{"it is tried by a relay that came later, within the grace from then on", func(a *Checker) {
			a.EndpointListed("w", false, false, 0)
			a.ProxyConnected(1, true, nil, 500*ms)
			a.AttemptSent("w", 1, 500*ms+limits.DrainGrace)
		}, 0, nil},
		{"... and after that", func(a *Checker) {
			a.EndpointListed("w", false, false, 0)
			a.ProxyConnected(1, true, nil, 500*ms)
			a.AttemptSent("w", 1, 501*ms+limits.DrainGrace)
		}, 0, []int{3}},
		{"it is tried by a relay that nobody can tell anything", func(a *Checker) {
			a.EndpointListed("w", false, false, 0)
			a.ProxyConnected(1, true, nil, 0)
			a.ProxyConnected(1, false, nil, 100*ms)
			a.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, nil},
		{"told to drain twice, it has to be left by the first", func(a *Checker) {
			a.EndpointListed("w", false, false, 0)
			a.EndpointListed("w", false, false, 1000*ms)
			a.ProxyConnected(1, true, nil, 0)
			a.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, []int{3}},
		{"back on the list it may be tried", func(a *Checker) {
			a.EndpointListed("w", false, false, 0)
			a.EndpointListed("w", true, true, 1000*ms)
			a.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, nil},
		{"a cold worker falls over, and is counted once", func(a *Checker) { a.EndpointRemoved("w", 0); a.EndpointRemoved("w", ms) }, 0, []int{4}},
		{"as many messages as may be, from all controllers together", func(a *Checker) {
			for i := range 6 {
				a.OrderQueued(fmt.Sprint(i%2), 1, 1, time.Duration(i/3)*1001*ms)
			}
		}, 0, nil},
		{"one message more", func(a *Checker) {
			for i := range 4 {
				a.OrderQueued(fmt.Sprint(i%2), 1, 1, time.Duration(i)*300*ms)
			}
		}, 0, []int{5}},
		{"lines up to the backlog", func(a *Checker) { a.OrderQueued("a", 1, 50, 0); a.OrderQueued("a", 2, 10, 100*ms) }, 0, nil},
		{"a line beyond it", func(a *Checker) { a.OrderQueued("a", 1, 50, 0); a.OrderQueued("a", 2, 11, 100*ms) }, 0, []int{5}},
		{"two controllers have a channel each", func(a *Checker) { a.OrderQueued("a", 1, 50, 0); a.OrderQueued("b", 2, 50, 0) }, 0, nil},
		{"an order of an older owner", func(a *Checker) {
			a.OrderApplied("a", 1, 4, 0)
			a.OrderApplied("b", 1, 7, ms)
			a.OrderApplied("a", 1, 4, 2*ms)
		}, 0, []int{6}},
		{"orders without tokens are of no owner", func(a *Checker) { a.OrderApplied("a", 1, 4, 0); a.OrderApplied("b", 1, 0, ms) }, 0, nil},
	} {
		t.Run(story.name, func(t *testing.T) {
			a := ready()
			story.plays(a)
			var broken []int
			v := a.Verdict(story.end)
			for _, b := range v.Breaches {
				broken = append(broken, b.Rule)
			}
			if !slices.Equal(broken, story.broken) {
				t.Errorf("broken %v, not %v: %+v", broken, story.broken, v.Breaches)
			}
		})
	}
	t.Run("a margin is what a busy machine adds, and no more", func(t *testing.T) {
		for over, broken := range map[time.Duration]int{0: 0, ms: 1} {
			with := limits
			with.Margin = 400 * ms
			a := NewChecker(with)
			a.EndpointListed("w", true, true, 0)
			a.ProxyConnected(1, true, []string{"c"}, 0)
			a.TableChanged(1, "c", true, limits.MaxEmptyTable+with.Margin+over)
			if v := a.Verdict(9000 * ms); len(v.Breaches) != broken {
				t.Errorf("%s over: %+v", over, v.Breaches)
			}
		}
	})
	t.Run("breaches beyond some are counted, not kept", func(t *testing.T) {
		a := ready()
		for range 3 * breachesKept {
			a.EffectTaken("x", 0)
		}
		if v := a.Verdict(0); len(v.Breaches) != breachesKept || v.Counts["rule 2"] != 3*breachesKept-1 {
			t.Errorf("%d kept, counted %v", len(v.Breaches), v.Counts)
		}
	})
}
