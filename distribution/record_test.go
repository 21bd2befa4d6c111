package distribution

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func value(text string) []byte { return []byte(text) }

func newRecordWithEpoch(t *testing.T) *Record {
	t.Helper()
	v := NewRecord()
	mustApply(t, v, Entry{Scope: "first", Name: "first"})
	return v
}

var epoch = Epoch{Number: 7, Identity: 1}

func mustApply(t *testing.T, v *Record, entries ...Entry) Change {
	t.Helper()
	change, err := v.Apply(Proposal{Epoch: epoch, AcceptedAt: 5, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func TestRecordAppliesProposalsInOrder(t *testing.T) {
	v := NewRecord()
	if _, err := v.Apply(Proposal{Entries: []Entry{{Scope: "s", Name: "a"}}}); !errors.Is(err, ErrNoEpoch) {
		t.Errorf("without an epoch: %v", err)
	}
	if _, err := v.Apply(Proposal{Epoch: epoch}); !errors.Is(err, ErrNoChange) || !v.Empty() {
		t.Errorf("a refused proposal gave the record its epoch: %v", err)
	}
	change := mustApply(t, v, Entry{Scope: "s", Name: "a", Value: value("1")}, Entry{Scope: "r", Name: "b", Value: value("2")})
	if change.Revision != 1 || change.Epoch != epoch || change.AcceptedAt != 5 || len(change.Entries) != 2 || v.Empty() {
		t.Errorf("accepted as %+v", change)
	}
	seen := v.Version()
	if _, err := v.Apply(Proposal{Epoch: Epoch{Number: 9}, Entries: []Entry{{Scope: "s", Name: "a", Deleted: true}}}); err != nil {
		t.Fatal(err)
	}
	for _, base := range []Version{seen, {}} {
		p := Proposal{Conditional: true, Base: base, Entries: []Entry{{Scope: "s", Name: "c"}}}
		if _, err := v.Apply(p); !errors.Is(err, ErrVersionMismatch) {
			t.Errorf("on an older base: %v", err)
		}
	}
	if v.Version() != (Version{epoch, 2}) {
		t.Errorf("at %+v", v.Version())
	}
}

func TestRecordRefusesAProposalWhole(t *testing.T) {
	large := Entry{Scope: "s", Name: "large", Value: make([]byte, MaxChangeBytes)}
	for name, refused := range map[string]struct {
		entries []Entry
		why     error
	}{
		"nothing":                   {nil, ErrNoChange},
		"deletes what is not there": {[]Entry{{Scope: "s", Name: "x", Deleted: true}}, ErrNoChange},
		"no scope":                  {[]Entry{{Scope: "s", Name: "b"}, {Name: "a"}}, ErrMalformed},
		"no name":                   {[]Entry{{Scope: "s", Name: "b"}, {Scope: "s"}}, ErrMalformed},
		"twice":                     {[]Entry{{Scope: "s", Name: "b"}, {Scope: "s", Name: "b"}}, ErrMalformed},
		"long name":                 {[]Entry{{Scope: "s", Name: strings.Repeat("n", MaxKeyBytes+1)}}, ErrMalformed},
		"too large":                 {[]Entry{{Scope: "s", Name: "b"}, large}, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			v := newRecordWithEpoch(t)
			mustApply(t, v, Entry{Scope: "s", Name: "a", Value: value("1")})
			version, digest := v.Version(), v.Digest()
			if _, err := v.Apply(Proposal{Entries: refused.entries}); !errors.Is(err, refused.why) {
				t.Errorf("got %v", err)
			}
			if v.Version() != version || v.Digest() != digest {
				t.Error("something was applied")
			}
		})
	}
}

func TestRecordRefusesProposalsOverItsBound(t *testing.T) {
	v := newRecordWithEpoch(t)
	body := make([]byte, MaxChangeBytes/2)
	for i := 0; ; i++ {
		before := v.Version()
		_, err := v.Apply(Proposal{Entries: []Entry{{Scope: "s", Name: fmt.Sprint(i), Value: body}}})
		if err == nil && i <= MaxStateBytes/len(body) {
			continue
		}
		if !errors.Is(err, ErrFull) || v.Version() != before {
			t.Errorf("entry %d: %v", i, err)
		}
		return
	}
}

func TestDifferenceLeadsToTheWantedEntries(t *testing.T) {
	v := newRecordWithEpoch(t)
	mustApply(t, v, Entry{Scope: "s", Name: "same", Value: value("1")}, Entry{Scope: "s", Name: "other", Value: value("1")},
		Entry{Scope: "r", Name: "gone", Value: value("1")}, Entry{Scope: "r", Name: "buried", Value: value("1")})
	mustApply(t, v, Entry{Scope: "r", Name: "buried", Deleted: true})
	wanted := []Entry{{Scope: "first", Name: "first"}, {Scope: "s", Name: "same", Value: value("1")}, {Scope: "s", Name: "other", Value: value("2")},
		{Scope: "t", Name: "new", Value: value("3")}}
	p := v.Difference(wanted)
	var names []string
	for _, e := range p.Entries {
		names = append(names, fmt.Sprint(e.Name, e.Deleted))
	}
	if got := strings.Join(names, " "); got != "otherfalse newfalse gonetrue" || p.Base != v.Version() {
		t.Errorf("proposes %s on %+v", got, p.Base)
	}
	if _, err := v.Apply(p); err != nil {
		t.Fatal(err)
	}
	if p := v.Difference(wanted); len(p.Entries) != 0 {
		t.Errorf("still differs in %+v", p.Entries)
	}
}

// A record that is restored goes on as the one that it was taken from.
func TestRestoredRecordGoesOnLikeTheOriginal(t *testing.T) {
	v := newRecordWithEpoch(t)
	mustApply(t, v, Entry{Scope: "s", Name: "a", Value: value("1")}, Entry{Scope: "r", Name: "b", Value: value("2")})
	mustApply(t, v, Entry{Scope: "s", Name: "a", Deleted: true})
	kept := v.State()
	other := RestoreRecord(kept)
	for _, state := range []*Record{v, other} {
		mustApply(t, state, Entry{Scope: "s", Name: "a", Value: value("3")})
		mustApply(t, state, Entry{Scope: "r", Name: "b", Deleted: true})
	}
	if v.Version() != other.Version() || v.Digest() != other.Digest() || fmt.Sprint(v.State()) != fmt.Sprint(other.State()) {
		t.Errorf("%+v\n%+v", v.State(), other.State())
	}
	if again := RestoreRecord(kept); again.Version().Revision != 3 || len(kept.Entries) != 3 {
		t.Error("what was kept changed with later proposals")
	}
}

// Tombstones are bounded, and the horizon says from where on none is missing.
func TestRecordBoundsItsTombstones(t *testing.T) {
	v := newRecordWithEpoch(t)
	const more = 5
	for i := range DefaultTombstones + more {
		scope, name := fmt.Sprint(i%200), fmt.Sprint(i)
		mustApply(t, v, Entry{Scope: scope, Name: name})
		mustApply(t, v, Entry{Scope: scope, Name: name, Deleted: true})
	}
	if state := v.State(); len(state.Entries) != DefaultTombstones+1 || state.Horizon != 2*more+1 {
		t.Errorf("%d entries, horizon %d", len(state.Entries), state.Horizon)
	}
}
