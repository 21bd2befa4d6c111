package ownership

import (
	"cmp"
	"maps"
	"slices"
)

// Record is the replicated state: what every member concludes from the same entries. It is encoded into snapshots. A
// Record is not safe for concurrent use.
type Record struct {
	// Token is the greatest fencing token that was given.
	Token uint64 `cbor:"1,keyasint"`
	// Members has the present incarnation of each member by its name.
	Members map[string]uint64 `cbor:"2,keyasint"`
	// Incarnations are the present ones, and those before that still own a proxy.
	Incarnations map[uint64]*Incarnation `cbor:"3,keyasint"`
	// Proxies has the owner of each proxy by its number.
	Proxies map[int]Ownership `cbor:"4,keyasint"`
	// Withdrawn has why a backend is withdrawn, by backend and by member.
	Withdrawn map[string]map[string]Observation `cbor:"5,keyasint"`
	// Demands are requests a second, by proxy and class, as last reported.
	Demands map[int][]float64 `cbor:"6,keyasint"`
	// Capacities are by member, as last reported.
	Capacities map[string]Capacity `cbor:"7,keyasint"`
	// PastIncarnations has the last incarnations of each member that are over, at most maxPastIncarnations.
	PastIncarnations map[string][]uint64 `cbor:"8,keyasint"`
}

// Incarnation is a member between its entering the record and its end.
type Incarnation struct {
	// Member is its name.
	Member string `cbor:"1,keyasint"`
	// Seq is that of its last entry.
	Seq uint64 `cbor:"2,keyasint"`
	// Closed: it has given all proxies away, and its entries do not count any more.
	Closed bool `cbor:"3,keyasint"`
	// Revision is that of its tables.
	Revision uint64 `cbor:"4,keyasint"`
	// Tables are by number, with WithdrawnTable among them.
	Tables map[int]*Table `cbor:"5,keyasint"`
}

// Table is one of a member's tables.
type Table struct {
	// Lines are by backend. One that was removed stays with a weight of 0 for a while.
	Lines map[string]VersionedWeight `cbor:"1,keyasint"`
	// CompactedAt is the revision before which removed lines are not known any more.
	CompactedAt uint64 `cbor:"2,keyasint"`
}

// VersionedWeight is a line of a table with the revision that set it.
type VersionedWeight struct {
	// Weight is 0 for a line that was removed.
	Weight float64 `cbor:"1,keyasint"`
	// Revision is that of the member's tables.
	Revision uint64 `cbor:"2,keyasint"`
}

// Ownership says who owns a proxy, and what the proxy has acknowledged to this owner.
type Ownership struct {
	// Owner is the name of a member; empty for a proxy that nobody has claimed.
	Owner string `cbor:"1,keyasint"`
	// Incarnation is the owner's when it claimed the proxy.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Token is the fencing token of the claim.
	Token uint64 `cbor:"3,keyasint"`
	// Revision of the owner's tables that the proxy has acknowledged; 0 for nothing yet.
	Revision uint64 `cbor:"4,keyasint"`
	// Tables are the numbers of the tables that its classes are bound to, by class.
	Tables []int `cbor:"5,keyasint"`
	// Moves are the last times at which it was taken over from another owner.
	Moves []Stamp `cbor:"6,keyasint"`
	// WithdrawalsKnown is as in Confirmation.
	WithdrawalsKnown bool `cbor:"7,keyasint,omitempty"`
}

// Bounds on what the record remembers.
const (
	maxRemovedLines             = 256 // removed lines of a table, beyond which ...
	removedLinesAfterCompaction = 128 // ... only so many are left
	maxPastIncarnations         = 16  // of a member
)

// NewRecord makes an empty record.
func NewRecord() *Record {
	return &Record{
		Members:          map[string]uint64{},
		Incarnations:     map[uint64]*Incarnation{},
		Proxies:          map[int]Ownership{},
		Withdrawn:        map[string]map[string]Observation{},
		Demands:          map[int][]float64{},
		Capacities:       map[string]Capacity{},
		PastIncarnations: map[string][]uint64{},
	}
}

// Apply applies the next entry and gives the changes of owners that follow. An entry is not accepted, and changes nothing,
// if it was applied before, if it leaves one out, or if its incarnation is over.
func (r *Record) Apply(e Entry) (moves []Move, accepted bool) {
	if r.mayEnter(e) {
		r.enter(e)
	}
	if !r.accepts(e) {
		return nil, false
	}
	incarnation := r.Incarnations[e.Incarnation]
	incarnation.Seq = e.Seq
	r.Token = max(r.Token, e.SeenToken)
	incarnation.applyTables(e)
	r.applyConfirmations(e)
	r.applyEvidence(e)
	for _, proxy := range e.Claims {
		moves = append(moves, r.claim(proxy, e, newStream))
	}
	for _, proxy := range e.Reclaims {
		moves = append(moves, r.claim(proxy, e, sameStream))
	}
	if e.Closing {
		incarnation.Closed = true
		r.clearWithdrawn(e.Member)
	}
	r.dropUnusedIncarnations()
	return moves, true
}

// mayEnter tells whether an entry begins an incarnation. A late repeat of one must not bring back an incarnation that is
// over.
func (r *Record) mayEnter(e Entry) bool {
	return e.Seq == 1 && r.Incarnations[e.Incarnation] == nil && !slices.Contains(r.PastIncarnations[e.Member], e.Incarnation)
}

func (r *Record) enter(e Entry) {
	if last, ok := r.Members[e.Member]; ok {
		past := append(r.PastIncarnations[e.Member], last)
		r.PastIncarnations[e.Member] = slices.Clone(past[max(0, len(past)-maxPastIncarnations):])
	}
	r.Members[e.Member] = e.Incarnation
	r.Incarnations[e.Incarnation] = &Incarnation{Member: e.Member, Tables: map[int]*Table{}}
	r.clearWithdrawn(e.Member) // it has forgotten what it withdrew
}

// accepts tells whether an entry is the next one of its member's present incarnation.
func (r *Record) accepts(e Entry) bool {
	incarnation := r.Incarnations[e.Incarnation]
	if incarnation == nil || incarnation.Closed || r.Members[e.Member] != e.Incarnation {
		return false
	}
	return e.Seq == incarnation.Seq+1
}

func (i *Incarnation) applyTables(e Entry) {
	i.Revision = max(i.Revision, e.Revision)
	for _, change := range e.TableChanges {
		table := i.Tables[change.Table]
		if table == nil {
			table = &Table{Lines: map[string]VersionedWeight{}}
			i.Tables[change.Table] = table
		}
		if e.Seq == 1 { // complete tables: what was removed from them before is not known
			table.CompactedAt = e.Revision
		}
		for _, line := range change.Lines {
			table.Lines[line.Backend] = VersionedWeight{line.Weight, e.Revision}
		}
		table.compactRemovals()
	}
}

// compactRemovals drops the oldest of the removed lines where there are many.
func (t *Table) compactRemovals() {
	var removed []string
	for backend, line := range t.Lines {
		if line.Weight == 0 {
			removed = append(removed, backend)
		}
	}
	if len(removed) <= maxRemovedLines {
		return
	}
	slices.SortFunc(removed, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.Lines[a].Revision, t.Lines[b].Revision), cmp.Compare(a, b))
	})
	for _, backend := range removed[:len(removed)-removedLinesAfterCompaction] {
		t.CompactedAt = max(t.CompactedAt, t.Lines[backend].Revision)
		delete(t.Lines, backend)
	}
}

// applyConfirmations records what proxies have acknowledged to the owner that they still have.
func (r *Record) applyConfirmations(e Entry) {
	for _, confirmation := range e.Confirmations {
		owned, ok := r.Proxies[confirmation.Proxy]
		if !ok || owned.Token != confirmation.Token || owned.Incarnation != e.Incarnation || confirmation.Revision < owned.Revision {
			continue
		}
		owned.Revision = confirmation.Revision
		owned.Tables = confirmation.Tables
		owned.WithdrawalsKnown = confirmation.WithdrawalsKnown
		r.Proxies[confirmation.Proxy] = owned
	}
}

func (r *Record) applyEvidence(e Entry) {
	for _, observation := range e.Observations {
		r.setWithdrawn(e.Member, observation)
	}
	for _, demand := range e.Demands {
		r.Demands[demand.Proxy] = demand.Rates
	}
	if e.Capacity != (Capacity{}) {
		r.Capacities[e.Member] = e.Capacity
	}
}

// setWithdrawn records that a member has withdrawn a backend, or has not.
func (r *Record) setWithdrawn(member string, observation Observation) {
	backend := observation.Backend
	if observation.Withdrawn {
		if r.Withdrawn[backend] == nil {
			r.Withdrawn[backend] = map[string]Observation{}
		}
		r.Withdrawn[backend][member] = observation
		return
	}
	delete(r.Withdrawn[backend], member)
	if len(r.Withdrawn[backend]) == 0 {
		delete(r.Withdrawn, backend)
	}
}

func (r *Record) clearWithdrawn(member string) {
	for _, backend := range slices.Collect(maps.Keys(r.Withdrawn)) {
		r.setWithdrawn(member, Observation{Backend: backend})
	}
}

// dropUnusedIncarnations forgets incarnations that are over and own nothing.
func (r *Record) dropUnusedIncarnations() {
	used := map[uint64]bool{}
	for _, id := range r.Members {
		used[id] = true
	}
	if len(used) == len(r.Incarnations) {
		return
	}
	for _, owned := range r.Proxies {
		used[owned.Incarnation] = true
	}
	maps.DeleteFunc(r.Incarnations, func(id uint64, _ *Incarnation) bool { return !used[id] })
}
