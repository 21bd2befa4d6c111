package distribution

import (
	"maps"
	"slices"
	"strings"
)

// store is the configuration at one version, with the log of the latest changes up to it. It
// belongs to one Node or Record, and is used only within the calls of that Node or Record. Entries
// that were read from it are not modified when they are replaced.
type store struct {
	version     Version
	covered     Scopes // the scopes for which the entries are complete
	scopes      map[string]*scopeState
	digest      Digest // digest of the entries of all scopes
	liveEntries int    // number of entries that are not tombstones
	bytes       int    // estimated size in bytes of all entries, including tombstones
	tombstones  tombstoneQueue
	log         changeLog
}

// scopeState holds the entries of one scope. It is removed with the last entry of the scope.
type scopeState struct {
	entries []Entry // entries of the scope, sorted by name, including tombstones
	digest  Digest
}

func newStore(version Version, covered Scopes) *store {
	s := &store{version: version, covered: covered, scopes: map[string]*scopeState{}}
	s.log.floor = version.Revision
	return s
}

// storeFrom returns a store with the entries of a state, which are complete for the scopes covered.
// Its log is empty.
func storeFrom(state State, covered Scopes) *store {
	s := newStore(state.Version, covered)
	for _, entry := range state.Entries {
		s.put(entry)
	}
	s.tombstones.horizon = max(s.tombstones.horizon, state.Horizon)
	return s
}

func compareName(entry Entry, name string) int { return strings.Compare(entry.Name, name) }

// lookup returns the entry of a key, which may be a tombstone. If the store has no entry for the
// key, lookup returns a new tombstone and false.
func (s *store) lookup(key Key) (Entry, bool) {
	if scope := s.scopes[key.Scope]; scope != nil {
		if index, found := slices.BinarySearchFunc(scope.entries, key.Name, compareName); found {
			return scope.entries[index], true
		}
	}
	return Entry{Scope: key.Scope, Name: key.Name, Deleted: true}, false
}

// putWithDigest sets an entry, and adds the given difference to the digests of its scope and of the
// store.
func (s *store) putWithDigest(entry Entry, difference Digest) {
	scope := s.scopes[entry.Scope]
	if scope == nil {
		scope = &scopeState{}
		s.scopes[strings.Clone(entry.Scope)] = scope
	}
	index, found := slices.BinarySearchFunc(scope.entries, entry.Name, compareName)
	if found {
		old := scope.entries[index]
		entry.Scope, entry.Name = old.Scope, old.Name // the new entry shares the strings of the replaced entry
		s.addToTotals(old, -1)
		scope.entries[index] = entry
	} else {
		if len(scope.entries) > 0 {
			entry.Scope = scope.entries[0].Scope
		}
		scope.entries = slices.Insert(scope.entries, index, entry)
	}
	s.addToTotals(entry, 1)
	scope.digest = scope.digest.add(difference)
	s.digest = s.digest.add(difference)
	if entry.Deleted {
		s.tombstones.add(entry)
	}
}

// put sets an entry and computes its effect on the digests.
func (s *store) put(entry Entry) {
	old, _ := s.lookup(entry.Key())
	s.putWithDigest(entry, entryDigest(entry).subtract(entryDigest(old)))
}

// addToTotals adds an entry to the total size and to the number of entries that are not tombstones
// if sign is 1, and subtracts the entry from both if sign is -1.
func (s *store) addToTotals(entry Entry, sign int) {
	s.bytes += sign * entry.size()
	if !entry.Deleted {
		s.liveEntries += sign
	}
}

// removeTombstone removes an entry that is a tombstone. The digests do not change, as tombstones do
// not count in them.
func (s *store) removeTombstone(key Key) {
	scope := s.scopes[key.Scope]
	index, _ := slices.BinarySearchFunc(scope.entries, key.Name, compareName)
	s.addToTotals(scope.entries[index], -1)
	scope.entries = slices.Delete(scope.entries, index, index+1)
	if len(scope.entries) == 0 {
		delete(s.scopes, key.Scope)
	}
}

// digestFor returns the digest of some scopes at the version of the store.
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

// digestAt returns the digest of some scopes at an earlier revision. It returns false if the log
// does not cover that revision.
func (s *store) digestAt(revision uint64, scopes Scopes) (Digest, bool) {
	if revision < s.log.floor || revision > s.version.Revision || s.log.insideMerged(revision) {
		return Digest{}, false
	}
	return s.digestFor(scopes).subtract(s.log.digestChangeAfter(revision, scopes)), true
}

// forEach calls the given function for the entries of some scopes, including tombstones, sorted by
// scope and name, until the function returns false.
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

// collect returns the entries of some scopes, with tombstones or without them.
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

// mergedChange returns all entries that were set or deleted after a revision as one change, and
// reports whether they take at most maxBytes; if not, the change is incomplete. The caller has
// checked that no tombstone after the revision is missing.
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

// deltaSource states how a delta that follows some version can be computed.
type deltaSource uint8

const (
	noDelta          deltaSource = iota // the version is of another epoch, after the store's, or before log and tombstones
	deltaFromLog                        // the delta holds the changes of the log after the version
	deltaFromEntries                    // one change merged from all entries after the version, if it fits one batch
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

// deltaPossible reports whether deltaFrom can return a delta. If the delta would be a merged
// change, the change is computed only for its size.
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

// deltaFrom returns a delta that advances a child from a version, of at most batchBytes unless a
// single change of the log is larger. The delta is nil if nothing changed in the child's scopes. No
// delta is possible from another epoch, from a revision later than that of the store, from a
// revision that neither the log nor the tombstones cover, or if a merged change would be larger
// than batchBytes.
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

// compact drops the oldest changes of the log and the oldest tombstones until both are within the
// limits. It reports whether it dropped any change of the log.
func (s *store) compact(limits Limits) bool {
	dropped := s.log.enforceLimits(limits.LogChanges, limits.LogBytes)
	for len(s.tombstones.queue) > limits.Tombstones {
		s.dropTombstone()
	}
	return dropped
}

// dropTombstone takes the oldest tombstone off the queue, and removes its entry unless the key was
// set again after that deletion.
func (s *store) dropTombstone() {
	oldest := s.tombstones.pop()
	if entry, found := s.lookup(oldest.key); found && entry.Deleted && entry.Revision == oldest.revision {
		s.removeTombstone(oldest.key)
	}
}

// state returns the complete state of the store, including tombstones.
func (s *store) state() State {
	return State{
		Version: s.version,
		Covered: s.covered,
		Horizon: s.tombstones.horizon,
		Entries: s.collect(AllScopes(), true),
	}
}
