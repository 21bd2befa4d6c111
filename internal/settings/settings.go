// Package settings reads the settings that a controller starts with into the types of the decisions, whether they
// come as lines of path=value or as nested JSON. It decides nothing.
package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"wheelrill/balancer"
)

// Settings are settings by their paths. The first key that is missing or unusable is kept.
type Settings struct {
	pairs map[string]string
	lists map[string][]string
	err   error
	odd   func(format string, args ...any)
}

// Lines reads settings of one path=value a line; what is odd but usable is told to odd.
func Lines(text string, odd func(string, ...any)) *Settings {
	f := &Settings{pairs: map[string]string{}, odd: odd}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			f.pairs[key] = value
		}
	}
	return f
}

// Nested reads settings from an object, flattened to the paths that Lines reads; lists keep their texts.
func Nested(settings *fastjson.Value, odd func(string, ...any)) *Settings {
	f := &Settings{pairs: map[string]string{}, lists: map[string][]string{}, odd: odd}
	f.flatten("", settings)
	return f
}

func (f *Settings) flatten(path string, v *fastjson.Value) {
	under := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, item *fastjson.Value) { f.flatten(under(string(key)), item) })
	case fastjson.TypeArray:
		f.pairs[under("count")] = strconv.Itoa(len(v.GetArray()))
		words := []string{}
		for i, item := range v.GetArray() {
			if item.Type() == fastjson.TypeObject {
				f.flatten(under(strconv.Itoa(i)), item)
			}
			words = append(words, plain(item))
		}
		f.pairs[path], f.lists[path] = strings.Join(words, ","), words
	default:
		f.pairs[path] = plain(v)
	}
}

func plain(v *fastjson.Value) string {
	if v.Type() == fastjson.TypeString {
		return string(v.GetStringBytes())
	}
	return string(v.MarshalTo(nil))
}

// Fail notes that a key cannot be used; the first one stays.
func (f *Settings) Fail(key, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("setting %s %s", key, why)
	}
}

// Err names the first key that was missing or unusable among those read so far.
func (f *Settings) Err() error { return f.err }

// Microseconds turns milliseconds into whole microseconds; what is not a usable figure is 0.
func Microseconds(ms float64) int64 {
	const longest = float64(1 << 53)
	return int64(min(math.Round(Sanitize(ms)*1000), longest))
}

// Sanitize turns what is not a usable figure into 0, the word for absent.
func Sanitize(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return 0
	}
	return x
}

// number reads a figure that the module cannot do without.
func (f *Settings) number(key string) float64 {
	text, ok := f.pairs[key]
	if !ok {
		f.Fail(key, "is missing")
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		f.Fail(key, fmt.Sprintf("is not a usable number: %q", text))
		return 0
	}
	return x
}

// Count reads a figure that sizes something here.
func (f *Settings) Count(key string) int {
	x := f.number(key)
	if x > math.MaxUint16 {
		f.Fail(key, "is out of all bounds")
		return 0
	}
	return int(x)
}

// Maybe reads a figure whose absence means the given one.
func (f *Settings) Maybe(key string, absent float64) float64 {
	if !f.has(key) {
		return absent
	}
	return f.number(key)
}

// has tells whether a key is there that may be absent. One that is only written otherwise is refused: its absence would
// be taken for a wish.
func (f *Settings) has(key string) bool {
	if _, ok := f.pairs[key]; ok {
		return true
	}
	for _, other := range slices.Sorted(maps.Keys(f.pairs)) {
		if folded(other) == folded(key) {
			f.Fail(other, "is not known; "+key+" is")
		}
	}
	return false
}

func folded(key string) string {
	return strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(key))
}

func (f *Settings) Span(key string) int64 { return Microseconds(f.number(key)) }

// some reads a figure that cannot be 0.
func (f *Settings) some(key string) float64 {
	x := f.number(key)
	if x == 0 {
		f.Fail(key, "is 0")
	}
	return x
}

// truth reads a yes or no; another word, or none, is the careful one.
func (f *Settings) truth(key string, careful bool) bool {
	f.has(key)
	switch text, ok := f.pairs[key]; {
	case text == "true":
		return true
	case text == "false":
		return false
	case ok:
		f.odd("setting %s: unknown word %q", key, text)
	}
	return careful
}

// List reads a list of plain words.
func (f *Settings) List(key string) []string {
	f.has(key)
	if words, ok := f.lists[key]; ok {
		return words
	}
	if f.pairs[key] == "" {
		return nil
	}
	return strings.Split(f.pairs[key], ",")
}

// word finds a word of the wire among ours; another word, or none, is the careful one.
func word[T any](f *Settings, key string, careful T, known map[string]T) T {
	text, ok := f.pairs[key]
	if value, there := known[text]; there {
		return value
	}
	if ok {
		f.odd("setting %s: unknown word %q", key, text)
	}
	return careful
}

func (f *Settings) Classes() []balancer.Class {
	const writesKey, ownKey = "familyInfo.classWrites", "familyInfo.staysLocal"
	writes, own := f.List(writesKey), f.List(ownKey)
	at := func(list []string, i int, absent bool) bool {
		if i < len(list) {
			return list[i] == "true"
		}
		return absent
	}
	count := f.Count("profiles.count")
	if f.err == nil && (count == 0 || count > 16) {
		f.Fail("profiles.count", "is outside 1 to 16")
	}
	for key, list := range map[string][]string{writesKey: writes, ownKey: own} {
		if len(list) > 0 && len(list) != count {
			f.Fail(key, fmt.Sprintf("has %d words for %d classes", len(list), count))
		}
	}
	var classes []balancer.Class
	for i := 0; f.err == nil && i < count; i++ {
		key := fmt.Sprintf("profiles.%d.", i)
		class := balancer.Class{
			LatencyObjective: Microseconds(f.some(key + "target")),
			Deadline:         Microseconds(f.some(key + "deadline")),
			PriorityWeight:   f.Maybe(key+"worth", 1),
			Writes:           at(writes, i, true),
			ZoneLocal:        at(own, i, false),
		}
		classes = append(classes, class)
	}
	return classes
}

func (f *Settings) PushChannel() balancer.PushChannel {
	return balancer.PushChannel{
		LinesPerSecond:        f.some("familyInfo.egressPerS"),
		MessageOverhead:       f.number("familyInfo.overhead"),
		Backlog:               f.some("familyInfo.backlog"),
		MaxLatency:            f.Span("familyInfo.pushDelayMax"),
		MaxMessages:           int(min(f.Maybe("familyInfo.messagesMost", 0), math.MaxInt32)),
		MessageWindow:         Microseconds(f.Maybe("familyInfo.messagesOver", 0)),
		Proxies:               int(min(f.Maybe("familyInfo.proxyCount", 0), math.MaxUint16)),
		MinBackendConnections: int(min(f.Maybe("familyInfo.socketsMin", 0), math.MaxUint16)),
	}
}

func (f *Settings) RuleLimits() balancer.RuleLimits {
	return balancer.RuleLimits{
		DrainGrace:            Microseconds(f.some("rules.stopSendingWithin")),
		ColdStartShare:        f.number("rules.coldShare"),
		WarmupTime:            f.Span("rules.rampTime"),
		OnlyDrainingMustLeave: f.truth("rules.droppedStayOpen", false),
	}
}

func (f *Settings) Sharding() balancer.Sharding {
	p := balancer.Sharding{Count: int(min(f.Maybe("familyInfo.partitionsN", 0), math.MaxUint16))}
	if p.Count > 0 {
		p.SingleOwner = f.truth("familyInfo.singleWriter", true)
		p.WriteLease = f.Span("familyInfo.keepsWriting")
		p.SettleTime = f.Span("familyInfo.lingers")
	}
	return p
}

func (f *Settings) Telemetry() balancer.Telemetry {
	s := balancer.Telemetry{
		ReportInterval:       Microseconds(f.some("familyInfo.reportEvery")),
		ReportLinesPerSecond: f.Maybe("familyInfo.ingestRate", 0),
		HealthChecksAllowed:  f.truth("limits.mayProbe", false),
		LoadDependentWeights: word(f, "weights", false, map[string]bool{
			"silent": false, "nominal": false, "rough": false, "live": true}),
		PollingRequired: word(f, "membershipMode", true, map[string]bool{
			"automatic": false, "subscribe": true}),
	}
	if s.PollingRequired {
		s.MaxPollInterval = f.Span("rules.askWithin")
	}
	return s
}

func (f *Settings) AdmissionMode() balancer.AdmissionMode {
	return word(f, "familyInfo.admission", balancer.AdmissionUnsupported, map[string]balancer.AdmissionMode{
		"silent": balancer.AdmissionUnsupported, "fraction": balancer.AdmissionByShare, "per_second": balancer.AdmissionByRate})
}

// LoadFields gives the positions of the figures we read in a load report.
func (f *Settings) LoadFields() []string {
	if f.pairs["reporting.how"] == "silent" {
		return nil
	}
	return f.List("reporting.fields")
}

// Zones reads the names of the zones.
func (f *Settings) Zones() []string {
	zones := f.List("azs")
	if len(zones) == 0 {
		f.Fail("azs", "is missing")
	}
	for i, zone := range zones {
		if slices.Contains(zones[:i], zone) {
			f.Fail("azs", fmt.Sprintf("names %q twice", zone))
		}
	}
	return zones
}
