package controller

import (
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"wheelrill/balancer"
)

func name(b int) []byte { return fmt.Appendf(nil, `"s-%d"`, b) }

func someTables(classes int) *tables {
	names := [][]byte{}
	for i := range classes {
		names = append(names, fmt.Appendf(nil, `"c%d"`, i))
	}
	return newTables(names, name, 1<<20, 64)
}

// heard is a proxy joined to tables, with the peer that its messages go through.
func heard(t *tables, proxy int, keeps bool) (*hearer, *connection) {
	p := &connection{outbox: make(chan []byte, 64), closed: make(chan struct{})}
	t.connect(proxy, p, keeps)
	h := newHearer()
	for i := range t.classNames {
		h.classes = append(h.classes, fmt.Sprintf("c%d", i))
		h.lines, h.levels = append(h.lines, map[string]float64{}), append(h.levels, nil)
	}
	return h, p
}

func (t *tables) writes(test *testing.T) {
	test.Helper()
	t.flush((*connection).send, func(proxy int, err error) { test.Errorf("proxy %d lost: %v", proxy, err) }, func(int, int) {})
}

func TestOrders(t *testing.T) {
	t.Run("a bind writes the whole table and its levels, later changes reach exactly the bound", func(t *testing.T) {
		to := someTables(2)
		one, p := heard(to, 0, false)
		other, q := heard(to, 5, false)
		to.PublishEntry(0, 0, 2)
		to.PublishEntry(0, 1, 0.5)
		to.SetAdmissionLimit(0, 1, 7, balancer.NoRetry)
		to.AssignTable(0, 0, 0)
		to.RequestAck(3, false)
		to.writes(t)
		one.hears(t, p)
		want := map[string]float64{"s-0": 2, "s-1": 0.5}
		if !maps.Equal(one.lines[0], want) || !maps.Equal(one.lines[1], want) || one.levels[0][0] != 7 ||
			one.levels[1] != nil || !slices.Equal(one.tickets, []int{3}) || one.told != 1 || one.cost != 5 {
			t.Errorf("got %+v", one)
		}
		to.PublishEntry(0, 1, 0)
		to.AssignTable(0, 9, 0) // never joined
		to.RequestAck(4, false)
		to.writes(t)
		one.hears(t, p)
		other.hears(t, q)
		if len(one.lines[0]) != 1 || one.cost != 2 || other.told != 0 || one.levels[0] == nil {
			t.Errorf("got %+v and %+v", one, other)
		}
		to.RequestAck(5, true)
		to.writes(t)
		one.hears(t, p)
		other.hears(t, q)
		if !slices.Equal(one.tickets, []int{3, 4, 5}) || !slices.Equal(other.tickets, []int{5}) || one.cost != 1 {
			t.Errorf("a mark for everyone: %v and %v", one.tickets, other.tickets)
		}
	})
	t.Run("of a level for all and one of a table the lower stands, with the table's manner", func(t *testing.T) {
		to := someTables(2)
		one, p := heard(to, 0, false)
		to.PublishEntry(4, 0, 1)
		to.SetAdmissionLimit(4, 2, 20, balancer.RetryTwiceOnFailure)
		to.SetAdmissionLimit(balancer.AllTables, 0, 9, balancer.NoRetry)
		to.AssignTable(4, 0, 0)
		to.writes(t)
		one.hears(t, p)
		if !slices.Equal(one.levels[0], []float64{9, 0}) || !slices.Equal(one.levels[1], []float64{9, 3}) {
			t.Errorf("levels %v", one.levels)
		}
		to.SetAdmissionLimit(balancer.AllTables, 2, 0.25, balancer.RetryIfNotExecuted)
		late, q := heard(to, 1, true) // joins now: it hears of both with its first message
		to.writes(t)
		one.hears(t, p)
		late.hears(t, q)
		if !slices.Equal(one.levels[1], []float64{0.25, 3}) || one.cost != 1 || late.told != 0 {
			t.Errorf("levels %v at %d lines, told %d", one.levels, one.cost, late.told)
		}
		to.AssignTable(4, 1, 2)
		to.writes(t)
		late.hears(t, q)
		if !slices.Equal(late.levels[0], []float64{9, 0}) || !slices.Equal(late.levels[1], []float64{0.25, 3}) {
			t.Errorf("levels %v", late.levels)
		}
	})
	t.Run("tables by class go as parts of one message", func(t *testing.T) {
		to := someTables(3)
		one, p := heard(to, 0, false)
		to.PublishEntry(0, 0, 1)
		to.PublishEntry(2, 1, 3)
		to.AssignTable(0, 0, 5)
		to.AssignTable(2, 0, 2)
		to.RequestAck(1, false)
		to.writes(t)
		one.hears(t, p)
		if one.told != 1 || one.parts != 2 || one.cost != 5 || len(one.lines[2]) != 1 || one.lines[1]["s-1"] != 3 {
			t.Errorf("got %+v", one)
		}
		to.SetAdmissionLimit(0, 1, 5, balancer.NoRetry)
		to.SetAdmissionLimit(2, 0, 6, balancer.NoRetry)
		to.writes(t)
		if one.hears(t, p); one.told != 2 || one.levels[0][0] != 5 || one.levels[1][0] != 6 || one.levels[2] != nil {
			t.Errorf("got %+v", one)
		}
	})
	t.Run("what a proxy came with shut out is let back as it is cleared, or then with the first line for it", func(t *testing.T) {
		to := someTables(1)
		one, p := heard(to, 0, true)
		for _, b := range []string{"s-0", "s-1", "s-2", "s-3"} {
			one.shut[b] = true
		}
		to.PublishEntry(0, 0, 1)
		to.PublishEntry(0, 1, 1)
		to.Withdraw(1, true)
		to.AssignTable(0, 0, 0)
		to.writes(t)
		if one.hears(t, p); len(one.picks(0)) > 0 || one.cost != 4 {
			t.Errorf("before it is cleared: picks %v at %d lines", one.picks(0), one.cost)
		}
		to.ClearWithdrawals(0)
		to.writes(t)
		if one.hears(t, p); !slices.Equal(one.picks(0), []string{"s-0"}) || one.cost != 1 {
			t.Errorf("picks %v of %v at %d lines", one.picks(0), one.lines, one.cost)
		}
		to.PublishEntry(0, 2, 1)
		to.writes(t)
		if one.hears(t, p); !slices.Equal(one.picks(0), []string{"s-0", "s-2"}) || one.cost != 2 {
			t.Errorf("picks %v at %d lines", one.picks(0), one.cost)
		}
		to.Withdraw(1, false)
		to.PublishEntry(0, 2, 2)
		to.writes(t)
		if one.hears(t, p); !slices.Equal(one.picks(0), []string{"s-0", "s-1", "s-2"}) || one.cost != 2 {
			t.Errorf("picks %v at %d lines", one.picks(0), one.cost)
		}
	})
	t.Run("a withdrawal reaches joined proxies whose tables we do not know, later ones when reminded", func(t *testing.T) {
		to := someTables(1)
		one, p := heard(to, 0, false)
		to.PublishEntry(0, 0, 1)
		to.Withdraw(7, true)
		late, q := heard(to, 1, false)
		to.writes(t)
		if one.hears(t, p); !one.shut["s-7"] || one.cost != 1 {
			t.Errorf("got %+v", one)
		}
		late.hears(t, q)
		again, r := heard(to, 2, false)
		to.SetAdmissionLimit(balancer.AllTables, 0, 3, balancer.NoRetry)
		to.writes(t)
		if again.hears(t, r); again.shut["s-7"] || again.levels[0][0] != 3 {
			t.Errorf("got %+v", again)
		}
		for range 2 { // a second time says nothing new
			if !to.SyncWithdrawals(2, 77, balancer.RetryIfNotExecuted) {
				t.Error("it is not to be reminded")
			}
		}
		to.writes(t)
		if again.hears(t, r); !again.shut["s-7"] || again.cost != 1 {
			t.Errorf("got %+v", again)
		}
		to.disconnect(0)
		to.Withdraw(7, false)
		to.writes(t)
		if late.hears(t, q); late.shut["s-7"] {
			t.Errorf("got %+v", late)
		}
	})
	t.Run("a long table is cut into parts, and one that has too many is not written", func(t *testing.T) {
		to := someTables(1)
		to.maxFrame = 200
		one, p := heard(to, 0, true)
		for b := range 100 {
			to.PublishEntry(0, b, 1.5)
		}
		to.AssignTable(0, 0, 0)
		to.ClearWithdrawals(0)
		to.RequestAck(8, false)
		to.writes(t)
		if one.hears(t, p); one.told != 1 || one.parts < 10 || len(one.picks(0)) != 100 || one.cost != 202 ||
			!slices.Equal(one.tickets, []int{8}) {
			t.Errorf("told %d in %d parts, %d lines, %d picks", one.told, one.parts, one.cost, len(one.picks(0)))
		}
		to.maxFrame = 60
		to.AssignTable(0, 0, 0)
		lost := 0
		to.flush((*connection).send, func(int, error) { lost++ }, func(int, int) {})
		if lost != 1 || len(p.outbox) != 0 {
			t.Errorf("lost %d, %d messages wait", lost, len(p.outbox))
		}
	})
	t.Run("figures that no proxy can use are not written", func(t *testing.T) {
		to := someTables(1)
		one, p := heard(to, 0, false)
		for b, weight := range []float64{math.NaN(), -1, math.Inf(1), 1e-300, 1e21} {
			to.PublishEntry(0, b, weight)
		}
		to.SetAdmissionLimit(0, 0, math.Inf(1), balancer.NoRetry)
		to.AssignTable(0, 0, 0)
		to.writes(t)
		if one.hears(t, p); len(one.lines[0]) != 3 || one.levels[0][0] > math.MaxFloat32 {
			t.Errorf("got %+v", one)
		}
	})
	t.Run("a proxy that does not take its messages is lost, the others hear on", func(t *testing.T) {
		to := someTables(1)
		_, full := heard(to, 0, false)
		one, p := heard(to, 1, false)
		full.outbox = make(chan []byte)
		to.RequestAck(1, true)
		lost := []string{}
		to.flush((*connection).send, func(proxy int, err error) { lost = append(lost, fmt.Sprint(proxy, " ", err)) }, func(int, int) {})
		if one.hears(t, p); strings.Join(lost, ",") != fmt.Sprint("0 ", errOutboxFull) || one.told != 1 {
			t.Errorf("lost %v, told %d", lost, one.told)
		}
	})
}

// meant is what a proxy holds after orders with the meaning that they have on the simulator's wire.
type meant struct {
	joined bool
	bound  []int
	shut   map[int]bool // while it is not bound
}

// TestMeaning plays orders by chance to tables, and to a plain account of what they mean, and compares all proxies
// after each message: lines, levels and what can be picked, whatever the proxies came with.
func TestMeaning(t *testing.T) {
	const classes, proxies, backends, numbers = 3, 4, 6, 3
	for seed := range uint64(200) {
		dice := rand.New(rand.NewPCG(seed, 1))
		to := someTables(classes)
		lines, out := [numbers]map[int]float64{}, map[int]bool{}
		var all [classes]admissionLimit
		var levels [numbers][classes]admissionLimit
		for i := range lines {
			lines[i] = map[int]float64{}
		}
		wanted, hearers, peers := [proxies]*meant{}, [proxies]*hearer{}, [proxies]*connection{}
		for range 60 {
			for range 1 + dice.IntN(4) {
				p, b, table := dice.IntN(proxies), dice.IntN(backends), dice.IntN(numbers)
				mask := uint16(dice.IntN(1 << classes))
				in := func(class int) bool { return mask == 0 || mask&(1<<class) != 0 }
				weight := float64(dice.IntN(3))
				switch dice.IntN(9) {
				case 0:
					keeps := dice.IntN(2) == 0
					hearers[p], peers[p] = heard(to, p, keeps)
					wanted[p] = &meant{joined: true, bound: slices.Repeat([]int{unbound}, classes), shut: map[int]bool{}}
					for other := range backends {
						hearers[p].lines[other%classes][fmt.Sprint("s-", other)] = 1
						if keeps && dice.IntN(2) == 0 {
							hearers[p].shut[fmt.Sprint("s-", other)], wanted[p].shut[other] = true, true
						}
					}
				case 1:
					if wanted[p] != nil {
						for class := range classes { // all, to one table or several
							number := (table + class*dice.IntN(2)) % numbers
							to.AssignTable(number, p, 1<<class)
							wanted[p].bound[class] = number
						}
						to.ClearWithdrawals(p)
					}
				case 2, 3:
					to.PublishEntry(table, b, weight)
					lines[table][b] = weight
				case 4:
					to.Withdraw(b, weight == 0)
					out[b] = weight == 0
					for _, w := range wanted {
						if w != nil {
							w.shut[b] = weight == 0
						}
					}
				case 5:
					to.SetAdmissionLimit(table, mask, weight, balancer.RetryPolicy(table))
					for class := range classes {
						if in(class) {
							levels[table][class] = admissionLimit{true, weight, balancer.RetryPolicy(table)}
						}
					}
				case 6:
					to.SetAdmissionLimit(balancer.AllTables, mask, weight+0.5, balancer.NoRetry)
					for class := range classes {
						if in(class) {
							all[class] = admissionLimit{true, weight + 0.5, balancer.NoRetry}
						}
					}
				case 7:
					if wanted[p] != nil {
						to.disconnect(p)
						wanted[p] = nil
					}
				case 8:
					if wanted[p] != nil && to.SyncWithdrawals(p, 77, balancer.RetryIfNotExecuted) {
						for b, is := range out {
							wanted[p].shut[b] = wanted[p].shut[b] || is
						}
					}
				}
			}
			to.RequestAck(1, false)
			to.writes(t)
			for p, w := range wanted {
				if w == nil {
					continue
				}
				h := hearers[p]
				h.hears(t, peers[p])
				for class, number := range w.bound {
					picks, now := []string{}, all[class]
					if number != unbound {
						for b, weight := range lines[number] {
							if weight > 0 && !out[b] {
								picks = append(picks, fmt.Sprint("s-", b))
							}
							if got := h.lines[class][fmt.Sprint("s-", b)]; got != weight {
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
					if got := h.picks(class); !slices.Equal(got, picks) {
						t.Fatalf("seed %d proxy %d class %d in table %d: picks %v, want %v", seed, p, class, number, got, picks)
					}
					if number != unbound && now.set != (h.levels[class] != nil) || number != unbound && now.set &&
						!slices.Equal(h.levels[class], []float64{now.limit, float64(now.retry)}) {
						t.Fatalf("seed %d proxy %d class %d: levels %v, want %+v", seed, p, class, h.levels[class], now)
					}
				}
			}
		}
	}
}

// Rule 5 holds only if what leaves is never more than what the decisions count.
func TestAccount(t *testing.T) {
	wide := strings.NewReplacer(`"egressPerS":900`, `"egressPerS":1e6`, `"backlog":900`, `"backlog":1e6`,
		`"pushDelayMax":600`, `"pushDelayMax":600000`, `"overhead":4`, `"overhead":4,"socketsMin":10`)
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			chance := rand.New(rand.NewPCG(seed, 5))
			var entries []string
			for id := range 20 {
				entries = append(entries, backendIs(id, "up"))
			}
			c, err := New(Identity{}, []byte(wide.Replace(string(configuration("127.0.0.1:9", listing(1, true, entries...))))),
				NewLogger(io.Discard))
			if err != nil {
				t.Fatal(err)
			}
			m, hearers, left := c.loop, map[*connection]*hearer{}, 0
			now := m.now
			m.clock = func() int64 { return now }
			m.iterate(func() {})
			for step := range 160 {
				later(m, microsPerSecond/4, func() {
					for range chance.IntN(4) {
						switch node := chance.IntN(40); chance.IntN(5) {
						case 0, 1:
							p := newConnection(&told{Reader: strings.NewReader("")}, step, m, func(*connection) error { return nil })
							p.kind, p.proxy, p.zone = kindProxy, node, node%2
							m.proxyConnected(p, 1+float64(chance.IntN(20)), chance.IntN(2) == 0)
							hearers[p] = newHearer("read it", "write")
						case 2:
							state := []string{"up", "draining", "removed"}[chance.IntN(3)]
							m.endpointsUpdated(false, int64(step), parsed(t, "["+backendIs(chance.IntN(22), state)+"]").GetArray())
						default: // a jam for a while, then none
							for id := range 20 {
								m.outcomesReported(outcomeReport{fmt.Sprint("s-", id), 20, 0, 200_000 + int64(step/40%2)*900_000, microsPerSecond, balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}})
							}
							for other := range 40 {
								m.demandReported(other, other%2, 30, microsPerSecond)
							}
						}
					}
				})
				for p, h := range hearers {
					p.lastHeard.Store(m.now)
					for len(p.outbox) > 0 {
						before := h.told
						if err := h.apply(<-p.outbox); err != nil || h.told != before+1 {
							t.Fatal(err)
						}
						left += 4 + h.cost
					}
				}
				if counted := m.decisions.QueueDelay(); int64(left) > counted {
					t.Fatalf("step %d: %d lines left, %d were counted", step, left, counted)
				}
			}
			if left < 1000 {
				t.Errorf("only %d lines in all", left)
			}
		})
	}
}
