package fake

import "slices"

// Table is what a relay draws backends from, for one class. Lines are set, and then indexed for draws.
type Table struct {
	weights map[string]float64
	ids     []string  // of the lines that may be drawn, in order
	sums    []float64 // of their weights, up to and with each
}

// NewTable is a table without lines.
func NewTable() *Table { return &Table{weights: map[string]float64{}} }

// Set gives a backend a line, or takes it out with a weight of 0.
func (t *Table) Set(id string, weight float64) {
	if weight > 0 {
		t.weights[id] = weight
	} else {
		delete(t.weights, id)
	}
}

// Index makes what was set count for draws. Backends that are shut out are not drawn.
func (t *Table) Index(shut map[string]bool) {
	t.ids, t.sums = t.ids[:0], t.sums[:0]
	for id := range t.weights {
		if !shut[id] {
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

// Has tells whether a backend may be drawn.
func (t *Table) Has(id string) bool {
	_, found := slices.BinarySearch(t.ids, id)
	return found
}

// Empty tells whether none may be drawn.
func (t *Table) Empty() bool { return len(t.ids) == 0 }

// Pick chooses a backend by weight, but not the one that was tried before. Drawn is a random number; found is false
// where no backend is left.
func (t *Table) Pick(before string, drawn uint64) (chosen string, found bool) {
	tried, left := slices.BinarySearch(t.ids, before)
	switch {
	case len(t.ids) == 0 || left && len(t.ids) == 1:
		return "", false
	case !left:
		return t.ids[t.under(unit(drawn)*t.upTo(len(t.ids)))], true
	}
	// The line of the one that was tried is stepped over.
	from, to := t.upTo(tried), t.upTo(tried+1)
	at := unit(drawn) * (t.upTo(len(t.ids)) - (to - from))
	if at >= from {
		at += to - from
	}
	line := t.under(at)
	if line == tried { // by rounding alone
		line = (tried + 1) % len(t.ids)
	}
	return t.ids[line], true
}

// upTo sums the weights of the first lines.
func (t *Table) upTo(lines int) float64 {
	if lines == 0 {
		return 0
	}
	return t.sums[lines-1]
}

// under is the line within whose part of the sum a point lies.
func (t *Table) under(point float64) int {
	line, exact := slices.BinarySearch(t.sums, point)
	if exact {
		line++ // a line's part ends before its sum
	}
	return min(line, len(t.sums)-1)
}

// unit turns a random number into one from 0 up to 1.
func unit(drawn uint64) float64 { return float64(drawn>>11) / (1 << 53) }

// NextRandom gives the random number of the next try of a request from that of the last.
func NextRandom(drawn uint64) uint64 { return drawn*6364136223846793005 + 1442695040888963407 }
