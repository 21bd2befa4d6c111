package invariant

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

var limits = Limits{MaxEmptyTable: 3000 * ms, DrainGrace: 2000 * ms, MaxMessages: 3, MessageWindow: 1000 * ms, LinesPerSecond: 100, Backlog: 50}

// ready is a checker with one backend that is listed, ready and warm.
func ready() *Checker {
	c := NewChecker(limits)
	c.EndpointListed("w", true, true, 0)
	return c
}

func TestEachRuleIsJudged(t *testing.T) {
	for _, story := range []struct {
		name   string
		plays  func(c *Checker)
		end    time.Duration
		broken []Rule
	}{
		{"a proxy that lacks an entry for just as long as it may", func(c *Checker) {
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.TableChanged(1, "c", true, limits.MaxEmptyTable)
		}, 9000 * ms, nil},
		{"a proxy that lacks one for longer", func(c *Checker) {
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.TableChanged(1, "c", true, limits.MaxEmptyTable+ms)
		}, 9000 * ms, []Rule{1}},
		{"one that never gets a line, told at the end", func(c *Checker) { c.ProxyConnected(1, true, []string{"c", "d"}, 0) }, 4000 * ms, []Rule{1, 1}},
		{"one that lost its line later", func(c *Checker) {
			c.ProxyConnected(1, true, nil, 0)
			c.TableChanged(1, "c", false, 100*ms)
			c.TableChanged(1, "c", true, 100*ms+limits.MaxEmptyTable+ms)
		}, 9000 * ms, []Rule{1}},
		{"one that has no stream lacks nothing of ours", func(c *Checker) {
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.ProxyConnected(1, false, nil, 2000*ms)
			c.ProxyConnected(1, true, []string{"c"}, 8000*ms)
		}, 9000 * ms, nil},
		{"nothing is lacking while no worker is ready and warm", func(c *Checker) {
			c.EndpointListed("w", true, false, 0)
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.TableChanged(1, "c", true, 8000*ms)
		}, 9000 * ms, nil},
		{"two effects of two pieces of work", func(c *Checker) { c.EffectApplied("x", 0); c.EffectApplied("y", ms) }, 0, nil},
		{"one effect twice", func(c *Checker) { c.EffectApplied("x", 0); c.EffectApplied("x", ms) }, 0, []Rule{2}},
		{"a worker that drains is tried within the grace", func(c *Checker) {
			c.ProxyConnected(1, true, nil, 0)
			c.EndpointListed("w", false, false, 0)
			c.AttemptSent("w", 1, limits.DrainGrace)
		}, 0, nil},
		{"it is tried after the grace", func(c *Checker) {
			c.ProxyConnected(1, true, nil, 0)
			c.EndpointListed("w", false, false, 0)
			c.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, []Rule{3}},
		{"it is tried by a proxy that came later, within the grace from then on", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.ProxyConnected(1, true, nil, 500*ms)
			c.AttemptSent("w", 1, 500*ms+limits.DrainGrace)
		}, 0, nil},
		{"... and after that", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.ProxyConnected(1, true, nil, 500*ms)
			c.AttemptSent("w", 1, 501*ms+limits.DrainGrace)
		}, 0, []Rule{3}},
		{"it is tried by a proxy that nobody can tell anything", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.ProxyConnected(1, true, nil, 0)
			c.ProxyConnected(1, false, nil, 100*ms)
			c.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, nil},
		{"told to drain twice, it has to be left by the first", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.EndpointListed("w", false, false, 1000*ms)
			c.ProxyConnected(1, true, nil, 0)
			c.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, []Rule{3}},
		{"back on the list it may be tried", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.EndpointListed("w", true, true, 1000*ms)
			c.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, nil},
		{"a cold worker falls over, and is counted once", func(c *Checker) { c.ColdBackendOverloaded("w", 0); c.ColdBackendOverloaded("w", ms) }, 0, []Rule{4}},
		{"as many messages as may be, from all controllers together", func(c *Checker) {
			for i := range 6 {
				c.PushQueued(fmt.Sprint(i%2), 1, 1, time.Duration(i/3)*1001*ms)
			}
		}, 0, nil},
		{"one message more", func(c *Checker) {
			for i := range 4 {
				c.PushQueued(fmt.Sprint(i%2), 1, 1, time.Duration(i)*300*ms)
			}
		}, 0, []Rule{5}},
		{"lines up to the backlog", func(c *Checker) { c.PushQueued("a", 1, 50, 0); c.PushQueued("a", 2, 10, 100*ms) }, 0, nil},
		{"a line beyond it", func(c *Checker) { c.PushQueued("a", 1, 50, 0); c.PushQueued("a", 2, 11, 100*ms) }, 0, []Rule{5}},
		{"two controllers have a channel each", func(c *Checker) { c.PushQueued("a", 1, 50, 0); c.PushQueued("b", 2, 50, 0) }, 0, nil},
		{"an order of an older owner", func(c *Checker) {
			c.PushApplied("a", 1, 4, 0)
			c.PushApplied("b", 1, 7, ms)
			c.PushApplied("a", 1, 4, 2*ms)
		}, 0, []Rule{6}},
		{"orders without tokens are of no owner", func(c *Checker) { c.PushApplied("a", 1, 4, 0); c.PushApplied("b", 1, 0, ms) }, 0, nil},
	} {
		t.Run(story.name, func(t *testing.T) {
			c := ready()
			story.plays(c)
			var broken []Rule
			v := c.Verdict(story.end)
			for _, b := range v.Violations {
				broken = append(broken, b.Rule)
			}
			if !slices.Equal(broken, story.broken) {
				t.Errorf("broken %v, not %v: %+v", broken, story.broken, v.Violations)
			}
		})
	}
	t.Run("a margin is what a busy machine adds, and no more", func(t *testing.T) {
		for over, broken := range map[time.Duration]int{0: 0, ms: 1} {
			with := limits
			with.Margin = 400 * ms
			c := NewChecker(with)
			c.EndpointListed("w", true, true, 0)
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.TableChanged(1, "c", true, limits.MaxEmptyTable+with.Margin+over)
			if v := c.Verdict(9000 * ms); len(v.Violations) != broken {
				t.Errorf("%s over: %+v", over, v.Violations)
			}
		}
	})
	t.Run("breaches beyond some are counted, not kept", func(t *testing.T) {
		c := ready()
		for range 3 * maxViolations {
			c.EffectApplied("x", 0)
		}
		if v := c.Verdict(0); len(v.Violations) != maxViolations || v.Counts["rule 2"] != 3*maxViolations-1 {
			t.Errorf("%d kept, counted %v", len(v.Violations), v.Counts)
		}
	})
}
