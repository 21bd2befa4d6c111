package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Division of limits: the limit of each scope (admission_scope.go) is divided among the classes, in
// the order of their priority. A request of a shared class counts towards the limit of the fleet
// and, as far as it goes to the backends of a zone, towards that of the zone. A request of a
// zone-local class is limited by its zone alone, but also counts towards the limit of the fleet.

// limitDivision holds what the classes that were given their limits so far left of each scope's
// limit, in units per second.
type limitDivision struct {
	fleet float64
	zones []float64 // by zone index
}

// distributeLimits divides the limits among the classes by priority. A quota applies to the whole
// fleet: this controller's part of a quota is the share of all proxies that are connected to this
// controller.
func (c *Controller) distributeLimits() {
	a := &c.admission
	demand := c.connectedDemand()
	connected := c.connectedCount()
	proxyShare := max(connected, 1) / max(connected, float64(c.pushQueue.Proxies), 1)
	remaining := limitDivision{fleet: orUnlimited(a.limit)}
	for _, zone := range a.zones {
		remaining.zones = append(remaining.zones, orUnlimited(zone.limit))
	}
	for _, class := range a.priorityOrder {
		quota := orUnlimited(a.quota[class]) * proxyShare
		if c.limitedByZone(class) {
			a.targetLimits[class] = c.targetLimit(&a.admissionScope, demand.ofClass(class), quota)
			c.distributeToZones(&remaining, demand, class)
			continue
		}
		allowed := min(remaining.fleet/a.unitsPerRequest[class], quota)
		rates := demand.ofClass(class)
		a.targetLimits[class] = c.targetLimit(&a.admissionScope, rates, allowed)
		admitted := c.admittedUnder(&a.admissionScope, rates, allowed) * a.unitsPerRequest[class]
		remaining.fleet -= admitted
		for zone, scope := range a.zones {
			remaining.zones[zone] -= admitted * c.sharedShareOf(scope)
		}
	}
}

// distributeToZones sets the limits of a zone-local class in each zone.
func (c *Controller) distributeToZones(remaining *limitDivision, demand connectedDemand, class int) {
	units := c.admission.unitsPerRequest[class]
	for zone, scope := range c.admission.zones {
		rates := demand.ofClassInZone(class, zone)
		allowed := remaining.zones[zone] / units
		scope.targetLimits[class] = c.targetLimit(scope, rates, allowed)
		admitted := c.admittedUnder(scope, rates, allowed) * units
		remaining.zones[zone] -= admitted
		remaining.fleet -= admitted
	}
}

// limitedByZone reports whether a class is limited by the scopes of the zones.
func (c *Controller) limitedByZone(class int) bool {
	return len(c.admission.zones) > 0 && c.zoneLocalClasses&(1<<class) != 0
}

// admittedUnder returns how much of a class's demand is admitted if the given rate is allowed.
func (c *Controller) admittedUnder(
	scope *admissionScope, rates []float64, allowed RequestsPerSecond,
) RequestsPerSecond {
	total := sum(rates) * c.demandGrowth(scope)
	return min(total, max(allowed, c.minAdmittedShareOf(scope)*total))
}

// targetLimit returns the limit to be published for a class that may be admitted the given rate at
// all proxies together; 0 if the class needs no limit.
func (c *Controller) targetLimit(scope *admissionScope, rates []float64, allowed RequestsPerSecond) float64 {
	growth := c.demandGrowth(scope)
	total := sum(rates) * growth
	admitted := c.admittedUnder(scope, rates, allowed)
	switch {
	case admitted >= total:
		return 0
	case c.admission.mode == AdmissionByRate:
		expected := make([]float64, len(rates))
		for i, rate := range rates {
			expected[i] = rate * growth
		}
		return maxMinFairRate(expected, admitted)
	case c.admission.mode == AdmissionByShare:
		return admitted / total
	default:
		return 0
	}
}

// sum returns the sum of values.
func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}

// orUnlimited returns a limit, or infinity if it is 0.
func orUnlimited(limit float64) float64 { return cmp.Or(limit, math.Inf(1)) }

// maxMinFairRate returns the cap at which the capped rates add up to total, or noLimit if the sum
// of the uncapped rates is below total. It sorts rates.
func maxMinFairRate(rates []float64, total float64) float64 {
	slices.Sort(rates)
	for i, rate := range rates {
		remaining := float64(len(rates) - i)
		if rate*remaining >= total {
			return total / remaining
		}
		total -= rate
	}
	return noLimit
}
