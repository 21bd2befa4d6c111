package process

import (
	"slices"
	"time"
)

// DelayMonitor measures by how much the scheduling of this process is delayed. Results from a
// machine that is too busy are evidence neither for nor against a controller.
type DelayMonitor struct {
	stop   chan struct{}   // this channel is closed by Stop
	done   chan struct{}   // this channel is closed when method run returns
	delays []time.Duration // measured delays; only method run uses them until done is closed, then only Stop
}

const sampleInterval = 10 * time.Millisecond

// MaxDelay is the limit of the 99th percentile of the delays. Above it, measured times are
// meaningless.
const MaxDelay = 100 * time.Millisecond

// TooBusy reports whether the machine was too busy, given the 99th percentile of the delays.
func TooBusy(p99 time.Duration) bool { return p99 > MaxDelay }

// StartDelayMonitor starts a goroutine that measures the delays until Stop is called.
func StartDelayMonitor() *DelayMonitor {
	m := &DelayMonitor{stop: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

// run measures how much later than sampleInterval a timer fires, until stop is closed.
func (m *DelayMonitor) run() {
	defer close(m.done)
	for {
		start := time.Now()
		select {
		case <-m.stop:
			return
		case <-time.After(sampleInterval):
			m.delays = append(m.delays, time.Since(start)-sampleInterval)
		}
	}
}

// Stop ends the measurement and returns the 99th percentile and the maximum of the delays. It must
// be called only once.
func (m *DelayMonitor) Stop() (p99, maxDelay time.Duration) {
	close(m.stop)
	<-m.done
	if len(m.delays) == 0 {
		return 0, 0
	}
	slices.Sort(m.delays)
	return m.delays[len(m.delays)*99/100], m.delays[len(m.delays)-1]
}
