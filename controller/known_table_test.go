package controller

import (
	"fmt"
	"maps"
	"testing"

	"wheelrill/balancer"
	"wheelrill/ownership"
)

// newTablesWithKnownProxy makes table 0 with ten entries for two classes, and a connected proxy
// that has the table entries entriesBefore, and admission limits that its previous owner set. base
// is the table that, as far as the new owner knows, the proxy has.
func newTablesWithKnownProxy(
	base ownership.KnownTable, entriesBefore map[string]float64,
) (*tables, *fakeProxy, *connection) {
	to := newTestTables(2)
	fake, conn := connectFakeProxy(to, 0, false)
	for class := range fake.lines {
		fake.lines[class] = maps.Clone(entriesBefore)
		fake.limits[class] = []float64{2, 0}
	}
	for b := range 10 {
		to.PublishEntry(0, b, 1)
	}
	to.proxies[0].knownTables = []ownership.KnownTable{base, base}
	return to, fake, conn
}

func TestPushingAgainstKnownTables(t *testing.T) {
	ten := map[string]float64{}
	for b := range 10 {
		ten[fmt.Sprint("s-", b)] = 1
	}
	// quoted returns table entries as the replicated ownership record stores them, with backend ids
	// as JSON strings.
	quoted := func(lines map[string]float64) map[string]float64 {
		encoded := map[string]float64{}
		for id, weight := range lines {
			encoded[fmt.Sprintf("%q", id)] = weight
		}
		return encoded
	}
	t.Run("known entries are not written again, and limits of another owner are lifted once", func(t *testing.T) {
		tables, fake, conn := newTablesWithKnownProxy(ownership.KnownTable{Lines: quoted(ten)}, ten)
		tables.AssignTable(0, 0, 0)
		tables.RequestAck(1, false)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); fake.cost > 3 || !maps.Equal(fake.lines[0], ten) ||
			fake.limits[0][0] < 1e9 || fake.limits[1][0] < 1e9 ||
			fake.limits[0][1] != float64(balancer.RetryIfNotExecuted) {
			t.Errorf("want at most 3 lines and lifted limits, got %+v", fake)
		}
		tables.PublishEntry(0, 3, 0.5)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); fake.cost != 1 || fake.limits[0][0] < 1e9 {
			t.Errorf("a later change took %d lines, limits %v", fake.cost, fake.limits)
		}
		tables.SetAdmissionLimit(balancer.AllTables, 0, 7, balancer.NoRetry)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); fake.limits[0][0] != 7 || fake.limits[1][0] != 7 {
			t.Errorf("limits %v, want 7", fake.limits)
		}
	})
	t.Run("entries that differ, are missing, are surplus or are uncertain are written", func(t *testing.T) {
		entriesBefore := maps.Clone(ten)
		entriesBefore["s-1"], entriesBefore["s-9"], entriesBefore["s-20"] = 0.25, 0.5, 3
		delete(entriesBefore, "s-2")
		known := quoted(entriesBefore)
		delete(known, `"s-9"`) // s-9 is uncertain: the proxy may have an entry for s-9 with any weight, or no entry
		tables, fake, conn := newTablesWithKnownProxy(
			ownership.KnownTable{Lines: known, Uncertain: map[string]bool{`"s-9"`: true}}, entriesBefore)
		tables.AssignTable(0, 0, 0)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); !maps.Equal(fake.lines[0], ten) || !maps.Equal(fake.lines[1], ten) || fake.cost != 5 {
			t.Errorf("%d lines, want 5; entries %+v", fake.cost, fake.lines)
		}
	})
	t.Run("if all entries differ, the full table is written", func(t *testing.T) {
		tables, fake, conn := newTablesWithKnownProxy(
			ownership.KnownTable{Lines: map[string]float64{}}, map[string]float64{"s-30": 1})
		tables.AssignTable(0, 0, 0)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); !maps.Equal(fake.lines[0], ten) || fake.limits[0] != nil ||
			tables.fullTables != 1 || tables.deltaTables != 0 {
			t.Errorf("want one full table and no limits, got %+v", fake)
		}
	})
	t.Run("for classes that had different tables, an entry that any of them lacks is written", func(t *testing.T) {
		tables, fake, conn := newTablesWithKnownProxy(ownership.KnownTable{Lines: quoted(ten)}, ten)
		delete(fake.lines[1], "s-4")
		withoutOne := quoted(ten)
		delete(withoutOne, `"s-4"`)
		tables.proxies[0].knownTables[1] = ownership.KnownTable{Lines: withoutOne}
		tables.AssignTable(0, 0, 0)
		tables.flushToOutboxes(t)
		if fake.receive(t, conn); !maps.Equal(fake.lines[0], ten) || !maps.Equal(fake.lines[1], ten) {
			t.Errorf("entries %v, want %v for both classes", fake.lines, ten)
		}
	})
}
