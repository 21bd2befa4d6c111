package scale

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

// Run is one measurement over its sizes, as it is kept.
type Run struct {
	Name      string           `json:"name"`
	About     string           `json:"about"`
	Text      string           `json:"text"` // the commit that was measured
	Date      string           `json:"date"` // UTC
	Machine   Machine          `json:"machine"`
	Transport string           `json:"transport"`
	Seed      uint64           `json:"seed"`
	Seconds   float64          `json:"seconds"` // that each size was observed
	Size      string           `json:"size"`    // what sizes count
	Targets   []int            `json:"targets,omitempty"`
	Metrics   []Metric         `json:"metrics"`
	Samples   []Sample         `json:"samples"`
	Fits      []Fit            `json:"fits"`
	Verdict   rehearse.Verdict `json:"verdict"`
}

// Sample is what was seen at one size.
type Sample struct {
	Size    int      `json:"size"`
	Load    float64  `json:"load"` // the machine's load average over a minute, before
	Values  []Value  `json:"values"`
	Broken  []string `json:"broken,omitempty"`   // what must not happen at any size, as a digest that differs
	Partial string   `json:"partial,omitempty"`  // what was left out of it, so that it rests on less
	Unknown string   `json:"unjudged,omitempty"` // why the sample shows nothing, for or against
}

// Value is one metric's figure.
type Value struct {
	Metric string  `json:"metric"`
	Value  float64 `json:"value"`
}

// digitsKept is the precision that figures are kept with.
const digitsKept = 5

// Set notes a metric's figure.
func (s *Sample) Set(metric string, value float64) {
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(value, 'g', digitsKept, 64), 64)
	s.Values = append(s.Values, Value{metric, rounded})
}

// Get gives a metric's figure, if it was seen.
func (s Sample) Get(metric string) (float64, bool) {
	at := slices.IndexFunc(s.Values, func(v Value) bool { return v.Metric == metric })
	if at < 0 {
		return math.NaN(), false
	}
	return s.Values[at].Value, true
}

// Verdicts, as those of a rehearsal.
const (
	VerdictPassed       = rehearse.VerdictPassed
	VerdictViolated     = rehearse.VerdictViolated
	VerdictInconclusive = rehearse.VerdictInconclusive
)

// Breach is a budget that a sample is over.
type Breach struct {
	Size   int
	Metric Metric
	Value  float64
}

// String says it in a sentence.
func (b Breach) String() string {
	return fmt.Sprintf("at %d: %s is %s %s, and %s at most is set aside", b.Size, b.Metric.Name, Figure(b.Value), b.Metric.Unit,
		Figure(b.Metric.Most))
}

// Breaches gives the budgets that were passed, at sizes that could be judged.
func (r *Run) Breaches() (all []Breach) {
	for _, s := range r.Samples {
		if s.Unknown != "" {
			continue
		}
		for _, m := range r.Metrics {
			if value, ok := s.Get(m.Name); ok && m.Most > 0 && value > m.Most {
				all = append(all, Breach{s.Size, m, value})
			}
		}
	}
	return all
}

// Settle fits the samples and gives the verdict.
func (r *Run) Settle() {
	r.Fits = nil
	for _, m := range r.Metrics {
		if !m.Fit {
			continue
		}
		if fit, ok := FitOver(r.Samples, m.Name, r.Targets); ok {
			r.Fits = append(r.Fits, fit)
		}
	}
	r.Verdict = VerdictPassed
	if len(r.Samples) == 0 || slices.ContainsFunc(r.Samples, func(s Sample) bool { return s.Unknown != "" }) {
		r.Verdict = VerdictInconclusive
	}
	if len(r.Breaches()) > 0 || slices.ContainsFunc(r.Samples, func(s Sample) bool { return len(s.Broken) > 0 }) {
		r.Verdict = VerdictViolated
	}
}

// Save keeps a run in a folder, and gives its path.
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

// Load reads the runs that a folder keeps, by their names.
func Load(folder string) ([]*Run, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var runs []*Run
	for _, path := range paths {
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
		runs = append(runs, r)
	}
	return runs, nil
}
