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

// connectedDemand holds the demand of the connected proxies, in requests per second.
type connectedDemand struct {
	proxies []*proxyState
	rates   [][]float64 // by class, then in the order of proxies
	totals  []float64   // by class
}

// connectedDemand returns the demand of each class at each connected proxy.
func (c *Controller) connectedDemand() (demand connectedDemand) {
	for _, proxy := range c.proxies {
		if proxy.connected {
			demand.proxies = append(demand.proxies, proxy)
		}
	}
	for class := range c.classes {
		rates, total := c.classDemand(class)
		demand.rates = append(demand.rates, rates)
		demand.totals = append(demand.totals, total)
	}
	return demand
}

// ofClass returns the demand of a class at each proxy.
func (demand connectedDemand) ofClass(class int) []float64 { return demand.rates[class] }

// ofClassInZone returns the demand of a class at each proxy of a zone.
func (demand connectedDemand) ofClassInZone(class, zone int) (rates []float64) {
	for i, proxy := range demand.proxies {
		if proxy.zone == zone {
			rates = append(rates, demand.rates[class][i])
		}
	}
	return rates
}

// sumDemand sums the demand that is offered to a scope, and the part of it that the published limits
// admit, and returns the admitted demand of the scope's proxies in requests per second.
func (c *Controller) sumDemand(
	scope *admissionScope, demand connectedDemand, load *loadSummary,
) (requests RequestsPerSecond) {
	sharedShare := c.sharedShareOf(scope)
	zonesWithEntries := c.zonesWithEntries()
	for class := range c.classes {
		units := c.admission.unitsPerRequest[class]
		share, byZone := 1., c.limitedByZone(class)
		if !byZone {
			share = sharedShare
		}
		for i, rate := range demand.rates[class] {
			proxy := demand.proxies[i]
			if byZone && !c.countsIn(scope, proxy, zonesWithEntries) {
				continue
			}
			load.offered += rate * units * share
			admitted := c.admittedRate(proxy, class, rate) * share
			requests += admitted
			load.admitted += admitted * units
		}
	}
	return requests
}

// countsIn reports whether a proxy's requests of zone-local classes count in the demand of a scope.
// They do not count in that of the fleet while the proxy's zone has no entry, because no backend
// gets them.
func (c *Controller) countsIn(scope *admissionScope, proxy *proxyState, zonesWithEntries []bool) bool {
	if scope.zone == entireFleet {
		return zonesWithEntries[proxy.zone]
	}
	return scope.includes(proxy.zone)
}

// zonesWithEntries reports for each zone whether its table has an entry.
func (c *Controller) zonesWithEntries() []bool {
	zones := make([]bool, len(c.admission.zones))
	for _, backend := range c.backends {
		if backend.Zone < len(zones) && backend.published.zone > 0 {
			zones[backend.Zone] = true
		}
	}
	return zones
}

// offeredDemand returns the demand that is offered to a scope, in units per second.
func (c *Controller) offeredDemand(scope *admissionScope) float64 {
	var load loadSummary
	demand := c.connectedDemand()
	if scope.zone != entireFleet || len(c.admission.zones) > 0 {
		c.sumDemand(scope, demand, &load)
		return load.offered
	}
	for class, total := range demand.totals {
		load.offered += total * c.admission.unitsPerRequest[class]
	}
	return load.offered
}

// sharedShareOf returns the share of the shared classes' requests that the backends of a scope get.
func (c *Controller) sharedShareOf(scope *admissionScope) float64 {
	if scope.zone == entireFleet {
		return 1
	}
	inScope, total := 0., 0.
	for _, backend := range c.backends {
		total += backend.published.subset
		if scope.includes(backend.Zone) {
			inScope += backend.published.subset
		}
	}
	if total == 0 {
		return 0
	}
	return inScope / total
}

// correctDemand corrects the demand of each class to the requests that were counted since the last
// evaluation.
func (c *Controller) correctDemand(demand connectedDemand, now Microseconds) {
	for class, total := range demand.totals {
		c.admission.correctDemand(class, total, float64(now-c.evaluatedAt)/float64(second))
	}
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
