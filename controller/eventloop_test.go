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
		loop, _ := newIdleLoop(t)
		for node, keeps := range []bool{false, true} {
			conn, fake := connectProxy(t, loop, 1, node, keeps), newFakeProxy("read it", "write")
			fake.withdrawn["s-1"] = keeps
			// Counted: headers aside a mark, a level for each class, a bind and its lines, each twice if it keeps any.
			most := 1 + 2 + 1 + 2
			if keeps {
				most += 2
			}
			if fake.receive(t, conn); len(fake.picks(0)) != 2 || len(fake.picks(1)) != 2 || len(fake.nonces) != 1 || fake.cost > most {
				t.Errorf("node %d: got %+v", node, fake)
			}
		}
	})
	t.Run("what happens at one clock time goes out as one message", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		conn, fake := connectProxy(t, loop, 1, 3, false), newFakeProxy("read it", "write")
		fake.receive(t, conn)
		loop.acknowledged(conn, fake.nonces[0])
		news := fmt.Sprintf("[%s,%s,%s]", endpointJSON(0, "draining"), endpointJSON(1, "removed"), endpointJSON(2, "up"))
		advance(loop, 5*microsPerSecond, func() { loop.endpointsUpdated(false, 2, parsed(t, news).GetArray()) })
		if fake.receive(t, conn); fake.messages != 2 || !slices.Equal(fake.picks(0), []string{"s-2"}) {
			t.Errorf("got %+v", fake)
		}
	})
	t.Run("a newer stream takes the place of the old, whose end and acknowledgements say nothing", func(t *testing.T) {
		loop, logged := newIdleLoop(t)
		old, fake := connectProxy(t, loop, 1, 0, false), newFakeProxy("read it", "write")
		fake.receive(t, old)
		conn, h2 := connectProxy(t, loop, 2, 0, true), newFakeProxy("read it", "write")
		loop.iterate(func() { loop.acknowledged(old, fake.nonces[0]); loop.proxyDisconnected(old) })
		h2.receive(t, conn)
		if !loop.isCurrent(conn) || old.send(nil) != errClosed || len(h2.picks(0)) != 2 {
			t.Errorf("current %v, picks %v", loop.isCurrent(conn), h2.picks(0))
		}
		stale := connectProxy(t, loop, 1, 0, true)
		if !loop.isCurrent(conn) || stale.send(nil) != errClosed {
			t.Error("a hello that was under way for long took the stream's place")
		}
		loop.iterate(func() { conn.close(io.EOF); loop.proxyDisconnected(conn) })
		if text, _ := logged.read(); loop.isCurrent(conn) || !strings.Contains(text, `msg=proxy_disconnected proxy=0 error=EOF`) {
			t.Errorf("did not leave: %s", text)
		}
	})
	t.Run("a stream that says nothing and acknowledges nothing is half-open, a quiet one is not", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		gone, talks, quiet := connectProxy(t, loop, 1, 0, false), connectProxy(t, loop, 2, 1, false), connectProxy(t, loop, 3, 2, false)
		fake := newFakeProxy("read it", "write")
		fake.receive(t, quiet)
		loop.iterate(func() { loop.acknowledged(quiet, fake.nonces[0]) })
		advance(loop, loop.limits.silenceTimeout-microsPerSecond/2, func() {
			talks.lastMessageAt.Store(loop.now)
			loop.demandReported(0, 0, 4, microsPerSecond) // through a collector: that says nothing of the stream
		})
		if !loop.isCurrent(gone) || !loop.isCurrent(talks) {
			t.Error("given up too early")
		}
		advance(loop, microsPerSecond, func() {})
		if loop.isCurrent(gone) || !loop.isCurrent(talks) || !loop.isCurrent(quiet) {
			t.Errorf("gone %v, talks %v, quiet %v", loop.isCurrent(gone), loop.isCurrent(talks), loop.isCurrent(quiet))
		}
	})
	t.Run("a stream whose acknowledgement waits in the channel behind others is not half-open", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		conn := connectProxy(t, loop, 1, 0, false)
		one := *loop.sessions[0].unacked[0]
		one.sentBy += 30 * microsPerSecond // as where thousands join at once
		loop.sessions[0].unacked[0] = &one
		advance(loop, 20*microsPerSecond, func() {})
		if !loop.isCurrent(conn) {
			t.Error("given up while its mark waited")
		}
		advance(loop, 20*microsPerSecond, func() {})
		if loop.isCurrent(conn) {
			t.Error("never given up")
		}
	})
	t.Run("after a stall of our own nobody is taken for silent", func(t *testing.T) {
		loop, logged := newIdleLoop(t)
		conn := connectProxy(t, loop, 1, 0, false)
		advanceStalled(loop, 2*loop.limits.silenceTimeout, func() {})
		if !loop.isCurrent(conn) {
			t.Error("given up before it could be heard")
		}
		advance(loop, loop.limits.silenceTimeout+microsPerSecond, func() {})
		if loop.isCurrent(conn) {
			t.Error("never given up")
		}
		logged.waitFor(t, "msg=process_stalled", 1)
	})
	t.Run("it is found sooner where others have given the same acknowledgement", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		gone, here := connectProxy(t, loop, 1, 0, false), connectProxy(t, loop, 2, 1, false)
		fake := newFakeProxy("read it", "write")
		fake.receive(t, here)
		loop.iterate(func() { loop.acknowledged(here, fake.nonces[0]) })
		advance(loop, 4*microsPerSecond, func() { loop.endpointsUpdated(false, 2, parsed(t, "["+endpointJSON(0, "draining")+"]").GetArray()) })
		fake.receive(t, here)
		first := loop.sessions[0].unacked[0].nonce
		loop.iterate(func() { loop.acknowledged(here, fake.nonces[len(fake.nonces)-1]) })
		loop.sessions[0].unacked = slices.DeleteFunc(loop.sessions[0].unacked, func(w *pendingAck) bool { return w.nonce == first })
		advance(loop, loop.limits.ackLagTimeout+microsPerSecond/10, func() {})
		if loop.isCurrent(gone) || !loop.isCurrent(here) {
			t.Errorf("gone %v, here %v", loop.isCurrent(gone), loop.isCurrent(here))
		}
	})
	t.Run("reports are given up when the inbox is full, and the log says so", func(t *testing.T) {
		loop, logged := newIdleLoop(t)
		for range loop.limits.inboxSize + 5 {
			loop.tryPost(func() {})
		}
		logged.waitFor(t, "msg=report_dropped", 1)
		for range loop.limits.inboxSize / loop.limits.eventsPerIteration {
			loop.iterate(func() {})
		}
		if len(loop.inbox) > loop.limits.eventsPerIteration {
			t.Errorf("%d still wait", len(loop.inbox))
		}
	})
}

func TestForgettingRemovedBackends(t *testing.T) {
	loop, _ := newIdleLoop(t)
	conn, fake := connectProxy(t, loop, 1, 0, true), newFakeProxy("read it", "write")
	first := loop.backends.index["s-0"]
	for version := 2; version < 60; version++ { // each backend is replaced by one under a new id
		fake.receive(t, conn)
		if n := len(fake.nonces); n > 0 {
			loop.acknowledged(conn, fake.nonces[n-1])
		}
		news := fmt.Sprintf("[%s,%s]", endpointJSON(version, "up"), endpointJSON(version-2, "removed"))
		advance(loop, 3*microsPerSecond, func() {
			conn.lastMessageAt.Store(loop.now)
			loop.endpointsUpdated(false, int64(version), parsed(t, news).GetArray())
		})
	}
	fake.receive(t, conn)
	if known := len(loop.backends.index); known > 20 || len(loop.backends.ids) > 20 || len(loop.withdrawn) > 20 {
		t.Errorf("%d known, %d indices, %d withdrawn", known, len(loop.backends.ids), len(loop.withdrawn))
	}
	if !slices.Equal(fake.picks(0), []string{"s-58", "s-59"}) || !slices.Equal(fake.picks(1), []string{"s-58", "s-59"}) {
		t.Errorf("picks %v", fake.lines)
	}
	if _, known := loop.backends.index["s-50"]; !known || loop.backends.ids[first] == "s-0" {
		t.Error("forgotten too soon, or not at all")
	}
	loop.outcomesReported(outcomeReport{"s-0", 9, 9, 0, microsPerSecond, balancer.BackendLoad{}}) // a late report says nothing of the one that has its index now
	advance(loop, 3*microsPerSecond, func() { conn.lastMessageAt.Store(loop.now) })
	fake.receive(t, conn)
	if len(fake.picks(0)) != 2 {
		t.Errorf("picks %v", fake.picks(0))
	}
}
