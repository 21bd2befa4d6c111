package invariant

import "time"

// Rule 1: while a ready, warm backend is listed, a connected proxy lacks an entry for a class no longer than
// MaxEmptyTable. A time without a connection does not count, as nobody could give it one.

// TableChanged notes that a proxy has an entry for a class that it can pick from now on, or has none.
func (c *Checker) TableChanged(id int, class string, hasEntry bool, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.proxy(id)
	since, wasEmpty := p.emptySince[class]
	switch {
	case hasEntry && wasEmpty:
		c.checkEmptyTable(id, class, since, at)
		delete(p.emptySince, class)
		delete(p.emptyReported, class)
	case !hasEntry && !wasEmpty && p.connected:
		p.emptySince[class] = at
	}
}

// checkEmptyTable judges a time without an entry that has lasted until now. The checker is locked.
func (c *Checker) checkEmptyTable(id int, class string, since, at time.Duration) {
	if !c.anyReadyAndWarm() {
		return
	}
	c.longestEmptyTable = max(c.longestEmptyTable, at-since)
	p := c.proxy(id)
	if at-since <= c.limits.MaxEmptyTable+c.limits.Margin || p.emptyReported[class] {
		return
	}
	p.emptyReported[class] = true
	c.violate(RuleEmptyTable, at, proxyName(id), "no entry for %s since %s", class, since.Round(time.Millisecond))
}

func (c *Checker) anyReadyAndWarm() bool {
	for _, b := range c.backends {
		if b.ready && b.warm {
			return true
		}
	}
	return false
}
