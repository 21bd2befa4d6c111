package balancer

func (c *Controller) summarizeLoad(now int64) (r loadSummary) {
	a := &c.admission
	var means []float64
	tries, answers, took, ours, told, requests := 0, 0, 0., 0., 0., 0.
	for _, p := range c.proxies { // of those that just joined the reports are still to come
		ours += p.baselineRate
		told += p.baselineRate * max(0, min(1, float64(now-p.connectedAt-c.telemetry.ReportInterval)/float64(now-c.evaluatedAt)))
	}
	for _, b := range c.backends {
		r.publishedCapacity += b.publishedCapacity() * ours
		if b.attempts > 0 && !b.reportedByPeersOnly { // where reports are few, one look hears of a part of the fleet
			r.recentCapacity += b.publishedCapacity() * told
		}
		answered, failed, late := 0, 0, 0.
		for _, s := range b.ownOutcomes {
			if s.receivedAt > c.evaluatedAt {
				answered, failed, late = answered+s.attempts-s.failures, failed+s.failures, late+float64(s.answerTime)
			}
		}
		if answered == 0 {
			r.deadCapacity += b.publishedCapacity() * ours * float64(count(failed > 0))
			continue
		}
		mean := late / float64(answered)
		means = append(means, mean)
		tries, took = tries+answered, took+late
		// One that lags far behind the median says how slow things are, but not what a weight can do.
		if b.published > 0 && b.score < laggingScore {
			answers, r.reportedCapacity = answers+answered, r.reportedCapacity+b.publishedCapacity()*told
		}
		// Failures of one that answers late are time-outs in its queue; others, like lost answers or connections
		// that it does not take, are none.
		if mean > overloadedRatio*a.meanObjective {
			tries, took = tries+failed, took+float64(failed)*a.longestDeadline/2
		} else {
			answers += failed
		}
	}
	for class := range c.classes {
		rates, total := c.classDemand(class)
		a.correctDemand(class, total, float64(now-c.evaluatedAt)/float64(second))
		for _, rate := range rates {
			r.offered += rate * a.unitsPerRequest[class]
			if a.published[class] > 0 && a.mode == AdmissionByRate {
				rate = min(rate, a.published[class])
			} else if a.published[class] > 0 {
				rate *= a.published[class]
			}
			requests += rate
			r.admitted += rate * a.unitsPerRequest[class]
		}
	}
	if tries > 0 && requests > 0 {
		a.meanObjective = r.admitted / requests * float64(second)
		r.latencyRatio, r.medianRatio = took/float64(tries)/a.meanObjective, median(means, 0)/a.meanObjective
		// Reports that a stall of ours held back come together, and are counted over the whole time.
		r.answered = float64(answers) / float64(now-c.evaluatedAt) * a.meanObjective
	}
	return r
}

// idle tells whether the backends say themselves that it is not they who are slow: proxies stand still, then.
func (c *Controller) backendsIdle(mean float64) bool {
	n, idle := 0, 0
	for _, b := range c.backends {
		if b.published > 0 && b.lastAnswerAt > c.evaluatedAt && b.load != (BackendLoad{}) {
			n, idle = n+1, idle+count(b.load.reportsIdle(mean))
		}
	}
	return 2*idle > n
}

func (l BackendLoad) reportsIdle(mean float64) bool {
	light := l.QueueLength >= 0 && l.QueueLength < idleUtilization && l.ServiceTime < idleServiceShare*mean
	return l != (BackendLoad{}) && (light || l.CPUUtilization >= 0 && l.CPUUtilization < idleUtilization)
}

// reading is what the reports since the last look say.
type loadSummary struct {
	latencyRatio, medianRatio                         float64 // of all answers, and that of the median backend
	offered, admitted, answered                       float64 // units a second, at all, past the levels, and by backends that keep up
	recentCapacity                                    float64 // weight in lines that was heard of within the reply timeout, as heard is
	publishedCapacity, reportedCapacity, deadCapacity float64 // weight in lines, that keeps up, that answers nothing, times ordinary traffic
}
