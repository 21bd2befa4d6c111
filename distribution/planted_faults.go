package distribution

// plantedFaults are deliberate faults, each of which breaks one rule of a node. They show that the
// model check, which runs every order of events, detects a broken rule. The zero value breaks no
// rule; only check_test.go, which belongs to this package, sets others. The rules are applied in
// the middle of the node's methods, so no host can break them from outside. All code that depends
// on a planted fault is in this file: each method returns its unchanged argument unless the fault
// is planted.
type plantedFaults struct {
	acceptGaps  bool // the node applies deltas that do not follow its version, and ignores wrong digests
	acceptOlder bool // the node applies an older version from a parent
	applyHalf   bool // the node applies only the first entry of a change
}

// acceptsDigest reports whether a digest is accepted. Without the fault acceptGaps only a matching
// digest is accepted, with acceptGaps any digest.
func (f plantedFaults) acceptsDigest(matches bool) bool { return matches || f.acceptGaps }

// acceptsMessage reports whether a message is accepted. Without the fault acceptGaps the message
// must follow the node's version; with acceptGaps it only has to have the epoch of the node.
func (f plantedFaults) acceptsMessage(follows, sameEpoch bool) bool {
	return follows || f.acceptGaps && sameEpoch
}

// refusesOlder reports whether a version is refused because it is older than the node's version.
// With the fault acceptOlder no version is refused.
func (f plantedFaults) refusesOlder(older bool) bool { return older && !f.acceptOlder }

// requestedVersion returns the version that a Subscribe states. With the fault acceptOlder this is
// the zero version, so that a parent with an older version sends its content.
func (f plantedFaults) requestedVersion(version Version) Version {
	if f.acceptOlder {
		return Version{}
	}
	return version
}

// appliedEntries returns the entries of a change that the node applies. With the fault applyHalf
// this is only the first entry.
func (f plantedFaults) appliedEntries(entries []Entry) []Entry {
	if f.applyHalf {
		return entries[:1]
	}
	return entries
}
