package balancer

import (
	"fmt"
	"slices"
	"testing"
)

func TestProxiesThatConnectGetTables(t *testing.T) {
	t.Run("a first entry costs one more line at a proxy with withdrawals of other controllers", func(t *testing.T) {
		lines := map[bool][]float64{}
		for _, mayHold := range []bool{false, true} {
			host := startController(t, defaultSettings(), 5, 0)
			host.controller.ProxyConnected(0, 0, 10, mayHold)
			tableLines := host.controller.pushQueue.queuedLines
			host.controller.Acknowledged(0, host.ackRequest)
			host.now += 3 * second
			host.updateEndpoints(5, 7, Ready, 0) // two backends are added, and the next list removes one
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 0, State: Removed, Weight: 2}})
			host.run(2.2, nil)
			host.controller.ProxyDisconnected(0)
			host.controller.ProxyConnected(1, 0, 10, mayHold)
			queuedBefore := host.controller.pushQueue.queuedLines
			host.now += 3 * second
			host.updateEndpoints(7, 8, Ready, 0)
			host.controller.publishChanges(host.now, true)
			lines[mayHold] = []float64{tableLines, host.controller.pushQueue.queuedLines - queuedBefore}
		}
		if lines[true][0] != lines[false][0]+5 || lines[true][1] != lines[false][1]+1 {
			t.Errorf("lines for tables and for a new backend are %v, want 5 and 1 more with withdrawals of other controllers",
				lines)
		}
	})
	t.Run("complete tables wait while half the capacity is in use, and until acks come back", func(t *testing.T) {
		host := startController(t, defaultSettings(), 30, 0)
		for p := range 28 {
			host.controller.ProxyConnected(p, 0, 10, false)
		}
		assignedAtOnce := len(host.assigned)
		if assignedAtOnce == 0 || float64(assignedAtOnce)*35 > 450 {
			t.Errorf("%d proxies were assigned tables at once, want some that cost at most 450 lines", assignedAtOnce)
		}
		host.now += second
		if host.controller.TimerFired(host.timerTag); len(host.assigned) != assignedAtOnce {
			t.Errorf("%d more proxies were assigned tables without any ack, want 0", len(host.assigned)-assignedAtOnce)
		}
		if host.run(3, nil); len(host.assigned) != 28 {
			t.Errorf("%d proxies are assigned tables in the end, want 28", len(host.assigned))
		}
	})
	t.Run("equal proxies get tables in order of connection, and withdrawals while they wait", func(t *testing.T) {
		// While controllers reloaded, the proxies with the highest indices got tables last at each
		// controller, and went on using a removed backend.
		host := startController(t, defaultSettings(), 30, 0)
		host.controller.ProxyConnected(0, 0, 10, false)
		host.controller.Acknowledged(0, host.ackRequest)
		host.updateEndpoints(0, 1, Draining, 0)
		host.run(3, nil)
		for p := range 28 {
			host.controller.ProxyConnected(28-p, 0, 10, true)
		}
		for turn := range 28 {
			p := 28 - turn
			assigned := host.assigned[fmt.Sprint(p, 0, 3)]
			notified := slices.Contains(host.effects, fmt.Sprintf("%d sync %d", host.now, p))
			if assigned != (turn < len(host.assigned)-1) || notified == assigned || len(host.assigned) < 8 {
				t.Errorf("proxy %d, number %d to connect: tables assigned %v, withdrawals sent %v, want just one; %d have tables",
					p, turn+1, assigned, notified, len(host.assigned))
			}
		}
		host.run(6, nil)
		for p := range 28 {
			if proxy := host.controller.proxies[p+1]; !proxy.tablesAssigned || !proxy.withdrawalsCleared {
				t.Errorf("proxy %d has no tables, or its withdrawals are not cleared, in the end: %+v", p+1, proxy)
			}
		}
		if host.controller.pushQueue.queuedLines > 900 || len(host.controller.syncQueue) > 0 {
			t.Errorf("%.0f lines are queued, want at most 900; %d proxies wait, want 0",
				host.controller.pushQueue.queuedLines, len(host.controller.syncQueue))
		}
	})
}

func TestWholeFleetConnectsToOneController(t *testing.T) {
	// baseline returns the baseline rate of a proxy: 0.3 to 1.3 requests per second, in an order
	// unrelated to the indices.
	baseline := func(p int) float64 { return 0.3 + float64(p*7919%1000)/1000 }
	t.Run("if all proxies connect to one controller, the busiest get tables first", func(t *testing.T) {
		// When four of five controllers failed, 36,000 lines were queued, which the channel takes
		// 40 s to send.
		host := startController(t, wholeFleetSettings(), 200, 0)
		for p := range 2000 {
			host.controller.ProxyConnected(p, p%2, baseline(p), true)
		}
		if maxQueued := host.runChannel(8); maxQueued > 900*4 {
			t.Errorf("%.0f lines were queued, want at most 3600", maxQueued)
		}
		lowestServed, served := 2., 0
		for p := range 2000 {
			if host.controller.proxies[p].tablesAssigned {
				served, lowestServed = served+1, min(lowestServed, baseline(p))
			}
		}
		// In the first second, tables are sent to the proxies that connected first, whatever their
		// rate. So the test checks that none of the busiest proxies is without tables, not the
		// lowest rate that has tables.
		busiestWaiting := 0
		for p := range 2000 {
			busiestWaiting += toInt(!host.controller.proxies[p].tablesAssigned && baseline(p) > 1.15)
		}
		if served < 300 || busiestWaiting > 0 {
			t.Errorf("%d proxies have tables, want at least 300; %d of the busiest have none, want 0; lowest rate served %.2f",
				served, busiestWaiting, lowestServed)
		}
		host.runChannel(40)
		if queue := host.controller.syncQueue; len(queue) > 0 && !host.controller.proxies[queue[0]].tablesAssigned {
			t.Errorf("proxy %d has no tables in the end, and %d proxies wait", queue[0], len(queue))
		}
	})
	t.Run("a waiting proxy gets its tables within the drain grace, whatever else is to be published", func(t *testing.T) {
		// During restarts (santiago-enlace, roll+mass, seed 3) a proxy held a table with a backend that
		// was removed before the new controller started. No withdrawal named the backend, entries for
		// other proxies were sent first, and the table without the backend arrived after 8 s, with a
		// grace of 7.4 s.
		settings := wholeFleetSettings()
		settings.channel.Backlog, settings.channel.Proxies, settings.limits.DrainGrace = 5300, 240, 7400_000
		host := startController(t, settings, 160, 0)
		host.updateEndpoints(0, 60, Removed, 0)
		tableDelays := map[int]int64{}
		runChannel := func(seconds float64) {
			for range int(4 * seconds) {
				host.runChannel(0.25)
				for p, proxy := range host.controller.proxies {
					// The tables arrive once the channel has sent all lines that are queued now.
					if _, known := tableDelays[p]; proxy.tablesAssigned && !known {
						tableDelays[p] = host.now + host.controller.QueueDelay() + settings.channel.MaxLatency - proxy.connectedAt
					}
				}
			}
		}
		connect := func(from, to int) {
			for p := from; p < to; p++ {
				host.controller.ProxyConnected(p, p%2, baseline(p), true)
			}
		}
		connect(0, 35)
		runChannel(1.5)
		// The entries of the 100 new backends in this endpoint list are sent on the same channel as
		// the tables of the proxies.
		host.updateEndpoints(160, 260, Ready, 0)
		connect(35, 50)
		runChannel(0.5)
		connect(50, 75)
		runChannel(12)
		for p := range 75 {
			if delay, assigned := tableDelays[p]; !assigned || delay > settings.limits.DrainGrace {
				t.Errorf("proxy %d: assigned tables %v, after %.2f s, want within 7.4 s",
					p, assigned, float64(delay)/float64(second))
			}
		}
		entries := 0
		for _, table := range host.tables {
			entries += len(table)
		}
		if entries != 200 {
			t.Errorf("%d backends have an entry in the end, want 200", entries)
		}
	})
	t.Run("a small fleet that connects to one controller gets its tables within the grace", func(t *testing.T) {
		// When four of five controllers were killed during a release (santiago-enlace, herd+mass,
		// --nodes 30, seed 11), three subsets of 67 backends cost 17,000 lines for 240 proxies. The
		// channel takes 21 s to send so many lines, but the drain grace was 8.3 s.
		settings := wholeFleetSettings()
		settings.channel.LinesPerSecond, settings.channel.Backlog, settings.channel.MaxLatency = 800, 5300, 890_000
		settings.channel.Proxies, settings.channel.MinBackendConnections, settings.limits.DrainGrace = 240, 85, 8300_000
		host := startController(t, settings, 200, 0)
		for p := range 48 {
			host.controller.ProxyConnected(p, p%2, baseline(p), false)
		}
		host.runChannel(13)
		host.updateEndpoints(0, 60, Draining, 0)
		host.runChannel(1)
		for p := 48; p < 240; p++ {
			host.controller.ProxyConnected(p, p%2, baseline(p), true)
		}
		lateCount := 0
		for range 4 * 30 {
			host.runChannel(0.25)
			for _, proxy := range host.controller.proxies {
				earliest := host.now + host.controller.QueueDelay() + settings.channel.MaxLatency
				late := earliest-proxy.connectedAt > settings.limits.DrainGrace
				lateCount += toInt(!proxy.tablesAssigned && late)
			}
		}
		if lateCount > 0 {
			t.Errorf("in %d checks of a proxy its tables were late, want 0", lateCount)
		}
	})
	t.Run("waiting proxies do not get messages with 100 withdrawals each instead of tables", func(t *testing.T) {
		// When four of five controllers failed, withdrawals messages of 100 lines were sent to
		// proxies whose tables have 10 lines, and kept the channel full from then on.
		host := startController(t, wholeFleetSettings(), 200, 0)
		host.updateEndpoints(0, 100, Removed, 0)
		host.run(3, nil)
		for p := range 1500 {
			host.controller.ProxyConnected(p, p%2, baseline(p), true)
		}
		host.runChannel(10)
		assigned, notified := 0, 0
		for _, p := range host.controller.proxies {
			assigned, notified = assigned+toInt(p.tablesAssigned), notified+toInt(p.withdrawalsSynced)
		}
		if assigned < 400 || notified > 0 {
			t.Errorf("%d proxies have tables, want at least 400; %d got a withdrawals message, want 0", assigned, notified)
		}
	})
}
