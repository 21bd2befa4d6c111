package balancer

import (
	"cmp"
	"math"
	"slices"
)

func newAdmissionState(how AdmissionMode, classes []Class) admissionState {
	a := admissionState{mode: how, published: make([]float64, len(classes)), target: make([]float64, len(classes)),
		quota: make([]float64, len(classes))}
	for i, class := range classes {
		a.counted, a.demandCorrection = append(a.counted, 0), append(a.demandCorrection, 1)
		a.priorityOrder = append(a.priorityOrder, i)
		a.longestDeadline = max(a.longestDeadline, float64(class.Deadline))
		a.unitsPerRequest = append(a.unitsPerRequest, max(float64(class.LatencyObjective)/float64(second), 1e-3))
	}
	slices.SortStableFunc(a.priorityOrder, func(x, y int) int {
		vx, vy := classes[x].PriorityWeight/a.unitsPerRequest[x], classes[y].PriorityWeight/a.unitsPerRequest[y]
		return count(vx < vy) - count(vx > vy)
	})
	return a
}

// steer settles how much is let in. When a queue stands nearly everywhere, what was answered is what can be:
// less the queue while it drains, then most of it.
func (c *Controller) updateAdmission(now int64) {
	a, r := &c.admission, c.summarizeLoad(now)
	a.latencyRatio = r.latencyRatio
	if r.latencyRatio > 0 && r.latencyRatio < overloadedRatio && r.recentCapacity > r.publishedCapacity/2 { // thinly heard demand proves nothing
		a.provenThroughput = max(a.provenThroughput, r.admitted/r.publishedCapacity)
	}
	if r.latencyRatio == 0 || r.reportedCapacity == 0 || a.mode == AdmissionUnsupported {
		return
	}
	was, idle := a.limiting, r.latencyRatio < implausiblyIdleRatio && c.backendsIdle(r.latencyRatio*a.meanObjective)
	rests := r.medianRatio < unloadedRatio && r.latencyRatio < overloadedRatio // most have no queue, whatever a few have
	lag := c.telemetry.ReportInterval + c.queue.MaxLatency + second
	queue := max(0, r.latencyRatio-queueFreeRatio) * a.meanObjective // before a new request, as time
	hot := r.latencyRatio > overloadedRatio && r.medianRatio > unloadedRatio && !idle
	a.overloadedSince = cmp.Or(a.overloadedSince, now) * int64(count(hot))
	// What stood in queues then may be answered or given up: only heat that outlasts old news is an overload.
	hot = hot && (c.reportSpan <= a.longestDeadline || float64(now-a.overloadedSince) >= c.reportSpan)
	switch {
	case now < a.holdUntil:
		// What is heard now is late: half of the queue that it shows may be gone.
		if part := max(minLimitShare, sustainableShare-queue/2/float64(queueDrainTime)); now >= a.queueDrainedAt || part < a.limitShare {
			a.limitShare = part
		}
	case hot:
		// As a queue stands, hardly more than was let in; what was answered was, even where demand is still thin.
		able := min(r.answered/r.reportedCapacity, maxHeadroom*max(r.admitted, r.answered)/r.publishedCapacity)
		if a.saturatedThroughput == 0 {
			a.saturatedThroughput = able
		}
		a.saturatedThroughput = min((a.saturatedThroughput+able)/2, maxSaturatedGrowth*able) // what was proven before a cut holds no more
		// What came while we did not know is in the queue as well.
		queue += max(0, r.admitted/(a.saturatedThroughput*(r.publishedCapacity-r.deadCapacity))-1) * float64(lag/2)
		a.limitShare = max(minLimitShare, sustainableShare-queue/float64(queueDrainTime))
		a.queueDrainedAt, a.holdUntil, a.overloadedSince, a.cutPending = now+queueDrainTime, now+queueDrainTime+lag, 0, true
	case a.limitShare > 0 && r.offered > a.limit && (idle || r.latencyRatio < overloadedRatio) && now-a.raisedAt >= lag:
		wider := raiseStep // until it is heard of: steps on steps would overshoot by as many as fit into the lag
		if idle || rests {
			wider = fastRaiseStep * (1 + 2*max(0, min(1, (unloadedRatio-r.latencyRatio)/(unloadedRatio-queueFreeRatio))))
		}
		a.raisedAt = now
		a.limitShare = min(a.limitShare*(1+wider*r.reportedCapacity/r.publishedCapacity), maxHeadroom*r.offered/(a.saturatedThroughput*r.publishedCapacity)) // as far as we know of it
	}
	a.limit = a.limitShare * a.saturatedThroughput * r.publishedCapacity
	if a.limiting = a.limitShare > 0 && r.offered > a.limit; was != a.limiting {
		c.logf(-1, "limit bound %v at %.1f units/s: heat %.2f, %.1f come, %.1f answered",
			a.limiting, a.limit, r.latencyRatio, r.offered, r.answered)
	}
	c.distributeLimit()
}

// foresee reckons what the list has just taken of our lines against what was proven: reports show a queue
// when it stands. Where none ever did, all that is known is what was let in without one, and a guess. Old
// news takes long to show that it was too low, so there it is made only where something waited already.
func (c *Controller) limitAheadOfReports(now int64, stood, lost float64) {
	a, came, ours := &c.admission, 0., 0.
	for class := range c.classes {
		_, total := c.classDemand(class)
		came += total * a.unitsPerRequest[class]
	}
	for _, p := range c.proxies {
		ours += p.baselineRate
	}
	able := assumedHeadroom * a.provenThroughput * (stood - lost) * ours
	switch {
	case a.mode == AdmissionUnsupported || lost == 0 || lost >= stood:
		return
	case a.limitShare > 0:
		a.limit *= 1 - lost/stood
	case a.provenThroughput > 0 && came > able && (c.reportSpan <= a.longestDeadline || a.latencyRatio > unloadedRatio):
		a.saturatedThroughput, a.limitShare, a.limit, a.raisedAt = assumedHeadroom*a.provenThroughput, 1, able, now
	}
	if was := a.limiting; a.limitShare > 0 && was != (came > a.limit) {
		a.limiting = !was
		c.logf(-1, "limit bound %v at %.1f units/s, ahead of reports: %.0f%% of the weight went, %.1f come",
			a.limiting, a.limit, 100*lost/stood, came)
	}
	c.distributeLimit()
}

// setLevels shares the limit out, value first; capping the busiest proxies, repeats count for nothing. A
// quota of a class is that of the whole fleet: of it we have what our proxies are of all.
func (c *Controller) distributeLimit() {
	a, joined := &c.admission, 0.
	for _, p := range c.proxies {
		joined += float64(count(p.connected))
	}
	left, ours := cmp.Or(a.limit, math.Inf(1)), max(joined, 1)/max(joined, float64(c.queue.Proxies), 1)
	for _, class := range a.priorityOrder {
		rates, total := c.classDemand(class)
		most := min(left/a.unitsPerRequest[class], cmp.Or(a.quota[class], math.Inf(1))*ours)
		part := min(total, max(most, minAdmittedShare*total))
		left -= part * a.unitsPerRequest[class]
		if a.target[class] = 0; part < total && a.mode == AdmissionByRate {
			a.target[class] = maxMinFairRate(rates, part)
		} else if part < total && a.mode == AdmissionByShare {
			a.target[class] = part / total
		}
	}
}

func (a *admissionState) limitChanged(class int) bool {
	gap := math.Abs(a.target[class] - a.published[class])
	return gap > 0 && gap >= limitTolerance*a.published[class]
}

func (c *Controller) publishLimits() bool {
	a, laid := &c.admission, false
	for class := range c.classes {
		if !a.limitChanged(class) {
			continue
		}
		a.published[class], laid = a.target[class], true
		allowance, tries := a.target[class], NoRetry // a further try would only add to the queue
		if allowance == 0 {
			allowance, tries = unlimitedRate, RetryIfNotExecuted
		}
		c.host.SetAdmissionLimit(AllTables, 1<<class, allowance, tries)
		a.limitsSent = true
		c.chargeEach(1, func(*proxyState) bool { return true })
	}
	return laid
}

// waterline caps rates so that they add up to a total below theirs.
func maxMinFairRate(rates []float64, total float64) float64 {
	slices.Sort(rates)
	for i, r := range rates {
		if rest := float64(len(rates) - i); r*rest >= total {
			return total / rest
		}
		total -= r
	}
	return unlimitedRate
}

// admission is what we let in, in units: a request counts its target latency, as nothing gives its work.
type admissionState struct {
	mode                AdmissionMode
	priorityOrder       []int // classes by value per unit, the first to be let in
	unitsPerRequest     []float64
	longestDeadline     float64 // longest deadline, microseconds
	meanObjective       float64 // target latency of the mean request let in, microseconds
	saturatedThroughput float64 // units a second answered while a queue stood, over heard, see look
	provenThroughput    float64 // the same let in while none stood, the most of it
	limitShare          float64 // of what is able to be answered; 0 until a queue was seen
	limit               float64 // units a second
	limiting            bool    // more comes than that
	cutPending          bool    // a cut is to be told
	limitsSent          bool    // a level ever was
	latencyRatio        float64 // at the last look
	published, target   []float64
	quota               []float64 // requests a second of each class that the whole fleet may be sent; 0 for any number
	counted             []float64 // requests counted since the last look
	demandCorrection    []float64 // what was counted in all, over the sum of the proxies' rates

	queueDrainedAt, holdUntil int64 // when the queue must be gone, and when reports show it
	overloadedSince           int64 // when looks began to show a queue nearly everywhere; 0 while they do not
	raisedAt                  int64 // when it was last widened, or guessed: reports tell of that a lag later
}
