package consensus

import (
	"testing"
)

func TestFreshnessNeedsContactOrALeadershipsOwnEntries(t *testing.T) {
	var c freshness
	for i, x := range []struct {
		progress
		want bool
	}{
		{progress{inContact: true, applied: 5, committed: 5, last: 6}, true},
		{progress{applied: 5, committed: 5, last: 6}, false},
		{progress{inContact: true, applied: 4, committed: 5, last: 6}, false},
		{progress{leads: true, applied: 5, committed: 5, last: 8}, false}, // 6 to 8 may have been accepted before
		{progress{leads: true, applied: 7, committed: 7, last: 9}, false},
		{progress{leads: true, applied: 8, committed: 8, last: 10}, true},
		{progress{leads: true, applied: 9, committed: 10, last: 10}, false},
		{progress{inContact: true, applied: 10, committed: 10, last: 10}, true},
		{progress{leads: true, applied: 10, committed: 10, last: 12}, false}, // again
		{progress{leads: true, applied: 12, committed: 12, last: 12}, true},
	} {
		if got := c.observe(x.progress); got != x.want {
			t.Errorf("%d: %+v: %v", i, x.progress, got)
		}
	}
	c.reset()
	if c.observe(progress{leads: true, applied: 12, committed: 12, last: 13}) {
		t.Error("current right after another leadership")
	}
}
