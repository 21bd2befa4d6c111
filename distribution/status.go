package distribution

// Counts are totals since the start of a node.
type Counts struct {
	// DeltasSent counts the deltas sent to children.
	DeltasSent uint64
	// DeltasApplied counts the deltas of a parent that were applied.
	DeltasApplied uint64
	// ChangesApplied counts the changes that were applied, those of the record at a voter among them.
	ChangesApplied uint64
	// SnapshotsSent counts complete snapshots sent to children.
	SnapshotsSent uint64
	// SnapshotsInstalled counts the snapshots of a parent that were installed.
	SnapshotsInstalled uint64
	// Refusals counts the refusals given to children.
	Refusals uint64
	// RefusedByParents counts the refusals got from parents.
	RefusedByParents uint64
	// GapsSeen counts the messages that did not follow what this node has.
	GapsSeen uint64
	// WrongDigests counts the messages that ended in another digest.
	WrongDigests uint64
	// OlderRefused counts the messages, changes and states refused for being older.
	OlderRefused uint64
	// ParentsLost counts the parents that were lost or left.
	ParentsLost uint64
	// Dials counts the dials of parents.
	Dials uint64
}

// Status is what a node can say about itself.
type Status struct {
	// Version is what the node has.
	Version Version
	// Digest is that of the entries.
	Digest Digest
	// Age is for how many µs the source has not been known to be current: how old the configuration may be.
	// NeverCurrent if it never was.
	Age Microseconds
	// Parent is the parent's name; none for a voter, and while looking for one.
	Parent string
	// Path holds the names from the voter down to the parent.
	Path []string
	// Children are the names of the children in the order of their admission.
	Children []string
	// Entries counts those that are not deleted.
	Entries int
	// Counts are the totals since the start.
	Counts Counts
}

// Version is what the node has; it is zero until it has anything.
func (n *Node) Version() Version { return n.store.version }

// State is all that the node has, by scope and name, to be kept for a restart.
func (n *Node) State() State { return n.store.state() }

// Status tells how the node is.
func (n *Node) Status(now Microseconds) Status {
	status := Status{
		Version: n.store.version,
		Digest:  n.store.digest,
		Age:     n.sourceAge(now),
		Entries: n.store.liveEntries,
		Counts:  n.counts,
	}
	if n.parent != nil {
		status.Parent = n.parent.peer
		status.Path = n.parent.path
	}
	for _, child := range n.children {
		status.Children = append(status.Children, child.name)
	}
	return status
}

// sourceAge is for how many µs the source has not been known to be current; NeverCurrent if it never was.
func (n *Node) sourceAge(now Microseconds) Microseconds {
	if !n.sourceEverCurrent {
		return NeverCurrent
	}
	return now - n.sourceCurrentAt
}

// noteSourceCurrent says that what the node has was all that the source had at a time.
func (n *Node) noteSourceCurrent(at Microseconds) {
	if n.sourceEverCurrent && at <= n.sourceCurrentAt {
		return
	}
	n.sourceEverCurrent = true
	n.sourceCurrentAt = at
}

// logStaleness logs when the source falls out of date, and when it is current again.
func (n *Node) logStaleness(now Microseconds) {
	stale := n.sourceEverCurrent && n.sourceAge(now) > n.limits.MaxStaleness
	if stale == n.loggedStale {
		return
	}
	n.loggedStale = stale
	kind := EventSourceCurrent
	if stale {
		kind = EventSourceStale
	}
	n.host.Log(Event{Kind: kind, Version: n.store.version})
}
