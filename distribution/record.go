package distribution

import (
	"errors"
	"fmt"
	"slices"
)

// Proposal asks the voters for one change: all of its entries become one revision, or none of them
// is applied.
type Proposal struct {
	// Conditional makes the voters refuse the proposal unless the record is at Base, the version
	// that the proposer read.
	Conditional bool `cbor:"1,keyasint,omitempty"`
	// Base is ignored unless Conditional is set.
	Base Version `cbor:"2,keyasint,omitempty"`
	// Epoch is set by the leader; it becomes the epoch of the record if the record has none yet.
	Epoch Epoch `cbor:"3,keyasint,omitempty"`
	// AcceptedAt is set by the leader: the wall time in microseconds at which it received the
	// proposal.
	AcceptedAt int64 `cbor:"4,keyasint,omitempty"`
	// Entries have a scope, a name, and either a value or Deleted.
	Entries []Entry `cbor:"5,keyasint,omitempty"`
	// Order identifies the proposal, so that it is not accepted twice if it arrives again; the zero
	// value means that it is not identified.
	Order Order `cbor:"6,keyasint,omitempty"`
}

// Order is a random number that a proposer draws for each proposal.
type Order uint64

// AcceptedOrder is a proposal that was accepted, with the revision that it became.
type AcceptedOrder struct {
	// Order identifies the proposal.
	Order Order `cbor:"1,keyasint"`
	// Revision is the revision that the proposal became.
	Revision uint64 `cbor:"2,keyasint"`
}

// Errors of Record.Apply. Their texts are sent to the proposer as the reason of the refusal and
// must not change.
var (
	// ErrNoEpoch is returned if neither the record nor the proposal has an epoch.
	ErrNoEpoch = errors.New("distribution: neither the record nor the proposal has an epoch")
	// ErrVersionMismatch is returned for a conditional proposal whose Base is not the version of
	// the record. The proposer can read the record again and make a new proposal.
	ErrVersionMismatch = errors.New("distribution: the record has changed since")
	// ErrNoChange is returned for a proposal without entries, or with nothing but deletions of
	// absent entries.
	ErrNoChange = errors.New("distribution: it changes nothing")
	// ErrMalformed is returned if an entry has no scope or no name, if one of them exceeds
	// MaxKeyBytes, or if a key occurs twice.
	ErrMalformed = errors.New("distribution: an entry has no scope or name, or is there twice")
	// ErrTooLarge is returned for a change over MaxChangeBytes; it can be split into several
	// proposals.
	ErrTooLarge = errors.New("distribution: it is over the bound on a change")
	// ErrFull is returned if the configuration would exceed MaxStateBytes.
	ErrFull = errors.New("distribution: the configuration would be over its bound")
)

// AlreadyAcceptedError is returned for a proposal whose Order was accepted before. The proposal changes
// nothing.
type AlreadyAcceptedError struct {
	// Version is the version that the record had when it had accepted the proposal.
	Version Version
}

// Error returns a text with the version.
func (e AlreadyAcceptedError) Error() string {
	return fmt.Sprintf("distribution: the proposal was accepted as revision %d", e.Version.Revision)
}

// MaxAcceptedOrders is the number of accepted proposals that a record remembers, the newest ones.
const MaxAcceptedOrders = 256

// Bounds in bytes on proposals and on the record. They are the same at all voters, because each
// voter decides by itself whether a proposal is accepted.
const (
	MaxChangeBytes = 512 * kibibyte
	MaxKeyBytes    = 512 // maximum size in bytes of a scope, and of a name
	MaxStateBytes  = DefaultStateBytes
)

// Record is the configuration on which the voters have agreed: it is the same at each voter once
// the same proposals were applied in the same order. The replicated log of package consensus stores
// it, with State as the content of its snapshots. All calls must be serialized by the caller,
// including those that only read the record.
type Record struct {
	store  *store
	orders []AcceptedOrder // accepted proposals with an Order, oldest first; at most MaxAcceptedOrders
}

// NewRecord returns an empty record without an epoch. The first accepted proposal sets the epoch,
// so that a record that is empty only because its predecessor was lost is not distributed.
func NewRecord() *Record { return &Record{store: newStore(Version{}, AllScopes())} }

// RestoreRecord returns the record whose snapshot holds the given state.
func RestoreRecord(state State) *Record {
	return &Record{store: storeFrom(state, AllScopes()), orders: slices.Clone(state.Orders)}
}

// Apply accepts a proposal as the next revision, or refuses all of it with ErrNoEpoch,
// ErrVersionMismatch, ErrNoChange, ErrMalformed, ErrTooLarge or ErrFull, or with an
// AlreadyAcceptedError. The result depends only on the record and the proposal.
func (r *Record) Apply(p Proposal) (Change, error) {
	version := r.store.version
	if accepted, found := r.acceptedOrder(p.Order); found {
		return Change{}, AlreadyAcceptedError{Version{Epoch: version.Epoch, Revision: accepted.Revision}}
	}
	if p.Conditional && p.Base != version {
		return Change{}, ErrVersionMismatch
	}
	if !version.Epoch.Known() {
		version.Epoch = p.Epoch
	}
	if !version.Epoch.Known() {
		return Change{}, ErrNoEpoch
	}
	entries, err := r.effectiveEntries(p.Entries)
	if err != nil {
		return Change{}, err
	}
	change := Change{Epoch: version.Epoch, Revision: version.Revision + 1, AcceptedAt: p.AcceptedAt, Entries: entries}
	batch := r.store.prepare([]Change{change})
	if batch.bytes > MaxStateBytes {
		return Change{}, ErrFull
	}
	r.store.version.Epoch = version.Epoch
	r.store.commit(batch.changes[0])
	limits := DefaultLimits()
	limits.LogChanges = 0 // a Record needs no log: the voter's Node makes deltas from its own log
	r.store.compact(limits)
	if p.Order != 0 {
		r.orders = append(r.orders, AcceptedOrder{p.Order, change.Revision})
		r.orders = r.orders[max(0, len(r.orders)-MaxAcceptedOrders):]
	}
	return change, nil
}

// acceptedOrder returns the accepted proposal with the given Order, if the record remembers it.
func (r *Record) acceptedOrder(order Order) (accepted AcceptedOrder, found bool) {
	i := slices.IndexFunc(r.orders, func(accepted AcceptedOrder) bool { return accepted.Order == order })
	if order == 0 || i < 0 {
		return AcceptedOrder{}, false
	}
	return r.orders[i], true
}

// effectiveEntries checks the entries of a proposal, and returns them without the deletions of
// absent entries.
func (r *Record) effectiveEntries(proposed []Entry) ([]Entry, error) {
	var entries []Entry
	size := 0
	seen := make(map[Key]bool, len(proposed))
	for _, entry := range proposed {
		key := entry.Key()
		if !key.valid() || seen[key] {
			return nil, ErrMalformed
		}
		seen[key] = true
		effective := Entry{Scope: entry.Scope, Name: entry.Name, Value: entry.Value}
		if entry.Deleted {
			if !r.has(key) {
				continue
			}
			effective = Entry{Scope: entry.Scope, Name: entry.Name, Deleted: true}
		}
		entries = append(entries, effective)
		size += effective.size()
	}
	switch {
	case size > MaxChangeBytes:
		return nil, ErrTooLarge
	case len(entries) == 0:
		return nil, ErrNoChange
	}
	return entries, nil
}

// valid reports whether the scope and the name of a key are not empty and at most MaxKeyBytes long.
func (k Key) valid() bool {
	scopeValid := k.Scope != "" && len(k.Scope) <= MaxKeyBytes
	nameValid := k.Name != "" && len(k.Name) <= MaxKeyBytes
	return scopeValid && nameValid
}

func (r *Record) has(key Key) bool {
	entry, found := r.store.lookup(key)
	return found && !entry.Deleted
}

// Difference returns the conditional proposal that changes the record to contain exactly the wanted
// entries. The proposal has no entries if the record already contains exactly these.
func (r *Record) Difference(wanted []Entry) Proposal {
	proposal := Proposal{Conditional: true, Base: r.store.version}
	wantedKeys := make(map[Key]bool, len(wanted))
	for _, entry := range wanted {
		wantedKeys[entry.Key()] = true
		old, found := r.store.lookup(entry.Key())
		same := found && !old.Deleted && string(old.Value) == string(entry.Value)
		if !same {
			proposal.Entries = append(proposal.Entries, Entry{Scope: entry.Scope, Name: entry.Name, Value: entry.Value})
		}
	}
	r.store.forEach(AllScopes(), func(entry Entry) bool {
		if !entry.Deleted && !wantedKeys[entry.Key()] {
			proposal.Entries = append(proposal.Entries, Entry{Scope: entry.Scope, Name: entry.Name, Deleted: true})
		}
		return true
	})
	return proposal
}

// Version returns the version of the record.
func (r *Record) Version() Version { return r.store.version }

// Digest returns the digest of all entries.
func (r *Record) Digest() Digest { return r.store.digest }

// State returns the complete record, for a snapshot. Later proposals do not modify the returned
// entries.
func (r *Record) State() State {
	state := r.store.state()
	state.Orders = slices.Clone(r.orders)
	return state
}

// Empty reports whether no proposal was ever accepted, so that a snapshot would have no content.
func (r *Record) Empty() bool { return !r.store.version.Epoch.Known() }
