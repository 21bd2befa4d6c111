package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Admission: under overload (overload.go) a limit bounds what is let in, in units a second.
//
//   - Lower: when a queue stands nearly everywhere, what was answered meanwhile is what the fleet can do (saturated
//     throughput). The limit is set so that the backends' queues are cleared within backendQueueClearTime, but not below
//     minLimitShare of that: what waits too long is dropped.
//   - Hold: the limit then returns to sustainableShare of that, less half of the queue that is still reported, without
//     waiting for reports of the lowered limit, which come late.
//   - Raise: while it limits and the latency ratio is below overloadedRatio, it is raised by raiseStep, or by fastRaiseStep
//     and up to three times that if most backends have no queue; a step for each time that reports of the last one take,
//     and not beyond maxHeadroom times what comes.
//   - Ahead of reports: what the list takes of our entries takes its part of the limit at once. Without a limit the
//     fleet is taken to be able to do assumedHeadroom times the most that was let in without a queue (proven throughput).
//
// The limit is shared out by priority: classes with the highest PriorityWeight over LatencyObjective are served first, the
// last in that order is shed first. A class of which less is let in than comes is limited as the AdmissionMode has it:
//   - by rate, no proxy lets in more than one rate, the same for all. Only proxies that more comes to are limited, and
//     repeats of refused requests there do not raise what is let in;
//   - by share, every proxy lets in the same share of what comes to it.
//
// Each class keeps minAdmittedShare of its demand, so that answers are still reported: without any, no evaluation would
// raise the limit again. A class quota bounds its class by the same means, and no further than to minAdmittedShare either.
//
// Throughputs are per capacity (published weight times baseline demand); times are microseconds.

const (
	// maxSaturatedGrowth bounds the saturated throughput by what was answered until one evaluation.
	maxSaturatedGrowth = 1.5
	// sustainableShare is the share of the saturated throughput that fixed weights can spread without queues.
	sustainableShare = 0.85
	// minLimitShare is the share that a lowered limit leaves: the queue is an estimate, and what waits too long is dropped.
	minLimitShare = 0.3
	// backendQueueClearTime is the time within which a queue at the backends is cleared: changes keep their interval, so not
	// faster. It has nothing to do with maxQueueTime, which bounds the push queue.
	backendQueueClearTime = 2 * minPublishInterval
	// maxHeadroom is how far the limit may be ahead of what is answered now: one further ahead is none when it is needed.
	maxHeadroom = 1.15
	// raiseStep is the step of a limit while the latency ratio is below overloadedRatio.
	raiseStep = 0.08
	// fastRaiseStep is the step while most backends have no queue, and three times that when none has.
	fastRaiseStep = 0.1
	// answerTimeAllowance is the time from a request to its answer that reports of a limit take beside their own.
	answerTimeAllowance = second
	// assumedHeadroom times what was let in without a queue is taken to be possible, until a queue was seen.
	assumedHeadroom = 1.3
	// minAdmittedShare is the share of its demand that each class keeps.
	minAdmittedShare = 0.05
	// limitTolerance is the difference below which two limits are one: reports are no finer.
	limitTolerance = 0.05
	// noLimit stands for no limit where one must be given, see Host.SetAdmissionLimit.
	noLimit = 1_000_000
	// minUnits is what a request counts at least.
	minUnits = 1e-3
)

// admissionState is what is known of the fleet's throughput, and the limit.
type admissionState struct {
	mode            AdmissionMode
	priorityOrder   []int     // classes, the first to be let in first
	unitsPerRequest []float64 // by class
	longestDeadline float64   // microseconds
	meanObjective   float64   // latency objective of the mean request let in, microseconds; 0 before the first evaluation

	provenThroughput    float64 // most units a second let in without a queue, per published capacity; 0 if unknown
	saturatedThroughput float64 // units a second answered with a queue, per reported capacity; 0 if unknown

	limitShare   float64 // share of the saturated throughput that is let in; 0 until a queue was seen
	limit        float64 // units a second
	limiting     bool    // more comes than that
	limitLowered bool    // a lowered limit is to be published
	latencyRatio float64 // at the last evaluation

	backendQueueClearAt Microseconds // when the queue for which the limit was last lowered must be gone ...
	holdUntil           Microseconds // ... and when reports show it
	overloadedSince     Microseconds // when evaluations began to show a queue nearly everywhere; 0 while they do not
	raisedAt            Microseconds // when the limit was last raised, or assumed

	// By class.
	targetLimits     []float64           // limits that are to be published: a share or a rate; 0 for none
	publishedLimits  []float64           // limits that are
	limitsSent       bool                // one ever was
	quota            []RequestsPerSecond // that the whole fleet may be sent; 0 for any number
	countedRequests  []float64           // requests since the last evaluation
	demandCorrection []float64           // what was counted over the sum of the proxies' rates
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

// updateAdmission evaluates the reports since the last evaluation, and decides how much is let in.
func (c *Controller) updateAdmission(now Microseconds) {
	a := &c.admission
	load := c.summarizeLoad(now)
	a.latencyRatio = load.latencyRatio
	a.noteProvenThroughput(load)
	if load.latencyRatio == 0 || load.reportedCapacity == 0 || a.mode == AdmissionUnsupported {
		return
	}
	idle := load.latencyRatio < implausiblyIdleRatio && c.backendsIdle(load.latencyRatio*a.meanObjective)
	overloaded := c.queueOutlastsReports(load, idle, now)
	reportLag := c.telemetry.ReportInterval + c.pushQueue.MaxLatency + answerTimeAllowance
	raiseDue := now-a.raisedAt >= reportLag // steps on steps that are not yet reported would overshoot
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

// exceedsLimit tells whether there is a limit, and more comes than it lets in.
func (a *admissionState) exceedsLimit(offered float64) bool {
	return a.limitShare > 0 && offered > a.limit
}

// noteProvenThroughput keeps the most that was let in without a queue. Demand of which few report proves nothing.
func (a *admissionState) noteProvenThroughput(load loadSummary) {
	noQueue := load.latencyRatio > 0 && load.latencyRatio < overloadedRatio
	if noQueue && load.recentCapacity > load.publishedCapacity/2 {
		a.provenThroughput = max(a.provenThroughput, load.admitted/load.publishedCapacity)
	}
}

// backendQueueTime is how long a new request waits at a backend, in microseconds.
func (a *admissionState) backendQueueTime(load loadSummary) float64 {
	return max(0, load.latencyRatio-queueFreeRatio) * a.meanObjective
}

// holdLimit lets in what the fleet can do once the queue must be gone for which the limit was lowered; less than now, at
// once, if that queue has grown.
func (a *admissionState) holdLimit(load loadSummary, now Microseconds) {
	// What is reported now is late: half of the queue that it shows may be gone.
	queue := a.backendQueueTime(load) / 2
	share := max(minLimitShare, sustainableShare-queue/float64(backendQueueClearTime))
	if now >= a.backendQueueClearAt || share < a.limitShare {
		a.limitShare = share
	}
}

// lowerLimit takes what was answered for what the fleet can do, and leaves room for the backends' queues to be cleared.
func (a *admissionState) lowerLimit(load loadSummary, now, reportLag Microseconds) {
	// Throughput cannot exceed what was let in, plus a little. Answered requests were surely let in, even where little of
	// the demand is reported yet.
	mostAdmitted := max(load.admitted, load.answered)
	throughput := min(load.answered/load.reportedCapacity, maxHeadroom*mostAdmitted/load.publishedCapacity)
	if a.saturatedThroughput == 0 {
		a.saturatedThroughput = throughput
	}
	// What was known before the limit was lowered holds no more.
	a.saturatedThroughput = min((a.saturatedThroughput+throughput)/2, maxSaturatedGrowth*throughput)
	// What came before reports showed it is in the queue as well, from half of that time on average.
	answering := a.saturatedThroughput * (load.publishedCapacity - load.deadCapacity)
	queue := a.backendQueueTime(load)
	queue += max(0, load.admitted/answering-1) * float64(reportLag/2)
	a.limitShare = max(minLimitShare, sustainableShare-queue/float64(backendQueueClearTime))
	a.backendQueueClearAt = now + backendQueueClearTime
	a.holdUntil = now + backendQueueClearTime + reportLag
	a.overloadedSince = 0
	a.limitLowered = true
}

// mayRaise tells whether the limit holds anything back for which there is room.
func (a *admissionState) mayRaise(load loadSummary, idle bool) bool {
	return a.exceedsLimit(load.offered) && (idle || load.latencyRatio < overloadedRatio)
}

// raiseLimit raises the limit by a step, as far as reports cover the fleet.
func (a *admissionState) raiseLimit(load loadSummary, idle bool, now Microseconds) {
	step := raiseStep
	mostWithoutQueue := load.medianRatio < unloadedRatio && load.latencyRatio < overloadedRatio
	if idle || mostWithoutQueue {
		unloaded := (unloadedRatio - load.latencyRatio) / (unloadedRatio - queueFreeRatio)
		step = fastRaiseStep * (1 + 2*max(0, min(1, unloaded)))
	}
	a.raisedAt = now
	raised := a.limitShare * (1 + step*load.reportedCapacity/load.publishedCapacity)
	most := maxHeadroom * load.offered / (a.saturatedThroughput * load.publishedCapacity)
	a.limitShare = min(raised, most)
}

// limitOnCapacityLoss takes the part of the limit that the list took of the published weight: reports show a queue only
// when it stands. Where none ever did, all that is known is what was let in without one, and an assumption. Old reports
// take long to show that it was too low, so there it is made only where something waited already. Both weights are
// unreduced ones.
func (c *Controller) limitOnCapacityLoss(now Microseconds, weight, lostWeight float64) {
	a := &c.admission
	if a.mode == AdmissionUnsupported || lostWeight == 0 || lostWeight >= weight {
		return
	}
	offered := c.totalDemand()
	possible := assumedHeadroom * a.provenThroughput * (weight - lostWeight) * c.baselineDemand()
	soonCorrected := !c.reportsAreOld() || a.latencyRatio > unloadedRatio
	switch {
	case a.limitShare > 0:
		a.limit *= 1 - lostWeight/weight
	case a.provenThroughput > 0 && offered > possible && soonCorrected:
		a.saturatedThroughput = assumedHeadroom * a.provenThroughput
		a.limitShare = 1
		a.limit = possible
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

// distributeLimit shares the limit out by priority. A quota is that of the whole fleet: of it we have what our proxies
// are of all.
func (c *Controller) distributeLimit() {
	a := &c.admission
	connected := c.connectedCount()
	ourShare := max(connected, 1) / max(connected, float64(c.pushQueue.Proxies), 1)
	left := orUnlimited(a.limit)
	for _, class := range a.priorityOrder {
		rates, total := c.classDemand(class)
		most := min(left/a.unitsPerRequest[class], orUnlimited(a.quota[class])*ourShare)
		admitted := min(total, max(most, minAdmittedShare*total))
		left -= admitted * a.unitsPerRequest[class]
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

// orUnlimited is a limit, or infinity for 0.
func orUnlimited(limit float64) float64 { return cmp.Or(limit, math.Inf(1)) }

// maxMinFairRate caps rates so that they add up to a total below theirs. It sorts them.
func maxMinFairRate(rates []float64, total float64) float64 {
	slices.Sort(rates)
	for i, rate := range rates {
		left := float64(len(rates) - i)
		if rate*left >= total {
			return total / left
		}
		total -= rate
	}
	return noLimit
}

// admittedRate is what the published limit of a class lets in of a proxy's rate.
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

// limitChanged tells whether the limit of a class is to be published anew.
func (a *admissionState) limitChanged(class int) bool {
	difference := math.Abs(a.targetLimits[class] - a.publishedLimits[class])
	return difference > 0 && difference >= limitTolerance*a.publishedLimits[class]
}

// publishLimits publishes limits that have changed, with their retry policy, and tells whether there were any.
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

// seedThroughput takes what another controller saw, in place of what we have not seen ourselves.
func (a *admissionState) seedThroughput(proven, saturated float64) {
	a.provenThroughput = cmp.Or(a.provenThroughput, max(proven, 0))
	a.saturatedThroughput = cmp.Or(a.saturatedThroughput, max(saturated, 0))
}
