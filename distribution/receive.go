package distribution

// maxRecoveries is the number of consecutive requests for recovery from a gap or a wrong digest
// that a node sends to its parent before it leaves the parent.
const maxRecoveries = 3

// renewsPerWindow is the number of confirmations that a child sends per Limits.Window of received
// bytes, in addition to those that answer heartbeats.
const renewsPerWindow = 4

// receiveFromParent handles a message from the parent, or from a peer that this node has asked for
// a place as its child.
func (n *Node) receiveFromParent(link Link, m Message, now Microseconds) {
	place := n.parentOrAttempt(link)
	if place == nil {
		return
	}
	place.lastReceivedAt = now
	place.receivedMessages++
	place.unconfirmedBytes += m.Size()
	switch m := m.(type) {
	case *Admitted:
		n.handleAdmitted(place, m, now)
	case *Refused:
		n.handleRefused(place, m, now)
	default:
		if place == n.parent && !place.subscribing {
			n.handleParentMessage(place, m, now)
		}
	}
}

// handleParentMessage handles a message from a parent that has admitted this node. It renews the
// lease after each heartbeat, and once Limits.Window/renewsPerWindow bytes are unconfirmed.
func (n *Node) handleParentMessage(parent *parentLink, m Message, now Microseconds) {
	isHeartbeat := false
	switch m := m.(type) {
	case *Delta:
		n.handleDelta(parent, m, now)
	case *SnapshotPiece:
		n.handleSnapshotPiece(parent, m, now)
	case *Heartbeat:
		isHeartbeat = true
		n.handleHeartbeat(parent, m, now)
	}
	// The handler of the message may have left the parent, or sent the parent another Subscribe.
	hasPlace := parent == n.parent && !parent.subscribing
	renewDue := parent.unconfirmedBytes >= n.limits.Window/renewsPerWindow
	if hasPlace && (isHeartbeat || renewDue) {
		n.host.Send(parent.link, &Renew{Version: n.store.version, Received: parent.receivedMessages})
		parent.unconfirmedBytes = 0
	}
}

// handleDelta applies the changes of a delta if they follow this node's version, are well-formed,
// lead to the digest in the delta, and keep the state within Limits.StateBytes.
func (n *Node) handleDelta(parent *parentLink, m *Delta, now Microseconds) {
	version := Version{m.Epoch, m.Revision}
	if n.isOlder(version) || version == n.store.version {
		n.reportOlder(parent.peer, version)
		return
	}
	if !n.followsContent(m.Epoch, m.Previous) {
		n.handleGap(parent, now)
		return
	}
	if !n.deltaWellFormed(m) {
		n.rejectMalformed(parent, now)
		return
	}
	batch := n.store.prepare(m.Changes)
	if !n.faults.acceptsDigest(batch.digest == m.Digest) {
		n.handleWrongDigest(parent, now)
		return
	}
	if batch.bytes > n.limits.StateBytes {
		n.rejectTooLarge(parent, now)
		return
	}
	n.applyBatch(batch)
	n.store.version.Revision = m.Revision
	n.counts.DeltasApplied++
	parent.recoveryRequests = 0
	n.sendDeltasToAll(now)
}

// followsContent reports whether a message from the parent applies to this node's content: the
// content is complete and at the epoch and previous revision that the message requires, and no
// snapshot is being received.
func (n *Node) followsContent(epoch Epoch, previous uint64) bool {
	ready := n.contentComplete() && n.incomingSnapshot == nil
	follows := ready && n.store.version == Version{epoch, previous}
	return n.faults.acceptsMessage(follows, epoch == n.store.version.Epoch)
}

// deltaWellFormed reports whether a delta has at least one change, its changes are in ascending
// order of their revisions, and each change has at least one entry and only entries in the scopes
// of this node.
func (n *Node) deltaWellFormed(m *Delta) bool {
	last := m.Previous
	for _, change := range m.Changes {
		inOrder := change.Revision > last && change.Revision <= m.Revision
		if !inOrder || len(change.Entries) == 0 {
			return false
		}
		last = change.Revision
		if !n.entriesValid(change.Entries, change.Revision) {
			return false
		}
	}
	return len(m.Changes) > 0
}

// entriesValid reports whether all entries are in this node's scopes and have at most the given
// revision.
func (n *Node) entriesValid(entries []Entry, revision uint64) bool {
	for _, entry := range entries {
		if !n.config.Scopes.Has(entry.Scope) || entry.Revision > revision {
			return false
		}
	}
	return true
}

// handleHeartbeat stores the parent's path and age, and advances this node past revisions without
// changes in its scopes.
func (n *Node) handleHeartbeat(parent *parentLink, m *Heartbeat, now Microseconds) {
	n.learnCandidates(m.Candidates, false)
	if !n.pathValid(m.Path) {
		n.leaveParent(CloseLoop, now)
		return
	}
	n.setPath(parent, m.Path, now)
	if m.Epoch.Known() {
		n.advanceByHeartbeat(parent, m, now)
	}
	if parent == n.parent && !parent.subscribing {
		n.noteSourceAge(parent, m.Source, m.Age, now)
	}
}

// advanceByHeartbeat advances this node to the revision of a heartbeat, if the heartbeat follows
// this node's version and has the same digest.
func (n *Node) advanceByHeartbeat(parent *parentLink, m *Heartbeat, now Microseconds) {
	version := Version{m.Epoch, m.Revision}
	switch {
	case n.isOlder(version):
		n.reportOlder(parent.peer, version)
	case !n.followsContent(m.Epoch, m.Previous):
		n.handleGap(parent, now)
	case !n.faults.acceptsDigest(n.store.digest == m.Digest):
		n.handleWrongDigest(parent, now)
	default:
		n.store.version.Revision = max(n.store.version.Revision, m.Revision)
		parent.recoveryRequests = 0
	}
}

// noteSourceAge stores whether the parent is behind this node. If this node has everything that the
// parent has, it also stores when the parent last knew the source to be current, and clears the
// failure counts.
func (n *Node) noteSourceAge(parent *parentLink, source Version, age, now Microseconds) {
	behind := n.isOlder(source)
	if behind && !parent.behind {
		parent.behindSince = now
	}
	parent.behind = behind
	own := n.store.version
	hasAll := n.contentComplete() && own.Epoch == source.Epoch && own.Revision >= source.Revision
	if hasAll && age != NeverCurrent {
		n.noteSourceCurrent(now - age)
		n.resetFailures(parent)
	}
}

// handleGap requests the missing changes after a message that does not follow this node's version.
func (n *Node) handleGap(parent *parentLink, now Microseconds) {
	n.counts.GapsSeen++
	n.host.Log(Event{Kind: EventGap, Peer: parent.peer, Version: n.store.version})
	n.requestRecovery(parent, now)
}

// handleWrongDigest handles a message whose digest differs from the digest of the resulting
// content. The node has applied no part of the message. As a digest does not show which entry is
// wrong, only a snapshot can restore the content.
func (n *Node) handleWrongDigest(parent *parentLink, now Microseconds) {
	n.counts.WrongDigests++
	n.host.Log(Event{Kind: EventWrongDigest, Peer: parent.peer, Version: n.store.version})
	n.contentInDoubt = true
	n.requestRecovery(parent, now)
}

// requestRecovery sends the parent a new Subscribe. After maxRecoveries consecutive requests
// without success it leaves the parent instead.
func (n *Node) requestRecovery(parent *parentLink, now Microseconds) {
	parent.recoveryRequests++
	if parent.recoveryRequests > maxRecoveries {
		n.leaveParent(CloseMalformed, now)
		return
	}
	n.sendSubscribe(parent, now)
}

func (n *Node) rejectMalformed(parent *parentLink, now Microseconds) {
	n.host.Log(Event{Kind: EventMalformed, Peer: parent.peer, Version: n.store.version})
	n.leaveParent(CloseMalformed, now)
}

func (n *Node) rejectTooLarge(parent *parentLink, now Microseconds) {
	n.host.Log(Event{Kind: EventTooLarge, Peer: parent.peer, Version: n.store.version})
	n.leaveParent(CloseTooLarge, now)
}
