package ownership

import "slices"

// KnownTable is the known content of a proxy's table for one class.
type KnownTable struct {
	// Lines are the known weights by backend.
	Lines map[string]float64
	// Uncertain are the backends for which the proxy may hold any weight, or no line.
	Uncertain map[string]bool
}

// Move is a change of a proxy's owner by a claim.
type Move struct {
	// Proxy is the number of the proxy.
	Proxy int
	// From is the ownership before the claim; its Owner is empty if no member had claimed the
	// proxy.
	From Ownership
	// To is the ownership after the claim.
	To Ownership
	// Known reports whether the record determines what the proxy holds. It is false if the last
	// owner, or any member since the last claim, may have written something that is not on the
	// record. It is also false if the proxy has acknowledged nothing to the last owner, or only a
	// revision from before a table's last compaction.
	Known bool
	// Base is the content of the proxy's tables, by class; nil unless Known.
	Base []KnownTable
	// NoWithdrawals reports whether, in addition to Known, the proxy certainly holds no withdrawal.
	NoWithdrawals bool
	// Demand is the last reported rate of client requests to the proxy, in requests per second, by
	// class; nil if no member has reported it.
	Demand []float64
}

// claimKind distinguishes the claim of a proxy that has opened a new stream to the member from the
// claim of a proxy whose stream to the member has stayed open.
type claimKind bool

const (
	newStream  claimKind = false
	sameStream claimKind = true
)

// maxStampedMoves is the number of moves that are remembered for a proxy, for members of versions
// that limit messages by them.
const maxStampedMoves = 5

// claim moves a proxy to the member that proposed an entry, under the next fencing token.
func (r *Record) claim(proxy int, e Entry, kind claimKind) Move {
	from := r.Proxies[proxy]
	r.Token++
	move := Move{
		Proxy:  proxy,
		From:   from,
		To:     Ownership{Owner: e.Member, Incarnation: e.Incarnation, Token: r.Token, Moves: from.Moves},
		Demand: r.Demands[proxy],
	}
	sameOwnerAndStream := kind == sameStream && from.Owner == e.Member
	if from.Owner != "" && !sameOwnerAndStream {
		moves := append(slices.Clone(from.Moves), e.Stamp)
		move.To.Moves = moves[max(0, len(moves)-maxStampedMoves):]
	}
	if r.allWritesRecorded(from, e) {
		lastIncarnation := r.Incarnations[from.Incarnation]
		move.Base, move.Known = lastIncarnation.knownTables(from)
		move.NoWithdrawals = move.Known && from.WithdrawalsKnown && lastIncarnation.hasNoWithdrawals(from.Revision)
	}
	r.Proxies[proxy] = move.To
	return move
}

// allWritesRecorded reports whether the record has everything that may have been written to a proxy
// since its last owner claimed it, by the last owner or by any other member. The other members
// count because a member without quorum serves every proxy that connects and cannot record what it
// writes.
func (r *Record) allWritesRecorded(from Ownership, e Entry) bool {
	lastIncarnation := r.Incarnations[from.Incarnation]
	if lastIncarnation == nil || len(e.FullyRecorded) == 0 {
		return false
	}
	fullyRecorded := func(id uint64) bool { return id == e.Incarnation || slices.Contains(e.FullyRecorded, id) }
	if !fullyRecorded(from.Incarnation) && !lastIncarnation.Closed {
		return false
	}
	for _, id := range r.Members {
		if !fullyRecorded(id) {
			return false
		}
	}
	return true
}

// knownTables returns the content of a proxy's tables, by class, as far as it follows from an
// incarnation's tables. The content is not known if the proxy has acknowledged nothing, or only a
// revision from before a table's last compaction. A line that was set after the acknowledged
// revision is uncertain: it may have been written to the proxy or not.
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

// knownAt returns the known content of the table at a proxy that has acknowledged a revision of the
// owner's tables.
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

// hasNoWithdrawals reports whether a proxy that has acknowledged a revision holds no withdrawal by
// this incarnation.
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
