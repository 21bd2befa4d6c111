package fake

import "slices"

// Table is what a proxy picks backends from, for one class. Entries are set, and then indexed for picks. Not safe for
// concurrent use.
type Table struct {
	weights map[string]float64 // by backend
	ids     []string           // of the backends that may be picked, in order
	sums    []float64          // of their weights, up to and with each
}

// NewTable is a table without entries.
func NewTable() *Table { return &Table{weights: map[string]float64{}} }

// Set gives a backend an entry, or removes it with a weight of 0.
func (t *Table) Set(id string, weight float64) {
	if weight > 0 {
		t.weights[id] = weight
	} else {
		delete(t.weights, id)
	}
}

// Index makes what was set count for picks. Backends that are withdrawn are not picked.
func (t *Table) Index(withdrawn map[string]bool) {
	t.ids = t.ids[:0]
	t.sums = t.sums[:0]
	for id := range t.weights {
		if !withdrawn[id] {
			t.ids = append(t.ids, id)
		}
	}
	slices.Sort(t.ids)
	total := 0.
	for _, id := range t.ids {
		total += t.weights[id]
		t.sums = append(t.sums, total)
	}
}

// Has tells whether a backend may be picked.
func (t *Table) Has(id string) bool {
	_, found := slices.BinarySearch(t.ids, id)
	return found
}

// Empty tells whether none may be picked.
func (t *Table) Empty() bool { return len(t.ids) == 0 }

// Pick chooses a backend by weight with a random number, but not the one of the attempt before; found is false where no
// backend is left.
func (t *Table) Pick(previous string, random uint64) (chosen string, found bool) {
	skipped, listed := slices.BinarySearch(t.ids, previous)
	if t.Empty() || listed && len(t.ids) == 1 {
		return "", false
	}
	total := t.sumOf(len(t.ids))
	if !listed {
		return t.ids[t.entryAt(unit(random)*total)], true
	}
	// The part of the sum that is the previous backend's is stepped over.
	from := t.sumOf(skipped)
	to := t.sumOf(skipped + 1)
	point := unit(random) * (total - (to - from))
	if point >= from {
		point += to - from
	}
	entry := t.entryAt(point)
	if entry == skipped { // by rounding alone
		entry = (skipped + 1) % len(t.ids)
	}
	return t.ids[entry], true
}

// sumOf sums the weights of the first entries.
func (t *Table) sumOf(entries int) float64 {
	if entries == 0 {
		return 0
	}
	return t.sums[entries-1]
}

// entryAt is the entry within whose part of the sum a point lies.
func (t *Table) entryAt(point float64) int {
	entry, exact := slices.BinarySearch(t.sums, point)
	if exact {
		entry++ // an entry's part ends before its sum
	}
	return min(entry, len(t.sums)-1)
}

// unit turns a random number into one from 0 up to 1, with as many bits as a float64 holds.
func unit(random uint64) float64 { return float64(random>>11) / (1 << 53) }

// NextRandom gives the random number of a request's next attempt from that of the last: a step of a linear congruential
// generator, as proxies have it.
func NextRandom(random uint64) uint64 { return random*6364136223846793005 + 1442695040888963407 }
