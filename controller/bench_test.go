package controller

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"wheelrill/balancer"
)

// newFleet makes the event loop of a controller for a number of proxies and 200 backends. lines is
// the rate of its push channel to the proxies, in lines a second; a line is the unit of a message's
// cost, and a table entry costs one line.
func newFleet(b *testing.B, proxies int, lines float64) *eventLoop {
	b.Helper()
	return newFleetWithBackends(b, proxies, 200, lines)
}

// newFleetWithBackends makes the same event loop as newFleet, for a given number of backends.
func newFleetWithBackends(b *testing.B, proxies, backends int, lines float64) *eventLoop {
	b.Helper()
	var entries []string
	for id := range backends {
		entries = append(entries, endpointJSON(id, "up"))
	}
	settings := strings.NewReplacer(`"proxyCount":40`, fmt.Sprintf(`"proxyCount":%d`, proxies),
		`"egressPerS":900`, fmt.Sprintf(`"egressPerS":%g`, lines), `"backlog":900`,
		fmt.Sprintf(`"backlog":%g,"socketsMin":83`, 50*lines))
	text := settings.Replace(string(configuration("127.0.0.1:9", listJSON(1, true, entries...))))
	c, err := New(Identity{}, []byte(text),
		NewLogger(io.Discard))
	if err != nil {
		b.Fatal(err)
	}
	now := c.loop.now
	c.loop.clock = func() int64 { return now }
	c.loop.iterate(func() {})
	return c.loop
}

// connectFleet connects proxies at one clock time. Their connections have no socket: messages stay
// in the outboxes until acknowledgeAll empties them.
func connectFleet(loop *eventLoop, proxies int) (conns []*connection) {
	loop.iterate(func() {
		for proxy := range proxies {
			conn := newConnection(&readerConn{Reader: strings.NewReader("")}, proxy+1, loop,
				func(*connection) error { return nil })
			conn.kind, conn.proxy, conn.zone = kindProxy, proxy, proxy%2
			conn.lastMessageAt.Store(loop.now)
			conns = append(conns, conn)
			loop.proxyConnected(conn, 0.5, true)
		}
	})
	return conns
}

// acknowledgeAll empties the outbox of every proxy, and acknowledges the last ack request to each proxy.
func acknowledgeAll(loop *eventLoop, conns []*connection) {
	loop.iterate(func() {
		for _, conn := range conns {
			for len(conn.outbox) > 0 {
				<-conn.outbox
			}
			if session := loop.sessions[conn.proxy]; session != nil && len(session.unacked) > 0 {
				loop.acknowledged(conn, session.unacked[len(session.unacked)-1].nonce)
			}
		}
	})
}

// Rates of the push channel to the proxies, in lines (units of message cost) a second. At wideRate
// no push waits in the push queue, so that a benchmark measures all work; at narrowRate the pushes
// to most proxies wait.
const wideRate, narrowRate = 9e9, 900

// BenchmarkFleet measures how long a controller with a given number of proxies takes for an event.
// Case takeover: all proxies connect at once. Case report: a load report. Case order: a change of a
// backend that reaches all proxies. Case beat: an iteration without events.
func BenchmarkFleet(b *testing.B) {
	for _, proxies := range []int{10, 100, 1000, 2400} {
		for name, lines := range map[string]float64{"takeover": wideRate, "takeover_narrow": narrowRate} {
			b.Run(fmt.Sprintf("%s/%d", name, proxies), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					b.StopTimer()
					loop := newFleet(b, proxies, lines)
					b.StartTimer()
					acknowledgeAll(loop, connectFleet(loop, proxies))
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(proxies), "ns/proxy")
			})
		}
		loop := newFleet(b, proxies, wideRate)
		conns := connectFleet(loop, proxies)
		acknowledgeAll(loop, conns)
		advance(loop, 5*microsPerSecond, func() {})
		acknowledgeAll(loop, conns)
		b.Run(fmt.Sprintf("report/%d", proxies), func(b *testing.B) {
			b.ReportAllocs()
			id := loop.backends.ids[0]
			for i := range b.N {
				loop.outcomesReported(outcomeReport{id, 5, 0, 200_000, microsPerSecond,
					balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}})
				loop.demandReported(i%proxies, i%2, 3, 2*microsPerSecond)
			}
			loop.decisions.EndpointsUpdated(false, nil)
		})
		b.Run(fmt.Sprintf("order/%d", proxies), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				state := []balancer.EndpointState{balancer.Draining, balancer.Ready}[i%2]
				advanceStalled(loop, 3*microsPerSecond, func() {
					loop.decisions.EndpointsUpdated(false, []balancer.Endpoint{{Backend: 7, State: state, Weight: 2, Zone: 1}})
				})
				for _, conn := range conns {
					conn.lastMessageAt.Store(loop.now)
				}
				acknowledgeAll(loop, conns)
			}
		})
		b.Run(fmt.Sprintf("beat/%d", proxies), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				advanceStalled(loop, microsPerSecond/4, func() {})
			}
		})
	}
}

// BenchmarkList measures how long a controller takes for an endpoint list with a given number of
// backends. Case lines: the full list at the start, without proxies. Case change: a change of one
// backend, which reaches 100 proxies.
func BenchmarkList(b *testing.B) {
	const proxies = 100
	for _, backends := range []int{200, 1000, 5000, 20_000} {
		var entries []balancer.Endpoint
		for id := range backends {
			entries = append(entries, balancer.Endpoint{Backend: id, State: balancer.Ready, Weight: 2, Zone: id % 2})
		}
		b.Run(fmt.Sprintf("lines/%d", backends), func(b *testing.B) {
			for range b.N {
				t := newTables([][]byte{[]byte(`"lookup"`)}, func(int) []byte { return nil }, 1<<20, 64)
				for _, e := range entries {
					t.PublishEntry(0, e.Backend, e.Weight)
				}
				t.flush(nil, nil, nil)
			}
		})
		loop := newFleetWithBackends(b, proxies, backends, wideRate)
		conns := connectFleet(loop, proxies)
		acknowledgeAll(loop, conns)
		advance(loop, 5*microsPerSecond, func() {})
		acknowledgeAll(loop, conns)
		b.Run(fmt.Sprintf("change/%d", backends), func(b *testing.B) {
			for i := range b.N {
				state := []balancer.EndpointState{balancer.Draining, balancer.Ready}[i%2]
				advanceStalled(loop, 3*microsPerSecond, func() {
					loop.decisions.EndpointsUpdated(false, []balancer.Endpoint{{Backend: 7, State: state, Weight: 2, Zone: 1}})
				})
				for _, conn := range conns {
					conn.lastMessageAt.Store(loop.now)
				}
				acknowledgeAll(loop, conns)
			}
		})
	}
}
