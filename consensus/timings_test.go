package consensus

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// Raft must accept the timings for every lease. Within their bounds, the timings increase in
// proportion to the lease.
func TestRaftTimingsFollowTheLease(t *testing.T) {
	const defaultLease = 1500 * time.Millisecond
	defaultTimings := raftTimings{400 * time.Millisecond, 300 * time.Millisecond, 50 * time.Millisecond}
	for lease, want := range map[time.Duration]raftTimings{
		0:                      defaultTimings,
		500 * time.Millisecond: defaultTimings,
		defaultLease:           defaultTimings,
		3 * time.Second:        {800 * time.Millisecond, 600 * time.Millisecond, 100 * time.Millisecond},
		time.Hour:              {1200 * time.Millisecond, 900 * time.Millisecond, 2 * time.Minute},
		6 * time.Second:        {1200 * time.Millisecond, 900 * time.Millisecond, 200 * time.Millisecond},
	} {
		got := timingsFor(lease)
		if got != want {
			t.Errorf("lease of %s: got %+v, want %+v", lease, got, want)
		}
		if lease >= defaultLease && 2*got.heartbeat > lease {
			t.Errorf("lease of %s: two elections of %s do not fit into it", lease, got.heartbeat)
		}
		config := raft.DefaultConfig()
		config.LocalID = "n0"
		config.HeartbeatTimeout, config.ElectionTimeout = got.heartbeat, got.heartbeat
		config.LeaderLeaseTimeout, config.CommitTimeout = got.leaderLease, got.commit
		if err := raft.ValidateConfig(config); err != nil {
			t.Errorf("lease of %s: raft refuses the timings %+v: %v", lease, got, err)
		}
	}
}
