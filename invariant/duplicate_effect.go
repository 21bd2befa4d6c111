package invariant

import "time"

// Rule 2: no request takes effect twice, however often it is retried.

// EffectApplied notes that a request took effect at a backend. Its key is its own.
func (c *Checker) EffectApplied(key string, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if first, again := c.effects[key]; again {
		c.violate(RuleDuplicateEffect, at, key, "took effect at %s already", first.Round(time.Millisecond))
		return
	}
	c.effects[key] = at
}
