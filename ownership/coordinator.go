package ownership

import (
	"maps"
	"slices"
)

// Host is what a Coordinator acts through.
type Host interface {
	// Propose asks for an entry to be put on the record. Answered or Failed follows, once.
	Propose(Entry)
	// ProxyGranted says that a proxy which connected may be written to from now on.
	ProxyGranted(Grant)
	// PeerCapacityReported is what another member saw the fleet do.
	PeerCapacityReported(capacity Capacity)
	// MessagesSentByPeers takes messages away from what may be written to a proxy that was granted before.
	MessagesSentByPeers(proxy, messages int)
	// ReleaseUpTo lets what was ordered up to an edition leave.
	ReleaseUpTo(edition uint64)
	// PeerObservationReported is what another member's proxies met of late, or what keeps a backend withdrawn there.
	PeerObservationReported(member string, s Observation)
	// QuorumChanged tells that the member goes off the record, or is on it again.
	QuorumChanged(withoutQuorum bool, why string)
	// RandomID is a number that no other incarnation has.
	RandomID() uint64
}

// Grant is the leave to write to a proxy that has connected, and what is known of it.
type Grant struct {
	Proxy int
	Token uint64 // the fencing token of the claim; 0 without a quorum
	// Base is what the proxy has of each class's table, by class; nil where that is not known, so that complete tables
	// are due.
	Base          []KnownTable
	NoWithdrawals bool      // it is known besides that the proxy holds no withdrawal
	Demand        []float64 // requests a second by class, as its last owner reported them; nil if none did
	// SentMessages is how many of the messages that one owner may write within the window count as written already.
	SentMessages int
}

// LeaseTerms are the figures that all members agree on. Times are in µs.
type LeaseTerms struct {
	Duration      int64 // without an answer for so long a member goes on off the record
	RenewInterval int64 // an entry is proposed at least this often
	MessageWindow int64 // messages to a proxy are counted over this
	MaxMessages   int   // that a proxy may be sent within it, by all members together
	Members       int   // that there can be
	// GuaranteedMessages is how many of them an owner has in any case, however many came before it. A proxy is with one owner at a
	// time, who orders changes at a pace: those of a whole span, and what each owner's coming takes, are within the
	// limit for up to maxMoves of them; shares alone would leave the last without any.
	GuaranteedMessages int
}

// UnownedQuota is what each member may write to a proxy within the span without owning it by the record. A member that
// starts anew, or gets the proxy back, has forgotten what it wrote of that: it has one message then. OwnerQuota is what
// an owner may write beyond it: the shares of the owners before count until the span has passed. All together stay
// within the limit.
func (t LeaseTerms) UnownedQuota() int { return max(1, t.MaxMessages/2/max(t.Members, 1)-1) }

// OwnerQuota is an owner's further share.
func (t LeaseTerms) OwnerQuota() int {
	return (t.MaxMessages - t.Members*(t.UnownedQuota()+1)) / (previousOwnersCounted + 1)
}

// Coordinator is one member at work on the record: it claims the proxies that connect to the member, puts its table
// changes on the record before they leave, and says what may be written to whom.
type Coordinator struct {
	host   Host
	terms  LeaseTerms
	name   string
	record *Record

	incarnation, seq uint64
	inFlight         *Entry // proposed and not answered yet
	proposedAt       int64  // when that one was first proposed
	pending          Entry  // what gathers for the entry after it
	leaseFrom        int64  // when the last entry that was answered had been proposed
	lastProposedAt   int64  // when any was
	withoutQuorum    bool
	closing          bool
	started          int64
	lastEnteredAt    int64 // when an incarnation's entering was last proposed

	revision     uint64                     // of our tables
	tables       map[int]map[string]float64 // as they stand
	proxies      map[int]*proxyState        // joined to us
	grantTimes   map[int][]int64            // when proxies were granted to us within the span
	leaderClocks map[uint64]leaderClock
}

// leaderClock is the last stamp of a leader that was taken in, and when that was here.
type leaderClock struct {
	stampedAt, receivedAt int64
}

// proxyState is a proxy that is joined to us.
type proxyState struct {
	grantedAt        int64
	granted          bool
	owned            bool   // ours by the record, in this incarnation or in the last
	token            uint64 // of this incarnation; 0 while none is given
	claiming         bool
	staleClaims      int   // claims of ours that were under way as its stream began: they mean an older one
	silentSince      int64 // since when it is ours by no claim, and has to be heard first; 0 where it is, or is claimed
	revision         uint64
	tables           []int
	withdrawalsKnown bool
}

// New makes the Coordinator of a member that has just started.
func New(host Host, name string, terms LeaseTerms, now int64) *Coordinator {
	c := &Coordinator{host: host, terms: terms, name: name, record: NewRecord(), started: now, leaseFrom: now,
		lastProposedAt: now - terms.RenewInterval, tables: map[int]map[string]float64{}, proxies: map[int]*proxyState{}, grantTimes: map[int][]int64{},
		leaderClocks: map[uint64]leaderClock{}}
	c.enterRecord(now)
	return c
}

// enterRecord begins an incarnation on the record with our tables as they stand. The proxies that we have are claimed
// as they are heard: we may have stood still, and they may have gone to others long ago, whom a claim of ours would
// take them from.
func (c *Coordinator) enterRecord(now int64) {
	c.incarnation, c.seq, c.inFlight = c.host.RandomID(), 0, nil
	c.pending = Entry{SeenToken: c.record.Token, Revision: c.revision}
	for _, number := range slices.Sorted(maps.Keys(c.tables)) {
		change := TableChange{Table: number}
		for _, id := range slices.Sorted(maps.Keys(c.tables[number])) {
			change.Lines = append(change.Lines, Line{id, c.tables[number][id]})
		}
		c.pending.TableChanges = append(c.pending.TableChanges, change)
	}
	for _, p := range c.proxies {
		p.token, p.claiming, p.staleClaims, p.silentSince = 0, false, 0, now
	}
}

// claimProxy asks for a proxy: for a new stream of it, or again for one that we have had all the time.
func (c *Coordinator) claimProxy(proxy int, again bool) {
	p := c.proxies[proxy]
	p.token, p.claiming, p.silentSince = 0, true, 0
	if again {
		c.pending.Reclaims = append(c.pending.Reclaims, proxy)
	} else if !slices.Contains(c.pending.Claims, proxy) {
		c.pending.Claims = append(c.pending.Claims, proxy)
	}
}

// Record is the record as far as it was taken in.
func (c *Coordinator) Record() *Record { return c.record }

// WithoutQuorum tells whether we write off the record.
func (c *Coordinator) WithoutQuorum() bool { return c.withoutQuorum }

// OwnedProxies counts the proxies that are ours by the record.
func (c *Coordinator) OwnedProxies() (n int) {
	for _, p := range c.proxies {
		if p.token > 0 {
			n++
		}
	}
	return n
}

// ProxyConnected takes in that a proxy's stream has begun. The proxy is granted once its claim stands, or at once off the record.
// On the record nothing is written to a proxy that is not ours by it: a later owner would not know of it.
func (c *Coordinator) ProxyConnected(proxy int, now int64) {
	c.proxies[proxy] = &proxyState{}
	if c.inFlight != nil {
		for _, claims := range [][]int{c.inFlight.Claims, c.inFlight.Reclaims} {
			if slices.Contains(claims, proxy) {
				c.proxies[proxy].staleClaims++
			}
		}
	}
	c.claimProxy(proxy, false)
	if c.withoutQuorum {
		c.grant(proxy, Move{}, c.terms.OwnerQuota(), now)
	}
	c.proposePending(now)
}

// ProxyDisconnected takes in that a proxy's stream has ended.
func (c *Coordinator) ProxyDisconnected(proxy int) {
	delete(c.proxies, proxy)
	is := func(p int) bool { return p == proxy }
	c.pending.Claims = slices.DeleteFunc(c.pending.Claims, is)
	c.pending.Reclaims = slices.DeleteFunc(c.pending.Reclaims, is)
}

// ProxyHeardFrom takes in when a proxy was last heard on its stream. If another owns it by the record it has not gone there, or is
// back.
func (c *Coordinator) ProxyHeardFrom(proxy int, at int64) {
	if p := c.proxies[proxy]; p != nil && p.silentSince > 0 && at > p.silentSince+c.terms.RenewInterval {
		c.claimProxy(proxy, true)
	}
}

// ChangeTables takes what has changed in our tables. It gives the edition that what is ordered now belongs to, which
// waits for its release.
func (c *Coordinator) ChangeTables(changes []TableChange, now int64) uint64 {
	c.revision++
	for _, change := range changes {
		if c.tables[change.Table] == nil {
			c.tables[change.Table] = map[string]float64{}
		}
		for _, l := range change.Lines {
			if c.tables[change.Table][l.Backend] = l.Weight; l.Weight == 0 {
				delete(c.tables[change.Table], l.Backend)
			}
		}
	}
	if c.pending.Revision > 0 && len(c.pending.TableChanges) > 0 { // what has not left yet becomes one edition with this
		c.pending.TableChanges = append(c.pending.TableChanges, changes...)
	} else {
		c.pending.TableChanges = changes
	}
	if c.pending.Revision = c.revision; c.withoutQuorum {
		c.host.ReleaseUpTo(c.revision)
	} else {
		c.proposePending(now)
	}
	return c.revision
}

// Revision is that of our tables.
func (c *Coordinator) Revision() uint64 { return c.revision }

// ProxyAcknowledged takes in that a proxy has applied all that we wrote to it up to an edition; its tables are bound as given, by
// class. If sure, it shuts out what we ordered, and nothing that others did.
func (c *Coordinator) ProxyAcknowledged(proxy int, edition uint64, tables []int, sure bool) {
	p := c.proxies[proxy]
	if p == nil || edition < p.revision || slices.Contains(tables, -1) {
		return
	}
	if p.revision == edition && p.withdrawalsKnown == sure && slices.Equal(p.tables, tables) {
		return
	}
	p.revision, p.tables, p.withdrawalsKnown = edition, slices.Clone(tables), sure
	c.addConfirmation(proxy, p)
}

func (c *Coordinator) addConfirmation(proxy int, p *proxyState) {
	if p.token == 0 || p.revision == 0 {
		return
	}
	confirmation := Confirmation{proxy, p.token, p.revision, p.tables, p.withdrawalsKnown}
	if at := slices.IndexFunc(c.pending.Confirmations, func(other Confirmation) bool { return other.Proxy == proxy }); at >= 0 {
		c.pending.Confirmations[at] = confirmation
		return
	}
	c.pending.Confirmations = append(c.pending.Confirmations, confirmation)
}

// AddEvidence puts what is due of our evidence into the next entry.
func (c *Coordinator) AddEvidence(v *Evidence, now int64) {
	observations, demands, capacity := v.TakeDue(now)
	c.pending.Observations = append(c.pending.Observations, observations...)
	c.pending.Demands = append(c.pending.Demands, demands...)
	if capacity != (Capacity{}) {
		c.pending.Capacity = capacity
	}
}

// Close gives all away at a planned end: from now on nothing is written to any proxy.
func (c *Coordinator) Close(now int64) {
	c.closing, c.pending.Closing, c.pending.Claims, c.pending.Reclaims = true, true, nil, nil
	c.proposePending(now)
}

// Closed tells whether our end stands on the record.
func (c *Coordinator) Closed() bool {
	incarnation := c.record.Incarnations[c.incarnation]
	return c.closing && incarnation != nil && incarnation.Closed
}

// Tick looks at what waits for time.
func (c *Coordinator) Tick(now int64) {
	if !c.withoutQuorum && now-c.leaseFrom >= c.terms.Duration {
		c.leaveRecord(now)
	}
	for _, proxy := range slices.Sorted(maps.Keys(c.proxies)) {
		p := c.proxies[proxy]
		if p.granted && !p.owned && now-p.grantedAt >= c.terms.MessageWindow {
			p.grantedAt = now
			c.host.MessagesSentByPeers(proxy, c.terms.OwnerQuota()) // it has only what every member has of each proxy
		}
	}
	for proxy, at := range c.grantTimes {
		if now-at[len(at)-1] >= c.terms.MessageWindow {
			delete(c.grantTimes, proxy)
		}
	}
	c.proposePending(now)
}

// leaveRecord has the member go on by itself: what waited leaves, and whoever joined is granted.
func (c *Coordinator) leaveRecord(now int64) {
	c.withoutQuorum = true
	c.host.QuorumChanged(true, "no entry of ours stands for a lease, or another entered under our name")
	c.host.ReleaseUpTo(c.revision)
	for _, proxy := range slices.Sorted(maps.Keys(c.proxies)) {
		if !c.proxies[proxy].granted {
			c.grant(proxy, Move{}, c.terms.OwnerQuota(), now)
		}
	}
	c.enterRecord(now) // what we write from now on is another incarnation's
}

// proposePending proposes what has gathered, one entry at a time.
func (c *Coordinator) proposePending(now int64) {
	pressing := len(c.pending.Claims) > 0 || len(c.pending.Reclaims) > 0 || len(c.pending.TableChanges) > 0 ||
		c.pending.Closing || c.seq == 0 ||
		len(c.pending.Confirmations) > 0 && now-c.lastProposedAt >= c.terms.RenewInterval/2
	if c.inFlight != nil || !pressing && now-c.lastProposedAt < c.terms.RenewInterval {
		return
	}
	if c.seq == 0 { // two processes of one name would enter by turns as fast as they can
		if c.lastEnteredAt > 0 && now-c.lastEnteredAt < c.terms.RenewInterval {
			return
		}
		c.lastEnteredAt = now
	}
	e := c.pending
	if c.pending = (Entry{}); c.seq > 0 && e.Revision == 0 {
		e.Revision = c.revision
	}
	e.Member, e.Incarnation, e.Seq = c.name, c.incarnation, c.seq+1
	c.inFlight, c.proposedAt, c.lastProposedAt = &e, now, now
	c.host.Propose(e)
}

// ProposalCommitted takes in that the entry under way stands on the record.
func (c *Coordinator) ProposalCommitted(incarnation, seq uint64, now int64) {
	if c.inFlight == nil || c.inFlight.Incarnation != incarnation || c.inFlight.Seq != seq {
		return // of an earlier incarnation
	}
	edition := c.inFlight.Revision
	c.seq, c.leaseFrom, c.inFlight = seq, c.proposedAt, nil
	if now-c.leaseFrom >= c.terms.Duration { // it took too long to count on it; Elapsed says what follows
		c.proposePending(now)
		return
	}
	if c.withoutQuorum || seq == 1 {
		c.withoutQuorum = false
		c.host.QuorumChanged(false, "we have entered the record")
	}
	c.host.ReleaseUpTo(edition)
	c.proposePending(now)
}

// ProposalFailed takes in that the entry under way is not known to stand. It is proposed again as it is.
func (c *Coordinator) ProposalFailed(incarnation, seq uint64, now int64) {
	if c.inFlight == nil || c.inFlight.Incarnation != incarnation || c.inFlight.Seq != seq {
		return
	}
	c.host.Propose(*c.inFlight)
}

// EntryApplied takes the next entry of the record, of whatever member.
func (c *Coordinator) EntryApplied(e Entry, now int64) {
	c.observeStamp(e.Stamp, now)
	moves, taken := c.record.Apply(e)
	if !taken {
		if e.Incarnation == c.incarnation && c.record.Members[c.name] != c.incarnation { // another has entered under our name
			c.leaveRecord(now)
		}
		return
	}
	for _, m := range moves {
		c.applyMove(m, now)
	}
	switch entered := c.record.Incarnations[c.incarnation] != nil; {
	case e.Incarnation == c.incarnation && e.Seq == 1:
		c.reportStandingObservations()
	case entered && e.Member != c.name: // what stood on the record before we came is old
		for _, s := range e.Observations {
			c.host.PeerObservationReported(e.Member, s)
		}
		if e.Capacity != (Capacity{}) {
			c.host.PeerCapacityReported(e.Capacity)
		}
	}
}

// reportStandingObservations tells what others have withdrawn, and what they saw the fleet do, to one that has just come.
func (c *Coordinator) reportStandingObservations() {
	for _, member := range slices.Sorted(maps.Keys(c.record.Capacities)) {
		if member != c.name {
			c.host.PeerCapacityReported(c.record.Capacities[member])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.record.Withdrawn)) {
		for _, member := range slices.Sorted(maps.Keys(c.record.Withdrawn[id])) {
			if member != c.name {
				c.host.PeerObservationReported(member, c.record.Withdrawn[id][member])
			}
		}
	}
}

// SnapshotRestored takes the record as a whole, in place of the entries that led to it.
func (c *Coordinator) SnapshotRestored(record *Record, now int64) {
	c.record = record
	for proxy, h := range record.Proxies {
		for _, move := range h.Moves {
			c.observeStamp(move, now)
		}
		if p := c.proxies[proxy]; p != nil && h.Incarnation != c.incarnation && h.Token > p.token && p.token > 0 {
			p.token, p.owned, p.silentSince = 0, false, now
		}
	}
}

// observeStamp takes a stamp of the record.
func (c *Coordinator) observeStamp(s Stamp, now int64) {
	if last, known := c.leaderClocks[s.Leader]; known && last.stampedAt > s.At {
		return
	}
	c.leaderClocks[s.Leader] = leaderClock{s.At, now}
	if len(c.leaderClocks) > maxLeaderClocks {
		oldest := s.Leader
		for id, h := range c.leaderClocks {
			if h.receivedAt < c.leaderClocks[oldest].receivedAt {
				oldest = id
			}
		}
		delete(c.leaderClocks, oldest)
	}
}

// maxLeaderClocks is how many leaders' clocks are known at a time; of a forgotten one nothing recent can be left.
const maxLeaderClocks = 64

// stampAge is how long ago a stamp was given, at least.
func (c *Coordinator) stampAge(s Stamp, now int64) int64 {
	last, known := c.leaderClocks[s.Leader]
	if !known {
		return c.terms.MessageWindow
	}
	return now - last.receivedAt + last.stampedAt - s.At
}

// applyMove takes a change of owners. Whose it was within the span counts for what may be written now.
func (c *Coordinator) applyMove(m Move, now int64) {
	standing := 0
	for _, move := range m.To.Moves {
		if c.stampAge(move, now) < c.terms.MessageWindow {
			standing++
		}
	}
	p := c.proxies[m.Proxy]
	switch ours := m.To.Incarnation == c.incarnation; {
	case p == nil:
	case ours && p.staleClaims > 0:
		p.staleClaims--
	case ours:
		p.claiming, p.owned, p.token, p.silentSince = false, true, m.To.Token, 0
		if p.granted {
			c.addConfirmation(m.Proxy, p)
			return
		}
		spent := c.terms.OwnerQuota() * min(1, standing/(previousOwnersCounted+1)) // shares are set aside for owners before, not for more
		c.grant(m.Proxy, m, spent, now)
	case p.owned && m.To.Token > p.token && m.To.Owner != c.name:
		p.owned, p.token, p.silentSince = false, 0, now
		if p.granted {
			c.host.MessagesSentByPeers(m.Proxy, c.terms.OwnerQuota())
		}
	}
}

func (c *Coordinator) grant(proxy int, m Move, spent int, now int64) {
	p := c.proxies[proxy]
	p.granted, p.grantedAt = true, now
	moves := 0
	for _, move := range m.To.Moves {
		if c.stampAge(move, now) < c.terms.MessageWindow {
			moves++
		}
	}
	recent := slices.DeleteFunc(c.grantTimes[proxy], func(at int64) bool { return now-at >= c.terms.MessageWindow })
	if c.grantTimes[proxy] = append(recent, now); len(recent) > 0 || now-c.started < c.terms.MessageWindow {
		spent += c.terms.UnownedQuota() - 1
	}
	if moves <= maxMovesWithReserve {
		spent = max(0, min(spent, c.terms.UnownedQuota()+c.terms.OwnerQuota()-c.terms.GuaranteedMessages))
	}
	c.host.ProxyGranted(Grant{Proxy: proxy, Token: p.token, Base: m.Base, NoWithdrawals: m.NoWithdrawals, Demand: m.Demand, SentMessages: spent})
}
