package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"wheelrill/balancer"
	"wheelrill/consensus"
	"wheelrill/ownership"
)

// OwnershipConfig says with whom a controller shares its fleet. The members agree on all of it but the folder and the files.
type OwnershipConfig struct {
	Name    string            // ours among the members; the controller's own if empty
	Members map[string]string // the address of each for the others, by its name
	Folder  string            // for what must outlast the process; empty: nothing does
	consensus.Credentials
	Lease int64 // µs without an answer of the record after which a member goes on by itself; 0 is as usual
}

// Figures of sharing that follow from no setting: a lease must fit into the time in which a drain has to reach all
// proxies, and an entry or two may be lost within it.
const (
	defaultLease     = 3 * microsPerSecond / 2
	renewalsPerLease = 8 // an entry is proposed this often in a lease at least
	// Of the messages to a proxy: its bind, what goes first to one that waits, a drain, and one more.
	reservedMessages  = 4
	unlimitedMessages = 1 << 20 // messages that may go to a proxy where no setting limits them
)

// ShareOwnership has the controller share its fleet from Serve on. An error says what would do.
func (c *Controller) ShareOwnership(with OwnershipConfig) error {
	if with.Name == "" {
		with.Name = c.configuration.Name
	}
	m := c.loop
	terms := ownership.LeaseTerms{Duration: with.Lease, MessageWindow: c.configuration.channel.MessageWindow + c.configuration.channel.MaxLatency,
		MaxMessages: c.configuration.channel.MaxMessages, Members: len(with.Members), GuaranteedMessages: reservedMessages}
	if terms.Duration == 0 {
		terms.Duration = defaultLease
	}
	if terms.RenewInterval = terms.Duration / renewalsPerLease; terms.RenewInterval < m.limits.tick.Microseconds() {
		return fmt.Errorf("lease: %d ms is too short for a tick of %s", terms.Duration/1000, m.limits.tick)
	}
	if terms.MaxMessages == 0 {
		terms.MaxMessages = unlimitedMessages
	}
	f := &ownershipHost{loop: m, pending: map[int]pendingProxy{}, evidence: ownership.NewEvidence(), terms: terms}
	config := consensus.Config{Name: with.Name, Members: with.Members, Folder: with.Folder, Credentials: with.Credentials, Terms: terms}
	votes := c.distributor != nil && c.distributor.carrier == nil
	if votes {
		config.Distribution = c.distributor.becomeVoter(consensus.Peer{Name: with.Name, Address: with.Members[with.Name]})
	}
	var err error
	if f.node, err = consensus.New(config, consensusEvents{m, f}, c.log); err != nil {
		return err
	}
	if votes {
		c.distributor.node = f.node
	}
	// What the decisions may send is our part of it.
	channel := c.configuration.channel
	if channel.MaxMessages > 0 {
		channel.MaxMessages = terms.UnownedQuota() + terms.OwnerQuota()
	}
	m.timers = nil // those of the decisions that were made to be alone
	m.decisions = balancer.New(m, c.configuration.seed, c.configuration.classes, channel, c.configuration.rules, balancer.Sharding{}, c.configuration.telemetry,
		c.configuration.admissionMode)
	m.ownership, f.name = f, with.Name
	f.coordinator = ownership.New(f, with.Name, terms, m.now)
	f.renew(m.now)
	return nil
}

// consensusEvents hands on to the module what becomes of the record.
type consensusEvents struct {
	*eventLoop
	host *ownershipHost
}

func (r consensusEvents) EntryCommitted(e ownership.Entry) {
	r.post(func() { r.host.coordinator.EntryApplied(e, r.now) })
}

func (r consensusEvents) SnapshotRestored(record *ownership.Record) {
	r.post(func() { r.host.coordinator.SnapshotRestored(record, r.now) })
}

func (r consensusEvents) ProposalCommitted(incarnation, seq uint64) {
	r.post(func() { r.host.coordinator.ProposalCommitted(incarnation, seq, r.now) })
}

func (r consensusEvents) ProposalFailed(incarnation, seq uint64) {
	r.post(func() { r.host.coordinator.ProposalFailed(incarnation, seq, r.now) })
}

// ownershipHost is the module's side of sharing: it joins the coordinator with the decisions, the tables and the streams.
type ownershipHost struct {
	loop        *eventLoop
	name        string
	coordinator *ownership.Coordinator
	node        *consensus.Node
	terms       ownership.LeaseTerms

	pending  map[int]pendingProxy // proxies that joined and are not granted yet
	queued   []queuedMessage      // in their order
	released uint64
	evidence *ownership.Evidence
}

// pendingProxy is what the decisions are told of a proxy once it is granted.
type pendingProxy struct {
	zone               int
	requestsPerSecond  float64
	mayHoldWithdrawals bool
}

// queuedMessage is a message that waits until what it says stands on the record.
type queuedMessage struct {
	conn    *connection
	message []byte
	edition uint64
}

// handOver gives our proxies away at a planned end: nothing is written any more, and the record says so before any of
// their streams ends, if it can be told soon.
func (h *ownershipHost) handOver() {
	m := h.loop
	m.now = max(m.clock(), m.now+1)
	h.coordinator.Close(m.now)
	late := time.After(m.limits.handOverTimeout)
	for !h.coordinator.Closed() {
		select {
		case what := <-m.inbox:
			m.now = max(m.clock(), m.now+1)
			what()
		case <-late:
			m.log.Warn("handover_unconfirmed", "owned", h.coordinator.OwnedProxies(), "reason", "the record does not answer")
			return
		}
	}
	m.log.Info("handover_confirmed", "owned", h.coordinator.OwnedProxies())
}

// tag of the coordinator's timer, which the decisions' is not.
const coordinatorTimer = 1<<64 - 1

func (h *ownershipHost) renew(now int64) {
	h.coordinator.Tick(now)
	for node, j := range h.loop.sessions {
		if j != nil {
			h.coordinator.ProxyHeardFrom(node, j.conn.lastHeard.Load())
		}
	}
	h.shareEvidence(now)
	h.loop.SetTimer(h.terms.RenewInterval/2, coordinatorTimer)
}

// proxyJoined has a proxy wait until it is granted.
func (h *ownershipHost) proxyJoined(node int, a pendingProxy) {
	h.pending[node] = a
	h.coordinator.ProxyConnected(node, h.loop.now)
}

// proxyLeft forgets a proxy; it tells whether the decisions had it.
func (h *ownershipHost) proxyLeft(node int) bool {
	_, waits := h.pending[node]
	delete(h.pending, node)
	h.evidence.ForgetProxy(node)
	h.coordinator.ProxyDisconnected(node)
	return !waits
}

// ProxyGranted gives a proxy to the decisions.
func (h *ownershipHost) ProxyGranted(grant ownership.Grant) {
	node := grant.Proxy
	a, ok := h.pending[node]
	if !ok {
		return
	}
	delete(h.pending, node)
	s := h.loop.proxy(node)
	s.unowned, s.base = false, grant.Base
	if grant.NoWithdrawals {
		s.mayHoldWithdrawals, a.mayHoldWithdrawals = false, false
	}
	if s.wantsToken {
		s.token = grant.Token
	}
	h.loop.log.Info("proxy_granted", "proxy", node, "token", grant.Token, "tables_known", grant.Base != nil, "withdrawals_known", grant.NoWithdrawals,
		"messages_sent", grant.SentMessages)
	h.loop.decisions.MessagesSentByPeers(node, grant.SentMessages)
	h.loop.decisions.ProxyConnected(node, a.zone, a.requestsPerSecond, a.mayHoldWithdrawals)
	h.loop.decisions.SeedDemand(node, grant.Demand)
}

// PeerCapacityReported hands on what another member saw the fleet do.
func (h *ownershipHost) PeerCapacityReported(capacity ownership.Capacity) {
	h.loop.decisions.SeedThroughput(capacity.Proven, capacity.Saturated)
}

// MessagesSentByPeers has the decisions write less to a proxy.
func (h *ownershipHost) MessagesSentByPeers(node, messages int) {
	h.loop.decisions.MessagesSentByPeers(node, messages)
}

// Propose puts an entry on the record.
func (h *ownershipHost) Propose(e ownership.Entry) { h.node.Propose(e) }

// ReleaseUpTo lets what waited leave.
func (h *ownershipHost) ReleaseUpTo(edition uint64) {
	h.released = max(h.released, edition)
	n := 0
	for ; n < len(h.queued) && h.queued[n].edition <= h.released; n++ {
		l := h.queued[n]
		if !h.loop.isCurrent(l.conn) {
			continue
		}
		if err := l.conn.send(l.message); err != nil {
			h.loop.dropProxy(l.conn.proxy, err)
		}
	}
	h.queued = slices.Delete(h.queued, 0, n)
}

// send has a message leave, or wait behind others for the record.
func (h *ownershipHost) send(p *connection, message []byte) error {
	if edition := h.coordinator.Revision(); len(h.queued) > 0 || edition > h.released {
		h.queued = append(h.queued, queuedMessage{p, message, edition})
		return nil
	}
	return p.send(message)
}

// recordTableChanges puts on the record what this turn has changed in our tables, before any of it is written.
func (h *ownershipHost) recordTableChanges() {
	var changes []ownership.TableChange
	for _, number := range slices.Sorted(maps.Keys(h.loop.byNumber)) {
		in := h.loop.byNumber[number]
		if len(in.changed) == 0 {
			continue
		}
		change := ownership.TableChange{Table: number}
		for _, b := range in.changed {
			change.Lines = append(change.Lines, ownership.Line{Backend: string(h.loop.backendName(b)), Weight: in.weights[b]})
		}
		changes = append(changes, change)
	}
	if len(h.loop.withdrawalChanges) > 0 {
		change := ownership.TableChange{Table: ownership.WithdrawnTable}
		for _, b := range h.loop.withdrawalChanges {
			shut := 0.
			if h.loop.withdrawn[b] {
				shut = 1
			}
			change.Lines = append(change.Lines, ownership.Line{Backend: string(h.loop.backendName(b)), Weight: shut})
		}
		changes = append(changes, change)
	}
	if len(changes) > 0 {
		h.coordinator.ChangeTables(changes, h.loop.now)
	}
}

// shareEvidence puts on the record what our proxies met, which backends are withdrawn here, and what comes to whom.
func (h *ownershipHost) shareEvidence(now int64) {
	for backend, id := range h.loop.backends.ids {
		if id != "" {
			tries, failed, wait, away := h.loop.decisions.Ejection(backend)
			h.evidence.SetWithdrawn(id, away, tries, failed, wait)
		}
	}
	proven, able := h.loop.decisions.Throughput()
	h.evidence.SetCapacity(ownership.Capacity{Proven: proven, Saturated: able})
	h.coordinator.AddEvidence(h.evidence, now)
}

// PeerObservationReported hands on what another member's proxies met.
func (h *ownershipHost) PeerObservationReported(_ string, s ownership.Observation) {
	if backend, ok := h.loop.backends.index[s.Backend]; ok {
		h.loop.decisions.PeerOutcomesReported(backend, s.Attempts, s.Failed, s.MeanLatency, s.Backoff)
	}
}

// QuorumChanged implements ownership.Host: it logs that we act without the record, or with it again.
func (h *ownershipHost) QuorumChanged(withoutQuorum bool, reason string) {
	level := slog.LevelInfo
	if withoutQuorum {
		level = slog.LevelWarn
	}
	h.loop.log.Log(context.Background(), level, "quorum_changed", "quorum", !withoutQuorum, "reason", reason,
		"owned", h.coordinator.OwnedProxies(), "delta_tables", h.loop.deltaTables, "full_tables", h.loop.fullTables)
}

// RandomID names a new incarnation.
func (h *ownershipHost) RandomID() uint64 { return randomID() }
