package distribution

// A node compacts by its limits alone. Tests compact up to a revision, to have just the log and tombstones that they need.

// compact drops changes up to a revision from a node's log, and tombstones up to it.
func (n *Node) compact(revision uint64) { n.store.compactTo(revision) }

// compactTo drops changes and tombstones up to a revision.
func (s *store) compactTo(revision uint64) {
	revision = min(revision, s.version.Revision)
	s.log.dropTo(revision)
	for len(s.tombstones.queue) > 0 && s.tombstones.queue[0].revision <= revision {
		s.dropTombstone()
	}
	s.tombstones.horizon = max(s.tombstones.horizon, revision)
}

// dropTo drops the changes up to a revision.
func (l *changeLog) dropTo(revision uint64) {
	for len(l.changes) > 0 && l.changes[0].change.Revision <= revision {
		l.dropOldest()
	}
	l.floor = max(l.floor, revision)
}

// lookUpLive gives an entry that a node has and that is not deleted.
func (n *Node) lookUpLive(key Key) (Entry, bool) {
	entry, found := n.store.lookup(key)
	return entry, found && !entry.Deleted
}
