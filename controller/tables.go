package controller

import (
	"slices"

	"wheelrill/balancer"
	"wheelrill/ownership"
)

// tables holds the tables, admission limits and withdrawals that the decisions have ordered, and
// the state that each connected proxy was last written. Orders update it and mark the proxies
// concerned; flush writes each marked proxy one message for all orders of one clock time. The event
// loop owns it.
type tables struct {
	classNames  [][]byte                 // by class: the name as encoded in messages, a JSON string
	backendName func(backend int) []byte // id of a backend, encoded the same way
	maxFrame    int                      // bytes of one part of a message, at most
	maxParts    int                      // parts of a message, at most

	byNumber              map[int]*table
	admissionLimitsForAll []admissionLimit // by class: for all tables of all connected proxies
	withdrawn             []bool           // by backend
	proxies               []*pushState     // by proxy; nil if the proxy is not connected

	// Changes and requests at the current clock time; flush resets them.
	withdrawalChanges []int // backends that were withdrawn or restored
	ackNonce          int   // nonce of the requested acknowledgement
	ackRequested      bool  // an acknowledgement is requested
	ackFromAll        bool  // from all connected proxies, not only those that are written a message

	// deltaTables counts the tables that were written as the difference from the table that a proxy
	// already had.
	deltaTables int
	// fullTables counts the tables that were written in full.
	fullTables int
}

// table holds the entries and the admission limits of one table number.
type table struct {
	weights         []float64        // by backend; 0 means no entry
	changed         []int            // backends whose entries were set at this clock time
	isChanged       []bool           // by backend: whether changed contains it
	admissionLimits []admissionLimit // by class
}

// admissionLimit is the admission limit of a class, with the retry policy of its requests.
type admissionLimit struct {
	set   bool    // false if no limit was ordered
	limit float64 // a share, or requests a second, depending on the site's admission mode
	retry balancer.RetryPolicy
}

// backendState says whether a proxy may use a backend, whatever its tables contain.
type backendState uint8

const (
	backendUnknown   backendState = iota // the proxy's state from before it connected
	backendAllowed                       // the proxy may use the backend
	backendWithdrawn                     // the proxy was ordered not to use the backend
)

// unassigned stands for the table of a class to which this controller has assigned none: the proxy
// keeps the table that it has.
const unassigned = -1

// pushState is the state that a connected proxy should have, and the state that it was last
// written.
type pushState struct {
	conn   *connection
	tables []int // by class: number of the assigned table, or unassigned

	// Changes that the next message contains, and the state as last written.
	dirty   bool   // a message is due
	fullDue uint16 // classes whose tables are to be written in full
	// withdrawalChanges holds the backends that were withdrawn or restored since the last message,
	// if the change concerns this proxy.
	withdrawalChanges []int
	// defaultAdmissionLimit applies to an unassigned class if there is no limit for all tables.
	// SyncWithdrawals sets it.
	defaultAdmissionLimit admissionLimit
	// admissionLimits holds, by class, the limit as last written. A limit below 0 stands for an
	// unknown one.
	admissionLimits []admissionLimit
	backendStates   []backendState // by backend: as last written; initialState beyond its end
	cleared         bool           // withdrawals of other controllers are lifted from the backends of its tables
	// reconciled is true if backendStates agrees with all tables of the proxy, except for changes
	// since its last message.
	reconciled bool

	// State that the proxy brings from before it connected.
	mayHoldWithdrawals bool // it may have withdrawals of other controllers
	// knownTables holds, by class, the table that the proxy surely has, until a table of this
	// controller is written; nil if that is unknown.
	knownTables []ownership.KnownTable

	// Fields that are used only where ownership is shared.
	unowned bool // another controller may still own the proxy, so nothing may be written to it
	// wantsToken is true if the proxy asked for fencing tokens. It then refuses a message with an
	// older token than it has seen.
	wantsToken bool
	// grantToken is the token of the claim by which the proxy was granted; 0 for none. It stays the
	// same without a quorum, and after the proxy was claimed again.
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
	return t.proxies[proxy]
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

// table returns the table with a number, an empty one if no order has named it yet.
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

// AssignTable implements balancer.Host: for some classes, a proxy is written the complete table,
// and later the changes of the table.
func (t *tables) AssignTable(number, proxy int, classes uint16) {
	state := t.proxy(proxy)
	if state == nil {
		return // it has disconnected
	}
	t.table(number)
	state.reconciled = false
	for class := range state.tables {
		if hasClass(t.classSet(classes), class) {
			state.tables[class] = number
			state.fullDue |= 1 << class
		}
	}
	state.dirty = true
}

// Withdraw implements balancer.Host: it withdraws a backend from connected proxies, whatever their
// tables contain, or restores it.
func (t *tables) Withdraw(backend int, withdrawn bool) {
	for len(t.withdrawn) <= backend {
		t.withdrawn = append(t.withdrawn, false)
	}
	t.withdrawn[backend] = withdrawn
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

// SyncWithdrawals implements balancer.Host: a proxy with an unassigned class is written all
// withdrawn backends, because it may use any of them, and a limit for its unassigned classes that
// have none. It returns false if the proxy has no unassigned class or is not connected.
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

// ClearWithdrawals implements balancer.Host: a proxy may use the backends of its tables that other
// controllers have withdrawn from it.
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

// RequestAck implements balancer.Host: the proxies that are written a message at this clock time,
// or all connected ones, are asked to acknowledge it.
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

// uses reports whether a table that a proxy is assigned has an entry for a backend.
func (t *tables) uses(proxy *pushState, backend int) bool {
	for _, number := range proxy.tables {
		if number != unassigned && t.weight(number, backend) > 0 {
			return true
		}
	}
	return false
}

// weight returns the weight of a backend in a table; 0 if it has no entry.
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

// forget discards the state of a backend that no table contains, if the decisions can discard
// theirs. It returns false while a connected proxy has the backend withdrawn: until that connection
// ends, the backend must stay known, so that it can be restored if it is listed again.
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
	for _, proxy := range t.proxies {
		if proxy != nil && backend < len(proxy.backendStates) {
			proxy.backendStates[backend] = proxy.initialState()
		}
	}
	return true
}

// initialState returns the state of a backend before the proxy is written anything about it.
func (p *pushState) initialState() backendState {
	if p.mayHoldWithdrawals {
		return backendUnknown
	}
	return backendAllowed
}
