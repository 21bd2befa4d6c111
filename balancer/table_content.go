package balancer

import "fmt"

// tableContent counts the backends of one table, which is the table of a subset or of a zone.
type tableContent struct {
	usable   int // backends that the endpoint list allows to have an entry
	ejected  int // usable backends that are ejected
	withheld int // usable backends that are not ejected, but withheld because they are warming up
	entries  int // backends with a published entry
}

// tableContents counts the backends of each table, by table index.
func (c *Controller) tableContents(now Microseconds) []tableContent {
	contents := make([]tableContent, c.subsetCount+c.zoneCount())
	for _, backend := range c.backends {
		for _, table := range []int{backend.subset, c.zoneTable(backend.Zone)} {
			if c.inTable(backend, table) {
				c.addToContent(&contents[table], backend, now)
			}
		}
	}
	return contents
}

// addToContent counts a backend in the content of a table.
func (c *Controller) addToContent(content *tableContent, backend *backendState, now Microseconds) {
	if backend.published > 0 {
		content.entries++
	}
	if !c.usable(backend) {
		return
	}
	content.usable++
	switch {
	case backend.ejected:
		content.ejected++
	case c.withheld(backend, now):
		content.withheld++
	}
}

// zoneCount returns the number of zones with at least one backend, counted up to the highest index.
func (c *Controller) zoneCount() (count int) {
	for _, backend := range c.backends {
		count = max(count, backend.Zone+1)
	}
	return count
}

// logEmptyTables logs each table that has become empty although usable backends belong to it, and
// each of these tables that has entries again.
func (c *Controller) logEmptyTables(now Microseconds) {
	if c.sharding.enabled() {
		return // a table then holds the owner of a shard
	}
	for table, content := range c.tableContents(now) {
		isEmpty := content.usable > 0 && content.entries == 0
		if isEmpty == c.emptyTables[table] {
			continue
		}
		c.emptyTables[table] = isEmpty
		c.logf(-1, "%s is empty %v: %d backends usable, %d ejected, %d withheld", c.tableName(table), isEmpty,
			content.usable, content.ejected, content.withheld)
	}
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
