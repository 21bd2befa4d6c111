package invariant

import "time"

// Rule 6: once a proxy has applied a push with an owner's fencing token, it applies none with a lower one.

// PushApplied notes that a proxy has applied a push of a controller; a token of 0 is none.
func (c *Checker) PushApplied(controller string, proxyID int, token uint64, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.proxy(proxyID)
	if token > 0 && token < p.token {
		c.violate(RuleOwnerOrder, at, proxyName(proxyID), "applied a push of %s by token %d after %d", controller, token, p.token)
	}
	p.token = max(p.token, token)
}
