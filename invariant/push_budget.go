package invariant

import (
	"slices"
	"time"
)

// Rule 5: a proxy is sent MaxMessages within MessageWindow at most, and no more than Backlog lines wait to leave a
// controller, of which LinesPerSecond do.

// queue is what waits in the push channel of a controller's process.
type queue struct {
	at    time.Duration // when it was last looked at
	lines float64
}

// PushQueued notes that a push of some lines for a proxy enters a controller's push channel. The controller is named
// by its process: another process has a channel of its own.
func (c *Checker) PushQueued(controller string, proxyID int, lines int, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.limits.MaxMessages > 0 {
		c.checkMessages(proxyID, at)
	}
	c.checkBacklog(controller, lines, at)
}

// checkMessages judges one more message to a proxy. Each time over the limit counts once. The checker is locked.
func (c *Checker) checkMessages(proxyID int, at time.Duration) {
	p := c.proxy(proxyID)
	p.messages = slices.DeleteFunc(p.messages, func(sent time.Duration) bool { return sent <= at-c.limits.MessageWindow })
	p.messages = append(p.messages, at)
	c.mostMessages = max(c.mostMessages, len(p.messages))
	over := len(p.messages) > c.limits.MaxMessages
	if over && !p.overBudget {
		c.violate(RulePushBudget, at, proxyName(proxyID), "%d messages within %s", len(p.messages), c.limits.MessageWindow)
	}
	p.overBudget = over
}

// checkBacklog judges lines that enter a channel. One that is over counts as empty, so that it counts once. The checker
// is locked.
func (c *Checker) checkBacklog(controller string, lines int, at time.Duration) {
	q := c.queues[controller]
	if q == nil {
		q = &queue{at: at}
		c.queues[controller] = q
	}
	left := (at - q.at).Seconds() * c.limits.LinesPerSecond
	q.lines = max(0, q.lines-left) + float64(lines)
	q.at = at
	if c.limits.LinesPerSecond > 0 && q.lines > c.limits.Backlog {
		c.violate(RulePushBudget, at, controller, "%.0f lines in its channel, %.0f at most", q.lines, c.limits.Backlog)
		q.lines = 0
	}
}
