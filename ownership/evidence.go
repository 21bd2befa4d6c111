package ownership

import (
	"maps"
	"slices"
)

// Evidence gathers what a member's proxies met, for the others: sums by backend since the last report, which backends
// are withdrawn here, what comes to each proxy, and what the fleet was seen to be able to do. It reports at most once
// in an interval, but at once when a backend is withdrawn or back.
type Evidence struct {
	interval   int64 // µs between two reports
	reportedAt int64

	observed      map[string]Observation // since the last report, by backend
	withdrawn     map[string]Observation // backends that are withdrawn here
	lastWithdrawn map[string]Observation // those of the last report

	demand        map[int][]rate // by proxy and class
	changedDemand map[int]bool   // proxies whose demand differs from what was last reported
	lastDemand    map[int][]float64

	capacity     Capacity
	lastCapacity Capacity
}

// rate follows requests a second.
type rate struct {
	perSecond float64
	window    int64
}

// Capacity is what a fleet was seen to do, in units a second for each unit of weight and of ordinary traffic, so that
// it holds for another member's proxies as well: without a queue, and with one. 0 is not known.
type Capacity struct {
	Proven    float64 `cbor:"1,keyasint"`
	Saturated float64 `cbor:"2,keyasint"`
}

// Demand is what comes to a proxy, requests a second by class.
type Demand struct {
	Proxy int       `cbor:"1,keyasint"`
	Rates []float64 `cbor:"2,keyasint"`
}

const (
	maxDemands        = 64               // proxies whose demand is reported at a time, the rest the next
	demandTolerance   = 0.2              // demand that differs by less is the same
	capacityTolerance = 0.1              // and so is a fleet's ability
	demandWindow      = int64(5e6)       // µs that demand is weighed over
	reportInterval    = int64(1_000_000) // µs
)

// NewEvidence begins with none.
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

// AddOutcomes adds what our proxies met at a backend: tries, those that failed, the mean time of the others and the span
// in µs.
func (v *Evidence) AddOutcomes(backend string, tries, failed int, mean, span int64) {
	s := v.observed[backend]
	if answered := int64(s.Attempts - s.Failed + tries - failed); answered > 0 {
		s.MeanLatency = (s.MeanLatency*int64(s.Attempts-s.Failed) + mean*int64(tries-failed)) / answered
	}
	s.Backend, s.Attempts, s.Failed, s.Window = backend, s.Attempts+tries, s.Failed+failed, max(s.Window, span)
	v.observed[backend] = s
}

// SetWithdrawn notes that a backend is withdrawn here, by so many tries of which so many failed, or is not. Wait is its
// back-off.
func (v *Evidence) SetWithdrawn(backend string, withdrawn bool, tries, failed int, wait int64) {
	if !withdrawn {
		delete(v.withdrawn, backend)
	} else if _, was := v.withdrawn[backend]; !was {
		v.withdrawn[backend] = Observation{Backend: backend, Attempts: max(tries, 1), Failed: max(failed, 1), Withdrawn: true, Backoff: wait}
	}
}

// ForgetBackend ends what is kept of a backend.
func (v *Evidence) ForgetBackend(backend string) {
	delete(v.observed, backend)
	delete(v.withdrawn, backend)
	delete(v.lastWithdrawn, backend)
}

// AddDemand adds what came to a proxy.
func (v *Evidence) AddDemand(proxy, class, count int, span int64) {
	if span <= 0 {
		return
	}
	rates := v.demand[proxy]
	for len(rates) <= class {
		rates = append(rates, rate{})
	}
	r := &rates[class]
	r.perSecond += (float64(count)*1e6 - r.perSecond*float64(span)) / float64(min(r.window, demandWindow)+span)
	r.window += span
	v.demand[proxy] = rates
	if reported := v.lastDemand[proxy]; class >= len(reported) || differs(r.perSecond, reported[class], demandTolerance) {
		v.changedDemand[proxy] = true
	}
}

func differs(now, reported, by float64) bool { return now > reported*(1+by) || now < reported*(1-by) }

// ForgetProxy ends what is kept of a proxy.
func (v *Evidence) ForgetProxy(proxy int) {
	delete(v.demand, proxy)
	delete(v.changedDemand, proxy)
	delete(v.lastDemand, proxy)
}

// SetCapacity notes what the fleet was seen to be able to do.
func (v *Evidence) SetCapacity(capacity Capacity) { v.capacity = capacity }

// TakeDue gives what is to be reported now, if anything is.
func (v *Evidence) TakeDue(now int64) (observations []Observation, demands []Demand, capacity Capacity) {
	turned := len(v.withdrawn) != len(v.lastWithdrawn)
	for id := range v.withdrawn {
		_, reported := v.lastWithdrawn[id]
		turned = turned || !reported
	}
	if !turned && now-v.reportedAt < v.interval {
		return nil, nil, Capacity{}
	}
	v.reportedAt = now
	for _, id := range slices.Sorted(maps.Keys(v.lastWithdrawn)) {
		if _, still := v.withdrawn[id]; !still {
			s := v.observed[id]
			s.Backend = id // with or without what was met since: it is not withdrawn any more
			v.observed[id] = s
		}
	}
	for id, s := range v.withdrawn {
		if _, reported := v.lastWithdrawn[id]; reported {
			delete(v.observed, id) // it stands as it was reported
		} else {
			v.observed[id] = s
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.observed)) {
		observations = append(observations, v.observed[id])
	}
	v.observed, v.lastWithdrawn = map[string]Observation{}, maps.Clone(v.withdrawn)
	for _, proxy := range slices.Sorted(maps.Keys(v.changedDemand)) {
		if len(demands) == maxDemands {
			break
		}
		c := Demand{Proxy: proxy}
		for _, r := range v.demand[proxy] {
			c.Rates = append(c.Rates, r.perSecond)
		}
		demands, v.lastDemand[proxy] = append(demands, c), c.Rates
		delete(v.changedDemand, proxy)
	}
	if differs(v.capacity.Proven, v.lastCapacity.Proven, capacityTolerance) ||
		differs(v.capacity.Saturated, v.lastCapacity.Saturated, capacityTolerance) {
		capacity, v.lastCapacity = v.capacity, v.capacity
	}
	return observations, demands, capacity
}
