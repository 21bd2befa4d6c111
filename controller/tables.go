package controller

import (
	"math"
	"slices"

	"wheelrill/balancer"
	"wheelrill/ownership"
)

// tables knows the tables, levels and withdrawals that the decisions have ordered, and what was last written on each
// proxy's stream. It turns the orders of one clock time into one message for each proxy concerned.
type tables struct {
	classNames  [][]byte // names as they are written
	backendName func(backend int) []byte
	maxFrame    int
	maxParts    int

	byNumber          map[int]*table
	limitsForAll      []admissionLimit // for every table of every joined proxy, by class
	withdrawn         []bool           // by backend
	withdrawalChanges []int            // backends that were withdrawn or let back at this time
	proxies           []*proxyState

	ackNonce                 int
	ackRequested, ackFromAll bool
	deltaTables, fullTables  int // tables that went out as what differs, and as a whole
}

// table is one of those that proxies can be bound to.
type table struct {
	weights   []float64        // by backend; 0 is no line
	changed   []int            // backends whose lines were set at this time
	isChanged []bool           // by backend: it is among them
	limits    []admissionLimit // by class
}

// admissionLimit is how much of a class proxies let in, and how they try again.
type admissionLimit struct {
	set   bool
	limit float64
	retry balancer.RetryPolicy
}

// backendState is whether a proxy may use a backend, whatever its tables say.
type backendState uint8

const (
	backendUnknown backendState = iota // as it was when the proxy joined
	backendAllowed
	backendWithdrawn
)

// proxyState is a joined proxy's.
type proxyState struct {
	conn               *connection
	tables             []int // table by class, or unbound
	fullDue            uint16
	dirty              bool
	withdrawalChanges  []int            // backends withdrawn or let back since its last message, where that concerns it
	limits             []admissionLimit // as last written, by class
	defaultLimit       admissionLimit   // in force where no level was ordered and no table is ours, once it was sent
	backendStates      []backendState
	mayHoldWithdrawals bool // it may have joined with withdrawals of other controllers
	unowned            bool // another may own it still: nothing may be written to it
	wantsToken         bool // it asked for tokens, and refuses what comes with an older one than it has seen
	token              uint64
	base               []ownership.KnownTable // what it surely has by class, until a table of ours is written
	cleared            bool                   // backends that its tables use are let back
	reconciled         bool                   // its states were compared with all of its tables since it was bound or cleared
}

const unbound = -1

func newTables(classes [][]byte, name func(int) []byte, frame, parts int) *tables {
	return &tables{classNames: classes, backendName: name, maxFrame: frame, maxParts: parts, byNumber: map[int]*table{},
		limitsForAll: make([]admissionLimit, len(classes))}
}

func (t *tables) connect(proxy int, p *connection, keeps bool) *proxyState {
	for len(t.proxies) <= proxy {
		t.proxies = append(t.proxies, nil)
	}
	t.proxies[proxy] = &proxyState{conn: p, mayHoldWithdrawals: keeps, limits: make([]admissionLimit, len(t.classNames)),
		tables: slices.Repeat([]int{unbound}, len(t.classNames))}
	return t.proxies[proxy]
}

func (t *tables) disconnect(proxy int) { t.proxies[proxy] = nil }

func (t *tables) proxy(proxy int) *proxyState {
	if proxy < 0 || proxy >= len(t.proxies) {
		return nil
	}
	return t.proxies[proxy]
}

func (t *tables) table(number int) *table {
	if t.byNumber[number] == nil {
		t.byNumber[number] = &table{limits: make([]admissionLimit, len(t.classNames))}
	}
	return t.byNumber[number]
}

func (t *tables) classMask(classes uint16) uint16 {
	if every := uint16(1<<len(t.classNames) - 1); classes != 0 {
		return classes & every
	} else {
		return every
	}
}

// PublishEntry sets or takes out a line of a table.
func (t *tables) PublishEntry(number, backend int, weight float64) {
	in := t.table(number)
	for len(in.weights) <= backend {
		in.weights, in.isChanged = append(in.weights, 0), append(in.isChanged, false)
	}
	in.weights[backend] = sanitizeNumber(weight)
	if !in.isChanged[backend] {
		in.isChanged[backend], in.changed = true, append(in.changed, backend)
	}
	t.markDirty(func(s *proxyState) bool { return slices.Contains(s.tables, number) })
}

// AssignTable gives a proxy a whole table, and later what changes in it.
func (t *tables) AssignTable(number, proxy int, classes uint16) {
	s := t.proxy(proxy)
	if s == nil {
		return // it left meanwhile
	}
	t.table(number)
	s.reconciled = false
	for class := range s.tables {
		if t.classMask(classes)&(1<<class) != 0 {
			s.tables[class] = number
			s.fullDue |= 1 << class
		}
	}
	s.dirty = true
}

// Withdraw keeps joined proxies off a backend whatever their tables say, or lets them use it again.
func (t *tables) Withdraw(backend int, out bool) {
	for len(t.withdrawn) <= backend {
		t.withdrawn = append(t.withdrawn, false)
	}
	t.withdrawn[backend], t.withdrawalChanges = out, append(t.withdrawalChanges, backend)
	t.markDirty(func(s *proxyState) bool {
		// Tables that are not ours may have it.
		concerned := slices.Contains(s.tables, unbound) || t.uses(s, backend)
		if concerned {
			s.withdrawalChanges = append(s.withdrawalChanges, backend)
		}
		return concerned
	})
}

// SyncWithdrawals tells one proxy what is withdrawn, as it may use any of it while some table of it is not ours, and its levels.
func (t *tables) SyncWithdrawals(proxy int, allowance float64, tries balancer.RetryPolicy) bool {
	s := t.proxy(proxy)
	if s == nil || !slices.Contains(s.tables, unbound) {
		return false
	}
	s.defaultLimit, s.dirty = admissionLimit{true, sanitizeNumber(allowance), tries}, true
	for backend, out := range t.withdrawn {
		if out {
			s.withdrawalChanges = append(s.withdrawalChanges, backend)
		}
	}
	return true
}

// forget ends what is kept of a backend that no table and no proxy's tables have, if the decisions can. A proxy that we
// shut it out from goes on doing so: as long as that stream lives the backend must be known if it comes back.
func (t *tables) forget(backend int, decisions func() bool) bool {
	for _, s := range t.proxies {
		if s != nil && backend < len(s.backendStates) && s.backendStates[backend] == backendWithdrawn {
			return false
		}
	}
	if !decisions() {
		return false
	}
	if backend < len(t.withdrawn) {
		t.withdrawn[backend] = false
	}
	for _, s := range t.proxies {
		if s != nil && backend < len(s.backendStates) {
			if s.backendStates[backend] = backendAllowed; s.mayHoldWithdrawals {
				s.backendStates[backend] = backendUnknown
			}
		}
	}
	return true
}

// ClearWithdrawals lets a proxy use what others had withdrawn from it.
func (t *tables) ClearWithdrawals(proxy int) {
	if s := t.proxy(proxy); s != nil {
		s.cleared, s.dirty, s.reconciled = true, true, false
	}
}

// SetAdmissionLimit sets a level of a table, or of all. The lower one stands, and the table's own manner of trying again.
func (t *tables) SetAdmissionLimit(number int, classes uint16, allowance float64, tries balancer.RetryPolicy) {
	levels, concerned := t.limitsForAll, func(*proxyState) bool { return true }
	if number != balancer.AllTables {
		levels = t.table(number).limits
		concerned = func(s *proxyState) bool { return slices.Contains(s.tables, number) }
	}
	for class := range levels {
		if t.classMask(classes)&(1<<class) != 0 {
			levels[class] = admissionLimit{true, sanitizeNumber(allowance), tries}
		}
	}
	t.markDirty(concerned)
}

// RequestAck has the proxies reached at this time, or all joined ones, say when they have applied it.
func (t *tables) RequestAck(number int, everyone bool) {
	t.ackNonce, t.ackRequested, t.ackFromAll = number, true, t.ackFromAll || everyone
}

func (t *tables) markDirty(concerned func(*proxyState) bool) {
	for _, s := range t.proxies {
		if s != nil && concerned(s) {
			s.dirty = true
		}
	}
}

// uses tells whether a proxy's tables, as far as they are ours, have a line for a backend.
func (t *tables) uses(s *proxyState, backend int) bool {
	for _, number := range s.tables {
		if number != unbound && t.weight(number, backend) > 0 {
			return true
		}
	}
	return false
}

func (t *tables) weight(number, backend int) float64 {
	if w := t.byNumber[number].weights; backend < len(w) {
		return w[backend]
	}
	return 0
}

// flush writes what was ordered since the last one and hands each message over, in the order of the proxies. A proxy
// whose message could not be handed over is given to lost.
func (t *tables) flush(sends func(*connection, []byte) error, lost func(proxy int, err error), marked func(proxy, mark int)) {
	for proxy, s := range t.proxies {
		if s == nil || s.unowned || !s.dirty && !(t.ackRequested && t.ackFromAll) {
			continue
		}
		s.dirty = false
		message, err := t.encodeFor(s)
		if err == nil {
			err = sends(s.conn, message)
		}
		if err != nil {
			lost(proxy, err)
			continue
		}
		if t.ackRequested {
			marked(proxy, t.ackNonce)
		}
	}
	for _, in := range t.byNumber {
		for _, backend := range in.changed {
			in.isChanged[backend] = false
		}
		in.changed = in.changed[:0]
	}
	t.ackRequested, t.ackFromAll, t.withdrawalChanges = false, false, t.withdrawalChanges[:0]
}

// encodeFor encodes what one proxy must be told, and notes it as written.
func (t *tables) encodeFor(s *proxyState) ([]byte, error) {
	o := &messageWriter{classNames: t.classNames, maxFrame: t.maxFrame, maxParts: t.maxParts, token: s.token}
	rest := uint16(1<<len(t.classNames) - 1)
	for class, number := range s.tables {
		if rest&(1<<class) == 0 || number == unbound {
			continue
		}
		var due, stand uint16 // classes of this table that get it whole, and those that have it
		for other, same := range s.tables {
			if same == number {
				due |= s.fullDue & (1 << other)
				stand |= 1 << other &^ s.fullDue
			}
		}
		rest &^= due | stand
		in := t.byNumber[number]
		if due != 0 {
			if differ, ok := t.encodeDelta(s, in, due); ok {
				o.writeTableChange(due, differ)
				t.deltaTables++
			} else {
				o.writeFullTable(due, t.encodeEntries(in, nil))
				t.fullTables++
			}
		}
		if stand != 0 && len(in.changed) > 0 {
			o.writeTableChange(stand, t.encodeEntries(in, in.changed))
		}
	}
	t.writeLimits(s, o)
	t.writeWithdrawals(s, o)
	if s.fullDue != 0 {
		s.base = nil
	}
	s.fullDue = 0
	if t.ackRequested {
		o.writeAckRequest(t.ackNonce)
	}
	if o.parts == 0 {
		o.nextPart(0)
	}
	return o.finish()
}

// encodeEntries encodes the changed lines of a table, or all that stand.
func (t *tables) encodeEntries(in *table, changed []int) (lines [][]byte) {
	for _, b := range changed {
		lines = append(lines, encodeEntry(t.backendName(b), in.weights[b]))
	}
	if changed != nil {
		return lines
	}
	for b, weight := range in.weights {
		if weight > 0 {
			lines = append(lines, encodeEntry(t.backendName(b), weight))
		}
	}
	return lines
}

// encodeDelta encodes the lines of a table that a proxy lacks, or may lack, by what it surely has, where that is less than
// the whole table.
func (t *tables) encodeDelta(s *proxyState, in *table, due uint16) (lines [][]byte, ok bool) {
	if s.base == nil {
		return nil, false
	}
	want := map[string]float64{}
	for b, weight := range in.weights {
		if weight > 0 {
			want[string(t.backendName(b))] = weight
		}
	}
	differ, ok := ownership.Delta(s.base, func(class int) bool { return due&(1<<class) != 0 }, want)
	if !ok {
		return nil, false
	}
	for _, l := range differ {
		lines = append(lines, encodeEntry([]byte(l.Backend), l.Weight))
	}
	for class := range s.limits { // it may have any: each is written anew, as where a table of ours is whole it has none
		if due&(1<<class) != 0 {
			s.limits[class] = admissionLimit{set: true, limit: -1}
		}
	}
	return lines, true
}

// unlimited is the level of a class for which none was ordered, where it has to be said: no proxy reaches it, and tries are
// as proxies make them without any order.
var unlimited = admissionLimit{true, math.MaxFloat32, balancer.RetryIfNotExecuted}

// writeLimits writes what differs from the levels that the proxy was last told; a whole table forgets them.
func (t *tables) writeLimits(s *proxyState, o *messageWriter) {
	var open uint16
	for class := range t.classNames {
		now, kept := t.limitFor(s, class), s.limits[class].limit < 0
		if s.fullDue&(1<<class) != 0 && !kept {
			s.limits[class] = admissionLimit{}
		}
		if !now.set && (kept || s.limits[class] == unlimited) {
			now = unlimited
		}
		if now != s.limits[class] {
			s.limits[class] = now
			open |= 1 << class
		}
	}
	for class, now := range s.limits {
		same := uint16(0)
		for other := class; other < len(s.limits) && open&(1<<class) != 0; other++ {
			if open&(1<<other) != 0 && s.limits[other] == now {
				same |= 1 << other
			}
		}
		if same != 0 {
			o.writeLimit(same, now)
			open &^= same
		}
	}
}

// limitFor is what stands for a class at a proxy: the lower one, and the table's own manner of trying again.
func (t *tables) limitFor(s *proxyState, class int) admissionLimit {
	now := t.limitsForAll[class]
	if number := s.tables[class]; number != unbound {
		if own := t.byNumber[number].limits[class]; own.set {
			if now.set {
				own.limit = min(own.limit, now.limit)
			}
			return own
		}
	} else if !now.set {
		now = s.defaultLimit
	}
	return now
}

// writeWithdrawals writes which backends are withdrawn, and which are let back. A proxy keeps withdrawals of other
// controllers, and of our process before this one, while the decisions count on a cleared proxy to keep only ours: so
// whatever its tables use and it may keep withdrawn is let back then, or with the first line for it.
func (t *tables) writeWithdrawals(s *proxyState, o *messageWriter) {
	var out, back [][]byte
	for _, b := range t.uncertainBackends(s) {
		unsure := slices.Contains(s.tables, unbound) && slices.Contains(s.withdrawalChanges, b)
		if !unsure && !t.uses(s, b) {
			continue
		}
		for len(s.backendStates) <= b {
			state := backendAllowed
			if s.mayHoldWithdrawals {
				state = backendUnknown
			}
			s.backendStates = append(s.backendStates, state)
		}
		switch withdrawn := b < len(t.withdrawn) && t.withdrawn[b]; {
		case withdrawn && s.backendStates[b] != backendWithdrawn:
			out, s.backendStates[b] = append(out, t.backendName(b)), backendWithdrawn
		case !withdrawn && (s.backendStates[b] == backendWithdrawn || s.backendStates[b] == backendUnknown && (s.cleared || unsure)):
			back, s.backendStates[b] = append(back, t.backendName(b)), backendAllowed
		}
	}
	s.withdrawalChanges, s.reconciled = s.withdrawalChanges[:0], true
	o.writeBackends("out", out)
	o.writeBackends("back", back)
}

// uncertainBackends are the backends that a proxy may keep in another state than it should, in order: all that are known, until its
// tables were gone through once, and then those whose lines or withdrawals changed since its last message.
func (t *tables) uncertainBackends(s *proxyState) (all []int) {
	if s.reconciled {
		all = slices.Clone(s.withdrawalChanges)
		for class, number := range s.tables {
			if number != unbound && !slices.Contains(s.tables[:class], number) {
				all = append(all, t.byNumber[number].changed...)
			}
		}
		slices.Sort(all)
		return slices.Compact(all)
	}
	most := len(t.withdrawn)
	for _, in := range t.byNumber {
		most = max(most, len(in.weights))
	}
	for b := range most {
		all = append(all, b)
	}
	return all
}
