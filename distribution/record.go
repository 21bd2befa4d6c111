package distribution

import "errors"

// Proposal asks the voters for one change: all of its entries become one revision, or none does.
type Proposal struct {
	// Conditional has it refused unless the record is at Base, which is what the proposer had seen.
	Conditional bool `cbor:"1,keyasint,omitempty"`
	// Base counts only if Conditional is set.
	Base Version `cbor:"2,keyasint,omitempty"`
	// Epoch is set by the leader; it becomes that of the record if it has none yet.
	Epoch Epoch `cbor:"3,keyasint,omitempty"`
	// AcceptedAt is set by the leader: the wall time in microseconds at which it received the proposal.
	AcceptedAt int64 `cbor:"4,keyasint,omitempty"`
	// Entries have a scope, a name, and a value or Deleted.
	Entries []Entry `cbor:"5,keyasint,omitempty"`
}

// Why Record.Apply refuses a proposal.
var (
	// ErrNoEpoch says that neither the record nor the proposal has an epoch.
	ErrNoEpoch = errors.New("distribution: neither the record nor the proposal has an epoch")
	// ErrVersionMismatch says that a conditional proposal was made for another version than the record's; the proposer
	// looks at the record anew and may propose again.
	ErrVersionMismatch = errors.New("distribution: the record has changed since")
	// ErrNoChange says that the proposal would leave the record as it is.
	ErrNoChange = errors.New("distribution: it changes nothing")
	// ErrMalformed says that an entry has no scope or name, one over MaxKeyBytes, or is there twice.
	ErrMalformed = errors.New("distribution: an entry has no scope or name, or is there twice")
	// ErrTooLarge says that the change is over MaxChangeBytes; it can be proposed in parts.
	ErrTooLarge = errors.New("distribution: it is over the bound on a change")
	// ErrFull says that the configuration would be over MaxStateBytes.
	ErrFull = errors.New("distribution: the configuration would be over its bound")
)

// Bounds in bytes on what the voters accept. They are the same at all voters, as each works out alone what is accepted.
const (
	MaxChangeBytes = 512 * kibibyte
	MaxKeyBytes    = 512 // of a scope, and of a name
	MaxStateBytes  = DefaultStateBytes
)

// Record is the configuration as the voters have agreed on it: the same at each of them once the same proposals were
// applied in the same order. It is kept by the replicated log of package consensus: State is what its snapshots hold. Its
// calls come one at a time, those that only read it as well.
type Record struct {
	store *store
}

// NewRecord is a record without an epoch: the first change that is accepted brings it, so that no record is handed
// out that is empty only because the one before it was lost.
func NewRecord() *Record { return &Record{newStore(Version{}, AllScopes())} }

// RestoreRecord is a record as a snapshot has it.
func RestoreRecord(state State) *Record { return &Record{storeFrom(state, AllScopes())} }

// Apply makes a proposal the next revision, or refuses it whole with one of the errors above. The outcome depends on the
// record and the proposal alone.
func (r *Record) Apply(p Proposal) (Change, error) {
	version := r.store.version
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
	r.store.commit(batch.steps[0])
	limits := DefaultLimits()
	limits.LogChanges = 0 // the log for deltas is that of the voter's node
	r.store.compact(limits)
	return change, nil
}

// effectiveEntries checks the entries of a proposal, and leaves out deletions of what is not there.
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

// valid tells whether both parts of a key are there and within their bound.
func (k Key) valid() bool {
	scopeValid := k.Scope != "" && len(k.Scope) <= MaxKeyBytes
	nameValid := k.Name != "" && len(k.Name) <= MaxKeyBytes
	return scopeValid && nameValid
}

func (r *Record) has(key Key) bool {
	entry, found := r.store.lookup(key)
	return found && !entry.Deleted
}

// Difference is the proposal that leads from the record to just the wanted entries. It has no entries if nothing differs.
func (r *Record) Difference(wanted []Entry) Proposal {
	proposal := Proposal{Conditional: true, Base: r.store.version}
	stays := make(map[Key]bool, len(wanted))
	for _, entry := range wanted {
		stays[entry.Key()] = true
		old, found := r.store.lookup(entry.Key())
		same := found && !old.Deleted && string(old.Value) == string(entry.Value)
		if !same {
			proposal.Entries = append(proposal.Entries, Entry{Scope: entry.Scope, Name: entry.Name, Value: entry.Value})
		}
	}
	r.store.forEach(AllScopes(), func(entry Entry) bool {
		if !entry.Deleted && !stays[entry.Key()] {
			proposal.Entries = append(proposal.Entries, Entry{Scope: entry.Scope, Name: entry.Name, Deleted: true})
		}
		return true
	})
	return proposal
}

// Version is the record's position.
func (r *Record) Version() Version { return r.store.version }

// Digest is that of all entries.
func (r *Record) Digest() Digest { return r.store.digest }

// State is the whole record, for a snapshot. Its entries do not change with later proposals.
func (r *Record) State() State { return r.store.state() }

// Empty tells whether nothing was ever accepted, so that a snapshot has nothing to store.
func (r *Record) Empty() bool { return !r.store.version.Epoch.Known() }
