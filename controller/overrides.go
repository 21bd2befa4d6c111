package controller

import (
	"math"
	"strconv"
	"strings"

	"wheelrill/balancer"
	"wheelrill/distribution"
)

// Kinds of distributed entries. The name of an entry is its kind, a slash, and what it is about; an entry of the scope "pricing" that
// drains the backend s-1 has the name "drain/s-1".
const (
	kindDrain   = "drain"   // of a backend
	kindWeight  = "weight"  // of a backend
	kindLimit   = "limit"   // of a class, requests a second of all proxies; of a tenant it is carried alone
	kindRoute   = "route"   // by its name
	kindService = "service" // by its name

	kindSeparator = "/"
)

// drainValue is the one value of a drain.
const drainValue = "true"

// maxWeight is beyond what a list can mean.
const maxWeight = 1e6

// minLimit stands for a limit of 0, as 0 is none at all for the decisions: they let little through then, to hear of it.
const minLimit = 1e-9

// overrides are what distributed entries say of backends, over discovery's word, and of classes. A backend or class may have entries
// of several scopes. The event loop owns it; after a restart it is filled anew by the distribution.
type overrides struct {
	classLimits map[string]map[distribution.Key]float64        // by class, requests a second
	drains      map[string]map[distribution.Key]microseconds   // by backend's id: when the entry was accepted
	weights     map[string]map[distribution.Key]weightOverride // by backend's id
	listed      []balancer.Endpoint                            // by backend, as discovery has it; an index that is given anew is listed anew
}

// weightOverride is a weight and the revision that set it.
type weightOverride struct {
	weight   float64
	revision uint64
}

func newOverrides() *overrides {
	o := &overrides{}
	o.clear()
	return o
}

// clear forgets all distributed entries.
func (o *overrides) clear() {
	o.classLimits = map[string]map[distribution.Key]float64{}
	o.drains = map[string]map[distribution.Key]microseconds{}
	o.weights = map[string]map[distribution.Key]weightOverride{}
}

// subject is what an entry is about: a backend, or a class, or for others neither.
type subject struct{ backend, class string }

// apply takes an entry in; it gives what the decisions have to hear of anew. Not ok: the entry makes no sense, and counts as if it were
// not there.
func (o *overrides) apply(entry distribution.Entry) (changed subject, ok bool) {
	kind, about, _ := strings.Cut(entry.Name, kindSeparator)
	switch kind {
	case kindDrain:
		usable := string(entry.Value) == drainValue
		setOverride(o.drains, about, entry.Key(), entry.AcceptedAt, usable && !entry.Deleted)
		return subject{backend: about}, usable || entry.Deleted
	case kindWeight:
		weight, usable := parseWeight(string(entry.Value))
		setOverride(o.weights, about, entry.Key(), weightOverride{weight, entry.Revision}, usable && !entry.Deleted)
		return subject{backend: about}, usable || entry.Deleted
	case kindLimit:
		limit, usable := parseLimit(string(entry.Value))
		setOverride(o.classLimits, about, entry.Key(), limit, usable && !entry.Deleted)
		return subject{class: about}, usable || entry.Deleted
	}
	return subject{}, true
}

// setOverride keeps what a key says of a backend or class, or forgets it.
func setOverride[T any](bySubject map[string]map[distribution.Key]T, about string, key distribution.Key, value T, stands bool) {
	if !stands {
		delete(bySubject[about], key)
		if len(bySubject[about]) == 0 {
			delete(bySubject, about)
		}
		return
	}
	if bySubject[about] == nil {
		bySubject[about] = map[distribution.Key]T{}
	}
	bySubject[about][key] = value
}

// parseWeight reads a weight; not ok if it is none, 0 or less, or above maxWeight.
func parseWeight(text string) (weight float64, ok bool) {
	weight, err := strconv.ParseFloat(text, 64)
	return weight, err == nil && weight > 0 && weight <= maxWeight
}

// parseLimit reads a limit of an entry that arrived; not ok if it is none, below 0 or infinite. checkEntry, of an entry that is to be
// distributed, looks at a JSON number instead.
func parseLimit(text string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(text, 64)
	return max(limit, minLimit), err == nil && limit >= 0 && !math.IsInf(limit, 1)
}

// limitOf is the lowest limit that stands for a class; 0 where there is none.
func (o *overrides) limitOf(class string) (lowest float64) {
	for _, limit := range o.classLimits[class] {
		if lowest == 0 || limit < lowest {
			lowest = limit
		}
	}
	return lowest
}

// reset forgets all distributed entries, and gives what they were about.
func (o *overrides) reset() (changed []subject) {
	for backend := range o.drains {
		changed = append(changed, subject{backend: backend})
	}
	for backend := range o.weights {
		changed = append(changed, subject{backend: backend})
	}
	for class := range o.classLimits {
		changed = append(changed, subject{class: class})
	}
	o.clear()
	return changed
}

// weightOf is the weight that stands for a backend: of several scopes' the one that was set last, the lowest where they were set by
// one revision.
func (o *overrides) weightOf(backend string) (weight float64, ok bool) {
	var newest weightOverride
	for _, override := range o.weights[backend] {
		newer := override.revision > newest.revision
		lower := override.revision == newest.revision && override.weight < newest.weight
		if !ok || newer || lower {
			newest, ok = override, true
		}
	}
	return newest.weight, ok
}

// drainedSince is when the first of the entries that drain a backend was accepted; 0 where none says.
func (o *overrides) drainedSince(backend string) (since microseconds) {
	for _, acceptedAt := range o.drains[backend] {
		if acceptedAt > 0 && (since == 0 || acceptedAt < since) {
			since = acceptedAt
		}
	}
	return since
}

// noteListed keeps what discovery says of a backend.
func (o *overrides) noteListed(endpoint balancer.Endpoint) {
	for len(o.listed) <= endpoint.Backend {
		o.listed = append(o.listed, balancer.Endpoint{})
	}
	o.listed[endpoint.Backend] = endpoint
}

// noteUnlisted notes those that a full list lacks.
func (o *overrides) noteUnlisted(listed map[int]bool) {
	for backend := range o.listed {
		if _, named := listed[backend]; !named {
			o.listed[backend].State = balancer.Removed
		}
	}
}

// merged adds an endpoint as the decisions are to have it. One that is drained and that discovery has dropped is drained first:
// dropped alone, it might go on being used.
func (o *overrides) merged(to []balancer.Endpoint, id string, endpoint balancer.Endpoint) []balancer.Endpoint {
	if weight, ok := o.weightOf(id); ok {
		endpoint.Weight = weight
	}
	if len(o.drains[id]) == 0 {
		return append(to, endpoint)
	}
	draining := endpoint
	draining.State, draining.DrainingSince = balancer.Draining, o.drainedSince(id)
	to = append(to, draining)
	if endpoint.State == balancer.Removed {
		to = append(to, endpoint)
	}
	return to
}
