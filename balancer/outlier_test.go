package balancer

import "testing"

func TestOutliersAreEjected(t *testing.T) {
	t.Run("a dead backend is ejected, readmitted at a quarter of its weight, ejected twice as long", func(t *testing.T) {
		host := startController(t, defaultSettings(), 6, 2)
		reportDead := func() { host.reportHealthy(2); host.reportOutcomes(2, 4, 4, 0) }
		host.run(5, reportDead)
		host.expectWeight(2, 0, "after five failures")
		host.run(11, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0.5, "after the backoff of 10 s")
		host.run(5, reportDead)
		host.expectWeight(2, 0, "after failing again")
		host.run(11, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0, "11 s after the second ejection")
		host.run(10, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0.5, "after a backoff of twice the time")
		host.run(8, func() { host.reportHealthy() })
		host.expectWeight(2, 2, "after 8 s of healthy reports")
	})
	t.Run("a backend that fails fast most of the time is ejected", func(t *testing.T) {
		host := startController(t, defaultSettings(), 6, 2)
		host.run(6, func() { host.reportHealthy(4); host.reportOutcomes(4, 10, 7, 200_000) })
		host.expectWeight(4, 0, "after most attempts failed")
	})
	for name, each := range map[string]func(host *fakeHost, turn, b int){
		"no backend is ejected for failures that most backends share": func(host *fakeHost, _, b int) {
			host.reportOutcomes(b, 10, 5+b%3, 250_000)
		},
		"no backend is ejected for a few failures in a row under overload": func(host *fakeHost, turn, b int) {
			host.reportOutcomes(b, 6, 4+2*toInt((turn+b)%3 == 0), 900_000)
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
				t.Errorf("table %v, want all eight backends", host.tables[0])
			}
		})
	}
	t.Run("in a network partition dead backends are ejected, but a quarter always stays", func(t *testing.T) {
		host := startController(t, defaultSettings(), 8, 2)
		host.run(6, func() {
			for b := range 8 {
				host.reportOutcomes(b, 10, 10*toInt(b > 1), 250_000*int64(toInt(b <= 1)))
			}
		})
		if len(host.tables[0]) != 2 {
			t.Errorf("table %v, want the two backends that answer", host.tables[0])
		}
		host.run(6, func() {
			for b := range 2 {
				host.reportOutcomes(b, 10, 10, 0)
			}
		})
		if len(host.tables[0]) < 2 {
			t.Errorf("table %v after the other two failed as well, want at least two backends", host.tables[0])
		}
	})
	t.Run("when all backends are ejected, all are published until some are readmitted", func(t *testing.T) {
		host := startController(t, defaultSettings(), 8, 2)
		host.run(5, func() {
			for b := range 8 {
				host.reportOutcomes(b, 10, 10*toInt(b > 1), 250_000*int64(toInt(b <= 1)))
			}
		})
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 0, State: Removed},
			{Backend: 1, State: Removed, Zone: 1}})
		host.run(1, nil)
		if len(host.tables[0]) != 6 {
			t.Errorf("table %v, want all six listed backends", host.tables[0])
		}
		host.run(30, func() { host.reportHealthy(0, 1) })
		for b := 2; b < 8; b++ {
			host.expectWeight(b, 2, "30 s later")
		}
	})
	t.Run("a passed health check readmits a backend, and the next backoff is longer", func(t *testing.T) {
		settings := defaultSettings()
		settings.telemetry.HealthChecksAllowed = true
		host := startController(t, settings, 6, 2)
		reportDead := func() { host.reportHealthy(2); host.reportOutcomes(2, 5, 5, 0) }
		if host.run(6, reportDead); len(host.healthChecks) == 0 {
			t.Error("no health check within six seconds")
		}
		host.controller.HealthCheckCompleted(2, HealthCheckPassed)
		host.run(2, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0.5, "after a passed health check")
		checksBefore := len(host.healthChecks)
		if host.run(6, reportDead); len(host.healthChecks) != checksBefore {
			t.Error("a health check within 6 s of renewed failures, want none so early in the longer backoff")
		}
	})
}

func TestReportsOlderThanRequests(t *testing.T) {
	// With 75 report lines per second for thousands of proxies and backends, reports are 10 to 20 s
	// old. Seen in runs with the whole fleet.
	t.Run("old reports from before a restart do not count against the new process", func(t *testing.T) {
		for span, wantEjected := range map[int64]bool{second: true, 20 * second: false} {
			host := startController(t, defaultSettings(), 8, 2)
			host.run(60, func() { host.reportHealthy(); host.reportDemandOver(span) })
			host.updateEndpoints(3, 4, Ready, host.now)
			host.run(6, func() {
				host.reportHealthy(3)
				host.reportDemandOver(span)
				host.controller.OutcomesReported(OutcomeReport{Backend: 3, Attempts: 30, Failures: 30, Span: span, Load: noLoad})
			})
			if host.controller.backends[3].ejected != wantEjected {
				t.Errorf("reports over %d s: ejected %v, want %v", span/second, !wantEjected, wantEjected)
			}
		}
	})
	t.Run("one report over a long time counts if other reports are not old", func(t *testing.T) {
		// The failures of a backend that had just returned to service were noticed too late. Seen in a
		// scaled-up Nairobi scenario.
		host := startController(t, defaultSettings(), 8, 2)
		host.run(5, func() { host.reportHealthy() })
		host.updateEndpoints(3, 4, Ready, host.now)
		host.controller.OutcomesReported(OutcomeReport{Backend: 3, Attempts: 30, Failures: 30, Span: 20 * second,
			Load: noLoad})
		if host.run(3, func() { host.reportHealthy(3) }); !host.controller.backends[3].ejected {
			t.Error("backend 3 was not ejected after 30 failures in one report")
		}
	})
	t.Run("long reports reduce a weight once, and again only once they cover the new weight", func(t *testing.T) {
		host := startController(t, defaultSettings(), 8, 2)
		host.run(60, func() { host.reportHealthy(); host.reportDemandOver(10 * second) })
		reportSlow := func() {
			host.reportHealthy(3)
			host.reportDemandOver(10 * second)
			host.controller.OutcomesReported(OutcomeReport{Backend: 3, Attempts: 30, MeanAnswerTime: 1_200_000,
				Span: 10 * second, Load: noLoad})
		}
		host.run(7, reportSlow)
		host.expectWeight(3, 2*weightReductionFactor, "after the first reports")
		host.run(9, reportSlow)
		host.expectWeight(3, 2*weightReductionFactor*weightReductionFactor, "after reports that cover the new weight")
	})
}
