package balancer

import (
	"errors"
	"fmt"
)

// Types that state the unit of a time, a rate or a cost.
type (
	// Microseconds is a point in time, counted from the Host's epoch, or a duration.
	Microseconds = int64
	// RequestsPerSecond is a rate of requests.
	RequestsPerSecond = float64
	// Lines is the cost of a push: one line for each table entry, and some lines of overhead for
	// each message.
	Lines = float64
)

const second Microseconds = 1_000_000

// maxClasses is the number of classes that fit into the class sets of Host.AssignTable.
const maxClasses = 16

// Errors that New returns.
var (
	// ErrClassCount rejects a Config with no classes, or with more than 16.
	ErrClassCount = errors.New("balancer: number of classes is outside 1 to 16")
	// ErrShardCount rejects a Config with a negative number of shards.
	ErrShardCount = errors.New("balancer: number of shards is negative")
)

// Config holds the settings of a Controller. They do not change while it runs.
type Config struct {
	// Seed determines all random choices, and is the tag of the controller's timers
	// (Host.SetTimer). Each incarnation of a controller needs a different seed, so that it ignores
	// the timers of earlier incarnations.
	Seed uint64
	// Classes lists the classes of requests, from 1 to 16.
	Classes []Class
	// Channel describes the push channel to the proxies.
	Channel PushChannel
	// Rules holds the limits that the balancing rules must respect.
	Rules RuleLimits
	// Sharding describes how keys are divided into shards. The zero value means that there are no
	// shards.
	Sharding Sharding
	// Telemetry describes which observations the controller gets, and how often.
	Telemetry Telemetry
	// Admission is the way in which proxies interpret an admission limit.
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

// Class describes one class of requests.
type Class struct {
	// LatencyObjective is the target for the answer time.
	LatencyObjective Microseconds
	// Deadline is the time after which a client gives up on a request.
	Deadline Microseconds
	// PriorityWeight is the value of a request. Under overload, classes are admitted in descending
	// order of PriorityWeight divided by LatencyObjective.
	PriorityWeight float64
	// Writes marks a class whose requests modify data, so that the writes to a shard can be stopped
	// by class.
	Writes bool
	// ZoneLocal marks a class whose requests must stay in their zone.
	ZoneLocal bool
}

// AdmissionMode is the way in which proxies interpret an admission limit.
type AdmissionMode uint8

const (
	// AdmissionUnsupported means that proxies ignore admission limits.
	AdmissionUnsupported AdmissionMode = iota
	// AdmissionByShare means that a limit is the share of the arriving requests, from 0 to 1, that
	// a proxy admits.
	AdmissionByShare
	// AdmissionByRate means that a limit is the number of requests that a proxy admits per second.
	AdmissionByRate
)

// PushChannel describes the channel from a controller to its proxies. Its capacity and the costs of
// messages are counted in lines. A line is a table entry, or a part of a message that takes as long
// to send as a table entry.
type PushChannel struct {
	// LinesPerSecond is the number of lines that the channel sends per second.
	LinesPerSecond float64
	// MessageOverhead is the cost of each message in addition to its entries, in lines.
	MessageOverhead Lines
	// LimitLines is the cost of the admission limits that accompany every message, whatever its
	// purpose, in lines.
	LimitLines Lines
	// Backlog is the number of lines that may wait in the channel.
	Backlog Lines
	// MaxLatency is the longest time from the sending of a message by the channel to the arrival of
	// the message at a proxy.
	MaxLatency Microseconds
	// MaxMessages is the number of messages that a proxy may be sent within MessageWindow; 0 means
	// no limit.
	MaxMessages int
	// MessageWindow is the length of the period to which MaxMessages applies.
	MessageWindow Microseconds
	// SharedProxies means that MaxMessages applies to the messages of several controllers together,
	// which proxies move between, see message_pace.go.
	SharedProxies bool
	// Proxies is the number of proxies at all controllers together; 0 means that it is unknown.
	Proxies int
	// MinBackendConnections is the number of connections that the smallest backend accepts; 0 means
	// that it is unknown.
	MinBackendConnections int
}

// RuleLimits holds the limits that the balancing rules must respect.
type RuleLimits struct {
	// DrainGrace is the time within which proxies must stop using a draining backend.
	DrainGrace Microseconds
	// ColdStartShare is the share of its weight that a backend can carry when it starts.
	ColdStartShare float64
	// WarmupTime is the time from the start of a backend until it can carry all of its weight.
	WarmupTime Microseconds
	// OnlyDrainingMustLeave allows proxies to keep using backends that the endpoint list drops
	// without a drain.
	OnlyDrainingMustLeave bool
}

// Sharding describes how keys are divided into shards.
type Sharding struct {
	// Count is the number of shards; 0 means that there are none.
	Count int
	// SingleOwner requires that no two backends are sent writes of the same shard.
	SingleOwner bool
	// WriteLease is how long a proxy continues to write after it has lost its controller.
	WriteLease Microseconds
	// SettleTime is the time within which a write completes.
	SettleTime Microseconds
}

// Telemetry describes which observations a controller gets, and how often.
type Telemetry struct {
	// ReportInterval is the time that a report covers if it is not delayed.
	ReportInterval Microseconds
	// ReportLinesPerSecond is the highest number of report lines that a controller receives per
	// second; 0 means that it is unknown.
	ReportLinesPerSecond float64
	// HealthChecksAllowed permits calls of Host.CheckHealth.
	HealthChecksAllowed bool
	// PollingRequired means that the endpoint list arrives only in answer to Host.PollEndpoints.
	PollingRequired bool
	// LoadDependentWeights means that listed weights fall as the current load of a backend rises.
	LoadDependentWeights bool
	// MaxPollInterval is the longest time allowed between two polls if PollingRequired is set.
	MaxPollInterval Microseconds
}
