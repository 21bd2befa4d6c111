package invariant

import "time"

// Rule 3: a backend that drains or is gone is sent nothing once the grace is over. It runs from when discovery told, or
// from when the proxy connected, if that was later.

// AttemptSent notes that a proxy sends a backend something now, by its table. One without a connection cannot be told to
// leave it.
func (c *Checker) AttemptSent(id string, proxyID int, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b := c.backends[id]
	p := c.proxy(proxyID)
	if b == nil || b.leaveBy == 0 || !p.connected {
		return
	}
	leaveBy := max(b.leaveBy, p.changedAt+c.limits.DrainGrace+c.limits.Margin)
	if at > leaveBy {
		c.violate(RuleDrainGrace, at, proxyName(proxyID), "sent to %s, which was to be left by %s", id, leaveBy.Round(time.Millisecond))
	}
}
