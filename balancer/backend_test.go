package balancer

import "testing"

func TestRemovedBackends(t *testing.T) {
	t.Run("with OnlyDrainingMustLeave, a removed backend keeps its entry until its attempts fail", func(t *testing.T) {
		// A wrong endpoint list omitted most backends. When they were listed again, they were
		// treated as new.
		settings := defaultSettings()
		settings.limits.OnlyDrainingMustLeave = true
		host := startController(t, settings, 4, 2)
		host.run(3, func() { host.reportHealthy() })
		host.updateEndpoints(0, 3, Removed, 0)
		host.run(8, func() { host.reportHealthy(1) })
		if host.expectWeight(1, 2, "removed, without attempts"); host.withdrawn[0] || host.withdrawn[1] {
			t.Errorf("withdrawn %v, want none: removed backends may be used further", host.withdrawn)
		}
		host.updateEndpoints(0, 3, Ready, 0)
		host.expectWeight(1, 2, "listed again")
		host.updateEndpoints(0, 3, Removed, 0)
		host.run(3, func() { host.reportHealthy(0, 1); host.reportOutcomes(0, 6, 6, 0); host.reportOutcomes(1, 6, 6, 0) })
		host.expectWeight(0, 0, "removed, and its attempts fail")
		host.expectWeight(1, 0, "removed, and its attempts fail")
		host.updateEndpoints(0, 3, Ready, host.now)
		host.run(3, func() { host.reportHealthy() })
		host.expectWeight(1, 0.5, "restarted")
		host.expectWeight(2, 0.5, "restarted while it still had its entry")
	})
	t.Run("a removed backend can be forgotten, and its index can be reused for another backend", func(t *testing.T) {
		host := startController(t, defaultSettings(), 3, 1)
		host.reportOutcomes(2, 30, 30, 0)
		host.run(3, func() { host.reportHealthy(2); host.reportOutcomes(2, 10, 10, 0) })
		if host.controller.ForgetBackend(2) {
			t.Error("ForgetBackend forgot a listed backend")
		}
		host.updateEndpoints(2, 3, Removed, 0)
		if host.run(3, nil); !host.withdrawn[2] || !host.controller.ForgetBackend(2) {
			t.Fatalf("removed backend was not forgotten; withdrawn %v, want true", host.withdrawn[2])
		}
		host.updateEndpoints(2, 3, Ready, 0)
		host.run(6, func() { host.reportHealthy() })
		if b := host.controller.backends[2]; b.ejected || b.backoff > 0 || b.withdrawn {
			t.Errorf("the new backend inherited state of the forgotten one: %+v", b)
		}
		host.expectWeight(2, 2, "after its slow start")
	})
}
