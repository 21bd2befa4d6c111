package distribution

import "slices"

// maxExtraUnsubscribed is the number of links without a Subscribe that a node accepts in addition
// to Limits.FanOut.
const maxExtraUnsubscribed = 64

// maxUnconfirmedMessages bounds the messages sent to a child that renews its lease without
// confirming any message.
const maxUnconfirmedMessages = 4096

// unsubscribedLink is an accepted link on which no Subscribe has arrived yet.
type unsubscribedLink struct {
	link       Link
	acceptedAt Microseconds
}

// child is a node that has a place below this node for the time of a lease.
type child struct {
	link            Link
	name            string
	scopes          Scopes
	fanOut          int // number of children that the child itself accepts
	leaseEnd        Microseconds
	nextHeartbeatAt Microseconds
	heartbeatsSent  int

	// sentVersion is the child's version once all messages sent to it have arrived.
	sentVersion       Version
	awaitsSnapshot    bool              // a snapshot for the child is due and has not begun
	snapshot          *outgoingSnapshot // the snapshot that is being sent to the child; nil if there is none
	unconfirmedSizes  []int             // sizes in bytes of unconfirmed messages; at most maxUnconfirmedMessages
	unconfirmedBytes  int               // sum of unconfirmedSizes, in bytes
	confirmedMessages uint64            // messages confirmed by the child since its last Admitted, including that Admitted
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

// removeUnsubscribed removes a link from the unsubscribed links, and reports whether the link was
// one of them.
func (n *Node) removeUnsubscribed(link Link) bool {
	before := len(n.unsubscribedLinks)
	n.unsubscribedLinks = slices.DeleteFunc(n.unsubscribedLinks, func(l unsubscribedLink) bool { return l.link == link })
	return len(n.unsubscribedLinks) < before
}

// removeChild removes a child whose link is closed already. If the child was receiving a snapshot,
// the snapshot of a waiting child can start instead.
func (n *Node) removeChild(c *child, reason CloseReason, now Microseconds) {
	n.children = slices.DeleteFunc(n.children, func(other *child) bool { return other == c })
	n.host.Log(Event{Kind: EventChildLost, Peer: c.name, Version: c.sentVersion, CloseReason: reason})
	n.startSnapshots(now)
}

// removeUncoveredChildren refuses and removes each child that subscribes to a scope that this node
// no longer covers.
func (n *Node) removeUncoveredChildren(now Microseconds) {
	for _, child := range slices.Clone(n.children) {
		if n.store.covered.Cover(child.scopes) {
			continue
		}
		n.refuseSubscribe(child.link, child.subscription(), RefusedNotCovered)
		n.removeChild(child, CloseNotCovered, now)
	}
}

// subscription returns a Subscribe with the name, the scopes and the version of a child that has a
// place.
func (c *child) subscription() *Subscribe {
	return &Subscribe{Name: c.name, Scopes: c.scopes, Version: c.sentVersion}
}

// handleRenew renews the lease of a child, removes the messages that the child has confirmed from
// its unconfirmed messages, and sends further deltas and snapshot pieces.
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
	if child.snapshot != nil {
		// The next snapshot pieces are sent without waiting for Tick, because a child can confirm
		// several windows of bytes between two ticks.
		n.refillSnapshotCredit(now)
		n.sendSnapshotPieces(now)
	}
}

// checkChildren closes the links of children whose lease has ended or that have too many
// unconfirmed messages, and accepted links on which no Subscribe has arrived within
// Limits.Handshake.
func (n *Node) checkChildren(now Microseconds) {
	for i := 0; i < len(n.children); i++ {
		child := n.children[i]
		if now >= child.leaseEnd || len(child.unconfirmedSizes) > maxUnconfirmedMessages {
			n.host.Close(child.link, CloseSilent)
			n.removeChild(child, CloseSilent, now)
			i--
		}
	}
	for len(n.unsubscribedLinks) > 0 && now-n.unsubscribedLinks[0].acceptedAt >= n.limits.Handshake {
		n.host.Close(n.unsubscribedLinks[0].link, CloseTimedOut)
		n.unsubscribedLinks = n.unsubscribedLinks[1:]
	}
}
