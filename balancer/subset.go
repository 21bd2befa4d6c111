package balancer

import (
	"math"
	"slices"
)

// divide settles the number of parts: one, or as many as connections ask for, or more where the tables of all
// proxies, if they come to one controller, would not leave in time. One table for all is best where
// connections suffice, so then parts are no smaller than must be; else tables leave room for drains as well.
func (c *Controller) chooseSubsetCount(backends int) {
	l, proxies, parts, share := &c.queue, float64(c.queue.Proxies), 1., 1.
	if many := proxies / float64(l.MinBackendConnections); l.MinBackendConnections > 0 && many > maxProxiesPerConnection {
		parts, share = math.Ceil(many), tableShareWithSubsets
	}
	within := tablesShareOfGrace * l.linesSentIn(c.rules.DrainGrace)
	if !c.sharding.enabled() && proxies*(l.messageOverhead()+float64(backends)/parts) > within {
		parts = math.Ceil(float64(backends) / max(1, share*within/proxies-l.messageOverhead()))
	}
	c.subsets = max(1, min(int(parts), backends/minSubsetSize, l.Proxies)) // a part without a proxy serves nobody

	for id, p := range c.proxies { // those that came before the list
		p.subset = id % c.subsets
	}
}

// lightest is the part with the least listed weight, the zone's twice: a lost one takes as much of each.
func (w *subsetWeights) lightest(zone int) int {
	least := 0
	for part := range w.all {
		if w.countingTwice(part, zone) < w.countingTwice(least, zone) {
			least = part
		}
	}
	return least
}

// tables hands out the tables that a proxy of a part and zone uses, with their classes.
func (c *Controller) eachTable(part, zone int, do func(table int, classes uint16)) {
	for i, classes := range []uint16{c.sharedClasses, c.zoneLocalClasses} {
		if classes != 0 {
			do(part+i*(c.subsets-part+zone), classes)
		}
	}
}

// in tells whether a table is one that has a backend's line: its part's, or its zone's.
func (c *Controller) inTable(b *backendState, table int) bool {
	if table >= c.subsets {
		return c.zoneLocalClasses != 0 && table-c.subsets == b.Zone
	}
	return c.sharedClasses != 0 && b.subset == table
}

// even gives parts that are short backends of the one that has most, as far as there is room: their proxies
// would overfill the few that are left. Never cold ones, which would be new to twice as many proxies.
func (c *Controller) rebalanceSubsets(now int64, weights []float64, fair float64, bound []float64) (told bool) {
	for to := range weights {
		for short := weights[to] < shortSubsetShare*fair; short && weights[to] < restoredSubsetShare*fair; {
			from := slices.Index(weights, slices.Max(weights))
			at := slices.IndexFunc(c.backends, func(b *backendState) bool {
				return b.subset == from && b.published > 0 && c.targetWeight(b, now) == b.published && !c.warmingUp(b, now)
			})
			cost := (bound[from] + bound[to]) * (c.queue.messageOverhead() + 1)
			if at < 0 || weights[from] <= fair || !c.queue.hasCapacity(cost, true) {
				break
			}
			b := c.backends[at]
			c.logf(at, "goes over to part %d, which has %.0f%% of its share", to, 100*weights[to]/fair)
			c.publishEntry(b, from, 0, false)
			b.subset, told = to, true
			c.publishEntry(b, to, b.published, true)
			weights[from], weights[to] = weights[from]-b.published, weights[to]+b.published
		}
	}
	return told
}

// laid counts the lines of a table.
func (c *Controller) tableSize(table int) (lines int) {
	for _, b := range c.backends {
		lines += count(b.published > 0 && c.inTable(b, table))
	}
	return lines
}

// partWeights is the listed weight of the ready backends by part, in all and by zone. Nil counts nothing.
type subsetWeights struct {
	all    []float64
	byZone map[int][]float64
}

func (c *Controller) listedSubsetWeights() *subsetWeights {
	w := &subsetWeights{all: make([]float64, c.subsets), byZone: map[int][]float64{}}
	for _, b := range c.backends {
		w.add(b, 1)
	}
	return w
}

// add counts a backend, or with a sign of -1 takes it out.
func (w *subsetWeights) add(b *backendState, sign float64) {
	if w == nil || !b.listed || b.State != Ready {
		return
	}
	if w.byZone[b.Zone] == nil {
		w.byZone[b.Zone] = make([]float64, len(w.all))
	}
	w.all[b.subset] += sign * b.Weight
	w.byZone[b.Zone][b.subset] += sign * b.Weight
}

// counted is the weight of a part with that of a zone counted twice.
func (w *subsetWeights) countingTwice(part, zone int) float64 {
	if ofZone := w.byZone[zone]; ofZone != nil {
		return w.all[part] + ofZone[part]
	}
	return w.all[part]
}

// weights is what each part may carry now, and a fair share of it.
func (c *Controller) subsetTargetWeights(now int64) (parts []float64, fair float64) {
	parts = make([]float64, c.subsets)
	for _, b := range c.backends {
		w := c.targetWeight(b, now)
		parts[b.subset], fair = parts[b.subset]+w, fair+w/float64(c.subsets)
	}
	return parts, fair
}
