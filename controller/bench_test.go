package controller

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"wheelrill/balancer"
)

// newFleet makes a controller for a fleet of so many proxies and 200 backends, with a channel of so many lines a second.
func newFleet(b *testing.B, proxies int, lines float64) *eventLoop {
	b.Helper()
	return newFleetOf(b, proxies, 200, lines)
}

// newFleetOf makes one for so many backends.
func newFleetOf(b *testing.B, proxies, backends int, lines float64) *eventLoop {
	b.Helper()
	var entries []string
	for id := range backends {
		entries = append(entries, endpointJSON(id, "up"))
	}
	fit := strings.NewReplacer(`"proxyCount":40`, fmt.Sprintf(`"proxyCount":%d`, proxies),
		`"egressPerS":900`, fmt.Sprintf(`"egressPerS":%g`, lines), `"backlog":900`,
		fmt.Sprintf(`"backlog":%g,"socketsMin":83`, 50*lines))
	c, err := New(Identity{}, []byte(fit.Replace(string(configuration("127.0.0.1:9", listJSON(1, true, entries...))))),
		NewLogger(io.Discard))
	if err != nil {
		b.Fatal(err)
	}
	now := c.loop.now
	c.loop.clock = func() int64 { return now }
	c.loop.iterate(func() {})
	return c.loop
}

// arrive has proxies join at one clock time, each on a stream that takes all it is sent.
func arrive(loop *eventLoop, proxies int) (peers []*connection) {
	loop.iterate(func() {
		for node := range proxies {
			conn := newConnection(&readerConn{Reader: strings.NewReader("")}, node+1, loop, func(*connection) error { return nil })
			conn.kind, conn.proxy, conn.zone = kindProxy, node, node%2
			conn.lastMessageAt.Store(loop.now)
			peers = append(peers, conn)
			loop.proxyConnected(conn, 0.5, true)
		}
	})
	return peers
}

// answers has every proxy take what it was sent and answer the last mark.
func answers(loop *eventLoop, peers []*connection) {
	loop.iterate(func() {
		for _, conn := range peers {
			for len(conn.outbox) > 0 {
				<-conn.outbox
			}
			if j := loop.sessions[conn.proxy]; j != nil && len(j.unacked) > 0 {
				loop.acknowledged(conn, j.unacked[len(j.unacked)-1].nonce)
			}
		}
	})
}

// Through the one nothing ever waits, so that all of the work is counted; through the other most proxies wait.
const wide, narrow = 9e9, 900

// BenchmarkFleet tells what one of each costs a controller as its proxies grow in number.
func BenchmarkFleet(b *testing.B) {
	for _, proxies := range []int{10, 100, 1000, 2400} {
		for what, lines := range map[string]float64{"takeover": wide, "takeover_narrow": narrow} {
			b.Run(fmt.Sprintf("%s/%d", what, proxies), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					b.StopTimer()
					loop := newFleet(b, proxies, lines)
					b.StartTimer()
					answers(loop, arrive(loop, proxies))
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(proxies), "ns/proxy")
			})
		}
		loop := newFleet(b, proxies, wide)
		peers := arrive(loop, proxies)
		answers(loop, peers)
		advance(loop, 5*microsPerSecond, func() {})
		answers(loop, peers)
		b.Run(fmt.Sprintf("report/%d", proxies), func(b *testing.B) {
			b.ReportAllocs()
			id := loop.backends.ids[0]
			for i := range b.N {
				loop.outcomesReported(outcomeReport{id, 5, 0, 200_000, microsPerSecond, balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}})
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
				for _, conn := range peers {
					conn.lastMessageAt.Store(loop.now)
				}
				answers(loop, peers)
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

// BenchmarkList tells what a list costs a controller by its entries: the full one at the start, without proxies, and a
// change of one entry, told to a hundred.
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
		loop := newFleetOf(b, proxies, backends, wide)
		peers := arrive(loop, proxies)
		answers(loop, peers)
		advance(loop, 5*microsPerSecond, func() {})
		answers(loop, peers)
		b.Run(fmt.Sprintf("change/%d", backends), func(b *testing.B) {
			for i := range b.N {
				state := []balancer.EndpointState{balancer.Draining, balancer.Ready}[i%2]
				advanceStalled(loop, 3*microsPerSecond, func() {
					loop.decisions.EndpointsUpdated(false, []balancer.Endpoint{{Backend: 7, State: state, Weight: 2, Zone: 1}})
				})
				for _, conn := range peers {
					conn.lastMessageAt.Store(loop.now)
				}
				answers(loop, peers)
			}
		})
	}
}
