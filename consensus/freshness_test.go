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
		{progress{inContact: true, applied: 5, committed: 5, lastIndex: 6}, true},
		{progress{applied: 5, committed: 5, lastIndex: 6}, false},
		{progress{inContact: true, applied: 4, committed: 5, lastIndex: 6}, false},
		{progress{isLeader: true, applied: 5, committed: 5, lastIndex: 8}, false}, // 6 to 8 may have been accepted before
		{progress{isLeader: true, applied: 7, committed: 7, lastIndex: 9}, false},
		{progress{isLeader: true, applied: 8, committed: 8, lastIndex: 10}, true},
		{progress{isLeader: true, applied: 9, committed: 10, lastIndex: 10}, false},
		{progress{inContact: true, applied: 10, committed: 10, lastIndex: 10}, true},
		{progress{isLeader: true, applied: 10, committed: 10, lastIndex: 12}, false}, // again
		{progress{isLeader: true, applied: 12, committed: 12, lastIndex: 12}, true},
	} {
		if got := c.observe(x.progress); got != x.want {
			t.Errorf("%d: %+v: %v", i, x.progress, got)
		}
	}
	c.reset()
	if c.observe(progress{isLeader: true, applied: 12, committed: 12, lastIndex: 13}) {
		t.Error("current right after another leadership")
	}
}
