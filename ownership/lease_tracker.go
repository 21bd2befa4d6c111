package ownership

// LeaseTracker is what the leader of the record knows of the other members by its own clock: until when each of them
// has surely written nothing off the record. A member goes off the record no sooner than a lease after it proposed the
// last entry of which it was answered that it stands. Entries of a member come one after the other, the next once the
// last was answered, so that with entry n+1 on the same connection it is known that n was answered, that n was proposed
// after the answer to n-1, and that this was after n-1 had come. Counting the lease from there is never too long,
// however late anything is under way. A new leader has seen nothing yet, and vouches for nobody.
//
// A process that is surely not there has written nothing either, and one that comes in its place goes off the record no
// sooner than a lease after its start. So a member is vouched for as well for a lease after it was seen to be gone, or
// after the entry by which it closed its incarnation came.
type LeaseTracker struct {
	lease    int64
	members  int
	arrivals map[uint64]entryArrivals // by incarnation
	goneAt   map[string]int64         // when a member was last seen to be gone
}

// entryArrivals tells when the last entries of an incarnation came, in a row on one connection; -1 stands for none.
type entryArrivals struct {
	connection            int
	seq                   uint64
	arrivedAt, previousAt int64 // when that one came, and the one before
	leaseFrom             int64 // the lease counts from then on at least
}

// NewLeaseTracker makes a tracker for what all members agree on.
func NewLeaseTracker(terms LeaseTerms) *LeaseTracker {
	return &LeaseTracker{terms.Duration, terms.Members, map[uint64]entryArrivals{}, map[string]int64{}}
}

// MarkGone takes that a member's process was surely not there at some time: nobody listened at its address.
func (t *LeaseTracker) MarkGone(member string, at int64) {
	t.goneAt[member] = max(t.goneAt[member], at)
}

// SilentFor tells whether nothing has come from a member's incarnation for some time, so that it is worth a look whether
// it is there.
func (t *LeaseTracker) SilentFor(incarnation uint64, now, since int64) bool {
	a, known := t.arrivals[incarnation]
	return !known || now-a.arrivedAt > since
}

// Observe takes an entry as it comes to the leader over a connection.
func (t *LeaseTracker) Observe(incarnation, seq uint64, connection int, now int64) {
	a, known := t.arrivals[incarnation]
	switch {
	case known && a.connection == connection && seq == a.seq+1:
		if a.previousAt >= 0 {
			a.leaseFrom = max(a.leaseFrom, a.previousAt)
		}
		a.previousAt, a.arrivedAt, a.seq = a.arrivedAt, now, seq
	case known && a.connection == connection && seq == a.seq: // a repeat: the first coming counts
	default:
		a = entryArrivals{connection: connection, seq: seq, arrivedAt: now, previousAt: -1, leaseFrom: a.leaseFrom}
	}
	if !known {
		a.leaseFrom = -1
	}
	t.arrivals[incarnation] = a
}

// OnRecord names the incarnations that have surely written nothing off the record so far. One that has not entered yet
// may serve off the record as well, so it names none before all have.
func (t *LeaseTracker) OnRecord(record *Record, now int64) (incarnations []uint64) {
	for id, incarnation := range record.Incarnations {
		a, came := t.arrivals[id]
		at, gone := t.goneAt[incarnation.Member]
		switch current := record.Members[incarnation.Member] == id; {
		case came && a.leaseFrom >= 0 && now-a.leaseFrom < t.lease,
			current && incarnation.Closed && came && now-a.arrivedAt < t.lease,
			current && gone && now-at < t.lease && (!came || a.arrivedAt <= at):
			incarnations = append(incarnations, id)
		}
	}
	for id, a := range t.arrivals {
		if record.Incarnations[id] == nil && now-a.arrivedAt > t.lease { // it never got in, or is forgotten
			delete(t.arrivals, id)
		}
	}
	if len(record.Members) < t.members {
		return nil
	}
	return incarnations
}
