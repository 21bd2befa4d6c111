package balancer

// Shards: keys may fall into shards, and each shard in our charge has one backend as its owner, which is the only entry
// of its table. An owner stays until it cannot serve: backends would lose what they know of their keys. Its successor is
// the backend with the least to do for its weight.
//
// Where a shard has a single owner, writes to it are stopped (fenced) as it moves, until each proxy has acknowledged
// that, or was lost for as long as it goes on writing, and the writes that it had sent are settled. Reads go on at the
// new owner where proxies heed limits.
//
// Inputs are target weights (weight.go), demand by shard (requests a second), acks, and Sharding.WriteLease and SettleTime
// (microseconds).

const (
	// fencePending is the fence of a shard whose writes must stop, or must be stopped again.
	fencePending = -1
	// ownerChangeLines is what an owner's change costs each proxy, in lines.
	ownerChangeLines Lines = 2
	// shardReserveShare is the share of the backlog that must be free for an owner to change.
	shardReserveShare = 1. / 4
	noOwner           = -1
)

// shardingState is what we hold of the shards in our charge.
type shardingState struct {
	Sharding
	shards       []shardState
	writeClasses uint16
}

type shardState struct {
	assignedToUs bool         // to us
	owner        int          // a backend, or noOwner
	demand       []float64    // requests a second, by class
	fence        int64        // number of the push batch that stopped writes; 0 if they go on, or fencePending
	settledAt    Microseconds // when the former owner has no writes in hand; 0 while some proxy may still send it one
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

// repeatFences has a proxy that connected notified which writes are stopped: it reads only owners from the store.
func (s *shardingState) repeatFences() {
	for id := range s.shards {
		if s.shards[id].fence > 0 {
			s.shards[id].fence = fencePending
		}
	}
}

// ShardAssigned gives a shard into our charge.
func (c *Controller) ShardAssigned(id int) {
	c.sharding.shards[id] = shardState{assignedToUs: true, owner: noOwner, demand: make([]float64, len(c.classes))}
	// Whoever had it may have been moving it, and a former owner have writes in hand; not if we all just started.
	justStarted := c.admission.meanObjective <= 0
	if c.sharding.SingleOwner && !justStarted {
		c.sharding.shards[id].fence = fencePending
	}
}

// ShardRevoked takes a shard out of our charge.
func (c *Controller) ShardRevoked(id int) { c.sharding.shards[id] = shardState{} }

// ShardOwnerStored is an owner of a shard that the store of shards names; proxies read that within moments.
func (c *Controller) ShardOwnerStored(id, backend int, weight float64) {
	shard := &c.sharding.shards[id]
	if shard.assignedToUs && weight > 0 {
		shard.owner = backend
		c.reconcileShards(c.host.Now())
	}
}

// ShardDemandReported is how many requests of a class came to a shard within a span.
func (c *Controller) ShardDemandReported(id, class, count int, span Microseconds) {
	shard := &c.sharding.shards[id]
	if shard.assignedToUs && span > 0 {
		c.updateRate(&shard.demand[class], count, span)
	}
}

// reconcileShards lets writes go on where a move has settled, and gives shards owners that can serve them.
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

// changeOwner gives a shard to a backend, with writes stopped if two must not have it.
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

// fenceWrites stops writes to a shard until its move has settled. Where proxies heed no limits it is left without an
// owner, so that reads stop too.
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

// liftFence lets writes to a shard go on at its owner.
func (c *Controller) liftFence(id int) {
	shard := &c.sharding.shards[id]
	shard.fence = 0
	c.host.PublishEntry(id, shard.owner, 1)
	c.host.SetAdmissionLimit(id, c.sharding.writeClasses, noLimit, RetryIfNotExecuted)
	c.chargeAll(ownerChangeLines)
}

// migrationSettled tells whether no write can be in hand at the former owner of a shard whose writes are stopped.
func (c *Controller) migrationSettled(shard *shardState, now Microseconds) bool {
	for _, proxy := range c.proxies {
		notTold := proxy.connected && proxy.acknowledged < shard.fence
		lostLately := proxy.disconnectedAt > 0 && now-proxy.disconnectedAt < c.sharding.WriteLease
		if notTold || lostLately {
			shard.settledAt = 0
			return false
		}
	}
	if shard.settledAt == 0 {
		shard.settledAt = now + c.sharding.SettleTime
	}
	return now >= shard.settledAt
}

// chooseOwner is the backend that a shard should go to, or noOwner where it may stay or nobody can serve it.
func (c *Controller) chooseOwner(shard *shardState, now Microseconds) int {
	if !shard.assignedToUs {
		return noOwner
	}
	hasOwner := shard.owner >= 0 && shard.owner < len(c.backends)
	if hasOwner && c.targetWeight(c.backends[shard.owner], now) > 0 {
		return noOwner
	}
	load := c.ownerLoads()
	best, least := noOwner, 0.
	for id, backend := range c.backends {
		weight := c.targetWeight(backend, now)
		if weight > 0 && (best == noOwner || load[id]/weight < least) {
			best, least = id, load[id]/weight
		}
	}
	return best
}

// ownerLoads is what each backend has to do for the shards that it owns: a unit a shard, and their demand in units a
// second.
func (c *Controller) ownerLoads() []float64 {
	load := make([]float64, len(c.backends))
	for _, shard := range c.sharding.shards {
		if !shard.assignedToUs || shard.owner < 0 || shard.owner >= len(load) {
			continue
		}
		load[shard.owner]++
		for class, rate := range shard.demand {
			load[shard.owner] += rate * c.admission.unitsPerRequest[class]
		}
	}
	return load
}
