package distribution

import "slices"

// loggedChange is a change of the log in its form on the wire, with its effect on the digest of
// each scope.
type loggedChange struct {
	change        Change
	digestChanges []scopeDigestChange
	size          int // estimated encoded size of the change, in bytes
	// merged marks a change that replaces all changes after the revision in previous, up to the
	// revision of the marked change.
	merged   bool
	previous uint64
}

// scopeDigestChange is the difference that a change makes to the digest of one scope. If a change
// has several differences for the same scope, the digest changes by their sum.
type scopeDigestChange struct {
	scope      string
	difference Digest
}

func (l *loggedChange) addDigestChange(scope string, difference Digest) {
	last := len(l.digestChanges) - 1
	if last >= 0 && l.digestChanges[last].scope == scope {
		l.digestChanges[last].difference = l.digestChanges[last].difference.add(difference)
		return
	}
	l.digestChanges = append(l.digestChanges, scopeDigestChange{scope, difference})
}

// changeLog holds the latest changes, sorted by revision, from which deltas are made. Its owner
// calls enforceLimits to bound it.
type changeLog struct {
	floor   uint64 // the log holds every change that is newer than this revision
	changes []loggedChange
	bytes   int // sum of the sizes of all logged changes, in bytes
}

func (l *changeLog) append(change loggedChange) {
	l.changes = append(l.changes, change)
	l.bytes += change.size
}

// enforceLimits drops the oldest changes until the log has at most the given number of changes and
// bytes. It reports whether it dropped any change.
func (l *changeLog) enforceLimits(changes, bytes int) bool {
	dropped := false
	for len(l.changes) > 0 && (len(l.changes) > changes || l.bytes > bytes) {
		l.dropOldest()
		dropped = true
	}
	return dropped
}

func (l *changeLog) dropOldest() {
	l.floor = l.changes[0].change.Revision
	l.bytes -= l.changes[0].size
	l.changes[0] = loggedChange{} // clearing the element releases its entries, as the array stays allocated
	l.changes = l.changes[1:]
}

// indexAfter returns the index in the log of the first change after a revision.
func (l *changeLog) indexAfter(revision uint64) int {
	index, _ := slices.BinarySearchFunc(l.changes, revision+1, func(logged loggedChange, revision uint64) int {
		switch {
		case logged.change.Revision < revision:
			return -1
		case logged.change.Revision > revision:
			return 1
		}
		return 0
	})
	return index
}

// changesAfter returns the changes after a revision, limited to some scopes. Their size is at most
// batchBytes, unless the first change alone is larger. changesAfter also returns the revision that
// a child holds after these changes: newest if they include all changes of the scopes, else the
// revision of the last of them.
func (l *changeLog) changesAfter(revision uint64, scopes Scopes, batchBytes int, newest uint64) ([]Change, uint64) {
	var changes []Change
	size := 0
	for _, logged := range l.changes[l.indexAfter(revision):] {
		part, found := changeInScopes(logged.change, scopes)
		if !found {
			continue
		}
		size += part.size()
		if len(changes) > 0 && size > batchBytes {
			return changes, changes[len(changes)-1].Revision
		}
		changes = append(changes, part)
	}
	return changes, newest
}

// insideMerged reports whether a revision lies within a merged change. The state at such a revision
// cannot be computed.
func (l *changeLog) insideMerged(revision uint64) bool {
	index := l.indexAfter(revision)
	return index < len(l.changes) && l.changes[index].merged && l.changes[index].previous < revision
}

// digestChangeAfter returns the difference that all changes after a revision made to the digest of
// some scopes.
func (l *changeLog) digestChangeAfter(revision uint64, scopes Scopes) Digest {
	var sum Digest
	for _, logged := range l.changes[l.indexAfter(revision):] {
		for _, part := range logged.digestChanges {
			if scopes.Has(part.scope) {
				sum = sum.add(part.difference)
			}
		}
	}
	return sum
}

// changeInScopes returns a copy of a change that holds only the entries in the given scopes, and
// reports whether the copy holds any entry.
func changeInScopes(change Change, scopes Scopes) (part Change, found bool) {
	if scopes.All {
		return change, len(change.Entries) > 0
	}
	var entries []Entry
	for _, entry := range change.Entries {
		if scopes.Has(entry.Scope) {
			entries = append(entries, entry)
		}
	}
	change.Entries = entries
	return change, len(entries) > 0
}
