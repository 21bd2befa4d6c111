package distribution

import "slices"

// handleSubscribe handles a new subscriber's request for a place, or a child's request for missing
// changes, a snapshot or other scopes.
func (n *Node) handleSubscribe(link Link, m *Subscribe, now Microseconds) {
	if known := n.childByLink(link); known != nil {
		n.handleResubscribe(known, m, now)
		return
	}
	if !n.removeUnsubscribed(link) {
		return // this node has closed the link, so the Subscribe is ignored
	}
	n.replaceSameName(m.Name, now)
	if reason := n.refusalReason(m); reason != 0 {
		n.refuseSubscribe(link, m, reason)
		return
	}
	n.evictFor(m, now)
	admitted := &child{link: link, name: m.Name, nextHeartbeatAt: now}
	n.children = append(n.children, admitted)
	n.host.Log(Event{Kind: EventChildAdmitted, Peer: admitted.name, Version: m.Version})
	n.admitChild(admitted, m, now)
}

// handleResubscribe handles a further Subscribe of a child. The child loses its place if the
// Subscribe violates a rule or states another name.
func (n *Node) handleResubscribe(c *child, m *Subscribe, now Microseconds) {
	reason := n.violatedRule(m)
	if m.Name != c.name {
		reason = RefusedMalformed
	}
	if reason != 0 {
		n.refuseSubscribe(c.link, m, reason)
		n.removeChild(c, CloseRefused, now)
		return
	}
	n.admitChild(c, m, now)
}

// admitChild grants a child a lease, and starts to send the changes or the snapshot that the child
// needs.
func (n *Node) admitChild(c *child, m *Subscribe, now Microseconds) {
	c.scopes = m.Scopes
	c.fanOut = m.FanOut
	c.leaseEnd = now + n.limits.Lease
	c.sentVersion = m.Version
	c.snapshot = nil
	c.unconfirmedSizes = nil
	c.unconfirmedBytes = 0
	c.confirmedMessages = 0
	c.awaitsSnapshot = n.needsSnapshot(m)
	n.sendToChild(c, &Admitted{
		Lease:      n.limits.Lease,
		Version:    n.store.version,
		Path:       n.ownPath(),
		Age:        n.sourceAge(now),
		Candidates: n.proposeCandidates(m),
		Request:    m.Request,
	})
	n.startSnapshots(now)
	n.sendDeltas(c, now)
}

// needsSnapshot reports whether the sender of a Subscribe needs a snapshot because deltas cannot
// bring it to this node's version. A sender that is ahead of this node gets neither deltas nor a
// snapshot until this node has caught up. The caller has checked that the Subscribe violates no
// rule, so its epoch does not conflict with the epoch of this node.
func (n *Node) needsSnapshot(m *Subscribe) bool {
	switch {
	case m.WantSnapshot || n.store.version.Epoch.Newer(m.Version.Epoch):
		return true
	case n.isBehind(m.Version):
		return false
	}
	return n.contentDiffers(m) || !n.store.deltaPossible(m.Version, m.Scopes, n.limits.BatchBytes)
}

// contentDiffers reports whether the child's entries differ from the entries that this node had at
// the child's revision. It returns false if the log no longer reaches back to that revision.
func (n *Node) contentDiffers(m *Subscribe) bool {
	digest, known := n.store.digestAt(m.Version.Revision, m.Scopes)
	return known && digest != m.Digest
}

// refusalReason returns the reason to refuse a new subscriber a place, or zero if the subscriber
// gets a place. admitChild, which is called next, calls needsSnapshot again, because admitChild
// also handles requests of children that already have a place; refusalReason is not called for such
// requests.
func (n *Node) refusalReason(m *Subscribe) RefusalReason {
	if reason := n.violatedRule(m); reason != 0 {
		return reason
	}
	if len(n.children) >= n.limits.FanOut && n.childToEvict(m) == nil {
		return RefusedFull
	}
	snapshotDue := n.needsSnapshot(m) && !n.isBehind(m.Version)
	if snapshotDue && n.snapshotsPending() >= n.limits.MaxSnapshots {
		return RefusedBusy
	}
	return 0
}

// violatedRule returns the reason to refuse a Subscribe even if a place is free, or zero if the
// Subscribe violates no rule.
func (n *Node) violatedRule(m *Subscribe) RefusalReason {
	path := n.ownPath()
	switch {
	case !n.wellFormed(m):
		return RefusedMalformed
	case slices.Contains(path, m.Name):
		return RefusedLoop
	case len(path) > n.limits.MaxDepth:
		return RefusedTooDeep
	case !n.store.version.Epoch.Known():
		return RefusedEmpty
	case !n.store.covered.Cover(m.Scopes):
		return RefusedNotCovered
	case n.conflictsWith(m.Version.Epoch):
		return RefusedConflict
	}
	return 0
}

// wellFormed reports whether the name and the scopes of a request are within their bounds, the name
// is not empty, and the scopes are sorted.
func (n *Node) wellFormed(m *Subscribe) bool {
	nameValid := m.Name != "" && len(m.Name) <= maxNameBytes
	return nameValid && len(m.Scopes.Names) <= n.limits.MaxScopes && m.Scopes.sorted()
}

// childToEvict returns the child that loses its place to a new subscriber if no place is free: the
// last admitted child that could not serve all subscribers that this node can serve. It returns nil
// if there is no such child, or if the new subscriber itself could not serve all of these
// subscribers. Without eviction, a tree whose upper places are taken by leaves could not grow.
func (n *Node) childToEvict(m *Subscribe) *child {
	if !n.servesAllScopes(m.FanOut, m.Scopes) {
		return nil
	}
	for _, child := range slices.Backward(n.children) {
		if !n.servesAllScopes(child.fanOut, child.scopes) {
			return child
		}
	}
	return nil
}

// servesAllScopes reports whether a node with this fan-out and these scopes could be the parent of
// any subscriber that this node can be the parent of.
func (n *Node) servesAllScopes(fanOut int, scopes Scopes) bool {
	return fanOut > 0 && scopes.Cover(n.store.covered)
}

// evictFor evicts a child to free a place for a subscriber that was not refused. It does nothing if
// a place is free.
func (n *Node) evictFor(m *Subscribe, now Microseconds) {
	if len(n.children) < n.limits.FanOut {
		return
	}
	evicted := n.childToEvict(m)
	n.refuseSubscribe(evicted.link, evicted.subscription(), RefusedFull)
	n.removeChild(evicted, CloseRefused, now)
}

// replaceSameName removes the child that has the name of a new subscriber. The older link of that
// child may be half-open.
func (n *Node) replaceSameName(name string, now Microseconds) {
	for _, child := range n.children {
		if child.name == name {
			n.host.Close(child.link, CloseReplaced)
			n.removeChild(child, CloseReplaced, now)
			return
		}
	}
}

// refuseSubscribe answers a request with a refusal and closes the link.
func (n *Node) refuseSubscribe(link Link, m *Subscribe, reason RefusalReason) {
	n.counts.Refusals++
	n.host.Log(Event{Kind: EventChildRefused, Peer: m.Name, Version: m.Version, Refusal: reason})
	n.host.Send(link, &Refused{Reason: reason, RetryAfter: n.retryAfter(reason), Candidates: n.proposeCandidates(m)})
	n.host.Close(link, CloseRefused)
}

// retryAfter returns the time in µs that a refused subscriber has to wait before it asks again. A
// random jitter keeps subscribers that were refused together from asking again at the same time.
func (n *Node) retryAfter(reason RefusalReason) Microseconds {
	minDelay := n.limits.MaxRetryAfter / 2
	switch reason {
	case RefusedBusy:
		minDelay = min(n.snapshotTimeLeft(), minDelay)
	case RefusedEmpty:
		minDelay = n.limits.MaxBackoff / 2
	}
	minDelay = max(minDelay, n.limits.MinBackoff)
	return minDelay + n.jitter(minDelay)
}

// proposeCandidates returns at most MaxProposed children that could be the parent of a subscriber,
// starting at a random child.
func (n *Node) proposeCandidates(m *Subscribe) []string {
	if len(n.children) == 0 {
		return nil
	}
	var names []string
	first := int(n.host.Random() % uint64(len(n.children)))
	for i := range n.children {
		child := n.children[(first+i)%len(n.children)]
		if len(names) == n.limits.MaxProposed {
			break
		}
		if child.fanOut > 0 && child.name != m.Name && child.scopes.Cover(m.Scopes) {
			names = append(names, child.name)
		}
	}
	return names
}
