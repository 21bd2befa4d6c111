package balancer

import (
	"math"
	"slices"
)

// Cold start: nearly all backends of a scope (admission_scope.go) are warming up, so a backend that
// can carry all of its weight is hardly left in its tables. Weights only divide what a table
// gets, so the backends that are warming up get all requests of the scope, however low their weights
// are. The scope is then limited at once to what the weights in its tables can carry:
//   - if a throughput of the scope was proven (admission.go), to assumedHeadroom times that
//     throughput. As long as the cold start lasts, reports do not raise the limit beyond it: they
//     are late, while the backends are close to what they can carry;
//   - else, for a zone, if a throughput of the fleet was proven, to assumedHeadroom times that;
//   - else, as after a restart of the controller, the listed weights are assumed to carry the present
//     demand of the connected proxies. Reports raise this limit in the usual steps, and it ends with
//     the cold start.
//
// No proxy is assigned tables of the scope before a limit that is due is published. The demand may
// not be known yet when the proxies return together with the backends, and is expected to have the
// ratio to the baseline demand that it had before.
//
// Where proxies ignore limits, the backends that are warming up are held back: they get no entry
// until their weights can carry the demand. Where one of them has an entry, as it has restarted, the
// entry is removed. This also happens without a cold start, if the weights fall far short of the
// demand (deferralTolerance).
//
// Inputs are listed and published weights, demand and proven throughputs.

const (
	// coldStartWeightShare is the share of a scope's listed weight from which backends that are
	// warming up count as nearly all of the scope.
	coldStartWeightShare = 2. / 3
	// deferralTolerance is the ratio of the demand to the throughput from which backends are held back
	// that have entries already, or other backends beside them that can carry all of their weight.
	deferralTolerance = 1.5
)

// updateColdStarts determines which scopes are in a cold start, and which of them hold back
// backends. The weights are those that backends are to have, apart from being held back, and, of
// backends without such a weight, those that they are published with.
func (c *Controller) updateColdStarts(now Microseconds) {
	for _, scope := range c.scopes() {
		total, warming, carried := 0., 0., 0.
		for _, backend := range c.backends {
			if !scope.includes(backend.Zone) || !c.usable(backend) || backend.ejected {
				continue
			}
			total += backend.Weight
			if c.warmingUp(backend, now) {
				warming += backend.Weight
			}
			carried += backend.Weight * c.weightShare(backend, now)
		}
		wasCold := scope.coldStart
		scope.coldStart = total > 0 && warming >= coldStartWeightShare*total
		scope.coldStartEnded = scope.coldStartEnded || wasCold && !scope.coldStart
		scope.deferred = warming > 0 && c.mustDefer(scope, carried)
	}
}

// mustDefer reports whether backends that are warming up get no entry, because proxies ignore
// limits and their demand exceeds what the given weight can carry.
func (c *Controller) mustDefer(scope *admissionScope, weight float64) bool {
	if c.admission.mode != AdmissionUnsupported || c.sharding.enabled() || !c.limitsClasses(scope) {
		return false
	}
	if c.baselineDemandOf(scope) == 0 {
		return scope.coldStart // the demand of proxies that connect is not known before they are assigned tables
	}
	tolerance := 1.
	if !scope.coldStart || c.anyWarmingUpPublished(scope) && !scope.deferred {
		tolerance = deferralTolerance
	}
	return c.expectedDemand(scope) > tolerance*c.assumedThroughput(scope)*weight
}

// anyWarmingUpPublished reports whether a backend that is warming up has an entry in a scope.
func (c *Controller) anyWarmingUpPublished(scope *admissionScope) bool {
	for _, backend := range c.backends {
		if scope.weightOf(backend, backend.published) > 0 && c.warmingUp(backend, c.host.Now()) {
			return true
		}
	}
	return false
}

// limitColdStarts sets the limits of the scopes that are in a cold start. Once it is over, it divides
// the limits by the usual rules, and lifts those that rest on an assumption.
func (c *Controller) limitColdStarts(now Microseconds) {
	anyLimited := false
	for _, scope := range c.scopes() {
		if scope.coldStartEnded {
			scope.coldStartEnded = false
			scope.liftAssumedLimit()
			anyLimited = true
		}
		if scope.coldStart && c.admission.mode != AdmissionUnsupported && c.limitsClasses(scope) {
			anyLimited = c.limitColdStart(scope, now) || anyLimited
		}
	}
	if anyLimited {
		c.distributeLimits()
	}
}

// limitColdStart sets the limit of a scope to what the weights in its tables can carry, and reports
// whether there is a limit.
func (c *Controller) limitColdStart(scope *admissionScope, now Microseconds) bool {
	weight, baseline := c.coldWeight(scope), c.baselineDemandOf(scope)
	if weight == 0 || baseline == 0 {
		return false
	}
	offered := c.expectedDemand(scope)
	demandIsKnown := scope.demandRatio > 0
	if scope.limitShare == 0 || scope.assumesDemand && !scope.assumedDemandKnown {
		throughput := c.assumedThroughput(scope)
		if offered <= throughput*weight {
			return false
		}
		scope.saturatedThroughput = throughput / baseline
		scope.limitShare = 1
		scope.raisedAt = now
		scope.assumesDemand = scope.provenThroughput == 0 && c.admission.provenThroughput == 0
		scope.assumedDemandKnown = demandIsKnown
	}
	scope.boundShareInColdStart()
	previous := orUnlimited(scope.limit)
	if !scope.limiting {
		previous = math.Inf(1)
	}
	scope.limit = scope.limitShare * scope.saturatedThroughput * weight * baseline
	limiting := scope.exceedsLimit(offered)
	if limiting && scope.limit < previous*(1-limitTolerance) {
		c.admission.limitLowered = true
	}
	if limiting != scope.limiting {
		scope.limiting = limiting
		c.logf(-1, "%s in force %v at %.1f units/s, in a cold start: weight %.2f, %.1f expected",
			scope.limitName(), limiting, scope.limit, weight, offered)
	}
	return true
}

// liftAssumedLimit lifts a limit that rests on the demand alone.
func (s *admissionScope) liftAssumedLimit() {
	if !s.assumesDemand {
		return
	}
	s.assumesDemand, s.assumedDemandKnown, s.limiting = false, false, false
	s.limitShare, s.limit = 0, 0
}

// boundShareInColdStart bounds the limit in a cold start by the throughput that was proven before.
func (s *admissionScope) boundShareInColdStart() {
	if s.coldStart && s.provenThroughput > 0 && s.saturatedThroughput > 0 {
		s.limitShare = min(s.limitShare, assumedHeadroom*s.provenThroughput/s.saturatedThroughput)
	}
}

// assumedThroughput returns the units per second that one unit of weight in the tables of a scope is
// assumed to carry for this controller's proxies.
func (c *Controller) assumedThroughput(scope *admissionScope) float64 {
	fleet := &c.admission.admissionScope
	switch {
	case scope.provenThroughput > 0:
		return assumedHeadroom * scope.provenThroughput * c.baselineDemandOf(scope)
	case fleet.provenThroughput > 0:
		return assumedHeadroom * fleet.provenThroughput * c.baselineDemandOf(fleet)
	default:
		// The list may name only few backends of a zone so far, so the fleet bounds the zone.
		return min(c.presentThroughput(scope), c.presentThroughput(fleet))
	}
}

// presentThroughput returns the units per second that one unit of listed weight in a scope would
// carry if the present demand were admitted.
func (c *Controller) presentThroughput(scope *admissionScope) float64 {
	weight := 0.
	for _, backend := range c.backends {
		if scope.includes(backend.Zone) && c.usable(backend) {
			weight += backend.Weight
		}
	}
	if weight == 0 {
		return 0
	}
	return c.expectedDemand(scope) / weight
}

// expectedDemand returns the demand offered to a scope in units per second, or, if it is higher, the
// demand that its connected proxies would have at the ratio to their baseline demand that was seen
// last.
func (c *Controller) expectedDemand(scope *admissionScope) float64 {
	return max(c.offeredDemand(scope), scope.demandRatio*c.baselineDemandOf(scope))
}

// demandGrowth returns the ratio of the demand that is expected during a cold start to the known
// demand; 1 without a cold start.
func (c *Controller) demandGrowth(scope *admissionScope) float64 {
	if !scope.coldStart {
		return 1
	}
	offered := c.offeredDemand(scope)
	if offered == 0 {
		return 1
	}
	return c.expectedDemand(scope) / offered
}

// minAdmittedShareOf returns the share of its demand that each class keeps under the limit of a
// scope: minAdmittedShare, but in a cold start no more than the weights are assumed to carry.
func (c *Controller) minAdmittedShareOf(scope *admissionScope) float64 {
	if !scope.coldStart {
		return minAdmittedShare
	}
	carried := c.assumedThroughput(scope) * c.coldWeight(scope)
	return min(minAdmittedShare, carried/max(c.expectedDemand(scope), minUnits))
}

// coldWeight returns the published weight of a scope's backends, with which they count in a cold
// start even if it is reduced.
func (c *Controller) coldWeight(scope *admissionScope) (weight float64) {
	for _, backend := range c.backends {
		weight += scope.weightOf(backend, backend.published)
	}
	return weight
}

// noteDemandRatio notes the ratio of the demand of a scope to its baseline demand, once all of its
// proxies can have reported their demand.
func (c *Controller) noteDemandRatio(scope *admissionScope, now Microseconds) {
	baseline := c.baselineDemandOf(scope)
	if baseline > 0 && c.reportingDemand(scope, now) >= baseline {
		scope.demandRatio = c.offeredDemand(scope) / baseline
	}
}

// isDeferred reports whether a backend gets no entry in the tables of a scope because of a cold
// start.
func (c *Controller) isDeferred(scope *admissionScope, backend *backendState, now Microseconds) bool {
	return scope.deferred && c.warmingUp(backend, now)
}

// publishFirstLimits publishes the limits of scopes that are in a cold start, if no proxy uses their
// tables yet, so that the first proxies need not wait for a round of changes.
func (c *Controller) publishFirstLimits() {
	for _, scope := range c.scopes() {
		inUse := slices.ContainsFunc(c.proxies, func(proxy *proxyState) bool {
			return proxy.tablesAssigned && scope.includes(proxy.zone)
		})
		if scope.coldStart && !inUse {
			c.publishLimitsOf(scope)
		}
	}
}

// awaitsFirstLimit reports whether a proxy must not be assigned its tables yet, because a scope that
// limits their classes is in a cold start and a first limit is not published yet.
func (c *Controller) awaitsFirstLimit(proxy *proxyState) bool {
	for _, scope := range c.scopes() {
		if !scope.coldStart || !scope.includes(proxy.zone) {
			continue
		}
		for class, limit := range scope.targetLimits {
			if limit > 0 && scope.publishedLimits[class] == 0 {
				return true
			}
		}
	}
	return false
}
