package consensus

import "time"

// pace is how often the members of a record hear of each other.
type pace struct {
	heartbeat   time.Duration // raft's heartbeat and election timeouts
	leaderLease time.Duration // without a majority for so long a leader steps down
	commit      time.Duration // until followers are told what is committed where no further entry tells them
}

// Figures of the pace. A member that dies is replaced as leader within two heartbeat timeouts, about.
const (
	shortestHeartbeat = 400 * time.Millisecond  // for a local network, and a lease of 1.5 s
	longestHeartbeat  = 1200 * time.Millisecond // upper bound, so that a change accepted by a dying leader still reaches subscribers within 3 s
	shortestCommit    = 50 * time.Millisecond
	leaseParts        = 15 // of a lease, of which ...
	heartbeatParts    = 4  // ... so many are the heartbeat timeout: two elections fit into a lease
	leaderLeaseParts  = 4  // the leader's lease is all but one of these parts of the heartbeat timeout
	commitParts       = 30 // of a lease
)

// paceFor gives the pace that a lease allows. A longer lease has members hear of each other less often, in proportion, but for the
// heartbeat, which has a bound; a shorter one does not have them hear of each other more often.
func paceFor(lease time.Duration) pace {
	heartbeat := min(max(shortestHeartbeat, lease/leaseParts*heartbeatParts), longestHeartbeat)
	return pace{
		heartbeat:   heartbeat,
		leaderLease: heartbeat - heartbeat/leaderLeaseParts,
		commit:      max(shortestCommit, lease/commitParts),
	}
}
