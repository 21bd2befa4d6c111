package controller

import (
	"slices"

	"wheelrill/balancer"
	"wheelrill/ownership"
)

// tables keeps the tables, admission limits and withdrawals that the decisions have ordered, and what each connected proxy was last
// written. Orders change it and mark the proxies concerned; flush writes each of them one message for all orders of one clock time.
// The event loop owns it.
type tables struct {
	classNames  [][]byte                 // by class: its name as it stands in messages, a JSON string
	backendName func(backend int) []byte // the same of a backend's id
	maxFrame    int                      // bytes of a part of a message
	maxParts    int                      // parts of a message

	byNumber              map[int]*table
	admissionLimitsForAll []admissionLimit // by class: for every table of every connected proxy
	withdrawn             []bool           // by backend
	proxies               []*pushState     // by proxy; nil if it is not connected

	// Of this clock time, until flush.
	withdrawalChanges []int // backends that were withdrawn or restored
	ackNonce          int   // of the acknowledgement that is asked for ...
	ackRequested      bool  // ... if one is ...
	ackFromAll        bool  // ... from all connected proxies, not only those that are written something

	deltaTables int // tables that were written as what differs from those that a proxy brought, in all
	fullTables  int // tables that were written in full, in all
}

// table is one of those that proxies can be assigned.
type table struct {
	weights         []float64        // by backend; 0 is no entry
	changed         []int            // backends whose entries were set at this clock time
	isChanged       []bool           // by backend: it is among changed
	admissionLimits []admissionLimit // by class
}

// admissionLimit is how much of a class proxies admit, and how they may retry.
type admissionLimit struct {
	set   bool    // false: nothing was ordered
	limit float64 // a share, or requests a second, by the site's admission mode
	retry balancer.RetryPolicy
}

// backendState is whether a proxy may use a backend, whatever its tables say.
type backendState uint8

const (
	backendUnknown   backendState = iota // as it was when the proxy connected
	backendAllowed                       // it may use it
	backendWithdrawn                     // it was told not to
)

// unbound stands for the table of a class that is not ours: the proxy goes on with the one that it has.
const unbound = -1

// pushState is what a connected proxy is to have, and what it was written.
type pushState struct {
	conn   *connection
	tables []int // by class: number of its table, or unbound

	// What is to be written.
	dirty                 bool             // something is
	fullDue               uint16           // classes whose tables are to be written in full
	withdrawalChanges     []int            // backends withdrawn or restored since its last message, where that concerns it
	defaultAdmissionLimit admissionLimit   // in force where no limit was ordered and no table is ours, once it was written
	admissionLimits       []admissionLimit // by class: as last written; a limit below 0 stands for one that nobody knows
	backendStates         []backendState   // by backend: as last written; those beyond its end are as at first
	cleared               bool             // withdrawals of others are lifted from the backends that its tables use
	reconciled            bool             // backendStates agrees with all of its tables but for what changed since its last message

	// What it came with.
	mayHoldWithdrawals bool                   // it may have withdrawals of other controllers
	base               []ownership.KnownTable // by class: what it surely has, until a table of ours is written; nil if unknown

	// Where ownership is shared.
	unowned    bool   // another controller may own it still: nothing may be written to it
	wantsToken bool   // it asked for fencing tokens, and refuses what comes with an older one than it has seen
	grantToken uint64 // of the claim by which it was granted; it stays so without a quorum, and after it was claimed again; 0 for none
}

func newTables(classNames [][]byte, backendName func(int) []byte, maxFrame, maxParts int) *tables {
	return &tables{classNames: classNames, backendName: backendName, maxFrame: maxFrame, maxParts: maxParts,
		byNumber: map[int]*table{}, admissionLimitsForAll: make([]admissionLimit, len(classNames))}
}

// connect begins what is kept of a proxy.
func (t *tables) connect(proxy int, conn *connection, mayHoldWithdrawals bool) *pushState {
	for len(t.proxies) <= proxy {
		t.proxies = append(t.proxies, nil)
	}
	t.proxies[proxy] = &pushState{conn: conn, mayHoldWithdrawals: mayHoldWithdrawals,
		admissionLimits: make([]admissionLimit, len(t.classNames)), tables: slices.Repeat([]int{unbound}, len(t.classNames))}
	return t.proxies[proxy]
}

// disconnect ends what is kept of a proxy.
func (t *tables) disconnect(proxy int) { t.proxies[proxy] = nil }

// proxy gives what is kept of a proxy; nil if it is not connected.
func (t *tables) proxy(proxy int) *pushState {
	if proxy < 0 || proxy >= len(t.proxies) {
		return nil
	}
	return t.proxies[proxy]
}

// table gives the table of a number, an empty one if nothing was ordered of it.
func (t *tables) table(number int) *table {
	if t.byNumber[number] == nil {
		t.byNumber[number] = &table{admissionLimits: make([]admissionLimit, len(t.classNames))}
	}
	return t.byNumber[number]
}

// allClasses is the set of all classes.
func (t *tables) allClasses() uint16 { return uint16(1<<len(t.classNames) - 1) }

// classSet reads a set of classes as orders give it: none in particular stands for all.
func (t *tables) classSet(classes uint16) uint16 {
	if classes == 0 {
		return t.allClasses()
	}
	return classes & t.allClasses()
}

// hasClass tells whether a class is in a set.
func hasClass(set uint16, class int) bool { return set&(1<<class) != 0 }

// PublishEntry implements balancer.Host: it sets the entry of a backend in a table, or takes it out.
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

// AssignTable implements balancer.Host: a proxy gets a full table for some classes, and later what changes in it.
func (t *tables) AssignTable(number, proxy int, classes uint16) {
	state := t.proxy(proxy)
	if state == nil {
		return // it disconnected meanwhile
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

// Withdraw implements balancer.Host: it keeps connected proxies off a backend whatever their tables say, or restores it.
func (t *tables) Withdraw(backend int, withdrawn bool) {
	for len(t.withdrawn) <= backend {
		t.withdrawn = append(t.withdrawn, false)
	}
	t.withdrawn[backend] = withdrawn
	t.withdrawalChanges = append(t.withdrawalChanges, backend)
	t.markDirty(func(proxy *pushState) bool {
		// A table that is not ours may have it.
		concerned := slices.Contains(proxy.tables, unbound) || t.uses(proxy, backend)
		if concerned {
			proxy.withdrawalChanges = append(proxy.withdrawalChanges, backend)
		}
		return concerned
	})
}

// SyncWithdrawals implements balancer.Host: a proxy of which some table is not ours is told all that is withdrawn, as it may use any
// of it, and a limit for what has none. False where all of its tables are ours.
func (t *tables) SyncWithdrawals(proxy int, limit float64, retry balancer.RetryPolicy) bool {
	state := t.proxy(proxy)
	if state == nil || !slices.Contains(state.tables, unbound) {
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

// ClearWithdrawals implements balancer.Host: a proxy may use what its tables have and others had withdrawn from it.
func (t *tables) ClearWithdrawals(proxy int) {
	if state := t.proxy(proxy); state != nil {
		state.cleared, state.dirty, state.reconciled = true, true, false
	}
}

// SetAdmissionLimit implements balancer.Host: it sets the limit of some classes in a table, or in all. The lower of the two stands,
// with the table's own retry policy.
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

// RequestAck implements balancer.Host: the proxies that are written something at this clock time, or all connected ones, are to
// acknowledge it.
func (t *tables) RequestAck(nonce int, everyone bool) {
	t.ackNonce, t.ackRequested, t.ackFromAll = nonce, true, t.ackFromAll || everyone
}

// markDirty has the proxies concerned be written a message.
func (t *tables) markDirty(concerned func(*pushState) bool) {
	for _, proxy := range t.proxies {
		if proxy != nil && concerned(proxy) {
			proxy.dirty = true
		}
	}
}

// uses tells whether a proxy's tables, as far as they are ours, have an entry for a backend.
func (t *tables) uses(proxy *pushState, backend int) bool {
	for _, number := range proxy.tables {
		if number != unbound && t.weight(number, backend) > 0 {
			return true
		}
	}
	return false
}

// weight gives the weight of a backend in a table; 0 for no entry.
func (t *tables) weight(number, backend int) float64 {
	if weights := t.byNumber[number].weights; backend < len(weights) {
		return weights[backend]
	}
	return 0
}

// limitFor is the limit that stands for a class at a proxy: the lower one of its table's and that of all, with the table's own
// retry policy.
func (t *tables) limitFor(proxy *pushState, class int) admissionLimit {
	forAll := t.admissionLimitsForAll[class]
	number := proxy.tables[class]
	if number == unbound {
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

// forget ends what is kept of a backend that no table and no proxy's tables have, if the decisions can. A proxy that was told not to
// use it goes on so: as long as that connection lives, the backend must be known if it comes back.
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

// initialState is the state of a backend of which the proxy was told nothing.
func (p *pushState) initialState() backendState {
	if p.mayHoldWithdrawals {
		return backendUnknown
	}
	return backendAllowed
}
