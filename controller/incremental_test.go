package controller

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"wheelrill/balancer"
)

// TestIncrementalPushesEqualFullComparison guards against an incremental push that misses a change:
// tables that compare only changed backends must write the same bytes as tables that compare all
// backends for each message.
func TestIncrementalPushesEqualFullComparison(t *testing.T) {
	const proxies, backends, numbers, steps = 6, 12, 3, 400
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 9))
		variants := []*tables{newTestTables(2), newTestTables(2)}
		orderAll := func(order func(to *tables)) {
			for _, to := range variants {
				order(to)
			}
		}
		total, written := 0, make([][]byte, len(variants))
		for step := range steps {
			proxy, backend, number := random.IntN(proxies), random.IntN(backends), random.IntN(numbers)
			classes := uint16(random.IntN(4))
			flag, weight := random.IntN(2) == 0, float64(random.IntN(3))
			switch random.IntN(12) {
			case 0:
				orderAll(func(to *tables) { connectFakeProxy(to, proxy, flag) })
			case 1, 2:
				orderAll(func(to *tables) { to.AssignTable(number, proxy, classes) })
			case 3, 4, 5:
				orderAll(func(to *tables) { to.PublishEntry(number, backend, weight) })
			case 6, 7:
				orderAll(func(to *tables) { to.Withdraw(backend, flag) })
			case 8:
				orderAll(func(to *tables) { to.SyncWithdrawals(proxy, 5, balancer.NoRetry) })
			case 9:
				orderAll(func(to *tables) { to.ClearWithdrawals(proxy) })
			case 10:
				orderAll(func(to *tables) {
					for table := range numbers {
						// The entries are removed first, as balancer.Controller forgets only
						// backends without entries.
						to.PublishEntry(table, backend, 0)
					}
				})
				orderAll(func(to *tables) { to.forget(backend, func() bool { return true }) })
			case 11:
				orderAll(func(to *tables) { to.RequestAck(step, flag) })
			}
			if flag {
				continue // without a flush in this step, the next message contains the orders of several steps
			}
			for i, to := range variants {
				written[i] = written[i][:0]
				for _, state := range to.proxies {
					if state != nil && i == 1 {
						state.reconciled = false
					}
				}
				to.flush(func(_ *connection, message []byte) error {
					written[i] = append(written[i], message...)
					return nil
				}, func(proxy int, err error) { t.Fatal(proxy, err) }, func(int, int) {})
			}
			if string(written[0]) != string(written[1]) {
				t.Fatalf("seed %d, step %d:\n%q\n%q by full comparison", seed, step, written[0], written[1])
			}
			total += len(written[0])
		}
		if total < 10*steps {
			t.Errorf("seed %d: only %d bytes were written", seed, total)
		}
	}
}

// BenchmarkChangedEntry measures how long tables take to change one table entry and to encode the
// pushes of the change, for several numbers of proxies and of backends, without balancer.Controller.
func BenchmarkChangedEntry(b *testing.B) {
	for _, proxies := range []int{100, 400, 1200, 2400} {
		for _, backends := range []int{1000, 5000, 20_000} {
			b.Run(fmt.Sprintf("%d/%d", proxies, backends), func(b *testing.B) {
				tables := newTestTables(2)
				for backend := range backends {
					tables.PublishEntry(0, backend, 1)
				}
				for proxy := range proxies {
					tables.connect(proxy, nil, false)
					tables.AssignTable(0, proxy, 0)
				}
				flush := func() {
					tables.flush(func(_ *connection, message []byte) error {
						_, err := io.Discard.Write(message)
						return err
					}, nil, nil)
				}
				flush()
				b.ResetTimer()
				for i := range b.N {
					tables.PublishEntry(0, 7, 1+float64(i%2))
					flush()
				}
			})
		}
	}
}
