package ownership

// EntryApplied applies the next committed entry, of whatever member.
func (c *Coordinator) EntryApplied(e Entry, now Microseconds) {
	c.observeStamp(e.Stamp, now)
	moves, accepted := c.record.Apply(e)
	if !accepted {
		if e.Incarnation == c.incarnation && c.record.Members[c.name] != c.incarnation { // another has entered under our name
			c.goWithoutQuorum(now)
		}
		return
	}
	for _, move := range moves {
		c.applyMove(move, now)
	}
	switch {
	case e.Incarnation == c.incarnation && e.Seq == 1:
		c.reportStandingEvidence()
	case e.Member != c.name && c.hasEntered(): // what was reported before we entered is old
		c.reportEvidence(e)
	}
}

// SnapshotRestored replaces the ownership record, in place of the entries that led to it. A proxy that was ours and is
// another member's in it is lost as by loseProxy, with two differences: the owner quota is not taken away, and it counts as
// lost as well where the owner has our name, in another incarnation. So it is today; whether the owner quota should stay is
// in docs/ROADMAP.md.
func (c *Coordinator) SnapshotRestored(record *Record, now Microseconds) {
	c.record = record
	for proxy, owned := range record.Proxies {
		for _, stamp := range owned.Moves {
			c.observeStamp(stamp, now)
		}
		state := c.proxies[proxy]
		if state != nil && state.claimToken > 0 && owned.Incarnation != c.incarnation && owned.Token > state.claimToken {
			state.owned = false
			state.claimToken = 0
			state.unclaimedSince = now
		}
	}
}

// hasEntered tells whether our incarnation is on the record.
func (c *Coordinator) hasEntered() bool { return c.record.Incarnations[c.incarnation] != nil }
