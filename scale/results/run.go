// Package results keeps what measurements saw: runs as JSON, fits over sizes, verdicts by budgets, and the tables of
// docs/CAPACITY.md made of them. It measures nothing; package scale does.
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

// Run is one measurement over its sizes, as it is kept. Its keys as JSON are those of all kept runs.
type Run struct {
	Name      string           `json:"name"`              // that it is kept under
	About     string           `json:"about"`             // what was measured, in a sentence
	Revision  string           `json:"text"`              // the commit that was measured
	Date      string           `json:"date"`              // UTC
	Machine   Machine          `json:"machine"`           // that it ran on
	Transport string           `json:"transport"`         // between controllers: loopback, memory or calls
	Seed      uint64           `json:"seed"`              // of all that was drawn
	Seconds   float64          `json:"seconds"`           // that each size was observed
	SizeUnit  string           `json:"size"`              // what sizes count
	Targets   []int            `json:"targets,omitempty"` // sizes that fits are read at
	Metrics   []Metric         `json:"metrics"`           // in the order of the table
	Samples   []Sample         `json:"samples"`           // by size
	Fits      []Fit            `json:"fits"`              // of metrics that are fitted
	Verdict   rehearse.Verdict `json:"verdict"`           // by Evaluate
}

// Machine is where a run was played.
type Machine struct {
	Cores  int   `json:"cores"`        // of the processor
	Memory int64 `json:"memory_bytes"` // in all
}

// Metric is one figure of a sample.
type Metric struct {
	Name   string  `json:"name"`             // by which samples and fits refer to it
	Unit   string  `json:"unit"`             // of its values, as tables show it
	About  string  `json:"about"`            // what it is, as tables show it
	Budget float64 `json:"budget,omitempty"` // what it may be at most; 0 for no budget
	Fit    bool    `json:"fit,omitempty"`    // it is fitted over the sizes
}

// Sample is what was seen at one size.
type Sample struct {
	Size         int      `json:"size"`               // see Run.Size
	Load         float64  `json:"load"`               // the machine's load average over a minute, before
	Values       []Value  `json:"values"`             // by metric
	Violations   []string `json:"broken,omitempty"`   // what must not happen at any size, as a digest that differs
	Partial      string   `json:"partial,omitempty"`  // what was left out of it, so that it rests on less
	Inconclusive string   `json:"unjudged,omitempty"` // why the sample shows nothing, for or against
}

// Value is one metric's figure.
type Value struct {
	Metric string  `json:"metric"` // its name
	Value  float64 `json:"value"`  // in the metric's unit
}

// storedDigits is the precision that figures are kept with.
const storedDigits = 5

// Set notes a metric's figure.
func (s *Sample) Set(metric string, value float64) {
	text := strconv.FormatFloat(value, 'g', storedDigits, 64)
	rounded, _ := strconv.ParseFloat(text, 64) // what was just written can be read
	s.Values = append(s.Values, Value{metric, rounded})
}

// Get gives a metric's figure, if it was seen.
func (s Sample) Get(metric string) (float64, bool) {
	i := slices.IndexFunc(s.Values, func(v Value) bool { return v.Metric == metric })
	if i < 0 {
		return math.NaN(), false
	}
	return s.Values[i].Value, true
}

// Verdicts, as those of a rehearsal.
const (
	VerdictPassed       = rehearse.VerdictPassed
	VerdictViolated     = rehearse.VerdictViolated
	VerdictInconclusive = rehearse.VerdictInconclusive
)

// Excess is a budget that a sample is over.
type Excess struct {
	Size   int     // of the sample
	Metric Metric  // with its budget
	Value  float64 // above it
}

// String says it in a sentence.
func (e Excess) String() string {
	return fmt.Sprintf("at %d: %s is %s %s, and %s at most is set aside", e.Size, e.Metric.Name, FormatFigure(e.Value), e.Metric.Unit,
		FormatFigure(e.Metric.Budget))
}

// OverBudget gives the budgets that were passed, at sizes that could be judged.
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

// Evaluate fits the samples and gives the verdict, in place of those that it had.
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

// Save keeps a run in a folder under its name, and gives its path.
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

// Load reads the runs that a folder keeps, in the order of their names.
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
		return nil, fmt.Errorf("%s: the run in it is named %q; name the file so", path, r.Name)
	}
	return r, nil
}
