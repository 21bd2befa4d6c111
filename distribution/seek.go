package distribution

import "slices"

// refusalsPerBackoff is how many refusals lengthen the wait like one failure: being sent down a tree is no failure.
const refusalsPerBackoff = 3

func (n *Node) attempt(link Link) *upstream {
	for _, u := range n.attempts {
		if u.link == link {
			return u
		}
	}
	return nil
}

// upstream gives the parent, or one that was asked to be it, by its link.
func (n *Node) upstream(link Link) *upstream {
	if n.parent != nil && n.parent.link == link {
		return n.parent
	}
	return n.attempt(link)
}

// attemptsMost bounds the parents that are asked for a place at once. Two may be silent behind the same cut.
const attemptsMost = 3

// seek dials a possible parent where one is needed, and further ones beside those that take long.
func (n *Node) seek(now int64) {
	if n.config.Voter || !n.wanting(now) {
		return
	}
	asked := len(n.attempts)
	switch {
	case asked == 0:
		if now >= n.nextDial {
			n.dial(now)
		}
	case n.parent == nil && asked < attemptsMost && now-n.attempts[asked-1].since >= n.limits.HedgeAfter:
		n.dial(now)
	}
}

// wanting tells whether this node has no parent, or one that has been behind or without a current source for too long.
func (n *Node) wanting(now int64) bool {
	u := n.parent
	if u == nil {
		return true
	}
	if u.behind && now-u.behindSince >= n.limits.StaleMost {
		return true
	}
	good := u.admittedAt
	if n.everCurrent {
		good = max(good, n.currentAt)
	}
	if n.incoming != nil {
		good = max(good, n.incoming.progressAt)
	}
	return now-good >= n.limits.StaleMost
}

// dial tries one of the candidates, if there is one that may be tried now.
func (n *Node) dial(now int64) {
	peer := n.pick(now)
	if peer == "" {
		return
	}
	u := &upstream{link: n.newLink(), peer: peer, since: now, heard: now}
	n.attempts = append(n.attempts, u)
	n.counts.Dials++
	n.host.Dial(peer, u.link)
}

// DialFailed says that a dial has not succeeded; the link is gone.
func (n *Node) DialFailed(link Link, now int64) { n.upstreamClosed(link, now) }

// upstreamClosed handles the end of a link to a parent, or of an attempt to get one.
func (n *Node) upstreamClosed(link Link, now int64) {
	if u := n.attempt(link); u != nil {
		n.attemptFailed(u, now)
		return
	}
	if n.parent != nil && n.parent.link == link {
		n.lostParent(0, now)
	}
}

// attemptFailed puts off the next attempt, at this peer and at all. The link is closed already.
func (n *Node) attemptFailed(u *upstream, now int64) {
	n.dropAttempt(u)
	n.backOff(u.peer, now)
}

func (n *Node) dropAttempt(u *upstream) {
	n.attempts = slices.DeleteFunc(n.attempts, func(other *upstream) bool { return other == u })
}

// admitted takes a place that was granted, if it is the first or better than the one this node has.
func (n *Node) admitted(u *upstream, m *Admitted, now int64) {
	n.learn(m.Candidates, false)
	if m.Request != u.request {
		return // it answers an earlier request; what follows may be of other scopes
	}
	u.awaiting, u.received, u.unconfirmed = false, 1, m.Size()
	if n.conflicts(m.Version.Epoch) {
		n.conflict(u, now)
		return
	}
	if !n.pathFits(m.Path) || n.hasChild(u.peer) {
		n.decline(u, CloseLoop, now)
		return
	}
	if u != n.parent {
		if n.parent != nil && !n.better(m, now) {
			n.decline(u, CloseNotChosen, now)
			return
		}
		n.choose(u, now)
	}
	u.lease = m.Lease
	n.setPath(u, m.Path, now)
	n.noteSource(u, m.Version, m.Age, now)
}

// better tells whether a place that was granted is better than the one this node has: not behind where the present
// one is, or with a source that was known to be current clearly later.
func (n *Node) better(m *Admitted, now int64) bool {
	if n.older(m.Version) || m.Age == NeverCurrent {
		return false
	}
	age := n.age(now)
	return n.parent.behind || age == NeverCurrent || m.Age < age/2
}

// choose makes an attempt the parent, and ends the others.
func (n *Node) choose(u *upstream, now int64) {
	if n.parent != nil {
		n.leave(CloseStale, now)
	}
	n.dropAttempt(u)
	for _, other := range n.attempts {
		n.host.Close(other.link, CloseNotChosen)
	}
	n.attempts = nil
	n.parent, u.admittedAt = u, now
	n.refusals = 0
	n.host.Log(Event{Kind: EventAdmitted, Peer: u.peer, Version: n.store.version})
	n.beatSoon(now)
}

// decline gives back a place that does not fit or is no better, and waits before the next try.
func (n *Node) decline(u *upstream, reason CloseReason, now int64) {
	if u == n.parent {
		n.leave(reason, now)
		return
	}
	n.host.Close(u.link, reason)
	n.dropAttempt(u)
	again := now + n.limits.RetryMost/2 + n.jitter(n.limits.RetryMost/2)
	n.avoid(u.peer, again)
	n.nextDial = now + n.jitter(n.limits.BackoffLeast)
	if n.parent != nil {
		n.nextDial = again
	}
}

// refusedBy handles a refusal: the peer is left alone as long as it says, and those it names are tried soon.
func (n *Node) refusedBy(u *upstream, m *Refused, now int64) {
	n.counts.RefusedBy++
	n.host.Log(Event{Kind: EventRefusedBy, Peer: u.peer, Version: n.store.version, Refusal: m.Reason})
	n.host.Close(u.link, CloseRefused)
	if u == n.parent {
		n.lostParent(CloseRefused, now)
	} else {
		n.dropAttempt(u)
	}
	n.avoid(u.peer, now+min(max(m.RetryAfter, n.limits.BackoffLeast), 2*n.limits.RetryMost))
	n.learn(m.Candidates, true)
	n.refusals++
	n.nextDial = now + n.jitter(n.backoff(1+n.refusals/refusalsPerBackoff))
	if n.parent != nil {
		n.nextDial += n.limits.RetryMost / 2
	}
}

// leave gives the parent up. What it sent stays.
func (n *Node) leave(reason CloseReason, now int64) {
	n.host.Close(n.parent.link, reason)
	n.lostParent(reason, now)
}

// lostParent goes on without a parent; the next dial comes soon, after a jitter.
func (n *Node) lostParent(reason CloseReason, now int64) {
	u := n.parent
	n.parent, n.incoming = nil, nil
	n.counts.ParentsLost++
	n.host.Log(Event{Kind: EventParentLost, Peer: u.peer, Version: n.store.version, Close: reason})
	n.backOff(u.peer, now)
	n.beatSoon(now)
}

// watchParent leaves a parent that has said nothing for a lease, or does not answer a request.
func (n *Node) watchParent(now int64) {
	u := n.parent
	if u == nil {
		return
	}
	lease := n.limits.Lease
	if u.lease > 0 {
		lease = min(lease, u.lease)
	}
	switch {
	case now-u.heard >= lease:
		n.leave(CloseSilent, now)
	case u.awaiting && now-u.askedAt >= n.limits.Handshake:
		n.leave(CloseTimedOut, now)
	}
}

// watchAttempts gives up attempts that take too long.
func (n *Node) watchAttempts(now int64) {
	for _, u := range slices.Clone(n.attempts) {
		if now-u.since >= n.limits.Handshake {
			n.host.Close(u.link, CloseTimedOut)
			n.attemptFailed(u, now)
		}
	}
}
