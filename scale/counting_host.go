package scale

import (
	"slices"

	"wheelrill/balancer"
)

// countingHost is the balancer.Host of a measured controller: it counts orders, keeps only the last timer, and has acks
// requested answered by acknowledge. Time is what the measurement sets it to.
type countingHost struct {
	control *balancer.Controller
	now     int64
	tag     uint64 // of the last timer
	orders  orderCounts

	tables       [][]int // tables that a proxy is bound to
	pendingAck   int     // the number of the ack that is requested
	ackRequested bool
	toAllProxies bool         // the request for an ack reaches every connected proxy
	changed      map[int]bool // tables that were changed at this clock time
	reached      map[int]bool // proxies that were told something beside their tables
}

// orderCounts is how often each order was given.
type orderCounts struct {
	entries, assignments, withdrawals, syncs, clears, limits, acks int
}

func (o orderCounts) sum() int {
	return o.entries + o.assignments + o.withdrawals + o.syncs + o.clears + o.limits + o.acks
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

// PollEndpoints does nothing: lists are handed in.
func (h *countingHost) PollEndpoints() {}

// CheckHealth does nothing: health checks are off.
func (h *countingHost) CheckHealth(int) {}

// PublishEntry counts an entry of a table.
func (h *countingHost) PublishEntry(table, _ int, _ float64) {
	h.orders.entries++
	h.changed[table] = true
}

// AssignTable counts a table that a proxy is given.
func (h *countingHost) AssignTable(table, proxy int, _ uint16) {
	h.orders.assignments++
	h.reached[proxy] = true
	if !slices.Contains(h.tables[proxy], table) {
		h.tables[proxy] = append(h.tables[proxy], table)
	}
}

// Withdraw counts a backend that is withdrawn, or let back.
func (h *countingHost) Withdraw(int, bool) { h.orders.withdrawals++ }

// SyncWithdrawals counts a proxy that is told what is withdrawn.
func (h *countingHost) SyncWithdrawals(proxy int, _ float64, _ balancer.RetryPolicy) bool {
	h.orders.syncs++
	h.reached[proxy] = true
	return true
}

// ClearWithdrawals counts a proxy that is cleared.
func (h *countingHost) ClearWithdrawals(proxy int) {
	h.orders.clears++
	h.reached[proxy] = true
}

// SetAdmissionLimit counts a limit.
func (h *countingHost) SetAdmissionLimit(table int, _ uint16, _ float64, _ balancer.RetryPolicy) {
	h.orders.limits++
	h.changed[table] = true
	h.toAllProxies = h.toAllProxies || table == balancer.AllTables
}

// RequestAck notes that the proxies reached at this clock time are to answer.
func (h *countingHost) RequestAck(number int, everyone bool) {
	h.orders.acks++
	h.pendingAck = number
	h.ackRequested = true
	h.toAllProxies = h.toAllProxies || everyone
}

// acknowledge has each proxy that was reached answer the request for an ack, until there is no further one.
func (h *countingHost) acknowledge() {
	for h.ackRequested {
		ack := h.pendingAck
		toAllProxies := h.toAllProxies
		changed := h.changed
		reached := h.reached
		h.ackRequested = false
		h.toAllProxies = false
		h.changed = map[int]bool{}
		h.reached = map[int]bool{}
		tableChanged := func(table int) bool { return changed[table] }
		for proxy, tables := range h.tables {
			if toAllProxies || reached[proxy] || slices.ContainsFunc(tables, tableChanged) {
				h.control.Acknowledged(proxy, ack)
			}
		}
		h.now++ // orders given while acks come back leave at a later clock time
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
