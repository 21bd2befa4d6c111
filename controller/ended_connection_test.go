package controller

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// acceptedConnection returns a served connection of an idle loop, and the peer's end of it. ended is
// closed when the connection has ended.
func acceptedConnection(t *testing.T, loop *eventLoop) (peer *net.TCPConn, conn *connection, ended chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	socket, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn, ended = newConnection(socket, 1, loop, func(*connection) error { return nil }), make(chan struct{})
	go func() { defer close(ended); conn.run() }()
	t.Cleanup(func() { conn.close(errClosed); <-ended })
	return dialed.(*net.TCPConn), conn, ended
}

// awaitQueued waits until at least a number of events is queued.
func awaitQueued(t *testing.T, loop *eventLoop, count int) {
	t.Helper()
	for began := time.Now(); loop.queues.queuedEvents() < count; time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatalf("%d events are queued, want %d", loop.queues.queuedEvents(), count)
		}
	}
}

// TestQueuedEventsOfAnEndedConnection guards against reports and acknowledgements that take effect after
// their connection was reset or closed by this controller, or for the next connection of the proxy.
func TestQueuedEventsOfAnEndedConnection(t *testing.T) {
	reports := strings.Repeat(string(frame(demandReport)), 20)
	for name, end := range map[string]func(peer *net.TCPConn, conn *connection){
		"the peer resets it":     func(peer *net.TCPConn, _ *connection) { peer.SetLinger(0); peer.Close() },
		"the controller ends it": func(_ *net.TCPConn, conn *connection) { conn.close(errReplaced) },
	} {
		t.Run(name, func(t *testing.T) {
			loop, _ := newIdleLoop(t)
			peer, conn, ended := acceptedConnection(t, loop)
			fmt.Fprintf(peer, "%s%s", frame(hello), reports)
			awaitQueued(t, loop, 21)
			end(peer, conn)
			<-ended
			if queued := loop.queues.queuedEvents(); queued != 1 {
				t.Errorf("%d events are queued, want the end alone", queued)
			}
			if loop.iterate(func() {}); loop.isCurrent(conn) {
				t.Error("the proxy counts as connected")
			}
		})
	}
	t.Run("the peer closes it after its last word", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		peer, _, ended := acceptedConnection(t, loop)
		fmt.Fprintf(peer, "%s%s", frame(hello), reports)
		peer.CloseWrite()
		<-ended
		if queued := loop.queues.queuedEvents(); queued != 22 {
			t.Errorf("%d events are queued, want the 21 messages and the end", queued)
		}
	})
	t.Run("a report on a proxy's former connection does not count for the next one", func(t *testing.T) {
		for _, former := range []bool{false, true} {
			loop, _ := newIdleLoop(t)
			conn := connectProxy(t, loop, 1, 3, false)
			report := conn.handleDemand(parsed(t, strings.Replace(demandReport, `"total":9`, `"total":900`, 1)))
			if former {
				conn = connectProxy(t, loop, 2, 3, false)
			}
			fake := newFakeProxy("read it", "write")
			// The limit that a quota of nearly nothing leaves is a share of the demand.
			setQuota := func() float64 {
				loop.iterate(func() { loop.decisions.SetClassQuota(1, 0.01) })
				advance(loop, 3*microsPerSecond, func() { conn.lastMessageAt.Store(loop.now) })
				fake.receive(t, conn)
				return fake.limits[1][0]
			}
			before := setQuota()
			loop.iterate(report)
			if after := setQuota(); (after != before) == former {
				t.Errorf("former connection %v: the limit is %.2f after the report, and was %.2f", former, after, before)
			}
		}
	})
}
