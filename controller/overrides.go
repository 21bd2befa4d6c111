package controller

import (
	"math"
	"strconv"
	"strings"

	"wheelrill/balancer"
	"wheelrill/distribution"
)

// Kinds of distributed entries. The name of an entry is its kind, a slash, and the name of the
// backend, class, tenant, route or service that it refers to: an entry of the scope "pricing" that
// drains the backend s-1 has the name "drain/s-1".
const (
	kindDrain  = "drain"  // the entry drains a backend
	kindWeight = "weight" // the entry sets the weight of a backend
	// kindLimit: the entry limits the requests per second of a class or a tenant. The limit of a
	// class applies to the requests of all proxies together. The limit of a tenant is distributed,
	// but controllers do not apply it.
	kindLimit   = "limit"
	kindRoute   = "route"   // the entry describes a route; it is distributed, but controllers do not apply it
	kindService = "service" // the entry describes a service; it is distributed, but controllers do not apply it

	kindSeparator = "/"
)

// drainValue is the only valid value of an entry that drains a backend.
const drainValue = "true"

// maxWeight is the largest weight that an entry may set. It is larger than any meaningful weight in
// an endpoint list.
const maxWeight = 1e6

// minLimit replaces a limit of 0, because balancer.Controller takes a quota of 0 as no quota at
// all. With minLimit, proxies still admit a small share of the requests, so that load reports of
// the class continue.
const minLimit = 1e-9

// overrides holds the values that distributed entries set for backends, where they take precedence
// over discovery, and for classes. A backend or class may have entries of several scopes. The event
// loop owns the overrides. After a restart, they are empty until the distribution delivers the
// entries again.
type overrides struct {
	// classLimits holds the limits that entries set for classes, in requests per second, by class
	// name and key of the entry.
	classLimits map[string]map[distribution.Key]float64
	// drains holds the times at which the entries that drain backends were accepted, by backend id
	// and key of the entry.
	drains map[string]map[distribution.Key]microseconds
	// weights holds the weights that entries set for backends, by backend id and key of the entry.
	weights map[string]map[distribution.Key]weightOverride
	// listed holds, by backend index, the endpoint as discovery lists it. When an index is assigned
	// again, the listing of its new backend replaces the endpoint.
	listed []balancer.Endpoint
}

// weightOverride is the weight that an entry sets for a backend, and the revision of the entry.
type weightOverride struct {
	weight   float64
	revision uint64
}

func newOverrides() *overrides {
	o := &overrides{}
	o.clear()
	return o
}

// clear discards all distributed entries.
func (o *overrides) clear() {
	o.classLimits = map[string]map[distribution.Key]float64{}
	o.drains = map[string]map[distribution.Key]microseconds{}
	o.weights = map[string]map[distribution.Key]weightOverride{}
}

// subject is the backend or the class that an entry refers to. Entries of other kinds refer to
// neither, and have an empty subject.
type subject struct{ backend, class string }

// apply stores or deletes the value of an entry, and returns the subject whose values have to be
// updated in balancer.Controller. It returns false if the value is unusable; the entry then counts
// as deleted.
func (o *overrides) apply(entry distribution.Entry) (changed subject, ok bool) {
	kind, target, _ := strings.Cut(entry.Name, kindSeparator)
	switch kind {
	case kindDrain:
		usable := string(entry.Value) == drainValue
		setOverride(o.drains, target, entry.Key(), entry.AcceptedAt, usable && !entry.Deleted)
		return subject{backend: target}, usable || entry.Deleted
	case kindWeight:
		weight, usable := parseWeight(string(entry.Value))
		setOverride(o.weights, target, entry.Key(), weightOverride{weight, entry.Revision}, usable && !entry.Deleted)
		return subject{backend: target}, usable || entry.Deleted
	case kindLimit:
		limit, usable := parseLimit(string(entry.Value))
		setOverride(o.classLimits, target, entry.Key(), limit, usable && !entry.Deleted)
		return subject{class: target}, usable || entry.Deleted
	}
	return subject{}, true
}

// setOverride stores the value of a key for a backend or class, or deletes it if present is false.
func setOverride[T any](
	bySubject map[string]map[distribution.Key]T, target string, key distribution.Key, value T, present bool,
) {
	if !present {
		delete(bySubject[target], key)
		if len(bySubject[target]) == 0 {
			delete(bySubject, target)
		}
		return
	}
	if bySubject[target] == nil {
		bySubject[target] = map[distribution.Key]T{}
	}
	bySubject[target][key] = value
}

// parseWeight parses a weight. It returns false unless the weight is a number above 0, and at most
// maxWeight.
func parseWeight(text string) (weight float64, ok bool) {
	weight, err := strconv.ParseFloat(text, 64)
	return weight, err == nil && weight > 0 && weight <= maxWeight
}

// parseLimit parses the limit of an entry that has arrived, and replaces 0 by minLimit. It returns
// false unless the limit is a finite number, 0 or above. checkEntry, which checks entries before
// they are distributed, reads a JSON number instead.
func parseLimit(text string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(text, 64)
	return max(limit, minLimit), err == nil && limit >= 0 && !math.IsInf(limit, 1)
}

// limitOf returns the lowest limit that an entry sets for a class; 0 if no entry sets a limit.
func (o *overrides) limitOf(class string) (lowest float64) {
	for _, limit := range o.classLimits[class] {
		if lowest == 0 || limit < lowest {
			lowest = limit
		}
	}
	return lowest
}

// reset discards all distributed entries, and returns their subjects.
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

// weightOf returns the weight that entries set for a backend. If entries of several scopes set one,
// the entry with the newest revision applies, and among entries of the same revision the one with
// the lowest weight. It returns false if no entry sets a weight.
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

// drainedSince returns the earliest time at which an entry that drains a backend was accepted; 0 if
// no such entry has a time of acceptance.
func (o *overrides) drainedSince(backend string) (since microseconds) {
	for _, acceptedAt := range o.drains[backend] {
		if acceptedAt > 0 && (since == 0 || acceptedAt < since) {
			since = acceptedAt
		}
	}
	return since
}

// storeListed stores an endpoint as discovery lists it.
func (o *overrides) storeListed(endpoint balancer.Endpoint) {
	for len(o.listed) <= endpoint.Backend {
		o.listed = append(o.listed, balancer.Endpoint{})
	}
	o.listed[endpoint.Backend] = endpoint
}

// markUnlisted marks the endpoints that a full list lacks as removed.
func (o *overrides) markUnlisted(listed map[int]bool) {
	for backend := range o.listed {
		if _, named := listed[backend]; !named {
			o.listed[backend].State = balancer.Removed
		}
	}
}

// appendMerged appends an endpoint with its overrides applied, as it is passed to
// balancer.Controller. A drained backend that discovery has removed is appended twice, as draining
// and then as removed: if it were only removed, proxies might go on using it.
func (o *overrides) appendMerged(to []balancer.Endpoint, id string, endpoint balancer.Endpoint) []balancer.Endpoint {
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
