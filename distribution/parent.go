package distribution

import "slices"

// caller is a link that came in and has not subscribed yet.
type caller struct {
	link  Link
	since int64
}

// callersMost bounds the callers, besides as many as there are places.
const callersMost = 64

// unconfirmedMost bounds the messages to a child that renews its lease and confirms nothing.
const unconfirmedMost = 4096

// nameMost bounds the bytes of a node's name.
const nameMost = 256

// proposeEvery is the number of heartbeats from one with candidates to the next.
const proposeEvery = 16

// child is a place in the tree below this node, on a lease.
type child struct {
	link   Link
	name   string
	scopes Scopes
	fanOut int
	until  int64 // the end of the lease
	beatAt int64 // of the next heartbeat
	beats  int

	// sent is what the child has once it has got everything that was sent.
	sent        Version
	needs       bool      // it waits for a snapshot
	snapshot    *outgoing // that is under way
	unconfirmed []int     // sizes of the messages sent that it has not confirmed
	underWay    int       // their sum
	confirmed   uint64    // messages that it has confirmed
}

// Incoming names the link of a caller that the host has accepted. Its first message must be a Subscribe. Zero says
// that too many callers have not subscribed yet; the host closes the connection.
func (n *Node) Incoming(now int64) Link {
	if len(n.callers) >= n.limits.FanOut+callersMost {
		return 0
	}
	link := n.newLink()
	n.callers = append(n.callers, caller{link, now})
	return link
}

// forgetCaller takes a link off the callers and tells whether it was one.
func (n *Node) forgetCaller(link Link) bool {
	before := len(n.callers)
	n.callers = slices.DeleteFunc(n.callers, func(c caller) bool { return c.link == link })
	return len(n.callers) < before
}

func (n *Node) child(link Link) *child {
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

// path is the way from the voter down to this node.
func (n *Node) path() []string {
	if n.parent == nil {
		return []string{n.config.Name}
	}
	return append(slices.Clone(n.parent.path), n.config.Name)
}

// subscribed handles a request for a place, or for a snapshot by a child that has one.
func (n *Node) subscribed(link Link, m *Subscribe, now int64) {
	if c := n.child(link); c != nil {
		n.subscribedAgain(c, m, now)
		return
	}
	if !n.forgetCaller(link) {
		return // closed meanwhile
	}
	n.replaceNamesake(m.Name, now)
	if reason := n.refusal(m); reason != 0 {
		n.refuse(link, m, reason)
		return
	}
	n.makeRoom(m, now)
	c := &child{link: link, name: m.Name, beatAt: now}
	n.children = append(n.children, c)
	n.host.Log(Event{Kind: EventChildAdmitted, Peer: c.name, Version: m.Version})
	n.admit(c, m, now)
}

// subscribedAgain handles a request of a child that has a place.
func (n *Node) subscribedAgain(c *child, m *Subscribe, now int64) {
	switch reason := n.breach(m); {
	case m.Name != c.name:
		n.refuse(c.link, m, RefusedMalformed)
	case reason != 0:
		n.refuse(c.link, m, reason)
	default:
		n.admit(c, m, now)
		return
	}
	n.dropChild(c, CloseRefused, now)
}

// admit grants the lease and starts to send what the child lacks.
func (n *Node) admit(c *child, m *Subscribe, now int64) {
	c.scopes, c.fanOut, c.until = m.Scopes, m.FanOut, now+n.limits.Lease
	c.sent, c.snapshot = m.Version, nil
	c.unconfirmed, c.underWay, c.confirmed = nil, 0, 0
	c.needs = n.needsSnapshot(m)
	n.send(c, &Admitted{
		Lease:      n.limits.Lease,
		Version:    n.store.version,
		Path:       n.path(),
		Age:        n.age(now),
		Candidates: n.propose(m),
		Request:    m.Request,
	})
	n.startSnapshots(now)
	n.feed(c, now)
}

// needsSnapshot tells whether deltas cannot lead the child to what this node has. A child that is ahead of this node
// waits for it, also for a snapshot.
func (n *Node) needsSnapshot(m *Subscribe) bool {
	have := n.store.version
	if m.Whole || have.Epoch.Newer(m.Version.Epoch) {
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

// refusal tells why a new child gets no place; zero if it gets one.
func (n *Node) refusal(m *Subscribe) RefusalReason {
	if reason := n.breach(m); reason != 0 {
		return reason
	}
	if len(n.children) >= n.limits.FanOut && n.displaced(m) == nil {
		return RefusedFull
	}
	waits := n.store.version.Before(m.Version)
	if !waits && n.needsSnapshot(m) && n.snapshotsDue() >= n.limits.Snapshots {
		return RefusedBusy
	}
	return 0
}

// displaced gives the child that makes room for a subscriber where every place is taken: the last that cannot pass on
// all that this node has, if the subscriber can. A tree whose upper places are taken by leaves could not grow.
func (n *Node) displaced(m *Subscribe) *child {
	if !n.passesOn(m.FanOut, m.Scopes) {
		return nil
	}
	for _, c := range slices.Backward(n.children) {
		if !n.passesOn(c.fanOut, c.scopes) {
			return c
		}
	}
	return nil
}

// passesOn tells whether a subscriber can be the parent of any that this node can be the parent of.
func (n *Node) passesOn(fanOut int, scopes Scopes) bool {
	return fanOut > 0 && scopes.Cover(n.store.covered)
}

// makeRoom ends the place of a child for a subscriber that was not refused.
func (n *Node) makeRoom(m *Subscribe, now int64) {
	if len(n.children) < n.limits.FanOut {
		return
	}
	c := n.displaced(m)
	n.refuse(c.link, &Subscribe{Name: c.name, Scopes: c.scopes, Version: c.sent}, RefusedFull)
	n.dropChild(c, CloseRefused, now)
}

// breach tells by which rule a place is refused whether or not there is one left.
func (n *Node) breach(m *Subscribe) RefusalReason {
	switch path := n.path(); {
	case m.Name == "" || len(m.Name) > nameMost || len(m.Scopes.Names) > n.limits.ScopesMost || !m.Scopes.wellFormed():
		return RefusedMalformed
	case slices.Contains(path, m.Name):
		return RefusedLoop
	case len(path) > n.limits.DepthMost:
		return RefusedTooDeep
	case !n.store.version.Epoch.Known():
		return RefusedEmpty
	case !n.store.covered.Cover(m.Scopes):
		return RefusedNotCovered
	case n.conflicts(m.Version.Epoch):
		return RefusedConflict
	}
	return 0
}

// refuse answers a request and closes the link.
func (n *Node) refuse(link Link, m *Subscribe, reason RefusalReason) {
	n.counts.Refusals++
	n.host.Log(Event{Kind: EventChildRefused, Peer: m.Name, Version: m.Version, Refusal: reason})
	n.host.Send(link, &Refused{Reason: reason, RetryAfter: n.retryAfter(reason), Candidates: n.propose(m)})
	n.host.Close(link, CloseRefused)
}

// retryAfter is when a refused child may come again, with jitter so that those refused together don't come together.
func (n *Node) retryAfter(reason RefusalReason) int64 {
	least := n.limits.RetryMost / 2
	switch reason {
	case RefusedBusy:
		least = min(n.snapshotsLeft(), least)
	case RefusedEmpty:
		least = n.limits.BackoffMost / 2
	}
	least = max(least, n.limits.BackoffLeast)
	return least + n.jitter(least)
}

// propose names children that could be the parent of a subscriber, beginning at a random one.
func (n *Node) propose(m *Subscribe) []string {
	var names []string
	if len(n.children) == 0 {
		return nil
	}
	first := int(n.host.Chance() % uint64(len(n.children)))
	for i := range n.children {
		c := n.children[(first+i)%len(n.children)]
		if len(names) == n.limits.Proposed {
			break
		}
		if c.fanOut > 0 && c.name != m.Name && c.scopes.Cover(m.Scopes) {
			names = append(names, c.name)
		}
	}
	return names
}

// replaceNamesake ends the place that a child has on an older link, which may be half-open.
func (n *Node) replaceNamesake(name string, now int64) {
	for _, c := range n.children {
		if c.name == name {
			n.host.Close(c.link, CloseReplaced)
			n.dropChild(c, CloseReplaced, now)
			return
		}
	}
}

// dropChild frees a place. The link is closed already.
func (n *Node) dropChild(c *child, reason CloseReason, now int64) {
	n.children = slices.DeleteFunc(n.children, func(other *child) bool { return other == c })
	n.host.Log(Event{Kind: EventChildLost, Peer: c.name, Version: c.sent, Close: reason})
	n.startSnapshots(now)
}

// dropUncovered ends the places of children that ask for more than this node has now.
func (n *Node) dropUncovered(now int64) {
	for _, c := range slices.Clone(n.children) {
		if n.store.covered.Cover(c.scopes) {
			continue
		}
		m := &Subscribe{Name: c.name, Scopes: c.scopes, Version: c.sent}
		n.refuse(c.link, m, RefusedNotCovered)
		n.dropChild(c, CloseNotCovered, now)
	}
}

// renewed renews a lease and notes what the child has got.
func (n *Node) renewed(link Link, m *Renew, now int64) {
	c := n.child(link)
	if c == nil {
		return
	}
	c.until = now + n.limits.Lease
	for c.confirmed < m.Received && len(c.unconfirmed) > 0 {
		c.underWay -= c.unconfirmed[0]
		c.unconfirmed = c.unconfirmed[1:]
		c.confirmed++
	}
	n.feed(c, now)
	if c.snapshot != nil { // a window may be confirmed many times between two calls of Elapsed
		n.refill(now)
		n.sendPieces(now)
	}
}

// watchChildren ends leases that were not renewed, and callers that do not subscribe.
func (n *Node) watchChildren(now int64) {
	for i := 0; i < len(n.children); i++ {
		c := n.children[i]
		if now >= c.until || len(c.unconfirmed) > unconfirmedMost {
			n.host.Close(c.link, CloseSilent)
			n.dropChild(c, CloseSilent, now)
			i--
		}
	}
	for len(n.callers) > 0 && now-n.callers[0].since >= n.limits.Handshake {
		n.host.Close(n.callers[0].link, CloseTimedOut)
		n.callers = n.callers[1:]
	}
}
