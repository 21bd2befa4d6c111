package distribution

// Key identifies an entry.
type Key struct {
	// Scope is what a subscriber asks for, such as "service/checkout" or "tenant/t17".
	Scope string
	// Name is the entry's within its scope.
	Name string
}

// Entry is one keyed value of the configuration.
type Entry struct {
	// Scope is the first part of the key.
	Scope string `cbor:"1,keyasint,omitempty"`
	// Name is the second part of the key.
	Name string `cbor:"2,keyasint,omitempty"`
	// Value is not interpreted here, and never modified once it was handed in.
	Value []byte `cbor:"3,keyasint,omitempty"`
	// Revision set the entry last. Within a Change zero stands for the change's own.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Deleted marks a tombstone, which is kept until compaction so that a deletion reaches those that were disconnected.
	Deleted bool `cbor:"5,keyasint,omitempty"`
	// AcceptedAt is the wall time in microseconds at which a voter accepted the change that set the entry; drains count
	// from it. Within a Change zero stands for the change's own.
	AcceptedAt int64 `cbor:"6,keyasint,omitempty"`
}

// Key is the entry's key.
func (e Entry) Key() Key { return Key{e.Scope, e.Name} }

// Change is one revision with all its entries, applied whole or not at all.
type Change struct {
	// Epoch is left out on the wire, where the message has it.
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Revision is the one that the change leads to.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// AcceptedAt is the wall time in microseconds at which a voter accepted the change.
	AcceptedAt int64 `cbor:"3,keyasint,omitempty"`
	// Entries are those set or deleted, each key once.
	Entries []Entry `cbor:"4,keyasint,omitempty"`
}

// State is the configuration at one version: what a voter's snapshot of the record holds, and what a subscriber stores.
type State struct {
	// Version is the position of the state.
	Version Version `cbor:"1,keyasint,omitempty"`
	// Covered are the scopes that the entries are complete for. A voter has all, whatever this says.
	Covered Scopes `cbor:"4,keyasint,omitempty"`
	// Horizon is the revision after which no tombstone is missing among the entries.
	Horizon uint64 `cbor:"2,keyasint,omitempty"`
	// Entries are in the order of their scopes and names, tombstones among them.
	Entries []Entry `cbor:"3,keyasint,omitempty"`
}
