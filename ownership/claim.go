package ownership

import "slices"

// KnownTable is what a proxy is known to hold of the table of one class.
type KnownTable struct {
	// Lines are weights by backend.
	Lines map[string]float64
	// Uncertain are backends of which it may hold any weight, or none.
	Uncertain map[string]bool
}

// Move is a change of a proxy's owner by a claim.
type Move struct {
	// Proxy is the number of the proxy.
	Proxy int
	// From is the ownership before; its Owner is empty where nobody had claimed the proxy.
	From Ownership
	// To is the ownership now.
	To Ownership
	// Known is false where the last owner, or anybody since, may have written what the record does not have.
	Known bool
	// Base is what the proxy holds, by class; nil unless Known.
	Base []KnownTable
	// NoWithdrawals: it is known besides that the proxy holds no withdrawal.
	NoWithdrawals bool
	// Demand is requests a second that clients send to it, by class, as last reported; nil if nobody has.
	Demand []float64
}

// claimKind tells a claim for a new stream from one for a stream that its member has had all the time.
type claimKind bool

const (
	newStream  claimKind = false
	sameStream claimKind = true
)

// maxStampedMoves is how many moves of a proxy are remembered: one more than are counted by any rule.
const maxStampedMoves = maxMovesWithReserve + 1

// claim moves a proxy to the member of an entry, under the next fencing token.
func (r *Record) claim(proxy int, e Entry, kind claimKind) Move {
	from := r.Proxies[proxy]
	r.Token++
	move := Move{
		Proxy:  proxy,
		From:   from,
		To:     Ownership{Owner: e.Member, Incarnation: e.Incarnation, Token: r.Token, Moves: from.Moves},
		Demand: r.Demands[proxy],
	}
	stays := kind == sameStream && from.Owner == e.Member
	if from.Owner != "" && !stays {
		moves := append(slices.Clone(from.Moves), e.Stamp)
		move.To.Moves = moves[max(0, len(moves)-maxStampedMoves):]
	}
	if r.allOnRecord(from, e) {
		last := r.Incarnations[from.Incarnation]
		move.Base, move.Known = last.knownTables(from)
		move.NoWithdrawals = move.Known && from.WithdrawalsKnown && last.hasNoWithdrawals(from.Revision)
	}
	r.Proxies[proxy] = move.To
	return move
}

// allOnRecord tells whether the record has all that may have been written to a proxy since its last owner claimed it: by
// this owner, and by every other member, as a member without a quorum serves whoever connects and cannot record it.
func (r *Record) allOnRecord(from Ownership, e Entry) bool {
	last := r.Incarnations[from.Incarnation]
	if last == nil || len(e.FullyRecorded) == 0 {
		return false
	}
	onRecord := func(id uint64) bool { return id == e.Incarnation || slices.Contains(e.FullyRecorded, id) }
	if !onRecord(from.Incarnation) && !last.Closed {
		return false
	}
	for _, id := range r.Members {
		if !onRecord(id) {
			return false
		}
	}
	return true
}

// knownTables is what a proxy holds of an incarnation's tables, by class; false where it has acknowledged nothing, or too
// long ago. A line that was set after what it acknowledged may have been written to it or not.
func (i *Incarnation) knownTables(owned Ownership) (byClass []KnownTable, known bool) {
	if owned.Revision == 0 || len(owned.Tables) == 0 {
		return nil, false
	}
	for _, number := range owned.Tables {
		table := i.Tables[number]
		if table == nil || owned.Revision < table.CompactedAt {
			return nil, false
		}
		byClass = append(byClass, table.knownAt(owned.Revision))
	}
	return byClass, true
}

// knownAt is the table as somebody has it who acknowledged a revision.
func (t *Table) knownAt(revision uint64) KnownTable {
	known := KnownTable{Lines: map[string]float64{}, Uncertain: map[string]bool{}}
	for backend, line := range t.Lines {
		if line.Revision > revision {
			known.Uncertain[backend] = true
		} else if line.Weight > 0 {
			known.Lines[backend] = line.Weight
		}
	}
	return known
}

// hasNoWithdrawals tells whether a proxy that acknowledged a revision holds no withdrawal of the incarnation's.
func (i *Incarnation) hasNoWithdrawals(revision uint64) bool {
	table := i.Tables[WithdrawnTable]
	if table == nil {
		return true
	}
	for _, line := range table.Lines {
		if line.Weight > 0 || line.Revision > revision {
			return false
		}
	}
	return revision >= table.CompactedAt
}
