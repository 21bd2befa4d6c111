package consensus

import (
	"testing"
)

// A member must not count as fresh while it may lack committed changes: a follower without contact
// to a leader, or a new leader that has not yet applied every entry of its log.
func TestFreshnessNeedsLeaderContactOrAppliedLog(t *testing.T) {
	var f freshness
	for i, c := range []struct {
		progress
		want bool
	}{
		{progress{inContact: true, applied: 5, committed: 5, lastIndex: 6}, true},
		{progress{applied: 5, committed: 5, lastIndex: 6}, false},
		{progress{inContact: true, applied: 4, committed: 5, lastIndex: 6}, false},
		// The member has become leader, and the previous leader may have committed entries 6 to 8.
		{progress{isLeader: true, applied: 5, committed: 5, lastIndex: 8}, false},
		{progress{isLeader: true, applied: 7, committed: 7, lastIndex: 9}, false},
		{progress{isLeader: true, applied: 8, committed: 8, lastIndex: 10}, true},
		{progress{isLeader: true, applied: 9, committed: 10, lastIndex: 10}, false},
		{progress{inContact: true, applied: 10, committed: 10, lastIndex: 10}, true},
		{progress{isLeader: true, applied: 10, committed: 10, lastIndex: 12}, false}, // the member is leader again
		{progress{isLeader: true, applied: 12, committed: 12, lastIndex: 12}, true},
	} {
		if got := f.observe(c.progress); got != c.want {
			t.Errorf("step %d, progress %+v: got fresh %v, want %v", i, c.progress, got, c.want)
		}
	}
	f.reset()
	if f.observe(progress{isLeader: true, applied: 12, committed: 12, lastIndex: 13}) {
		t.Error("fresh at the start of another leadership, with unapplied entries in the log")
	}
}
