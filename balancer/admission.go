package balancer

import (
	"cmp"
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
	mode            AdmissionMode
	priorityOrder   []int     // class indices, in the order in which classes are admitted
	unitsPerRequest []float64 // units that a request counts as, by class
	longestDeadline float64   // longest deadline of any class, in microseconds
	// meanObjective is the mean latency objective of the admitted requests, in microseconds; 0
	// before the first evaluation.
	meanObjective float64

	// provenThroughput is the highest number of units per second that was admitted without a queue
	// at the backends, divided by the published capacity; 0 if unknown.
	provenThroughput float64
	// saturatedThroughput is the number of units per second that was answered while queues stood at
	// nearly all backends, divided by the reported capacity; 0 if unknown.
	saturatedThroughput float64

	limitShare   float64 // limit as a share of the saturated throughput; 0 until a limit is needed
	limit        float64 // limit on the admitted demand of all classes, in units per second
	limiting     bool    // the offered demand exceeds the limit
	limitLowered bool    // a lowered limit has yet to be published
	latencyRatio float64 // latency ratio at the last evaluation

	// backendQueueClearAt is the time by which the queue at the backends is to be cleared. It is
	// set when lowerLimit lowers the limit because of a queue.
	backendQueueClearAt Microseconds
	// holdUntil is the time from which reports can show the cleared queue. Until then, only
	// holdLimit changes the limit.
	holdUntil Microseconds
	// overloadedSince is the time at which evaluations began to show queues at nearly all backends;
	// 0 without such queues.
	overloadedSince Microseconds
	raisedAt        Microseconds // time at which the limit was last raised, or set by assumedHeadroom

	targetLimits    []float64 // limits to be published, by class: a share or a rate; 0 means no limit
	publishedLimits []float64 // limits that were last published, by class
	limitsSent      bool      // a limit was published at least once, for any class
	// quota holds the requests per second that the fleet may be sent, by class; 0 means unlimited.
	quota           []RequestsPerSecond
	countedRequests []float64 // requests that proxies counted since the last evaluation, by class
	// demandCorrection holds the smoothed ratio of the counted requests to the sum of the proxies'
	// rates, by class.
	demandCorrection []float64
}

func newAdmissionState(mode AdmissionMode, classes []Class) admissionState {
	a := admissionState{
		mode:             mode,
		targetLimits:     make([]float64, len(classes)),
		publishedLimits:  make([]float64, len(classes)),
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

// updateAdmission evaluates the reports since the last evaluation, and updates the limit
// accordingly.
func (c *Controller) updateAdmission(now Microseconds) {
	a := &c.admission
	load := c.summarizeLoad(now)
	a.latencyRatio = load.latencyRatio
	a.updateProvenThroughput(load)
	if load.latencyRatio == 0 || load.reportedCapacity == 0 || a.mode == AdmissionUnsupported {
		return
	}
	idle := load.latencyRatio < implausiblyIdleRatio && c.backendsIdle(load.latencyRatio*a.meanObjective)
	overloaded := c.queueOutlastsReports(load, idle, now)
	reportLag := c.telemetry.ReportInterval + c.pushQueue.MaxLatency + answerTimeAllowance
	// A raise before reports show the effect of the last raise would set the limit too high.
	raiseDue := now-a.raisedAt >= reportLag
	switch {
	case now < a.holdUntil:
		a.holdLimit(load, now)
	case overloaded:
		a.lowerLimit(load, now, reportLag)
	case a.mayRaise(load, idle) && raiseDue:
		a.raiseLimit(load, idle, now)
	}
	a.limit = a.limitShare * a.saturatedThroughput * load.publishedCapacity
	limiting := a.exceedsLimit(load.offered)
	if limiting != a.limiting {
		a.limiting = limiting
		c.logf(-1, "limit in force %v at %.1f units/s: latency ratio %.2f, %.1f offered, %.1f answered",
			limiting, a.limit, load.latencyRatio, load.offered, load.answered)
	}
	c.distributeLimit()
}

// exceedsLimit reports whether there is a limit and the offered demand exceeds it.
func (a *admissionState) exceedsLimit(offered float64) bool {
	return a.limitShare > 0 && offered > a.limit
}

// updateProvenThroughput records the highest demand that was admitted without a queue. Demand
// proves nothing unless more than half of the published capacity has recent reports.
func (a *admissionState) updateProvenThroughput(load loadSummary) {
	noQueue := load.latencyRatio > 0 && load.latencyRatio < overloadedRatio
	if noQueue && load.recentCapacity > load.publishedCapacity/2 {
		a.provenThroughput = max(a.provenThroughput, load.admitted/load.publishedCapacity)
	}
}

// backendQueueTime estimates how long a new request waits at a backend, in microseconds.
func (a *admissionState) backendQueueTime(load loadSummary) float64 {
	return max(0, load.latencyRatio-queueFreeRatio) * a.meanObjective
}

// holdLimit sets the limit to what the fleet can sustain. The limit was lowered because of a queue
// at the backends, which is to be cleared by backendQueueClearAt. Until this time, holdLimit only
// lowers the limit further, if the queue has grown.
func (a *admissionState) holdLimit(load loadSummary, now Microseconds) {
	// Reports are late: half of the queue that they show may already be cleared.
	queue := a.backendQueueTime(load) / 2
	share := max(minLimitShare, sustainableShare-queue/float64(backendQueueClearTime))
	if now >= a.backendQueueClearAt || share < a.limitShare {
		a.limitShare = share
	}
}

// lowerLimit takes the answered throughput as what the fleet can do, and sets the limit below it so
// that the queues at the backends are cleared.
func (a *admissionState) lowerLimit(load loadSummary, now, reportLag Microseconds) {
	// The throughput cannot exceed the admitted demand by more than a little. Answered requests
	// were certainly admitted, even if only little of the demand has been reported so far.
	admitted := max(load.admitted, load.answered)
	throughput := min(load.answered/load.reportedCapacity, maxHeadroom*admitted/load.publishedCapacity)
	if a.saturatedThroughput == 0 {
		a.saturatedThroughput = throughput
	}
	// The saturated throughput from before this overload may be outdated, so its mean with the
	// present throughput is used.
	a.saturatedThroughput = min((a.saturatedThroughput+throughput)/2, maxSaturatedGrowth*throughput)
	// Excess demand that was admitted before reports showed the queue has lengthened the queue, for
	// half of the report lag on average.
	answering := a.saturatedThroughput * (load.publishedCapacity - load.deadCapacity)
	queue := a.backendQueueTime(load)
	queue += max(0, load.admitted/answering-1) * float64(reportLag/2)
	a.limitShare = max(minLimitShare, sustainableShare-queue/float64(backendQueueClearTime))
	a.backendQueueClearAt = now + backendQueueClearTime
	a.holdUntil = now + backendQueueClearTime + reportLag
	a.overloadedSince = 0
	a.limitLowered = true
}

// mayRaise reports whether the limit holds back demand although most backends are idle or the
// latency ratio is below overloadedRatio.
func (a *admissionState) mayRaise(load loadSummary, idle bool) bool {
	return a.exceedsLimit(load.offered) && (idle || load.latencyRatio < overloadedRatio)
}

// raiseLimit raises the limit by a step, scaled by the share of the capacity that reports cover.
func (a *admissionState) raiseLimit(load loadSummary, idle bool, now Microseconds) {
	step := raiseStep
	mostUnloaded := load.medianRatio < unloadedRatio && load.latencyRatio < overloadedRatio
	if idle || mostUnloaded {
		unloaded := (unloadedRatio - load.latencyRatio) / (unloadedRatio - queueFreeRatio)
		step = fastRaiseStep * (1 + 2*max(0, min(1, unloaded)))
	}
	a.raisedAt = now
	raised := a.limitShare * (1 + step*load.reportedCapacity/load.publishedCapacity)
	maxShare := maxHeadroom * load.offered / (a.saturatedThroughput * load.publishedCapacity)
	a.limitShare = min(raised, maxShare)
}

// limitOnCapacityLoss lowers the limit by the share of the published weight that the endpoint list
// took away, because reports show a queue only after the queue has formed. If no queue was ever
// seen, only the demand admitted without a queue is known, and the limit rests on an assumption
// (assumedHeadroom). Old reports (reportsAreOld) take long to show that such a limit is too low, so
// with old reports it is set only if some requests already waited. The weight before the loss and
// the lost weight are unreduced weights.
func (c *Controller) limitOnCapacityLoss(now Microseconds, weight, lostWeight float64) {
	a := &c.admission
	if a.mode == AdmissionUnsupported || lostWeight == 0 || lostWeight >= weight {
		return
	}
	offered := c.totalDemand()
	assumedThroughput := assumedHeadroom * a.provenThroughput * (weight - lostWeight) * c.baselineDemand()
	soonCorrected := !c.reportsAreOld() || a.latencyRatio > unloadedRatio
	switch {
	case a.limitShare > 0:
		a.limit *= 1 - lostWeight/weight
	case a.provenThroughput > 0 && offered > assumedThroughput && soonCorrected:
		a.saturatedThroughput = assumedHeadroom * a.provenThroughput
		a.limitShare = 1
		a.limit = assumedThroughput
		a.raisedAt = now
	}
	limiting := a.exceedsLimit(offered)
	if limiting != a.limiting {
		a.limiting = limiting
		c.logf(-1, "limit in force %v at %.1f units/s, ahead of reports: %.0f%% of the weight lost, %.1f offered",
			limiting, a.limit, 100*lostWeight/weight, offered)
	}
	c.distributeLimit()
}

// distributeLimit divides the limit among the classes by priority. A quota applies to the whole
// fleet: this controller's part of a quota is the share of all proxies that are connected to this
// controller.
func (c *Controller) distributeLimit() {
	a := &c.admission
	connected := c.connectedCount()
	proxyShare := max(connected, 1) / max(connected, float64(c.pushQueue.Proxies), 1)
	remaining := orUnlimited(a.limit)
	for _, class := range a.priorityOrder {
		rates, total := c.classDemand(class)
		allowed := min(remaining/a.unitsPerRequest[class], orUnlimited(a.quota[class])*proxyShare)
		admitted := min(total, max(allowed, minAdmittedShare*total))
		remaining -= admitted * a.unitsPerRequest[class]
		a.targetLimits[class] = 0
		if admitted >= total {
			continue
		}
		switch a.mode {
		case AdmissionByRate:
			a.targetLimits[class] = maxMinFairRate(rates, admitted)
		case AdmissionByShare:
			a.targetLimits[class] = admitted / total
		}
	}
}

// orUnlimited returns a limit, or infinity if it is 0.
func orUnlimited(limit float64) float64 { return cmp.Or(limit, math.Inf(1)) }

// maxMinFairRate returns the cap at which the capped rates add up to total, or noLimit if the sum
// of the uncapped rates is below total. It sorts rates.
func maxMinFairRate(rates []float64, total float64) float64 {
	slices.Sort(rates)
	for i, rate := range rates {
		remaining := float64(len(rates) - i)
		if rate*remaining >= total {
			return total / remaining
		}
		total -= rate
	}
	return noLimit
}

// admittedRate returns the part of a proxy's rate that the published limit of a class admits.
func (a *admissionState) admittedRate(class int, rate RequestsPerSecond) RequestsPerSecond {
	limit := a.publishedLimits[class]
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
func (a *admissionState) limitChanged(class int) bool {
	difference := math.Abs(a.targetLimits[class] - a.publishedLimits[class])
	return difference > 0 && difference >= limitTolerance*a.publishedLimits[class]
}

// publishLimits publishes limits that have changed, with their retry policies, and reports whether
// it published any limit.
func (c *Controller) publishLimits() (published bool) {
	a := &c.admission
	for class := range c.classes {
		if !a.limitChanged(class) {
			continue
		}
		a.publishedLimits[class] = a.targetLimits[class]
		published = true
		limit := cmp.Or(a.targetLimits[class], noLimit)
		c.host.SetAdmissionLimit(AllTables, 1<<class, limit, retryPolicyFor(a.targetLimits[class]))
		a.limitsSent = true
		c.chargeAll(1)
	}
	return published
}

// seedThroughput adopts the proven and the saturated throughput that another controller measured,
// each only if this controller has not measured it yet.
func (a *admissionState) seedThroughput(proven, saturated float64) {
	a.provenThroughput = cmp.Or(a.provenThroughput, max(proven, 0))
	a.saturatedThroughput = cmp.Or(a.saturatedThroughput, max(saturated, 0))
}
