package ownership

import (
	"maps"
	"slices"
)

// EntryApplied takes the next committed entry of the record, of whatever member.
func (c *Coordinator) EntryApplied(e Entry, now Microseconds) {
	c.observeStamp(e.Stamp, now)
	moves, accepted := c.record.Apply(e)
	if !accepted {
		if e.Incarnation == c.incarnation && c.record.Members[c.name] != c.incarnation { // another has entered under our name
			c.leaveRecord(now)
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

// SnapshotRestored takes the record as a whole, in place of the entries that led to it.
func (c *Coordinator) SnapshotRestored(record *Record, now Microseconds) {
	c.record = record
	for proxy, owned := range record.Proxies {
		for _, stamp := range owned.Moves {
			c.observeStamp(stamp, now)
		}
		state := c.proxies[proxy]
		if state != nil && state.token > 0 && owned.Incarnation != c.incarnation && owned.Token > state.token {
			state.owned = false
			state.token = 0
			state.silentSince = now
		}
	}
}

// hasEntered tells whether our incarnation is on the record.
func (c *Coordinator) hasEntered() bool { return c.record.Incarnations[c.incarnation] != nil }

// reportEvidence hands on what another member has just reported.
func (c *Coordinator) reportEvidence(e Entry) {
	for _, observation := range e.Observations {
		c.host.PeerObservationReported(e.Member, observation)
	}
	if e.Capacity != (Capacity{}) {
		c.host.PeerCapacityReported(e.Capacity)
	}
}

// reportStandingEvidence hands on, as we enter, what the others have withdrawn and the capacity that they have seen.
func (c *Coordinator) reportStandingEvidence() {
	for _, member := range slices.Sorted(maps.Keys(c.record.Capacities)) {
		if member != c.name {
			c.host.PeerCapacityReported(c.record.Capacities[member])
		}
	}
	for _, backend := range slices.Sorted(maps.Keys(c.record.Withdrawn)) {
		byMember := c.record.Withdrawn[backend]
		for _, member := range slices.Sorted(maps.Keys(byMember)) {
			if member != c.name {
				c.host.PeerObservationReported(member, byMember[member])
			}
		}
	}
}
