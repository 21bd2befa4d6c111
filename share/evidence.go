package share

import (
	"maps"
	"slices"
)

// Evidence gathers what a member's proxies met, for the others: sums by backend since they were last told, which backends
// are withdrawn here, what comes to each proxy, and what the fleet was seen to be able to do. It is told at most once in a
// span, but at once when a backend is withdrawn or back.
type Evidence struct {
	every  int64 // µs between two times that it is told
	toldAt int64
	met    map[string]Seen
	away   map[string]Seen // withdrawn, as last told
	now    map[string]Seen // and as it is
	came   map[int][]rate  // by proxy and class
	moved  map[int]bool    // proxies whose demand differs from what was last told
	told   map[int][]float64
	fit    Fit
	fitted Fit // as last told
}

// rate follows requests a second.
type rate struct {
	perS float64
	span int64
}

// Fit is what a fleet was seen to do, in units a second for each unit of weight and of ordinary traffic, so that it holds
// for another member's proxies as well: without a queue, and with one. 0 is not known.
type Fit struct {
	Proven float64 `cbor:"1,keyasint"`
	Able   float64 `cbor:"2,keyasint"`
}

// Came is what comes to a proxy, requests a second by class.
type Came struct {
	Proxy int       `cbor:"1,keyasint"`
	Rates []float64 `cbor:"2,keyasint"`
}

const (
	mostCame  = 64               // proxies whose demand is told at a time, the rest the next
	otherRate = 0.2              // demand that differs by less is the same
	otherFit  = 0.1              // and so is a fleet's ability
	rateOver  = int64(5e6)       // µs that demand is weighed over
	usualTell = int64(1_000_000) // µs
)

// NewEvidence begins with none.
func NewEvidence() *Evidence {
	return &Evidence{every: usualTell, met: map[string]Seen{}, away: map[string]Seen{}, now: map[string]Seen{},
		came: map[int][]rate{}, moved: map[int]bool{}, told: map[int][]float64{}}
}

// Met adds what our proxies met at a backend: tries, those that failed, the mean time of the others and the span in µs.
func (v *Evidence) Met(backend string, tries, failed int, mean, span int64) {
	s := v.met[backend]
	if answered := int64(s.Tries - s.Failed + tries - failed); answered > 0 {
		s.Mean = (s.Mean*int64(s.Tries-s.Failed) + mean*int64(tries-failed)) / answered
	}
	s.Backend, s.Tries, s.Failed, s.Span = backend, s.Tries+tries, s.Failed+failed, max(s.Span, span)
	v.met[backend] = s
}

// Away notes that a backend is withdrawn here, by so many tries of which so many failed, or is not. Wait is its back-off.
func (v *Evidence) Away(backend string, away bool, tries, failed int, wait int64) {
	if !away {
		delete(v.now, backend)
	} else if _, was := v.now[backend]; !was {
		v.now[backend] = Seen{Backend: backend, Tries: max(tries, 1), Failed: max(failed, 1), Away: true, Wait: wait}
	}
}

// Forget ends what is kept of a backend.
func (v *Evidence) Forget(backend string) {
	delete(v.met, backend)
	delete(v.now, backend)
	delete(v.away, backend)
}

// Comes adds what came to a proxy.
func (v *Evidence) Comes(proxy, class, count int, span int64) {
	if span <= 0 {
		return
	}
	rates := v.came[proxy]
	for len(rates) <= class {
		rates = append(rates, rate{})
	}
	r := &rates[class]
	r.perS += (float64(count)*1e6 - r.perS*float64(span)) / float64(min(r.span, rateOver)+span)
	r.span += span
	v.came[proxy] = rates
	if told := v.told[proxy]; class >= len(told) || differs(r.perS, told[class], otherRate) {
		v.moved[proxy] = true
	}
}

func differs(now, told, by float64) bool { return now > told*(1+by) || now < told*(1-by) }

// Leaves ends what is kept of a proxy.
func (v *Evidence) Leaves(proxy int) {
	delete(v.came, proxy)
	delete(v.moved, proxy)
	delete(v.told, proxy)
}

// Fits notes what the fleet was seen to be able to do.
func (v *Evidence) Fits(f Fit) { v.fit = f }

// Due gives what is to be told now, if anything is.
func (v *Evidence) Due(now int64) (seen []Seen, came []Came, fit Fit) {
	turned := len(v.now) != len(v.away)
	for id := range v.now {
		_, told := v.away[id]
		turned = turned || !told
	}
	if !turned && now-v.toldAt < v.every {
		return nil, nil, Fit{}
	}
	v.toldAt = now
	for _, id := range slices.Sorted(maps.Keys(v.away)) {
		if _, still := v.now[id]; !still {
			s := v.met[id]
			s.Backend = id // with or without what was met since: it is not withdrawn any more
			v.met[id] = s
		}
	}
	for id, s := range v.now {
		if _, told := v.away[id]; told {
			delete(v.met, id) // it stands as it was told
		} else {
			v.met[id] = s
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.met)) {
		seen = append(seen, v.met[id])
	}
	v.met, v.away = map[string]Seen{}, maps.Clone(v.now)
	for _, proxy := range slices.Sorted(maps.Keys(v.moved)) {
		if len(came) == mostCame {
			break
		}
		c := Came{Proxy: proxy}
		for _, r := range v.came[proxy] {
			c.Rates = append(c.Rates, r.perS)
		}
		came, v.told[proxy] = append(came, c), c.Rates
		delete(v.moved, proxy)
	}
	if differs(v.fit.Proven, v.fitted.Proven, otherFit) || differs(v.fit.Able, v.fitted.Able, otherFit) {
		fit, v.fitted = v.fit, v.fit
	}
	return seen, came, fit
}
