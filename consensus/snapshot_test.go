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
	m, r := &stateMachine{events: newEventLog(), record: ownership.NewRecord(), configuration: newConfigurationRecord(nil, nil)}, newEventLog()
	m.record.Apply(ownership.Entry{Member: "a", Incarnation: 1, Seq: 1, Claims: []int{4}, Revision: 1,
		TableChanges: []ownership.TableChange{{Table: 2, Lines: []ownership.Line{{Backend: "s", Weight: 0.5}}}}})
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := &stateMachine{events: r, record: ownership.NewRecord(), configuration: newConfigurationRecord(nil, nil)}
	if err := other.Restore(io.NopCloser(bytes.NewReader(persisted(t, s)))); err != nil {
		t.Fatal(err)
	}
	if incarnation := other.record.Incarnations[1]; incarnation.Tables[2].Lines["s"].Weight != 0.5 || other.record.Proxies[4].Owner != "a" {
		t.Errorf("restored %+v", other.record)
	}
	if told, _ := r.has("restored"); !told {
		t.Error("not told of it")
	}
	if err := other.Restore(io.NopCloser(strings.NewReader("no record"))); err == nil || other.record.Proxies[4].Owner != "a" {
		t.Errorf("a damaged snapshot changed the record: %v", err)
	}
}

// Where nothing is distributed a snapshot is as it was, and one of before is read.
func TestSnapshotWithoutConfiguration(t *testing.T) {
	m := machineWith(t)
	before, err := cbor.Marshal(m.record)
	if err != nil {
		t.Fatal(err)
	}
	if got := snapshotOf(t, m); !bytes.Equal(got, before) || m.snapshotBytes.Load() != int64(len(before)) {
		t.Errorf("%x, and was %x", got, before)
	}
	other := machineWith(t, entry("x", "1"))
	if err := other.Restore(io.NopCloser(bytes.NewReader(before))); err != nil || other.configuration.state() != nil {
		t.Errorf("%v, %+v", err, other.configuration.state())
	}
}

func TestSnapshotWithConfiguration(t *testing.T) {
	var entries []distribution.Entry
	for i := range 2*entriesPerChunk + 1 {
		entries = append(entries, entry(fmt.Sprintf("n%05d", i), "1"))
	}
	m := machineWith(t, entries...)
	m.configuration.view(func(v *distribution.Record) {
		if _, err := v.Apply(distribution.Proposal{Entries: []distribution.Entry{{Scope: "pricing", Name: "n00000", Deleted: true}}}); err != nil {
			t.Fatal(err)
		}
	})
	body := snapshotOf(t, m)
	other := machineWith(t)
	if err := other.Restore(io.NopCloser(bytes.NewReader(body))); err != nil {
		t.Fatal(err)
	}
	ours, theirs := m.configuration.state(), other.configuration.state()
	if fmt.Sprint(ours) != fmt.Sprint(theirs) || len(theirs.Entries) != len(entries) || other.record.Proxies[4].Owner != "a" {
		t.Errorf("restored %d entries at %v, not %d at %v", len(theirs.Entries), theirs.Version, len(ours.Entries), ours.Version)
	}
	for name, damaged := range map[string][]byte{"cut off": body[:len(body)-3], "followed by something": append(slices.Clone(body), 0xff)} {
		kept := machineWith(t, entry("x", "1"))
		if err := kept.Restore(io.NopCloser(bytes.NewReader(damaged))); err == nil || len(kept.configuration.state().Entries) != 1 {
			t.Errorf("%s: %v, %+v", name, err, kept.configuration.state())
		}
	}
}
