package ownership

import (
	"maps"
	"slices"
)

// Delta returns the lines that turn the known tables of a proxy into a wanted table, for the
// classes that are to share this table. The lines include every line that is uncertain or that one
// of the classes lacks. The delta is worthwhile if it takes no more lines than the complete table
// with its header. The limits of all classes count as lines of the delta: they have to be written
// with it, because only a complete table makes a proxy drop the limits that another owner left.
func Delta(base []KnownTable, shares func(class int) bool, wanted map[string]float64) (lines []Line, worthwhile bool) {
	if base == nil {
		return nil, false
	}
	differing := map[string]bool{}
	for class, known := range base {
		if shares(class) {
			known.addDifferences(differing, wanted)
		}
	}
	if len(differing)+len(base) > len(wanted)+1 {
		return nil, false
	}
	for _, backend := range slices.Sorted(maps.Keys(differing)) {
		lines = append(lines, Line{backend, wanted[backend]})
	}
	return lines, true
}

// addDifferences adds the backends whose line differs from the wanted line, or may differ.
func (k KnownTable) addDifferences(differing map[string]bool, wanted map[string]float64) {
	for backend := range k.Uncertain {
		differing[backend] = true
	}
	for backend, weight := range wanted {
		if k.Lines[backend] != weight {
			differing[backend] = true
		}
	}
	for backend := range k.Lines {
		if wanted[backend] == 0 {
			differing[backend] = true
		}
	}
}
