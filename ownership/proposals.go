package ownership

// proposePending proposes what has gathered, if it is due and no other entry is in flight.
func (c *Coordinator) proposePending(now Microseconds) {
	if c.inFlight != nil || !c.entryDue(now) {
		return
	}
	entering := c.seq == 0
	if entering {
		if c.enteredRecently(now) {
			return
		}
		c.lastEnteredAt = now
	}
	entry := c.pending
	c.pending = Entry{}
	if !entering && entry.Revision == 0 {
		entry.Revision = c.revision
	}
	entry.Member = c.name
	entry.Incarnation = c.incarnation
	entry.Seq = c.seq + 1
	c.inFlight = &entry
	c.proposedAt = now
	c.lastProposedAt = now
	c.host.Propose(entry)
}

// entryDue tells whether an entry is to be proposed now: at once for what somebody waits for, soon for acknowledgements,
// and otherwise to renew the lease.
func (c *Coordinator) entryDue(now Microseconds) bool {
	if c.seq == 0 || c.pending.urgent() {
		return true
	}
	since := now - c.lastProposedAt
	if len(c.pending.Confirmations) > 0 && since >= c.terms.RenewInterval/2 {
		return true
	}
	return since >= c.terms.RenewInterval
}

// urgent tells whether a proxy or an order waits for the entry.
func (e *Entry) urgent() bool {
	return len(e.Claims) > 0 || len(e.Reclaims) > 0 || len(e.TableChanges) > 0 || e.Closing
}

// enteredRecently holds back another entering: two processes of one name would enter by turns as fast as they can.
func (c *Coordinator) enteredRecently(now Microseconds) bool {
	return c.lastEnteredAt > 0 && now-c.lastEnteredAt < c.terms.RenewInterval
}

// isInFlight tells whether an answer is for the entry in flight, not for one of an earlier incarnation.
func (c *Coordinator) isInFlight(incarnation, seq uint64) bool {
	return c.inFlight != nil && c.inFlight.Incarnation == incarnation && c.inFlight.Seq == seq
}

// ProposalCommitted is told that a proposed entry is committed. The lease counts from when it was proposed.
func (c *Coordinator) ProposalCommitted(incarnation, seq uint64, now Microseconds) {
	if !c.isInFlight(incarnation, seq) {
		return
	}
	revision := c.inFlight.Revision
	c.inFlight = nil
	c.seq = seq
	c.leaseFrom = c.proposedAt
	if now-c.leaseFrom >= c.terms.Duration { // the lease is over already; Tick sees to that
		c.proposePending(now)
		return
	}
	if c.withoutQuorum || seq == 1 {
		c.withoutQuorum = false
		c.host.QuorumChanged(false, "we have entered the record")
	}
	c.host.ReleaseUpTo(revision)
	c.proposePending(now)
}

// ProposalFailed is told that it is not known whether a proposed entry is committed. It is proposed again as it is:
// Record.Apply ignores repeats.
func (c *Coordinator) ProposalFailed(incarnation, seq uint64, _ Microseconds) {
	if c.isInFlight(incarnation, seq) {
		c.host.Propose(*c.inFlight)
	}
}
