package balancer

import (
	"fmt"
	"slices"
	"testing"
)

func TestChannel(t *testing.T) {
	t.Run("a proxy that may keep withdrawals of others costs a line more for each backend's first line", func(t *testing.T) {
		cost := map[bool][]float64{}
		for _, keeps := range []bool{false, true} {
			s := begin(t, usual(), 5, 0)
			s.c.ProxyConnected(0, 0, 10, keeps)
			bind := s.c.channel.lines
			s.c.Acknowledged(0, s.mark)
			s.now += 3 * second
			s.lists(5, 7, Ready, 0) // new ones enter, and one is dropped
			s.c.EndpointsUpdated(false, []Endpoint{{Backend: 0, State: Removed, Weight: 2}})
			s.plays(2.2, nil)
			s.c.ProxyDisconnected(0)
			s.c.ProxyConnected(1, 0, 10, keeps)
			before := s.c.channel.lines
			s.now += 3 * second
			s.lists(7, 8, Ready, 0)
			s.c.publish(s.now, true)
			cost[keeps] = []float64{bind, s.c.channel.lines - before}
		}
		if cost[true][0] != cost[false][0]+5 || cost[true][1] != cost[false][1]+1 {
			t.Errorf("lines counted: %v", cost)
		}
	})
	t.Run("whole tables wait while half the backlog is in use, and until marks come back", func(t *testing.T) {
		s := begin(t, usual(), 30, 0)
		for p := range 28 {
			s.c.ProxyConnected(p, 0, 10, false)
		}
		n := len(s.bound)
		if n == 0 || float64(n)*35 > 450 {
			t.Errorf("%d bound at once", n)
		}
		s.now += second
		if s.c.TimerFired(s.tag); len(s.bound) != n {
			t.Errorf("%d more were bound though no mark came back", len(s.bound)-n)
		}
		if s.plays(3, nil); len(s.bound) != 28 {
			t.Errorf("%d bound in the end", len(s.bound))
		}
	})
	t.Run("a short message that has come through says nothing of a long one at the same time", func(t *testing.T) {
		// Found on a day of mass joins (kigali-pricing, join+mass, --nodes 30, seed 11): the mean of both was taken off, and
		// 62 lines more waited than the channel may hold.
		s := begin(t, usual(), 100, 8)
		s.plays(5, nil)
		if len(s.c.channel.waiting) > 0 {
			t.Fatal("something waits before the story begins")
		}
		s.now++
		s.lists(0, 1, Draining, 0) // a few lines for each of eight, and a table for a ninth
		s.c.ProxyConnected(8, 0, 10, false)
		if !s.c.proxies[8].bound {
			t.Fatal("the ninth was not bound at the same time")
		}
		for p := range 8 {
			s.c.Acknowledged(p, s.mark)
		}
		if got := s.c.channel.lines; got < 99 {
			t.Errorf("%.0f lines are counted, while a table of 99 waits", got)
		}
		s.c.Acknowledged(8, s.mark)
		if got := s.c.channel.lines; got != 0 {
			t.Errorf("%.0f lines are counted in the end", got)
		}
	})
	t.Run("what went to a proxy that was lost stays counted until it can have left the channel", func(t *testing.T) {
		s := begin(t, usual(), 30, 2)
		s.plays(3, nil)
		s.lists(0, 9, Draining, 0)
		s.c.ProxyDisconnected(0)
		s.c.ProxyDisconnected(1)
		billed := s.c.channel.lines
		if s.c.TimerFired(s.tag); billed < 2*9 || s.c.channel.lines < billed {
			t.Errorf("%.0f lines were billed, %.0f are counted", billed, s.c.channel.lines)
		}
		s.plays(4, nil)
		if s.c.channel.lines != 0 || len(s.c.channel.waiting) > 0 {
			t.Errorf("%.0f lines stay counted for good", s.c.channel.lines)
		}
	})
	t.Run("a fleet that grows at once does not fill the channel, and the widest changes go first", func(t *testing.T) {
		// Found in two incidents: 17 new ones went to 39 proxies at once; and small steps went before new ones.
		s := begin(t, usual(), 20, 20)
		s.plays(5, func() { s.fine() })
		var more []Endpoint
		for b := range 60 {
			more = append(more, Endpoint{Backend: 20 + b, State: Ready, Weight: 1 + float64(b), StartedAt: s.now})
		}
		s.c.EndpointsUpdated(false, more)
		most := 0.
		for turn := range 40 {
			most = max(most, s.c.channel.lines)
			if s.plays(0.25, nil); turn == 4 && (s.tables[0][79] == 0 || s.tables[0][20] > 0) {
				t.Errorf("first in the table: %v", s.tables[0])
			}
		}
		if most > 900 || len(s.tables[0]) != 80 {
			t.Errorf("%.0f lines waited, %d backends in the table", most, len(s.tables[0]))
		}
	})
	t.Run("equal proxies are bound in the order in which they came, and hear meanwhile what is withdrawn", func(t *testing.T) {
		// Found on a day of reloads: the last numbers were bound last at each controller, and kept a gone backend.
		s := begin(t, usual(), 30, 0)
		s.c.ProxyConnected(0, 0, 10, false)
		s.c.Acknowledged(0, s.mark)
		s.lists(0, 1, Draining, 0)
		s.plays(3, nil)
		for p := range 28 {
			s.c.ProxyConnected(28-p, 0, 10, true)
		}
		for turn := range 28 {
			p := 28 - turn
			bound, told := s.bound[fmt.Sprint(p, 0, 3)], slices.Contains(s.script, fmt.Sprintf("%d remind %d", s.now, p))
			if bound != (turn < len(s.bound)-1) || told == bound || len(s.bound) < 8 {
				t.Errorf("proxy %d: bound %v, told %v, %d bound", p, bound, told, len(s.bound))
			}
		}
		s.plays(6, nil)
		for p := range 28 {
			if q := s.c.proxies[p+1]; !q.bound || !q.cleared {
				t.Errorf("proxy %d in the end: %+v", p+1, q)
			}
		}
		if s.c.channel.lines > 900 || len(s.c.waiting) > 0 {
			t.Errorf("%.0f lines, %d waiting", s.c.channel.lines, len(s.c.waiting))
		}
	})
	t.Run("a backend that is gone can be forgotten, and its index means another then", func(t *testing.T) {
		s := begin(t, usual(), 3, 1)
		s.hears(2, 30, 30, 0)
		s.plays(3, func() { s.fine(2); s.hears(2, 10, 10, 0) })
		if s.c.ForgetBackend(2) {
			t.Error("one that is listed was forgotten")
		}
		s.lists(2, 3, Removed, 0)
		if s.plays(3, nil); !s.out[2] || !s.c.ForgetBackend(2) {
			t.Fatalf("it is out: %v", s.out[2])
		}
		s.lists(2, 3, Ready, 0)
		s.plays(6, func() { s.fine() })
		if b := s.c.backends[2]; b.away || b.backoff > 0 || b.out {
			t.Errorf("it inherited %+v", b)
		}
		s.weight(2, 2, "in the end")
	})
	t.Run("ordinary changes keep the pace", func(t *testing.T) {
		s := begin(t, usual(), 12, 2)
		turn := 0
		s.plays(30, func() { turn++; s.fine(turn % 12); s.hears(turn%12, 10, 3, 900_000) })
		if n := len(s.messages); n > 18 {
			t.Errorf("%d messages in 30 s", n)
		}
	})
}
