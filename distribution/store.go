package distribution

import (
	"maps"
	"slices"
	"strings"
)

// store is the configuration at one version, with the log of the changes that led there. It belongs to one Node or Record
// and is used within their calls alone. Entries that were read from it stay as they are when others replace them.
type store struct {
	version     Version
	covered     Scopes // the scopes that the contents are complete for
	scopes      map[string]*scopeState
	digest      Digest // of all scopes
	liveEntries int    // tombstones not counted
	bytes       int    // of all entries, tombstones among them
	tombstones  tombstoneQueue
	log         changeLog
}

// scopeState holds the entries of one scope; there is none without entries.
type scopeState struct {
	entries []Entry // by name, tombstones among them
	digest  Digest
}

func newStore(version Version, covered Scopes) *store {
	s := &store{version: version, covered: covered, scopes: map[string]*scopeState{}}
	s.log.floor = version.Revision
	return s
}

// storeFrom is a store with the contents of a state, complete for the scopes given. Its log is empty.
func storeFrom(state State, covered Scopes) *store {
	s := newStore(state.Version, covered)
	for _, entry := range state.Entries {
		s.put(entry)
	}
	s.tombstones.horizon = max(s.tombstones.horizon, state.Horizon)
	return s
}

func compareName(entry Entry, name string) int { return strings.Compare(entry.Name, name) }

// lookup gives the entry of a key; where there is none, a tombstone and false.
func (s *store) lookup(key Key) (Entry, bool) {
	if scope := s.scopes[key.Scope]; scope != nil {
		if at, found := slices.BinarySearchFunc(scope.entries, key.Name, compareName); found {
			return scope.entries[at], true
		}
	}
	return Entry{Scope: key.Scope, Name: key.Name, Deleted: true}, false
}

// putWithDigest sets an entry, by which the digest changes as given.
func (s *store) putWithDigest(entry Entry, difference Digest) {
	scope := s.scopes[entry.Scope]
	if scope == nil {
		scope = &scopeState{}
		s.scopes[strings.Clone(entry.Scope)] = scope
	}
	at, found := slices.BinarySearchFunc(scope.entries, entry.Name, compareName)
	if found {
		old := scope.entries[at]
		entry.Scope, entry.Name = old.Scope, old.Name // one copy of each text is enough
		s.addToTotals(old, -1)
		scope.entries[at] = entry
	} else {
		if len(scope.entries) > 0 {
			entry.Scope = scope.entries[0].Scope
		}
		scope.entries = slices.Insert(scope.entries, at, entry)
	}
	s.addToTotals(entry, 1)
	scope.digest = scope.digest.add(difference)
	s.digest = s.digest.add(difference)
	if entry.Deleted {
		s.tombstones.add(entry)
	}
}

// put sets an entry whose effect on the digest is not known yet.
func (s *store) put(entry Entry) {
	old, _ := s.lookup(entry.Key())
	s.putWithDigest(entry, entryDigest(entry).subtract(entryDigest(old)))
}

// addToTotals adds an entry to the totals, or takes it away.
func (s *store) addToTotals(entry Entry, sign int) {
	s.bytes += sign * entry.size()
	if !entry.Deleted {
		s.liveEntries += sign
	}
}

// removeTombstone takes an entry away that is a tombstone; the digest is that of live entries and stays.
func (s *store) removeTombstone(key Key) {
	scope := s.scopes[key.Scope]
	at, _ := slices.BinarySearchFunc(scope.entries, key.Name, compareName)
	s.addToTotals(scope.entries[at], -1)
	scope.entries = slices.Delete(scope.entries, at, at+1)
	if len(scope.entries) == 0 {
		delete(s.scopes, key.Scope)
	}
}

// digestFor is the digest of some scopes now.
func (s *store) digestFor(scopes Scopes) Digest {
	if scopes.All {
		return s.digest
	}
	var sum Digest
	for _, name := range scopes.Names {
		if scope := s.scopes[name]; scope != nil {
			sum = sum.add(scope.digest)
		}
	}
	return sum
}

// digestAt is the digest that some scopes had at an earlier revision, if the log still tells.
func (s *store) digestAt(revision uint64, scopes Scopes) (Digest, bool) {
	if revision < s.log.floor || revision > s.version.Revision || s.log.insideMerged(revision) {
		return Digest{}, false
	}
	return s.digestFor(scopes).subtract(s.log.digestChangeAfter(revision, scopes)), true
}

// forEach hands out the entries of some scopes, tombstones among them, by scope and name, until told to stop.
func (s *store) forEach(scopes Scopes, each func(Entry) bool) {
	names := scopes.Names
	if scopes.All {
		names = slices.Sorted(maps.Keys(s.scopes))
	}
	for _, name := range names {
		scope := s.scopes[name]
		if scope == nil {
			continue
		}
		for _, entry := range scope.entries {
			if !each(entry) {
				return
			}
		}
	}
}

// collect gives the entries of some scopes, with tombstones or without.
func (s *store) collect(scopes Scopes, withTombstones bool) []Entry {
	var entries []Entry
	s.forEach(scopes, func(entry Entry) bool {
		if withTombstones || !entry.Deleted {
			entries = append(entries, entry)
		}
		return true
	})
	return entries
}

// mergedChange gives everything that was set after a revision as one change, if it takes no more than a number of bytes.
// The caller has checked that no tombstone after the revision is missing.
func (s *store) mergedChange(revision uint64, scopes Scopes, maxBytes int) (change Change, withinBytes bool) {
	change = Change{Revision: s.version.Revision}
	size := 0
	s.forEach(scopes, func(entry Entry) bool {
		if entry.Revision > revision {
			change.Entries = append(change.Entries, entry)
			size += entry.size()
		}
		return size <= maxBytes
	})
	return change, size <= maxBytes
}

// deltaSource says what a delta from some version on can be made of.
type deltaSource uint8

const (
	noDelta          deltaSource = iota // another epoch, a revision not reached yet, or one that nothing reaches back to
	deltaFromLog                        // the changes in the log
	deltaFromEntries                    // one merged change of what was set since; it may turn out to be too large
)

func (s *store) deltaSourceFor(from Version) deltaSource {
	switch {
	case from.Epoch != s.version.Epoch || from.Revision > s.version.Revision:
		return noDelta
	case from.Revision >= s.log.floor:
		return deltaFromLog
	case from.Revision >= s.tombstones.horizon:
		return deltaFromEntries
	}
	return noDelta
}

// deltaPossible tells whether deltaFrom is possible. It makes no delta; of a merged change it has to learn the size.
func (s *store) deltaPossible(from Version, scopes Scopes, batchBytes int) bool {
	switch s.deltaSourceFor(from) {
	case deltaFromLog:
		return true
	case deltaFromEntries:
		_, withinBytes := s.mergedChange(from.Revision, scopes, batchBytes)
		return withinBytes
	}
	return false
}

// deltaFrom gives what leads a child from one version on, at most a batch of bytes of it; nil if there is nothing in its
// scopes. It is not possible from another epoch, from a revision not reached yet, or from one that neither the log nor
// the tombstones reach any more.
func (s *store) deltaFrom(from Version, scopes Scopes, batchBytes int) (delta *Delta, possible bool) {
	delta = &Delta{Epoch: s.version.Epoch, Previous: from.Revision, Revision: s.version.Revision}
	switch s.deltaSourceFor(from) {
	case noDelta:
		return nil, false
	case deltaFromLog:
		delta.Changes, delta.Revision = s.log.changesAfter(from.Revision, scopes, batchBytes, s.version.Revision)
	case deltaFromEntries:
		change, withinBytes := s.mergedChange(from.Revision, scopes, batchBytes)
		if !withinBytes {
			return nil, false
		}
		if len(change.Entries) > 0 {
			delta.Changes = []Change{change}
		}
	}
	if len(delta.Changes) == 0 {
		return nil, true
	}
	delta.Digest, _ = s.digestAt(delta.Revision, scopes)
	return delta, true
}

// compact drops from the log and the tombstones what the limits do not allow. It tells whether any of the log went.
func (s *store) compact(limits Limits) bool {
	dropped := s.log.enforceLimits(limits.LogChanges, limits.LogBytes)
	for len(s.tombstones.queue) > limits.Tombstones {
		s.dropTombstone()
	}
	return dropped
}

// dropTombstone drops the oldest tombstone, unless its key was set again since.
func (s *store) dropTombstone() {
	oldest := s.tombstones.pop()
	if entry, found := s.lookup(oldest.key); found && entry.Deleted && entry.Revision == oldest.revision {
		s.removeTombstone(oldest.key)
	}
}

// state is the whole of the store.
func (s *store) state() State {
	return State{Version: s.version, Covered: s.covered, Horizon: s.tombstones.horizon, Entries: s.collect(AllScopes(), true)}
}
