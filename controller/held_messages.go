package controller

import (
	"slices"

	"wheelrill/ownership"
)

// HoldMessages implements balancer.Host: it holds back the messages to a proxy. The changes of the
// proxy's tables, limits and withdrawals collect until ResumeMessages. If a table was written to
// the proxy, its lines are recorded, so that only the difference has to be written later.
func (t *tables) HoldMessages(proxy int) {
	state := t.proxy(proxy)
	if state == nil || state.held {
		return
	}
	state.held = true
	state.heldClasses = 0
	state.heldTables = make([]ownership.KnownTable, len(state.tables))
	for class, number := range state.tables {
		if number != unassigned && !hasClass(state.tableDue, class) {
			state.heldClasses |= 1 << class
			state.heldTables[class] = t.writtenTable(t.byNumber[number])
		}
	}
}

// writtenTable returns a table as it was written before this clock time. Entries that were set at
// this clock time are uncertain.
func (t *tables) writtenTable(table *table) ownership.KnownTable {
	known := ownership.KnownTable{Lines: map[string]float64{}, Uncertain: map[string]bool{}}
	for backend, weight := range table.weights {
		name := string(t.backendName(backend))
		if table.isChanged[backend] {
			known.Uncertain[name] = true
		} else if weight > 0 {
			known.Lines[name] = weight
		}
	}
	return known
}

// ResumeMessages implements balancer.Host: the next message to a proxy has all changes that were
// ordered since HoldMessages.
func (t *tables) ResumeMessages(proxy int) {
	state := t.proxy(proxy)
	if state == nil || !state.held {
		return
	}
	state.held = false
	state.dirty = true
	state.reconciled = false
	state.tableDue |= state.heldClasses
}

// encodeHeldChanges encodes the entries of a table that were changed while the messages to a proxy
// were held. It returns false if the table was not written to the proxy for all of the classes
// before that, or if the changes are at least as large as the full table.
func (t *tables) encodeHeldChanges(proxy *pushState, table *table, due uint16) (entries [][]byte, ok bool) {
	if due&^proxy.heldClasses != 0 {
		return nil, false
	}
	return t.encodeDifference(proxy.heldTables, table, due)
}

// encodeDifference encodes the entries in which a table differs, or may differ, from known tables
// of some classes. It returns false if the tables are not known, or if the difference is at least
// as large as the full table.
func (t *tables) encodeDifference(known []ownership.KnownTable, table *table, due uint16) (entries [][]byte, ok bool) {
	want := map[string]float64{}
	for backend, weight := range table.weights {
		if weight > 0 {
			want[string(t.backendName(backend))] = weight
		}
	}
	delta, ok := ownership.Delta(known, func(class int) bool { return hasClass(due, class) }, want)
	for _, entry := range delta {
		entries = append(entries, encodeEntry([]byte(entry.Backend), entry.Weight))
	}
	return entries, ok
}

// releaseHeldClasses forgets the tables that were recorded for a proxy when its messages were held.
func (p *pushState) releaseHeldClasses() {
	p.heldClasses = 0
	p.heldTables = slices.Delete(p.heldTables, 0, len(p.heldTables))
}
