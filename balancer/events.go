package balancer

// This file holds what events carry.

// EndpointState is what the endpoint list says of a backend.
type EndpointState uint8

const (
	// Removed backends are no longer listed.
	Removed EndpointState = iota
	// Ready backends may be sent requests.
	Ready
	// Draining backends must be left within RuleLimits.DrainGrace.
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	// Backend is its index.
	Backend int
	// State is what the list says of it.
	State EndpointState
	// StartedAt is when its process started; 0 for a distant past.
	StartedAt Microseconds
	// Weight is its listed weight. A weight of 0 or less counts as 1.
	Weight float64
	// Zone is the index of its zone.
	Zone int
	// DrainingSince is when its drain was ordered, as its grace runs from then on; 0 if that is now.
	DrainingSince Microseconds
}

// BackendLoad is what a backend reports of itself. A figure that it did not give is negative. The zero value, which all
// figures at 0 are too, counts as no report.
type BackendLoad struct {
	// CPUUtilization is the share of its cores at work, from 0 to 1.
	CPUUtilization float64
	// QueueLength is how many requests it has accepted and not yet begun.
	QueueLength float64
	// ServiceTime is its recent service time without waiting, in microseconds.
	ServiceTime float64
}

// OutcomeReport is what proxies met at a backend within a span of time.
type OutcomeReport struct {
	// Backend is its index.
	Backend int
	// Attempts is how many attempts ended there.
	Attempts int
	// Failures is how many of these failed: timed out, were refused, or answered with an error.
	Failures int
	// MeanAnswerTime is the mean over the others; any value if there are none.
	MeanAnswerTime Microseconds
	// Span is the time that the report covers; it ended a moment ago.
	Span Microseconds
	// Load is what the backend reported of itself with its answers.
	Load BackendLoad
}

// HealthCheckResult is how a health check ended.
type HealthCheckResult uint8

const (
	// HealthCheckUnknown is a result that the Host does not know.
	HealthCheckUnknown HealthCheckResult = iota
	// HealthCheckPassed is an answer that says that all is well.
	HealthCheckPassed
	// HealthCheckFailed is an answer that says that it is not.
	HealthCheckFailed
	// HealthCheckRefused is a connection that was refused.
	HealthCheckRefused
	// HealthCheckTimedOut is no answer in time.
	HealthCheckTimedOut
	// HealthCheckUnreachable is a backend to which there is no way.
	HealthCheckUnreachable
	// HealthCheckBroken is a connection that broke before the answer.
	HealthCheckBroken
)
