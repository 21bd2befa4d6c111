package distribution

import "slices"

// refusalsPerBackoff is how many refusals lengthen the wait like one failure: being sent down a tree is no failure.
const refusalsPerBackoff = 3

func (n *Node) attemptByLink(link Link) *parentLink {
	for _, u := range n.attempts {
		if u.link == link {
			return u
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

// maxAttempts bounds the parents that are asked for a place at once. Two may be silent behind the same cut.
const maxAttempts = 3

// seekParent dials a possible parent where one is needed, and further ones beside those that take long.
func (n *Node) seekParent(now int64) {
	if n.config.Voter || !n.needsParent(now) {
		return
	}
	asked := len(n.attempts)
	switch {
	case asked == 0:
		if now >= n.nextDialAt {
			n.dialCandidate(now)
		}
	case n.parent == nil && asked < maxAttempts && now-n.attempts[asked-1].dialedAt >= n.limits.HedgeDelay:
		n.dialCandidate(now)
	}
}

// needsParent tells whether this node has no parent, or one that has been behind or without a current source for too long.
func (n *Node) needsParent(now int64) bool {
	u := n.parent
	if u == nil {
		return true
	}
	if u.behind && now-u.behindSince >= n.limits.MaxStaleness {
		return true
	}
	good := u.admittedAt
	if n.sourceEverCurrent {
		good = max(good, n.sourceCurrentAt)
	}
	if n.incomingSnapshot != nil {
		good = max(good, n.incomingSnapshot.progressAt)
	}
	return now-good >= n.limits.MaxStaleness
}

// dialCandidate tries one of the candidates, if there is one that may be tried now.
func (n *Node) dialCandidate(now int64) {
	peer := n.pickCandidate(now)
	if peer == "" {
		return
	}
	u := &parentLink{link: n.newLink(), peer: peer, dialedAt: now, lastReceivedAt: now}
	n.attempts = append(n.attempts, u)
	n.counts.Dials++
	n.host.Dial(peer, u.link)
}

// DialFailed says that a dial has not succeeded; the link is gone.
func (n *Node) DialFailed(link Link, now int64) { n.parentLinkClosed(link, now) }

// parentLinkClosed handles the end of a link to a parent, or of an attempt to get one.
func (n *Node) parentLinkClosed(link Link, now int64) {
	if u := n.attemptByLink(link); u != nil {
		n.attemptFailed(u, now)
		return
	}
	if n.parent != nil && n.parent.link == link {
		n.loseParent(0, now)
	}
}

// attemptFailed puts off the next attempt, at this peer and at all. The link is closed already.
func (n *Node) attemptFailed(u *parentLink, now int64) {
	n.removeAttempt(u)
	n.recordFailure(u.peer, now)
}

func (n *Node) removeAttempt(u *parentLink) {
	n.attempts = slices.DeleteFunc(n.attempts, func(other *parentLink) bool { return other == u })
}

// handleAdmitted takes a place that was granted, if it is the first or better than the one this node has.
func (n *Node) handleAdmitted(u *parentLink, m *Admitted, now int64) {
	n.learnCandidates(m.Candidates, false)
	if m.Request != u.lastRequest {
		return // it answers an earlier request; what follows may be of other scopes
	}
	u.subscribing, u.receivedMessages, u.unconfirmedBytes = false, 1, m.Size()
	if n.conflictsWith(m.Version.Epoch) {
		n.rejectConflict(u, now)
		return
	}
	if !n.pathValid(m.Path) || n.hasChild(u.peer) {
		n.declinePlace(u, CloseLoop, now)
		return
	}
	if u != n.parent {
		if n.parent != nil && !n.isBetterPlace(m, now) {
			n.declinePlace(u, CloseNotChosen, now)
			return
		}
		n.adoptParent(u, now)
	}
	u.lease = m.Lease
	n.setPath(u, m.Path, now)
	n.noteSourceAge(u, m.Version, m.Age, now)
}

// isBetterPlace tells whether a place that was granted is better than the one this node has: not behind where the present
// one is, or with a source that was known to be current clearly later.
func (n *Node) isBetterPlace(m *Admitted, now int64) bool {
	if n.isOlder(m.Version) || m.Age == NeverCurrent {
		return false
	}
	age := n.sourceAge(now)
	return n.parent.behind || age == NeverCurrent || m.Age < age/2
}

// adoptParent makes an attempt the parent, and ends the others.
func (n *Node) adoptParent(u *parentLink, now int64) {
	if n.parent != nil {
		n.leaveParent(CloseBetterParent, now)
	}
	n.removeAttempt(u)
	for _, other := range n.attempts {
		n.host.Close(other.link, CloseNotChosen)
	}
	n.attempts = nil
	n.parent, u.admittedAt = u, now
	n.consecutiveRefusals = 0
	n.host.Log(Event{Kind: EventAdmitted, Peer: u.peer, Version: n.store.version})
	n.scheduleHeartbeats(now)
}

// declinePlace gives back a place that does not fit or is no better, and waits before the next try.
func (n *Node) declinePlace(u *parentLink, reason CloseReason, now int64) {
	if u == n.parent {
		n.leaveParent(reason, now)
		return
	}
	n.host.Close(u.link, reason)
	n.removeAttempt(u)
	again := now + n.limits.MaxRetryAfter/2 + n.jitter(n.limits.MaxRetryAfter/2)
	n.avoidUntil(u.peer, again)
	n.nextDialAt = now + n.jitter(n.limits.MinBackoff)
	if n.parent != nil {
		n.nextDialAt = again
	}
}

// handleRefused handles a refusal: the peer is left alone as long as it says, and those it names are tried soon.
func (n *Node) handleRefused(u *parentLink, m *Refused, now int64) {
	n.counts.RefusedByParents++
	n.host.Log(Event{Kind: EventRefusedBy, Peer: u.peer, Version: n.store.version, Refusal: m.Reason})
	n.host.Close(u.link, CloseRefused)
	if u == n.parent {
		n.loseParent(CloseRefused, now)
	} else {
		n.removeAttempt(u)
	}
	n.avoidUntil(u.peer, now+min(max(m.RetryAfter, n.limits.MinBackoff), 2*n.limits.MaxRetryAfter))
	n.learnCandidates(m.Candidates, true)
	n.consecutiveRefusals++
	n.nextDialAt = now + n.jitter(n.backoffDelay(1+n.consecutiveRefusals/refusalsPerBackoff))
	if n.parent != nil {
		n.nextDialAt += n.limits.MaxRetryAfter / 2
	}
}

// leaveParent gives the parent up. What it sent stays.
func (n *Node) leaveParent(reason CloseReason, now int64) {
	n.host.Close(n.parent.link, reason)
	n.loseParent(reason, now)
}

// loseParent goes on without a parent; the next dial comes soon, after a jitter.
func (n *Node) loseParent(reason CloseReason, now int64) {
	u := n.parent
	n.parent, n.incomingSnapshot = nil, nil
	n.counts.ParentsLost++
	n.host.Log(Event{Kind: EventParentLost, Peer: u.peer, Version: n.store.version, CloseReason: reason})
	n.recordFailure(u.peer, now)
	n.scheduleHeartbeats(now)
}

// checkParent leaves a parent that has said nothing for a lease, or does not answer a request.
func (n *Node) checkParent(now int64) {
	u := n.parent
	if u == nil {
		return
	}
	lease := n.limits.Lease
	if u.lease > 0 {
		lease = min(lease, u.lease)
	}
	switch {
	case now-u.lastReceivedAt >= lease:
		n.leaveParent(CloseSilent, now)
	case u.subscribing && now-u.subscribeSentAt >= n.limits.Handshake:
		n.leaveParent(CloseTimedOut, now)
	}
}

// checkAttempts gives up attempts that take too long.
func (n *Node) checkAttempts(now int64) {
	for _, u := range slices.Clone(n.attempts) {
		if now-u.dialedAt >= n.limits.Handshake {
			n.host.Close(u.link, CloseTimedOut)
			n.attemptFailed(u, now)
		}
	}
}
