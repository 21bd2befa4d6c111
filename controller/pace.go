package controller

import "time"

const (
	// messagesPerTick is the number of messages that are read from a connection within limits.tick.
	messagesPerTick = 32
	// bytesPerTick is the number of bytes of messages that are read from a connection within
	// limits.tick. A longer message takes the time of as many ticks as it has such parts.
	bytesPerTick = 32 << 10
)

// pace delays a connection that sends without a pause, so that it cannot keep the processor from the
// other connections. The reader of the connection owns it.
type pace struct {
	limits   *limits
	since    time.Time // start of the present period
	messages int       // number of messages read in the period
	bytes    int       // number of bytes of these messages
}

// add counts a message, and waits until the next one may be read.
func (p *pace) add(size int) {
	p.messages++
	p.bytes += size
	if p.messages < messagesPerTick && p.bytes < bytesPerTick {
		return
	}
	ticks := max(1, p.bytes/bytesPerTick)
	time.Sleep(time.Until(p.since.Add(time.Duration(ticks) * p.limits.tick)))
	p.since, p.messages, p.bytes = time.Now(), 0, 0
}
