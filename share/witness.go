package share

// Witness is what the leader of the record knows of the other members by its own clock: until when each of them has
// surely written nothing off the record. A member goes off the record no sooner than a lease after it proposed the
// last entry of which it was answered that it stands. Entries of a member come one after the other, the next once the
// last was answered, so that with entry n+1 on the same connection it is known that n was answered, that n was proposed
// after the answer to n-1, and that this was after n-1 had come. Counting the lease from there is never too long,
// however late anything is under way. A new leader has seen nothing yet, and vouches for nobody.
//
// A process that is surely not there has written nothing either, and one that comes in its place goes off the record no
// sooner than a lease after its start. So a member is vouched for as well for a lease after it was seen to be gone, or
// after the entry by which it closed its life came.
type Witness struct {
	lease   int64
	members int
	came    map[uint64]arrivals // by life
	gone    map[string]int64    // when a member was last seen to be gone
}

// arrivals are those of the last entries of a life, in a row on one connection; -1 stands for none.
type arrivals struct {
	over     int // the connection
	seq      uint64
	at, last int64 // when that one came, and the one before
	sure     int64 // the lease counts from then on at least
}

// NewWitness makes a witness for what all members agree on.
func NewWitness(terms Terms) *Witness {
	return &Witness{terms.Lease, terms.Members, map[uint64]arrivals{}, map[string]int64{}}
}

// Gone takes that a member's process was surely not there at some time: nobody listened at its address.
func (w *Witness) Gone(member string, at int64) { w.gone[member] = max(w.gone[member], at) }

// Silent tells whether nothing has come from a member's life for some time, so that it is worth a look whether it is
// there.
func (w *Witness) Silent(life uint64, now, since int64) bool {
	a, known := w.came[life]
	return !known || now-a.at > since
}

// Came takes an entry as it comes to the leader over a connection.
func (w *Witness) Came(life, seq uint64, over int, now int64) {
	a, known := w.came[life]
	switch {
	case known && a.over == over && seq == a.seq+1:
		if a.last >= 0 {
			a.sure = max(a.sure, a.last)
		}
		a.last, a.at, a.seq = a.at, now, seq
	case known && a.over == over && seq == a.seq: // a repeat: the first coming counts
	default:
		a = arrivals{over: over, seq: seq, at: now, last: -1, sure: a.sure}
	}
	if !known {
		a.sure = -1
	}
	w.came[life] = a
}

// Recorded names the lives that have surely written nothing off the record so far. One that has not entered yet may
// serve off the record as well, so it names none before all have.
func (w *Witness) Recorded(record *Record, now int64) (lives []uint64) {
	for id, life := range record.Lives {
		a, came := w.came[id]
		at, gone := w.gone[life.Member]
		switch current := record.Members[life.Member] == id; {
		case came && a.sure >= 0 && now-a.sure < w.lease,
			current && life.Closed && came && now-a.at < w.lease,
			current && gone && now-at < w.lease && (!came || a.at <= at):
			lives = append(lives, id)
		}
	}
	for id, a := range w.came {
		if record.Lives[id] == nil && now-a.at > w.lease { // it never got in, or is forgotten
			delete(w.came, id)
		}
	}
	if len(record.Members) < w.members {
		return nil
	}
	return lives
}
