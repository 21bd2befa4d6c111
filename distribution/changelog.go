package distribution

import "slices"

// loggedChange is a change in the log, as it goes to children, and what it did to the digest of each scope.
type loggedChange struct {
	change        Change
	digestChanges []scopeDigestChange
	size          int // bytes
	// merged says that the change stands for several, of which the first came after the revision previous.
	merged   bool
	previous uint64
}

// scopeDigestChange is by how much a change moved the digest of a scope. A scope may be there several times; they add up.
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

// changeLog holds the latest changes, in order of their revisions, for deltas. Who owns it bounds it by enforceLimits.
type changeLog struct {
	floor   uint64 // every change after this revision is there
	changes []loggedChange
	bytes   int // of all changes
}

func (l *changeLog) append(change loggedChange) {
	l.changes = append(l.changes, change)
	l.bytes += change.size
}

// enforceLimits drops the oldest changes over the limits, and tells whether there were any.
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
	l.changes[0] = loggedChange{} // the array lives on; its entries can be freed
	l.changes = l.changes[1:]
}

// indexAfter is the index of the first change after a revision.
func (l *changeLog) indexAfter(revision uint64) int {
	at, _ := slices.BinarySearchFunc(l.changes, revision+1, func(logged loggedChange, revision uint64) int {
		switch {
		case logged.change.Revision < revision:
			return -1
		case logged.change.Revision > revision:
			return 1
		}
		return 0
	})
	return at
}

// changesAfter gives the changes after a revision in some scopes, as many as fit a batch of bytes and at least one, and
// the revision that they lead to: the last change's, or the newest if nothing is left after them.
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

// insideMerged tells whether a revision lies within a merged change, so that the log does not know the state at it.
func (l *changeLog) insideMerged(revision uint64) bool {
	at := l.indexAfter(revision)
	return at < len(l.changes) && l.changes[at].merged && l.changes[at].previous < revision
}

// digestChangeAfter is by how much the changes after a revision moved the digest of some scopes.
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

// changeInScopes is the part of a change in some scopes, and whether there is any.
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
