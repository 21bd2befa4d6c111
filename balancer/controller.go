package balancer

import (
	"cmp"
	"fmt"
	"hash/fnv"
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

// ForgetBackend ends what is kept of a backend that is gone: its index may mean another. Not while it has a line.
func (c *Controller) ForgetBackend(id int) bool {
	gone := c.backends[id].State == Removed && c.backends[id].published == 0
	if gone {
		c.backends[id] = &backendState{}
	}
	return gone
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

// HealthCheckCompleted is how a probe ended. A pass may show little more than that the process runs.
func (c *Controller) HealthCheckCompleted(id int, outcome HealthCheckResult) {
	if id < len(c.backends) && outcome == HealthCheckPassed && c.backends[id].ejected {
		c.readmit(id, c.host.Now(), true)
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// Ejection tells whether a backend is out of R by what our own proxies met, and what that was as far as it is known.
// Wait is its back-off, in microseconds.
func (c *Controller) Ejection(id int) (tries, failed int, wait int64, away bool) {
	if id >= len(c.backends) {
		return 0, 0, 0, false
	}
	b := c.backends[id]
	if b.consecutiveFailures > 0 {
		return b.consecutiveFailures, b.consecutiveFailures, b.backoff, b.ejected && !b.ejectedByPeerReport
	}
	return b.attempts, b.failures, b.backoff, b.ejected && !b.ejectedByPeerReport
}

// Throughput is what the fleet was seen to do for each unit of weight and of ordinary traffic: without a queue, and with
// one; 0 if that is not known.
func (c *Controller) Throughput() (proven, able float64) {
	return c.admission.provenThroughput, c.admission.saturatedThroughput
}

// SeedDemand takes what another controller counted at a proxy that joined us, requests a second by class.
func (c *Controller) SeedDemand(id int, rates []float64) { copy(c.proxies[id].demand, rates) }

// SeedThroughput takes what another controller saw of that, in place of what we have not seen ourselves.
func (c *Controller) SeedThroughput(proven, able float64) {
	a := &c.admission
	a.provenThroughput, a.saturatedThroughput = cmp.Or(a.provenThroughput, max(proven, 0)), cmp.Or(a.saturatedThroughput, max(able, 0))
}

// SetClassQuota takes how many requests of a class a second the whole fleet may be sent, at all controllers; 0 is any number.
func (c *Controller) SetClassQuota(class int, perS float64) {
	c.admission.quota[class] = perS
	c.distributeLimit()
}

// MessagesSentByPeers counts messages to a proxy that others have sent within the span, or will have. It counts for
// one that is joined, and for one that joins next.
func (c *Controller) MessagesSentByPeers(id, messages int) {
	for len(c.proxies) <= id {
		c.proxies = append(c.proxies, &proxyState{})
	}
	p, at := c.proxies[id], c.host.Now()-1 // not of this clock time: a message of its own would share that one
	if p.connected {
		p.messageTimes = append(slices.Repeat([]int64{at}, messages), p.messageTimes...)
	} else {
		p.peerMessageTimes = slices.Repeat([]int64{at}, messages)
	}
}

// QueueDelay is how long what waits in the channel takes to leave, in microseconds: a mark is not answered before.
func (c *Controller) QueueDelay() int64 {
	return int64(c.queue.queuedLines / max(c.queue.LinesPerSecond, 1) * float64(second))
}
