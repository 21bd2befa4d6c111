package results

import (
	"os"
	"slices"
	"testing"
)

// TestCapacityPageMatchesKeptRuns guards against a capacity page whose tables and figures differ
// from the kept runs. That happens after an edit of the page by hand, or after a new run without an
// update of the page.
func TestCapacityPageMatchesKeptRuns(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	runs, err := Load("../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	if err := CheckPage(string(page), runs); err != nil {
		t.Error(err)
	}
}

// TestKeptRunsMatchTheirSamples guards against kept runs whose stored fits or verdict differ from
// those that result from the stored samples. That happens after a change of the fit or of a budget.
func TestKeptRunsMatchTheirSamples(t *testing.T) {
	runs, err := Load("../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range runs {
		again := *r
		again.Evaluate()
		if r.Verdict != again.Verdict || !slices.Equal(r.Fits, again.Fits) {
			t.Errorf("run %s has verdict %s and fits %+v; its samples give %s and %+v",
				r.Name, r.Verdict, r.Fits, again.Verdict, again.Fits)
		}
	}
}
