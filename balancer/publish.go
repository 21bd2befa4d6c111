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
//   - each proxy with assigned tables may be sent one more message (mayPush).
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
	now         Microseconds
	overhead    Lines // cost in lines of a message to one proxy, apart from the changes in the message
	tablesEmpty bool  // no backend has an entry in any table

	connected           float64   // number of connected proxies
	withdrawalReceivers float64   // number of connected proxies for which receivesWithdrawals is true
	proxiesBySubset     []float64 // number of proxies with assigned tables, by subset
	// liftingProxiesBySubset is the number of proxies with assigned tables for which
	// firstEntryLiftsWithdrawal is true, by subset. The first entry of a backend costs one more
	// line at each such proxy.
	liftingProxiesBySubset []float64

	targetBySubset []float64 // target weight of each subset
	fairWeight     float64   // mean target weight of a subset
	// messageCharged is set for a subset once the cost of one of its changes includes the overhead
	// of the messages to the proxies of the subset. Further changes of the subset share these
	// messages.
	messageCharged []bool

	changesDue     bool    // at least one entry or limit differs from its target
	requiredLines  Lines   // cost of all required changes
	withdrawalsDue float64 // number of backends that are to be withdrawn or restored
	// tablesReplaceWithdrawals is set if complete tables for all withdrawal receivers arrive in
	// time and cost so little that withdrawals are not sent, see
	// Controller.tablesReplaceWithdrawals.
	tablesReplaceWithdrawals bool
}

// publishChanges publishes the differences from the published tables and limits, if a change is
// required or the time for ordinary changes has come. A round that starts sends both: ordinary
// entries and limits accompany the required ones.
func (c *Controller) publishChanges(now Microseconds, ordinary bool) {
	c.graceAtListing = c.computeGraceAtListing()
	c.reserveForTables(now, map[int]float64{})
	plan := c.planPublication(now)
	delay := c.roundDelay(now, plan.requiredLines)
	roundStarts := (ordinary || plan.requiredLines > 0) && delay == notDelayed
	ordinaryWaits := ordinary && plan.changesDue && !c.pushQueue.nearlyEmpty()
	requiredWaits := plan.requiredLines > 0 && c.pushQueue.queuedLines+plan.requiredLines > c.pushQueue.capacity()
	c.queueCongested = !roundStarts && (ordinaryWaits || requiredWaits)
	c.logRequiredChanges(plan, delay)
	if roundStarts {
		c.publishRound(plan)
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
	delayedByMessages roundDelay = "a proxy may be sent no more messages within the message window"
)

// logRequiredChanges logs why required changes wait, unless it is for the spacing of rounds alone,
// and how long they have waited if the round that sends them starts too late for the drain grace.
func (c *Controller) logRequiredChanges(plan *publication, delay roundDelay) {
	if plan.requiredLines == 0 {
		c.requiredSince, c.loggedDelay = 0, notDelayed
		return
	}
	if c.requiredSince == 0 {
		c.requiredSince = plan.now
	}
	waited := float64(plan.now-c.requiredSince) / float64(second)
	allowed := float64(c.graceAtListing-c.pushQueue.MaxLatency) / float64(second)
	switch {
	case delay == notDelayed && waited > max(allowed, 0):
		c.logf(-1, "required changes sent after %.2f s, %.2f s allowed", waited, allowed)
	case delay != notDelayed && delay != delayedBySpacing && delay != c.loggedDelay:
		c.logf(-1, "required changes wait: %s", delay)
		c.loggedDelay = delay
	}
	if delay == notDelayed {
		c.requiredSince, c.loggedDelay = 0, notDelayed
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
	messagesSpent := func(proxy *proxyState) bool {
		return proxy.tablesAssigned && !queue.mayPush(proxy, now, required > 0)
	}
	switch {
	case tooSoon:
		return delayedBySpacing
	case !queue.nearlyEmpty() && !fits:
		return delayedByQueue
	case slices.ContainsFunc(c.proxies, messagesSpent):
		return delayedByMessages
	default:
		return notDelayed
	}
}

// planPublication sums the changes to be published, and their costs.
func (c *Controller) planPublication(now Microseconds) *publication {
	plan := &publication{now: now, overhead: c.pushQueue.messageOverhead(), messageCharged: make([]bool, c.subsetCount)}
	plan.tablesEmpty = !slices.ContainsFunc(c.backends, func(backend *backendState) bool { return backend.published > 0 })
	plan.targetBySubset, plan.fairWeight = c.subsetTargetWeights(now)
	plan.changesDue = slices.ContainsFunc(c.admission.priorityOrder, c.admission.limitChanged)
	c.countProxies(plan)
	c.sumRequired(plan)
	tableCost := plan.overhead + float64(len(c.backends)/c.subsetCount)
	withdrawalCost := plan.overhead + plan.withdrawalsDue
	plan.tablesReplaceWithdrawals = plan.withdrawalReceivers > 0 && !c.sharding.enabled() &&
		c.tablesReplaceWithdrawals(tableCost, withdrawalCost, int(plan.withdrawalReceivers))
	if plan.withdrawalsDue > 0 && !plan.tablesReplaceWithdrawals {
		plan.requiredLines += plan.withdrawalsDue + plan.withdrawalReceivers*withdrawalCost
	}
	// A lowered limit is required: requests that are admitted until it arrives lengthen the queues.
	if c.admission.limitLowered {
		plan.requiredLines += (plan.overhead + 1) * plan.connected
	}
	return plan
}

// countProxies counts the proxies that changes are sent to.
func (c *Controller) countProxies(plan *publication) {
	plan.proxiesBySubset = make([]float64, c.subsetCount)
	plan.liftingProxiesBySubset = make([]float64, c.subsetCount)
	for _, proxy := range c.proxies {
		if proxy.tablesAssigned {
			plan.proxiesBySubset[proxy.subset]++
			if proxy.firstEntryLiftsWithdrawal() {
				plan.liftingProxiesBySubset[proxy.subset]++
			}
		}
		if proxy.connected {
			plan.connected++
			if c.receivesWithdrawals(proxy) {
				plan.withdrawalReceivers++
			}
		}
	}
}

// receivesWithdrawals reports whether a proxy may use backends that the tables of this controller
// do not give it: backends from another controller's tables, or owners that it reads from the store
// of shards.
func (c *Controller) receivesWithdrawals(proxy *proxyState) bool {
	return !proxy.tablesAssigned || c.sharding.enabled()
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
		weight := c.targetWeight(backend, plan.now)
		if weight != backend.published {
			plan.changesDue = true
		}
		if c.changeRequired(plan, backend, weight) {
			plan.requiredLines += max(plan.entryCost(backend), 1)
			plan.messageCharged[backend.subset] = true
		}
		if backend.withdrawn != c.mustLeave(backend) {
			plan.withdrawalsDue++
		}
	}
}

// changeRequired reports whether the change of a backend's entry to a weight is a required change.
func (c *Controller) changeRequired(plan *publication, backend *backendState, weight float64) bool {
	lowers := weight < backend.published && (c.warmingUp(backend, plan.now) || c.mustLeave(backend))
	fillsEmptyTable := weight > 0 && plan.tablesEmpty
	return lowers || fillsEmptyTable
}

// entryCost returns the cost of a change of a backend's entry. The change is sent to the proxies of
// the backend's subset, to each in one message with all other changes of this round.
func (plan *publication) entryCost(backend *backendState) Lines {
	cost := plan.proxiesBySubset[backend.subset]
	if !plan.messageCharged[backend.subset] {
		cost *= 1 + plan.overhead
	}
	if backend.published == 0 {
		cost += plan.liftingProxiesBySubset[backend.subset]
	}
	return cost
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
		if entries.leftOver { // a publishedAt of 0 makes a round due at the next tick, for the entries left over
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
// capacity.
func (c *Controller) publishEntries(plan *publication) (entries entryChanges) {
	order := c.orderChanges(plan)
	clear(plan.messageCharged)
	for _, required := range []bool{true, false} {
		for _, backend := range order {
			weight := c.targetWeight(backend, plan.now)
			if weight == backend.published || c.changeRequired(plan, backend, weight) != required {
				continue
			}
			cost := plan.entryCost(backend)
			delaysTables := !required && c.pushQueue.wouldDelayTables(cost)
			if delaysTables || !c.pushQueue.hasCapacity(cost, required) {
				entries.leftOver = true
				continue
			}
			// An ejection may be caused by a fault of this controller's own network, so it does not
			// lower the limit.
			countsAsLost := backend.State != Ready || c.warmingUp(backend, plan.now)
			if countsAsLost {
				entries.lostWeight += max(0, backend.published-weight) / cmp.Or(backend.reducedShare, 1)
			}
			c.setPublished(backend, weight)
			entries.published = true
			plan.messageCharged[backend.subset] = true
			plan.tablesEmpty = plan.tablesEmpty && weight == 0
		}
	}
	return entries
}

// orderChanges returns the backends whose entries are to change. Backends of a subset follow each
// other, since their changes share messages; the subset that changes most comes first, and within
// it the largest change.
func (c *Controller) orderChanges(plan *publication) (order []*backendState) {
	difference := func(backend *backendState) float64 {
		return math.Abs(c.targetWeight(backend, plan.now) - backend.published)
	}
	bySubset := make([]float64, c.subsetCount)
	for _, backend := range c.backends {
		if c.targetWeight(backend, plan.now) != backend.published {
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

// setPublished publishes a backend's weight in its tables. With sharding it only records the
// weight, as a table then holds nothing but the owner of a shard.
func (c *Controller) setPublished(backend *backendState, weight float64) {
	isFirstEntry := backend.published == 0
	backend.published = weight
	if c.sharding.enabled() {
		return
	}
	for table := range c.zoneTable(backend.Zone) + 1 {
		if c.inTable(backend, table) {
			c.publishEntry(backend, table, weight, isFirstEntry)
		}
	}
}

// publishEntry publishes a backend's entry in one table, and charges each proxy that uses the
// table.
func (c *Controller) publishEntry(backend *backendState, table int, weight float64, isFirstEntry bool) {
	usesTable := func(proxy *proxyState) bool {
		return proxy.tablesAssigned && (table == proxy.subset || table == c.zoneTable(proxy.zone))
	}
	c.host.PublishEntry(table, backend.Backend, weight)
	c.chargeEach(1, usesTable)
	c.chargeEach(1, func(proxy *proxyState) bool {
		return isFirstEntry && proxy.firstEntryLiftsWithdrawal() && usesTable(proxy)
	})
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
		withdrawn := c.mustLeave(backend) && backend.published == 0
		if withdrawn == backend.withdrawn || !c.pushQueue.hasCapacity(plan.withdrawalReceivers*(1+messageCost), true) {
			continue
		}
		messageCost = 0
		backend.withdrawn = withdrawn
		c.host.Withdraw(id, withdrawn)
		for _, proxy := range c.proxies {
			if proxy.connected && !proxy.tablesAssigned {
				proxy.heldWithdrawals++
			}
		}
		c.chargeEach(1, c.receivesWithdrawals)
	}
}
