package balancer

// Plan of a round of changes: what a round would send, which of it is required, and what it costs.
// publish.go states which changes are required.

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

// planPublication sums the changes to be published, and their costs.
func (c *Controller) planPublication(now Microseconds, contents []tableContent) *publication {
	plan := &publication{
		now:       now,
		overhead:  c.pushQueue.messageOverhead(),
		contents:  contents,
		postponed: map[*backendState]bool{},
	}
	plan.messageCharged = make([]bool, len(contents))
	plan.remainingEntries = make([]int, len(contents))
	plan.targetBySubset, plan.fairWeight = c.subsetTargetWeights(now)
	plan.changesDue = c.anyLimitChanged()
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
// backend has an entry, unless proxies must stop using the backend there.
func (c *Controller) countRemaining(plan *publication, backend *backendState, number int) {
	if backend.published.subset > 0 && !c.mustVacate(&c.admission.admissionScope, backend, plan.now) {
		plan.remainingEntries[backend.subset] += number
	}
	if backend.published.zone > 0 && !c.mustVacate(c.zoneScope(backend.Zone), backend, plan.now) {
		plan.remainingEntries[c.zoneTable(backend.Zone)] += number
	}
}

// mustVacate reports whether proxies must stop using a backend in the tables of a scope, even if
// these get no other entry.
func (c *Controller) mustVacate(scope *admissionScope, backend *backendState, now Microseconds) bool {
	return c.mustLeave(backend) || c.isDeferred(scope, backend, now)
}

// emptiesTable reports whether a change of a backend's entries to their targets would take the last
// entry from a table that is to get others. Such a change waits for these, unless proxies must stop
// using the backend.
func (c *Controller) emptiesTable(plan *publication, backend *backendState, target entryWeights) bool {
	isLast := func(scope *admissionScope, table int) bool {
		mayStay := !c.mustVacate(scope, backend, plan.now)
		return mayStay && plan.remainingEntries[table] == 1 && plan.contents[table].usable > 0
	}
	fleet, zone := &c.admission.admissionScope, c.zoneScope(backend.Zone)
	emptiesSubset := backend.published.subset > 0 && target.subset == 0 && isLast(fleet, backend.subset)
	emptiesZone := backend.published.zone > 0 && target.zone == 0 && isLast(zone, c.zoneTable(backend.Zone))
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
