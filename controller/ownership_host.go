package controller

import (
	"context"
	"log/slog"
	"time"

	"wheelrill/consensus"
	"wheelrill/ownership"
)

// ownershipHost is the coordinator's host: it joins the shared ownership of proxies with the decisions, the tables and the
// connections. The event loop owns it; only node has goroutines of its own, which Controller.Serve starts and awaits.
type ownershipHost struct {
	loop        *eventLoop
	coordinator *ownership.Coordinator
	node        *consensus.Node
	terms       ownership.LeaseTerms
	evidence    *ownership.Evidence // what our proxies met since it was last put on the record

	pending  map[int]pendingProxy // connected proxies that are not ours yet
	queued   []queuedMessage      // messages that wait for the record, in their order; their number has no bound, but the end of the lease releases them
	released uint64               // revision of our tables up to which messages may leave
}

// pendingProxy is what the decisions are told of a proxy once it is ours.
type pendingProxy struct {
	zone               int
	requestsPerSecond  float64
	mayHoldWithdrawals bool
}

// coordinatorTimer is the tag of the coordinator's timer; no timer of the decisions has this tag.
const coordinatorTimer = 1<<64 - 1

// coordinatorTick gives the coordinator its turn: it renews our lease, says which proxies were heard from since, puts evidence on
// the record, and sets the timer for the next turn.
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

// handOver gives our proxies away at a planned end: the loop iterates no more, so no push is made, and the record says so before any
// of their connections ends, if it answers within limits.handOverTimeout. Meanwhile ReleaseUpTo still hands queued messages that the
// record releases to their connections, and writers send what waits in outboxes.
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
		state.grantToken = grant.Token
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

// QuorumChanged implements ownership.Host: it logs that we act without the record, or with it again.
func (h *ownershipHost) QuorumChanged(withoutQuorum bool, reason string) {
	level := slog.LevelInfo
	if withoutQuorum {
		level = slog.LevelWarn
	}
	h.loop.log.Log(context.Background(), level, "quorum_changed", "quorum", !withoutQuorum, "reason", reason,
		"owned", h.coordinator.OwnedProxies(), "delta_tables", h.loop.deltaTables, "full_tables", h.loop.fullTables)
}
