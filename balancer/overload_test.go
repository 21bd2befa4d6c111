package balancer

import "testing"

func TestIdleBackendsAreNoOverload(t *testing.T) {
	for name, x := range map[string]struct {
		load BackendLoad
		mean int64
		cuts bool
	}{
		"proxies that stand still before idle cores are no overload":    {BackendLoad{0.4, -1, -1}, 600_000, false},
		"nor are they where nothing waits and service is short":         {BackendLoad{-1, 0, 250_000}, 600_000, false},
		"but work that shares its cores waits nowhere and takes longer": {BackendLoad{-1, 0, 550_000}, 600_000, true},
		"full cores are an overload":                                    {BackendLoad{0.97, -1, -1}, 600_000, true},
		"and idle figures are not believed at a high latency ratio":     {BackendLoad{0.1, -1, -1}, 1200_000, true},
	} {
		t.Run(name, func(t *testing.T) {
			host := startController(t, defaultSettings(), 8, 3)
			host.run(6, func() {
				for b := range 8 {
					host.controller.OutcomesReported(OutcomeReport{Backend: b, Attempts: 10, MeanAnswerTime: x.mean, Span: second, Load: x.load})
				}
				host.reportDemand(20, 20)
			})
			if cuts := len(host.limits) > 0; cuts != x.cuts {
				t.Errorf("limits %v", host.limits)
			}
		})
	}
}

func TestDemandOfAProxy(t *testing.T) {
	t.Run("a proxy with no report line in most intervals counts with its actual demand", func(t *testing.T) {
		// Found at size: 300 proxies with one request a second each seemed to get a third more.
		host := startController(t, defaultSettings(), 4, 1)
		for range 30 {
			host.controller.DemandReported(0, 0, 1, second)
			host.controller.DemandReported(0, 0, 1, 3*second)
		}
		if r := host.controller.proxies[0].demand[0]; r < 0.4 || r > 0.6 {
			t.Errorf("%.2f a second, two in four seconds come", r)
		}
	})
}
