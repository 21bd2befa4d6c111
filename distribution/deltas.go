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

// sendDeltas sends a child the deltas that it lacks, as far as its window allows, and reports
// whether all are sent. There is no queue per child: its next delta is computed from the log and
// the entries after the version last sent to it. A child gets a snapshot if the log and the entries
// no longer cover its version.
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

// isBehind reports whether this node holds an older version than a child at the given version.
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

// sendHeartbeat sends a heartbeat to a child. If all deltas are sent, the heartbeat advances the
// child to the revision of this node.
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
