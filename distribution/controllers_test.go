package distribution

import (
	"testing"
)

// stateAt is what a node with all scopes has at a revision.
func (c *cluster) stateAt(epoch Epoch, revision uint64) map[Key]Entry {
	if c.truth[epoch] == nil {
		c.truth[epoch] = map[uint64]map[Key]Entry{0: {}}
	}
	return c.truth[epoch][revision]
}

// Apply implements Host: the controller takes the change over, and what it has then must be what stood on the record.
func (m *member) Apply(change Change, whole bool) {
	if m.cluster.transcript != nil {
		m.cluster.transcript.note(m, "apply %x %t", mustEncode(change), whole)
	}
	version := Version{change.Epoch, change.Revision}
	if version.Before(m.applied) {
		m.cluster.fails("%s goes back from %v to %v", m.config.Name, m.applied, version)
	}
	m.applied = version
	m.applies++
	if whole {
		m.mirror = map[Key]Entry{}
	}
	for _, e := range change.Entries {
		m.mirror[e.Key()] = e
		if e.Deleted {
			delete(m.mirror, e.Key())
		}
	}
}

// note checks that a subscriber does not go back, also over restarts. A voter that was restarted may: the record's log is
// played to it again.
func (m *member) note() {
	version := m.node.Version()
	if m.config.Voter || !version.Epoch.Known() {
		return
	}
	if version.Before(m.highest) {
		m.cluster.fails("%s goes back from %v to %v", m.config.Name, m.highest, version)
	}
	m.highest = version
}

// verify checks what a node has, and what its controller was told, against the record.
func (m *member) verify() {
	m.note()
	c, version := m.cluster, m.node.Version()
	if !version.Epoch.Known() {
		return
	}
	var digest Digest
	truth, want := c.stateAt(version.Epoch, version.Revision), 0
	store := m.node.store
	for key, e := range truth {
		if !store.covered.Has(key.Scope) {
			continue
		}
		want++
		digest = digest.add(entryDigest(e))
		if has, found := m.node.lookUpLive(key); !found || !sameEntry(has, e) {
			c.fails("%s has %v at %v and should have %v", m.config.Name, has, version, e)
		}
		if has, found := m.mirror[key]; !found || !sameEntry(has, e) {
			c.fails("the controller of %s has %v at %v and should have %v", m.config.Name, has, version, e)
		}
	}
	live := 0
	store.forEach(AllScopes(), func(e Entry) bool {
		if !e.Deleted {
			live++
		}
		return true
	})
	if live != want || store.liveEntries != want || len(m.mirror) != want {
		c.fails("%s has %d entries at %v, counts %d, its controller has %d, and there should be %d", m.config.Name, live, version,
			store.liveEntries, len(m.mirror), want)
	}
	if digest != store.digest || digest != store.digestFor(store.covered) {
		c.fails("%s has another digest than its entries at %v", m.config.Name, version)
	}
}

func sameEntry(a, b Entry) bool {
	return string(a.Value) == string(b.Value) && a.Revision == b.Revision && a.AcceptedAt == b.AcceptedAt
}

// sound ends a test at the first breach.
func (c *cluster) sound(t *testing.T) {
	t.Helper()
	if c.broken != "" {
		t.Fatal(c.broken)
	}
}

// count is how many events of a kind a member has logged.
func (m *member) count(kind EventKind) int {
	number := 0
	for _, e := range m.events {
		if e.Kind == kind {
			number++
		}
	}
	return number
}
