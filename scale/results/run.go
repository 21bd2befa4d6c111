// Package results stores the results of measurements: runs as JSON files, fits over sizes, verdicts
// that follow from budgets, and the tables of docs/CAPACITY.md. Package scale makes the
// measurements.
package results

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"wheelrill/rehearse"
)

// Run holds the results of one measurement over its sizes. The JSON keys of the fields occur in
// stored runs, so the keys must not change.
type Run struct {
	Name      string           `json:"name"`              // name under which the run is stored
	About     string           `json:"about"`             // what was measured, in a sentence
	Revision  string           `json:"text"`              // abbreviated hash of the commit that was measured
	Date      string           `json:"date"`              // date and time of the start of the run, in UTC
	Machine   Machine          `json:"machine"`           // machine on which the run was made
	Transport string           `json:"transport"`         // scale.Description.Transport: loopback, memory or calls
	Seed      uint64           `json:"seed"`              // seed of all random numbers
	Seconds   float64          `json:"seconds"`           // seconds for which each size was observed
	SizeUnit  string           `json:"size"`              // unit of the sizes, such as members
	Targets   []int            `json:"targets,omitempty"` // sizes at which fits are evaluated
	Metrics   []Metric         `json:"metrics"`           // metrics of the samples, in the order of the table's rows
	Samples   []Sample         `json:"samples"`           // results in the order in which the sizes were measured
	Fits      []Fit            `json:"fits"`              // fits of the metrics whose field Fit is true
	Verdict   rehearse.Verdict `json:"verdict"`           // overall result of the run; set by Evaluate
}

// Machine describes the machine that a run was made on.
type Machine struct {
	Cores  int   `json:"cores"`        // number of processor cores
	Memory int64 `json:"memory_bytes"` // total memory in bytes
}

// Metric describes one figure of a sample.
type Metric struct {
	Name   string  `json:"name"`             // name by which samples and fits refer to the metric
	Unit   string  `json:"unit"`             // unit of the metric's values, as tables show it
	About  string  `json:"about"`            // what the metric measures, as tables show it
	Budget float64 `json:"budget,omitempty"` // largest allowed value; 0 if the metric has no budget
	Fit    bool    `json:"fit,omitempty"`    // whether the metric is fitted over the sizes
}

// Sample holds the results at one size.
type Sample struct {
	Size         int      `json:"size"`               // measured size, in the unit of Run.SizeUnit
	Load         float64  `json:"load"`               // load average of the machine in the minute before the measurement
	Values       []Value  `json:"values"`             // figures, one for each metric
	Violations   []string `json:"broken,omitempty"`   // violations, such as wrong entries; none if the run passes
	Partial      string   `json:"partial,omitempty"`  // what the sample lacks, such as repeats; "" if nothing
	Inconclusive string   `json:"unjudged,omitempty"` // why the sample allows no verdict; "" if it allows one
}

// Value is the figure of one metric.
type Value struct {
	Metric string  `json:"metric"` // name of the metric
	Value  float64 `json:"value"`  // figure in the unit of the metric
}

// storedDigits is the number of significant digits of stored figures.
const storedDigits = 5

// Set adds the figure of a metric, rounded to storedDigits.
func (s *Sample) Set(metric string, value float64) {
	text := strconv.FormatFloat(value, 'g', storedDigits, 64)
	rounded, _ := strconv.ParseFloat(text, 64) // ParseFloat cannot fail: text is a formatted number
	s.Values = append(s.Values, Value{metric, rounded})
}

// Get returns the figure of a metric, or NaN and false if the sample has none.
func (s Sample) Get(metric string) (float64, bool) {
	i := slices.IndexFunc(s.Values, func(v Value) bool { return v.Metric == metric })
	if i < 0 {
		return math.NaN(), false
	}
	return s.Values[i].Value, true
}

// Verdicts of a run, which are the same as those of package rehearse.
const (
	VerdictPassed       = rehearse.VerdictPassed
	VerdictViolated     = rehearse.VerdictViolated
	VerdictInconclusive = rehearse.VerdictInconclusive
)

// Excess is a figure of a sample that exceeds its budget.
type Excess struct {
	Size   int     // measured size of the sample, in the unit of Run.SizeUnit
	Metric Metric  // metric whose budget is exceeded
	Value  float64 // measured figure, which is above the budget
}

// String describes the excess in a sentence.
func (e Excess) String() string {
	return fmt.Sprintf("at size %d: %s is %s %s, and its budget is %s",
		e.Size, e.Metric.Name, FormatFigure(e.Value), e.Metric.Unit, FormatFigure(e.Metric.Budget))
}

// OverBudget returns the figures that exceed their budgets, except those of inconclusive samples.
func (r *Run) OverBudget() []Excess {
	var all []Excess
	for _, s := range r.Samples {
		if s.Inconclusive != "" {
			continue
		}
		for _, m := range r.Metrics {
			value, ok := s.Get(m.Name)
			if ok && m.Budget > 0 && value > m.Budget {
				all = append(all, Excess{s.Size, m, value})
			}
		}
	}
	return all
}

// Evaluate fits the metrics and determines the verdict. It replaces the previous fits and the
// previous verdict of the run.
func (r *Run) Evaluate() {
	r.Fits = nil
	for _, m := range r.Metrics {
		if !m.Fit {
			continue
		}
		if fit, ok := FitOver(r.Samples, m.Name, r.Targets); ok {
			r.Fits = append(r.Fits, fit)
		}
	}
	r.Verdict = r.evaluate()
}

func (r *Run) evaluate() rehearse.Verdict {
	violated := func(s Sample) bool { return len(s.Violations) > 0 }
	inconclusive := func(s Sample) bool { return s.Inconclusive != "" }
	switch {
	case len(r.OverBudget()) > 0 || slices.ContainsFunc(r.Samples, violated):
		return VerdictViolated
	case len(r.Samples) == 0 || slices.ContainsFunc(r.Samples, inconclusive):
		return VerdictInconclusive
	}
	return VerdictPassed
}

// Save writes the run to a JSON file in a folder, under the name of the run. It returns the path of
// the file.
func (r *Run) Save(folder string) (string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	body, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, r.Name+".json")
	return path, os.WriteFile(path, append(body, '\n'), 0o644)
}

// Load reads all runs in a folder, and returns them in the order of their file names.
func Load(folder string) ([]*Run, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var runs []*Run
	for _, path := range paths {
		r, err := load(path)
		if err != nil {
			return nil, err
		}
		runs = append(runs, r)
	}
	return runs, nil
}

func load(path string) (*Run, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Run{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if name := strings.TrimSuffix(filepath.Base(path), ".json"); name != r.Name {
		return nil, fmt.Errorf("%s: the file holds run %q; a file has to be named after its run", path, r.Name)
	}
	return r, nil
}
