package invariant

import "time"

// Rule 6: once a proxy has applied a push with an owner's fencing token, it applies no push with a
// lower token.

// PushApplied records that a proxy has applied a push of a controller. A token of 0 means that the
// push has no token; rule 6 does not apply to it.
func (c *Checker) PushApplied(controller string, proxyID int, token uint64, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.proxy(proxyID)
	if token > 0 && token < p.highestToken {
		c.recordViolation(RuleOwnerOrder, at, proxyName(proxyID),
			"applied a push of %s with token %d after one with token %d", controller, token, p.highestToken)
	}
	p.highestToken = max(p.highestToken, token)
}
