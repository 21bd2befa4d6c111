package balancer

import (
	"slices"
	"testing"
)

func TestStartAndInvalidEvents(t *testing.T) {
	t.Run("nothing is ejected while nothing is reported", func(t *testing.T) {
		host := startController(t, defaultSettings(), 6, 3)
		host.run(40, nil)
		for b := range 6 {
			host.expectWeight(b, 2, "without reports")
		}
		if !host.assigned["2 0 3"] || len(host.limits) > 0 {
			t.Errorf("assigned tables are %v, want proxy 2 among them; limits are %v, want none",
				host.assigned, host.limits)
		}
	})
	t.Run("a proxy gets tables only once they have entries", func(t *testing.T) {
		host := startController(t, defaultSettings(), 0, 2)
		host.run(3, nil)
		if len(host.assigned) > 0 {
			t.Fatalf("assigned tables are %v although no table has an entry, want none", host.assigned)
		}
		host.controller.EndpointsUpdated(true, []Endpoint{{Backend: 0, State: Ready, Weight: 1}})
		if len(host.assigned) != 2 {
			t.Errorf("assigned tables are %v after the first entry, want 2", host.assigned)
		}
	})
	t.Run("the same events give the same effects", func(t *testing.T) {
		run := func() []string {
			host := startController(t, defaultSettings(), 8, 4)
			host.run(20, func() { host.reportHealthy(3); host.reportOutcomes(3, 10, 10, 0) })
			return host.effects
		}
		if !slices.Equal(run(), run()) {
			t.Error("two runs with the same events gave different effects")
		}
	})
	t.Run("an endpoint list that must be polled is polled again after a failure", func(t *testing.T) {
		settings := defaultSettings()
		settings.telemetry.PollingRequired, settings.telemetry.MaxPollInterval = true, 10*second
		host := startController(t, settings, 3, 1)
		host.run(1, nil)
		host.controller.EndpointPollFailed()
		host.run(3, nil)
		if host.polls != 2 {
			t.Errorf("the list was polled %d times, want 2", host.polls)
		}
	})
	t.Run("a timer of an earlier incarnation does nothing", func(t *testing.T) {
		host := startController(t, defaultSettings(), 3, 1)
		host.reportOutcomes(2, 9, 9, 0)
		timers, effects := len(host.timers), len(host.effects)
		host.now += 3 * second
		if host.controller.TimerFired(host.timerTag + 1); len(host.timers) != timers || len(host.effects) != effects {
			t.Errorf("%d timers were set, with effects %v, want none", len(host.timers)-timers, host.effects[effects:])
		}
	})
	t.Run("events with empty figures, unknown backends, acks or timers, or out of order, do no harm", func(t *testing.T) {
		host := startController(t, defaultSettings(), 3, 1)
		host.controller.OutcomesReported(OutcomeReport{Backend: 99, Attempts: 5, Failures: 5, Span: second})
		host.controller.OutcomesReported(OutcomeReport{Backend: 1, Attempts: 0, Span: second})
		host.controller.DemandReported(0, 1, 5, 0)
		host.controller.Acknowledged(0, 60000)
		host.controller.HealthCheckCompleted(44, HealthCheckPassed)
		host.controller.TimerFired(12345)
		host.controller.EndpointPollFailed()
		host.controller.ProxyDisconnected(0)
		host.controller.ProxyDisconnected(0)
		host.controller.DemandReported(0, 0, 5, second)
		host.controller.ProxyConnected(0, 1, 10, false)
		host.controller.ProxyConnected(0, 1, 10, false)
		host.run(12, func() { host.reportOutcomes(0, 4, 4, 0) })
		if len(host.timers) != 1 {
			t.Errorf("%d timers are set, want 1", len(host.timers))
		}
	})
}

func TestStartUnderOverload(t *testing.T) {
	// A controller restarted under overload. The tables that it assigned to its proxies contained a
	// backend that had just started as well.
	startWithCold := func(warmCount int) *fakeHost {
		host := startController(t, defaultSettings(), 0, 3)
		var endpoints []Endpoint
		for b := range 6 {
			startedAt := (host.now - second) * int64(toInt(b >= warmCount))
			endpoints = append(endpoints, Endpoint{Backend: b, State: Ready, Weight: 2, StartedAt: startedAt})
		}
		host.controller.EndpointsUpdated(true, endpoints)
		host.run(1.5, nil)
		return host
	}
	t.Run("backends that are warming up get no entry until the first reports", func(t *testing.T) {
		host := startWithCold(5)
		if !host.assigned["0 0 3"] || host.tables[0][5] > 0 || len(host.tables[0]) != 5 {
			t.Errorf("assigned tables are %v, want proxy 0 among them; the table is %v, want backends 0 to 4",
				host.assigned, host.tables[0])
		}
		if host.run(4, func() { host.reportHealthy(5) }); host.tables[0][5] <= 0 || host.tables[0][5] > 1 {
			t.Errorf("after reports the table is %v, want a weight above 0 and at most 1 for backend 5", host.tables[0])
		}
	})
	t.Run("backends that are warming up get entries if all backends are", func(t *testing.T) {
		if host := startWithCold(0); !host.assigned["0 0 3"] || len(host.tables[0]) != 6 {
			t.Errorf("assigned tables are %v, want proxy 0 among them; the table is %v, want all 6 backends",
				host.assigned, host.tables[0])
		}
	})
}
