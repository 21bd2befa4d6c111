package controller

import (
	"context"
	"log/slog"
	"time"

	"wheelrill/ownership"
)

// recordNode replicates the ownership record. A consensus.Node is one.
type recordNode interface {
	// Run takes part in the replication until ctx ends.
	Run(ctx context.Context)
	// Propose proposes an entry for the record. The answer is a call of ownershipHost's coordinator.
	Propose(entry ownership.Entry)
}

// ownershipHost is the host of the ownership coordinator: it connects the shared ownership of
// proxies with balancer.Controller, the tables and the connections. The event loop owns it. Only
// the consensus node has goroutines of its own, which Controller.Serve starts and waits for.
type ownershipHost struct {
	loop        *eventLoop
	coordinator *ownership.Coordinator
	node        recordNode
	terms       ownership.LeaseTerms
	evidence    *ownership.Evidence // observations by this member's proxies that no proposed entry contains yet

	// pending holds the connected proxies that this member does not own yet.
	pending map[int]pendingProxy
	// queued holds, in order, the messages whose table changes are not in the replicated record
	// yet. The number of queued messages is not bounded, but the end of the lease releases all of
	// them.
	queued []queuedMessage
	// released is the revision of this member's tables up to which messages may be sent.
	released uint64
}

// pendingProxy holds the properties of a proxy that are passed to balancer.Controller once this
// member owns the proxy.
type pendingProxy struct {
	connectedAt        microseconds
	zone               int
	requestsPerSecond  float64
	mayHoldWithdrawals bool
}

// coordinatorTimer is the tag of the coordinator's timer; no timer of balancer.Controller has this
// tag.
const coordinatorTimer = 1<<64 - 1

// coordinatorTick runs the coordinator periodically: the coordinator renews the lease, and gets the
// time at which each proxy last sent a message, and the evidence to propose to the replicated
// record. coordinatorTick then sets the timer for the next tick.
func (h *ownershipHost) coordinatorTick(now microseconds) {
	h.coordinator.Tick(now)
	for proxy, session := range h.loop.sessions {
		if session != nil {
			h.coordinator.ProxyActiveAt(proxy, session.conn.lastMessageAt.Load())
		}
	}
	h.shareEvidence(now)
	h.loop.SetTimer(h.terms.RenewInterval/2, coordinatorTimer)
}

// handOver gives up the ownership of this member's proxies at a planned end. The loop does not
// iterate any more, so no new message is created. handOver waits until the replicated record
// confirms the handover, for at most limits.handOverTimeout; connections of these proxies end only
// after the wait. During the wait, ReleaseUpTo still passes queued messages that the record releases
// to their connections, and writers send the messages that wait in outboxes.
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
		case <-loop.queues.filled:
			loop.now = max(loop.clock(), loop.now+1)
			loop.handleConnectionEvents(loop.limits.eventsPerIteration)
		case <-timeout:
			loop.log.Warn("handover_unconfirmed", "owned", h.coordinator.OwnedProxies(), "reason", "the record does not answer")
			return
		}
	}
	loop.log.Info("handover_confirmed", "owned", h.coordinator.OwnedProxies())
}

// addPendingProxy registers a connected proxy, which waits until this member owns it.
func (h *ownershipHost) addPendingProxy(proxy int, pending pendingProxy) {
	h.pending[proxy] = pending
	h.coordinator.ProxyConnected(proxy, h.loop.now)
}

// removeProxy discards a proxy, and reports whether it was known to balancer.Controller.
func (h *ownershipHost) removeProxy(proxy int) (known bool) {
	_, pending := h.pending[proxy]
	delete(h.pending, proxy)
	h.evidence.ForgetProxy(proxy)
	h.coordinator.ProxyDisconnected(proxy)
	return !pending
}

// ProxyGranted implements ownership.Host: it handles that this member owns a proxy from now on, by
// reporting the proxy to balancer.Controller as connected.
func (h *ownershipHost) ProxyGranted(grant ownership.Grant) {
	pending, ok := h.pending[grant.Proxy]
	if !ok {
		return
	}
	delete(h.pending, grant.Proxy)
	state := h.loop.proxy(grant.Proxy)
	state.unowned, state.knownTables = false, grant.Base
	if grant.NoWithdrawals {
		state.mayHoldWithdrawals, pending.mayHoldWithdrawals = false, false
		state.maybeWithdrawn = nil
	}
	if state.wantsToken {
		state.grantToken = grant.Token
	}
	h.loop.log.Info("proxy_granted", "proxy", grant.Proxy, "token", grant.Token, "tables_known", grant.Base != nil,
		"withdrawals_known", grant.NoWithdrawals)
	decisions := h.loop.decisions
	decisions.PeersMaySendUntil(grant.Proxy, pending.connectedAt)
	decisions.WithdrawalsHeld(grant.Proxy, state.countMaybeWithdrawn())
	decisions.ProxyConnected(grant.Proxy, pending.zone, pending.requestsPerSecond, pending.mayHoldWithdrawals)
	decisions.SeedDemand(grant.Proxy, grant.Demand)
}

// PeerCapacityReported implements ownership.Host: it passes the throughput of the backends that
// another member observed to balancer.Controller.
func (h *ownershipHost) PeerCapacityReported(capacity ownership.Capacity) {
	h.loop.decisions.SeedThroughput(capacity.Proven, capacity.Saturated)
}

// PeerObservationReported implements ownership.Host: it passes the outcomes that another member's
// proxies had at a backend to balancer.Controller.
func (h *ownershipHost) PeerObservationReported(_ string, observation ownership.Observation) {
	if backend, ok := h.loop.backends.index[observation.Backend]; ok {
		h.loop.decisions.PeerOutcomesReported(backend, observation.Attempts, observation.Failed, observation.MeanLatency,
			observation.Backoff)
	}
}

// QuorumChanged implements ownership.Host: it logs that this member is without a quorum and acts on
// its own, or has a quorum again.
func (h *ownershipHost) QuorumChanged(withoutQuorum bool, reason string) {
	level := slog.LevelInfo
	if withoutQuorum {
		level = slog.LevelWarn
	}
	h.loop.log.Log(context.Background(), level, "quorum_changed", "quorum", !withoutQuorum, "reason", reason,
		"owned", h.coordinator.OwnedProxies(), "delta_tables", h.loop.deltaTables, "full_tables", h.loop.fullTables)
}
