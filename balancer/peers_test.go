package balancer

import "testing"

func TestPeerReports(t *testing.T) {
	t.Run("peer outcomes count by the same rules while this controller has no own outcomes", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(4, func() { host.reportHealthy(2) })
		host.controller.PeerOutcomesReported(2, 6, 6, 0, 0)
		host.run(3, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0, "after six failures reported by a peer")
	})
	t.Run("recent own outcomes take precedence over peer outcomes, good or bad", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(8, func() { host.reportHealthy(); host.controller.PeerOutcomesReported(2, 6, 6, 0, 0) })
		host.expectWeight(2, 2, "while own attempts are answered")
		host = startController(t, defaultSettings(), 4, 2)
		host.run(8, func() {
			host.reportHealthy(2)
			host.reportOutcomes(2, 10, 10, 0)
			host.controller.PeerOutcomesReported(2, 50, 0, 40_000, 0)
		})
		host.expectWeight(2, 0, "while own attempts fail")
	})
	t.Run("consecutive failures include those of peers if the last own attempts failed too", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(3, func() { host.reportHealthy() })
		host.reportOutcomes(2, 2, 2, 0)
		host.controller.PeerOutcomesReported(2, 2, 2, 0, 0)
		// Answers that other controllers report do not reset the count of consecutive failures.
		host.controller.PeerOutcomesReported(2, 9, 0, 40_000, 0)
		host.run(3, func() { host.reportHealthy(2) })
		host.expectWeight(2, 2, "after four consecutive failures in total")
		host.controller.PeerOutcomesReported(2, 1, 1, 0, 0)
		host.run(3, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0, "after five consecutive failures in total")
	})
	t.Run("peer outcomes reduce no weight, show no overload, and eject nothing if most backends fail", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(8, func() { host.reportHealthy(2); host.controller.PeerOutcomesReported(2, 50, 0, 3_000_000, 0) })
		host.expectWeight(2, 2, "reported as slow by a peer")
		if host.controller.admission.latencyRatio > overloadedRatio {
			t.Errorf("latency ratio %.2f, want no overload", host.controller.admission.latencyRatio)
		}
		host = startController(t, defaultSettings(), 4, 2)
		host.run(8, func() {
			for b := range 4 {
				host.reportOutcomes(b, 10, 7, 40_000)
			}
			host.controller.PeerOutcomesReported(2, 50, 30, 40_000, 0)
		})
		host.expectWeight(2, 2, "while all backends fail alike")
	})
	t.Run("an ejection is reported to peers if it rests on own outcomes, not on peer outcomes", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(6, func() {
			host.reportHealthy(1, 2)
			host.reportOutcomes(1, 10, 10, 0)
			host.controller.PeerOutcomesReported(2, 6, 6, 0, 0)
		})
		if attempts, failures, _, ejected := host.controller.Ejection(1); !ejected || attempts == 0 || failures != attempts {
			t.Errorf("own outcomes: %d of %d attempts failed, reported %v; want a reported ejection",
				failures, attempts, ejected)
		}
		if _, _, _, reported := host.controller.Ejection(2); reported || !host.controller.backends[2].ejected {
			t.Errorf("peer outcomes: reported %v, ejected %v; want an ejection that is not reported",
				reported, host.controller.backends[2].ejected)
		}
	})
	t.Run("a backend ejected by peer outcomes stays ejected for as long as at the peer", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(4, func() { host.reportHealthy(2) })
		host.controller.PeerOutcomesReported(2, 6, 6, 0, 40*second)
		host.run(38, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0, "38 s later")
		host.run(6, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0.5, "44 s later")
	})
	t.Run("the throughput seen by peers applies until this controller has seen its own", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.controller.SeedThroughput(3, 0)
		if proven, saturated := host.controller.Throughput(); proven != 3 || saturated != 0 {
			t.Errorf("proven throughput %g, saturated throughput %g; want 3 and 0", proven, saturated)
		}
		host.controller.SeedThroughput(9, 2)
		if proven, saturated := host.controller.Throughput(); proven != 3 || saturated != 2 {
			t.Errorf("proven throughput %g, saturated throughput %g; want 3 and 2: known values stay",
				proven, saturated)
		}
	})
	t.Run("a release is limited ahead of reports by the proven throughput of a peer", func(t *testing.T) {
		for _, known := range []bool{true, false} {
			host := startController(t, defaultSettings(), 4, 2)
			if known {
				host.controller.SeedThroughput(0.15, 0)
			}
			for p := range 2 {
				host.controller.SeedDemand(p, []float64{10, 10})
			}
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 0, State: Draining, Weight: 2},
				{Backend: 1, State: Draining, Weight: 2, Zone: 1}, {Backend: 2, State: Draining, Weight: 2}})
			host.run(1, nil)
			if host.controller.admission.limiting != known {
				t.Errorf("throughput known %v: limiting %v at %.1f units/s, want a limit only if it is known",
					known, host.controller.admission.limiting, host.controller.admission.limit)
			}
		}
	})
}
