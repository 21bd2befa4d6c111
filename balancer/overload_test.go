package balancer

import "testing"

func TestIdleBackendsDoNotShowOverload(t *testing.T) {
	for name, testCase := range map[string]struct {
		load      BackendLoad
		mean      int64
		wantLimit bool
	}{
		"idle cores: proxies stall":                           {BackendLoad{0.4, -1, -1}, 600_000, false},
		"no queue and a short service time: proxies stall":    {BackendLoad{-1, 0, 250_000}, 600_000, false},
		"no queue but a long service time: cores are shared":  {BackendLoad{-1, 0, 550_000}, 600_000, true},
		"busy cores: overload":                                {BackendLoad{0.97, -1, -1}, 600_000, true},
		"idle cores are not believed at a high latency ratio": {BackendLoad{0.1, -1, -1}, 1200_000, true},
	} {
		t.Run(name, func(t *testing.T) {
			host := startController(t, defaultSettings(), 8, 3)
			host.run(6, func() {
				for b := range 8 {
					host.controller.OutcomesReported(OutcomeReport{Backend: b, Attempts: 10, MeanAnswerTime: testCase.mean,
						Span: second, Load: testCase.load})
				}
				host.reportDemand(20, 20)
			})
			if limited := len(host.limits) > 0; limited != testCase.wantLimit {
				t.Errorf("got limits %v, want any: %v", host.limits, testCase.wantLimit)
			}
		})
	}
}

func TestProxyDemand(t *testing.T) {
	t.Run("the demand of a proxy without report lines in most intervals is not overestimated", func(t *testing.T) {
		// The demand of 300 proxies with one request per second each was overestimated by a third.
		// Seen in large scenarios.
		host := startController(t, defaultSettings(), 4, 1)
		for range 30 {
			host.controller.DemandReported(0, 0, 1, second)
			host.controller.DemandReported(0, 0, 1, 3*second)
		}
		if r := host.controller.proxies[0].demand[0]; r < 0.4 || r > 0.6 {
			t.Errorf("demand %.2f requests/s, want 0.5: two requests in four seconds", r)
		}
	})
}
