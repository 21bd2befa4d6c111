package invariant

import "time"

// Rule 4: a cold backend is not sent so much that it is overloaded.

// ColdBackendOverloaded notes that one was. Each backend counts once.
func (c *Checker) ColdBackendOverloaded(id string, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b := c.backends[id]
	if b == nil || b.overloaded {
		return
	}
	b.overloaded = true
	c.violate(RuleColdStart, at, id, "pushed over while it was cold")
}
