package balancer

import (
	"slices"
	"testing"
)

func TestStartAndForeignFigures(t *testing.T) {
	t.Run("nothing is ejected while nothing is reported", func(t *testing.T) {
		host := startController(t, defaultSettings(), 6, 3)
		host.run(40, nil)
		for b := range 6 {
			host.expectWeight(b, 2, "after silence")
		}
		if !host.assigned["2 0 3"] || len(host.limits) > 0 {
			t.Errorf("assigned %v, limits %v", host.assigned, host.limits)
		}
	})
	t.Run("a proxy gets tables only once they have entries", func(t *testing.T) {
		host := startController(t, defaultSettings(), 0, 2)
		host.run(3, nil)
		if len(host.assigned) > 0 {
			t.Fatal("bound without lines")
		}
		host.controller.EndpointsUpdated(true, []Endpoint{{Backend: 0, State: Ready, Weight: 1}})
		if len(host.assigned) != 2 {
			t.Errorf("assigned %v once a line was there", host.assigned)
		}
	})
	t.Run("the same events give the same effects", func(t *testing.T) {
		run := func() []string {
			host := startController(t, defaultSettings(), 8, 4)
			host.run(20, func() { host.reportHealthy(3); host.reportOutcomes(3, 10, 10, 0) })
			return host.script
		}
		if !slices.Equal(run(), run()) {
			t.Error("orders differ")
		}
	})
	t.Run("a list that must be polled is polled again after a failure", func(t *testing.T) {
		settings := defaultSettings()
		settings.telemetry.PollingRequired, settings.telemetry.MaxPollInterval = true, 10*second
		host := startController(t, settings, 3, 1)
		host.run(1, nil)
		host.controller.EndpointPollFailed()
		host.run(3, nil)
		if host.polls != 2 {
			t.Errorf("asked %d times", host.polls)
		}
	})
	t.Run("a timer of an earlier incarnation does nothing", func(t *testing.T) {
		host := startController(t, defaultSettings(), 3, 1)
		host.reportOutcomes(2, 9, 9, 0)
		timers, script := len(host.timers), len(host.script)
		host.now += 3 * second
		if host.controller.TimerFired(host.timerTag + 1); len(host.timers) != timers || len(host.script) != script {
			t.Errorf("%d timers, ordered %v", len(host.timers)-timers, host.script[script:])
		}
	})
	t.Run("absent and foreign figures do no harm", func(t *testing.T) {
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
			t.Errorf("%d timers run", len(host.timers))
		}
	})
}

func TestStartUnderOverload(t *testing.T) {
	// Found by a hunt: a controller came back into a jam, and bound its proxies to a backend that had just started too.
	cold := func(warm int) *fakeHost {
		host := startController(t, defaultSettings(), 0, 3)
		var all []Endpoint
		for b := range 6 {
			all = append(all, Endpoint{Backend: b, State: Ready, Weight: 2, StartedAt: (host.now - second) * int64(count(b >= warm))})
		}
		host.controller.EndpointsUpdated(true, all)
		host.run(1.5, nil)
		return host
	}
	t.Run("backends that warm up stay out until the first reports", func(t *testing.T) {
		host := cold(5)
		if !host.assigned["0 0 3"] || host.tables[0][5] > 0 || len(host.tables[0]) != 5 {
			t.Errorf("assigned %v, table %v", host.assigned, host.tables[0])
		}
		if host.run(4, func() { host.reportHealthy(5) }); host.tables[0][5] <= 0 || host.tables[0][5] > 1 {
			t.Errorf("after reports: %v", host.tables[0])
		}
	})
	t.Run("but not where there is nothing else", func(t *testing.T) {
		if host := cold(0); !host.assigned["0 0 3"] || len(host.tables[0]) != 6 {
			t.Errorf("assigned %v, table %v", host.assigned, host.tables[0])
		}
	})
}
