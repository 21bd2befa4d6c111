package distribution

// plantedFaults each break one rule of a node, to show that the check of every order of events finds that. The zero value
// breaks none; only check_test.go, which stands in this package, can set another. The rules lie in the middle of the
// node's calls, so no host can break them from outside. All that looks at a planted fault is in this file: each method
// gives back what it was given unless its fault is planted.
type plantedFaults struct {
	acceptGaps  bool // a delta that does not follow is applied
	acceptOlder bool // what an older parent sends is applied
	applyHalf   bool // of a change the first entry alone is applied
}

// acceptsDigest lets a wrong digest pass where gaps are accepted.
func (f plantedFaults) acceptsDigest(matches bool) bool { return matches || f.acceptGaps }

// acceptsMessage lets what does not follow pass where gaps are accepted, if the epoch is the node's.
func (f plantedFaults) acceptsMessage(follows, sameEpoch bool) bool {
	return follows || f.acceptGaps && sameEpoch
}

// refusesOlder lets what is older pass where that is accepted.
func (f plantedFaults) refusesOlder(older bool) bool { return older && !f.acceptOlder }

// requestedVersion hides from the parent what this node has, where older things are accepted.
func (f plantedFaults) requestedVersion(version Version) Version {
	if f.acceptOlder {
		return Version{}
	}
	return version
}

// appliedEntries leaves out all entries of a change but the first, where half of it is applied.
func (f plantedFaults) appliedEntries(entries []Entry) []Entry {
	if f.applyHalf {
		return entries[:1]
	}
	return entries
}
