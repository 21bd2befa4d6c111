package controller

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"wheelrill/balancer"
)

func TestModule(t *testing.T) {
	t.Run("a proxy that joins is given the whole table, and no more lines than the decisions count", func(t *testing.T) {
		m, _ := begin(t)
		for node, keeps := range []bool{false, true} {
			p, h := joins(t, m, 1, node, keeps), newHearer("read it", "write")
			h.shut["s-1"] = keeps
			// Counted: headers aside a mark, a level for each class, a bind and its lines, each twice if it keeps any.
			most := 1 + 2 + 1 + 2
			if keeps {
				most += 2
			}
			if h.hears(t, p); len(h.picks(0)) != 2 || len(h.picks(1)) != 2 || len(h.tickets) != 1 || h.cost > most {
				t.Errorf("node %d: got %+v", node, h)
			}
		}
	})
	t.Run("what happens at one clock time goes out as one message", func(t *testing.T) {
		m, _ := begin(t)
		p, h := joins(t, m, 1, 3, false), newHearer("read it", "write")
		h.hears(t, p)
		m.acknowledged(p, h.tickets[0])
		news := fmt.Sprintf("[%s,%s,%s]", backendIs(0, "draining"), backendIs(1, "removed"), backendIs(2, "up"))
		later(m, 5*microsPerSecond, func() { m.endpointsUpdated(false, 2, parsed(t, news).GetArray()) })
		if h.hears(t, p); h.told != 2 || !slices.Equal(h.picks(0), []string{"s-2"}) {
			t.Errorf("got %+v", h)
		}
	})
	t.Run("a newer stream takes the place of the old, whose end and marks say nothing", func(t *testing.T) {
		m, said := begin(t)
		old, h := joins(t, m, 1, 0, false), newHearer("read it", "write")
		h.hears(t, old)
		p, h2 := joins(t, m, 2, 0, true), newHearer("read it", "write")
		m.iterate(func() { m.acknowledged(old, h.tickets[0]); m.proxyDisconnected(old) })
		h2.hears(t, p)
		if !m.isCurrent(p) || old.send(nil) != errClosed || len(h2.picks(0)) != 2 {
			t.Errorf("current %v, picks %v", m.isCurrent(p), h2.picks(0))
		}
		stale := joins(t, m, 1, 0, true)
		if !m.isCurrent(p) || stale.send(nil) != errClosed {
			t.Error("a hello that was under way for long took the stream's place")
		}
		m.iterate(func() { p.close(io.EOF); m.proxyDisconnected(p) })
		if text, _ := said.read(); m.isCurrent(p) || !strings.Contains(text, `msg=proxy_disconnected proxy=0 error=EOF`) {
			t.Errorf("did not leave: %s", text)
		}
	})
	t.Run("a stream that says nothing and answers no mark is half-open, a quiet one is not", func(t *testing.T) {
		m, _ := begin(t)
		gone, talks, quiet := joins(t, m, 1, 0, false), joins(t, m, 2, 1, false), joins(t, m, 3, 2, false)
		h := newHearer("read it", "write")
		h.hears(t, quiet)
		m.iterate(func() { m.acknowledged(quiet, h.tickets[0]) })
		later(m, m.limits.silenceTimeout-microsPerSecond/2, func() {
			talks.lastHeard.Store(m.now)
			m.demandReported(0, 0, 4, microsPerSecond) // through a collector: that says nothing of the stream
		})
		if !m.isCurrent(gone) || !m.isCurrent(talks) {
			t.Error("given up too early")
		}
		later(m, microsPerSecond, func() {})
		if m.isCurrent(gone) || !m.isCurrent(talks) || !m.isCurrent(quiet) {
			t.Errorf("gone %v, talks %v, quiet %v", m.isCurrent(gone), m.isCurrent(talks), m.isCurrent(quiet))
		}
	})
	t.Run("a stream whose mark waits in the channel behind others is not half-open", func(t *testing.T) {
		m, _ := begin(t)
		p := joins(t, m, 1, 0, false)
		one := *m.sessions[0].unacked[0]
		one.sentBy += 30 * microsPerSecond // as where thousands join at once
		m.sessions[0].unacked[0] = &one
		later(m, 20*microsPerSecond, func() {})
		if !m.isCurrent(p) {
			t.Error("given up while its mark waited")
		}
		later(m, 20*microsPerSecond, func() {})
		if m.isCurrent(p) {
			t.Error("never given up")
		}
	})
	t.Run("after standing still ourselves nobody is taken for silent", func(t *testing.T) {
		m, said := begin(t)
		p := joins(t, m, 1, 0, false)
		jump(m, 2*m.limits.silenceTimeout, func() {})
		if !m.isCurrent(p) {
			t.Error("given up before it could be heard")
		}
		later(m, m.limits.silenceTimeout+microsPerSecond, func() {})
		if m.isCurrent(p) {
			t.Error("never given up")
		}
		said.waits(t, "msg=process_stalled", 1)
	})
	t.Run("it is found sooner where others have answered the same mark", func(t *testing.T) {
		m, _ := begin(t)
		gone, here := joins(t, m, 1, 0, false), joins(t, m, 2, 1, false)
		h := newHearer("read it", "write")
		h.hears(t, here)
		m.iterate(func() { m.acknowledged(here, h.tickets[0]) })
		later(m, 4*microsPerSecond, func() { m.endpointsUpdated(false, 2, parsed(t, "["+backendIs(0, "draining")+"]").GetArray()) })
		h.hears(t, here)
		first := m.sessions[0].unacked[0].nonce
		m.iterate(func() { m.acknowledged(here, h.tickets[len(h.tickets)-1]) })
		m.sessions[0].unacked = slices.DeleteFunc(m.sessions[0].unacked, func(w *pendingAck) bool { return w.nonce == first })
		later(m, m.limits.ackLagTimeout+microsPerSecond/10, func() {})
		if m.isCurrent(gone) || !m.isCurrent(here) {
			t.Errorf("gone %v, here %v", m.isCurrent(gone), m.isCurrent(here))
		}
	})
	t.Run("reports are given up when the mailbox is full, and the log says so", func(t *testing.T) {
		m, said := begin(t)
		for range m.limits.inboxSize + 5 {
			m.tryPost(func() {})
		}
		said.waits(t, "msg=report_dropped", 1)
		for range m.limits.inboxSize / m.limits.eventsPerIteration {
			m.iterate(func() {})
		}
		if len(m.inbox) > m.limits.eventsPerIteration {
			t.Errorf("%d still wait", len(m.inbox))
		}
	})
}

func TestForgetting(t *testing.T) {
	m, _ := begin(t)
	p, h := joins(t, m, 1, 0, true), newHearer("read it", "write")
	first := m.backends.index["s-0"]
	for version := 2; version < 60; version++ { // each backend is replaced by one under a new id
		h.hears(t, p)
		if n := len(h.tickets); n > 0 {
			m.acknowledged(p, h.tickets[n-1])
		}
		news := fmt.Sprintf("[%s,%s]", backendIs(version, "up"), backendIs(version-2, "removed"))
		later(m, 3*microsPerSecond, func() {
			p.lastHeard.Store(m.now)
			m.endpointsUpdated(false, int64(version), parsed(t, news).GetArray())
		})
	}
	h.hears(t, p)
	if known := len(m.backends.index); known > 20 || len(m.backends.ids) > 20 || len(m.tables.withdrawn) > 20 {
		t.Errorf("%d known, %d indices, %d withdrawn", known, len(m.backends.ids), len(m.tables.withdrawn))
	}
	if !slices.Equal(h.picks(0), []string{"s-58", "s-59"}) || !slices.Equal(h.picks(1), []string{"s-58", "s-59"}) {
		t.Errorf("picks %v", h.lines)
	}
	if _, known := m.backends.index["s-50"]; !known || m.backends.ids[first] == "s-0" {
		t.Error("forgotten too soon, or not at all")
	}
	m.outcomesReported(outcomeReport{"s-0", 9, 9, 0, microsPerSecond, balancer.BackendLoad{}}) // a late report says nothing of the one that has its index now
	later(m, 3*microsPerSecond, func() { p.lastHeard.Store(m.now) })
	h.hears(t, p)
	if len(h.picks(0)) != 2 {
		t.Errorf("picks %v", h.picks(0))
	}
}
