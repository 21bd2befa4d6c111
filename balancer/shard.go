package balancer

func newShardingState(p Sharding, classes []Class) shardingState {
	o := shardingState{Sharding: p, shards: make([]shardState, p.Count)}
	for i, class := range classes {
		if class.Writes {
			o.writeClasses |= 1 << i
		}
	}
	return o
}

func (o *shardingState) enabled() bool { return len(o.shards) > 0 }

func (c *Controller) ShardAssigned(id int) {
	// Unless we just started: whoever had it may have been moving it, and a former owner have writes in hand.
	unsure := int64(count(c.sharding.SingleOwner && c.admission.meanObjective > 0))
	c.sharding.shards[id] = shardState{assigned: true, owner: -1, demand: make([]float64, len(c.classes)), fence: -unsure}
}

func (c *Controller) ShardRevoked(id int) { c.sharding.shards[id] = shardState{} }

func (c *Controller) ShardOwnerStored(id, backend int, weight float64) {
	if s := &c.sharding.shards[id]; s.assigned && weight > 0 {
		s.owner = backend
		c.reconcileShards(c.host.Now()) // proxies read the store within moments
	}
}

func (c *Controller) ShardDemandReported(id, class, count int, span int64) {
	if s := &c.sharding.shards[id]; s.assigned && span > 0 {
		c.updateRate(&s.demand[class], count, span)
	}
}

// tendSlices gives slices owners that can serve them. Rule 2, for single ones: writes stop as it moves until
// each proxy has said so, or was lost for as long as it would write, and what it had sent is settled.
func (c *Controller) reconcileShards(now int64) {
	o := &c.sharding
	for id := range o.shards {
		s := &o.shards[id]
		if s.fence > 0 && c.migrationSettled(s, now) {
			s.fence = 0
			c.host.PublishEntry(id, s.owner, 1)
			c.host.SetAdmissionLimit(id, o.writeClasses, unlimitedRate, RetryIfNotExecuted)
			c.chargeEach(2, func(*proxyState) bool { return true })
		}
		from, to := s.owner, c.chooseOwner(s, now)
		if to < 0 && s.fence < 0 {
			to = from
		}
		if s.fence > 0 || to < 0 || !c.queue.mayPublish(c.proxies, now, c.changedAt, c.remainingGrace, c.queue.Backlog/4) {
			continue
		}
		if s.owner = to; o.SingleOwner && (from >= 0 || s.fence < 0) {
			c.fenceWrites(id, from)
			continue
		}
		c.host.PublishEntry(id, to, 1)
		if from >= 0 {
			c.host.PublishEntry(id, from, 0)
		}
		c.chargeEach(2, func(*proxyState) bool { return true })
	}
}

// hold stops writes to a slice until its move has settled; reads go on at the new owner where levels work.
func (c *Controller) fenceWrites(id, from int) {
	s := &c.sharding.shards[id]
	if c.admission.mode == AdmissionUnsupported && from >= 0 {
		c.host.PublishEntry(id, from, 0)
	} else if c.admission.mode != AdmissionUnsupported {
		c.host.PublishEntry(id, s.owner, 1)
		c.host.SetAdmissionLimit(id, c.sharding.writeClasses, 0, NoRetry)
	}
	c.chargeEach(2, func(*proxyState) bool { return true })
	s.fence, s.settledAt = c.queue.lastNumber, 0
}

func (c *Controller) migrationSettled(s *shardState, now int64) bool {
	for _, p := range c.proxies {
		if p.connected && p.acknowledged < s.fence || p.disconnectedAt > 0 && now-p.disconnectedAt < c.sharding.WriteLease {
			s.settledAt = 0
			return false
		}
	}
	if s.settledAt == 0 {
		s.settledAt = now + c.sharding.SettleTime
	}
	return now >= s.settledAt
}

func (c *Controller) chooseOwner(s *shardState, now int64) int {
	best, least := -1, 0. // with least to do for its weight; -1 where the slice may stay
	if !s.assigned || s.owner >= 0 && s.owner < len(c.backends) && c.targetWeight(c.backends[s.owner], now) > 0 {
		return best
	}
	load := make([]float64, len(c.backends))
	for _, t := range c.sharding.shards {
		if t.assigned && t.owner >= 0 && t.owner < len(load) {
			load[t.owner]++
			for class, rate := range t.demand {
				load[t.owner] += rate * c.admission.unitsPerRequest[class]
			}
		}
	}
	for i, b := range c.backends {
		if w := c.targetWeight(b, now); w > 0 && (best < 0 || load[i]/w < least) {
			best, least = i, load[i]/w
		}
	}
	return best
}

// ownership is what we hold of the slices in our charge. A slice's table is one line, its owner.
type shardingState struct {
	Sharding
	shards       []shardState
	writeClasses uint16
}

type shardState struct {
	assigned  bool
	owner     int       // -1 for none
	demand    []float64 // requests a second, by class
	fence     int64     // the orders that stopped writes; 0 if they go on, -1 if they must stop
	settledAt int64     // when the former owner has none in hand; 0 while some proxy may still send it one
}
