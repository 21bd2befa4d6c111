package ownership

import (
	"cmp"
	"maps"
	"slices"
)

// Record is the replicated state, which every member derives from the same entries. It is encoded
// into snapshots. A Record is not safe for concurrent use.
type Record struct {
	// Token is the greatest fencing token that was issued, or that an entering member had seen.
	Token uint64 `cbor:"1,keyasint"`
	// Members holds the present incarnation of each member, by name.
	Members map[string]uint64 `cbor:"2,keyasint"`
	// Incarnations holds the present incarnations, and the earlier ones that still own a proxy.
	Incarnations map[uint64]*Incarnation `cbor:"3,keyasint"`
	// Proxies holds the ownership of each proxy, by the number of the proxy.
	Proxies map[int]Ownership `cbor:"4,keyasint"`
	// Withdrawn holds the reasons for which backends are withdrawn, by backend and by member.
	Withdrawn map[string]map[string]Observation `cbor:"5,keyasint"`
	// Demands are the last reported requests per second, by proxy and class.
	Demands map[int][]float64 `cbor:"6,keyasint"`
	// Capacities are the last reported capacities, by member.
	Capacities map[string]Capacity `cbor:"7,keyasint"`
	// PastIncarnations holds the most recent incarnations that are over, at most
	// maxPastIncarnations of each member, by name of the member.
	PastIncarnations map[string][]uint64 `cbor:"8,keyasint"`
}

// Incarnation is the state of a member from the time at which it enters the record to its end.
type Incarnation struct {
	// Member is the name of the member.
	Member string `cbor:"1,keyasint"`
	// Seq is the number of the incarnation's last entry.
	Seq uint64 `cbor:"2,keyasint"`
	// Closed reports whether the incarnation has given up all proxies; its further entries are
	// ignored.
	Closed bool `cbor:"3,keyasint"`
	// Revision is the revision of the incarnation's tables.
	Revision uint64 `cbor:"4,keyasint"`
	// Tables are the member's tables by number, including WithdrawnTable.
	Tables map[int]*Table `cbor:"5,keyasint"`
}

// Table is one of a member's tables.
type Table struct {
	// Lines holds the lines of the table, by backend. A removed line stays with a weight of 0 until
	// it is compacted.
	Lines map[string]VersionedWeight `cbor:"1,keyasint"`
	// CompactedAt is the revision before which removed lines are not known any more.
	CompactedAt uint64 `cbor:"2,keyasint"`
}

// VersionedWeight is a line of a table with the revision that set it.
type VersionedWeight struct {
	// Weight is the weight of the backend; 0 for a removed line.
	Weight float64 `cbor:"1,keyasint"`
	// Revision is the revision of the member's tables that set the line.
	Revision uint64 `cbor:"2,keyasint"`
}

// Ownership holds the owner of a proxy, and what the proxy has acknowledged to this owner.
type Ownership struct {
	// Owner is the name of the owning member; empty if no member has claimed the proxy.
	Owner string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the owner that claimed the proxy.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Token is the fencing token of the claim by which the owner owns the proxy.
	Token uint64 `cbor:"3,keyasint"`
	// Revision is the revision of the owner's tables that the proxy has acknowledged; 0 if
	// it has acknowledged none to this owner.
	Revision uint64 `cbor:"4,keyasint"`
	// Tables are the numbers of the tables to which the proxy's classes are bound, by class.
	Tables []int `cbor:"5,keyasint"`
	// Moves are the times of the last claims that moved the proxy: claims of a proxy that had an
	// owner, except those by the same owner for the same stream. Only members of versions without a
	// message pace (package balancer) use them.
	Moves []Stamp `cbor:"6,keyasint"`
	// WithdrawalsKnown reports whether the proxy holds the withdrawals that its owner ordered, and
	// none by an earlier owner.
	WithdrawalsKnown bool `cbor:"7,keyasint,omitempty"`
}

// Bounds on the number of removed lines and past incarnations in the record.
const (
	maxRemovedLines             = 256 // number of removed lines above which a table is compacted
	removedLinesAfterCompaction = 128 // number of removed lines that a compaction leaves in a table
	maxPastIncarnations         = 16  // number of past incarnations that are remembered for each member
)

// NewRecord returns an empty record.
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

// Apply applies the next entry and returns the resulting changes of owners. An entry is not
// accepted, and changes nothing, if it was applied before, if an entry before it is missing, or if
// its incarnation is over.
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

// mayEnter reports whether an entry begins an incarnation. A late repeat of an incarnation's first
// entry must not bring back an incarnation that is over.
func (r *Record) mayEnter(e Entry) bool {
	return e.Seq == 1 && r.Incarnations[e.Incarnation] == nil &&
		!slices.Contains(r.PastIncarnations[e.Member], e.Incarnation)
}

func (r *Record) enter(e Entry) {
	if previousIncarnation, ok := r.Members[e.Member]; ok {
		past := append(r.PastIncarnations[e.Member], previousIncarnation)
		r.PastIncarnations[e.Member] = slices.Clone(past[max(0, len(past)-maxPastIncarnations):])
	}
	r.Members[e.Member] = e.Incarnation
	r.Incarnations[e.Incarnation] = &Incarnation{Member: e.Member, Tables: map[int]*Table{}}
	r.clearWithdrawn(e.Member) // the new incarnation does not know the withdrawals of the previous incarnation
}

// accepts reports whether an entry is the next one of its member's present incarnation.
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
		if e.Seq == 1 { // an incarnation's first entry has complete tables, without lines removed earlier
			table.CompactedAt = e.Revision
		}
		for _, line := range change.Lines {
			table.Lines[line.Backend] = VersionedWeight{line.Weight, e.Revision}
		}
		table.compactRemovals()
	}
}

// compactRemovals drops the oldest removed lines if there are more than maxRemovedLines.
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

// applyConfirmations records what proxies have acknowledged to their present owner.
func (r *Record) applyConfirmations(e Entry) {
	for _, confirmation := range e.Confirmations {
		owned, ok := r.Proxies[confirmation.Proxy]
		if !ok || owned.Token != confirmation.Token || owned.Incarnation != e.Incarnation ||
			confirmation.Revision < owned.Revision {
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

// setWithdrawn records whether a member has withdrawn a backend.
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

// dropUnusedIncarnations drops incarnations that are over and own no proxy.
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
