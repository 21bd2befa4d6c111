package fake

import (
	"math"
	"math/rand/v2"
	"testing"
)

// pickByHand picks as a table does, line by line.
func pickByHand(ids []string, weights map[string]float64, before string, drawn uint64) string {
	total, last := 0., ""
	for _, id := range ids {
		if id != before {
			total, last = total+weights[id], id
		}
	}
	at := unit(drawn) * total
	for _, id := range ids {
		if id == before {
			continue
		}
		if at -= weights[id]; at < 0 {
			return id
		}
	}
	return last
}

func TestTablePicksByWeightAndSkipsThePreviousBackend(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 2, "c": 0.5, "d": 4, "e": 0.25, "f": 3}
	ids := []string{"a", "b", "d", "e", "f"} // c is shut out
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
		for _, before := range append([]string{"", "c", "x"}, ids...) {
			got, found := table.Pick(before, number)
			if want := pickByHand(ids, weights, before, number); !found || got != want {
				t.Fatalf("after %q drew %q, %v; by hand %q", before, got, found, want)
			}
		}
		first, _ := table.Pick("", number)
		counts[first]++
	}
	total := 1 + 2 + 4 + 0.25 + 3
	for _, id := range ids {
		if share := float64(counts[id]) / draws; math.Abs(share-weights[id]/total) > 0.01 {
			t.Errorf("%s was drawn with a share of %.3f, its weight is %.3f of all", id, share, weights[id]/total)
		}
	}
}

func TestTableWithoutAnotherBackendPicksNone(t *testing.T) {
	table := NewTable()
	if _, found := table.Pick("", 1); found || !table.Empty() {
		t.Error("a table without lines was drawn from")
	}
	table.Set("a", 1)
	if table.Index(nil); table.Empty() || !table.Has("a") || table.Has("b") {
		t.Error("a line was lost")
	}
	if got, found := table.Pick("", math.MaxUint64); !found || got != "a" {
		t.Errorf("drew %q, %v", got, found)
	}
	if _, found := table.Pick("a", 1); found {
		t.Error("a retry went to the one that was tried")
	}
	table.Set("b", 1)
	table.Index(nil)
	for _, drawn := range []uint64{0, 1 << 63, math.MaxUint64} {
		if got, found := table.Pick("a", drawn); !found || got != "b" {
			t.Errorf("a retry after a drew %q, %v", got, found)
		}
		if got, found := table.Pick("b", drawn); !found || got != "a" {
			t.Errorf("a retry after b drew %q, %v", got, found)
		}
	}
	if table.Index(map[string]bool{"a": true, "b": true}); !table.Empty() {
		t.Error("backends that are shut out may be drawn")
	}
}
