package balancer

// Drain: proxies must have left a draining backend within RuleLimits.DrainGrace, and a removed one too, unless
// RuleLimits.OnlyDrainingMustLeave. Such a change is required; publish.go has when it goes, and in which order, with
// withdrawals for proxies that may hold tables of other controllers.
//
// The grace counts from the order of the drain where the list has that time (Endpoint.DrainingSince), else from the list
// that names it. Nothing here notices that a drain is late. In recorded runs invariant/drain_grace.go does, but there the
// grace counts from when discovery told of the drain, or from when the proxy connected, if that was later.
//
// Inputs are the listed state and Endpoint.DrainingSince (microseconds).

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

// computeGraceAtListing is the drain grace less the longest time from a pending drain's order to the last list that named
// it. A drain is pending until all proxies are notified. The figure does not count down with time, only with further lists.
func (c *Controller) computeGraceAtListing() Microseconds {
	delay := Microseconds(0)
	for _, backend := range c.backends {
		pending := backend.published > 0 || !backend.withdrawn
		if c.mustLeave(backend) && pending {
			delay = max(delay, backend.drainDelay)
		}
	}
	return max(0, c.rules.DrainGrace-delay)
}
