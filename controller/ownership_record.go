package controller

import (
	"maps"
	"slices"

	"wheelrill/ownership"
)

// consensusEvents passes the events of the consensus node, which replicates the ownership record,
// to the event loop. Goroutines of the consensus node call its methods, so the methods only post.
// The posted functions run on the goroutine of the loop, where loop.now is the clock time at which
// the event is handled.
type consensusEvents struct {
	loop *eventLoop
	host *ownershipHost
}

// EntryCommitted implements consensus.Events: it posts a committed entry of the replicated log.
func (e consensusEvents) EntryCommitted(entry ownership.Entry) {
	e.loop.post(func() { e.host.coordinator.EntryApplied(entry, e.loop.now) })
}

// SnapshotRestored implements consensus.Events: it posts the ownership record that a snapshot
// contained.
func (e consensusEvents) SnapshotRestored(record *ownership.Record) {
	e.loop.post(func() { e.host.coordinator.SnapshotRestored(record, e.loop.now) })
}

// ProposalCommitted implements consensus.Events: it posts that a proposal of an incarnation was
// committed.
func (e consensusEvents) ProposalCommitted(incarnation, sequence uint64) {
	e.loop.post(func() { e.host.coordinator.ProposalCommitted(incarnation, sequence, e.loop.now) })
}

// ProposalFailed implements consensus.Events: it posts that a proposal of an incarnation has
// failed.
func (e consensusEvents) ProposalFailed(incarnation, sequence uint64) {
	e.loop.post(func() { e.host.coordinator.ProposalFailed(incarnation, sequence, e.loop.now) })
}

// recordTableChanges passes this iteration's table changes to the coordinator, which proposes them
// to the replicated record, before any of the changes is written to a proxy.
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

// recordLine returns a table entry in the form in which the replicated record stores it.
func (h *ownershipHost) recordLine(backend int, weight float64) ownership.Line {
	return ownership.Line{Backend: string(h.loop.backendName(backend)), Weight: weight}
}

// shareEvidence passes evidence to the coordinator, which proposes it to the replicated record: the
// outcomes that this member's proxies observed, the backends that this member has ejected, the
// throughput of the backends, and the demand of each proxy.
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

// Propose implements ownership.Host: it proposes an entry to the consensus node, which adds it to
// the replicated log.
func (h *ownershipHost) Propose(entry ownership.Entry) { h.node.Propose(entry) }

// RandomID implements ownership.Host: it returns the id of a new incarnation.
func (h *ownershipHost) RandomID() uint64 { return randomID() }
