package balancer

// This file defines the data that events carry.

// EndpointState is the state of a backend in the endpoint list.
type EndpointState uint8

const (
	// Removed backends are no longer listed.
	Removed EndpointState = iota
	// Ready backends may be sent requests.
	Ready
	// Draining backends must no longer be used once RuleLimits.DrainGrace has passed.
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	// Backend is the index of the backend.
	Backend int
	// State is the listed state of the backend.
	State EndpointState
	// StartedAt is the time at which the backend's process started; 0 means long ago.
	StartedAt Microseconds
	// Weight is the listed weight of the backend. A weight of 0 or less counts as 1.
	Weight float64
	// Zone is the index of the backend's zone.
	Zone int
	// DrainingSince is the time at which the drain was ordered, from which its grace counts. 0
	// means that the grace counts from the arrival of this list.
	DrainingSince Microseconds
}

// BackendLoad is the load that a backend reports about itself. A figure that the backend did not
// give is negative. The zero value, in which all figures are 0, counts as no report.
type BackendLoad struct {
	// CPUUtilization is the share of the backend's cores that are busy, from 0 to 1.
	CPUUtilization float64
	// QueueLength is the number of requests that the backend has accepted but not yet begun.
	QueueLength float64
	// ServiceTime is the backend's recent service time, excluding time spent waiting, in
	// microseconds.
	ServiceTime float64
}

// OutcomeReport sums up the attempts of proxies at one backend within a span of time.
type OutcomeReport struct {
	// Backend is the index of the backend.
	Backend int
	// Attempts is the number of attempts at the backend, answered or failed, that the report
	// covers.
	Attempts int
	// Failures is the number of attempts, out of Attempts, that timed out, were refused, or were
	// answered with an error.
	Failures int
	// MeanAnswerTime is the mean answer time of the attempts that did not fail. If all attempts
	// failed, its value is ignored.
	MeanAnswerTime Microseconds
	// Span is the length of the period that the report covers, which ended just before the report
	// was made.
	Span Microseconds
	// Load is the load that the backend reported along with its answers.
	Load BackendLoad
}

// HealthCheckResult is the result of a health check.
type HealthCheckResult uint8

const (
	// HealthCheckUnknown is a result that the Host does not recognize.
	HealthCheckUnknown HealthCheckResult = iota
	// HealthCheckPassed means that the backend answered and reported itself healthy.
	HealthCheckPassed
	// HealthCheckFailed means that the backend answered and reported itself unhealthy.
	HealthCheckFailed
	// HealthCheckRefused means that the connection was refused.
	HealthCheckRefused
	// HealthCheckTimedOut means that no answer arrived in time.
	HealthCheckTimedOut
	// HealthCheckUnreachable means that there is no route to the backend.
	HealthCheckUnreachable
	// HealthCheckBroken means that the connection broke before the answer arrived.
	HealthCheckBroken
)
