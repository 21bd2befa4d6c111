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
	classes [][]byte // names as they are written
	name    func(backend int) []byte
	frame   int
	parts   int

	byNumber          map[int]*table
	all               []level // for every table of every joined proxy, by class
	withdrawn         []bool  // by backend
	withdrawalChanges []int   // backends that were withdrawn or let back at this time
	streams           []*stream

	mark            int
	marked, markAll bool
	deltas, wholes  int // tables that went out as what differs, and as a whole
}

// table is one of those that proxies can be bound to.
type table struct {
	weights   []float64 // by backend; 0 is no line
	changed   []int     // backends whose lines were set at this time
	isChanged []bool    // by backend: it is among them
	levels    []level   // by class
}

// level is how much of a class proxies let in, and how they try again.
type level struct {
	set       bool
	allowance float64
	tries     balancer.RetryPolicy
}

// backendState is whether a proxy may use a backend, whatever its tables say.
type backendState uint8

const (
	backendUnknown backendState = iota // as it was when the proxy joined
	backendAllowed
	backendWithdrawn
)

// stream is a joined proxy's.
type stream struct {
	peer               *peer
	bound              []int // table by class, or unbound
	due                uint16
	touched            bool
	withdrawalChanges  []int   // backends withdrawn or let back since its last message, where that concerns it
	levels             []level // as last written, by class
	defaultLevel       level   // in force where no level was ordered and no table is ours, once it was sent
	backendStates      []backendState
	mayHoldWithdrawals bool // it may have joined with withdrawals of other controllers
	unowned            bool // another may own it still: nothing may be written to it
	fenced             bool // it asked for tokens, and refuses what comes with an older one than it has seen
	token              uint64
	base               []ownership.KnownTable // what it surely has by class, until a table of ours is written
	cleared            bool                   // backends that its tables use are let back
	settled            bool                   // its states were compared with all of its tables since it was bound or cleared
}

const unbound = -1

func newTables(classes [][]byte, name func(int) []byte, frame, parts int) *tables {
	return &tables{classes: classes, name: name, frame: frame, parts: parts, byNumber: map[int]*table{},
		all: make([]level, len(classes))}
}

func (t *tables) join(proxy int, p *peer, keeps bool) *stream {
	for len(t.streams) <= proxy {
		t.streams = append(t.streams, nil)
	}
	t.streams[proxy] = &stream{peer: p, mayHoldWithdrawals: keeps, levels: make([]level, len(t.classes)),
		bound: slices.Repeat([]int{unbound}, len(t.classes))}
	return t.streams[proxy]
}

func (t *tables) leave(proxy int) { t.streams[proxy] = nil }

func (t *tables) at(proxy int) *stream {
	if proxy < 0 || proxy >= len(t.streams) {
		return nil
	}
	return t.streams[proxy]
}

func (t *tables) table(number int) *table {
	if t.byNumber[number] == nil {
		t.byNumber[number] = &table{levels: make([]level, len(t.classes))}
	}
	return t.byNumber[number]
}

func (t *tables) mask(classes uint16) uint16 {
	if every := uint16(1<<len(t.classes) - 1); classes != 0 {
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
	in.weights[backend] = figure(weight)
	if !in.isChanged[backend] {
		in.isChanged[backend], in.changed = true, append(in.changed, backend)
	}
	t.touch(func(s *stream) bool { return slices.Contains(s.bound, number) })
}

// AssignTable gives a proxy a whole table, and later what changes in it.
func (t *tables) AssignTable(number, proxy int, classes uint16) {
	s := t.at(proxy)
	if s == nil {
		return // it left meanwhile
	}
	t.table(number)
	s.settled = false
	for class := range s.bound {
		if t.mask(classes)&(1<<class) != 0 {
			s.bound[class] = number
			s.due |= 1 << class
		}
	}
	s.touched = true
}

// Withdraw keeps joined proxies off a backend whatever their tables say, or lets them use it again.
func (t *tables) Withdraw(backend int, out bool) {
	for len(t.withdrawn) <= backend {
		t.withdrawn = append(t.withdrawn, false)
	}
	t.withdrawn[backend], t.withdrawalChanges = out, append(t.withdrawalChanges, backend)
	t.touch(func(s *stream) bool {
		// Tables that are not ours may have it.
		concerned := slices.Contains(s.bound, unbound) || t.uses(s, backend)
		if concerned {
			s.withdrawalChanges = append(s.withdrawalChanges, backend)
		}
		return concerned
	})
}

// SyncWithdrawals tells one proxy what is withdrawn, as it may use any of it while some table of it is not ours, and its levels.
func (t *tables) SyncWithdrawals(proxy int, allowance float64, tries balancer.RetryPolicy) bool {
	s := t.at(proxy)
	if s == nil || !slices.Contains(s.bound, unbound) {
		return false
	}
	s.defaultLevel, s.touched = level{true, figure(allowance), tries}, true
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
	for _, s := range t.streams {
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
	for _, s := range t.streams {
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
	if s := t.at(proxy); s != nil {
		s.cleared, s.touched, s.settled = true, true, false
	}
}

// SetAdmissionLimit sets a level of a table, or of all. The lower one stands, and the table's own manner of trying again.
func (t *tables) SetAdmissionLimit(number int, classes uint16, allowance float64, tries balancer.RetryPolicy) {
	levels, concerned := t.all, func(*stream) bool { return true }
	if number != balancer.AllTables {
		levels = t.table(number).levels
		concerned = func(s *stream) bool { return slices.Contains(s.bound, number) }
	}
	for class := range levels {
		if t.mask(classes)&(1<<class) != 0 {
			levels[class] = level{true, figure(allowance), tries}
		}
	}
	t.touch(concerned)
}

// RequestAck has the proxies reached at this time, or all joined ones, say when they have applied it.
func (t *tables) RequestAck(number int, everyone bool) {
	t.mark, t.marked, t.markAll = number, true, t.markAll || everyone
}

func (t *tables) touch(concerned func(*stream) bool) {
	for _, s := range t.streams {
		if s != nil && concerned(s) {
			s.touched = true
		}
	}
}

// uses tells whether a proxy's tables, as far as they are ours, have a line for a backend.
func (t *tables) uses(s *stream, backend int) bool {
	for _, number := range s.bound {
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
func (t *tables) flush(sends func(*peer, []byte) error, lost func(proxy int, err error), marked func(proxy, mark int)) {
	for proxy, s := range t.streams {
		if s == nil || s.unowned || !s.touched && !(t.marked && t.markAll) {
			continue
		}
		s.touched = false
		message, err := t.message(s)
		if err == nil {
			err = sends(s.peer, message)
		}
		if err != nil {
			lost(proxy, err)
			continue
		}
		if t.marked {
			marked(proxy, t.mark)
		}
	}
	for _, in := range t.byNumber {
		for _, backend := range in.changed {
			in.isChanged[backend] = false
		}
		in.changed = in.changed[:0]
	}
	t.marked, t.markAll, t.withdrawalChanges = false, false, t.withdrawalChanges[:0]
}

// message encodes what one proxy must be told, and notes it as written.
func (t *tables) message(s *stream) ([]byte, error) {
	o := &order{classes: t.classes, limit: t.frame, most: t.parts, token: s.token}
	rest := uint16(1<<len(t.classes) - 1)
	for class, number := range s.bound {
		if rest&(1<<class) == 0 || number == unbound {
			continue
		}
		var due, stand uint16 // classes of this table that get it whole, and those that have it
		for other, same := range s.bound {
			if same == number {
				due |= s.due & (1 << other)
				stand |= 1 << other &^ s.due
			}
		}
		rest &^= due | stand
		in := t.byNumber[number]
		if due != 0 {
			if differ, ok := t.differing(s, in, due); ok {
				o.change(due, differ)
				t.deltas++
			} else {
				o.whole(due, t.lines(in, nil))
				t.wholes++
			}
		}
		if stand != 0 && len(in.changed) > 0 {
			o.change(stand, t.lines(in, in.changed))
		}
	}
	t.writeLevels(s, o)
	t.writeWithdrawals(s, o)
	if s.due != 0 {
		s.base = nil
	}
	s.due = 0
	if t.marked {
		o.ticket(t.mark)
	}
	if o.parts == 0 {
		o.next(0)
	}
	return o.end()
}

// lines encodes the changed lines of a table, or all that stand.
func (t *tables) lines(in *table, changed []int) (lines [][]byte) {
	for _, b := range changed {
		lines = append(lines, line(t.name(b), in.weights[b]))
	}
	if changed != nil {
		return lines
	}
	for b, weight := range in.weights {
		if weight > 0 {
			lines = append(lines, line(t.name(b), weight))
		}
	}
	return lines
}

// differing encodes the lines of a table that a proxy lacks, or may lack, by what it surely has, where that is less than
// the whole table.
func (t *tables) differing(s *stream, in *table, due uint16) (lines [][]byte, ok bool) {
	if s.base == nil {
		return nil, false
	}
	want := map[string]float64{}
	for b, weight := range in.weights {
		if weight > 0 {
			want[string(t.name(b))] = weight
		}
	}
	differ, ok := ownership.Delta(s.base, func(class int) bool { return due&(1<<class) != 0 }, want)
	if !ok {
		return nil, false
	}
	for _, l := range differ {
		lines = append(lines, line([]byte(l.Backend), l.Weight))
	}
	for class := range s.levels { // it may have any: each is written anew, as where a table of ours is whole it has none
		if due&(1<<class) != 0 {
			s.levels[class] = level{set: true, allowance: -1}
		}
	}
	return lines, true
}

// unlimited is the level of a class for which none was ordered, where it has to be said: no proxy reaches it, and tries are
// as proxies make them without any order.
var unlimited = level{true, math.MaxFloat32, balancer.RetryIfNotExecuted}

// writeLevels writes what differs from the levels that the proxy was last told; a whole table forgets them.
func (t *tables) writeLevels(s *stream, o *order) {
	var open uint16
	for class := range t.classes {
		now, kept := t.level(s, class), s.levels[class].allowance < 0
		if s.due&(1<<class) != 0 && !kept {
			s.levels[class] = level{}
		}
		if !now.set && (kept || s.levels[class] == unlimited) {
			now = unlimited
		}
		if now != s.levels[class] {
			s.levels[class] = now
			open |= 1 << class
		}
	}
	for class, now := range s.levels {
		same := uint16(0)
		for other := class; other < len(s.levels) && open&(1<<class) != 0; other++ {
			if open&(1<<other) != 0 && s.levels[other] == now {
				same |= 1 << other
			}
		}
		if same != 0 {
			o.level(same, now)
			open &^= same
		}
	}
}

// level is what stands for a class at a proxy: the lower one, and the table's own manner of trying again.
func (t *tables) level(s *stream, class int) level {
	now := t.all[class]
	if number := s.bound[class]; number != unbound {
		if own := t.byNumber[number].levels[class]; own.set {
			if now.set {
				own.allowance = min(own.allowance, now.allowance)
			}
			return own
		}
	} else if !now.set {
		now = s.defaultLevel
	}
	return now
}

// writeWithdrawals writes which backends are withdrawn, and which are let back. A proxy keeps withdrawals of other
// controllers, and of our process before this one, while the decisions count on a cleared proxy to keep only ours: so
// whatever its tables use and it may keep withdrawn is let back then, or with the first line for it.
func (t *tables) writeWithdrawals(s *stream, o *order) {
	var out, back [][]byte
	for _, b := range t.doubtful(s) {
		unsure := slices.Contains(s.bound, unbound) && slices.Contains(s.withdrawalChanges, b)
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
			out, s.backendStates[b] = append(out, t.name(b)), backendWithdrawn
		case !withdrawn && (s.backendStates[b] == backendWithdrawn || s.backendStates[b] == backendUnknown && (s.cleared || unsure)):
			back, s.backendStates[b] = append(back, t.name(b)), backendAllowed
		}
	}
	s.withdrawalChanges, s.settled = s.withdrawalChanges[:0], true
	o.backends("out", out)
	o.backends("back", back)
}

// doubtful are the backends that a proxy may keep in another state than it should, in order: all that are known, until its
// tables were gone through once, and then those whose lines or withdrawals changed since its last message.
func (t *tables) doubtful(s *stream) (all []int) {
	if s.settled {
		all = slices.Clone(s.withdrawalChanges)
		for class, number := range s.bound {
			if number != unbound && !slices.Contains(s.bound[:class], number) {
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
