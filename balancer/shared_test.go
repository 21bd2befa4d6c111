package balancer

import "testing"

func TestShared(t *testing.T) {
	t.Run("what others met is judged by the same rule while ours have met nothing", func(t *testing.T) {
		s := begin(t, usual(), 4, 2)
		s.plays(4, func() { s.fine(2) })
		s.c.PeerOutcomesReported(2, 6, 6, 0, 0)
		s.plays(3, func() { s.fine(2) })
		s.weight(2, 0, "after others' six failures")
	})
	t.Run("what ours meet of late counts before it, both ways", func(t *testing.T) {
		s := begin(t, usual(), 4, 2)
		s.plays(8, func() { s.fine(); s.c.PeerOutcomesReported(2, 6, 6, 0, 0) })
		s.weight(2, 2, "while our own tries are answered")
		s = begin(t, usual(), 4, 2)
		s.plays(8, func() { s.fine(2); s.hears(2, 10, 10, 0); s.c.PeerOutcomesReported(2, 50, 0, 40_000, 0) })
		s.weight(2, 0, "while our own tries fail")
	})
	t.Run("tries in a row without an answer are counted with those of others, if our last ones had none either", func(t *testing.T) {
		s := begin(t, usual(), 4, 2)
		s.plays(3, func() { s.fine() })
		s.hears(2, 2, 2, 0)
		s.c.PeerOutcomesReported(2, 2, 2, 0, 0)
		s.c.PeerOutcomesReported(2, 9, 0, 40_000, 0) // others' answers are no answers to ours
		s.plays(3, func() { s.fine(2) })
		s.weight(2, 2, "after four in all")
		s.c.PeerOutcomesReported(2, 1, 1, 0, 0)
		s.plays(3, func() { s.fine(2) })
		s.weight(2, 0, "after five in all")
	})
	t.Run("it shows neither strain nor heat, and condemns nobody where most fail elsewhere too", func(t *testing.T) {
		s := begin(t, usual(), 4, 2)
		s.plays(8, func() { s.fine(2); s.c.PeerOutcomesReported(2, 50, 0, 3_000_000, 0) })
		s.weight(2, 2, "slow as others see it")
		if s.c.levels.heat > hotAt {
			t.Errorf("heat %.2f", s.c.levels.heat)
		}
		s = begin(t, usual(), 4, 2)
		s.plays(8, func() {
			for b := range 4 {
				s.hears(b, 10, 7, 40_000)
			}
			s.c.PeerOutcomesReported(2, 50, 30, 40_000, 0)
		})
		s.weight(2, 2, "where all fail alike")
	})
	t.Run("a withdrawal is told on if our own proxies showed it, not if others did", func(t *testing.T) {
		s := begin(t, usual(), 4, 2)
		s.plays(6, func() { s.fine(1, 2); s.hears(1, 10, 10, 0); s.c.PeerOutcomesReported(2, 6, 6, 0, 0) })
		if tries, failed, _, away := s.c.Ejection(1); !away || tries == 0 || failed != tries {
			t.Errorf("our own: %d of %d, %v", failed, tries, away)
		}
		if _, _, _, away := s.c.Ejection(2); away || !s.c.backends[2].away {
			t.Errorf("that of others: told on %v, away %v", away, s.c.backends[2].away)
		}
	})
	t.Run("what leaves R by others' word stays away for as long as there", func(t *testing.T) {
		s := begin(t, usual(), 4, 2)
		s.plays(4, func() { s.fine(2) })
		s.c.PeerOutcomesReported(2, 6, 6, 0, 40*second)
		s.plays(38, func() { s.fine(2) })
		s.weight(2, 0, "38 s later")
		s.plays(6, func() { s.fine(2) })
		s.weight(2, 0.5, "44 s later")
	})
	t.Run("what others saw the fleet do stands until we have seen it ourselves", func(t *testing.T) {
		s := begin(t, usual(), 4, 2)
		s.c.SeedThroughput(3, 0)
		if proven, able := s.c.Throughput(); proven != 3 || able != 0 {
			t.Errorf("proven %g, able %g", proven, able)
		}
		s.c.SeedThroughput(9, 2)
		if proven, able := s.c.Throughput(); proven != 3 || able != 2 {
			t.Errorf("proven %g, able %g: our own must stand", proven, able)
		}
	})
	t.Run("a release is capped ahead of reports by what another controller had proven", func(t *testing.T) {
		for _, known := range []bool{true, false} {
			s := begin(t, usual(), 4, 2)
			if known {
				s.c.SeedThroughput(0.15, 0)
			}
			for p := range 2 {
				s.c.SeedDemand(p, []float64{10, 10})
			}
			s.c.EndpointsUpdated(false, []Endpoint{{Backend: 0, State: Draining, Weight: 2}, {Backend: 1, State: Draining, Weight: 2, Zone: 1},
				{Backend: 2, State: Draining, Weight: 2}})
			s.plays(1, nil)
			if s.c.levels.bound != known {
				t.Errorf("known %v: limit bound %v at %.1f", known, s.c.levels.bound, s.c.levels.limit)
			}
		}
	})
	t.Run("messages that others sent count, a proxy that comes so is bound all the same, and then waits", func(t *testing.T) {
		x := usual()
		x.channel.MaxMessages, x.channel.MessageWindow = 8, 10*second
		s := begin(t, x, 4, 1)
		s.plays(3, func() { s.fine() })
		s.c.ProxyDisconnected(0)
		s.c.MessagesSentByPeers(0, 4)
		s.c.ProxyConnected(0, 0, 10, false)
		if !s.c.proxies[0].bound {
			t.Fatal("not bound, though four messages are left")
		}
		s.plays(4, func() { s.fine(2); s.hears(2, 10, 10, 0) })
		s.weight(2, 0, "by the last message that is left for it")
		s.plays(3, func() { s.fine(1, 2); s.hears(1, 10, 10, 0) })
		s.weight(1, 2, "as two are kept for what is urgent")
		s.lists(3, 4, Draining, 0)
		s.plays(1, nil)
		s.weight(3, 0, "which a drain is")
		s.plays(5, func() { s.fine(1, 2); s.hears(1, 10, 10, 0) })
		s.weight(1, 0, "once the span has passed")
		s.c.MessagesSentByPeers(0, 8)
		if s.c.channel.may(s.c.proxies[0], s.now, true) {
			t.Error("all are spent, and one may go")
		}
		s.plays(11, func() { s.fine(2) })
		if !s.c.channel.may(s.c.proxies[0], s.now, true) {
			t.Error("they count beyond the span")
		}
	})
}
