package ownership

import (
	"maps"
	"slices"
)

// Delta gives the lines that bring a proxy from what it holds to a wanted table, for those classes that are to share it.
// A line that is uncertain, or that one of the classes lacks, is among them. It is worthwhile if it takes fewer lines than
// the complete table with its header: beside a delta the limits of all classes have to be written, as a complete table
// alone makes a proxy drop those that another owner left.
func Delta(base []KnownTable, shares func(class int) bool, wanted map[string]float64) (lines []Line, worthwhile bool) {
	if base == nil {
		return nil, false
	}
	differ := map[string]bool{}
	for class, held := range base {
		if shares(class) {
			held.addDifferences(differ, wanted)
		}
	}
	if len(differ)+len(base) > len(wanted)+1 {
		return nil, false
	}
	for _, backend := range slices.Sorted(maps.Keys(differ)) {
		lines = append(lines, Line{backend, wanted[backend]})
	}
	return lines, true
}

// addDifferences adds the backends whose line differs from the wanted one, or may.
func (k KnownTable) addDifferences(differ map[string]bool, wanted map[string]float64) {
	for backend := range k.Uncertain {
		differ[backend] = true
	}
	for backend, weight := range wanted {
		if k.Lines[backend] != weight {
			differ[backend] = true
		}
	}
	for backend := range k.Lines {
		if wanted[backend] == 0 {
			differ[backend] = true
		}
	}
}
