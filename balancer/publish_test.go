package balancer

import "testing"

func TestOrdinaryChanges(t *testing.T) {
	t.Run("ordinary changes keep the publication interval", func(t *testing.T) {
		host := startController(t, defaultSettings(), 12, 2)
		turn := 0
		host.run(30, func() { turn++; host.reportHealthy(turn % 12); host.reportOutcomes(turn%12, 10, 3, 900_000) })
		if n := len(host.messages); n > 18 {
			t.Errorf("%d messages in 30 s", n)
		}
	})
	t.Run("a fleet that grows at once does not fill the channel, and the largest changes go first", func(t *testing.T) {
		// Found in two incidents: 17 new ones went to 39 proxies at once; and small steps went before new ones.
		host := startController(t, defaultSettings(), 20, 20)
		host.run(5, func() { host.reportHealthy() })
		var more []Endpoint
		for b := range 60 {
			more = append(more, Endpoint{Backend: 20 + b, State: Ready, Weight: 1 + float64(b), StartedAt: host.now})
		}
		host.controller.EndpointsUpdated(false, more)
		most := 0.
		for turn := range 40 {
			most = max(most, host.controller.pushQueue.queuedLines)
			if host.run(0.25, nil); turn == 4 && (host.tables[0][79] == 0 || host.tables[0][20] > 0) {
				t.Errorf("first in the table: %v", host.tables[0])
			}
		}
		if most > 900 || len(host.tables[0]) != 80 {
			t.Errorf("%.0f lines waited, %d backends in the table", most, len(host.tables[0]))
		}
	})
}
