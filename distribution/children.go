package distribution

import "slices"

// maxExtraCallers bounds the callers, besides as many as there are places.
const maxExtraCallers = 64

// maxUnconfirmedMessages bounds the messages to a child that renews its lease and confirms nothing.
const maxUnconfirmedMessages = 4096

// caller is a link that came in and has not subscribed yet.
type caller struct {
	link  Link
	since Microseconds
}

// child is a place in the tree below this node, on a lease.
type child struct {
	link            Link
	name            string
	scopes          Scopes
	fanOut          int // children that it would take itself
	leaseEnd        Microseconds
	nextHeartbeatAt Microseconds
	heartbeatsSent  int

	// sentVersion is what the child has once it has got everything that was sent.
	sentVersion       Version
	awaitsSnapshot    bool
	snapshot          *outgoingSnapshot // nil while none is under way
	unconfirmedSizes  []int             // bytes of the messages sent that it has not confirmed; at most maxUnconfirmedMessages
	unconfirmedBytes  int               // their sum
	confirmedMessages uint64
}

func (n *Node) childByLink(link Link) *child {
	for _, child := range n.children {
		if child.link == link {
			return child
		}
	}
	return nil
}

func (n *Node) hasChild(name string) bool {
	return slices.ContainsFunc(n.children, func(c *child) bool { return c.name == name })
}

// removeCaller takes a link off the callers and tells whether it was one.
func (n *Node) removeCaller(link Link) bool {
	before := len(n.callers)
	n.callers = slices.DeleteFunc(n.callers, func(c caller) bool { return c.link == link })
	return len(n.callers) < before
}

// removeChild frees a place. The link is closed already.
func (n *Node) removeChild(c *child, reason CloseReason, now Microseconds) {
	n.children = slices.DeleteFunc(n.children, func(other *child) bool { return other == c })
	n.host.Log(Event{Kind: EventChildLost, Peer: c.name, Version: c.sentVersion, CloseReason: reason})
	n.startSnapshots(now)
}

// removeUncoveredChildren ends the places of children that ask for more than this node has now.
func (n *Node) removeUncoveredChildren(now Microseconds) {
	for _, child := range slices.Clone(n.children) {
		if n.store.covered.Cover(child.scopes) {
			continue
		}
		n.refuseSubscribe(child.link, child.subscription(), RefusedNotCovered)
		n.removeChild(child, CloseNotCovered, now)
	}
}

// subscription is the request that the child would have to make for its place.
func (c *child) subscription() *Subscribe {
	return &Subscribe{Name: c.name, Scopes: c.scopes, Version: c.sentVersion}
}

// handleRenew renews a lease and notes what the child has got.
func (n *Node) handleRenew(link Link, m *Renew, now Microseconds) {
	child := n.childByLink(link)
	if child == nil {
		return
	}
	child.leaseEnd = now + n.limits.Lease
	for child.confirmedMessages < m.Received && len(child.unconfirmedSizes) > 0 {
		child.unconfirmedBytes -= child.unconfirmedSizes[0]
		child.unconfirmedSizes = child.unconfirmedSizes[1:]
		child.confirmedMessages++
	}
	n.sendDeltas(child, now)
	if child.snapshot != nil { // a window may be confirmed many times between two calls of Tick
		n.refillSnapshotCredit(now)
		n.sendSnapshotPieces(now)
	}
}

// checkChildren ends leases that were not renewed, and callers that do not subscribe.
func (n *Node) checkChildren(now Microseconds) {
	for i := 0; i < len(n.children); i++ {
		child := n.children[i]
		if now >= child.leaseEnd || len(child.unconfirmedSizes) > maxUnconfirmedMessages {
			n.host.Close(child.link, CloseSilent)
			n.removeChild(child, CloseSilent, now)
			i--
		}
	}
	for len(n.callers) > 0 && now-n.callers[0].since >= n.limits.Handshake {
		n.host.Close(n.callers[0].link, CloseTimedOut)
		n.callers = n.callers[1:]
	}
}
