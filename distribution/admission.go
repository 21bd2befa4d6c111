package distribution

import "slices"

// caller is a link that came in and has not subscribed yet.
type caller struct {
	link  Link
	since int64
}

// maxExtraCallers bounds the callers, besides as many as there are places.
const maxExtraCallers = 64

// maxUnconfirmedMessages bounds the messages to a child that renews its lease and confirms nothing.
const maxUnconfirmedMessages = 4096

// maxNameBytes bounds the bytes of a node's name.
const maxNameBytes = 256

// heartbeatsPerProposal is the number of heartbeats from one with candidates to the next.
const heartbeatsPerProposal = 16

// child is a place in the tree below this node, on a lease.
type child struct {
	link            Link
	name            string
	scopes          Scopes
	fanOut          int
	leaseEnd        int64 // the end of the lease
	nextHeartbeatAt int64 // of the next heartbeat
	heartbeatsSent  int

	// sentVersion is what the child has once it has got everything that was sent.
	sentVersion       Version
	awaitsSnapshot    bool              // it waits for a snapshot
	snapshot          *outgoingSnapshot // that is under way
	unconfirmedSizes  []int             // sizes of the messages sent that it has not confirmed
	unconfirmedBytes  int               // their sum
	confirmedMessages uint64            // messages that it has confirmed
}

// Incoming names the link of a caller that the host has accepted. Its first message must be a Subscribe. Zero says
// that too many callers have not subscribed yet; the host closes the connection.
func (n *Node) Incoming(now int64) Link {
	if len(n.callers) >= n.limits.FanOut+maxExtraCallers {
		return 0
	}
	link := n.newLink()
	n.callers = append(n.callers, caller{link, now})
	return link
}

// removeCaller takes a link off the callers and tells whether it was one.
func (n *Node) removeCaller(link Link) bool {
	before := len(n.callers)
	n.callers = slices.DeleteFunc(n.callers, func(c caller) bool { return c.link == link })
	return len(n.callers) < before
}

func (n *Node) childByLink(link Link) *child {
	for _, c := range n.children {
		if c.link == link {
			return c
		}
	}
	return nil
}

func (n *Node) hasChild(name string) bool {
	return slices.ContainsFunc(n.children, func(c *child) bool { return c.name == name })
}

// ownPath is the way from the voter down to this node.
func (n *Node) ownPath() []string {
	if n.parent == nil {
		return []string{n.config.Name}
	}
	return append(slices.Clone(n.parent.path), n.config.Name)
}

// handleSubscribe handles a request for a place, or for a snapshot by a child that has one.
func (n *Node) handleSubscribe(link Link, m *Subscribe, now int64) {
	if c := n.childByLink(link); c != nil {
		n.handleResubscribe(c, m, now)
		return
	}
	if !n.removeCaller(link) {
		return // closed meanwhile
	}
	n.replaceSameName(m.Name, now)
	if reason := n.refusalReason(m); reason != 0 {
		n.refuse(link, m, reason)
		return
	}
	n.evictFor(m, now)
	c := &child{link: link, name: m.Name, nextHeartbeatAt: now}
	n.children = append(n.children, c)
	n.host.Log(Event{Kind: EventChildAdmitted, Peer: c.name, Version: m.Version})
	n.admitChild(c, m, now)
}

// handleResubscribe handles a request of a child that has a place.
func (n *Node) handleResubscribe(c *child, m *Subscribe, now int64) {
	switch reason := n.violatedRule(m); {
	case m.Name != c.name:
		n.refuse(c.link, m, RefusedMalformed)
	case reason != 0:
		n.refuse(c.link, m, reason)
	default:
		n.admitChild(c, m, now)
		return
	}
	n.removeChild(c, CloseRefused, now)
}

// admitChild grants the lease and starts to send what the child lacks.
func (n *Node) admitChild(c *child, m *Subscribe, now int64) {
	c.scopes, c.fanOut, c.leaseEnd = m.Scopes, m.FanOut, now+n.limits.Lease
	c.sentVersion, c.snapshot = m.Version, nil
	c.unconfirmedSizes, c.unconfirmedBytes, c.confirmedMessages = nil, 0, 0
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

// needsSnapshot tells whether deltas cannot lead the child to what this node has. A child that is ahead of this node
// waits for it, also for a snapshot.
func (n *Node) needsSnapshot(m *Subscribe) bool {
	have := n.store.version
	if m.WantSnapshot || have.Epoch.Newer(m.Version.Epoch) {
		return true
	}
	if m.Version.Epoch != have.Epoch || m.Version.Revision > have.Revision {
		return false
	}
	if digest, known := n.store.digestAt(m.Version.Revision, m.Scopes); known && digest != m.Digest {
		return true
	}
	_, possible := n.store.deltaFrom(m.Version, m.Scopes, n.limits.BatchBytes)
	return !possible
}

// refusalReason tells why a new child gets no place; zero if it gets one.
func (n *Node) refusalReason(m *Subscribe) RefusalReason {
	if reason := n.violatedRule(m); reason != 0 {
		return reason
	}
	if len(n.children) >= n.limits.FanOut && n.evictionCandidate(m) == nil {
		return RefusedFull
	}
	waits := n.store.version.Before(m.Version)
	if !waits && n.needsSnapshot(m) && n.snapshotsPending() >= n.limits.MaxSnapshots {
		return RefusedBusy
	}
	return 0
}

// evictionCandidate gives the child that makes room for a subscriber where every place is taken: the last that cannot pass on
// all that this node has, if the subscriber can. A tree whose upper places are taken by leaves could not grow.
func (n *Node) evictionCandidate(m *Subscribe) *child {
	if !n.servesAllScopes(m.FanOut, m.Scopes) {
		return nil
	}
	for _, c := range slices.Backward(n.children) {
		if !n.servesAllScopes(c.fanOut, c.scopes) {
			return c
		}
	}
	return nil
}

// servesAllScopes tells whether a subscriber can be the parent of any that this node can be the parent of.
func (n *Node) servesAllScopes(fanOut int, scopes Scopes) bool {
	return fanOut > 0 && scopes.Cover(n.store.covered)
}

// evictFor ends the place of a child for a subscriber that was not refused.
func (n *Node) evictFor(m *Subscribe, now int64) {
	if len(n.children) < n.limits.FanOut {
		return
	}
	c := n.evictionCandidate(m)
	n.refuse(c.link, &Subscribe{Name: c.name, Scopes: c.scopes, Version: c.sentVersion}, RefusedFull)
	n.removeChild(c, CloseRefused, now)
}

// violatedRule tells by which rule a place is refused whether or not there is one left.
func (n *Node) violatedRule(m *Subscribe) RefusalReason {
	switch path := n.ownPath(); {
	case m.Name == "" || len(m.Name) > maxNameBytes || len(m.Scopes.Names) > n.limits.MaxScopes || !m.Scopes.sorted():
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

// refuse answers a request and closes the link.
func (n *Node) refuse(link Link, m *Subscribe, reason RefusalReason) {
	n.counts.Refusals++
	n.host.Log(Event{Kind: EventChildRefused, Peer: m.Name, Version: m.Version, Refusal: reason})
	n.host.Send(link, &Refused{Reason: reason, RetryAfter: n.retryAfter(reason), Candidates: n.proposeCandidates(m)})
	n.host.Close(link, CloseRefused)
}

// retryAfter is when a refused child may come again, with jitter so that those refused together don't come together.
func (n *Node) retryAfter(reason RefusalReason) int64 {
	least := n.limits.MaxRetryAfter / 2
	switch reason {
	case RefusedBusy:
		least = min(n.snapshotTimeLeft(), least)
	case RefusedEmpty:
		least = n.limits.MaxBackoff / 2
	}
	least = max(least, n.limits.MinBackoff)
	return least + n.jitter(least)
}

// proposeCandidates names children that could be the parent of a subscriber, beginning at a random one.
func (n *Node) proposeCandidates(m *Subscribe) []string {
	var names []string
	if len(n.children) == 0 {
		return nil
	}
	first := int(n.host.Random() % uint64(len(n.children)))
	for i := range n.children {
		c := n.children[(first+i)%len(n.children)]
		if len(names) == n.limits.MaxProposed {
			break
		}
		if c.fanOut > 0 && c.name != m.Name && c.scopes.Cover(m.Scopes) {
			names = append(names, c.name)
		}
	}
	return names
}

// replaceSameName ends the place that a child has on an older link, which may be half-open.
func (n *Node) replaceSameName(name string, now int64) {
	for _, c := range n.children {
		if c.name == name {
			n.host.Close(c.link, CloseReplaced)
			n.removeChild(c, CloseReplaced, now)
			return
		}
	}
}

// removeChild frees a place. The link is closed already.
func (n *Node) removeChild(c *child, reason CloseReason, now int64) {
	n.children = slices.DeleteFunc(n.children, func(other *child) bool { return other == c })
	n.host.Log(Event{Kind: EventChildLost, Peer: c.name, Version: c.sentVersion, CloseReason: reason})
	n.startSnapshots(now)
}

// removeUncoveredChildren ends the places of children that ask for more than this node has now.
func (n *Node) removeUncoveredChildren(now int64) {
	for _, c := range slices.Clone(n.children) {
		if n.store.covered.Cover(c.scopes) {
			continue
		}
		m := &Subscribe{Name: c.name, Scopes: c.scopes, Version: c.sentVersion}
		n.refuse(c.link, m, RefusedNotCovered)
		n.removeChild(c, CloseNotCovered, now)
	}
}

// handleRenew renews a lease and notes what the child has got.
func (n *Node) handleRenew(link Link, m *Renew, now int64) {
	c := n.childByLink(link)
	if c == nil {
		return
	}
	c.leaseEnd = now + n.limits.Lease
	for c.confirmedMessages < m.Received && len(c.unconfirmedSizes) > 0 {
		c.unconfirmedBytes -= c.unconfirmedSizes[0]
		c.unconfirmedSizes = c.unconfirmedSizes[1:]
		c.confirmedMessages++
	}
	n.sendDeltas(c, now)
	if c.snapshot != nil { // a window may be confirmed many times between two calls of Elapsed
		n.refillSnapshotCredit(now)
		n.sendSnapshotPieces(now)
	}
}

// checkChildren ends leases that were not renewed, and callers that do not subscribe.
func (n *Node) checkChildren(now int64) {
	for i := 0; i < len(n.children); i++ {
		c := n.children[i]
		if now >= c.leaseEnd || len(c.unconfirmedSizes) > maxUnconfirmedMessages {
			n.host.Close(c.link, CloseSilent)
			n.removeChild(c, CloseSilent, now)
			i--
		}
	}
	for len(n.callers) > 0 && now-n.callers[0].since >= n.limits.Handshake {
		n.host.Close(n.callers[0].link, CloseTimedOut)
		n.callers = n.callers[1:]
	}
}
