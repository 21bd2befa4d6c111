package consensus

// progress is how far a member's part in raft is.
type progress struct {
	leads     bool
	inContact bool   // with a leader, where we do not lead: within a heartbeat timeout
	applied   uint64 // index of the last entry that was applied here
	committed uint64 // index of the last entry that is known to be committed
	last      uint64 // index of the last entry in the log
}

// currency tells whether a member has all that was accepted anywhere for longer than a heartbeat takes.
type currency struct {
	ledFrom uint64 // our last index as we were first seen to lead; 0 while we do not
}

// observe looks at the progress, as long as the leadership does not change.
func (c *currency) observe(seen progress) (current bool) {
	if seen.applied < seen.committed {
		return false
	}
	if !seen.leads {
		c.ledFrom = 0
		return seen.inContact
	}
	if c.ledFrom == 0 {
		c.ledFrom = max(seen.last, 1) // what stands up to there may have been accepted by the leader before us
	}
	return seen.applied >= c.ledFrom
}

// reset takes that the leadership has changed.
func (c *currency) reset() { c.ledFrom = 0 }
