package process

import (
	"slices"
	"time"
)

// DelayMonitor measures how late this process is scheduled. What is measured on a machine that is too busy shows
// nothing, for or against.
type DelayMonitor struct {
	stop   chan struct{}   // closed by Stop
	done   chan struct{}   // closed as the goroutine ends
	delays []time.Duration // the goroutine's until done is closed, Stop's after
}

const sampleInterval = 10 * time.Millisecond

// MaxDelay is what the 99th percentile may be. Beyond it nothing that was timed means anything.
const MaxDelay = 100 * time.Millisecond

// TooBusy tells whether the machine was too busy, by the 99th percentile of the delays.
func TooBusy(p99 time.Duration) bool { return p99 > MaxDelay }

// StartDelayMonitor begins to measure, in a goroutine that Stop ends.
func StartDelayMonitor() *DelayMonitor {
	m := &DelayMonitor{stop: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

func (m *DelayMonitor) run() {
	defer close(m.done)
	for {
		began := time.Now()
		select {
		case <-m.stop:
			return
		case <-time.After(sampleInterval):
			m.delays = append(m.delays, time.Since(began)-sampleInterval)
		}
	}
}

// Stop ends the monitor, and gives the 99th percentile and the longest of the delays. It is called once.
func (m *DelayMonitor) Stop() (p99, longest time.Duration) {
	close(m.stop)
	<-m.done
	if len(m.delays) == 0 {
		return 0, 0
	}
	slices.Sort(m.delays)
	return m.delays[len(m.delays)*99/100], m.delays[len(m.delays)-1]
}
