package distribution

// incomingSnapshot is a snapshot that is being received into a store of its own; the node's store
// does not change until the snapshot is complete.
type incomingSnapshot struct {
	store     *store
	nextIndex int // index of the next expected piece
}

// handleSnapshotPiece adds a piece to the incoming snapshot, and installs the snapshot after its
// last piece.
func (n *Node) handleSnapshotPiece(parent *parentLink, m *SnapshotPiece, now Microseconds) {
	if m.Index == 0 && !n.beginSnapshotOrLeave(parent, m.Version, now) {
		return
	}
	incoming := n.incomingSnapshot
	if incoming == nil || incoming.store.version != m.Version || incoming.nextIndex != m.Index {
		n.handleGap(parent, now)
		return
	}
	if !n.entriesValid(m.Entries, m.Version.Revision) {
		n.rejectMalformed(parent, now)
		return
	}
	for _, entry := range m.Entries {
		incoming.store.put(entry)
	}
	incoming.nextIndex++
	parent.lastPieceAt = now
	switch {
	case incoming.store.bytes > n.limits.StateBytes:
		n.rejectTooLarge(parent, now)
	case m.Last && incoming.store.digest != m.Digest:
		n.handleWrongDigest(parent, now)
	case m.Last:
		n.installSnapshot(parent, m, now)
	}
}

// beginSnapshotOrLeave begins a new incoming snapshot. If the version of the snapshot is older than
// this node's, or its epoch is zero or conflicts with this node's, it leaves the parent instead and
// returns false.
func (n *Node) beginSnapshotOrLeave(parent *parentLink, version Version, now Microseconds) bool {
	switch {
	case n.conflictsWith(version.Epoch) || !version.Epoch.Known():
		n.rejectConflict(parent, now)
	case n.faults.refusesOlder(n.isOlder(version)):
		n.reportOlder(parent.peer, version)
		n.leaveParent(CloseOutdatedParent, now)
	default:
		n.incomingSnapshot = &incomingSnapshot{store: newStore(version, n.config.Scopes)}
		return true
	}
	return false
}

// installSnapshot replaces the store of this node by a snapshot that is complete and matches its
// digest.
func (n *Node) installSnapshot(parent *parentLink, m *SnapshotPiece, now Microseconds) {
	installed := n.incomingSnapshot.store
	installed.tombstones.horizon = max(installed.tombstones.horizon, m.Horizon)
	n.incomingSnapshot = nil
	n.contentInDoubt = false
	parent.recoveryRequests = 0
	n.counts.SnapshotsInstalled++
	n.host.Log(Event{Kind: EventSnapshotInstalled, Peer: parent.peer, Version: installed.version})
	n.replaceStore(installed, now)
}
