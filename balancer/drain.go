package balancer

// Drain: proxies must have left a draining backend within RuleLimits.DrainGrace of the order, and a removed one too,
// unless RuleLimits.OnlyDrainingMustLeave. Such a change goes out at once (publish.go), and withdrawals follow for
// proxies that hold tables of other controllers.
//
// What leaves first in a round, as far as the channel has room (pushqueue.go): required entries, subset by subset, in each
// the largest change first; ordinary entries in the same order, up to half the capacity; entries that move between subsets;
// withdrawals; limits. What found no room is tried again with each tick and each endpoint list, not with an ack. Nothing
// here notices that a drain is late: invariant/drain_grace.go does, in checked runs.
//
// Inputs are the listed state and Endpoint.DrainingSince (microseconds): a drain that was ordered some time before it was
// listed has less of its grace left.

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
