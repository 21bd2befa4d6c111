package scale

import (
	"slices"

	"wheelrill/balancer"
)

// countingHost is the Host of a controller's decisions that are measured: it counts orders, keeps only the last timer,
// and answers marks at once. Time is what the measurement sets it to.
type countingHost struct {
	control *balancer.Controller
	now     int64
	tag     uint64 // of the last timer
	orders  orderCounts

	tables  [][]int // tables that a proxy is bound to
	mark    int
	marked  bool
	toEach  bool         // the mark reaches every joined proxy
	changed map[int]bool // tables that were changed at this clock time
	reached map[int]bool // proxies that were told something beside their tables
}

// orderCounts is how often each order was given.
type orderCounts struct {
	lines, binds, withdrawals, reminders, clears, levels, marks int
}

func (o orderCounts) sum() int {
	return o.lines + o.binds + o.withdrawals + o.reminders + o.clears + o.levels + o.marks
}

func newCountingHost(proxies int) *countingHost {
	const start = 100 * second
	return &countingHost{now: start, tables: make([][]int, proxies), changed: map[int]bool{}, reached: map[int]bool{}}
}

// Now is the time that the measurement has set.
func (h *countingHost) Now() int64 { return h.now }

// SetTimer keeps the tag of the one timer that the decisions have.
func (h *countingHost) SetTimer(_ int64, tag uint64) { h.tag = tag }

// Log drops the line.
func (h *countingHost) Log(int, string) {}

// PollEndpoints and Probe are nothing here: lists are handed in, and probes are off.
func (h *countingHost) PollEndpoints()  {}
func (h *countingHost) CheckHealth(int) {}

// PublishEntry counts a line of a table.
func (h *countingHost) PublishEntry(table, _ int, _ float64) {
	h.orders.lines++
	h.changed[table] = true
}

// AssignTable counts a table that a proxy is given.
func (h *countingHost) AssignTable(table, proxy int, _ uint16) {
	h.orders.binds++
	h.reached[proxy] = true
	if !slices.Contains(h.tables[proxy], table) {
		h.tables[proxy] = append(h.tables[proxy], table)
	}
}

// Withdraw counts a backend that is withdrawn, or let back.
func (h *countingHost) Withdraw(int, bool) { h.orders.withdrawals++ }

// SyncWithdrawals counts a reminder.
func (h *countingHost) SyncWithdrawals(proxy int, _ float64, _ balancer.RetryPolicy) bool {
	h.orders.reminders++
	h.reached[proxy] = true
	return true
}

// ClearWithdrawals counts a proxy that is cleared.
func (h *countingHost) ClearWithdrawals(proxy int) {
	h.orders.clears++
	h.reached[proxy] = true
}

// SetAdmissionLimit counts a level.
func (h *countingHost) SetAdmissionLimit(table int, _ uint16, _ float64, _ balancer.RetryPolicy) {
	h.orders.levels++
	h.changed[table] = true
	h.toEach = h.toEach || table == balancer.AllTables
}

// RequestAck notes that the proxies reached at this clock time are to answer.
func (h *countingHost) RequestAck(number int, everyone bool) {
	h.orders.marks++
	h.mark, h.marked, h.toEach = number, true, h.toEach || everyone
}

// acknowledge has each proxy that was reached answer the mark, until no further one is given.
func (h *countingHost) acknowledge() {
	for h.marked {
		mark, toEach, changed, reached := h.mark, h.toEach, h.changed, h.reached
		h.marked, h.toEach, h.changed, h.reached = false, false, map[int]bool{}, map[int]bool{}
		concerned := func(table int) bool { return changed[table] }
		for proxy, tables := range h.tables {
			if toEach || reached[proxy] || slices.ContainsFunc(tables, concerned) {
				h.control.Acknowledged(proxy, mark)
			}
		}
		h.now++ // orders given while marks come back leave at a later clock time
	}
}

// advance lets time pass to the next look at waiting work, so often.
func (h *countingHost) advance(ticks int) {
	for range ticks {
		h.now += workTick
		h.control.TimerFired(h.tag)
		h.acknowledge()
	}
}
