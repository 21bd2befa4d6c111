package ownership

import (
	"fmt"
	"testing"
)

func TestDeltaIncludesDifferingAndUncertainLines(t *testing.T) {
	all := func(int) bool { return true }
	wanted := map[string]float64{"a": 1, "b": 1, "c": 1, "d": 2}
	for _, c := range []struct {
		name       string
		base       []KnownTable
		shares     func(int) bool
		lines      string
		worthwhile bool
	}{
		{"nothing is known", nil, all, "[]", false},
		{"it has all", []KnownTable{{Lines: wanted}}, all, "[]", true},
		{"one differs, one is too many", []KnownTable{{Lines: map[string]float64{"a": 1, "b": 3, "c": 1, "d": 2, "z": 1}}}, all, "[{b 1} {z 0}]", true},
		{"one is in doubt that is to be gone", []KnownTable{{Lines: wanted, Uncertain: map[string]bool{"q": true}}}, all, "[{q 0}]", true},
		{"a class that has another table does not concern it", []KnownTable{{Lines: wanted}, {Lines: map[string]float64{}}},
			func(class int) bool { return class == 0 }, "[]", true},
		{"one of two classes lacks a line", []KnownTable{{Lines: wanted}, {Lines: map[string]float64{"a": 1, "b": 1, "c": 1}}}, all, "[{d 2}]", true},
		{"as many lines as the whole", []KnownTable{{Lines: map[string]float64{"a": 2, "b": 2, "c": 2, "d": 1, "e": 1}}}, all, "[]", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if lines, worthwhile := Delta(c.base, c.shares, wanted); fmt.Sprint(lines) != c.lines || worthwhile != c.worthwhile {
				t.Errorf("got %v, %v", lines, worthwhile)
			}
		})
	}
}
