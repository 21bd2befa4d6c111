package balancer

import (
	"errors"
	"fmt"
)

// Units of the package.
type (
	// Microseconds is a time since the Host's epoch, or a duration.
	Microseconds = int64
	// RequestsPerSecond is a rate of requests.
	RequestsPerSecond = float64
	// Lines is a cost of a push: each table entry is one, and each message some for its overhead.
	Lines = float64
)

const second Microseconds = 1_000_000

// maxClasses is how many classes fit into the sets of Host.AssignTable.
const maxClasses = 16

// Errors of New.
var (
	// ErrClassCount refuses a Config with no classes, or with more than 16.
	ErrClassCount = errors.New("balancer: number of classes is outside 1 to 16")
	// ErrShardCount refuses a Config with a negative number of shards.
	ErrShardCount = errors.New("balancer: number of shards is negative")
)

// Config is what a Controller is started with. It does not change afterwards.
type Config struct {
	// Seed decides all random choices, and is the tag of the controller's timers (Host.SetTimer): another one for each
	// incarnation.
	Seed uint64
	// Classes are the classes of requests, from 1 to 16.
	Classes []Class
	// Channel is the way to the proxies.
	Channel PushChannel
	// Rules are the figures that the rules must keep to.
	Rules RuleLimits
	// Sharding says how keys fall into shards; the zero value is none.
	Sharding Sharding
	// Telemetry is what can be observed, and how often.
	Telemetry Telemetry
	// Admission is what an admission limit means to the proxies.
	Admission AdmissionMode
}

func (config *Config) validate() error {
	if count := len(config.Classes); count == 0 || count > maxClasses {
		return fmt.Errorf("%w: %d", ErrClassCount, count)
	}
	if count := config.Sharding.Count; count < 0 {
		return fmt.Errorf("%w: %d", ErrShardCount, count)
	}
	return nil
}

// Class is one class of requests.
type Class struct {
	// LatencyObjective is the answer time that is aimed at.
	LatencyObjective Microseconds
	// Deadline is when a client gives up.
	Deadline Microseconds
	// PriorityWeight is what a request is worth: under overload, classes are let in by this over their latency objective.
	PriorityWeight float64
	// Writes says that requests change something, so that a shard's writes can be stopped by class.
	Writes bool
	// ZoneLocal says that requests must stay in their zone.
	ZoneLocal bool
}

// AdmissionMode is what an admission limit means to the proxies.
type AdmissionMode uint8

const (
	// AdmissionUnsupported proxies heed no limits.
	AdmissionUnsupported AdmissionMode = iota
	// AdmissionByShare proxies let in a share, from 0 to 1, of what comes.
	AdmissionByShare
	// AdmissionByRate proxies let in a number of requests a second.
	AdmissionByRate
)

// PushChannel is the way from a controller to its proxies. Its unit is a line: a table entry, or a part of a message
// that takes as long to send.
type PushChannel struct {
	// LinesPerSecond is how many lines leave in a second.
	LinesPerSecond float64
	// MessageOverhead is what each message costs beside its entries, in lines.
	MessageOverhead Lines
	// LimitLines is the lines of admission limits that go along with every message, whatever it is for.
	LimitLines Lines
	// Backlog is how many lines may wait.
	Backlog Lines
	// MaxLatency is the longest time from the channel's end to a proxy.
	MaxLatency Microseconds
	// MaxMessages is how many messages a proxy may be sent within MessageWindow; 0 for any number.
	MaxMessages int
	// MessageWindow is the time over which MaxMessages counts.
	MessageWindow Microseconds
	// Proxies is how many exist, at all controllers; 0 if nobody says.
	Proxies int
	// MinBackendConnections is how many connections the smallest backend takes; 0 if nobody says.
	MinBackendConnections int
}

// RuleLimits are the figures that the rules must keep to.
type RuleLimits struct {
	// DrainGrace is the time within which proxies must have left a draining backend.
	DrainGrace Microseconds
	// ColdStartShare is the share of its weight that a backend can carry as it starts.
	ColdStartShare float64
	// WarmupTime is how long after its start a backend can carry all of its weight.
	WarmupTime Microseconds
	// OnlyDrainingMustLeave says that backends which the list drops, without a drain, may be used further.
	OnlyDrainingMustLeave bool
}

// Sharding says how keys fall into shards.
type Sharding struct {
	// Count is how many shards there are; 0 for none.
	Count int
	// SingleOwner says that no two backends may be sent writes of one shard.
	SingleOwner bool
	// WriteLease is how long a proxy goes on writing after it lost its controller.
	WriteLease Microseconds
	// SettleTime is the time within which a write is concluded.
	SettleTime Microseconds
}

// Telemetry is what a controller can observe, and how often.
type Telemetry struct {
	// ReportInterval is the time that an ordinary report covers.
	ReportInterval Microseconds
	// ReportLinesPerSecond is how many report lines a controller is given at most in a second; 0 if nobody says.
	ReportLinesPerSecond float64
	// HealthChecksAllowed says that Host.CheckHealth may be called.
	HealthChecksAllowed bool
	// PollingRequired says that the endpoint list comes only after Host.PollEndpoints.
	PollingRequired bool
	// LoadDependentWeights says that listed weights fall with the load of the moment.
	LoadDependentWeights bool
	// MaxPollInterval is the longest time allowed between two polls, where polling is required.
	MaxPollInterval Microseconds
}
