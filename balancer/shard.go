package balancer

// Shards: keys may be divided into shards. Each shard assigned to this controller has one backend
// as its owner, which is the only entry of the shard's table. An owner stays until it cannot serve
// the shard, since a change of owner discards the data that the backend holds for the shard's keys.
// Its successor is the backend with the least load relative to its weight.
//
// If shards have a single owner (Sharding.SingleOwner), writes to a shard are stopped (fenced)
// while the shard moves. Writes continue once each proxy has acknowledged the fence, or has been
// disconnected for as long as a disconnected proxy goes on writing (Sharding.WriteLease), and the
// writes that proxies sent before have settled (Sharding.SettleTime). Reads continue at the new
// owner if proxies support limits.
//
// Inputs are target weights (weight.go), demand by shard (requests per second), acks, and
// Sharding.WriteLease and SettleTime (microseconds).

const (
	// fencePending is the value of shardState.fence while writes to the shard have yet to be
	// stopped, or to be stopped again.
	fencePending = -1
	// ownerChangeLines is the cost at each proxy, in lines of the push channel, of notifying the
	// proxy of a change of a shard's owner, of a fence, or of the end of a fence.
	ownerChangeLines Lines = 2
	// shardReserveShare is the share of the backlog that must be free for a change of a shard's
	// owner, unless the push queue is nearly empty (mayPublish).
	shardReserveShare = 1. / 4
	// noOwner is used instead of a backend's index where a shard has no owner.
	noOwner = -1
)

// shardingState holds the state of all shards.
type shardingState struct {
	Sharding
	shards       []shardState
	writeClasses uint16 // set of the classes with Class.Writes: bit i is class i
}

// shardState holds the state of one shard. It is the zero value unless the shard is assigned to
// this controller.
type shardState struct {
	assigned bool      // the shard is assigned to this controller
	owner    int       // index of the backend that owns the shard, or noOwner
	demand   []float64 // requests per second for the shard, by class
	fence    int64     // number of the push batch that stopped writes; 0 if writes are allowed, or fencePending
	// settledAt is the time at which the former owner's writes have settled; 0 while a proxy may
	// still send writes to the former owner.
	settledAt Microseconds
}

func newShardingState(config Sharding, classes []Class) shardingState {
	sharding := shardingState{Sharding: config, shards: make([]shardState, config.Count)}
	for i, class := range classes {
		if class.Writes {
			sharding.writeClasses |= 1 << i
		}
	}
	return sharding
}

func (s *shardingState) enabled() bool { return len(s.shards) > 0 }

// repeatFences makes all fenced shards be fenced again after a proxy has connected. The proxy reads
// owners from the store of shards, which has no fences, so the proxy has to be notified of the
// fences.
func (s *shardingState) repeatFences() {
	for id := range s.shards {
		if s.shards[id].fence > 0 {
			s.shards[id].fence = fencePending
		}
	}
}

// ShardAssigned assigns a shard to this controller.
func (c *Controller) ShardAssigned(id int) {
	c.sharding.shards[id] = shardState{assigned: true, owner: noOwner, demand: make([]float64, len(c.classes))}
	// Another controller may have been moving the shard, so that a former owner may still have
	// writes in progress. A controller that has evaluated no reports yet assumes instead that all
	// controllers have just started, and that no shard is moving.
	justStarted := c.admission.meanObjective <= 0
	if c.sharding.SingleOwner && !justStarted {
		c.sharding.shards[id].fence = fencePending
	}
}

// ShardRevoked takes a shard away from this controller.
func (c *Controller) ShardRevoked(id int) { c.sharding.shards[id] = shardState{} }

// ShardOwnerStored handles an owner of a shard that was read from the store of shards. Proxies read
// the same owner from the store within moments.
func (c *Controller) ShardOwnerStored(id, backend int, weight float64) {
	shard := &c.sharding.shards[id]
	if shard.assigned && weight > 0 {
		shard.owner = backend
		c.reconcileShards(c.host.Now())
	}
}

// ShardDemandReported handles a count of the requests of a class for a shard within a span of time.
func (c *Controller) ShardDemandReported(id, class, count int, span Microseconds) {
	shard := &c.sharding.shards[id]
	if shard.assigned && span > 0 {
		c.updateRate(&shard.demand[class], count, span)
	}
}

// reconcileShards lifts the fences of shards whose move has settled, and moves shards to backends
// that can serve them.
func (c *Controller) reconcileShards(now Microseconds) {
	for id := range c.sharding.shards {
		shard := &c.sharding.shards[id]
		if shard.fence > 0 && c.migrationSettled(shard, now) {
			c.liftFence(id)
		}
		owner := c.chooseOwner(shard, now)
		if owner == noOwner && shard.fence == fencePending {
			owner = shard.owner
		}
		if shard.fence > 0 || owner == noOwner || !c.mayPublish(now, c.pushQueue.Backlog*shardReserveShare) {
			continue
		}
		c.changeOwner(id, owner)
	}
}

// changeOwner moves a shard to a backend. With Sharding.SingleOwner it stops writes to the shard,
// so that no two backends are sent writes, unless the shard had no owner and no fence is pending.
func (c *Controller) changeOwner(id, owner int) {
	shard := &c.sharding.shards[id]
	former := shard.owner
	shard.owner = owner
	if c.sharding.SingleOwner && (former != noOwner || shard.fence == fencePending) {
		c.fenceWrites(id, former)
		return
	}
	c.host.PublishEntry(id, owner, 1)
	if former != noOwner {
		c.host.PublishEntry(id, former, 0)
	}
	c.chargeAll(ownerChangeLines)
}

// fenceWrites stops writes to a shard until its move has settled. If proxies do not support limits,
// it removes the owner's entry, which stops reads too.
func (c *Controller) fenceWrites(id, former int) {
	shard := &c.sharding.shards[id]
	if c.admission.mode != AdmissionUnsupported {
		c.host.PublishEntry(id, shard.owner, 1)
		c.host.SetAdmissionLimit(id, c.sharding.writeClasses, 0, NoRetry)
	} else if former != noOwner {
		c.host.PublishEntry(id, former, 0)
	}
	c.chargeAll(ownerChangeLines)
	shard.fence = c.pushQueue.lastNumber
	shard.settledAt = 0
}

// liftFence allows writes to a shard at its owner again.
func (c *Controller) liftFence(id int) {
	shard := &c.sharding.shards[id]
	shard.fence = 0
	c.host.PublishEntry(id, shard.owner, 1)
	c.host.SetAdmissionLimit(id, c.sharding.writeClasses, noLimit, RetryIfNotExecuted)
	c.chargeAll(ownerChangeLines)
}

// migrationSettled reports whether the former owner of a fenced shard can have no writes in
// progress.
func (c *Controller) migrationSettled(shard *shardState, now Microseconds) bool {
	for _, proxy := range c.proxies {
		unacknowledged := proxy.connected && proxy.acknowledged < shard.fence
		recentlyLost := proxy.disconnectedAt > 0 && now-proxy.disconnectedAt < c.sharding.WriteLease
		if unacknowledged || recentlyLost {
			shard.settledAt = 0
			return false
		}
	}
	if shard.settledAt == 0 {
		shard.settledAt = now + c.sharding.SettleTime
	}
	return now >= shard.settledAt
}

// chooseOwner returns the backend that a shard should move to. It returns noOwner if the shard may
// stay, or if no backend can serve it.
func (c *Controller) chooseOwner(shard *shardState, now Microseconds) int {
	if !shard.assigned {
		return noOwner
	}
	hasOwner := shard.owner >= 0 && shard.owner < len(c.backends)
	if hasOwner && c.targetWeights(c.backends[shard.owner], now).any() {
		return noOwner
	}
	load := c.ownerLoads()
	best, leastLoad := noOwner, 0.
	for id, backend := range c.backends {
		weight := c.targetWeights(backend, now).max()
		if weight > 0 && (best == noOwner || load[id]/weight < leastLoad) {
			best, leastLoad = id, load[id]/weight
		}
	}
	return best
}

// ownerLoads returns the load of each backend from the shards that it owns: one unit per shard,
// plus the shards' demand in units per second.
func (c *Controller) ownerLoads() []float64 {
	load := make([]float64, len(c.backends))
	for _, shard := range c.sharding.shards {
		if !shard.assigned || shard.owner < 0 || shard.owner >= len(load) {
			continue
		}
		load[shard.owner]++
		for class, rate := range shard.demand {
			load[shard.owner] += rate * c.admission.unitsPerRequest[class]
		}
	}
	return load
}
