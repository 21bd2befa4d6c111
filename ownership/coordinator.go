package ownership

import (
	"maps"
	"slices"
)

// Host is the interface through which a Coordinator acts. The Coordinator calls these methods
// during calls of its own methods, on the same goroutine. They must not call the Coordinator, with
// one exception: ReleaseUpTo may call Coordinator.ProxyDisconnected for a proxy to which a message
// could not be sent.
type Host interface {
	// Propose proposes an entry for the record. The Host must answer each proposal by exactly one
	// call of ProposalCommitted or ProposalFailed.
	Propose(Entry)
	// ProxyGranted permits writing to a connected proxy from now on.
	ProxyGranted(Grant)
	// PeerCapacityReported passes on the fleet capacity that another member has observed.
	PeerCapacityReported(capacity Capacity)
	// ReleaseUpTo permits writing the messages that belong to revisions up to the given one. It may
	// call Coordinator.ProxyDisconnected.
	ReleaseUpTo(revision uint64)
	// PeerObservationReported passes on what another member's proxies recently observed at a
	// backend, or the observation for which that member has withdrawn the backend.
	PeerObservationReported(member string, observation Observation)
	// QuorumChanged reports that the member continues without quorum, or that it has entered the
	// record.
	QuorumChanged(withoutQuorum bool, reason string)
	// RandomID returns a random ID for a new incarnation. No other incarnation may have this ID.
	RandomID() uint64
}

// Grant is the permission to write to a connected proxy, with what is known about the proxy.
type Grant struct {
	// Proxy is the number of the proxy.
	Proxy int
	// Token is the fencing token of the claim; 0 without quorum.
	Token uint64
	// Base is the content of the proxy's table for each class; nil if it is not known, so that
	// complete tables have to be written.
	Base []KnownTable
	// NoWithdrawals reports whether, in addition to Base, the proxy is known to hold no withdrawal.
	NoWithdrawals bool
	// Demand is the last reported rate of client requests to the proxy, in requests per second, by
	// class; nil if no member has reported it.
	Demand []float64
}

// Coordinator is one member's part in the record. It claims the proxies that connect to the member,
// puts changes of the member's tables on the record before they are written, and decides when
// messages may be written to which proxy. It is not safe for concurrent use.
type Coordinator struct {
	host   Host
	terms  LeaseTerms
	name   string
	record *Record // the record after the entries applied so far

	// State of the present incarnation and of its entries.
	incarnation uint64
	// seq is the number of the incarnation's last committed entry; 0 until the incarnation has
	// entered the record.
	seq            uint64
	inFlight       *Entry       // the proposed entry that is not answered yet; nil if no entry is in flight
	proposedAt     Microseconds // time at which inFlight was first proposed
	pending        Entry        // content of the next entry, collected until no entry is in flight
	leaseStart     Microseconds // time at which this member's last committed entry was proposed
	lastProposedAt Microseconds // time at which this member's last entry was first proposed
	lastEnteredAt  Microseconds // time at which an incarnation's first entry was last proposed
	withoutQuorum  bool         // the quorum was lost, and this member has not entered the record since
	closing        bool

	revision uint64                     // revision of this member's tables
	tables   map[int]map[string]float64 // weights in this member's tables, by table and backend
	proxies  map[int]*claimState        // state of each proxy that is connected to this member
}

// claimState holds the state of this member's claim of a connected proxy. It is in one of these
// states:
//
//	                                              granted  owned   claimToken  unclaimedSince
//	claimed, not granted yet                      no       no      0           0
//	owned on the record                           yes      yes     > 0         0
//	lost to another member                        yes      no      0           > 0
//	incarnation began, proxy not active since     yes      either  0           > 0
//	claimed again, or connected without quorum    yes      either  0           0
type claimState struct {
	granted bool
	owned   bool // the record has this incarnation or the previous one as the owner of the proxy
	// claimToken is the fencing token of this incarnation's claim; 0 if this incarnation does not
	// own the proxy. Messages carry the token of the grant instead.
	claimToken uint64
	// staleClaims counts the claims by this member that were in flight when the proxy's stream
	// began. These claims were made for an older stream.
	staleClaims int
	// unclaimedSince is the time at which the proxy was lost, or this incarnation began without a
	// claim of the proxy. The proxy is claimed again once it was active more than
	// LeaseTerms.RenewInterval after this time. It is 0 once this incarnation has claimed the
	// proxy.
	unclaimedSince Microseconds

	// The last acknowledgement by the proxy. These three fields have the meaning of the fields
	// Revision, Tables and WithdrawalsKnown of a Confirmation.
	acknowledgedRevision uint64
	acknowledgedTables   []int
	withdrawalsKnown     bool
}

// New returns the Coordinator of a member that has just started.
func New(host Host, name string, terms LeaseTerms, now Microseconds) *Coordinator {
	c := &Coordinator{
		host:           host,
		terms:          terms,
		name:           name,
		record:         NewRecord(),
		leaseStart:     now,
		lastProposedAt: now - terms.RenewInterval,
		tables:         map[int]map[string]float64{},
		proxies:        map[int]*claimState{},
	}
	c.beginIncarnation(now)
	return c
}

// Record returns the record after the entries applied so far. It may be read until the next call of
// the Coordinator.
func (c *Coordinator) Record() *Record { return c.record }

// OwnedProxies returns the number of connected proxies that this member owns on the record.
func (c *Coordinator) OwnedProxies() (count int) {
	for _, state := range c.proxies {
		if state.claimToken > 0 {
			count++
		}
	}
	return count
}

// Revision returns the revision of this member's tables.
func (c *Coordinator) Revision() uint64 { return c.revision }

// Tick does the work that is due by time: it continues without quorum if the lease has ended, and
// proposes an entry if one is due. An entry that only renews the lease is due one
// LeaseTerms.RenewInterval after the last entry. Tick has to be called several times within
// LeaseTerms.RenewInterval.
func (c *Coordinator) Tick(now Microseconds) {
	if !c.withoutQuorum && now-c.leaseStart >= c.terms.Duration {
		c.goWithoutQuorum(now)
	}
	c.proposePending(now)
}

// Close gives up all proxies at the planned end of this member: from now on the caller must not
// write to any proxy.
func (c *Coordinator) Close(now Microseconds) {
	c.closing = true
	c.pending.Closing = true
	c.pending.Claims = nil
	c.pending.Reclaims = nil
	c.proposePending(now)
}

// Closed reports whether the planned end of this member is on the record.
func (c *Coordinator) Closed() bool {
	incarnation := c.record.Incarnations[c.incarnation]
	return c.closing && incarnation != nil && incarnation.Closed
}

// beginIncarnation begins an incarnation with the present tables. A connected proxy is claimed
// again only once it is active: this process may have been suspended, and a claim would take back a
// proxy that has moved to another member since.
func (c *Coordinator) beginIncarnation(now Microseconds) {
	c.incarnation = c.host.RandomID()
	c.seq = 0
	c.inFlight = nil
	c.pending = Entry{SeenToken: c.record.Token, Revision: c.revision, TableChanges: c.completeTables()}
	for _, state := range c.proxies {
		state.claimToken = 0
		state.staleClaims = 0
		state.unclaimedSince = now
	}
}

// goWithoutQuorum makes the member continue without the record: it releases the messages that wait
// for a commit, and grants every connected proxy that is not granted yet. Further writes belong to
// a new incarnation, which enters the record as soon as it can.
func (c *Coordinator) goWithoutQuorum(now Microseconds) {
	c.withoutQuorum = true
	c.host.QuorumChanged(true, "no entry of ours stands for a lease, or another entered under our name")
	c.host.ReleaseUpTo(c.revision)
	for _, proxy := range slices.Sorted(maps.Keys(c.proxies)) {
		if !c.proxies[proxy].granted {
			c.grant(proxy, Move{})
		}
	}
	c.beginIncarnation(now)
}
