package distribution

// preparedBatch is a batch of changes whose effect on a store is worked out, and of which nothing is applied yet.
type preparedBatch struct {
	steps  []preparedChange
	digest Digest // of the store afterwards
	bytes  int    // of the store's entries afterwards
}

// preparedChange is one change with what each of its entries does to the digest.
type preparedChange struct {
	entries     []Entry // each with its own revision and time of acceptance
	differences []Digest
	logged      loggedChange
}

// prepare works out what changes would do to the store. The store is not modified.
func (s *store) prepare(changes []Change) preparedBatch {
	batch := preparedBatch{digest: s.digest, bytes: s.bytes}
	pending := map[Key]Entry{}
	previous := s.version.Revision
	for _, change := range changes {
		step := preparedChange{entries: withDefaults(change)}
		step.logged = loggedChange{change: withoutDefaults(change), previous: previous}
		step.logged.size = step.logged.change.size()
		previous = change.Revision
		for _, entry := range step.entries {
			old, found := pending[entry.Key()]
			if !found {
				old, found = s.lookup(entry.Key())
			}
			if found {
				batch.bytes -= old.size()
			}
			pending[entry.Key()] = entry
			difference := entryDigest(entry).subtract(entryDigest(old))
			step.differences = append(step.differences, difference)
			step.logged.addDigestChange(entry.Scope, difference)
			step.logged.merged = step.logged.merged || entry.Revision != change.Revision
			batch.digest = batch.digest.add(difference)
			batch.bytes += entry.size()
		}
		batch.steps = append(batch.steps, step)
	}
	return batch
}

// commit applies one change that was prepared, whole. The changes of a batch are committed in their order, with nothing
// else in between, as each was prepared for what the one before it leaves.
func (s *store) commit(step preparedChange) {
	for i, entry := range step.entries {
		s.putWithDigest(entry, step.differences[i])
	}
	s.log.append(step.logged)
	s.version.Revision = step.logged.change.Revision
}

// withDefaults gives a change's entries with the revision and time that they leave to the change.
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

// withoutDefaults is a change as it goes over the wire: what is the same for all its entries is left out of them.
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
