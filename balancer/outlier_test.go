package balancer

import "testing"

func TestOutliersAreEjected(t *testing.T) {
	t.Run("a dead backend is ejected, readmitted at a quarter, and ejected for twice as long if it fails again", func(t *testing.T) {
		host := startController(t, defaultSettings(), 6, 2)
		bad := func() { host.reportHealthy(2); host.reportOutcomes(2, 4, 4, 0) }
		host.run(5, bad)
		host.expectWeight(2, 0, "after five failures")
		host.run(11, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0.5, "after ten seconds")
		host.run(5, bad)
		host.expectWeight(2, 0, "after failing again")
		host.run(11, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0, "eleven seconds on")
		host.run(10, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0.5, "after twice the time")
		host.run(8, func() { host.reportHealthy() })
		host.expectWeight(2, 2, "after answering well")
	})
	t.Run("a backend that fails fast most of the time is ejected", func(t *testing.T) {
		host := startController(t, defaultSettings(), 6, 2)
		host.run(6, func() { host.reportHealthy(4); host.reportOutcomes(4, 10, 7, 200_000) })
		host.expectWeight(4, 0, "after failing most")
	})
	for name, each := range map[string]func(host *fakeHost, turn, b int){
		"failures that most backends share eject none": func(host *fakeHost, _, b int) { host.reportOutcomes(b, 10, 5+b%3, 250_000) },
		"under overload a few failures in a row eject none": func(host *fakeHost, turn, b int) {
			host.reportOutcomes(b, 6, 4+2*count((turn+b)%3 == 0), 900_000)
		},
	} {
		t.Run(name, func(t *testing.T) {
			host, turn := startController(t, defaultSettings(), 8, 3), 0
			host.run(9, func() {
				turn++
				for b := range 8 {
					each(host, turn, b)
				}
				host.reportDemand(40, 20)
			})
			if len(host.tables[0]) != 8 {
				t.Errorf("table %v", host.tables[0])
			}
		})
	}
	t.Run("behind a partition dead backends are ejected, but a quarter always stays", func(t *testing.T) {
		host := startController(t, defaultSettings(), 8, 2)
		host.run(6, func() {
			for b := range 8 {
				host.reportOutcomes(b, 10, 10*count(b > 1), 250_000*int64(count(b <= 1)))
			}
		})
		if len(host.tables[0]) != 2 {
			t.Errorf("table %v, want the two that answer", host.tables[0])
		}
		host.run(6, func() {
			for b := range 2 {
				host.reportOutcomes(b, 10, 10, 0)
			}
		})
		if len(host.tables[0]) < 2 {
			t.Errorf("table %v after the rest failed as well", host.tables[0])
		}
	})
	t.Run("when all are ejected all are published, until some are readmitted", func(t *testing.T) {
		host := startController(t, defaultSettings(), 8, 2)
		host.run(5, func() {
			for b := range 8 {
				host.reportOutcomes(b, 10, 10*count(b > 1), 250_000*int64(count(b <= 1)))
			}
		})
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 0, State: Removed}, {Backend: 1, State: Removed, Zone: 1}})
		host.run(1, nil)
		if len(host.tables[0]) != 6 {
			t.Errorf("table %v, want all six that are listed", host.tables[0])
		}
		host.run(30, func() { host.reportHealthy(0, 1) })
		for b := 2; b < 8; b++ {
			host.expectWeight(b, 2, "long after")
		}
	})
	t.Run("a passed health check readmits a backend, and the next backoff is longer if it fails again", func(t *testing.T) {
		settings := defaultSettings()
		settings.telemetry.HealthChecksAllowed = true
		host := startController(t, settings, 6, 2)
		bad := func() { host.reportHealthy(2); host.reportOutcomes(2, 5, 5, 0) }
		if host.run(6, bad); len(host.healthChecks) == 0 {
			t.Error("no probe within six seconds")
		}
		host.controller.HealthCheckCompleted(2, HealthCheckPassed)
		host.run(2, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0.5, "after a passed probe")
		n := len(host.healthChecks)
		if host.run(6, bad); len(host.healthChecks) != n {
			t.Error("probed as soon when it had failed again")
		}
	})
}

func TestReportsOlderThanRequests(t *testing.T) {
	// Found on the days of the whole fleet: 75 report lines a second for thousands of keys, each 10 to 20 s old.
	t.Run("outcomes from before a restart say nothing of the new process", func(t *testing.T) {
		for span, away := range map[int64]bool{second: true, 20 * second: false} {
			host := startController(t, defaultSettings(), 8, 2)
			host.run(60, func() { host.reportHealthy(); host.reportDemandOver(span) })
			host.updateEndpoints(3, 4, Ready, host.now)
			host.run(6, func() {
				host.reportHealthy(3)
				host.reportDemandOver(span)
				host.controller.OutcomesReported(OutcomeReport{Backend: 3, Attempts: 30, Failures: 30, Span: span, Load: noLoad})
			})
			if host.controller.backends[3].ejected != away {
				t.Errorf("reports over %d s: ejected %v", span/second, !away)
			}
		}
	})
	t.Run("one long report of a backend without reports counts, where others are not old", func(t *testing.T) {
		// Found on grown Nairobi: what had been away was heard of too late once it was back.
		host := startController(t, defaultSettings(), 8, 2)
		host.run(5, func() { host.reportHealthy() })
		host.updateEndpoints(3, 4, Ready, host.now)
		host.controller.OutcomesReported(OutcomeReport{Backend: 3, Attempts: 30, Failures: 30, Span: 20 * second, Load: noLoad})
		if host.run(3, func() { host.reportHealthy(3) }); !host.controller.backends[3].ejected {
			t.Error("it was not heard")
		}
	})
	t.Run("a backend's weight is reduced once for what long reports tell, and again by what came after", func(t *testing.T) {
		host := startController(t, defaultSettings(), 8, 2)
		host.run(60, func() { host.reportHealthy(); host.reportDemandOver(10 * second) })
		slow := func() {
			host.reportHealthy(3)
			host.reportDemandOver(10 * second)
			host.controller.OutcomesReported(OutcomeReport{Backend: 3, Attempts: 30, MeanAnswerTime: 1_200_000, Span: 10 * second, Load: noLoad})
		}
		host.run(7, slow)
		host.expectWeight(3, 2*weightReductionFactor, "after the first reports")
		host.run(9, slow)
		host.expectWeight(3, 2*weightReductionFactor*weightReductionFactor, "after those of its new weight")
	})
}
