package distribution

// outgoingSnapshot is a snapshot under way to a child: the entries as they were when it began.
type outgoingSnapshot struct {
	version   Version
	horizon   uint64
	digest    Digest
	entries   []Entry
	nextIndex int // of the next piece
	bytesLeft int // bytes of the entries not sent yet
}

// microsecondsPerSecond turns a pace in bytes a second into one in millionths of a byte a microsecond.
const microsecondsPerSecond = second

// creditsPerSecond divides the pace into the credit that may gather.
const creditsPerSecond = 4

// sendToChild puts a message on a child's link and counts it as under way.
func (n *Node) sendToChild(c *child, m Message) {
	size := m.Size()
	c.unconfirmedSizes = append(c.unconfirmedSizes, size)
	c.unconfirmedBytes += size
	n.host.Send(c.link, m)
}

// sendDeltasToAll sends every child what it lacks.
func (n *Node) sendDeltasToAll(now int64) {
	for _, c := range n.children {
		n.sendDeltas(c, now)
	}
	n.startSnapshots(now)
}

// sendDeltas sends a child the deltas that it lacks, as far as its window allows, and tells whether everything is sent.
// Nothing is queued for a child: what it has yet to get is what the log holds after the version sent to it, and if the log
// drops that, a snapshot follows.
func (n *Node) sendDeltas(c *child, now int64) (all bool) {
	for !c.awaitsSnapshot && c.snapshot == nil && !n.isNewerThanOwn(c) && c.unconfirmedBytes < n.limits.Window {
		delta, possible := n.store.deltaFrom(c.sentVersion, c.scopes, n.limits.BatchBytes)
		if !possible {
			c.awaitsSnapshot = true
			n.startSnapshots(now)
			return false
		}
		if delta == nil {
			return true
		}
		n.sendToChild(c, delta)
		n.counts.DeltasSent++
		c.sentVersion.Revision = delta.Revision
	}
	return false
}

// isNewerThanOwn tells whether a child has what this node has yet to get.
func (n *Node) isNewerThanOwn(c *child) bool { return n.store.version.Before(c.sentVersion) }

// snapshotsPending counts the snapshots under way and those that children wait for.
func (n *Node) snapshotsPending() int {
	due := 0
	for _, c := range n.children {
		if c.awaitsSnapshot && !n.isNewerThanOwn(c) || c.snapshot != nil {
			due++
		}
	}
	return due
}

// startSnapshots begins snapshots for children that wait, in the order of their admission, as many as may be under
// way.
func (n *Node) startSnapshots(now int64) {
	underWay := 0
	for _, c := range n.children {
		if c.snapshot != nil {
			underWay++
		}
	}
	for _, c := range n.children {
		if underWay >= n.limits.MaxSnapshots {
			return
		}
		if !c.awaitsSnapshot || n.isNewerThanOwn(c) {
			continue
		}
		c.awaitsSnapshot = false
		c.snapshot = n.newOutgoingSnapshot(c.scopes)
		underWay++
	}
	n.sendSnapshotPieces(now)
}

// newOutgoingSnapshot keeps what some scopes hold now.
func (n *Node) newOutgoingSnapshot(scopes Scopes) *outgoingSnapshot {
	entries := n.store.collect(scopes, true)
	return &outgoingSnapshot{
		version:   n.store.version,
		horizon:   n.store.tombstones.horizon,
		digest:    n.store.digestFor(scopes),
		entries:   entries,
		bytesLeft: entriesSize(entries),
	}
}

// snapshotTimeLeft estimates the µs until the snapshots under way are sent.
func (n *Node) snapshotTimeLeft() int64 {
	left := 0
	for _, c := range n.children {
		if c.snapshot != nil {
			left += c.snapshot.bytesLeft
		}
	}
	return int64(left) * microsecondsPerSecond / int64(max(n.limits.SnapshotBytesPerSecond, 1))
}

// refillSnapshotCredit lets the credit of the snapshots grow with time, up to a piece or a part of a second.
func (n *Node) refillSnapshotCredit(now int64) {
	pace := int64(n.limits.SnapshotBytesPerSecond)
	most := max(int64(n.limits.PieceBytes), pace/creditsPerSecond) * microsecondsPerSecond
	passed := min(now-n.creditRefilledAt, second) // more adds nothing, and could overflow after a long pause
	n.snapshotCredit = min(n.snapshotCredit+passed*pace, most)
	n.creditRefilledAt = now
}

// sendSnapshotPieces sends pieces of the snapshots under way in turn, while there is credit. A piece may overdraw it.
func (n *Node) sendSnapshotPieces(now int64) {
	idle := 0
	for n.snapshotCredit > 0 && idle < len(n.children) {
		n.lastServedChild = (n.lastServedChild + 1) % len(n.children)
		c := n.children[n.lastServedChild]
		if c.snapshot == nil || c.unconfirmedBytes >= n.limits.Window {
			idle++
			continue
		}
		idle = 0
		n.sendSnapshotPiece(c, now)
	}
}

// sendSnapshotPiece sends the next piece of a child's snapshot.
func (n *Node) sendSnapshotPiece(c *child, now int64) {
	s := c.snapshot
	piece := &SnapshotPiece{Version: s.version, Index: s.nextIndex}
	piece.Entries, s.entries = splitEntries(s.entries, n.limits.PieceBytes)
	s.nextIndex++
	s.bytesLeft -= entriesSize(piece.Entries)
	if len(s.entries) == 0 {
		piece.Last, piece.Horizon, piece.Digest = true, s.horizon, s.digest
	}
	n.snapshotCredit -= int64(piece.Size()) * microsecondsPerSecond
	n.sendToChild(c, piece)
	if piece.Last {
		n.finishSnapshot(c, now)
	}
}

// finishSnapshot goes on with deltas after a snapshot, and lets the next begin.
func (n *Node) finishSnapshot(c *child, now int64) {
	c.sentVersion, c.snapshot = c.snapshot.version, nil
	n.counts.SnapshotsSent++
	n.host.Log(Event{Kind: EventSnapshotSent, Peer: c.name, Version: c.sentVersion})
	n.sendDeltas(c, now)
	n.startSnapshots(now)
}

// splitEntries takes as many entries off the front as fit a number of bytes, and at least one.
func splitEntries(entries []Entry, most int) (first, rest []Entry) {
	size := 0
	for i, e := range entries {
		size += e.size()
		if i > 0 && size > most {
			return entries[:i], entries[i:]
		}
	}
	return entries, nil
}

// sendDueHeartbeats sends the heartbeats that are due.
func (n *Node) sendDueHeartbeats(now int64) {
	for _, c := range n.children {
		if now >= c.nextHeartbeatAt {
			n.sendHeartbeat(c, now)
		}
	}
}

// sendHeartbeat tells a child that this node is there. If the child has got everything, it moves the child on to this
// node's revision.
func (n *Node) sendHeartbeat(c *child, now int64) {
	c.nextHeartbeatAt = now + n.limits.Heartbeat
	m := &Heartbeat{Source: n.store.version, Path: n.ownPath(), Age: n.sourceAge(now)}
	if c.heartbeatsSent%heartbeatsPerProposal == 0 {
		m.Candidates = n.proposeCandidates(&Subscribe{Name: c.name, Scopes: c.scopes})
	}
	c.heartbeatsSent++
	if n.sendDeltas(c, now) {
		m.Epoch, m.Previous, m.Revision = n.store.version.Epoch, c.sentVersion.Revision, n.store.version.Revision
		m.Digest = n.store.digestFor(c.scopes)
		c.sentVersion = n.store.version
	}
	n.sendToChild(c, m)
}
