package balancer

import (
	"cmp"
)

// share is the part of its listed weight that a backend may carry now.
func (c *Controller) weightShare(b *backendState, now int64) float64 {
	part := cmp.Or(b.reducedTo, 1)
	if !c.warmingUp(b, b.enteredAt) && now-b.enteredAt < slowStartTime { // a cold one is eased in below
		part = min(part, slowStartShare)
	}
	// Rule 4: a cold backend is sent what it surely can do. Steps of a quarter keep the orders few.
	if c.warmingUp(b, now) {
		sure := c.rules.ColdStartShare + (1-c.rules.ColdStartShare)*float64(now-b.StartedAt)/float64(c.rules.WarmupTime)
		part = min(part, max(float64(int(sure*4))/4, c.rules.ColdStartShare))
	}
	return part
}

// cold: one that is to start within as long is so too, as clocks may differ by that.
func (c *Controller) warmingUp(b *backendState, now int64) bool {
	return b.StartedAt > 0 && max(now-b.StartedAt, b.StartedAt-now) < c.rules.WarmupTime
}

func (c *Controller) targetWeight(b *backendState, now int64) float64 {
	// Where proxies heed no levels, or we may have started in a jam, only absence keeps it from a cold one.
	blind := c.admission.mode == AdmissionUnsupported && c.admission.latencyRatio > overloadedRatio || c.admission.meanObjective == 0 && c.warmBackendSeen
	out := blind && c.warmingUp(b, now)
	if !c.usable(b, now) || b.ejected && !c.panicMode || out {
		return 0
	}
	return b.Weight * c.weightShare(b, now)
}

// strain takes weight off a backend at which alone a queue must stand; hurts where times differ by nature.
func (c *Controller) reduceWeight(id int, now int64) {
	b := c.backends[id]
	if b.reducedTo == 0 {
		c.logf(id, "strained: answers take %.1f times the median", b.score)
	}
	b.reducedTo = max(cmp.Or(b.reducedTo, 1)*weightReductionFactor, slowStartShare)
	b.weightReducedAt, b.raiseWeightAt = now, now+2*baseEjectionTime
}
