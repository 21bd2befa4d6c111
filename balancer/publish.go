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
// or if that round left some entries unpublished. An ack does not trigger a round. round_delay.go
// states when a round that is due starts, and publication.go how it is planned.
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

// minPublishInterval is the time between two rounds of ordinary changes.
const minPublishInterval = 2 * second

// publishChanges publishes the differences from the published tables and limits, if a change is
// required or the time for ordinary changes has come. A round that starts sends both: ordinary
// entries and limits accompany the required ones.
func (c *Controller) publishChanges(now Microseconds, ordinary bool) {
	c.updateColdStarts(now)
	c.limitColdStarts(now)
	contents := c.tableContents(now)
	c.updateKeptEntries(now, contents)
	c.graceAtListing = c.computeGraceAtListing()
	c.reserveForTables(now, tableSizes{})
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
		c.roundUrgency = ordinaryMessage
		if plan.requiredLines > 0 {
			c.roundUrgency = requiredMessage
		}
		c.publishRound(plan)
		c.roundUrgency = requiredMessage
		c.noteRequired(c.planPublication(now, contents))
	case c.requiredSince > 0 && delay == delayedByReserve:
		c.awaitRequiredDeadline(now, plan.requiredLines)
	}
	c.logEmptyTables(now)
	c.reconcileShards(now)
	c.sendHeldChanges(now)
	c.syncProxies(now)
	c.awaitMessages(now)
}

// publishRound publishes as many changes as the push queue has capacity for.
func (c *Controller) publishRound(plan *publication) {
	entries := c.publishEntries(plan)
	moved := c.rebalanceSubsets(plan)
	c.publishWithdrawals(plan)
	anyLost := false
	for _, loss := range entries.losses {
		loss.scope.noteRefill(loss.weightBefore, c.publishedWeight(loss.scope), plan.now)
		anyLost = c.limitOnCapacityLoss(plan.now, loss) || anyLost
	}
	if anyLost {
		c.distributeLimits()
	}
	c.limitColdStarts(plan.now)
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
	published bool           // at least one change of an entry was published in this round
	leftOver  bool           // at least one change of an entry waits for capacity in the push queue
	losses    []capacityLoss // weight that endpoint lists took away, by scope; input of limitOnCapacityLoss
}

// publishEntries publishes required entry changes, then ordinary ones, as far as the push queue has
// capacity. Changes that would empty a table come last.
func (c *Controller) publishEntries(plan *publication) (entries entryChanges) {
	entries.losses = c.weightsBeforeRound()
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
func (c *Controller) publishIfPossible(
	plan *publication, backend *backendState, kind changeKind, entries *entryChanges,
) bool {
	target := c.targetWeights(backend, plan.now)
	required := c.changeRequired(plan, backend, target)
	postponed := plan.postponed[backend]
	if !postponed && required != (kind == requiredChanges) || postponed != (kind == emptyingChanges) {
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
	for i := range entries.losses {
		if countsAsLost {
			entries.losses[i].note(backend, target)
		}
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
