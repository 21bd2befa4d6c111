package consensus

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
	"wheelrill/ownership"
)

// sink takes a snapshot.
type sink struct{ bytes.Buffer }

func (s *sink) ID() string    { return "snapshot" }
func (s *sink) Cancel() error { return nil }
func (s *sink) Close() error  { return nil }

func persisted(t testing.TB, s raft.FSMSnapshot) []byte {
	t.Helper()
	var to sink
	if err := s.Persist(&to); err != nil {
		t.Fatal(err)
	}
	return to.Bytes()
}

// subscribed stands for the node of the distribution at a voter: it keeps what it is told.
type subscribed struct {
	mutex   sync.Mutex
	state   *distribution.Record
	changes int
	current int
	wholes  int
	served  func(conn net.Conn, allowed func(string) bool)
}

func (s *subscribed) Restored(state distribution.State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state = distribution.RestoreRecord(state)
	s.wholes++
}

func (s *subscribed) Accepted(change distribution.Change) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := distribution.Proposal{AcceptedAt: change.AcceptedAt, Entries: change.Entries}
	if again, err := s.state.Apply(p); err != nil || again.Revision != change.Revision {
		panic(fmt.Sprint("told out of order: ", change, again, err))
	}
	s.changes++
}

func (s *subscribed) Current() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.current++
}

func (s *subscribed) Accept(conn net.Conn, allowed func(string) bool) { s.served(conn, allowed) }

// has tells whether all that was told amounts to a mark, and with which digest.
func (s *subscribed) has(mark distribution.Version) (distribution.Digest, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state == nil || s.state.Version() != mark {
		return distribution.Digest{}, false
	}
	return s.state.Digest(), true
}

func until(t testing.TB, what string, is func() bool) {
	t.Helper()
	late := time.After(patience)
	for !is() {
		select {
		case <-late:
			t.Fatalf("it never came to this: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func entry(name, value string) distribution.Entry {
	return distribution.Entry{Scope: "pricing", Name: name, Value: []byte(value)}
}

// configures has a member's record hold just some entries.
func configures(t testing.TB, m *member, wanted ...distribution.Entry) (distribution.Version, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	mark, differ, err := m.Configure(ctx, wanted)
	if err != nil {
		t.Fatal(err)
	}
	return mark, differ
}

func TestChanges(t *testing.T) {
	at := addresses(t, "a", "b", "c")
	var all []*member
	var told []*subscribed
	for _, name := range []string{"a", "b", "c"} {
		told = append(told, &subscribed{})
		all = append(all, starts(t, Config{Name: name, Members: at, Distribution: told[len(told)-1]}))
	}
	everywhere := func(mark distribution.Version) {
		t.Helper()
		digests := map[distribution.Digest]bool{}
		for i, s := range told {
			until(t, fmt.Sprint(i, " has ", mark), func() bool {
				digest, has := s.has(mark)
				digests[digest] = has || digests[digest]
				return has
			})
		}
		if delete(digests, distribution.Digest{}); len(digests) != 1 {
			t.Errorf("they differ: %v", digests)
		}
	}
	var last distribution.Version
	for i, m := range all { // the leader among them, and others
		mark, differ := configures(t, m, entry("x", fmt.Sprint(i)), entry("y", "1"))
		if everywhere(mark); mark.Revision != uint64(i+1) || differ != 2-min(i, 1) {
			t.Errorf("%d: at %v, %d differ", i, mark, differ)
		}
		last = mark
	}
	if mark, differ := configures(t, all[0], entry("x", "2"), entry("y", "1")); mark != last || differ != 0 {
		t.Errorf("the same again is at %v, %d differ", mark, differ)
	}
	t.Run("what is refused changes nothing", func(t *testing.T) {
		for _, m := range all {
			_, _, err := m.Configure(context.Background(), []distribution.Entry{entry("x", "2"), entry("y", "2"), {Name: "z"}})
			if !errors.Is(err, ErrRefused) {
				t.Errorf("got %v", err)
			}
			_, err = m.ProposeChange(context.Background(), distribution.Proposal{Conditional: true, Entries: []distribution.Entry{entry("x", "3")}})
			if !errors.Is(err, distribution.ErrVersionMismatch) {
				t.Errorf("on an older base: %v", err)
			}
		}
		everywhere(last)
	})
	t.Run("a record that is led is current", func(t *testing.T) {
		for i, s := range told {
			until(t, fmt.Sprint(i, " is current"), func() bool {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				return s.current > 0
			})
		}
	})
	t.Run("one that lost all gets it again, and the configuration outlasts its leaders", func(t *testing.T) {
		all[2].stop()
		told[2] = &subscribed{}
		all[2] = starts(t, Config{Name: "c", Members: at, Distribution: told[2]})
		everywhere(last)
		mark, _ := configures(t, all[2], entry("y", "1"))
		everywhere(mark)
		if mark.Epoch != last.Epoch || mark.Revision != last.Revision+1 {
			t.Errorf("from %v to %v", last, mark)
		}
		last = mark
	})
	t.Run("a record that is founded anew has a newer epoch, and nothing before its first change", func(t *testing.T) {
		for _, m := range all {
			m.stop()
		}
		for i, name := range []string{"a", "b", "c"} {
			told[i] = &subscribed{}
			all[i] = starts(t, Config{Name: name, Members: at, Distribution: told[i]})
			all[i].noteEpoch(distribution.Epoch{Number: 1 << 40}) // greater than any clock says
		}
		all[0].puts(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		for _, s := range told {
			if s.wholes+s.changes+s.current > 0 {
				t.Errorf("told of %+v", s)
			}
		}
		mark, _ := configures(t, all[1], entry("x", "1"))
		everywhere(mark)
		if !mark.Epoch.Newer(last.Epoch) || mark.Epoch.Number != 1<<40+1 || mark.Revision != 1 {
			t.Errorf("from %v to %v", last, mark)
		}
	})
}

func TestNoLeader(t *testing.T) {
	a := starts(t, Config{Name: "a", Members: addresses(t, "a", "b", "c"), Distribution: &subscribed{}})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, _, err := a.Configure(ctx, []distribution.Entry{entry("x", "1")}); !errors.Is(err, ErrUnanswered) {
		t.Errorf("got %v", err)
	}
}

// On disk the configuration comes back from the snapshot and what followed it.
func TestChangesOnDisk(t *testing.T) {
	config := Config{Name: "a", Members: addresses(t, "a"), Folder: t.TempDir(), Distribution: &subscribed{}}
	a := starts(t, config)
	configures(t, a, entry("x", "1"))
	r, _ := a.current()
	if err := r.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	mark, _ := configures(t, a, entry("x", "2"))
	a.stop()
	told := &subscribed{}
	config.Distribution = told
	starts(t, config)
	until(t, "it has all", func() bool { _, has := told.has(mark); return has })
	if told.wholes != 1 || told.changes != 1 {
		t.Errorf("%d states and %d changes", told.wholes, told.changes)
	}
}

// changed is a state machine that some entries were put into.
func changed(t *testing.T, entries ...distribution.Entry) *stateMachine {
	t.Helper()
	m := &stateMachine{events: newReader(), record: ownership.NewRecord(), configuration: newConfiguration(nil, nil)}
	m.onUnreadable = func(err error) { t.Error(err) }
	m.record.Apply(ownership.Entry{Member: "a", Incarnation: 1, Seq: 1, Claims: []int{4}})
	for _, e := range entries {
		body, err := cbor.Marshal(configurationEntry{Kind: kindProposal, Proposal: distribution.Proposal{
			Epoch: distribution.Epoch{Number: 1}, Entries: []distribution.Entry{e}}})
		if err != nil {
			t.Fatal(err)
		}
		if result := m.Apply(&raft.Log{Data: body}); result.(changeResult).err != nil {
			t.Fatal(result)
		}
	}
	return m
}

func snapshotOf(t *testing.T, m *stateMachine) []byte {
	t.Helper()
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return persisted(t, s)
}

// Where nothing is distributed a snapshot is as it was, and one of before is read.
func TestSnapshotWithoutConfiguration(t *testing.T) {
	m := changed(t)
	before, err := cbor.Marshal(m.record)
	if err != nil {
		t.Fatal(err)
	}
	if got := snapshotOf(t, m); !bytes.Equal(got, before) || m.bytes.Load() != int64(len(before)) {
		t.Errorf("%x, and was %x", got, before)
	}
	other := changed(t, entry("x", "1"))
	if err := other.Restore(io.NopCloser(bytes.NewReader(before))); err != nil || other.configuration.state() != nil {
		t.Errorf("%v, %+v", err, other.configuration.state())
	}
}

func TestSnapshotWithConfiguration(t *testing.T) {
	var entries []distribution.Entry
	for i := range 2*entriesPerPiece + 1 {
		entries = append(entries, entry(fmt.Sprintf("n%05d", i), "1"))
	}
	m := changed(t, entries...)
	m.configuration.view(func(v *distribution.Record) {
		if _, err := v.Apply(distribution.Proposal{Entries: []distribution.Entry{{Scope: "pricing", Name: "n00000", Deleted: true}}}); err != nil {
			t.Fatal(err)
		}
	})
	body := snapshotOf(t, m)
	other := changed(t)
	if err := other.Restore(io.NopCloser(bytes.NewReader(body))); err != nil {
		t.Fatal(err)
	}
	ours, theirs := m.configuration.state(), other.configuration.state()
	if fmt.Sprint(ours) != fmt.Sprint(theirs) || len(theirs.Entries) != len(entries) || other.record.Proxies[4].Owner != "a" {
		t.Errorf("restored %d entries at %v, not %d at %v", len(theirs.Entries), theirs.Version, len(ours.Entries), ours.Version)
	}
	for name, damaged := range map[string][]byte{"cut off": body[:len(body)-3], "followed by something": append(slices.Clone(body), 0xff)} {
		kept := changed(t, entry("x", "1"))
		if err := kept.Restore(io.NopCloser(bytes.NewReader(damaged))); err == nil || len(kept.configuration.state().Entries) != 1 {
			t.Errorf("%s: %v, %+v", name, err, kept.configuration.state())
		}
	}
}

// What cannot be read changes nothing, at every member alike.
func TestUnreadableChange(t *testing.T) {
	m := changed(t, entry("x", "1"))
	var failed []string
	m.onUnreadable = func(err error) { failed = append(failed, err.Error()) }
	for _, data := range [][]byte{{0x82, 0x01}, {0x82, 0x09, 0xa0}, {0x80}} {
		if result := m.Apply(&raft.Log{Data: data}); result.(changeResult).err == nil {
			t.Errorf("%x was taken", data)
		}
	}
	if len(failed) != 3 || len(m.configuration.state().Entries) != 1 {
		t.Errorf("told %q, has %+v", failed, m.configuration.state())
	}
}

func TestCurrency(t *testing.T) {
	var c currency
	for i, x := range []struct {
		progress
		want bool
	}{
		{progress{inContact: true, applied: 5, committed: 5, last: 6}, true},
		{progress{applied: 5, committed: 5, last: 6}, false},
		{progress{inContact: true, applied: 4, committed: 5, last: 6}, false},
		{progress{leads: true, applied: 5, committed: 5, last: 8}, false}, // 6 to 8 may have been accepted before
		{progress{leads: true, applied: 7, committed: 7, last: 9}, false},
		{progress{leads: true, applied: 8, committed: 8, last: 10}, true},
		{progress{leads: true, applied: 9, committed: 10, last: 10}, false},
		{progress{inContact: true, applied: 10, committed: 10, last: 10}, true},
		{progress{leads: true, applied: 10, committed: 10, last: 12}, false}, // again
		{progress{leads: true, applied: 12, committed: 12, last: 12}, true},
	} {
		if got := c.observe(x.progress); got != x.want {
			t.Errorf("%d: %+v: %v", i, x.progress, got)
		}
	}
	c.reset()
	if c.observe(progress{leads: true, applied: 12, committed: 12, last: 13}) {
		t.Error("current right after another leadership")
	}
}
