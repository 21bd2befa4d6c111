package balancer

import "cmp"

// Admission scopes: a limit counts only what can serve the requests that it limits. The requests of
// shared classes can go to the whole fleet, and those of zone-local classes only to the backends of
// their proxy's zone. So the fleet and each zone are a scope, with load figures and a limit of its
// own; admission.go states how a limit changes. A backend serves requests of both scopes that it
// belongs to. The demand of a zone's scope therefore includes the shared requests that the zone's
// backends get, and the demand of the fleet includes the zone-local requests.

// entireFleet is the zone of the scope that holds all backends.
const entireFleet = -1

// admissionScope holds what is known about the throughput of a group of backends, and the limit on
// the requests that only these backends can serve.
type admissionScope struct {
	zone int // index of the zone whose backends belong to the scope, or entireFleet

	// provenThroughput is the highest number of units per second that was admitted without a queue
	// at the backends, divided by the published capacity; 0 if unknown.
	provenThroughput float64
	// saturatedThroughput is the number of units per second that was answered while queues stood at
	// nearly all backends, divided by the reported capacity; 0 if unknown.
	saturatedThroughput float64

	limitShare   float64 // limit as a share of the saturated throughput; 0 until a limit is needed
	limit        float64 // limit on the admitted demand of all classes, in units per second
	limiting     bool    // the offered demand exceeds the limit
	latencyRatio float64 // latency ratio at the last evaluation
	evaluated    bool    // an evaluation had reports of these backends
	emptied      bool    // the tables have no entry, but had entries before
	// refilledAt is the time at which the tables, which were emptied, got entries again; 0 if they
	// were never emptied. Reports show the throughput only from then on.
	refilledAt Microseconds

	// backendQueueClearAt is the time by which the queue at the backends is to be cleared. It is
	// set when lowerLimit lowers the limit because of a queue.
	backendQueueClearAt Microseconds
	// holdUntil is the time from which reports can show the cleared queue. Until then, only
	// holdLimit changes the limit.
	holdUntil Microseconds
	// overloadedSince is the time at which evaluations began to show queues at nearly all backends;
	// 0 without such queues.
	overloadedSince Microseconds
	raisedAt        Microseconds // time at which the limit was last raised, or set ahead of reports

	// The following fields are those of cold starts (cold_start.go).

	coldStart      bool // nearly all of the weight in the tables is warming up
	coldStartEnded bool // a cold start is over, and the limits are not yet divided again
	deferred       bool // backends that are warming up get no entry, since the demand would overload them
	// demandRatio is the offered demand divided by the baseline demand, in units per request, at the
	// last evaluation for which all proxies can have reported; 0 if unknown.
	demandRatio float64

	// assumesDemand is set while the limit rests on the assumption that the listed weights carry the
	// demand, and assumedDemandKnown once that demand was reported by all proxies.
	assumesDemand, assumedDemandKnown bool

	targetLimits    []float64 // limits to be published, by class: a share or a rate; 0 means no limit
	publishedLimits []float64 // limits that were last published, by class
}

func newAdmissionScope(zone, classes int) admissionScope {
	return admissionScope{
		zone:            zone,
		targetLimits:    make([]float64, classes),
		publishedLimits: make([]float64, classes),
	}
}

// scopes returns the scope of the whole fleet, and those of all zones.
func (c *Controller) scopes() []*admissionScope {
	return append([]*admissionScope{&c.admission.admissionScope}, c.admission.zones...)
}

// addZoneScopes adds the scopes of zones up to the given index, if zone-local classes need them.
func (c *Controller) addZoneScopes(zone int) {
	if c.zoneLocalClasses == 0 || c.sharding.enabled() {
		return
	}
	for len(c.admission.zones) <= zone {
		scope := newAdmissionScope(len(c.admission.zones), len(c.classes))
		c.admission.zones = append(c.admission.zones, &scope)
	}
}

// zoneScope returns the scope of a zone. Where no class needs one, that is the whole fleet.
func (c *Controller) zoneScope(zone int) *admissionScope {
	if zone >= len(c.admission.zones) {
		return &c.admission.admissionScope
	}
	return c.admission.zones[zone]
}

// limitsClasses reports whether any class is limited by the limit of a scope.
func (c *Controller) limitsClasses(scope *admissionScope) bool {
	return scope.zone != entireFleet || c.sharedClasses != 0
}

// includes reports whether a backend or a proxy in the given zone belongs to the scope.
func (s *admissionScope) includes(zone int) bool { return s.zone == entireFleet || s.zone == zone }

// unreducedWeight returns the published weight that a backend has in the scope, as if it were not
// reduced: late answers do not diminish a backend's capacity.
func (s *admissionScope) unreducedWeight(backend *backendState) float64 {
	return s.weightOf(backend, backend.published) / cmp.Or(backend.reducedShare, 1)
}

// weightOf returns the one of a backend's weights that counts in the scope.
func (s *admissionScope) weightOf(backend *backendState, weights entryWeights) float64 {
	switch s.zone {
	case entireFleet:
		return weights.max()
	case backend.Zone:
		return weights.zone
	default:
		return 0
	}
}

// publishedWeight returns the unreduced published weight of all backends of a scope.
func (c *Controller) publishedWeight(scope *admissionScope) (weight float64) {
	for _, backend := range c.backends {
		weight += scope.unreducedWeight(backend)
	}
	return weight
}

// baselineDemandOf returns the requests per second that reach the proxies of a scope on ordinary
// days.
func (c *Controller) baselineDemandOf(scope *admissionScope) (total RequestsPerSecond) {
	for _, proxy := range c.proxies {
		if scope.includes(proxy.zone) {
			total += proxy.baselineRate
		}
	}
	return total
}

// noteRefill notes when the tables of a scope are emptied, and when they get entries again.
func (s *admissionScope) noteRefill(weightBefore, weight float64, now Microseconds) {
	if weight == 0 && weightBefore > 0 {
		s.emptied = true
	}
	if weight > 0 && s.emptied {
		s.emptied, s.refilledAt = false, now
	}
}

// exceedsLimit reports whether there is a limit and the offered demand exceeds it.
func (s *admissionScope) exceedsLimit(offered float64) bool {
	return s.limitShare > 0 && offered > s.limit
}

// updateProvenThroughput records the highest demand that was admitted without a queue. Demand
// proves nothing unless more than half of the published capacity has recent reports, nor during a
// cold start, in which it is limited by what was proven before.
func (s *admissionScope) updateProvenThroughput(load loadSummary) {
	noQueue := load.latencyRatio > 0 && load.latencyRatio < overloadedRatio
	if noQueue && !s.coldStart && load.recentCapacity > load.publishedCapacity/2 {
		s.provenThroughput = max(s.provenThroughput, load.admitted/load.publishedCapacity)
	}
}

// backendQueueTime estimates how long a new request waits at a backend, in microseconds.
func (load loadSummary) backendQueueTime() float64 {
	return max(0, load.latencyRatio-queueFreeRatio) * load.meanObjective
}

// holdLimit sets the limit to what the backends can sustain. The limit was lowered because of a
// queue at the backends, which is to be cleared by backendQueueClearAt. Until this time, holdLimit
// only lowers the limit further, if the queue has grown.
func (s *admissionScope) holdLimit(load loadSummary, now Microseconds) {
	// Reports are late: half of the queue that they show may already be cleared.
	queue := load.backendQueueTime() / 2
	share := max(minLimitShare, sustainableShare-queue/float64(backendQueueClearTime))
	if now >= s.backendQueueClearAt || share < s.limitShare {
		s.limitShare = share
	}
}

// lowerLimit takes the answered throughput as what the backends can do, and sets the limit below it
// so that the queues at the backends are cleared.
func (s *admissionScope) lowerLimit(load loadSummary, now, reportLag Microseconds) {
	// The throughput cannot exceed the admitted demand by more than a little. Answered requests
	// were certainly admitted, even if only little of the demand has been reported so far.
	admitted := max(load.admitted, load.answered)
	throughput := min(load.answered/load.reportedCapacity, maxHeadroom*admitted/load.publishedCapacity)
	if s.saturatedThroughput == 0 {
		s.saturatedThroughput = throughput
	}
	// The saturated throughput from before this overload may be outdated, so its mean with the
	// present throughput is used.
	s.saturatedThroughput = min((s.saturatedThroughput+throughput)/2, maxSaturatedGrowth*throughput)
	// Excess demand that was admitted before reports showed the queue has lengthened the queue, for
	// half of the report lag on average.
	answering := s.saturatedThroughput * (load.publishedCapacity - load.deadCapacity)
	queue := load.backendQueueTime()
	queue += max(0, load.admitted/answering-1) * float64(reportLag/2)
	s.limitShare = max(minLimitShare, sustainableShare-queue/float64(backendQueueClearTime))
	s.backendQueueClearAt = now + backendQueueClearTime
	s.holdUntil = now + backendQueueClearTime + reportLag
	s.overloadedSince = 0
	s.assumesDemand = false
}

// mayRaise reports whether the limit holds back demand although most backends are idle or the
// latency ratio is below overloadedRatio.
func (s *admissionScope) mayRaise(load loadSummary, idle bool) bool {
	return s.exceedsLimit(load.offered) && (idle || load.latencyRatio < overloadedRatio)
}

// raiseLimit raises the limit by a step, scaled by the share of the capacity that reports cover.
func (s *admissionScope) raiseLimit(load loadSummary, idle bool, now Microseconds) {
	step := raiseStep
	mostUnloaded := load.medianRatio < unloadedRatio && load.latencyRatio < overloadedRatio
	if idle || mostUnloaded {
		unloaded := (unloadedRatio - load.latencyRatio) / (unloadedRatio - queueFreeRatio)
		step = fastRaiseStep * (1 + 2*max(0, min(1, unloaded)))
	}
	s.raisedAt = now
	raised := s.limitShare * (1 + step*load.reportedCapacity/load.publishedCapacity)
	maxShare := maxHeadroom * load.offered / (s.saturatedThroughput * load.publishedCapacity)
	s.limitShare = min(raised, maxShare)
}
