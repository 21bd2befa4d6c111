package ownership

import (
	"maps"
	"slices"
)

// AddEvidence adds the report of this member's evidence to the next entry, if a report is due.
func (c *Coordinator) AddEvidence(evidence *Evidence, now Microseconds) {
	report := evidence.TakeDue(now)
	c.pending.Observations = append(c.pending.Observations, report.Observations...)
	c.pending.Demands = append(c.pending.Demands, report.Demands...)
	if report.Capacity != (Capacity{}) {
		c.pending.Capacity = report.Capacity
	}
}

// reportEvidence passes on to the host the observations and the capacity that another member has
// just reported.
func (c *Coordinator) reportEvidence(e Entry) {
	for _, observation := range e.Observations {
		c.host.PeerObservationReported(e.Member, observation)
	}
	if e.Capacity != (Capacity{}) {
		c.host.PeerCapacityReported(e.Capacity)
	}
}

// reportRecordedEvidence passes on to the host, as this member enters the record, the withdrawals
// and the capacities that other members have on the record.
func (c *Coordinator) reportRecordedEvidence() {
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
