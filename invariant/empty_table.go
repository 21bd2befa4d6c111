package invariant

import "time"

// Rule 1: while a ready, warm backend is listed, a connected proxy may lack an entry for a class for
// at most MaxEmptyTable plus Margin. Time without a connection does not count, because no controller
// can send the proxy an entry then.

// TableChanged records whether, from now on, a proxy has an entry that it can pick for a class.
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

// checkEmptyTable checks rule 1 for the period from since to at, during which a proxy had no entry
// for a class. The caller holds the mutex.
func (c *Checker) checkEmptyTable(id int, class string, since, at time.Duration) {
	if !c.hasReadyWarmBackend() {
		return
	}
	c.longestEmptyTable = max(c.longestEmptyTable, at-since)
	p := c.proxy(id)
	if at-since <= c.limits.MaxEmptyTable+c.limits.Margin || p.emptyReported[class] {
		return
	}
	p.emptyReported[class] = true
	c.recordViolation(RuleEmptyTable, at, proxyName(id), "no entry for class %s since %s",
		class, since.Round(time.Millisecond))
}

func (c *Checker) hasReadyWarmBackend() bool {
	for _, b := range c.backends {
		if b.ready && b.warm {
			return true
		}
	}
	return false
}
