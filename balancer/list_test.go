package balancer

import (
	"testing"
)

func TestList(t *testing.T) {
	t.Run("draining and gone backends are left at once, whatever tables are held", func(t *testing.T) {
		s := startController(t, defaultSettings(), 4, 2)
		s.run(3, nil)
		s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
		s.expectWeight(1, 0, "while draining")
		s.run(1, nil)
		s.controller.EndpointsUpdated(true, []Endpoint{{Backend: 0, State: Ready, Weight: 2}, {Backend: 2, State: Ready, Weight: 2}})
		s.expectWeight(3, 0, "when missing from the whole list")
		if !s.withdrawn[1] || !s.withdrawn[3] || s.withdrawn[0] {
			t.Errorf("withdrawn %v", s.withdrawn)
		}
		s.run(1, nil)
		s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Ready, Weight: 2, Zone: 1}})
		s.run(8, nil)
		if s.expectWeight(1, 2, "ready again"); s.withdrawn[1] {
			t.Error("still withdrawn")
		}
	})
	t.Run("backends that drop one by one do not use up the messages", func(t *testing.T) {
		// Found in an incident: seven entries, a message each, and the eighth had to wait past the grace.
		x := defaultSettings()
		x.channel.MaxMessages, x.limits.DrainGrace = 12, 1500_000
		s := startController(t, x, 24, 3)
		s.run(12, func() { s.reportHealthy() })
		for b := range 8 {
			told := s.now
			s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 3 * b, State: Removed, Zone: b % 2}})
			s.run(0.2, nil)
			for s.tables[0][3*b] > 0 && s.now-told < x.limits.DrainGrace {
				s.run(0.25, nil)
			}
			if late := s.now + x.channel.MaxLatency - told; s.tables[0][3*b] > 0 || late > x.limits.DrainGrace {
				t.Errorf("backend %d left %d us after it dropped", 3*b, late)
			}
		}
		for i, at := range s.messages {
			if i >= 12 && at-s.messages[i-12] < 10*second {
				t.Errorf("13 messages within %d us", at-s.messages[i-12])
			}
		}
	})
	t.Run("a drain does not wait for proxies that join one by one", func(t *testing.T) {
		// Found by a hunt at size: a controller restarted, its proxies dialled for four seconds, each bind held
		// up all other orders, and the grace was over.
		s := startController(t, defaultSettings(), 6, 3)
		s.run(3, func() { s.reportHealthy() })
		for p := range 12 {
			s.controller.ProxyConnected(3+p, 0, 10, false)
			if p == 1 {
				s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
			}
			s.run(0.125, nil)
		}
		s.expectWeight(1, 0, "while proxies join")
	})
	t.Run("a drain that is heard of late has what is left of its grace, and does not wait for others", func(t *testing.T) {
		x := defaultSettings()
		x.channel.MaxMessages = 4
		for late, waits := range map[int64]bool{0: true, second: true, 5 * second / 2: false, 100 * second: false, -second: true} {
			s := startController(t, x, 6, 3)
			s.run(12, func() { s.reportHealthy() })
			s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
			s.run(0.1, nil)
			s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Draining, Weight: 2, DrainingSince: s.now - late}})
			if waiting := s.tables[0][2] > 0; waiting != waits {
				t.Errorf("ordered %d us ago: waits %v", late, waiting)
			}
			s.run(3, nil)
			if s.controller.remainingGrace != x.limits.DrainGrace {
				t.Errorf("%d us are left of the grace once all is told", s.controller.remainingGrace)
			}
			s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Ready, Weight: 2}})
			s.run(12, func() { s.reportHealthy() })
			s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 3, State: Draining, Weight: 2, Zone: 1}})
			s.run(0.1, nil)
			if s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Draining, Weight: 2}}); s.tables[0][2] == 0 {
				t.Error("what was late of a drain that is over counts for the next")
			}
		}
	})
	t.Run("drains that do not fit as one piece wait for an emptier channel, few do not", func(t *testing.T) {
		// Found in an incident: two waves in six small pieces, a third of them headers, and the last came late.
		s := startController(t, defaultSettings(), 50, 20)
		s.run(3, func() { s.reportHealthy() })
		s.now += second // no mark comes back meanwhile
		s.updateEndpoints(0, 5, Draining, 0)
		first := len(s.tables[0])
		s.now += second
		if s.updateEndpoints(5, 40, Draining, 0); first != 45 || len(s.tables[0]) != 45 {
			t.Errorf("%d left after the first wave, %d after the second", first, len(s.tables[0]))
		}
		before := len(s.messages)
		if s.controller.ProxyConnected(20, 0, 10, false); s.assigned["20 0 3"] { // found by a hunt: binds kept the channel from emptying
			t.Error("bound while drains wait for room")
		}
		if s.run(2, nil); len(s.tables[0]) != 10 || len(s.messages) > before+3 {
			t.Errorf("%d left of 10, in %d pieces", len(s.tables[0]), len(s.messages)-before)
		}
	})
	t.Run("a list that drops most, with many unbound, does not fill the channel", func(t *testing.T) {
		// Found by a hunt at size: 47 withdrawals went to 40 proxies that had just joined, in one message each.
		s := startController(t, defaultSettings(), 40, 0)
		for p := range 30 {
			s.controller.ProxyConnected(p, 0, 10, false)
		}
		if s.updateEndpoints(0, 35, Removed, 0); s.controller.queue.queuedLines > 900 {
			t.Errorf("%.0f lines wait", s.controller.queue.queuedLines)
		}
		if s.run(12, nil); len(s.tables[0]) != 5 || !s.withdrawn[34] {
			t.Errorf("table %v, out %v", s.tables[0], s.withdrawn)
		}
	})
	t.Run("cold backends are eased in by what they surely can do, however hot the rest is", func(t *testing.T) {
		// Found in an incident at size: cold ones got no more while hot, so the fleet stayed small, and hot.
		for _, each := range []func(s *fakeHost) func(){reportOverload, func(s *fakeHost) func() { return func() { s.reportHealthy() } }} {
			s := startController(t, defaultSettings(), 4, 2)
			s.run(3, each(s))
			started := s.now
			s.updateEndpoints(4, 8, Ready, started)
			for range 20 {
				age := float64(s.now-started) / float64(17*second)
				if w := s.tables[0][7]; w > 2*(0.17+0.84*age) {
					t.Errorf("weight %.2f at %.2f of its warming", w, age)
				}
				s.run(1, each(s))
			}
			s.expectWeight(7, 2, "when warm")
		}
	})
	t.Run("one that is to start a moment from now, as clocks differ, is cold; a start far ahead is nobody's", func(t *testing.T) {
		s := startController(t, defaultSettings(), 3, 1)
		s.run(3, func() { s.reportHealthy() })
		s.updateEndpoints(3, 4, Ready, s.now+6*second)
		s.updateEndpoints(4, 5, Ready, s.now+3600*second)
		s.run(2.5, func() { s.reportHealthy() })
		s.expectWeight(3, 2*0.16, "six seconds ahead")
		s.expectWeight(4, 2*slowStartShare, "an hour ahead")
		s.run(30, func() { s.reportHealthy() })
		s.expectWeight(3, 2, "when it is warm")
		s.expectWeight(4, 2, "eased in")
	})
	t.Run("weights that are listed by load stay at the size", func(t *testing.T) {
		x := defaultSettings()
		x.telemetry.LoadDependentWeights = true
		s := startController(t, x, 4, 2)
		s.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Ready, Weight: 0.6, Zone: 1}})
		s.run(5, nil)
		s.expectWeight(1, 2, "under load")
	})
	t.Run("where only draining binds, a dropped backend stays until its tries fail", func(t *testing.T) {
		// Found on days with a wrong list: most were dropped, and came back as if they were new.
		x := defaultSettings()
		x.limits.OnlyDrainingMustLeave = true
		s := startController(t, x, 4, 2)
		s.run(3, func() { s.reportHealthy() })
		s.updateEndpoints(0, 3, Removed, 0)
		s.run(8, func() { s.reportHealthy(1) })
		if s.expectWeight(1, 2, "dropped, with no tries"); s.withdrawn[0] || s.withdrawn[1] {
			t.Errorf("withdrawn %v, though gone does not bind", s.withdrawn)
		}
		s.updateEndpoints(0, 3, Ready, 0)
		s.expectWeight(1, 2, "listed again")
		s.updateEndpoints(0, 3, Removed, 0)
		s.run(3, func() { s.reportHealthy(0, 1); s.reportOutcomes(0, 6, 6, 0); s.reportOutcomes(1, 6, 6, 0) })
		s.expectWeight(0, 0, "dropped, and its tries fail")
		s.expectWeight(1, 0, "dropped, and its tries fail")
		s.updateEndpoints(0, 3, Ready, s.now)
		s.run(3, func() { s.reportHealthy() })
		s.expectWeight(1, 0.5, "started anew")
		s.expectWeight(2, 0.5, "started anew, though it had kept its line")
	})
	t.Run("classes that must stay in their zone have a table of that zone", func(t *testing.T) {
		x := defaultSettings()
		x.classes[1].ZoneLocal = true
		s := startController(t, x, 4, 2)
		s.run(1, nil)
		if len(s.tables[0]) != 4 || len(s.tables[1]) != 2 || len(s.tables[2]) != 2 || s.tables[2][0] != 0 ||
			!s.assigned["1 0 1"] || !s.assigned["1 2 2"] {
			t.Errorf("tables %v, bound %v", s.tables, s.assigned)
		}
	})
}
