package balancer

// Events that report what happened: outcomes of attempts at backends, results of health checks, and
// demand at proxies.

// OutcomesReported handles the outcomes of attempts that this controller's proxies made at a
// backend. outlier.go states which reports count.
func (c *Controller) OutcomesReported(report OutcomeReport) {
	if report.Backend >= len(c.backends) || report.Attempts <= 0 {
		return
	}
	now := c.host.Now()
	backend := c.backends[report.Backend]
	c.newAttempts += report.Attempts
	coversFrom, counts := c.reportCoverage(backend, report.Span, now)
	if !counts {
		return
	}
	backend.ownOutcomes = append(backend.ownOutcomes, outcomeSample{
		receivedAt: now,
		coversFrom: coversFrom,
		answerTime: report.MeanAnswerTime * int64(report.Attempts-report.Failures),
		attempts:   report.Attempts,
		failures:   report.Failures,
	})
	if report.Load.hasQueueFigures() {
		backend.load = report.Load
	}
	backend.updateConsecutiveFailures(report.Attempts, report.Failures, now)
}

// PeerOutcomesReported handles the outcomes of attempts that proxies of another controller made at
// a backend. They count if this controller's proxies reported no attempts there, or no answered
// attempt either (outlier.go). The backoff is that of the other controller's ejection of the
// backend, or 0 if the backend is not ejected there.
func (c *Controller) PeerOutcomesReported(id, attempts, failures int, mean, backoff Microseconds) {
	if id >= len(c.backends) || attempts <= 0 {
		return
	}
	now := c.host.Now()
	backend := c.backends[id]
	backend.peerOutcomes = append(backend.peerOutcomes, outcomeSample{
		receivedAt: now,
		coversFrom: now,
		answerTime: mean * int64(attempts-failures),
		attempts:   attempts,
		failures:   failures,
	})
	backend.sumOutcomes(now)
	if !backend.countsPeerFailures(attempts, failures) {
		return
	}
	backend.updateConsecutiveFailures(attempts, failures, now)
	backend.adoptPeerBackoff(backoff)
	if backend.consecutiveFailures >= consecutiveFailuresToEject {
		c.detectOutliers(now)
	}
}

// HealthCheckCompleted handles the result of a health check. A passed check may show little more
// than that the backend's process runs.
func (c *Controller) HealthCheckCompleted(id int, result HealthCheckResult) {
	if id < len(c.backends) && result == HealthCheckPassed && c.backends[id].ejected {
		c.readmit(id, c.host.Now(), true)
	}
}

// DemandReported handles a count of the requests of a class that reached a proxy within a span of
// time, including refused requests and retries by clients.
func (c *Controller) DemandReported(id, class, count int, span Microseconds) {
	proxy := c.proxies[id]
	if !proxy.connected || span <= 0 {
		return
	}
	c.updateRate(&proxy.demand[class], count, span)
	c.admission.countedRequests[class] += float64(count)
	c.updateReportSpan(span)
}
