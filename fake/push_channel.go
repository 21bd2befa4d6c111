package fake

import (
	"fmt"
	"sync"
	"time"
)

// MessageOverhead is how many lines a message takes beside its own in a push channel.
const MessageOverhead = 4

// pushChannel is the way from one controller to all proxies: so many lines a second, one message after the other.
type pushChannel struct {
	fleet          *Fleet
	controller     int
	linesPerSecond float64 // 0 for no bound

	mutex       sync.Mutex // of all below
	incarnation int        // of the controller's process; each has a channel of its own
	freeAt      time.Duration
}

// enter has a message enter, and gives how long it takes to come through.
func (c *pushChannel) enter(proxy, lines int) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.fleet.Clock()
	c.fleet.checker.PushQueued(fmt.Sprintf("controller %d, incarnation %d", c.controller, c.incarnation), proxy, lines, now)
	if c.linesPerSecond <= 0 {
		return 0
	}
	passing := time.Duration(float64(lines) / c.linesPerSecond * float64(time.Second))
	c.freeAt = max(c.freeAt, now) + passing
	return c.freeAt - now
}

// restart empties the channel, as the controller's process is another.
func (c *pushChannel) restart() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.incarnation++
	c.freeAt = 0
}
