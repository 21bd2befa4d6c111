package distribution

// prepared is a batch of changes whose effect on a store is worked out, and of which nothing is applied yet.
type prepared struct {
	steps  []preparedChange
	digest Digest // of the store afterwards
	bytes  int    // of the store afterwards
}

// preparedChange is one change with what each of its entries does to the digest.
type preparedChange struct {
	entries     []Entry // each with its own revision and time of acceptance
	differences []Digest
	log         logged
}

// prepare works out what changes would do to the store.
func (s *store) prepare(changes []Change) prepared {
	result := prepared{digest: s.digest, bytes: s.bytes}
	pending := map[Key]Entry{}
	previous := s.version.Revision
	for _, change := range changes {
		step := preparedChange{entries: filledIn(change), log: logged{change: stripped(change)}}
		step.log.size = step.log.change.size()
		step.log.previous, previous = previous, change.Revision
		for _, e := range step.entries {
			old, found := pending[e.Key()]
			if !found {
				old, found = s.lookup(e.Key())
			}
			if found {
				result.bytes -= old.size()
			}
			pending[e.Key()] = e
			difference := digestOf(e).minus(digestOf(old))
			step.differences = append(step.differences, difference)
			step.log.add(e.Scope, difference)
			step.log.merged = step.log.merged || e.Revision != change.Revision
			result.digest = result.digest.plus(difference)
			result.bytes += e.size()
		}
		result.steps = append(result.steps, step)
	}
	return result
}

// commit applies one change that was prepared, whole.
func (s *store) commit(step preparedChange) {
	for i, e := range step.entries {
		s.put(e, step.differences[i])
	}
	s.log.append(step.log)
	s.version.Revision = step.log.change.Revision
}

// filledIn gives a change's entries with the revision and time that they leave to the change.
func filledIn(change Change) []Entry {
	entries := make([]Entry, len(change.Entries))
	for i, e := range change.Entries {
		if e.Revision == 0 {
			e.Revision = change.Revision
		}
		if e.AcceptedAt == 0 {
			e.AcceptedAt = change.AcceptedAt
		}
		entries[i] = e
	}
	return entries
}

// stripped is a change as it goes over the wire: what is the same for all its entries is left out of them.
func stripped(change Change) Change {
	entries := make([]Entry, len(change.Entries))
	for i, e := range change.Entries {
		if e.Revision == change.Revision {
			e.Revision = 0
		}
		if e.AcceptedAt == change.AcceptedAt {
			e.AcceptedAt = 0
		}
		entries[i] = e
	}
	return Change{Revision: change.Revision, AcceptedAt: change.AcceptedAt, Entries: entries}
}
