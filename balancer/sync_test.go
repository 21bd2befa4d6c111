package balancer

import (
	"fmt"
	"slices"
	"testing"
)

func TestProxiesThatConnectGetTables(t *testing.T) {
	t.Run("a proxy that may hold foreign withdrawals costs a line more for each backend's first entry", func(t *testing.T) {
		cost := map[bool][]float64{}
		for _, keeps := range []bool{false, true} {
			host := startController(t, defaultSettings(), 5, 0)
			host.controller.ProxyConnected(0, 0, 10, keeps)
			bind := host.controller.pushQueue.queuedLines
			host.controller.Acknowledged(0, host.ackRequest)
			host.now += 3 * second
			host.updateEndpoints(5, 7, Ready, 0) // new ones enter, and one is dropped
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 0, State: Removed, Weight: 2}})
			host.run(2.2, nil)
			host.controller.ProxyDisconnected(0)
			host.controller.ProxyConnected(1, 0, 10, keeps)
			before := host.controller.pushQueue.queuedLines
			host.now += 3 * second
			host.updateEndpoints(7, 8, Ready, 0)
			host.controller.publishChanges(host.now, true)
			cost[keeps] = []float64{bind, host.controller.pushQueue.queuedLines - before}
		}
		if cost[true][0] != cost[false][0]+5 || cost[true][1] != cost[false][1]+1 {
			t.Errorf("lines counted: %v", cost)
		}
	})
	t.Run("complete tables wait while half the capacity is in use, and until acks come back", func(t *testing.T) {
		host := startController(t, defaultSettings(), 30, 0)
		for p := range 28 {
			host.controller.ProxyConnected(p, 0, 10, false)
		}
		n := len(host.assigned)
		if n == 0 || float64(n)*35 > 450 {
			t.Errorf("%d assigned at once", n)
		}
		host.now += second
		if host.controller.TimerFired(host.timerTag); len(host.assigned) != n {
			t.Errorf("%d more were assigned though no ack came back", len(host.assigned)-n)
		}
		if host.run(3, nil); len(host.assigned) != 28 {
			t.Errorf("%d assigned in the end", len(host.assigned))
		}
	})
	t.Run("equal proxies get tables in the order in which they connected, and are told of withdrawals meanwhile", func(t *testing.T) {
		// Found on a day of reloads: the last numbers were bound last at each controller, and kept a gone backend.
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
			bound, told := host.assigned[fmt.Sprint(p, 0, 3)], slices.Contains(host.script, fmt.Sprintf("%d sync %d", host.now, p))
			if bound != (turn < len(host.assigned)-1) || told == bound || len(host.assigned) < 8 {
				t.Errorf("proxy %d: assigned %v, told %v, %d bound", p, bound, told, len(host.assigned))
			}
		}
		host.run(6, nil)
		for p := range 28 {
			if proxy := host.controller.proxies[p+1]; !proxy.tablesAssigned || !proxy.withdrawalsCleared {
				t.Errorf("proxy %d in the end: %+v", p+1, proxy)
			}
		}
		if host.controller.pushQueue.queuedLines > 900 || len(host.controller.syncQueue) > 0 {
			t.Errorf("%.0f lines, %d waiting", host.controller.pushQueue.queuedLines, len(host.controller.syncQueue))
		}
	})
}

func TestWholeFleetConnectsToOneController(t *testing.T) {
	busy := func(p int) float64 { return 0.3 + float64(p*7919%1000)/1000 } // spread over the numbers
	t.Run("when all connect to one, the busiest get tables first and nothing waits long behind others", func(t *testing.T) {
		// Found on a day on which four of five controllers died: 36,000 lines waited, 40 s of the channel.
		host := startController(t, wholeFleet(), 200, 0)
		for p := range 2000 {
			host.controller.ProxyConnected(p, p%2, busy(p), true)
		}
		if most := host.playChannel(8); most > 900*4 {
			t.Errorf("%.0f lines waited", most)
		}
		least, bound := 2., 0
		for p := range 2000 {
			if host.controller.proxies[p].tablesAssigned {
				bound, least = bound+1, min(least, busy(p))
			}
		}
		higher := 0 // the first second's worth went to whoever was there
		for p := range 2000 {
			higher += count(!host.controller.proxies[p].tablesAssigned && busy(p) > 1.15)
		}
		if bound < 300 || higher > 0 {
			t.Errorf("%d assigned, %d of the busiest were not, the quietest has %.2f", bound, higher, least)
		}
		if host.playChannel(40); len(host.controller.syncQueue) > 0 && !host.controller.proxies[host.controller.syncQueue[0]].tablesAssigned {
			t.Errorf("%d wait in the end", len(host.controller.syncQueue))
		}
	})
	t.Run("a proxy that waits gets its tables within the grace, whatever else there is to publish", func(t *testing.T) {
		// Found on a day of restarts (santiago-enlace, roll+mass, seed 3): a proxy brought a table that named a backend
		// which had gone before the new controller began. No withdrawal named it, new lines for others went first, and the
		// table that would have taken it out came after 8 s, with 7.4 of grace.
		settings := wholeFleet()
		settings.channel.Backlog, settings.channel.Proxies, settings.limits.DrainGrace = 5300, 240, 7400_000
		host := startController(t, settings, 160, 0)
		host.updateEndpoints(0, 60, Removed, 0)
		late := map[int]int64{}
		plays := func(seconds float64) {
			for range int(4 * seconds) {
				host.playChannel(0.25)
				for p, proxy := range host.controller.proxies {
					if _, known := late[p]; proxy.tablesAssigned && !known { // it leaves behind all that waits now
						late[p] = host.now + host.controller.QueueDelay() + settings.channel.MaxLatency - proxy.connectedAt
					}
				}
			}
		}
		comes := func(from, to int) {
			for p := from; p < to; p++ {
				host.controller.ProxyConnected(p, p%2, busy(p), true)
			}
		}
		comes(0, 35)
		plays(1.5)
		host.updateEndpoints(160, 260, Ready, 0) // a hundred new ones are a line each to all of these
		comes(35, 50)
		plays(0.5)
		comes(50, 75)
		plays(12)
		for p := range 75 {
			if after, bound := late[p]; !bound || after > settings.limits.DrainGrace {
				t.Errorf("proxy %d: assigned %v, its table came after %.2f s", p, bound, float64(after)/float64(second))
			}
		}
		n := 0
		for _, table := range host.tables {
			n += len(table)
		}
		if n != 200 {
			t.Errorf("%d of 200 backends have a line in the end", n)
		}
	})
	t.Run("a small fleet that connects to one in a release gets its tables within the grace", func(t *testing.T) {
		// Found on days on which four of five controllers are killed in a release (santiago-enlace, herd+mass, --nodes 30, seed
		// 11): three parts of 67 backends are 17,000 lines for 240 proxies, 21 s of the channel with 8.3 s of grace.
		settings := wholeFleet()
		settings.channel.LinesPerSecond, settings.channel.Backlog, settings.channel.MaxLatency = 800, 5300, 890_000
		settings.channel.Proxies, settings.channel.MinBackendConnections, settings.limits.DrainGrace = 240, 85, 8300_000
		host := startController(t, settings, 200, 0)
		for p := range 48 {
			host.controller.ProxyConnected(p, p%2, busy(p), false)
		}
		host.playChannel(13)
		host.updateEndpoints(0, 60, Draining, 0)
		host.playChannel(1)
		for p := 48; p < 240; p++ {
			host.controller.ProxyConnected(p, p%2, busy(p), true)
		}
		late := 0
		for range 4 * 30 {
			host.playChannel(0.25)
			for _, proxy := range host.controller.proxies {
				late += count(!proxy.tablesAssigned && host.now+host.controller.QueueDelay()+settings.channel.MaxLatency-proxy.connectedAt > settings.limits.DrainGrace)
			}
		}
		if late > 0 {
			t.Errorf("%d looks at proxies that were late", late)
		}
	})
	t.Run("proxies that wait are not told of a hundred withdrawals one by one instead", func(t *testing.T) {
		// Found on the same day: messages of a hundred lines, for tables of ten, took all of the channel for good.
		host := startController(t, wholeFleet(), 200, 0)
		host.updateEndpoints(0, 100, Removed, 0)
		host.run(3, nil)
		for p := range 1500 {
			host.controller.ProxyConnected(p, p%2, busy(p), true)
		}
		host.playChannel(10)
		bound, told := 0, 0
		for _, p := range host.controller.proxies {
			bound, told = bound+count(p.tablesAssigned), told+count(p.withdrawalsSynced)
		}
		if bound < 400 || told > 0 {
			t.Errorf("%d assigned, %d told", bound, told)
		}
	})
}
