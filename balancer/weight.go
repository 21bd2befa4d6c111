package balancer

import "cmp"

// Weight: a usable backend is published with its listed weight, or with a share of it if it can
// carry less. The lowest of these shares applies:
//   - warming up: from its start until RuleLimits.WarmupTime later, the share that it can certainly
//     carry at its age. This share rises from RuleLimits.ColdStartShare to 1 in steps of a quarter,
//     so that there are few changes;
//   - slow start: slowStartShare for slowStartTime after the backend was new or readmitted, if it
//     was warm then. A backend that was still warming up then has no slow start;
//   - reduced: the share is multiplied by weightReductionFactor with each evaluation at which the
//     answers lag behind (outlier.go), but not below minReducedShare. With fixed weights, slow
//     machines are the first to be overloaded. The share is raised by one step every
//     weightRaiseInterval.
//
// Weights are relative: a backend receives the share of requests that its weight has in the sum of
// the weights in its table. A small weight does not protect a backend if its table has hardly any
// other entries.
//
// For that reason a backend that is warming up gets no entry at all in two cases, in which nothing
// else would protect it from an overload. The first case is an overload where proxies ignore
// limits. The second case is a controller that has not evaluated any report yet, once a warm
// backend was listed: the controller may have started during an overload, and cannot set a limit
// yet. Both are looked at for each scope of its own (admission_scope.go). If a table has nearly
// nothing but backends that are warming up, cold_start.go applies.
//
// Inputs are Endpoint.StartedAt, Endpoint.Weight, the time since the backend entered (microseconds)
// and its score.

const (
	slowStartShare = 0.25       // share of the listed weight that a backend has during its slow start
	slowStartTime  = 5 * second // duration of a slow start

	// warmupStepsPerWeight is the number of steps from no weight to the full weight of a backend
	// that is warming up.
	warmupStepsPerWeight = 4

	weightReductionFactor = 0.75        // factor by which each step reduces the weight of a lagging backend
	minReducedShare       = 0.25        // lowest share of the listed weight that a lagging backend keeps
	weightRaiseInterval   = 20 * second // time between two steps that raise a reduced weight
	// fullWeightTolerance is the distance from the full weight within which a raised share counts
	// as the full weight.
	fullWeightTolerance = 0.05
)

// targetWeights returns the weights that a backend is to be published with now.
func (c *Controller) targetWeights(backend *backendState, now Microseconds) (target entryWeights) {
	if !c.usable(backend) {
		return target
	}
	weight := backend.Weight * c.weightShare(backend, now)
	fleet, zone := &c.admission.admissionScope, c.zoneScope(backend.Zone)
	qualifiesFor := func(scope *admissionScope) bool { return !backend.ejected && !c.withheld(scope, backend, now) }
	if c.sharedClasses != 0 && (backend.keptInSubset || qualifiesFor(fleet)) {
		target.subset = weight
	}
	if c.zoneLocalClasses != 0 && (backend.keptInZone || qualifiesFor(zone)) {
		target.zone = weight
	}
	return target
}

// weightShare returns the share of its listed weight that a backend may carry now.
func (c *Controller) weightShare(backend *backendState, now Microseconds) float64 {
	return min(cmp.Or(backend.reducedShare, 1), c.rampShare(backend, now))
}

// rampShare returns the share of its listed weight that a backend may carry now because of its
// warm-up and its slow start.
func (c *Controller) rampShare(backend *backendState, now Microseconds) float64 {
	share := 1.
	enteredWarm := !c.warmingUp(backend, backend.enteredAt)
	if enteredWarm && now-backend.enteredAt < slowStartTime {
		share = min(share, slowStartShare)
	}
	if c.warmingUp(backend, now) {
		share = min(share, c.warmShare(now-backend.StartedAt))
	}
	return share
}

// warmShare returns the share of its weight that a backend of the given age can certainly carry,
// rounded down to a multiple of 1/warmupStepsPerWeight, but at least RuleLimits.ColdStartShare.
func (c *Controller) warmShare(age Microseconds) float64 {
	coldShare := c.rules.ColdStartShare
	certainShare := coldShare + (1-coldShare)*float64(age)/float64(c.rules.WarmupTime)
	steppedShare := float64(int(certainShare*warmupStepsPerWeight)) / warmupStepsPerWeight
	return max(steppedShare, coldShare)
}

// warmingUp reports whether a backend started less than the warm-up time ago. A start that lies
// less than the warm-up time in the future counts too, because clocks may differ by that much.
func (c *Controller) warmingUp(backend *backendState, now Microseconds) bool {
	age := max(now-backend.StartedAt, backend.StartedAt-now)
	return backend.StartedAt > 0 && age < c.rules.WarmupTime
}

// withheld reports whether a backend gets no entry in the tables of a scope because it is warming up.
func (c *Controller) withheld(scope *admissionScope, backend *backendState, now Microseconds) bool {
	return c.withholdWarmingUp(scope) && c.warmingUp(backend, now)
}

// withholdWarmingUp reports whether backends of a scope that are warming up get no entry. They get
// none during an overload if proxies ignore limits, or if a cold start holds them back
// (cold_start.go). Once a warm backend was listed, they also get none until a report shows whether
// this controller started during an overload, even if no warm backend is listed any more.
func (c *Controller) withholdWarmingUp(scope *admissionScope) bool {
	unlimitedOverload := c.admission.mode == AdmissionUnsupported && scope.latencyRatio > overloadedRatio
	noReportYet := c.admission.meanObjective == 0 || scope.zone != entireFleet && !scope.evaluated
	return scope.deferred || unlimitedOverload || noReportYet && c.warmEverListed
}

// reduceWeight lowers the weight of a lagging backend. It assumes that the backend answers late
// because it alone has a queue, which is wrong where backends differ in speed by nature.
func (c *Controller) reduceWeight(id int, now Microseconds) {
	backend := c.backends[id]
	if backend.reducedShare == 0 {
		c.logf(id, "weight reduced: mean answer time is %.1f times the median backend's", backend.score)
	}
	backend.reducedShare = max(cmp.Or(backend.reducedShare, 1)*weightReductionFactor, minReducedShare)
	backend.weightReducedAt = now
	backend.raiseWeightAt = now + weightRaiseInterval
}

// raiseDueWeights raises every reduced weight whose next step is due.
func (c *Controller) raiseDueWeights(now Microseconds) {
	for _, backend := range c.backends {
		backend.raiseWeightIfDue(now)
	}
}

// raiseWeightIfDue raises a reduced weight by a step if a step is due.
func (b *backendState) raiseWeightIfDue(now Microseconds) {
	if b.reducedShare == 0 || now < b.raiseWeightAt {
		return
	}
	b.raiseWeightAt = now + weightRaiseInterval
	b.reducedShare /= weightReductionFactor
	if b.reducedShare > 1-fullWeightTolerance {
		b.reducedShare = 0
	}
}
