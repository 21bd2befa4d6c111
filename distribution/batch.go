package distribution

// preparedBatch holds changes that are not applied yet, with their effect on a store.
type preparedBatch struct {
	changes []preparedChange
	digest  Digest // digest of the store after the batch
	bytes   int    // estimated size in bytes of all entries of the store after the batch
}

// preparedChange is one change with the effect of each of its entries on the digest.
type preparedChange struct {
	entries     []Entry  // entries of the change, with their revisions and times of acceptance filled in
	differences []Digest // for each entry, its digest minus the digest of the entry that it replaces
	logged      loggedChange
}

// prepare computes the effect of changes on the store, and does not modify the store.
func (s *store) prepare(changes []Change) preparedBatch {
	batch := preparedBatch{digest: s.digest, bytes: s.bytes}
	pending := map[Key]Entry{}
	previous := s.version.Revision
	for _, change := range changes {
		prepared := preparedChange{entries: withDefaults(change)}
		prepared.logged = loggedChange{change: withoutDefaults(change), previous: previous}
		prepared.logged.size = prepared.logged.change.size()
		previous = change.Revision
		for _, entry := range prepared.entries {
			old, found := pending[entry.Key()]
			if !found {
				old, found = s.lookup(entry.Key())
			}
			if found {
				batch.bytes -= old.size()
			}
			pending[entry.Key()] = entry
			difference := entryDigest(entry).subtract(entryDigest(old))
			prepared.differences = append(prepared.differences, difference)
			prepared.logged.addDigestChange(entry.Scope, difference)
			prepared.logged.merged = prepared.logged.merged || entry.Revision != change.Revision
			batch.digest = batch.digest.add(difference)
			batch.bytes += entry.size()
		}
		batch.changes = append(batch.changes, prepared)
	}
	return batch
}

// commit applies one prepared change completely. The changes of a batch must be committed in order,
// without any other modification of the store between them, because each was prepared for the state
// after the previous one.
func (s *store) commit(prepared preparedChange) {
	for i, entry := range prepared.entries {
		s.putWithDigest(entry, prepared.differences[i])
	}
	s.log.append(prepared.logged)
	s.version.Revision = prepared.logged.change.Revision
}

// withDefaults returns the entries of a change. An entry whose revision or time of acceptance is
// zero gets the revision or time of the change.
func withDefaults(change Change) []Entry {
	entries := make([]Entry, len(change.Entries))
	for i, entry := range change.Entries {
		if entry.Revision == 0 {
			entry.Revision = change.Revision
		}
		if entry.AcceptedAt == 0 {
			entry.AcceptedAt = change.AcceptedAt
		}
		entries[i] = entry
	}
	return entries
}

// withoutDefaults returns a change in its form on the wire: the revision and the time of acceptance
// of an entry are zero if they equal those of the change, and the epoch is omitted.
func withoutDefaults(change Change) Change {
	entries := make([]Entry, len(change.Entries))
	for i, entry := range change.Entries {
		if entry.Revision == change.Revision {
			entry.Revision = 0
		}
		if entry.AcceptedAt == change.AcceptedAt {
			entry.AcceptedAt = 0
		}
		entries[i] = entry
	}
	return Change{Revision: change.Revision, AcceptedAt: change.AcceptedAt, Entries: entries}
}
