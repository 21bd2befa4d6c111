package scale

import (
	"os"
	"testing"
	"time"
)

// TestSnapshotRecoversAScope guards against snapshots whose bytes per entry grow with the number of
// entries, or exceed twice the encoded size of an entry.
func TestSnapshotRecoversAScope(t *testing.T) {
	t.Parallel()
	r := measureSmall(t, recoverySnapshot{}, []int{20, 40, 80, 160}, 100*time.Millisecond)
	checkGrowsLinearly(t, r, "bytes")
	for _, s := range r.Samples {
		bytes, _ := s.Get("bytes")
		entry, _ := s.Get("entry_bytes")
		if bytes < entry*float64(s.Size) || bytes > 2*entry*float64(s.Size) {
			t.Errorf("%d entries of %v bytes: %v bytes were sent; want one to two times their size", s.Size, entry, bytes)
		}
	}
}

// TestSubscribersRestartAtOnce guards against subscribers that receive the entries of other scopes
// than their own when they restart.
func TestSubscribersRestartAtOnce(t *testing.T) {
	t.Parallel()
	const entryBytes, subscribers = 200, 12 // entryBytes is far more than the size of an encoded entry
	r := measureSmall(t, recoveryTree{subscribers}, []int{1, 4, subscribers}, time.Millisecond)
	for _, s := range r.Samples {
		bytes, _ := s.Get("bytes")
		if bytes <= 0 || bytes > (commonEntries+servicesPerGroup)*entryBytes {
			t.Errorf("%d subscribers restarted at once: %v bytes were sent to each; want at most %d",
				s.Size, bytes, (commonEntries+servicesPerGroup)*entryBytes)
		}
	}
}

// TestRegionCatchesUpWithoutSnapshots guards against nodes that install whole snapshots after their
// region was cut off, although the changes that they missed are still available.
func TestRegionCatchesUpWithoutSnapshots(t *testing.T) {
	t.Parallel()
	r := measureSmall(t, recoveryDelta{regions}, []int{20}, 100*time.Millisecond) // one subscriber per region
	if snapshots, ok := r.Samples[0].Get("snapshots"); !ok || snapshots > 0 {
		t.Errorf("%v snapshots were installed (measured: %v); want 0", snapshots, ok)
	}
}

// TestPreciseUsageReadsAProcessByID guards against a wrong clock or a misread status file. The
// processor time that is read for the id of this process must be at least the time that getrusage
// returned before, and an unknown process id must be an error.
func TestPreciseUsageReadsAProcessByID(t *testing.T) {
	before := processorTime()
	usage, err := readPreciseUsage(os.Getpid())
	if err != nil || usage.processor < before || usage.resident <= 0 || usage.peak < usage.resident {
		t.Errorf("usage %+v, error %v; want at least %s of processor time, and a peak of at least the resident memory",
			usage, err, before)
	}
	if _, err := readPreciseUsage(1 << 30); err == nil {
		t.Error("reading the usage of a process that does not exist succeeded")
	}
}
