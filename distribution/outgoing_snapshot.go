package distribution

// outgoingSnapshot is a snapshot that is being sent to a child. It holds the entries that the store
// had when the snapshot began.
type outgoingSnapshot struct {
	version   Version
	horizon   uint64
	digest    Digest       // digest of all entries of the snapshot
	entries   []Entry      // entries that are not sent yet
	nextIndex int          // index of the next piece to send
	bytesLeft int          // estimated size in bytes of the entries that are not sent yet
	pieceAt   Microseconds // time of the last piece; before the first piece, time of the beginning
}

// microsecondsPerSecond converts between bytes and credit, which is counted in millionths of a
// byte: a rate of one byte per second adds one unit of credit per microsecond.
const microsecondsPerSecond = second

// creditsPerSecond bounds the unused credit: it is at most the bytes that the rate permits in
// 1/creditsPerSecond seconds or the size of one piece, whichever is more.
const creditsPerSecond = 4

// emptyPieceDivisor determines the longest wait of a snapshot for credit without a piece: MaxStaleness
// divided by emptyPieceDivisor.
const emptyPieceDivisor = 4

// snapshotsPending counts the snapshots that are under way or due. A child that waits for a
// snapshot does not count while the child is ahead of this node.
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

// startSnapshots begins snapshots for waiting children, in the order of their admission, up to
// Limits.MaxSnapshots under way at the same time.
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
		child.snapshot = n.newOutgoingSnapshot(child.scopes, now)
		underWay++
	}
	n.sendSnapshotPieces(now)
}

// newOutgoingSnapshot returns a snapshot of the current entries of some scopes.
func (n *Node) newOutgoingSnapshot(scopes Scopes, now Microseconds) *outgoingSnapshot {
	entries := n.store.collect(scopes, true)
	return &outgoingSnapshot{
		version:   n.store.version,
		horizon:   n.store.tombstones.horizon,
		digest:    n.store.digestFor(scopes),
		entries:   entries,
		bytesLeft: entriesSize(entries),
		pieceAt:   now,
	}
}

// snapshotTimeLeft estimates the time in µs until the snapshots under way are completely sent.
func (n *Node) snapshotTimeLeft() Microseconds {
	bytesLeft := 0
	for _, child := range n.children {
		if child.snapshot != nil {
			bytesLeft += child.snapshot.bytesLeft
		}
	}
	return int64(bytesLeft) * microsecondsPerSecond / int64(max(n.limits.SnapshotBytesPerSecond, 1))
}

// refillSnapshotCredit adds the credit for the time since the last refill. The resulting credit is
// at most the size of one piece or the bytes that the rate permits in 1/creditsPerSecond seconds,
// whichever is more.
func (n *Node) refillSnapshotCredit(now Microseconds) {
	pace := int64(n.limits.SnapshotBytesPerSecond)
	bound := max(int64(n.limits.PieceBytes), pace/creditsPerSecond) * microsecondsPerSecond
	// More than one second would add little or no credit, as the credit is bounded, and the product
	// of a longer time and the rate could overflow.
	elapsed := min(now-n.creditRefilledAt, second)
	n.snapshotCredit = min(n.snapshotCredit+elapsed*pace, bound)
	n.creditRefilledAt = now
}

// sendSnapshotPieces sends pieces of the snapshots under way, one child after the other, while the
// credit is above zero. The last piece may take the credit below zero.
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

// sendSnapshotPiece sends the next piece of a child's snapshot, and finishes the snapshot after the
// last piece.
func (n *Node) sendSnapshotPiece(c *child, now Microseconds) {
	snapshot := c.snapshot
	piece := snapshot.nextPiece(now)
	piece.Entries, snapshot.entries = splitEntries(snapshot.entries, n.limits.PieceBytes)
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

// sendEmptyPieces sends a piece without entries to each child whose snapshot has waited for credit
// for long: a large entry takes the credit far below zero, and a child that gets no piece for its
// Limits.MaxStaleness looks for another parent, where the snapshot would begin anew.
func (n *Node) sendEmptyPieces(now Microseconds) {
	for _, child := range n.children {
		snapshot := child.snapshot
		if snapshot == nil || child.unconfirmedBytes >= n.limits.Window ||
			now-snapshot.pieceAt < n.limits.MaxStaleness/emptyPieceDivisor {
			continue
		}
		n.sendToChild(child, snapshot.nextPiece(now))
	}
}

// nextPiece returns the next piece of a snapshot, without entries.
func (s *outgoingSnapshot) nextPiece(now Microseconds) *SnapshotPiece {
	piece := &SnapshotPiece{Version: s.version, Index: s.nextIndex}
	s.nextIndex++
	s.pieceAt = now
	return piece
}

// finishSnapshot ends a snapshot whose last piece was sent, sends the child the deltas that follow
// the version of the snapshot, and starts the next snapshot.
func (n *Node) finishSnapshot(c *child, now Microseconds) {
	c.sentVersion = c.snapshot.version
	c.snapshot = nil
	n.counts.SnapshotsSent++
	n.host.Log(Event{Kind: EventSnapshotSent, Peer: c.name, Version: c.sentVersion})
	n.sendDeltas(c, now)
	n.startSnapshots(now)
}

// splitEntries splits entries into a first part and the rest. The first part is as long as possible
// with at most maxBytes, but has at least one entry.
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
