package invariant

import "time"

// Rule 4: a cold backend is not sent so many requests that it is overloaded.

// ColdBackendOverloaded records that a cold backend was overloaded. Each backend counts once in a
// run.
func (c *Checker) ColdBackendOverloaded(id string, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b := c.backends[id]
	if b == nil || b.overloaded {
		return
	}
	b.overloaded = true
	c.recordViolation(RuleColdStart, at, id, "overloaded while it was cold")
}
