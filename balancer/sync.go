package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Sync: a proxy that connects holds tables of another controller, or none. This controller sends it
// complete tables as soon as there is capacity. While the proxy waits for them, a separate
// withdrawals message may notify it of the withdrawals and limits in force, since the rules apply
// whatever tables the proxy holds.
//
// Order in which proxies are sent their tables: first the proxies that have waited for half the
// drain grace; then, if the channel may need long for all tables, the proxies with the most
// baseline demand; then the proxies that connected first. Changes that wait for the channel are
// sent before tables, unless tables would then arrive later than tablesShareOfGrace of the drain
// grace after the connection.
//
// A table that has no entry, as no usable backend belongs to it that is not held back, is left out:
// the proxy gets its other tables, and this one once it has an entry. For the classes of that table
// the proxy keeps the tables that it has, and is notified of withdrawals.
//
// A proxy whose tables cannot be sent yet gets a withdrawals message, once, only if
//   - one of its tables is empty, so that its tables cannot be sent, or its tables cost at least
//     tableCostWorthMessage times as much as the message;
//   - the proxy has waited for half the drain grace; or no changes wait for the channel, since such
//     changes are sent first, and the tables do not arrive soon enough. Tables arrive soon enough
//     if the channel sends the tables of all waiting proxies within tablesShareOfGrace of the drain
//     grace that was left when the drain was listed (Controller.graceAtListing), and the tables of
//     each proxy cost at most tableCostPerMessage times as much as the message;
//   - a backend is withdrawn, or the proxy may hold withdrawals of other controllers;
//   - the push queue has capacity for the message and a further syncReserveShare of its capacity,
//     which stays free for changes that cannot wait;
//   - the proxy may be sent one more message (mayPush), and the Host supports the message
//     (Host.SyncWithdrawals).
//
// When all proxies have tables, the withdrawals of other controllers are cleared at each proxy that
// may hold any.
//
// Inputs are costs in lines (pushqueue.go), the drain grace and waiting times (microseconds).

const (
	// tablesShareOfGrace is the share of the drain grace within which the push channel must send
	// the tables of all waiting proxies.
	tablesShareOfGrace = 3. / 4
	// syncReserveShare is the share of the push queue's capacity that withdrawals messages, and the
	// clearing of withdrawals, leave free for changes that cannot wait.
	syncReserveShare = 1. / 4
	// tableCostPerMessage is the highest ratio of the cost of a proxy's tables to the cost of a
	// withdrawals message at which the proxy gets no message if its tables arrive in time.
	tableCostPerMessage = 3
	// tableCostWorthMessage is the lowest ratio of the cost of a proxy's tables to the cost of a
	// withdrawals message at which the message may be sent. Below this ratio the proxy gets no
	// message, however late its tables are, unless one of the tables is empty.
	tableCostWorthMessage = 2
)

// syncRound is one pass over the waiting proxies. It is valid for one call of syncProxies.
type syncRound struct {
	now            Microseconds
	withdrawals    float64    // number of withdrawals in force
	withdrawalCost Lines      // cost of a message with all withdrawals in force
	reserve        Lines      // capacity of the push queue that is kept free for changes that cannot wait
	waiting        int        // number of connected proxies without assigned tables at the start of the pass
	assigned       int        // number of proxies that were assigned tables in this pass
	tableSizes     tableSizes // sizes of the tables counted so far
}

// enqueueForSync adds a proxy to the proxies that wait for tables, at its position in the order of
// tables, which the header of this file describes.
func (c *Controller) enqueueForSync(id int) {
	c.syncQueue = slices.DeleteFunc(c.syncQueue, func(other int) bool { return other == id })
	position := len(c.syncQueue)
	mayTakeLong := c.pushQueue.capacity() < c.pushQueue.Backlog
	if mayTakeLong {
		position, _ = slices.BinarySearchFunc(c.syncQueue, c.proxies[id].baselineRate, func(other int, rate float64) int {
			// The queue is in decreasing order of baseline demand. A proxy is inserted behind
			// proxies with the same demand.
			return cmp.Or(cmp.Compare(rate, c.proxies[other].baselineRate), -1)
		})
	}
	c.syncQueue = slices.Insert(c.syncQueue, position, id)
}

// syncProxies sends waiting proxies their tables or a withdrawals message, or clears the
// withdrawals of other controllers.
func (c *Controller) syncProxies(now Microseconds) {
	if len(c.syncQueue) == 0 {
		return
	}
	round := &syncRound{now: now, reserve: c.pushQueue.capacity() * syncReserveShare, tableSizes: tableSizes{}}
	round.withdrawals, round.withdrawalCost = c.withdrawalCost()
	tableFits := c.pushQueue.hasCapacity(c.pushQueue.messageOverhead(), false)
	messageFits := c.pushQueue.hasCapacity(round.withdrawalCost+round.reserve, true)
	if !tableFits && !messageFits {
		return // skip the pass over all waiting proxies: there may be thousands, and each ack calls syncProxies
	}
	round.waiting = c.countWaitingForTables(round.tableSizes)
	c.reserveForTables(now, round.tableSizes)
	for _, overdue := range []bool{true, false} {
		for _, id := range c.syncQueue {
			if c.overdue(c.proxies[id], now) == overdue {
				c.syncProxy(id, round, overdue)
			}
		}
	}
	c.syncQueue = slices.DeleteFunc(c.syncQueue, func(id int) bool {
		proxy := c.proxies[id]
		complete := proxy.hasAllTables() && proxy.withdrawalsCleared == proxy.mayHoldForeignWithdrawals
		return !proxy.connected || complete
	})
	if round.assigned > 0 && round.waiting == round.assigned {
		c.syncProxies(now) // a second pass can clear withdrawals in the messages that carry the tables
	}
}

// waitsForTables reports whether a proxy waits for tables of this controller that can be assigned.
func (c *Controller) waitsForTables(proxy *proxyState, sizes tableSizes) bool {
	if !proxy.connected || proxy.hasAllTables() {
		return false
	}
	return !proxy.tablesAssigned || !c.fullTablesOf(proxy, proxy.missingClasses, sizes).noneAvailable
}

// overdue reports whether more than half the drain grace has passed since a proxy connected.
func (c *Controller) overdue(proxy *proxyState, now Microseconds) bool {
	return now-proxy.connectedAt > c.rules.DrainGrace/2
}

// countWaitingForTables counts the proxies that wait for tables.
func (c *Controller) countWaitingForTables(sizes tableSizes) (waiting int) {
	for _, id := range c.syncQueue {
		if c.waitsForTables(c.proxies[id], sizes) {
			waiting++
		}
	}
	return waiting
}

// syncProxy takes at most one of these steps for one waiting proxy, if there is capacity: it
// assigns tables, clears the withdrawals of other controllers, or sends a withdrawals message.
func (c *Controller) syncProxy(id int, round *syncRound, overdue bool) {
	proxy := c.proxies[id]
	unassigned := proxy.unassignedClasses(c.allClasses())
	tables := c.fullTablesOf(proxy, unassigned, round.tableSizes)
	assignable := unassigned != 0 && !tables.noneAvailable
	if !assignable {
		tables = c.fullTablesOf(proxy, c.allClasses()&^unassigned, round.tableSizes)
	}
	tables.anyEmpty = tables.anyEmpty || tables.noneAvailable
	tablesSendable := c.tablesSendable(proxy, tables, round.now)
	tables.someMissing = proxy.tablesAssigned && unassigned != 0 && !assignable
	switch {
	case tablesSendable && assignable:
		c.assignTables(id, unassigned, tables)
		round.assigned++
	case tablesSendable && c.mayClearWithdrawals(proxy, tables, round):
		proxy.withdrawalsCleared = true
		c.charge(proxy, tables.entries)
		c.host.ClearWithdrawals(id)
	case unassigned != 0 && !proxy.withdrawalsSynced && c.withdrawalMessageWorthwhile(tables, round, overdue):
		c.syncWithdrawals(id, round)
	}
}

// tablesSendable reports whether a proxy may now be sent its tables, or a message that clears
// withdrawals; the cost of that message is taken to be the cost of the tables. Changes that wait
// for the channel are sent first, unless the proxy's tables would be late.
func (c *Controller) tablesSendable(proxy *proxyState, tables fullTables, now Microseconds) bool {
	wouldBeLate := !proxy.tablesAssigned && c.pushQueue.wouldDelayTables(0)
	mayPrecedeChanges := !c.queueCongested || wouldBeLate
	urgency := ordinaryMessage
	if !proxy.hasAllTables() {
		urgency = firstTablesMessage
	}
	return proxy.connected && !tables.anyEmpty && mayPrecedeChanges && !c.awaitsFirstLimit(proxy) &&
		c.pushQueue.hasCapacity(tables.cost, false) && c.pushQueue.mayPush(proxy, now, urgency)
}

// assignTables sends a proxy its tables for a set of classes, except those that are unavailable.
func (c *Controller) assignTables(id int, classes uint16, tables fullTables) {
	proxy := c.proxies[id]
	proxy.tablesAssigned = true
	proxy.missingClasses = tables.unavailable
	c.pushQueue.reservedLines -= tables.cost
	withdrawalLines := min(proxy.heldWithdrawals, tables.entries)
	c.charge(proxy, 1+tables.cost-c.pushQueue.messageOverhead()+withdrawalLines)
	c.eachTable(proxy.subset, proxy.zone, func(table int, tableClasses uint16) {
		if tableClasses&classes&^tables.unavailable != 0 {
			c.host.AssignTable(table, id, tableClasses)
		}
	})
}

// mayClearWithdrawals reports whether the withdrawals of other controllers are to be cleared at a
// proxy now.
func (c *Controller) mayClearWithdrawals(proxy *proxyState, tables fullTables, round *syncRound) bool {
	due := proxy.mayHoldForeignWithdrawals && !proxy.withdrawalsCleared
	return due && round.waiting == 0 && c.pushQueue.hasCapacity(tables.entries+round.reserve, false)
}

// withdrawalMessageWorthwhile reports whether a waiting proxy is to be notified of withdrawals by a
// message of its own: its tables cost much more or cannot be sent, and either the proxy has waited
// for long, or its tables do not arrive soon and no changes wait for the channel.
func (c *Controller) withdrawalMessageWorthwhile(tables fullTables, round *syncRound, overdue bool) bool {
	messageCheaper := tables.anyEmpty || tables.someMissing || tableCostWorthMessage*round.withdrawalCost <= tables.cost
	tablesComeSoon := !tables.someMissing && c.tablesReplaceWithdrawals(tables.cost, round.withdrawalCost, round.waiting)
	mayWait := c.queueCongested || tablesComeSoon
	return messageCheaper && (overdue || !mayWait)
}

// syncWithdrawals sends a proxy all withdrawals and limits, if there is capacity and the Host
// supports the message. The limit noLimit that it passes applies to classes without a limit, see
// Host.SyncWithdrawals.
func (c *Controller) syncWithdrawals(id int, round *syncRound) {
	proxy := c.proxies[id]
	anyWithdrawals := proxy.mayHoldForeignWithdrawals || round.withdrawals > 0
	hasCapacity := c.pushQueue.hasCapacity(round.withdrawalCost+round.reserve, true)
	urgency := requiredMessage
	if c.overdue(proxy, round.now) {
		urgency = overdueMessage
	}
	if !anyWithdrawals || !hasCapacity || !c.pushQueue.mayPush(proxy, round.now, urgency) {
		return
	}
	if !c.host.SyncWithdrawals(id, noLimit, RetryIfNotExecuted) {
		return
	}
	proxy.withdrawalsSynced = true
	proxy.heldWithdrawals = round.withdrawals
	c.charge(proxy, round.withdrawals+float64(len(c.classes)))
}

// tablesReplaceWithdrawals reports whether waiting proxies need no withdrawals messages, as their
// tables cost little more than such messages and are sent in time.
func (c *Controller) tablesReplaceWithdrawals(table, message Lines, waiting int) bool {
	inTime := table*float64(waiting) <= tablesShareOfGrace*c.pushQueue.linesSentIn(c.graceAtListing)
	return table <= tableCostPerMessage*message && inTime
}

// withdrawalCost returns the number of withdrawals in force, and the cost of a message to one proxy
// with all of them.
func (c *Controller) withdrawalCost() (withdrawals float64, message Lines) {
	for _, backend := range c.backends {
		if backend.withdrawn {
			withdrawals++
		}
	}
	return withdrawals, c.pushQueue.messageOverhead() + withdrawals + float64(len(c.classes))
}

// tableSizes holds the sizes of the tables counted so far, by table index.
type tableSizes map[int]tableSize

// fullTables holds the total number of entries and the total cost of some or all of a proxy's complete
// tables.
type fullTables struct {
	entries  float64 // number of entries of all the tables
	cost     Lines   // cost of the tables, including the overhead of their message and the limits
	anyEmpty bool    // one of the tables has no entry, although a usable backend belongs to it
	// unavailable is the set of classes whose table has no entry and no usable backend. Such a table
	// is left out of the other fields, so that the proxy need not wait for it.
	unavailable   uint16
	noneAvailable bool // all of the tables are unavailable
	someMissing   bool // the proxy was assigned tables, but some were unavailable, and still are
}

// fullTablesOf sums the sizes and costs of a proxy's tables for a set of classes. It adds the
// sizes of tables that it counts to sizes.
func (c *Controller) fullTablesOf(proxy *proxyState, classes uint16, sizes tableSizes) (tables fullTables) {
	tables.cost = c.pushQueue.messageOverhead() + c.tableLimitLines()
	tables.noneAvailable = true
	c.eachTable(proxy.subset, proxy.zone, func(table int, tableClasses uint16) {
		if tableClasses&classes == 0 {
			return
		}
		size, known := sizes[table]
		if !known {
			size = c.tableSize(table)
			sizes[table] = size
		}
		if size.entries == 0 && !size.anyUsable {
			tables.unavailable |= tableClasses
			return
		}
		tables.noneAvailable = false
		tables.entries += float64(size.entries)
		tables.cost += float64(size.entries)
		tables.cost++ // the assignment of the table costs one line
		tables.anyEmpty = tables.anyEmpty || size.entries == 0
	})
	return tables
}

// tableLimitLines returns how many lines of limits accompany complete tables: a proxy discards its
// limits when it receives them.
func (c *Controller) tableLimitLines() Lines {
	if !c.admission.limitsSent {
		return max(c.pushQueue.LimitLines, 0)
	}
	return max(c.pushQueue.LimitLines, float64(len(c.classes)))
}

// reserveForTables sums the costs of the tables of waiting proxies, and computes how many lines may
// be queued for the most urgent of these proxies to have its tables in time. Withdrawals cannot
// replace these tables: this controller may not know a backend that was removed before it started,
// and cannot withdraw that backend, whereas complete tables omit it.
func (c *Controller) reserveForTables(now Microseconds, sizes tableSizes) {
	queue := &c.pushQueue
	queue.reservedLines = 0
	queue.maxQueuedBeforeTables = math.Inf(1)
	for _, id := range c.syncQueue {
		proxy := c.proxies[id]
		if !c.waitsForTables(proxy, sizes) {
			continue
		}
		tables := c.fullTablesOf(proxy, proxy.unassignedClasses(c.allClasses()), sizes)
		if tables.anyEmpty || tables.noneAvailable {
			continue
		}
		queue.reservedLines += tables.cost
		sentSinceConnect := queue.linesSentIn(queue.MaxLatency + now - proxy.connectedAt)
		remaining := tablesShareOfGrace*queue.linesSentIn(c.graceAtListing) - sentSinceConnect
		queue.maxQueuedBeforeTables = min(queue.maxQueuedBeforeTables, remaining)
	}
}
