package invariant

import "time"

// Rule 2: no request takes effect twice, however often it is retried.

// EffectApplied records that a request took effect at a backend. The key is unique to the request.
func (c *Checker) EffectApplied(key string, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if first, duplicate := c.effects[key]; duplicate {
		c.recordViolation(RuleDuplicateEffect, at, key, "took effect a second time, first at %s",
			first.Round(time.Millisecond))
		return
	}
	c.effects[key] = at
}
