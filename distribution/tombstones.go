package distribution

import "slices"

// tombstoneQueue knows the deleted entries in the order of their revisions.
type tombstoneQueue struct {
	horizon uint64 // no tombstone after this revision is missing
	queue   []tombstone
}

type tombstone struct {
	revision uint64
	key      Key
}

// add puts an entry in its place; as a rule the last.
func (t *tombstoneQueue) add(entry Entry) {
	at := len(t.queue)
	for at > 0 && t.queue[at-1].revision > entry.Revision {
		at--
	}
	t.queue = slices.Insert(t.queue, at, tombstone{entry.Revision, entry.Key()})
}

// pop takes the oldest off the queue.
func (t *tombstoneQueue) pop() tombstone {
	oldest := t.queue[0]
	t.queue[0] = tombstone{} // the array lives on; its key can be freed
	t.queue = t.queue[1:]
	t.horizon = max(t.horizon, oldest.revision)
	return oldest
}
