package consensus

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"wheelrill/distribution"
	"wheelrill/ownership"
)

func TestSnapshotIsRestoredWholeOrNotAtAll(t *testing.T) {
	m := &stateMachine{
		events:        newEventLog(),
		record:        ownership.NewRecord(),
		configuration: newConfigurationRecord(nil, nil),
	}
	m.record.Apply(ownership.Entry{Member: "a", Incarnation: 1, Seq: 1, Claims: []int{4}, Revision: 1,
		TableChanges: []ownership.TableChange{{Table: 2, Lines: []ownership.Line{{Backend: "s", Weight: 0.5}}}}})
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	events := newEventLog()
	other := &stateMachine{
		events:        events,
		record:        ownership.NewRecord(),
		configuration: newConfigurationRecord(nil, nil),
	}
	if err := other.Restore(io.NopCloser(bytes.NewReader(persisted(t, s)))); err != nil {
		t.Fatal(err)
	}
	weight, owner := other.record.Incarnations[1].Tables[2].Lines["s"].Weight, other.record.Proxies[4].Owner
	if weight != 0.5 || owner != "a" {
		t.Errorf("restored weight %v and owner %q, want 0.5 and \"a\"; the record is %+v", weight, owner, other.record)
	}
	if reported, _ := events.has("snapshot restored"); !reported {
		t.Error("Events.SnapshotRestored was not called")
	}
	if err := other.Restore(io.NopCloser(strings.NewReader("no record"))); err == nil || other.record.Proxies[4].Owner != "a" {
		t.Errorf("a damaged snapshot: got error %v and record %+v, want an error and no change", err, other.record)
	}
}

// A snapshot without a configuration has to stay compatible with releases that had none: it is the
// encoded ownership record alone, and restoring it empties the configuration record.
func TestSnapshotWithoutConfiguration(t *testing.T) {
	m := machineWith(t)
	recordOnly, err := cbor.Marshal(m.record)
	if err != nil {
		t.Fatal(err)
	}
	if got := snapshotOf(t, m); !bytes.Equal(got, recordOnly) || m.snapshotBytes.Load() != int64(len(recordOnly)) {
		t.Errorf("got snapshot %x of size %d, want %x of size %d", got, m.snapshotBytes.Load(), recordOnly, len(recordOnly))
	}
	other := machineWith(t, entry("x", "1"))
	if err := other.Restore(io.NopCloser(bytes.NewReader(recordOnly))); err != nil || other.configuration.state() != nil {
		t.Errorf("got error %v and configuration %+v, want neither", err, other.configuration.state())
	}
}

func TestSnapshotWithConfiguration(t *testing.T) {
	var entries []distribution.Entry
	for i := range 2*entriesPerChunk + 1 {
		entries = append(entries, entry(fmt.Sprintf("n%05d", i), "1"))
	}
	m := machineWith(t, entries...)
	m.configuration.view(func(record *distribution.Record) {
		deletion := distribution.Entry{Scope: "pricing", Name: "n00000", Deleted: true}
		if _, err := record.Apply(distribution.Proposal{Entries: []distribution.Entry{deletion}}); err != nil {
			t.Fatal(err)
		}
	})
	body := snapshotOf(t, m)
	other := machineWith(t)
	if err := other.Restore(io.NopCloser(bytes.NewReader(body))); err != nil {
		t.Fatal(err)
	}
	want, got := m.configuration.state(), other.configuration.state()
	if fmt.Sprint(want) != fmt.Sprint(got) || len(got.Entries) != len(entries) || other.record.Proxies[4].Owner != "a" {
		t.Errorf("restored %d entries at version %v with owner %q, want %d at %v with owner \"a\"",
			len(got.Entries), got.Version, other.record.Proxies[4].Owner, len(want.Entries), want.Version)
	}
	for name, damaged := range map[string][]byte{
		"truncated":     body[:len(body)-3],
		"trailing byte": append(slices.Clone(body), 0xff),
	} {
		m := machineWith(t, entry("x", "1"))
		err := m.Restore(io.NopCloser(bytes.NewReader(damaged)))
		if err == nil || len(m.configuration.state().Entries) != 1 {
			t.Errorf("%s: got error %v and state %+v, want an error and no change", name, err, m.configuration.state())
		}
	}
}
