package ownership

import (
	"maps"
	"slices"
)

// Evidence collects observations by a member's proxies for the other members: outcomes by backend
// since the last report, the backends that this member has withdrawn, the demand at each proxy, and
// the fleet's capacity. A report is due at most once in a reportInterval, and at once when a
// backend is withdrawn or restored. An Evidence is not safe for concurrent use.
type Evidence struct {
	interval   Microseconds // minimum time between two reports: reportInterval, or less in tests
	reportedAt Microseconds

	observed map[string]Observation // outcomes since the last report, by backend
	// withdrawn holds the outcomes because of which this member has withdrawn a backend, by
	// backend.
	withdrawn     map[string]Observation
	lastWithdrawn map[string]Observation // content of the field withdrawn at the last report

	demand        map[int][]rate    // average requests per second, by proxy and class
	changedDemand map[int]bool      // proxies whose demand differs from the last reported demand
	lastDemand    map[int][]float64 // requests per second as last reported, by proxy and class

	capacity     Capacity
	lastCapacity Capacity // the capacity as last reported
}

// Report holds the evidence that is due to be sent to the other members; it is empty if nothing is
// due.
type Report struct {
	// Observations are sorted by backend ID.
	Observations []Observation
	// Demands are sorted by proxy, at most maxDemands; further demands are due with the next
	// report.
	Demands []Demand
	// Capacity is the zero value if the capacity differs by no more than capacityTolerance from the
	// last reported capacity.
	Capacity Capacity
}

// Limits on the content of reports, and on the times of reports.
const (
	maxDemands        = 64  // maximum number of proxies whose demand is in one report
	demandTolerance   = 0.2 // a smaller relative change of a proxy's demand is not reported
	capacityTolerance = 0.1 // a smaller relative change of the capacity is not reported

	demandWindow = Microseconds(5_000_000) // span over which demand is averaged, in microseconds
	// reportInterval is the minimum time between two reports, in microseconds, unless withdrawals
	// change.
	reportInterval = Microseconds(1_000_000)
)

// rate is an average of requests per second.
type rate struct {
	perSecond float64
	window    Microseconds // sum of the spans of all calls of add so far
}

// add updates the average with requests that arrived within a further span of time.
func (r *rate) add(requests int, span Microseconds) {
	r.perSecond += (float64(requests)*1e6 - r.perSecond*float64(span)) / float64(min(r.window, demandWindow)+span)
	r.window += span
}

// NewEvidence returns an Evidence without observations.
func NewEvidence() *Evidence {
	return &Evidence{
		interval:      reportInterval,
		observed:      map[string]Observation{},
		withdrawn:     map[string]Observation{},
		lastWithdrawn: map[string]Observation{},
		demand:        map[int][]rate{},
		changedDemand: map[int]bool{},
		lastDemand:    map[int][]float64{},
	}
}

// AddOutcomes adds what this member's proxies observed at a backend within a window: the attempts,
// how many of them failed, and the mean latency of the attempts that did not fail.
func (v *Evidence) AddOutcomes(backend string, attempts, failed int, meanLatency, window Microseconds) {
	observation := v.observed[backend]
	succeededBefore := int64(observation.Attempts - observation.Failed)
	succeeded := int64(attempts - failed)
	if succeededBefore+succeeded > 0 {
		observation.MeanLatency = (observation.MeanLatency*succeededBefore + meanLatency*succeeded) /
			(succeededBefore + succeeded)
	}
	observation.Backend = backend
	observation.Attempts += attempts
	observation.Failed += failed
	observation.Window = max(observation.Window, window)
	v.observed[backend] = observation
}

// SetWithdrawn records whether this member has withdrawn a backend, with the numbers of attempts
// and failures that led to the withdrawal, and its duration. A backend that is already withdrawn
// keeps its first reason.
func (v *Evidence) SetWithdrawn(backend string, withdrawn bool, attempts, failed int, backoff Microseconds) {
	if !withdrawn {
		delete(v.withdrawn, backend)
		return
	}
	if _, alreadyWithdrawn := v.withdrawn[backend]; alreadyWithdrawn {
		return
	}
	v.withdrawn[backend] = Observation{
		Backend:   backend,
		Attempts:  max(attempts, 1),
		Failed:    max(failed, 1),
		Withdrawn: true,
		Backoff:   backoff,
	}
}

// ForgetBackend drops all observations of a backend that was removed.
func (v *Evidence) ForgetBackend(backend string) {
	delete(v.observed, backend)
	delete(v.withdrawn, backend)
	delete(v.lastWithdrawn, backend)
}

// AddDemand adds requests of one class that clients sent to a proxy within a span of time.
func (v *Evidence) AddDemand(proxy, class, requests int, span Microseconds) {
	if span <= 0 {
		return
	}
	rates := v.demand[proxy]
	for len(rates) <= class {
		rates = append(rates, rate{})
	}
	v.demand[proxy] = rates
	rates[class].add(requests, span)
	lastReported := v.lastDemand[proxy]
	if class >= len(lastReported) || differs(rates[class].perSecond, lastReported[class], demandTolerance) {
		v.changedDemand[proxy] = true
	}
}

// ForgetProxy drops the demand of a proxy that has disconnected.
func (v *Evidence) ForgetProxy(proxy int) {
	delete(v.demand, proxy)
	delete(v.changedDemand, proxy)
	delete(v.lastDemand, proxy)
}

// SetCapacity records the capacity that the fleet was observed to reach.
func (v *Evidence) SetCapacity(capacity Capacity) { v.capacity = capacity }

// TakeDue returns the report that is due now, and counts it as reported.
func (v *Evidence) TakeDue(now Microseconds) Report {
	if !v.withdrawalsChanged() && now-v.reportedAt < v.interval {
		return Report{}
	}
	v.reportedAt = now
	return Report{
		Observations: v.takeObservations(),
		Demands:      v.takeDemands(),
		Capacity:     v.takeCapacity(),
	}
}

// withdrawalsChanged reports whether a backend was withdrawn or restored since the last report.
func (v *Evidence) withdrawalsChanged() bool {
	if len(v.withdrawn) != len(v.lastWithdrawn) {
		return true
	}
	for backend := range v.withdrawn {
		if _, reported := v.lastWithdrawn[backend]; !reported {
			return true
		}
	}
	return false
}

// takeObservations returns the observations since the last report. A backend that was withdrawn
// since then is reported with the reason for the withdrawal instead. A backend that is still
// withdrawn is not reported. A backend that was restored is reported with its outcomes since the
// last report, even if there are none.
func (v *Evidence) takeObservations() (observations []Observation) {
	for backend := range v.lastWithdrawn {
		if _, stillWithdrawn := v.withdrawn[backend]; !stillWithdrawn {
			observation := v.observed[backend]
			observation.Backend = backend
			v.observed[backend] = observation
		}
	}
	for backend, withdrawal := range v.withdrawn {
		if _, reported := v.lastWithdrawn[backend]; reported {
			delete(v.observed, backend)
		} else {
			v.observed[backend] = withdrawal
		}
	}
	for _, backend := range slices.Sorted(maps.Keys(v.observed)) {
		observations = append(observations, v.observed[backend])
	}
	v.observed = map[string]Observation{}
	v.lastWithdrawn = maps.Clone(v.withdrawn)
	return observations
}

// takeDemands returns the demands of proxies whose demand differs from the last reported demand, at
// most maxDemands.
func (v *Evidence) takeDemands() (demands []Demand) {
	changed := slices.Sorted(maps.Keys(v.changedDemand))
	for _, proxy := range changed[:min(len(changed), maxDemands)] {
		var rates []float64
		for _, rate := range v.demand[proxy] {
			rates = append(rates, rate.perSecond)
		}
		demands = append(demands, Demand{Proxy: proxy, Rates: rates})
		v.lastDemand[proxy] = rates
		delete(v.changedDemand, proxy)
	}
	return demands
}

// takeCapacity returns the capacity if it differs by more than capacityTolerance from the last
// reported capacity, and otherwise the zero value.
func (v *Evidence) takeCapacity() Capacity {
	provenDiffers := differs(v.capacity.Proven, v.lastCapacity.Proven, capacityTolerance)
	saturatedDiffers := differs(v.capacity.Saturated, v.lastCapacity.Saturated, capacityTolerance)
	if !provenDiffers && !saturatedDiffers {
		return Capacity{}
	}
	v.lastCapacity = v.capacity
	return v.capacity
}

// differs reports whether a value is outside a tolerance around the reported value. The tolerance
// is a fraction of the reported value.
func differs(current, reported, tolerance float64) bool {
	return current > reported*(1+tolerance) || current < reported*(1-tolerance)
}
