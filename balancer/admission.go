package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Admission: under overload (overload.go) an admission limit bounds the demand that proxies admit,
// in units per second. A request counts as many units as its latency objective has seconds.
//
//   - Lower: when queues stand at nearly all backends, the throughput answered during that time is
//     taken as what the fleet can do (saturated throughput). The limit is set so that the queues at
//     the backends are cleared within backendQueueClearTime, but not below minLimitShare of the
//     saturated throughput: the queues also shrink because requests that wait too long are dropped.
//   - Hold: the limit then returns to sustainableShare of the saturated throughput. This share is
//     lowered by half of the queueing time that is still reported, divided by
//     backendQueueClearTime, but not below minLimitShare. The limit does not wait for reports that
//     show the effect of the lowered limit, since these come late.
//   - Raise: while the limit holds back demand and the latency ratio is below overloadedRatio (or
//     most backends report themselves idle and are believed, see overload.go), the limit is raised
//     by raiseStep. If most backends have no queue, the step is from one to three times
//     fastRaiseStep. The next step follows once reports can show the effect of the last one. A
//     limit is not raised beyond maxHeadroom times the offered demand.
//   - Ahead of reports: when the endpoint list takes away published weight, the limit falls at once
//     by the same share. Without a limit, the fleet is assumed to be capable of assumedHeadroom
//     times the highest demand that was admitted without a queue (proven throughput).
//
// The limit is divided by priority: classes with the highest PriorityWeight over LatencyObjective
// are admitted first, and the last class in that order is shed first. If a class is admitted less
// than its demand, it is limited as the AdmissionMode specifies:
//   - by rate: no proxy admits more than a rate that is the same for all proxies. Only proxies with
//     more demand than that are limited, and repeats of refused requests at these proxies do not
//     raise the admitted demand;
//   - by share: every proxy admits the same share of its demand.
//
// Each class keeps minAdmittedShare of its demand, so that answers are still reported: without any
// answers, no evaluation would raise the limit again. A class quota limits its class by the same
// means, and also leaves it at least minAdmittedShare of its demand.
//
// Throughputs are in units per second, per capacity (published weight times baseline demand). Times
// are in microseconds.

const (
	// maxSaturatedGrowth bounds the saturated throughput to this multiple of the throughput
	// answered in the latest evaluation.
	maxSaturatedGrowth = 1.5
	// sustainableShare is the share of the saturated throughput that fixed weights can spread over
	// the backends without queues.
	sustainableShare = 0.85
	// minLimitShare is the lowest share of the saturated throughput to which the limit is lowered.
	// A lower limit would refuse more than needed: the length of the queues at the backends is only
	// an estimate, and the queues also shrink because requests that wait too long are dropped.
	minLimitShare = 0.3
	// backendQueueClearTime is the time within which a queue at the backends is cleared. It is not
	// shorter because ordinary changes, such as the limit that follows once the queue is cleared,
	// are published at least minPublishInterval apart. It is unrelated to maxQueueTime, which
	// bounds the push queue.
	backendQueueClearTime = 2 * minPublishInterval
	// maxHeadroom bounds a raised limit to this multiple of the current demand: a limit further
	// above the demand would not take effect when a rise of the demand makes it needed. Measured
	// throughput is bounded to the same multiple of the admitted demand.
	maxHeadroom = 1.15
	// raiseStep is the relative step by which a limit is raised while the latency ratio is below
	// overloadedRatio.
	raiseStep = 0.08
	// fastRaiseStep is the relative step by which a limit is raised while most backends have no
	// queue. The step grows to three times fastRaiseStep as the latency ratio falls to
	// queueFreeRatio, where no backend has a queue.
	fastRaiseStep = 0.1
	// answerTimeAllowance is the time allowed from a request to its answer. Reports show the effect
	// of a limit only after this time in addition to the delay of the reports.
	answerTimeAllowance = second
	// assumedHeadroom is the multiple of the throughput proven without a queue that the fleet is
	// assumed to be capable of, until a queue was seen.
	assumedHeadroom = 1.3
	// minAdmittedShare is the share of its demand that each class keeps under any limit.
	minAdmittedShare = 0.05
	// limitTolerance is the relative difference below which two limits count as equal: the reports
	// that limits are computed from are no more precise.
	limitTolerance = 0.05
	// noLimit is the value of an admission limit that means unlimited, see Host.SetAdmissionLimit.
	noLimit = 1_000_000
	// minUnits is the lowest number of units that one request counts as.
	minUnits = 1e-3
)

// admissionState holds what is known about the fleet's throughput, and the resulting limit.
type admissionState struct {
	admissionScope                   // the whole fleet, whose limit applies to the shared classes
	zones          []*admissionScope // zones, whose limits apply to the zone-local classes, by zone index

	mode            AdmissionMode
	priorityOrder   []int     // class indices, in the order in which classes are admitted
	unitsPerRequest []float64 // units that a request counts as, by class
	longestDeadline float64   // longest deadline of any class, in microseconds
	// meanObjective is the mean latency objective of the admitted requests, in microseconds; 0
	// before the first evaluation.
	meanObjective float64

	limitLowered bool // a lowered limit has yet to be published
	limitsSent   bool // a limit was published at least once, for any class
	// quota holds the requests per second that the fleet may be sent, by class; 0 means unlimited.
	quota           []RequestsPerSecond
	countedRequests []float64 // requests that proxies counted since the last evaluation, by class
	// demandCorrection holds the smoothed ratio of the counted requests to the sum of the proxies'
	// rates, by class.
	demandCorrection []float64
}

func newAdmissionState(mode AdmissionMode, classes []Class) admissionState {
	a := admissionState{
		admissionScope:   newAdmissionScope(entireFleet, len(classes)),
		mode:             mode,
		quota:            make([]RequestsPerSecond, len(classes)),
		countedRequests:  make([]float64, len(classes)),
		demandCorrection: slices.Repeat([]float64{1}, len(classes)),
	}
	for i, class := range classes {
		a.priorityOrder = append(a.priorityOrder, i)
		a.longestDeadline = max(a.longestDeadline, float64(class.Deadline))
		a.unitsPerRequest = append(a.unitsPerRequest, max(float64(class.LatencyObjective)/float64(second), minUnits))
	}
	slices.SortStableFunc(a.priorityOrder, func(x, y int) int {
		return cmp.Compare(classes[y].PriorityWeight/a.unitsPerRequest[y], classes[x].PriorityWeight/a.unitsPerRequest[x])
	})
	return a
}

// updateAdmission evaluates the reports since the last evaluation, and updates the limits
// accordingly.
func (c *Controller) updateAdmission(now Microseconds) {
	demand := c.connectedDemand()
	c.correctDemand(demand, now)
	anyUpdated := false
	for _, scope := range c.scopes() {
		anyUpdated = c.updateLimit(scope, demand, now) || anyUpdated
	}
	if anyUpdated {
		c.distributeLimits()
	}
}

// updateLimit evaluates the reports about a scope, and reports whether it updated the scope's limit.
func (c *Controller) updateLimit(scope *admissionScope, demand connectedDemand, now Microseconds) (updated bool) {
	a := &c.admission
	load := c.summarizeLoad(scope, demand, now)
	reportLag := c.telemetry.ReportInterval + c.pushQueue.MaxLatency + answerTimeAllowance
	scope.latencyRatio = load.latencyRatio
	scope.evaluated = scope.evaluated || load.latencyRatio > 0
	scope.updateProvenThroughput(load)
	c.noteDemandRatio(scope, now)
	if load.latencyRatio == 0 || load.reportedCapacity == 0 || a.mode == AdmissionUnsupported || !c.limitsClasses(scope) {
		return false
	}
	if now-scope.refilledAt < reportLag && scope.refilledAt > 0 {
		return false // reports cover only a part of the time since the last evaluation
	}
	idle := load.latencyRatio < implausiblyIdleRatio && c.backendsIdle(scope, load.latencyRatio*a.meanObjective)
	overloaded := c.queueOutlastsReports(scope, load, idle, now)
	// A raise before reports show the effect of the last raise would set the limit too high.
	raiseDue := now-scope.raisedAt >= reportLag
	switch {
	case now < scope.holdUntil:
		scope.holdLimit(load, now)
	case overloaded:
		scope.lowerLimit(load, now, reportLag)
		a.limitLowered = true
	case scope.mayRaise(load, idle) && raiseDue:
		scope.raiseLimit(load, idle, now)
	}
	scope.boundShareInColdStart()
	scope.limit = scope.limitShare * scope.saturatedThroughput * load.publishedCapacity
	limiting := scope.exceedsLimit(load.offered)
	if limiting != scope.limiting {
		scope.limiting = limiting
		c.logf(-1, "%s in force %v at %.1f units/s: latency ratio %.2f, %.1f offered, %.1f answered",
			scope.limitName(), limiting, scope.limit, load.latencyRatio, load.offered, load.answered)
	}
	return true
}

// limitName returns the name of the scope's limit in log lines.
func (s *admissionScope) limitName() string {
	if s.zone == entireFleet {
		return "limit"
	}
	return fmt.Sprintf("limit of zone %d", s.zone)
}

// admittedRate returns the part of a proxy's rate that the published limits of a class admit: the
// limit for all tables and, for a zone-local class, that of the proxy's zone, of which the lower one
// applies.
func (c *Controller) admittedRate(proxy *proxyState, class int, rate RequestsPerSecond) RequestsPerSecond {
	admitted := c.admission.admits(c.admission.publishedLimits[class], rate)
	if c.zoneLocalClasses&(1<<class) == 0 {
		return admitted
	}
	return min(admitted, c.admission.admits(c.zoneScope(proxy.zone).publishedLimits[class], rate))
}

// admits returns the part of a rate that a limit admits, where 0 means no limit.
func (a *admissionState) admits(limit float64, rate RequestsPerSecond) RequestsPerSecond {
	switch {
	case limit <= 0:
		return rate
	case a.mode == AdmissionByRate:
		return min(rate, limit)
	default:
		return rate * limit
	}
}

// limitChanged reports whether the limit of a class differs enough from the published one to be
// published again.
func (s *admissionScope) limitChanged(class int) bool {
	difference := math.Abs(s.targetLimits[class] - s.publishedLimits[class])
	return difference > 0 && difference >= limitTolerance*s.publishedLimits[class]
}

// anyLimitChanged reports whether the limit of any class in any scope is to be published again.
func (c *Controller) anyLimitChanged() bool {
	return slices.ContainsFunc(c.scopes(), func(scope *admissionScope) bool {
		return slices.ContainsFunc(c.admission.priorityOrder, scope.limitChanged)
	})
}

// publishLimits publishes limits that have changed, with their retry policies, and reports whether
// it published any limit.
func (c *Controller) publishLimits() (published bool) {
	for _, scope := range c.scopes() {
		published = c.publishLimitsOf(scope) || published
	}
	return published
}

// publishLimitsOf publishes the limits of a scope that have changed: for all tables, or for the
// table of a zone.
func (c *Controller) publishLimitsOf(scope *admissionScope) (published bool) {
	table, affected := AllTables, func(*proxyState) bool { return true }
	if scope.zone != entireFleet {
		table = c.zoneTable(scope.zone)
		affected = func(proxy *proxyState) bool { return c.usesTable(proxy, table) }
	}
	for class := range c.classes {
		if !scope.limitChanged(class) {
			continue
		}
		scope.publishedLimits[class] = scope.targetLimits[class]
		published = true
		limit := cmp.Or(scope.targetLimits[class], noLimit)
		c.host.SetAdmissionLimit(table, 1<<class, limit, retryPolicyFor(scope.targetLimits[class]))
		c.admission.limitsSent = true
		c.chargeEach(1, affected)
	}
	return published
}

// seedThroughput adopts the proven and the saturated throughput that another controller measured,
// each only if this controller has not measured it yet.
func (s *admissionScope) seedThroughput(proven, saturated float64) {
	s.provenThroughput = cmp.Or(s.provenThroughput, max(proven, 0))
	s.saturatedThroughput = cmp.Or(s.saturatedThroughput, max(saturated, 0))
}
