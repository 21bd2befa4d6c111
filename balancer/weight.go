package balancer

import "cmp"

// Weight: a usable backend is published with its listed weight, or with a share of it where it can do less. The least of
// these shares counts:
//   - warming up: from its start until RuleLimits.WarmupTime later, the share that it can surely carry at its age. That
//     rises from RuleLimits.ColdStartShare to all of it, in steps of a quarter, so that there are few changes;
//   - slow start: slowStartShare for slowStartTime after it was new or readmitted, if it was warm then. One that was still
//     warming up then has no slow start;
//   - reduced: times weightReductionFactor with each evaluation at which its answers lag behind (outlier.go), but not
//     below minReducedShare. Fixed weights overfill slow machines first. A step back is due every weightRaiseInterval.
//
// Weights are relative: a backend is sent its weight's part of the sum in its table. A small weight protects nothing where
// a backend is nearly alone there.
//
// Hence a backend that is warming up gets no entry at all in two cases, in which nothing else would keep an overload from
// it. The first is an overload where proxies heed no limits. The second is a controller that has not evaluated any report
// although a warm backend was ever listed: it may have started into an overload, and can set no limit yet.
//
// Inputs are Endpoint.StartedAt and Weight, the time since it entered (microseconds) and its score.

const (
	slowStartShare = 0.25
	slowStartTime  = 5 * second

	// warmupStepsPerWeight is how many steps lead from no weight to all of it.
	warmupStepsPerWeight = 4

	weightReductionFactor = 0.75
	minReducedShare       = 0.25
	weightRaiseInterval   = 20 * second
	// fullWeightTolerance is how near to all of its weight a raised share is all of it.
	fullWeightTolerance = 0.05
)

// targetWeight is the weight that a backend is to be published with now; 0 for no entry.
func (c *Controller) targetWeight(backend *backendState, now Microseconds) float64 {
	ejected := backend.ejected && !c.panicMode
	tooCold := c.withholdWarmingUp() && c.warmingUp(backend, now)
	if !c.usable(backend) || ejected || tooCold {
		return 0
	}
	return backend.Weight * c.weightShare(backend, now)
}

// weightShare is the share of its listed weight that a backend may carry now.
func (c *Controller) weightShare(backend *backendState, now Microseconds) float64 {
	share := cmp.Or(backend.reducedTo, 1)
	enteredWarm := !c.warmingUp(backend, backend.enteredAt)
	if enteredWarm && now-backend.enteredAt < slowStartTime {
		share = min(share, slowStartShare)
	}
	if c.warmingUp(backend, now) {
		share = min(share, c.warmShare(now-backend.StartedAt))
	}
	return share
}

// warmShare is the share of its weight that a backend of an age can surely carry, in steps.
func (c *Controller) warmShare(age Microseconds) float64 {
	cold := c.rules.ColdStartShare
	sure := cold + (1-cold)*float64(age)/float64(c.rules.WarmupTime)
	step := float64(int(sure*warmupStepsPerWeight)) / warmupStepsPerWeight
	return max(step, cold)
}

// warmingUp tells whether a backend was started less than the warm-up time ago. One that is to start within as long is
// so too, as clocks may differ by that.
func (c *Controller) warmingUp(backend *backendState, now Microseconds) bool {
	age := max(now-backend.StartedAt, backend.StartedAt-now)
	return backend.StartedAt > 0 && age < c.rules.WarmupTime
}

// withholdWarmingUp tells whether backends that are warming up stay without an entry: where proxies heed no limits and
// there is an overload; or, once a warm one was ever listed, as long as no report tells whether we started into an
// overload. Whether a warm one is listed still does not matter.
func (c *Controller) withholdWarmingUp() bool {
	unlimitedOverload := c.admission.mode == AdmissionUnsupported && c.admission.latencyRatio > overloadedRatio
	noReportYet := c.admission.meanObjective == 0
	return unlimitedOverload || noReportYet && c.warmEverListed
}

// reduceWeight takes weight off a lagging backend, as if it were the only one with a queue; that is wrong where backends
// differ in speed by nature.
func (c *Controller) reduceWeight(id int, now Microseconds) {
	backend := c.backends[id]
	if backend.reducedTo == 0 {
		c.logf(id, "weight reduced: answers take %.1f times the median", backend.score)
	}
	backend.reducedTo = max(cmp.Or(backend.reducedTo, 1)*weightReductionFactor, minReducedShare)
	backend.weightReducedAt = now
	backend.raiseWeightAt = now + weightRaiseInterval
}

// raiseWeightsDue gives back steps of reduced weights.
func (c *Controller) raiseWeightsDue(now Microseconds) {
	for _, backend := range c.backends {
		backend.raiseWeightIfDue(now)
	}
}

// raiseWeightIfDue gives back a step of a reduced weight.
func (b *backendState) raiseWeightIfDue(now Microseconds) {
	if b.reducedTo == 0 || now < b.raiseWeightAt {
		return
	}
	b.raiseWeightAt = now + weightRaiseInterval
	b.reducedTo /= weightReductionFactor
	if b.reducedTo > 1-fullWeightTolerance {
		b.reducedTo = 0
	}
}
