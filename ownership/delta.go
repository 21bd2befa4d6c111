package ownership

import (
	"maps"
	"slices"
)

// Delta is the lines that bring a proxy from what it surely has to what it is to have, for some classes that share a
// table from now on. A line in doubt is written whatever it is to be, and so is one that any of the classes lacks.
// Less is false where that takes as many lines as the whole table with its head: the levels of all classes have to be
// written beside a delta, as only a whole table makes a proxy forget those that another owner left.
func Delta(base []KnownTable, concerns func(class int) bool, want map[string]float64) (lines []Line, less bool) {
	if base == nil {
		return nil, false
	}
	differ := map[string]bool{}
	for class, has := range base {
		if !concerns(class) {
			continue
		}
		for id := range has.Uncertain {
			differ[id] = true
		}
		for id, weight := range want {
			if has.Lines[id] != weight {
				differ[id] = true
			}
		}
		for id := range has.Lines {
			if want[id] == 0 {
				differ[id] = true
			}
		}
	}
	if len(differ)+len(base) > len(want)+1 {
		return nil, false
	}
	for _, id := range slices.Sorted(maps.Keys(differ)) {
		lines = append(lines, Line{id, want[id]})
	}
	return lines, true
}
