package consensus

import (
	"time"

	"github.com/hashicorp/raft"
)

// progress holds the properties of a member's raft instance that determine whether the member is
// fresh.
type progress struct {
	isLeader  bool
	inContact bool   // the follower received a message from the leader less than a heartbeat timeout ago
	applied   uint64 // index of the last entry that this member has applied
	committed uint64 // index of the last entry that this member knows to be committed
	lastIndex uint64 // index of the last entry in this member's log
}

// freshness determines whether this member is fresh: whether it has every change that was committed
// more than a heartbeat timeout ago.
type freshness struct {
	// leadershipIndex is the index of the last log entry, or 1 if that index is 0, at the first
	// call of observe after this member became leader. It is 0 before this call, and while this
	// member is not leader.
	leadershipIndex uint64
}

// observe reports whether a member with the given progress is fresh. It has to be called repeatedly
// during a leadership, and reset has to be called when the leadership changes. A follower is fresh
// if it is in contact with a leader and has applied every entry that it knows to be committed. A
// leader is fresh once it has applied every entry that its log contained at the first call of
// observe after it became leader, and while it has applied every entry that it knows to be
// committed.
func (f *freshness) observe(seen progress) (fresh bool) {
	if seen.applied < seen.committed {
		return false
	}
	if !seen.isLeader {
		f.leadershipIndex = 0
		return seen.inContact
	}
	if f.leadershipIndex == 0 {
		// The previous leader may have committed entries up to seen.lastIndex.
		f.leadershipIndex = max(seen.lastIndex, 1)
	}
	return seen.applied >= f.leadershipIndex
}

// reset discards the leadershipIndex of the last leadership. It has to be called when this member
// becomes leader or stops being leader.
func (f *freshness) reset() { f.leadershipIndex = 0 }

// reportCurrent calls Distribution.Current if this member is fresh and its configuration record is
// not empty.
func (l *membershipLoop) reportCurrent(current *instance) {
	if l.config.Distribution == nil {
		return
	}
	r := current.raft
	seen := progress{
		isLeader:  r.State() == raft.Leader,
		inContact: time.Since(r.LastContact()) < l.timings.heartbeat,
		applied:   r.AppliedIndex(),
		committed: r.CommitIndex(),
		lastIndex: r.LastIndex(),
	}
	if l.freshness.observe(seen) && !current.machine.configuration.empty() {
		l.config.Distribution.Current()
	}
}
