package results

import (
	"os"
	"slices"
	"testing"
)

// TestCapacityPageIsWhatKeptRunsGive has each table and each figure of the capacity page be what the kept runs give.
func TestCapacityPageIsWhatKeptRunsGive(t *testing.T) {
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

// TestKeptRunsHaveTheFitsOfTheirSamples has the fits and the verdict of each kept run be what its samples give.
func TestKeptRunsHaveTheFitsOfTheirSamples(t *testing.T) {
	runs, err := Load("../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range runs {
		again := *r
		again.Evaluate()
		if r.Verdict != again.Verdict || !slices.Equal(r.Fits, again.Fits) {
			t.Errorf("%s: kept %s %+v, by its samples %s %+v", r.Name, r.Verdict, r.Fits, again.Verdict, again.Fits)
		}
	}
}
