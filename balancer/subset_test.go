package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestSubsets(t *testing.T) {
	// In scenarios with 150 proxies, each proxy opened a connection to every backend, but the
	// smallest backends accept only 80 connections.
	settings := defaultSettings()
	settings.channel.Proxies, settings.channel.MinBackendConnections, settings.channel.Backlog = 150, 80, 3300
	// The channel is fast enough to send complete tables to all proxies within the drain grace.
	settings.channel.LinesPerSecond = 2400
	entriesIn := func(host *fakeHost, subset int) (entries int) {
		for b := range host.tables[subset] {
			entries += toInt(host.tables[subset][b] > 0)
		}
		return entries
	}
	t.Run("if proxies outnumber connections, there are two tables, and each proxy is assigned one", func(t *testing.T) {
		host := startController(t, settings, 30, 10)
		if entriesIn(host, 0) != 15 || entriesIn(host, 1) != 15 || len(host.tables) != 2 ||
			!host.assigned["4 0 3"] || !host.assigned["5 1 3"] {
			t.Errorf("tables are %v, want two with 15 entries; assigned tables are %v, want 0 for proxy 4, 1 for proxy 5",
				host.tables, host.assigned)
		}
		host.run(3, func() { host.reportHealthy() })
		formerSubset := host.controller.backends[7].subset
		host.updateEndpoints(7, 8, Removed, 0)
		host.run(3, func() { host.reportHealthy() })
		host.updateEndpoints(30, 31, Ready, 0)
		host.run(3, func() { host.reportHealthy() })
		if host.controller.backends[30].subset != formerSubset ||
			host.tables[formerSubset][30] == 0 || host.tables[1-formerSubset][30] != 0 {
			t.Errorf("new backend 30 is in subset %d, want %d, the subset of the removed backend 7; tables are %v",
				host.controller.backends[30].subset, formerSubset, host.tables)
		}
	})
	t.Run("a short subset is given backends of the heaviest, and no backend is in two subsets", func(t *testing.T) {
		host := startController(t, settings, 30, 10)
		host.run(3, func() { host.reportHealthy() })
		var members []int
		for b := range 30 {
			if host.controller.backends[b].subset == 1 {
				members = append(members, b)
			}
		}
		for _, b := range members {
			host.updateEndpoints(b, b+1, Draining, 0)
		}
		host.run(3, func() { host.reportHealthy(members...) })
		if entriesIn(host, 1) < 4 || entriesIn(host, 0)+entriesIn(host, 1) != 15 {
			t.Errorf("after all of subset 1 drained: %d and %d entries, want 15 in total and at least 4 in subset 1",
				entriesIn(host, 0), entriesIn(host, 1))
		}
		for _, b := range members[3:] {
			host.updateEndpoints(b, b+1, Ready, 0)
		}
		host.run(12, func() { host.reportHealthy(members[:3]...) })
		if entriesIn(host, 0) < 7 || entriesIn(host, 0)+entriesIn(host, 1) != 27 {
			t.Errorf("with most of subset 1 ready again: %d and %d entries, want 27 in total and at least 7 in subset 0",
				entriesIn(host, 0), entriesIn(host, 1))
		}
	})
	t.Run("a list gives the same subsets as its endpoints listed one by one", func(t *testing.T) {
		settings := settings
		settings.limits.WarmupTime = 1 << 50 // backends that are warming up are never moved between subsets
		whole, single := startController(t, settings, 0, 10), startController(t, settings, 0, 10)
		for _, host := range []*fakeHost{whole, single} {
			host.controller.EndpointsUpdated(true, []Endpoint{{Backend: 59, State: Ready, Weight: 1, StartedAt: 1}})
			if host.controller.chooseSubsetCount(30); host.controller.subsetCount < 2 {
				t.Fatalf("there are %d subsets, want at least 2", host.controller.subsetCount)
			}
		}
		random := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			var entries []Endpoint
			for range 1 + random.IntN(20) {
				state := []EndpointState{Ready, Ready, Draining, Removed}[random.IntN(4)]
				entries = append(entries, Endpoint{Backend: random.IntN(60), State: state,
					Weight: float64(1 + random.IntN(4)), Zone: random.IntN(3), StartedAt: 1})
			}
			whole.controller.EndpointsUpdated(false, entries)
			whole.acknowledge()
			for _, e := range entries {
				single.controller.EndpointsUpdated(false, []Endpoint{e})
				single.acknowledge()
			}
			for b := range whole.controller.backends {
				if got, want := whole.controller.backends[b].subset, single.controller.backends[b].subset; got != want {
					t.Fatalf("backend %d is in subset %d, but in %d if listed one by one", b, got, want)
				}
				if random.IntN(10) == 0 && whole.controller.ForgetBackend(b) != single.controller.ForgetBackend(b) {
					t.Fatalf("only one of two controllers forgot backend %d", b)
				}
			}
		}
	})
	t.Run("proxies that connect before the list are spread over its subsets too", func(t *testing.T) {
		for name, listFirst := range map[string]func(*fakeHost){
			"no list":       func(*fakeHost) {},
			"an empty list": func(host *fakeHost) { host.controller.EndpointsUpdated(true, nil) },
		} {
			host := startController(t, wholeFleetSettings(), 0, 90)
			listFirst(host)
			var all []Endpoint
			for b := range 60 {
				all = append(all, Endpoint{Backend: b, State: Ready, Weight: 2, Zone: b % 2})
			}
			host.controller.EndpointsUpdated(true, all)
			host.runChannel(10)
			proxiesBySubset := make([]int, host.controller.subsetCount)
			for _, p := range host.controller.proxies {
				proxiesBySubset[p.subset] += toInt(p.tablesAssigned)
			}
			if slices.Min(proxiesBySubset) < 90/len(proxiesBySubset) || len(proxiesBySubset) < 2 {
				t.Errorf("connected after %s: the proxies by subset are %v, want an even spread over at least 2",
					name, proxiesBySubset)
			}
		}
	})
	t.Run("with few proxies, few backends, or unknown connections there is one table", func(t *testing.T) {
		for _, c := range []struct{ proxies, connections, backends int }{{120, 80, 30}, {150, 80, 9}, {150, 0, 30}} {
			settings := settings
			settings.channel.Proxies, settings.channel.MinBackendConnections = c.proxies, c.connections
			if host := startController(t, settings, c.backends, 2); len(host.tables) != 1 || entriesIn(host, 0) != c.backends {
				t.Errorf("%+v: tables are %v, want one with all backends", c, host.tables)
			}
		}
	})
}

func TestSubsetCount(t *testing.T) {
	small := wholeFleetSettings().channel
	small.Backlog, small.Proxies, small.MinBackendConnections = 5300, 256, 63
	connected := small
	connected.MinBackendConnections = 200
	few := small
	few.Proxies, few.MinBackendConnections, few.LinesPerSecond = 20, 5, 10
	for _, c := range []struct {
		name    string
		channel PushChannel
		grace   int64
		subsets int
	}{
		{"tables leave in time with as many subsets as connections require", wholeFleetSettings().channel, 55 * second, 27},
		{"with the subsets for connections half the tables would be late, so they get half the time", small, 8300_000, 34},
		{"a longer grace allows longer tables", small, 14600_000, 15},
		{"no subset is below the least size", small, 4000_000, 40},
		{"connections suffice, but one table would not leave in time", connected, 8300_000, 12},
		{"connections suffice, and one table leaves in time", connected, 90 * second, 1},
		{"no more subsets than proxies, as the other subsets would be unused", few, 8300_000, 20},
		{"the number of proxies is unknown",
			PushChannel{LinesPerSecond: 900, MessageOverhead: 4, MinBackendConnections: 63}, 3 * second, 1},
	} {
		settings := wholeFleetSettings()
		settings.channel, settings.limits.DrainGrace = c.channel, c.grace
		host := startController(t, settings, 200, 0)
		if host.controller.subsetCount != c.subsets {
			t.Errorf("%s: %d subsets, want %d", c.name, host.controller.subsetCount, c.subsets)
		}
		allTables := 0. // number of lines of the tables of all proxies
		for p := range c.channel.Proxies {
			allTables += host.controller.pushQueue.messageOverhead() + float64(len(host.tables[p%host.controller.subsetCount]))
		}
		sendable := tablesShareOfGrace * host.controller.pushQueue.linesSentIn(c.grace)
		maxSubsets := min(200/minSubsetSize, c.channel.Proxies)
		if host.controller.subsetCount < maxSubsets && allTables > sendable {
			t.Errorf("%s: the tables of all proxies cost %.0f lines, but only %.0f leave in time", c.name, allTables, sendable)
		}
	}
}

func TestSubsetsOfWholeFleet(t *testing.T) {
	t.Run("a drain costs lines only at proxies of its subset, and 61 drains complete in time", func(t *testing.T) {
		host := startController(t, wholeFleetSettings(), 200, 400)
		host.runChannel(12)
		queuedBefore := host.controller.pushQueue.queuedLines
		host.updateEndpoints(0, 1, Draining, 0)
		host.run(0.25, nil)
		weight, lines := host.controller.backends[0].published.max(), host.controller.pushQueue.queuedLines-queuedBefore
		if weight > 0 || lines > 20*6 {
			t.Errorf("the drained backend has weight %.1f, want 0; the drain cost %.0f lines, want at most 120", weight, lines)
		}
		host.updateEndpoints(1, 61, Draining, 0)
		if maxQueued := host.runChannel(20); maxQueued > 900*4 {
			t.Errorf("%.0f lines were queued, want at most 3600", maxQueued)
		}
		for b := range 61 {
			if host.controller.backends[b].published.any() {
				t.Errorf("draining backend %d still has its entry", b)
			}
		}
	})
	t.Run("many short subsets are given backends in pieces", func(t *testing.T) {
		host := startController(t, wholeFleetSettings(), 200, 2000)
		host.runChannel(40)
		var draining []int
		for b := range host.controller.backends {
			if host.controller.backends[b].subset < 8 && len(draining) < 76 {
				draining = append(draining, b)
			}
		}
		for _, b := range draining {
			host.controller.backends[b].State = Draining
		}
		if maxQueued := host.runChannel(80); maxQueued > 900*4 {
			t.Errorf("%.0f lines were queued, want at most 3600", maxQueued)
		}
		weights, fair := host.controller.subsetTargetWeights(host.now)
		if slices.Min(weights) < shortSubsetShare*fair {
			t.Errorf("subset weights are %v, want each at least %.2f", weights, shortSubsetShare*fair)
		}
	})
}

func TestZoneLocalTables(t *testing.T) {
	t.Run("zone-local classes have a table of their zone", func(t *testing.T) {
		settings := defaultSettings()
		settings.classes[1].ZoneLocal = true
		host := startController(t, settings, 4, 2)
		host.run(1, nil)
		if len(host.tables[0]) != 4 || len(host.tables[1]) != 2 || len(host.tables[2]) != 2 || host.tables[2][0] != 0 ||
			!host.assigned["1 0 1"] || !host.assigned["1 2 2"] {
			t.Errorf("tables are %v, want one shared and one per zone; assigned tables are %v, want 0 and 2 for proxy 1",
				host.tables, host.assigned)
		}
	})
}
