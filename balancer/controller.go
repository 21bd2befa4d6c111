package balancer

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

const (
	// tickInterval is the time between ticks. Each tick checks the changes that wait for time to
	// pass, or for capacity in the push channel.
	tickInterval = second / 4
	// minPollBackoff is the shortest pause between two polls of the endpoint list.
	minPollBackoff = second / 2
	// pollsInInterval is the number of polls that fit into the longest allowed poll interval, so
	// that a failed poll can be repeated within it.
	pollsInInterval = 4
	// never is later than any time that Host.Now returns.
	never Microseconds = 1 << 62
)

// Controller makes the decisions for the proxies that are connected to it. Its methods are the
// events that it handles; only one may be called at a time. It holds no resources, so a caller that
// no longer needs it drops it.
//
// Reports about a backend that was never listed are ignored. Other indices must be known: the index
// of a proxy must have been passed to ProxyConnected or PeersMaySendUntil before, and the index
// of a class or shard must be below the number of classes or shards. An event with an unknown index
// is an error of the caller, and panics.
type Controller struct {
	host      Host
	seed      uint64
	rules     RuleLimits
	telemetry Telemetry
	classes   []Class

	// backends holds the state of each backend, by the backend's index. A backend that no endpoint
	// list has named yet has listed unset.
	backends  []*backendState
	proxies   []*proxyState // state of each proxy, by the proxy's index
	pushQueue pushQueue
	sharding  shardingState
	admission admissionState

	// State of the endpoint list.
	pollAt         Microseconds // time of the next poll of the endpoint list, if polling is required
	pollBackoff    Microseconds // pause after a failed poll of the endpoint list, before the pause is randomized
	endpointsKnown bool         // a complete endpoint list with at least one endpoint has been received
	warmEverListed bool         // at least one endpoint list so far had a backend that was ready and warm

	// State of the evaluation of reports.
	evaluatedAt Microseconds // time of the last evaluation of reports
	newAttempts int          // attempts reported since the last evaluation
	reportSpan  float64      // smoothed time that a report line covers, in microseconds

	// Table indices: tables 0 to subsetCount-1 are those of the subsets, for the shared classes. They
	// are followed by one table per zone, for the zone-local classes.
	subsetCount      int
	sharedClasses    uint16 // set of the classes that are not zone-local: bit i is class i
	zoneLocalClasses uint16 // set of the zone-local classes: bit i is class i

	// State of the publication of changes.

	// publishedAt is the time of the last round that published a change; 0 if that round left some
	// entries unpublished.
	publishedAt Microseconds
	changedAt   Microseconds // time at which any change was last sent to several proxies
	// graceAtListing is the least drain grace that a pending drain had left when it was listed, see
	// computeGraceAtListing.
	graceAtListing Microseconds
	// queueCongested is set while changes wait for capacity in the push channel, so that tables for
	// proxies wait as well.
	queueCongested bool
	// requiredSince is the time from which required changes have been pending; 0 if none is pending.
	requiredSince Microseconds
	// nextTickAt is the time of the next tick. A timer that fires before it awaits the deadline of
	// required changes.
	nextTickAt      Microseconds
	deadlineTimerAt Microseconds // time of the last timer for the deadline of required changes
	paceTimerAt     Microseconds // time of the last timer for a message that the pace does not permit yet
	heldProxies     int          // number of proxies for which proxyState.held is set
	// roundUrgency is the urgency of the changes that are sent to several proxies at present.
	roundUrgency messageUrgency
	// loggedDelay is the reason that was logged last for the delay of the pending required changes.
	loggedDelay roundDelay
	panicTables map[int]bool // tables in panic mode (table_content.go), by table index
	emptyTables map[int]bool // tables that were logged as empty, by table index
	syncQueue   []int        // indices of the proxies that wait for tables, or for withdrawals to be cleared

	randomDraws uint64 // number of random fractions drawn so far
}

// New returns a controller without any state: it ejects no backend until reports arrive. It returns
// ErrClassCount or ErrShardCount if the number of classes or shards in the Config is out of range.
func New(host Host, config Config) (*Controller, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		host:      host,
		seed:      config.Seed,
		rules:     config.Rules,
		telemetry: config.Telemetry,
		classes:   config.Classes,
		pushQueue: pushQueue{
			PushChannel: config.Channel,
			pace:        newMessagePace(config.Channel, config.Rules.DrainGrace),
		},
		roundUrgency:   requiredMessage,
		sharding:       newShardingState(config.Sharding, config.Classes),
		admission:      newAdmissionState(config.Admission, config.Classes),
		evaluatedAt:    host.Now(),
		graceAtListing: config.Rules.DrainGrace,
		subsetCount:    1,
		panicTables:    map[int]bool{},
		emptyTables:    map[int]bool{},
	}
	for i, class := range config.Classes {
		if class.ZoneLocal {
			c.zoneLocalClasses |= 1 << i
		} else {
			c.sharedClasses |= 1 << i
		}
	}
	c.scheduleTick(host.Now())
	c.updateReserve()
	return c, nil
}

// TimerFired handles the end of a timer. Each tick checks the changes that wait for time to pass,
// or for capacity in the push channel. A timer before the next tick is for the deadline of required
// changes, or for a message that the pace did not permit before.
func (c *Controller) TimerFired(tag uint64) {
	if tag != c.timerTag() {
		return // the timer was set by an earlier incarnation
	}
	now := c.host.Now()
	if now < c.nextTickAt {
		c.publishChanges(now, false)
		return
	}
	c.scheduleTick(now)
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
	ordinary := c.admission.limitLowered || now-c.publishedAt >= minPublishInterval
	c.publishChanges(now, ordinary)
}

// scheduleTick sets the timer of the next tick.
func (c *Controller) scheduleTick(now Microseconds) {
	c.nextTickAt = now + tickInterval
	c.host.SetTimer(tickInterval, c.timerTag())
}

// EndpointsUpdated handles an endpoint list: a complete one, or only the endpoints that changed.
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

// updateBackends stores the listed state of each endpoint, and returns which backends the list
// names, by index. A new backend is added to the lightest subset.
func (c *Controller) updateBackends(endpoints []Endpoint, now Microseconds) (named []bool) {
	named = make([]bool, len(c.backends))
	// The sums of listed weights by subset are nil until the list names a new backend, since
	// computing the sums visits all backends.
	var weights *subsetWeights
	for _, endpoint := range endpoints {
		for len(c.backends) <= endpoint.Backend {
			c.backends = append(c.backends, &backendState{})
			named = append(named, false)
		}
		named[endpoint.Backend] = true
		c.addZoneScopes(endpoint.Zone)
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

// EndpointPollFailed schedules the next poll of the endpoint list after a backoff. The backoff is
// randomized so that controllers do not poll at the same time.
func (c *Controller) EndpointPollFailed() {
	spread := 0.5 + c.randomFraction()
	c.pollAt = c.host.Now() + int64(float64(c.pollBackoff)*spread)
}

// pollEndpoints requests the endpoint list. The Host always answers, with a list or with a failure.
func (c *Controller) pollEndpoints() {
	c.host.PollEndpoints()
	c.pollBackoff = max(minPollBackoff, min(2*c.pollBackoff, c.telemetry.MaxPollInterval/pollsInInterval))
	c.pollAt = never
}

// ForgetBackend deletes the state of a backend that is removed and has no entry left, so that its
// index can be reused for another backend. It reports whether the state was deleted. The backend
// must have been listed before.
func (c *Controller) ForgetBackend(id int) bool {
	backend := c.backends[id]
	if backend.State != Removed || backend.published.any() {
		return false
	}
	c.backends[id] = &backendState{}
	return true
}

// ProxyConnected handles a new connection of a proxy, with the baseline rate of requests per second
// that reaches the proxy on ordinary days. The proxy uses stale tables until this controller sends
// its own tables, as soon as the push channel has capacity. mayHoldForeignWithdrawals states that
// the proxy may hold withdrawals of other controllers.
func (c *Controller) ProxyConnected(id, zone int, baseline RequestsPerSecond, mayHoldForeignWithdrawals bool) {
	now := c.host.Now()
	previous := c.stateOf(id)
	c.forgetHeld(previous)
	classCount := len(c.classes)
	c.proxies[id] = &proxyState{
		id:           id,
		connected:    true,
		connectedAt:  now,
		zone:         zone,
		subset:       id % c.subsetCount,
		baselineRate: max(baseline, 1),
		// Until the first report, the demand is assumed to be the baseline, in equal parts for the
		// classes.
		demand:                    slices.Repeat([]float64{baseline / float64(classCount)}, classCount),
		tablesAssigned:            c.sharding.enabled(),
		mayHoldForeignWithdrawals: mayHoldForeignWithdrawals,
		heldWithdrawals:           previous.heldByNext,
		bucketFullAt:              c.pushQueue.pace.emptyBucket(cmp.Or(previous.peersSentUntil, now)),
	}
	c.addZoneScopes(zone)
	c.sharding.repeatFences()
	c.enqueueForSync(id)
	if c.mustHold(c.proxies[id], now) {
		c.hold(c.proxies[id], 0)
	}
	c.limitColdStarts(now)
	c.publishFirstLimits()
	c.syncProxies(now)
	if c.pushQueue.pace.limits() {
		c.awaitMessage(c.proxies[id], now)
	}
}

// ProxyDisconnected handles the end of a proxy's connection. The proxy continues with the tables
// and limits that it holds, and cannot be sent further messages.
func (c *Controller) ProxyDisconnected(id int) {
	c.forgetHeld(c.proxies[id])
	c.proxies[id] = &proxyState{id: id, disconnectedAt: c.host.Now()}
}

// stateOf returns the state of a proxy, which may not have connected yet.
func (c *Controller) stateOf(id int) *proxyState {
	for len(c.proxies) <= id {
		c.proxies = append(c.proxies, &proxyState{id: len(c.proxies)})
	}
	return c.proxies[id]
}

// Acknowledged handles a proxy's answer to Host.RequestAck: the proxy has received the message with
// the request, and all messages sent before that message.
func (c *Controller) Acknowledged(id, number int) {
	proxy := c.proxies[id]
	proxy.acknowledged = c.pushQueue.acknowledge(number, proxy)
	c.sendHeldChanges(c.host.Now())
	c.syncProxies(c.host.Now())
}

// WithdrawalsHeld handles the number of backends that a proxy, which connects next and has no table of
// any controller, may have been told not to use. The first entry of such a backend lifts its
// withdrawal at the proxy, which costs one more line.
func (c *Controller) WithdrawalsHeld(id, backends int) {
	c.stateOf(id).heldByNext = float64(backends)
}

// SeedDemand sets the demand of a proxy that connected to this controller to the rates that another
// controller measured, in requests per second by class.
func (c *Controller) SeedDemand(id int, rates []RequestsPerSecond) { copy(c.proxies[id].demand, rates) }

// SeedThroughput adopts each of the two figures of another controller's Throughput, if this
// controller has not measured that figure itself.
func (c *Controller) SeedThroughput(proven, saturated float64) {
	c.admission.seedThroughput(proven, saturated)
}

// Throughput returns the measured throughput of the fleet per unit of weight and of baseline
// demand, in units per second (see admission.go): without a queue at the backends, and with one. A
// figure is 0 if it is unknown.
func (c *Controller) Throughput() (proven, saturated float64) {
	return c.admission.provenThroughput, c.admission.saturatedThroughput
}

// SetClassQuota limits how many requests of a class the whole fleet may be sent per second, by all
// controllers together; 0 means unlimited.
func (c *Controller) SetClassQuota(class int, quota RequestsPerSecond) {
	c.admission.quota[class] = quota
	c.distributeLimits()
}

// Ejection reports whether a backend is ejected because of outcomes at this controller's own
// proxies. It also returns the attempts and failures that led to the ejection, as far as they are
// known, and the length of the ejection.
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

// timerTag returns the tag of the timers of this incarnation, which is unique since each
// incarnation has its own seed.
func (c *Controller) timerTag() uint64 { return c.seed }

// QueueDelay returns the time that the push channel takes to send all queued lines. The last queued
// line cannot be acknowledged sooner.
func (c *Controller) QueueDelay() Microseconds { return c.pushQueue.delay() }

// randomFraction returns a random number from 0 to 1, determined by the seed and the number of
// earlier draws.
func (c *Controller) randomFraction() float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, c.seed, " ", c.randomDraws) // writing to a hash never fails
	c.randomDraws++
	return float64(hash.Sum64()>>11) / (1 << 53)
}

// logf records a decision about a backend, or, with -1 as the backend, about no single backend.
func (c *Controller) logf(backend int, format string, args ...any) {
	c.host.Log(backend, fmt.Sprintf(format, args...))
}
