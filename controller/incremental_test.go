package controller

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"wheelrill/balancer"
)

// TestIncrementalPushesEqualFullComparison has tables that look only at what changed write what others write that go through all backends
// each time.
func TestIncrementalPushesEqualFullComparison(t *testing.T) {
	const proxies, backends, numbers, steps = 6, 12, 3, 400
	for seed := range uint64(40) {
		chance := rand.New(rand.NewPCG(seed, 9))
		both := []*tables{newTestTables(2), newTestTables(2)}
		do := func(what func(to *tables)) {
			for _, to := range both {
				what(to)
			}
		}
		logged, written := 0, make([][]byte, len(both))
		for step := range steps {
			proxy, backend, number, classes := chance.IntN(proxies), chance.IntN(backends), chance.IntN(numbers), uint16(chance.IntN(4))
			flag, weight := chance.IntN(2) == 0, float64(chance.IntN(3))
			switch chance.IntN(12) {
			case 0:
				do(func(to *tables) { connectFakeProxy(to, proxy, flag) })
			case 1, 2:
				do(func(to *tables) { to.AssignTable(number, proxy, classes) })
			case 3, 4, 5:
				do(func(to *tables) { to.PublishEntry(number, backend, weight) })
			case 6, 7:
				do(func(to *tables) { to.Withdraw(backend, flag) })
			case 8:
				do(func(to *tables) { to.SyncWithdrawals(proxy, 5, balancer.NoRetry) })
			case 9:
				do(func(to *tables) { to.ClearWithdrawals(proxy) })
			case 10:
				do(func(to *tables) {
					for at := range numbers {
						to.PublishEntry(at, backend, 0) // as decisions forget only what has no line
					}
				})
				do(func(to *tables) { to.forget(backend, func() bool { return true }) })
			case 11:
				do(func(to *tables) { to.RequestAck(step, flag) })
			}
			if flag {
				continue // several orders leave in one message
			}
			for i, to := range both {
				written[i] = written[i][:0]
				for _, s := range to.proxies {
					if s != nil && i == 1 {
						s.reconciled = false
					}
				}
				to.flush(func(_ *connection, message []byte) error {
					written[i] = append(written[i], message...)
					return nil
				}, func(proxy int, err error) { t.Fatal(proxy, err) }, func(int, int) {})
			}
			if string(written[0]) != string(written[1]) {
				t.Fatalf("seed %d, step %d:\n%q\n%q by going through all", seed, step, written[0], written[1])
			}
			logged += len(written[0])
		}
		if logged < 10*steps {
			t.Errorf("seed %d: only %d bytes were written", seed, logged)
		}
	}
}

// BenchmarkChangedEntry tells what a change of one line costs tables as proxies and backends grow in number, without decisions.
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
					tables.flush(func(_ *connection, m []byte) error { _, err := io.Discard.Write(m); return err }, nil, nil)
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
