package controller

import "wheelrill/balancer"

// outcomeReport is what the proxies of a zone met at a backend.
type outcomeReport struct {
	backend     string // its id
	attempts    int
	failed      int          // of attempts
	meanLatency microseconds // of the others
	interval    microseconds // that the report covers
	load        balancer.BackendLoad
}

// outcomesReported takes in a load report of a backend.
func (l *eventLoop) outcomesReported(report outcomeReport) {
	backend, ok := l.backends.index[report.backend]
	if !ok {
		id := report.backend[:min(len(report.backend), l.limits.maxIDBytes)]
		l.log.Info("report_for_unknown_backend", "backend", id)
		return
	}
	l.decisions.OutcomesReported(balancer.OutcomeReport{
		Backend:        backend,
		Attempts:       report.attempts,
		Failures:       report.failed,
		MeanAnswerTime: report.meanLatency,
		Span:           report.interval,
		Load:           report.load,
	})
	if l.ownership != nil {
		l.ownership.evidence.AddOutcomes(report.backend, report.attempts, report.failed, report.meanLatency, report.interval)
	}
}

// demandReported takes in how many requests of a class arrived at a proxy over an interval. It counts once the proxy is ours.
func (l *eventLoop) demandReported(proxy, class, count int, interval microseconds) {
	if proxy >= len(l.sessions) || l.sessions[proxy] == nil || l.proxy(proxy).unowned {
		return
	}
	l.decisions.DemandReported(proxy, class, count, interval)
	if l.ownership != nil {
		l.ownership.evidence.AddDemand(proxy, class, count, interval)
	}
}
