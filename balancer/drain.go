package balancer

// Drain: proxies must stop using a draining backend within RuleLimits.DrainGrace. The same holds
// for a removed backend, unless RuleLimits.OnlyDrainingMustLeave is set and the backend has not
// been draining since it was last ready. The removal of the entries of a backend that proxies must
// stop using is a required change. publish.go states when and in which order required changes are
// published, together with withdrawals for proxies that may hold tables of other controllers.
//
// The grace starts when the drain was ordered if the list has that time (Endpoint.DrainingSince),
// otherwise with the list that reports the drain. This package does not detect late drains. In
// recorded runs invariant/drain_grace.go detects them, but counts the grace from the time at which
// discovery reported the drain, or at which the proxy connected, if the proxy connected later.
//
// Inputs are the listed state and Endpoint.DrainingSince (microseconds).

// noteDrain records, for a backend that is listed as not ready, whether it drains, and how long
// after the order of the drain the list reports the drain.
func (b *backendState) noteDrain(now Microseconds) {
	if b.State != Draining {
		return
	}
	b.seenDraining = true
	if b.DrainingSince > 0 {
		b.drainDelay = max(b.drainDelay, now-b.DrainingSince)
	}
}

// mustLeave reports whether proxies must stop using a backend.
func (c *Controller) mustLeave(backend *backendState) bool {
	stateRequiresIt := backend.seenDraining || !c.rules.OnlyDrainingMustLeave
	return backend.listed && backend.State != Ready && stateRequiresIt
}

// computeGraceAtListing returns the drain grace less the longest time from the order of a pending
// drain to the last list that named the backend as draining. A drain is pending until all proxies
// are notified. The result does not decrease as time passes, only with further lists.
func (c *Controller) computeGraceAtListing() Microseconds {
	delay := Microseconds(0)
	for _, backend := range c.backends {
		pending := backend.published.any() || !backend.withdrawn
		if c.mustLeave(backend) && pending {
			delay = max(delay, backend.drainDelay)
		}
	}
	return max(0, c.rules.DrainGrace-delay)
}
