package ownership

// Entry is what one member appends to the record at once. A member has one entry in flight at a time. Its encoding is on
// the wire and on disk: numbers of keys are never changed or used again.
type Entry struct {
	// Member is the name of the member that proposes it.
	Member string `cbor:"1,keyasint"`
	// Incarnation is drawn at random at each start of the member, and after each time without a quorum.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Seq counts the entries of an incarnation from 1 on. The entry with 1 enters the incarnation.
	Seq uint64 `cbor:"3,keyasint"`
	// SeenToken is the greatest fencing token that the member has seen, in the entry that enters.
	SeenToken uint64 `cbor:"4,keyasint,omitempty"`
	// Closing ends the incarnation: it writes nothing to any proxy any more.
	Closing bool `cbor:"5,keyasint,omitempty"`
	// Claims are proxies that have connected to the member.
	Claims []int `cbor:"6,keyasint,omitempty"`
	// Reclaims are proxies that the member claims again on a stream that it has had all the time. It was added later than
	// the fields below: its key is the first that was free.
	Reclaims []int `cbor:"15,keyasint,omitempty"`
	// Revision is that of the member's tables once TableChanges are applied.
	Revision uint64 `cbor:"7,keyasint,omitempty"`
	// TableChanges are changes of the member's tables; all lines of all tables in the entry that enters.
	TableChanges []TableChange `cbor:"8,keyasint,omitempty"`
	// Confirmations say what proxies have acknowledged.
	Confirmations []Confirmation `cbor:"9,keyasint,omitempty"`
	// Observations are what the member's proxies met at backends since its last report.
	Observations []Observation `cbor:"10,keyasint,omitempty"`
	// Demands are the proxies whose demand has changed.
	Demands []Demand `cbor:"13,keyasint,omitempty"`
	// Capacity is what the member saw its fleet do; the zero value where it has not changed.
	Capacity Capacity `cbor:"14,keyasint,omitempty"`
	// FullyRecorded is set by the leader: the incarnations that had surely written nothing without a quorum when this entry
	// arrived. It is empty until all members have entered.
	FullyRecorded []uint64 `cbor:"11,keyasint,omitempty"`
	// Stamp is set by the leader: when the entry arrived.
	Stamp Stamp `cbor:"12,keyasint,omitempty"`
}

// Stamp is a time on the clock of one leader. It can be compared with stamps of the same leader alone.
type Stamp struct {
	// Leader is a random number that a process draws for its clock.
	Leader uint64 `cbor:"1,keyasint"`
	// At is since that process started.
	At Microseconds `cbor:"2,keyasint"`
}

// WithdrawnTable is the number under which a member records what it has withdrawn: a weight of 1 withdraws a backend, 0
// restores it.
const WithdrawnTable = -1

// TableChange is a change of one table of a member.
type TableChange struct {
	// Table is the number of the table, or WithdrawnTable.
	Table int `cbor:"1,keyasint"`
	// Lines are those that are set; a weight of 0 removes one.
	Lines []Line `cbor:"2,keyasint"`
}

// Line is the weight of one backend in a table.
type Line struct {
	// Backend is its id.
	Backend string `cbor:"1,keyasint"`
	// Weight is its weight; 0 stands for no line.
	Weight float64 `cbor:"2,keyasint"`
}

// Confirmation says that a proxy has applied all that its owner wrote to it up to a revision.
type Confirmation struct {
	// Proxy is the number of the proxy.
	Proxy int `cbor:"1,keyasint"`
	// Token is that of the claim by which it is owned; with any other the confirmation is ignored.
	Token uint64 `cbor:"2,keyasint"`
	// Revision is that of the owner's tables.
	Revision uint64 `cbor:"3,keyasint"`
	// Tables are the numbers of the tables that its classes are bound to, by class.
	Tables []int `cbor:"4,keyasint"`
	// WithdrawalsKnown: it holds the withdrawals that its owner ordered, and none of an earlier owner.
	WithdrawalsKnown bool `cbor:"5,keyasint,omitempty"`
}

// Observation is what a member's proxies met at a backend within a span of time.
type Observation struct {
	// Backend is its id.
	Backend string `cbor:"1,keyasint"`
	// Attempts counts the requests that were sent to it.
	Attempts int `cbor:"2,keyasint"`
	// Failed counts those of them that failed.
	Failed int `cbor:"3,keyasint"`
	// MeanLatency is that of the others.
	MeanLatency Microseconds `cbor:"4,keyasint"`
	// Window is the span that was observed.
	Window Microseconds `cbor:"5,keyasint"`
	// Withdrawn: the member has withdrawn the backend, for the attempts given here.
	Withdrawn bool `cbor:"6,keyasint,omitempty"`
	// Backoff is for how long it is withdrawn.
	Backoff Microseconds `cbor:"7,keyasint,omitempty"`
}

// Demand is the load that clients put on a proxy.
type Demand struct {
	// Proxy is the number of the proxy.
	Proxy int `cbor:"1,keyasint"`
	// Rates are requests a second, by class.
	Rates []float64 `cbor:"2,keyasint"`
}

// Capacity is the throughput that a fleet was seen to reach, in requests a second for each unit of weight and of ordinary
// traffic, so that it holds for another member's proxies as well. 0 is not known.
type Capacity struct {
	// Proven is the throughput without a queue.
	Proven float64 `cbor:"1,keyasint"`
	// Saturated is the throughput with a queue.
	Saturated float64 `cbor:"2,keyasint"`
}
