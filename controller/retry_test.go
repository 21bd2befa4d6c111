package controller

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"wheelrill/balancer"
)

func TestRetryPermissions(t *testing.T) {
	t.Run("no class may retry executed requests, and a class with a lowered limit none", func(t *testing.T) {
		// The retry permission must not depend on the length of the report interval, so requests
		// may last longer than that interval. The deployment mixes classes with and without
		// idempotent requests, and tables of the whole fleet and of one zone.
		site := deployment{zones: []string{"a", "b"}, backendPrefix: "s-", maxMessages: 30, classes: []classSettings{
			{"safe", 1500, 4000, 1, false, false}, {"once", 800, 2000, 3, true, false}, {"here", 500, 1000, 2, true, true},
			{"rare", 3000, 9000, 0.1, false, true}}}
		loop := site.newLoop(t, 8)
		fake, conn := newFakeProxy(site.classNames()...), (*connection)(nil)
		lowered := 0
		for turn := range 60 {
			switch turn % 20 {
			case 0: // the proxy connects for the first time, or connects again
				conn = connectProxy(t, loop, turn+1, 0, turn%40 == 20)
				if turn%40 == 0 {
					fake = newFakeProxy(site.classNames()...)
				}
			case 7:
				loop.iterate(func() {
					loop.endpointsUpdated(false, 2, parsed(t, "["+site.endpointJSON(1, "draining", 0)+"]").GetArray())
				})
			case 14:
				loop.iterate(func() {
					loop.endpointsUpdated(false, 3, parsed(t, "["+site.endpointJSON(1, "up", loop.now/1000)+"]").GetArray())
				})
			}
			advance(loop, microsPerSecond/2, func() {
				conn.lastMessageAt.Store(loop.now)
				for b := range 8 {
					// mean latency in µs: in 20 turns, falls from 3 s to 0 (reported as 0.1 s) and rises
					mean := int64(math.Abs(float64(turn%20-10))) * 300_000
					loop.outcomesReported(outcomeReport{fmt.Sprint("s-", b), 20, 2, cmp.Or(mean, 100_000), microsPerSecond / 2,
						balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}})
				}
				for class := range 4 {
					loop.demandReported(0, class, 30, microsPerSecond/2)
				}
			})
			fake.receive(t, conn)
			for _, nonce := range fake.nonces {
				loop.iterate(func() { loop.acknowledged(conn, nonce) })
			}
			fake.nonces = nil
			for class, l := range fake.limits {
				if l == nil {
					continue
				}
				limited := l[0] < 1_000_000
				if lowered += map[bool]int{true: 1}[limited]; l[1] > 1 || limited && l[1] != 0 {
					t.Fatalf("turn %d, class %d: limit %g with retry policy %g", turn, class, l[0], l[1])
				}
			}
		}
		if lowered == 0 {
			t.Error("no admission limit was lowered")
		}
	})
	t.Run("a retry policy is written for exactly the classes that it was ordered for", func(t *testing.T) {
		names := [][]byte{[]byte(`"safe"`), []byte(`"once"`), []byte(`"zone"`)}
		tables := newTables(names, func(b int) []byte { return []byte(fmt.Sprintf(`"s-%d"`, b)) }, 1<<20, 64)
		fake := newFakeProxy("safe", "once", "zone")
		conn := &connection{outbox: make(chan []byte, 64), closed: make(chan struct{})}
		tables.connect(0, conn, false)
		random := rand.New(rand.NewPCG(3, 4))
		want := make([]float64, 3)
		tables.AssignTable(0, 0, 0b011)
		tables.AssignTable(1, 0, 0b100)
		for turn := range 300 {
			for class := range 3 {
				if random.IntN(3) == 0 {
					want[class] = float64(random.IntN(2))
					tables.SetAdmissionLimit(balancer.AllTables, 1<<class, float64(5+random.IntN(2)),
						balancer.RetryPolicy(want[class]))
				} else if turn == 0 {
					tables.SetAdmissionLimit(balancer.AllTables, 1<<class, 5, balancer.NoRetry)
				}
			}
			switch random.IntN(4) {
			case 0:
				tables.AssignTable(0, 0, 0b011) // writes a full table, at which the proxy discards its limits
			case 1:
				tables.AssignTable(1, 0, 0b100)
			case 2:
				tables.PublishEntry(random.IntN(2), random.IntN(9), float64(random.IntN(3)))
			}
			tables.flush((*connection).send, func(int, error) { t.Fatal("a proxy was dropped") }, func(int, int) {})
			fake.receive(t, conn)
			for class, l := range fake.limits {
				if l == nil || l[1] != want[class] {
					t.Fatalf("turn %d: class %d has limit and retry policy %v, want retry policy %g", turn, class, l, want[class])
				}
			}
		}
	})
}
