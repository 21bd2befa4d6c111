package controller

import (
	"fmt"
	"slices"
	"testing"
)

// TestColdProxyMayHoldWithdrawals guards against lines that stay shut out for good: a proxy that was told
// nothing but withdrawals says at its next stream that it holds no ordered table, and keeps them.
func TestColdProxyMayHoldWithdrawals(t *testing.T) {
	startedEndpoint := func(loop *eventLoop) string {
		return fmt.Sprintf(`{"id":"s-0","addr":"x","zone":"a","state":"up","weight":2,"started_ms":%d}`, loop.now/1000)
	}
	for name, meanwhile := range map[string]func(loop *eventLoop, former *connection) *eventLoop{
		"the same controller": func(loop *eventLoop, former *connection) *eventLoop {
			loop.iterate(func() { loop.endpointsUpdated(false, 2, parsed(t, "["+endpointJSON(0, "removed")+"]").GetArray()) })
			loop.iterate(func() { loop.proxyDisconnected(former) })
			return loop
		},
		"a controller that never heard of the loss": func(*eventLoop, *connection) *eventLoop {
			other, _ := newIdleLoop(t)
			return other
		},
	} {
		t.Run(name, func(t *testing.T) {
			loop, _ := newIdleLoop(t)
			loop = meanwhile(loop, connectProxy(t, loop, 1, 3, false))
			loop.iterate(func() {
				loop.endpointsUpdated(false, 3, parsed(t, "["+startedEndpoint(loop)+"]").GetArray())
			})
			fake := newFakeProxy("read it", "write")
			fake.withdrawn["s-0"] = true
			conn := connectProxy(t, loop, 2, 3, false)
			fake.receive(t, conn)
			for range 20 {
				advance(loop, 2*microsPerSecond, func() { conn.lastMessageAt.Store(loop.now) })
				fake.receive(t, conn)
				for _, nonce := range fake.nonces {
					loop.iterate(func() { loop.acknowledged(conn, nonce) })
				}
				fake.nonces = nil
			}
			if picks := fake.picks(0); !slices.Equal(picks, []string{"s-0", "s-1"}) {
				t.Errorf("the proxy can pick %v, want both backends; its table is %v", picks, fake.lines[0])
			}
		})
	}
	t.Run("a backend that was never away costs nothing", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		fake := newFakeProxy("read it", "write")
		fake.withdrawn["s-0"] = true
		fake.receive(t, connectProxy(t, loop, 1, 3, false))
		if !fake.withdrawn["s-0"] {
			t.Error("the backend was restored, although nobody can have withdrawn it")
		}
	})
}
