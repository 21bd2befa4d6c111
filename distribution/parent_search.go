package distribution

import "slices"

// refusalsPerBackoff is the number of refusals that lengthen the backoff as much as one failure. A
// node that is referred down the tree is refused several times without any failure.
const refusalsPerBackoff = 3

// maxAttempts bounds the peers that a node asks for a place at the same time. With three, one peer
// can still be reached if a network partition makes two of them unreachable.
const maxAttempts = 3

// seekParent dials a candidate if this node needs a parent. While this node has no parent, it dials
// up to maxAttempts candidates at the same time, each HedgeDelay after the previous one.
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

// needsParent reports whether this node has no parent, or a parent that has been behind for
// MaxStaleness or with which this node has made no progress for MaxStaleness. Progress is the
// admission by the parent, a source known to be current, or a piece of a snapshot.
func (n *Node) needsParent(now Microseconds) bool {
	parent := n.parent
	if parent == nil {
		return true
	}
	if parent.behind && now-parent.behindSince >= n.limits.MaxStaleness {
		return true
	}
	lastProgressAt := max(parent.admittedAt, parent.lastPieceAt)
	if n.sourceEverCurrent {
		lastProgressAt = max(lastProgressAt, n.sourceCurrentAt)
	}
	return now-lastProgressAt >= n.limits.MaxStaleness
}

// dialCandidate dials a candidate, if there is one that may be dialled now.
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

// checkAttempts closes attempts that were not admitted within Limits.Handshake after the dial.
func (n *Node) checkAttempts(now Microseconds) {
	for _, attempt := range slices.Clone(n.attempts) {
		if now-attempt.dialedAt >= n.limits.Handshake {
			n.host.Close(attempt.link, CloseTimedOut)
			n.attemptFailed(attempt, now)
		}
	}
}

// attemptFailed removes a failed attempt to get a place at a peer, whose link is closed already, and
// delays the next dial to that peer and the next dial to any peer.
func (n *Node) attemptFailed(attempt *parentLink, now Microseconds) {
	n.removeAttempt(attempt)
	n.recordFailure(attempt.peer, now)
}

func (n *Node) removeAttempt(attempt *parentLink) {
	n.attempts = slices.DeleteFunc(n.attempts, func(other *parentLink) bool { return other == attempt })
}

// declinePlace closes the link of a granted place that is unusable or not better than the place at
// the current parent, and delays the next dial.
func (n *Node) declinePlace(place *parentLink, reason CloseReason, now Microseconds) {
	if place == n.parent {
		n.leaveParent(reason, now)
		return
	}
	n.host.Close(place.link, reason)
	n.removeAttempt(place)
	retryAt := now + n.limits.MaxRetryAfter/2 + n.jitter(n.limits.MaxRetryAfter/2)
	n.avoidUntil(place.peer, retryAt)
	n.nextDialAt = now + n.jitter(n.limits.MinBackoff)
	if n.parent != nil {
		n.nextDialAt = retryAt
	}
}

// handleRefused handles a refusal. The peer is not dialled for RetryAfter, which is limited to the
// range from MinBackoff to twice MaxRetryAfter, and the candidates that it proposes are dialled
// first.
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
