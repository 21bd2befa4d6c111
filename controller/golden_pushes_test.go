package controller

import (
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"wheelrill/balancer"
	"wheelrill/internal/golden"
	"wheelrill/ownership"
)

// goldenOrders gives orders to tables as the decisions do, and writes down every byte that each proxy is written.
type goldenOrders struct {
	t      *testing.T
	tables *tables
	text   strings.Builder
}

func (g *goldenOrders) line(backend, table int, weight float64) {
	g.tables.PublishEntry(table, backend, weight)
}
func (g *goldenOrders) bind(proxy, table int, classes uint16) {
	g.tables.AssignTable(table, proxy, classes)
}
func (g *goldenOrders) withdraw(backend int, out bool) { g.tables.Withdraw(backend, out) }
func (g *goldenOrders) remind(proxy int, limit float64, retry int) {
	g.tables.SyncWithdrawals(proxy, limit, balancer.RetryPolicy(retry))
}
func (g *goldenOrders) clear(proxy int) { g.tables.ClearWithdrawals(proxy) }
func (g *goldenOrders) limit(table int, classes uint16, limit float64, retry int) {
	g.tables.SetAdmissionLimit(table, classes, limit, balancer.RetryPolicy(retry))
}
func (g *goldenOrders) limitAll(classes uint16, limit float64, retry int) {
	g.tables.SetAdmissionLimit(balancer.AllTables, classes, limit, balancer.RetryPolicy(retry))
}
func (g *goldenOrders) mark(number int, everyone bool) { g.tables.RequestAck(number, everyone) }
func (g *goldenOrders) join(proxy int, keeps bool) {
	g.tables.connect(proxy, &connection{proxy: proxy}, keeps)
}
func (g *goldenOrders) token(proxy int, token uint64) { g.tables.proxies[proxy].grantToken = token }
func (g *goldenOrders) brought(proxy int, lines ...ownership.KnownTable) {
	g.tables.proxies[proxy].base = lines
}

// written ends a step: what was ordered in it leaves, one message for each proxy concerned.
func (g *goldenOrders) written(step string) {
	g.t.Helper()
	fmt.Fprintf(&g.text, "# %s\n", step)
	g.tables.flush(func(to *connection, message []byte) error {
		fmt.Fprintf(&g.text, "proxy %d: %q\n", to.proxy, message)
		return nil
	}, func(proxy int, _ error) {
		fmt.Fprintf(&g.text, "proxy %d is given up\n", proxy)
	}, func(int, int) {})
}

func newGoldenOrders(t *testing.T, classes ...string) *goldenOrders {
	var names [][]byte
	for _, class := range classes {
		names = append(names, fmt.Appendf(nil, "%q", class))
	}
	return &goldenOrders{t: t, tables: newTables(names, name, 1<<20, 64)}
}

// TestGoldenOrders holds the bytes of every kind of order to proxies, one kind a step.
func TestGoldenOrders(t *testing.T) {
	g := newGoldenOrders(t, "read it", "write", "größer")
	g.join(0, false)
	g.written("nothing was ordered")
	g.line(0, 0, 2)
	g.line(1, 0, 0.5)
	g.line(2, 0, 1e-9)
	g.bind(0, 0, 0)
	g.mark(1, false)
	g.written("a whole table for every class, with a mark")
	g.line(1, 0, 0)
	g.line(3, 0, 1.0/3)
	g.written("lines set and taken out")
	g.line(0, 1, 7)
	g.bind(0, 1, 0b010)
	g.line(2, 0, 4)
	g.mark(2, false)
	g.written("a second table for one class, a change in the first for the others")
	g.limit(1, 0b010, 12.5, 0)
	g.limitAll(0b101, 100, 1)
	g.written("limits of a table and of every table")
	g.limitAll(0, 9, 0)
	g.written("a limit for all classes, of which the lower stands")
	g.limit(0, 0b100, 3, 2)
	g.limit(0, 0b001, math.Inf(1), 3)
	g.limitAll(0b001, math.Inf(1), 1)
	g.written("limits without a bound, and other manners of trying again")
	g.withdraw(0, true)
	g.withdraw(9, true)
	g.written("a backend that its tables use is withdrawn, and one that they do not use")
	g.withdraw(0, false)
	g.written("it is let back")
	g.withdraw(0, true)
	g.line(9, 0, 1)
	g.mark(3, true)
	g.written("a withdrawal, a first line for a withdrawn backend, a mark for everyone")
	g.bind(0, 0, 0b011)
	g.written("a whole table again forgets limits")
	g.mark(4, true)
	g.written("a mark alone")

	g.join(1, true)
	g.written("a proxy that brings tables of others hears nothing")
	g.remind(1, 55, 1)
	g.mark(5, false)
	g.written("until it is reminded of what is withdrawn")
	g.remind(1, 55, 1)
	g.written("reminded again")
	g.withdraw(4, true)
	g.withdraw(0, false)
	g.written("withdrawals while none of its tables is ours")
	g.bind(1, 0, 0)
	g.written("bound, it is not cleared yet")
	g.clear(1)
	g.mark(6, false)
	g.written("cleared")
	g.line(4, 0, 2)
	g.line(5, 0, 2)
	g.written("first lines after it was cleared")

	g.join(2, false)
	g.token(2, 1<<40+7)
	g.bind(2, 1, 0)
	g.mark(7, false)
	g.written("with a token, a whole table")
	g.line(3, 1, math.NaN())
	g.line(4, 1, -1)
	g.line(5, 1, math.Inf(1))
	g.line(6, 1, 1e21)
	g.written("with a token, figures that are no figures")
	g.tables.maxFrame = 120
	for backend := range 12 {
		g.line(backend, 1, float64(backend)+0.25)
		g.withdraw(backend, true)
	}
	g.limitAll(0, 8, 0)
	g.mark(8, true)
	g.written("parts of a message: lines, limits, withdrawals, a mark")
	g.bind(2, 1, 0)
	g.written("parts of a whole table")
	g.tables.maxParts = 2
	g.bind(2, 1, 0)
	g.written("more parts than a message may have")
	g.tables.maxFrame, g.tables.maxParts = 1<<20, 64

	for proxy, base := range []ownership.KnownTable{
		{Lines: map[string]float64{`"s-0"`: 2, `"s-2"`: 4, `"s-3"`: 1.0 / 3, `"s-4"`: 2, `"s-5"`: 2, `"s-9"`: 1}},
		{Lines: map[string]float64{`"s-0"`: 1, `"s-2"`: 4, `"s-8"`: 1, `"s-4"`: 2, `"s-5"`: 2}, Uncertain: map[string]bool{`"s-9"`: true}},
		{Lines: map[string]float64{`"s-8"`: 3}},
	} {
		g.join(3+proxy, false)
		g.brought(3+proxy, base, base, base)
		g.bind(3+proxy, 0, 0)
		g.mark(9, false)
		g.written(fmt.Sprint("a proxy that comes from another owner, with base ", proxy))
	}
	golden.Compare(t, "orders.golden", g.text.String())
}

// TestGoldenOrdersByChance holds the bytes of orders in thousands of combinations, by their hash for each seed.
func TestGoldenOrdersByChance(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(60) {
		g := newGoldenOrders(t, "a", "b", "c")
		chance := rand.New(rand.NewPCG(seed, 11))
		if seed%3 == 0 {
			g.tables.maxFrame = 150
		}
		joined := map[int]bool{}
		for step := range 300 {
			proxy, backend, table := chance.IntN(6), chance.IntN(12), chance.IntN(3)
			classes, flag, weight := uint16(chance.IntN(8)), chance.IntN(2) == 0, float64(chance.IntN(4))
			switch chance.IntN(13) {
			case 0:
				g.join(proxy, flag)
				joined[proxy] = true
				if chance.IntN(3) == 0 {
					g.token(proxy, uint64(step))
				}
				if chance.IntN(3) == 0 {
					base := ownership.KnownTable{Lines: map[string]float64{`"s-1"`: 1, `"s-2"`: weight + 1}}
					g.brought(proxy, base, base, base)
				}
			case 1, 2:
				g.bind(proxy, table, classes)
			case 3, 4, 5:
				g.line(backend, table, weight)
			case 6, 7:
				g.withdraw(backend, flag)
			case 8:
				g.remind(proxy, weight, 0)
			case 9:
				g.clear(proxy)
			case 10:
				g.limit(table, classes, weight, backend%4)
			case 11:
				g.limitAll(classes, weight+0.5, backend%2)
			case 12:
				g.mark(step, flag)
			}
			if chance.IntN(2) == 0 {
				g.written(fmt.Sprint("step ", step))
			}
		}
		fmt.Fprintf(&text, "seed %d: %d bytes, sha256 %x\n", seed, g.text.Len(), sha256.Sum256([]byte(g.text.String())))
	}
	golden.Compare(t, "orders-by-chance.golden", text.String())
}

// goldenDay plays a controller through a day of trouble on a clock of its own, and writes down every byte that a proxy
// is written.
func goldenDay(t *testing.T, c deployment) string {
	var text strings.Builder
	loop := c.newLoop(t, 12)
	chance := rand.New(rand.NewPCG(7, 2))
	peers := map[int]*connection{}
	hearers := map[int]*fakeProxy{}
	for turn := range 40 {
		advance(loop, microsPerSecond, func() {})
		again := chance.IntN(8)
		for node := range 8 {
			if turn == 0 || turn%9 == 0 && node == again {
				peers[node], hearers[node] = connectProxy(t, loop, turn+1, node, turn > 0), newFakeProxy(c.classNames()...)
			}
		}
		changed := chance.IntN(12)
		loop.iterate(func() {
			for b := range 12 {
				load := balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}
				if b == 5 && turn > 4 {
					loop.outcomesReported(outcomeReport{fmt.Sprint(c.backend, b), 9, 9, 0, microsPerSecond, load})
				} else {
					loop.outcomesReported(outcomeReport{fmt.Sprint(c.backend, b), 20, 1, int64(200_000 + 60_000*turn), microsPerSecond, load})
				}
			}
			for node := range 8 {
				for class := range c.classes {
					loop.demandReported(node, class, 20+10*class, microsPerSecond)
				}
			}
			switch turn % 5 {
			case 2:
				loop.endpointsUpdated(false, int64(turn), parsed(t, "["+c.endpointJSON(changed, "draining", 0)+","+
					c.endpointJSON(12+turn/5, "up", loop.now/1000)+"]").GetArray())
			case 4:
				loop.endpointsUpdated(false, int64(turn), parsed(t, "["+c.endpointJSON(changed, "up", 0)+"]").GetArray())
			}
		})
		for node := range 8 {
			conn := peers[node]
			conn.lastMessageAt.Store(loop.now)
			for len(conn.outbox) > 0 {
				message := <-conn.outbox
				fmt.Fprintf(&text, "%d proxy %d: %q\n", turn, node, message)
				if err := hearers[node].apply(message); err != nil {
					t.Fatal(err)
				}
			}
			for _, number := range hearers[node].nonces {
				loop.iterate(func() { loop.acknowledged(conn, number) })
			}
			hearers[node].nonces = nil
		}
	}
	return text.String()
}

// TestGoldenDay holds the bytes that a whole controller writes on its proxies' streams, zones and classes included.
func TestGoldenDay(t *testing.T) {
	classes := []classSettings{{"fetch", 1500, 4000, 1, false, false}, {"order", 800, 2000, 3, true, false},
		{"audit", 3000, 9000, 0.5, false, true}}
	var text strings.Builder
	for _, messages := range []int{0, 4, 30} {
		day := goldenDay(t, deployment{classes: classes, zones: []string{"a", "b"}, backend: "s-", maxMessages: messages})
		lines := strings.SplitAfter(day, "\n")
		fmt.Fprintf(&text, "# %d messages at most: %d messages, sha256 %x\n", messages, len(lines)-1, sha256.Sum256([]byte(day)))
		if messages == 30 {
			text.WriteString(strings.Join(lines[:min(len(lines), 120)], ""))
		}
	}
	golden.Compare(t, "day.golden", text.String())
}
