package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestSubsets(t *testing.T) {
	// Found on days of 150 proxies: each opened a connection to all backends, of which the smallest take 80.
	settings := defaultSettings()
	settings.channel.Proxies, settings.channel.MinBackendConnections, settings.channel.Backlog = 150, 80, 3300
	settings.channel.LinesPerSecond = 2400 // takes whole tables to all proxies within the grace
	holds := func(host *fakeHost, part int) (n int) {
		for b := range host.tables[part] {
			n += count(host.tables[part][b] > 0)
		}
		return n
	}
	t.Run("where proxies outnumber connections there are two tables, and each proxy is assigned one", func(t *testing.T) {
		host := startController(t, settings, 30, 10)
		if holds(host, 0) != 15 || holds(host, 1) != 15 || len(host.tables) != 2 || !host.assigned["4 0 3"] || !host.assigned["5 1 3"] {
			t.Errorf("tables %v, assigned %v", host.tables, host.assigned)
		}
		host.run(3, func() { host.reportHealthy() })
		old := host.controller.backends[7].subset
		host.updateEndpoints(7, 8, Removed, 0)
		host.run(3, func() { host.reportHealthy() })
		host.updateEndpoints(30, 31, Ready, 0)
		if host.run(3, func() { host.reportHealthy() }); host.controller.backends[30].subset != old || host.tables[old][30] == 0 || host.tables[1-old][30] != 0 {
			t.Errorf("the new one is in part %d, the one it replaces was in %d: %v", host.controller.backends[30].subset, old, host.tables)
		}
	})
	t.Run("a short subset is given backends of the heaviest, and none is in two", func(t *testing.T) {
		host := startController(t, settings, 30, 10)
		host.run(3, func() { host.reportHealthy() })
		var of []int
		for b := range 30 {
			if host.controller.backends[b].subset == 1 {
				of = append(of, b)
			}
		}
		for _, b := range of {
			host.updateEndpoints(b, b+1, Draining, 0)
		}
		if host.run(3, func() { host.reportHealthy(of...) }); holds(host, 1) < 4 || holds(host, 0)+holds(host, 1) != 15 {
			t.Errorf("all of a part drains: %d and %d lines", holds(host, 0), holds(host, 1))
		}
		for _, b := range of[3:] {
			host.updateEndpoints(b, b+1, Ready, 0)
		}
		if host.run(12, func() { host.reportHealthy(of[:3]...) }); holds(host, 0) < 7 || holds(host, 0)+holds(host, 1) != 27 {
			t.Errorf("most of it is back: %d and %d lines", holds(host, 0), holds(host, 1))
		}
	})
	t.Run("a list at once gives the same subsets as its entries one by one", func(t *testing.T) {
		settings := settings
		settings.limits.WarmupTime = 1 << 50 // cold ones stay in the part that the list has put them in
		whole, single := startController(t, settings, 0, 10), startController(t, settings, 0, 10)
		for _, host := range []*fakeHost{whole, single} {
			host.controller.EndpointsUpdated(true, []Endpoint{{Backend: 59, State: Ready, Weight: 1, StartedAt: 1}})
			if host.controller.chooseSubsetCount(30); host.controller.subsetCount < 2 {
				t.Fatalf("%d subsets", host.controller.subsetCount)
			}
		}
		random := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			var entries []Endpoint
			for range 1 + random.IntN(20) {
				condition := []EndpointState{Ready, Ready, Draining, Removed}[random.IntN(4)]
				entries = append(entries, Endpoint{Backend: random.IntN(60), State: condition,
					Weight: float64(1 + random.IntN(4)), Zone: random.IntN(3), StartedAt: 1})
			}
			whole.controller.EndpointsUpdated(false, entries)
			for _, e := range entries {
				single.controller.EndpointsUpdated(false, []Endpoint{e})
			}
			for b := range whole.controller.backends {
				if got, want := whole.controller.backends[b].subset, single.controller.backends[b].subset; got != want {
					t.Fatalf("backend %d: part %d, one by one %d", b, got, want)
				}
				if random.IntN(10) == 0 && whole.controller.ForgetBackend(b) != single.controller.ForgetBackend(b) {
					t.Fatalf("backend %d is forgotten by one alone", b)
				}
			}
		}
	})
	t.Run("proxies that connect before the list are spread over its subsets all the same", func(t *testing.T) {
		for what, before := range map[string]func(*fakeHost){"no list": func(*fakeHost) {},
			"an empty list": func(host *fakeHost) { host.controller.EndpointsUpdated(true, nil) }} {
			host := startController(t, wholeFleet(), 0, 90)
			before(host)
			var all []Endpoint
			for b := range 60 {
				all = append(all, Endpoint{Backend: b, State: Ready, Weight: 2, Zone: b % 2})
			}
			host.controller.EndpointsUpdated(true, all)
			host.playChannel(10)
			of := make([]int, host.controller.subsetCount)
			for _, p := range host.controller.proxies {
				of[p.subset] += count(p.tablesAssigned)
			}
			if slices.Min(of) < 90/len(of) || len(of) < 2 {
				t.Errorf("%s: proxies by part: %v", what, of)
			}
		}
	})
	t.Run("few proxies, few backends, or unknown connections leave one table", func(t *testing.T) {
		for _, y := range [][3]int{{120, 80, 30}, {150, 80, 9}, {150, 0, 30}} {
			settings := settings
			settings.channel.Proxies, settings.channel.MinBackendConnections = y[0], y[1]
			if host := startController(t, settings, y[2], 2); len(host.tables) != 1 || holds(host, 0) != y[2] {
				t.Errorf("%v: tables %v", y, host.tables)
			}
		}
	})
}

func TestSubsetCount(t *testing.T) {
	small := wholeFleet().channel
	small.Backlog, small.Proxies, small.MinBackendConnections = 5300, 256, 63
	connected := small
	connected.MinBackendConnections = 200
	few := small
	few.Proxies, few.MinBackendConnections, few.LinesPerSecond = 20, 5, 10
	for _, c := range []struct {
		what    string
		channel PushChannel
		grace   int64
		parts   int
	}{
		{"tables for as many parts as connections ask for leave in time", wholeFleet().channel, 55 * second, 27},
		{"of those only half would, so each is as long as takes half of that", small, 8300_000, 34},
		{"the longer the grace, the longer the tables", small, 14600_000, 15},
		{"no part is under the least", small, 4000_000, 40},
		{"connections suffice, but one table would not leave in time either", connected, 8300_000, 12},
		{"connections suffice, and one table leaves in time", connected, 90 * second, 1},
		{"no more parts than proxies, as nobody would use the others", few, 8300_000, 20},
		{"nobody says how many proxies there are", PushChannel{LinesPerSecond: 900, MessageOverhead: 4, MinBackendConnections: 63}, 3 * second, 1},
	} {
		settings := wholeFleet()
		settings.channel, settings.limits.DrainGrace = c.channel, c.grace
		host := startController(t, settings, 200, 0)
		if host.controller.subsetCount != c.parts {
			t.Errorf("%s: %d subsets, want %d", c.what, host.controller.subsetCount, c.parts)
		}
		all := 0.
		for p := range c.channel.Proxies { // what it costs to give each its table
			all += host.controller.pushQueue.messageOverhead() + float64(len(host.tables[p%host.controller.subsetCount]))
		}
		if within := tablesShareOfGrace * host.controller.pushQueue.linesSentIn(c.grace); host.controller.subsetCount < min(200/minSubsetSize, c.channel.Proxies) && all > within {
			t.Errorf("%s: %.0f lines to all proxies, %.0f leave in time", c.what, all, within)
		}
	}
}

func TestSubsetsOfAWholeFleet(t *testing.T) {
	t.Run("a drain costs the proxies of its own subset, and leaves all within the grace", func(t *testing.T) {
		host := startController(t, wholeFleet(), 200, 400)
		host.playChannel(12)
		before := host.controller.pushQueue.queuedLines
		host.updateEndpoints(0, 1, Draining, 0)
		if host.run(0.25, nil); host.controller.backends[0].published > 0 || host.controller.pushQueue.queuedLines-before > 20*6 {
			t.Errorf("line %.1f, %.0f lines for one drain", host.controller.backends[0].published, host.controller.pushQueue.queuedLines-before)
		}
		host.updateEndpoints(1, 61, Draining, 0)
		if most := host.playChannel(20); most > 900*4 {
			t.Errorf("%.0f lines waited", most)
		}
		for b := range 61 {
			if host.controller.backends[b].published > 0 {
				t.Errorf("%d still has its line", b)
			}
		}
	})
	t.Run("many short subsets are given backends in pieces", func(t *testing.T) {
		host := startController(t, wholeFleet(), 200, 2000)
		host.playChannel(40)
		var gone []int
		for b := range host.controller.backends {
			if host.controller.backends[b].subset < 8 && len(gone) < 76 {
				gone = append(gone, b)
			}
		}
		for _, b := range gone {
			host.controller.backends[b].State = Draining
		}
		if most := host.playChannel(80); most > 900*4 {
			t.Errorf("%.0f lines waited", most)
		}
		weights, fair := host.controller.subsetTargetWeights(host.now)
		if slices.Min(weights) < shortSubsetShare*fair {
			t.Errorf("weights %v", weights)
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
			t.Errorf("tables %v, assigned %v", host.tables, host.assigned)
		}
	})
}
