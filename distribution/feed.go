package distribution

// outgoing is a snapshot under way to a child: the entries as they were when it began.
type outgoing struct {
	version Version
	horizon uint64
	digest  Digest
	entries []Entry
	index   int // of the next piece
	left    int // bytes of the entries not sent yet
}

// microsecondsPerSecond turns a pace in bytes a second into one in millionths of a byte a microsecond.
const microsecondsPerSecond = second

// creditsPerSecond divides the pace into the credit that may gather.
const creditsPerSecond = 4

// send puts a message on a child's link and counts it as under way.
func (n *Node) send(c *child, m Message) {
	size := m.Size()
	c.unconfirmed = append(c.unconfirmed, size)
	c.underWay += size
	n.host.Send(c.link, m)
}

// feedAll sends every child what it lacks.
func (n *Node) feedAll(now int64) {
	for _, c := range n.children {
		n.feed(c, now)
	}
	n.startSnapshots(now)
}

// feed sends a child the deltas that it lacks, as far as its window allows, and tells whether everything is sent.
// Nothing is queued for a child: what it has yet to get is what the log holds after the version sent to it, and if the log
// drops that, a snapshot follows.
func (n *Node) feed(c *child, now int64) (all bool) {
	for !c.needs && c.snapshot == nil && !n.ahead(c) && c.underWay < n.limits.Window {
		delta, possible := n.store.deltaFrom(c.sent, c.scopes, n.limits.BatchBytes)
		if !possible {
			c.needs = true
			n.startSnapshots(now)
			return false
		}
		if delta == nil {
			return true
		}
		n.send(c, delta)
		n.counts.DeltasSent++
		c.sent.Revision = delta.Revision
	}
	return false
}

// ahead tells whether a child has what this node has yet to get.
func (n *Node) ahead(c *child) bool { return n.store.version.Before(c.sent) }

// snapshotsDue counts the snapshots under way and those that children wait for.
func (n *Node) snapshotsDue() int {
	due := 0
	for _, c := range n.children {
		if c.needs && !n.ahead(c) || c.snapshot != nil {
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
		if underWay >= n.limits.Snapshots {
			return
		}
		if !c.needs || n.ahead(c) {
			continue
		}
		c.needs = false
		c.snapshot = n.takeSnapshot(c.scopes)
		underWay++
	}
	n.sendPieces(now)
}

// takeSnapshot keeps what some scopes hold now.
func (n *Node) takeSnapshot(scopes Scopes) *outgoing {
	entries := n.store.collect(scopes, true)
	return &outgoing{
		version: n.store.version,
		horizon: n.store.graves.horizon,
		digest:  n.store.digestFor(scopes),
		entries: entries,
		left:    entriesSize(entries),
	}
}

// snapshotsLeft estimates the µs until the snapshots under way are sent.
func (n *Node) snapshotsLeft() int64 {
	left := 0
	for _, c := range n.children {
		if c.snapshot != nil {
			left += c.snapshot.left
		}
	}
	return int64(left) * microsecondsPerSecond / int64(max(n.limits.PaceBytes, 1))
}

// refill lets the credit of the snapshots grow with time, up to a piece or a part of a second.
func (n *Node) refill(now int64) {
	pace := int64(n.limits.PaceBytes)
	most := max(int64(n.limits.PieceBytes), pace/creditsPerSecond) * microsecondsPerSecond
	passed := min(now-n.refilledAt, second) // more adds nothing, and could overflow after a long pause
	n.credit = min(n.credit+passed*pace, most)
	n.refilledAt = now
}

// sendPieces sends pieces of the snapshots under way in turn, while there is credit. A piece may overdraw it.
func (n *Node) sendPieces(now int64) {
	idle := 0
	for n.credit > 0 && idle < len(n.children) {
		n.turn = (n.turn + 1) % len(n.children)
		c := n.children[n.turn]
		if c.snapshot == nil || c.underWay >= n.limits.Window {
			idle++
			continue
		}
		idle = 0
		n.sendPiece(c, now)
	}
}

// sendPiece sends the next piece of a child's snapshot.
func (n *Node) sendPiece(c *child, now int64) {
	s := c.snapshot
	piece := &SnapshotPiece{Version: s.version, Index: s.index}
	piece.Entries, s.entries = split(s.entries, n.limits.PieceBytes)
	s.index++
	s.left -= entriesSize(piece.Entries)
	if len(s.entries) == 0 {
		piece.Last, piece.Horizon, piece.Digest = true, s.horizon, s.digest
	}
	n.credit -= int64(piece.Size()) * microsecondsPerSecond
	n.send(c, piece)
	if piece.Last {
		n.snapshotSent(c, now)
	}
}

// snapshotSent goes on with deltas after a snapshot, and lets the next begin.
func (n *Node) snapshotSent(c *child, now int64) {
	c.sent, c.snapshot = c.snapshot.version, nil
	n.counts.SnapshotsSent++
	n.host.Log(Event{Kind: EventSnapshotSent, Peer: c.name, Version: c.sent})
	n.feed(c, now)
	n.startSnapshots(now)
}

// split takes as many entries off the front as fit a number of bytes, and at least one.
func split(entries []Entry, most int) (first, rest []Entry) {
	size := 0
	for i, e := range entries {
		size += e.size()
		if i > 0 && size > most {
			return entries[:i], entries[i:]
		}
	}
	return entries, nil
}

// beat sends the heartbeats that are due.
func (n *Node) beat(now int64) {
	for _, c := range n.children {
		if now >= c.beatAt {
			n.heartbeat(c, now)
		}
	}
}

// heartbeat tells a child that this node is there. If the child has got everything, it moves the child on to this
// node's revision.
func (n *Node) heartbeat(c *child, now int64) {
	c.beatAt = now + n.limits.Heartbeat
	m := &Heartbeat{Source: n.store.version, Path: n.path(), Age: n.age(now)}
	if c.beats%proposeEvery == 0 {
		m.Candidates = n.propose(&Subscribe{Name: c.name, Scopes: c.scopes})
	}
	c.beats++
	if n.feed(c, now) {
		m.Epoch, m.Previous, m.Revision = n.store.version.Epoch, c.sent.Revision, n.store.version.Revision
		m.Digest = n.store.digestFor(c.scopes)
		c.sent = n.store.version
	}
	n.send(c, m)
}
