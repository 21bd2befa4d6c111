package balancer

import (
	"math"
	"slices"
)

// Subsets: the backends may be divided into subsets, each with a table and a part of the proxies. A
// proxy is in the subset given by its index modulo the number of subsets. A new backend is added to
// the subset with the least weight, where the weight in the backend's zone counts twice.
//
// One subset, with one table for all proxies, is best where it is possible. There are more subsets
// if
//   - the number of proxies is more than maxProxiesPerConnection times the number of connections
//     that the smallest backend accepts: as many subsets as let the smallest backend accept a
//     connection from each proxy of its subset;
//   - one controller, if all proxies connect to it, could not send the tables of all proxies within
//     tablesShareOfGrace of the drain grace: as many subsets as make the tables small enough to be
//     sent within this share of the drain grace or, if connections require subsets as well, within
//     tableShareWithSubsets (half) of this share, so that the rest is left for drains.
//
// A subset that falls short of its share of the weight is given backends of the heaviest subset,
// since its proxies would overload the few backends left in it. The move of a backend to a short
// subset counts as a required change (publish.go).
//
// Inputs are PushChannel.Proxies, MinBackendConnections and LinesPerSecond (lines),
// RuleLimits.DrainGrace (microseconds) and listed weights. The number of subsets is decided once,
// with the first complete list that is not empty.

const (
	// maxProxiesPerConnection is the ratio of the number of proxies to the number of connections
	// that the smallest backend accepts above which connections require subsets. Up to this ratio
	// they require no subsets, because many of the proxies have little traffic.
	maxProxiesPerConnection = 1.6
	// minSubsetSize is the least number of backends per subset.
	minSubsetSize = 5
	// tableShareWithSubsets is the share of the time allowed by tablesShareOfGrace (sync.go) within
	// which the tables of all proxies must be sent if connections require subsets as well.
	tableShareWithSubsets = 1. / 2
	// shortSubsetShare is the share of its fair weight below which a subset is short. A short
	// subset is given backends of the heaviest subset until it has restoredSubsetShare of its fair
	// weight.
	shortSubsetShare = 0.5
	// restoredSubsetShare is the share of its fair weight at which a short subset is given no
	// further backends.
	restoredSubsetShare = 0.8
)

// chooseSubsetCount decides the number of subsets, and assigns subsets to the proxies that
// connected before the endpoint list arrived.
func (c *Controller) chooseSubsetCount(backends int) {
	proxies := float64(c.pushQueue.Proxies)
	subsets, tableShare := 1., 1.
	if connections := c.pushQueue.MinBackendConnections; connections > 0 {
		proxiesPerConnection := proxies / float64(connections)
		if proxiesPerConnection > maxProxiesPerConnection {
			subsets = math.Ceil(proxiesPerConnection)
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
	// There are no more subsets than proxies: the backends of a subset without a proxy would
	// receive no requests.
	c.subsetCount = max(1, min(int(subsets), backends/minSubsetSize, c.pushQueue.Proxies))

	for id, proxy := range c.proxies {
		proxy.subset = id % c.subsetCount
	}
}

// subsetWeights holds the listed weight of the ready backends by subset, in total and by zone. Its
// methods add and remove do nothing on a nil pointer.
type subsetWeights struct {
	all    []float64         // listed weight of the ready backends, by subset
	byZone map[int][]float64 // listed weight of the ready backends in a zone, by zone and then by subset
}

// listedSubsetWeights sums the listed weights of the ready backends.
func (c *Controller) listedSubsetWeights() *subsetWeights {
	weights := &subsetWeights{all: make([]float64, c.subsetCount), byZone: map[int][]float64{}}
	for _, backend := range c.backends {
		weights.add(backend)
	}
	return weights
}

func (w *subsetWeights) add(backend *backendState)    { w.adjust(backend, backend.Weight) }
func (w *subsetWeights) remove(backend *backendState) { w.adjust(backend, -backend.Weight) }

// adjust adds a weight to the totals of a backend's subset and zone, if the backend is listed and
// ready.
func (w *subsetWeights) adjust(backend *backendState, weight float64) {
	if w == nil || !backend.listed || backend.State != Ready {
		return
	}
	if w.byZone[backend.Zone] == nil {
		w.byZone[backend.Zone] = make([]float64, len(w.all))
	}
	w.all[backend.subset] += weight
	w.byZone[backend.Zone][backend.subset] += weight
}

// lightest returns the subset with the least weight. The weight in the zone counts twice, so that
// the loss of a zone takes about the same weight from each subset.
func (w *subsetWeights) lightest(zone int) int {
	lightest := 0
	for subset := range w.all {
		if w.weightWithZone(zone, subset) < w.weightWithZone(zone, lightest) {
			lightest = subset
		}
	}
	return lightest
}

// weightWithZone returns the weight of a subset, in which the weight in the zone counts twice.
func (w *subsetWeights) weightWithZone(zone, subset int) float64 {
	if inZone := w.byZone[zone]; inZone != nil {
		return w.all[subset] + inZone[subset]
	}
	return w.all[subset]
}

// subsetTargetWeights returns the sum of target weights by subset, and the mean of these sums,
// which is the fair weight of a subset. Backends that a table keeps although they are ejected or
// withheld do not count, so that their subset is given others.
func (c *Controller) subsetTargetWeights(now Microseconds) (weights []float64, fair float64) {
	weights = make([]float64, c.subsetCount)
	for _, backend := range c.backends {
		if backend.keptInSubset {
			continue
		}
		weight := c.targetWeights(backend, now).subset
		weights[backend.subset] += weight
		fair += weight / float64(c.subsetCount)
	}
	return weights, fair
}

// rebalanceSubsets moves backends from the heaviest subset to short subsets, as far as there is
// capacity. It reports whether it moved any backend.
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

// moveToSubset moves one backend of the heaviest subset, and reports whether it did. It never moves
// a backend that is warming up, or whose entry is due to change: with the move, the backend would
// be new to the proxies of two subsets, which are twice as many proxies as without the move.
func (c *Controller) moveToSubset(to int, plan *publication) bool {
	from := slices.Index(plan.targetBySubset, slices.Max(plan.targetBySubset))
	id := slices.IndexFunc(c.backends, func(backend *backendState) bool {
		entryIsCurrent := backend.published.subset > 0 && c.targetWeights(backend, plan.now) == backend.published
		return backend.subset == from && entryIsCurrent && !backend.keptInSubset && !c.warmingUp(backend, plan.now)
	})
	cost := (plan.proxiesBySubset[from] + plan.proxiesBySubset[to]) * (c.pushQueue.messageOverhead() + 1)
	if id < 0 || plan.targetBySubset[from] <= plan.fairWeight || !c.pushQueue.hasCapacity(cost, true) {
		return false
	}
	backend := c.backends[id]
	c.logf(id, "moves to subset %d, which has %.0f%% of its fair weight", to, 100*plan.targetBySubset[to]/plan.fairWeight)
	c.publishEntry(backend, from, 0, false)
	backend.subset = to
	c.publishEntry(backend, to, backend.published.subset, true)
	plan.targetBySubset[from] -= backend.published.subset
	plan.targetBySubset[to] += backend.published.subset
	return true
}

// eachTable calls visit with each table that a proxy of a subset and zone uses, and with the
// classes that use the table.
func (c *Controller) eachTable(subset, zone int, visit func(table int, classes uint16)) {
	if c.sharedClasses != 0 {
		visit(subset, c.sharedClasses)
	}
	if c.zoneLocalClasses != 0 {
		visit(c.zoneTable(zone), c.zoneLocalClasses)
	}
}

// zoneTable returns the table of a zone, which zone-local classes use.
func (c *Controller) zoneTable(zone int) int { return c.subsetCount + zone }

// inTable reports whether a backend belongs to a table: the table of its subset or of its zone.
func (c *Controller) inTable(backend *backendState, table int) bool {
	if table >= c.subsetCount {
		return c.zoneLocalClasses != 0 && table == c.zoneTable(backend.Zone)
	}
	return c.sharedClasses != 0 && table == backend.subset
}

// scopeOfTable returns the scope that a table belongs to.
func (c *Controller) scopeOfTable(table int) *admissionScope {
	if table >= c.subsetCount {
		return c.zoneScope(table - c.subsetCount)
	}
	return &c.admission.admissionScope
}

// weightIn returns the one of a backend's weights that belongs to a table of the backend.
func (c *Controller) weightIn(weights entryWeights, table int) float64 {
	if table >= c.subsetCount {
		return weights.zone
	}
	return weights.subset
}

// allClasses returns the set of all classes.
func (c *Controller) allClasses() uint16 { return c.sharedClasses | c.zoneLocalClasses }

// tableSize is the size of one table.
type tableSize struct {
	entries   int  // number of entries
	anyUsable bool // a usable backend that is not held back belongs to the table, whether it has an entry or not
}

// tableSize returns the size of a table.
func (c *Controller) tableSize(table int) (size tableSize) {
	for _, backend := range c.backends {
		if !c.inTable(backend, table) {
			continue
		}
		deferred := c.isDeferred(c.scopeOfTable(table), backend, c.host.Now())
		size.anyUsable = size.anyUsable || c.usable(backend) && !deferred
		if c.weightIn(backend.published, table) > 0 {
			size.entries++
		}
	}
	return size
}
