package ownership

import (
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"wheelrill/internal/golden"

	"github.com/fxamacker/cbor/v2"
)

// fullEntry returns an entry in which every field is set.
func fullEntry() Entry {
	return Entry{
		Member: "n1", Incarnation: 1<<63 + 5, Seq: 70_000, SeenToken: 300, Closing: true,
		Claims: []int{0, 5, 1000}, Reclaims: []int{6, 7}, Revision: 1 << 33,
		TableChanges: []TableChange{
			{Table: 0, Lines: []Line{{Backend: "a", Weight: 0.5}, {Backend: "backend-17", Weight: 0}}},
			{Table: WithdrawnTable, Lines: []Line{{Backend: "b", Weight: 1}}},
		},
		Confirmations: []Confirmation{
			{Proxy: 5, Token: 4, Revision: 8, Tables: []int{2, 2, 0}, WithdrawalsKnown: true},
			{Proxy: 6, Token: 5, Revision: 9, Tables: []int{-1}},
		},
		Observations: []Observation{
			{Backend: "a", Attempts: 5, Failed: 4, MeanLatency: 3000, Window: 2000, Withdrawn: true, Backoff: 700},
			{Backend: "b", Attempts: 70_000, Failed: 0, MeanLatency: 1, Window: 1_000_000},
		},
		Demands:       []Demand{{Proxy: 5, Rates: []float64{1.5, 0, 1e9}}, {Proxy: 6}},
		Capacity:      Capacity{Proven: 2.25, Saturated: 3},
		FullyRecorded: []uint64{77, 1<<63 + 5},
		Stamp:         Stamp{Leader: 1<<63 + 9, At: 123_456_789},
	}
}

// fullRecord returns a record in which every field is set, most with several elements.
func fullRecord() *Record {
	record := NewRecord()
	record.Apply(Entry{Member: "n0", Incarnation: 10, Seq: 1, Stamp: Stamp{9, 50}})
	record.Apply(Entry{Member: "n0", Incarnation: 11, Seq: 1, Claims: []int{3, 4, 5}, Revision: 1, Stamp: Stamp{9, 100},
		TableChanges: []TableChange{
			{Table: 0, Lines: []Line{{"a", 1}, {"b", 0.25}}},
			{Table: 2, Lines: []Line{{"c", 7}}},
			{Table: WithdrawnTable, Lines: []Line{{"z", 1}}},
		}})
	record.Apply(Entry{Member: "n1", Incarnation: 21, Seq: 1, SeenToken: 40, Stamp: Stamp{9, 150}})
	record.Apply(Entry{Member: "n0", Incarnation: 11, Seq: 2, Revision: 2, Stamp: Stamp{9, 200},
		TableChanges: []TableChange{{Table: 0, Lines: []Line{{"a", 0}, {"d", 3}}},
			{Table: WithdrawnTable, Lines: []Line{{"z", 0}}}},
		Confirmations: []Confirmation{
			{Proxy: 3, Token: 1, Revision: 1, Tables: []int{0, 2}, WithdrawalsKnown: true},
			{Proxy: 4, Token: 2, Revision: 2, Tables: []int{0, 0}, WithdrawalsKnown: true},
		},
		Observations: []Observation{{Backend: "z", Attempts: 9, Failed: 8, MeanLatency: 100, Window: 1000,
			Withdrawn: true, Backoff: 5_000_000}},
		Demands:  []Demand{{Proxy: 3, Rates: []float64{10, 2.5}}},
		Capacity: Capacity{Proven: 2, Saturated: 3}})
	record.Apply(Entry{Member: "n1", Incarnation: 21, Seq: 2, Claims: []int{5}, FullyRecorded: []uint64{11, 21},
		Stamp:        Stamp{9, 300},
		Observations: []Observation{{Backend: "z", Attempts: 3, Failed: 3, Withdrawn: true, Backoff: 1_000_000}}})
	record.Apply(Entry{Member: "n2", Incarnation: 31, Seq: 1, Closing: true, Stamp: Stamp{9, 400}})
	return record
}

// describeRecord returns a record as text for the golden files, in a fixed order and independent of
// the names of types and fields.
func describeRecord(record *Record) string {
	var text strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	writeLine("last token %d", record.Token)
	for _, member := range slices.Sorted(maps.Keys(record.Members)) {
		writeLine("member %s is %d, was %v", member, record.Members[member], record.PastIncarnations[member])
	}
	for _, id := range slices.Sorted(maps.Keys(record.Incarnations)) {
		incarnation := record.Incarnations[id]
		writeLine("process %d of %s: last entry %d, closed %v, edition %d", id, incarnation.Member, incarnation.Seq,
			incarnation.Closed, incarnation.Revision)
		for _, number := range slices.Sorted(maps.Keys(incarnation.Tables)) {
			table := incarnation.Tables[number]
			writeLine("  table %d, known from %d on", number, table.CompactedAt)
			for _, backend := range slices.Sorted(maps.Keys(table.Lines)) {
				writeLine("    %s %g set by %d", backend, table.Lines[backend].Weight, table.Lines[backend].Revision)
			}
		}
	}
	for _, proxy := range slices.Sorted(maps.Keys(record.Proxies)) {
		owned := record.Proxies[proxy]
		writeLine("proxy %d: of %s as %d, token %d, confirmed %d of tables %v, sure %v", proxy, owned.Owner,
			owned.Incarnation, owned.Token, owned.Revision, owned.Tables, owned.WithdrawalsKnown)
		for _, move := range owned.Moves {
			writeLine("  moved at %d by the clock of %d", move.At, move.Leader)
		}
	}
	for _, backend := range slices.Sorted(maps.Keys(record.Withdrawn)) {
		for _, member := range slices.Sorted(maps.Keys(record.Withdrawn[backend])) {
			observation := record.Withdrawn[backend][member]
			writeLine("backend %s is withdrawn at %s: %s, %d of %d failed, mean %d, over %d, for %d, %v", backend,
				member, observation.Backend, observation.Failed, observation.Attempts, observation.MeanLatency,
				observation.Window, observation.Backoff, observation.Withdrawn)
		}
	}
	for _, proxy := range slices.Sorted(maps.Keys(record.Demands)) {
		writeLine("proxy %d gets %v requests a second", proxy, record.Demands[proxy])
	}
	for _, member := range slices.Sorted(maps.Keys(record.Capacities)) {
		writeLine("capacity seen by %s: %g without a queue, %g with one", member, record.Capacities[member].Proven,
			record.Capacities[member].Saturated)
	}
	return text.String()
}

// TestEncodedBytesMatchGoldenFile pins the bytes that members send to each other and store on disk,
// in addition to the cases of TestEncodedBytes: with every field set, and with none.
func TestEncodedBytesMatchGoldenFile(t *testing.T) {
	full := fullEntry()
	var text strings.Builder
	for _, c := range []struct {
		name  string
		value any
	}{
		{"entry, full", full},
		{"entry, empty", Entry{}},
		{"stamp, empty", Stamp{}},
		{"table change, full", full.TableChanges[0]},
		{"table change, empty", TableChange{}},
		{"line, empty", Line{}},
		{"confirmation, full", full.Confirmations[0]},
		{"confirmation, empty", Confirmation{}},
		{"observation, full", full.Observations[0]},
		{"observation, empty", Observation{}},
		{"demand, full", full.Demands[0]},
		{"demand, empty", Demand{}},
		{"capacity, full", full.Capacity},
		{"capacity, empty", Capacity{}},
		{"record, new", NewRecord()},
		{"record, empty", Record{}},
		{"process, empty", Incarnation{}},
		{"table, empty", Table{}},
		{"table line, empty", VersionedWeight{}},
		{"ownership, full", fullRecord().Proxies[5]},
		{"ownership, empty", Ownership{}},
	} {
		body, err := cbor.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s: %s\n", c.name, hex.EncodeToString(body))
	}
	golden.Compare(t, "encoded.txt", text.String())
}

// TestStoredRecordIsDecoded checks that a snapshot that an earlier version wrote is decoded into
// the same record, and that claims on this record have the same results.
func TestStoredRecordIsDecoded(t *testing.T) {
	path := filepath.Join("testdata", "record.cbor")
	if golden.Updating() {
		body, err := cbor.Marshal(fullRecord())
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, body, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	body, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	record := NewRecord()
	if err := cbor.Unmarshal(body, record); err != nil {
		t.Fatal(err)
	}
	text := describeRecord(record)
	if want := describeRecord(fullRecord()); text != want {
		t.Errorf("decoded\n%s\nwant\n%s", text, want)
	}
	moves, accepted := record.Apply(Entry{Member: "n1", Incarnation: 21, Seq: 3, Claims: []int{3, 4, 5, 6},
		FullyRecorded: []uint64{11, 21, 31}, Stamp: Stamp{9, 500}})
	text += fmt.Sprintf("the next entry counts: %v\n", accepted)
	for _, move := range moves {
		text += describeMove(move) + "\n"
	}
	golden.Compare(t, "record.txt", text+describeRecord(record))
}

func describeMove(move Move) string {
	return fmt.Sprintf("proxy %d goes from %s to %s by token %d: known %v, clean %v, gets %v, has %s", move.Proxy,
		move.From.Owner, move.To.Owner, move.To.Token, move.Known,
		move.NoWithdrawals, move.Demand, describeBase(move.Base))
}

func describeBase(base []KnownTable) string {
	var classes []string
	for _, known := range base {
		var parts []string
		for _, backend := range slices.Sorted(maps.Keys(known.Lines)) {
			parts = append(parts, fmt.Sprintf("%s=%g", backend, known.Lines[backend]))
		}
		for _, backend := range slices.Sorted(maps.Keys(known.Uncertain)) {
			parts = append(parts, backend+"?")
		}
		classes = append(classes, "["+strings.Join(parts, " ")+"]")
	}
	if classes == nil {
		return "nothing known"
	}
	return strings.Join(classes, " ")
}
