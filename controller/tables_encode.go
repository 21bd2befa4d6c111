package controller

import (
	"math"
	"slices"

	"wheelrill/balancer"
)

// flush passes to send one message for each proxy that the orders since the last flush concern, in
// the order of the proxies. A proxy whose message cannot be encoded or sent is passed to drop, and
// a proxy whose message requests an acknowledgement is passed to expectAck.
func (t *tables) flush(
	send func(*connection, []byte) error, drop func(proxy int, err error), expectAck func(proxy, nonce int),
) {
	for proxy, state := range t.proxies {
		if state == nil || state.unowned || state.held || !t.needsMessage(state) {
			continue
		}
		state.dirty = false
		message, err := t.encodeMessage(state)
		if err == nil {
			err = send(state.conn, message)
		}
		if err != nil {
			drop(proxy, err)
			continue
		}
		if t.ackRequested {
			expectAck(proxy, t.ackNonce)
		}
	}
	t.resetChanges()
}

// needsMessage reports whether flush has to write a message to a proxy.
func (t *tables) needsMessage(proxy *pushState) bool {
	return proxy.dirty || t.ackRequested && t.ackFromAll
}

// resetChanges discards the changes and the acknowledgement request of one clock time.
func (t *tables) resetChanges() {
	for _, table := range t.byNumber {
		for _, backend := range table.changed {
			table.isChanged[backend] = false
		}
		table.changed = table.changed[:0]
	}
	t.withdrawalChanges = t.withdrawalChanges[:0]
	t.ackRequested, t.ackFromAll = false, false
}

// encodeMessage encodes the message to a proxy, and records its content as written. The tables are
// first, then limits, then withdrawals, and the request for an acknowledgement is last.
func (t *tables) encodeMessage(proxy *pushState) ([]byte, error) {
	w := &messageWriter{classNames: t.classNames, maxFrame: t.maxFrame, maxParts: t.maxParts, token: proxy.grantToken}
	t.writeTables(proxy, w)
	t.writeLimits(proxy, w)
	t.writeWithdrawals(proxy, w)
	if proxy.tableDue != 0 {
		proxy.knownTables = nil
	}
	proxy.tableDue = 0
	proxy.releaseHeldClasses()
	if t.ackRequested {
		w.writeAckRequest(t.ackNonce)
	}
	return w.finish()
}

// writeTables writes the tables of a proxy in the order of its classes, each table once for all
// classes that it is assigned to. A class whose table is due gets the full table, or the difference
// from the table that the proxy is known to have; the other classes get the table's changes.
func (t *tables) writeTables(proxy *pushState, w *messageWriter) {
	for class, number := range proxy.tables {
		if number == unassigned || slices.Contains(proxy.tables[:class], number) {
			continue // the class has no assigned table, or the table was written with an earlier class
		}
		table := t.byNumber[number]
		due, upToDate := proxy.classesWithTable(number)
		if due != 0 {
			t.writeDueTable(proxy, table, due, w)
		}
		if upToDate != 0 && len(table.changed) > 0 {
			w.writeTableChange(upToDate, t.encodeChanges(table))
		}
	}
}

// classesWithTable returns two sets of classes to which a table is assigned: due contains the
// classes for which the table was not written to the proxy yet, and upToDate the classes for which
// the table was written.
func (p *pushState) classesWithTable(number int) (due, upToDate uint16) {
	for class, other := range p.tables {
		switch {
		case other != number:
		case hasClass(p.tableDue, class):
			due |= 1 << class
		default:
			upToDate |= 1 << class
		}
	}
	return due, upToDate
}

// writeDueTable writes a table for classes for which it is due, as a difference if possible.
func (t *tables) writeDueTable(proxy *pushState, table *table, due uint16, w *messageWriter) {
	if changes, ok := t.encodeHeldChanges(proxy, table, due); ok {
		if len(changes) > 0 {
			w.writeTableChange(due, changes)
		}
		proxy.tableDue &^= due
		return
	}
	if delta, ok := t.encodeDelta(proxy, table, due); ok {
		w.writeTableChange(due, delta)
		t.deltaTables++
		return
	}
	w.writeFullTable(due, t.encodeEntries(table))
	t.fullTables++
}

// encodeEntries encodes all entries of a table.
func (t *tables) encodeEntries(table *table) (entries [][]byte) {
	for backend, weight := range table.weights {
		if weight > 0 {
			entries = append(entries, encodeEntry(t.backendName(backend), weight))
		}
	}
	return entries
}

// encodeChanges encodes the entries of a table that were set at this clock time.
func (t *tables) encodeChanges(table *table) (entries [][]byte) {
	for _, backend := range table.changed {
		entries = append(entries, encodeEntry(t.backendName(backend), table.weights[backend]))
	}
	return entries
}

// encodeDelta encodes the entries in which a table differs, or may differ, from the tables that a
// proxy is known to have. It returns false if those tables are unknown, or if the difference is at
// least as large as the full table.
func (t *tables) encodeDelta(proxy *pushState, table *table, due uint16) (entries [][]byte, ok bool) {
	if proxy.knownTables == nil {
		return nil, false
	}
	entries, ok = t.encodeDifference(proxy.knownTables, table, due)
	if !ok {
		return nil, false
	}
	for class := range proxy.admissionLimits {
		if hasClass(due, class) {
			// The proxy may still have limits of other controllers, as only a full table makes it
			// discard them.
			proxy.admissionLimits[class] = unknownLimit
		}
	}
	return entries, true
}

// unknownLimit is recorded as the last written limit of a class if the proxy may still have a limit
// of another controller for the class.
var unknownLimit = admissionLimit{set: true, limit: -1}

// isUnknown reports whether a recorded limit is unknownLimit.
func (l admissionLimit) isUnknown() bool { return l.limit < 0 }

// unlimited replaces the limit that a proxy may have for a class without an ordered limit. No proxy
// reaches this limit, and its retry policy is the default of proxies without an ordered policy.
var unlimited = admissionLimit{true, math.MaxFloat32, balancer.RetryIfNotExecuted}

// writeLimits writes the limits that differ from those last written to the proxy, each once for all
// classes that share it.
func (t *tables) writeLimits(proxy *pushState, w *messageWriter) {
	changed := t.updateLimits(proxy)
	for class, limit := range proxy.admissionLimits {
		if !hasClass(changed, class) {
			continue
		}
		var sharing uint16
		for other := class; other < len(proxy.admissionLimits); other++ {
			if hasClass(changed, other) && proxy.admissionLimits[other] == limit {
				sharing |= 1 << other
			}
		}
		w.writeLimit(sharing, limit)
		changed &^= sharing
	}
}

// updateLimits records the limits that a proxy should have as written, and returns the classes
// whose limits differ from the limits that the proxy has. A full table makes the proxy discard its
// limits. If the proxy may have limits of other controllers, classes without an ordered limit are
// written unlimited.
func (t *tables) updateLimits(proxy *pushState) (changed uint16) {
	for class := range t.classNames {
		limit, unknown := t.limitFor(proxy, class), proxy.admissionLimits[class].isUnknown()
		if hasClass(proxy.tableDue, class) && !unknown {
			proxy.admissionLimits[class] = admissionLimit{}
		}
		if !limit.set && (unknown || proxy.admissionLimits[class] == unlimited) {
			limit = unlimited
		}
		if limit != proxy.admissionLimits[class] {
			proxy.admissionLimits[class] = limit
			changed |= 1 << class
		}
	}
	return changed
}

// writeWithdrawals writes which backends are withdrawn, and which are restored. A proxy keeps
// withdrawals of other controllers, and of an earlier process of this one, while
// balancer.Controller assumes that ClearWithdrawals leaves only the withdrawals of this process.
// Therefore, after ClearWithdrawals for a proxy, each backend that its tables contain and that may
// still be withdrawn from it is restored: in its next message, or with a later entry for the backend.
// A proxy that had no table needs no ClearWithdrawals: those of its backends that may be withdrawn
// (pushState.maybeWithdrawn) are restored with their first entries.
func (t *tables) writeWithdrawals(proxy *pushState, w *messageWriter) {
	var withdrawn, restored [][]byte
	for _, backend := range t.uncertainBackends(proxy) {
		// The table of an unassigned class may contain a backend whose withdrawal has changed.
		mayUse := slices.Contains(proxy.tables, unassigned) && slices.Contains(proxy.withdrawalChanges, backend)
		if !mayUse && !t.uses(proxy, backend) {
			continue
		}
		state := proxy.stateOf(backend)
		switch {
		case t.isWithdrawn(backend):
			if *state != backendWithdrawn {
				withdrawn, *state = append(withdrawn, t.backendName(backend)), backendWithdrawn
			}
		case *state == backendWithdrawn || *state == backendUnknown && (proxy.cleared || mayUse || !proxy.mayHoldWithdrawals):
			restored, *state = append(restored, t.backendName(backend)), backendAllowed
		}
	}
	proxy.withdrawalChanges, proxy.reconciled = proxy.withdrawalChanges[:0], true
	w.writeBackends(keyWithdraw, withdrawn)
	w.writeBackends(keyRestore, restored)
}

// isWithdrawn reports whether a backend is withdrawn.
func (t *tables) isWithdrawn(backend int) bool {
	return backend < len(t.withdrawn) && t.withdrawn[backend]
}

// stateOf returns a pointer to the state of a backend that was last written to a proxy.
func (p *pushState) stateOf(backend int) *backendState {
	for len(p.backendStates) <= backend {
		p.backendStates = append(p.backendStates, p.initialState(len(p.backendStates)))
	}
	return &p.backendStates[backend]
}

// uncertainBackends returns, in ascending order, the backends whose state at a proxy may differ
// from the state that it should have: all known backends until the proxy is reconciled, and after
// that those whose entries or withdrawals changed since its last message.
func (t *tables) uncertainBackends(proxy *pushState) (backends []int) {
	if proxy.reconciled {
		backends = slices.Clone(proxy.withdrawalChanges)
		for class, number := range proxy.tables {
			if number != unassigned && !slices.Contains(proxy.tables[:class], number) {
				backends = append(backends, t.byNumber[number].changed...)
			}
		}
		slices.Sort(backends)
		return slices.Compact(backends)
	}
	count := len(t.withdrawn)
	for _, table := range t.byNumber {
		count = max(count, len(table.weights))
	}
	for backend := range count {
		backends = append(backends, backend)
	}
	return backends
}
