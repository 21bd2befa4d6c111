package consensus

import "time"

// costInterval is the time between two log lines about the load that replicating the record causes.
const costInterval = 10 * time.Second

// costSample is a reading, taken at one time, of the counters from which logCost computes the load
// that replicating the record causes.
type costSample struct {
	at    time.Time
	bytes int64  // number of bytes that the transport has sent and received since the call of New
	index uint64 // index of the last log entry that raft has applied
}

// logCost logs, at most once per costInterval, the load that replicating the record has caused
// since the last of these log lines, as log entries per second and bytes per second, and the size
// in bytes of the last snapshot.
func (l *membershipLoop) logCost(current *instance) {
	elapsed := time.Since(l.cost.at)
	if elapsed < costInterval {
		return
	}
	now := costSample{at: time.Now(), bytes: l.transport.bytes.Load(), index: current.raft.AppliedIndex()}
	l.log.Info("record",
		"entries_per_s", perSecond(float64(now.index-l.cost.index), elapsed),
		"bytes_per_s", perSecond(float64(now.bytes-l.cost.bytes), elapsed),
		"snapshot_bytes", current.machine.snapshotBytes.Load())
	l.cost = now
}

// perSecond returns count divided by the elapsed time in seconds, rounded to a tenth.
func perSecond(count float64, elapsed time.Duration) float64 {
	return float64(int(count/elapsed.Seconds()*10+0.5)) / 10
}
