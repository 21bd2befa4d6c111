package distribution

// heartbeatsPerProposal is the interval, in heartbeats to one child, at which a heartbeat contains
// candidates.
const heartbeatsPerProposal = 16

// sendToChild sends a message on a child's link and counts its size as unconfirmed.
func (n *Node) sendToChild(c *child, m Message) {
	size := m.Size()
	c.unconfirmedSizes = append(c.unconfirmedSizes, size)
	c.unconfirmedBytes += size
	n.host.Send(c.link, m)
}

// sendDeltasToAll sends every child the deltas that it lacks, and starts the snapshots that are
// due.
func (n *Node) sendDeltasToAll(now Microseconds) {
	for _, child := range n.children {
		n.sendDeltas(child, now)
	}
	n.startSnapshots(now)
}

// sendDeltas sends a child the deltas that the child lacks, as far as its window allows, and
// reports whether it has sent all of them. A child has no queue of deltas: the next delta is
// computed from the log, or from the entries, after the version that was last sent to the child. A
// child gets a snapshot if neither the log nor the entries and tombstones reach back to its
// version, or if the changed entries are larger than one batch.
func (n *Node) sendDeltas(c *child, now Microseconds) (allSent bool) {
	for !c.awaitsSnapshot && c.snapshot == nil && !n.isBehind(c.sentVersion) && c.unconfirmedBytes < n.limits.Window {
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

// isBehind reports whether this node holds an older version than a child that holds the given
// version.
func (n *Node) isBehind(version Version) bool { return n.store.version.Before(version) }

// scheduleHeartbeats makes a heartbeat to every child due at the next Tick.
func (n *Node) scheduleHeartbeats(now Microseconds) {
	for _, child := range n.children {
		child.nextHeartbeatAt = now
	}
}

// sendDueHeartbeats sends the heartbeats that are due.
func (n *Node) sendDueHeartbeats(now Microseconds) {
	for _, child := range n.children {
		if now >= child.nextHeartbeatAt {
			n.sendHeartbeat(child, now)
		}
	}
}

// sendHeartbeat sends a heartbeat to a child. If the child has been sent all deltas, the heartbeat
// advances the child to the revision of this node.
func (n *Node) sendHeartbeat(c *child, now Microseconds) {
	c.nextHeartbeatAt = now + n.limits.Heartbeat
	heartbeat := &Heartbeat{Source: n.store.version, Path: n.ownPath(), Age: n.sourceAge(now)}
	if c.heartbeatsSent%heartbeatsPerProposal == 0 {
		heartbeat.Candidates = n.proposeCandidates(&Subscribe{Name: c.name, Scopes: c.scopes})
	}
	c.heartbeatsSent++
	if n.sendDeltas(c, now) {
		heartbeat.Epoch = n.store.version.Epoch
		heartbeat.Previous = c.sentVersion.Revision
		heartbeat.Revision = n.store.version.Revision
		heartbeat.Digest = n.store.digestFor(c.scopes)
		c.sentVersion = n.store.version
	}
	n.sendToChild(c, heartbeat)
}
