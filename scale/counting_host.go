package scale

import (
	"slices"

	"wheelrill/balancer"
)

// countingHost is the balancer.Host of a measured controller. It counts the controller's orders,
// and keeps only the tag of the last timer. acknowledge sends the acks that the controller
// requested. The measurement sets the clock.
type countingHost struct {
	control *balancer.Controller
	now     int64
	tag     uint64 // tag of the last timer that the controller set
	orders  orderCounts

	tables       [][]int // tables assigned to each proxy
	pendingAck   int     // number of the latest ack that the controller requested
	ackRequested bool
	toAllProxies bool         // the next ack covers all proxies, not only the proxies that received orders
	changed      map[int]bool // tables changed by orders since the last ack request that was answered
	// Proxies that were assigned a table, or had their withdrawals synced or cleared, since the
	// last ack request that was answered.
	reached map[int]bool
}

// orderCounts holds the number of the controller's orders of each kind.
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

// Now returns the time that the measurement has set, in microseconds.
func (h *countingHost) Now() int64 { return h.now }

// SetTimer keeps the tag of the timer. One tag is enough, because the balancer has only one timer.
func (h *countingHost) SetTimer(_ int64, tag uint64) { h.tag = tag }

// Log discards the log line.
func (h *countingHost) Log(int, string) {}

// PollEndpoints does nothing, because the measurement passes endpoint lists to the controller
// itself.
func (h *countingHost) PollEndpoints() {}

// CheckHealth does nothing, because health checks are off in measurements.
func (h *countingHost) CheckHealth(int) {}

// PublishEntry counts a published table entry.
func (h *countingHost) PublishEntry(table, _ int, _ float64) {
	h.orders.entries++
	h.changed[table] = true
}

// AssignTable counts the assignment of a table to a proxy.
func (h *countingHost) AssignTable(table, proxy int, _ uint16) {
	h.orders.assignments++
	h.reached[proxy] = true
	if !slices.Contains(h.tables[proxy], table) {
		h.tables[proxy] = append(h.tables[proxy], table)
	}
}

// Withdraw counts the withdrawal or the restoration of a backend.
func (h *countingHost) Withdraw(int, bool) { h.orders.withdrawals++ }

// SyncWithdrawals counts a sync of withdrawals to a proxy.
func (h *countingHost) SyncWithdrawals(proxy int, _ float64, _ balancer.RetryPolicy) bool {
	h.orders.syncs++
	h.reached[proxy] = true
	return true
}

// ClearWithdrawals counts a clearing of the withdrawals of a proxy.
func (h *countingHost) ClearWithdrawals(proxy int) {
	h.orders.clears++
	h.reached[proxy] = true
}

// HoldMessages is never called: the proxies are not shared.
func (h *countingHost) HoldMessages(int) {}

// ResumeMessages is never called: the proxies are not shared.
func (h *countingHost) ResumeMessages(int) {}

// SetAdmissionLimit counts an admission limit.
func (h *countingHost) SetAdmissionLimit(table int, _ uint16, _ float64, _ balancer.RetryPolicy) {
	h.orders.limits++
	h.changed[table] = true
	h.toAllProxies = h.toAllProxies || table == balancer.AllTables
}

// RequestAck counts a request for an ack. When acknowledge answers the request, it acks for the
// proxies that received orders since the last answered request, or for all proxies if everyone is
// set.
func (h *countingHost) RequestAck(number int, everyone bool) {
	h.orders.acks++
	h.pendingAck = number
	h.ackRequested = true
	h.toAllProxies = h.toAllProxies || everyone
}

// acknowledge acks on behalf of each proxy that received orders, or of all proxies if the
// controller requested that. The controller may respond with further ack requests, so acknowledge
// repeats this until no request is pending.
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
		h.now++ // orders that respond to the acks get a later clock time than the acks
	}
}

// advance moves the clock ahead by the given number of ticks. At each tick it fires the timer,
// which makes the controller process its waiting work, and answers the requested acks.
func (h *countingHost) advance(ticks int) {
	for range ticks {
		h.now += workTick
		h.control.TimerFired(h.tag)
		h.acknowledge()
	}
}
