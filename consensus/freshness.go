package consensus

import (
	"time"

	"github.com/hashicorp/raft"
)

// progress is how far a member's part in raft is.
type progress struct {
	leads     bool
	inContact bool   // with a leader, where we do not lead: within a heartbeat timeout
	applied   uint64 // index of the last entry that was applied here
	committed uint64 // index of the last entry that is known to be committed
	last      uint64 // index of the last entry in the log
}

// freshness reports whether this member has every change that was committed more than a heartbeat ago.
type freshness struct {
	ledFrom uint64 // our last index as we were first seen to lead; 0 while we do not
}

// observe tells whether the member is fresh, by its progress. It is to be called again and again while the leadership
// lasts, and reset when that changes. A follower is fresh if it is in contact with a leader and has applied what it knows
// to be committed; a leader is once it has applied all that its log had when it began to lead.
func (f *freshness) observe(seen progress) (fresh bool) {
	if seen.applied < seen.committed {
		return false
	}
	if !seen.leads {
		f.ledFrom = 0
		return seen.inContact
	}
	if f.ledFrom == 0 {
		f.ledFrom = max(seen.last, 1) // what stands up to there may have been accepted by the leader before us
	}
	return seen.applied >= f.ledFrom
}

// reset is called when the leadership changes.
func (f *freshness) reset() { f.ledFrom = 0 }

// reportCurrent tells the distribution that the record is led and that we have all of its configuration record, if that is so.
func (l *membershipLoop) reportCurrent(current *instance) {
	if l.config.Distribution == nil {
		return
	}
	r := current.raft
	seen := progress{
		leads:     r.State() == raft.Leader,
		inContact: time.Since(r.LastContact()) < l.pace.heartbeat,
		applied:   r.AppliedIndex(),
		committed: r.CommitIndex(),
		last:      r.LastIndex(),
	}
	if l.freshness.observe(seen) && !current.machine.configuration.empty() {
		l.config.Distribution.Current()
	}
}
