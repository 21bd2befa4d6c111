package balancer

// judge scores every backend and settles which leave R.
func (c *Controller) detectOutliers(now int64) {
	var shares, means []float64
	listed, away := 0., 0.
	for _, b := range c.backends {
		b.sumOutcomes(now)
		if !c.usable(b, now) {
			continue
		}
		listed += b.Weight
		if b.ejected {
			away += b.Weight
		} else if b.meanAnswerTime > 0 {
			shares, means = append(shares, b.successRate()), append(means, b.meanAnswerTime)
		}
	}
	usual, median := median(shares, 1), median(means, 0)
	for i, b := range c.backends {
		if !c.usable(b, now) || b.ejected {
			continue
		}
		if b.score = 1; b.meanAnswerTime > 0 && median > 0 {
			b.score = b.meanAnswerTime / median
		}
		lags := b.meanAnswerTime >= overloadedRatio*c.admission.meanObjective && b.score >= laggingScore && b.attempts >= minAttemptsToEject/2 &&
			!b.load.reportsIdle(b.meanAnswerTime) && !b.reportedByPeersOnly
		switch {
		// Silence counts only with tries, and where most answer: what is shared condemns nobody.
		case usual >= healthySuccessRate && b.consecutiveFailures >= consecutiveFailuresToEject,
			lags && b.reducedTo > 0 && b.reducedTo <= slowStartShare: // it can do nothing even with the least weight
			away = c.eject(i, now, away, maxEjectedShare*listed)
		// One that answers, but late, has a queue: if others fare far better it loses part of its weight.
		case lags:
			c.reduceWeight(i, now)
		case b.attempts >= minAttemptsToEject && usual >= healthySuccessRate && b.successRate() < usual/2:
			away = c.eject(i, now, away, maxEjectedShare*listed)
		}
	}
}

// leave takes a backend out of R unless too much is away: a mistake must not put the load of many on a few.
func (c *Controller) eject(id int, now int64, away, most float64) float64 {
	b := c.backends[id]
	b.score = -1
	if away+b.Weight > most && b.State != Removed {
		return away
	}
	b.backoff = max(baseEjectionTime, min(2*b.backoff, maxEjectionTime))
	b.ejected, b.ejectedByPeerReport, b.readmitAt, b.healthCheckedAt = true, b.reportedByPeersOnly, now+b.backoff, now
	c.logf(id, "leaves R: %d of %d tries failed, %d s", b.failures, b.attempts, b.backoff/second)
	return away + b.Weight
}

// returns brings backends back after their time, or probes them. R empty: B random ones, which is all.
func (c *Controller) readmitDue(now int64) {
	r, usable := 0, 0
	for i, b := range c.backends {
		if b.ejected && now >= b.readmitAt {
			c.readmit(i, now, false)
		} else if b.ejected && c.telemetry.HealthChecksAllowed && now-b.healthCheckedAt >= b.backoff/3 {
			b.healthCheckedAt = now
			c.host.CheckHealth(i)
		}
		if b.reducedTo > 0 && now >= b.raiseWeightAt {
			b.raiseWeightAt = now + 2*baseEjectionTime
			if b.reducedTo /= weightReductionFactor; b.reducedTo > 1-limitTolerance {
				b.reducedTo = 0
			}
		}
		usable += count(c.usable(b, now))
		r += count(c.usable(b, now) && !b.ejected)
	}
	if empty := r == 0 && usable > 0; empty != c.panicMode {
		c.panicMode = empty
		c.logf(-1, "R empty: %v, %d backends usable", empty, usable)
	}
}

func (c *Controller) readmit(id int, now int64, probed bool) {
	b := c.backends[id]
	b.ejected, b.enteredAt = false, now
	b.resetOutcomes(now)
	c.logf(id, "returns to R, probed %v, after %d s", probed, b.backoff/second)
}
