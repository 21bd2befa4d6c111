package consensus

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// A longer lease slows the pace in proportion, and raft takes each.
func TestPaceFollowsTheLease(t *testing.T) {
	const usualLease = 1500 * time.Millisecond
	usual := raftTimings{400 * time.Millisecond, 300 * time.Millisecond, 50 * time.Millisecond}
	for lease, want := range map[time.Duration]raftTimings{
		0:                      usual,
		500 * time.Millisecond: usual,
		usualLease:             usual,
		3 * time.Second:        {800 * time.Millisecond, 600 * time.Millisecond, 100 * time.Millisecond},
		time.Hour:              {1200 * time.Millisecond, 900 * time.Millisecond, 2 * time.Minute},
		6 * time.Second:        {1200 * time.Millisecond, 900 * time.Millisecond, 200 * time.Millisecond},
	} {
		got := timingsFor(lease)
		if got != want {
			t.Errorf("lease of %s: %+v, not %+v", lease, got, want)
		}
		if lease >= usualLease && 2*got.heartbeat > lease {
			t.Errorf("lease of %s: no room for two elections of %s", lease, got.heartbeat)
		}
		c := raft.DefaultConfig()
		c.LocalID = "n0"
		c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = got.heartbeat, got.heartbeat, got.leaderLease, got.commit
		if err := raft.ValidateConfig(c); err != nil {
			t.Errorf("lease of %s: %v", lease, err)
		}
	}
}
