package balancer

import (
	"slices"
	"testing"
)

func TestStart(t *testing.T) {
	t.Run("nothing is withdrawn while nothing is heard", func(t *testing.T) {
		s := begin(t, usual(), 6, 3)
		s.plays(40, nil)
		for b := range 6 {
			s.weight(b, 2, "after silence")
		}
		if !s.bound["2 0 3"] || len(s.levels) > 0 {
			t.Errorf("bound %v, levels %v", s.bound, s.levels)
		}
	})
	t.Run("a proxy is bound only once there are lines", func(t *testing.T) {
		s := begin(t, usual(), 0, 2)
		s.plays(3, nil)
		if len(s.bound) > 0 {
			t.Fatal("bound without lines")
		}
		s.c.EndpointsUpdated(true, []Endpoint{{Backend: 0, State: Ready, Weight: 1}})
		if len(s.bound) != 2 {
			t.Errorf("bound %v once a line was there", s.bound)
		}
	})
	t.Run("the same events give the same orders", func(t *testing.T) {
		run := func() []string {
			s := begin(t, usual(), 8, 4)
			s.plays(20, func() { s.fine(3); s.hears(3, 10, 10, 0) })
			return s.script
		}
		if !slices.Equal(run(), run()) {
			t.Error("orders differ")
		}
	})
	t.Run("a list that must be asked for is asked for again after a failure", func(t *testing.T) {
		x := usual()
		x.sight.PollingRequired, x.sight.MaxPollInterval = true, 10*second
		s := begin(t, x, 3, 1)
		s.plays(1, nil)
		s.c.EndpointPollFailed()
		s.plays(3, nil)
		if s.watches != 2 {
			t.Errorf("asked %d times", s.watches)
		}
	})
	t.Run("a timer of an earlier life does nothing", func(t *testing.T) {
		s := begin(t, usual(), 3, 1)
		s.hears(2, 9, 9, 0)
		timers, script := len(s.timers), len(s.script)
		s.now += 3 * second
		if s.c.TimerFired(s.tag + 1); len(s.timers) != timers || len(s.script) != script {
			t.Errorf("%d timers, ordered %v", len(s.timers)-timers, s.script[script:])
		}
	})
	t.Run("absent and foreign figures harm nothing", func(t *testing.T) {
		s := begin(t, usual(), 3, 1)
		s.c.OutcomesReported(99, 5, 5, 0, second, BackendLoad{})
		s.c.OutcomesReported(1, 0, 0, 0, second, BackendLoad{})
		s.c.DemandReported(0, 1, 5, 0)
		s.c.Acknowledged(0, 60000)
		s.c.HealthCheckCompleted(44, HealthCheckPassed)
		s.c.TimerFired(12345)
		s.c.EndpointPollFailed()
		s.c.ProxyDisconnected(0)
		s.c.ProxyDisconnected(0)
		s.c.DemandReported(0, 0, 5, second)
		s.c.ProxyConnected(0, 1, 10, false)
		s.c.ProxyConnected(0, 1, 10, false)
		s.plays(12, func() { s.hears(0, 4, 4, 0) })
		if len(s.timers) != 1 {
			t.Errorf("%d timers run", len(s.timers))
		}
	})
}

func TestStartInAJam(t *testing.T) {
	// Found by a hunt: a controller came back into a jam, and bound its proxies to a backend that had just started too.
	cold := func(warm int) *stage {
		s := begin(t, usual(), 0, 3)
		var all []Endpoint
		for b := range 6 {
			all = append(all, Endpoint{Backend: b, State: Ready, Weight: 2, StartedAt: (s.now - second) * int64(count(b >= warm))})
		}
		s.c.EndpointsUpdated(true, all)
		s.plays(1.5, nil)
		return s
	}
	t.Run("cold backends stay out until the first reports", func(t *testing.T) {
		s := cold(5)
		if !s.bound["0 0 3"] || s.tables[0][5] > 0 || len(s.tables[0]) != 5 {
			t.Errorf("bound %v, table %v", s.bound, s.tables[0])
		}
		if s.plays(4, func() { s.fine(5) }); s.tables[0][5] <= 0 || s.tables[0][5] > 1 {
			t.Errorf("after reports: %v", s.tables[0])
		}
	})
	t.Run("not where there is nothing else", func(t *testing.T) {
		if s := cold(0); !s.bound["0 0 3"] || len(s.tables[0]) != 6 {
			t.Errorf("bound %v, table %v", s.bound, s.tables[0])
		}
	})
}
