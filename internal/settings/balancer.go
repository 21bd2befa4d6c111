package settings

import (
	"fmt"
	"math"
	"slices"

	"wheelrill/balancer"
)

// maxClasses is how many classes of requests a controller takes; the balancer keeps sets of them in 16 bits.
const maxClasses = 16

// Classes reads the classes of requests, in their order on the wire.
func (s *Settings) Classes() []balancer.Class {
	const (
		writesKey    = "familyInfo.classWrites"
		zoneLocalKey = "familyInfo.staysLocal"
		countKey     = "profiles.count"
	)
	writes := s.list(writesKey)
	zoneLocal := s.list(zoneLocalKey)
	count := s.Count(countKey)
	if s.err == nil && (count == 0 || count > maxClasses) {
		s.Reject(countKey, fmt.Sprintf("is outside 1 to %d", maxClasses))
	}
	s.requireItems(writesKey, writes, count)
	s.requireItems(zoneLocalKey, zoneLocal, count)
	var classes []balancer.Class
	for i := 0; s.err == nil && i < count; i++ {
		key := fmt.Sprintf("profiles.%d.", i)
		classes = append(classes, balancer.Class{
			LatencyObjective: s.positiveMicroseconds(key + "target"),
			Deadline:         s.positiveMicroseconds(key + "deadline"),
			PriorityWeight:   s.NumberOr(key+"worth", 1),
			Writes:           flagAt(writes, i, true), // an unmarked class is not retried, which is safe
			ZoneLocal:        flagAt(zoneLocal, i, false),
		})
	}
	return classes
}

// requireItems rejects a list that is given and has not an item for each class.
func (s *Settings) requireItems(key string, list []string, classes int) {
	if len(list) > 0 && len(list) != classes {
		s.Reject(key, fmt.Sprintf("has %d words for %d classes", len(list), classes))
	}
}

// flagAt reads the flag of a class; without a list it is the given one.
func flagAt(list []string, class int, absent bool) bool {
	if class >= len(list) {
		return absent
	}
	return list[class] == "true"
}

// PushChannel reads what the way to the proxies carries.
func (s *Settings) PushChannel() balancer.PushChannel {
	return balancer.PushChannel{
		LinesPerSecond:        s.positive("familyInfo.egressPerS"),
		MessageOverhead:       s.number("familyInfo.overhead"),
		Backlog:               s.positive("familyInfo.backlog"),
		MaxLatency:            s.microseconds("familyInfo.pushDelayMax"),
		MaxMessages:           s.countUpTo("familyInfo.messagesMost", math.MaxInt32),
		MessageWindow:         FromMilliseconds(s.NumberOr("familyInfo.messagesOver", 0)),
		Proxies:               s.countUpTo("familyInfo.proxyCount", math.MaxUint16),
		MinBackendConnections: s.countUpTo("familyInfo.socketsMin", math.MaxUint16),
	}
}

// RuleLimits reads the figures of the rules that a controller is held to.
func (s *Settings) RuleLimits() balancer.RuleLimits {
	return balancer.RuleLimits{
		DrainGrace:            s.positiveMicroseconds("rules.stopSendingWithin"),
		ColdStartShare:        s.number("rules.coldShare"),
		WarmupTime:            s.microseconds("rules.rampTime"),
		OnlyDrainingMustLeave: s.flag("rules.droppedStayOpen", false),
	}
}

// Sharding reads how keys are partitioned; its other keys are required only where there are shards.
func (s *Settings) Sharding() balancer.Sharding {
	sharding := balancer.Sharding{Count: s.countUpTo("familyInfo.partitionsN", math.MaxUint16)}
	if sharding.Count > 0 {
		sharding.SingleOwner = s.flag("familyInfo.singleWriter", true)
		sharding.WriteLease = s.microseconds("familyInfo.keepsWriting")
		sharding.SettleTime = s.microseconds("familyInfo.lingers")
	}
	return sharding
}

// Words of the wire for how discovery's weights behave; true where they follow a backend's load.
var loadDependentWeights = map[string]bool{"silent": false, "nominal": false, "rough": false, "live": true}

// Words of the wire for how a controller learns of backends; true where it has to poll.
var pollingRequired = map[string]bool{"automatic": false, "subscribe": true}

// Words of the wire for what an admission limit counts.
var admissionModes = map[string]balancer.AdmissionMode{
	"silent":     balancer.AdmissionUnsupported,
	"fraction":   balancer.AdmissionByShare,
	"per_second": balancer.AdmissionByRate,
}

// Telemetry reads what a controller can observe; the poll interval is required only where it has to poll.
func (s *Settings) Telemetry() balancer.Telemetry {
	telemetry := balancer.Telemetry{
		ReportInterval:       s.positiveMicroseconds("familyInfo.reportEvery"),
		ReportLinesPerSecond: s.NumberOr("familyInfo.ingestRate", 0),
		HealthChecksAllowed:  s.flag("limits.mayProbe", false),
		LoadDependentWeights: wordOf(s, "weights", false, loadDependentWeights),
		PollingRequired:      wordOf(s, "membershipMode", true, pollingRequired),
	}
	if telemetry.PollingRequired {
		telemetry.MaxPollInterval = s.microseconds("rules.askWithin")
	}
	return telemetry
}

// AdmissionMode reads what an admission limit counts.
func (s *Settings) AdmissionMode() balancer.AdmissionMode {
	return wordOf(s, "familyInfo.admission", balancer.AdmissionUnsupported, admissionModes)
}

// LoadFields reads the names of the figures in a load report, in their order; none where backends report nothing.
func (s *Settings) LoadFields() []string {
	if s.values["reporting.how"] == "silent" {
		return nil
	}
	return s.list("reporting.fields")
}

// Zones reads the zones' names, at least one and each once. A zone's number is its index.
func (s *Settings) Zones() []string {
	const key = "azs"
	zones := s.list(key)
	if len(zones) == 0 {
		s.Reject(key, "is missing")
	}
	for i, zone := range zones {
		if slices.Contains(zones[:i], zone) {
			s.Reject(key, fmt.Sprintf("names %q twice", zone))
		}
	}
	return zones
}
