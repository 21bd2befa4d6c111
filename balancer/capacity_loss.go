package balancer

import "cmp"

// Loss of capacity: when the endpoint list takes away published weight, the limit of each scope that
// loses weight falls ahead of reports (admission.go). A scope that loses all of its weight keeps its
// limit, which counts again once it has entries; cold_start.go limits what it admits then.

// capacityLoss holds the unreduced published weight of a scope before a round of changes, and how
// much of it endpoint lists took away in the round.
type capacityLoss struct {
	scope        *admissionScope
	weightBefore float64
	lostWeight   float64
}

// weightsBeforeRound returns the weight of each scope, of which nothing is lost yet.
func (c *Controller) weightsBeforeRound() (losses []capacityLoss) {
	for _, scope := range c.scopes() {
		losses = append(losses, capacityLoss{scope: scope, weightBefore: c.publishedWeight(scope)})
	}
	return losses
}

// note adds the weight that a change of a backend's entries to their targets takes away.
func (loss *capacityLoss) note(backend *backendState, target entryWeights) {
	published := loss.scope.weightOf(backend, backend.published)
	lost := max(0, published-loss.scope.weightOf(backend, target))
	loss.lostWeight += lost / cmp.Or(backend.reducedShare, 1)
}

// limitOnCapacityLoss lowers the limit of a scope by the share of the published weight that the
// endpoint list took away, because reports show a queue only after the queue has formed. If no queue
// was ever seen, only the demand admitted without a queue is known, and the limit rests on an
// assumption (assumedHeadroom). Old reports (reportsAreOld) take long to show that such a limit is
// too low, so with old reports it is set only if some requests already waited. It reports whether
// the loss has to be considered.
func (c *Controller) limitOnCapacityLoss(now Microseconds, loss capacityLoss) bool {
	scope, weight, lostWeight := loss.scope, loss.weightBefore, loss.lostWeight
	unsupported := c.admission.mode == AdmissionUnsupported || !c.limitsClasses(scope)
	if unsupported || lostWeight == 0 || lostWeight >= weight {
		return false
	}
	offered := c.offeredDemand(scope)
	assumedThroughput := assumedHeadroom * scope.provenThroughput * (weight - lostWeight) * c.baselineDemandOf(scope)
	soonCorrected := !c.reportsAreOld() || scope.latencyRatio > unloadedRatio
	switch {
	case scope.limitShare > 0:
		scope.limit *= 1 - lostWeight/weight
	case scope.provenThroughput > 0 && offered > assumedThroughput && soonCorrected:
		scope.saturatedThroughput = assumedHeadroom * scope.provenThroughput
		scope.limitShare = 1
		scope.limit = assumedThroughput
		scope.raisedAt = now
	}
	limiting := scope.exceedsLimit(offered)
	if limiting != scope.limiting {
		scope.limiting = limiting
		c.logf(-1, "%s in force %v at %.1f units/s, ahead of reports: %.0f%% of the weight lost, %.1f offered",
			scope.limitName(), limiting, scope.limit, 100*lostWeight/weight, offered)
	}
	return true
}
