package controller

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"wheelrill/balancer"
)

func TestEventLoop(t *testing.T) {
	t.Run("a proxy that joins is given the full table, and no more entries than the decisions count", func(t *testing.T) {
		m, _ := newIdleLoop(t)
		for node, keeps := range []bool{false, true} {
			p, h := connectProxy(t, m, 1, node, keeps), newFakeProxy("read it", "write")
			h.withdrawn["s-1"] = keeps
			// Counted: headers aside a mark, a level for each class, a bind and its lines, each twice if it keeps any.
			most := 1 + 2 + 1 + 2
			if keeps {
				most += 2
			}
			if h.receive(t, p); len(h.picks(0)) != 2 || len(h.picks(1)) != 2 || len(h.nonces) != 1 || h.cost > most {
				t.Errorf("node %d: got %+v", node, h)
			}
		}
	})
	t.Run("what happens at one clock time goes out as one message", func(t *testing.T) {
		m, _ := newIdleLoop(t)
		p, h := connectProxy(t, m, 1, 3, false), newFakeProxy("read it", "write")
		h.receive(t, p)
		m.acknowledged(p, h.nonces[0])
		news := fmt.Sprintf("[%s,%s,%s]", endpointJSON(0, "draining"), endpointJSON(1, "removed"), endpointJSON(2, "up"))
		advance(m, 5*microsPerSecond, func() { m.endpointsUpdated(false, 2, parsed(t, news).GetArray()) })
		if h.receive(t, p); h.messages != 2 || !slices.Equal(h.picks(0), []string{"s-2"}) {
			t.Errorf("got %+v", h)
		}
	})
	t.Run("a newer stream takes the place of the old, whose end and acknowledgements say nothing", func(t *testing.T) {
		m, logged := newIdleLoop(t)
		old, h := connectProxy(t, m, 1, 0, false), newFakeProxy("read it", "write")
		h.receive(t, old)
		p, h2 := connectProxy(t, m, 2, 0, true), newFakeProxy("read it", "write")
		m.iterate(func() { m.acknowledged(old, h.nonces[0]); m.proxyDisconnected(old) })
		h2.receive(t, p)
		if !m.isCurrent(p) || old.send(nil) != errClosed || len(h2.picks(0)) != 2 {
			t.Errorf("current %v, picks %v", m.isCurrent(p), h2.picks(0))
		}
		stale := connectProxy(t, m, 1, 0, true)
		if !m.isCurrent(p) || stale.send(nil) != errClosed {
			t.Error("a hello that was under way for long took the stream's place")
		}
		m.iterate(func() { p.close(io.EOF); m.proxyDisconnected(p) })
		if text, _ := logged.read(); m.isCurrent(p) || !strings.Contains(text, `msg=proxy_disconnected proxy=0 error=EOF`) {
			t.Errorf("did not leave: %s", text)
		}
	})
	t.Run("a stream that says nothing and acknowledges nothing is half-open, a quiet one is not", func(t *testing.T) {
		m, _ := newIdleLoop(t)
		gone, talks, quiet := connectProxy(t, m, 1, 0, false), connectProxy(t, m, 2, 1, false), connectProxy(t, m, 3, 2, false)
		h := newFakeProxy("read it", "write")
		h.receive(t, quiet)
		m.iterate(func() { m.acknowledged(quiet, h.nonces[0]) })
		advance(m, m.limits.silenceTimeout-microsPerSecond/2, func() {
			talks.lastMessageAt.Store(m.now)
			m.demandReported(0, 0, 4, microsPerSecond) // through a collector: that says nothing of the stream
		})
		if !m.isCurrent(gone) || !m.isCurrent(talks) {
			t.Error("given up too early")
		}
		advance(m, microsPerSecond, func() {})
		if m.isCurrent(gone) || !m.isCurrent(talks) || !m.isCurrent(quiet) {
			t.Errorf("gone %v, talks %v, quiet %v", m.isCurrent(gone), m.isCurrent(talks), m.isCurrent(quiet))
		}
	})
	t.Run("a stream whose acknowledgement waits in the channel behind others is not half-open", func(t *testing.T) {
		m, _ := newIdleLoop(t)
		p := connectProxy(t, m, 1, 0, false)
		one := *m.sessions[0].unacked[0]
		one.sentBy += 30 * microsPerSecond // as where thousands join at once
		m.sessions[0].unacked[0] = &one
		advance(m, 20*microsPerSecond, func() {})
		if !m.isCurrent(p) {
			t.Error("given up while its mark waited")
		}
		advance(m, 20*microsPerSecond, func() {})
		if m.isCurrent(p) {
			t.Error("never given up")
		}
	})
	t.Run("after a stall of our own nobody is taken for silent", func(t *testing.T) {
		m, logged := newIdleLoop(t)
		p := connectProxy(t, m, 1, 0, false)
		advanceAtOnce(m, 2*m.limits.silenceTimeout, func() {})
		if !m.isCurrent(p) {
			t.Error("given up before it could be heard")
		}
		advance(m, m.limits.silenceTimeout+microsPerSecond, func() {})
		if m.isCurrent(p) {
			t.Error("never given up")
		}
		logged.waitFor(t, "msg=process_stalled", 1)
	})
	t.Run("it is found sooner where others have given the same acknowledgement", func(t *testing.T) {
		m, _ := newIdleLoop(t)
		gone, here := connectProxy(t, m, 1, 0, false), connectProxy(t, m, 2, 1, false)
		h := newFakeProxy("read it", "write")
		h.receive(t, here)
		m.iterate(func() { m.acknowledged(here, h.nonces[0]) })
		advance(m, 4*microsPerSecond, func() { m.endpointsUpdated(false, 2, parsed(t, "["+endpointJSON(0, "draining")+"]").GetArray()) })
		h.receive(t, here)
		first := m.sessions[0].unacked[0].nonce
		m.iterate(func() { m.acknowledged(here, h.nonces[len(h.nonces)-1]) })
		m.sessions[0].unacked = slices.DeleteFunc(m.sessions[0].unacked, func(w *pendingAck) bool { return w.nonce == first })
		advance(m, m.limits.ackLagTimeout+microsPerSecond/10, func() {})
		if m.isCurrent(gone) || !m.isCurrent(here) {
			t.Errorf("gone %v, here %v", m.isCurrent(gone), m.isCurrent(here))
		}
	})
	t.Run("reports are given up when the inbox is full, and the log says so", func(t *testing.T) {
		m, logged := newIdleLoop(t)
		for range m.limits.inboxSize + 5 {
			m.tryPost(func() {})
		}
		logged.waitFor(t, "msg=report_dropped", 1)
		for range m.limits.inboxSize / m.limits.eventsPerIteration {
			m.iterate(func() {})
		}
		if len(m.inbox) > m.limits.eventsPerIteration {
			t.Errorf("%d still wait", len(m.inbox))
		}
	})
}

func TestForgettingRemovedBackends(t *testing.T) {
	m, _ := newIdleLoop(t)
	p, h := connectProxy(t, m, 1, 0, true), newFakeProxy("read it", "write")
	first := m.backends.index["s-0"]
	for version := 2; version < 60; version++ { // each backend is replaced by one under a new id
		h.receive(t, p)
		if n := len(h.nonces); n > 0 {
			m.acknowledged(p, h.nonces[n-1])
		}
		news := fmt.Sprintf("[%s,%s]", endpointJSON(version, "up"), endpointJSON(version-2, "removed"))
		advance(m, 3*microsPerSecond, func() {
			p.lastMessageAt.Store(m.now)
			m.endpointsUpdated(false, int64(version), parsed(t, news).GetArray())
		})
	}
	h.receive(t, p)
	if known := len(m.backends.index); known > 20 || len(m.backends.ids) > 20 || len(m.withdrawn) > 20 {
		t.Errorf("%d known, %d indices, %d withdrawn", known, len(m.backends.ids), len(m.withdrawn))
	}
	if !slices.Equal(h.picks(0), []string{"s-58", "s-59"}) || !slices.Equal(h.picks(1), []string{"s-58", "s-59"}) {
		t.Errorf("picks %v", h.lines)
	}
	if _, known := m.backends.index["s-50"]; !known || m.backends.ids[first] == "s-0" {
		t.Error("forgotten too soon, or not at all")
	}
	m.outcomesReported(outcomeReport{"s-0", 9, 9, 0, microsPerSecond, balancer.BackendLoad{}}) // a late report says nothing of the one that has its index now
	advance(m, 3*microsPerSecond, func() { p.lastMessageAt.Store(m.now) })
	h.receive(t, p)
	if len(h.picks(0)) != 2 {
		t.Errorf("picks %v", h.picks(0))
	}
}
