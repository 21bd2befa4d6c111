package ownership

// EntryApplied applies the next committed entry, which any member may have proposed.
func (c *Coordinator) EntryApplied(e Entry, now Microseconds) {
	moves, accepted := c.record.Apply(e)
	if !accepted {
		// Another process has entered under this member's name.
		if e.Incarnation == c.incarnation && c.record.Members[c.name] != c.incarnation {
			c.goWithoutQuorum(now)
		}
		return
	}
	for _, move := range moves {
		c.applyMove(move, now)
	}
	switch {
	case e.Incarnation == c.incarnation && e.Seq == 1:
		c.reportRecordedEvidence()
	case e.Member != c.name && c.hasEntered():
		// Observations reported before this member entered the record are outdated.
		c.reportEvidence(e)
	}
}

// SnapshotRestored replaces the record by one from a snapshot; the entries that led to this record
// are not applied. A proxy that this incarnation owned and that the new record assigns to another
// incarnation is lost as by loseProxy, with one difference: the proxy also counts as lost if its new
// owner has this member's name, in another incarnation.
func (c *Coordinator) SnapshotRestored(record *Record, now Microseconds) {
	c.record = record
	for proxy, owned := range record.Proxies {
		state := c.proxies[proxy]
		if state != nil && state.claimToken > 0 &&
			owned.Incarnation != c.incarnation && owned.Token > state.claimToken {
			state.owned = false
			state.claimToken = 0
			state.unclaimedSince = now
		}
	}
}

// hasEntered reports whether this member's present incarnation is on the record.
func (c *Coordinator) hasEntered() bool { return c.record.Incarnations[c.incarnation] != nil }
