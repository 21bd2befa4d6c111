package controller

import (
	"fmt"
	"maps"
	"testing"

	"wheelrill/balancer"
	"wheelrill/ownership"
)

// newKnownTable makes tables of ten lines for two classes, and a proxy that comes from another owner with what is given.
func newKnownTable(base ownership.KnownTable, brought map[string]float64) (*tables, *fakeProxy, *connection) {
	to := newTestTables(2)
	fake, conn := connectFakeProxy(to, 0, false)
	for class := range fake.lines {
		fake.lines[class] = maps.Clone(brought)
		fake.limits[class] = []float64{2, 0}
	}
	for b := range 10 {
		to.PublishEntry(0, b, 1)
	}
	to.proxies[0].base = []ownership.KnownTable{base, base}
	return to, fake, conn
}

func TestPushingAgainstKnownTables(t *testing.T) {
	ten := map[string]float64{}
	for b := range 10 {
		ten[fmt.Sprint("s-", b)] = 1
	}
	// quoted is a table as the record has it, which keeps names as they are written.
	quoted := func(lines map[string]float64) map[string]float64 {
		of := map[string]float64{}
		for id, weight := range lines {
			of[fmt.Sprintf("%q", id)] = weight
		}
		return of
	}
	t.Run("what it surely has is not written again, and limits that others left are lifted, once", func(t *testing.T) {
		tables, fake, conn := newKnownTable(ownership.KnownTable{Lines: quoted(ten)}, ten)
		tables.AssignTable(0, 0, 0)
		tables.RequestAck(1, false)
		tables.writes(t)
		if fake.receive(t, conn); fake.cost > 3 || !maps.Equal(fake.lines[0], ten) || fake.limits[0][0] < 1e9 || fake.limits[1][0] < 1e9 ||
			fake.limits[0][1] != float64(balancer.RetryIfNotExecuted) {
			t.Errorf("got %+v", fake)
		}
		tables.PublishEntry(0, 3, 0.5)
		tables.writes(t)
		if fake.receive(t, conn); fake.cost != 1 || fake.limits[0][0] < 1e9 {
			t.Errorf("a later change wrote %d lines, levels %v", fake.cost, fake.limits)
		}
		tables.SetAdmissionLimit(balancer.AllTables, 0, 7, balancer.NoRetry)
		tables.writes(t)
		if fake.receive(t, conn); fake.limits[0][0] != 7 || fake.limits[1][0] != 7 {
			t.Errorf("levels %v", fake.limits)
		}
	})
	t.Run("entries that differ, that it lacks, that it has too many, and those in doubt are written", func(t *testing.T) {
		brought := maps.Clone(ten)
		brought["s-1"], brought["s-9"], brought["s-20"] = 0.25, 0.5, 3
		delete(brought, "s-2")
		known := quoted(brought)
		delete(known, `"s-9"`) // in doubt: it may have any, or none
		tables, fake, conn := newKnownTable(ownership.KnownTable{Lines: known, Uncertain: map[string]bool{`"s-9"`: true}}, brought)
		tables.AssignTable(0, 0, 0)
		tables.writes(t)
		if fake.receive(t, conn); !maps.Equal(fake.lines[0], ten) || !maps.Equal(fake.lines[1], ten) || fake.cost != 5 {
			t.Errorf("wrote %d lines: %+v", fake.cost, fake.lines)
		}
	})
	t.Run("where as many differ as there are, it gets the full table", func(t *testing.T) {
		tables, fake, conn := newKnownTable(ownership.KnownTable{Lines: map[string]float64{}}, map[string]float64{"s-30": 1})
		tables.AssignTable(0, 0, 0)
		tables.writes(t)
		if fake.receive(t, conn); !maps.Equal(fake.lines[0], ten) || fake.limits[0] != nil || tables.fullTables != 1 || tables.deltaTables != 0 {
			t.Errorf("got %+v", fake)
		}
	})
	t.Run("with classes that had other tables, what any of them may lack is written", func(t *testing.T) {
		tables, fake, conn := newKnownTable(ownership.KnownTable{Lines: quoted(ten)}, ten)
		delete(fake.lines[1], "s-4")
		less := quoted(ten)
		delete(less, `"s-4"`)
		tables.proxies[0].base[1] = ownership.KnownTable{Lines: less}
		tables.AssignTable(0, 0, 0)
		tables.writes(t)
		if fake.receive(t, conn); !maps.Equal(fake.lines[0], ten) || !maps.Equal(fake.lines[1], ten) {
			t.Errorf("has %v", fake.lines)
		}
	})
}
