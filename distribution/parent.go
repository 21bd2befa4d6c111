package distribution

import "slices"

// parentLink is the link to this node's parent, or to a peer that was asked for a place. In parameters it is named parent
// where it is that of Node.parent, attempt where it is one of Node.attempts, and place where it may be either.
type parentLink struct {
	link           Link
	peer           string
	dialedAt       Microseconds
	connected      bool
	lastReceivedAt Microseconds // when the last message came

	subscribing      bool   // a Subscribe is sent and not answered; until it is, what comes answers an earlier one
	lastRequest      uint64 // number of the last Subscribe
	subscribeSentAt  Microseconds
	recoveryRequests int // requests after a gap or a wrong digest since a message last applied

	admittedAt       Microseconds
	lease            Microseconds // µs, as granted
	path             []string
	behind           bool         // the parent is older than this node
	behindSince      Microseconds // only if behind
	receivedMessages uint64       // since the admission
	unconfirmedBytes int          // received since the last Renew
}

func (n *Node) attemptByLink(link Link) *parentLink {
	for _, attempt := range n.attempts {
		if attempt.link == link {
			return attempt
		}
	}
	return nil
}

// parentOrAttempt gives the parent, or one that was asked to be it, by its link.
func (n *Node) parentOrAttempt(link Link) *parentLink {
	if n.parent != nil && n.parent.link == link {
		return n.parent
	}
	return n.attemptByLink(link)
}

// sendSubscribe asks for a place, or asks the parent anew for what is missing.
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

// handleAdmitted accepts a place that was granted, if it is the first or better than the one this node has.
func (n *Node) handleAdmitted(place *parentLink, m *Admitted, now Microseconds) {
	n.learnCandidates(m.Candidates, false)
	if m.Request != place.lastRequest {
		return // it answers an earlier request; what follows may be of other scopes
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

// isBetterPlace tells whether a place that was granted is better than the one this node has: not behind where the
// present one is, or with a source that was known to be current clearly later.
func (n *Node) isBetterPlace(m *Admitted, now Microseconds) bool {
	if n.isOlder(m.Version) || m.Age == NeverCurrent {
		return false
	}
	age := n.sourceAge(now)
	return n.parent.behind || age == NeverCurrent || m.Age < age/2
}

// adoptParent makes an attempt the parent, and ends the others.
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

// pathValid tells whether a parent with this path can be this node's: it isn't below this node, nor too deep.
func (n *Node) pathValid(path []string) bool {
	return len(path) > 0 && len(path) <= n.limits.MaxDepth && !slices.Contains(path, n.config.Name)
}

// setPath stores the parent's path, and tells the children at the next Tick if it is another.
func (n *Node) setPath(parent *parentLink, path []string, now Microseconds) {
	if slices.Equal(parent.path, path) {
		return
	}
	parent.path = path
	n.learnCandidates(path, false)
	n.scheduleHeartbeats(now)
}

// ownPath holds the names from the voter down to this node, which is the last.
func (n *Node) ownPath() []string {
	if n.parent == nil {
		return []string{n.config.Name}
	}
	return append(slices.Clone(n.parent.path), n.config.Name)
}

// checkParent leaves a parent that has sent nothing for a lease, or does not answer a request.
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

// leaveParent gives the parent up. What it sent stays in force.
func (n *Node) leaveParent(reason CloseReason, now Microseconds) {
	n.host.Close(n.parent.link, reason)
	n.loseParent(reason, now)
}

// loseParent goes on without a parent; the next dial comes soon, after a jitter. The link is closed already.
func (n *Node) loseParent(reason CloseReason, now Microseconds) {
	lost := n.parent
	n.parent = nil
	n.incomingSnapshot = nil
	n.counts.ParentsLost++
	n.host.Log(Event{Kind: EventParentLost, Peer: lost.peer, Version: n.store.version, CloseReason: reason})
	n.recordFailure(lost.peer, now)
	n.scheduleHeartbeats(now)
}

// parentLinkClosed handles the end of a link to a parent, or of an attempt to get one.
func (n *Node) parentLinkClosed(link Link, now Microseconds) {
	if attempt := n.attemptByLink(link); attempt != nil {
		n.attemptFailed(attempt, now)
		return
	}
	if n.parent != nil && n.parent.link == link {
		n.loseParent(0, now)
	}
}

// rejectConflict leaves one whose epoch was founded beside this node's.
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
