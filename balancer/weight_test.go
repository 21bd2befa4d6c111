package balancer

import "testing"

func TestWarmup(t *testing.T) {
	t.Run("backends that warm up get the weight that they can carry, whatever the load of the others", func(t *testing.T) {
		// Cold backends got no more weight while the fleet was overloaded, so that the fleet stayed
		// small and overloaded. Seen in an incident in a large scenario.
		for _, each := range []func(host *fakeHost) func(){reportOverload,
			func(host *fakeHost) func() { return func() { host.reportHealthy() } }} {
			host := startController(t, defaultSettings(), 4, 2)
			host.run(3, each(host))
			started := host.now
			host.updateEndpoints(4, 8, Ready, started)
			for range 20 {
				age := float64(host.now-started) / float64(17*second)
				if w := host.tables[0][7]; w > 2*(0.17+0.84*age) {
					t.Errorf("weight %.2f at %.2f of the warm-up time, want less", w, age)
				}
				host.run(1, each(host))
			}
			host.expectWeight(7, 2, "once it is warm")
		}
	})
	t.Run("a start time slightly ahead, as clocks differ, means warming up; one far ahead does not", func(t *testing.T) {
		host := startController(t, defaultSettings(), 3, 1)
		host.run(3, func() { host.reportHealthy() })
		host.updateEndpoints(3, 4, Ready, host.now+6*second)
		host.updateEndpoints(4, 5, Ready, host.now+3600*second)
		host.run(2.5, func() { host.reportHealthy() })
		host.expectWeight(3, 2*0.16, "start time six seconds ahead")
		host.expectWeight(4, 2*slowStartShare, "start time an hour ahead")
		host.run(30, func() { host.reportHealthy() })
		host.expectWeight(3, 2, "after the warm-up time")
		host.expectWeight(4, 2, "after its slow start")
	})
	t.Run("with AdmissionUnsupported, backends that warm up get no entry until an overload is over", func(t *testing.T) {
		settings := defaultSettings()
		settings.mode = AdmissionUnsupported
		host := startController(t, settings, 8, 3)
		host.run(6, reportOverload(host))
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 8, State: Ready, Weight: 2, StartedAt: host.now}})
		host.run(4, reportOverload(host))
		if host.expectWeight(8, 0, "during the overload"); len(host.limits) > 0 {
			t.Errorf("limits %v, want none with AdmissionUnsupported", host.limits)
		}
		host.run(4, func() { host.reportHealthy() })
		if host.tables[0][8] == 0 {
			t.Error("backend 8 has no entry after the overload")
		}
	})
}

func TestReducedWeight(t *testing.T) {
	t.Run("a slow backend loses part of its weight, is not ejected, and regains the weight", func(t *testing.T) {
		host := startController(t, defaultSettings(), 6, 2)
		host.run(4, func() { host.reportHealthy(1); host.reportOutcomes(1, 10, 2, 900_000) })
		if w := host.tables[0][1]; w >= 2 || w < 0.5 {
			t.Errorf("weight %.2f while slow, want it reduced, but not below 0.5", w)
		}
		host.run(90, func() { host.reportHealthy() })
		host.expectWeight(1, 2, "90 s after it was slow")
	})
	t.Run("a late backend that reports itself idle keeps its weight", func(t *testing.T) {
		// Among hundreds of backends some always answer late, and each change of a weight costs
		// lines of the push channel. Seen in large scenarios without faults.
		host := startController(t, defaultSettings(), 6, 2)
		host.run(12, func() {
			host.reportHealthy(1, 2)
			host.controller.OutcomesReported(OutcomeReport{Backend: 1, Attempts: 10, MeanAnswerTime: 900_000,
				Span: second, Load: BackendLoad{CPUUtilization: 0.5, QueueLength: -1, ServiceTime: -1}})
			host.controller.OutcomesReported(OutcomeReport{Backend: 2, Attempts: 10, MeanAnswerTime: 900_000,
				Span: second, Load: BackendLoad{CPUUtilization: 0.95, QueueLength: -1, ServiceTime: -1}})
		})
		if host.expectWeight(1, 2, "late but idle"); host.tables[0][2] >= 2 {
			t.Errorf("weight %.2f of a busy and late backend, want it reduced", host.tables[0][2])
		}
	})
	t.Run("a few backends that become slow lose weight, are ejected, and cause no limit", func(t *testing.T) {
		// A third of the fleet became slow, each slow backend kept a quarter of its weight, and
		// half of the requests were refused. Seen in large scenarios.
		host := startController(t, defaultSettings(), 12, 3)
		reportSlow := func() {
			host.reportHealthy(0, 1, 2, 3)
			for b := range 4 {
				host.reportOutcomes(b, 10, 3, 1800_000)
			}
		}
		host.run(4, reportSlow)
		if w := host.tables[0][1]; w <= 0 || w > 1.5 {
			t.Errorf("weight %.2f while slow, want more than 0 and at most 1.5", w)
		}
		if host.run(8, reportSlow); len(host.tables[0]) != 8 || len(host.limits) > 0 {
			t.Errorf("table %v, limits %v; want eight backends and no limits", host.tables[0], host.limits)
		}
	})
}

func TestListedWeight(t *testing.T) {
	t.Run("a load-dependent weight stays at the highest listed one", func(t *testing.T) {
		settings := defaultSettings()
		settings.telemetry.LoadDependentWeights = true
		host := startController(t, settings, 4, 2)
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Ready, Weight: 0.6, Zone: 1}})
		host.run(5, nil)
		host.expectWeight(1, 2, "after a lower weight was listed")
	})
}
