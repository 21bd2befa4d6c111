package invariant

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

var limits = Limits{
	MaxEmptyTable: 3000 * ms, DrainGrace: 2000 * ms,
	MaxMessages: 3, MessageWindow: 1000 * ms,
	LinesPerSecond: 100, Backlog: 50,
}

// newCheckerWithWarmBackend returns a checker with one listed backend, "w", that is ready and warm.
func newCheckerWithWarmBackend() *Checker {
	c := NewChecker(limits)
	c.EndpointListed("w", true, true, 0)
	return c
}

// TestCheckerReportsViolationsOfEachRule guards against a checker that misses a violation, and
// against one that reports a permitted run: each case stays just within the limit of a rule or just
// exceeds it.
func TestCheckerReportsViolationsOfEachRule(t *testing.T) {
	for _, test := range []struct {
		name     string
		events   func(c *Checker)
		end      time.Duration
		violated []Rule
	}{
		{"a proxy lacks an entry for exactly the maximum time", func(c *Checker) {
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.TableChanged(1, "c", true, limits.MaxEmptyTable)
		}, 9000 * ms, nil},
		{"a proxy lacks an entry for longer than the maximum time", func(c *Checker) {
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.TableChanged(1, "c", true, limits.MaxEmptyTable+ms)
		}, 9000 * ms, []Rule{1}},
		{"a proxy never gets an entry, which is reported at the end", func(c *Checker) {
			c.ProxyConnected(1, true, []string{"c", "d"}, 0)
		}, 4000 * ms, []Rule{1, 1}},
		{"a proxy loses its entry after it has connected", func(c *Checker) {
			c.ProxyConnected(1, true, nil, 0)
			c.TableChanged(1, "c", false, 100*ms)
			c.TableChanged(1, "c", true, 100*ms+limits.MaxEmptyTable+ms)
		}, 9000 * ms, []Rule{1}},
		{"time without a connection does not count for rule 1", func(c *Checker) {
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.ProxyConnected(1, false, nil, 2000*ms)
			c.ProxyConnected(1, true, []string{"c"}, 8000*ms)
		}, 9000 * ms, nil},
		{"time without a ready, warm backend does not count for rule 1", func(c *Checker) {
			c.EndpointListed("w", true, false, 0)
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.TableChanged(1, "c", true, 8000*ms)
		}, 9000 * ms, nil},
		{"two requests take effect once each", func(c *Checker) {
			c.EffectApplied("x", 0)
			c.EffectApplied("y", ms)
		}, 0, nil},
		{"a request takes effect twice", func(c *Checker) {
			c.EffectApplied("x", 0)
			c.EffectApplied("x", ms)
		}, 0, []Rule{2}},
		{"an attempt is sent to a draining backend within the grace", func(c *Checker) {
			c.ProxyConnected(1, true, nil, 0)
			c.EndpointListed("w", false, false, 0)
			c.AttemptSent("w", 1, limits.DrainGrace)
		}, 0, nil},
		{"an attempt is sent to a draining backend after the grace", func(c *Checker) {
			c.ProxyConnected(1, true, nil, 0)
			c.EndpointListed("w", false, false, 0)
			c.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, []Rule{3}},
		{"the grace of a proxy that connects later starts when it connects", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.ProxyConnected(1, true, nil, 500*ms)
			c.AttemptSent("w", 1, 500*ms+limits.DrainGrace)
		}, 0, nil},
		{"an attempt after the grace of a proxy that connected later", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.ProxyConnected(1, true, nil, 500*ms)
			c.AttemptSent("w", 1, 501*ms+limits.DrainGrace)
		}, 0, []Rule{3}},
		{"an attempt of a proxy that is not connected does not count for rule 3", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.ProxyConnected(1, true, nil, 0)
			c.ProxyConnected(1, false, nil, 100*ms)
			c.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, nil},
		{"a second report that a backend drains does not extend the grace", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.EndpointListed("w", false, false, 1000*ms)
			c.ProxyConnected(1, true, nil, 0)
			c.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, []Rule{3}},
		{"a backend that is ready again may be sent attempts", func(c *Checker) {
			c.EndpointListed("w", false, false, 0)
			c.EndpointListed("w", true, true, 1000*ms)
			c.AttemptSent("w", 1, limits.DrainGrace+ms)
		}, 0, nil},
		{"a cold backend that is overloaded counts once", func(c *Checker) {
			c.ColdBackendOverloaded("w", 0)
			c.ColdBackendOverloaded("w", ms)
		}, 0, []Rule{4}},
		{"the maximum number of messages, from all controllers together", func(c *Checker) {
			for i := range 6 {
				c.PushQueued(fmt.Sprint(i%2), 1, 1, time.Duration(i/3)*1001*ms)
			}
		}, 0, nil},
		{"one message more than the maximum", func(c *Checker) {
			for i := range 4 {
				c.PushQueued(fmt.Sprint(i%2), 1, 1, time.Duration(i)*300*ms)
			}
		}, 0, []Rule{5}},
		{"lines up to the maximum backlog", func(c *Checker) {
			c.PushQueued("a", 1, 50, 0)
			c.PushQueued("a", 2, 10, 100*ms)
		}, 0, nil},
		{"one line more than the maximum backlog", func(c *Checker) {
			c.PushQueued("a", 1, 50, 0)
			c.PushQueued("a", 2, 11, 100*ms)
		}, 0, []Rule{5}},
		{"each controller has a push channel of its own", func(c *Checker) {
			c.PushQueued("a", 1, 50, 0)
			c.PushQueued("b", 2, 50, 0)
		}, 0, nil},
		{"a push of a former owner is applied", func(c *Checker) {
			c.PushApplied("a", 1, 4, 0)
			c.PushApplied("b", 1, 7, ms)
			c.PushApplied("a", 1, 4, 2*ms)
		}, 0, []Rule{6}},
		{"a push without a token does not count for rule 6", func(c *Checker) {
			c.PushApplied("a", 1, 4, 0)
			c.PushApplied("b", 1, 0, ms)
		}, 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCheckerWithWarmBackend()
			test.events(c)
			var violated []Rule
			verdict := c.Verdict(test.end)
			for _, violation := range verdict.Violations {
				violated = append(violated, violation.Rule)
			}
			if !slices.Equal(violated, test.violated) {
				t.Errorf("violated rules are %v, want %v: %+v", violated, test.violated, verdict.Violations)
			}
		})
	}
	t.Run("the margin extends the maximum time by exactly its length", func(t *testing.T) {
		for excess, violations := range map[time.Duration]int{0: 0, ms: 1} {
			withMargin := limits
			withMargin.Margin = 400 * ms
			c := NewChecker(withMargin)
			c.EndpointListed("w", true, true, 0)
			c.ProxyConnected(1, true, []string{"c"}, 0)
			c.TableChanged(1, "c", true, limits.MaxEmptyTable+withMargin.Margin+excess)
			if v := c.Verdict(9000 * ms); len(v.Violations) != violations {
				t.Errorf("%s more than the maximum and the margin: got %+v, want %d violations", excess, v.Violations, violations)
			}
		}
	})
	t.Run("violations beyond maxViolations are counted, but not listed", func(t *testing.T) {
		c := newCheckerWithWarmBackend()
		for range 3 * maxViolations {
			c.EffectApplied("x", 0)
		}
		if v := c.Verdict(0); len(v.Violations) != maxViolations || v.Counts["rule 2"] != 3*maxViolations-1 {
			t.Errorf("%d violations listed and %v counted, want %d and %d",
				len(v.Violations), v.Counts, maxViolations, 3*maxViolations-1)
		}
	})
}
