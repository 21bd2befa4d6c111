package invariant

import (
	"slices"
	"time"
)

// Rule 5: a proxy is sent at most MaxMessages within MessageWindow, and at most Backlog lines wait
// in the push channel of a controller, which transmits LinesPerSecond lines per second.

// channelBacklog is the number of lines that wait in the push channel of a controller process.
type channelBacklog struct {
	updatedAt   time.Duration // time at which queuedLines was computed
	queuedLines float64
}

// PushQueued records that a push to a proxy, with a cost in lines, enters the push channel of a
// controller. The name of the controller identifies one process: a new process of the same
// controller has a push channel of its own.
func (c *Checker) PushQueued(controller string, proxyID int, lines int, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.limits.MaxMessages > 0 {
		c.checkMessages(proxyID, at)
	}
	c.checkBacklog(controller, lines, at)
}

// checkMessages adds one message to the messages of a proxy, and checks their number within
// MessageWindow. An uninterrupted excess over the limit counts as one violation. The caller holds
// the mutex.
func (c *Checker) checkMessages(proxyID int, at time.Duration) {
	p := c.proxy(proxyID)
	p.messageTimes = slices.DeleteFunc(p.messageTimes, func(sent time.Duration) bool {
		return sent <= at-c.limits.MessageWindow
	})
	p.messageTimes = append(p.messageTimes, at)
	c.peakMessages = max(c.peakMessages, len(p.messageTimes))
	over := len(p.messageTimes) > c.limits.MaxMessages
	if over && !p.overLimit {
		c.recordViolation(RulePushBudget, at, proxyName(proxyID), "%d messages within %s, at most %d allowed",
			len(p.messageTimes), c.limits.MessageWindow, c.limits.MaxMessages)
	}
	p.overLimit = over
}

// checkBacklog adds lines to the backlog of a push channel, and checks the backlog. After a
// violation the backlog restarts at 0, so that the same lines count only once. The caller holds the
// mutex.
func (c *Checker) checkBacklog(controller string, lines int, at time.Duration) {
	q := c.backlogs[controller]
	if q == nil {
		q = &channelBacklog{updatedAt: at}
		c.backlogs[controller] = q
	}
	sentLines := (at - q.updatedAt).Seconds() * c.limits.LinesPerSecond
	q.queuedLines = max(0, q.queuedLines-sentLines) + float64(lines)
	q.updatedAt = at
	if c.limits.LinesPerSecond > 0 && q.queuedLines > c.limits.Backlog {
		c.recordViolation(RulePushBudget, at, controller, "%.0f lines in its push channel, at most %.0f allowed",
			q.queuedLines, c.limits.Backlog)
		q.queuedLines = 0
	}
}
