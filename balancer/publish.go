package balancer

import (
	"cmp"
	"math"
	"slices"
)

// publish lays what differs from the standing tables. What rules need goes at once, the rest keeps the pace.
func (c *Controller) publishChanges(now int64, ordinary bool) {
	bare := !slices.ContainsFunc(c.backends, func(b *backendState) bool { return b.published > 0 })
	must := func(b *backendState, want float64) bool {
		return want < b.published && (c.warmingUp(b, now) || c.mustLeave(b)) || want > 0 && bare
	}
	header, strange, joined, need := c.queue.messageOverhead(), 0., 0., 0.
	c.remainingGrace = c.drainGraceLeft()
	c.reserveForTables(now, map[int]float64{})
	bound, kept := make([]float64, c.subsets), make([]float64, c.subsets)
	for _, p := range c.proxies {
		bound[p.subset] += float64(count(p.assigned))
		kept[p.subset] += float64(count(p.assigned && (p.withdrawalsCleared || p.heldWithdrawals > 0)))
		joined += float64(count(p.connected))
		strange += float64(count(p.connected && (!p.assigned || c.sharding.enabled())))
	}
	// What a line costs: the proxies of its part hear of it, each in one message with all that goes to it now.
	charge := func(b *backendState, told []bool) float64 {
		fresh := float64(count(!told[b.subset]))
		return bound[b.subset]*(1+header*fresh) + kept[b.subset]*float64(count(b.published == 0))
	}
	due, told := slices.ContainsFunc(c.admission.priorityOrder, c.admission.limitChanged), make([]bool, c.subsets)
	weights, fair := c.subsetTargetWeights(now)
	for part, w := range weights {
		if w < shortSubsetShare*fair {
			need, told[part] = need+1+bound[part]*header, true
		}
	}
	outs, table := 0., header+float64(len(c.backends)/c.subsets)
	for _, b := range c.backends {
		due = due || c.targetWeight(b, now) != b.published
		if must(b, c.targetWeight(b, now)) {
			need, told[b.subset] = need+max(charge(b, told), 1), true
		}
		outs += float64(count(b.withdrawn != c.mustLeave(b)))
	}
	bind := strange > 0 && !c.sharding.enabled() && c.tablesSuffice(table, header+outs, int(strange))
	if !bind {
		need += outs + strange*min(1, outs)*(header+outs)
	}
	if c.admission.cutPending { // all let in meanwhile adds to a queue
		need += (header + 1) * joined
	}
	goes := (ordinary || need > 0) && c.queue.mayPublish(c.proxies, now, c.changedAt, c.remainingGrace, need)
	c.queueCongested = !goes && (ordinary && due && c.queue.queuedLines > c.queue.capacity()/8 || // binds wait
		need > 0 && c.queue.queuedLines+need > c.queue.capacity())
	if goes {
		laid, left, order := false, false, []*backendState(nil)
		stood, lost := 0., 0.
		for _, b := range c.backends {
			stood += b.publishedCapacity()
		}
		// Where the channel is short, lines go where they change most; those of a part share its messages.
		gap := func(b *backendState) float64 { return math.Abs(c.targetWeight(b, now) - b.published) }
		gaps := make([]float64, c.subsets)
		for _, b := range c.backends {
			if c.targetWeight(b, now) != b.published {
				order, gaps[b.subset] = append(order, b), gaps[b.subset]+gap(b)
			}
		}
		slices.SortStableFunc(order, func(x, y *backendState) int {
			return cmp.Or(cmp.Compare(gaps[y.subset], gaps[x.subset]), x.subset-y.subset, cmp.Compare(gap(y), gap(x)))
		})
		clear(told)
		for _, first := range []bool{true, false} {
			for _, b := range order {
				want := c.targetWeight(b, now)
				if want == b.published || must(b, want) != first {
					continue
				}
				if cost := charge(b, told); !c.queue.hasCapacity(cost, first) || !first && c.queue.wouldDelayTables(cost) {
					left = true
					continue
				}
				if b.State != Ready || c.warmingUp(b, now) { // a withdrawal tells of our own proxies only
					lost += max(0, b.published-want) / cmp.Or(b.reducedTo, 1)
				}
				c.setPublished(b, want)
				laid, told[b.subset], bare = true, true, bare && want == 0
			}
		}
		laid = c.rebalanceSubsets(now, weights, fair, bound) || laid
		fresh := header + float64(len(c.classes))
		for i, b := range c.backends { // proxies that still hold tables of others stay off these as well
			// Once their line is gone, as long as it stands a withdrawal costs one to each bound proxy too.
			out := c.mustLeave(b) && b.published == 0
			if out != b.withdrawn && !bind && c.queue.hasCapacity(strange*(1+fresh), true) {
				b.withdrawn, fresh = out, 0
				c.host.Withdraw(i, out)
				c.chargeEach(1, func(p *proxyState) bool {
					p.heldWithdrawals += float64(count(!p.assigned))
					return !p.assigned || c.sharding.enabled()
				})
			}
		}
		c.limitAheadOfReports(now, stood, lost)
		if c.admission.cutPending = false; c.publishLimits() || laid {
			c.publishedAt = now * int64(count(!left)) // the rest goes as soon as there is room
		}
	}
	c.reconcileShards(now)
	c.syncProxies(now)
}

func (c *Controller) setPublished(b *backendState, weight float64) {
	entering := b.published == 0
	if b.published = weight; c.sharding.enabled() {
		return // the owner of a slice is its table
	}
	for table := range c.subsets + b.Zone + 1 {
		if c.inTable(b, table) {
			c.publishEntry(b, table, weight, entering)
		}
	}
}

func (c *Controller) publishEntry(b *backendState, table int, weight float64, entering bool) {
	uses := func(p *proxyState) bool { return p.assigned && (table == p.subset || table == c.subsets+p.zone) }
	c.host.PublishEntry(table, b.Backend, weight)
	c.chargeEach(1, uses)
	c.chargeEach(1, func(p *proxyState) bool {
		return entering && (p.withdrawalsCleared || p.heldWithdrawals > 0) && uses(p)
	})
}
