package controller

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"wheelrill/balancer"
)

// The push channel keeps its limit on lines (units of message cost) to proxies only if a push never
// contains more lines than balancer.Controller charges to the channel. A push with uncharged lines
// would exceed the limit unnoticed.
func TestPushesNeverExceedChargedLines(t *testing.T) {
	wide := strings.NewReplacer(`"egressPerS":900`, `"egressPerS":1e6`, `"backlog":900`, `"backlog":1e6`,
		`"pushDelayMax":600`, `"pushDelayMax":600000`, `"overhead":4`, `"overhead":4,"socketsMin":10`)
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			var entries []string
			for id := range 20 {
				entries = append(entries, endpointJSON(id, "up"))
			}
			c, err := New(Identity{}, []byte(wide.Replace(string(configuration("127.0.0.1:9", listJSON(1, true, entries...))))),
				NewLogger(io.Discard))
			if err != nil {
				t.Fatal(err)
			}
			loop, fakes, written := c.loop, map[*connection]*fakeProxy{}, 0
			now := loop.now
			loop.clock = func() int64 { return now }
			loop.iterate(func() {})
			for step := range 160 {
				advance(loop, microsPerSecond/4, func() {
					for range random.IntN(4) {
						switch node := random.IntN(40); random.IntN(5) {
						case 0, 1:
							conn := newConnection(&readerConn{Reader: strings.NewReader("")}, step, loop,
								func(*connection) error { return nil })
							conn.kind, conn.proxy, conn.zone = kindProxy, node, node%2
							loop.proxyConnected(conn, 1+float64(random.IntN(20)), random.IntN(2) == 0)
							fakes[conn] = newFakeProxy("read it", "write")
						case 2:
							state := []string{"up", "draining", "removed"}[random.IntN(3)]
							loop.endpointsUpdated(false, int64(step), parsed(t, "["+endpointJSON(random.IntN(22), state)+"]").GetArray())
						default: // the backends' latency is 0.2 s for 40 steps, then 1.1 s for 40 steps
							for id := range 20 {
								loop.outcomesReported(outcomeReport{fmt.Sprint("s-", id), 20, 0,
									200_000 + int64(step/40%2)*900_000, microsPerSecond,
									balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}})
							}
							for other := range 40 {
								loop.demandReported(other, other%2, 30, microsPerSecond)
							}
						}
					}
				})
				for conn, fake := range fakes {
					conn.lastMessageAt.Store(loop.now)
					for len(conn.outbox) > 0 {
						before := fake.messages
						if err := fake.apply(<-conn.outbox); err != nil || fake.messages != before+1 {
							t.Fatalf("error %v, %d messages in an outbox entry, want 1", err, fake.messages-before)
						}
						written += 4 + fake.cost
					}
				}
				if charged := loop.decisions.QueueDelay(); int64(written) > charged {
					t.Fatalf("step %d: %d lines were written, %d were charged", step, written, charged)
				}
			}
			if written < 1000 {
				t.Errorf("only %d lines were written in all", written)
			}
		})
	}
}
