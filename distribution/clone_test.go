package distribution

import (
	"maps"
	"slices"
)

// clone copies a state of the model, so that several events can be applied to the same state.
// Values that are never modified are shared: messages, entries, paths, and the expected entries by
// revision, which do not depend on the order of events.
func (c *cluster) clone() *cluster {
	copied := *c
	copied.cuts, copied.hung = maps.Clone(c.cuts), maps.Clone(c.hung)
	copied.record = slices.Clone(c.record)
	members := map[*member]*member{}
	copied.members = nil
	for _, m := range c.members {
		members[m] = m.clone(&copied)
		copied.members = append(copied.members, members[m])
	}
	copied.dials = slices.Clone(c.dials)
	for i := range copied.dials {
		copied.dials[i].from = members[copied.dials[i].from]
	}
	copied.conns = nil
	for _, original := range c.conns {
		conn := *original
		conn.dialer, conn.acceptor = members[original.dialer], members[original.acceptor]
		for side := range conn.queues {
			conn.queues[side] = slices.Clone(original.queues[side])
		}
		copied.conns = append(copied.conns, &conn)
	}
	return &copied
}

func (m *member) clone(c *cluster) *member {
	copied := *m
	copied.cluster = c
	copied.controllerEntries = maps.Clone(m.controllerEntries)
	copied.events = nil
	copied.node = m.node.clone(&copied)
	return &copied
}

func (n *Node) clone(host Host) *Node {
	copied := *n
	copied.host = host
	copied.store = n.store.clone()
	copied.unsubscribedLinks = slices.Clone(n.unsubscribedLinks)
	copied.candidates = slices.Clone(n.candidates)
	copied.children = nil
	for _, original := range n.children {
		c := *original
		c.unconfirmedSizes = slices.Clone(original.unconfirmedSizes)
		if original.snapshot != nil {
			snapshot := *original.snapshot
			c.snapshot = &snapshot
		}
		copied.children = append(copied.children, &c)
	}
	if n.parent != nil {
		parent := *n.parent
		copied.parent = &parent
	}
	copied.attempts = nil
	for _, original := range n.attempts {
		attempt := *original
		copied.attempts = append(copied.attempts, &attempt)
	}
	if n.incomingSnapshot != nil {
		incoming := *n.incomingSnapshot
		incoming.store = n.incomingSnapshot.store.clone()
		copied.incomingSnapshot = &incoming
	}
	return &copied
}

func (s *store) clone() *store {
	copied := *s
	copied.scopes = make(map[string]*scopeState, len(s.scopes))
	for name, scope := range s.scopes {
		copied.scopes[name] = &scopeState{slices.Clone(scope.entries), scope.digest}
	}
	copied.tombstones.queue = slices.Clone(s.tombstones.queue)
	copied.log.changes = slices.Clone(s.log.changes)
	return &copied
}
