// Package balancer holds every decision of a wheelrill controller.
//
// This file holds its interface: what a controller asks of the place it runs in, and the plain types that
// cross over. Nothing is decided here.
package balancer

// Host is the place a Controller runs in. Orders given at one clock time leave as one message to each proxy
// concerned. Backends, proxies, classes and zones are small indices; times are whole microseconds.
type Host interface {
	Now() int64
	SetTimer(wait int64, tag uint64)
	Log(backend int, line string) // about a backend, or -1 for none

	// The list of backends, and a look at one of them.
	PollEndpoints()
	CheckHealth(backend int)

	// Tables, by number; a weight of 0 takes the line out. With slices a table is a slice.
	PublishEntry(table, backend int, weight float64)
	AssignTable(table, proxy int, classes uint16)
	Withdraw(backend int, out bool)
	// SyncWithdrawals tells one proxy, which came later, of all that is withdrawn and of its levels, or this one for what has
	// none: it may hold those of others. False where there is no way to.
	SyncWithdrawals(proxy int, allowance float64, tries RetryPolicy) bool
	// ClearWithdrawals lets a bound proxy use whatever its tables have and others withdrew, from now on with each first line.
	ClearWithdrawals(proxy int)
	SetAdmissionLimit(table int, classes uint16, allowance float64, tries RetryPolicy)
	// RequestAck asks for an Applied from each proxy that this clock time's orders reach, or from all joined ones.
	RequestAck(number int, everyone bool)
}

// AllTables means, where it is given to Admit, every table of every joined proxy.
const AllTables = 0xffff

// EndpointState is what the list says of a backend.
type EndpointState uint8

const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one line of the list.
type Endpoint struct {
	Backend       int
	State         EndpointState
	StartedAt     int64 // 0 for a distant past
	Weight        float64
	Zone          int
	DrainingSince int64 // when a drain was ordered, as its grace runs from then on; 0 if that is now
}

// Class is one class of requests.
type Class struct {
	LatencyObjective int64
	Deadline         int64
	PriorityWeight   float64
	Writes           bool
	ZoneLocal        bool
}

// RetryPolicy is the manner in which proxies try again.
type RetryPolicy uint8

const (
	NoRetry RetryPolicy = iota
	RetryIfNotExecuted
	RetryOnFailure
	RetryTwiceOnFailure
)

// AdmissionMode is what a level means to the proxies.
type AdmissionMode uint8

const (
	AdmissionUnsupported AdmissionMode = iota
	AdmissionByShare
	AdmissionByRate
)

// HealthCheckResult is how a probe ended.
type HealthCheckResult uint8

const (
	HealthCheckUnknown HealthCheckResult = iota
	HealthCheckPassed
	HealthCheckFailed
	HealthCheckRefused
	HealthCheckTimedOut
	HealthCheckUnreachable
	HealthCheckBroken
)

// BackendLoad is what a backend said of itself; a figure it did not give is negative.
type BackendLoad struct {
	CPUUtilization float64 // share of its cores at work
	QueueLength    float64 // requests not yet begun
	ServiceTime    float64 // recent service time without waiting, microseconds
}

// PushChannel is the way from a controller to its proxies.
type PushChannel struct {
	LinesPerSecond        float64
	MessageOverhead       float64
	LimitLines            float64 // lines of levels that go along with every message, whatever it is for
	Backlog               float64
	MaxLatency            int64
	MaxMessages           int
	MessageWindow         int64
	Proxies               int // that exist, at all controllers
	MinBackendConnections int // that the smallest backend takes; 0 if nobody says
}

// RuleLimits are the figures of the rules.
type RuleLimits struct {
	DrainGrace            int64
	ColdStartShare        float64
	WarmupTime            int64
	OnlyDrainingMustLeave bool
}

// Sharding says how keys fall into slices; Count is 0 where there are none.
type Sharding struct {
	Count       int
	SingleOwner bool
	WriteLease  int64 // a proxy that lost us goes on writing this long
	SettleTime  int64 // a write is concluded within this time
}

// Telemetry is what a controller may see and how.
type Telemetry struct {
	ReportInterval       int64
	ReportLinesPerSecond float64 // report lines a second that it is given at most; 0 if nobody says
	HealthChecksAllowed  bool
	PollingRequired      bool
	LoadDependentWeights bool // listed weights fall with the load of the moment
	MaxPollInterval      int64
}
