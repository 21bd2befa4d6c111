package distribution

import "errors"

// Proposal asks the voters for one change: all of its entries become one revision, or none does.
type Proposal struct {
	// Conditional has it refused unless the record is at Base, which is what the proposer had seen.
	Conditional bool    `cbor:"1,keyasint,omitempty"`
	Base        Version `cbor:"2,keyasint,omitempty"`
	// Epoch is set by the leader; it becomes that of the record if it has none yet.
	Epoch Epoch `cbor:"3,keyasint,omitempty"`
	// AcceptedAt is set by the leader: the wall time in microseconds at which it took the proposal.
	AcceptedAt int64 `cbor:"4,keyasint,omitempty"`
	// Entries have a scope, a name, and a value or Deleted.
	Entries []Entry `cbor:"5,keyasint,omitempty"`
}

// Why a proposal is refused.
var (
	ErrNoEpoch   = errors.New("neither the record nor the proposal has an epoch")
	ErrMoved     = errors.New("the record has changed since")
	ErrNothing   = errors.New("it changes nothing")
	ErrMalformed = errors.New("an entry has no scope or name, or is there twice")
	ErrTooLarge  = errors.New("it is over the bound on a change")
	ErrFull      = errors.New("the configuration would be over its bound")
)

// Bounds on what the voters accept. They are the same at all voters, as each works out alone what is accepted.
const (
	MostChangeBytes = 512 * kibibyte
	MostKeyBytes    = 512 // of a scope, and of a name
	MostStateBytes  = DefaultStateBytes
)

// VoterState is the configuration as the record of the voters has it: the same at each of them once the same proposals
// were accepted in the same order.
type VoterState struct {
	store *store
}

// NewVoterState is a record without an epoch: the first change that is accepted brings it, so that no record is handed
// out that is empty only because the one before it was lost.
func NewVoterState() *VoterState { return &VoterState{newStore(Version{}, AllScopes())} }

// RestoreVoterState is a record as a snapshot has it.
func RestoreVoterState(state State) *VoterState {
	v := &VoterState{newStore(state.Version, AllScopes())}
	for _, e := range state.Entries {
		v.store.set(e)
	}
	v.store.graves.horizon = max(v.store.graves.horizon, state.Horizon)
	return v
}

// Accept makes a proposal the next revision, or refuses it whole.
func (v *VoterState) Accept(p Proposal) (Change, error) {
	version := v.store.version
	if p.Conditional && p.Base != version {
		return Change{}, ErrMoved
	}
	if !version.Epoch.Known() {
		version.Epoch = p.Epoch
	}
	if !version.Epoch.Known() {
		return Change{}, ErrNoEpoch
	}
	change := Change{Epoch: version.Epoch, Revision: version.Revision + 1, AcceptedAt: p.AcceptedAt}
	var err error
	if change.Entries, err = v.effective(p.Entries); err != nil {
		return Change{}, err
	}
	prepared := v.store.prepare([]Change{change})
	if prepared.bytes > MostStateBytes {
		return Change{}, ErrFull
	}
	v.store.version.Epoch = version.Epoch
	v.store.commit(prepared.steps[0])
	limits := DefaultLimits()
	limits.LogChanges = 0 // the log for deltas is that of the voter's node
	v.store.compact(limits)
	return change, nil
}

// effective checks the entries of a proposal, and leaves out deletions of what is not there.
func (v *VoterState) effective(proposed []Entry) ([]Entry, error) {
	var entries []Entry
	size := 0
	seen := make(map[Key]bool, len(proposed))
	for _, e := range proposed {
		key := e.Key()
		if e.Scope == "" || e.Name == "" || len(e.Scope) > MostKeyBytes || len(e.Name) > MostKeyBytes || seen[key] {
			return nil, ErrMalformed
		}
		seen[key] = true
		clean := Entry{Scope: e.Scope, Name: e.Name, Value: e.Value, Deleted: e.Deleted}
		if e.Deleted {
			if clean.Value = nil; !v.has(key) {
				continue
			}
		}
		entries = append(entries, clean)
		size += clean.size()
	}
	switch {
	case size > MostChangeBytes:
		return nil, ErrTooLarge
	case len(entries) == 0:
		return nil, ErrNothing
	}
	return entries, nil
}

func (v *VoterState) has(key Key) bool {
	e, found := v.store.lookup(key)
	return found && !e.Deleted
}

// Difference is the proposal that leads from the record to just the wanted entries. It has no entries if nothing differs.
func (v *VoterState) Difference(wanted []Entry) Proposal {
	p := Proposal{Conditional: true, Base: v.store.version}
	stay := make(map[Key]bool, len(wanted))
	for _, e := range wanted {
		stay[e.Key()] = true
		if has, found := v.store.lookup(e.Key()); !found || has.Deleted || string(has.Value) != string(e.Value) {
			p.Entries = append(p.Entries, Entry{Scope: e.Scope, Name: e.Name, Value: e.Value})
		}
	}
	v.store.visit(AllScopes(), func(e Entry) bool {
		if !e.Deleted && !stay[e.Key()] {
			p.Entries = append(p.Entries, Entry{Scope: e.Scope, Name: e.Name, Deleted: true})
		}
		return true
	})
	return p
}

// Version is the record's position.
func (v *VoterState) Version() Version { return v.store.version }

// Digest is that of all entries.
func (v *VoterState) Digest() Digest { return v.store.digest }

// State is the whole record, for a snapshot. Its entries do not change with later proposals.
func (v *VoterState) State() State { return v.store.state() }

// Empty tells whether nothing was ever accepted, so that a snapshot has nothing to keep.
func (v *VoterState) Empty() bool { return !v.store.version.Epoch.Known() }
