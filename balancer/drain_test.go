package balancer

import "testing"

func TestDrainsLeaveWithinTheGrace(t *testing.T) {
	t.Run("draining and removed backends are left at once, whatever tables are held", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(3, nil)
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
		host.expectWeight(1, 0, "while draining")
		host.run(1, nil)
		host.controller.EndpointsUpdated(true, []Endpoint{{Backend: 0, State: Ready, Weight: 2}, {Backend: 2, State: Ready, Weight: 2}})
		host.expectWeight(3, 0, "when missing from the whole list")
		if !host.withdrawn[1] || !host.withdrawn[3] || host.withdrawn[0] {
			t.Errorf("withdrawn %v", host.withdrawn)
		}
		host.run(1, nil)
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Ready, Weight: 2, Zone: 1}})
		host.run(8, nil)
		if host.expectWeight(1, 2, "ready again"); host.withdrawn[1] {
			t.Error("still withdrawn")
		}
	})
	t.Run("backends that are removed one by one do not use up the messages", func(t *testing.T) {
		// Found in an incident: seven entries, a message each, and the eighth had to wait past the grace.
		settings := defaultSettings()
		settings.channel.MaxMessages, settings.limits.DrainGrace = 12, 1500_000
		host := startController(t, settings, 24, 3)
		host.run(12, func() { host.reportHealthy() })
		for b := range 8 {
			told := host.now
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 3 * b, State: Removed, Zone: b % 2}})
			host.run(0.2, nil)
			for host.tables[0][3*b] > 0 && host.now-told < settings.limits.DrainGrace {
				host.run(0.25, nil)
			}
			if late := host.now + settings.channel.MaxLatency - told; host.tables[0][3*b] > 0 || late > settings.limits.DrainGrace {
				t.Errorf("backend %d left %d us after it dropped", 3*b, late)
			}
		}
		for i, at := range host.messages {
			if i >= 12 && at-host.messages[i-12] < 10*second {
				t.Errorf("13 messages within %d us", at-host.messages[i-12])
			}
		}
	})
	t.Run("a drain does not wait for proxies that connect one by one", func(t *testing.T) {
		// Found by a hunt at size: a controller restarted, its proxies dialled for four seconds, each bind held
		// up all other orders, and the grace was over.
		host := startController(t, defaultSettings(), 6, 3)
		host.run(3, func() { host.reportHealthy() })
		for p := range 12 {
			host.controller.ProxyConnected(3+p, 0, 10, false)
			if p == 1 {
				host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
			}
			host.run(0.125, nil)
		}
		host.expectWeight(1, 0, "while proxies join")
	})
	t.Run("a drain that is reported late has what is left of its grace, and does not wait for others", func(t *testing.T) {
		settings := defaultSettings()
		settings.channel.MaxMessages = 4
		for late, waits := range map[int64]bool{0: true, second: true, 5 * second / 2: false, 100 * second: false, -second: true} {
			host := startController(t, settings, 6, 3)
			host.run(12, func() { host.reportHealthy() })
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
			host.run(0.1, nil)
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Draining, Weight: 2, DrainingSince: host.now - late}})
			if waiting := host.tables[0][2] > 0; waiting != waits {
				t.Errorf("ordered %d us ago: waits %v", late, waiting)
			}
			host.run(3, nil)
			if host.controller.graceAtListing != settings.limits.DrainGrace {
				t.Errorf("%d us are left of the grace once all is told", host.controller.graceAtListing)
			}
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Ready, Weight: 2}})
			host.run(12, func() { host.reportHealthy() })
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 3, State: Draining, Weight: 2, Zone: 1}})
			host.run(0.1, nil)
			if host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Draining, Weight: 2}}); host.tables[0][2] == 0 {
				t.Error("what was late of a drain that is over counts for the next")
			}
		}
	})
	t.Run("drains that do not fit as one piece wait for a drained channel, few do not", func(t *testing.T) {
		// Found in an incident: two waves in six small pieces, a third of them headers, and the last came late.
		host := startController(t, defaultSettings(), 50, 20)
		host.run(3, func() { host.reportHealthy() })
		host.now += second // no ack comes back meanwhile
		host.updateEndpoints(0, 5, Draining, 0)
		first := len(host.tables[0])
		host.now += second
		if host.updateEndpoints(5, 40, Draining, 0); first != 45 || len(host.tables[0]) != 45 {
			t.Errorf("%d left after the first wave, %d after the second", first, len(host.tables[0]))
		}
		before := len(host.messages)
		if host.controller.ProxyConnected(20, 0, 10, false); host.assigned["20 0 3"] { // found by a hunt: binds kept the channel from emptying
			t.Error("bound while drains wait for room")
		}
		if host.run(2, nil); len(host.tables[0]) != 10 || len(host.messages) > before+3 {
			t.Errorf("%d left of 10, in %d pieces", len(host.tables[0]), len(host.messages)-before)
		}
	})
	t.Run("a list that removes most, with many proxies without tables, does not fill the channel", func(t *testing.T) {
		// Found by a hunt at size: 47 withdrawals went to 40 proxies that had just joined, in one message each.
		host := startController(t, defaultSettings(), 40, 0)
		for p := range 30 {
			host.controller.ProxyConnected(p, 0, 10, false)
		}
		if host.updateEndpoints(0, 35, Removed, 0); host.controller.pushQueue.queuedLines > 900 {
			t.Errorf("%.0f lines wait", host.controller.pushQueue.queuedLines)
		}
		if host.run(12, nil); len(host.tables[0]) != 5 || !host.withdrawn[34] {
			t.Errorf("table %v, out %v", host.tables[0], host.withdrawn)
		}
	})
}
