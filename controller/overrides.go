package controller

import (
	"math"
	"strconv"
	"strings"

	"wheelrill/balancer"
	"wheelrill/distribution"
)

// Kinds of distributed entries. The name of an entry is its kind, a slash, and what it is about; an entry of the scope
// "pricing" that drains the backend s-1 has the name "drain/s-1".
const (
	kindDrain   = "drain"   // of a backend
	kindWeight  = "weight"  // of a backend
	kindLimit   = "limit"   // of a class, requests a second of the whole fleet; of a tenant it is carried alone
	kindRoute   = "route"   // by its name
	kindService = "service" // by its name
)

const kindSeparator = "/"

// overrides are what distributed entries say of backends, over discovery's word, and of classes. They belong to the module.
type overrides struct {
	limits  map[string]map[distribution.Key]float64        // by class, requests a second
	drains  map[string]map[distribution.Key]int64          // by backend, when the entries that drain it were accepted, Unix µs
	weights map[string]map[distribution.Key]weightOverride // by backend
	listed  []balancer.Endpoint                            // by index, as discovery has it; an index that is given anew is listed anew
}

// weightOverride is a weight and the revision that set it.
type weightOverride struct {
	weight   float64
	revision uint64
}

func newOverrides() *overrides {
	return &overrides{drains: map[string]map[distribution.Key]int64{}, weights: map[string]map[distribution.Key]weightOverride{},
		limits: map[string]map[distribution.Key]float64{}}
}

// subject is what an entry is about: a backend, or a class, or for others neither.
type subject struct{ backend, class string }

// apply takes an entry in; it gives what the decisions have to hear of anew. False: the entry makes no sense, and counts as if it
// were not there.
func (o *overrides) apply(e distribution.Entry) (changed subject, ok bool) {
	kind, about, _ := strings.Cut(e.Name, kindSeparator)
	switch kind {
	case kindDrain:
		ok = e.Deleted || string(e.Value) == drainValue
		setOverride(o.drains, about, e.Key(), e.AcceptedAt, ok && !e.Deleted)
		return subject{backend: about}, ok
	case kindWeight:
		weight, usable := parseWeight(string(e.Value))
		setOverride(o.weights, about, e.Key(), weightOverride{weight, e.Revision}, usable && !e.Deleted)
		return subject{backend: about}, usable || e.Deleted
	case kindLimit:
		limit, usable := parseLimit(string(e.Value))
		setOverride(o.limits, about, e.Key(), limit, usable && !e.Deleted)
		return subject{class: about}, usable || e.Deleted
	}
	return subject{}, true
}

// setOverride keeps what a key says of a backend, or forgets it.
func setOverride[T any](by map[string]map[distribution.Key]T, backend string, key distribution.Key, value T, stands bool) {
	switch {
	case !stands:
		if delete(by[backend], key); len(by[backend]) == 0 {
			delete(by, backend)
		}
	case by[backend] == nil:
		by[backend] = map[distribution.Key]T{key: value}
	default:
		by[backend][key] = value
	}
}

// drainValue is the one value of a drain.
const drainValue = "true"

// maxWeight is beyond what a list can mean.
const maxWeight = 1e6

func parseWeight(text string) (float64, bool) {
	weight, err := strconv.ParseFloat(text, 64)
	return weight, err == nil && weight > 0 && weight <= maxWeight
}

// minLimit stands for a limit of 0, as 0 is none at all for the decisions: they let little through then, to hear of it.
const minLimit = 1e-9

func parseLimit(text string) (float64, bool) {
	limit, err := strconv.ParseFloat(text, 64)
	return max(limit, minLimit), err == nil && limit >= 0 && !math.IsInf(limit, 1)
}

// limitOf is the least limit that stands for a class; 0 where there is none.
func (o *overrides) limitOf(class string) (least float64) {
	for _, limit := range o.limits[class] {
		if least == 0 || limit < least {
			least = limit
		}
	}
	return least
}

// reset forgets all distributed entries, and gives what they were about.
func (o *overrides) reset() (changed []subject) {
	for backend := range o.drains {
		changed = append(changed, subject{backend: backend})
	}
	for backend := range o.weights {
		changed = append(changed, subject{backend: backend})
	}
	for class := range o.limits {
		changed = append(changed, subject{class: class})
	}
	o.limits = map[string]map[distribution.Key]float64{}
	o.drains, o.weights = map[string]map[distribution.Key]int64{}, map[string]map[distribution.Key]weightOverride{}
	return changed
}

// weightOf is the weight that stands for a backend: of several scopes' the one that was set last.
func (o *overrides) weightOf(backend string) (weight float64, ok bool) {
	var last weightOverride
	for _, w := range o.weights[backend] {
		if w.revision > last.revision || w.revision == last.revision && w.weight < last.weight || !ok {
			last, ok = w, true
		}
	}
	return last.weight, ok
}

// drainedSince is when the first of the entries that drain a backend was accepted, Unix µs; 0 where none says.
func (o *overrides) drainedSince(backend string) (since int64) {
	for _, at := range o.drains[backend] {
		if at > 0 && (since == 0 || at < since) {
			since = at
		}
	}
	return since
}

// noteListed keeps what discovery says of a backend.
func (o *overrides) noteListed(e balancer.Endpoint) {
	for len(o.listed) <= e.Backend {
		o.listed = append(o.listed, balancer.Endpoint{})
	}
	o.listed[e.Backend] = e
}

// noteUnlisted notes those that a whole list lacks.
func (o *overrides) noteUnlisted(listed map[int]bool) {
	for backend := range o.listed {
		if _, named := listed[backend]; !named {
			o.listed[backend].State = balancer.Removed
		}
	}
}

// merged adds the entry of a backend as the decisions are to have it. One that is drained and that discovery has dropped
// is drained first: dropped alone, it might go on being used.
func (o *overrides) merged(to []balancer.Endpoint, id string, e balancer.Endpoint) []balancer.Endpoint {
	if weight, ok := o.weightOf(id); ok {
		e.Weight = weight
	}
	if len(o.drains[id]) == 0 {
		return append(to, e)
	}
	gone := e
	e.State, e.DrainingSince = balancer.Draining, o.drainedSince(id)
	if to = append(to, e); gone.State == balancer.Removed {
		to = append(to, gone)
	}
	return to
}
