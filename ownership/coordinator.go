package ownership

import (
	"maps"
	"slices"
)

// Host is what a Coordinator acts through. Its methods are called within the calls of the Coordinator, on the same
// goroutine, and must not call back, with one exception: ReleaseUpTo may call ProxyDisconnected, for a proxy to which a
// message could not be sent.
type Host interface {
	// Propose proposes an entry for the record. ProposalCommitted or ProposalFailed is to follow, once.
	Propose(Entry)
	// ProxyGranted says that a proxy which connected may be written to from now on.
	ProxyGranted(Grant)
	// PeerCapacityReported gives what another member saw the fleet do.
	PeerCapacityReported(capacity Capacity)
	// MessagesSentByPeers reduces what may be written to a proxy that was granted before: other members may have written as
	// many messages.
	MessagesSentByPeers(proxy, messages int)
	// ReleaseUpTo says that messages which belong to revisions up to this one may be written to proxies. It may call
	// ProxyDisconnected.
	ReleaseUpTo(revision uint64)
	// PeerObservationReported gives what another member's proxies met of late, or what keeps a backend withdrawn there.
	PeerObservationReported(member string, observation Observation)
	// QuorumChanged says that the member goes on without a quorum, or has entered the record again.
	QuorumChanged(withoutQuorum bool, why string)
	// RandomID draws the id of an incarnation, which no other may have.
	RandomID() uint64
}

// Grant is the leave to write to a proxy that has connected, and what is known of it.
type Grant struct {
	// Proxy is the number of the proxy.
	Proxy int
	// Token is the fencing token of the claim; 0 without a quorum.
	Token uint64
	// Base is what the proxy holds of each class's table; nil where that is not known, so that complete tables are due.
	Base []KnownTable
	// NoWithdrawals: it is known besides that the proxy holds no withdrawal.
	NoWithdrawals bool
	// Demand is requests a second by class, as its last owner reported them; nil if none did.
	Demand []float64
	// SentMessages is how many of the messages that one owner may write within the window count as written already.
	SentMessages int
}

// Coordinator is one member's part in the record: it claims the proxies that connect to the member, puts changes of its
// tables on the record before they are written, and says what may be written to whom. It is not safe for concurrent use.
type Coordinator struct {
	host   Host
	terms  LeaseTerms
	name   string
	record *Record // as far as entries were applied here

	// The incarnation and its entries.
	incarnation    uint64
	seq            uint64       // of the last entry that was committed; 0 before the incarnation has entered
	inFlight       *Entry       // proposed and not answered yet; nil for none
	proposedAt     Microseconds // when inFlight was first proposed
	pending        Entry        // what gathers for the entry after it
	leaseFrom      Microseconds // when the last committed entry had been proposed
	lastProposedAt Microseconds // when any entry was
	lastEnteredAt  Microseconds // when the entry that enters was last proposed
	withoutQuorum  bool         // no entry was committed for a lease, or we have not entered since
	closing        bool
	started        Microseconds

	revision     uint64                     // of our tables
	tables       map[int]map[string]float64 // weights by table and backend
	proxies      map[int]*claimState        // that are connected to us
	grantTimes   map[int][]Microseconds     // when proxies were granted to us, within the window
	leaderClocks map[uint64]leaderClock
}

// claimState is how far a proxy that is connected to us is ours. It is in one of these states:
//
//	                                              granted  owned   claimToken  unclaimedSince
//	claimed, not granted yet                      no       no      0           0
//	ours by the record                            yes      yes     > 0         0
//	lost to another member                        yes      no      0           > 0
//	of a new incarnation, not active since        yes      either  0           > 0
//	claimed again, or connected without a quorum  yes      either  0           0
type claimState struct {
	granted    bool
	windowFrom Microseconds // of the messages that it may be written: when it was granted, or the last window ended
	owned      bool         // by the record, in this incarnation or in the last
	claimToken uint64       // of this incarnation's claim; 0 while there is none. Messages have the token of the grant
	// staleClaims counts claims of ours that were in flight as its stream began: they were for an older stream.
	staleClaims int
	// unclaimedSince is since when it has been ours by no claim, and has to be heard from before it is claimed; 0 for one that
	// is ours, or is claimed.
	unclaimedSince Microseconds

	// What it has acknowledged, as in Confirmation.
	acknowledgedRevision uint64
	acknowledgedTables   []int
	withdrawalsKnown     bool
}

// New makes the Coordinator of a member that has just started.
func New(host Host, name string, terms LeaseTerms, now Microseconds) *Coordinator {
	c := &Coordinator{
		host:           host,
		terms:          terms,
		name:           name,
		record:         NewRecord(),
		started:        now,
		leaseFrom:      now,
		lastProposedAt: now - terms.RenewInterval,
		tables:         map[int]map[string]float64{},
		proxies:        map[int]*claimState{},
		grantTimes:     map[int][]Microseconds{},
		leaderClocks:   map[uint64]leaderClock{},
	}
	c.beginIncarnation(now)
	return c
}

// Record is the record as far as it was applied here. It may be read until the next call of the Coordinator.
func (c *Coordinator) Record() *Record { return c.record }

// OwnedProxies counts the connected proxies that are ours by the record.
func (c *Coordinator) OwnedProxies() (count int) {
	for _, state := range c.proxies {
		if state.claimToken > 0 {
			count++
		}
	}
	return count
}

// Revision is that of our tables.
func (c *Coordinator) Revision() uint64 { return c.revision }

// Tick does what is due by time: it goes on without a quorum when the lease has ended, ends quotas whose window has passed, and
// renews. It is to be called several times within LeaseTerms.RenewInterval.
func (c *Coordinator) Tick(now Microseconds) {
	if !c.withoutQuorum && now-c.leaseFrom >= c.terms.Duration {
		c.goWithoutQuorum(now)
	}
	for _, proxy := range slices.Sorted(maps.Keys(c.proxies)) {
		state := c.proxies[proxy]
		if state.granted && !state.owned && now-state.windowFrom >= c.terms.MessageWindow {
			state.windowFrom = now
			c.host.MessagesSentByPeers(proxy, c.terms.OwnerQuota()) // what is left is the unowned quota
		}
	}
	for proxy, times := range c.grantTimes {
		if now-times[len(times)-1] >= c.terms.MessageWindow {
			delete(c.grantTimes, proxy)
		}
	}
	c.proposePending(now)
}

// Close gives all proxies away at a planned end: the caller writes to none from now on.
func (c *Coordinator) Close(now Microseconds) {
	c.closing = true
	c.pending.Closing = true
	c.pending.Claims = nil
	c.pending.Reclaims = nil
	c.proposePending(now)
}

// Closed tells whether our end is on the record.
func (c *Coordinator) Closed() bool {
	incarnation := c.record.Incarnations[c.incarnation]
	return c.closing && incarnation != nil && incarnation.Closed
}

// beginIncarnation begins an incarnation, with our tables as they stand. Connected proxies are claimed as they are heard from:
// we may have stood still, and a claim would take back those that have gone to others since.
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

// goWithoutQuorum has the member go on by itself: messages that waited are released, and every connected proxy is granted.
// What it writes from now on is a new incarnation's, which enters the record when it can.
func (c *Coordinator) goWithoutQuorum(now Microseconds) {
	c.withoutQuorum = true
	c.host.QuorumChanged(true, "no entry of ours stands for a lease, or another entered under our name")
	c.host.ReleaseUpTo(c.revision)
	for _, proxy := range slices.Sorted(maps.Keys(c.proxies)) {
		if !c.proxies[proxy].granted {
			c.grantWithoutQuorum(proxy, now)
		}
	}
	c.beginIncarnation(now)
}
