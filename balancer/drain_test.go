package balancer

import "testing"

func TestDrainsCompleteWithinGrace(t *testing.T) {
	t.Run("draining and removed backends lose their entries and are withdrawn at once", func(t *testing.T) {
		host := startController(t, defaultSettings(), 4, 2)
		host.run(3, nil)
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
		host.expectWeight(1, 0, "draining backend")
		host.run(1, nil)
		host.controller.EndpointsUpdated(true,
			[]Endpoint{{Backend: 0, State: Ready, Weight: 2}, {Backend: 2, State: Ready, Weight: 2}})
		host.expectWeight(3, 0, "backend missing from a complete list")
		if !host.withdrawn[1] || !host.withdrawn[3] || host.withdrawn[0] {
			t.Errorf("withdrawn backends are %v, want 1 and 3 without 0", host.withdrawn)
		}
		host.run(1, nil)
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Ready, Weight: 2, Zone: 1}})
		host.run(8, nil)
		if host.expectWeight(1, 2, "backend ready again"); host.withdrawn[1] {
			t.Error("backend 1 is still withdrawn after it became ready")
		}
	})
	t.Run("backends that are removed one by one do not use up the allowed messages", func(t *testing.T) {
		// Incident: the removals of seven backends were sent in one message each, which used up the
		// messages allowed to a proxy. The removal of the eighth backend waited beyond the drain
		// grace.
		settings := defaultSettings()
		settings.channel.MaxMessages, settings.limits.DrainGrace = 12, 1500_000
		host := startController(t, settings, 24, 3)
		host.run(12, func() { host.reportHealthy() })
		for b := range 8 {
			removedAt := host.now
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 3 * b, State: Removed, Zone: b % 2}})
			host.run(0.2, nil)
			for host.tables[0][3*b] > 0 && host.now-removedAt < settings.limits.DrainGrace {
				host.run(0.25, nil)
			}
			delay := host.messages[len(host.messages)-1] + settings.channel.MaxLatency - removedAt
			if host.tables[0][3*b] > 0 || delay > settings.limits.DrainGrace {
				t.Errorf("backend %d: weight %v at proxies %d us after its removal, want no entry within %d us",
					3*b, host.tables[0][3*b], delay, settings.limits.DrainGrace)
			}
		}
		for i, at := range host.messages {
			if i >= 12 && at-host.messages[i-12] < 10*second {
				t.Errorf("13 messages were sent within %d us, want at most 12 within 10 s", at-host.messages[i-12])
			}
		}
	})
	t.Run("a drain does not wait for proxies that connect one by one", func(t *testing.T) {
		// After a controller restarted in a large scenario, its proxies connected over four
		// seconds, and each assignment of tables delayed all other changes. The drain grace passed
		// before the drain was sent, so proxies still used the draining backend after the grace.
		host := startController(t, defaultSettings(), 6, 3)
		host.run(3, func() { host.reportHealthy() })
		for p := range 12 {
			host.controller.ProxyConnected(3+p, 0, 10, false)
			if p == 1 {
				host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
			}
			host.run(0.125, nil)
		}
		host.expectWeight(1, 0, "drain while proxies connect")
	})
	t.Run("a drain that is reported late has only the rest of its grace, and does not wait", func(t *testing.T) {
		settings := defaultSettings()
		settings.channel.MaxMessages = 4
		for reportDelay, wantWaiting := range map[int64]bool{
			0: true, second: true, 5 * second / 2: false, 100 * second: false, -second: true,
		} {
			host := startController(t, settings, 6, 3)
			host.run(12, func() { host.reportHealthy() })
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Draining, Weight: 2, Zone: 1}})
			host.run(0.1, nil)
			host.controller.EndpointsUpdated(false,
				[]Endpoint{{Backend: 2, State: Draining, Weight: 2, DrainingSince: host.now - reportDelay}})
			if waiting := host.tables[0][2] > 0; waiting != wantWaiting {
				t.Errorf("drain ordered %d us before its report: waiting is %v, want %v", reportDelay, waiting, wantWaiting)
			}
			host.run(3, nil)
			if host.controller.graceAtListing != settings.limits.DrainGrace {
				t.Errorf("%d us of grace are left without a pending drain, want all %d us",
					host.controller.graceAtListing, settings.limits.DrainGrace)
			}
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Ready, Weight: 2}})
			host.run(12, func() { host.reportHealthy() })
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 3, State: Draining, Weight: 2, Zone: 1}})
			host.run(0.1, nil)
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 2, State: Draining, Weight: 2}})
			if host.tables[0][2] == 0 {
				t.Error("backend 2 did not wait: the report delay of its earlier drain still counts")
			}
		}
	})
	t.Run("many drains wait until the queue is nearly empty, drains that fit into it do not", func(t *testing.T) {
		// Incident: two waves of drains were sent in six small pieces. A third of the lines was message
		// overhead, and the last piece was late.
		host := startController(t, defaultSettings(), 50, 20)
		host.run(3, func() { host.reportHealthy() })
		host.now += second // no proxy sends an ack in this time
		host.updateEndpoints(0, 5, Draining, 0)
		leftAfterFirst := len(host.tables[0])
		host.now += second
		if host.updateEndpoints(5, 40, Draining, 0); leftAfterFirst != 45 || len(host.tables[0]) != 45 {
			t.Errorf("%d entries after the first wave, %d after the second, want 45 after both",
				leftAfterFirst, len(host.tables[0]))
		}
		messagesBefore := len(host.messages)
		// Seen in a scenario: assignments of tables kept the push queue from becoming nearly empty,
		// so that the waiting drains were not sent.
		if host.controller.ProxyConnected(20, 0, 10, false); host.assigned["20 0 3"] {
			t.Error("proxy 20 was assigned tables while drains wait for capacity")
		}
		if host.run(2, nil); len(host.tables[0]) != 10 || len(host.messages) > messagesBefore+3 {
			t.Errorf("%d entries are left after %d messages, want 10 after at most 3",
				len(host.tables[0]), len(host.messages)-messagesBefore)
		}
	})
	t.Run("removal of most backends, with many proxies without tables, does not fill the channel", func(t *testing.T) {
		// In a large scenario, each of 40 proxies that had just connected was sent one message with
		// 47 withdrawals.
		host := startController(t, defaultSettings(), 40, 0)
		for p := range 30 {
			host.controller.ProxyConnected(p, 0, 10, false)
		}
		if host.updateEndpoints(0, 35, Removed, 0); host.controller.pushQueue.queuedLines > 900 {
			t.Errorf("%.0f lines are queued, want at most 900", host.controller.pushQueue.queuedLines)
		}
		if host.run(12, nil); len(host.tables[0]) != 5 || !host.withdrawn[34] {
			t.Errorf("the table is %v, want 5 entries; withdrawn backends are %v, want 34 among them",
				host.tables[0], host.withdrawn)
		}
	})
}
