package results

import (
	"math"
	"os"
	"strings"
	"testing"
)

// TestFitRecoversBothForms guards against fits that do not find the form or the parameters of a
// known curve, that extrapolate a curve to negative figures, or that use too few sizes or figures
// of 0.
func TestFitRecoversBothForms(t *testing.T) {
	curve := func(f func(n float64) float64) (samples []Sample) {
		for _, size := range []int{3, 5, 7, 9, 30} {
			s := Sample{Size: size}
			s.Set("cost", f(float64(size)))
			samples = append(samples, s)
		}
		return samples
	}
	square, ok := FitOver(curve(func(n float64) float64 { return 4 * n * n }), "cost", nil)
	if !ok || square.Form != FormPower || math.Abs(square.Exponent-2) > 1e-6 || math.Abs(square.At(100)-40_000) > 1 {
		t.Errorf("4n^2 is fitted as %+v; want a power with exponent 2, and 40,000 at 100", square)
	}
	line, ok := FitOver(curve(func(n float64) float64 { return 1000 + 3*n }), "cost", nil)
	if !ok || line.Form != FormLinear || math.Abs(line.At(100)-1300) > 1 || line.Residual > 1e-3 {
		t.Errorf("1000 + 3n is fitted as %+v; want a line, 1300 at 100, and no residual", line)
	}
	falling, ok := FitOver(curve(func(n float64) float64 { return 100 - n }), "cost", []int{11_000})
	if !ok || falling.Form != FormPower || falling.At(11_000) <= 0 {
		t.Errorf("100 - n is fitted as %+v, %v at 11,000; want a power, and a figure above 0", falling, falling.At(11_000))
	}
	if _, ok := FitOver(curve(func(n float64) float64 { return n })[:2], "cost", nil); ok {
		t.Error("a fit over two sizes was returned; want none")
	}
	if _, ok := FitOver(curve(func(float64) float64 { return 0 }), "cost", nil); ok {
		t.Error("a fit over figures of 0 was returned; want none")
	}
}

// sampleRun returns a run with three sizes, whose figure at the last size is over its budget.
func sampleRun() *Run {
	r := &Run{Name: "sample", About: "A sample", Revision: "abc1234", Transport: "memory",
		SizeUnit: "members", Targets: []int{11_000},
		Metrics: []Metric{{Name: "bytes", Unit: "bytes/s", About: "bytes", Budget: 25_000, Fit: true}}}
	for _, size := range []int{3, 5, 9} {
		s := Sample{Size: size}
		s.Set("bytes", float64(3000*size))
		r.Samples = append(r.Samples, s)
	}
	r.Evaluate()
	return r
}

// TestVerdictFollowsBudgetsAndSamples guards against a verdict that hides a figure over its budget,
// a violation, or an inconclusive sample.
func TestVerdictFollowsBudgetsAndSamples(t *testing.T) {
	r := sampleRun()
	if all := r.OverBudget(); r.Verdict != VerdictViolated || len(all) != 1 || all[0].Size != 9 {
		t.Errorf("figure over its budget: verdict %s, excesses %v; want %s, and one at size 9",
			r.Verdict, all, VerdictViolated)
	}
	r.Samples = r.Samples[:2]
	if r.Evaluate(); r.Verdict != VerdictPassed {
		t.Errorf("all figures within budgets: verdict %s; want %s", r.Verdict, VerdictPassed)
	}
	r.Samples[0].Inconclusive = "the machine was too busy"
	if r.Evaluate(); r.Verdict != VerdictInconclusive {
		t.Errorf("inconclusive sample: verdict %s; want %s", r.Verdict, VerdictInconclusive)
	}
	r.Samples[1].Violations = []string{"a digest differs"}
	if r.Evaluate(); r.Verdict != VerdictViolated {
		t.Errorf("sample with a violation: verdict %s; want %s", r.Verdict, VerdictViolated)
	}
}

// TestSavedRunIsLoadedUnchanged guards against fields that are lost or changed when a run is saved
// and loaded. If a loaded run is saved again, its file must have the same bytes.
func TestSavedRunIsLoadedUnchanged(t *testing.T) {
	folder := t.TempDir()
	path, err := sampleRun().Save(folder)
	if err != nil {
		t.Fatal(err)
	}
	first, _ := os.ReadFile(path)
	runs, err := Load(folder)
	if err != nil || len(runs) != 1 {
		t.Fatalf("loaded runs %v, error %v; want one run", runs, err)
	}
	if _, err := runs[0].Save(folder); err != nil {
		t.Fatal(err)
	}
	if again, _ := os.ReadFile(path); string(again) != string(first) {
		t.Errorf("the file of the loaded run is\n%s\nwant that of the first run\n%s", again, first)
	}
}

// TestPageIsFilledAndChecked guards against a page whose tables or figures differ from the runs,
// and against a check that accepts such a page.
func TestPageIsFilledAndChecked(t *testing.T) {
	runs := []*Run{sampleRun()}
	empty := "# Capacity\n\n<!-- scale report sample -->\n<!-- end -->\n\nA member: 0<!-- scale sample bytes 9 -->, at 11,000 0<!-- scale sample bytes 11000 -->.\n"
	page, err := FillPage(empty, runs)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"| bytes, bytes/s | 9,000 | 15,000 | **27,000** | 25,000 |", "A member: 27,000<!--",
		"at 11,000 33,000,000<!--"} {
		if !strings.Contains(page, part) {
			t.Errorf("the filled page does not contain %q:\n%s", part, page)
		}
	}
	if err := CheckPage(page, runs); err != nil {
		t.Errorf("check of the filled page: %v", err)
	}
	if err := CheckPage(strings.Replace(page, "| 15,000 |", "| 15,001 |", 1), runs); err == nil {
		t.Error("a page with a changed table passed the check")
	}
	if err := CheckPage(strings.Replace(page, "member: 27,000<", "member: 26,000<", 1), runs); err == nil {
		t.Error("a page with a changed figure passed the check")
	}
	if err := CheckPage(strings.Replace(page, "<!-- end -->", "", 1), runs); err == nil {
		t.Error("a page with a block without an end passed the check")
	}
	if err := CheckPage(page, nil); err == nil {
		t.Error("a page with a block of an unknown run passed the check")
	}
}
