package distribution

// Outside of tests a node compacts only as far as its limits require. Tests compact up to a chosen
// revision, so that the log and the tombstones hold exactly the content that the test needs.

// compact drops the changes and tombstones of a node up to a revision.
func (n *Node) compact(revision uint64) { n.store.compactTo(revision) }

// compactTo drops the changes and the tombstones of a store up to a revision.
func (s *store) compactTo(revision uint64) {
	revision = min(revision, s.version.Revision)
	s.log.dropTo(revision)
	for len(s.tombstones.queue) > 0 && s.tombstones.queue[0].revision <= revision {
		s.dropTombstone()
	}
	s.tombstones.horizon = max(s.tombstones.horizon, revision)
}

// dropTo drops the changes up to a revision from the log.
func (l *changeLog) dropTo(revision uint64) {
	for len(l.changes) > 0 && l.changes[0].change.Revision <= revision {
		l.dropOldest()
	}
	l.floor = max(l.floor, revision)
}

// lookUpLive returns an entry of a node, and reports false if it is absent or deleted.
func (n *Node) lookUpLive(key Key) (Entry, bool) {
	entry, found := n.store.lookup(key)
	return entry, found && !entry.Deleted
}
