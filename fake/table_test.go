package fake

import (
	"math"
	"math/rand/v2"
	"testing"
)

// pickLinearly picks like Table.Pick, but subtracts the weights one by one.
func pickLinearly(ids []string, weights map[string]float64, previous string, random uint64) string {
	total, last := 0., ""
	for _, id := range ids {
		if id != previous {
			total, last = total+weights[id], id
		}
	}
	rest := unitInterval(random) * total
	for _, id := range ids {
		if id == previous {
			continue
		}
		if rest -= weights[id]; rest < 0 {
			return id
		}
	}
	return last
}

// TestTablePicksByWeightAndSkipsThePreviousBackend guards against a pick that is biased, that
// chooses the previous backend again, or that chooses a withdrawn backend. The binary search over
// the prefix sums has to agree with a linear search for each random number and each previous
// backend.
func TestTablePicksByWeightAndSkipsThePreviousBackend(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 2, "c": 0.5, "d": 4, "e": 0.25, "f": 3}
	ids := []string{"a", "b", "d", "e", "f"} // c is withdrawn, and the entry of g is removed
	table := NewTable()
	for id, weight := range weights {
		table.Set(id, weight)
	}
	table.Set("g", 1)
	table.Set("g", 0)
	table.Index(map[string]bool{"c": true})
	const draws = 50_000
	random, counts := rand.New(rand.NewPCG(1, 2)), map[string]int{}
	for range draws {
		number := random.Uint64()
		for _, previous := range append([]string{"", "c", "x"}, ids...) {
			got, found := table.Pick(previous, number)
			if want := pickLinearly(ids, weights, previous, number); !found || got != want {
				t.Fatalf("after %q picked %q, found %v; want %q", previous, got, found, want)
			}
		}
		first, _ := table.Pick("", number)
		counts[first]++
	}
	total := 1 + 2 + 4 + 0.25 + 3
	for _, id := range ids {
		if share := float64(counts[id]) / draws; math.Abs(share-weights[id]/total) > 0.01 {
			t.Errorf("%s has a share of %.3f of the picks, want %.3f by its weight", id, share, weights[id]/total)
		}
	}
}

// TestTableWithoutAnotherBackendPicksNone guards against a pick from an empty table, and against a
// retry that goes to the backend of the previous attempt because the table has no other.
func TestTableWithoutAnotherBackendPicksNone(t *testing.T) {
	table := NewTable()
	if _, found := table.Pick("", 1); found || !table.Empty() {
		t.Error("a backend was picked from a table without entries, or the table is not empty")
	}
	table.Set("a", 1)
	if table.Index(nil); table.Empty() || !table.Has("a") || table.Has("b") {
		t.Error("the table must have an entry for a only")
	}
	if got, found := table.Pick("", math.MaxUint64); !found || got != "a" {
		t.Errorf("picked %q, found %v; want a", got, found)
	}
	if _, found := table.Pick("a", 1); found {
		t.Error("a retry picked the backend of the previous attempt")
	}
	table.Set("b", 1)
	table.Index(nil)
	for _, random := range []uint64{0, 1 << 63, math.MaxUint64} {
		if got, found := table.Pick("a", random); !found || got != "b" {
			t.Errorf("a retry after a picked %q, found %v; want b", got, found)
		}
		if got, found := table.Pick("b", random); !found || got != "a" {
			t.Errorf("a retry after b picked %q, found %v; want a", got, found)
		}
	}
	if table.Index(map[string]bool{"a": true, "b": true}); !table.Empty() {
		t.Error("withdrawn backends can be picked")
	}
}
