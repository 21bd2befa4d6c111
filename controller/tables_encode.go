package controller

import (
	"math"
	"slices"

	"wheelrill/balancer"
	"wheelrill/ownership"
)

// flush writes the orders since the last flush: one message for each proxy concerned, in the order
// of the proxies, is passed to send. A proxy whose message cannot be encoded or sent is passed to
// drop, and a proxy that is asked for an acknowledgement to expectAck.
func (t *tables) flush(
	send func(*connection, []byte) error, drop func(proxy int, err error), expectAck func(proxy, nonce int),
) {
	for proxy, state := range t.proxies {
		if state == nil || state.unowned || !t.needsMessage(state) {
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

// needsMessage reports whether flush writes a proxy a message.
func (t *tables) needsMessage(proxy *pushState) bool {
	return proxy.dirty || t.ackRequested && t.ackFromAll
}

// resetChanges discards the changes and requests of one clock time.
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
	if proxy.fullDue != 0 {
		proxy.knownTables = nil
	}
	proxy.fullDue = 0
	if t.ackRequested {
		w.writeAckRequest(t.ackNonce)
	}
	return w.finish()
}

// writeTables writes the tables of a proxy in the order of its classes, each table once for all
// classes that have it. Classes that lack the table are written all of it, or the difference from
// the table that the proxy already has; the other classes are written its changes.
func (t *tables) writeTables(proxy *pushState, w *messageWriter) {
	for class, number := range proxy.tables {
		if number == unassigned || slices.Contains(proxy.tables[:class], number) {
			continue // not assigned, or written with an earlier class
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

// classesWithTable returns the classes to which a table is assigned: those that it is to be written
// to in full, and those that have it already.
func (p *pushState) classesWithTable(number int) (due, upToDate uint16) {
	for class, other := range p.tables {
		switch {
		case other != number:
		case hasClass(p.fullDue, class):
			due |= 1 << class
		default:
			upToDate |= 1 << class
		}
	}
	return due, upToDate
}

// writeDueTable writes a table for classes that lack it, as a difference if possible.
func (t *tables) writeDueTable(proxy *pushState, table *table, due uint16, w *messageWriter) {
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

// encodeDelta encodes the entries in which a table differs, or may differ, from the table that a
// proxy surely has. It returns false if that table is unknown, or if the difference is no smaller
// than the full table.
func (t *tables) encodeDelta(proxy *pushState, table *table, due uint16) (entries [][]byte, ok bool) {
	if proxy.knownTables == nil {
		return nil, false
	}
	want := map[string]float64{}
	for backend, weight := range table.weights {
		if weight > 0 {
			want[string(t.backendName(backend))] = weight
		}
	}
	delta, ok := ownership.Delta(proxy.knownTables, func(class int) bool { return hasClass(due, class) }, want)
	if !ok {
		return nil, false
	}
	for _, entry := range delta {
		entries = append(entries, encodeEntry([]byte(entry.Backend), entry.Weight))
	}
	for class := range proxy.admissionLimits {
		if hasClass(due, class) {
			proxy.admissionLimits[class] = unknownLimit // only a full table makes the proxy discard limits of others
		}
	}
	return entries, true
}

// unknownLimit stands for any limit that another controller may have left at a proxy.
var unknownLimit = admissionLimit{set: true, limit: -1}

// isUnknown reports whether a limit as last written may be one of another controller.
func (l admissionLimit) isUnknown() bool { return l.limit < 0 }

// unlimited is written for a class without an ordered limit, where the lack of a limit has to be
// written: no proxy reaches this limit, and its retry policy is the one that proxies use without an
// order.
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
// whose limits differ from those that it has. A full table makes the proxy discard its limits. If
// it may have limits of other controllers, the lack of a limit has to be written.
func (t *tables) updateLimits(proxy *pushState) (changed uint16) {
	for class := range t.classNames {
		limit, unknown := t.limitFor(proxy, class), proxy.admissionLimits[class].isUnknown()
		if hasClass(proxy.fullDue, class) && !unknown {
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
// withdrawals of other controllers, and of an earlier process of this one, while the decisions
// assume that a cleared proxy has only the withdrawals of this process. So a backend that its
// tables contain and that it may have withdrawn is restored when the proxy is cleared, or with the
// first entry for the backend after that.
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
		case *state == backendWithdrawn || *state == backendUnknown && (proxy.cleared || mayUse):
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

// stateOf returns a pointer to the state of a backend at a proxy, as last written.
func (p *pushState) stateOf(backend int) *backendState {
	for len(p.backendStates) <= backend {
		p.backendStates = append(p.backendStates, p.initialState())
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
