package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wheelrill/balancer"
	"wheelrill/consensus"
	"wheelrill/ownership"
)

// Sharing says with whom a controller shares its fleet. The members agree on all of it but the folder and the files.
type Sharing struct {
	Name    string            // ours among the members; the controller's own if empty
	Members map[string]string // the address of each for the others, by its name
	Folder  string            // for what must outlast the process; empty: nothing does
	consensus.Credentials
	Lease int64 // µs without an answer of the record after which a member goes on by itself; 0 is as usual
}

// Figures of sharing that follow from no setting: a lease must fit into the time in which a drain has to reach all
// proxies, and an entry or two may be lost within it.
const (
	usualLease = 3 * second / 2
	leaseParts = 8 // an entry is proposed this often in a lease at least
	// Of the messages to a proxy: its bind, what goes first to one that waits, a drain, and one more.
	keptMessages = 4
	uncounted    = 1 << 20 // messages that may go to a proxy where no setting limits them
)

// Share has the controller share its fleet from Serve on. An error says what would do.
func (c *Controller) Share(with Sharing) error {
	if with.Name == "" {
		with.Name = c.plan.Name
	}
	m := c.module
	terms := ownership.LeaseTerms{Duration: with.Lease, MessageWindow: c.plan.channel.MessageWindow + c.plan.channel.MaxLatency,
		MaxMessages: c.plan.channel.MaxMessages, Members: len(with.Members), GuaranteedMessages: keptMessages}
	if terms.Duration == 0 {
		terms.Duration = usualLease
	}
	if terms.RenewInterval = terms.Duration / leaseParts; terms.RenewInterval < m.limits.tick.Microseconds() {
		return fmt.Errorf("lease: %d ms is too short for a tick of %s", terms.Duration/1000, m.limits.tick)
	}
	if terms.MaxMessages == 0 {
		terms.MaxMessages = uncounted
	}
	f := &fleet{module: m, pending: map[int]pendingJoin{}, evidence: ownership.NewEvidence(), terms: terms}
	config := consensus.Config{Name: with.Name, Members: with.Members, Folder: with.Folder, Credentials: with.Credentials, Terms: terms}
	votes := c.distributor != nil && c.distributor.carrier == nil
	if votes {
		config.Distribution = c.distributor.vote(consensus.Peer{Name: with.Name, Address: with.Members[with.Name]})
	}
	var err error
	if f.node, err = consensus.New(config, recordEvents{m, f}, c.log.to); err != nil {
		return err
	}
	if votes {
		c.distributor.node = f.node
	}
	// What the decisions may send is our part of it.
	channel := c.plan.channel
	if channel.MaxMessages > 0 {
		channel.MaxMessages = terms.UnownedQuota() + terms.OwnerQuota()
	}
	m.timers = nil // those of the decisions that were made to be alone
	if m.control, err = balancer.New(m, c.plan.decisions(channel)); err != nil {
		return err
	}
	m.fleet, f.name = f, with.Name
	f.coordinator = ownership.New(f, with.Name, terms, m.now)
	f.tick(m.now)
	return nil
}

// recordEvents hands on to the module what becomes of the record.
type recordEvents struct {
	*module
	fleet *fleet
}

func (r recordEvents) EntryCommitted(e ownership.Entry) {
	r.post(func() { r.fleet.coordinator.EntryApplied(e, r.now) })
}

func (r recordEvents) SnapshotRestored(record *ownership.Record) {
	r.post(func() { r.fleet.coordinator.SnapshotRestored(record, r.now) })
}

func (r recordEvents) ProposalCommitted(incarnation, seq uint64) {
	r.post(func() { r.fleet.coordinator.ProposalCommitted(incarnation, seq, r.now) })
}

func (r recordEvents) ProposalFailed(incarnation, seq uint64) {
	r.post(func() { r.fleet.coordinator.ProposalFailed(incarnation, seq, r.now) })
}

// fleet is the module's side of sharing: it joins the coordinator with the decisions, the tables and the streams.
type fleet struct {
	module      *module
	name        string
	coordinator *ownership.Coordinator
	node        *consensus.Node
	terms       ownership.LeaseTerms

	pending  map[int]pendingJoin // proxies that joined and are not granted yet
	queued   []queuedMessage     // in their order
	released uint64
	evidence *ownership.Evidence
}

// pendingJoin is what the decisions are told of a proxy once it is granted.
type pendingJoin struct {
	zone  int
	usual float64
	keeps bool
}

// queuedMessage is a message that waits until what it says stands on the record.
type queuedMessage struct {
	peer    *peer
	message []byte
	edition uint64
}

// close gives our proxies away at a planned end: nothing is written any more, and the record says so before any of
// their streams ends, if it can be told soon.
func (f *fleet) close() {
	m := f.module
	m.now = max(m.clock(), m.now+1)
	f.coordinator.Close(m.now)
	late := time.After(m.limits.farewell)
	for !f.coordinator.Closed() {
		select {
		case what := <-m.mail:
			m.now = max(m.clock(), m.now+1)
			what()
		case <-late:
			m.log.say("sharing", "closed", false, "why", "the record does not answer")
			return
		}
	}
	m.log.say("sharing", "closed", true, "owned", f.coordinator.OwnedProxies())
}

// tag of the coordinator's timer, which the decisions' is not.
const coordinatorTag = 1<<64 - 1

func (f *fleet) tick(now int64) {
	f.coordinator.Tick(now)
	for node, j := range f.module.joins {
		if j != nil {
			f.coordinator.ProxyHeardFrom(node, j.peer.heard.Load())
		}
	}
	f.shareEvidence(now)
	f.module.SetTimer(f.terms.RenewInterval/2, coordinatorTag)
}

// proxyJoined has a proxy wait until it is granted.
func (f *fleet) proxyJoined(node int, a pendingJoin) {
	f.pending[node] = a
	f.coordinator.ProxyConnected(node, f.module.now)
}

// proxyLeft forgets a proxy; it tells whether the decisions had it.
func (f *fleet) proxyLeft(node int) bool {
	_, waits := f.pending[node]
	delete(f.pending, node)
	f.evidence.ForgetProxy(node)
	f.coordinator.ProxyDisconnected(node)
	return !waits
}

// ProxyGranted gives a proxy to the decisions.
func (f *fleet) ProxyGranted(grant ownership.Grant) {
	node := grant.Proxy
	a, ok := f.pending[node]
	if !ok {
		return
	}
	delete(f.pending, node)
	s := f.module.at(node)
	s.unowned, s.base = false, grant.Base
	if grant.NoWithdrawals {
		s.mayHoldWithdrawals, a.keeps = false, false
	}
	if s.fenced {
		s.token = grant.Token
	}
	f.module.log.seldom("granted", "granted", "node", node, "token", grant.Token, "known", grant.Base != nil, "clean", grant.NoWithdrawals,
		"spent", grant.SentMessages)
	f.module.control.MessagesSentByPeers(node, grant.SentMessages)
	f.module.control.ProxyConnected(node, a.zone, a.usual, a.keeps)
	f.module.control.SeedDemand(node, grant.Demand)
}

// PeerCapacityReported hands on what another member saw the fleet do.
func (f *fleet) PeerCapacityReported(capacity ownership.Capacity) {
	f.module.control.SeedThroughput(capacity.Proven, capacity.Saturated)
}

// MessagesSentByPeers has the decisions write less to a proxy.
func (f *fleet) MessagesSentByPeers(node, messages int) {
	f.module.control.MessagesSentByPeers(node, messages)
}

// Propose puts an entry on the record.
func (f *fleet) Propose(e ownership.Entry) { f.node.Propose(e) }

// ReleaseUpTo lets what waited leave.
func (f *fleet) ReleaseUpTo(edition uint64) {
	f.released = max(f.released, edition)
	n := 0
	for ; n < len(f.queued) && f.queued[n].edition <= f.released; n++ {
		l := f.queued[n]
		if !f.module.current(l.peer) {
			continue
		}
		if err := l.peer.send(l.message); err != nil {
			f.module.dropProxy(l.peer.node, err)
		}
	}
	f.queued = slices.Delete(f.queued, 0, n)
}

// send has a message leave, or wait behind others for the record.
func (f *fleet) send(p *peer, message []byte) error {
	if edition := f.coordinator.Revision(); len(f.queued) > 0 || edition > f.released {
		f.queued = append(f.queued, queuedMessage{p, message, edition})
		return nil
	}
	return p.send(message)
}

// recordTableChanges puts on the record what this turn has changed in our tables, before any of it is written.
func (f *fleet) recordTableChanges() {
	var changes []ownership.TableChange
	for _, number := range slices.Sorted(maps.Keys(f.module.byNumber)) {
		in := f.module.byNumber[number]
		if len(in.changed) == 0 {
			continue
		}
		change := ownership.TableChange{Table: number}
		for _, b := range in.changed {
			change.Lines = append(change.Lines, ownership.Line{Backend: string(f.module.name(b)), Weight: in.weights[b]})
		}
		changes = append(changes, change)
	}
	if len(f.module.withdrawalChanges) > 0 {
		change := ownership.TableChange{Table: ownership.WithdrawnTable}
		for _, b := range f.module.withdrawalChanges {
			shut := 0.
			if f.module.withdrawn[b] {
				shut = 1
			}
			change.Lines = append(change.Lines, ownership.Line{Backend: string(f.module.name(b)), Weight: shut})
		}
		changes = append(changes, change)
	}
	if len(changes) > 0 {
		f.coordinator.ChangeTables(changes, f.module.now)
	}
}

// shareEvidence puts on the record what our proxies met, which backends are withdrawn here, and what comes to whom.
func (f *fleet) shareEvidence(now int64) {
	for backend, id := range f.module.backends.ids {
		if id != "" {
			tries, failed, wait, away := f.module.control.Ejection(backend)
			f.evidence.SetWithdrawn(id, away, tries, failed, wait)
		}
	}
	proven, able := f.module.control.Throughput()
	f.evidence.SetCapacity(ownership.Capacity{Proven: proven, Saturated: able})
	f.coordinator.AddEvidence(f.evidence, now)
}

// PeerObservationReported hands on what another member's proxies met.
func (f *fleet) PeerObservationReported(_ string, s ownership.Observation) {
	if backend, ok := f.module.backends.index[s.Backend]; ok {
		f.module.control.PeerOutcomesReported(backend, s.Attempts, s.Failed, s.MeanLatency, s.Backoff)
	}
}

// QuorumChanged logs that we go off the record, or are on it again.
func (f *fleet) QuorumChanged(withoutQuorum bool, why string) {
	f.module.log.say("sharing", "alone", withoutQuorum, "why", why, "owned", f.coordinator.OwnedProxies(),
		"deltas", f.module.deltas, "wholes", f.module.wholes)
}

// RandomID names a new incarnation.
func (f *fleet) RandomID() uint64 { return randomID() }
