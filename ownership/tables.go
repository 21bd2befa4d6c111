package ownership

import (
	"maps"
	"slices"
)

// ChangeTables records changes of this member's tables and returns their new revision. Messages
// that are created from now on belong to this revision, and may be written once Host.ReleaseUpTo is
// called with this revision or a later one.
func (c *Coordinator) ChangeTables(changes []TableChange, now Microseconds) uint64 {
	c.revision++
	for _, change := range changes {
		c.applyTableChange(change)
	}
	// Earlier changes that are still pending are proposed together with the new ones, under the new
	// revision.
	if c.pending.Revision > 0 && len(c.pending.TableChanges) > 0 {
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

// completeTables returns all lines of this member's tables.
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
