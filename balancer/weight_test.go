package balancer

import "testing"

func TestWarmup(t *testing.T) {
	t.Run("backends that warm up get what they surely can do, however loaded the rest is", func(t *testing.T) {
		// Found in an incident at size: cold ones got no more while hot, so the fleet stayed small, and hot.
		for _, each := range []func(host *fakeHost) func(){reportOverload, func(host *fakeHost) func() { return func() { host.reportHealthy() } }} {
			host := startController(t, defaultSettings(), 4, 2)
			host.run(3, each(host))
			started := host.now
			host.updateEndpoints(4, 8, Ready, started)
			for range 20 {
				age := float64(host.now-started) / float64(17*second)
				if w := host.tables[0][7]; w > 2*(0.17+0.84*age) {
					t.Errorf("weight %.2f at %.2f of its warming", w, age)
				}
				host.run(1, each(host))
			}
			host.expectWeight(7, 2, "when warm")
		}
	})
	t.Run("a start a moment from now, as clocks differ, is warming up; one far ahead is not", func(t *testing.T) {
		host := startController(t, defaultSettings(), 3, 1)
		host.run(3, func() { host.reportHealthy() })
		host.updateEndpoints(3, 4, Ready, host.now+6*second)
		host.updateEndpoints(4, 5, Ready, host.now+3600*second)
		host.run(2.5, func() { host.reportHealthy() })
		host.expectWeight(3, 2*0.16, "six seconds ahead")
		host.expectWeight(4, 2*slowStartShare, "an hour ahead")
		host.run(30, func() { host.reportHealthy() })
		host.expectWeight(3, 2, "when it is warm")
		host.expectWeight(4, 2, "eased in")
	})
	t.Run("where limits are not supported, backends that warm up stay out of an overload, and enter after it", func(t *testing.T) {
		settings := defaultSettings()
		settings.mode = AdmissionUnsupported
		host := startController(t, settings, 8, 3)
		host.run(6, reportOverload(host))
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 8, State: Ready, Weight: 2, StartedAt: host.now}})
		host.run(4, reportOverload(host))
		if host.expectWeight(8, 0, "in the overload"); len(host.limits) > 0 {
			t.Errorf("limits %v", host.limits)
		}
		host.run(4, func() { host.reportHealthy() })
		if host.tables[0][8] == 0 {
			t.Error("still out after the overload")
		}
	})
}

func TestReducedWeight(t *testing.T) {
	t.Run("a slow backend loses part of its weight, is not ejected, and gets it back", func(t *testing.T) {
		host := startController(t, defaultSettings(), 6, 2)
		host.run(4, func() { host.reportHealthy(1); host.reportOutcomes(1, 10, 2, 900_000) })
		if w := host.tables[0][1]; w >= 2 || w < 0.5 {
			t.Errorf("weight %.2f while slow", w)
		}
		host.run(90, func() { host.reportHealthy() })
		host.expectWeight(1, 2, "long after")
	})
	t.Run("a late backend that reports itself idle keeps its weight", func(t *testing.T) {
		// Found on quiet days at size: among hundreds some are always late, and moving load costs lines.
		host := startController(t, defaultSettings(), 6, 2)
		host.run(12, func() {
			host.reportHealthy(1, 2)
			host.controller.OutcomesReported(OutcomeReport{Backend: 1, Attempts: 10, MeanAnswerTime: 900_000, Span: second, Load: BackendLoad{CPUUtilization: 0.5, QueueLength: -1, ServiceTime: -1}})
			host.controller.OutcomesReported(OutcomeReport{Backend: 2, Attempts: 10, MeanAnswerTime: 900_000, Span: second, Load: BackendLoad{CPUUtilization: 0.95, QueueLength: -1, ServiceTime: -1}})
		})
		if host.expectWeight(1, 2, "idle"); host.tables[0][2] >= 2 {
			t.Errorf("weight %.2f of one that is busy, and late", host.tables[0][2])
		}
	})
	t.Run("a few backends that slow down more and more lose weight, are ejected, and make no overload", func(t *testing.T) {
		// Found at size: a third of the fleet aged and kept a quarter each, and half of the requests were refused.
		host := startController(t, defaultSettings(), 12, 3)
		age := func() {
			host.reportHealthy(0, 1, 2, 3)
			for b := range 4 {
				host.reportOutcomes(b, 10, 3, 1800_000)
			}
		}
		host.run(4, age)
		if w := host.tables[0][1]; w <= 0 || w > 1.5 {
			t.Errorf("weight %.2f while it ages", w)
		}
		if host.run(8, age); len(host.tables[0]) != 8 || len(host.limits) > 0 {
			t.Errorf("table %v, limits %v", host.tables[0], host.limits)
		}
	})
}

func TestListedWeight(t *testing.T) {
	t.Run("load-dependent weights stay at the highest listed", func(t *testing.T) {
		settings := defaultSettings()
		settings.telemetry.LoadDependentWeights = true
		host := startController(t, settings, 4, 2)
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Ready, Weight: 0.6, Zone: 1}})
		host.run(5, nil)
		host.expectWeight(1, 2, "under load")
	})
}
