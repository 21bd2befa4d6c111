package distribution

// maxRecoveries is how often a node asks a parent to recover from a gap before it leaves it.
const maxRecoveries = 3

// renewsPerWindow is how often a window of the parent's is confirmed besides at heartbeats.
const renewsPerWindow = 4

// receiveFromParent handles a message of a parent, or of one that was asked to be it.
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

// handleParentMessage handles what a parent sends to a child with a place, and renews the lease if it is time to.
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
	hasPlace := parent == n.parent && !parent.subscribing // handling the message may have ended it
	enough := parent.unconfirmedBytes >= n.limits.Window/renewsPerWindow
	if hasPlace && (isHeartbeat || enough) {
		n.host.Send(parent.link, &Renew{Version: n.store.version, Received: parent.receivedMessages})
		parent.unconfirmedBytes = 0
	}
}

// handleDelta applies changes if they follow what this node has and end in the digest that they should.
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

// followsContent tells whether what was sent for a child at a revision applies to what this node has.
func (n *Node) followsContent(epoch Epoch, previous uint64) bool {
	sound := n.contentComplete() && n.incomingSnapshot == nil
	follows := sound && n.store.version == Version{epoch, previous}
	return n.faults.acceptsMessage(follows, epoch == n.store.version.Epoch)
}

// deltaWellFormed tells whether the changes are in order and in this node's scopes.
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

// entriesValid tells whether entries are in this node's scopes and none is newer than a revision.
func (n *Node) entriesValid(entries []Entry, revision uint64) bool {
	for _, entry := range entries {
		if !n.config.Scopes.Has(entry.Scope) || entry.Revision > revision {
			return false
		}
	}
	return true
}

// handleHeartbeat notes that the parent is there, and moves on past revisions with nothing in this node's scopes.
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

// advanceByHeartbeat moves on to the revision of a heartbeat that follows what this node has.
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

// noteSourceAge notes how old the parent's configuration is, and whether it is behind this node's.
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

// handleGap answers a message that doesn't follow what this node has: it asks for what leads on from there.
func (n *Node) handleGap(parent *parentLink, now Microseconds) {
	n.counts.GapsSeen++
	n.host.Log(Event{Kind: EventGap, Peer: parent.peer, Version: n.store.version})
	n.requestRecovery(parent, now)
}

// handleWrongDigest answers changes or a snapshot that end in another digest than they should: nothing of them was
// applied, and as nothing tells where the fault is, only a snapshot helps.
func (n *Node) handleWrongDigest(parent *parentLink, now Microseconds) {
	n.counts.WrongDigests++
	n.host.Log(Event{Kind: EventWrongDigest, Peer: parent.peer, Version: n.store.version})
	n.contentInDoubt = true
	n.requestRecovery(parent, now)
}

// requestRecovery asks the parent anew, and leaves one that was asked maxRecoveries times without success.
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
