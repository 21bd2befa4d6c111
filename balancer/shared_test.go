package balancer

import "testing"

func TestShared(t *testing.T) {
	t.Run("what others met is judged by the same rule while ours have met nothing", func(t *testing.T) {
		s := startController(t, defaultSettings(), 4, 2)
		s.run(4, func() { s.reportHealthy(2) })
		s.controller.PeerOutcomesReported(2, 6, 6, 0, 0)
		s.run(3, func() { s.reportHealthy(2) })
		s.expectWeight(2, 0, "after others' six failures")
	})
	t.Run("what ours meet of late counts before it, both ways", func(t *testing.T) {
		s := startController(t, defaultSettings(), 4, 2)
		s.run(8, func() { s.reportHealthy(); s.controller.PeerOutcomesReported(2, 6, 6, 0, 0) })
		s.expectWeight(2, 2, "while our own tries are answered")
		s = startController(t, defaultSettings(), 4, 2)
		s.run(8, func() {
			s.reportHealthy(2)
			s.reportOutcomes(2, 10, 10, 0)
			s.controller.PeerOutcomesReported(2, 50, 0, 40_000, 0)
		})
		s.expectWeight(2, 0, "while our own tries fail")
	})
	t.Run("tries in a row without an answer are counted with those of others, if our last ones had none either", func(t *testing.T) {
		s := startController(t, defaultSettings(), 4, 2)
		s.run(3, func() { s.reportHealthy() })
		s.reportOutcomes(2, 2, 2, 0)
		s.controller.PeerOutcomesReported(2, 2, 2, 0, 0)
		s.controller.PeerOutcomesReported(2, 9, 0, 40_000, 0) // others' answers are no answers to ours
		s.run(3, func() { s.reportHealthy(2) })
		s.expectWeight(2, 2, "after four in all")
		s.controller.PeerOutcomesReported(2, 1, 1, 0, 0)
		s.run(3, func() { s.reportHealthy(2) })
		s.expectWeight(2, 0, "after five in all")
	})
	t.Run("it shows neither strain nor heat, and condemns nobody where most fail elsewhere too", func(t *testing.T) {
		s := startController(t, defaultSettings(), 4, 2)
		s.run(8, func() { s.reportHealthy(2); s.controller.PeerOutcomesReported(2, 50, 0, 3_000_000, 0) })
		s.expectWeight(2, 2, "slow as others see it")
		if s.controller.admission.latencyRatio > overloadedRatio {
			t.Errorf("heat %.2f", s.controller.admission.latencyRatio)
		}
		s = startController(t, defaultSettings(), 4, 2)
		s.run(8, func() {
			for b := range 4 {
				s.reportOutcomes(b, 10, 7, 40_000)
			}
			s.controller.PeerOutcomesReported(2, 50, 30, 40_000, 0)
		})
		s.expectWeight(2, 2, "where all fail alike")
	})
	t.Run("a withdrawal is told on if our own proxies showed it, not if others did", func(t *testing.T) {
		s := startController(t, defaultSettings(), 4, 2)
		s.run(6, func() {
			s.reportHealthy(1, 2)
			s.reportOutcomes(1, 10, 10, 0)
			s.controller.PeerOutcomesReported(2, 6, 6, 0, 0)
		})
		if tries, failed, _, away := s.controller.Ejection(1); !away || tries == 0 || failed != tries {
			t.Errorf("our own: %d of %d, %v", failed, tries, away)
		}
		if _, _, _, away := s.controller.Ejection(2); away || !s.controller.backends[2].ejected {
			t.Errorf("that of others: told on %v, away %v", away, s.controller.backends[2].ejected)
		}
	})
	t.Run("what leaves R by others' word stays away for as long as there", func(t *testing.T) {
		s := startController(t, defaultSettings(), 4, 2)
		s.run(4, func() { s.reportHealthy(2) })
		s.controller.PeerOutcomesReported(2, 6, 6, 0, 40*second)
		s.run(38, func() { s.reportHealthy(2) })
		s.expectWeight(2, 0, "38 s later")
		s.run(6, func() { s.reportHealthy(2) })
		s.expectWeight(2, 0.5, "44 s later")
	})
	t.Run("what others saw the fleet do stands until we have seen it ourselves", func(t *testing.T) {
		s := startController(t, defaultSettings(), 4, 2)
		s.controller.SeedThroughput(3, 0)
		if proven, able := s.controller.Throughput(); proven != 3 || able != 0 {
			t.Errorf("proven %g, able %g", proven, able)
		}
		s.controller.SeedThroughput(9, 2)
		if proven, able := s.controller.Throughput(); proven != 3 || able != 2 {
			t.Errorf("proven %g, able %g: our own must stand", proven, able)
		}
	})
	t.Run("a release is capped ahead of reports by what another controller had proven", func(t *testing.T) {
		for _, known := range []bool{true, false} {
			s := startController(t, defaultSettings(), 4, 2)
			if known {
				s.controller.SeedThroughput(0.15, 0)
			}
			for p := range 2 {
				s.controller.SeedDemand(p, []float64{10, 10})
			}
			s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 0, State: Draining, Weight: 2}, {Backend: 1, State: Draining, Weight: 2, Zone: 1},
				{Backend: 2, State: Draining, Weight: 2}})
			s.run(1, nil)
			if s.controller.admission.limiting != known {
				t.Errorf("known %v: limit bound %v at %.1f", known, s.controller.admission.limiting, s.controller.admission.limit)
			}
		}
	})
	t.Run("messages that others sent count, a proxy that comes so is bound all the same, and then waits", func(t *testing.T) {
		x := defaultSettings()
		x.channel.MaxMessages, x.channel.MessageWindow = 8, 10*second
		s := startController(t, x, 4, 1)
		s.run(3, func() { s.reportHealthy() })
		s.controller.ProxyDisconnected(0)
		s.controller.MessagesSentByPeers(0, 4)
		s.controller.ProxyConnected(0, 0, 10, false)
		if !s.controller.proxies[0].assigned {
			t.Fatal("not bound, though four messages are left")
		}
		s.run(4, func() { s.reportHealthy(2); s.reportOutcomes(2, 10, 10, 0) })
		s.expectWeight(2, 0, "by the last message that is left for it")
		s.run(3, func() { s.reportHealthy(1, 2); s.reportOutcomes(1, 10, 10, 0) })
		s.expectWeight(1, 2, "as two are kept for what is urgent")
		s.updateEndpoints(3, 4, Draining, 0)
		s.run(1, nil)
		s.expectWeight(3, 0, "which a drain is")
		s.run(5, func() { s.reportHealthy(1, 2); s.reportOutcomes(1, 10, 10, 0) })
		s.expectWeight(1, 0, "once the span has passed")
		s.controller.MessagesSentByPeers(0, 8)
		if s.controller.queue.mayPush(s.controller.proxies[0], s.now, true) {
			t.Error("all are spent, and one may go")
		}
		s.run(11, func() { s.reportHealthy(2) })
		if !s.controller.queue.mayPush(s.controller.proxies[0], s.now, true) {
			t.Error("they count beyond the span")
		}
	})
}
