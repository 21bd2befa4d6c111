package balancer

import (
	"testing"
)

func TestList(t *testing.T) {
	t.Run("draining and gone backends are left at once, whatever tables are held", func(t *testing.T) {
		s := begin(t, usual(), 4, 2)
		s.plays(3, nil)
		s.c.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
		s.weight(1, 0, "while draining")
		s.plays(1, nil)
		s.c.EndpointsUpdated(true, []Endpoint{{Backend: 0, State: Ready, Weight: 2}, {Backend: 2, State: Ready, Weight: 2}})
		s.weight(3, 0, "when missing from the whole list")
		if !s.out[1] || !s.out[3] || s.out[0] {
			t.Errorf("withdrawn %v", s.out)
		}
		s.plays(1, nil)
		s.c.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Ready, Weight: 2, Zone: 1}})
		s.plays(8, nil)
		if s.weight(1, 2, "ready again"); s.out[1] {
			t.Error("still withdrawn")
		}
	})
	t.Run("backends that drop one by one do not use up the messages", func(t *testing.T) {
		// Found in an incident: seven entries, a message each, and the eighth had to wait past the grace.
		x := usual()
		x.channel.MaxMessages, x.limits.DrainGrace = 12, 1500_000
		s := begin(t, x, 24, 3)
		s.plays(12, func() { s.fine() })
		for b := range 8 {
			told := s.now
			s.c.EndpointsUpdated(false, []Endpoint{{Backend: 3 * b, State: Removed, Zone: b % 2}})
			s.plays(0.2, nil)
			for s.tables[0][3*b] > 0 && s.now-told < x.limits.DrainGrace {
				s.plays(0.25, nil)
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
		s := begin(t, usual(), 6, 3)
		s.plays(3, func() { s.fine() })
		for p := range 12 {
			s.c.ProxyConnected(3+p, 0, 10, false)
			if p == 1 {
				s.c.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
			}
			s.plays(0.125, nil)
		}
		s.weight(1, 0, "while proxies join")
	})
	t.Run("a drain that is heard of late has what is left of its grace, and does not wait for others", func(t *testing.T) {
		x := usual()
		x.channel.MaxMessages = 4
		for late, waits := range map[int64]bool{0: true, second: true, 5 * second / 2: false, 100 * second: false, -second: true} {
			s := begin(t, x, 6, 3)
			s.plays(12, func() { s.fine() })
			s.c.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
			s.plays(0.1, nil)
			s.c.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Draining, Weight: 2, DrainingSince: s.now - late}})
			if waiting := s.tables[0][2] > 0; waiting != waits {
				t.Errorf("ordered %d us ago: waits %v", late, waiting)
			}
			s.plays(3, nil)
			if s.c.grace != x.limits.DrainGrace {
				t.Errorf("%d us are left of the grace once all is told", s.c.grace)
			}
			s.c.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Ready, Weight: 2}})
			s.plays(12, func() { s.fine() })
			s.c.EndpointsUpdated(false, []Endpoint{{Backend: 3, State: Draining, Weight: 2, Zone: 1}})
			s.plays(0.1, nil)
			if s.c.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Draining, Weight: 2}}); s.tables[0][2] == 0 {
				t.Error("what was late of a drain that is over counts for the next")
			}
		}
	})
	t.Run("drains that do not fit as one piece wait for an emptier channel, few do not", func(t *testing.T) {
		// Found in an incident: two waves in six small pieces, a third of them headers, and the last came late.
		s := begin(t, usual(), 50, 20)
		s.plays(3, func() { s.fine() })
		s.now += second // no mark comes back meanwhile
		s.lists(0, 5, Draining, 0)
		first := len(s.tables[0])
		s.now += second
		if s.lists(5, 40, Draining, 0); first != 45 || len(s.tables[0]) != 45 {
			t.Errorf("%d left after the first wave, %d after the second", first, len(s.tables[0]))
		}
		before := len(s.messages)
		if s.c.ProxyConnected(20, 0, 10, false); s.bound["20 0 3"] { // found by a hunt: binds kept the channel from emptying
			t.Error("bound while drains wait for room")
		}
		if s.plays(2, nil); len(s.tables[0]) != 10 || len(s.messages) > before+3 {
			t.Errorf("%d left of 10, in %d pieces", len(s.tables[0]), len(s.messages)-before)
		}
	})
	t.Run("a list that drops most, with many unbound, does not fill the channel", func(t *testing.T) {
		// Found by a hunt at size: 47 withdrawals went to 40 proxies that had just joined, in one message each.
		s := begin(t, usual(), 40, 0)
		for p := range 30 {
			s.c.ProxyConnected(p, 0, 10, false)
		}
		if s.lists(0, 35, Removed, 0); s.c.channel.lines > 900 {
			t.Errorf("%.0f lines wait", s.c.channel.lines)
		}
		if s.plays(12, nil); len(s.tables[0]) != 5 || !s.out[34] {
			t.Errorf("table %v, out %v", s.tables[0], s.out)
		}
	})
	t.Run("cold backends are eased in by what they surely can do, however hot the rest is", func(t *testing.T) {
		// Found in an incident at size: cold ones got no more while hot, so the fleet stayed small, and hot.
		for _, each := range []func(s *stage) func(){jam, func(s *stage) func() { return func() { s.fine() } }} {
			s := begin(t, usual(), 4, 2)
			s.plays(3, each(s))
			started := s.now
			s.lists(4, 8, Ready, started)
			for range 20 {
				age := float64(s.now-started) / float64(17*second)
				if w := s.tables[0][7]; w > 2*(0.17+0.84*age) {
					t.Errorf("weight %.2f at %.2f of its warming", w, age)
				}
				s.plays(1, each(s))
			}
			s.weight(7, 2, "when warm")
		}
	})
	t.Run("one that is to start a moment from now, as clocks differ, is cold; a start far ahead is nobody's", func(t *testing.T) {
		s := begin(t, usual(), 3, 1)
		s.plays(3, func() { s.fine() })
		s.lists(3, 4, Ready, s.now+6*second)
		s.lists(4, 5, Ready, s.now+3600*second)
		s.plays(2.5, func() { s.fine() })
		s.weight(3, 2*0.16, "six seconds ahead")
		s.weight(4, 2*entryShare, "an hour ahead")
		s.plays(30, func() { s.fine() })
		s.weight(3, 2, "when it is warm")
		s.weight(4, 2, "eased in")
	})
	t.Run("weights that are listed by load stay at the size", func(t *testing.T) {
		x := usual()
		x.sight.LoadDependentWeights = true
		s := begin(t, x, 4, 2)
		s.c.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Ready, Weight: 0.6, Zone: 1}})
		s.plays(5, nil)
		s.weight(1, 2, "under load")
	})
	t.Run("where only draining binds, a dropped backend stays until its tries fail", func(t *testing.T) {
		// Found on days with a wrong list: most were dropped, and came back as if they were new.
		x := usual()
		x.limits.OnlyDrainingMustLeave = true
		s := begin(t, x, 4, 2)
		s.plays(3, func() { s.fine() })
		s.lists(0, 3, Removed, 0)
		s.plays(8, func() { s.fine(1) })
		if s.weight(1, 2, "dropped, with no tries"); s.out[0] || s.out[1] {
			t.Errorf("withdrawn %v, though gone does not bind", s.out)
		}
		s.lists(0, 3, Ready, 0)
		s.weight(1, 2, "listed again")
		s.lists(0, 3, Removed, 0)
		s.plays(3, func() { s.fine(0, 1); s.hears(0, 6, 6, 0); s.hears(1, 6, 6, 0) })
		s.weight(0, 0, "dropped, and its tries fail")
		s.weight(1, 0, "dropped, and its tries fail")
		s.lists(0, 3, Ready, s.now)
		s.plays(3, func() { s.fine() })
		s.weight(1, 0.5, "started anew")
		s.weight(2, 0.5, "started anew, though it had kept its line")
	})
	t.Run("classes that must stay in their zone have a table of that zone", func(t *testing.T) {
		x := usual()
		x.classes[1].ZoneLocal = true
		s := begin(t, x, 4, 2)
		s.plays(1, nil)
		if len(s.tables[0]) != 4 || len(s.tables[1]) != 2 || len(s.tables[2]) != 2 || s.tables[2][0] != 0 ||
			!s.bound["1 0 1"] || !s.bound["1 2 2"] {
			t.Errorf("tables %v, bound %v", s.tables, s.bound)
		}
	})
}
