package distribution

// Key identifies an entry.
type Key struct {
	// Scope is the unit of subscription, such as "service/checkout" or "tenant/t17".
	Scope string
	// Name is the name of the entry within its scope.
	Name string
}

// Entry is one keyed value of the configuration.
type Entry struct {
	// Scope is the unit of subscription; Scope and Name form the key.
	Scope string `cbor:"1,keyasint,omitempty"`
	// Name is the name of the entry within its scope.
	Name string `cbor:"2,keyasint,omitempty"`
	// Value is not interpreted by this package, and must not be modified after the entry was passed
	// to it.
	Value []byte `cbor:"3,keyasint,omitempty"`
	// Revision is the revision that last set the entry. Within a Change, zero stands for the
	// revision of the change.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Deleted marks a tombstone, which is kept until compaction so that the deletion reaches
	// children that were disconnected when the entry was deleted.
	Deleted bool `cbor:"5,keyasint,omitempty"`
	// AcceptedAt is the wall time in microseconds at which a voter accepted the change that set the
	// entry; the time since a drain began is measured from it. Within a Change, zero stands for the
	// time of the change.
	AcceptedAt int64 `cbor:"6,keyasint,omitempty"`
}

// Key returns the key of the entry.
func (e Entry) Key() Key { return Key{e.Scope, e.Name} }

// Change is one revision with all its entries. It is applied completely or not at all.
type Change struct {
	// Epoch is zero on the wire, where the message that holds the change states the epoch.
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Revision is the revision of the configuration after the change.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// AcceptedAt is the wall time in microseconds at which a voter accepted the change.
	AcceptedAt int64 `cbor:"3,keyasint,omitempty"`
	// Entries are the entries that the change sets or deletes. Each key occurs once.
	Entries []Entry `cbor:"4,keyasint,omitempty"`
}

// State is the configuration at one version. It is the content of a voter's snapshot of the record,
// and the state that a subscriber stores for a restart.
type State struct {
	// Version is the version of the configuration that the entries form.
	Version Version `cbor:"1,keyasint,omitempty"`
	// Covered holds the scopes for which the entries are complete. A voter ignores it and covers
	// all scopes.
	Covered Scopes `cbor:"4,keyasint,omitempty"`
	// Horizon is the revision after which no tombstone is missing among the entries; older
	// tombstones may have been compacted.
	Horizon uint64 `cbor:"2,keyasint,omitempty"`
	// Entries are sorted by scope and name, and include tombstones.
	Entries []Entry `cbor:"3,keyasint,omitempty"`
	// Orders holds accepted proposals, oldest first, for the record of a voter.
	Orders []AcceptedOrder `cbor:"5,keyasint,omitempty"`
}
