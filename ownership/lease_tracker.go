package ownership

// LeaseTracker is what the leader of the record knows of the members by its own clock: until when each of them has surely
// written nothing without a quorum. The comments of Observe and MarkStopped say why. It is kept over several leaderships of
// one process, and does not survive that. It is not safe for concurrent use.
type LeaseTracker struct {
	lease     Microseconds
	members   int                      // how many there are
	arrivals  map[uint64]entryArrivals // by incarnation
	stoppedAt map[string]Microseconds  // when a member was last seen not to run
}

// entryArrivals tells when the last entries of an incarnation arrived, in a row on one connection.
type entryArrivals struct {
	connection int
	seq        uint64
	arrivedAt  Microseconds // when that one arrived
	previousAt Microseconds // when the one before did, or notArrived
	leaseFrom  Microseconds // the lease counts from here at the soonest, or notArrived
}

// notArrived is in place of a time in entryArrivals.
const notArrived = -1

// NewLeaseTracker makes a tracker that has seen nothing.
func NewLeaseTracker(terms LeaseTerms) *LeaseTracker {
	return &LeaseTracker{
		lease:     terms.Duration,
		members:   terms.Members,
		arrivals:  map[uint64]entryArrivals{},
		stoppedAt: map[string]Microseconds{},
	}
}

// MarkStopped records that a member's process did not run at some time, as its address refused a connection. It has written
// nothing, and a process that starts in its place is without a quorum a lease later at the soonest.
func (t *LeaseTracker) MarkStopped(member string, at Microseconds) {
	t.stoppedAt[member] = max(t.stoppedAt[member], at)
}

// SilentFor tells whether nothing has arrived from an incarnation for longer than some time, so that it is worth asking
// whether its process runs.
func (t *LeaseTracker) SilentFor(incarnation uint64, now, duration Microseconds) bool {
	last, known := t.arrivals[incarnation]
	return !known || now-last.arrivedAt > duration
}

// Observe records that an entry has arrived at the leader. The number tells the connections apart on which entries arrive.
//
// An arrival shows how long a lease lasts at least:
//
//  1. A member is without a quorum no sooner than a lease after it proposed the last entry of whose commit it was told.
//  2. It proposes entry n+1 after the answer to n. So when n+1 arrives on the same connection, n was answered.
//  3. It proposed n after the answer to n-1, which was after n-1 had arrived here.
//  4. So its lease counts from the arrival of n-1 at the soonest, however late messages are.
func (t *LeaseTracker) Observe(incarnation, seq uint64, connection int, now Microseconds) {
	last, known := t.arrivals[incarnation]
	if !known {
		last.leaseFrom = notArrived
	}
	sameConnection := known && last.connection == connection
	switch {
	case sameConnection && seq == last.seq: // a repeat: the first arrival counts
	case sameConnection && seq == last.seq+1:
		if last.previousAt != notArrived {
			last.leaseFrom = max(last.leaseFrom, last.previousAt)
		}
		last.previousAt = last.arrivedAt
		last.arrivedAt = now
		last.seq = seq
	default:
		last = entryArrivals{connection: connection, seq: seq, arrivedAt: now, previousAt: notArrived, leaseFrom: last.leaseFrom}
	}
	t.arrivals[incarnation] = last
}

// FullyRecorded gives the incarnations that have surely written nothing without a quorum so far, in no order. It is empty until
// all members have entered: one that has not may be serving without a quorum.
func (t *LeaseTracker) FullyRecorded(record *Record, now Microseconds) (incarnations []uint64) {
	t.forgetUnknown(record, now)
	if len(record.Members) < t.members {
		return nil
	}
	for id, incarnation := range record.Incarnations {
		present := record.Members[incarnation.Member] == id
		if t.holdsLease(id, now) || present && (t.closedLately(id, incarnation, now) || t.stoppedLately(id, incarnation, now)) {
			incarnations = append(incarnations, id)
		}
	}
	return incarnations
}

// holdsLease tells whether an incarnation's lease has surely not ended.
func (t *LeaseTracker) holdsLease(id uint64, now Microseconds) bool {
	last, known := t.arrivals[id]
	return known && last.leaseFrom != notArrived && now-last.leaseFrom < t.lease
}

// closedLately tells whether the entry by which an incarnation closed arrived within a lease.
func (t *LeaseTracker) closedLately(id uint64, incarnation *Incarnation, now Microseconds) bool {
	last, known := t.arrivals[id]
	return incarnation.Closed && known && now-last.arrivedAt < t.lease
}

// stoppedLately tells whether a member was seen not to run within a lease, after all that has arrived from it.
func (t *LeaseTracker) stoppedLately(id uint64, incarnation *Incarnation, now Microseconds) bool {
	stoppedAt, stopped := t.stoppedAt[incarnation.Member]
	last, known := t.arrivals[id]
	return stopped && now-stoppedAt < t.lease && (!known || last.arrivedAt <= stoppedAt)
}

// forgetUnknown drops incarnations that never entered, or that the record has forgotten.
func (t *LeaseTracker) forgetUnknown(record *Record, now Microseconds) {
	for id, last := range t.arrivals {
		if record.Incarnations[id] == nil && now-last.arrivedAt > t.lease {
			delete(t.arrivals, id)
		}
	}
}
