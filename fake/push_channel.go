package fake

import (
	"fmt"
	"sync"
	"time"
)

// MessageOverhead is the cost of a message in a push channel, in lines, in addition to the lines of
// the message.
const MessageOverhead = 4

// pushChannel models the push channel from one controller to all proxies, which transmits one
// message after the other at a rate of linesPerSecond.
type pushChannel struct {
	fleet          *Fleet
	controller     int
	linesPerSecond float64 // rate of the push channel in lines per second; 0 for no limit

	mutex       sync.Mutex    // guards the fields below
	incarnation int           // number of the controller's current process; each process has its own push channel
	idleFrom    time.Duration // time at which the push channel has sent all queued messages
}

// enqueue adds a message to the push channel and returns the time until the channel has sent the
// message.
func (c *pushChannel) enqueue(proxy, lines int) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.fleet.Clock()
	process := fmt.Sprintf("controller %d, incarnation %d", c.controller, c.incarnation)
	c.fleet.checker.PushQueued(process, proxy, lines, now)
	if c.linesPerSecond <= 0 {
		return 0
	}
	sendTime := time.Duration(float64(lines) / c.linesPerSecond * float64(time.Second))
	c.idleFrom = max(c.idleFrom, now) + sendTime
	return c.idleFrom - now
}

// restart empties the push channel, because the controller runs as a new process.
func (c *pushChannel) restart() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.incarnation++
	c.idleFrom = 0
}
