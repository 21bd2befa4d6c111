package balancer

// Demand: the requests per second that arrive at each proxy, including refused requests and repeats
// by clients.
//
// Inputs are request counts, one report line per proxy and class, each with the time that it covers
// (microseconds). A rate remains valid until the next line from its proxy. With hundreds of small
// proxies, which have no report line in most intervals, the sum of the rates is too high: it is
// corrected to the number of requests counted at all proxies together.

const (
	// minDemandCorrection is the lowest factor by which the sum of the rates is corrected. The error
	// of the sum never requires a lower factor.
	minDemandCorrection = 0.5
	// reportSpanSmoothing is the number of report lines over which the mean time that a line covers
	// is smoothed.
	reportSpanSmoothing = 64
)

// updateRate moves a rate towards a count, weighted by the time that the count covers, because a
// proxy with little demand has no report line in most intervals.
func (c *Controller) updateRate(rate *float64, count int, span Microseconds) {
	*rate += (float64(count)*float64(second) - *rate*float64(span)) / float64(c.telemetry.ReportInterval+span)
}

// updateReportSpan updates the mean time that recent report lines cover. This mean serves as the
// age of the requests that a report line describes.
func (c *Controller) updateReportSpan(span Microseconds) {
	c.reportSpan += (float64(span) - c.reportSpan) / reportSpanSmoothing
}

// reportsAreOld reports whether report lines cover more than the longest deadline, so that all
// requests that they describe have ended.
func (c *Controller) reportsAreOld() bool { return c.reportSpan > c.admission.longestDeadline }

// classDemand returns the demand of a class at each connected proxy, and its total, in requests per
// second. The demand of the shards assigned to this controller is spread evenly over the proxies.
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

// totalDemand returns the demand of all classes together, in units per second.
func (c *Controller) totalDemand() (units float64) {
	for class := range c.classes {
		_, total := c.classDemand(class)
		units += total * c.admission.unitsPerRequest[class]
	}
	return units
}

// correctDemand moves the demand correction of a class half way to the factor that the requests
// counted since the last evaluation imply. The total is the corrected sum of the rates of the
// class, and the last evaluation was the given number of seconds ago.
func (a *admissionState) correctDemand(class int, total RequestsPerSecond, seconds float64) {
	if a.countedRequests[class] <= 0 || total <= 0 {
		return
	}
	correction := a.demandCorrection[class] * (1 + a.countedRequests[class]/seconds/total) / 2
	a.demandCorrection[class] = max(minDemandCorrection, min(1, correction))
	a.countedRequests[class] = 0
}
