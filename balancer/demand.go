package balancer

// smooth weighs a count with its span, as a proxy that gets little has no line in most periods.
func (c *Controller) updateRate(rate *float64, count int, span int64) {
	*rate += (float64(count)*float64(second) - *rate*float64(span)) / float64(c.telemetry.ReportInterval+span)
}

// trimTo follows what was counted at all proxies: a rate stands until its proxy's next line, which adds up.
func (a *admissionState) correctDemand(class int, total, seconds float64) {
	if a.counted[class] > 0 && total > 0 {
		a.demandCorrection[class] = max(minDemandCorrection, min(1, a.demandCorrection[class]*(1+a.counted[class]/seconds/total)/2))
		a.counted[class] = 0
	}
}

// demand is what comes to each joined proxy, and in all; where there are slices it is spread evenly.
func (c *Controller) classDemand(class int) (rates []float64, total float64) {
	for _, p := range c.proxies {
		if p.connected {
			rates = append(rates, p.demand[class]*float64(count(!c.sharding.enabled()))*c.admission.demandCorrection[class])
		}
	}
	for _, s := range c.sharding.shards {
		for i := 0; s.assigned && i < len(rates); i++ {
			rates[i] += s.demand[class] / float64(len(rates))
		}
	}
	for _, rate := range rates {
		total += rate
	}
	return rates, total
}
