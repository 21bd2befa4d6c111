package distribution

import (
	"fmt"
	"slices"
)

// Epoch names one founding of the record. Revisions order changes within one epoch only.
//
// The number grows with every founding (see NextEpoch); the identity, drawn at random, tells two foundings apart that
// chose the same number without knowing of each other. An epoch is said by voters alone: a subscriber only repeats
// what came to it from one, over however many parents.
type Epoch struct {
	Number   uint64 `cbor:"1,keyasint,omitempty"`
	Identity uint64 `cbor:"2,keyasint,omitempty"`
}

// NextEpoch is the epoch of a record that is founded now. The number is greater than that of any epoch the founder
// knows of, and no less than the wall clock in seconds, so that it also grows if the founder has lost all it knew.
func NextEpoch(known Epoch, wallSeconds, random uint64) Epoch {
	return Epoch{Number: max(known.Number+1, wallSeconds), Identity: random}
}

// Newer tells whether e was founded after other. Of two epochs with the same number neither is newer.
func (e Epoch) Newer(other Epoch) bool { return e.Number > other.Number }

// Known tells whether e is the epoch of any record at all.
func (e Epoch) Known() bool { return e.Number > 0 }

func (e Epoch) String() string { return fmt.Sprintf("%d-%016x", e.Number, e.Identity) }

// Version is a position in the history of the configuration.
type Version struct {
	Epoch    Epoch  `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// Before tells whether m is surely older than other: of an older epoch, or an older revision of the same one.
func (m Version) Before(other Version) bool {
	if m.Epoch == other.Epoch {
		return m.Revision < other.Revision
	}
	return other.Epoch.Newer(m.Epoch)
}

// Key names an entry. A scope is what a subscriber asks for, such as "service/checkout" or "tenant/t17".
type Key struct {
	Scope string
	Name  string
}

// Entry is one keyed value of the configuration. Its value is opaque here and never modified once it was handed in.
type Entry struct {
	Scope string `cbor:"1,keyasint,omitempty"`
	Name  string `cbor:"2,keyasint,omitempty"`
	Value []byte `cbor:"3,keyasint,omitempty"`
	// Revision set the entry last. Within a Change zero stands for the change's own.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Deleted versions a tombstone, which is kept until compaction so that a deletion reaches those who were away.
	Deleted bool `cbor:"5,keyasint,omitempty"`
	// AcceptedAt is the wall time in microseconds at which a voter accepted the change that set the entry; drains count
	// from it. Within a Change zero stands for the change's own.
	AcceptedAt int64 `cbor:"6,keyasint,omitempty"`
}

// Key is the entry's key.
func (e Entry) Key() Key { return Key{e.Scope, e.Name} }

// Change is one revision with all its entries, applied whole or not at all.
type Change struct {
	Epoch    Epoch  `cbor:"1,keyasint,omitempty"` // left out within a Delta, which has it
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// AcceptedAt is the wall time in microseconds at which a voter accepted the change.
	AcceptedAt int64   `cbor:"3,keyasint,omitempty"`
	Entries    []Entry `cbor:"4,keyasint,omitempty"`
}

// State is the whole configuration at one revision: what a voter's snapshot of the record holds.
type State struct {
	Version Version `cbor:"1,keyasint,omitempty"`
	// Covered are the scopes that the entries are complete for. A voter has all, whatever this says.
	Covered Scopes `cbor:"4,keyasint,omitempty"`
	// Horizon is the revision after which no tombstone is missing among the entries.
	Horizon uint64  `cbor:"2,keyasint,omitempty"`
	Entries []Entry `cbor:"3,keyasint,omitempty"`
}

// Scopes is what a subscription covers: all scopes, or those named.
type Scopes struct {
	All   bool     `cbor:"1,keyasint,omitempty"`
	Names []string `cbor:"2,keyasint,omitempty"` // sorted, each once
}

// AllScopes covers every scope; voters have it.
func AllScopes() Scopes { return Scopes{All: true} }

// SomeScopes covers the scopes named.
func SomeScopes(names ...string) Scopes {
	sorted := slices.Sorted(slices.Values(names))
	return Scopes{Names: slices.Compact(sorted)}
}

// Has tells whether the subscription covers a scope.
func (s Scopes) Has(scope string) bool {
	if s.All {
		return true
	}
	_, found := slices.BinarySearch(s.Names, scope)
	return found
}

// Cover tells whether everything that other covers is covered by s too.
func (s Scopes) Cover(other Scopes) bool {
	if s.All || other.All {
		return s.All
	}
	for _, name := range other.Names {
		if !s.Has(name) {
			return false
		}
	}
	return true
}

// Equal tells whether both cover the same.
func (s Scopes) Equal(other Scopes) bool {
	return s.All == other.All && (s.All || slices.Equal(s.Names, other.Names))
}

// wellFormed tells whether the names are sorted and each there once, as Has relies on.
func (s Scopes) wellFormed() bool {
	for i := 1; i < len(s.Names); i++ {
		if s.Names[i-1] >= s.Names[i] {
			return false
		}
	}
	return true
}
