package balancer

import "slices"

// Outlier detection: a usable backend is ejected, so that its entries are removed where its tables
// can do without them, if it is dead, failing or lagging. An attempt fails if it timed out, was
// refused or was answered with an error; all other attempts are answered.
//   - dead: consecutiveFailuresToEject attempts in a row failed. They are counted by whole report
//     lines: one answer in a line resets the count to 0;
//   - failing: at least minAttemptsToEject attempts in the window, and a success rate below
//     failingShareOfMedian of the median backend's (a rate of exactly that share is not below it);
//   - lagging (see below) while its weight is already at the minimum. A lagging backend with a
//     higher weight is not ejected: its weight is reduced (weight.go).
//
// A backend is lagging if its mean answer time is at least laggingScore times the median backend's
// and at least overloadedRatio (overload.go) times the mean latency objective, over at least
// minAttemptsToLag attempts of this controller's own proxies, and the backend does not report
// itself idle. Lagging is checked before failing: a backend that lags and fails has its weight
// reduced first. Lagging compares with the median, so a fleet that slows down as a whole has no
// lagging backend. If the requests of all classes stay in their zone, the median is that of the
// backend's zone, so a zone that slows down as a whole has no lagging backend either.
//
// A backend is dead or failing only if the median backend answers at least healthySuccessRate of
// its attempts: failures that most backends have in common are not the fault of one backend. The
// median is taken over the backends that answered any attempt within the window. When all backends
// stop answering at once, the window still holds earlier answers, so the fleet looks healthy, and
// dead backends are ejected up to maxEjectedShare, in the order of their indices; the others stay
// published. Once the window holds no answer at all, the median counts as 1, with the same effect.
//
// No more than maxEjectedShare of the listed weight may be ejected, so that a mistake does not put
// the load of many backends on a few. Backends that the list has removed are exempt from this
// bound. A backend that would exceed the bound keeps its entry, and nothing is logged. A table of
// which too much is ejected keeps entries of ejected backends (table_content.go).
//
// Backends are evaluated once per report interval, if this controller's proxies reported attempts
// since the last evaluation, or at once if a report from another controller brings the consecutive
// failures of a backend to consecutiveFailuresToEject. The change to the entry of an ejected
// backend is published as an ordinary change (publish.go), or as a required one while the backend
// is warming up.
//
// An ejected backend is readmitted after its backoff, or when it passes a health check; it then has
// a slow start (weight.go). The backoff is baseEjectionTime, and doubles with each further ejection
// up to maxEjectionTime. It does not shrink over time. It is reset only when the backend restarts
// or its index is forgotten.
//
// Inputs are the outcomes reported within scoreWindow, of this controller's own proxies or, if
// these reported none, of other controllers' proxies. Times are in microseconds.

const (
	// consecutiveFailuresToEject is the number of consecutive failures from which a backend is dead.
	// Proxies use the same threshold.
	consecutiveFailuresToEject = 5
	// minAttemptsToEject is the lowest number of attempts that can show that a backend is failing.
	minAttemptsToEject = 20
	// healthySuccessRate is the median success rate from which the fleet counts as healthy.
	healthySuccessRate = 0.8
	// failingShareOfMedian is the share of the median success rate below which a backend is failing.
	failingShareOfMedian = 0.5
	// maxEjectedShare is the highest share of the listed weight that may be ejected. It allows for
	// a network partition that makes the backends of all zones except one unreachable.
	maxEjectedShare = 0.75

	// minAttemptsToLag is the lowest number of attempts that can show that a backend is lagging.
	minAttemptsToLag = 10
	// laggingScore is the lowest score of a lagging backend: its mean answer time divided by that
	// of the median backend. If the answers are also late for the latency objective, such a score
	// is no coincidence.
	laggingScore = 2.0

	baseEjectionTime = 10 * second // backoff of the first ejection of a backend
	maxEjectionTime  = 60 * second // longest backoff of an ejection
	// healthChecksPerBackoff is the number of health checks in one backoff. A shallow check shows
	// only that the process runs, so checks are rarer the longer the backoff is.
	healthChecksPerBackoff = 3
)

// evaluationDue reports whether reports are to be evaluated: once per report interval, and only if
// any attempts were reported since the last evaluation.
func (c *Controller) evaluationDue(now Microseconds) bool {
	return c.newAttempts > 0 && now-c.evaluatedAt >= c.telemetry.ReportInterval
}

// reportCoverage returns the time from which attempts in a report count as covered, and reports
// whether the outcomes of the report count. If reports are not old (reportsAreOld), that time is
// now and the outcomes count. If reports are old, that time is the start of the report's span plus
// one report interval, but not later than now. The outcomes then do not count if that time is
// before the start of the backend's process, or before the backend last became new or was
// readmitted (backendState.enteredAt): they describe another process, or the time in which the
// backend was ejected.
func (c *Controller) reportCoverage(backend *backendState, span, now Microseconds) (from Microseconds, counts bool) {
	if !c.reportsAreOld() {
		return now, true
	}
	from = now - max(0, span-c.telemetry.ReportInterval)
	return from, from >= max(backend.StartedAt, backend.enteredAt)
}

// countsPeerFailures reports whether attempts reported by another controller are added to the
// backend's consecutive failures. They are added if this controller's proxies reported no attempts
// at the backend within the score window. They are also added if the backend answered no attempt in
// the other controller's report, and consecutiveFailures is above 0, as the backend answered no
// attempt in the last report that counted either.
func (b *backendState) countsPeerFailures(attempts, failures int) bool {
	anyAnswered := b.consecutiveFailures == 0 || failures < attempts
	return b.reportedByPeersOnly || !anyAnswered
}

// adoptPeerBackoff makes the next ejection last as long as the ejection at another controller. It
// stores half of the other controller's backoff, because eject doubles the stored backoff.
func (b *backendState) adoptPeerBackoff(backoff Microseconds) { b.backoff = max(b.backoff, backoff/2) }

// fleetOutcomes holds the figures that a backend is compared with.
type fleetOutcomes struct {
	medianSuccessRate float64 // median success rate of the backends with answers; 1 (healthy) if no backend has answers
	medianAnswerTime  float64 // median of the backends' mean answer times, in microseconds; 0 if no backend has answers
	// medianByZone holds the medians of the backends of each zone instead, by zone index, if the
	// requests of all classes stay in their zone; else it is nil. Of two backends, the faster one is
	// the median.
	medianByZone  []float64
	listedWeight  float64 // sum of the listed weights of all usable backends
	ejectedWeight float64 // sum of the listed weights of the usable backends that are ejected
}

// detectOutliers scores every usable backend that is not ejected, and ejects outliers or reduces
// their weight.
func (c *Controller) detectOutliers(now Microseconds) {
	fleet := c.fleetOutcomes(now)
	for id, backend := range c.backends {
		if !c.usable(backend) || backend.ejected {
			continue
		}
		backend.score = fleet.score(backend)
		lagging := c.lagging(backend)
		atMinimumWeight := backend.reducedShare > 0 && backend.reducedShare <= minReducedShare
		switch {
		case fleet.dead(backend), lagging && atMinimumWeight:
			c.eject(id, now, &fleet)
		case lagging: // the backend answers late because it has a queue, while other backends are far faster
			c.reduceWeight(id, now)
		case fleet.failing(backend):
			c.eject(id, now, &fleet)
		}
	}
}

// score returns a backend's mean answer time divided by that of the median backend, or 1 if either
// time is unknown.
func (f *fleetOutcomes) score(backend *backendState) float64 {
	medianAnswerTime := f.medianAnswerTime
	if f.medianByZone != nil {
		medianAnswerTime = f.medianByZone[backend.Zone]
	}
	if backend.meanAnswerTime <= 0 || medianAnswerTime <= 0 {
		return 1
	}
	return backend.meanAnswerTime / medianAnswerTime
}

// dead reports whether the latest attempts at a backend all failed while the fleet is healthy.
func (f *fleetOutcomes) dead(backend *backendState) bool {
	return f.healthy() && backend.consecutiveFailures >= consecutiveFailuresToEject
}

// failing reports whether a backend answers a far smaller share of its attempts than the median
// backend while the fleet is healthy.
func (f *fleetOutcomes) failing(backend *backendState) bool {
	known := backend.attempts >= minAttemptsToEject
	return known && f.healthy() && backend.successRate() < f.medianSuccessRate*failingShareOfMedian
}

// healthy reports whether the median backend answers enough attempts, so that failures are the
// fault of single backends.
func (f *fleetOutcomes) healthy() bool { return f.medianSuccessRate >= healthySuccessRate }

// fleetOutcomes sums the outcomes of every backend, and returns the figures to compare them with.
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
	if c.sharedClasses == 0 && len(c.admission.zones) > 0 {
		fleet.medianByZone = c.medianAnswerTimes()
	}
	return fleet
}

// medianAnswerTimes returns the median of the mean answer times of each zone's backends, by zone
// index; 0 if no backend of the zone has answers.
func (c *Controller) medianAnswerTimes() (medians []float64) {
	byZone := make([][]float64, len(c.admission.zones))
	for _, backend := range c.backends {
		if c.usable(backend) && !backend.ejected && backend.meanAnswerTime > 0 {
			byZone[backend.Zone] = append(byZone[backend.Zone], backend.meanAnswerTime)
		}
	}
	for _, times := range byZone {
		slices.Sort(times)
		medianTime := 0.
		if len(times) > 0 {
			medianTime = times[(len(times)-1)/2]
		}
		medians = append(medians, medianTime)
	}
	return medians
}

// lagging reports whether a scored backend, by this controller's own reports, answers so late that
// it must have a queue.
func (c *Controller) lagging(backend *backendState) bool {
	late := backend.meanAnswerTime >= overloadedRatio*c.admission.meanObjective && backend.score >= laggingScore
	known := backend.attempts >= minAttemptsToLag && !backend.reportedByPeersOnly
	return late && known && !backend.load.reportsIdle(backend.meanAnswerTime)
}

// eject ejects a backend, unless more than maxEjectedShare of the listed weight would then be
// ejected. In either case its score is -1 until it is scored again.
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
	backend.ejectedAt = now
	backend.ejectionSuccessRate = backend.successRate()
	if fleet.dead(backend) {
		backend.ejectionSuccessRate = 0 // earlier answers may still be within the window
	}
	backend.ejectedByPeerReport = backend.reportedByPeersOnly
	backend.readmitAt = now + backend.backoff
	backend.healthCheckedAt = now
	c.logf(id, "ejected: %d of %d attempts failed, %d s", backend.failures, backend.attempts, backend.backoff/second)
}

// readmitDueBackends readmits backends after their backoff, and starts health checks of other
// ejected backends, which are readmitted when they pass.
func (c *Controller) readmitDueBackends(now Microseconds) {
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

// readmit ends the ejection of a backend and discards its outcomes.
func (c *Controller) readmit(id int, now Microseconds, healthChecked bool) {
	backend := c.backends[id]
	backend.ejected = false
	backend.enteredAt = now
	backend.resetOutcomes(now)
	c.logf(id, "readmitted, health check passed %v, after %d s", healthChecked, backend.backoff/second)
}
