package distribution

// plantedFaults are deliberate faults, each of which breaks one rule of a node. They show that the
// model check, which runs every order of events, detects a broken rule. The zero value breaks no
// rule; only check_test.go, which belongs to this package, sets others. The rules are applied in
// the middle of the node's methods, so no host can break them from outside. All code that depends
// on a planted fault is in this file: each method returns its unchanged argument unless the fault
// is planted.
type plantedFaults struct {
	acceptGaps  bool // applies deltas that do not follow the node's version
	acceptOlder bool // applies an older version from a parent
	applyHalf   bool // applies only the first entry of a change
}

// acceptsDigest reports whether a digest is accepted: only one that matches, or any with
// acceptGaps.
func (f plantedFaults) acceptsDigest(matches bool) bool { return matches || f.acceptGaps }

// acceptsMessage reports whether a message is accepted: with acceptGaps also one that does not
// follow the node's version, if it has the node's epoch.
func (f plantedFaults) acceptsMessage(follows, sameEpoch bool) bool {
	return follows || f.acceptGaps && sameEpoch
}

// refusesOlder reports whether an older version is refused: with acceptOlder never.
func (f plantedFaults) refusesOlder(older bool) bool { return older && !f.acceptOlder }

// requestedVersion returns the version for a Subscribe: with acceptOlder zero, so that an older
// parent sends its content.
func (f plantedFaults) requestedVersion(version Version) Version {
	if f.acceptOlder {
		return Version{}
	}
	return version
}

// appliedEntries returns the entries of a change to apply: with applyHalf only the first.
func (f plantedFaults) appliedEntries(entries []Entry) []Entry {
	if f.applyHalf {
		return entries[:1]
	}
	return entries
}
