package balancer

// Outlier detection: a usable backend is ejected, so that its entries are taken out, if it is dead, failing or lagging. An
// attempt fails if it timed out, was refused or was answered with an error; the others are its answers.
//   - dead: consecutiveFailuresToEject attempts in a row failed. They are counted by whole report lines: one answer in a
//     line sets the count back to 0;
//   - failing: at least minAttemptsToEject attempts in the window, and a success rate below failingShareOfMedian of the
//     median backend's (exactly that share is not below);
//   - lagging although its weight is at its least: see weight.go for what lagging alone does.
//
// Lagging is a mean answer time of laggingScore times the median backend's, and of overloadedRatio (overload.go) times the
// latency objective, over minAttemptsToLag attempts of our own proxies, at a backend that does not report itself idle. It
// is looked at before failing: a backend that lags and fails has its weight reduced first. Lagging compares with the
// median, so a fleet that slows as one has no lagging backend.
//
// Dead and failing count only where the median backend answers healthySuccessRate of its attempts: what most backends
// have in common is no fault of one. The median is taken over the backends that answered anything within the window. When
// all fall silent at once, the window still holds earlier answers, so the fleet looks healthy and dead backends are ejected
// up to maxEjectedShare, in the order of their indices; the others stay published. Once the window holds no answer at all,
// the median counts as 1, and the same follows.
//
// No more than maxEjectedShare of the listed weight may be ejected, as a mistake must not put the load of many on a few,
// but for backends that the list has removed. One that would exceed it keeps its entry, and nothing is logged. If all
// usable backends are ejected, as when the list takes those that were left, all are published (panic mode).
//
// Backends are evaluated once a report interval, if our proxies reported attempts since, or at once with a report from
// another controller that completes consecutiveFailuresToEject. An ejection's entry goes out as an ordinary change
// (publish.go), or as a required one while the backend is warming up.
//
// An ejected backend is readmitted after its backoff, or with a passed health check; it then starts slowly (weight.go).
// The backoff is baseEjectionTime, and doubles with each further ejection up to maxEjectionTime. It does not shrink again
// with time, but only when the backend restarts or its index is forgotten.
//
// Inputs are the outcomes reported within scoreWindow, of our own proxies or, where these met nothing, of other
// controllers'; times are microseconds.

const (
	consecutiveFailuresToEject = 5 // as many as proxies use
	minAttemptsToEject         = 20
	healthySuccessRate         = 0.8  // median success rate from which the fleet is at work
	failingShareOfMedian       = 0.5  // of the median success rate
	maxEjectedShare            = 0.75 // of the listed weight: a network partition may hide all zones but one

	minAttemptsToLag = 10
	laggingScore     = 2.0 // mean answer time over the median; with answers that are late as well, it is no accident

	baseEjectionTime = 10 * second
	maxEjectionTime  = 60 * second
	// healthChecksPerBackoff is how many health checks fit into one backoff: a shallow one shows only that the process
	// runs, so the longer the backoff, the rarer they are.
	healthChecksPerBackoff = 3
)

// evaluationDue tells whether reports are to be evaluated: once a report interval, and only if any attempt was reported.
func (c *Controller) evaluationDue(now Microseconds) bool {
	return c.newAttempts > 0 && now-c.evaluatedAt >= c.telemetry.ReportInterval
}

// outcomesCoverFrom is the time that the outcomes of a report are later than, but for one report interval, and whether
// they count. Where reports are old, one that reaches back to before its backend's start, or before it entered, is left
// out: it tells of another process, or of when the backend was ejected.
func (c *Controller) outcomesCoverFrom(backend *backendState, span, now Microseconds) (from Microseconds, counts bool) {
	if !c.reportsAreOld() {
		return now, true
	}
	from = now - max(0, span-c.telemetry.ReportInterval)
	return from, from >= max(backend.StartedAt, backend.enteredAt)
}

// peerFailuresCount tells whether what proxies of another controller met counts as attempts in a row: where ours met
// nothing within the window, or no answer either.
func (b *backendState) peerFailuresCount(attempts, failures int) bool {
	oursAnswered := b.consecutiveFailures == 0 || failures < attempts
	return b.reportedByPeersOnly || !oursAnswered
}

// adoptPeerBackoff has the next ejection last as long as that at another controller: half of it, as eject doubles it.
func (b *backendState) adoptPeerBackoff(backoff Microseconds) { b.backoff = max(b.backoff, backoff/2) }

// fleetOutcomes is what a backend is compared with.
type fleetOutcomes struct {
	medianSuccessRate float64 // of the backends with answers; 1 if there are none, which counts as healthy
	medianAnswerTime  float64 // of the same, in microseconds; 0 if there are none
	listedWeight      float64 // of all usable backends
	ejectedWeight     float64 // of these
}

// detectOutliers scores every backend, and ejects outliers or reduces their weight.
func (c *Controller) detectOutliers(now Microseconds) {
	fleet := c.fleetOutcomes(now)
	for id, backend := range c.backends {
		if !c.usable(backend) || backend.ejected {
			continue
		}
		backend.score = fleet.score(backend)
		lagging := c.lagging(backend)
		atLeastWeight := backend.reducedTo > 0 && backend.reducedTo <= minReducedShare
		switch {
		case fleet.dead(backend), lagging && atLeastWeight:
			c.eject(id, now, &fleet)
		case lagging: // it answers, but late: it has a queue, and others fare far better
			c.reduceWeight(id, now)
		case fleet.failing(backend):
			c.eject(id, now, &fleet)
		}
	}
}

// score is a backend's mean answer time over the median, or 1 if either is unknown.
func (f *fleetOutcomes) score(backend *backendState) float64 {
	if backend.meanAnswerTime <= 0 || f.medianAnswerTime <= 0 {
		return 1
	}
	return backend.meanAnswerTime / f.medianAnswerTime
}

// dead tells whether the last attempts at a backend all failed while the fleet is at work.
func (f *fleetOutcomes) dead(backend *backendState) bool {
	return f.healthy() && backend.consecutiveFailures >= consecutiveFailuresToEject
}

// failing tells whether a backend answers far less than others.
func (f *fleetOutcomes) failing(backend *backendState) bool {
	known := backend.attempts >= minAttemptsToEject
	return known && f.healthy() && backend.successRate() < f.medianSuccessRate*failingShareOfMedian
}

// healthy tells whether the fleet is at work, so that failures are a backend's own.
func (f *fleetOutcomes) healthy() bool { return f.medianSuccessRate >= healthySuccessRate }

// fleetOutcomes sums the outcomes of every backend, and compares them.
func (c *Controller) fleetOutcomes(now Microseconds) (fleet fleetOutcomes) {
	var successRates, answerTimes []float64
	for _, backend := range c.backends {
		backend.sumOutcomes(now)
		if !c.usable(backend) {
			continue
		}
		fleet.listedWeight += backend.Weight
		if backend.ejected {
			fleet.ejectedWeight += backend.Weight
			continue
		}
		if backend.meanAnswerTime > 0 {
			successRates = append(successRates, backend.successRate())
			answerTimes = append(answerTimes, backend.meanAnswerTime)
		}
	}
	fleet.medianSuccessRate = median(successRates, 1)
	fleet.medianAnswerTime = median(answerTimes, 0)
	return fleet
}

// lagging tells whether answers of a scored backend are so late that a queue must stand there, by our own reports.
func (c *Controller) lagging(backend *backendState) bool {
	late := backend.meanAnswerTime >= overloadedRatio*c.admission.meanObjective && backend.score >= laggingScore
	known := backend.attempts >= minAttemptsToLag && !backend.reportedByPeersOnly
	return late && known && !backend.load.reportsIdle(backend.meanAnswerTime)
}

// eject ejects a backend, unless too much weight would be ejected then. It has a score of an ejected one in either case,
// until it is scored again.
func (c *Controller) eject(id int, now Microseconds, fleet *fleetOutcomes) {
	backend := c.backends[id]
	backend.score = -1
	allowed := maxEjectedShare * fleet.listedWeight
	if fleet.ejectedWeight+backend.Weight > allowed && backend.State != Removed {
		return
	}
	fleet.ejectedWeight += backend.Weight
	backend.backoff = max(baseEjectionTime, min(2*backend.backoff, maxEjectionTime))
	backend.ejected = true
	backend.ejectedByPeerReport = backend.reportedByPeersOnly
	backend.readmitAt = now + backend.backoff
	backend.healthCheckedAt = now
	c.logf(id, "ejected: %d of %d attempts failed, %d s", backend.failures, backend.attempts, backend.backoff/second)
}

// readmitDue readmits backends after their backoff, and checks the health of other ejected ones, as a pass readmits them.
func (c *Controller) readmitDue(now Microseconds) {
	for id, backend := range c.backends {
		checkDue := now-backend.healthCheckedAt >= backend.backoff/healthChecksPerBackoff
		switch {
		case backend.ejected && now >= backend.readmitAt:
			c.readmit(id, now, false)
		case backend.ejected && c.telemetry.HealthChecksAllowed && checkDue:
			backend.healthCheckedAt = now
			c.host.CheckHealth(id)
		}
	}
}

// updatePanicMode has ejected backends published as long as every usable backend is ejected.
func (c *Controller) updatePanicMode() {
	usable, ejected := 0, 0
	for _, backend := range c.backends {
		if !c.usable(backend) {
			continue
		}
		usable++
		if backend.ejected {
			ejected++
		}
	}
	allEjected := usable > 0 && ejected == usable
	if allEjected != c.panicMode {
		c.panicMode = allEjected
		c.logf(-1, "panic mode %v, %d backends usable", allEjected, usable)
	}
}

// readmit lets an ejected backend back, with its outcomes forgotten.
func (c *Controller) readmit(id int, now Microseconds, healthChecked bool) {
	backend := c.backends[id]
	backend.ejected = false
	backend.enteredAt = now
	backend.resetOutcomes(now)
	c.logf(id, "readmitted, health check passed %v, after %d s", healthChecked, backend.backoff/second)
}
