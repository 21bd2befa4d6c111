package distribution

import "fmt"

// Epoch identifies one founding of the record. Revisions order changes within one epoch only.
//
// Voters alone choose an epoch; a subscriber passes on what it got from its parent.
type Epoch struct {
	// Number grows with every founding, see NextEpoch. Zero is no epoch.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Identity is random. It tells apart two foundings that chose the same number without knowing of each other.
	Identity uint64 `cbor:"2,keyasint,omitempty"`
}

// NextEpoch is the epoch of a record that is founded now. Its number is greater than that of any epoch that the founder
// knows of, and no less than the wall clock in seconds, so that it also grows if the founder has lost all its state.
func NextEpoch(known Epoch, wallSeconds, random uint64) Epoch {
	return Epoch{Number: max(known.Number+1, wallSeconds), Identity: random}
}

// Newer tells whether e was founded after other. Of two epochs with the same number neither is newer.
func (e Epoch) Newer(other Epoch) bool { return e.Number > other.Number }

// Known tells whether e is the epoch of any record at all.
func (e Epoch) Known() bool { return e.Number > 0 }

// String gives the number and the identity, as log lines have them.
func (e Epoch) String() string { return fmt.Sprintf("%d-%016x", e.Number, e.Identity) }

// Version is a position in the history of the configuration. The zero Version is that of a node without any.
type Version struct {
	// Epoch is the record's.
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Revision counts the changes accepted in the epoch; the first is 1.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// Before tells whether v is surely older than other: of an older epoch, or an older revision of the same one.
func (v Version) Before(other Version) bool {
	if v.Epoch == other.Epoch {
		return v.Revision < other.Revision
	}
	return other.Epoch.Newer(v.Epoch)
}
