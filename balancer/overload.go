package balancer

// Overload: what load reports say of the whole fleet, once a report interval.
//
// The latency ratio is the mean answer time over the mean latency objective of what is let in. Above overloadedRatio a
// queue stands nearly everywhere, if the median backend's ratio is above unloadedRatio too, most backends do not report
// themselves idle (or are not believed, from implausiblyIdleRatio on), and it lasts longer than reports are old: what stood
// in queues then may be answered or given up by now.
//
// Inputs are the outcomes of our own proxies since the last evaluation, their demand (requests a second), the baseline
// demand of our proxies and the loads that backends report. Demand, throughput and limits are in units a second: a
// request counts its latency objective in seconds, as nothing tells its work. Capacity is published weight times the
// baseline demand of our proxies, so that proxies of a lost controller bring its share.

const (
	// overloadedRatio is the latency ratio above which a queue stands nearly everywhere: its tail misses the objective.
	overloadedRatio = 0.4
	// unloadedRatio is the latency ratio below which hardly anything waits.
	unloadedRatio = 0.3
	// queueFreeRatio is about the latency ratio without any queue: objectives leave room.
	queueFreeRatio = 0.2
	// implausiblyIdleRatio is the latency ratio at which backends that report themselves idle are not believed.
	implausiblyIdleRatio = 0.6
	// idleUtilization is the share of busy cores, or the number of waiting requests, below which a backend has no queue.
	idleUtilization = 0.8
	// idleServiceShare is the share of the answer time that the service of a backend without a queue takes at most.
	idleServiceShare = 0.67
)

// loadSummary is what the reports since the last evaluation say.
type loadSummary struct {
	latencyRatio float64 // of all answers; 0 if there are none
	medianRatio  float64 // of the median backend

	offered  float64 // units a second that come
	admitted float64 // of these, those that the published limits let in
	answered float64 // units a second that backends answered which keep up

	// Capacity is unreduced published weight times baseline demand.
	publishedCapacity float64 // of all backends with an entry
	reportedCapacity  float64 // of those that keep up, as far as their proxies can have reported
	recentCapacity    float64 // of those reported within the score window, likewise
	deadCapacity      float64 // of those that answered nothing
}

// summarizeLoad sums up the reports since the last evaluation, and follows the mean latency objective.
func (c *Controller) summarizeLoad(now Microseconds) (load loadSummary) {
	a := &c.admission
	outcomes := c.sumFleetOutcomes(now, &load)
	requests := c.sumDemand(now, &load)
	if outcomes.attempts == 0 || requests == 0 {
		return load
	}
	a.meanObjective = load.admitted / requests * float64(second)
	load.latencyRatio = outcomes.answerTime / float64(outcomes.attempts) / a.meanObjective
	load.medianRatio = median(outcomes.meanAnswerTimes, 0) / a.meanObjective
	// Reports that a stall of ours held back come together, and are counted over the whole time.
	load.answered = float64(outcomes.answers) / float64(now-c.evaluatedAt) * a.meanObjective
	return load
}

// fleetAnswers sums outcomes since the last evaluation over all backends.
type fleetAnswers struct {
	attempts        int     // answered, or timed out in a queue
	answers         int     // of backends that keep up, and failures that are none of a queue
	answerTime      float64 // of attempts, in microseconds
	meanAnswerTimes []float64
}

// sumFleetOutcomes sums outcomes since the last evaluation, and the capacities that they are of.
func (c *Controller) sumFleetOutcomes(now Microseconds, load *loadSummary) (sum fleetAnswers) {
	baseline, reporting := c.baselineDemand(), c.reportingDemand(now)
	for _, backend := range c.backends {
		weight := backend.unreducedWeight()
		load.publishedCapacity += weight * baseline
		reportedOfLate := backend.attempts > 0 && !backend.reportedByPeersOnly
		if reportedOfLate { // where reports are few, one evaluation covers only some backends
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
		// One that lags far behind the median says how slow things are, but not what a weight can do.
		keepsUp := backend.published > 0 && backend.score < laggingScore
		if keepsUp {
			sum.answers += answered
			load.reportedCapacity += weight * reporting
		}
		// Failures of one that answers late are time-outs in its queue; others, like lost answers or connections that it
		// does not take, are none.
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

// reportingDemand is the baseline demand of our proxies as far as they can have reported since the last evaluation: of
// those that just connected reports are still to come.
func (c *Controller) reportingDemand(now Microseconds) RequestsPerSecond {
	total := 0.
	for _, proxy := range c.proxies {
		reporting := float64(now-proxy.connectedAt-c.telemetry.ReportInterval) / float64(now-c.evaluatedAt)
		total += proxy.baselineRate * max(0, min(1, reporting))
	}
	return total
}

// outcomesSince sums the outcomes of our own proxies that were reported after a time.
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

// sumDemand sums what comes and what is let in, and returns the latter in requests a second.
func (c *Controller) sumDemand(now Microseconds, load *loadSummary) (requests RequestsPerSecond) {
	a := &c.admission
	for class := range c.classes {
		rates, total := c.classDemand(class)
		a.correctDemand(class, total, float64(now-c.evaluatedAt)/float64(second))
		for _, rate := range rates {
			load.offered += rate * a.unitsPerRequest[class]
			admitted := a.admittedRate(class, rate)
			requests += admitted
			load.admitted += admitted * a.unitsPerRequest[class]
		}
	}
	return requests
}

// queueOutlastsReports tells whether a queue stands nearly everywhere, and has for longer than reports are old.
func (c *Controller) queueOutlastsReports(load loadSummary, idle bool, now Microseconds) bool {
	a := &c.admission
	queueStands := load.latencyRatio > overloadedRatio && load.medianRatio > unloadedRatio && !idle
	if !queueStands {
		a.overloadedSince = 0
		return false
	}
	if a.overloadedSince == 0 {
		a.overloadedSince = now
	}
	return !c.reportsAreOld() || float64(now-a.overloadedSince) >= c.reportSpan
}

// backendsIdle tells whether most backends that reported their load since the last evaluation have no queue: then it is the
// proxies that stand still.
func (c *Controller) backendsIdle(meanAnswerTime float64) bool {
	reporting, idle := 0, 0
	for _, backend := range c.backends {
		if backend.published == 0 || backend.lastAnswerAt <= c.evaluatedAt || !backend.load.known() {
			continue
		}
		reporting++
		if backend.load.reportsIdle(meanAnswerTime) {
			idle++
		}
	}
	return 2*idle > reporting
}

// given tells whether a report has a figure that shows a queue. Without one it does not replace what was reported before.
func (load BackendLoad) given() bool { return load.CPUUtilization >= 0 || load.QueueLength >= 0 }

// known tells whether a backend has reported its load. One whose figures were all 0 counts as if it had not.
func (load BackendLoad) known() bool { return load != (BackendLoad{}) }

// reportsIdle tells whether a backend reports that it has no queue. A service time that it did not give counts as quick.
func (load BackendLoad) reportsIdle(meanAnswerTime float64) bool {
	nothingWaits := load.QueueLength >= 0 && load.QueueLength < idleUtilization
	quick := load.ServiceTime < idleServiceShare*meanAnswerTime
	coresFree := load.CPUUtilization >= 0 && load.CPUUtilization < idleUtilization
	return load.known() && (nothingWaits && quick || coresFree)
}
