package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Publication: table entries that differ from their target weight (weight.go) go out to all proxies of their tables, in
// rounds.
//
// Required changes are entries of backends that must be left (drain.go), their withdrawals, lower weights of backends that
// are warming up, the first entries of empty tables, backends for a short subset (subset.go), and a lowered admission limit
// (admission.go). All others are ordinary.
//
// A round is due with each endpoint list and each tick where something is required, and with a tick once
// minPublishInterval has passed since the last round that published anything, or some of its entries were left over. It is
// not tried again with an ack. A round that is due starts (mayPublish) only if
//   - enough time has passed since any change of an earlier clock time went to several proxies, where the settings limit
//     messages: the drain grace that was left at listing (computeGraceAtListing), less the way and a tick, over
//     publicationsPerGrace, or the message window over its messages if that is shorter;
//   - no more than nearlyEmptyShare of the push queue's capacity is waiting, or all that is required fits into it;
//   - each proxy with our tables may be sent one more message (mayPush).
//
// Then go, in this order, as far as the push queue has capacity (pushqueue.go):
//  1. required entries, subset by subset, the one that changes most first, and in it the largest change first;
//  2. ordinary entries in the same order, since they share these messages, up to ordinaryShare of the capacity, and none
//     that would make the tables of waiting proxies late (sync.go);
//  3. entries of backends that move to a short subset;
//  4. withdrawals, for proxies that may use backends which our tables do not give them;
//  5. limits that have changed, whatever capacity is left.
//
// What is left over goes with a later round, so that changes which do not fit go in pieces.
//
// Inputs are weights, and the costs of what goes out, in lines (pushqueue.go).

const (
	// minPublishInterval is the time between two rounds of ordinary changes.
	minPublishInterval = 2 * second
	// publicationsPerGrace is how many rounds of required changes the drain grace bears.
	publicationsPerGrace = 2
)

// publication is what a round of changes rests on. It lives for one call of publishChanges.
type publication struct {
	now         Microseconds
	overhead    Lines // of a message
	tablesEmpty bool  // no backend has an entry

	connected          float64   // proxies
	hearingWithdrawals float64   // connected proxies that hear of withdrawals, see hearsWithdrawals
	proxiesBySubset    []float64 // proxies with our tables
	keepOffBySubset    []float64 // of these, those for which a backend's first entry costs a line more

	targetBySubset []float64 // target weight by subset
	fairWeight     float64   // of a subset
	messagePaid    []bool    // by subset: its proxies are sent a message in any case

	changesDue     bool  // some entry or limit is not as it should be
	requiredLines  Lines // what required changes cost
	withdrawalsDue float64
	tablesSuffice  bool // complete tables for those hearing withdrawals come in time, at a cost that makes withdrawals needless
}

// publishChanges publishes what differs from the tables that stand, if something is required or it is time for ordinary
// changes. A round that begins takes both: ordinary entries and limits go along with required ones.
func (c *Controller) publishChanges(now Microseconds, ordinary bool) {
	c.graceAtListing = c.computeGraceAtListing()
	c.reserveForTables(now, map[int]float64{})
	plan := c.planPublication(now)
	goes := (ordinary || plan.requiredLines > 0) && c.mayPublish(now, plan.requiredLines)
	ordinaryWaits := ordinary && plan.changesDue && !c.pushQueue.nearlyEmpty()
	requiredWaits := plan.requiredLines > 0 && c.pushQueue.queuedLines+plan.requiredLines > c.pushQueue.capacity()
	c.queueCongested = !goes && (ordinaryWaits || requiredWaits)
	if goes {
		c.publishRound(plan)
	}
	c.reconcileShards(now)
	c.syncProxies(now)
}

// mayPublish tells whether a round of changes may start now, with so many lines that are required, by the conditions in
// the header of this file.
func (c *Controller) mayPublish(now Microseconds, required Lines) bool {
	queue := &c.pushQueue
	interval := min((c.graceAtListing-queue.MaxLatency-tickInterval)/publicationsPerGrace,
		queue.MessageWindow/int64(max(queue.MaxMessages, 1)))
	tooSoon := queue.MaxMessages > 0 && now > c.changedAt && now-c.changedAt < interval
	fits := required > 0 && queue.queuedLines+required <= queue.capacity()
	if tooSoon || !queue.nearlyEmpty() && !fits {
		return false
	}
	return !slices.ContainsFunc(c.proxies, func(proxy *proxyState) bool {
		return proxy.hasOurTables && !queue.mayPush(proxy, now, required > 0)
	})
}

// planPublication sums up what is to be published, and what that costs.
func (c *Controller) planPublication(now Microseconds) *publication {
	plan := &publication{now: now, overhead: c.pushQueue.messageOverhead(), messagePaid: make([]bool, c.subsetCount)}
	plan.tablesEmpty = !slices.ContainsFunc(c.backends, func(backend *backendState) bool { return backend.published > 0 })
	plan.targetBySubset, plan.fairWeight = c.subsetTargetWeights(now)
	plan.changesDue = slices.ContainsFunc(c.admission.priorityOrder, c.admission.limitChanged)
	c.countProxies(plan)
	c.sumRequired(plan)
	tableCost := plan.overhead + float64(len(c.backends)/c.subsetCount)
	withdrawalCost := plan.overhead + plan.withdrawalsDue
	plan.tablesSuffice = plan.hearingWithdrawals > 0 && !c.sharding.enabled() &&
		c.tablesSuffice(tableCost, withdrawalCost, int(plan.hearingWithdrawals))
	if plan.withdrawalsDue > 0 && !plan.tablesSuffice {
		plan.requiredLines += plan.withdrawalsDue + plan.hearingWithdrawals*withdrawalCost
	}
	if c.admission.limitLowered { // all that is let in meanwhile adds to a queue
		plan.requiredLines += (plan.overhead + 1) * plan.connected
	}
	return plan
}

// countProxies counts the proxies that changes go to.
func (c *Controller) countProxies(plan *publication) {
	plan.proxiesBySubset = make([]float64, c.subsetCount)
	plan.keepOffBySubset = make([]float64, c.subsetCount)
	for _, proxy := range c.proxies {
		if proxy.hasOurTables {
			plan.proxiesBySubset[proxy.subset]++
			if proxy.mayKeepOff() {
				plan.keepOffBySubset[proxy.subset]++
			}
		}
		if proxy.connected {
			plan.connected++
			if c.hearsWithdrawals(proxy) {
				plan.hearingWithdrawals++
			}
		}
	}
}

// hearsWithdrawals tells whether a proxy may use backends that our tables do not give it: those of another controller's
// tables, or owners that it reads from the store of shards.
func (c *Controller) hearsWithdrawals(proxy *proxyState) bool {
	return !proxy.hasOurTables || c.sharding.enabled()
}

// sumRequired sums the costs of required changes of entries.
func (c *Controller) sumRequired(plan *publication) {
	for subset, weight := range plan.targetBySubset {
		if weight < shortSubsetShare*plan.fairWeight {
			plan.requiredLines++
			plan.requiredLines += plan.proxiesBySubset[subset] * plan.overhead
			plan.messagePaid[subset] = true
		}
	}
	for _, backend := range c.backends {
		weight := c.targetWeight(backend, plan.now)
		if weight != backend.published {
			plan.changesDue = true
		}
		if c.changeRequired(plan, backend, weight) {
			plan.requiredLines += max(plan.entryCost(backend), 1)
			plan.messagePaid[backend.subset] = true
		}
		if backend.withdrawn != c.mustLeave(backend) {
			plan.withdrawalsDue++
		}
	}
}

// changeRequired tells whether a rule needs a backend's entry to change to a weight.
func (c *Controller) changeRequired(plan *publication, backend *backendState, weight float64) bool {
	lowers := weight < backend.published && (c.warmingUp(backend, plan.now) || c.mustLeave(backend))
	fillsEmptyTable := weight > 0 && plan.tablesEmpty
	return lowers || fillsEmptyTable
}

// entryCost is what a change of a backend's entry costs: it goes to the proxies of its subset, each in one message with
// all else that goes to it now.
func (plan *publication) entryCost(backend *backendState) Lines {
	cost := plan.proxiesBySubset[backend.subset]
	if !plan.messagePaid[backend.subset] {
		cost *= 1 + plan.overhead
	}
	if backend.published == 0 {
		cost += plan.keepOffBySubset[backend.subset]
	}
	return cost
}

// publishRound publishes as much as the channel takes.
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
		if entries.leftOver { // the rest goes as soon as there is room
			c.publishedAt = 0
		}
	}
}

// entryChanges is what became of a round's entries.
type entryChanges struct {
	published  bool    // some were
	leftOver   bool    // some did not fit
	lostWeight float64 // what the list took of the unreduced published weight, for limitOnCapacityLoss
}

// publishEntries publishes required changes, then others, as the channel takes them.
func (c *Controller) publishEntries(plan *publication) (entries entryChanges) {
	order := c.orderChanges(plan)
	clear(plan.messagePaid)
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
			// An ejection may be our own network's fault, so it does not lower the limit.
			countsAsLost := backend.State != Ready || c.warmingUp(backend, plan.now)
			if countsAsLost {
				entries.lostWeight += max(0, backend.published-weight) / cmp.Or(backend.reducedShare, 1)
			}
			c.setPublished(backend, weight)
			entries.published = true
			plan.messagePaid[backend.subset] = true
			plan.tablesEmpty = plan.tablesEmpty && weight == 0
		}
	}
	return entries
}

// orderChanges is the backends whose entries are to change: subset by subset, as these share messages, where most
// changes first.
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

// setPublished publishes a backend's weight in its tables. Where there are shards, the owner of a shard is its table.
func (c *Controller) setPublished(backend *backendState, weight float64) {
	entering := backend.published == 0
	backend.published = weight
	if c.sharding.enabled() {
		return
	}
	for table := range c.zoneTable(backend.Zone) + 1 {
		if c.inTable(backend, table) {
			c.publishEntry(backend, table, weight, entering)
		}
	}
}

// publishEntry publishes a backend's entry in one table.
func (c *Controller) publishEntry(backend *backendState, table int, weight float64, entering bool) {
	uses := func(proxy *proxyState) bool {
		return proxy.hasOurTables && (table == proxy.subset || table == c.zoneTable(proxy.zone))
	}
	c.host.PublishEntry(table, backend.Backend, weight)
	c.chargeEach(1, uses)
	c.chargeEach(1, func(proxy *proxyState) bool { return entering && proxy.mayKeepOff() && uses(proxy) })
}

// publishWithdrawals tells proxies that may hold tables of others which backends must be left, once these have no entry:
// as long as one stands, a withdrawal would cost each proxy with our tables a line too.
func (c *Controller) publishWithdrawals(plan *publication) {
	if plan.tablesSuffice {
		return
	}
	message := plan.overhead + float64(len(c.classes)) // for the first withdrawal of the round
	for id, backend := range c.backends {
		withdrawn := c.mustLeave(backend) && backend.published == 0
		if withdrawn == backend.withdrawn || !c.pushQueue.hasCapacity(plan.hearingWithdrawals*(1+message), true) {
			continue
		}
		message = 0
		backend.withdrawn = withdrawn
		c.host.Withdraw(id, withdrawn)
		for _, proxy := range c.proxies {
			if proxy.connected && !proxy.hasOurTables {
				proxy.heldWithdrawals++
			}
		}
		c.chargeEach(1, c.hearsWithdrawals)
	}
}
