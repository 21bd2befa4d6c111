package distribution

// Counts holds totals since the start of a node.
type Counts struct {
	// DeltasSent counts the deltas sent to children.
	DeltasSent uint64
	// DeltasApplied counts the applied deltas from parents.
	DeltasApplied uint64
	// ChangesApplied counts the applied changes, including those that a voter gets from the record.
	ChangesApplied uint64
	// SnapshotsSent counts the snapshots sent to children completely.
	SnapshotsSent uint64
	// SnapshotsInstalled counts the installed snapshots from parents.
	SnapshotsInstalled uint64
	// Refusals counts the Refused messages sent to children.
	Refusals uint64
	// RefusedByParents counts the Refused messages received from parents.
	RefusedByParents uint64
	// GapsSeen counts the messages that could not be applied because they required another version
	// than this node held.
	GapsSeen uint64
	// WrongDigests counts the messages whose digest differs from the digest of the content that
	// they would have resulted in.
	WrongDigests uint64
	// OlderRefused counts the messages, changes and states that were refused because they are not
	// newer than the version of the node.
	OlderRefused uint64
	// ParentsLost counts the parents whose link ended or was closed.
	ParentsLost uint64
	// Dials counts this node's dials to possible parents.
	Dials uint64
}

// Status describes a node at one time.
type Status struct {
	// Version is the version that the node holds.
	Version Version
	// Digest is the digest of the entries.
	Digest Digest
	// Age is how old the configuration may be: the time in µs since it was last known to equal its
	// source, the record of the voters; NeverCurrent if it never was.
	Age Microseconds
	// Parent is the name of the parent; empty for a voter, and for a subscriber without a parent.
	Parent string
	// Path holds the names of the nodes from the voter down to the parent.
	Path []string
	// Children are the names of the children in the order of their admission.
	Children []string
	// Entries counts the entries that are not tombstones.
	Entries int
	// Counts holds the totals since the start.
	Counts Counts
}

// Version returns the version that the node holds; zero before the first configuration.
func (n *Node) Version() Version { return n.store.version }

// State returns the complete state of the node, sorted by scope and name, to be stored for a
// restart.
func (n *Node) State() State { return n.store.state() }

// Status returns the status of the node at the time now.
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

// sourceAge returns the time in µs since the source was last known to be current; NeverCurrent if
// it never was.
func (n *Node) sourceAge(now Microseconds) Microseconds {
	if !n.sourceEverCurrent {
		return NeverCurrent
	}
	return now - n.sourceCurrentAt
}

// noteSourceCurrent records that this node held everything that its source, the record of the
// voters, held at the given time. The call has no effect if a later time is recorded already.
func (n *Node) noteSourceCurrent(at Microseconds) {
	if n.sourceEverCurrent && at <= n.sourceCurrentAt {
		return
	}
	n.sourceEverCurrent = true
	n.sourceCurrentAt = at
}

// logStaleness logs EventSourceStale once the source was not known to be current for longer than
// MaxStaleness, and EventSourceCurrent once it is known to be current again.
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
