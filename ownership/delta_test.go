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
		{"all lines are equal", []KnownTable{{Lines: wanted}}, all, "[]", true},
		{"one line differs, one is not wanted",
			[]KnownTable{{Lines: map[string]float64{"a": 1, "b": 3, "c": 1, "d": 2, "z": 1}}}, all, "[{b 1} {z 0}]",
			true},
		{"an unwanted line is uncertain", []KnownTable{{Lines: wanted, Uncertain: map[string]bool{"q": true}}}, all,
			"[{q 0}]", true},
		{"a class with another table is ignored", []KnownTable{{Lines: wanted}, {Lines: map[string]float64{}}},
			func(class int) bool { return class == 0 }, "[]", true},
		{"one of two classes lacks a line", []KnownTable{{Lines: wanted},
			{Lines: map[string]float64{"a": 1, "b": 1, "c": 1}}}, all, "[{d 2}]", true},
		{"as many lines as the complete table",
			[]KnownTable{{Lines: map[string]float64{"a": 2, "b": 2, "c": 2, "d": 1, "e": 1}}}, all, "[]", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if lines, worthwhile := Delta(c.base, c.shares, wanted); fmt.Sprint(lines) != c.lines ||
				worthwhile != c.worthwhile {
				t.Errorf("got lines %v, worthwhile %v, want %s, %v", lines, worthwhile, c.lines, c.worthwhile)
			}
		})
	}
}
