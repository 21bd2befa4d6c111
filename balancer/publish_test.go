package balancer

import (
	"slices"
	"strings"
	"testing"
)

func TestOrdinaryChanges(t *testing.T) {
	t.Run("ordinary changes keep the publication interval", func(t *testing.T) {
		host := startController(t, defaultSettings(), 12, 2)
		turn := 0
		host.run(30, func() {
			turn++
			host.reportHealthy(turn % 12)
			host.reportOutcomes(turn%12, 10, 3, 900_000)
		})
		if n := len(host.messages); n > 18 {
			t.Errorf("%d messages were sent in 30 s, want at most 18", n)
		}
	})
	t.Run("many new backends at once do not fill the channel, and the largest changes are sent first", func(t *testing.T) {
		// Two incidents: 17 new backends were published to 39 proxies at once, and small weight steps
		// were sent before the entries of new backends.
		host := startController(t, defaultSettings(), 20, 20)
		host.run(5, func() { host.reportHealthy() })
		var added []Endpoint
		for b := range 60 {
			added = append(added, Endpoint{Backend: 20 + b, State: Ready, Weight: 1 + float64(b), StartedAt: host.now})
		}
		host.controller.EndpointsUpdated(false, added)
		maxQueued := 0.
		for turn := range 40 {
			maxQueued = max(maxQueued, host.controller.pushQueue.queuedLines)
			if host.run(0.25, nil); turn == 4 && (host.tables[0][79] == 0 || host.tables[0][20] > 0) {
				t.Errorf("after 5 steps the table is %v, want an entry for backend 79 and none for backend 20", host.tables[0])
			}
		}
		if maxQueued > 900 || len(host.tables[0]) != 80 {
			t.Errorf("%.0f lines were queued, want at most 900; %d backends are in the table, want 80",
				maxQueued, len(host.tables[0]))
		}
	})
}

func TestDelaysAreLogged(t *testing.T) {
	// A drain that was late and a zone that had no entry left no trace in the log.
	settings := defaultSettings()
	settings.classes[1].ZoneLocal = true
	settings.channel.MaxMessages = 2
	host := startController(t, settings, 6, 2)
	host.run(12, func() { host.reportHealthy() })
	for b := range 2 {
		host.controller.EndpointsUpdated(false, []Endpoint{{Backend: b, State: Draining, Weight: 2, Zone: b}})
		host.run(4, nil)
	}
	host.controller.EndpointsUpdated(false, []Endpoint{{Backend: 6, State: Ready, Weight: 2, Zone: 2},
		{Backend: 2, State: Draining, Weight: 2}})
	host.run(9, nil)
	host.expectLog("required changes wait: a proxy may be sent no more messages within the message window")
	host.expectLog("table of zone 2 is empty true: 1 backends usable, 0 ejected, 0 withheld")
	host.expectLog("table of zone 2 is empty false: 1 backends usable, 0 ejected, 0 withheld")
	if !slices.ContainsFunc(host.logs, func(text string) bool {
		return strings.HasPrefix(text, "required changes sent after ") && strings.HasSuffix(text, ", 2.34 s allowed")
	}) {
		t.Errorf("log lines are %q, want one of required changes that were sent too late", host.logs)
	}
}
