package balancer

import "testing"

func TestPeerReports(t *testing.T) {
	t.Run("peer outcomes count by the same rules while ours met nothing", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(4, func() { host.reportHealthy(2) })
		host.controller.PeerOutcomesReported(2, 6, 6, 0, 0)
		host.run(3, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0, "after others' six failures")
	})
	t.Run("recent outcomes of our own count before them, both ways", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(8, func() { host.reportHealthy(); host.controller.PeerOutcomesReported(2, 6, 6, 0, 0) })
		host.expectWeight(2, 2, "while our own attempts are answered")
		host = startController(t, defaultSettings(), 4, 2)
		host.run(8, func() {
			host.reportHealthy(2)
			host.reportOutcomes(2, 10, 10, 0)
			host.controller.PeerOutcomesReported(2, 50, 0, 40_000, 0)
		})
		host.expectWeight(2, 0, "while our own attempts fail")
	})
	t.Run("consecutive failures are counted with those of peers, if our last attempts failed too", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(3, func() { host.reportHealthy() })
		host.reportOutcomes(2, 2, 2, 0)
		host.controller.PeerOutcomesReported(2, 2, 2, 0, 0)
		host.controller.PeerOutcomesReported(2, 9, 0, 40_000, 0) // others' answers are no answers to ours
		host.run(3, func() { host.reportHealthy(2) })
		host.expectWeight(2, 2, "after four in all")
		host.controller.PeerOutcomesReported(2, 1, 1, 0, 0)
		host.run(3, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0, "after five in all")
	})
	t.Run("they reduce no weight, show no overload, and eject none where most fail at peers too", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(8, func() { host.reportHealthy(2); host.controller.PeerOutcomesReported(2, 50, 0, 3_000_000, 0) })
		host.expectWeight(2, 2, "slow as others see it")
		if host.controller.admission.latencyRatio > overloadedRatio {
			t.Errorf("latency ratio %.2f", host.controller.admission.latencyRatio)
		}
		host = startController(t, defaultSettings(), 4, 2)
		host.run(8, func() {
			for b := range 4 {
				host.reportOutcomes(b, 10, 7, 40_000)
			}
			host.controller.PeerOutcomesReported(2, 50, 30, 40_000, 0)
		})
		host.expectWeight(2, 2, "where all fail alike")
	})
	t.Run("an ejection is reported to peers if our own proxies showed it, not if peers did", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(6, func() {
			host.reportHealthy(1, 2)
			host.reportOutcomes(1, 10, 10, 0)
			host.controller.PeerOutcomesReported(2, 6, 6, 0, 0)
		})
		if tries, failed, _, away := host.controller.Ejection(1); !away || tries == 0 || failed != tries {
			t.Errorf("our own: %d of %d, %v", failed, tries, away)
		}
		if _, _, _, away := host.controller.Ejection(2); away || !host.controller.backends[2].ejected {
			t.Errorf("that of others: told on %v, ejected %v", away, host.controller.backends[2].ejected)
		}
	})
	t.Run("a backend ejected by peer outcomes stays ejected for as long as there", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(4, func() { host.reportHealthy(2) })
		host.controller.PeerOutcomesReported(2, 6, 6, 0, 40*second)
		host.run(38, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0, "38 s later")
		host.run(6, func() { host.reportHealthy(2) })
		host.expectWeight(2, 0.5, "44 s later")
	})
	t.Run("the throughput that peers saw stands until we have seen it ourselves", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.controller.SeedThroughput(3, 0)
		if proven, able := host.controller.Throughput(); proven != 3 || able != 0 {
			t.Errorf("proven %g, able %g", proven, able)
		}
		host.controller.SeedThroughput(9, 2)
		if proven, able := host.controller.Throughput(); proven != 3 || able != 2 {
			t.Errorf("proven %g, able %g: our own must stand", proven, able)
		}
	})
	t.Run("a release is limited ahead of reports by the throughput that a peer had proven", func(t *testing.T) {
		for _, known := range []bool{true, false} {
			host := startController(t, defaultSettings(), 4, 2)
			if known {
				host.controller.SeedThroughput(0.15, 0)
			}
			for p := range 2 {
				host.controller.SeedDemand(p, []float64{10, 10})
			}
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 0, State: Draining, Weight: 2}, {Backend: 1, State: Draining, Weight: 2, Zone: 1},
				{Backend: 2, State: Draining, Weight: 2}})
			host.run(1, nil)
			if host.controller.admission.limiting != known {
				t.Errorf("known %v: limiting %v at %.1f", known, host.controller.admission.limiting, host.controller.admission.limit)
			}
		}
	})
	t.Run("messages of peers count: a proxy that connects gets its tables all the same, and then waits", func(t *testing.T) {
		settings := defaultSettings()
		settings.channel.MaxMessages, settings.channel.MessageWindow = 8, 10*second
		host := startController(t, settings, 4, 1)
		host.run(3, func() { host.reportHealthy() })
		host.controller.ProxyDisconnected(0)
		host.controller.MessagesSentByPeers(0, 4)
		host.controller.ProxyConnected(0, 0, 10, false)
		if !host.controller.proxies[0].tablesAssigned {
			t.Fatal("not bound, though four messages are left")
		}
		host.run(4, func() { host.reportHealthy(2); host.reportOutcomes(2, 10, 10, 0) })
		host.expectWeight(2, 0, "by the last message that is left for it")
		host.run(3, func() { host.reportHealthy(1, 2); host.reportOutcomes(1, 10, 10, 0) })
		host.expectWeight(1, 2, "as two are kept for what is urgent")
		host.updateEndpoints(3, 4, Draining, 0)
		host.run(1, nil)
		host.expectWeight(3, 0, "which a drain is")
		host.run(5, func() { host.reportHealthy(1, 2); host.reportOutcomes(1, 10, 10, 0) })
		host.expectWeight(1, 0, "once the span has passed")
		host.controller.MessagesSentByPeers(0, 8)
		if host.controller.pushQueue.mayPush(host.controller.proxies[0], host.now, true) {
			t.Error("all are spent, and one may go")
		}
		host.run(11, func() { host.reportHealthy(2) })
		if !host.controller.pushQueue.mayPush(host.controller.proxies[0], host.now, true) {
			t.Error("they count beyond the span")
		}
	})
}
