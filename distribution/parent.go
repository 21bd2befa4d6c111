package distribution

import "slices"

// parentLink is the link to this node's parent, or to a peer that this node asks for a place as its
// child. A parameter is named parent if it holds Node.parent, attempt if it holds an element of
// Node.attempts, and place if it may hold the parent or an attempt.
type parentLink struct {
	link           Link
	peer           string
	dialedAt       Microseconds
	connected      bool
	lastReceivedAt Microseconds // time of the most recent message; before the first message, time of the dial
	lastPieceAt    Microseconds // time of the most recent piece of a snapshot; 0 before the first piece

	subscribing      bool   // the last Subscribe is unanswered; messages before its answer belong to an older Subscribe
	lastRequest      uint64 // request number of the last Subscribe on this link
	subscribeSentAt  Microseconds
	recoveryRequests int // requests to recover from a gap or a wrong digest, since a message was last applied

	admittedAt       Microseconds
	lease            Microseconds // duration of the lease in µs, as granted by the parent
	path             []string     // names of the nodes from the voter down to the parent
	behind           bool         // the parent's version is older than this node's
	behindSince      Microseconds // time at which behind became true; used only while behind is true
	receivedMessages uint64       // messages from the parent since its last Admitted, including that Admitted
	unconfirmedBytes int          // bytes received from the parent since this node's last Renew
}

func (n *Node) attemptByLink(link Link) *parentLink {
	for _, attempt := range n.attempts {
		if attempt.link == link {
			return attempt
		}
	}
	return nil
}

// parentOrAttempt returns the parent or the attempt with a given link, or nil if no parent and no
// attempt has this link.
func (n *Node) parentOrAttempt(link Link) *parentLink {
	if n.parent != nil && n.parent.link == link {
		return n.parent
	}
	return n.attemptByLink(link)
}

// sendSubscribe asks a peer for a place, or the parent for the changes or the snapshot that this
// node is missing.
func (n *Node) sendSubscribe(place *parentLink, now Microseconds) {
	place.subscribing = true
	place.subscribeSentAt = now
	place.lastRequest++
	n.incomingSnapshot = nil
	request := &Subscribe{
		Name:         n.config.Name,
		Scopes:       n.config.Scopes,
		Version:      n.store.version,
		Digest:       n.store.digest,
		WantSnapshot: !n.contentComplete(),
		FanOut:       n.limits.FanOut,
		Request:      place.lastRequest,
	}
	if n.store.version.Before(n.config.Floor) {
		request.Version = n.config.Floor
		request.WantSnapshot = true
	}
	request.Version = n.faults.requestedVersion(request.Version)
	n.host.Send(place.link, request)
}

// handleAdmitted accepts a granted place if this node has no parent or the place is better than the
// current one. It also handles the parent's answer to a repeated Subscribe.
func (n *Node) handleAdmitted(place *parentLink, m *Admitted, now Microseconds) {
	n.learnCandidates(m.Candidates, false)
	if m.Request != place.lastRequest {
		return // this Admitted answers an earlier Subscribe; the messages that follow may be for other scopes
	}
	place.subscribing = false
	place.receivedMessages = 1
	place.unconfirmedBytes = m.Size()
	if n.conflictsWith(m.Version.Epoch) {
		n.rejectConflict(place, now)
		return
	}
	if !n.pathValid(m.Path) || n.hasChild(place.peer) {
		n.declinePlace(place, CloseLoop, now)
		return
	}
	if place != n.parent {
		if n.parent != nil && !n.isBetterPlace(m, now) {
			n.declinePlace(place, CloseNotChosen, now)
			return
		}
		n.adoptParent(place, now)
	}
	place.lease = m.Lease
	n.setPath(place, m.Path, now)
	n.noteSourceAge(place, m.Version, m.Age, now)
}

// isBetterPlace reports whether a granted place is better than the current one. The new parent must
// not be behind this node and must have known its source to be current. The place is better if the
// current parent is behind, if this node has never known its source to be current, or if the age of
// the new parent's configuration is less than half of the age of this node's configuration.
func (n *Node) isBetterPlace(m *Admitted, now Microseconds) bool {
	if n.isOlder(m.Version) || m.Age == NeverCurrent {
		return false
	}
	age := n.sourceAge(now)
	return n.parent.behind || age == NeverCurrent || m.Age < age/2
}

// adoptParent makes the peer of an attempt the parent, leaves the previous parent and closes the
// other attempts.
func (n *Node) adoptParent(place *parentLink, now Microseconds) {
	if n.parent != nil {
		n.leaveParent(CloseOutdatedParent, now)
	}
	n.removeAttempt(place)
	for _, other := range n.attempts {
		n.host.Close(other.link, CloseNotChosen)
	}
	n.attempts = nil
	n.parent = place
	place.admittedAt = now
	n.consecutiveRefusals = 0
	n.host.Log(Event{Kind: EventAdmitted, Peer: place.peer, Version: n.store.version})
	n.scheduleHeartbeats(now)
}

// pathValid reports whether a parent with this path is allowed: the path is not empty, has at most
// MaxDepth names, and does not contain this node, which would close a loop.
func (n *Node) pathValid(path []string) bool {
	return len(path) > 0 && len(path) <= n.limits.MaxDepth && !slices.Contains(path, n.config.Name)
}

// setPath stores the parent's path. If the path has changed, a heartbeat with the new path to each
// child becomes due at the next Tick.
func (n *Node) setPath(parent *parentLink, path []string, now Microseconds) {
	if slices.Equal(parent.path, path) {
		return
	}
	parent.path = path
	n.learnCandidates(path, false)
	n.scheduleHeartbeats(now)
}

// ownPath returns the names from the voter down to this node, which is the last.
func (n *Node) ownPath() []string {
	if n.parent == nil {
		return []string{n.config.Name}
	}
	return append(slices.Clone(n.parent.path), n.config.Name)
}

// checkParent leaves a parent that has sent nothing for the shorter of the granted lease and
// Limits.Lease, or has not answered a request within Limits.Handshake.
func (n *Node) checkParent(now Microseconds) {
	parent := n.parent
	if parent == nil {
		return
	}
	lease := n.limits.Lease
	if parent.lease > 0 {
		lease = min(lease, parent.lease)
	}
	switch {
	case now-parent.lastReceivedAt >= lease:
		n.leaveParent(CloseSilent, now)
	case parent.subscribing && now-parent.subscribeSentAt >= n.limits.Handshake:
		n.leaveParent(CloseTimedOut, now)
	}
}

// leaveParent closes the link to the parent. The configuration received from it stays in force.
func (n *Node) leaveParent(reason CloseReason, now Microseconds) {
	n.host.Close(n.parent.link, reason)
	n.loseParent(reason, now)
}

// loseParent removes the parent, whose link is closed already. The next dial follows after a random
// part of the backoff.
func (n *Node) loseParent(reason CloseReason, now Microseconds) {
	lost := n.parent
	n.parent = nil
	n.incomingSnapshot = nil
	n.counts.ParentsLost++
	n.host.Log(Event{Kind: EventParentLost, Peer: lost.peer, Version: n.store.version, CloseReason: reason})
	n.recordFailure(lost.peer, now)
	n.scheduleHeartbeats(now)
}

// parentLinkClosed handles the end of the link to the parent or to the peer of an attempt.
func (n *Node) parentLinkClosed(link Link, now Microseconds) {
	if attempt := n.attemptByLink(link); attempt != nil {
		n.attemptFailed(attempt, now)
		return
	}
	if n.parent != nil && n.parent.link == link {
		n.loseParent(0, now)
	}
}

// rejectConflict closes the link to a peer whose epoch has the same number as this node's and
// another identity: the two records were created independently. The peer is not dialled for
// MaxRetryAfter.
func (n *Node) rejectConflict(place *parentLink, now Microseconds) {
	n.host.Log(Event{Kind: EventEpochConflict, Peer: place.peer, Version: n.store.version})
	n.avoidUntil(place.peer, now+n.limits.MaxRetryAfter)
	if place == n.parent {
		n.leaveParent(CloseConflict, now)
		return
	}
	n.host.Close(place.link, CloseConflict)
	n.attemptFailed(place, now)
}
