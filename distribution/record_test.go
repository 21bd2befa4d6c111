package distribution

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func value(text string) []byte { return []byte(text) }

// newRecordWithEpoch returns a record with one accepted change, which has set its epoch.
func newRecordWithEpoch(t *testing.T) *Record {
	t.Helper()
	r := NewRecord()
	mustApply(t, r, Entry{Scope: "first", Name: "first"})
	return r
}

var epoch = Epoch{Number: 7, Identity: 1}

// mustApply applies a proposal with AcceptedAt 5, and fails the test if the record refuses the
// proposal.
func mustApply(t *testing.T, r *Record, entries ...Entry) Change {
	t.Helper()
	change, err := r.Apply(Proposal{Epoch: epoch, AcceptedAt: 5, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func TestRecordAppliesProposalsInOrder(t *testing.T) {
	r := NewRecord()
	if _, err := r.Apply(Proposal{Entries: []Entry{{Scope: "s", Name: "a"}}}); !errors.Is(err, ErrNoEpoch) {
		t.Errorf("a proposal without an epoch, to a record without one, returned %v, want %v", err, ErrNoEpoch)
	}
	if _, err := r.Apply(Proposal{Epoch: epoch}); !errors.Is(err, ErrNoChange) || !r.Empty() {
		t.Errorf("a proposal without entries returned %v, want %v; the record is at %+v, want no epoch",
			err, ErrNoChange, r.Version())
	}
	change := mustApply(t, r,
		Entry{Scope: "s", Name: "a", Value: value("1")}, Entry{Scope: "r", Name: "b", Value: value("2")})
	stamped := change.Revision == 1 && change.Epoch == epoch && change.AcceptedAt == 5
	if !stamped || len(change.Entries) != 2 || r.Empty() {
		t.Errorf("accepted as %+v, want revision 1, epoch %v, time 5 and 2 entries", change, epoch)
	}
	first := r.Version()
	deletion := Proposal{Epoch: Epoch{Number: 9}, Entries: []Entry{{Scope: "s", Name: "a", Deleted: true}}}
	if _, err := r.Apply(deletion); err != nil {
		t.Fatal(err)
	}
	for _, base := range []Version{first, {}} {
		p := Proposal{Conditional: true, Base: base, Entries: []Entry{{Scope: "s", Name: "c"}}}
		if _, err := r.Apply(p); !errors.Is(err, ErrVersionMismatch) {
			t.Errorf("a conditional proposal with the older base %+v returned %v, want %v",
				base, err, ErrVersionMismatch)
		}
	}
	if r.Version() != (Version{epoch, 2}) {
		t.Errorf("the record is at %+v, want revision 2 of epoch %v", r.Version(), epoch)
	}
}

func TestRefusedProposalLeavesRecordUnchanged(t *testing.T) {
	large := Entry{Scope: "s", Name: "large", Value: make([]byte, MaxChangeBytes)}
	for name, test := range map[string]struct {
		entries []Entry
		want    error
	}{
		"no entries":                 {nil, ErrNoChange},
		"deletes an absent entry":    {[]Entry{{Scope: "s", Name: "x", Deleted: true}}, ErrNoChange},
		"no scope":                   {[]Entry{{Scope: "s", Name: "b"}, {Name: "a"}}, ErrMalformed},
		"no name":                    {[]Entry{{Scope: "s", Name: "b"}, {Scope: "s"}}, ErrMalformed},
		"the same key twice":         {[]Entry{{Scope: "s", Name: "b"}, {Scope: "s", Name: "b"}}, ErrMalformed},
		"name over the size limit":   {[]Entry{{Scope: "s", Name: strings.Repeat("n", MaxKeyBytes+1)}}, ErrMalformed},
		"change over the size limit": {[]Entry{{Scope: "s", Name: "b"}, large}, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecordWithEpoch(t)
			mustApply(t, r, Entry{Scope: "s", Name: "a", Value: value("1")})
			version, digest := r.Version(), r.Digest()
			if _, err := r.Apply(Proposal{Entries: test.entries}); !errors.Is(err, test.want) {
				t.Errorf("Apply returned %v, want %v", err, test.want)
			}
			if r.Version() != version || r.Digest() != digest {
				t.Errorf("the refused proposal changed the record from %+v to %+v, or its digest", version, r.Version())
			}
		})
	}
}

func TestRecordRefusesProposalsOverItsSizeLimit(t *testing.T) {
	r := newRecordWithEpoch(t)
	body := make([]byte, MaxChangeBytes/2)
	for i := 0; ; i++ {
		before := r.Version()
		_, err := r.Apply(Proposal{Entries: []Entry{{Scope: "s", Name: fmt.Sprint(i), Value: body}}})
		if err == nil && i <= MaxStateBytes/len(body) {
			continue
		}
		if !errors.Is(err, ErrFull) || r.Version() != before {
			t.Errorf("entry %d of %d bytes returned %v, want %v only over %d bytes; the record went from %+v to %+v",
				i, len(body), err, ErrFull, MaxStateBytes, before, r.Version())
		}
		return
	}
}

func TestDifferenceLeadsToTheWantedEntries(t *testing.T) {
	r := newRecordWithEpoch(t)
	mustApply(t, r,
		Entry{Scope: "s", Name: "same", Value: value("1")}, Entry{Scope: "s", Name: "other", Value: value("1")},
		Entry{Scope: "r", Name: "gone", Value: value("1")}, Entry{Scope: "r", Name: "buried", Value: value("1")})
	mustApply(t, r, Entry{Scope: "r", Name: "buried", Deleted: true})
	wanted := []Entry{
		{Scope: "first", Name: "first"}, {Scope: "s", Name: "same", Value: value("1")},
		{Scope: "s", Name: "other", Value: value("2")}, {Scope: "t", Name: "new", Value: value("3")},
	}
	p := r.Difference(wanted)
	var names []string
	for _, e := range p.Entries {
		names = append(names, fmt.Sprint(e.Name, e.Deleted))
	}
	const want = "otherfalse newfalse gonetrue"
	if got := strings.Join(names, " "); got != want || p.Base != r.Version() {
		t.Errorf("the proposal has the entries %s and the base %+v, want %s and %+v", got, p.Base, want, r.Version())
	}
	if _, err := r.Apply(p); err != nil {
		t.Fatal(err)
	}
	if p := r.Difference(wanted); len(p.Entries) != 0 {
		t.Errorf("after the proposal the record still differs in %+v", p.Entries)
	}
}

// A restored record must accept later proposals with the same result as the record whose state it
// got. If it lost a tombstone or a revision, voters would diverge after a restart from a snapshot.
func TestRestoredRecordBehavesLikeTheOriginal(t *testing.T) {
	r := newRecordWithEpoch(t)
	mustApply(t, r, Entry{Scope: "s", Name: "a", Value: value("1")}, Entry{Scope: "r", Name: "b", Value: value("2")})
	mustApply(t, r, Entry{Scope: "s", Name: "a", Deleted: true})
	stored := r.State()
	restored := RestoreRecord(stored)
	for _, record := range []*Record{r, restored} {
		mustApply(t, record, Entry{Scope: "s", Name: "a", Value: value("3")})
		mustApply(t, record, Entry{Scope: "r", Name: "b", Deleted: true})
	}
	sameState := fmt.Sprint(r.State()) == fmt.Sprint(restored.State())
	if r.Version() != restored.Version() || r.Digest() != restored.Digest() || !sameState {
		t.Errorf("the original and the restored record differ:\n%+v\n%+v", r.State(), restored.State())
	}
	if again := RestoreRecord(stored); again.Version().Revision != 3 || len(stored.Entries) != 3 {
		t.Errorf("later proposals changed the stored state: revision %d, want 3; %d entries, want 3",
			again.Version().Revision, len(stored.Entries))
	}
}

// A record keeps at most DefaultTombstones tombstones. Its horizon is the revision of the last
// tombstone that it dropped, so no tombstone after the horizon is missing.
func TestRecordBoundsItsTombstones(t *testing.T) {
	r := newRecordWithEpoch(t)
	const excess = 5
	for i := range DefaultTombstones + excess {
		scope, name := fmt.Sprint(i%200), fmt.Sprint(i)
		mustApply(t, r, Entry{Scope: scope, Name: name})
		mustApply(t, r, Entry{Scope: scope, Name: name, Deleted: true})
	}
	if state := r.State(); len(state.Entries) != DefaultTombstones+1 || state.Horizon != 2*excess+1 {
		t.Errorf("%d entries and horizon %d, want %d entries and horizon %d",
			len(state.Entries), state.Horizon, DefaultTombstones+1, 2*excess+1)
	}
}

// TestRecordAcceptsAnOrderOnce guards against a proposal that takes effect again when it is repeated,
// before or after the record was restored from a snapshot.
func TestRecordAcceptsAnOrderOnce(t *testing.T) {
	r := newRecordWithEpoch(t)
	propose := func(order Order, text string) error {
		_, err := r.Apply(Proposal{Epoch: epoch, Order: order, Entries: []Entry{{Scope: "s", Name: "a", Value: value(text)}}})
		return err
	}
	for order := Order(1); order <= MaxAcceptedOrders+1; order++ {
		if err := propose(order, fmt.Sprint(order)); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		digest, version := r.Digest(), r.Version()
		for _, order := range []Order{2, MaxAcceptedOrders + 1} {
			var already AlreadyAcceptedError
			if err := propose(order, "again"); !errors.As(err, &already) || already.Version.Revision != uint64(order)+1 {
				t.Errorf("order %d again returned %v, want that it became revision %d", order, err, order+1)
			}
		}
		if r.Digest() != digest || r.Version() != version {
			t.Error("a repeated order has changed the record")
		}
		r = RestoreRecord(r.State())
	}
	if got := len(r.State().Orders); got != MaxAcceptedOrders {
		t.Errorf("the record remembers %d orders, want %d", got, MaxAcceptedOrders)
	}
	if propose(0, "x") != nil || propose(0, "y") != nil {
		t.Error("proposals without an order were not accepted each time")
	}
}
