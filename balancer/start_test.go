package balancer

import (
	"slices"
	"testing"
)

func TestStart(t *testing.T) {
	t.Run("nothing is withdrawn while nothing is heard", func(t *testing.T) {
		s := startController(t, defaultSettings(), 6, 3)
		s.run(40, nil)
		for b := range 6 {
			s.expectWeight(b, 2, "after silence")
		}
		if !s.assigned["2 0 3"] || len(s.limits) > 0 {
			t.Errorf("bound %v, levels %v", s.assigned, s.limits)
		}
	})
	t.Run("a proxy is bound only once there are lines", func(t *testing.T) {
		s := startController(t, defaultSettings(), 0, 2)
		s.run(3, nil)
		if len(s.assigned) > 0 {
			t.Fatal("bound without lines")
		}
		s.controller.EndpointsUpdated(true, []Endpoint{{Backend: 0, State: Ready, Weight: 1}})
		if len(s.assigned) != 2 {
			t.Errorf("bound %v once a line was there", s.assigned)
		}
	})
	t.Run("the same events give the same orders", func(t *testing.T) {
		run := func() []string {
			s := startController(t, defaultSettings(), 8, 4)
			s.run(20, func() { s.reportHealthy(3); s.reportOutcomes(3, 10, 10, 0) })
			return s.script
		}
		if !slices.Equal(run(), run()) {
			t.Error("orders differ")
		}
	})
	t.Run("a list that must be asked for is asked for again after a failure", func(t *testing.T) {
		x := defaultSettings()
		x.telemetry.PollingRequired, x.telemetry.MaxPollInterval = true, 10*second
		s := startController(t, x, 3, 1)
		s.run(1, nil)
		s.controller.EndpointPollFailed()
		s.run(3, nil)
		if s.polls != 2 {
			t.Errorf("asked %d times", s.polls)
		}
	})
	t.Run("a timer of an earlier life does nothing", func(t *testing.T) {
		s := startController(t, defaultSettings(), 3, 1)
		s.reportOutcomes(2, 9, 9, 0)
		timers, script := len(s.timers), len(s.script)
		s.now += 3 * second
		if s.controller.TimerFired(s.timerTag + 1); len(s.timers) != timers || len(s.script) != script {
			t.Errorf("%d timers, ordered %v", len(s.timers)-timers, s.script[script:])
		}
	})
	t.Run("absent and foreign figures harm nothing", func(t *testing.T) {
		s := startController(t, defaultSettings(), 3, 1)
		s.controller.OutcomesReported(99, 5, 5, 0, second, BackendLoad{})
		s.controller.OutcomesReported(1, 0, 0, 0, second, BackendLoad{})
		s.controller.DemandReported(0, 1, 5, 0)
		s.controller.Acknowledged(0, 60000)
		s.controller.HealthCheckCompleted(44, HealthCheckPassed)
		s.controller.TimerFired(12345)
		s.controller.EndpointPollFailed()
		s.controller.ProxyDisconnected(0)
		s.controller.ProxyDisconnected(0)
		s.controller.DemandReported(0, 0, 5, second)
		s.controller.ProxyConnected(0, 1, 10, false)
		s.controller.ProxyConnected(0, 1, 10, false)
		s.run(12, func() { s.reportOutcomes(0, 4, 4, 0) })
		if len(s.timers) != 1 {
			t.Errorf("%d timers run", len(s.timers))
		}
	})
}

func TestStartInAJam(t *testing.T) {
	// Found by a hunt: a controller came back into a jam, and bound its proxies to a backend that had just started too.
	cold := func(warm int) *fakeHost {
		s := startController(t, defaultSettings(), 0, 3)
		var all []Endpoint
		for b := range 6 {
			all = append(all, Endpoint{Backend: b, State: Ready, Weight: 2, StartedAt: (s.now - second) * int64(count(b >= warm))})
		}
		s.controller.EndpointsUpdated(true, all)
		s.run(1.5, nil)
		return s
	}
	t.Run("cold backends stay out until the first reports", func(t *testing.T) {
		s := cold(5)
		if !s.assigned["0 0 3"] || s.tables[0][5] > 0 || len(s.tables[0]) != 5 {
			t.Errorf("bound %v, table %v", s.assigned, s.tables[0])
		}
		if s.run(4, func() { s.reportHealthy(5) }); s.tables[0][5] <= 0 || s.tables[0][5] > 1 {
			t.Errorf("after reports: %v", s.tables[0])
		}
	})
	t.Run("not where there is nothing else", func(t *testing.T) {
		if s := cold(0); !s.assigned["0 0 3"] || len(s.tables[0]) != 6 {
			t.Errorf("bound %v, table %v", s.assigned, s.tables[0])
		}
	})
}
