package controller

import (
	"math"
	"slices"

	"wheelrill/balancer"
	"wheelrill/ownership"
)

// flush writes what was ordered since the last one: a message for each proxy concerned, in the order of the proxies, which goes to
// send. A proxy whose message cannot be encoded or sent goes to drop; one that is to acknowledge goes to expectAck.
func (t *tables) flush(send func(*connection, []byte) error, drop func(proxy int, err error), expectAck func(proxy, nonce int)) {
	for proxy, state := range t.proxies {
		if state == nil || state.unowned || !t.isDue(state) {
			continue
		}
		state.dirty = false
		message, err := t.encodeFor(state)
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
	t.forgetChanges()
}

// isDue tells whether a proxy is to be written a message.
func (t *tables) isDue(proxy *pushState) bool {
	return proxy.dirty || t.ackRequested && t.ackFromAll
}

// forgetChanges ends what is kept of one clock time.
func (t *tables) forgetChanges() {
	for _, table := range t.byNumber {
		for _, backend := range table.changed {
			table.isChanged[backend] = false
		}
		table.changed = table.changed[:0]
	}
	t.withdrawalChanges = t.withdrawalChanges[:0]
	t.ackRequested, t.ackFromAll = false, false
}

// encodeFor encodes what a proxy is to be written, and notes it as written: tables first, then limits, then withdrawals, and the
// acknowledgement that is asked for last.
func (t *tables) encodeFor(proxy *pushState) ([]byte, error) {
	w := &messageWriter{classNames: t.classNames, maxFrame: t.maxFrame, maxParts: t.maxParts, token: proxy.grantToken}
	t.writeTables(proxy, w)
	t.writeLimits(proxy, w)
	t.writeWithdrawals(proxy, w)
	if proxy.fullDue != 0 {
		proxy.base = nil
	}
	proxy.fullDue = 0
	if t.ackRequested {
		w.writeAckRequest(t.ackNonce)
	}
	return w.finish()
}

// writeTables writes the tables of a proxy in the order of its classes, each once for all classes that have it: in full, or what
// differs from what the proxy brought, where it is due, and what has changed for the other classes.
func (t *tables) writeTables(proxy *pushState, w *messageWriter) {
	for class, number := range proxy.tables {
		if number == unbound || slices.Contains(proxy.tables[:class], number) {
			continue // not ours, or written with a class before
		}
		table := t.byNumber[number]
		due, upToDate := proxy.classesOf(number)
		if due != 0 {
			t.writeDueTable(proxy, table, due, w)
		}
		if upToDate != 0 && len(table.changed) > 0 {
			w.writeTableChange(upToDate, t.encodeChanges(table))
		}
	}
}

// classesOf gives the classes that have a table: those for which it is due in full, and those that have it already.
func (p *pushState) classesOf(number int) (due, upToDate uint16) {
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

// writeDueTable writes a table for classes that lack it.
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

// encodeDelta encodes the entries of a table that a proxy lacks, or may lack, by what it surely has; not ok where that is unknown or
// takes no less than the full table.
func (t *tables) encodeDelta(proxy *pushState, table *table, due uint16) (entries [][]byte, ok bool) {
	if proxy.base == nil {
		return nil, false
	}
	want := map[string]float64{}
	for backend, weight := range table.weights {
		if weight > 0 {
			want[string(t.backendName(backend))] = weight
		}
	}
	delta, ok := ownership.Delta(proxy.base, func(class int) bool { return hasClass(due, class) }, want)
	if !ok {
		return nil, false
	}
	for _, entry := range delta {
		entries = append(entries, encodeEntry([]byte(entry.Backend), entry.Weight))
	}
	for class := range proxy.admissionLimits {
		if hasClass(due, class) {
			proxy.admissionLimits[class] = unknownLimit // a full table would have it forget those that others left
		}
	}
	return entries, true
}

// unknownLimit stands for whatever limit another controller may have left at a proxy.
var unknownLimit = admissionLimit{set: true, limit: -1}

// isUnknown tells whether a limit as last written is another controller's.
func (l admissionLimit) isUnknown() bool { return l.limit < 0 }

// unlimited is the limit of a class for which none was ordered, where it has to be written: no proxy reaches it, and retries are as
// proxies make them without an order.
var unlimited = admissionLimit{true, math.MaxFloat32, balancer.RetryIfNotExecuted}

// writeLimits writes limits that differ from what the proxy was last written, each once for all classes that share it.
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

// updateLimits notes the limits that a proxy is to have as written, and gives the classes whose limits differ from what it has. A
// full table has it forget its limits; where it may have those of others, the lack of one has to be written.
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

// writeWithdrawals writes which backends are withdrawn, and which are restored. A proxy keeps withdrawals of other controllers, and
// of our process before this one, while the decisions count on a cleared proxy to keep only ours: so whatever its tables use and it
// may keep withdrawn is restored then, or with the first entry for it.
func (t *tables) writeWithdrawals(proxy *pushState, w *messageWriter) {
	var withdrawn, restored [][]byte
	for _, backend := range t.uncertainBackends(proxy) {
		// A table that is not ours may have a backend whose withdrawal has changed.
		mayUse := slices.Contains(proxy.tables, unbound) && slices.Contains(proxy.withdrawalChanges, backend)
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

// isWithdrawn tells whether a backend is withdrawn.
func (t *tables) isWithdrawn(backend int) bool {
	return backend < len(t.withdrawn) && t.withdrawn[backend]
}

// stateOf gives the state of a backend at a proxy, as last written, for it to be changed.
func (p *pushState) stateOf(backend int) *backendState {
	for len(p.backendStates) <= backend {
		p.backendStates = append(p.backendStates, p.initialState())
	}
	return &p.backendStates[backend]
}

// uncertainBackends are those that a proxy may keep in another state than it should, in order: all that are known, until its tables
// were gone through once, and then those whose entries or withdrawals changed since its last message.
func (t *tables) uncertainBackends(proxy *pushState) (backends []int) {
	if proxy.reconciled {
		backends = slices.Clone(proxy.withdrawalChanges)
		for class, number := range proxy.tables {
			if number != unbound && !slices.Contains(proxy.tables[:class], number) {
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
