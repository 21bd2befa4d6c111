package balancer

// Demand: how many requests a second come to each proxy, refused requests and repeats by clients among them.
//
// Inputs are counts with the time that each covers (microseconds), a line a proxy and class. A rate stands until its
// proxy's next line, and over hundreds of small proxies, with no line in most intervals, the sum of rates lies too high:
// it is corrected to what was counted at all of them together.

const (
	// minDemandCorrection bounds the correction: rates stand too high by less than this.
	minDemandCorrection = 0.5
	// reportSpanSmoothing is how many report lines the mean of their spans goes over.
	reportSpanSmoothing = 64
)

// updateRate weighs a count with the time that it covers, as a proxy that gets little has no line in most intervals.
func (c *Controller) updateRate(rate *float64, count int, span Microseconds) {
	*rate += (float64(count)*float64(second) - *rate*float64(span)) / float64(c.telemetry.ReportInterval+span)
}

// noteReportSpan follows how long report lines cover of late: what they describe is as old.
func (c *Controller) noteReportSpan(span Microseconds) {
	c.reportSpan += (float64(span) - c.reportSpan) / reportSpanSmoothing
}

// reportsAreOld tells whether report lines cover more than the longest deadline: the requests that they describe are
// all over.
func (c *Controller) reportsAreOld() bool { return c.reportSpan > c.admission.longestDeadline }

// classDemand is what comes to each connected proxy, and in all, in requests a second. That of our shards is spread
// evenly over the proxies.
func (c *Controller) classDemand(class int) (rates []float64, total RequestsPerSecond) {
	for _, proxy := range c.proxies {
		if !proxy.connected {
			continue
		}
		rate := 0.
		if !c.sharding.enabled() {
			rate = proxy.demand[class] * c.admission.demandCorrection[class]
		}
		rates = append(rates, rate)
	}
	for _, shard := range c.sharding.shards {
		if !shard.assigned {
			continue
		}
		for i := range rates {
			rates[i] += shard.demand[class] / float64(len(rates))
		}
	}
	for _, rate := range rates {
		total += rate
	}
	return rates, total
}

// totalDemand is what comes to all classes, in units a second.
func (c *Controller) totalDemand() (units float64) {
	for class := range c.classes {
		_, total := c.classDemand(class)
		units += total * c.admission.unitsPerRequest[class]
	}
	return units
}

// correctDemand moves the correction of a class half way to what was counted since the last evaluation, seconds ago.
func (a *admissionState) correctDemand(class int, total RequestsPerSecond, seconds float64) {
	if a.countedRequests[class] <= 0 || total <= 0 {
		return
	}
	correction := a.demandCorrection[class] * (1 + a.countedRequests[class]/seconds/total) / 2
	a.demandCorrection[class] = max(minDemandCorrection, min(1, correction))
	a.countedRequests[class] = 0
}
