package consensus

import "time"

// raftTimings are the timeouts of raft that follow from the lease.
type raftTimings struct {
	heartbeat   time.Duration // raft's heartbeat timeout, and its election timeout
	leaderLease time.Duration // a leader that reaches no majority for this time steps down
	commit      time.Duration // time after which the leader sends its commit index even if no further entry follows
}

// Bounds of the timings, and their ratios to the lease. A leader whose process ends is replaced
// within about two heartbeat timeouts.
const (
	// minHeartbeat, the lower bound of the heartbeat timeout, suits a local network and a lease of
	// 1.5 s.
	minHeartbeat = 400 * time.Millisecond
	// maxHeartbeat, the upper bound of the heartbeat timeout, is low enough that a change reaches
	// subscribers within 3 s even if the leader's process ends just after the leader accepted the
	// change.
	maxHeartbeat = 1200 * time.Millisecond

	minCommitTimeout = 50 * time.Millisecond

	// The heartbeat timeout is lease / leaseDivisor * heartbeatMultiplier, so that two elections
	// fit into a lease.
	leaseDivisor        = 15
	heartbeatMultiplier = 4

	leaderLeaseDivisor = 4  // the leader lease is 1/leaderLeaseDivisor shorter than the heartbeat timeout
	commitDivisor      = 30 // commit timeout = lease / commitDivisor
)

// timingsFor returns the timings for a lease. With a longer lease the timings increase in
// proportion, the heartbeat timeout up to maxHeartbeat. With a shorter lease they do not decrease
// below minHeartbeat and minCommitTimeout.
func timingsFor(lease time.Duration) raftTimings {
	heartbeat := min(max(minHeartbeat, lease/leaseDivisor*heartbeatMultiplier), maxHeartbeat)
	return raftTimings{
		heartbeat:   heartbeat,
		leaderLease: heartbeat - heartbeat/leaderLeaseDivisor,
		commit:      max(minCommitTimeout, lease/commitDivisor),
	}
}
