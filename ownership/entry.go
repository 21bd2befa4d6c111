package ownership

// Entry is a change of the record that one member proposes. A member has one entry in flight at a
// time. The encoding is used on the wire and on disk: key numbers are never changed or reused.
type Entry struct {
	// Member is the name of the member that proposes the entry.
	Member string `cbor:"1,keyasint"`
	// Incarnation is drawn at random at each start of the member and at each loss of its quorum.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Seq counts the entries of an incarnation from 1. The entry with Seq 1 enters the incarnation
	// into the record.
	Seq uint64 `cbor:"3,keyasint"`
	// SeenToken is the greatest fencing token that the member has seen; only the entry with Seq 1
	// has it.
	SeenToken uint64 `cbor:"4,keyasint,omitempty"`
	// Closing ends the incarnation, which writes nothing to any proxy from then on.
	Closing bool `cbor:"5,keyasint,omitempty"`
	// Claims are the proxies that the member claims because they have connected to it.
	Claims []int `cbor:"6,keyasint,omitempty"`
	// Reclaims are the proxies that the member claims again while their streams to it stay open.
	// This field was added after the fields below, so its encoding key is the first that was free.
	Reclaims []int `cbor:"15,keyasint,omitempty"`
	// Revision is the revision of the member's tables after TableChanges.
	Revision uint64 `cbor:"7,keyasint,omitempty"`
	// TableChanges are the changes of the member's tables; in the entry with Seq 1, all lines of
	// all tables.
	TableChanges []TableChange `cbor:"8,keyasint,omitempty"`
	// Confirmations are the acknowledgements by proxies since the last entry.
	Confirmations []Confirmation `cbor:"9,keyasint,omitempty"`
	// Observations are the outcomes that the member's proxies observed at backends since the
	// member's last report.
	Observations []Observation `cbor:"10,keyasint,omitempty"`
	// Demands are the demands of the proxies whose demand differs by more than demandTolerance from
	// the one that the member last reported.
	Demands []Demand `cbor:"13,keyasint,omitempty"`
	// Capacity is the fleet capacity that the member has observed; the zero value if the capacity
	// differs by no more than capacityTolerance from the one that the member last reported.
	Capacity Capacity `cbor:"14,keyasint,omitempty"`
	// FullyRecorded is set by the leader: the incarnations that had certainly written nothing
	// without quorum when this entry arrived at the leader. It is empty until all members have
	// entered the record.
	FullyRecorded []uint64 `cbor:"11,keyasint,omitempty"`
	// Stamp is set by the leader: the time at which the entry arrived at the leader. Only members of
	// versions without a message pace use it.
	Stamp Stamp `cbor:"12,keyasint,omitempty"`
}

// Stamp is a time on the clock of one leader. It can be compared only with stamps of the same
// leader.
type Stamp struct {
	// Leader is a random number that identifies the leader's process, and so its clock.
	Leader uint64 `cbor:"1,keyasint"`
	// At is the time since the leader's process started.
	At Microseconds `cbor:"2,keyasint"`
}

// WithdrawnTable is the table number under which a member records its withdrawals: a weight of 1
// withdraws a backend, a weight of 0 restores it.
const WithdrawnTable = -1

// TableChange is a change of one table of a member.
type TableChange struct {
	// Table is the number of the table, or WithdrawnTable.
	Table int `cbor:"1,keyasint"`
	// Lines are the lines that are set; a weight of 0 removes a line.
	Lines []Line `cbor:"2,keyasint"`
}

// Line is the weight of one backend in a table.
type Line struct {
	// Backend is the id of the backend.
	Backend string `cbor:"1,keyasint"`
	// Weight is the weight of the backend; 0 means that the table has no line for it.
	Weight float64 `cbor:"2,keyasint"`
}

// Confirmation records that a proxy has applied everything that its owner wrote to it up to a
// revision.
type Confirmation struct {
	// Proxy is the number of the proxy.
	Proxy int `cbor:"1,keyasint"`
	// Token is the fencing token of the claim by which the proxy is owned; a confirmation with
	// another token is ignored.
	Token uint64 `cbor:"2,keyasint"`
	// Revision is the revision of the owner's tables.
	Revision uint64 `cbor:"3,keyasint"`
	// Tables are the numbers of the tables to which the proxy's classes are bound, by class.
	Tables []int `cbor:"4,keyasint"`
	// WithdrawalsKnown reports whether the proxy holds the withdrawals that its owner ordered, and
	// none by an earlier owner.
	WithdrawalsKnown bool `cbor:"5,keyasint,omitempty"`
}

// Observation holds the outcomes that a member's proxies observed at a backend within a span of
// time.
type Observation struct {
	// Backend is the id of the backend.
	Backend string `cbor:"1,keyasint"`
	// Attempts counts the requests that were sent to the backend.
	Attempts int `cbor:"2,keyasint"`
	// Failed counts the attempts that failed.
	Failed int `cbor:"3,keyasint"`
	// MeanLatency is the mean latency of the attempts that did not fail.
	MeanLatency Microseconds `cbor:"4,keyasint"`
	// Window is the length of the observed span of time. If outcomes of several spans are summed,
	// it is the length of the longest.
	Window Microseconds `cbor:"5,keyasint"`
	// Withdrawn reports whether the member has withdrawn the backend because of the attempts and
	// failures of this observation.
	Withdrawn bool `cbor:"6,keyasint,omitempty"`
	// Backoff is the time for which the backend is withdrawn.
	Backoff Microseconds `cbor:"7,keyasint,omitempty"`
}

// Demand is the load that clients put on a proxy.
type Demand struct {
	// Proxy is the number of the proxy.
	Proxy int `cbor:"1,keyasint"`
	// Rates are requests per second, by class.
	Rates []float64 `cbor:"2,keyasint"`
}

// Capacity is the throughput that a fleet was observed to reach, in units of requests per second
// for each unit of weight and of baseline demand (balancer.Controller.Throughput), so that it also
// applies to another member's proxies. 0 means that it is not known.
type Capacity struct {
	// Proven is the throughput without a queue.
	Proven float64 `cbor:"1,keyasint"`
	// Saturated is the throughput with a queue.
	Saturated float64 `cbor:"2,keyasint"`
}
