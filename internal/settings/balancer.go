package settings

import (
	"fmt"
	"math"
	"slices"

	"wheelrill/balancer"
)

// maxClasses is the maximum number of request classes: the balancer keeps a set of classes in 16
// bits.
const maxClasses = 16

// Classes reads the request classes in the order of their numbers in the simulator's protocol.
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
			// By default a class counts as writes, which is safe: its requests are fenced, and not
			// retried, while a shard migrates.
			Writes:    flagAt(writes, i, true),
			ZoneLocal: flagAt(zoneLocal, i, false),
		})
	}
	return classes
}

// requireItems rejects a list of per-class values that does not have one item for each class. It
// accepts a missing or empty list.
func (s *Settings) requireItems(key string, list []string, classes int) {
	if len(list) > 0 && len(list) != classes {
		s.Reject(key, fmt.Sprintf("has %d words for %d classes", len(list), classes))
	}
}

// flagAt reports whether the item of a class in a list of per-class values is "true"; a class
// without an item gets the default.
func flagAt(list []string, class int, defaultFlag bool) bool {
	if class >= len(list) {
		return defaultFlag
	}
	return list[class] == "true"
}

// PushChannel reads the capacity and the delay of the push channel to the proxies.
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

// RuleLimits reads the limits of the rules that a controller has to keep.
func (s *Settings) RuleLimits() balancer.RuleLimits {
	return balancer.RuleLimits{
		DrainGrace:            s.positiveMicroseconds("rules.stopSendingWithin"),
		ColdStartShare:        s.number("rules.coldShare"),
		WarmupTime:            s.microseconds("rules.rampTime"),
		OnlyDrainingMustLeave: s.flag("rules.droppedStayOpen", false),
	}
}

// Sharding reads how data is partitioned into shards. If the number of shards is above 0, it also
// reads the other settings of sharding, of which the write lease and the settle time are required.
func (s *Settings) Sharding() balancer.Sharding {
	sharding := balancer.Sharding{Count: s.countUpTo("familyInfo.partitionsN", math.MaxUint16)}
	if sharding.Count > 0 {
		sharding.SingleOwner = s.flag("familyInfo.singleWriter", true)
		sharding.WriteLease = s.microseconds("familyInfo.keepsWriting")
		sharding.SettleTime = s.microseconds("familyInfo.lingers")
	}
	return sharding
}

// loadDependentWeights maps the value of the setting "weights", a word of the simulator's protocol,
// to whether the weights in endpoint lists follow a backend's load.
var loadDependentWeights = map[string]bool{"silent": false, "nominal": false, "rough": false, "live": true}

// pollingRequired maps the value of the setting "membershipMode", a word of the simulator's
// protocol, to whether a controller has to poll in order to get the endpoint list.
var pollingRequired = map[string]bool{"automatic": false, "subscribe": true}

// admissionModes maps the value of the setting "familyInfo.admission", a word of the simulator's
// protocol for the unit of admission limits, to the balancer's AdmissionMode.
var admissionModes = map[string]balancer.AdmissionMode{
	"silent":     balancer.AdmissionUnsupported,
	"fraction":   balancer.AdmissionByShare,
	"per_second": balancer.AdmissionByRate,
}

// Telemetry reads which reports and health checks a controller can use, and how it gets the
// endpoint list. The maximum poll interval is required if the controller has to poll the endpoint
// list; otherwise the setting is not read.
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

// AdmissionMode reads the unit of admission limits; without this setting, admission limits are
// unsupported.
func (s *Settings) AdmissionMode() balancer.AdmissionMode {
	return wordOf(s, "familyInfo.admission", balancer.AdmissionUnsupported, admissionModes)
}

// LoadFields reads the names of the values in a load report, in their order in the report. The list
// is empty if backends report no load.
func (s *Settings) LoadFields() []string {
	if s.values["reporting.how"] == "silent" {
		return nil
	}
	return s.list("reporting.fields")
}

// Zones reads the names of the zones: at least one, without duplicates. A zone's number is its
// index.
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
