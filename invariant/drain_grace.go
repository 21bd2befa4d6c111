package invariant

import "time"

// Rule 3: a backend that drains or is removed is sent no request once the drain grace and the margin
// are over. The drain grace and the margin start when discovery publishes the state, or when the
// proxy connects if that is later.

// AttemptSent records that a proxy sends a backend an attempt, as its table says. A proxy that is
// not connected is not checked, because no controller can withdraw the backend from its table.
func (c *Checker) AttemptSent(id string, proxyID int, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b := c.backends[id]
	p := c.proxy(proxyID)
	if b == nil || b.drainDeadline == 0 || !p.connected {
		return
	}
	deadline := max(b.drainDeadline, p.connectionChangedAt+c.limits.DrainGrace+c.limits.Margin)
	if at > deadline {
		c.recordViolation(RuleDrainGrace, at, proxyName(proxyID), "sent an attempt to %s, whose drain grace was over at %s",
			id, deadline.Round(time.Millisecond))
	}
}
