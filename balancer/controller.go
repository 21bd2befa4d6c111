package balancer

import (
	"fmt"
	"hash/fnv"
	"slices"
)

const (
	// tickInterval is how often what waits for time, or for room in the channel, is looked at again.
	tickInterval = second / 4
	// minPollBackoff is the shortest pause between two polls of the endpoint list.
	minPollBackoff = second / 2
	// pollsInInterval is how many polls fit into the longest interval allowed, so that a failed one may be repeated.
	pollsInInterval = 4
	// never is a time that does not come.
	never Microseconds = 1 << 62
)

// Controller decides for the proxies that are connected to it. Its methods are the events that it handles; one may be
// called at a time. It belongs to its caller, and ends when that drops it.
//
// Reports about a backend that was never listed are ignored. Other indices must be known: of a proxy, one that
// ProxyConnected or MessagesSentByPeers was given; of a class or shard, one below their number. An event about an unknown
// one panics, as that is a caller's error.
type Controller struct {
	host      Host
	seed      uint64
	rules     RuleLimits
	telemetry Telemetry
	classes   []Class

	backends  []*backendState // by index; nothing is listed of those that the list has not named
	proxies   []*proxyState   // by index
	pushQueue pushQueue
	sharding  shardingState
	admission admissionState

	// Endpoint list.
	pollAt         Microseconds // when the next poll is due, where polling is required
	pollBackoff    Microseconds
	endpointsKnown bool // a complete list that was not empty has come
	warmEverListed bool // some listed backend was ready and warm at some time; it stays set when that one goes

	// Reports.
	evaluatedAt Microseconds // when reports were last evaluated
	newAttempts int          // attempts reported since then
	reportSpan  float64      // what a report line covers of late, in microseconds
	panicMode   bool         // every usable backend is ejected, so all are published

	// Tables: one a subset for the shared classes, then one a zone for the zone-local ones.
	subsetCount      int
	sharedClasses    uint16
	zoneLocalClasses uint16

	// Publication.
	publishedAt    Microseconds // when ordinary changes last went out; 0 if some were left over
	changedAt      Microseconds // when any change last went to several proxies
	graceAtListing Microseconds // what pending drains had of their grace as they were last listed, see computeGraceAtListing
	queueCongested bool         // changes wait for the channel, so tables of proxies do as well
	syncQueue      []int        // proxies that wait for tables, and then to be cleared of withdrawals

	randomDraws uint64
}

// New makes a controller that knows nothing yet: until reports come, no backend is ejected. It returns ErrClassCount or
// ErrShardCount where the figures cannot be used.
func New(host Host, config Config) (*Controller, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		host:           host,
		seed:           config.Seed,
		rules:          config.Rules,
		telemetry:      config.Telemetry,
		classes:        config.Classes,
		pushQueue:      pushQueue{PushChannel: config.Channel},
		sharding:       newShardingState(config.Sharding, config.Classes),
		admission:      newAdmissionState(config.Admission, config.Classes),
		evaluatedAt:    host.Now(),
		graceAtListing: config.Rules.DrainGrace,
		subsetCount:    1,
	}
	for i, class := range config.Classes {
		if class.ZoneLocal {
			c.zoneLocalClasses |= 1 << i
		} else {
			c.sharedClasses |= 1 << i
		}
	}
	host.SetTimer(tickInterval, c.timerTag())
	return c, nil
}

// TimerFired is the end of a timer. With each tick, whatever waited for time or for room in the channel is looked at.
func (c *Controller) TimerFired(tag uint64) {
	if tag != c.timerTag() {
		return // a timer of an earlier incarnation
	}
	now := c.host.Now()
	c.host.SetTimer(tickInterval, c.timerTag())
	c.pushQueue.expire(now)
	if c.telemetry.PollingRequired && now >= c.pollAt {
		c.pollEndpoints()
	}
	if c.evaluationDue(now) {
		c.detectOutliers(now)
		c.updateAdmission(now)
		c.evaluatedAt = now
		c.newAttempts = 0
	}
	c.readmitDueBackends(now)
	c.raiseDueWeights(now)
	c.updatePanicMode()
	ordinary := c.admission.limitLowered || now-c.publishedAt >= minPublishInterval
	c.publishChanges(now, ordinary)
}

// EndpointsUpdated takes in the endpoint list: all of it, or what changed.
func (c *Controller) EndpointsUpdated(complete bool, endpoints []Endpoint) {
	now := c.host.Now()
	c.pollBackoff = 0
	if complete && !c.endpointsKnown {
		c.chooseSubsetCount(len(endpoints))
	}
	named := c.updateBackends(endpoints, now)
	for id, backend := range c.backends {
		if complete && !named[id] {
			backend.State = Removed
		}
		if backend.State == Ready && !c.warmingUp(backend, now) {
			c.warmEverListed = true
		}
	}
	if complete && len(endpoints) > 0 {
		c.endpointsKnown = true
	}
	c.publishChanges(now, false)
}

// updateBackends takes in listed states, and tells which backends they name. A new one goes to the lightest subset.
func (c *Controller) updateBackends(endpoints []Endpoint, now Microseconds) (named []bool) {
	named = make([]bool, len(c.backends))
	var weights *subsetWeights // summed up once, for the first new backend, as that goes over all
	for _, endpoint := range endpoints {
		for len(c.backends) <= endpoint.Backend {
			c.backends = append(c.backends, &backendState{})
			named = append(named, false)
		}
		named[endpoint.Backend] = true
		backend := c.backends[endpoint.Backend]
		if !backend.listed && c.subsetCount > 1 {
			if weights == nil {
				weights = c.listedSubsetWeights()
			}
			backend.subset = weights.lightest(endpoint.Zone)
		}
		weights.remove(backend)
		backend.updateEndpoint(endpoint, now, c.endpointsKnown, c.telemetry.LoadDependentWeights)
		weights.add(backend)
	}
	return named
}

// EndpointPollFailed has the list polled again after a while, spread by chance so that controllers do not ask together.
func (c *Controller) EndpointPollFailed() {
	spread := 0.5 + c.randomFraction()
	c.pollAt = c.host.Now() + int64(float64(c.pollBackoff)*spread)
}

// pollEndpoints asks for the list. An answer, or a failure, always comes.
func (c *Controller) pollEndpoints() {
	c.host.PollEndpoints()
	c.pollBackoff = max(minPollBackoff, min(2*c.pollBackoff, c.telemetry.MaxPollInterval/pollsInInterval))
	c.pollAt = never
}

// ForgetBackend ends what is kept of a backend that is removed and has no entry left, so that its index may mean
// another, and tells whether it did. The backend must have been listed once.
func (c *Controller) ForgetBackend(id int) bool {
	backend := c.backends[id]
	if backend.State != Removed || backend.published != 0 {
		return false
	}
	c.backends[id] = &backendState{}
	return true
}

// OutcomesReported is what our proxies met at a backend. Which reports count is in outlier.go.
func (c *Controller) OutcomesReported(report OutcomeReport) {
	if report.Backend >= len(c.backends) || report.Attempts <= 0 {
		return
	}
	now := c.host.Now()
	backend := c.backends[report.Backend]
	c.newAttempts += report.Attempts
	coversFrom, counts := c.reportCoverage(backend, report.Span, now)
	if !counts {
		return
	}
	backend.ownOutcomes = append(backend.ownOutcomes, outcomeSample{
		receivedAt: now,
		coversFrom: coversFrom,
		answerTime: report.MeanAnswerTime * int64(report.Attempts-report.Failures),
		attempts:   report.Attempts,
		failures:   report.Failures,
	})
	if report.Load.hasQueueFigures() {
		backend.load = report.Load
	}
	backend.updateConsecutiveFailures(report.Attempts, report.Failures, now)
}

// PeerOutcomesReported is what proxies of another controller met at a backend. It counts where ours met nothing, or no
// answer either (outlier.go). Backoff is that of the backend's ejection there, or 0.
func (c *Controller) PeerOutcomesReported(id, attempts, failures int, mean, backoff Microseconds) {
	if id >= len(c.backends) || attempts <= 0 {
		return
	}
	now := c.host.Now()
	backend := c.backends[id]
	backend.peerOutcomes = append(backend.peerOutcomes, outcomeSample{
		receivedAt: now,
		coversFrom: now,
		answerTime: mean * int64(attempts-failures),
		attempts:   attempts,
		failures:   failures,
	})
	backend.sumOutcomes(now)
	if !backend.countsPeerFailures(attempts, failures) {
		return
	}
	backend.updateConsecutiveFailures(attempts, failures, now)
	backend.adoptPeerBackoff(backoff)
	if backend.consecutiveFailures >= consecutiveFailuresToEject {
		c.detectOutliers(now)
	}
}

// HealthCheckCompleted is how a health check ended. A pass may show little more than that the process runs.
func (c *Controller) HealthCheckCompleted(id int, result HealthCheckResult) {
	if id < len(c.backends) && result == HealthCheckPassed && c.backends[id].ejected {
		c.readmit(id, c.host.Now(), true)
	}
}

// DemandReported is how many requests of a class came to a proxy within a span, refused ones and repeats by clients
// among them.
func (c *Controller) DemandReported(id, class, count int, span Microseconds) {
	proxy := c.proxies[id]
	if !proxy.connected || span <= 0 {
		return
	}
	c.updateRate(&proxy.demand[class], count, span)
	c.admission.countedRequests[class] += float64(count)
	c.updateReportSpan(span)
}

// ProxyConnected takes a proxy in, with the rate that comes to it on ordinary days, in requests a second. It uses stale
// tables until it gets ours, as soon as there is room; mayHoldForeignWithdrawals says that it may hold withdrawals of other
// controllers.
func (c *Controller) ProxyConnected(id, zone int, baseline RequestsPerSecond, mayHoldForeignWithdrawals bool) {
	for len(c.proxies) <= id {
		c.proxies = append(c.proxies, &proxyState{})
	}
	now := c.host.Now()
	before := c.proxies[id]
	classCount := len(c.classes)
	c.proxies[id] = &proxyState{
		connected:                 true,
		connectedAt:               now,
		zone:                      zone,
		subset:                    id % c.subsetCount,
		baselineRate:              max(baseline, 1),
		demand:                    slices.Repeat([]float64{baseline / float64(classCount)}, classCount), // until reports come
		hasOurTables:              c.sharding.enabled(),
		mayHoldForeignWithdrawals: mayHoldForeignWithdrawals,
		messageTimes:              before.peerMessageTimes,
		peersReportedMessages:     before.peerMessageTimes != nil,
	}
	c.sharding.repeatFences()
	c.enqueueForSync(id)
	c.syncProxies(now)
}

// ProxyDisconnected is the end of a proxy's connection: it goes on with what it holds, and can be sent nothing more.
func (c *Controller) ProxyDisconnected(id int) {
	c.proxies[id] = &proxyState{disconnectedAt: c.host.Now()}
}

// Acknowledged is a proxy's answer to Host.RequestAck: that message has come through, with all that left before it.
func (c *Controller) Acknowledged(id, number int) {
	proxy := c.proxies[id]
	proxy.acknowledged = c.pushQueue.acknowledge(number, proxy)
	c.syncProxies(c.host.Now())
}

// MessagesSentByPeers counts messages that other controllers have sent to a proxy within the message window, or will
// have. They count for a proxy that is connected, or for the one that connects next.
func (c *Controller) MessagesSentByPeers(id, messages int) {
	for len(c.proxies) <= id {
		c.proxies = append(c.proxies, &proxyState{})
	}
	proxy := c.proxies[id]
	at := c.host.Now() - 1 // not of this clock time: a message of our own would share that one
	times := slices.Repeat([]Microseconds{at}, messages)
	if proxy.connected {
		proxy.messageTimes = append(times, proxy.messageTimes...)
	} else {
		proxy.peerMessageTimes = times
	}
}

// SeedDemand takes what another controller counted at a proxy that connected to us, in requests a second by class.
func (c *Controller) SeedDemand(id int, rates []RequestsPerSecond) { copy(c.proxies[id].demand, rates) }

// SeedThroughput takes another controller's Throughput, in place of what we have not seen ourselves.
func (c *Controller) SeedThroughput(proven, saturated float64) {
	c.admission.seedThroughput(proven, saturated)
}

// Throughput is what the fleet was seen to do for each unit of weight and of baseline demand, in units a second (see
// admission.go): without a queue, and with one; 0 if that is not known.
func (c *Controller) Throughput() (proven, saturated float64) {
	return c.admission.provenThroughput, c.admission.saturatedThroughput
}

// SetClassQuota takes how many requests of a class the whole fleet may be sent in a second, at all controllers; 0 is any
// number.
func (c *Controller) SetClassQuota(class int, quota RequestsPerSecond) {
	c.admission.quota[class] = quota
	c.distributeLimit()
}

// Ejection tells whether a backend is ejected by what our own proxies met, on which attempts as far as they are known,
// and for how long.
func (c *Controller) Ejection(id int) (attempts, failures int, backoff Microseconds, ejected bool) {
	if id >= len(c.backends) {
		return 0, 0, 0, false
	}
	backend := c.backends[id]
	attempts, failures = backend.attempts, backend.failures
	if backend.consecutiveFailures > 0 {
		attempts, failures = backend.consecutiveFailures, backend.consecutiveFailures
	}
	return attempts, failures, backend.backoff, backend.ejected && !backend.ejectedByPeerReport
}

// timerTag is the tag of this incarnation's timers, as each incarnation has another seed.
func (c *Controller) timerTag() uint64 { return c.seed }

// QueueDelay is how long what waits in the channel takes to leave: an ack is not answered before.
func (c *Controller) QueueDelay() Microseconds { return c.pushQueue.delay() }

// randomFraction is a random number from 0 to 1, decided by the seed and by how many were drawn before.
func (c *Controller) randomFraction() float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, c.seed, " ", c.randomDraws) // a hash takes everything
	c.randomDraws++
	return float64(hash.Sum64()>>11) / (1 << 53)
}

// logf records a decision about a backend, or about none (-1).
func (c *Controller) logf(backend int, format string, args ...any) {
	c.host.Log(backend, fmt.Sprintf(format, args...))
}
