package distribution

// incomingSnapshot is a snapshot that is built up aside; the node's store stays as it is until the snapshot is complete.
type incomingSnapshot struct {
	store      *store
	nextIndex  int          // of the next piece
	progressAt Microseconds // when the last piece arrived
}

// handleSnapshotPiece adds a piece to the snapshot that is being received, and installs the snapshot after the last.
func (n *Node) handleSnapshotPiece(upstream *parentLink, m *SnapshotPiece, now Microseconds) {
	if m.Index == 0 {
		if !n.acceptsSnapshotOf(upstream, m.Version, now) {
			return
		}
		n.incomingSnapshot = &incomingSnapshot{store: newStore(m.Version, n.config.Scopes)}
	}
	incoming := n.incomingSnapshot
	if incoming == nil || incoming.store.version != m.Version || incoming.nextIndex != m.Index {
		n.handleGap(upstream, now)
		return
	}
	if !n.entriesValid(m.Entries, m.Version.Revision) {
		n.rejectMalformed(upstream, now)
		return
	}
	for _, entry := range m.Entries {
		incoming.store.put(entry)
	}
	incoming.nextIndex++
	incoming.progressAt = now
	switch {
	case incoming.store.bytes > n.limits.StateBytes:
		n.rejectTooLarge(upstream, now)
	case m.Last && incoming.store.digest != m.Digest:
		n.handleWrongDigest(upstream, now)
	case m.Last:
		n.installSnapshot(upstream, m, now)
	}
}

// acceptsSnapshotOf tells whether a snapshot of a version may replace what this node has: it is no older, and not of an
// epoch founded beside. The parent is left if not.
func (n *Node) acceptsSnapshotOf(upstream *parentLink, version Version, now Microseconds) bool {
	switch {
	case n.conflictsWith(version.Epoch) || !version.Epoch.Known():
		n.rejectConflict(upstream, now)
	case n.isOlder(version) && !n.faults.acceptOlder:
		n.reportOlder(upstream.peer, version)
		n.leaveParent(CloseOutdatedParent, now)
	default:
		return true
	}
	return false
}

// installSnapshot replaces what this node has by a snapshot that is complete and matches its digest.
func (n *Node) installSnapshot(upstream *parentLink, m *SnapshotPiece, now Microseconds) {
	installed := n.incomingSnapshot.store
	installed.tombstones.horizon = max(installed.tombstones.horizon, m.Horizon)
	n.incomingSnapshot = nil
	n.contentInDoubt = false
	upstream.recoveries = 0
	n.counts.SnapshotsInstalled++
	n.host.Log(Event{Kind: EventSnapshotInstalled, Peer: upstream.peer, Version: installed.version})
	n.replaceStore(installed, now)
}
