package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Sync: a proxy that connects holds tables of another controller, or none. It gets ours, complete, as soon as there is
// room. While it waits for them it may be notified, by a message of its own, which backends are withdrawn and which limits
// stand, as rules bind whatever tables it brought.
//
// Order of tables: proxies that have waited for half the drain grace first, then those with the most baseline demand
// where the channel may need long for all, then the first to come. Changes that wait for the channel go first, but not
// once tables would come later than tablesShareOfGrace of the grace.
//
// A proxy whose tables cannot go yet is sent that message, once, only if
//   - one of its tables is empty, so that they cannot go, or they cost at least tableCostWorthMessage times the message;
//   - it has waited for half the grace; or no changes wait for the channel, as these go first, and tables do not come soon
//     enough. They do if those of all who wait leave within tablesShareOfGrace of the grace that was left at listing, and
//     each costs at most tableCostPerMessage times the message;
//   - something is withdrawn, or it may hold withdrawals of others;
//   - the push queue has capacity for the message and syncReserveShare more, which stays free for what cannot wait;
//   - it may be sent one more message (mayPush), and the Host has a way to (Host.SyncWithdrawals).
//
// When all have tables, a proxy that may hold withdrawals of other controllers is cleared of them.
//
// Inputs are costs in lines (pushqueue.go), the drain grace and waiting times (microseconds).

const (
	// tablesShareOfGrace is the share of the drain grace within which the tables of all who wait must leave the channel.
	tablesShareOfGrace = 3. / 4
	// syncReserveShare is the share of the capacity that is kept free.
	syncReserveShare = 1. / 4
	// tableCostPerMessage: tables replace the withdrawals message if they cost at most this many times as much.
	tableCostPerMessage = 3
	// tableCostWorthMessage: a withdrawals message is sent if tables cost at least this many times as much.
	tableCostWorthMessage = 2
)

// syncRound is one pass over the proxies that wait. It lives for one call of syncProxies.
type syncRound struct {
	now            Microseconds
	withdrawals    float64         // how many stand
	withdrawalCost Lines           // of a message that tells them all
	reserve        Lines           // kept free
	waiting        int             // connected proxies that waited for tables as it began
	served         int             // of these, those that got them
	tableSizes     map[int]float64 // entries by table, as far as counted
}

// enqueueForSync has a proxy wait for its tables.
func (c *Controller) enqueueForSync(id int) {
	c.syncQueue = slices.DeleteFunc(c.syncQueue, func(other int) bool { return other == id })
	place := len(c.syncQueue)
	mayTakeLong := c.pushQueue.capacity() < c.pushQueue.Backlog
	if mayTakeLong {
		place, _ = slices.BinarySearchFunc(c.syncQueue, c.proxies[id].baselineRate, func(other int, rate float64) int {
			// In falling order of baseline demand; behind those with the same.
			return cmp.Or(cmp.Compare(rate, c.proxies[other].baselineRate), -1)
		})
	}
	c.syncQueue = slices.Insert(c.syncQueue, place, id)
}

// syncProxies gives proxies that wait their tables, tells them of withdrawals, or clears them of others'.
func (c *Controller) syncProxies(now Microseconds) {
	if len(c.syncQueue) == 0 {
		return
	}
	round := &syncRound{now: now, reserve: c.pushQueue.capacity() * syncReserveShare, tableSizes: map[int]float64{}}
	round.withdrawals, round.withdrawalCost = c.withdrawalCost()
	anyTable := c.pushQueue.hasCapacity(c.pushQueue.messageOverhead(), false)
	anyMessage := c.pushQueue.hasCapacity(round.withdrawalCost+round.reserve, true)
	if !anyTable && !anyMessage {
		return // thousands may wait, and this is looked at with each ack
	}
	round.waiting = c.countWaitingForTables()
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
		complete := proxy.hasOurTables && proxy.withdrawalsCleared == proxy.mayHoldForeignWithdrawals
		return !proxy.connected || complete
	})
	if round.served > 0 && round.waiting == round.served {
		c.syncProxies(now) // what is to be cleared may go along
	}
}

// waitsForTables tells whether a proxy is to get our tables.
func (c *Controller) waitsForTables(proxy *proxyState) bool {
	return proxy.connected && !proxy.hasOurTables
}

// overdue tells whether a proxy has waited for half the drain grace.
func (c *Controller) overdue(proxy *proxyState, now Microseconds) bool {
	return now-proxy.connectedAt > c.rules.DrainGrace/2
}

// countWaitingForTables counts the proxies that wait for tables.
func (c *Controller) countWaitingForTables() (waiting int) {
	for _, id := range c.syncQueue {
		if c.waitsForTables(c.proxies[id]) {
			waiting++
		}
	}
	return waiting
}

// syncProxy does what is next for one proxy, if there is room.
func (c *Controller) syncProxy(id int, round *syncRound, overdue bool) {
	proxy := c.proxies[id]
	tables := c.fullTablesOf(proxy, round.tableSizes)
	mayGo := c.tablesMayGo(proxy, tables, round.now)
	switch {
	case mayGo && !proxy.hasOurTables:
		c.assignTables(id, tables)
		round.served++
	case mayGo && c.mayClearWithdrawals(proxy, tables, round):
		proxy.withdrawalsCleared = true
		c.charge(proxy, tables.entries)
		c.host.ClearWithdrawals(id)
	case !proxy.hasOurTables && !proxy.withdrawalsSynced && c.messageWorthwhile(tables, round, overdue):
		c.syncWithdrawals(id, round)
	}
}

// tablesMayGo tells whether a proxy's tables, or as much as they cost, may go to it now. Changes that wait for the
// channel go first, unless its tables would be late.
func (c *Controller) tablesMayGo(proxy *proxyState, tables fullTables, now Microseconds) bool {
	wouldBeLate := !proxy.hasOurTables && c.pushQueue.wouldDelayTables(0)
	itsTurn := !c.queueCongested || wouldBeLate
	return proxy.connected && !tables.anyEmpty && itsTurn &&
		c.pushQueue.hasCapacity(tables.cost, false) && c.pushQueue.mayPush(proxy, now, false)
}

// assignTables gives a proxy its tables.
func (c *Controller) assignTables(id int, tables fullTables) {
	proxy := c.proxies[id]
	proxy.hasOurTables = true
	c.pushQueue.reservedLines -= tables.cost
	withdrawalLines := min(proxy.heldWithdrawals, tables.entries)
	c.charge(proxy, 1+tables.cost-c.pushQueue.messageOverhead()+withdrawalLines)
	c.eachTable(proxy.subset, proxy.zone, func(table int, classes uint16) {
		c.host.AssignTable(table, id, classes)
	})
}

// mayClearWithdrawals tells whether a proxy is to be cleared of withdrawals of other controllers now.
func (c *Controller) mayClearWithdrawals(proxy *proxyState, tables fullTables, round *syncRound) bool {
	due := proxy.mayHoldForeignWithdrawals && !proxy.withdrawalsCleared
	return due && round.waiting == 0 && c.pushQueue.hasCapacity(tables.entries+round.reserve, false)
}

// messageWorthwhile tells whether a proxy that waits is better notified of withdrawals by a message of its own: its tables
// cost much more, and neither do they come soon, nor do changes go first.
func (c *Controller) messageWorthwhile(tables fullTables, round *syncRound, overdue bool) bool {
	costsLittle := tables.anyEmpty || tableCostWorthMessage*round.withdrawalCost <= tables.cost
	tablesComeSoon := c.tablesSuffice(tables.cost, round.withdrawalCost, round.waiting)
	mayWait := c.queueCongested || tablesComeSoon
	return costsLittle && (overdue || !mayWait)
}

// syncWithdrawals tells a proxy of all withdrawals and limits, if there is room and the host has a way to. The limit that
// it passes is for classes without one, see Host.SyncWithdrawals.
func (c *Controller) syncWithdrawals(id int, round *syncRound) {
	proxy := c.proxies[id]
	anyToTell := proxy.mayHoldForeignWithdrawals || round.withdrawals > 0
	hasRoom := c.pushQueue.hasCapacity(round.withdrawalCost+round.reserve, true)
	if !anyToTell || !hasRoom || !c.pushQueue.mayPush(proxy, round.now, true) {
		return
	}
	if !c.host.SyncWithdrawals(id, noLimit, RetryIfNotExecuted) {
		return
	}
	proxy.withdrawalsSynced = true
	proxy.heldWithdrawals = round.withdrawals
	c.charge(proxy, round.withdrawals+float64(len(c.classes)))
}

// tablesSuffice tells whether proxies that wait are as well given tables as notified of withdrawals by messages of their
// own, by the costs of both.
func (c *Controller) tablesSuffice(table, message Lines, waiting int) bool {
	inTime := table*float64(waiting) <= tablesShareOfGrace*c.pushQueue.linesSentIn(c.graceAtListing)
	return table <= tableCostPerMessage*message && inTime
}

// withdrawalCost is how many withdrawals stand, and what a message costs that tells one proxy of all of them.
func (c *Controller) withdrawalCost() (withdrawals float64, message Lines) {
	for _, backend := range c.backends {
		if backend.withdrawn {
			withdrawals++
		}
	}
	return withdrawals, c.pushQueue.messageOverhead() + withdrawals + float64(len(c.classes))
}

// fullTables is what a proxy's tables amount to.
type fullTables struct {
	entries  float64
	cost     Lines // with their message and limits
	anyEmpty bool  // one of them has no entry
}

// fullTablesOf sums up a proxy's tables. Sizes keeps the entries of each table.
func (c *Controller) fullTablesOf(proxy *proxyState, sizes map[int]float64) (tables fullTables) {
	tables.cost = c.pushQueue.messageOverhead() + c.tableLimitLines()
	c.eachTable(proxy.subset, proxy.zone, func(table int, _ uint16) {
		size, known := sizes[table]
		if !known {
			size = float64(c.tableSize(table))
			sizes[table] = size
		}
		tables.entries += size
		tables.cost += size
		tables.cost++ // for the assignment
		tables.anyEmpty = tables.anyEmpty || size == 0
	})
	return tables
}

// tableLimitLines is how many lines of limits go along with complete tables, as these make a proxy forget them.
func (c *Controller) tableLimitLines() Lines {
	if !c.admission.limitsSent {
		return max(c.pushQueue.LimitLines, 0)
	}
	return max(c.pushQueue.LimitLines, float64(len(c.classes)))
}

// reserveForTables sums what the tables of proxies that wait cost, and how much may wait in the channel for the first of
// them to have its tables in time: a withdrawal may name no backend that had gone before we began, tables do.
func (c *Controller) reserveForTables(now Microseconds, sizes map[int]float64) {
	queue := &c.pushQueue
	queue.reservedLines = 0
	queue.maxQueuedBeforeTables = math.Inf(1)
	for _, id := range c.syncQueue {
		proxy := c.proxies[id]
		if !c.waitsForTables(proxy) {
			continue
		}
		tables := c.fullTablesOf(proxy, sizes)
		if tables.anyEmpty {
			continue
		}
		queue.reservedLines += tables.cost
		usedUp := queue.linesSentIn(queue.MaxLatency + now - proxy.connectedAt)
		left := tablesShareOfGrace*queue.linesSentIn(c.graceAtListing) - usedUp
		queue.maxQueuedBeforeTables = min(queue.maxQueuedBeforeTables, left)
	}
}
