package main

import (
	"encoding/json"
	"testing"

	"wheelrill/scale/results"
)

// measured has the command line play a measurement whose processes are this test's, and gives the run that it kept.
func measured(t *testing.T, name string, flags ...string) *results.Run {
	t.Helper()
	t.Setenv(asProgram, "yes")
	folder := t.TempDir()
	args := append([]string{"scale", "run", name, "--for", "400ms", "--out", folder, "--logs", t.TempDir(), "--json"}, flags...)
	text, code := commands(t, args...)
	var told results.Run
	if err := json.Unmarshal([]byte(text), &told); err != nil {
		t.Fatalf("%v ended with %d: %v in %q", args, code, err, text)
	}
	kept, err := results.Load(folder)
	if err != nil || len(kept) != 1 || len(kept[0].Samples) != len(told.Samples) {
		t.Fatalf("kept %+v, %v", kept, err)
	}
	return kept[0]
}

// figures reads a metric at each size.
func figures(t *testing.T, r *results.Run, metric string) (all []float64) {
	t.Helper()
	for _, s := range r.Samples {
		value, ok := s.Get(metric)
		if !ok {
			t.Fatalf("at %d there is no %s", s.Size, metric)
		}
		all = append(all, value)
	}
	return all
}

// TestScaleMeasuresListsOfARealController has real controllers take in lists whole, with as many bytes for each entry.
func TestScaleMeasuresListsOfARealController(t *testing.T) {
	r := measured(t, "lists", "--sizes", "10,20,40,80")
	known, bytes, ready := figures(t, r, "known"), figures(t, r, "entry_bytes"), figures(t, r, "ready_processor")
	changes := figures(t, r, "change_bytes")
	for i, s := range r.Samples {
		if known[i] != float64(s.Size) || bytes[i] < 50 || bytes[i] > 200 || ready[i] <= 0 || changes[i] <= 0 || changes[i] > 500 {
			t.Errorf("at %d: %v known, %v bytes an entry, %v s, %v bytes a change", s.Size, known[i], bytes[i], ready[i], changes[i])
		}
	}
}

// TestScaleMeasuresRealControllersThatRestart has each of several controllers that start at once be sent the list once.
func TestScaleMeasuresRealControllersThatRestart(t *testing.T) {
	r := measured(t, "recovery", "--sizes", "1,2,3,4")
	all, each := figures(t, r, "all_bytes"), figures(t, r, "bytes")
	for i, s := range r.Samples {
		if each[i] != each[0] || all[i] < float64(s.Size)*each[0]*0.999 || all[i] > float64(s.Size)*each[0]*1.001 {
			t.Errorf("%d at once: %v bytes in all, %v each, %v for one alone", s.Size, all[i], each[i], each[0])
		}
	}
}

// TestScaleMeasuresRolesAsProcesses has a voter, a distributor and a controller that are processes of their own hand changes down within the
// budgets, and every child have what it should.
func TestScaleMeasuresRolesAsProcesses(t *testing.T) {
	r := measured(t, "roles", "--sizes", "570", "--for", "20s")
	for _, text := range r.Samples[0].Violations {
		t.Error(text)
	}
	for _, role := range []string{"voter", "distributor", "controller"} {
		for _, figure := range []string{"_bytes_per_s", "_processor", "_memory"} {
			if value := figures(t, r, role+figure)[0]; value <= 0 {
				t.Errorf("%s%s is %v", role, figure, value)
			}
		}
	}
	for _, b := range r.OverBudget() {
		if b.Metric.Unit != "% of a core" { // the race detector takes most of that
			t.Error(b)
		}
	}
	if entries, most := figures(t, r, "controller_entries")[0], figures(t, r, "most")[0]; entries != 25 || most <= 0 {
		t.Errorf("a controller has %v entries, the last change was in force after %v s", entries, most)
	}
}
