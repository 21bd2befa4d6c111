package controller

import "time"

const (
	// timePerMessage and timePerKibibyte are the times that reading a message takes of a
	// connection's time: what a message takes is the longer one of timePerMessage and that of its
	// bytes.
	timePerMessage  = time.Second / 32_000
	timePerKibibyte = time.Second / (16 << 10)
	// burstTime is the time by which a connection may be ahead, so that a burst of reports is read
	// at once.
	burstTime = 64 * time.Millisecond
	// paceInterval is the time for which a connection that is ahead by burstTime is not read.
	paceInterval = 4 * time.Millisecond
)

// pace delays a connection that sends without a pause, so that it cannot keep the processor from the
// other connections. The reader of the connection owns it.
type pace struct {
	takenUntil time.Time // time until which the messages read so far take the connection's time
}

// add counts a message, and waits until the next one may be read.
func (p *pace) add(size int) {
	now := time.Now()
	if p.takenUntil.Before(now) {
		p.takenUntil = now
	}
	p.takenUntil = p.takenUntil.Add(max(timePerMessage, time.Duration(size)*timePerKibibyte/1024))
	if ahead := p.takenUntil.Sub(now); ahead > burstTime {
		time.Sleep(ahead - burstTime + paceInterval)
	}
}
