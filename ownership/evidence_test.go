package ownership

import (
	"fmt"
	"slices"
	"testing"
)

func TestEvidence(t *testing.T) {
	t.Run("what was met is summed until it is told, once in a span", func(t *testing.T) {
		v := NewEvidence()
		v.TakeDue(5_000_000)
		v.AddOutcomes("b", 10, 0, 100, 1000)
		v.AddOutcomes("b", 10, 5, 400, 2000)
		if seen, _, _ := v.TakeDue(5_500_000); seen != nil {
			t.Errorf("told early: %+v", seen)
		}
		seen, _, _ := v.TakeDue(6_000_000)
		if want := []Observation{{Backend: "b", Attempts: 20, Failed: 5, MeanLatency: 200, Window: 2000}}; !slices.Equal(seen, want) {
			t.Errorf("told %+v", seen)
		}
		if seen, _, _ := v.TakeDue(7_000_000); seen != nil {
			t.Errorf("told twice: %+v", seen)
		}
	})
	t.Run("a withdrawal is told at once, not again while it stands, and taken back at once", func(t *testing.T) {
		v := NewEvidence()
		v.TakeDue(5_000_000)
		v.AddOutcomes("a", 9, 9, 0, 1000)
		v.SetWithdrawn("a", true, 9, 9, 10)
		if seen, _, _ := v.TakeDue(5_000_001); len(seen) != 1 || !seen[0].Withdrawn || seen[0].Failed != 9 || seen[0].Backoff != 10 {
			t.Errorf("told %+v", seen)
		}
		v.AddOutcomes("a", 1, 1, 0, 1000)
		v.SetWithdrawn("a", true, 1, 1, 10)
		if seen, _, _ := v.TakeDue(6_500_000); seen != nil {
			t.Errorf("told again: %+v", seen)
		}
		v.SetWithdrawn("a", false, 0, 0, 0)
		if seen, _, _ := v.TakeDue(6_500_001); len(seen) != 1 || seen[0].Withdrawn {
			t.Errorf("not taken back: %+v", seen)
		}
	})
	t.Run("demand is told when it has changed, so many proxies at a time", func(t *testing.T) {
		v := NewEvidence()
		for proxy := range 100 {
			v.AddDemand(proxy, 1, 20, 2_000_000)
		}
		_, came, _ := v.TakeDue(1_000_000)
		_, rest, _ := v.TakeDue(2_000_000)
		if len(came) != maxDemands || len(rest) != 100-maxDemands || fmt.Sprint(came[0]) != "{0 [0 10]}" {
			t.Errorf("told %d and %d, the first %v", len(came), len(rest), came[0])
		}
		v.AddDemand(7, 1, 21, 2_000_000)
		if _, same, _ := v.TakeDue(3_000_000); same != nil {
			t.Errorf("told %v for a little more", same)
		}
		for range 5 {
			v.AddDemand(7, 1, 90, 2_000_000)
		}
		if _, more, _ := v.TakeDue(4_000_000); len(more) != 1 || more[0].Proxy != 7 || more[0].Rates[1] < 20 {
			t.Errorf("told %v", more)
		}
		v.ForgetProxy(7)
		v.AddDemand(7, 0, 1, 0) // no time at all
		if _, gone, _ := v.TakeDue(5_000_000); gone != nil || len(v.demand) != 99 {
			t.Errorf("told %v, %d are kept", gone, len(v.demand))
		}
	})
	t.Run("what the fleet can do is told when it has changed", func(t *testing.T) {
		v := NewEvidence()
		var told []Capacity
		for i, proven := range []float64{0, 2, 2.1, 3, 3} {
			v.SetCapacity(Capacity{Proven: proven})
			if _, _, fit := v.TakeDue(int64(i+1) * 1_000_000); fit != (Capacity{}) {
				told = append(told, fit)
			}
		}
		if !slices.Equal(told, []Capacity{{2, 0}, {3, 0}}) {
			t.Errorf("told %v", told)
		}
	})
	t.Run("one that comes learns what others saw the fleet do, and what came to a proxy", func(t *testing.T) {
		p, d := newFakeHost(), (*Coordinator)(nil)
		d = New(p, "n0", terms, 0)
		d.Tick(0)
		d.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 1, Capacity: Capacity{2, 1}, Demands: []Demand{{5, []float64{4, 0}}}}, 0)
		if p.stands(d, 10); !slices.Equal(p.learned, []string{"{2 1}"}) {
			t.Errorf("learned %v", p.learned)
		}
		if moves, _ := d.record.Apply(Entry{Member: "n1", Incarnation: 1, Seq: 2, Claims: []int{5}}); !slices.Equal(moves[0].Demand, []float64{4, 0}) {
			t.Errorf("moved %+v", moves)
		}
	})
}

func TestDelta(t *testing.T) {
	all := func(int) bool { return true }
	want := map[string]float64{"a": 1, "b": 1, "c": 1, "d": 2}
	for _, story := range []struct {
		name  string
		base  []KnownTable
		class func(int) bool
		lines string
		less  bool
	}{
		{"nothing is known", nil, all, "[]", false},
		{"it has all", []KnownTable{{Lines: want}}, all, "[]", true},
		{"one differs, one is too many", []KnownTable{{Lines: map[string]float64{"a": 1, "b": 3, "c": 1, "d": 2, "z": 1}}}, all, "[{b 1} {z 0}]", true},
		{"one is in doubt that is to be gone", []KnownTable{{Lines: want, Uncertain: map[string]bool{"q": true}}}, all, "[{q 0}]", true},
		{"a class that has another table does not concern it", []KnownTable{{Lines: want}, {Lines: map[string]float64{}}},
			func(class int) bool { return class == 0 }, "[]", true},
		{"one of two classes lacks a line", []KnownTable{{Lines: want}, {Lines: map[string]float64{"a": 1, "b": 1, "c": 1}}}, all, "[{d 2}]", true},
		{"as many lines as the whole", []KnownTable{{Lines: map[string]float64{"a": 2, "b": 2, "c": 2, "d": 1, "e": 1}}}, all, "[]", false},
	} {
		t.Run(story.name, func(t *testing.T) {
			if lines, less := Delta(story.base, story.class, want); fmt.Sprint(lines) != story.lines || less != story.less {
				t.Errorf("got %v, %v", lines, less)
			}
		})
	}
}
