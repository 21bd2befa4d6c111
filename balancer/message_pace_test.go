package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// sharedSettings returns settings of controllers that share their proxies, with a short drain grace.
func sharedSettings() testSettings {
	settings := shortGraceSettings()
	settings.channel.SharedProxies = true
	return settings
}

func TestPaceOfSettings(t *testing.T) {
	for _, c := range []struct {
		name     string
		messages int
		latency  int64
		grace    int64
		want     messagePace
	}{
		{"twelve messages suffice for a grace of 1.5 s", 12, 575_000, 1500_000, messagePace{881_250, 1}},
		{"thirty messages, a grace of 3 s", 30, 660_000, 3 * second, messagePace{355_334, 1}},
		{"seven messages do not suffice for a grace of 1.5 s", 7, 500_000, 1500_000, messagePace{2100_000, 3}},
		{"one message", 1, 500_000, 1500_000, messagePace{10_500_000, 1}},
		{"no limit", 0, 500_000, 1500_000, messagePace{}},
	} {
		channel := PushChannel{MaxMessages: c.messages, MessageWindow: 10 * second, MaxLatency: c.latency,
			SharedProxies: true}
		if got := newMessagePace(channel, c.grace); got != c.want {
			t.Errorf("%s: pace %+v, want %+v", c.name, got, c.want)
		}
		channel.SharedProxies = false
		if got := newMessagePace(channel, c.grace); got != (messagePace{}) {
			t.Errorf("%s, not shared: pace %+v, want none", c.name, got)
		}
	}
}

// paceModel is a proxy that moves between controllers that know nothing of each other. Times are
// small numbers.
type paceModel struct {
	pace     messagePace
	now      int64
	proxy    proxyState
	messages []int64 // times of all messages to the proxy
}

// play plays one event, and reports whether it is possible.
func (m *paceModel) play(event byte, bucketAfterMove func(pace messagePace, at int64) int64) bool {
	switch event {
	case 't': // a unit of time passes
		m.now++
	case 'm': // the proxy moves to another controller, or its connection breaks
		m.proxy = proxyState{bucketFullAt: bucketAfterMove(m.pace, m.now)}
	case 's': // the controller sends a message
		if m.pace.dueAt(&m.proxy, requiredMessage) > m.now {
			return false
		}
		m.pace.take(&m.proxy, m.now)
		m.messages = append(m.messages, m.now)
	case 'h': // the controller orders a message that its host holds back
		if m.pace.dueAt(&m.proxy, requiredMessage) > m.now {
			return false
		}
		m.pace.take(&m.proxy, m.now)
		m.proxy.unreleasedMessages++
	case 'r': // the host releases the message
		if m.proxy.unreleasedMessages == 0 {
			return false
		}
		m.pace.release(&m.proxy, m.now)
		m.messages = append(m.messages, m.now)
	}
	return true
}

// mostWithin returns the highest number of times that lie within a span, which ends before it is
// complete.
func mostWithin(times []int64, span int64) (most int) {
	for i := range times {
		count := 0
		for _, at := range times[i:] {
			if at-times[i] < span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// exploreMoves plays every order of events up to a depth, and returns the first one after which the
// proxy was sent more messages within the window than allowed; "" if there is none.
func exploreMoves(
	pace messagePace, allowed int, window int64, depth int, bucketAfterMove func(messagePace, int64) int64,
) string {
	var explore func(m paceModel, order string) string
	explore = func(m paceModel, order string) string {
		if mostWithin(m.messages, window) > allowed {
			return order
		}
		if len(order) == depth {
			return ""
		}
		for _, event := range []byte("tmshr") {
			next := m
			next.messages = slices.Clone(m.messages)
			if !next.play(event, bucketAfterMove) {
				continue
			}
			if found := explore(next, order+string(event)); found != "" {
				return found
			}
		}
		return ""
	}
	start := paceModel{pace: pace, now: 100}
	start.proxy.bucketFullAt = start.now // the bucket is full
	return explore(start, "")
}

func TestPaceKeepsTheLimitInEveryOrderOfEvents(t *testing.T) {
	// Guards against controllers that together send a proxy more messages than allowed, in whatever
	// order it moves between them and messages are held back.
	emptyAfterMove := func(pace messagePace, at int64) int64 { return pace.emptyBucket(at) }
	fullAfterMove := func(_ messagePace, at int64) int64 { return at }
	for _, c := range []struct{ allowed, burst int }{{2, 1}, {3, 1}, {3, 2}, {4, 2}, {4, 3}} {
		window := int64(4)
		pace := messagePace{interval: divideUp(window, c.allowed-c.burst+1), burst: c.burst}
		t.Run(fmt.Sprintf("%d messages, burst %d", c.allowed, c.burst), func(t *testing.T) {
			if found := exploreMoves(pace, c.allowed, window, 11, emptyAfterMove); found != "" {
				t.Errorf("more than %d messages within the window after the events %s", c.allowed, found)
			}
			if found := exploreMoves(pace, c.allowed, window, 11, fullAfterMove); found == "" {
				t.Error("a full bucket after a move is not detected")
			}
		})
	}
}

// connectShared connects a proxy that may have been sent messages by others up to now.
func (host *fakeHost) connectShared(proxy int) {
	host.controller.PeersMaySendUntil(proxy, host.now)
	host.controller.ProxyConnected(proxy, proxy%2, 10, false)
	host.controller.Acknowledged(proxy, host.ackRequest)
}

func TestSharedProxies(t *testing.T) {
	t.Run("a proxy gets its tables one interval after it left the others, not after its claim", func(t *testing.T) {
		host := startController(t, sharedSettings(), 20, 0)
		host.run(12, nil)
		left := host.now
		host.run(0.5, nil)
		host.controller.PeersMaySendUntil(3, left)
		host.controller.ProxyConnected(3, 0, 10, false)
		interval := host.controller.pushQueue.pace.interval
		host.run(float64(left+interval-host.now-1000)/float64(second), nil)
		if host.controller.proxies[3].tablesAssigned {
			t.Fatal("the proxy has tables less than an interval after it left the others")
		}
		if host.run(0.002, nil); !host.controller.proxies[3].tablesAssigned {
			t.Error("the proxy has no tables an interval after it left the others")
		}
	})
	t.Run("a proxy that may be sent no message does not hold up the others", func(t *testing.T) {
		// Guards against one proxy whose stream breaks again and again, for which all drains waited.
		host := startController(t, sharedSettings(), 20, 0)
		for p := range 12 {
			host.connectShared(p)
		}
		host.run(12, nil)
		host.controller.ProxyDisconnected(0)
		host.connectShared(0)
		host.run(0.9, nil) // the proxy has its tables, and may be sent nothing for an interval
		host.updateEndpoints(4, 5, Draining, 0)
		if host.expectWeight(4, 0, "at once"); !host.controller.proxies[0].held || host.controller.proxies[1].held {
			t.Errorf("held: proxy 0 %v, proxy 1 %v; want the first alone", host.controller.proxies[0].held,
				host.controller.proxies[1].held)
		}
		host.run(0.9, nil)
		proxy := host.controller.proxies[0]
		if proxy.held || !slices.Contains(host.effects, fmt.Sprint(proxy.messageTimes[1], " resume 0")) {
			t.Errorf("proxy 0 is held: %v, messages at %v; want one with the drain", proxy.held, proxy.messageTimes)
		}
	})
	t.Run("no message follows one that the host holds back, which counts from its release", func(t *testing.T) {
		host := startController(t, sharedSettings(), 20, 0)
		host.connectShared(0)
		host.run(12, nil)
		host.updateEndpoints(4, 5, Draining, 0)
		host.controller.MessageHeldBack(0)
		host.run(3, nil)
		host.updateEndpoints(5, 6, Draining, 0)
		if host.run(0.5, nil); !host.controller.proxies[0].held {
			t.Fatal("a message follows one that is held back")
		}
		host.controller.MessageReleased(0)
		released := host.now
		host.run(0.8, nil)
		if !host.controller.proxies[0].held {
			t.Errorf("a message follows %d us after a release", host.now-released)
		}
		if host.run(0.1, nil); host.controller.proxies[0].held {
			t.Error("the drain waits for more than an interval after the release")
		}
	})
	t.Run("where messages do not suffice, ordinary changes leave one for drains", func(t *testing.T) {
		settings := sharedSettings()
		settings.channel.MaxMessages = 7
		host := startController(t, settings, 20, 0)
		host.connectShared(0)
		host.run(12, nil)
		for turn := range 30 {
			host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 9, State: Ready, Weight: float64(1 + turn%3), Zone: 1}})
			host.run(0.5, nil)
		}
		host.updateEndpoints(4, 5, Draining, 0)
		if host.controller.proxies[0].held {
			t.Error("a drain waits, as ordinary changes took all messages")
		}
	})
}

func TestSharedProxiesGetDrainsInTime(t *testing.T) {
	// Guards against drains that are late because messages are kept for controllers that do not need
	// them: any pace of drains has to be borne, also with ordinary changes beside.
	for _, interval := range []float64{0.1, 0.325, 0.65, 0.75, 0.9, 1, 1.3} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprintf("a drain each %g s, ordinary changes %v", interval, busy), func(t *testing.T) {
				settings := sharedSettings()
				host := startController(t, settings, 160, 0)
				for p := range 12 {
					host.connectShared(p)
				}
				host.run(12, func() { host.reportHealthy() })
				counting := settings.channel.MessageWindow + settings.channel.MaxLatency
				told, late := map[int]int64{}, int64(0)
				// A backend that a proxy may still use is one whose drain was told after the proxy's
				// last message.
				note := func() {
					for p, proxy := range host.controller.proxies {
						for b, at := range told {
							last := proxy.messageTimes[len(proxy.messageTimes)-1]
							if at > last || host.tables[0][b] > 0 {
								late = max(late, host.now-at)
							}
						}
						if count := mostWithin(proxy.messageTimes, counting); count > settings.channel.MaxMessages {
							t.Fatalf("proxy %d was sent %d messages within the window", p, count)
						}
					}
				}
				for b := range 60 {
					told[b] = host.now
					host.updateEndpoints(b, b+1, Draining, 0)
					if busy {
						host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 150 + b%10, State: Ready,
							Weight: float64(1 + b%3), Zone: b % 2}})
					}
					for until := host.now + int64(interval*float64(second)); host.now < until; {
						host.run(float64(min(until-host.now, 10_000))/float64(second), nil)
						note()
					}
				}
				if most := settings.limits.DrainGrace - settings.channel.MaxLatency; late > most {
					t.Errorf("a drain was sent %d us after it was told, want at most %d us", late, most)
				}
			})
		}
	}
}
