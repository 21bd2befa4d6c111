package balancer

// Overload: the load of each scope (admission_scope.go), as load reports show it, evaluated once per
// report interval.
//
// The latency ratio is the mean answer time over the mean latency objective of the admitted
// requests. A latency ratio above overloadedRatio means that queues stand at nearly all backends,
// if all of the following hold:
//   - the median backend's latency ratio is above unloadedRatio;
//   - most backends do not report themselves idle, or they are not believed because the latency
//     ratio is at least implausiblyIdleRatio;
//   - if reports are old (reportsAreOld), the overload has lasted longer than their age: the
//     requests in the queues that they show may have been answered or given up since.
//
// Inputs are the outcomes of this controller's own proxies since the last evaluation, their demand
// (requests per second), their baseline demand, and the loads that backends report. Demand,
// throughput and limits are in units per second: a request counts as many units as its latency
// objective has seconds, because no report shows how much work a request takes. Capacity is
// published weight times the baseline demand of this controller's proxies, so that proxies that
// come from a lost controller add the share of the capacity that the lost controller had.

const (
	// overloadedRatio is the latency ratio above which queues stand at nearly all backends: the
	// slowest answers then miss the latency objective.
	overloadedRatio = 0.4
	// unloadedRatio is the latency ratio below which hardly any requests wait.
	unloadedRatio = 0.3
	// queueFreeRatio is the approximate latency ratio without any queue: objectives leave headroom
	// above the service time.
	queueFreeRatio = 0.2
	// implausiblyIdleRatio is the latency ratio from which backends that report themselves idle are
	// not believed.
	implausiblyIdleRatio = 0.6
	// idleUtilization is the share of busy cores, or the number of waiting requests, below which a
	// backend has no queue.
	idleUtilization = 0.8
	// idleServiceShare is the highest share of the answer time that the service time takes at a
	// backend without a queue.
	idleServiceShare = 0.67
)

// loadSummary sums up the reports since the last evaluation.
type loadSummary struct {
	latencyRatio float64 // latency ratio of all answers; 0 if there are none
	medianRatio  float64 // latency ratio of the median backend
	// meanObjective is the mean latency objective of the requests that the fleet admits, in
	// microseconds; 0 if there are no answers.
	meanObjective float64

	offered  float64 // demand at the connected proxies, in units per second
	admitted float64 // part of the offered demand that the published limits admit
	answered float64 // units per second answered by backends with an entry and a score below laggingScore

	// A capacity is unreduced published weight times baseline demand. In reportedCapacity and
	// recentCapacity, only the baseline demand of proxies that can have reported counts
	// (reportingDemand).
	publishedCapacity float64 // capacity of all backends with an entry
	// reportedCapacity is the capacity of backends with answers since the last evaluation and a
	// score below laggingScore.
	reportedCapacity float64
	// recentCapacity is the capacity of backends with reports of this controller's proxies within
	// the score window.
	recentCapacity float64
	deadCapacity   float64 // capacity of backends whose attempts since the last evaluation all failed
}

// summarizeLoad sums up the reports about a scope since the last evaluation. That of the whole fleet
// updates the mean latency objective.
func (c *Controller) summarizeLoad(scope *admissionScope, demand connectedDemand, now Microseconds) (load loadSummary) {
	a := &c.admission
	outcomes := c.sumOutcomes(scope, now, &load)
	requests := c.sumDemand(scope, demand, &load)
	if outcomes.attempts == 0 || requests == 0 {
		return load
	}
	if scope.zone == entireFleet {
		a.meanObjective = load.admitted / requests * float64(second)
	}
	load.meanObjective = a.meanObjective
	load.latencyRatio = outcomes.answerTime / float64(outcomes.attempts) / a.meanObjective
	load.medianRatio = median(outcomes.meanAnswerTimes, 0) / a.meanObjective
	// Reports delayed by a stall of this controller arrive together, so answers are divided by the
	// whole time since the last evaluation.
	load.answered = float64(outcomes.answers) / float64(now-c.evaluatedAt) * a.meanObjective
	return load
}

// outcomeTotals holds the sums of the outcomes since the last evaluation over all backends.
type outcomeTotals struct {
	attempts int // number of attempts that were answered, or timed out in the queue of a backend
	// answers is the number of answers of backends that keep up (see keepsUp in sumOutcomes),
	// plus failures not caused by a queue.
	answers         int
	answerTime      float64   // sum of the answer times of attempts, in microseconds
	meanAnswerTimes []float64 // mean answer time of each backend that answered, in microseconds
}

// sumOutcomes sums the outcomes since the last evaluation of a scope's backends, and the capacities of
// the backends that reported them.
func (c *Controller) sumOutcomes(scope *admissionScope, now Microseconds, load *loadSummary) (sum outcomeTotals) {
	baseline, reporting := c.baselineDemandOf(scope), c.reportingDemand(scope, now)
	for _, backend := range c.backends {
		if !scope.includes(backend.Zone) {
			continue
		}
		weight := scope.unreducedWeight(backend)
		load.publishedCapacity += weight * baseline
		reportedRecently := backend.attempts > 0 && !backend.reportedByPeersOnly
		// The score window is used because, with few reports, one evaluation covers only some
		// backends.
		if reportedRecently {
			load.recentCapacity += weight * reporting
		}
		answered, failures, answerTime := backend.outcomesSince(c.evaluatedAt)
		if answered == 0 {
			if failures > 0 {
				load.deadCapacity += weight * baseline
			}
			continue
		}
		mean := answerTime / float64(answered)
		sum.meanAnswerTimes = append(sum.meanAnswerTimes, mean)
		sum.attempts += answered
		sum.answerTime += answerTime
		// The answers of a backend that lags far behind the median count towards the latency ratio
		// of the fleet, but do not show the throughput that the weight of the backend allows.
		keepsUp := scope.weightOf(backend, backend.published) > 0 && backend.score < laggingScore
		if keepsUp {
			sum.answers += answered
			load.reportedCapacity += weight * reporting
		}
		// Failures at a backend that answers late are time-outs in its queue. Other failures, such
		// as lost answers or refused connections, are not caused by a queue.
		late := mean > overloadedRatio*c.admission.meanObjective
		if late {
			sum.attempts += failures
			sum.answerTime += float64(failures) * c.admission.longestDeadline / 2
		} else {
			sum.answers += failures
		}
	}
	return sum
}

// reportingDemand returns the baseline demand of a scope's proxies as far as they can have reported
// since the last evaluation. A proxy can report from one report interval after it has
// connected, so its baseline demand is multiplied by the share of the time since the last
// evaluation that follows this moment.
func (c *Controller) reportingDemand(scope *admissionScope, now Microseconds) RequestsPerSecond {
	total := 0.
	for _, proxy := range c.proxies {
		if !scope.includes(proxy.zone) {
			continue
		}
		reporting := float64(now-proxy.connectedAt-c.telemetry.ReportInterval) / float64(now-c.evaluatedAt)
		total += proxy.baselineRate * max(0, min(1, reporting))
	}
	return total
}

// outcomesSince sums the outcomes that this controller's own proxies reported after a time.
func (b *backendState) outcomesSince(since Microseconds) (answered, failures int, answerTime float64) {
	for _, sample := range b.ownOutcomes {
		if sample.receivedAt > since {
			answered += sample.attempts - sample.failures
			failures += sample.failures
			answerTime += float64(sample.answerTime)
		}
	}
	return answered, failures, answerTime
}

// queueOutlastsReports reports whether queues stand at nearly all backends. If reports are old, the
// queues must also have stood there for longer than the reports' age.
func (c *Controller) queueOutlastsReports(scope *admissionScope, load loadSummary, idle bool, now Microseconds) bool {
	queueStands := load.latencyRatio > overloadedRatio && load.medianRatio > unloadedRatio && !idle
	if !queueStands {
		scope.overloadedSince = 0
		return false
	}
	if scope.overloadedSince == 0 {
		scope.overloadedSince = now
	}
	return !c.reportsAreOld() || float64(now-scope.overloadedSince) >= c.reportSpan
}

// backendsIdle reports whether most of a scope's backends that reported their load since the last
// evaluation have no queue. Late answers are then due to stalled proxies.
func (c *Controller) backendsIdle(scope *admissionScope, meanAnswerTime float64) bool {
	reporting, idle := 0, 0
	for _, backend := range c.backends {
		if scope.weightOf(backend, backend.published) == 0 || backend.lastAnswerAt <= c.evaluatedAt || !backend.load.known() {
			continue
		}
		reporting++
		if backend.load.reportsIdle(meanAnswerTime) {
			idle++
		}
	}
	return 2*idle > reporting
}

// hasQueueFigures reports whether a load report has a figure that shows a queue. A report without
// such a figure does not replace the previous load of the backend.
func (load BackendLoad) hasQueueFigures() bool {
	return load.CPUUtilization >= 0 || load.QueueLength >= 0
}

// known reports whether a backend has reported its load. A load whose figures are all 0 counts as
// not reported.
func (load BackendLoad) known() bool { return load != (BackendLoad{}) }

// reportsIdle reports whether a backend reports that it has no queue. A missing service time counts
// as short.
func (load BackendLoad) reportsIdle(meanAnswerTime float64) bool {
	nothingWaits := load.QueueLength >= 0 && load.QueueLength < idleUtilization
	serviceTimeShort := load.ServiceTime < idleServiceShare*meanAnswerTime
	coresFree := load.CPUUtilization >= 0 && load.CPUUtilization < idleUtilization
	return load.known() && (nothingWaits && serviceTimeShort || coresFree)
}
