package balancer

import (
	"fmt"
	"testing"
)

// shortGraceSettings has a short drain grace and few messages, which a grace bears only if drains share
// them.
func shortGraceSettings() testSettings {
	settings := defaultSettings()
	settings.channel = PushChannel{LinesPerSecond: 1400, MessageOverhead: 3, Backlog: 2800, MaxLatency: 500_000,
		MaxMessages: 12, MessageWindow: 10 * second}
	settings.limits.DrainGrace = 1500_000
	return settings
}

// drainOneByOne drains the given number of backends, one each interval, and returns the longest time
// from the list that reports a drain to the arrival of the change at proxies.
func (host *fakeHost) drainOneByOne(count int, interval float64, maxLatency int64, between func()) (longest int64) {
	listedAt := map[int]int64{}
	note := func() {
		for b, at := range listedAt {
			if host.tables[0][b] == 0 {
				longest = max(longest, host.messages[len(host.messages)-1]+maxLatency-at)
				delete(listedAt, b)
			}
		}
	}
	step := func(until int64) {
		for host.now < until {
			host.run(float64(min(until-host.now, 10_000))/float64(second), nil)
			note()
		}
	}
	for b := range count {
		listedAt[b] = host.now
		host.updateEndpoints(b, b+1, Draining, 0)
		note()
		step(host.now + int64(interval*float64(second)))
		if between != nil {
			between()
		}
	}
	step(host.now + 15*second)
	return longest
}

// expectMessageLimit fails the test if more messages were sent within a window than are allowed.
func (host *fakeHost) expectMessageLimit(channel PushChannel) {
	host.Helper()
	for i, at := range host.messages {
		if i >= channel.MaxMessages && at-host.messages[i-channel.MaxMessages] < channel.MessageWindow {
			host.Errorf("%d messages were sent within %d us, want at most %d within %d us", channel.MaxMessages+1,
				at-host.messages[i-channel.MaxMessages], channel.MaxMessages, channel.MessageWindow)
		}
	}
}

func TestDrainsLeaveMessagesForLaterDrains(t *testing.T) {
	// Guards against drains that use up the messages of the window, so that later drains are told
	// only once it has passed: with a drain each 650 ms, the thirteenth of them came 3 s late.
	few := shortGraceSettings()
	few.channel.MaxMessages, few.limits.DrainGrace = 3, 6*second
	quarter := defaultSettings()
	quarter.channel.MaxMessages = 7
	long := shortGraceSettings()
	long.channel.MaxMessages, long.channel.MessageWindow = 45, 40*second
	for _, c := range []struct {
		name     string
		settings testSettings
		interval float64 // seconds between two drains
	}{
		{"a drain each 650 ms", shortGraceSettings(), 0.65},
		{"twice as dense", shortGraceSettings(), 0.325},
		{"ten drains a second", shortGraceSettings(), 0.1},
		{"each drain just after the last was told", shortGraceSettings(), 0.92},
		{"three messages, a grace of 6 s", few, 0.65},
		{"seven messages, a grace of 3 s", quarter, 0.5},
		{"a window of 40 s", long, 0.4},
	} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ordinary changes %v", c.name, busy), func(t *testing.T) {
				host := startController(t, c.settings, 160, 12)
				host.run(12, func() { host.reportHealthy() })
				turn := 0
				between := func() {
					turn++
					for b := 150; b < 160; b++ { // weights that change all the time
						host.controller.EndpointsUpdated(false, []Endpoint{{Backend: b, State: Ready,
							Weight: float64(1 + (turn+b)%3), Zone: b % 2}})
					}
				}
				if !busy {
					between = nil
				}
				longest := host.drainOneByOne(100, c.interval, c.settings.channel.MaxLatency, between)
				if longest > c.settings.limits.DrainGrace {
					t.Errorf("a drain reached proxies %d us after it was reported, want at most %d us", longest,
						c.settings.limits.DrainGrace)
				}
				host.expectMessageLimit(c.settings.channel)
			})
		}
	}
}
