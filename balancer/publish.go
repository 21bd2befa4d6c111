package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Publication: table entries that differ from their target weight (weight.go) are sent to all
// proxies of their tables, in rounds.
//
// Required changes are the entries of backends that proxies must stop using (drain.go), withdrawals
// of these backends, lower weights of backends that are warming up, the first entries of empty
// tables, moves to a short subset (subset.go), and a lowered admission limit (admission.go).
// All other changes are ordinary.
//
// A round is due with each endpoint list and each tick if a required change is pending. It is also
// due with a tick once minPublishInterval has passed since the last round that published anything,
// or if that round left some entries unpublished. An ack does not trigger a round. A round that is
// due starts (roundDelay) only if
//   - enough time has passed since any change of an earlier clock time was sent to several proxies,
//     if the settings limit messages. The time that has to pass is the drain grace that was left
//     when the drain was listed (computeGraceAtListing), less PushChannel.MaxLatency and a tick,
//     divided by publicationsPerGrace. If the message window divided by PushChannel.MaxMessages is
//     shorter, that quotient is the time that has to pass;
//   - no more than nearlyEmptyShare of the push queue's capacity is queued, or all required changes
//     fit into the rest of the capacity;
//   - each proxy with assigned tables may be sent one more message (message_budget.go).
//
// The round then sends, in this order and as far as the push queue has capacity (pushqueue.go):
//  1. required entries, subset by subset: first the subset that changes most, and within it the
//     largest change first;
//  2. ordinary entries in the same order, since they share messages with the required entries, up
//     to ordinaryShare of the capacity, except entries that would make the tables of waiting
//     proxies late (sync.go);
//  3. entries of backends that move to a short subset;
//  4. withdrawals, for proxies that may use backends which the tables of this controller do not
//     give them;
//  5. limits that have changed, whatever capacity is left.
//
// Changes left over are sent in a later round, so that a set of changes that does not fit is sent
// in pieces.
//
// Inputs are weights, and the costs of the changes, in lines (pushqueue.go).

const (
	// minPublishInterval is the time between two rounds of ordinary changes.
	minPublishInterval = 2 * second
	// publicationsPerGrace is the number of rounds of required changes that fit into the drain
	// grace.
	publicationsPerGrace = 2
)

// publication holds the figures that a round of changes is planned with. It is valid for one call
// of publishChanges.
type publication struct {
	now      Microseconds
	overhead Lines          // cost in lines of a message to one proxy, apart from the changes in the message
	contents []tableContent // content of each table before the round, by table index
	// remainingEntries holds, by table index, how many entries a table has that proxies need not stop
	// using. A table without any is empty, or would be once the required removals are published.
	remainingEntries []int
	postponed        map[*backendState]bool // backends whose change waits because it would empty a table

	connected           float64   // number of connected proxies
	withdrawalReceivers float64   // number of connected proxies for which receivesWithdrawals is true
	proxiesBySubset     []float64 // number of proxies with assigned tables, by subset
	proxiesByTable      []float64 // number of proxies with assigned tables that use a table, by table index
	// liftingProxiesByTable is the number of proxies with assigned tables for which
	// firstEntryLiftsWithdrawal is true, by index of the table that they use. The first entry of a
	// backend costs one more line at each such proxy.
	liftingProxiesByTable []float64

	targetBySubset []float64 // target weight of each subset
	fairWeight     float64   // mean target weight of a subset
	// messageCharged is set for a table once the cost of one of its changes includes the overhead of
	// the messages to the proxies that use the table. Further changes of the table share these
	// messages.
	messageCharged []bool

	changesDue     bool    // at least one entry or limit differs from its target
	requiredLines  Lines   // cost of all required changes
	awaited        bool    // at least one required change, apart from moves to a short subset, is pending
	withdrawalsDue float64 // number of backends that are to be withdrawn or restored
	// tablesReplaceWithdrawals is set if complete tables for all withdrawal receivers arrive in
	// time and cost so little that withdrawals are not sent, see
	// Controller.tablesReplaceWithdrawals.
	tablesReplaceWithdrawals bool
	tablesMissing            bool // at least one proxy keeps a table of another controller, see proxyState.missingClasses
}

// publishChanges publishes the differences from the published tables and limits, if a change is
// required or the time for ordinary changes has come. A round that starts sends both: ordinary
// entries and limits accompany the required ones.
func (c *Controller) publishChanges(now Microseconds, ordinary bool) {
	contents := c.tableContents(now)
	c.updateKeptEntries(now, contents)
	c.graceAtListing = c.computeGraceAtListing()
	c.reserveForTables(now, map[int]float64{})
	c.updateReserve()
	plan := c.planPublication(now, contents)
	c.noteRequired(plan)
	delay := c.roundDelay(now, plan.requiredLines)
	roundStarts := (ordinary || plan.requiredLines > 0) && delay == notDelayed
	ordinaryWaits := ordinary && plan.changesDue && !c.pushQueue.nearlyEmpty()
	requiredWaits := plan.requiredLines > 0 && c.pushQueue.queuedLines+plan.requiredLines > c.pushQueue.capacity()
	c.queueCongested = !roundStarts && (ordinaryWaits || requiredWaits)
	c.logRequiredChanges(plan, delay)
	switch {
	case roundStarts:
		c.publishRound(plan)
		c.noteRequired(c.planPublication(now, contents))
	case c.requiredSince > 0 && delay == delayedByReserve:
		c.awaitRequiredDeadline(now, plan.requiredLines)
	}
	c.logEmptyTables(now)
	c.reconcileShards(now)
	c.syncProxies(now)
}

// roundDelay is the reason for which no round of changes may start yet.
type roundDelay string

const (
	notDelayed        roundDelay = ""
	delayedBySpacing  roundDelay = "the last round was sent too recently"
	delayedByQueue    roundDelay = "the push queue has no capacity"
	delayedByReserve  roundDelay = "the messages left for a proxy are kept for later required changes"
	delayedByMessages roundDelay = "a proxy may be sent no more messages within the message window"
)

// noteRequired notes from which time on required changes have been pending. A short subset does not
// count: it may stay short for long, while no backend can be moved to it.
func (c *Controller) noteRequired(plan *publication) {
	switch {
	case !plan.awaited:
		c.requiredSince, c.loggedDelay = 0, notDelayed
	case c.requiredSince == 0:
		c.requiredSince = plan.now
	}
}

// logRequiredChanges logs why required changes wait, unless it is for the spacing of rounds or for
// later required changes, which they do in time, and how long they have waited if the round that sends them starts too late for the drain grace.
func (c *Controller) logRequiredChanges(plan *publication, delay roundDelay) {
	if c.requiredSince == 0 {
		return
	}
	waited := float64(plan.now-c.requiredSince) / float64(second)
	allowed := float64(c.graceAtListing-c.pushQueue.MaxLatency) / float64(second)
	switch {
	case delay == notDelayed && waited > max(allowed, 0):
		c.logf(-1, "required changes sent after %.2f s, %.2f s allowed", waited, allowed)
	case (delay == delayedByQueue || delay == delayedByMessages) && delay != c.loggedDelay:
		c.logf(-1, "required changes wait: %s", delay)
		c.loggedDelay = delay
	}
}

// mayPublish reports whether a round of changes may start now, with the given cost of required
// changes.
func (c *Controller) mayPublish(now Microseconds, required Lines) bool {
	return c.roundDelay(now, required) == notDelayed
}

// roundDelay returns the reason for which a round of changes with the given cost of required changes
// may not start now, by the conditions in the header of this file.
func (c *Controller) roundDelay(now Microseconds, required Lines) roundDelay {
	queue := &c.pushQueue
	interval := min((c.graceAtListing-queue.MaxLatency-tickInterval)/publicationsPerGrace,
		queue.MessageWindow/int64(max(queue.MaxMessages, 1)))
	tooSoon := queue.MaxMessages > 0 && now > c.changedAt && now-c.changedAt < interval
	fits := required > 0 && queue.queuedLines+required <= queue.capacity()
	urgency := ordinaryMessage
	if required > 0 {
		urgency = c.requiredUrgency(now, required)
	}
	mayNotPush := func(urgency messageUrgency) func(*proxyState) bool {
		return func(proxy *proxyState) bool { return proxy.tablesAssigned && !queue.mayPush(proxy, now, urgency) }
	}
	switch {
	case tooSoon:
		return delayedBySpacing
	case !queue.nearlyEmpty() && !fits:
		return delayedByQueue
	case slices.ContainsFunc(c.proxies, mayNotPush(overdueMessage)):
		return delayedByMessages
	case slices.ContainsFunc(c.proxies, mayNotPush(urgency)):
		return delayedByReserve
	default:
		return notDelayed
	}
}

// planPublication sums the changes to be published, and their costs.
func (c *Controller) planPublication(now Microseconds, contents []tableContent) *publication {
	plan := &publication{now: now, overhead: c.pushQueue.messageOverhead(), contents: contents, postponed: map[*backendState]bool{}}
	plan.messageCharged = make([]bool, len(contents))
	plan.remainingEntries = make([]int, len(contents))
	plan.targetBySubset, plan.fairWeight = c.subsetTargetWeights(now)
	plan.changesDue = slices.ContainsFunc(c.admission.priorityOrder, c.admission.limitChanged)
	c.countProxies(plan)
	c.sumRequired(plan)
	tableCost := plan.overhead + float64(len(c.backends)/c.subsetCount)
	withdrawalCost := plan.overhead + plan.withdrawalsDue
	plan.tablesReplaceWithdrawals = plan.withdrawalReceivers > 0 && !c.sharding.enabled() && !plan.tablesMissing &&
		c.tablesReplaceWithdrawals(tableCost, withdrawalCost, int(plan.withdrawalReceivers))
	if plan.withdrawalsDue > 0 && !plan.tablesReplaceWithdrawals {
		plan.requiredLines += plan.withdrawalsDue + plan.withdrawalReceivers*withdrawalCost
		plan.awaited = true
	}
	// A lowered limit is required: requests that are admitted until it arrives lengthen the queues.
	if c.admission.limitLowered {
		plan.requiredLines += (plan.overhead + 1) * plan.connected
		plan.awaited = true
	}
	return plan
}

// countProxies counts the proxies that changes are sent to.
func (c *Controller) countProxies(plan *publication) {
	plan.proxiesBySubset = make([]float64, c.subsetCount)
	plan.proxiesByTable = make([]float64, len(plan.contents))
	plan.liftingProxiesByTable = make([]float64, len(plan.contents))
	for _, proxy := range c.proxies {
		if proxy.tablesAssigned {
			plan.proxiesBySubset[proxy.subset]++
			plan.countTables(c, proxy)
		}
		if proxy.connected {
			plan.connected++
			if c.receivesWithdrawals(proxy) {
				plan.withdrawalReceivers++
			}
			plan.tablesMissing = plan.tablesMissing || proxy.missingClasses != 0
		}
	}
}

// countTables counts a proxy with assigned tables at each table that it uses. No backend belongs to
// the table of a zone without a backend, so such a table is left out.
func (plan *publication) countTables(c *Controller, proxy *proxyState) {
	for _, table := range []int{proxy.subset, c.zoneTable(proxy.zone)} {
		if table >= len(plan.proxiesByTable) || !c.usesTable(proxy, table) {
			continue
		}
		plan.proxiesByTable[table]++
		if proxy.firstEntryLiftsWithdrawal() {
			plan.liftingProxiesByTable[table]++
		}
	}
}

// receivesWithdrawals reports whether a proxy may use backends that the tables of this controller
// do not give it: backends from another controller's tables, or owners that it reads from the store
// of shards.
func (c *Controller) receivesWithdrawals(proxy *proxyState) bool {
	return !proxy.hasAllTables() || c.sharding.enabled()
}

// sumRequired sums the costs of required entry changes, and counts the withdrawals that are due.
func (c *Controller) sumRequired(plan *publication) {
	for subset, weight := range plan.targetBySubset {
		if weight < shortSubsetShare*plan.fairWeight {
			plan.requiredLines++
			plan.requiredLines += plan.proxiesBySubset[subset] * plan.overhead
			plan.messageCharged[subset] = true
		}
	}
	for _, backend := range c.backends {
		c.countRemaining(plan, backend, 1)
	}
	for _, backend := range c.backends {
		target := c.targetWeights(backend, plan.now)
		if target != backend.published {
			plan.changesDue = true
		}
		if c.changeRequired(plan, backend, target) {
			plan.requiredLines += max(c.entryCost(plan, backend, target), 1)
			c.chargeMessages(plan, backend, target)
			plan.awaited = true
		}
		if backend.withdrawn != c.mustLeave(backend) {
			plan.withdrawalsDue++
		}
	}
}

// countRemaining adds the given number to the count of remaining entries of each table in which a
// backend has an entry, unless proxies must stop using the backend.
func (c *Controller) countRemaining(plan *publication, backend *backendState, number int) {
	if c.mustLeave(backend) {
		return
	}
	if backend.published.subset > 0 {
		plan.remainingEntries[backend.subset] += number
	}
	if backend.published.zone > 0 {
		plan.remainingEntries[c.zoneTable(backend.Zone)] += number
	}
}

// emptiesTable reports whether a change of a backend's entries to their targets would take the last
// entry from a table that is to get others. Such a change waits for these, unless proxies must stop
// using the backend.
func (c *Controller) emptiesTable(plan *publication, backend *backendState, target entryWeights) bool {
	if c.mustLeave(backend) {
		return false
	}
	isLast := func(table int) bool {
		return plan.remainingEntries[table] == 1 && plan.contents[table].usable > 0
	}
	emptiesSubset := backend.published.subset > 0 && target.subset == 0 && isLast(backend.subset)
	emptiesZone := backend.published.zone > 0 && target.zone == 0 && isLast(c.zoneTable(backend.Zone))
	return emptiesSubset || emptiesZone
}

// changeRequired reports whether the change of a backend's entries to their targets is a required
// change.
func (c *Controller) changeRequired(plan *publication, backend *backendState, target entryWeights) bool {
	mustLower := c.warmingUp(backend, plan.now) || c.mustLeave(backend)
	fillsSubset := target.subset > 0 && plan.remainingEntries[backend.subset] == 0
	fillsZone := target.zone > 0 && plan.remainingEntries[c.zoneTable(backend.Zone)] == 0
	return mustLower && backend.published.lowers(target) || fillsSubset || fillsZone
}

// entryCost returns the cost of a change of a backend's entries to their targets. The change is sent
// to the proxies of each table in which an entry changes, to each in one message with all other
// changes of this round.
func (c *Controller) entryCost(plan *publication, backend *backendState, target entryWeights) (cost Lines) {
	isFirstEntry := !backend.published.any()
	covered := false // each proxy gets a message that another change of this round has paid for
	for _, table := range c.changedTables(backend, target) {
		cost += plan.proxiesByTable[table]
		if !plan.messageCharged[table] && !covered {
			cost += plan.proxiesByTable[table] * plan.overhead
		}
		if isFirstEntry {
			cost += plan.liftingProxiesByTable[table]
		}
		covered = covered || table == 0 && c.subsetCount == 1
	}
	return cost
}

// chargeMessages notes that the messages to the proxies of each table in which an entry of a backend
// changes are paid for. With a single subset, all proxies use its table.
func (c *Controller) chargeMessages(plan *publication, backend *backendState, target entryWeights) {
	for _, table := range c.changedTables(backend, target) {
		plan.messageCharged[table] = true
		if table == 0 && c.subsetCount == 1 {
			for i := range plan.messageCharged {
				plan.messageCharged[i] = true
			}
		}
	}
}

// changedTables returns the tables in which the entry of a backend differs from its target: that of
// its subset, that of its zone, or both.
func (c *Controller) changedTables(backend *backendState, target entryWeights) (tables []int) {
	if backend.published.subset != target.subset {
		tables = append(tables, backend.subset)
	}
	if backend.published.zone != target.zone {
		tables = append(tables, c.zoneTable(backend.Zone))
	}
	return tables
}

// publishRound publishes as many changes as the push queue has capacity for.
func (c *Controller) publishRound(plan *publication) {
	weightBefore := 0.
	for _, backend := range c.backends {
		weightBefore += backend.unreducedWeight()
	}
	entries := c.publishEntries(plan)
	moved := c.rebalanceSubsets(plan)
	c.publishWithdrawals(plan)
	c.limitOnCapacityLoss(plan.now, weightBefore, entries.lostWeight)
	c.admission.limitLowered = false
	limited := c.publishLimits()
	if limited || moved || entries.published {
		c.publishedAt = plan.now
		bridged := moved && slices.ContainsFunc(c.backends, func(backend *backendState) bool { return backend.keptInSubset })
		if entries.leftOver || bridged { // a publishedAt of 0 makes a round due at the next tick, for the entries left over
			c.publishedAt = 0
		}
	}
}

// entryChanges summarizes the entry changes of a round.
type entryChanges struct {
	published  bool    // at least one change of an entry was published in this round
	leftOver   bool    // at least one change of an entry waits for capacity in the push queue
	lostWeight float64 // unreduced published weight that endpoint lists took away; input of limitOnCapacityLoss
}

// publishEntries publishes required entry changes, then ordinary ones, as far as the push queue has
// capacity. Changes that would empty a table come last.
func (c *Controller) publishEntries(plan *publication) (entries entryChanges) {
	pending := c.orderChanges(plan)
	clear(plan.messageCharged)
	for _, kind := range []changeKind{requiredChanges, ordinaryChanges, emptyingChanges} {
		pending = slices.DeleteFunc(pending, func(backend *backendState) bool {
			return c.publishIfPossible(plan, backend, kind, &entries)
		})
	}
	entries.leftOver = len(pending) > 0
	return entries
}

// changeKind is a kind of entry changes, which are published in the order of these values.
type changeKind int

const (
	requiredChanges changeKind = iota // changes for which changeRequired is true
	ordinaryChanges                   // all other changes, except emptyingChanges
	emptyingChanges                   // changes for which emptiesTable was true before the others were published
)

// publishIfPossible publishes the change of a backend's entries if it is of the given kind and the
// push queue has capacity for it, and reports whether it did.
func (c *Controller) publishIfPossible(plan *publication, backend *backendState, kind changeKind, entries *entryChanges) bool {
	target := c.targetWeights(backend, plan.now)
	required := c.changeRequired(plan, backend, target)
	if !plan.postponed[backend] && required != (kind == requiredChanges) || plan.postponed[backend] != (kind == emptyingChanges) {
		return false
	}
	if c.emptiesTable(plan, backend, target) {
		plan.postponed[backend] = true
		return false
	}
	cost := c.entryCost(plan, backend, target)
	delaysTables := !required && c.pushQueue.wouldDelayTables(cost)
	if delaysTables || !c.pushQueue.hasCapacity(cost, required) {
		return false
	}
	// An ejection may be caused by a fault of this controller's own network, so it does not lower
	// the limit.
	countsAsLost := backend.State != Ready || c.warmingUp(backend, plan.now)
	if countsAsLost {
		entries.lostWeight += max(0, backend.published.max()-target.max()) / cmp.Or(backend.reducedShare, 1)
	}
	c.chargeMessages(plan, backend, target)
	c.countRemaining(plan, backend, -1)
	c.setPublished(backend, target)
	c.countRemaining(plan, backend, 1)
	entries.published = true
	return true
}

// orderChanges returns the backends whose entries are to change. Backends of a subset follow each
// other, since their changes share messages; the subset that changes most comes first, and within
// it the largest change.
func (c *Controller) orderChanges(plan *publication) (order []*backendState) {
	difference := func(backend *backendState) float64 {
		target := c.targetWeights(backend, plan.now)
		return max(math.Abs(target.subset-backend.published.subset), math.Abs(target.zone-backend.published.zone))
	}
	bySubset := make([]float64, c.subsetCount)
	for _, backend := range c.backends {
		if c.targetWeights(backend, plan.now) != backend.published {
			order = append(order, backend)
			bySubset[backend.subset] += difference(backend)
		}
	}
	slices.SortStableFunc(order, func(x, y *backendState) int {
		return cmp.Or(cmp.Compare(bySubset[y.subset], bySubset[x.subset]), x.subset-y.subset,
			cmp.Compare(difference(y), difference(x)))
	})
	return order
}

// setPublished publishes a backend's weights in its tables. With sharding it only records the
// weights, as a table then holds nothing but the owner of a shard.
func (c *Controller) setPublished(backend *backendState, target entryWeights) {
	isFirstEntry := !backend.published.any()
	changed := c.changedTables(backend, target)
	backend.published = target
	if c.sharding.enabled() {
		return
	}
	for _, table := range changed {
		c.publishEntry(backend, table, c.weightIn(target, table), isFirstEntry)
	}
}

// publishEntry publishes a backend's entry in one table, and charges each proxy that uses the
// table.
func (c *Controller) publishEntry(backend *backendState, table int, weight float64, isFirstEntry bool) {
	usesTable := func(proxy *proxyState) bool { return c.usesTable(proxy, table) }
	c.host.PublishEntry(table, backend.Backend, weight)
	c.chargeEach(1, usesTable)
	c.chargeEach(1, func(proxy *proxyState) bool {
		return isFirstEntry && proxy.firstEntryLiftsWithdrawal() && usesTable(proxy)
	})
}

// usesTable reports whether a proxy was assigned a table: that of its subset or of its zone.
func (c *Controller) usesTable(proxy *proxyState, table int) bool {
	switch {
	case !proxy.tablesAssigned:
		return false
	case table == proxy.subset:
		return proxy.missingClasses&c.sharedClasses == 0
	case table == c.zoneTable(proxy.zone):
		return proxy.missingClasses&c.zoneLocalClasses == 0
	default:
		return false
	}
}

// publishWithdrawals withdraws backends that proxies must stop using, or restores backends, at the
// proxies for which receivesWithdrawals is true. A backend is withdrawn only once it has no entry:
// before that, the withdrawal would cost each proxy with assigned tables a line too.
func (c *Controller) publishWithdrawals(plan *publication) {
	if plan.tablesReplaceWithdrawals {
		return
	}
	// The withdrawals of a round share one message to each proxy, so only the first withdrawal has
	// to pay for the overhead of the message.
	messageCost := plan.overhead + float64(len(c.classes))
	for id, backend := range c.backends {
		withdrawn := c.mustLeave(backend) && !backend.published.any()
		if withdrawn == backend.withdrawn || !c.pushQueue.hasCapacity(plan.withdrawalReceivers*(1+messageCost), true) {
			continue
		}
		messageCost = 0
		backend.withdrawn = withdrawn
		c.host.Withdraw(id, withdrawn)
		for _, proxy := range c.proxies {
			if proxy.connected && !proxy.hasAllTables() {
				proxy.heldWithdrawals++
			}
		}
		c.chargeEach(1, c.receivesWithdrawals)
	}
}
