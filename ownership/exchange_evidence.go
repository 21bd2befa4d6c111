package ownership

import (
	"maps"
	"slices"
)

// AddEvidence puts what is due of our evidence into the next entry.
func (c *Coordinator) AddEvidence(evidence *Evidence, now Microseconds) {
	report := evidence.TakeDue(now)
	c.pending.Observations = append(c.pending.Observations, report.Observations...)
	c.pending.Demands = append(c.pending.Demands, report.Demands...)
	if report.Capacity != (Capacity{}) {
		c.pending.Capacity = report.Capacity
	}
}

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
