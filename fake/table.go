package fake

import "slices"

// Table is the table of a proxy for one class, from which it picks backends. Set changes entries;
// Index makes the changes effective for Has, Empty and Pick. Not safe for concurrent use.
type Table struct {
	weights    map[string]float64 // weights of the backends, by backend ID
	ids        []string           // IDs of the backends that may be picked, sorted
	prefixSums []float64          // sum of the weights up to and including each backend, by index in ids
}

// NewTable returns a table without entries.
func NewTable() *Table { return &Table{weights: map[string]float64{}} }

// Set sets the weight of a backend. A weight of 0 removes the entry.
func (t *Table) Set(id string, weight float64) {
	if weight > 0 {
		t.weights[id] = weight
	} else {
		delete(t.weights, id)
	}
}

// Index makes the entries that were set available for picks, except those of withdrawn backends.
func (t *Table) Index(withdrawn map[string]bool) {
	t.ids = t.ids[:0]
	t.prefixSums = t.prefixSums[:0]
	for id := range t.weights {
		if !withdrawn[id] {
			t.ids = append(t.ids, id)
		}
	}
	slices.Sort(t.ids)
	total := 0.
	for _, id := range t.ids {
		total += t.weights[id]
		t.prefixSums = append(t.prefixSums, total)
	}
}

// Has reports whether a backend may be picked.
func (t *Table) Has(id string) bool {
	_, found := slices.BinarySearch(t.ids, id)
	return found
}

// Empty reports whether no backend may be picked.
func (t *Table) Empty() bool { return len(t.ids) == 0 }

// Pick chooses a backend with a probability in proportion to its weight. The choice depends only on
// the table, the previous backend and random, a uniformly distributed number. Pick never chooses
// the backend of the previous attempt; found is false if the table has no other backend.
func (t *Table) Pick(previous string, random uint64) (chosen string, found bool) {
	skipped, listed := slices.BinarySearch(t.ids, previous)
	if t.Empty() || listed && len(t.ids) == 1 {
		return "", false
	}
	total := t.prefixSum(len(t.ids))
	if !listed {
		return t.ids[t.indexAt(unitInterval(random)*total)], true
	}
	// Skip the interval of the previous backend in the sum of the weights.
	from := t.prefixSum(skipped)
	to := t.prefixSum(skipped + 1)
	point := unitInterval(random) * (total - (to - from))
	if point >= from {
		point += to - from
	}
	entry := t.indexAt(point)
	if entry == skipped { // only rounding errors in the sums of weights can yield the entry of the previous backend
		entry = (skipped + 1) % len(t.ids)
	}
	return t.ids[entry], true
}

// prefixSum returns the sum of the weights of the first entries.
func (t *Table) prefixSum(entries int) float64 {
	if entries == 0 {
		return 0
	}
	return t.prefixSums[entries-1]
}

// indexAt returns the index of the entry whose interval in the sum of the weights contains a point.
func (t *Table) indexAt(point float64) int {
	entry, exact := slices.BinarySearch(t.prefixSums, point)
	if exact {
		entry++ // the interval of an entry excludes its upper end, so the point belongs to the next entry
	}
	return min(entry, len(t.prefixSums)-1)
}

// unitInterval maps a random number to [0, 1), with the 53 bits that a float64 holds.
func unitInterval(random uint64) float64 { return float64(random>>11) / (1 << 53) }

// NextRandom returns the random number of a request's next attempt, computed from the number of the
// previous attempt by one step of a linear congruential generator. The measurement of the time for
// a pick and a retry calls NextRandom, too.
func NextRandom(random uint64) uint64 { return random*6364136223846793005 + 1442695040888963407 }
