package distribution

import "slices"

// tombstoneQueue lists the deleted entries, sorted by revision.
type tombstoneQueue struct {
	horizon uint64 // the queue holds every tombstone that is newer than this revision
	queue   []tombstone
}

type tombstone struct {
	revision uint64
	key      Key
}

// add inserts the tombstone of a deleted entry at its place in the order of revisions, usually at
// the end.
func (t *tombstoneQueue) add(entry Entry) {
	index := len(t.queue)
	for index > 0 && t.queue[index-1].revision > entry.Revision {
		index--
	}
	t.queue = slices.Insert(t.queue, index, tombstone{entry.Revision, entry.Key()})
}

// pop removes the oldest tombstone from the queue, and raises the horizon to its revision.
func (t *tombstoneQueue) pop() tombstone {
	oldest := t.queue[0]
	t.queue[0] = tombstone{} // clearing the element releases its key, as the array stays allocated
	t.queue = t.queue[1:]
	t.horizon = max(t.horizon, oldest.revision)
	return oldest
}
