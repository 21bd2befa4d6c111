package distribution

import "fmt"

// Epoch identifies one record among all that the voters have created: a record that is created
// again, because the previous one was lost, has a new epoch. Revisions order changes only within
// one epoch.
//
// Only voters choose an epoch; a subscriber forwards the epoch that it got from its parent.
type Epoch struct {
	// Number grows each time the record is created again, see NextEpoch. Zero stands for no epoch.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Identity is random. It distinguishes two records that were created independently with the
	// same number.
	Identity uint64 `cbor:"2,keyasint,omitempty"`
}

// NextEpoch returns the epoch of a record that is created now. Its number is greater than that of
// the newest known epoch, and at least the wall clock in seconds, so that it also grows if the
// voter that creates the record has lost its state.
func NextEpoch(known Epoch, wallSeconds, random uint64) Epoch {
	return Epoch{Number: max(known.Number+1, wallSeconds), Identity: random}
}

// Newer reports whether e has a greater number than other. Of two epochs with the same number
// neither is newer.
func (e Epoch) Newer(other Epoch) bool { return e.Number > other.Number }

// Known reports whether e is the epoch of a record; it is false for the zero Epoch.
func (e Epoch) Known() bool { return e.Number > 0 }

// String returns the number and the identity in the form used by log lines.
func (e Epoch) String() string { return fmt.Sprintf("%d-%016x", e.Number, e.Identity) }

// Version is a position in the history of the configuration. A node without any configuration has
// the zero Version.
type Version struct {
	// Epoch identifies the record in which Revision counts.
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Revision counts the changes accepted in the epoch; the first is 1.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// Before reports whether v is certainly older than other: its epoch is older, or its epoch is the
// same and its revision is older. It is false for two epochs with the same number and different
// identities.
func (v Version) Before(other Version) bool {
	if v.Epoch == other.Epoch {
		return v.Revision < other.Revision
	}
	return other.Epoch.Newer(v.Epoch)
}
