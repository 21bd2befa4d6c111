package ownership

import (
	"fmt"
	"slices"
	"testing"
)

func TestEvidenceReportsChanges(t *testing.T) {
	t.Run("outcomes are summed until they are reported, once per interval", func(t *testing.T) {
		evidence := NewEvidence()
		evidence.TakeDue(5_000_000)
		evidence.AddOutcomes("b", 10, 0, 100, 1000)
		evidence.AddOutcomes("b", 10, 5, 400, 2000)
		if observations := evidence.TakeDue(5_500_000).Observations; observations != nil {
			t.Errorf("reported before the interval has passed: %+v", observations)
		}
		observations := evidence.TakeDue(6_000_000).Observations
		if want := []Observation{{Backend: "b", Attempts: 20, Failed: 5, MeanLatency: 200,
			Window: 2000}}; !slices.Equal(observations, want) {
			t.Errorf("reported %+v, want %+v", observations, want)
		}
		if observations := evidence.TakeDue(7_000_000).Observations; observations != nil {
			t.Errorf("reported twice: %+v", observations)
		}
	})
	t.Run("a withdrawal is reported at once and only once, a restore at once", func(t *testing.T) {
		evidence := NewEvidence()
		evidence.TakeDue(5_000_000)
		evidence.AddOutcomes("a", 9, 9, 0, 1000)
		evidence.SetWithdrawn("a", true, 9, 9, 10)
		if observations := evidence.TakeDue(5_000_001).Observations; len(observations) != 1 ||
			!observations[0].Withdrawn || observations[0].Failed != 9 || observations[0].Backoff != 10 {
			t.Errorf("reported %+v, want one withdrawal with 9 failures and a backoff of 10", observations)
		}
		evidence.AddOutcomes("a", 1, 1, 0, 1000)
		evidence.SetWithdrawn("a", true, 1, 1, 10)
		if observations := evidence.TakeDue(6_500_000).Observations; observations != nil {
			t.Errorf("reported again: %+v", observations)
		}
		evidence.SetWithdrawn("a", false, 0, 0, 0)
		if observations := evidence.TakeDue(6_500_001).Observations; len(observations) != 1 ||
			observations[0].Withdrawn {
			t.Errorf("restored backend not reported: %+v", observations)
		}
	})
	t.Run("changed demands are reported, at most maxDemands at a time", func(t *testing.T) {
		evidence := NewEvidence()
		for proxy := range 100 {
			evidence.AddDemand(proxy, 1, 20, 2_000_000)
		}
		first := evidence.TakeDue(1_000_000).Demands
		remaining := evidence.TakeDue(2_000_000).Demands
		if len(first) != maxDemands || len(remaining) != 100-maxDemands || fmt.Sprint(first[0]) != "{0 [0 10]}" {
			t.Errorf("reported %d and %d demands, the first %v", len(first), len(remaining), first[0])
		}
		evidence.AddDemand(7, 1, 21, 2_000_000)
		if demands := evidence.TakeDue(3_000_000).Demands; demands != nil {
			t.Errorf("reported %v for a change within the tolerance", demands)
		}
		for range 5 {
			evidence.AddDemand(7, 1, 90, 2_000_000)
		}
		if demands := evidence.TakeDue(4_000_000).Demands; len(demands) != 1 || demands[0].Proxy != 7 ||
			demands[0].Rates[1] < 20 {
			t.Errorf("reported %v, want one demand, of proxy 7, of at least 20 requests per second", demands)
		}
		evidence.ForgetProxy(7)
		evidence.AddDemand(7, 0, 1, 0) // a count over a span of 0 is ignored
		if demands := evidence.TakeDue(5_000_000).Demands; demands != nil || len(evidence.demand) != 99 {
			t.Errorf("reported %v, demands of %d proxies are remembered", demands, len(evidence.demand))
		}
	})
	t.Run("a changed capacity is reported", func(t *testing.T) {
		evidence := NewEvidence()
		var reported []Capacity
		for i, proven := range []float64{0, 2, 2.1, 3, 3} {
			evidence.SetCapacity(Capacity{Proven: proven})
			if capacity := evidence.TakeDue(int64(i+1) * 1_000_000).Capacity; capacity != (Capacity{}) {
				reported = append(reported, capacity)
			}
		}
		if !slices.Equal(reported, []Capacity{{2, 0}, {3, 0}}) {
			t.Errorf("reported %v, want only the changes beyond the tolerance, to 2 and to 3", reported)
		}
	})
	t.Run("an entering member gets the recorded capacities, and a claim the recorded demand", func(t *testing.T) {
		host := newFakeHost()
		coordinator := New(host, "n0", terms, 0)
		coordinator.Tick(0)
		coordinator.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 1, Capacity: Capacity{2, 1},
			Demands: []Demand{{5, []float64{4, 0}}}}, 0)
		if host.commitLast(coordinator, 10); !slices.Equal(host.peerReports, []string{"{2 1}"}) {
			t.Errorf("passed on %v, want the capacity on the record", host.peerReports)
		}
		if moves, _ := coordinator.record.Apply(Entry{Member: "n1", Incarnation: 1, Seq: 2,
			Claims: []int{5}}); !slices.Equal(moves[0].Demand, []float64{4, 0}) {
			t.Errorf("moves %+v, want the demand on the record", moves)
		}
	})
}
