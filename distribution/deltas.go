package distribution

// heartbeatsPerProposal is the number of heartbeats from one with candidates to the next.
const heartbeatsPerProposal = 16

// sendToChild puts a message on a child's link and counts it as unconfirmed.
func (n *Node) sendToChild(c *child, m Message) {
	size := m.Size()
	c.unconfirmedSizes = append(c.unconfirmedSizes, size)
	c.unconfirmedBytes += size
	n.host.Send(c.link, m)
}

// sendDeltasToAll sends every child what it lacks.
func (n *Node) sendDeltasToAll(now Microseconds) {
	for _, child := range n.children {
		n.sendDeltas(child, now)
	}
	n.startSnapshots(now)
}

// sendDeltas sends a child the deltas that it lacks, as far as its window allows, and tells whether everything is sent.
// Nothing is queued for a child: what it has yet to get is what the log holds after the version sent to it, and if the
// log drops that, a snapshot follows.
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

// isBehind tells whether this node has yet to get what a child at a version has.
func (n *Node) isBehind(version Version) bool { return n.store.version.Before(version) }

// scheduleHeartbeats has every child get a heartbeat with the next Tick.
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

// sendHeartbeat tells a child that this node is there. If the child has got everything, it moves the child on to this
// node's revision.
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
