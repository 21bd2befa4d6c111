package distribution

// isOlder tells whether a version is older than what the node has, or had before it was started.
func (n *Node) isOlder(version Version) bool {
	return version.Before(n.store.version) || version.Before(n.config.Floor)
}

// conflictsWith tells whether an epoch was founded beside the node's, without either knowing of the other.
func (n *Node) conflictsWith(epoch Epoch) bool {
	for _, known := range []Epoch{n.store.version.Epoch, n.config.Floor.Epoch} {
		if epoch.Known() && known.Known() && epoch != known && epoch.Number == known.Number {
			return true
		}
	}
	return false
}

// contentComplete tells whether what the node has is sound, and all of the scopes that it asks for now.
func (n *Node) contentComplete() bool {
	return !n.contentInDoubt && n.store.covered.Equal(n.config.Scopes)
}

// reportOlder notes that something older than what the node has was refused.
func (n *Node) reportOlder(peer string, version Version) {
	n.counts.OlderRefused++
	n.host.Log(Event{Kind: EventOlderRefused, Peer: peer, Version: version})
}

// applyBatch applies changes that were prepared, one after the other and each of them whole.
func (n *Node) applyBatch(batch preparedBatch) {
	for _, step := range batch.steps {
		step.entries = n.faults.appliedEntries(step.entries)
		n.store.commit(step)
		n.counts.ChangesApplied++
		change := step.logged.change
		change.Epoch = n.store.version.Epoch
		change.Entries = step.entries
		n.host.Apply(change, false)
	}
	n.compactStore()
}

// replaceStore installs a complete state in one step.
func (n *Node) replaceStore(installed *store, now Microseconds) {
	n.store = installed
	n.host.Apply(Change{
		Epoch:    installed.version.Epoch,
		Revision: installed.version.Revision,
		Entries:  installed.collect(AllScopes(), false),
	}, true)
	n.compactStore()
	n.removeUncoveredChildren(now)
	n.sendDeltasToAll(now)
}

// compactStore keeps the log and the tombstones within their limits.
func (n *Node) compactStore() {
	if n.store.compact(n.limits) {
		n.host.Log(Event{Kind: EventCompacted, Version: Version{n.store.version.Epoch, n.store.log.floor}})
	}
}
