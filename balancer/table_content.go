package balancer

import (
	"cmp"
	"fmt"
	"slices"
)

// Content of tables: a backend that is ejected (outlier.go) or withheld while it is warming up
// (weight.go) is left out of its tables, as long as other backends in them can serve instead. Each
// table is looked at by itself, because the requests of a zone-local class can go nowhere else, and
// a backend that is left out of one of its tables may stay in the other:
//   - if no usable backend of a table qualifies, that is if each one is ejected or withheld, the
//     table has them all (panic mode), except those that a cold start holds back (cold_start.go).
//     The table of a subset, which can be given backends of other subsets (subset.go), has them all
//     only if no usable backend of the whole fleet qualifies. Otherwise it keeps the entries of
//     ejected backends until it is given others, or gets them back if it has no entry at all;
//   - a zone's table keeps at least 1-maxEjectedShare of the listed weight of its usable backends,
//     where a backend that is warming up or in its slow start counts with the share that it can
//     carry. Otherwise it keeps ejected backends too: first those that answered the largest share
//     of their attempts before the ejection, then those ejected last. Subsets have no such bound of
//     their own, because the bound on the whole fleet limits ejections (outlier.go).
//
// The tables are looked at with each tick and each endpoint list. An entry that a table keeps
// although its backend is ejected does not change the ejection.
//
// Inputs are the states of the endpoint list, ejections and listed weights.

// entryWeights holds the weights of a backend's entries in its tables; 0 means no entry.
type entryWeights struct {
	subset float64 // weight in the table of the backend's subset, for shared classes
	zone   float64 // weight in the table of the backend's zone, for zone-local classes
}

// any reports whether the backend has an entry in any table.
func (w entryWeights) any() bool { return w.subset > 0 || w.zone > 0 }

// max returns the weight with which the backend is published: its highest weight in any table.
func (w entryWeights) max() float64 { return max(w.subset, w.zone) }

// lowers reports whether a change to the given weights lowers a weight in any table.
func (w entryWeights) lowers(target entryWeights) bool {
	return target.subset < w.subset || target.zone < w.zone
}

// tableContent sums up the backends of one table, which is the table of a subset or of a zone.
type tableContent struct {
	usable    int     // backends that the endpoint list allows to have an entry
	ejected   int     // usable backends that are ejected
	withheld  int     // usable backends that are not ejected, but withheld because they are warming up
	entries   int     // backends with a published entry
	listed    float64 // listed weight of the usable backends
	qualified float64 // weight that backends that are neither ejected nor withheld can carry
}

// noneQualifies reports whether each usable backend is ejected or withheld.
func (content *tableContent) noneQualifies() bool {
	return content.usable > 0 && content.ejected+content.withheld == content.usable
}

// updateKeptEntries decides which backends keep their entries in a table although they are ejected
// or withheld, by the contents of the tables.
func (c *Controller) updateKeptEntries(now Microseconds, contents []tableContent) {
	noneInFleet := true
	for table := range c.subsetCount {
		noneInFleet = noneInFleet && (contents[table].usable == 0 || contents[table].noneQualifies())
	}
	for _, backend := range c.backends {
		backend.keptInSubset, backend.keptInZone = false, false
		if !c.usable(backend) {
			continue
		}
		fleet, zone := &c.admission.admissionScope, c.zoneScope(backend.Zone)
		withheld := c.withheld(fleet, backend, now)
		if (backend.ejected || withheld) && !c.isDeferred(fleet, backend, now) {
			subset := contents[backend.subset]
			bridges := !withheld && (backend.published.subset > 0 || subset.entries == 0)
			backend.keptInSubset = subset.noneQualifies() && (noneInFleet || bridges)
		}
		if (backend.ejected || c.withheld(zone, backend, now)) && !c.isDeferred(zone, backend, now) {
			backend.keptInZone = contents[c.zoneTable(backend.Zone)].noneQualifies()
		}
	}
	if c.zoneLocalClasses != 0 {
		c.keepWeightOfZones(contents)
	}
	c.logPanicMode(contents)
}

// keepWeightOfZones makes the tables of zones keep ejected backends while less than
// 1-maxEjectedShare of their listed weight would be left.
func (c *Controller) keepWeightOfZones(contents []tableContent) {
	var ejected []*backendState
	for _, backend := range c.backends {
		deferred := c.isDeferred(c.zoneScope(backend.Zone), backend, c.host.Now())
		if c.usable(backend) && backend.ejected && !backend.keptInZone && !deferred {
			ejected = append(ejected, backend)
		}
	}
	slices.SortStableFunc(ejected, func(x, y *backendState) int {
		return cmp.Or(cmp.Compare(y.ejectionSuccessRate, x.ejectionSuccessRate), cmp.Compare(y.ejectedAt, x.ejectedAt))
	})
	for _, backend := range ejected {
		zone := &contents[c.zoneTable(backend.Zone)]
		if zone.qualified < (1-maxEjectedShare)*zone.listed {
			backend.keptInZone = true
			zone.qualified += backend.Weight
		}
	}
}

// tableContents sums up the backends of each table, by table index. Without shared or without
// zone-local classes, the tables that no class uses are summed up too.
func (c *Controller) tableContents(now Microseconds) []tableContent {
	contents := make([]tableContent, c.subsetCount+c.zoneCount())
	for _, backend := range c.backends {
		fleet, zone := &c.admission.admissionScope, c.zoneScope(backend.Zone)
		c.addToContent(&contents[backend.subset], backend, backend.published.subset, c.withheld(fleet, backend, now))
		c.addToContent(&contents[c.zoneTable(backend.Zone)], backend, backend.published.zone, c.withheld(zone, backend, now))
	}
	return contents
}

// addToContent adds a backend to the content of a table, in which it has the given weight, or is
// withheld.
func (c *Controller) addToContent(content *tableContent, backend *backendState, published float64, withheld bool) {
	if published > 0 {
		content.entries++
	}
	if !c.usable(backend) {
		return
	}
	content.usable++
	content.listed += backend.Weight
	switch {
	case backend.ejected:
		content.ejected++
	case withheld:
		content.withheld++
	default:
		content.qualified += backend.Weight * c.rampShare(backend, c.host.Now())
	}
}

// zoneCount returns the number of zones with at least one backend, counted up to the highest index.
func (c *Controller) zoneCount() (count int) {
	for _, backend := range c.backends {
		count = max(count, backend.Zone+1)
	}
	return count
}

// logPanicMode logs each table in which panic mode begins or ends.
func (c *Controller) logPanicMode(contents []tableContent) {
	for table, content := range contents {
		panicMode := c.tableInUse(table) && content.noneQualifies()
		if panicMode == c.panicTables[table] {
			continue
		}
		c.panicTables[table] = panicMode
		if table == 0 && c.subsetCount == 1 {
			c.logf(-1, "panic mode %v, %d backends usable", panicMode, content.usable)
			continue
		}
		c.logf(-1, "panic mode %v in %s, %d backends usable", panicMode, c.tableName(table), content.usable)
	}
}

// logEmptyTables logs each table that has become empty although usable backends belong to it, and
// each of these tables that has entries again.
func (c *Controller) logEmptyTables(now Microseconds) {
	if c.sharding.enabled() {
		return // a table then holds the owner of a shard
	}
	for table, content := range c.tableContents(now) {
		isEmpty := c.tableInUse(table) && content.usable > 0 && content.entries == 0
		if isEmpty == c.emptyTables[table] {
			continue
		}
		c.emptyTables[table] = isEmpty
		c.logf(-1, "%s is empty %v: %d backends usable, %d ejected, %d withheld", c.tableName(table), isEmpty,
			content.usable, content.ejected, content.withheld)
	}
}

// tableInUse reports whether any class uses a table.
func (c *Controller) tableInUse(table int) bool {
	if table >= c.subsetCount {
		return c.zoneLocalClasses != 0
	}
	return c.sharedClasses != 0
}

// tableName returns the name of a table in log lines.
func (c *Controller) tableName(table int) string {
	switch {
	case table >= c.subsetCount:
		return fmt.Sprintf("table of zone %d", table-c.subsetCount)
	case c.subsetCount == 1:
		return "shared table"
	default:
		return fmt.Sprintf("table of subset %d", table)
	}
}
