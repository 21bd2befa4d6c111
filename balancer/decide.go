package balancer

// How to call this module: New makes a Controller from its Host, its seed and the figures it starts with
// (all in host.go); after that there is one method for each thing that can happen, and each acts by calling
// the Host. Read New, then Elapsed, publish, judge and steer; docs/design.md says why things are so.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

const (
	second = int64(1_000_000)

	// From the design page, "ours" there, so defaults.
	minPublishInterval = 2 * second  // ordinary changes go out at most this often
	scoreWindow        = 5 * second  // the span of reports that scores look at
	minAttemptsToEject = 20          // fewer tries prove no share of failures
	baseEjectionTime   = 10 * second // a withdrawn backend returns after this, doubling ...
	maxEjectionTime    = 60 * second // ... up to this
	slowStartShare     = 0.25        // new and returning backends begin with this part of the listed weight ...
	slowStartTime      = 5 * second  // ... for so long

	tickInterval               = second / 4 // how often waiting work is looked at: well under any pace
	consecutiveFailuresToEject = 5          // failures in a row that show death where others answer: proxies use as many
	tablesShareOfGrace         = 3. / 4     // part of the grace within which all that it binds is to have left the channel
	maxEjectedShare            = 3. / 4     // part of the listed weight that may leave: a cut can hide all zones but one
	healthySuccessRate         = 0.8        // a share of answers that shows a backend, or the fleet, at work
	laggingScore               = 2.0        // a score (times the median) that is no chance where a queue stands as well
	weightReductionFactor      = 0.75       // weight goes down in steps of this: twice is about the spread of rough weights

	// Levels. Heat is the mean answer time over the target latency.
	overloadedRatio      = 0.4                    // from here a queue stands nearly everywhere: its tail misses the target latency
	unloadedRatio        = 0.3                    // below this hardly anything waits
	queueFreeRatio       = 0.2                    // heat without any queue, about: target latencies leave room
	maxSaturatedGrowth   = 1.5                    // times what a jammed fleet answers at a look is the most that it can do
	sustainableShare     = 0.85                   // part of the proven throughput that fixed weights can spread without queues
	minLimitShare        = 0.3                    // a cut leaves this much: the queue is a guess, and what waits too long is dropped
	queueDrainTime       = 2 * minPublishInterval // a queue is drained within this; orders keep the pace, so not faster
	maxHeadroom          = 1.15                   // of what is answered now: a limit further ahead is none when it is needed
	raiseStep            = 0.08                   // wider below the heat of a cut, a step for each time that news takes, and ...
	fastRaiseStep        = 0.1                    // ... while most backends have no queue, three times that when none has
	idleUtilization      = 0.8                    // backends less busy, or with less waiting on average, have no queue
	idleServiceShare     = 0.67                   // part of the answer time that their service takes at most then
	implausiblyIdleRatio = 0.6                    // heat at which that is not believed: the figures may be old, or wrong
	assumedHeadroom      = 1.3                    // times what was let in without a queue is taken to be possible, until one was seen
	minDemandCorrection  = 0.5                    // rates stand too high by less than this: a proxy with no line in most periods
	minAdmittedShare     = 0.05                   // part of its demand that the least important class keeps: we go on hearing of it
	limitTolerance       = 0.05                   // levels that differ by less are one: reports are no finer
	unlimitedRate        = 1_000_000              // a rate no proxy reaches

	// Parts of the fleet, each with a table and a part of the proxies, where backends take too few connections.
	maxProxiesPerConnection = 1.6 // proxies for each connection of the smallest backend; up to there many are quiet
	minSubsetSize           = 5   // backends in a part
	// Part of what leaves in time that tables are cut to where connections ask for parts as well.
	tableShareWithSubsets = 1. / 2
	shortSubsetShare      = 0.5 // of its fair share that it has left when it is given backends of the largest part ...
	restoredSubsetShare   = 0.8 // ... until it has this much
)

// Controller decides for the proxies that are joined to it.
type Controller struct {
	host                            Host
	seed, randomDraws               uint64
	rules                           RuleLimits
	telemetry                       Telemetry
	classes                         []Class
	sharedClasses, zoneLocalClasses uint16 // classes that use the shared table, and those that use their zone's
	backends                        []*backendState
	proxies                         []*proxyState
	subsets                         int   // one is usual
	syncQueue                       []int // proxies to be bound, and then cleared, those with most traffic first
	queue                           pushQueue
	admission                       admissionState
	sharding                        shardingState

	publishedAt, changedAt, evaluatedAt, pollAt, pollBackoff int64

	newAttempts                                                int     // heard of since the last look
	reportSpan                                                 float64 // microseconds that a report covers of late: news is as old
	remainingGrace                                             int64   // what is left of it for the drain that was heard of last
	endpointsKnown, panicMode, queueCongested, warmBackendSeen bool    // warm: some backend was listed that was not cold
}

// New makes a controller that knows nothing yet: until reports come, nothing is withdrawn for being unheard.
func New(host Host, seed uint64, classes []Class, channel PushChannel, limits RuleLimits, partition Sharding,
	sight Telemetry, admit AdmissionMode) *Controller {
	c := &Controller{host: host, seed: seed, rules: limits, telemetry: sight, classes: classes,
		evaluatedAt: host.Now(), queue: pushQueue{PushChannel: channel}, admission: newAdmissionState(admit, classes),
		sharding: newShardingState(partition, classes), subsets: 1, remainingGrace: limits.DrainGrace}
	for i, class := range classes {
		c.zoneLocalClasses |= uint16(count(class.ZoneLocal)) << i
	}
	c.sharedClasses = (1<<len(classes) - 1) &^ c.zoneLocalClasses
	host.SetTimer(tickInterval, seed)
	return c
}

func (c *Controller) randomFraction() float64 {
	h := fnv.New64a()
	fmt.Fprint(h, c.seed, " ", c.randomDraws)
	c.randomDraws++
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (c *Controller) logf(id int, f string, a ...any) { c.host.Log(id, fmt.Sprintf(f, a...)) }

// TimerFired is the beat: whatever waited for time or for room in the channel is looked at again.
func (c *Controller) TimerFired(tag uint64) {
	if tag != c.seed {
		return // a timer of an earlier life
	}
	now := c.host.Now()
	c.host.SetTimer(tickInterval, c.seed)
	c.queue.expire(now)
	if c.telemetry.PollingRequired && now >= c.pollAt { // an answer, or a failure, always comes
		c.host.PollEndpoints()
		c.pollBackoff, c.pollAt = max(second/2, min(2*c.pollBackoff, c.telemetry.MaxPollInterval/4)), 1<<62
	}
	if c.newAttempts > 0 && now-c.evaluatedAt >= c.telemetry.ReportInterval {
		c.detectOutliers(now)
		c.updateAdmission(now)
		c.evaluatedAt, c.newAttempts = now, 0
	}
	c.readmitDue(now)
	c.publishChanges(now, c.admission.cutPending || now-c.publishedAt >= minPublishInterval)
}

// EndpointPollFailed asks again after a while, spread by chance so that controllers do not ask together.
func (c *Controller) EndpointPollFailed() {
	c.pollAt = c.host.Now() + int64(float64(c.pollBackoff)*(0.5+c.randomFraction()))
}

// EndpointsUpdated takes in the list: whole, or what changed.
func (c *Controller) EndpointsUpdated(whole bool, entries []Endpoint) {
	now := c.host.Now()
	c.pollBackoff = 0
	if whole && !c.endpointsKnown {
		c.chooseSubsetCount(len(entries))
	}
	seen := make([]bool, len(c.backends))
	var carried *subsetWeights // by part; summed up once, as a list of many backends would cost their square
	for _, e := range entries {
		for len(c.backends) <= e.Backend {
			c.backends, seen = append(c.backends, &backendState{}), append(seen, false)
		}
		b := c.backends[e.Backend]
		if seen[e.Backend] = true; !b.listed && c.subsets > 1 {
			if carried == nil {
				carried = c.listedSubsetWeights()
			}
			b.subset = carried.lightest(e.Zone)
		}
		carried.add(b, -1)
		b.updateEndpoint(e, now, c.endpointsKnown, c.telemetry.LoadDependentWeights)
		carried.add(b, 1)
	}
	for i, b := range c.backends {
		if whole && !seen[i] {
			b.State = Removed
		}
		c.warmBackendSeen = c.warmBackendSeen || b.State == Ready && !c.warmingUp(b, now)
	}
	c.endpointsKnown = c.endpointsKnown || whole && len(entries) > 0
	c.publishChanges(now, false)
}

// divide settles the number of parts: one, or as many as connections ask for, or more where the tables of all
// proxies, if they come to one controller, would not leave in time. One table for all is best where
// connections suffice, so then parts are no smaller than must be; else tables leave room for drains as well.
func (c *Controller) chooseSubsetCount(backends int) {
	l, proxies, parts, share := &c.queue, float64(c.queue.Proxies), 1., 1.
	if many := proxies / float64(l.MinBackendConnections); l.MinBackendConnections > 0 && many > maxProxiesPerConnection {
		parts, share = math.Ceil(many), tableShareWithSubsets
	}
	within := tablesShareOfGrace * l.linesSentIn(c.rules.DrainGrace)
	if !c.sharding.enabled() && proxies*(l.messageOverhead()+float64(backends)/parts) > within {
		parts = math.Ceil(float64(backends) / max(1, share*within/proxies-l.messageOverhead()))
	}
	c.subsets = max(1, min(int(parts), backends/minSubsetSize, l.Proxies)) // a part without a proxy serves nobody

	for id, p := range c.proxies { // those that came before the list
		p.subset = id % c.subsets
	}
}

// lightest is the part with the least listed weight, the zone's twice: a lost one takes as much of each.
func (w *subsetWeights) lightest(zone int) int {
	least := 0
	for part := range w.all {
		if w.countingTwice(part, zone) < w.countingTwice(least, zone) {
			least = part
		}
	}
	return least
}

func (b *backendState) updateEndpoint(e Endpoint, now int64, entering, live bool) {
	restarted := b.listed && e.StartedAt > b.StartedAt
	// One that kept its line while a wrong list had dropped it is neither new nor cold.
	fresh := !b.listed || restarted || b.State != Ready && b.published == 0
	if e.State == Removed || live { // the size, not the load of the moment; a gone one's line may stand on
		e.Weight = max(e.Weight, b.Weight)
	}
	if b.Endpoint, b.listed = e, true; b.Weight <= 0 {
		b.Weight = 1
	}
	if e.State != Ready {
		if e.State == Draining && e.DrainingSince > 0 {
			b.drainDelay = max(b.drainDelay, now-e.DrainingSince)
		}
		b.seenDraining = b.seenDraining || e.State == Draining
		return
	}
	if b.seenDraining, b.drainDelay = false, 0; restarted { // another process: what was heard of the old one says nothing
		b.ejected, b.backoff, b.reducedTo = false, 0, 0
	}
	if fresh {
		b.enteredAt = now * int64(count(entering))
		b.resetOutcomes(now)
	}
}

// ForgetBackend ends what is kept of a backend that is gone: its index may mean another. Not while it has a line.
func (c *Controller) ForgetBackend(id int) bool {
	gone := c.backends[id].State == Removed && c.backends[id].published == 0
	if gone {
		c.backends[id] = &backendState{}
	}
	return gone
}

// usable leaves the score aside. Where only draining binds, one that the list drops is, until its tries fail.
func (c *Controller) usable(b *backendState, now int64) bool {
	if b.State == Removed {
		return !c.mustLeave(b) && !b.ejected && b.published > 0
	}
	return b.listed && b.State == Ready
}

// graceLeft is what is left of it for the drain that was heard of last after its order, until it is told.
func (c *Controller) drainGraceLeft() int64 {
	late := int64(0)
	for _, b := range c.backends {
		if b.drainDelay > late && c.mustLeave(b) && (b.published > 0 || !b.withdrawn) {
			late = b.drainDelay
		}
	}
	return max(0, c.rules.DrainGrace-late)
}

// mustLeave tells whether rule 3 binds for a backend.
func (c *Controller) mustLeave(b *backendState) bool {
	return b.listed && b.State != Ready && (b.seenDraining || !c.rules.OnlyDrainingMustLeave)
}

// OutcomesReported is what our proxies of some zone met at a backend, within a span that ended a moment ago.
func (c *Controller) OutcomesReported(id, tries, failed int, mean, span int64, load BackendLoad) {
	if id >= len(c.backends) || tries <= 0 {
		return
	}
	now, b := c.host.Now(), c.backends[id]
	c.newAttempts += tries
	from := now
	if c.reportSpan > c.admission.longestDeadline { // lines wait for their turn: they tell of requests that are all over
		if from -= max(0, span-c.telemetry.ReportInterval); from < max(b.StartedAt, b.enteredAt) {
			return // of another process, or of when it was away
		}
	}
	b.ownOutcomes = append(b.ownOutcomes, outcomeSample{now, from, mean * int64(tries-failed), tries, failed})
	if load.CPUUtilization >= 0 || load.QueueLength >= 0 {
		b.load = load
	}
	if b.consecutiveFailures += tries; failed < tries {
		b.lastAnswerAt, b.consecutiveFailures = now, 0
	}
}

// PeerOutcomesReported is what proxies of another controller met: it counts where ours met nothing, or no answer either.
func (c *Controller) PeerOutcomesReported(id, tries, failed int, mean, wait int64) {
	if id >= len(c.backends) || tries <= 0 {
		return
	}
	now, b := c.host.Now(), c.backends[id]
	b.peerOutcomes = append(b.peerOutcomes, outcomeSample{now, now, mean * int64(tries-failed), tries, failed})
	if b.sumOutcomes(now); !b.reportedByPeersOnly && (b.consecutiveFailures == 0 || failed < tries) {
		return
	} else if b.consecutiveFailures += tries; failed < tries {
		b.lastAnswerAt, b.consecutiveFailures = now, 0
	}
	if b.backoff = max(b.backoff, wait/2); b.consecutiveFailures >= consecutiveFailuresToEject { // where it leaves R, for as long as there
		c.detectOutliers(now)
	}
}

// DemandReported is what came to a proxy, refused requests and repeats by clients among it.
func (c *Controller) DemandReported(id, class, count int, span int64) {
	if c.proxies[id].connected && span > 0 {
		c.updateRate(&c.proxies[id].demand[class], count, span)
		c.admission.counted[class] += float64(count)
		c.reportSpan += (float64(span) - c.reportSpan) / 64 // of some lines: a line a proxy and class may take many seconds
	}
}

// smooth weighs a count with its span, as a proxy that gets little has no line in most periods.
func (c *Controller) updateRate(rate *float64, count int, span int64) {
	*rate += (float64(count)*float64(second) - *rate*float64(span)) / float64(c.telemetry.ReportInterval+span)
}

// ProxyConnected takes a proxy in. It holds stale tables until it is bound, which is as soon as there is room.
func (c *Controller) ProxyConnected(id, zone int, usual float64, keeps bool) {
	for len(c.proxies) <= id {
		c.proxies = append(c.proxies, &proxyState{})
	}
	n := len(c.classes) // it counts with its ordinary traffic until it is heard of
	c.proxies[id] = &proxyState{connected: true, assigned: c.sharding.enabled(), mayHoldForeign: keeps, zone: zone, baselineRate: max(usual, 1),
		subset: id % c.subsets, connectedAt: c.host.Now(), demand: slices.Repeat([]float64{usual / float64(n)}, n),
		messageTimes: c.proxies[id].peerMessageTimes, reserveReleased: c.proxies[id].peerMessageTimes != nil}
	for i := range c.sharding.shards { // it reads lines from the store, but must hear which writes are held
		if s := &c.sharding.shards[i]; s.fence > 0 {
			s.fence = -1
		}
	}
	// Where the channel may need long for all, it goes first to those whose tables carry most.
	long := float64(count(c.queue.capacity() < c.queue.Backlog))
	c.syncQueue = slices.DeleteFunc(c.syncQueue, func(other int) bool { return other == id })
	at, _ := slices.BinarySearchFunc(c.syncQueue, c.proxies[id].baselineRate, func(other int, usual float64) int {
		return cmp.Or(cmp.Compare(usual*long, c.proxies[other].baselineRate*long), -1)
	})
	c.syncQueue = slices.Insert(c.syncQueue, at, id)
	c.syncProxies(c.host.Now())
}

// ProxyDisconnected takes the end of a proxy: it goes on with what it holds, and nothing more can be told to it.
func (c *Controller) ProxyDisconnected(id int) {
	c.proxies[id] = &proxyState{disconnectedAt: c.host.Now()}
}

// Acknowledged takes the answer to a mark: its message has come through, and with it all that left before it.
func (c *Controller) Acknowledged(id, mark int) {
	c.proxies[id].acknowledged = c.queue.acknowledge(mark, c.proxies[id])
	c.syncProxies(c.host.Now())
}

// tables hands out the tables that a proxy of a part and zone uses, with their classes.
func (c *Controller) eachTable(part, zone int, do func(table int, classes uint16)) {
	for i, classes := range []uint16{c.sharedClasses, c.zoneLocalClasses} {
		if classes != 0 {
			do(part+i*(c.subsets-part+zone), classes)
		}
	}
}

// in tells whether a table is one that has a backend's line: its part's, or its zone's.
func (c *Controller) inTable(b *backendState, table int) bool {
	if table >= c.subsets {
		return c.zoneLocalClasses != 0 && table-c.subsets == b.Zone
	}
	return c.sharedClasses != 0 && b.subset == table
}

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

// even gives parts that are short backends of the one that has most, as far as there is room: their proxies
// would overfill the few that are left. Never cold ones, which would be new to twice as many proxies.
func (c *Controller) rebalanceSubsets(now int64, weights []float64, fair float64, bound []float64) (told bool) {
	for to := range weights {
		for short := weights[to] < shortSubsetShare*fair; short && weights[to] < restoredSubsetShare*fair; {
			from := slices.Index(weights, slices.Max(weights))
			at := slices.IndexFunc(c.backends, func(b *backendState) bool {
				return b.subset == from && b.published > 0 && c.targetWeight(b, now) == b.published && !c.warmingUp(b, now)
			})
			cost := (bound[from] + bound[to]) * (c.queue.messageOverhead() + 1)
			if at < 0 || weights[from] <= fair || !c.queue.hasCapacity(cost, true) {
				break
			}
			b := c.backends[at]
			c.logf(at, "goes over to part %d, which has %.0f%% of its share", to, 100*weights[to]/fair)
			c.publishEntry(b, from, 0, false)
			b.subset, told = to, true
			c.publishEntry(b, to, b.published, true)
			weights[from], weights[to] = weights[from]-b.published, weights[to]+b.published
		}
	}
	return told
}

// bindWaiting gives whole tables to proxies that hold those of others, as there is room: the busiest first,
// but those that waited for half the grace before all. Who waits hears at once of levels and withdrawals, as
// rule 3 binds whatever table it brought, unless a table comes in time for little more. Then all are cleared.
func (c *Controller) syncProxies(now int64) {
	unbound, bound, l, spare := 0, 0, &c.queue, c.queue.capacity()/4 // spare is kept for what cannot wait
	header, sizes := l.messageOverhead(), map[int]float64{}
	outs, message := c.withdrawalCost()
	if len(c.syncQueue) == 0 || !l.hasCapacity(header, false) && !l.hasCapacity(message+spare, true) {
		return // thousands may wait, and this is looked at with each mark
	}
	for _, i := range c.syncQueue {
		unbound += count(c.proxies[i].connected && !c.proxies[i].assigned)
	}
	c.reserveForTables(now, sizes)
	for _, aged := range []bool{true, false} {
		for _, i := range c.syncQueue {
			p := c.proxies[i]
			if now-p.connectedAt > c.rules.DrainGrace/2 != aged {
				continue
			}
			lines, cost, bare := c.fullTableCost(p, sizes)
			due := !c.queueCongested || !p.assigned && l.wouldDelayTables(0)
			ready := p.connected && !bare && due && l.hasCapacity(cost, false) && l.mayPush(p, now, false)
			switch {
			case ready && !p.assigned:
				p.assigned, bound, l.reservedLines = true, bound+1, l.reservedLines-cost
				c.charge(p, 1+cost-header+min(p.heldWithdrawals, lines))
				c.eachTable(p.subset, p.zone, func(table int, classes uint16) { c.host.AssignTable(table, i, classes) })
			case ready && p.mayHoldForeign && !p.withdrawalsCleared && unbound == 0 && l.hasCapacity(lines+spare, false):
				p.withdrawalsCleared = true
				c.charge(p, lines)
				c.host.ClearWithdrawals(i)
			case !p.assigned && !p.withdrawalsSynced && (p.mayHoldForeign || outs > 0) && l.mayPush(p, now, true) &&
				(bare || 2*message <= cost) && (aged || !c.queueCongested && !c.tablesSuffice(cost, message, unbound)) &&
				l.hasCapacity(message+spare, true) && c.host.SyncWithdrawals(i, unlimitedRate, RetryIfNotExecuted):
				p.withdrawalsSynced, p.heldWithdrawals = true, outs
				c.charge(p, outs+float64(len(c.classes)))
			}
		}
	}
	c.syncQueue = slices.DeleteFunc(c.syncQueue, func(id int) bool {
		p := c.proxies[id]
		return !p.connected || p.assigned && p.withdrawalsCleared == p.mayHoldForeign
	})
	if bound > 0 && unbound == bound {
		c.syncProxies(now) // what is to be cleared may go along
	}
}

// binds tells whether those who wait are as well bound as told by messages of their own.
func (c *Controller) tablesSuffice(table, message float64, waiting int) bool {
	return table <= 3*message && table*float64(waiting) <= tablesShareOfGrace*c.queue.linesSentIn(c.remainingGrace)
}

// relevels is how many lines of levels a whole table takes along, as it makes a proxy forget them.
func (c *Controller) tableLimitLines() float64 {
	return max(c.queue.LimitLines, float64(len(c.classes)*count(c.admission.limitsSent)))
}

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

// strain takes weight off a backend at which alone a queue must stand; hurts where times differ by nature.
func (c *Controller) reduceWeight(id int, now int64) {
	b := c.backends[id]
	if b.reducedTo == 0 {
		c.logf(id, "strained: answers take %.1f times the median", b.score)
	}
	b.reducedTo = max(cmp.Or(b.reducedTo, 1)*weightReductionFactor, slowStartShare)
	b.weightReducedAt, b.raiseWeightAt = now, now+2*baseEjectionTime
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

// HealthCheckCompleted is how a probe ended. A pass may show little more than that the process runs.
func (c *Controller) HealthCheckCompleted(id int, outcome HealthCheckResult) {
	if id < len(c.backends) && outcome == HealthCheckPassed && c.backends[id].ejected {
		c.readmit(id, c.host.Now(), true)
	}
}

func newAdmissionState(how AdmissionMode, classes []Class) admissionState {
	a := admissionState{mode: how, published: make([]float64, len(classes)), target: make([]float64, len(classes)),
		quota: make([]float64, len(classes))}
	for i, class := range classes {
		a.counted, a.demandCorrection = append(a.counted, 0), append(a.demandCorrection, 1)
		a.priorityOrder = append(a.priorityOrder, i)
		a.longestDeadline = max(a.longestDeadline, float64(class.Deadline))
		a.unitsPerRequest = append(a.unitsPerRequest, max(float64(class.LatencyObjective)/float64(second), 1e-3))
	}
	slices.SortStableFunc(a.priorityOrder, func(x, y int) int {
		vx, vy := classes[x].PriorityWeight/a.unitsPerRequest[x], classes[y].PriorityWeight/a.unitsPerRequest[y]
		return count(vx < vy) - count(vx > vy)
	})
	return a
}

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

// trimTo follows what was counted at all proxies: a rate stands until its proxy's next line, which adds up.
func (a *admissionState) correctDemand(class int, total, seconds float64) {
	if a.counted[class] > 0 && total > 0 {
		a.demandCorrection[class] = max(minDemandCorrection, min(1, a.demandCorrection[class]*(1+a.counted[class]/seconds/total)/2))
		a.counted[class] = 0
	}
}

// steer settles how much is let in. When a queue stands nearly everywhere, what was answered is what can be:
// less the queue while it drains, then most of it.
func (c *Controller) updateAdmission(now int64) {
	a, r := &c.admission, c.summarizeLoad(now)
	a.latencyRatio = r.latencyRatio
	if r.latencyRatio > 0 && r.latencyRatio < overloadedRatio && r.recentCapacity > r.publishedCapacity/2 { // thinly heard demand proves nothing
		a.provenThroughput = max(a.provenThroughput, r.admitted/r.publishedCapacity)
	}
	if r.latencyRatio == 0 || r.reportedCapacity == 0 || a.mode == AdmissionUnsupported {
		return
	}
	was, idle := a.limiting, r.latencyRatio < implausiblyIdleRatio && c.backendsIdle(r.latencyRatio*a.meanObjective)
	rests := r.medianRatio < unloadedRatio && r.latencyRatio < overloadedRatio // most have no queue, whatever a few have
	lag := c.telemetry.ReportInterval + c.queue.MaxLatency + second
	queue := max(0, r.latencyRatio-queueFreeRatio) * a.meanObjective // before a new request, as time
	hot := r.latencyRatio > overloadedRatio && r.medianRatio > unloadedRatio && !idle
	a.overloadedSince = cmp.Or(a.overloadedSince, now) * int64(count(hot))
	// What stood in queues then may be answered or given up: only heat that outlasts old news is an overload.
	hot = hot && (c.reportSpan <= a.longestDeadline || float64(now-a.overloadedSince) >= c.reportSpan)
	switch {
	case now < a.holdUntil:
		// What is heard now is late: half of the queue that it shows may be gone.
		if part := max(minLimitShare, sustainableShare-queue/2/float64(queueDrainTime)); now >= a.queueDrainedAt || part < a.limitShare {
			a.limitShare = part
		}
	case hot:
		// As a queue stands, hardly more than was let in; what was answered was, even where demand is still thin.
		able := min(r.answered/r.reportedCapacity, maxHeadroom*max(r.admitted, r.answered)/r.publishedCapacity)
		if a.saturatedThroughput == 0 {
			a.saturatedThroughput = able
		}
		a.saturatedThroughput = min((a.saturatedThroughput+able)/2, maxSaturatedGrowth*able) // what was proven before a cut holds no more
		// What came while we did not know is in the queue as well.
		queue += max(0, r.admitted/(a.saturatedThroughput*(r.publishedCapacity-r.deadCapacity))-1) * float64(lag/2)
		a.limitShare = max(minLimitShare, sustainableShare-queue/float64(queueDrainTime))
		a.queueDrainedAt, a.holdUntil, a.overloadedSince, a.cutPending = now+queueDrainTime, now+queueDrainTime+lag, 0, true
	case a.limitShare > 0 && r.offered > a.limit && (idle || r.latencyRatio < overloadedRatio) && now-a.raisedAt >= lag:
		wider := raiseStep // until it is heard of: steps on steps would overshoot by as many as fit into the lag
		if idle || rests {
			wider = fastRaiseStep * (1 + 2*max(0, min(1, (unloadedRatio-r.latencyRatio)/(unloadedRatio-queueFreeRatio))))
		}
		a.raisedAt = now
		a.limitShare = min(a.limitShare*(1+wider*r.reportedCapacity/r.publishedCapacity), maxHeadroom*r.offered/(a.saturatedThroughput*r.publishedCapacity)) // as far as we know of it
	}
	a.limit = a.limitShare * a.saturatedThroughput * r.publishedCapacity
	if a.limiting = a.limitShare > 0 && r.offered > a.limit; was != a.limiting {
		c.logf(-1, "limit bound %v at %.1f units/s: heat %.2f, %.1f come, %.1f answered",
			a.limiting, a.limit, r.latencyRatio, r.offered, r.answered)
	}
	c.distributeLimit()
}

// foresee reckons what the list has just taken of our lines against what was proven: reports show a queue
// when it stands. Where none ever did, all that is known is what was let in without one, and a guess. Old
// news takes long to show that it was too low, so there it is made only where something waited already.
func (c *Controller) limitAheadOfReports(now int64, stood, lost float64) {
	a, came, ours := &c.admission, 0., 0.
	for class := range c.classes {
		_, total := c.classDemand(class)
		came += total * a.unitsPerRequest[class]
	}
	for _, p := range c.proxies {
		ours += p.baselineRate
	}
	able := assumedHeadroom * a.provenThroughput * (stood - lost) * ours
	switch {
	case a.mode == AdmissionUnsupported || lost == 0 || lost >= stood:
		return
	case a.limitShare > 0:
		a.limit *= 1 - lost/stood
	case a.provenThroughput > 0 && came > able && (c.reportSpan <= a.longestDeadline || a.latencyRatio > unloadedRatio):
		a.saturatedThroughput, a.limitShare, a.limit, a.raisedAt = assumedHeadroom*a.provenThroughput, 1, able, now
	}
	if was := a.limiting; a.limitShare > 0 && was != (came > a.limit) {
		a.limiting = !was
		c.logf(-1, "limit bound %v at %.1f units/s, ahead of reports: %.0f%% of the weight went, %.1f come",
			a.limiting, a.limit, 100*lost/stood, came)
	}
	c.distributeLimit()
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

// setLevels shares the limit out, value first; capping the busiest proxies, repeats count for nothing. A
// quota of a class is that of the whole fleet: of it we have what our proxies are of all.
func (c *Controller) distributeLimit() {
	a, joined := &c.admission, 0.
	for _, p := range c.proxies {
		joined += float64(count(p.connected))
	}
	left, ours := cmp.Or(a.limit, math.Inf(1)), max(joined, 1)/max(joined, float64(c.queue.Proxies), 1)
	for _, class := range a.priorityOrder {
		rates, total := c.classDemand(class)
		most := min(left/a.unitsPerRequest[class], cmp.Or(a.quota[class], math.Inf(1))*ours)
		part := min(total, max(most, minAdmittedShare*total))
		left -= part * a.unitsPerRequest[class]
		if a.target[class] = 0; part < total && a.mode == AdmissionByRate {
			a.target[class] = maxMinFairRate(rates, part)
		} else if part < total && a.mode == AdmissionByShare {
			a.target[class] = part / total
		}
	}
}

func (a *admissionState) limitChanged(class int) bool {
	gap := math.Abs(a.target[class] - a.published[class])
	return gap > 0 && gap >= limitTolerance*a.published[class]
}

func (c *Controller) publishLimits() bool {
	a, laid := &c.admission, false
	for class := range c.classes {
		if !a.limitChanged(class) {
			continue
		}
		a.published[class], laid = a.target[class], true
		allowance, tries := a.target[class], NoRetry // a further try would only add to the queue
		if allowance == 0 {
			allowance, tries = unlimitedRate, RetryIfNotExecuted
		}
		c.host.SetAdmissionLimit(AllTables, 1<<class, allowance, tries)
		a.limitsSent = true
		c.chargeEach(1, func(*proxyState) bool { return true })
	}
	return laid
}

// ledger counts lines until their mark, or a later one, has come back, so it holds when the channel is slow.
type pushQueue struct {
	PushChannel
	queuedLines           float64
	reservedLines         float64 // lines that must follow, of the tables of those who wait, and ...
	maxQueuedBeforeTables float64 // ... how many may stand in the channel with them for the first of these to have its in time
	batches               []pushBatch
	lastNumber            int64 // orders so far; a mark is its low 16 bits
}

// bill counts lines to a proxy, and with the first at this clock time the message and its mark.
func (c *Controller) charge(p *proxyState, lines float64) {
	l, now := &c.queue, c.host.Now()
	if n := len(l.batches); n == 0 || l.batches[n-1].sentAt != now {
		l.lastNumber++
		l.batches = append(l.batches, pushBatch{number: l.lastNumber, sentAt: now, linesTo: map[*proxyState]float64{}})
		c.host.RequestAck(int(l.lastNumber&0xffff), false)
	}
	o := &l.batches[len(l.batches)-1]
	if n := len(p.messageTimes); n == 0 || p.messageTimes[n-1] != now {
		p.messageTimes = append(p.messageTimes, now)
		lines += l.messageOverhead() + (c.tableLimitLines()-l.LimitLines)*float64(count(!p.assigned)) // it has heard of none yet
	}
	o.linesTo[p] += lines
	o.lines += lines
	l.queuedLines += lines
}

// expire forgets orders whose marks will not come, even at a quarter of the channel's usual speed.
func (l *pushQueue) expire(now int64) {
	for len(l.batches) > 0 {
		patience := l.MaxLatency + 2*second + int64(4*l.queuedLines/max(l.LinesPerSecond, 1)*float64(second))
		if now-l.batches[0].sentAt < patience {
			return
		}
		l.discard(1)
	}
}

// header is what each message costs beside what it is for: head, mark, and levels where they always go along.
func (l *pushQueue) messageOverhead() float64 { return l.MessageOverhead + 1 + l.LimitLines }

// room is how many lines may wait. Where the backlog bears far more than two paces take to send, what joins
// its end would be late by all of that; held back here it is decided on later news, and shares messages.
func (l *pushQueue) capacity() float64 {
	return min(l.Backlog, l.linesSentIn(2*minPublishInterval))
}

// fits tells whether lines may go: what no rule needs, as of a growing fleet, waits at half the room.
func (l *pushQueue) hasCapacity(cost float64, must bool) bool {
	return l.queuedLines == 0 || l.queuedLines+cost <= l.capacity()/2 || must && l.queuedLines+cost <= l.capacity()
}

// delays tells whether, with so many lines before them, tables would come too late to those who wait: rule 3
// binds whatever they brought, and that may name what had gone before we began, which no message takes out.
func (l *pushQueue) wouldDelayTables(cost float64) bool {
	return l.reservedLines > 0 && l.queuedLines+cost+l.reservedLines > l.maxQueuedBeforeTables
}

// may tells whether a proxy may be sent one more message. Half of those allowed are kept for what is urgent.
func (l *pushQueue) mayPush(p *proxyState, now int64, urgent bool) bool {
	p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at int64) bool { return at <= now-l.MessageWindow-l.MaxLatency })
	if l.MaxMessages == 0 || len(p.messageTimes) > 0 && p.messageTimes[len(p.messageTimes)-1] == now {
		return true
	}
	return len(p.messageTimes) < max(l.MaxMessages/2, (l.MaxMessages-2)*count(p.reserveReleased), l.MaxMessages*count(urgent))
}

// open tells whether changes may go to all bound proxies now. Needed ones wait for each other as long as the
// grace bears it twice, what does not fit as one piece for an emptier channel.
func (l *pushQueue) mayPublish(proxies []*proxyState, now, last, grace int64, need float64) bool {
	gap := min((grace-l.MaxLatency-tickInterval)/2, l.MessageWindow/int64(max(l.MaxMessages, 1)))
	if l.MaxMessages > 0 && now > last && now-last < gap ||
		l.queuedLines > l.capacity()/8 && (need == 0 || l.queuedLines+need > l.capacity()) {
		return false
	}
	return !slices.ContainsFunc(proxies, func(p *proxyState) bool { return p.assigned && !l.mayPush(p, now, need > 0) })
}

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
