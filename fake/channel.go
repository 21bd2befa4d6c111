package fake

import (
	"fmt"
	"sync"
	"time"
)

// channel is the way from one controller to its relays: so many lines a second, one message after the other.
type channel struct {
	in    *Fleet
	of    int
	lines float64 // a second; 0 for no bound

	mutex sync.Mutex
	life  int           // of the controller's process
	free  time.Duration // when all that has entered will have left
}

// enter has a message enter, and tells how long it takes to come through.
func (c *channel) enter(relay, lines int) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.in.Clock()
	c.in.account.OrderQueued(fmt.Sprintf("controller %d, life %d", c.of, c.life), relay, lines, now)
	if c.lines <= 0 {
		return 0
	}
	c.free = max(c.free, now) + time.Duration(float64(lines)/c.lines*float64(time.Second))
	return c.free - now
}
