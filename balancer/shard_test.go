package balancer

import (
	"strings"
	"testing"
)

func TestShardMigration(t *testing.T) {
	start := func(t *testing.T, singleOwner bool, mode AdmissionMode) *fakeHost {
		settings := defaultSettings()
		settings.sharding = Sharding{Count: 4, SingleOwner: singleOwner, WriteLease: 2500_000, SettleTime: 2 * second}
		settings.mode = mode
		host := startController(t, settings, 4, 0)
		for id := range 4 {
			host.controller.ShardAssigned(id)
			host.controller.ShardOwnerStored(id, id, 1)
			host.controller.ShardDemandReported(id, 0, 10*id, second)
		}
		host.controller.ProxyConnected(0, 0, 10, false)
		host.controller.ProxyConnected(1, 1, 10, false)
		host.run(1, nil)
		return host
	}
	removal := []Endpoint{{Backend: 3, State: Removed, Zone: 1}}
	t.Run("a shard whose owner is removed moves to the least loaded backend", func(t *testing.T) {
		host := start(t, false, AdmissionByShare)
		host.controller.EndpointsUpdated(false, removal)
		if host.tables[3][0] != 1 || host.tables[3][3] != 0 || len(host.tables[1]) > 0 {
			t.Errorf("tables are %v, want shard 3 at backend 0 only, and no entry for shard 1", host.tables)
		}
	})
	t.Run("a new single owner gets writes only after all writes at the former owner have settled", func(t *testing.T) {
		host := start(t, true, AdmissionByShare)
		host.controller.EndpointsUpdated(false, removal)
		if host.limits["3 2"] != 0 || host.retries["3 2"] != NoRetry || host.tables[3][0] != 1 {
			t.Fatalf("limits are %v, retry policies %v, tables %v; want shard 3 at backend 0, without writes or retries",
				host.limits, host.retries, host.tables)
		}
		// The disconnected proxy goes on writing for the time of the write lease.
		host.controller.ProxyDisconnected(1)
		host.run(2, nil)
		host.controller.ProxyConnected(1, 1, 10, false) // the proxy is notified of the fence again
		host.run(1.5, nil)
		if host.limits["3 2"] != 0 {
			t.Error("writes to shard 3 are allowed while writes of the disconnected proxy may be in progress")
		}
		host.run(2, nil)
		if host.limits["3 2"] < 1 {
			t.Error("writes to the shard are still stopped after its move has settled")
		}
	})
	t.Run("a shard taken over from another controller is fenced, since it may have been moving", func(t *testing.T) {
		// A controller had fenced and moved the shard just before a network partition, after which the
		// shard was assigned to another controller. That controller lifted the fence, although writes
		// to a former owner may have been in progress.
		host := start(t, true, AdmissionByShare)
		host.run(5, func() { host.reportHealthy() })
		host.controller.ShardAssigned(2)
		host.controller.ShardOwnerStored(2, 1, 1)
		host.run(1, nil)
		if limit, ok := host.limits["2 2"]; !ok || limit != 0 {
			t.Errorf("limits are %v, want 0 for writes to shard 2", host.limits)
		}
		host.run(3, nil)
		if host.limits["2 2"] < 1 {
			t.Error("writes to the shard are still stopped after its move has settled")
		}
	})
	t.Run("fences are repeated once, however many proxies connect", func(t *testing.T) {
		// With each new connection of a proxy, every fence was sent to all proxies again, and the
		// channel overflowed.
		host := start(t, true, AdmissionByShare)
		host.controller.EndpointsUpdated(false, removal)
		before := len(host.effects)
		for p := 2; p < 12; p++ {
			host.controller.ProxyConnected(p, 0, 10, false)
		}
		host.run(1, nil)
		fences := 0
		for _, line := range host.effects[before:] {
			fences += toInt(strings.HasSuffix(line, "limit 3 2 0.00 0"))
		}
		if fences != 1 {
			t.Errorf("the fence of shard 3 was sent %d times, want 1", fences)
		}
	})
	t.Run("where limits are not supported, the new owner is published last", func(t *testing.T) {
		host := start(t, true, AdmissionUnsupported)
		host.controller.EndpointsUpdated(false, removal)
		if len(host.tables[3]) > 0 {
			t.Fatalf("the table of shard 3 is %v before the move has settled, want no entry", host.tables[3])
		}
		host.run(3, nil)
		if host.tables[3][0] != 1 {
			t.Errorf("the table of shard 3 is %v after the move has settled, want backend 0", host.tables[3])
		}
	})
}
