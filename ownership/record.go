// Package ownership holds what several controllers keep together, and what each of them concludes from it: who owns which
// proxy, what that proxy was surely told, how many messages may still have gone to it, and what others heard of
// backends. It has no I/O, no clock and no goroutine; docs/shared.md says why things are so.
//
// A Record is the replicated record, the same at every member once the same entries were taken in. A Coordinator is one
// member at work on it: it claims proxies, and lets orders leave once the record has them. A LeaseTracker is what the
// leader of the record knows besides.
package ownership

import (
	"cmp"
	"maps"
	"slices"
)

// Entry is what one member puts on the record in one piece. A member has one entry under way at a time.
type Entry struct {
	Member        string         `cbor:"1,keyasint"`
	Incarnation   uint64         `cbor:"2,keyasint"`           // drawn anew at each start, and after each time off the record
	Seq           uint64         `cbor:"3,keyasint"`           // 1 for the first of an incarnation, which is its entering
	SeenToken     uint64         `cbor:"4,keyasint,omitempty"` // the greatest token that the member has seen
	Closing       bool           `cbor:"5,keyasint,omitempty"` // nothing will be written to any proxy from now on
	Claims        []int          `cbor:"6,keyasint,omitempty"`
	Reclaims      []int          `cbor:"15,keyasint,omitempty"` // claims of proxies whose streams the member has had all the time
	Revision      uint64         `cbor:"7,keyasint,omitempty"`  // of the tables once TableChanges counts
	TableChanges  []TableChange  `cbor:"8,keyasint,omitempty"`
	Confirmations []Confirmation `cbor:"9,keyasint,omitempty"`
	Observations  []Observation  `cbor:"10,keyasint,omitempty"`
	Demands       []Demand       `cbor:"13,keyasint,omitempty"`
	Capacity      Capacity       `cbor:"14,keyasint,omitempty"`
	// OnRecord is added by the leader: the incarnations that had surely written nothing off the record when this entry
	// came to it. It names none before all members have entered.
	OnRecord []uint64 `cbor:"11,keyasint,omitempty"`
	// Stamp is added by the leader as well.
	Stamp Stamp `cbor:"12,keyasint,omitempty"`
}

// Stamp is a time on the clock of one leader, which says something only beside others of the same.
type Stamp struct {
	Leader uint64 `cbor:"1,keyasint"` // drawn anew with each leadership
	At     int64  `cbor:"2,keyasint"` // µs
}

// TableChange is what changes in one table of a member; a weight of 0 takes a line out.
type TableChange struct {
	Table int    `cbor:"1,keyasint"`
	Lines []Line `cbor:"2,keyasint"`
}

// Line is one line of a table.
type Line struct {
	Backend string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// Confirmation is what a proxy has confirmed: all that its tables, by class, were up to an edition.
type Confirmation struct {
	Proxy    int    `cbor:"1,keyasint"`
	Token    uint64 `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	Tables   []int  `cbor:"4,keyasint"`
	// Sure: it shuts out what the owner ordered, and nothing that others did.
	WithdrawalsKnown bool `cbor:"5,keyasint,omitempty"`
}

// WithdrawnTable is the number of a member's table of what it has withdrawn: a weight of 1 shuts out, 0 lets back.
const WithdrawnTable = -1

// Observation is what a member's proxies met at a backend. Withdrawn: it is withdrawn there, and this is what showed
// it.
type Observation struct {
	Backend     string `cbor:"1,keyasint"`
	Attempts    int    `cbor:"2,keyasint"`
	Failed      int    `cbor:"3,keyasint"`
	MeanLatency int64  `cbor:"4,keyasint"` // µs that an answer took
	Window      int64  `cbor:"5,keyasint"` // µs that it covers
	Withdrawn   bool   `cbor:"6,keyasint,omitempty"`
	Backoff     int64  `cbor:"7,keyasint,omitempty"` // µs that it is withdrawn for
}

// Record is the replicated record: what every member concludes from the same entries.
type Record struct {
	Token        uint64                            `cbor:"1,keyasint"` // the last one given
	Members      map[string]uint64                 `cbor:"2,keyasint"` // the incarnation of each
	Incarnations map[uint64]*Incarnation           `cbor:"3,keyasint"`
	Proxies      map[int]Ownership                 `cbor:"4,keyasint"`
	Withdrawn    map[string]map[string]Observation `cbor:"5,keyasint"` // by backend and member
	Demands      map[int][]float64                 `cbor:"6,keyasint"` // requests a second by proxy and class
	Capacities   map[string]Capacity               `cbor:"7,keyasint"` // by member
	Past         map[string][]uint64               `cbor:"8,keyasint"` // incarnations of each member that are over, the last ones
}

// Incarnation is a member between its entering and its end.
type Incarnation struct {
	Member   string         `cbor:"1,keyasint"`
	Seq      uint64         `cbor:"2,keyasint"`
	Closed   bool           `cbor:"3,keyasint"`
	Revision uint64         `cbor:"4,keyasint"`
	Tables   map[int]*Table `cbor:"5,keyasint"`
}

// Table is one of a member's tables. A line that was taken out stands with a weight of 0 for a while.
type Table struct {
	Lines       map[string]VersionedWeight `cbor:"1,keyasint"`
	CompactedAt uint64                     `cbor:"2,keyasint"` // of lines taken out before this edition nothing is known any more
}

// VersionedWeight is a line and the edition that set it.
type VersionedWeight struct {
	Weight   float64 `cbor:"1,keyasint"`
	Revision uint64  `cbor:"2,keyasint"`
}

// Ownership says who owns a proxy, by which token, and what it has confirmed of that owner's; an edition of 0: nothing.
type Ownership struct {
	Owner            string  `cbor:"1,keyasint"`
	Incarnation      uint64  `cbor:"2,keyasint"`
	Token            uint64  `cbor:"3,keyasint"`
	Revision         uint64  `cbor:"4,keyasint"`
	Tables           []int   `cbor:"5,keyasint"`
	Moves            []Stamp `cbor:"6,keyasint"` // when it was taken over from others, the last ones
	WithdrawalsKnown bool    `cbor:"7,keyasint,omitempty"`
}

// KnownTable is what a proxy surely has of one class: lines, and backends of which it may have any line or none.
type KnownTable struct {
	Lines     map[string]float64
	Uncertain map[string]bool
}

// Move is a change of a proxy's owner. Known is false where the old one may have written what the record lacks.
type Move struct {
	Proxy         int
	From, To      Ownership
	Known         bool
	Base          []KnownTable // by class, if it is known
	NoWithdrawals bool         // it is known besides that it shuts nothing out
	Demand        []float64    // requests a second that came to it, by class, as last told
}

const (
	maxRemovedLines       = 256 // lines taken out that a table remembers ...
	removedLinesAfterTrim = 128 // ... and how many are left once there are more

	maxPastIncarnations   = 16 // incarnations of a member that are known to be over
	previousOwnersCounted = 2  // owners before the present one for whose shares there is room within the span
	maxMovesWithReserve   = 4  // moves within it up to which an owner has some messages in any case
)

// NewRecord makes an empty record.
func NewRecord() *Record {
	return &Record{Members: map[string]uint64{}, Incarnations: map[uint64]*Incarnation{}, Proxies: map[int]Ownership{},
		Withdrawn: map[string]map[string]Observation{}, Demands: map[int][]float64{}, Capacities: map[string]Capacity{},
		Past: map[string][]uint64{}}
}

// Apply takes in the next entry. It is false for one that was taken in before, and for one of an incarnation that is
// over: its member has entered anew since, or has closed.
func (r *Record) Apply(e Entry) (moves []Move, taken bool) {
	// A repeat of an entering that was under way for long must not bring back an incarnation that is over.
	if e.Seq == 1 && r.Incarnations[e.Incarnation] == nil && !slices.Contains(r.Past[e.Member], e.Incarnation) {
		r.enter(e)
	}
	incarnation := r.Incarnations[e.Incarnation]
	if incarnation == nil || r.Members[e.Member] != e.Incarnation || e.Seq != incarnation.Seq+1 || incarnation.Closed {
		return nil, false
	}
	incarnation.Seq = e.Seq
	r.Token = max(r.Token, e.SeenToken)
	r.applyTables(incarnation, e)
	for _, t := range e.Confirmations {
		if h, ok := r.Proxies[t.Proxy]; ok && h.Token == t.Token && h.Incarnation == e.Incarnation && t.Revision >= h.Revision {
			h.Revision, h.Tables, h.WithdrawalsKnown = t.Revision, t.Tables, t.WithdrawalsKnown
			r.Proxies[t.Proxy] = h
		}
	}
	for _, s := range e.Observations {
		r.setWithdrawn(e.Member, s)
	}
	for _, c := range e.Demands {
		r.Demands[c.Proxy] = c.Rates
	}
	if e.Capacity != (Capacity{}) {
		r.Capacities[e.Member] = e.Capacity
	}
	for _, proxy := range e.Claims {
		moves = append(moves, r.claim(proxy, e, false))
	}
	for _, proxy := range e.Reclaims {
		moves = append(moves, r.claim(proxy, e, true))
	}
	if e.Closing {
		incarnation.Closed = true
		r.clearWithdrawn(e.Member)
	}
	r.dropUnused()
	return moves, true
}

func (r *Record) enter(e Entry) {
	if last, ok := r.Members[e.Member]; ok {
		past := append(r.Past[e.Member], last)
		r.Past[e.Member] = slices.Clone(past[max(0, len(past)-maxPastIncarnations):])
	}
	r.Members[e.Member] = e.Incarnation
	r.Incarnations[e.Incarnation] = &Incarnation{Member: e.Member, Tables: map[int]*Table{}}
	r.clearWithdrawn(e.Member) // it has forgotten what it withdrew
}

func (r *Record) applyTables(incarnation *Incarnation, e Entry) {
	incarnation.Revision = max(incarnation.Revision, e.Revision)
	for _, change := range e.TableChanges {
		t := incarnation.Tables[change.Table]
		if t == nil {
			t = &Table{Lines: map[string]VersionedWeight{}}
			incarnation.Tables[change.Table] = t
		}
		if e.Seq == 1 { // these are tables as they stand: what was taken out of them before nobody knows
			t.CompactedAt = e.Revision
		}
		for _, l := range change.Lines {
			t.Lines[l.Backend] = VersionedWeight{l.Weight, e.Revision}
		}
		t.forgetOldRemovals()
	}
}

// forgetOldRemovals forgets the oldest of the lines taken out when there are many.
func (t *Table) forgetOldRemovals() {
	var out []string
	for id, l := range t.Lines {
		if l.Weight == 0 {
			out = append(out, id)
		}
	}
	if len(out) <= maxRemovedLines {
		return
	}
	slices.SortFunc(out, func(x, y string) int {
		return cmp.Or(cmp.Compare(t.Lines[x].Revision, t.Lines[y].Revision), cmp.Compare(x, y))
	})
	for _, id := range out[:len(out)-removedLinesAfterTrim] {
		t.CompactedAt = max(t.CompactedAt, t.Lines[id].Revision)
		delete(t.Lines, id)
	}
}

func (r *Record) setWithdrawn(member string, s Observation) {
	if s.Withdrawn {
		if r.Withdrawn[s.Backend] == nil {
			r.Withdrawn[s.Backend] = map[string]Observation{}
		}
		r.Withdrawn[s.Backend][member] = s
	} else if at := r.Withdrawn[s.Backend]; at != nil {
		if delete(at, member); len(at) == 0 {
			delete(r.Withdrawn, s.Backend)
		}
	}
}

func (r *Record) clearWithdrawn(member string) {
	for _, id := range slices.Collect(maps.Keys(r.Withdrawn)) {
		r.setWithdrawn(member, Observation{Backend: id})
	}
}

// claim moves a proxy. What it holds is known if all that its last owner wrote is on the record, and if nobody else
// can have had it since: a member off the record serves whoever comes to it, and cannot say so.
func (r *Record) claim(proxy int, e Entry, again bool) Move {
	from := r.Proxies[proxy]
	r.Token++
	m := Move{Proxy: proxy, From: from, To: Ownership{Owner: e.Member, Incarnation: e.Incarnation, Token: r.Token}}
	if m.To.Moves = from.Moves; from.Owner != "" && !(again && from.Owner == e.Member) {
		m.To.Moves = append(slices.Clone(from.Moves), e.Stamp)
		m.To.Moves = m.To.Moves[max(0, len(m.To.Moves)-maxMovesWithReserve-1):]
	}
	m.Demand = r.Demands[proxy]
	last := r.Incarnations[from.Incarnation]
	sure := func(id uint64) bool { return id == e.Incarnation || slices.Contains(e.OnRecord, id) }
	m.Known = last != nil && len(e.OnRecord) > 0 && (sure(from.Incarnation) || last.Closed)
	for _, id := range r.Members {
		m.Known = m.Known && sure(id)
	}
	if m.Known {
		m.Base, m.Known = r.knownTables(from, last)
		m.NoWithdrawals = m.Known && from.WithdrawalsKnown && last.hasNoWithdrawals(from.Revision)
	}
	r.Proxies[proxy] = m.To
	return m
}

// hasNoWithdrawals tells whether one that confirmed an edition shuts nothing out that the incarnation has withdrawn.
func (i *Incarnation) hasNoWithdrawals(edition uint64) bool {
	t := i.Tables[WithdrawnTable]
	if t == nil {
		return true
	}
	for _, l := range t.Lines {
		if l.Weight > 0 || l.Revision > edition {
			return false
		}
	}
	return edition >= t.CompactedAt
}

// knownTables is what a proxy has by the record. A line that was set after what it confirmed may have come to it or not.
func (r *Record) knownTables(h Ownership, incarnation *Incarnation) (by []KnownTable, known bool) {
	if h.Revision == 0 || len(h.Tables) == 0 {
		return nil, false
	}
	for _, number := range h.Tables {
		t := incarnation.Tables[number]
		if t == nil || h.Revision < t.CompactedAt {
			return nil, false
		}
		has := KnownTable{map[string]float64{}, map[string]bool{}}
		for id, l := range t.Lines {
			if l.Revision > h.Revision {
				has.Uncertain[id] = true
			} else if l.Weight > 0 {
				has.Lines[id] = l.Weight
			}
		}
		by = append(by, has)
	}
	return by, true
}

// dropUnused forgets incarnations that are over and own nothing.
func (r *Record) dropUnused() {
	used := map[uint64]bool{}
	for _, incarnation := range r.Members {
		used[incarnation] = true
	}
	if len(used) == len(r.Incarnations) {
		return
	}
	for _, h := range r.Proxies {
		used[h.Incarnation] = true
	}
	maps.DeleteFunc(r.Incarnations, func(id uint64, _ *Incarnation) bool { return !used[id] })
}
