package balancer

// graceLeft is what is left of it for the drain that was heard of last after its order, until it is told.
func (c *Controller) drainGraceLeft() int64 {
	late := int64(0)
	for _, b := range c.backends {
		if b.drainDelay > late && c.mustLeave(b) && (b.published > 0 || !b.withdrawn) {
			late = b.drainDelay
		}
	}
	return max(0, c.rules.DrainGrace-late)
}

// mustLeave tells whether rule 3 binds for a backend.
func (c *Controller) mustLeave(b *backendState) bool {
	return b.listed && b.State != Ready && (b.seenDraining || !c.rules.OnlyDrainingMustLeave)
}
