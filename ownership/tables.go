package ownership

import (
	"maps"
	"slices"
)

// ChangeTables records what has changed in our tables. It gives the revision that messages belong to from now on; they may
// be written once Host.ReleaseUpTo names it.
func (c *Coordinator) ChangeTables(changes []TableChange, now Microseconds) uint64 {
	c.revision++
	for _, change := range changes {
		c.applyTableChange(change)
	}
	if c.pending.Revision > 0 && len(c.pending.TableChanges) > 0 { // what was not proposed yet becomes one revision with this
		c.pending.TableChanges = append(c.pending.TableChanges, changes...)
	} else {
		c.pending.TableChanges = changes
	}
	c.pending.Revision = c.revision
	if c.withoutQuorum {
		c.host.ReleaseUpTo(c.revision)
	} else {
		c.proposePending(now)
	}
	return c.revision
}

func (c *Coordinator) applyTableChange(change TableChange) {
	table := c.tables[change.Table]
	if table == nil {
		table = map[string]float64{}
		c.tables[change.Table] = table
	}
	for _, line := range change.Lines {
		if line.Weight == 0 {
			delete(table, line.Backend)
		} else {
			table[line.Backend] = line.Weight
		}
	}
}

// completeTables is all lines of our tables.
func (c *Coordinator) completeTables() (changes []TableChange) {
	for _, number := range slices.Sorted(maps.Keys(c.tables)) {
		change := TableChange{Table: number}
		for _, backend := range slices.Sorted(maps.Keys(c.tables[number])) {
			change.Lines = append(change.Lines, Line{backend, c.tables[number][backend]})
		}
		changes = append(changes, change)
	}
	return changes
}
