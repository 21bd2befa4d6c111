package controller

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"wheelrill/balancer"
)

// backendName returns the id of a backend as encoded in messages.
func backendName(b int) []byte { return fmt.Appendf(nil, `"s-%d"`, b) }

// newTestTables makes tables for classes c0, c1 and so on.
func newTestTables(classes int) *tables {
	names := [][]byte{}
	for i := range classes {
		names = append(names, fmt.Appendf(nil, `"c%d"`, i))
	}
	return newTables(names, backendName, 1<<20, 64)
}

// connectFakeProxy connects a proxy to tables. It returns the fake proxy, and the connection whose
// outbox receives the messages that tables write to the proxy.
func connectFakeProxy(t *tables, proxy int, mayHoldWithdrawals bool) (*fakeProxy, *connection) {
	conn := &connection{outbox: make(chan []byte, 64), closed: make(chan struct{})}
	t.connect(proxy, conn, mayHoldWithdrawals)
	fake := newFakeProxy()
	for i := range t.classNames {
		fake.classes = append(fake.classes, fmt.Sprintf("c%d", i))
		fake.lines, fake.limits = append(fake.lines, map[string]float64{}), append(fake.limits, nil)
	}
	return fake, conn
}

// flushToOutboxes writes each proxy its message; the test fails if a proxy is dropped.
func (t *tables) flushToOutboxes(test *testing.T) {
	test.Helper()
	t.flush((*connection).send, func(proxy int, err error) {
		test.Errorf("proxy %d was dropped: %v", proxy, err)
	}, func(int, int) {})
}

func TestPushes(t *testing.T) {
	t.Run("an assignment writes the full table and limits, later changes reach only assigned proxies", func(t *testing.T) {
		tables := newTestTables(2)
		fake, conn := connectFakeProxy(tables, 0, false)
		other, otherConn := connectFakeProxy(tables, 5, false)
		tables.PublishEntry(0, 0, 2)
		tables.PublishEntry(0, 1, 0.5)
		tables.SetAdmissionLimit(0, 1, 7, balancer.NoRetry)
		tables.AssignTable(0, 0, 0)
		tables.RequestAck(3, false)
		tables.flushToOutboxes(t)
		fake.receive(t, conn)
		want := map[string]float64{"s-0": 2, "s-1": 0.5}
		if !maps.Equal(fake.lines[0], want) || !maps.Equal(fake.lines[1], want) || fake.limits[0][0] != 7 ||
			fake.limits[1] != nil || !slices.Equal(fake.nonces, []int{3}) || fake.messages != 1 || fake.cost != 5 {
			t.Errorf("got %+v", fake)
		}
		tables.PublishEntry(0, 1, 0)
		tables.AssignTable(0, 9, 0) // proxy 9 has never connected
		tables.RequestAck(4, false)
		tables.flushToOutboxes(t)
		fake.receive(t, conn)
		other.receive(t, otherConn)
		if len(fake.lines[0]) != 1 || fake.cost != 2 || other.messages != 0 || fake.limits[0] == nil {
			t.Errorf("got %+v and %+v", fake, other)
		}
		tables.RequestAck(5, true)
		tables.flushToOutboxes(t)
		fake.receive(t, conn)
		other.receive(t, otherConn)
		if !slices.Equal(fake.nonces, []int{3, 4, 5}) || !slices.Equal(other.nonces, []int{5}) || fake.cost != 1 {
			t.Errorf("an ack request to all proxies: nonces %v and %v", fake.nonces, other.nonces)
		}
	})
	t.Run("the lower of a table's limit and the limit for all applies, with the table's retry policy", func(t *testing.T) {
		tables := newTestTables(2)
		fake, conn := connectFakeProxy(tables, 0, false)
		tables.PublishEntry(4, 0, 1)
		tables.SetAdmissionLimit(4, 2, 20, balancer.RetryTwiceOnFailure)
		tables.SetAdmissionLimit(balancer.AllTables, 0, 9, balancer.NoRetry)
		tables.AssignTable(4, 0, 0)
		tables.flushToOutboxes(t)
		fake.receive(t, conn)
		if !slices.Equal(fake.limits[0], []float64{9, 0}) || !slices.Equal(fake.limits[1], []float64{9, 3}) {
			t.Errorf("limits %v", fake.limits)
		}
		tables.SetAdmissionLimit(balancer.AllTables, 2, 0.25, balancer.RetryIfNotExecuted)
		// No limit is written to this proxy before a table is assigned to it.
		late, otherConn := connectFakeProxy(tables, 1, true)
		tables.flushToOutboxes(t)
		fake.receive(t, conn)
		late.receive(t, otherConn)
		if !slices.Equal(fake.limits[1], []float64{0.25, 3}) || fake.cost != 1 || late.messages != 0 {
			t.Errorf("limits %v at %d lines, and %d messages to the late proxy", fake.limits, fake.cost, late.messages)
		}
		tables.AssignTable(4, 1, 2)
		tables.flushToOutboxes(t)
		late.receive(t, otherConn)
		if !slices.Equal(late.limits[0], []float64{9, 0}) || !slices.Equal(late.limits[1], []float64{0.25, 3}) {
			t.Errorf("limits %v", late.limits)
		}
	})
	t.Run("tables of several classes are parts of one message", func(t *testing.T) {
		tables := newTestTables(3)
		fake, conn := connectFakeProxy(tables, 0, false)
		tables.PublishEntry(0, 0, 1)
		tables.PublishEntry(2, 1, 3)
		tables.AssignTable(0, 0, 5)
		tables.AssignTable(2, 0, 2)
		tables.RequestAck(1, false)
		tables.flushToOutboxes(t)
		fake.receive(t, conn)
		if fake.messages != 1 || fake.parts != 2 || fake.cost != 5 || len(fake.lines[2]) != 1 || fake.lines[1]["s-1"] != 3 {
			t.Errorf("got %+v", fake)
		}
		tables.SetAdmissionLimit(0, 1, 5, balancer.NoRetry)
		tables.SetAdmissionLimit(2, 0, 6, balancer.NoRetry)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); fake.messages != 2 || fake.limits[0][0] != 5 || fake.limits[1][0] != 6 ||
			fake.limits[2] != nil {
			t.Errorf("got %+v", fake)
		}
	})
	t.Run("an old withdrawal is lifted by ClearWithdrawals, or later with the backend's first entry", func(t *testing.T) {
		tables := newTestTables(1)
		fake, conn := connectFakeProxy(tables, 0, true)
		for _, b := range []string{"s-0", "s-1", "s-2", "s-3"} {
			fake.withdrawn[b] = true
		}
		tables.PublishEntry(0, 0, 1)
		tables.PublishEntry(0, 1, 1)
		tables.Withdraw(1, true)
		tables.AssignTable(0, 0, 0)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); len(fake.picks(0)) > 0 || fake.cost != 4 {
			t.Errorf("before ClearWithdrawals: picks %v at %d lines", fake.picks(0), fake.cost)
		}
		tables.ClearWithdrawals(0)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); !slices.Equal(fake.picks(0), []string{"s-0"}) || fake.cost != 1 {
			t.Errorf("picks %v of entries %v at %d lines", fake.picks(0), fake.lines, fake.cost)
		}
		tables.PublishEntry(0, 2, 1)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); !slices.Equal(fake.picks(0), []string{"s-0", "s-2"}) || fake.cost != 2 {
			t.Errorf("picks %v at %d lines", fake.picks(0), fake.cost)
		}
		tables.Withdraw(1, false)
		tables.PublishEntry(0, 2, 2)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); !slices.Equal(fake.picks(0), []string{"s-0", "s-1", "s-2"}) || fake.cost != 2 {
			t.Errorf("picks %v at %d lines", fake.picks(0), fake.cost)
		}
	})
	t.Run("a withdrawal reaches proxies with unassigned classes, later proxies by SyncWithdrawals", func(t *testing.T) {
		tables := newTestTables(1)
		fake, conn := connectFakeProxy(tables, 0, false)
		tables.PublishEntry(0, 0, 1)
		tables.Withdraw(7, true)
		late, otherConn := connectFakeProxy(tables, 1, false)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); !fake.withdrawn["s-7"] || fake.cost != 1 {
			t.Errorf("got %+v", fake)
		}
		late.receive(t, otherConn)
		third, thirdConn := connectFakeProxy(tables, 2, false)
		tables.SetAdmissionLimit(balancer.AllTables, 0, 3, balancer.NoRetry)
		tables.flushToOutboxes(t)
		if third.receive(t, thirdConn); third.withdrawn["s-7"] || third.limits[0][0] != 3 {
			t.Errorf("got %+v", third)
		}
		for range 2 { // the second call of SyncWithdrawals has no further effect
			if !tables.SyncWithdrawals(2, 77, balancer.RetryIfNotExecuted) {
				t.Error("SyncWithdrawals returned false for a proxy with an unassigned class")
			}
		}
		tables.flushToOutboxes(t)
		if third.receive(t, thirdConn); !third.withdrawn["s-7"] || third.cost != 1 {
			t.Errorf("got %+v", third)
		}
		tables.disconnect(0)
		tables.Withdraw(7, false)
		tables.flushToOutboxes(t)
		if late.receive(t, otherConn); late.withdrawn["s-7"] {
			t.Errorf("got %+v", late)
		}
	})
	t.Run("a long table is split into parts, and one with too many parts is not written", func(t *testing.T) {
		tables := newTestTables(1)
		tables.maxFrame = 200
		fake, conn := connectFakeProxy(tables, 0, true)
		for b := range 100 {
			tables.PublishEntry(0, b, 1.5)
		}
		tables.AssignTable(0, 0, 0)
		tables.ClearWithdrawals(0)
		tables.RequestAck(8, false)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); fake.messages != 1 || fake.parts < 10 || len(fake.picks(0)) != 100 || fake.cost != 202 ||
			!slices.Equal(fake.nonces, []int{8}) {
			t.Errorf("%d messages in %d parts, %d lines, %d picks", fake.messages, fake.parts, fake.cost, len(fake.picks(0)))
		}
		tables.maxFrame = 60
		tables.AssignTable(0, 0, 0)
		dropped := 0
		tables.flush((*connection).send, func(int, error) { dropped++ }, func(int, int) {})
		if dropped != 1 || len(conn.outbox) != 0 {
			t.Errorf("%d proxies were dropped, want 1; %d messages are queued", dropped, len(conn.outbox))
		}
	})
	t.Run("numbers that no proxy can use are not written", func(t *testing.T) {
		tables := newTestTables(1)
		fake, conn := connectFakeProxy(tables, 0, false)
		for b, weight := range []float64{math.NaN(), -1, math.Inf(1), 1e-300, 1e21} {
			tables.PublishEntry(0, b, weight)
		}
		tables.SetAdmissionLimit(0, 0, math.Inf(1), balancer.NoRetry)
		tables.AssignTable(0, 0, 0)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); len(fake.lines[0]) != 3 || fake.limits[0][0] > math.MaxFloat32 {
			t.Errorf("got %+v", fake)
		}
	})
	t.Run("a proxy whose outbox is full is dropped, and other proxies get their messages", func(t *testing.T) {
		tables := newTestTables(1)
		_, full := connectFakeProxy(tables, 0, false)
		fake, conn := connectFakeProxy(tables, 1, false)
		full.outbox = make(chan []byte)
		tables.RequestAck(1, true)
		dropped := []string{}
		tables.flush((*connection).send, func(proxy int, err error) {
			dropped = append(dropped, fmt.Sprint(proxy, " ", err))
		}, func(int, int) {})
		if fake.receive(t, conn); strings.Join(dropped, ",") != fmt.Sprint("0 ", errOutboxFull) || fake.messages != 1 {
			t.Errorf("dropped %v, %d messages to the other proxy", dropped, fake.messages)
		}
	})
}

// proxyModel is the state that a proxy should have after orders, as the protocol with the simulator
// defines them.
type proxyModel struct {
	joined    bool
	tables    []int
	withdrawn map[int]bool // backends that the proxy must not use for unassigned classes
}

// TestPushesMeanWhatWasOrdered guards against pushes that leave a proxy in another state than was
// ordered through balancer.Host. It gives random orders to tables, and records in a proxyModel and
// in local variables what they mean. After each flush it compares each proxy with that: entries,
// limits and usable backends, whatever state the proxy had when it connected.
func TestPushesMeanWhatWasOrdered(t *testing.T) {
	const classes, proxies, backends, numbers = 3, 4, 6, 3
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		tables := newTestTables(classes)
		lines, withdrawn := [numbers]map[int]float64{}, map[int]bool{}
		var limitsForAll [classes]admissionLimit
		var limits [numbers][classes]admissionLimit
		for i := range lines {
			lines[i] = map[int]float64{}
		}
		expected, fakes, conns := [proxies]*proxyModel{}, [proxies]*fakeProxy{}, [proxies]*connection{}
		for range 60 {
			for range 1 + random.IntN(4) {
				p, b, table := random.IntN(proxies), random.IntN(backends), random.IntN(numbers)
				mask := uint16(random.IntN(1 << classes))
				applies := func(class int) bool { return mask == 0 || mask&(1<<class) != 0 }
				weight := float64(random.IntN(3))
				switch random.IntN(9) {
				case 0:
					mayHoldWithdrawals := random.IntN(2) == 0
					fakes[p], conns[p] = connectFakeProxy(tables, p, mayHoldWithdrawals)
					expected[p] = &proxyModel{joined: true, tables: slices.Repeat([]int{unassigned}, classes),
						withdrawn: map[int]bool{}}
					for other := range backends {
						fakes[p].lines[other%classes][fmt.Sprint("s-", other)] = 1
						if mayHoldWithdrawals && random.IntN(2) == 0 {
							fakes[p].withdrawn[fmt.Sprint("s-", other)], expected[p].withdrawn[other] = true, true
						}
					}
				case 1:
					if expected[p] != nil {
						for class := range classes { // assigns a table to each class: the same table to all, or several tables
							number := (table + class*random.IntN(2)) % numbers
							tables.AssignTable(number, p, 1<<class)
							expected[p].tables[class] = number
						}
						tables.ClearWithdrawals(p)
					}
				case 2, 3:
					tables.PublishEntry(table, b, weight)
					lines[table][b] = weight
				case 4:
					tables.Withdraw(b, weight == 0)
					withdrawn[b] = weight == 0
					for _, model := range expected {
						if model != nil {
							model.withdrawn[b] = weight == 0
						}
					}
				case 5:
					tables.SetAdmissionLimit(table, mask, weight, balancer.RetryPolicy(table))
					for class := range classes {
						if applies(class) {
							limits[table][class] = admissionLimit{true, weight, balancer.RetryPolicy(table)}
						}
					}
				case 6:
					tables.SetAdmissionLimit(balancer.AllTables, mask, weight+0.5, balancer.NoRetry)
					for class := range classes {
						if applies(class) {
							limitsForAll[class] = admissionLimit{true, weight + 0.5, balancer.NoRetry}
						}
					}
				case 7:
					if expected[p] != nil {
						tables.disconnect(p)
						expected[p] = nil
					}
				case 8:
					if expected[p] != nil && tables.SyncWithdrawals(p, 77, balancer.RetryIfNotExecuted) {
						for b, isWithdrawn := range withdrawn {
							expected[p].withdrawn[b] = expected[p].withdrawn[b] || isWithdrawn
						}
					}
				}
			}
			tables.RequestAck(1, false)
			tables.flushToOutboxes(t)
			for p, model := range expected {
				if model == nil {
					continue
				}
				fake := fakes[p]
				fake.receive(t, conns[p])
				for class, number := range model.tables {
					picks, limit := []string{}, limitsForAll[class]
					if number != unassigned {
						for b, weight := range lines[number] {
							if weight > 0 && !withdrawn[b] {
								picks = append(picks, fmt.Sprint("s-", b))
							}
							if got := fake.lines[class][fmt.Sprint("s-", b)]; got != weight {
								t.Fatalf("seed %d proxy %d class %d: backend %d has %v, want %v", seed, p, class, b, got, weight)
							}
						}
						if own := limits[number][class]; own.set {
							if limit.set {
								own.limit = min(own.limit, limit.limit)
							}
							limit = own
						}
					} else {
						for b := class; b < backends; b += classes {
							if !model.withdrawn[b] {
								picks = append(picks, fmt.Sprint("s-", b))
							}
						}
					}
					slices.Sort(picks)
					if got := fake.picks(class); !slices.Equal(got, picks) {
						t.Fatalf("seed %d proxy %d class %d in table %d: picks %v, want %v", seed, p, class, number, got, picks)
					}
					if number != unassigned && limit.set != (fake.limits[class] != nil) || number != unassigned && limit.set &&
						!slices.Equal(fake.limits[class], []float64{limit.limit, float64(limit.retry)}) {
						t.Fatalf("seed %d proxy %d class %d: limits %v, want %+v", seed, p, class, fake.limits[class], limit)
					}
				}
			}
		}
	}
}
