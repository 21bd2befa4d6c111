package distribution

import (
	"maps"
	"slices"
	"strings"
)

// store is the configuration at one version, with the log of the changes that led there.
type store struct {
	version Version
	covered Scopes // the scopes that the contents are complete for
	scopes  map[string]*scopeState
	digest  Digest // of all scopes
	live    int
	bytes   int // of all entries, tombstones among them
	graves  tombstones
	log     changeLog
}

// scopeState is the entries of one scope.
type scopeState struct {
	entries []Entry // by name, tombstones among them
	digest  Digest
}

func newStore(version Version, covered Scopes) *store {
	s := &store{version: version, covered: covered, scopes: map[string]*scopeState{}}
	s.log.floor = version.Revision
	return s
}

func compareName(e Entry, name string) int { return strings.Compare(e.Name, name) }

// lookup gives the entry of a key; where there is none, a tombstone and false.
func (s *store) lookup(key Key) (Entry, bool) {
	if scope := s.scopes[key.Scope]; scope != nil {
		if at, found := slices.BinarySearchFunc(scope.entries, key.Name, compareName); found {
			return scope.entries[at], true
		}
	}
	return Entry{Scope: key.Scope, Name: key.Name, Deleted: true}, false
}

// put sets an entry, by which the digest changes as given.
func (s *store) put(e Entry, difference Digest) {
	scope := s.scopes[e.Scope]
	if scope == nil {
		scope = &scopeState{}
		s.scopes[strings.Clone(e.Scope)] = scope
	}
	at, found := slices.BinarySearchFunc(scope.entries, e.Name, compareName)
	if found {
		old := scope.entries[at]
		e.Scope, e.Name = old.Scope, old.Name // one copy of each text is enough
		s.count(old, -1)
		scope.entries[at] = e
	} else {
		if len(scope.entries) > 0 {
			e.Scope = scope.entries[0].Scope
		}
		scope.entries = slices.Insert(scope.entries, at, e)
	}
	s.count(e, 1)
	scope.digest = scope.digest.plus(difference)
	s.digest = s.digest.plus(difference)
	if e.Deleted {
		s.graves.add(e)
	}
}

// set is put for an entry whose effect on the digest is not known yet.
func (s *store) set(e Entry) {
	old, _ := s.lookup(e.Key())
	s.put(e, digestOf(e).minus(digestOf(old)))
}

// count adds an entry to the totals, or takes it away.
func (s *store) count(e Entry, sign int) {
	s.bytes += sign * e.size()
	if !e.Deleted {
		s.live += sign
	}
}

// remove drops a tombstone; the digest is that of live entries and stays.
func (s *store) remove(key Key) {
	scope := s.scopes[key.Scope]
	at, _ := slices.BinarySearchFunc(scope.entries, key.Name, compareName)
	s.count(scope.entries[at], -1)
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
			sum = sum.plus(scope.digest)
		}
	}
	return sum
}

// digestAt is the digest that some scopes had at an earlier revision, if the log still tells.
func (s *store) digestAt(revision uint64, scopes Scopes) (Digest, bool) {
	if revision < s.log.floor || revision > s.version.Revision || s.log.merges(revision) {
		return Digest{}, false
	}
	return s.digestFor(scopes).minus(s.log.sumAfter(revision, scopes)), true
}

// visit hands out the entries of some scopes, tombstones among them, by scope and name, until told to stop.
func (s *store) visit(scopes Scopes, each func(Entry) bool) {
	names := scopes.Names
	if scopes.All {
		names = slices.Sorted(maps.Keys(s.scopes))
	}
	for _, name := range names {
		scope := s.scopes[name]
		if scope == nil {
			continue
		}
		for _, e := range scope.entries {
			if !each(e) {
				return
			}
		}
	}
}

// collect gives the entries of some scopes, with tombstones or without.
func (s *store) collect(scopes Scopes, withTombstones bool) []Entry {
	var entries []Entry
	s.visit(scopes, func(e Entry) bool {
		if withTombstones || !e.Deleted {
			entries = append(entries, e)
		}
		return true
	})
	return entries
}

// merged gives everything that was set after a revision as one change, if it fits a number of bytes. The caller sees
// to it that no tombstone after the revision is missing.
func (s *store) merged(revision uint64, scopes Scopes, most int) (change Change, fits bool) {
	change = Change{Revision: s.version.Revision}
	size := 0
	s.visit(scopes, func(e Entry) bool {
		if e.Revision > revision {
			change.Entries = append(change.Entries, e)
			size += e.size()
		}
		return size <= most
	})
	return change, size <= most
}

// deltaFrom gives what leads a child from one version on, at most a batch of it; nil if there is nothing in its scopes.
// It is not possible from another epoch, from a revision not reached yet, or from one that neither the log nor the
// tombstones reach any more.
func (s *store) deltaFrom(from Version, scopes Scopes, batch int) (delta *Delta, possible bool) {
	if from.Epoch != s.version.Epoch || from.Revision > s.version.Revision {
		return nil, false
	}
	delta = &Delta{Epoch: s.version.Epoch, Previous: from.Revision, Revision: s.version.Revision}
	if from.Revision < s.log.floor {
		if from.Revision < s.graves.horizon {
			return nil, false
		}
		change, fits := s.merged(from.Revision, scopes, batch)
		if !fits {
			return nil, false
		}
		if len(change.Entries) > 0 {
			delta.Changes = []Change{change}
		}
	} else {
		delta.Changes, delta.Revision = s.log.after(from.Revision, scopes, batch, s.version.Revision)
	}
	if len(delta.Changes) == 0 {
		return nil, true
	}
	delta.Digest, _ = s.digestAt(delta.Revision, scopes)
	return delta, true
}

// compact drops from the log and the tombstones what the limits do not allow. It tells whether any of the log went.
func (s *store) compact(limits Limits) bool {
	dropped := s.log.bound(limits.LogChanges, limits.LogBytes)
	for len(s.graves.list) > limits.Tombstones {
		s.dropTombstone()
	}
	return dropped
}

// compactTo drops changes and tombstones up to a revision.
func (s *store) compactTo(revision uint64) {
	revision = min(revision, s.version.Revision)
	s.log.dropTo(revision)
	for len(s.graves.list) > 0 && s.graves.list[0].revision <= revision {
		s.dropTombstone()
	}
	s.graves.horizon = max(s.graves.horizon, revision)
}

// dropTombstone drops the oldest tombstone, unless its key was set again since.
func (s *store) dropTombstone() {
	oldest := s.graves.pop()
	if e, found := s.lookup(oldest.key); found && e.Deleted && e.Revision == oldest.revision {
		s.remove(oldest.key)
	}
}

// state is the whole of the store.
func (s *store) state() State {
	return State{Version: s.version, Covered: s.covered, Horizon: s.graves.horizon, Entries: s.collect(AllScopes(), true)}
}
