package main

import (
	"encoding/json"
	"testing"

	"wheelrill/scale/results"
)

// runMeasurement runs a measurement through the command line and returns the saved run. The
// measured processes run this test binary.
func runMeasurement(t *testing.T, name string, flags ...string) *results.Run {
	t.Helper()
	t.Setenv(runAsProgramEnv, "yes")
	folder := t.TempDir()
	args := append([]string{"scale", "run", name, "--for", "400ms", "--out", folder, "--logs", t.TempDir(), "--json"},
		flags...)
	text, code := runCommand(t, args...)
	var printed results.Run
	if err := json.Unmarshal([]byte(text), &printed); err != nil {
		t.Fatalf("%v exited with %d and wrote no JSON (%v): %q", args, code, err, text)
	}
	saved, err := results.Load(folder)
	if err != nil || len(saved) != 1 || len(saved[0].Samples) != len(printed.Samples) {
		t.Fatalf("saved runs %+v, error %v; want one with %d samples", saved, err, len(printed.Samples))
	}
	return saved[0]
}

// metricValues returns the values of a metric, one for each size.
func metricValues(t *testing.T, r *results.Run, metric string) (values []float64) {
	t.Helper()
	for _, s := range r.Samples {
		value, ok := s.Get(metric)
		if !ok {
			t.Fatalf("the sample of size %d has no metric %s", s.Size, metric)
		}
		values = append(values, value)
	}
	return values
}

// TestScaleMeasuresListsOfARealController guards against a measurement in which controllers do not
// apply the whole endpoint list, or whose bytes for each entry or each change are implausible.
func TestScaleMeasuresListsOfARealController(t *testing.T) {
	r := runMeasurement(t, "lists", "--sizes", "10,20,40,80")
	knownEntries, entryBytes, readyCPUSeconds := metricValues(t, r, "known"), metricValues(t, r, "entry_bytes"),
		metricValues(t, r, "ready_processor")
	changeBytes := metricValues(t, r, "change_bytes")
	for i, s := range r.Samples {
		if knownEntries[i] != float64(s.Size) || entryBytes[i] < 50 || entryBytes[i] > 200 || readyCPUSeconds[i] <= 0 ||
			changeBytes[i] <= 0 || changeBytes[i] > 500 {
			t.Errorf("size %d: %v known entries, %v bytes per entry (want 50 to 200), ready after %v s of CPU time "+
				"(want above 0), %v bytes per change (want up to 500)", s.Size, knownEntries[i], entryBytes[i],
				readyCPUSeconds[i], changeBytes[i])
		}
	}
}

// TestScaleMeasuresRealControllersThatRestart guards against a controller that receives the
// endpoint list more or less than once when several controllers start at once.
func TestScaleMeasuresRealControllersThatRestart(t *testing.T) {
	r := runMeasurement(t, "recovery", "--sizes", "1,2,3,4")
	totalBytes, bytesEach := metricValues(t, r, "all_bytes"), metricValues(t, r, "bytes")
	for i, s := range r.Samples {
		if bytesEach[i] != bytesEach[0] || totalBytes[i] < float64(s.Size)*bytesEach[0]*0.999 ||
			totalBytes[i] > float64(s.Size)*bytesEach[0]*1.001 {
			t.Errorf("%d controllers at once: %v bytes in total, %v for each, want as many as the %v for a single one",
				s.Size, totalBytes[i], bytesEach[i], bytesEach[0])
		}
	}
}

// TestScaleMeasuresRolesAsProcesses guards against changes that do not reach every child, and
// against exceeded budgets, while a voter, a distributor and a controller in processes of their own
// pass the changes on.
func TestScaleMeasuresRolesAsProcesses(t *testing.T) {
	r := runMeasurement(t, "roles", "--sizes", "570", "--for", "20s")
	for _, text := range r.Samples[0].Violations {
		t.Error(text)
	}
	for _, role := range []string{"voter", "distributor", "controller"} {
		for _, figure := range []string{"_bytes_per_s", "_processor", "_memory"} {
			if value := metricValues(t, r, role+figure)[0]; value <= 0 {
				t.Errorf("%s%s is %v, want above 0", role, figure, value)
			}
		}
	}
	for _, b := range r.OverBudget() {
		if b.Metric.Unit != "% of a core" { // CPU budgets are skipped: the race detector uses most of the CPU time
			t.Error(b)
		}
	}
	entryCount, maxDelay := metricValues(t, r, "controller_entries")[0], metricValues(t, r, "most")[0]
	if entryCount != 25 || maxDelay <= 0 {
		t.Errorf("a controller has %v entries, want 25; the last change took %v s, want above 0", entryCount, maxDelay)
	}
}
