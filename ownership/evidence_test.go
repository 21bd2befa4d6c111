package ownership

import (
	"fmt"
	"slices"
	"testing"
)

func TestEvidenceReportsWhatChanged(t *testing.T) {
	t.Run("what was met is summed until it is told, once in a span", func(t *testing.T) {
		evidence := NewEvidence()
		evidence.TakeDue(5_000_000)
		evidence.AddOutcomes("b", 10, 0, 100, 1000)
		evidence.AddOutcomes("b", 10, 5, 400, 2000)
		if seen := evidence.TakeDue(5_500_000).Observations; seen != nil {
			t.Errorf("told early: %+v", seen)
		}
		seen := evidence.TakeDue(6_000_000).Observations
		if want := []Observation{{Backend: "b", Attempts: 20, Failed: 5, MeanLatency: 200, Window: 2000}}; !slices.Equal(seen, want) {
			t.Errorf("told %+v", seen)
		}
		if seen := evidence.TakeDue(7_000_000).Observations; seen != nil {
			t.Errorf("told twice: %+v", seen)
		}
	})
	t.Run("a withdrawal is told at once, not again while it stands, and taken back at once", func(t *testing.T) {
		evidence := NewEvidence()
		evidence.TakeDue(5_000_000)
		evidence.AddOutcomes("a", 9, 9, 0, 1000)
		evidence.SetWithdrawn("a", true, 9, 9, 10)
		if seen := evidence.TakeDue(5_000_001).Observations; len(seen) != 1 || !seen[0].Withdrawn || seen[0].Failed != 9 || seen[0].Backoff != 10 {
			t.Errorf("told %+v", seen)
		}
		evidence.AddOutcomes("a", 1, 1, 0, 1000)
		evidence.SetWithdrawn("a", true, 1, 1, 10)
		if seen := evidence.TakeDue(6_500_000).Observations; seen != nil {
			t.Errorf("told again: %+v", seen)
		}
		evidence.SetWithdrawn("a", false, 0, 0, 0)
		if seen := evidence.TakeDue(6_500_001).Observations; len(seen) != 1 || seen[0].Withdrawn {
			t.Errorf("not taken back: %+v", seen)
		}
	})
	t.Run("demand is told when it has changed, so many proxies at a time", func(t *testing.T) {
		evidence := NewEvidence()
		for proxy := range 100 {
			evidence.AddDemand(proxy, 1, 20, 2_000_000)
		}
		came := evidence.TakeDue(1_000_000).Demands
		rest := evidence.TakeDue(2_000_000).Demands
		if len(came) != maxDemands || len(rest) != 100-maxDemands || fmt.Sprint(came[0]) != "{0 [0 10]}" {
			t.Errorf("told %d and %d, the first %v", len(came), len(rest), came[0])
		}
		evidence.AddDemand(7, 1, 21, 2_000_000)
		if same := evidence.TakeDue(3_000_000).Demands; same != nil {
			t.Errorf("told %v for a little more", same)
		}
		for range 5 {
			evidence.AddDemand(7, 1, 90, 2_000_000)
		}
		if more := evidence.TakeDue(4_000_000).Demands; len(more) != 1 || more[0].Proxy != 7 || more[0].Rates[1] < 20 {
			t.Errorf("told %v", more)
		}
		evidence.ForgetProxy(7)
		evidence.AddDemand(7, 0, 1, 0) // no time at all
		if gone := evidence.TakeDue(5_000_000).Demands; gone != nil || len(evidence.demand) != 99 {
			t.Errorf("told %v, %d are kept", gone, len(evidence.demand))
		}
	})
	t.Run("what the fleet can do is told when it has changed", func(t *testing.T) {
		evidence := NewEvidence()
		var told []Capacity
		for i, proven := range []float64{0, 2, 2.1, 3, 3} {
			evidence.SetCapacity(Capacity{Proven: proven})
			if fit := evidence.TakeDue(int64(i+1) * 1_000_000).Capacity; fit != (Capacity{}) {
				told = append(told, fit)
			}
		}
		if !slices.Equal(told, []Capacity{{2, 0}, {3, 0}}) {
			t.Errorf("told %v", told)
		}
	})
	t.Run("one that comes learns what others saw the fleet do, and what came to a proxy", func(t *testing.T) {
		host := newFakeHost()
		coordinator := New(host, "n0", terms, 0)
		coordinator.Tick(0)
		coordinator.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 1, Capacity: Capacity{2, 1}, Demands: []Demand{{5, []float64{4, 0}}}}, 0)
		if host.commitLast(coordinator, 10); !slices.Equal(host.peerReports, []string{"{2 1}"}) {
			t.Errorf("learned %v", host.peerReports)
		}
		if moves, _ := coordinator.record.Apply(Entry{Member: "n1", Incarnation: 1, Seq: 2, Claims: []int{5}}); !slices.Equal(moves[0].Demand, []float64{4, 0}) {
			t.Errorf("moved %+v", moves)
		}
	})
}
