package controller

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"testing"

	"wheelrill/balancer"
)

func TestEventLoop(t *testing.T) {
	t.Run("a new proxy is given the full table, and no more lines than the decisions charge", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		for node, mayHold := range []bool{false, true} {
			conn, fake := connectProxy(t, loop, 1, node, mayHold), newFakeProxy("read it", "write")
			fake.withdrawn["s-1"] = mayHold
			// maxCost is the number of lines (units of message cost) that balancer.Controller
			// charges to the push channel for the proxy's first message, without message headers:
			// one for an ack request, one for the limit of each class, one for an assignment, and
			// two for the entries of its table. If the proxy may hold withdrawals, two more lines
			// are charged.
			maxCost := 1 + 2 + 1 + 2
			if mayHold {
				maxCost += 2
			}
			if fake.receive(t, conn); len(fake.picks(0)) != 2 || len(fake.picks(1)) != 2 || len(fake.nonces) != 1 ||
				fake.cost > maxCost {
				t.Errorf("proxy %d: want all backends, one ack request and at most %d lines, got %+v", node, maxCost, fake)
			}
		}
	})
	t.Run("changes at one clock time are pushed as one message", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		conn, fake := connectProxy(t, loop, 1, 3, false), newFakeProxy("read it", "write")
		fake.receive(t, conn)
		loop.acknowledged(conn, fake.nonces[0])
		changes := fmt.Sprintf("[%s,%s,%s]", endpointJSON(0, "draining"), endpointJSON(1, "removed"), endpointJSON(2, "up"))
		advance(loop, 5*microsPerSecond, func() { loop.endpointsUpdated(false, 2, parsed(t, changes).GetArray()) })
		if fake.receive(t, conn); fake.messages != 2 || !slices.Equal(fake.picks(0), []string{"s-2"}) {
			t.Errorf("want a second message after which s-2 is the only pick, got %+v", fake)
		}
	})
	t.Run("a newer connection replaces the older one, whose end and acknowledgements are ignored", func(t *testing.T) {
		loop, logged := newIdleLoop(t)
		old, fake := connectProxy(t, loop, 1, 0, false), newFakeProxy("read it", "write")
		fake.receive(t, old)
		conn, newer := connectProxy(t, loop, 2, 0, true), newFakeProxy("read it", "write")
		loop.iterate(func() { loop.acknowledged(old, fake.nonces[0]); loop.proxyDisconnected(old) })
		newer.receive(t, conn)
		if !loop.isCurrent(conn) || old.send(nil) != errClosed || len(newer.picks(0)) != 2 {
			t.Errorf("newer connection: current %v, picks %v", loop.isCurrent(conn), newer.picks(0))
		}
		stale := connectProxy(t, loop, 1, 0, true)
		if !loop.isCurrent(conn) || stale.send(nil) != errClosed {
			t.Error("a hello of an older connection replaced the newer connection")
		}
		loop.iterate(func() { conn.close(io.EOF); loop.proxyDisconnected(conn) })
		if text, _ := logged.read(); loop.isCurrent(conn) ||
			!strings.Contains(text, `msg=proxy_disconnected proxy=0 error=EOF`) {
			t.Errorf("the proxy is still connected, or its end is not logged: %s", text)
		}
	})
	t.Run("a silent connection with an outstanding ack is half-open, an idle one is not", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		halfOpen, active := connectProxy(t, loop, 1, 0, false), connectProxy(t, loop, 2, 1, false)
		idle := connectProxy(t, loop, 3, 2, false)
		fake := newFakeProxy("read it", "write")
		fake.receive(t, idle)
		loop.iterate(func() { loop.acknowledged(idle, fake.nonces[0]) })
		advance(loop, loop.limits.silenceTimeout-microsPerSecond/2, func() {
			active.lastMessageAt.Store(loop.now)
			// a collector's report, which does not show that the proxy's connection works
			loop.demandReported(0, 0, 4, microsPerSecond)
		})
		if !loop.isCurrent(halfOpen) || !loop.isCurrent(active) {
			t.Error("a connection was dropped before the silence timeout")
		}
		advance(loop, microsPerSecond, func() {})
		if loop.isCurrent(halfOpen) || !loop.isCurrent(active) || !loop.isCurrent(idle) {
			t.Errorf("still connected: half-open %v, active %v, idle %v",
				loop.isCurrent(halfOpen), loop.isCurrent(active), loop.isCurrent(idle))
		}
	})
	t.Run("a connection whose ack request still waits in the push channel is not half-open", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		conn := connectProxy(t, loop, 1, 0, false)
		delayed := *loop.sessions[0].unacked[0]
		// The push waits 30 s in the push channel, as when thousands of proxies connect at once.
		delayed.sentBy += 30 * microsPerSecond
		loop.sessions[0].unacked[0] = &delayed
		advance(loop, 20*microsPerSecond, func() {})
		if !loop.isCurrent(conn) {
			t.Error("the connection was dropped while its ack request waited in the channel")
		}
		advance(loop, 20*microsPerSecond, func() {})
		if loop.isCurrent(conn) {
			t.Error("the half-open connection was never dropped")
		}
	})
	t.Run("after a stall of this process no connection counts as silent", func(t *testing.T) {
		loop, logged := newIdleLoop(t)
		conn := connectProxy(t, loop, 1, 0, false)
		advanceStalled(loop, 2*loop.limits.silenceTimeout, func() {})
		if !loop.isCurrent(conn) {
			t.Error("the connection was dropped before its messages could be read")
		}
		advance(loop, loop.limits.silenceTimeout+microsPerSecond, func() {})
		if loop.isCurrent(conn) {
			t.Error("the half-open connection was never dropped")
		}
		logged.waitFor(t, "msg=process_stalled", 1)
	})
	t.Run("a half-open connection is found sooner if another proxy gave the same acknowledgement", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		halfOpen, active := connectProxy(t, loop, 1, 0, false), connectProxy(t, loop, 2, 1, false)
		fake := newFakeProxy("read it", "write")
		fake.receive(t, active)
		loop.iterate(func() { loop.acknowledged(active, fake.nonces[0]) })
		advance(loop, 4*microsPerSecond, func() {
			loop.endpointsUpdated(false, 2, parsed(t, "["+endpointJSON(0, "draining")+"]").GetArray())
		})
		fake.receive(t, active)
		first := loop.sessions[0].unacked[0].nonce
		loop.iterate(func() { loop.acknowledged(active, fake.nonces[len(fake.nonces)-1]) })
		loop.sessions[0].unacked = slices.DeleteFunc(loop.sessions[0].unacked, func(ack *pendingAck) bool {
			return ack.nonce == first
		})
		advance(loop, loop.limits.ackLagTimeout+microsPerSecond/10, func() {})
		if loop.isCurrent(halfOpen) || !loop.isCurrent(active) {
			t.Errorf("still connected: half-open %v, active %v", loop.isCurrent(halfOpen), loop.isCurrent(active))
		}
	})
	t.Run("a connection whose input waits for memory is not silent", func(t *testing.T) {
		// Guards against the end of a proxy that is not read because others hold all memory.
		loop, _ := newIdleLoop(t)
		waiting, silent := connectProxy(t, loop, 1, 0, false), connectProxy(t, loop, 2, 1, false)
		waiting.notRead.Store(true)
		advance(loop, 2*loop.limits.silenceTimeout+10*microsPerSecond, func() {})
		if !loop.isCurrent(waiting) || loop.isCurrent(silent) {
			t.Errorf("still connected: waiting %v, silent %v; want the waiting one alone", loop.isCurrent(waiting), loop.isCurrent(silent))
		}
	})
	t.Run("a connection with many events delays the others by a few of them, and loses none", func(t *testing.T) {
		// Guards against one client at full speed that fills the loop's inbox, so that the reports of
		// others were dropped, and a hello waited for thousands of events.
		loop, _ := newIdleLoop(t)
		busy, other := loop.queues.newQueue(), loop.queues.newQueue()
		var order []string
		const events = 5000
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range events {
				busy.put(func() { order = append(order, "busy") }, nil, nil)
			}
		}()
		for loop.queues.queuedEvents() < loop.limits.eventsPerConnection {
			runtime.Gosched()
		}
		other.put(func() { order = append(order, "other") }, nil, nil)
		loop.iterate(func() {})
		if place := slices.Index(order, "other"); place < 0 || place > 2*eventsPerTurn {
			t.Errorf("the event of the other connection came at place %d, want %d at most", place, 2*eventsPerTurn)
		}
		for isDone := false; !isDone; {
			loop.iterate(func() {})
			select {
			case <-done:
				isDone = true
			default:
			}
		}
		loop.iterate(func() {})
		if len(order) != events+1 {
			t.Errorf("%d events were handled, want all %d", len(order), events+1)
		}
	})
}

func TestForgettingRemovedBackends(t *testing.T) {
	loop, _ := newIdleLoop(t)
	conn, fake := connectProxy(t, loop, 1, 0, true), newFakeProxy("read it", "write")
	first := loop.backends.index["s-0"]
	for version := 2; version < 60; version++ { // each list version replaces a backend by one with a new id
		fake.receive(t, conn)
		if n := len(fake.nonces); n > 0 {
			loop.acknowledged(conn, fake.nonces[n-1])
		}
		changes := fmt.Sprintf("[%s,%s]", endpointJSON(version, "up"), endpointJSON(version-2, "removed"))
		advance(loop, 3*microsPerSecond, func() {
			conn.lastMessageAt.Store(loop.now)
			loop.endpointsUpdated(false, int64(version), parsed(t, changes).GetArray())
		})
	}
	fake.receive(t, conn)
	if known := len(loop.backends.index); known > 20 || len(loop.backends.ids) > 20 || len(loop.withdrawn) > 20 {
		t.Errorf("%d known backends, %d indices, %d withdrawal flags, want at most 20 each",
			known, len(loop.backends.ids), len(loop.withdrawn))
	}
	if !slices.Equal(fake.picks(0), []string{"s-58", "s-59"}) || !slices.Equal(fake.picks(1), []string{"s-58", "s-59"}) {
		t.Errorf("want picks s-58 and s-59, got entries %v", fake.lines)
	}
	if _, known := loop.backends.index["s-50"]; !known || loop.backends.ids[first] == "s-0" {
		t.Error("a backend was forgotten too soon, or not at all")
	}
	// A late report on a forgotten backend must not count for the backend that reuses its index.
	loop.outcomesReported(outcomeReport{"s-0", 9, 9, 0, microsPerSecond, balancer.BackendLoad{}})
	advance(loop, 3*microsPerSecond, func() { conn.lastMessageAt.Store(loop.now) })
	fake.receive(t, conn)
	if len(fake.picks(0)) != 2 {
		t.Errorf("picks %v after a late report, want 2 backends", fake.picks(0))
	}
}
