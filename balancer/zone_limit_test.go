package balancer

import (
	"fmt"
	"testing"
)

// startLocalZones starts a controller like startZones, with both classes zone-local.
func startLocalZones(t *testing.T, settings testSettings, sizes ...int) *fakeHost {
	settings.classes[1].ZoneLocal = true
	return startZones(t, settings, sizes...)
}

// reportZones reports outcomes of all backends: late ones in the zones for which late is true, and
// quick ones in the others. It also reports demand at each proxy.
func (host *fakeHost) reportZones(late func(zone int) bool, demand int) {
	for b, backend := range host.controller.backends {
		host.reportOutcomes(b, 10, 0, 250_000+650_000*int64(toInt(late(backend.Zone))))
	}
	host.reportDemand(demand, demand)
}

// zoneLimit returns the limit of class 0 in the table of a zone; noLimit if there is none.
func (host *fakeHost) zoneLimit(zone int) float64 {
	limit, set := host.limits[fmt.Sprint(host.controller.zoneTable(zone), 1)]
	if !set {
		return noLimit
	}
	return limit
}

func TestZoneIsLimitedByWhatItsTableCanServe(t *testing.T) {
	firstZone := func(zone int) bool { return zone == 0 }
	noZone := func(int) bool { return false }
	t.Run("an overload in one zone limits the classes that stay in it, in this zone alone", func(t *testing.T) {
		// Guards against limits by figures of the whole fleet, which a queue in one zone did not move.
		host := startLocalZones(t, defaultSettings(), 3, 3, 3, 3)
		host.run(6, func() { host.reportZones(noZone, 20) })
		host.run(4, func() { host.reportZones(firstZone, 20) })
		if limit := host.zoneLimit(0); limit >= 20 {
			t.Errorf("limit %.1f in the overloaded zone, want less than the demand of 20", limit)
		}
		for zone := 1; zone < 4; zone++ {
			if limit := host.zoneLimit(zone); limit < noLimit {
				t.Errorf("limit %.1f in zone %d, want none", limit, zone)
			}
		}
		host.run(40, func() { host.reportZones(noZone, 20) })
		if limit := host.zoneLimit(0); limit < noLimit {
			t.Errorf("limit %.1f long after the overload, want none", limit)
		}
	})
	t.Run("no backend counts as lagging in a zone that is slow as a whole", func(t *testing.T) {
		// Guards against weights of a zone that are reduced, and its backends then ejected, because
		// other zones, which cannot serve its requests, are faster.
		host := startLocalZones(t, defaultSettings(), 2, 3, 3)
		host.run(12, func() { host.reportZones(firstZone, 20) })
		for b := range 2 {
			if weight := host.tables[host.controller.zoneTable(0)][b]; weight != 2 {
				t.Errorf("backend %d of the slow zone has weight %.2f, want 2", b, weight)
			}
		}
	})
	t.Run("one slow backend of two lags behind the other", func(t *testing.T) {
		host := startLocalZones(t, defaultSettings(), 2, 3, 3)
		host.run(8, func() {
			host.reportZones(noZone, 20)
			host.reportOutcomes(0, 30, 0, 1500_000)
		})
		if weight := host.tables[host.controller.zoneTable(0)][0]; weight >= 2 {
			t.Errorf("the slow backend has weight %.2f, want a reduced one", weight)
		}
	})
	t.Run("a zone that is lost takes nothing from the limits of the others", func(t *testing.T) {
		// Guards against refusals in zones that lost nothing: the weight of a lost zone lowered the
		// limit of classes that its backends never served.
		host := startLocalZones(t, defaultSettings(), 4, 4)
		host.run(6, func() { host.reportZones(noZone, 20) })
		host.setZone(0, Removed, 0)
		host.run(4, func() { host.reportZones(noZone, 20) })
		for key, limit := range host.limits {
			if limit < noLimit {
				t.Errorf("limit %.1f of %s, want none", limit, key)
			}
		}
	})
	t.Run("a zone that loses half of its backends is limited at once, the other is not", func(t *testing.T) {
		host := startLocalZones(t, defaultSettings(), 4, 4)
		host.run(6, func() { host.reportZones(noZone, 20) })
		host.updateZoneEndpoints(0, 2, 0, Draining)
		if limit := host.zoneLimit(0); limit >= 20 {
			t.Errorf("limit %.1f in the zone, want less than the demand of 20", limit)
		}
		if limit := host.zoneLimit(1); limit < noLimit {
			t.Errorf("limit %.1f in the other zone, want none", limit)
		}
	})
	t.Run("the shared class is limited by the fleet, the zone-local one by its zone", func(t *testing.T) {
		settings := defaultSettings()
		host := startZones(t, settings, 3, 3)
		host.run(4, func() { host.reportZones(func(int) bool { return true }, 40) })
		if shared := host.limits["65535 2"]; shared <= 0 || shared >= 40 {
			t.Errorf("limits %v, want one below 40 of class 1 for all tables", host.limits)
		}
		if _, set := host.limits["65535 1"]; set {
			t.Errorf("limits %v, want none of class 0 for all tables", host.limits)
		}
		if limit := host.zoneLimit(0); limit >= 40 {
			t.Errorf("limit %.1f of class 0 in zone 0, want less than the demand of 40", limit)
		}
	})
	t.Run("a quota of a zone-local class applies in all zones together", func(t *testing.T) {
		host := startLocalZones(t, defaultSettings(), 3, 3)
		host.controller.SetClassQuota(0, 40)
		host.run(6, func() { host.reportZones(noZone, 20) })
		if limit := host.limits["65535 1"]; limit < 9.7 || limit > 10.3 {
			t.Errorf("limit %.2f at each of four proxies with a quota of 40, want 10", limit)
		}
	})
	t.Run("backends that warm up are withheld until a report of their zone", func(t *testing.T) {
		// Guards against a zone's cold backends that enter on the reports of another zone.
		host := startLocalZones(t, defaultSettings(), 3, 3)
		host.updateZoneEndpoints(6, 7, 0, Ready)
		reportZone := func(zone int) func() {
			return func() {
				for b, backend := range host.controller.backends {
					if backend.Zone == zone {
						host.reportOutcomes(b, 10, 0, 250_000)
					}
				}
				host.reportDemand(20, 20)
			}
		}
		host.run(4, reportZone(1))
		host.expectBackends(host.controller.zoneTable(0), []int{0, 1, 2}, "without a report of zone 0")
		host.run(4, reportZone(0))
		host.expectBackends(host.controller.zoneTable(0), []int{0, 1, 2, 6}, "with reports of zone 0")
	})
}

// setZone changes the state of all backends in a zone.
func (host *fakeHost) setZone(zone int, state EndpointState, started int64) {
	var endpoints []Endpoint
	for b, backend := range host.controller.backends {
		if backend.Zone == zone {
			endpoints = append(endpoints, Endpoint{Backend: b, State: state, Weight: 2, Zone: zone, StartedAt: started})
		}
	}
	host.controller.EndpointsUpdated(false, endpoints)
}

// updateZoneEndpoints delivers an endpoint list with the backends of a zone whose indices are in
// [from, to), all in the same state. Ready ones have just started.
func (host *fakeHost) updateZoneEndpoints(from, to, zone int, state EndpointState) {
	var endpoints []Endpoint
	for b := from; b < to; b++ {
		endpoint := Endpoint{Backend: b, State: state, Weight: 2, Zone: zone}
		if state == Ready {
			endpoint.StartedAt = host.now
		}
		endpoints = append(endpoints, endpoint)
	}
	host.controller.EndpointsUpdated(false, endpoints)
}
