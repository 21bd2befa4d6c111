package controller

import "wheelrill/balancer"

// outcomeReport is a load report: the outcomes of the attempts that the proxies of a zone made at a
// backend.
type outcomeReport struct {
	backend     string       // id of the backend that the report is about
	attempts    int          // number of attempts at the backend
	failed      int          // number of failed attempts, which are included in attempts
	meanLatency microseconds // mean latency of the successful attempts, in µs
	interval    microseconds // length of the interval that the report covers, in µs
	load        balancer.BackendLoad
}

// outcomesReported passes a load report about a backend to balancer.Controller. It drops a report
// about an unknown backend.
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

// demandReported passes a load report about a proxy to balancer.Controller: the number of requests
// of a class that arrived at the proxy in an interval. It drops the report unless the proxy is
// connected and this controller owns it.
func (l *eventLoop) demandReported(proxy, class, count int, interval microseconds) {
	if proxy >= len(l.sessions) || l.sessions[proxy] == nil || l.proxy(proxy).unowned {
		return
	}
	l.decisions.DemandReported(proxy, class, count, interval)
	if l.ownership != nil {
		l.ownership.evidence.AddDemand(proxy, class, count, interval)
	}
}
