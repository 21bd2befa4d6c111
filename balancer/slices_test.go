package balancer

import (
	"strings"
	"testing"
)

func TestSlices(t *testing.T) {
	start := func(t *testing.T, single bool, admit AdmissionMode) *fakeHost {
		x := defaultSettings()
		x.sharding = Sharding{Count: 4, SingleOwner: single, WriteLease: 2500_000, SettleTime: 2 * second}
		x.mode = admit
		s := startController(t, x, 4, 0)
		for id := range 4 {
			s.controller.ShardAssigned(id)
			s.controller.ShardOwnerStored(id, id, 1)
			s.controller.ShardDemandReported(id, 0, 10*id, second)
		}
		s.controller.ProxyConnected(0, 0, 10, false)
		s.controller.ProxyConnected(1, 1, 10, false)
		s.run(1, nil)
		return s
	}
	gone := []Endpoint{{Backend: 3, State: Removed, Zone: 1}}
	t.Run("a slice whose owner is gone moves to the one with least to do", func(t *testing.T) {
		s := start(t, false, AdmissionByShare)
		s.controller.EndpointsUpdated(false, gone)
		if s.tables[3][0] != 1 || s.tables[3][3] != 0 || len(s.tables[1]) > 0 {
			t.Errorf("tables %v", s.tables)
		}
	})
	t.Run("a single owner gets writes only after the last has settled everywhere", func(t *testing.T) {
		s := start(t, true, AdmissionByShare)
		s.controller.EndpointsUpdated(false, gone)
		if s.limits["3 2"] != 0 || s.retries["3 2"] != NoRetry || s.tables[3][0] != 1 {
			t.Fatalf("levels %v, tables %v", s.limits, s.tables)
		}
		s.controller.ProxyDisconnected(1) // it goes on writing for a while
		s.run(2, nil)
		s.controller.ProxyConnected(1, 1, 10, false) // and is told again when it is back
		s.run(1.5, nil)
		if s.limits["3 2"] != 0 {
			t.Error("writes go on though the lost proxy's may be in hand")
		}
		s.run(2, nil)
		if s.limits["3 2"] < 1 {
			t.Error("writes are still held")
		}
	})
	t.Run("a slice that comes from another controller may have been on the move", func(t *testing.T) {
		// Found by a hunt: it had moved the slice just before a cut took it away, and the level was reset.
		s := start(t, true, AdmissionByShare)
		s.run(5, func() { s.reportHealthy() })
		s.controller.ShardAssigned(2)
		s.controller.ShardOwnerStored(2, 1, 1)
		s.run(1, nil)
		if l, ok := s.limits["2 2"]; !ok || l != 0 {
			t.Errorf("levels %v", s.limits)
		}
		s.run(3, nil)
		if s.limits["2 2"] < 1 {
			t.Error("writes are still held")
		}
	})
	t.Run("holds are told again once, however many proxies join", func(t *testing.T) {
		// Found by a hunt: every joining proxy had every hold told again to all, and the channel overflowed.
		s := start(t, true, AdmissionByShare)
		s.controller.EndpointsUpdated(false, gone)
		before := len(s.script)
		for p := 2; p < 12; p++ {
			s.controller.ProxyConnected(p, 0, 10, false)
		}
		s.run(1, nil)
		told := 0
		for _, line := range s.script[before:] {
			told += count(strings.HasSuffix(line, "admit 3 2 0.00 0"))
		}
		if told != 1 {
			t.Errorf("the hold was told %d times", told)
		}
	})
	t.Run("where levels are not heeded, the line comes last", func(t *testing.T) {
		s := start(t, true, AdmissionUnsupported)
		s.controller.EndpointsUpdated(false, gone)
		if len(s.tables[3]) > 0 {
			t.Fatalf("table %v", s.tables[3])
		}
		s.run(3, nil)
		if s.tables[3][0] != 1 {
			t.Errorf("table %v", s.tables[3])
		}
	})
}
