package balancer

import (
	"slices"
	"strings"
	"testing"
)

// startZones starts a controller with backends of weight 2 in zones of the given sizes, numbered
// zone by zone, and two proxies in each zone. The first class is zone-local.
func startZones(t *testing.T, settings testSettings, sizes ...int) *fakeHost {
	t.Helper()
	settings.classes[0].ZoneLocal = true
	host := startController(t, settings, 0, 0)
	var endpoints []Endpoint
	for zone, size := range sizes {
		for range size {
			endpoints = append(endpoints, Endpoint{Backend: len(endpoints), State: Ready, Weight: 2, Zone: zone})
		}
	}
	host.controller.EndpointsUpdated(true, endpoints)
	for p := range 2 * len(sizes) {
		host.controller.ProxyConnected(p, p/2, 10, false)
		host.controller.Acknowledged(p, host.ackRequest)
	}
	return host
}

// backendsIn returns the backends of a table, in increasing order.
func (host *fakeHost) backendsIn(table int) []int {
	backends := []int{}
	for b := range host.tables[table] {
		backends = append(backends, b)
	}
	slices.Sort(backends)
	return backends
}

// expectBackends fails the test if a table has other backends than the wanted ones.
func (host *fakeHost) expectBackends(table int, want []int, when string) {
	host.Helper()
	if got := host.backendsIn(table); !slices.Equal(got, want) {
		host.Errorf("%s: table %d has backends %v, want %v", when, table, got, want)
	}
}

// reportFailing reports failures of the given backends, of ten attempts each, and quick answers of
// all others.
func (host *fakeHost) reportFailing(failures int, backends ...int) {
	host.reportHealthy(backends...)
	for _, b := range backends {
		host.reportOutcomes(b, 10, failures, 250_000*int64(toInt(failures < 10)))
	}
}

func TestZoneKeepsBackendsForItsClass(t *testing.T) {
	// Guards against a table of a zone that is emptied because all backends of the zone are ejected:
	// its proxies had no backend for a zone-local class while the list had four ready ones.
	for _, c := range []struct {
		name     string
		sizes    []int
		zone     int
		failures int // of ten attempts
	}{
		{"all backends of the smallest of four zones fail most attempts", []int{4, 6, 7, 7}, 0, 7},
		{"all backends of the last zone are dead", []int{3, 3, 3}, 2, 10},
		{"the only backend of a zone is dead", []int{1, 1, 1, 1, 1}, 3, 10},
		{"one of two zones fails", []int{3, 5}, 0, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			host := startZones(t, defaultSettings(), c.sizes...)
			host.run(3, func() { host.reportHealthy() })
			var failing, others []int
			for b, backend := range host.controller.backends {
				if backend.Zone == c.zone {
					failing = append(failing, b)
				} else {
					others = append(others, b)
				}
			}
			for range 40 {
				host.run(1, func() { host.reportFailing(c.failures, failing...) })
				if table := host.backendsIn(1 + c.zone); len(table) == 0 {
					t.Fatalf("the table of zone %d is empty after %d s, with backends %v ready", c.zone,
						(host.now-103*second)/second, failing)
				}
			}
			host.run(1, func() { host.reportFailing(c.failures, failing...) })
			for _, b := range failing {
				if !host.controller.backends[b].ejected {
					t.Errorf("backend %d is not ejected", b)
				}
			}
			host.expectBackends(1+c.zone, failing, "all backends of the zone ejected")
			host.expectBackends(0, others, "the shared table can do without them")
			host.run(70, func() { host.reportHealthy() })
			host.expectBackends(1+c.zone, failing, "well again")
			all := slices.Sorted(slices.Values(slices.Concat(failing, others)))
			host.expectBackends(0, all, "well again")
		})
	}
}

func TestZoneKeepsQuarterOfItsWeight(t *testing.T) {
	// Guards against ejections that leave all requests of a zone-local class to few of many backends.
	host := startZones(t, defaultSettings(), 8, 8)
	host.run(3, func() { host.reportHealthy() })
	host.run(8, func() {
		host.reportHealthy(0, 1, 2, 3, 4, 5, 6)
		for b := range 7 {
			host.reportOutcomes(b, 10, 10-toInt(b == 2)*3, 250_000*int64(toInt(b == 2)))
		}
	})
	host.expectBackends(1, []int{2, 7}, "a quarter of eight backends, of them the one that answered most often")
	host.expectBackends(0, []int{7, 8, 9, 10, 11, 12, 13, 14, 15}, "shared table")
}

func TestTablesAreFilledWithTheList(t *testing.T) {
	t.Run("the last backends of a zone that are not ejected drain", func(t *testing.T) {
		// Guards against a zone's table that the endpoint list empties until the next tick.
		host := startZones(t, defaultSettings(), 4, 4)
		host.run(3, func() { host.reportHealthy() })
		host.run(8, func() { host.reportFailing(10, 0, 1, 2) })
		host.expectBackends(1, []int{3}, "three of four dead")
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 3, State: Draining, Weight: 2}})
		host.expectBackends(1, []int{0, 1, 2}, "the fourth drains")
	})
	t.Run("all warm backends of a zone are ejected or gone, the others are withheld", func(t *testing.T) {
		// Guards against a zone without an entry while cold backends wait for the first report.
		host := startZones(t, defaultSettings(), 2, 2)
		host.updateEndpoints(0, 1, Removed, 0)
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 4, State: Ready, Weight: 2, StartedAt: host.now}})
		host.expectBackends(1, []int{1}, "a warm backend is left")
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Removed}})
		host.expectBackends(1, []int{4}, "only a backend that is warming up is left")
		host.expectBackends(0, []int{2, 3}, "the shared table has warm backends")
	})
	t.Run("a fleet whose last warm backend drains before the first report", func(t *testing.T) {
		// Guards against cold backends that are withheld although nothing else can serve.
		host := startController(t, defaultSettings(), 1, 2)
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 1, State: Ready, Weight: 2, StartedAt: host.now}})
		host.expectBackends(0, []int{0}, "a warm backend is left")
		host.updateEndpoints(0, 1, Draining, 0)
		host.expectBackends(0, []int{1}, "only a backend that is warming up is left")
	})
}

func TestColdBackendIsNotLeftAlone(t *testing.T) {
	// Guards against a zone whose warm backends are all ejected, so that one that has just started is
	// sent all requests of the zone.
	host := startZones(t, defaultSettings(), 4, 4)
	host.run(3, func() { host.reportHealthy() })
	host.run(2, func() { host.reportFailing(10, 0, 1, 2, 3) })
	host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 8, State: Ready, Weight: 2, StartedAt: host.now}})
	for range 8 {
		host.run(1, func() { host.reportFailing(10, 0, 1, 2, 3) })
		warm, cold := 0., host.tables[1][8]
		for b := range 4 {
			warm += host.tables[1][b]
		}
		if cold > 0 && warm < 2 {
			t.Errorf("the zone's table is %v, want backends that are not warming up to have a weight of at least 2",
				host.tables[1])
		}
	}
}

func TestSubsetKeepsEjectedUntilGivenOthers(t *testing.T) {
	// Guards against the empty table of a subset whose backends are all ejected while no other subset
	// has a backend that may move.
	settings := defaultSettings()
	settings.channel.MinBackendConnections, settings.channel.Proxies = 8, 24
	host := startController(t, settings, 30, 24)
	host.run(3, func() { host.reportHealthy() })
	var failing []int
	for b, backend := range host.controller.backends {
		if backend.subset == 1 {
			failing = append(failing, b)
		} else {
			host.updateEndpoints(b, b+1, Ready, host.now)
		}
	}
	kept := false
	for tick := range 120 {
		if tick%4 == 0 {
			host.reportFailing(10, failing...)
		}
		host.run(0.25, nil)
		if len(host.tables[1]) == 0 {
			t.Fatalf("the table of subset 1 is empty at tick %d, with backends %v", tick, failing)
		}
		kept = kept || host.controller.backends[failing[0]].keptInSubset
	}
	if !kept {
		t.Error("the subset never kept an ejected backend")
	}
	for _, b := range host.backendsIn(1) {
		if slices.Contains(failing, b) {
			t.Errorf("subset 1 still has backend %d of %v, which are ejected, among %v", b, failing, host.backendsIn(1))
		}
	}
}

func TestPanicModeIsLogged(t *testing.T) {
	host := startZones(t, defaultSettings(), 2, 6)
	host.run(3, func() { host.reportHealthy() })
	host.run(8, func() { host.reportFailing(10, 0, 1) })
	host.expectLog("panic mode true in table of zone 0, 2 backends usable")
	host.run(30, func() { host.reportHealthy() })
	host.expectLog("panic mode false in table of zone 0, 2 backends usable")
}

func TestProxyOfZoneWithoutBackends(t *testing.T) {
	// Guards against proxies that are kept from the shared table while the list has no backend of
	// their zone, for which only a zone-local class needs one: they had no backend for any class.
	host := startZones(t, defaultSettings(), 2, 3)
	host.updateEndpoints(0, 2, Removed, 0)
	host.run(1, nil)
	host.controller.ProxyConnected(4, 0, 10, true)
	host.controller.ProxyConnected(5, 1, 10, true)
	host.run(1, nil)
	if !host.assigned["4 0 2"] || host.assigned["4 1 1"] || !host.assigned["5 2 1"] {
		t.Fatalf("assigned tables are %v, want only the shared one for proxy 4, and both for proxy 5", host.assigned)
	}
	if !slices.ContainsFunc(host.effects, func(effect string) bool { return strings.HasSuffix(effect, "sync 4") }) {
		t.Error("proxy 4 was not notified of withdrawals, although it keeps a table of its zone")
	}
	for p := 4; p <= 5; p++ {
		if !host.controller.proxies[p].withdrawalsCleared {
			t.Errorf("withdrawals of other controllers are not cleared at proxy %d", p)
		}
	}
	queuedBefore := host.controller.pushQueue.queuedLines
	host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 5, State: Ready, Weight: 2}})
	host.run(0.5, nil)
	if !host.assigned["4 1 1"] {
		t.Errorf("assigned tables are %v, want that of zone 0 for proxy 4 once it has a backend", host.assigned)
	}
	if host.controller.pushQueue.queuedLines != queuedBefore || len(host.controller.syncQueue) > 0 {
		t.Errorf("%.0f lines are queued, proxies %v wait", host.controller.pushQueue.queuedLines, host.controller.syncQueue)
	}
}
