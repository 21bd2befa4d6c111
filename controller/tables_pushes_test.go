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

func name(b int) []byte { return fmt.Appendf(nil, `"s-%d"`, b) }

func newTestTables(classes int) *tables {
	names := [][]byte{}
	for i := range classes {
		names = append(names, fmt.Appendf(nil, `"c%d"`, i))
	}
	return newTables(names, name, 1<<20, 64)
}

// connectFakeProxy is a proxy joined to tables, with the peer that its messages go through.
func connectFakeProxy(t *tables, proxy int, keeps bool) (*fakeProxy, *connection) {
	conn := &connection{outbox: make(chan []byte, 64), closed: make(chan struct{})}
	t.connect(proxy, conn, keeps)
	fake := newFakeProxy()
	for i := range t.classNames {
		fake.classes = append(fake.classes, fmt.Sprintf("c%d", i))
		fake.lines, fake.limits = append(fake.lines, map[string]float64{}), append(fake.limits, nil)
	}
	return fake, conn
}

func (t *tables) writes(test *testing.T) {
	test.Helper()
	t.flush((*connection).send, func(proxy int, err error) { test.Errorf("proxy %d lost: %v", proxy, err) }, func(int, int) {})
}

func TestPushes(t *testing.T) {
	t.Run("an assignment writes the full table and its limits, later changes reach exactly the bound", func(t *testing.T) {
		tables := newTestTables(2)
		one, conn := connectFakeProxy(tables, 0, false)
		other, otherConn := connectFakeProxy(tables, 5, false)
		tables.PublishEntry(0, 0, 2)
		tables.PublishEntry(0, 1, 0.5)
		tables.SetAdmissionLimit(0, 1, 7, balancer.NoRetry)
		tables.AssignTable(0, 0, 0)
		tables.RequestAck(3, false)
		tables.writes(t)
		one.receive(t, conn)
		want := map[string]float64{"s-0": 2, "s-1": 0.5}
		if !maps.Equal(one.lines[0], want) || !maps.Equal(one.lines[1], want) || one.limits[0][0] != 7 ||
			one.limits[1] != nil || !slices.Equal(one.nonces, []int{3}) || one.messages != 1 || one.cost != 5 {
			t.Errorf("got %+v", one)
		}
		tables.PublishEntry(0, 1, 0)
		tables.AssignTable(0, 9, 0) // never joined
		tables.RequestAck(4, false)
		tables.writes(t)
		one.receive(t, conn)
		other.receive(t, otherConn)
		if len(one.lines[0]) != 1 || one.cost != 2 || other.messages != 0 || one.limits[0] == nil {
			t.Errorf("got %+v and %+v", one, other)
		}
		tables.RequestAck(5, true)
		tables.writes(t)
		one.receive(t, conn)
		other.receive(t, otherConn)
		if !slices.Equal(one.nonces, []int{3, 4, 5}) || !slices.Equal(other.nonces, []int{5}) || one.cost != 1 {
			t.Errorf("a mark for everyone: %v and %v", one.nonces, other.nonces)
		}
	})
	t.Run("of a limit for all and one of a table the lower stands, with the table's retry policy", func(t *testing.T) {
		tables := newTestTables(2)
		one, conn := connectFakeProxy(tables, 0, false)
		tables.PublishEntry(4, 0, 1)
		tables.SetAdmissionLimit(4, 2, 20, balancer.RetryTwiceOnFailure)
		tables.SetAdmissionLimit(balancer.AllTables, 0, 9, balancer.NoRetry)
		tables.AssignTable(4, 0, 0)
		tables.writes(t)
		one.receive(t, conn)
		if !slices.Equal(one.limits[0], []float64{9, 0}) || !slices.Equal(one.limits[1], []float64{9, 3}) {
			t.Errorf("levels %v", one.limits)
		}
		tables.SetAdmissionLimit(balancer.AllTables, 2, 0.25, balancer.RetryIfNotExecuted)
		late, otherConn := connectFakeProxy(tables, 1, true) // joins now: it hears of both with its first message
		tables.writes(t)
		one.receive(t, conn)
		late.receive(t, otherConn)
		if !slices.Equal(one.limits[1], []float64{0.25, 3}) || one.cost != 1 || late.messages != 0 {
			t.Errorf("levels %v at %d lines, told %d", one.limits, one.cost, late.messages)
		}
		tables.AssignTable(4, 1, 2)
		tables.writes(t)
		late.receive(t, otherConn)
		if !slices.Equal(late.limits[0], []float64{9, 0}) || !slices.Equal(late.limits[1], []float64{0.25, 3}) {
			t.Errorf("levels %v", late.limits)
		}
	})
	t.Run("tables by class go as parts of one message", func(t *testing.T) {
		tables := newTestTables(3)
		one, conn := connectFakeProxy(tables, 0, false)
		tables.PublishEntry(0, 0, 1)
		tables.PublishEntry(2, 1, 3)
		tables.AssignTable(0, 0, 5)
		tables.AssignTable(2, 0, 2)
		tables.RequestAck(1, false)
		tables.writes(t)
		one.receive(t, conn)
		if one.messages != 1 || one.parts != 2 || one.cost != 5 || len(one.lines[2]) != 1 || one.lines[1]["s-1"] != 3 {
			t.Errorf("got %+v", one)
		}
		tables.SetAdmissionLimit(0, 1, 5, balancer.NoRetry)
		tables.SetAdmissionLimit(2, 0, 6, balancer.NoRetry)
		tables.writes(t)
		if one.receive(t, conn); one.messages != 2 || one.limits[0][0] != 5 || one.limits[1][0] != 6 || one.limits[2] != nil {
			t.Errorf("got %+v", one)
		}
	})
	t.Run("what a proxy came with withdrawn is restored as it is cleared, or then with the first entry for it", func(t *testing.T) {
		tables := newTestTables(1)
		one, conn := connectFakeProxy(tables, 0, true)
		for _, b := range []string{"s-0", "s-1", "s-2", "s-3"} {
			one.withdrawn[b] = true
		}
		tables.PublishEntry(0, 0, 1)
		tables.PublishEntry(0, 1, 1)
		tables.Withdraw(1, true)
		tables.AssignTable(0, 0, 0)
		tables.writes(t)
		if one.receive(t, conn); len(one.picks(0)) > 0 || one.cost != 4 {
			t.Errorf("before it is cleared: picks %v at %d lines", one.picks(0), one.cost)
		}
		tables.ClearWithdrawals(0)
		tables.writes(t)
		if one.receive(t, conn); !slices.Equal(one.picks(0), []string{"s-0"}) || one.cost != 1 {
			t.Errorf("picks %v of %v at %d lines", one.picks(0), one.lines, one.cost)
		}
		tables.PublishEntry(0, 2, 1)
		tables.writes(t)
		if one.receive(t, conn); !slices.Equal(one.picks(0), []string{"s-0", "s-2"}) || one.cost != 2 {
			t.Errorf("picks %v at %d lines", one.picks(0), one.cost)
		}
		tables.Withdraw(1, false)
		tables.PublishEntry(0, 2, 2)
		tables.writes(t)
		if one.receive(t, conn); !slices.Equal(one.picks(0), []string{"s-0", "s-1", "s-2"}) || one.cost != 2 {
			t.Errorf("picks %v at %d lines", one.picks(0), one.cost)
		}
	})
	t.Run("a withdrawal reaches joined proxies whose tables we do not know, later ones when reminded", func(t *testing.T) {
		tables := newTestTables(1)
		one, conn := connectFakeProxy(tables, 0, false)
		tables.PublishEntry(0, 0, 1)
		tables.Withdraw(7, true)
		late, otherConn := connectFakeProxy(tables, 1, false)
		tables.writes(t)
		if one.receive(t, conn); !one.withdrawn["s-7"] || one.cost != 1 {
			t.Errorf("got %+v", one)
		}
		late.receive(t, otherConn)
		again, thirdConn := connectFakeProxy(tables, 2, false)
		tables.SetAdmissionLimit(balancer.AllTables, 0, 3, balancer.NoRetry)
		tables.writes(t)
		if again.receive(t, thirdConn); again.withdrawn["s-7"] || again.limits[0][0] != 3 {
			t.Errorf("got %+v", again)
		}
		for range 2 { // a second time says nothing new
			if !tables.SyncWithdrawals(2, 77, balancer.RetryIfNotExecuted) {
				t.Error("it is not to be reminded")
			}
		}
		tables.writes(t)
		if again.receive(t, thirdConn); !again.withdrawn["s-7"] || again.cost != 1 {
			t.Errorf("got %+v", again)
		}
		tables.disconnect(0)
		tables.Withdraw(7, false)
		tables.writes(t)
		if late.receive(t, otherConn); late.withdrawn["s-7"] {
			t.Errorf("got %+v", late)
		}
	})
	t.Run("a long table is cut into parts, and one that has too many is not written", func(t *testing.T) {
		tables := newTestTables(1)
		tables.maxFrame = 200
		one, conn := connectFakeProxy(tables, 0, true)
		for b := range 100 {
			tables.PublishEntry(0, b, 1.5)
		}
		tables.AssignTable(0, 0, 0)
		tables.ClearWithdrawals(0)
		tables.RequestAck(8, false)
		tables.writes(t)
		if one.receive(t, conn); one.messages != 1 || one.parts < 10 || len(one.picks(0)) != 100 || one.cost != 202 ||
			!slices.Equal(one.nonces, []int{8}) {
			t.Errorf("told %d in %d parts, %d lines, %d picks", one.messages, one.parts, one.cost, len(one.picks(0)))
		}
		tables.maxFrame = 60
		tables.AssignTable(0, 0, 0)
		lost := 0
		tables.flush((*connection).send, func(int, error) { lost++ }, func(int, int) {})
		if lost != 1 || len(conn.outbox) != 0 {
			t.Errorf("lost %d, %d messages wait", lost, len(conn.outbox))
		}
	})
	t.Run("figures that no proxy can use are not written", func(t *testing.T) {
		tables := newTestTables(1)
		one, conn := connectFakeProxy(tables, 0, false)
		for b, weight := range []float64{math.NaN(), -1, math.Inf(1), 1e-300, 1e21} {
			tables.PublishEntry(0, b, weight)
		}
		tables.SetAdmissionLimit(0, 0, math.Inf(1), balancer.NoRetry)
		tables.AssignTable(0, 0, 0)
		tables.writes(t)
		if one.receive(t, conn); len(one.lines[0]) != 3 || one.limits[0][0] > math.MaxFloat32 {
			t.Errorf("got %+v", one)
		}
	})
	t.Run("a proxy that does not take its messages is dropped, the others get theirs", func(t *testing.T) {
		tables := newTestTables(1)
		_, full := connectFakeProxy(tables, 0, false)
		one, conn := connectFakeProxy(tables, 1, false)
		full.outbox = make(chan []byte)
		tables.RequestAck(1, true)
		lost := []string{}
		tables.flush((*connection).send, func(proxy int, err error) { lost = append(lost, fmt.Sprint(proxy, " ", err)) }, func(int, int) {})
		if one.receive(t, conn); strings.Join(lost, ",") != fmt.Sprint("0 ", errOutboxFull) || one.messages != 1 {
			t.Errorf("lost %v, told %d", lost, one.messages)
		}
	})
}

// expectedProxy is what a proxy holds after orders with the meaning that they have on the simulator's wire.
type expectedProxy struct {
	joined bool
	bound  []int
	shut   map[int]bool // while it is not bound
}

// TestPushesMeanWhatWasOrdered plays orders by chance to tables, and to a plain account of what they mean, and compares all proxies
// after each message: lines, levels and what can be picked, whatever the proxies came with.
func TestPushesMeanWhatWasOrdered(t *testing.T) {
	const classes, proxies, backends, numbers = 3, 4, 6, 3
	for seed := range uint64(200) {
		dice := rand.New(rand.NewPCG(seed, 1))
		tables := newTestTables(classes)
		lines, out := [numbers]map[int]float64{}, map[int]bool{}
		var all [classes]admissionLimit
		var levels [numbers][classes]admissionLimit
		for i := range lines {
			lines[i] = map[int]float64{}
		}
		wanted, hearers, peers := [proxies]*expectedProxy{}, [proxies]*fakeProxy{}, [proxies]*connection{}
		for range 60 {
			for range 1 + dice.IntN(4) {
				p, b, table := dice.IntN(proxies), dice.IntN(backends), dice.IntN(numbers)
				mask := uint16(dice.IntN(1 << classes))
				in := func(class int) bool { return mask == 0 || mask&(1<<class) != 0 }
				weight := float64(dice.IntN(3))
				switch dice.IntN(9) {
				case 0:
					keeps := dice.IntN(2) == 0
					hearers[p], peers[p] = connectFakeProxy(tables, p, keeps)
					wanted[p] = &expectedProxy{joined: true, bound: slices.Repeat([]int{unbound}, classes), shut: map[int]bool{}}
					for other := range backends {
						hearers[p].lines[other%classes][fmt.Sprint("s-", other)] = 1
						if keeps && dice.IntN(2) == 0 {
							hearers[p].withdrawn[fmt.Sprint("s-", other)], wanted[p].shut[other] = true, true
						}
					}
				case 1:
					if wanted[p] != nil {
						for class := range classes { // all, to one table or several
							number := (table + class*dice.IntN(2)) % numbers
							tables.AssignTable(number, p, 1<<class)
							wanted[p].bound[class] = number
						}
						tables.ClearWithdrawals(p)
					}
				case 2, 3:
					tables.PublishEntry(table, b, weight)
					lines[table][b] = weight
				case 4:
					tables.Withdraw(b, weight == 0)
					out[b] = weight == 0
					for _, w := range wanted {
						if w != nil {
							w.shut[b] = weight == 0
						}
					}
				case 5:
					tables.SetAdmissionLimit(table, mask, weight, balancer.RetryPolicy(table))
					for class := range classes {
						if in(class) {
							levels[table][class] = admissionLimit{true, weight, balancer.RetryPolicy(table)}
						}
					}
				case 6:
					tables.SetAdmissionLimit(balancer.AllTables, mask, weight+0.5, balancer.NoRetry)
					for class := range classes {
						if in(class) {
							all[class] = admissionLimit{true, weight + 0.5, balancer.NoRetry}
						}
					}
				case 7:
					if wanted[p] != nil {
						tables.disconnect(p)
						wanted[p] = nil
					}
				case 8:
					if wanted[p] != nil && tables.SyncWithdrawals(p, 77, balancer.RetryIfNotExecuted) {
						for b, is := range out {
							wanted[p].shut[b] = wanted[p].shut[b] || is
						}
					}
				}
			}
			tables.RequestAck(1, false)
			tables.writes(t)
			for p, w := range wanted {
				if w == nil {
					continue
				}
				fake := hearers[p]
				fake.receive(t, peers[p])
				for class, number := range w.bound {
					picks, now := []string{}, all[class]
					if number != unbound {
						for b, weight := range lines[number] {
							if weight > 0 && !out[b] {
								picks = append(picks, fmt.Sprint("s-", b))
							}
							if got := fake.lines[class][fmt.Sprint("s-", b)]; got != weight {
								t.Fatalf("seed %d proxy %d class %d: backend %d has %v, want %v", seed, p, class, b, got, weight)
							}
						}
						if own := levels[number][class]; own.set {
							if now.set {
								own.limit = min(own.limit, now.limit)
							}
							now = own
						}
					} else {
						for b := class; b < backends; b += classes {
							if !w.shut[b] {
								picks = append(picks, fmt.Sprint("s-", b))
							}
						}
					}
					slices.Sort(picks)
					if got := fake.picks(class); !slices.Equal(got, picks) {
						t.Fatalf("seed %d proxy %d class %d in table %d: picks %v, want %v", seed, p, class, number, got, picks)
					}
					if number != unbound && now.set != (fake.limits[class] != nil) || number != unbound && now.set &&
						!slices.Equal(fake.limits[class], []float64{now.limit, float64(now.retry)}) {
						t.Fatalf("seed %d proxy %d class %d: levels %v, want %+v", seed, p, class, fake.limits[class], now)
					}
				}
			}
		}
	}
}
