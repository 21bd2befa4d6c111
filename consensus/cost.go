package consensus

import "time"

// costInterval is the time between two lines that tell the record's cost.
const costInterval = 10 * time.Second

// costSample is what the record had cost at some time.
type costSample struct {
	at    time.Time
	bytes int64
	index uint64
}

// logCost tells what the record costs, once in a costInterval.
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

// perSecond is a rate, rounded to a tenth.
func perSecond(count float64, elapsed time.Duration) float64 {
	return float64(int(count/elapsed.Seconds()*10+0.5)) / 10
}
