package ownership

import (
	"maps"
	"slices"
)

// Evidence gathers what a member's proxies met, for the other members: outcomes by backend since the last report, which
// backends are withdrawn here, the demand at each proxy, and the fleet's capacity. It is reported at most once a
// reportInterval, and at once when a backend is withdrawn or restored. It is not safe for concurrent use.
type Evidence struct {
	interval   Microseconds // reportInterval, or less in tests
	reportedAt Microseconds

	observed      map[string]Observation // since the last report, by backend
	withdrawn     map[string]Observation // backends that are withdrawn here
	lastWithdrawn map[string]Observation // those of the last report

	demand        map[int][]rate    // by proxy and class
	changedDemand map[int]bool      // proxies whose demand differs from the last report
	lastDemand    map[int][]float64 // of the last report

	capacity     Capacity
	lastCapacity Capacity // of the last report
}

// Report is what is due for the other members; empty if nothing is.
type Report struct {
	// Observations are by backend, in the order of their ids.
	Observations []Observation
	// Demands are in the order of the proxies, at most maxDemands; the rest is due next.
	Demands []Demand
	// Capacity is the zero value where it has not changed.
	Capacity Capacity
}

// When something is reported, and how much of it.
const (
	maxDemands        = 64  // proxies in a report
	demandTolerance   = 0.2 // a change of demand by less is not reported
	capacityTolerance = 0.1 // a change of capacity by less is not reported

	demandWindow   = Microseconds(5_000_000) // over which demand is averaged
	reportInterval = Microseconds(1_000_000) // between two reports
)

// rate is an average of requests a second.
type rate struct {
	perSecond float64
	window    Microseconds // that were averaged so far
}

// add includes further requests within a span of time.
func (r *rate) add(requests int, span Microseconds) {
	r.perSecond += (float64(requests)*1e6 - r.perSecond*float64(span)) / float64(min(r.window, demandWindow)+span)
	r.window += span
}

// NewEvidence makes an empty one.
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

// AddOutcomes adds what our proxies met at a backend within a window: attempts, how many of them failed, and the mean
// latency of the others.
func (v *Evidence) AddOutcomes(backend string, attempts, failed int, meanLatency, window Microseconds) {
	observation := v.observed[backend]
	before := int64(observation.Attempts - observation.Failed)
	succeeded := int64(attempts - failed)
	if before+succeeded > 0 {
		observation.MeanLatency = (observation.MeanLatency*before + meanLatency*succeeded) / (before + succeeded)
	}
	observation.Backend = backend
	observation.Attempts += attempts
	observation.Failed += failed
	observation.Window = max(observation.Window, window)
	v.observed[backend] = observation
}

// SetWithdrawn notes whether a backend is withdrawn here, for so many attempts of which so many failed, and for how long.
func (v *Evidence) SetWithdrawn(backend string, withdrawn bool, attempts, failed int, backoff Microseconds) {
	if !withdrawn {
		delete(v.withdrawn, backend)
		return
	}
	if _, already := v.withdrawn[backend]; already {
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

// ForgetBackend drops all of a backend that is gone.
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
	last := v.lastDemand[proxy]
	if class >= len(last) || differs(rates[class].perSecond, last[class], demandTolerance) {
		v.changedDemand[proxy] = true
	}
}

// ForgetProxy drops all of a proxy that is gone.
func (v *Evidence) ForgetProxy(proxy int) {
	delete(v.demand, proxy)
	delete(v.changedDemand, proxy)
	delete(v.lastDemand, proxy)
}

// SetCapacity notes what the fleet was seen to reach.
func (v *Evidence) SetCapacity(capacity Capacity) { v.capacity = capacity }

// TakeDue gives what is to be reported now, and counts it as reported.
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

// withdrawalsChanged tells whether a backend was withdrawn or restored since the last report.
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

// takeObservations gives what was observed since the last report. A backend that was withdrawn since is reported with the
// reason instead, one that is still withdrawn not at all, and one that was restored with whatever was observed.
func (v *Evidence) takeObservations() (observations []Observation) {
	for backend := range v.lastWithdrawn {
		if _, still := v.withdrawn[backend]; !still {
			observation := v.observed[backend]
			observation.Backend = backend
			v.observed[backend] = observation
		}
	}
	for backend, reason := range v.withdrawn {
		if _, reported := v.lastWithdrawn[backend]; reported {
			delete(v.observed, backend)
		} else {
			v.observed[backend] = reason
		}
	}
	for _, backend := range slices.Sorted(maps.Keys(v.observed)) {
		observations = append(observations, v.observed[backend])
	}
	v.observed = map[string]Observation{}
	v.lastWithdrawn = maps.Clone(v.withdrawn)
	return observations
}

// takeDemands gives the demand of proxies for which it has changed.
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

// takeCapacity gives the capacity if it has changed.
func (v *Evidence) takeCapacity() Capacity {
	provenDiffers := differs(v.capacity.Proven, v.lastCapacity.Proven, capacityTolerance)
	saturatedDiffers := differs(v.capacity.Saturated, v.lastCapacity.Saturated, capacityTolerance)
	if !provenDiffers && !saturatedDiffers {
		return Capacity{}
	}
	v.lastCapacity = v.capacity
	return v.capacity
}

// differs tells whether a value is outside a tolerance, a part of 1, around what was reported.
func differs(now, reported, tolerance float64) bool {
	return now > reported*(1+tolerance) || now < reported*(1-tolerance)
}
