package ownership

// LeaseTracker determines, for the leader of the record and by its clock, until when each member
// has certainly written nothing without quorum. The comments of Observe and MarkStopped give the
// reasons. A tracker is kept over several leaderships of one process, and is lost when the process
// ends. It is not safe for concurrent use.
type LeaseTracker struct {
	lease   Microseconds
	members int // number of members that share the record
	// arrivals holds, by incarnation, the arrival times at this leader of the last entry that the
	// incarnation proposed and, if it arrived on the same connection, of the entry before it.
	arrivals map[uint64]entryArrivals
	// stoppedAt holds the last time at which a member's process was found not running, by name of
	// the member.
	stoppedAt map[string]Microseconds
}

// entryArrivals holds the arrival times of the last entries of an incarnation that arrived in
// sequence on one connection.
type entryArrivals struct {
	connection         int          // number of the connection on which the entries arrived
	seq                uint64       // number of the last entry that arrived
	arrivedAt          Microseconds // arrival time of the entry with the number seq
	previousAt         Microseconds // arrival time of the entry with the number seq-1, or notArrived
	earliestLeaseStart Microseconds // earliest possible start of the member's lease, or notArrived if it is not known
}

// notArrived stands for a missing time in entryArrivals.
const notArrived = -1

// NewLeaseTracker returns a tracker that has observed no entries.
func NewLeaseTracker(terms LeaseTerms) *LeaseTracker {
	return &LeaseTracker{
		lease:     terms.Duration,
		members:   terms.Members,
		arrivals:  map[uint64]entryArrivals{},
		stoppedAt: map[string]Microseconds{},
	}
}

// MarkStopped records that a member's process was not running at some time, because its address
// refused a connection. A process that is not running writes nothing, and a process that starts in
// its place is without quorum one lease later at the earliest.
func (t *LeaseTracker) MarkStopped(member string, at Microseconds) {
	t.stoppedAt[member] = max(t.stoppedAt[member], at)
}

// SilentFor reports whether no entry has arrived from an incarnation for longer than a duration, so
// that it is worth checking whether its process is running.
func (t *LeaseTracker) SilentFor(incarnation uint64, now, duration Microseconds) bool {
	arrivals, known := t.arrivals[incarnation]
	return !known || now-arrivals.arrivedAt > duration
}

// Observe records that an entry has arrived at the leader. The connection number identifies the
// connection on which the entry arrived.
//
// An arrival gives a lower bound of the end of the member's lease:
//
//  1. A member is without quorum no sooner than one lease after it proposed the last of its
//     entries whose commit was answered.
//  2. The member proposes entry n+1 after the answer to entry n. So when entry n+1 arrives on the
//     same connection, entry n was answered.
//  3. The member proposed entry n after the answer to entry n-1, which was sent after entry n-1 had
//     arrived at this leader.
//  4. So the member's lease starts at the arrival of entry n-1 at the earliest, however late
//     messages are.
func (t *LeaseTracker) Observe(incarnation, seq uint64, connection int, now Microseconds) {
	arrivals, known := t.arrivals[incarnation]
	if !known {
		arrivals.earliestLeaseStart = notArrived
	}
	sameConnection := known && arrivals.connection == connection
	switch {
	case sameConnection && seq == arrivals.seq: // a repeated entry changes nothing, as its first arrival counts
	case sameConnection && seq == arrivals.seq+1:
		if arrivals.previousAt != notArrived {
			arrivals.earliestLeaseStart = max(arrivals.earliestLeaseStart, arrivals.previousAt)
		}
		arrivals.previousAt = arrivals.arrivedAt
		arrivals.arrivedAt = now
		arrivals.seq = seq
	default:
		arrivals = entryArrivals{
			connection:         connection,
			seq:                seq,
			arrivedAt:          now,
			previousAt:         notArrived,
			earliestLeaseStart: arrivals.earliestLeaseStart,
		}
	}
	t.arrivals[incarnation] = arrivals
}

// FullyRecorded returns the incarnations that have certainly written nothing without quorum so far,
// in no particular order. It is empty until all members have entered: a member that has not entered
// may be serving proxies without quorum.
func (t *LeaseTracker) FullyRecorded(record *Record, now Microseconds) (incarnations []uint64) {
	t.forgetUnknown(record, now)
	if len(record.Members) < t.members {
		return nil
	}
	for id, incarnation := range record.Incarnations {
		isCurrent := record.Members[incarnation.Member] == id
		if t.holdsLease(id, now) ||
			isCurrent && (t.closedWithinLease(id, incarnation, now) || t.stoppedWithinLease(id, incarnation, now)) {
			incarnations = append(incarnations, id)
		}
	}
	return incarnations
}

// holdsLease reports whether an incarnation's lease has certainly not ended.
func (t *LeaseTracker) holdsLease(id uint64, now Microseconds) bool {
	arrivals, known := t.arrivals[id]
	return known && arrivals.earliestLeaseStart != notArrived && now-arrivals.earliestLeaseStart < t.lease
}

// closedWithinLease reports whether the entry that closed an incarnation arrived less than a lease
// ago.
func (t *LeaseTracker) closedWithinLease(id uint64, incarnation *Incarnation, now Microseconds) bool {
	arrivals, known := t.arrivals[id]
	return incarnation.Closed && known && now-arrivals.arrivedAt < t.lease
}

// stoppedWithinLease reports whether a member's process was found not running less than a lease
// ago, and no entry of the member's incarnation has arrived since that time.
func (t *LeaseTracker) stoppedWithinLease(id uint64, incarnation *Incarnation, now Microseconds) bool {
	stoppedAt, stopped := t.stoppedAt[incarnation.Member]
	arrivals, known := t.arrivals[id]
	return stopped && now-stoppedAt < t.lease && (!known || arrivals.arrivedAt <= stoppedAt)
}

// forgetUnknown drops incarnations that never entered the record, or that the record has forgotten,
// once their last entry arrived more than a lease ago.
func (t *LeaseTracker) forgetUnknown(record *Record, now Microseconds) {
	for id, arrivals := range t.arrivals {
		if record.Incarnations[id] == nil && now-arrivals.arrivedAt > t.lease {
			delete(t.arrivals, id)
		}
	}
}
