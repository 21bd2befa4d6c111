package controller

import (
	"slices"

	"wheelrill/balancer"
	"wheelrill/ownership"
)

// tables holds the tables, admission limits and withdrawals that balancer.Controller has ordered
// through the methods of balancer.Host, and the state that was last written to each connected
// proxy. Orders update it and mark the proxies concerned; flush writes each marked proxy one
// message for all orders of one clock time. The event loop owns it.
type tables struct {
	classNames  [][]byte                 // name of each class as encoded in messages, a JSON string
	backendName func(backend int) []byte // returns the id of a backend as a JSON string
	maxFrame    int                      // maximum number of bytes of one part of a message
	maxParts    int                      // maximum number of parts of a message

	byNumber              map[int]*table
	admissionLimitsForAll []admissionLimit // limit of each class for all tables of all connected proxies
	withdrawn             []bool           // whether each backend is withdrawn, by backend index
	// maybeWithdrawn holds, by backend index, whether any controller may have withdrawn the backend
	// before now: this one has, or the backend has started anew.
	maybeWithdrawn []bool
	// proxies holds the state of each proxy, by proxy number; nil if the proxy is not connected.
	proxies []*pushState

	// Changes and acknowledgement request that were ordered at the current clock time. flush resets
	// these fields.
	withdrawalChanges []int // backends that were withdrawn or restored at the current clock time
	ackNonce          int   // nonce of the requested acknowledgement
	ackRequested      bool  // whether balancer.Controller requested an acknowledgement
	// ackFromAll is true if all connected proxies must acknowledge, not only the proxies with a
	// message due.
	ackFromAll bool

	// deltaTables counts the tables that were written as the difference from the table that a proxy
	// already had.
	deltaTables int
	// fullTables counts the tables that were written in full.
	fullTables int
}

// table holds the entries and the admission limits of one table, which orders refer to by its
// number.
type table struct {
	weights []float64 // weight of the entry of each backend, by backend index; 0 means no entry
	changed []int     // backends whose entries were set at the current clock time
	// isChanged holds, by backend index, whether the entry of the backend was set at the current
	// clock time.
	isChanged       []bool
	admissionLimits []admissionLimit // admission limit of each class in this table, by class index
}

// admissionLimit is the admission limit of a class, with the retry policy of its requests.
type admissionLimit struct {
	set   bool    // whether the class has an admission limit
	limit float64 // admitted share of the requests or admitted requests per second, depending on the admission mode
	retry balancer.RetryPolicy
}

// backendState is the state of a backend at a proxy, which may use the backend only if it is not
// withdrawn.
type backendState uint8

const (
	backendUnknown   backendState = iota // another controller may have withdrawn the backend from the proxy
	backendAllowed                       // the backend is not withdrawn: the proxy may use it
	backendWithdrawn                     // the backend is withdrawn: the proxy must not use it
)

// unassigned is the table number of a class to which this controller has assigned no table: the
// proxy keeps its present table for the class.
const unassigned = -1

// pushState is the state that a connected proxy should have, and the state that was last written to
// it.
type pushState struct {
	conn   *connection
	tables []int // by class: the number that identifies the table assigned to the class, or unassigned

	// Changes that the next message to the proxy is to carry, and the admission limits and backend
	// states that were last written to the proxy.
	dirty    bool   // whether a message to the proxy is due
	tableDue uint16 // bit set of the classes whose assigned table was not written to the proxy yet
	// withdrawalChanges holds the backends whose withdrawal or restoration concerns the proxy and was
	// ordered since its last message. SyncWithdrawals adds all withdrawn backends.
	withdrawalChanges []int
	// defaultAdmissionLimit applies to an unassigned class if no limit for all tables is set.
	// SyncWithdrawals sets it.
	defaultAdmissionLimit admissionLimit
	// admissionLimits holds, by class, the limit last written to the proxy. A negative limit means
	// that the proxy's limit is unknown.
	admissionLimits []admissionLimit
	// backendStates holds, by backend, the state last written to the proxy. A backend beyond the
	// end of the slice has initialState.
	backendStates []backendState
	// cleared is true after ClearWithdrawals: the proxy may use the backends of its tables that
	// other controllers have withdrawn from it.
	cleared bool
	// reconciled is true if backendStates agrees with all tables of the proxy, except for changes
	// since its last message.
	reconciled bool

	// State that the proxy had before it connected.
	mayHoldWithdrawals bool // whether other controllers may have withdrawn backends from the proxy
	// maybeWithdrawn holds, by backend index, which backends may be withdrawn from a proxy that has no
	// table of any controller. Such a proxy keeps withdrawals, too. It is nil if mayHoldWithdrawals is
	// set, or if it is known that the proxy holds none.
	maybeWithdrawn []bool
	// knownTables holds, by class, the table that the proxy is known to have until this controller
	// writes a table to the proxy; nil if the tables are unknown.
	knownTables []ownership.KnownTable

	// Fields that are used only where ownership is shared.
	held        bool   // whether messages to the proxy are held, so that changes collect for a later one
	heldClasses uint16 // bit set of the classes whose table was written to the proxy before it was held
	// heldTables holds, by class, the table that was written to the proxy before it was held.
	heldTables []ownership.KnownTable
	unowned    bool // whether another controller may still own the proxy, so that this controller must not write to it
	// wantsToken is true if the proxy asked for fencing tokens. Such a proxy refuses a message
	// whose token is older than a token that it has seen.
	wantsToken bool
	// grantToken is the fencing token of the claim by which this controller was granted the proxy;
	// 0 if the proxy asked for no tokens or there is no claim. The token stays the same while this
	// controller is without quorum, and after the proxy was claimed again.
	grantToken uint64
}

func newTables(classNames [][]byte, backendName func(int) []byte, maxFrame, maxParts int) *tables {
	return &tables{classNames: classNames, backendName: backendName, maxFrame: maxFrame, maxParts: maxParts,
		byNumber: map[int]*table{}, admissionLimitsForAll: make([]admissionLimit, len(classNames))}
}

// connect adds the state of a proxy that has connected.
func (t *tables) connect(proxy int, conn *connection, mayHoldWithdrawals bool) *pushState {
	for len(t.proxies) <= proxy {
		t.proxies = append(t.proxies, nil)
	}
	t.proxies[proxy] = &pushState{conn: conn, mayHoldWithdrawals: mayHoldWithdrawals,
		admissionLimits: make([]admissionLimit, len(t.classNames)),
		tables:          slices.Repeat([]int{unassigned}, len(t.classNames))}
	if !mayHoldWithdrawals {
		t.proxies[proxy].maybeWithdrawn = slices.Clone(t.maybeWithdrawn)
	}
	return t.proxies[proxy]
}

// noteMaybeWithdrawn notes that proxies may hold a withdrawal of a backend.
func (t *tables) noteMaybeWithdrawn(backend int) {
	for len(t.maybeWithdrawn) <= backend {
		t.maybeWithdrawn = append(t.maybeWithdrawn, false)
	}
	t.maybeWithdrawn[backend] = true
}

// disconnect discards the state of a proxy.
func (t *tables) disconnect(proxy int) { t.proxies[proxy] = nil }

// proxy returns the state of a proxy; nil if it is not connected.
func (t *tables) proxy(proxy int) *pushState {
	if proxy < 0 || proxy >= len(t.proxies) {
		return nil
	}
	return t.proxies[proxy]
}

// table returns the table with a number. It adds an empty table if no order has used the number
// yet.
func (t *tables) table(number int) *table {
	if t.byNumber[number] == nil {
		t.byNumber[number] = &table{admissionLimits: make([]admissionLimit, len(t.classNames))}
	}
	return t.byNumber[number]
}

// allClasses returns the set of all classes.
func (t *tables) allClasses() uint16 { return uint16(1<<len(t.classNames) - 1) }

// classSet returns the classes that an order applies to; an empty set in an order means all
// classes.
func (t *tables) classSet(classes uint16) uint16 {
	if classes == 0 {
		return t.allClasses()
	}
	return classes & t.allClasses()
}

// hasClass reports whether a set contains a class.
func hasClass(set uint16, class int) bool { return set&(1<<class) != 0 }

// PublishEntry implements balancer.Host: it sets the entry of a backend in a table, or removes it
// if the weight is 0.
func (t *tables) PublishEntry(number, backend int, weight float64) {
	table := t.table(number)
	for len(table.weights) <= backend {
		table.weights, table.isChanged = append(table.weights, 0), append(table.isChanged, false)
	}
	table.weights[backend] = sanitizeNumber(weight)
	if !table.isChanged[backend] {
		table.isChanged[backend], table.changed = true, append(table.changed, backend)
	}
	t.markDirty(func(proxy *pushState) bool { return slices.Contains(proxy.tables, number) })
}

// AssignTable implements balancer.Host: it assigns a table to some classes of a proxy. The next
// message to the proxy makes the proxy's table for these classes equal to the assigned table, and
// later messages contain only the changes of the assigned table.
func (t *tables) AssignTable(number, proxy int, classes uint16) {
	state := t.proxy(proxy)
	if state == nil {
		return // the proxy has disconnected
	}
	t.table(number)
	state.reconciled = false
	for class := range state.tables {
		if hasClass(t.classSet(classes), class) {
			state.tables[class] = number
			state.tableDue |= 1 << class
		}
	}
	state.dirty = true
}

// Withdraw implements balancer.Host: it withdraws a backend, or restores it. The change is written
// to connected proxies that have an entry for the backend or an unassigned class.
func (t *tables) Withdraw(backend int, withdrawn bool) {
	for len(t.withdrawn) <= backend {
		t.withdrawn = append(t.withdrawn, false)
	}
	t.withdrawn[backend] = withdrawn
	t.noteMaybeWithdrawn(backend)
	t.withdrawalChanges = append(t.withdrawalChanges, backend)
	t.markDirty(func(proxy *pushState) bool {
		// The table that the proxy uses for an unassigned class may contain the backend.
		concerned := slices.Contains(proxy.tables, unassigned) || t.uses(proxy, backend)
		if concerned {
			proxy.withdrawalChanges = append(proxy.withdrawalChanges, backend)
		}
		return concerned
	})
}

// SyncWithdrawals implements balancer.Host. It makes the next message to a proxy with an unassigned
// class contain all withdrawn backends, because the proxy may use any backend for that class. It
// also sets the limit of the unassigned classes at this proxy, which applies if no limit for all
// tables is set. It returns false if the proxy has no unassigned class or is not connected.
func (t *tables) SyncWithdrawals(proxy int, limit float64, retry balancer.RetryPolicy) bool {
	state := t.proxy(proxy)
	if state == nil || !slices.Contains(state.tables, unassigned) {
		return false
	}
	state.defaultAdmissionLimit = admissionLimit{true, sanitizeNumber(limit), retry}
	state.dirty = true
	for backend, withdrawn := range t.withdrawn {
		if withdrawn {
			state.withdrawalChanges = append(state.withdrawalChanges, backend)
		}
	}
	return true
}

// ClearWithdrawals implements balancer.Host: it allows a proxy to use the backends of its tables
// that other controllers have withdrawn from it.
func (t *tables) ClearWithdrawals(proxy int) {
	if state := t.proxy(proxy); state != nil {
		state.cleared, state.dirty, state.reconciled = true, true, false
	}
}

// SetAdmissionLimit implements balancer.Host: it sets the limit of some classes in one table, or
// for all tables. The lower of a table's limit and the limit for all applies, with the table's own
// retry policy.
func (t *tables) SetAdmissionLimit(number int, classes uint16, limit float64, retry balancer.RetryPolicy) {
	limits, concerned := t.admissionLimitsForAll, func(*pushState) bool { return true }
	if number != balancer.AllTables {
		limits = t.table(number).admissionLimits
		concerned = func(proxy *pushState) bool { return slices.Contains(proxy.tables, number) }
	}
	for class := range limits {
		if hasClass(t.classSet(classes), class) {
			limits[class] = admissionLimit{true, sanitizeNumber(limit), retry}
		}
	}
	t.markDirty(concerned)
}

// RequestAck implements balancer.Host: it requests an acknowledgement from the proxies that are
// written a message at this clock time or, if fromAll is true, from all connected proxies.
func (t *tables) RequestAck(nonce int, fromAll bool) {
	t.ackNonce, t.ackRequested, t.ackFromAll = nonce, true, t.ackFromAll || fromAll
}

// markDirty marks the proxies for which concerned returns true, so that flush writes each a
// message.
func (t *tables) markDirty(concerned func(*pushState) bool) {
	for _, proxy := range t.proxies {
		if proxy != nil && concerned(proxy) {
			proxy.dirty = true
		}
	}
}

// uses reports whether a table that is assigned to a proxy has an entry for a backend.
func (t *tables) uses(proxy *pushState, backend int) bool {
	for _, number := range proxy.tables {
		if number != unassigned && t.weight(number, backend) > 0 {
			return true
		}
	}
	return false
}

// weight returns the weight of a backend in a table; 0 if the table has no entry for the backend.
func (t *tables) weight(number, backend int) float64 {
	if weights := t.byNumber[number].weights; backend < len(weights) {
		return weights[backend]
	}
	return 0
}

// limitFor returns the limit that applies to a class at a proxy: the lower one of the limit of its
// table and the limit for all tables, with the table's own retry policy.
func (t *tables) limitFor(proxy *pushState, class int) admissionLimit {
	forAll := t.admissionLimitsForAll[class]
	number := proxy.tables[class]
	if number == unassigned {
		if forAll.set {
			return forAll
		}
		return proxy.defaultAdmissionLimit
	}
	own := t.byNumber[number].admissionLimits[class]
	if !own.set {
		return forAll
	}
	if forAll.set {
		own.limit = min(own.limit, forAll.limit)
	}
	return own
}

// forget discards the state of a backend that no table contains, and returns true, if
// decisionsForget returns true. decisionsForget discards the backend's state in
// balancer.Controller, and returns false if balancer.Controller still needs that state. forget also
// returns false while the backend is withdrawn from a connected proxy: until that connection ends,
// the backend must stay known, so that it can be restored if it is listed again.
func (t *tables) forget(backend int, decisionsForget func() bool) bool {
	for _, proxy := range t.proxies {
		if proxy != nil && backend < len(proxy.backendStates) && proxy.backendStates[backend] == backendWithdrawn {
			return false
		}
	}
	if !decisionsForget() {
		return false
	}
	if backend < len(t.withdrawn) {
		t.withdrawn[backend] = false
	}
	if backend < len(t.maybeWithdrawn) {
		t.maybeWithdrawn[backend] = false
	}
	for _, proxy := range t.proxies {
		if proxy == nil {
			continue
		}
		if backend < len(proxy.maybeWithdrawn) {
			proxy.maybeWithdrawn[backend] = false
		}
		if backend < len(proxy.backendStates) {
			proxy.backendStates[backend] = proxy.initialState(backend)
		}
	}
	return true
}

// countMaybeWithdrawn returns the number of backends that may be withdrawn from a proxy that had no
// table.
func (p *pushState) countMaybeWithdrawn() (count int) {
	for _, maybe := range p.maybeWithdrawn {
		if maybe {
			count++
		}
	}
	return count
}

// initialState returns the state of a backend at a proxy before the first message to the proxy that
// refers to the backend.
func (p *pushState) initialState(backend int) backendState {
	if p.mayHoldWithdrawals || backend < len(p.maybeWithdrawn) && p.maybeWithdrawn[backend] {
		return backendUnknown
	}
	return backendAllowed
}
