package scale

import (
	"os"
	"testing"
	"time"
)

// TestSnapshotRecoversAScope has a snapshot cost as many bytes for each entry, however many there are, and no more than twice
// what the entry has.
func TestSnapshotRecoversAScope(t *testing.T) {
	t.Parallel()
	r := measureSmall(t, recoverySnapshot{}, []int{20, 40, 80, 160}, 100*time.Millisecond)
	checkGrowsLinearly(t, r, "bytes")
	for _, s := range r.Samples {
		bytes, _ := s.Get("bytes")
		entry, _ := s.Get("entry_bytes")
		if bytes < entry*float64(s.Size) || bytes > 2*entry*float64(s.Size) {
			t.Errorf("%d entries of %v bytes: %v bytes were sent", s.Size, entry, bytes)
		}
	}
}

// TestSubscribersRestartAtOnce has each subscriber that restarts learn its scopes alone.
func TestSubscribersRestartAtOnce(t *testing.T) {
	t.Parallel()
	const entryBytes, subscribers = 200, 12 // entryBytes: by far
	r := measureSmall(t, recoveryTree{subscribers}, []int{1, 4, subscribers}, time.Millisecond)
	for _, s := range r.Samples {
		bytes, _ := s.Get("bytes")
		if bytes <= 0 || bytes > (commonEntries+servicesPerGroup)*entryBytes {
			t.Errorf("%d at once: each was sent %v bytes", s.Size, bytes)
		}
	}
}

// TestRegionCatchesUpWithoutSnapshots has a region catch up without a snapshot.
func TestRegionCatchesUpWithoutSnapshots(t *testing.T) {
	t.Parallel() // with one subscriber in each region
	r := measureSmall(t, recoveryDelta{regions}, []int{20}, 100*time.Millisecond)
	if snapshots, ok := r.Samples[0].Get("snapshots"); !ok || snapshots > 0 {
		t.Errorf("%v snapshots, %v", snapshots, ok)
	}
}

// TestPreciseUsageReadsAnotherProcess reads this process's own usage in both ways.
func TestPreciseUsageReadsAnotherProcess(t *testing.T) {
	before := processorTime()
	usage, err := readPreciseUsage(os.Getpid())
	if err != nil || usage.processor < before || usage.resident <= 0 || usage.peak < usage.resident {
		t.Errorf("%+v, %v; %s before", usage, err, before)
	}
	if _, err := readPreciseUsage(1 << 30); err == nil {
		t.Error("a process that is not there has a usage")
	}
}
