package ownership

// proposePending proposes the pending entry if it is due and no other entry is in flight.
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

// entryDue reports whether an entry is to be proposed now: at once to enter the record or for
// urgent content, after half a LeaseTerms.RenewInterval for acknowledgements, and otherwise after a
// LeaseTerms.RenewInterval to renew the lease.
func (c *Coordinator) entryDue(now Microseconds) bool {
	if c.seq == 0 || c.pending.urgent() {
		return true
	}
	sinceLastProposal := now - c.lastProposedAt
	if len(c.pending.Confirmations) > 0 && sinceLastProposal >= c.terms.RenewInterval/2 {
		return true
	}
	return sinceLastProposal >= c.terms.RenewInterval
}

// urgent reports whether the entry has content that must not wait: a claim, a table change or the
// planned end of the member.
func (e *Entry) urgent() bool {
	return len(e.Claims) > 0 || len(e.Reclaims) > 0 || len(e.TableChanges) > 0 || e.Closing
}

// enteredRecently reports whether the member proposed to enter the record less than
// LeaseTerms.RenewInterval ago. It then has to wait: two processes of one name would otherwise
// enter in turns as fast as they can.
func (c *Coordinator) enteredRecently(now Microseconds) bool {
	return c.lastEnteredAt > 0 && now-c.lastEnteredAt < c.terms.RenewInterval
}

// isInFlight reports whether an answer is for the entry in flight, and not for an entry of an
// earlier incarnation.
func (c *Coordinator) isInFlight(incarnation, seq uint64) bool {
	return c.inFlight != nil && c.inFlight.Incarnation == incarnation && c.inFlight.Seq == seq
}

// ProposalCommitted handles the commit of a proposed entry. The lease counts from the time at which
// the entry was proposed.
func (c *Coordinator) ProposalCommitted(incarnation, seq uint64, now Microseconds) {
	if !c.isInFlight(incarnation, seq) {
		return
	}
	revision := c.inFlight.Revision
	c.inFlight = nil
	c.seq = seq
	c.leaseStart = c.proposedAt
	if now-c.leaseStart >= c.terms.Duration { // the lease has already ended, which Tick handles
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

// ProposalFailed handles a proposal whose outcome is unknown: its entry may be committed or not.
// The entry is proposed again unchanged, as Record.Apply ignores repeated entries.
func (c *Coordinator) ProposalFailed(incarnation, seq uint64, _ Microseconds) {
	if c.isInFlight(incarnation, seq) {
		c.host.Propose(*c.inFlight)
	}
}
