package balancer

// Drain: proxies must have left a draining backend within RuleLimits.DrainGrace of the order, and a removed one too,
// unless RuleLimits.OnlyDrainingMustLeave. Such a change goes out at once (publish.go), and withdrawals follow for
// proxies that hold tables of other controllers.
//
// Inputs are the listed state and Endpoint.DrainingSince (microseconds): a drain that is listed late has only what is
// left of its grace.

// noteDrain takes in that the backend is listed as not ready.
func (b *backendState) noteDrain(now Microseconds) {
	if b.State != Draining {
		return
	}
	b.seenDraining = true
	if b.DrainingSince > 0 {
		b.drainDelay = max(b.drainDelay, now-b.DrainingSince)
	}
}

// mustLeave tells whether proxies must leave a backend.
func (c *Controller) mustLeave(backend *backendState) bool {
	binds := backend.seenDraining || !c.rules.OnlyDrainingMustLeave
	return backend.listed && backend.State != Ready && binds
}

// drainGraceLeft is what is left of the grace of the drain that was listed latest after its order, until all proxies
// are notified.
func (c *Controller) drainGraceLeft() Microseconds {
	delay := Microseconds(0)
	for _, backend := range c.backends {
		pending := backend.published > 0 || !backend.withdrawn
		if c.mustLeave(backend) && pending {
			delay = max(delay, backend.drainDelay)
		}
	}
	return max(0, c.rules.DrainGrace-delay)
}
