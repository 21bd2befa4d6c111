package distribution

import (
	"testing"
)

// expectedAt is what a node with all scopes has at a revision.
func (c *cluster) expectedAt(epoch Epoch, revision uint64) map[Key]Entry {
	if c.expected[epoch] == nil {
		c.expected[epoch] = map[uint64]map[Key]Entry{0: {}}
	}
	return c.expected[epoch][revision]
}

// Apply implements Host: the controller takes the change over, and what it has then must be what stood on the record.
func (m *member) Apply(change Change, whole bool) {
	if m.cluster.transcript != nil {
		m.cluster.transcript.note(m, "apply %x %t", encoded(change), whole)
	}
	version := Version{change.Epoch, change.Revision}
	if version.Before(m.appliedVersion) {
		m.cluster.reportViolation("%s goes back from %v to %v", m.config.Name, m.appliedVersion, version)
	}
	m.appliedVersion = version
	m.applyCount++
	if whole {
		m.controllerEntries = map[Key]Entry{}
	}
	for _, e := range change.Entries {
		m.controllerEntries[e.Key()] = e
		if e.Deleted {
			delete(m.controllerEntries, e.Key())
		}
	}
}

// checkVersionOrder checks that a subscriber does not go back, also over restarts. A voter that was restarted may: the record's log is
// played to it again.
func (m *member) checkVersionOrder() {
	version := m.node.Version()
	if m.config.Voter || !version.Epoch.Known() {
		return
	}
	if version.Before(m.highestVersion) {
		m.cluster.reportViolation("%s goes back from %v to %v", m.config.Name, m.highestVersion, version)
	}
	m.highestVersion = version
}

// verify checks what a node has, and what its controller was told, against the record.
func (m *member) verify() {
	m.checkVersionOrder()
	c, version := m.cluster, m.node.Version()
	if !version.Epoch.Known() {
		return
	}
	var digest Digest
	truth, want := c.expectedAt(version.Epoch, version.Revision), 0
	store := m.node.store
	for key, e := range truth {
		if !store.covered.Has(key.Scope) {
			continue
		}
		want++
		digest = digest.add(entryDigest(e))
		if has, found := m.node.lookUp(key); !found || !sameEntry(has, e) {
			c.reportViolation("%s has %v at %v and should have %v", m.config.Name, has, version, e)
		}
		if has, found := m.controllerEntries[key]; !found || !sameEntry(has, e) {
			c.reportViolation("the controller of %s has %v at %v and should have %v", m.config.Name, has, version, e)
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
		c.reportViolation("%s has %d entries at %v, counts %d, its controller has %d, and there should be %d", m.config.Name, live, version,
			store.liveEntries, len(m.controllerEntries), want)
	}
	if digest != store.digest || digest != store.digestFor(store.covered) {
		c.reportViolation("%s has another digest than its entries at %v", m.config.Name, version)
	}
}

func sameEntry(a, b Entry) bool {
	return string(a.Value) == string(b.Value) && a.Revision == b.Revision && a.AcceptedAt == b.AcceptedAt
}

// requireConsistent ends a test at the first breach.
func (c *cluster) requireConsistent(t *testing.T) {
	t.Helper()
	if c.violation != "" {
		t.Fatal(c.violation)
	}
}

// eventCount is how many events of a kind a member has logged.
func (m *member) eventCount(kind EventKind) int {
	number := 0
	for _, e := range m.events {
		if e.Kind == kind {
			number++
		}
	}
	return number
}
