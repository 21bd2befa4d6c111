package balancer

import "testing"

func TestPushQueueAccounting(t *testing.T) {
	t.Run("an ack of a short message discards nothing of a long one in the same batch", func(t *testing.T) {
		// Guards against an ack that discards more lines than its message had. When many proxies
		// joined at once (kigali-pricing, join+mass, --nodes 30, seed 11), a batch held short
		// messages with a few lines and long messages with complete tables. The ack of a short
		// message lowered the count of queued lines by the mean of the lines of a short and a long
		// message. The count was then too low, and 62 lines more than the push channel may hold
		// were queued.
		host := startController(t, defaultSettings(), 100, 8)
		host.run(5, nil)
		if len(host.controller.pushQueue.batches) > 0 {
			t.Fatalf("%d batches are queued before the test begins, want none", len(host.controller.pushQueue.batches))
		}
		host.now++
		// The new batch has a few lines for each of eight proxies, and complete tables for a ninth
		// proxy.
		host.updateEndpoints(0, 1, Draining, 0)
		host.controller.ProxyConnected(8, 0, 10, false)
		if !host.controller.proxies[8].tablesAssigned {
			t.Fatal("proxy 8 was not assigned tables at the time of the drain")
		}
		for p := range 8 {
			host.controller.Acknowledged(p, host.ackRequest)
		}
		if got := host.controller.pushQueue.queuedLines; got < 99 {
			t.Errorf("%.0f lines are counted as queued while a table of 99 lines is, want at least 99", got)
		}
		host.controller.Acknowledged(8, host.ackRequest)
		if got := host.controller.pushQueue.queuedLines; got != 0 {
			t.Errorf("%.0f lines are counted as queued after all acks, want 0", got)
		}
	})
	t.Run("lines to a proxy that disconnected stay counted until they can have left the channel", func(t *testing.T) {
		host := startController(t, defaultSettings(), 30, 2)
		host.run(3, nil)
		host.updateEndpoints(0, 9, Draining, 0)
		host.controller.ProxyDisconnected(0)
		host.controller.ProxyDisconnected(1)
		charged := host.controller.pushQueue.queuedLines
		if host.controller.TimerFired(host.timerTag); charged < 2*9 || host.controller.pushQueue.queuedLines < charged {
			t.Errorf("%.0f lines were charged, want at least 18; %.0f are counted after a tick, want no fewer",
				charged, host.controller.pushQueue.queuedLines)
		}
		host.run(4, nil)
		if host.controller.pushQueue.queuedLines != 0 || len(host.controller.pushQueue.batches) > 0 {
			t.Errorf("%.0f lines are still counted after 4 s, want 0", host.controller.pushQueue.queuedLines)
		}
	})
}
