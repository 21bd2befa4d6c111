package balancer

import (
	"math"
	"slices"
)

// Subsets: the backends may be parted into subsets, each with a table and a part of the proxies. A proxy is in the
// subset of its index, a new backend in the one with the least weight.
//
// One subset, with one table for all, is best where it can be had. There are more where
//   - proxies outnumber the connections that the smallest backend takes: as many subsets as that asks for;
//   - the tables of all proxies, connected to one controller, would not leave the channel within tablesShareOfGrace of the
//     drain grace: as many as make them fit, and if connections ask for subsets as well, as many as leave half of that
//     time for drains.
//
// A subset that falls short of its share of the weight is given backends of the heaviest one, as its proxies would
// overfill the few that are left. That counts as required (publish.go).
//
// Inputs are PushChannel.Proxies, MinBackendConnections and LinesPerSecond (lines), RuleLimits.DrainGrace
// (microseconds) and listed weights. The number of subsets is decided once, with the first complete list.

const (
	// maxProxiesPerConnection is how many proxies there may be for each connection of the smallest backend without
	// subsets: up to there many are quiet.
	maxProxiesPerConnection = 1.6
	// minSubsetSize is how many backends a subset has at least.
	minSubsetSize = 5
	// tableShareWithSubsets is the share of tablesShareOfGrace (sync.go) that tables may take where connections ask for
	// subsets as well.
	tableShareWithSubsets = 1. / 2
	// shortSubsetShare is the share of its fair weight below which a subset is given backends of the heaviest ...
	shortSubsetShare = 0.5
	// ... until it has restoredSubsetShare.
	restoredSubsetShare = 0.8
)

// chooseSubsetCount decides how many subsets there are, and puts the proxies that came before the list into them.
func (c *Controller) chooseSubsetCount(backends int) {
	proxies := float64(c.pushQueue.Proxies)
	subsets, tableShare := 1., 1.
	if connections := c.pushQueue.MinBackendConnections; connections > 0 {
		perConnection := proxies / float64(connections)
		if perConnection > maxProxiesPerConnection {
			subsets = math.Ceil(perConnection)
			tableShare = tableShareWithSubsets
		}
	}
	overhead := c.pushQueue.messageOverhead()
	sendable := tablesShareOfGrace * c.pushQueue.linesSentIn(c.rules.DrainGrace)
	allTables := proxies * (overhead + float64(backends)/subsets)
	if !c.sharding.enabled() && allTables > sendable {
		tableSize := tableShare*sendable/proxies - overhead
		subsets = math.Ceil(float64(backends) / max(1, tableSize))
	}
	// A subset without a proxy would serve nobody.
	c.subsetCount = max(1, min(int(subsets), backends/minSubsetSize, c.pushQueue.Proxies))

	for id, proxy := range c.proxies {
		proxy.subset = id % c.subsetCount
	}
}

// subsetWeights is the listed weight of the ready backends by subset, in all and by zone. A nil one counts nothing.
type subsetWeights struct {
	all    []float64
	byZone map[int][]float64
}

func (c *Controller) listedSubsetWeights() *subsetWeights {
	weights := &subsetWeights{all: make([]float64, c.subsetCount), byZone: map[int][]float64{}}
	for _, backend := range c.backends {
		weights.add(backend)
	}
	return weights
}

func (w *subsetWeights) add(backend *backendState)    { w.change(backend, backend.Weight) }
func (w *subsetWeights) remove(backend *backendState) { w.change(backend, -backend.Weight) }

func (w *subsetWeights) change(backend *backendState, weight float64) {
	if w == nil || !backend.listed || backend.State != Ready {
		return
	}
	if w.byZone[backend.Zone] == nil {
		w.byZone[backend.Zone] = make([]float64, len(w.all))
	}
	w.all[backend.subset] += weight
	w.byZone[backend.Zone][backend.subset] += weight
}

// lightest is the subset with the least weight, that of a zone counted twice, so that a lost zone takes as much of each.
func (w *subsetWeights) lightest(zone int) int {
	lightest := 0
	for subset := range w.all {
		if w.countingTwice(zone, subset) < w.countingTwice(zone, lightest) {
			lightest = subset
		}
	}
	return lightest
}

func (w *subsetWeights) countingTwice(zone, subset int) float64 {
	if inZone := w.byZone[zone]; inZone != nil {
		return w.all[subset] + inZone[subset]
	}
	return w.all[subset]
}

// subsetTargetWeights is the weight that each subset may carry now, and a fair share of it.
func (c *Controller) subsetTargetWeights(now Microseconds) (weights []float64, fair float64) {
	weights = make([]float64, c.subsetCount)
	for _, backend := range c.backends {
		weight := c.targetWeight(backend, now)
		weights[backend.subset] += weight
		fair += weight / float64(c.subsetCount)
	}
	return weights, fair
}

// rebalanceSubsets gives short subsets backends of the heaviest one, as far as there is capacity. It tells whether it
// moved any.
func (c *Controller) rebalanceSubsets(plan *publication) (moved bool) {
	for to := range plan.targetBySubset {
		if plan.targetBySubset[to] >= shortSubsetShare*plan.fairWeight {
			continue
		}
		for plan.targetBySubset[to] < restoredSubsetShare*plan.fairWeight && c.moveToSubset(to, plan) {
			moved = true
		}
	}
	return moved
}

// moveToSubset moves one backend of the heaviest subset, and tells whether it could. Never one that is warming up, or
// has a change due: it would be new to twice as many proxies.
func (c *Controller) moveToSubset(to int, plan *publication) bool {
	from := slices.Index(plan.targetBySubset, slices.Max(plan.targetBySubset))
	id := slices.IndexFunc(c.backends, func(backend *backendState) bool {
		settled := backend.published > 0 && c.targetWeight(backend, plan.now) == backend.published
		return backend.subset == from && settled && !c.warmingUp(backend, plan.now)
	})
	cost := (plan.proxiesBySubset[from] + plan.proxiesBySubset[to]) * (c.pushQueue.messageOverhead() + 1)
	if id < 0 || plan.targetBySubset[from] <= plan.fairWeight || !c.pushQueue.hasCapacity(cost, true) {
		return false
	}
	backend := c.backends[id]
	c.logf(id, "moves to subset %d, which has %.0f%% of its fair weight", to, 100*plan.targetBySubset[to]/plan.fairWeight)
	c.publishEntry(backend, from, 0, false)
	backend.subset = to
	c.publishEntry(backend, to, backend.published, true)
	plan.targetBySubset[from] -= backend.published
	plan.targetBySubset[to] += backend.published
	return true
}

// eachTable calls do with each table that a proxy of a subset and zone uses, and with the classes that use it there.
func (c *Controller) eachTable(subset, zone int, do func(table int, classes uint16)) {
	if c.sharedClasses != 0 {
		do(subset, c.sharedClasses)
	}
	if c.zoneLocalClasses != 0 {
		do(c.zoneTable(zone), c.zoneLocalClasses)
	}
}

// zoneTable is the table of a zone, for the classes that must stay in it.
func (c *Controller) zoneTable(zone int) int { return c.subsetCount + zone }

// inTable tells whether a table is one that a backend belongs into: its subset's, or its zone's.
func (c *Controller) inTable(backend *backendState, table int) bool {
	if table >= c.subsetCount {
		return c.zoneLocalClasses != 0 && table == c.zoneTable(backend.Zone)
	}
	return c.sharedClasses != 0 && table == backend.subset
}

// tableSize counts the entries of a table.
func (c *Controller) tableSize(table int) (entries int) {
	for _, backend := range c.backends {
		if backend.published > 0 && c.inTable(backend, table) {
			entries++
		}
	}
	return entries
}
