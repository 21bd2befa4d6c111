package distribution

import "slices"

// refusalsPerBackoff is how many refusals lengthen the wait like one failure: being sent down a tree is no failure.
const refusalsPerBackoff = 3

// maxAttempts bounds the parents that are asked for a place at once. Two may be silent behind the same cut.
const maxAttempts = 3

// seekParent dials a possible parent where one is needed, and further ones beside those that take long.
func (n *Node) seekParent(now Microseconds) {
	if n.config.Voter || !n.needsParent(now) {
		return
	}
	asked := len(n.attempts)
	if asked == 0 {
		if now >= n.nextDialAt {
			n.dialCandidate(now)
		}
		return
	}
	lastDialedAt := n.attempts[asked-1].dialedAt
	mayHedge := n.parent == nil && asked < maxAttempts
	if mayHedge && now-lastDialedAt >= n.limits.HedgeDelay {
		n.dialCandidate(now)
	}
}

// needsParent tells whether this node has no parent, or one that has been behind or without a current source for
// MaxStaleness.
func (n *Node) needsParent(now Microseconds) bool {
	parent := n.parent
	if parent == nil {
		return true
	}
	if parent.behind && now-parent.behindSince >= n.limits.MaxStaleness {
		return true
	}
	lastGoodAt := parent.admittedAt
	if n.sourceEverCurrent {
		lastGoodAt = max(lastGoodAt, n.sourceCurrentAt)
	}
	if n.incomingSnapshot != nil {
		lastGoodAt = max(lastGoodAt, n.incomingSnapshot.progressAt)
	}
	return now-lastGoodAt >= n.limits.MaxStaleness
}

// dialCandidate tries one of the candidates, if there is one that may be tried now.
func (n *Node) dialCandidate(now Microseconds) {
	peer := n.pickCandidate(now)
	if peer == "" {
		return
	}
	attempt := &parentLink{link: n.newLink(), peer: peer, dialedAt: now, lastReceivedAt: now}
	n.attempts = append(n.attempts, attempt)
	n.counts.Dials++
	n.host.Dial(peer, attempt.link)
}

// checkAttempts gives up attempts that take too long.
func (n *Node) checkAttempts(now Microseconds) {
	for _, attempt := range slices.Clone(n.attempts) {
		if now-attempt.dialedAt >= n.limits.Handshake {
			n.host.Close(attempt.link, CloseTimedOut)
			n.attemptFailed(attempt, now)
		}
	}
}

// attemptFailed puts off the next attempt, at this peer and at all. The link is closed already.
func (n *Node) attemptFailed(attempt *parentLink, now Microseconds) {
	n.removeAttempt(attempt)
	n.recordFailure(attempt.peer, now)
}

func (n *Node) removeAttempt(attempt *parentLink) {
	n.attempts = slices.DeleteFunc(n.attempts, func(other *parentLink) bool { return other == attempt })
}

// declinePlace gives back a place that cannot be used or is no better, and waits before the next try.
func (n *Node) declinePlace(place *parentLink, reason CloseReason, now Microseconds) {
	if place == n.parent {
		n.leaveParent(reason, now)
		return
	}
	n.host.Close(place.link, reason)
	n.removeAttempt(place)
	again := now + n.limits.MaxRetryAfter/2 + n.jitter(n.limits.MaxRetryAfter/2)
	n.avoidUntil(place.peer, again)
	n.nextDialAt = now + n.jitter(n.limits.MinBackoff)
	if n.parent != nil {
		n.nextDialAt = again
	}
}

// handleRefused handles a refusal: the peer is not asked for as long as it says, and those it names are tried soon.
func (n *Node) handleRefused(place *parentLink, m *Refused, now Microseconds) {
	n.counts.RefusedByParents++
	n.host.Log(Event{Kind: EventRefusedBy, Peer: place.peer, Version: n.store.version, Refusal: m.Reason})
	n.host.Close(place.link, CloseRefused)
	if place == n.parent {
		n.loseParent(CloseRefused, now)
	} else {
		n.removeAttempt(place)
	}
	retryAfter := min(max(m.RetryAfter, n.limits.MinBackoff), 2*n.limits.MaxRetryAfter)
	n.avoidUntil(place.peer, now+retryAfter)
	n.learnCandidates(m.Candidates, true)
	n.consecutiveRefusals++
	n.nextDialAt = now + n.jitter(n.backoffDelay(1+n.consecutiveRefusals/refusalsPerBackoff))
	if n.parent != nil {
		n.nextDialAt += n.limits.MaxRetryAfter / 2
	}
}
