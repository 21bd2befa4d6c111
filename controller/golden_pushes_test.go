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

// goldenOrders gives orders to tables through the methods of balancer.Host, as balancer.Controller
// does, and records every message that is written to a proxy.
type goldenOrders struct {
	t      *testing.T
	tables *tables
	text   strings.Builder
}

func (g *goldenOrders) publishEntry(backend, table int, weight float64) {
	g.tables.PublishEntry(table, backend, weight)
}
func (g *goldenOrders) assignTable(proxy, table int, classes uint16) {
	g.tables.AssignTable(table, proxy, classes)
}
func (g *goldenOrders) withdraw(backend int, withdrawn bool) { g.tables.Withdraw(backend, withdrawn) }
func (g *goldenOrders) syncWithdrawals(proxy int, limit float64, retry int) {
	g.tables.SyncWithdrawals(proxy, limit, balancer.RetryPolicy(retry))
}
func (g *goldenOrders) clearWithdrawals(proxy int) { g.tables.ClearWithdrawals(proxy) }
func (g *goldenOrders) setLimit(table int, classes uint16, limit float64, retry int) {
	g.tables.SetAdmissionLimit(table, classes, limit, balancer.RetryPolicy(retry))
}
func (g *goldenOrders) setLimitForAll(classes uint16, limit float64, retry int) {
	g.tables.SetAdmissionLimit(balancer.AllTables, classes, limit, balancer.RetryPolicy(retry))
}
func (g *goldenOrders) requestAck(nonce int, fromAll bool) { g.tables.RequestAck(nonce, fromAll) }
func (g *goldenOrders) connect(proxy int, mayHoldWithdrawals bool) {
	g.tables.connect(proxy, &connection{proxy: proxy}, mayHoldWithdrawals)
}
func (g *goldenOrders) setToken(proxy int, token uint64) { g.tables.proxies[proxy].grantToken = token }
func (g *goldenOrders) setKnownTables(proxy int, known ...ownership.KnownTable) {
	g.tables.proxies[proxy].knownTables = known
}

// flushStep ends a step: it flushes the orders of the step, and records one message for each proxy
// concerned.
func (g *goldenOrders) flushStep(step string) {
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
	return &goldenOrders{t: t, tables: newTables(names, backendName, 1<<20, 64)}
}

// TestGoldenOrders compares the bytes that each kind of order writes to proxies with the golden
// file, one kind a step.
func TestGoldenOrders(t *testing.T) {
	g := newGoldenOrders(t, "read it", "write", "größer")
	g.connect(0, false)
	g.flushStep("nothing was ordered")
	g.publishEntry(0, 0, 2)
	g.publishEntry(1, 0, 0.5)
	g.publishEntry(2, 0, 1e-9)
	g.assignTable(0, 0, 0)
	g.requestAck(1, false)
	g.flushStep("a whole table for every class, with a mark")
	g.publishEntry(1, 0, 0)
	g.publishEntry(3, 0, 1.0/3)
	g.flushStep("lines set and taken out")
	g.publishEntry(0, 1, 7)
	g.assignTable(0, 1, 0b010)
	g.publishEntry(2, 0, 4)
	g.requestAck(2, false)
	g.flushStep("a second table for one class, a change in the first for the others")
	g.setLimit(1, 0b010, 12.5, 0)
	g.setLimitForAll(0b101, 100, 1)
	g.flushStep("limits of a table and of every table")
	g.setLimitForAll(0, 9, 0)
	g.flushStep("a limit for all classes, of which the lower stands")
	g.setLimit(0, 0b100, 3, 2)
	g.setLimit(0, 0b001, math.Inf(1), 3)
	g.setLimitForAll(0b001, math.Inf(1), 1)
	g.flushStep("limits without a bound, and other manners of trying again")
	g.withdraw(0, true)
	g.withdraw(9, true)
	g.flushStep("a backend that its tables use is withdrawn, and one that they do not use")
	g.withdraw(0, false)
	g.flushStep("it is let back")
	g.withdraw(0, true)
	g.publishEntry(9, 0, 1)
	g.requestAck(3, true)
	g.flushStep("a withdrawal, a first line for a withdrawn backend, a mark for everyone")
	g.assignTable(0, 0, 0b011)
	g.flushStep("a whole table again forgets limits")
	g.requestAck(4, true)
	g.flushStep("a mark alone")

	g.connect(1, true)
	g.flushStep("a proxy that brings tables of others hears nothing")
	g.syncWithdrawals(1, 55, 1)
	g.requestAck(5, false)
	g.flushStep("until it is reminded of what is withdrawn")
	g.syncWithdrawals(1, 55, 1)
	g.flushStep("reminded again")
	g.withdraw(4, true)
	g.withdraw(0, false)
	g.flushStep("withdrawals while none of its tables is ours")
	g.assignTable(1, 0, 0)
	g.flushStep("bound, it is not cleared yet")
	g.clearWithdrawals(1)
	g.requestAck(6, false)
	g.flushStep("cleared")
	g.publishEntry(4, 0, 2)
	g.publishEntry(5, 0, 2)
	g.flushStep("first lines after it was cleared")

	g.connect(2, false)
	g.setToken(2, 1<<40+7)
	g.assignTable(2, 1, 0)
	g.requestAck(7, false)
	g.flushStep("with a token, a whole table")
	g.publishEntry(3, 1, math.NaN())
	g.publishEntry(4, 1, -1)
	g.publishEntry(5, 1, math.Inf(1))
	g.publishEntry(6, 1, 1e21)
	g.flushStep("with a token, figures that are no figures")
	g.tables.maxFrame = 120
	for backend := range 12 {
		g.publishEntry(backend, 1, float64(backend)+0.25)
		g.withdraw(backend, true)
	}
	g.setLimitForAll(0, 8, 0)
	g.requestAck(8, true)
	g.flushStep("parts of a message: lines, limits, withdrawals, a mark")
	g.assignTable(2, 1, 0)
	g.flushStep("parts of a whole table")
	g.tables.maxParts = 2
	g.assignTable(2, 1, 0)
	g.flushStep("more parts than a message may have")
	g.tables.maxFrame, g.tables.maxParts = 1<<20, 64

	for proxy, base := range []ownership.KnownTable{
		{Lines: map[string]float64{`"s-0"`: 2, `"s-2"`: 4, `"s-3"`: 1.0 / 3, `"s-4"`: 2, `"s-5"`: 2, `"s-9"`: 1}},
		{Lines: map[string]float64{`"s-0"`: 1, `"s-2"`: 4, `"s-8"`: 1, `"s-4"`: 2, `"s-5"`: 2},
			Uncertain: map[string]bool{`"s-9"`: true}},
		{Lines: map[string]float64{`"s-8"`: 3}},
	} {
		g.connect(3+proxy, false)
		g.setKnownTables(3+proxy, base, base, base)
		g.assignTable(3+proxy, 0, 0)
		g.requestAck(9, false)
		g.flushStep(fmt.Sprint("a proxy that comes from another owner, with base ", proxy))
	}
	golden.Compare(t, "orders.golden", g.text.String())
}

// TestGoldenRandomOrders compares the bytes of orders in thousands of random combinations with the
// golden file, by a hash for each seed.
func TestGoldenRandomOrders(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(60) {
		g := newGoldenOrders(t, "a", "b", "c")
		random := rand.New(rand.NewPCG(seed, 11))
		if seed%3 == 0 {
			g.tables.maxFrame = 150
		}
		joined := map[int]bool{}
		for step := range 300 {
			proxy, backend, table := random.IntN(6), random.IntN(12), random.IntN(3)
			classes, flag, weight := uint16(random.IntN(8)), random.IntN(2) == 0, float64(random.IntN(4))
			switch random.IntN(13) {
			case 0:
				g.connect(proxy, flag)
				joined[proxy] = true
				if random.IntN(3) == 0 {
					g.setToken(proxy, uint64(step))
				}
				if random.IntN(3) == 0 {
					base := ownership.KnownTable{Lines: map[string]float64{`"s-1"`: 1, `"s-2"`: weight + 1}}
					g.setKnownTables(proxy, base, base, base)
				}
			case 1, 2:
				g.assignTable(proxy, table, classes)
			case 3, 4, 5:
				g.publishEntry(backend, table, weight)
			case 6, 7:
				g.withdraw(backend, flag)
			case 8:
				g.syncWithdrawals(proxy, weight, 0)
			case 9:
				g.clearWithdrawals(proxy)
			case 10:
				g.setLimit(table, classes, weight, backend%4)
			case 11:
				g.setLimitForAll(classes, weight+0.5, backend%2)
			case 12:
				g.requestAck(step, flag)
			}
			if random.IntN(2) == 0 {
				g.flushStep(fmt.Sprint("step ", step))
			}
		}
		fmt.Fprintf(&text, "seed %d: %d bytes, sha256 %x\n", seed, g.text.Len(), sha256.Sum256([]byte(g.text.String())))
	}
	golden.Compare(t, "orders-by-chance.golden", text.String())
}

// recordSimulation runs a controller on a simulated clock through failures, drains, reconnects and
// load changes, and records every message that is written to a proxy.
func recordSimulation(t *testing.T, site deployment) string {
	var text strings.Builder
	loop := site.newLoop(t, 12)
	random := rand.New(rand.NewPCG(7, 2))
	conns := map[int]*connection{}
	fakes := map[int]*fakeProxy{}
	for turn := range 40 {
		advance(loop, microsPerSecond, func() {})
		reconnecting := random.IntN(8)
		for node := range 8 {
			if turn == 0 || turn%9 == 0 && node == reconnecting {
				conns[node], fakes[node] = connectProxy(t, loop, turn+1, node, turn > 0), newFakeProxy(site.classNames()...)
			}
		}
		changed := random.IntN(12)
		loop.iterate(func() {
			for b := range 12 {
				load := balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}
				if b == 5 && turn > 4 {
					loop.outcomesReported(outcomeReport{fmt.Sprint(site.backendPrefix, b), 9, 9, 0, microsPerSecond, load})
				} else {
					loop.outcomesReported(outcomeReport{fmt.Sprint(site.backendPrefix, b), 20, 1,
						int64(200_000 + 60_000*turn), microsPerSecond, load})
				}
			}
			for node := range 8 {
				for class := range site.classes {
					loop.demandReported(node, class, 20+10*class, microsPerSecond)
				}
			}
			switch turn % 5 {
			case 2:
				loop.endpointsUpdated(false, int64(turn), parsed(t, "["+site.endpointJSON(changed, "draining", 0)+","+
					site.endpointJSON(12+turn/5, "up", loop.now/1000)+"]").GetArray())
			case 4:
				loop.endpointsUpdated(false, int64(turn), parsed(t, "["+site.endpointJSON(changed, "up", 0)+"]").GetArray())
			}
		})
		for node := range 8 {
			conn := conns[node]
			conn.lastMessageAt.Store(loop.now)
			for len(conn.outbox) > 0 {
				message := <-conn.outbox
				fmt.Fprintf(&text, "%d proxy %d: %q\n", turn, node, message)
				if err := fakes[node].apply(message); err != nil {
					t.Fatal(err)
				}
			}
			for _, nonce := range fakes[node].nonces {
				loop.iterate(func() { loop.acknowledged(conn, nonce) })
			}
			fakes[node].nonces = nil
		}
	}
	return text.String()
}

// TestGoldenSimulation compares the bytes that a whole controller writes to its proxies, zones and
// classes included, with the golden file.
func TestGoldenSimulation(t *testing.T) {
	classes := []classSettings{{"fetch", 1500, 4000, 1, false, false}, {"order", 800, 2000, 3, true, false},
		{"audit", 3000, 9000, 0.5, false, true}}
	var text strings.Builder
	for _, messages := range []int{0, 4, 30} {
		site := deployment{classes: classes, zones: []string{"a", "b"}, backendPrefix: "s-", maxMessages: messages}
		recorded := recordSimulation(t, site)
		lines := strings.SplitAfter(recorded, "\n")
		fmt.Fprintf(&text, "# %d messages at most: %d messages, sha256 %x\n",
			messages, len(lines)-1, sha256.Sum256([]byte(recorded)))
		if messages == 30 {
			text.WriteString(strings.Join(lines[:min(len(lines), 120)], ""))
		}
	}
	golden.Compare(t, "day.golden", text.String())
}
