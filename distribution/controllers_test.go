package distribution

import (
	"testing"
)

// expectedAt returns the entries that a node with all scopes has at a revision.
func (c *cluster) expectedAt(epoch Epoch, revision uint64) map[Key]Entry {
	if c.expected[epoch] == nil {
		c.expected[epoch] = map[uint64]map[Key]Entry{0: {}}
	}
	return c.expected[epoch][revision]
}

// Apply implements Host. The controller applies the change to its own entries, which verify
// compares with the record.
func (m *member) Apply(change Change, complete bool) {
	if m.cluster.transcript != nil {
		m.cluster.transcript.note(m, "apply %x %t", mustEncode(change), complete)
	}
	version := Version{change.Epoch, change.Revision}
	if version.Before(m.appliedVersion) {
		m.cluster.reportViolation("%s goes back: Apply got %v, then %v", m.config.Name, m.appliedVersion, version)
	}
	m.appliedVersion = version
	m.applyCount++
	if complete {
		m.controllerEntries = map[Key]Entry{}
	}
	for _, e := range change.Entries {
		m.controllerEntries[e.Key()] = e
		if e.Deleted {
			delete(m.controllerEntries, e.Key())
		}
	}
}

// checkVersionOrder checks that a subscriber's version never decreases, also over restarts. The
// version of a restarted voter may decrease: the log of the record is replayed to it.
func (m *member) checkVersionOrder() {
	version := m.node.Version()
	if m.config.Voter || !version.Epoch.Known() {
		return
	}
	if version.Before(m.highestVersion) {
		m.cluster.reportViolation("%s goes back: its version was %v and is %v",
			m.config.Name, m.highestVersion, version)
	}
	m.highestVersion = version
}

// verify compares the entries of a node and of its controller with the record at the node's
// version.
func (m *member) verify() {
	m.checkVersionOrder()
	c, version := m.cluster, m.node.Version()
	if !version.Epoch.Known() {
		return
	}
	var digest Digest
	expected, want := c.expectedAt(version.Epoch, version.Revision), 0
	store := m.node.store
	for key, e := range expected {
		if !store.covered.Has(key.Scope) {
			continue
		}
		want++
		digest = digest.add(entryDigest(e))
		if got, found := m.node.lookUpLive(key); !found || !sameEntry(got, e) {
			c.reportViolation("%s has entry %v at version %v and should have %v", m.config.Name, got, version, e)
		}
		if got, found := m.controllerEntries[key]; !found || !sameEntry(got, e) {
			c.reportViolation("the controller of %s has entry %v at version %v and should have %v",
				m.config.Name, got, version, e)
		}
	}
	live := 0
	store.forEach(AllScopes(), func(e Entry) bool {
		if !e.Deleted {
			live++
		}
		return true
	})
	if live != want || store.liveEntries != want || len(m.controllerEntries) != want {
		c.reportViolation("%s has %d live entries at version %v, its liveEntries is %d, "+
			"its controller has %d, and there should be %d",
			m.config.Name, live, version, store.liveEntries, len(m.controllerEntries), want)
	}
	if digest != store.digest || digest != store.digestFor(store.covered) {
		c.reportViolation("the digest of %s does not match its entries at version %v", m.config.Name, version)
	}
}

func sameEntry(a, b Entry) bool {
	return string(a.Value) == string(b.Value) && a.Revision == b.Revision && a.AcceptedAt == b.AcceptedAt
}

// requireConsistent ends the test if the cluster has recorded a violated rule.
func (c *cluster) requireConsistent(t *testing.T) {
	t.Helper()
	if c.violation != "" {
		t.Fatal(c.violation)
	}
}

// eventCount returns the number of events of a kind that a member has logged.
func (m *member) eventCount(kind EventKind) int {
	matching := 0
	for _, e := range m.events {
		if e.Kind == kind {
			matching++
		}
	}
	return matching
}
