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

// OwnershipConfig says with whom a controller shares the ownership of proxies. The members agree on all of it but the folder and
// the files.
type OwnershipConfig struct {
	// Name is ours among the members; the controller's own if empty.
	Name string
	// Members has the address of each member for the others, by its name; ours is among them.
	Members map[string]string
	// Folder is for what must outlast the process; empty: nothing does, and a restart comes as a new member.
	Folder string
	consensus.Credentials
	// Lease is how long without an answer of the record it takes for a member to act by itself; 0 for 1.5 s.
	Lease ownership.Microseconds
}

// Figures that follow from no setting. A lease must fit into the time in which a drain has to reach all proxies, and an entry or two
// may be lost within it.
const (
	defaultLease     = 3 * microsPerSecond / 2
	renewalsPerLease = 8 // entries that are proposed in a lease, at least
	// reservedMessages are left to an owner of those that may be written to a proxy: its first table, what goes before that to one
	// that waits, a drain, and one more.
	reservedMessages = 4
	// unlimitedMessages may be written to a proxy where no setting limits them.
	unlimitedMessages = 1 << 20
)

// ShareOwnership has the controller share the ownership of its proxies from Serve on. It is called once, before Serve, and after
// JoinDistribution where the controller is a voter. An error says what would do.
func (c *Controller) ShareOwnership(config OwnershipConfig) error {
	if config.Name == "" {
		config.Name = c.configuration.Name
	}
	loop := c.loop
	terms, err := c.leaseTerms(config)
	if err != nil {
		return err
	}
	host := &ownershipHost{loop: loop, pending: map[int]pendingProxy{}, evidence: ownership.NewEvidence(), terms: terms}
	if host.node, err = c.newConsensusNode(config, host); err != nil {
		return err
	}
	loop.timers = nil // those of the decisions that were made to act alone
	if loop.decisions, err = c.configuration.newDecisions(loop, c.ownChannel(terms)); err != nil {
		return err
	}
	loop.ownership = host
	host.coordinator = ownership.New(host, config.Name, terms, loop.now)
	host.renew(loop.now)
	return nil
}

// leaseTerms are what all members agree on.
func (c *Controller) leaseTerms(config OwnershipConfig) (ownership.LeaseTerms, error) {
	channel := c.configuration.channel
	terms := ownership.LeaseTerms{
		Duration:           config.Lease,
		MessageWindow:      channel.MessageWindow + channel.MaxLatency,
		MaxMessages:        channel.MaxMessages,
		Members:            len(config.Members),
		GuaranteedMessages: reservedMessages,
	}
	if terms.Duration == 0 {
		terms.Duration = defaultLease
	}
	if terms.MaxMessages == 0 {
		terms.MaxMessages = unlimitedMessages
	}
	terms.RenewInterval = terms.Duration / renewalsPerLease
	if terms.RenewInterval < c.limits.tick.Microseconds() {
		return terms, fmt.Errorf("lease: %d ms is too short for a tick of %s", terms.Duration/1000, c.limits.tick)
	}
	return terms, nil
}

// newConsensusNode makes our node of the record; that of a voter carries the distribution, too.
func (c *Controller) newConsensusNode(config OwnershipConfig, host *ownershipHost) (*consensus.Node, error) {
	nodeConfig := consensus.Config{Name: config.Name, Members: config.Members, Folder: config.Folder,
		Credentials: config.Credentials, Terms: host.terms}
	votes := c.distributor != nil && c.distributor.carrier == nil
	if votes {
		nodeConfig.Distribution = c.distributor.becomeVoter(consensus.Peer{Name: config.Name, Address: config.Members[config.Name]})
	}
	node, err := consensus.New(nodeConfig, consensusEvents{c.loop, host}, c.log)
	if err == nil && votes {
		c.distributor.node = node
	}
	return node, err
}

// ownChannel is the push channel with our part of the messages that may be written to a proxy.
func (c *Controller) ownChannel(terms ownership.LeaseTerms) balancer.PushChannel {
	channel := c.configuration.channel
	if channel.MaxMessages > 0 {
		channel.MaxMessages = terms.UnownedQuota() + terms.OwnerQuota()
	}
	return channel
}

// consensusEvents hands what becomes of the record to the event loop. Its methods are called by goroutines of the consensus node.
type consensusEvents struct {
	*eventLoop
	host *ownershipHost
}

// EntryCommitted implements consensus.Events.
func (e consensusEvents) EntryCommitted(entry ownership.Entry) {
	e.post(func() { e.host.coordinator.EntryApplied(entry, e.now) })
}

// SnapshotRestored implements consensus.Events.
func (e consensusEvents) SnapshotRestored(record *ownership.Record) {
	e.post(func() { e.host.coordinator.SnapshotRestored(record, e.now) })
}

// ProposalCommitted implements consensus.Events.
func (e consensusEvents) ProposalCommitted(incarnation, sequence uint64) {
	e.post(func() { e.host.coordinator.ProposalCommitted(incarnation, sequence, e.now) })
}

// ProposalFailed implements consensus.Events.
func (e consensusEvents) ProposalFailed(incarnation, sequence uint64) {
	e.post(func() { e.host.coordinator.ProposalFailed(incarnation, sequence, e.now) })
}

// ownershipHost is the coordinator's host: it joins the shared ownership of proxies with the decisions, the tables and the
// connections. The event loop owns it; only node has goroutines of its own, which Controller.Serve starts and awaits.
type ownershipHost struct {
	loop        *eventLoop
	coordinator *ownership.Coordinator
	node        *consensus.Node
	terms       ownership.LeaseTerms
	evidence    *ownership.Evidence // what our proxies met since it was last put on the record

	pending  map[int]pendingProxy // connected proxies that are not ours yet
	queued   []queuedMessage      // messages that wait for the record, in their order; without a bound but the lease, which releases them
	released uint64               // revision of our tables up to which messages may leave
}

// pendingProxy is what the decisions are told of a proxy once it is ours.
type pendingProxy struct {
	zone               int
	requestsPerSecond  float64
	mayHoldWithdrawals bool
}

// queuedMessage is a message that waits until what it says stands on the record.
type queuedMessage struct {
	conn     *connection
	message  []byte
	revision uint64 // of our tables, that it says something of
}

// coordinatorTimer is the tag of the coordinator's timer; the decisions have none of it.
const coordinatorTimer = 1<<64 - 1

// renew gives the coordinator its turn: it renews our lease, and puts evidence on the record.
func (h *ownershipHost) renew(now microseconds) {
	h.coordinator.Tick(now)
	for proxy, session := range h.loop.sessions {
		if session != nil {
			h.coordinator.ProxyActiveAt(proxy, session.conn.lastMessageAt.Load())
		}
	}
	h.shareEvidence(now)
	h.loop.SetTimer(h.terms.RenewInterval/2, coordinatorTimer)
}

// handOver gives our proxies away at a planned end: nothing is written any more, and the record says so before any of their
// connections ends, if it answers within limits.handOverTimeout.
func (h *ownershipHost) handOver() {
	loop := h.loop
	loop.now = max(loop.clock(), loop.now+1)
	h.coordinator.Close(loop.now)
	timeout := time.After(loop.limits.handOverTimeout)
	for !h.coordinator.Closed() {
		select {
		case event := <-loop.inbox:
			loop.now = max(loop.clock(), loop.now+1)
			event()
		case <-timeout:
			loop.log.Warn("handover_unconfirmed", "owned", h.coordinator.OwnedProxies(), "reason", "the record does not answer")
			return
		}
	}
	loop.log.Info("handover_confirmed", "owned", h.coordinator.OwnedProxies())
}

// proxyJoined has a connected proxy wait until it is ours.
func (h *ownershipHost) proxyJoined(proxy int, pending pendingProxy) {
	h.pending[proxy] = pending
	h.coordinator.ProxyConnected(proxy, h.loop.now)
}

// proxyLeft forgets a proxy; it tells whether the decisions know it.
func (h *ownershipHost) proxyLeft(proxy int) (known bool) {
	_, pending := h.pending[proxy]
	delete(h.pending, proxy)
	h.evidence.ForgetProxy(proxy)
	h.coordinator.ProxyDisconnected(proxy)
	return !pending
}

// ProxyGranted implements ownership.Host: a proxy is ours from now on, and goes to the decisions.
func (h *ownershipHost) ProxyGranted(grant ownership.Grant) {
	pending, ok := h.pending[grant.Proxy]
	if !ok {
		return
	}
	delete(h.pending, grant.Proxy)
	state := h.loop.proxy(grant.Proxy)
	state.unowned, state.base = false, grant.Base
	if grant.NoWithdrawals {
		state.mayHoldWithdrawals, pending.mayHoldWithdrawals = false, false
	}
	if state.wantsToken {
		state.token = grant.Token
	}
	h.loop.log.Info("proxy_granted", "proxy", grant.Proxy, "token", grant.Token, "tables_known", grant.Base != nil,
		"withdrawals_known", grant.NoWithdrawals, "messages_sent", grant.SentMessages)
	decisions := h.loop.decisions
	decisions.MessagesSentByPeers(grant.Proxy, grant.SentMessages)
	decisions.ProxyConnected(grant.Proxy, pending.zone, pending.requestsPerSecond, pending.mayHoldWithdrawals)
	decisions.SeedDemand(grant.Proxy, grant.Demand)
}

// PeerCapacityReported implements ownership.Host: it hands on what another member saw the backends do.
func (h *ownershipHost) PeerCapacityReported(capacity ownership.Capacity) {
	h.loop.decisions.SeedThroughput(capacity.Proven, capacity.Saturated)
}

// PeerObservationReported implements ownership.Host: it hands on what another member's proxies met at a backend.
func (h *ownershipHost) PeerObservationReported(_ string, observation ownership.Observation) {
	if backend, ok := h.loop.backends.index[observation.Backend]; ok {
		h.loop.decisions.PeerOutcomesReported(backend, observation.Attempts, observation.Failed, observation.MeanLatency,
			observation.Backoff)
	}
}

// MessagesSentByPeers implements ownership.Host: the decisions write a proxy so many messages less.
func (h *ownershipHost) MessagesSentByPeers(proxy, messages int) {
	h.loop.decisions.MessagesSentByPeers(proxy, messages)
}

// Propose implements ownership.Host: it proposes an entry for the record.
func (h *ownershipHost) Propose(entry ownership.Entry) { h.node.Propose(entry) }

// RandomID implements ownership.Host: it names a new incarnation.
func (h *ownershipHost) RandomID() uint64 { return randomID() }

// QuorumChanged implements ownership.Host: it logs that we act without the record, or with it again.
func (h *ownershipHost) QuorumChanged(withoutQuorum bool, reason string) {
	level := slog.LevelInfo
	if withoutQuorum {
		level = slog.LevelWarn
	}
	h.loop.log.Log(context.Background(), level, "quorum_changed", "quorum", !withoutQuorum, "reason", reason,
		"owned", h.coordinator.OwnedProxies(), "delta_tables", h.loop.deltaTables, "full_tables", h.loop.fullTables)
}

// ReleaseUpTo implements ownership.Host: what stands on the record up to a revision of our tables may leave.
func (h *ownershipHost) ReleaseUpTo(revision uint64) {
	h.released = max(h.released, revision)
	count := 0
	for count < len(h.queued) && h.queued[count].revision <= h.released {
		next := h.queued[count]
		count++
		if !h.loop.isCurrent(next.conn) {
			continue
		}
		if err := next.conn.send(next.message); err != nil {
			h.loop.dropProxy(next.conn.proxy, err)
		}
	}
	h.queued = slices.Delete(h.queued, 0, count)
}

// send has a message leave, or wait for the record behind others.
func (h *ownershipHost) send(conn *connection, message []byte) error {
	revision := h.coordinator.Revision()
	if len(h.queued) > 0 || revision > h.released {
		h.queued = append(h.queued, queuedMessage{conn, message, revision})
		return nil
	}
	return conn.send(message)
}

// recordTableChanges puts on the record what this iteration has changed in our tables, before any of it is written.
func (h *ownershipHost) recordTableChanges() {
	tables := h.loop.tables
	var changes []ownership.TableChange
	for _, number := range slices.Sorted(maps.Keys(tables.byNumber)) {
		table := tables.byNumber[number]
		if len(table.changed) == 0 {
			continue
		}
		change := ownership.TableChange{Table: number}
		for _, backend := range table.changed {
			change.Lines = append(change.Lines, h.recordLine(backend, table.weights[backend]))
		}
		changes = append(changes, change)
	}
	if len(tables.withdrawalChanges) > 0 {
		change := ownership.TableChange{Table: ownership.WithdrawnTable}
		for _, backend := range tables.withdrawalChanges {
			weight := 0.0
			if tables.withdrawn[backend] {
				weight = 1
			}
			change.Lines = append(change.Lines, h.recordLine(backend, weight))
		}
		changes = append(changes, change)
	}
	if len(changes) > 0 {
		h.coordinator.ChangeTables(changes, h.loop.now)
	}
}

// recordLine is an entry of a table as the record has it.
func (h *ownershipHost) recordLine(backend int, weight float64) ownership.Line {
	return ownership.Line{Backend: string(h.loop.backendName(backend)), Weight: weight}
}

// shareEvidence puts on the record what our proxies met, which backends are ejected here, and what arrives at each proxy.
func (h *ownershipHost) shareEvidence(now microseconds) {
	for backend, id := range h.loop.backends.ids {
		if id != "" {
			attempts, failed, backoff, ejected := h.loop.decisions.Ejection(backend)
			h.evidence.SetWithdrawn(id, ejected, attempts, failed, backoff)
		}
	}
	proven, saturated := h.loop.decisions.Throughput()
	h.evidence.SetCapacity(ownership.Capacity{Proven: proven, Saturated: saturated})
	h.coordinator.AddEvidence(h.evidence, now)
}
