package balancer

import "testing"

func TestPushQueueCountsWhatWaits(t *testing.T) {
	t.Run("an ack of a short message discards nothing of a long one in the same batch", func(t *testing.T) {
		// Found on a day of mass joins (kigali-pricing, join+mass, --nodes 30, seed 11): the mean of both was taken off, and
		// 62 lines more waited than the channel may hold.
		host := startController(t, defaultSettings(), 100, 8)
		host.run(5, nil)
		if len(host.controller.pushQueue.batches) > 0 {
			t.Fatal("something waits before the story begins")
		}
		host.now++
		host.updateEndpoints(0, 1, Draining, 0) // a few lines for each of eight, and a table for a ninth
		host.controller.ProxyConnected(8, 0, 10, false)
		if !host.controller.proxies[8].tablesAssigned {
			t.Fatal("the ninth was not bound at the same time")
		}
		for p := range 8 {
			host.controller.Acknowledged(p, host.ackRequest)
		}
		if got := host.controller.pushQueue.queuedLines; got < 99 {
			t.Errorf("%.0f lines are counted, while a table of 99 waits", got)
		}
		host.controller.Acknowledged(8, host.ackRequest)
		if got := host.controller.pushQueue.queuedLines; got != 0 {
			t.Errorf("%.0f lines are counted in the end", got)
		}
	})
	t.Run("what went to a proxy that disconnected stays counted until it can have left the channel", func(t *testing.T) {
		host := startController(t, defaultSettings(), 30, 2)
		host.run(3, nil)
		host.updateEndpoints(0, 9, Draining, 0)
		host.controller.ProxyDisconnected(0)
		host.controller.ProxyDisconnected(1)
		billed := host.controller.pushQueue.queuedLines
		if host.controller.TimerFired(host.timerTag); billed < 2*9 || host.controller.pushQueue.queuedLines < billed {
			t.Errorf("%.0f lines were billed, %.0f are counted", billed, host.controller.pushQueue.queuedLines)
		}
		host.run(4, nil)
		if host.controller.pushQueue.queuedLines != 0 || len(host.controller.pushQueue.batches) > 0 {
			t.Errorf("%.0f lines stay counted for good", host.controller.pushQueue.queuedLines)
		}
	})
}
