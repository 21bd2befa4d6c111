package distribution

// isOlder reports whether a version is older than the version that the node holds, or than its
// Config.Floor from before a restart.
func (n *Node) isOlder(version Version) bool {
	return version.Before(n.store.version) || version.Before(n.config.Floor)
}

// conflictsWith reports whether an epoch has the same number as the epoch of this node, or of its
// Config.Floor, but another identity: the two records were created independently.
func (n *Node) conflictsWith(epoch Epoch) bool {
	for _, known := range []Epoch{n.store.version.Epoch, n.config.Floor.Epoch} {
		if epoch.Known() && known.Known() && epoch != known && epoch.Number == known.Number {
			return true
		}
	}
	return false
}

// contentComplete reports whether the store covers exactly the scopes to which the node subscribes
// now, and no wrong digest has put its content in doubt.
func (n *Node) contentComplete() bool {
	return !n.contentInDoubt && n.store.covered.Equal(n.config.Scopes)
}

// reportOlder counts and logs the refusal of a message, change or state that is not newer than the
// version of the node.
func (n *Node) reportOlder(peer string, version Version) {
	n.counts.OlderRefused++
	n.host.Log(Event{Kind: EventOlderRefused, Peer: peer, Version: version})
}

// applyBatch applies prepared changes in order, and passes each to the host.
func (n *Node) applyBatch(batch preparedBatch) {
	for _, prepared := range batch.changes {
		prepared.entries = n.faults.appliedEntries(prepared.entries)
		n.store.commit(prepared)
		n.counts.ChangesApplied++
		change := prepared.logged.change
		change.Epoch = n.store.version.Epoch
		change.Entries = prepared.entries
		n.host.Apply(change, false)
	}
	n.compactStore()
}

// replaceStore installs a complete state in one step and passes it to the host. It removes the
// children whose scopes the state does not cover, and sends the others the deltas that they lack.
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

// compactStore enforces the limits on the log and the tombstones.
func (n *Node) compactStore() {
	if n.store.compact(n.limits) {
		n.host.Log(Event{Kind: EventCompacted, Version: Version{n.store.version.Epoch, n.store.log.floor}})
	}
}
