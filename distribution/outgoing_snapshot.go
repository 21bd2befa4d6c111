package distribution

// outgoingSnapshot is a snapshot under way to a child: the entries as they were when it began.
type outgoingSnapshot struct {
	version   Version
	horizon   uint64
	digest    Digest  // of all its entries
	entries   []Entry // not sent yet
	nextIndex int     // of the next piece
	bytesLeft int     // of the entries not sent yet
}

// microsecondsPerSecond turns a pace in bytes a second into one in millionths of a byte a microsecond.
const microsecondsPerSecond = second

// creditsPerSecond divides the pace into the credit that may gather.
const creditsPerSecond = 4

// snapshotsPending counts the snapshots under way and those that children wait for.
func (n *Node) snapshotsPending() int {
	pending := 0
	for _, child := range n.children {
		waiting := child.awaitsSnapshot && !n.isBehind(child.sentVersion)
		if waiting || child.snapshot != nil {
			pending++
		}
	}
	return pending
}

// startSnapshots begins snapshots for children that wait, in the order of their admission, as many as may be under
// way.
func (n *Node) startSnapshots(now Microseconds) {
	underWay := 0
	for _, child := range n.children {
		if child.snapshot != nil {
			underWay++
		}
	}
	for _, child := range n.children {
		if underWay >= n.limits.MaxSnapshots {
			return
		}
		if !child.awaitsSnapshot || n.isBehind(child.sentVersion) {
			continue
		}
		child.awaitsSnapshot = false
		child.snapshot = n.newOutgoingSnapshot(child.scopes)
		underWay++
	}
	n.sendSnapshotPieces(now)
}

// newOutgoingSnapshot holds what some scopes have now.
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
func (n *Node) snapshotTimeLeft() Microseconds {
	bytesLeft := 0
	for _, child := range n.children {
		if child.snapshot != nil {
			bytesLeft += child.snapshot.bytesLeft
		}
	}
	return int64(bytesLeft) * microsecondsPerSecond / int64(max(n.limits.SnapshotBytesPerSecond, 1))
}

// refillSnapshotCredit lets the credit of the snapshots grow with time, up to a piece or a part of a second.
func (n *Node) refillSnapshotCredit(now Microseconds) {
	pace := int64(n.limits.SnapshotBytesPerSecond)
	bound := max(int64(n.limits.PieceBytes), pace/creditsPerSecond) * microsecondsPerSecond
	passed := min(now-n.creditRefilledAt, second) // more adds nothing, and could overflow after a long pause
	n.snapshotCredit = min(n.snapshotCredit+passed*pace, bound)
	n.creditRefilledAt = now
}

// sendSnapshotPieces sends pieces of the snapshots under way in turn, while there is credit. A piece may overdraw it.
func (n *Node) sendSnapshotPieces(now Microseconds) {
	idle := 0
	for n.snapshotCredit > 0 && idle < len(n.children) {
		n.lastServedChild = (n.lastServedChild + 1) % len(n.children)
		child := n.children[n.lastServedChild]
		if child.snapshot == nil || child.unconfirmedBytes >= n.limits.Window {
			idle++
			continue
		}
		idle = 0
		n.sendSnapshotPiece(child, now)
	}
}

// sendSnapshotPiece sends the next piece of a child's snapshot.
func (n *Node) sendSnapshotPiece(c *child, now Microseconds) {
	snapshot := c.snapshot
	piece := &SnapshotPiece{Version: snapshot.version, Index: snapshot.nextIndex}
	piece.Entries, snapshot.entries = splitEntries(snapshot.entries, n.limits.PieceBytes)
	snapshot.nextIndex++
	snapshot.bytesLeft -= entriesSize(piece.Entries)
	if len(snapshot.entries) == 0 {
		piece.Last = true
		piece.Horizon = snapshot.horizon
		piece.Digest = snapshot.digest
	}
	n.snapshotCredit -= int64(piece.Size()) * microsecondsPerSecond
	n.sendToChild(c, piece)
	if piece.Last {
		n.finishSnapshot(c, now)
	}
}

// finishSnapshot goes on with deltas after a snapshot, and lets the next snapshot begin.
func (n *Node) finishSnapshot(c *child, now Microseconds) {
	c.sentVersion = c.snapshot.version
	c.snapshot = nil
	n.counts.SnapshotsSent++
	n.host.Log(Event{Kind: EventSnapshotSent, Peer: c.name, Version: c.sentVersion})
	n.sendDeltas(c, now)
	n.startSnapshots(now)
}

// splitEntries takes as many entries off the front as take no more than a number of bytes, and at least one.
func splitEntries(entries []Entry, maxBytes int) (first, rest []Entry) {
	size := 0
	for i, entry := range entries {
		size += entry.size()
		if i > 0 && size > maxBytes {
			return entries[:i], entries[i:]
		}
	}
	return entries, nil
}
