package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Publication: table entries that differ from their target weight (weight.go) go out to all proxies of their tables.
//
// Required changes go at once: entries of backends that must be left (drain.go), lower weights of backends that are
// warming up, the first entries of empty tables, backends for a short subset (subset.go), and a cut of the admission
// limit (admission.go). Where they do not fit into the channel, they go in pieces. The rest goes every 2 s at most,
// subset by subset, those that change most first, within half the capacity; what is left over goes as soon as there is
// room, but nothing that would make the tables of waiting proxies late (sync.go).
//
// Withdrawals follow the entries, for proxies that may hold tables of other controllers.
//
// Inputs are weights, and the costs of what goes out, in lines (pushqueue.go).

// minPublishInterval is the time between two rounds of ordinary changes.
const minPublishInterval = 2 * second

// publication is what a round of changes rests on. It lives for one call of publishChanges.
type publication struct {
	now         Microseconds
	overhead    Lines // of a message
	tablesEmpty bool  // no backend has an entry

	connected        float64   // proxies
	outsiders        float64   // connected proxies that withdrawals are told to: with other tables than ours, or with shards
	assignedBySubset []float64 // proxies with our tables
	keepOffBySubset  []float64 // of these, those for which a backend's first entry costs a line more

	subsetWeights []float64 // target weight by subset
	fairWeight    float64   // of a subset
	messagePaid   []bool    // by subset: its proxies are sent a message anyhow

	changesDue     bool  // some entry or limit is not as it should be
	requiredLines  Lines // what required changes cost
	withdrawalsDue float64
	tablesSuffice  bool // outsiders are told of withdrawals by their tables
}

// publishChanges publishes what differs from the tables that stand: what is required, and ordinary changes too if it is
// their time.
func (c *Controller) publishChanges(now Microseconds, ordinary bool) {
	c.remainingGrace = c.drainGraceLeft()
	c.reserveForTables(now, map[int]float64{})
	p := c.planPublication(now)
	goes := (ordinary || p.requiredLines > 0) && c.mayPublish(now, p.requiredLines)
	ordinaryWaits := ordinary && p.changesDue && !c.queue.drained()
	requiredWaits := p.requiredLines > 0 && c.queue.queuedLines+p.requiredLines > c.queue.capacity()
	c.queueCongested = !goes && (ordinaryWaits || requiredWaits)
	if goes {
		c.publishRound(p)
	}
	c.reconcileShards(now)
	c.syncProxies(now)
}

// planPublication sums up what is to be published, and what that costs.
func (c *Controller) planPublication(now Microseconds) *publication {
	p := &publication{now: now, overhead: c.queue.messageOverhead(), messagePaid: make([]bool, c.subsets)}
	p.tablesEmpty = !slices.ContainsFunc(c.backends, func(backend *backendState) bool { return backend.published > 0 })
	p.subsetWeights, p.fairWeight = c.subsetTargetWeights(now)
	p.changesDue = slices.ContainsFunc(c.admission.priorityOrder, c.admission.limitChanged)
	c.countProxies(p)
	c.sumRequired(p)
	tableCost := p.overhead + float64(len(c.backends)/c.subsets)
	withdrawalCost := p.overhead + p.withdrawalsDue
	p.tablesSuffice = p.outsiders > 0 && !c.sharding.enabled() &&
		c.tablesSuffice(tableCost, withdrawalCost, int(p.outsiders))
	if p.withdrawalsDue > 0 && !p.tablesSuffice {
		p.requiredLines += p.withdrawalsDue + p.outsiders*withdrawalCost
	}
	if c.admission.limitLowered { // all that is let in meanwhile adds to a queue
		p.requiredLines += (p.overhead + 1) * p.connected
	}
	return p
}

// countProxies counts the proxies that changes go to.
func (c *Controller) countProxies(p *publication) {
	p.assignedBySubset = make([]float64, c.subsets)
	p.keepOffBySubset = make([]float64, c.subsets)
	for _, proxy := range c.proxies {
		if proxy.assigned {
			p.assignedBySubset[proxy.subset]++
			if proxy.mayKeepOff() {
				p.keepOffBySubset[proxy.subset]++
			}
		}
		if proxy.connected {
			p.connected++
			if c.hearsWithdrawals(proxy) {
				p.outsiders++
			}
		}
	}
}

// hearsWithdrawals tells whether a proxy may use backends that our tables do not give it: those of another controller's
// tables, or owners that it reads from the store of shards.
func (c *Controller) hearsWithdrawals(proxy *proxyState) bool {
	return !proxy.assigned || c.sharding.enabled()
}

// sumRequired sums the costs of required changes of entries.
func (c *Controller) sumRequired(p *publication) {
	for subset, weight := range p.subsetWeights {
		if weight < shortSubsetShare*p.fairWeight {
			p.requiredLines++
			p.requiredLines += p.assignedBySubset[subset] * p.overhead
			p.messagePaid[subset] = true
		}
	}
	for _, backend := range c.backends {
		weight := c.targetWeight(backend, p.now)
		if weight != backend.published {
			p.changesDue = true
		}
		if c.changeRequired(p, backend, weight) {
			p.requiredLines += max(p.entryCost(backend), 1)
			p.messagePaid[backend.subset] = true
		}
		if backend.withdrawn != c.mustLeave(backend) {
			p.withdrawalsDue++
		}
	}
}

// changeRequired tells whether a rule needs a backend's entry to change to a weight.
func (c *Controller) changeRequired(p *publication, backend *backendState, weight float64) bool {
	lowers := weight < backend.published && (c.warmingUp(backend, p.now) || c.mustLeave(backend))
	fillsEmptyTable := weight > 0 && p.tablesEmpty
	return lowers || fillsEmptyTable
}

// entryCost is what a change of a backend's entry costs: the proxies of its subset hear of it, each in one message with
// all else that goes to it now.
func (p *publication) entryCost(backend *backendState) Lines {
	cost := p.assignedBySubset[backend.subset]
	if !p.messagePaid[backend.subset] {
		cost *= 1 + p.overhead
	}
	if backend.published == 0 {
		cost += p.keepOffBySubset[backend.subset]
	}
	return cost
}

// publishRound publishes as much as the channel takes.
func (c *Controller) publishRound(p *publication) {
	capacity := 0.
	for _, backend := range c.backends {
		capacity += backend.publishedCapacity()
	}
	entries := c.publishEntries(p)
	moved := c.rebalanceSubsets(p)
	c.publishWithdrawals(p)
	c.limitOnCapacityLoss(p.now, capacity, entries.capacityLost)
	c.admission.limitLowered = false
	limited := c.publishLimits()
	if limited || moved || entries.published {
		c.publishedAt = p.now
		if entries.leftOver { // the rest goes as soon as there is room
			c.publishedAt = 0
		}
	}
}

// entryChanges is what became of a round's entries.
type entryChanges struct {
	published    bool    // some were
	leftOver     bool    // some did not fit
	capacityLost float64 // what the list took of the published capacity
}

// publishEntries publishes required changes, then others, as the channel takes them.
func (c *Controller) publishEntries(p *publication) (entries entryChanges) {
	order := c.orderChanges(p)
	clear(p.messagePaid)
	for _, required := range []bool{true, false} {
		for _, backend := range order {
			weight := c.targetWeight(backend, p.now)
			if weight == backend.published || c.changeRequired(p, backend, weight) != required {
				continue
			}
			cost := p.entryCost(backend)
			delaysTables := !required && c.queue.wouldDelayTables(cost)
			if delaysTables || !c.queue.hasCapacity(cost, required) {
				entries.leftOver = true
				continue
			}
			// What our ejections take is only what our own proxies cannot reach.
			if takenByList := backend.State != Ready || c.warmingUp(backend, p.now); takenByList {
				entries.capacityLost += max(0, backend.published-weight) / cmp.Or(backend.reducedTo, 1)
			}
			c.setPublished(backend, weight)
			entries.published = true
			p.messagePaid[backend.subset] = true
			p.tablesEmpty = p.tablesEmpty && weight == 0
		}
	}
	return entries
}

// orderChanges is the backends whose entries are to change: subset by subset, as these share messages, where most
// changes first.
func (c *Controller) orderChanges(p *publication) (order []*backendState) {
	difference := func(backend *backendState) float64 {
		return math.Abs(c.targetWeight(backend, p.now) - backend.published)
	}
	bySubset := make([]float64, c.subsets)
	for _, backend := range c.backends {
		if c.targetWeight(backend, p.now) != backend.published {
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
		return proxy.assigned && (table == proxy.subset || table == c.zoneTable(proxy.zone))
	}
	c.host.PublishEntry(table, backend.Backend, weight)
	c.chargeEach(1, uses)
	c.chargeEach(1, func(proxy *proxyState) bool { return entering && proxy.mayKeepOff() && uses(proxy) })
}

// publishWithdrawals tells proxies that may hold tables of others which backends must be left, once these have no entry:
// as long as one stands, a withdrawal would cost each assigned proxy a line too.
func (c *Controller) publishWithdrawals(p *publication) {
	if p.tablesSuffice {
		return
	}
	message := p.overhead + float64(len(c.classes)) // for the first withdrawal of the round
	for id, backend := range c.backends {
		withdrawn := c.mustLeave(backend) && backend.published == 0
		if withdrawn == backend.withdrawn || !c.queue.hasCapacity(p.outsiders*(1+message), true) {
			continue
		}
		message = 0
		backend.withdrawn = withdrawn
		c.host.Withdraw(id, withdrawn)
		for _, proxy := range c.proxies {
			if proxy.connected && !proxy.assigned {
				proxy.heldWithdrawals++
			}
		}
		c.chargeEach(1, c.hearsWithdrawals)
	}
}
