package distribution

import "slices"

// logged is a change in the log, as it goes to children, and what it did to the digest of each scope.
type logged struct {
	change Change
	sums   []scopeSum
	size   int
	// merged says that the change stands for several, of which the first came after the revision previous.
	merged   bool
	previous uint64
}

// scopeSum is by how much a change moved the digest of a scope. A scope may be there several times; they add up.
type scopeSum struct {
	scope string
	sum   Digest
}

func (l *logged) add(scope string, difference Digest) {
	if last := len(l.sums) - 1; last >= 0 && l.sums[last].scope == scope {
		l.sums[last].sum = l.sums[last].sum.plus(difference)
		return
	}
	l.sums = append(l.sums, scopeSum{scope, difference})
}

// changeLog holds the latest changes, for deltas.
type changeLog struct {
	floor   uint64 // every change after this revision is there
	changes []logged
	bytes   int
}

func (l *changeLog) append(change logged) {
	l.changes = append(l.changes, change)
	l.bytes += change.size
}

// bound drops the oldest changes over the limits, and tells whether there were any.
func (l *changeLog) bound(changes, bytes int) bool {
	dropped := false
	for len(l.changes) > 0 && (len(l.changes) > changes || l.bytes > bytes) {
		l.dropOldest()
		dropped = true
	}
	return dropped
}

// dropTo drops the changes up to a revision.
func (l *changeLog) dropTo(revision uint64) {
	for len(l.changes) > 0 && l.changes[0].change.Revision <= revision {
		l.dropOldest()
	}
	l.floor = max(l.floor, revision)
}

func (l *changeLog) dropOldest() {
	l.floor = l.changes[0].change.Revision
	l.bytes -= l.changes[0].size
	l.changes[0] = logged{} // lets its entries go
	l.changes = l.changes[1:]
}

// from is the index of the first change after a revision.
func (l *changeLog) from(revision uint64) int {
	at, _ := slices.BinarySearchFunc(l.changes, revision+1, func(c logged, revision uint64) int {
		switch {
		case c.change.Revision < revision:
			return -1
		case c.change.Revision > revision:
			return 1
		}
		return 0
	})
	return at
}

// after gives the changes after a revision in some scopes, as many as fit a batch and at least one, and the revision
// that they lead to: the last change's, or the newest if nothing is left after them.
func (l *changeLog) after(revision uint64, scopes Scopes, batch int, newest uint64) ([]Change, uint64) {
	var changes []Change
	size := 0
	for _, each := range l.changes[l.from(revision):] {
		part, any := within(each.change, scopes)
		if !any {
			continue
		}
		size += part.size()
		if len(changes) > 0 && size > batch {
			return changes, changes[len(changes)-1].Revision
		}
		changes = append(changes, part)
	}
	return changes, newest
}

// merges tells whether a revision lies within a merged change, so that the log does not know what stood at it.
func (l *changeLog) merges(revision uint64) bool {
	at := l.from(revision)
	return at < len(l.changes) && l.changes[at].merged && l.changes[at].previous < revision
}

// sumAfter is by how much the changes after a revision moved the digest of some scopes.
func (l *changeLog) sumAfter(revision uint64, scopes Scopes) Digest {
	var sum Digest
	for _, each := range l.changes[l.from(revision):] {
		for _, part := range each.sums {
			if scopes.Has(part.scope) {
				sum = sum.plus(part.sum)
			}
		}
	}
	return sum
}

// within is the part of a change in some scopes, and whether there is any.
func within(change Change, scopes Scopes) (Change, bool) {
	if scopes.All {
		return change, len(change.Entries) > 0
	}
	var entries []Entry
	for _, e := range change.Entries {
		if scopes.Has(e.Scope) {
			entries = append(entries, e)
		}
	}
	change.Entries = entries
	return change, len(entries) > 0
}

// tombstones knows the deleted entries in the order of their revisions.
type tombstones struct {
	horizon uint64 // no tombstone after this revision is missing
	list    []tombstone
}

type tombstone struct {
	revision uint64
	key      Key
}

// add puts an entry in its place; as a rule the last.
func (t *tombstones) add(e Entry) {
	at := len(t.list)
	for at > 0 && t.list[at-1].revision > e.Revision {
		at--
	}
	t.list = slices.Insert(t.list, at, tombstone{e.Revision, e.Key()})
}

// pop takes the oldest off the list.
func (t *tombstones) pop() tombstone {
	oldest := t.list[0]
	t.list[0] = tombstone{}
	t.list = t.list[1:]
	t.horizon = max(t.horizon, oldest.revision)
	return oldest
}
