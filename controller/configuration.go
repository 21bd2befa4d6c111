package controller

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"

	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// restartKeys are the keys of a configuration that take effect at a start, not at a reload.
var restartKeys = []string{"name", "listen", "limits", "settings"}

// parsedConfiguration is a configuration that was read and validated.
type parsedConfiguration struct {
	Identity
	seed          uint64
	cachedList    *fastjson.Value // endpoint list that discovery had when the configuration was written; nil if missing
	limits        *limits
	channel       balancer.PushChannel
	rules         balancer.RuleLimits
	classes       []balancer.Class
	classNames    [][]byte       // name of each class as encoded in messages, a JSON string
	classIndex    map[string]int // index of each class, by class name
	zones         []string
	telemetry     balancer.Telemetry
	admissionMode balancer.AdmissionMode
	restartTexts  map[string]string // JSON text of the value of each of restartKeys that is present, by key
	warnings      []string          // texts about unusual settings that can still be used
}

// resources holds the CPU cores, megabytes of memory and file descriptors (sockets) of the process,
// as the configuration gives them.
type resources struct{ cores, memoryMB, sockets float64 }

// parseConfiguration reads a whole configuration. An error names the key that is missing or
// unusable.
func parseConfiguration(configuration []byte) (*parsedConfiguration, error) {
	root, err := fastjson.ParseBytes(configuration)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if key := duplicateKey(root); key != "" {
		return nil, fmt.Errorf("configuration: key %s occurs twice; it may occur once", key)
	}
	values := root.Get("settings")
	if values == nil || values.Type() != fastjson.TypeObject {
		return nil, errors.New("configuration: settings is missing or not an object")
	}
	p := newParsedConfiguration(root)
	given, err := parseResources(root.Get("limits"))
	if err != nil {
		return nil, err
	}
	p.limits.fitResources(given.cores, given.memoryMB, given.sockets)
	if err := p.parseSettings(values); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return p, nil
}

// newParsedConfiguration reads the keys that parseConfiguration does not require.
func newParsedConfiguration(root *fastjson.Value) *parsedConfiguration {
	text := func(key string) string { return string(root.GetStringBytes(key)) }
	p := &parsedConfiguration{
		Identity:     Identity{Name: text("name"), Listen: text("listen"), Discovery: text("discovery")},
		seed:         parseSeed(root.GetStringBytes("seed")),
		cachedList:   root.Get("known"),
		limits:       defaultLimits(),
		classIndex:   map[string]int{},
		restartTexts: map[string]string{},
	}
	for _, key := range restartKeys {
		if value := root.Get(key); value != nil {
			p.restartTexts[key] = value.String()
		}
	}
	return p
}

// parseSeed reads a hexadecimal seed; any other text is hashed to a seed.
func parseSeed(text []byte) uint64 {
	if seed, err := strconv.ParseUint(string(text), 16, 64); err == nil {
		return seed
	}
	hash := fnv.New64a()
	_, _ = hash.Write(text) // Write of a hash never returns an error
	return hash.Sum64()
}

// parseResources reads the cores, memory and file descriptors of the process. Each must be present
// and above 0.
func parseResources(values *fastjson.Value) (given resources, err error) {
	for _, resource := range []struct {
		key   string
		value *float64
	}{{"cores", &given.cores}, {"memory_mb", &given.memoryMB}, {"sockets", &given.sockets}} {
		number, ok := numberAt(values, resource.key)
		if !ok || number == 0 {
			return given, fmt.Errorf("configuration: limits.%s is missing or not a number above 0", resource.key)
		}
		*resource.value = number
	}
	return given, nil
}

// parseSettings reads the settings, and sets the limits that follow from them. It collects a
// warning for each unusual setting that can still be used; an error names the key of an unusable
// setting.
func (p *parsedConfiguration) parseSettings(values *fastjson.Value) error {
	parsed := settings.ParseJSON(values, p.warnf)
	p.channel, p.rules, p.classes = parsed.PushChannel(), parsed.RuleLimits(), parsed.Classes()
	p.telemetry, p.admissionMode, p.zones = parsed.Telemetry(), parsed.AdmissionMode(), parsed.Zones()
	proxies := parsed.Count("familyInfo.proxyCount")
	if proxies == 0 {
		parsed.Reject("familyInfo.proxyCount", "is 0; at least 1 proxy is required")
	}
	if parsed.NumberOr("familyInfo.partitionsN", 0) > 0 {
		parsed.Reject("familyInfo.partitionsN",
			"is above 0, but shards are not supported on sockets; set it to 0 or leave it out")
	}
	if p.telemetry.HealthChecksAllowed {
		p.warnf("health checks are disabled: they are not supported on sockets")
	}
	p.telemetry.HealthChecksAllowed = false
	// balancer.Controller does not have to poll the endpoint list, as the endpointWatcher watches
	// it all the time.
	p.telemetry.PollingRequired = false
	tick := settings.FromMilliseconds(parsed.NumberOr("tick", 0))
	p.parseClassNames(values, parsed)
	if err := parsed.Err(); err != nil {
		return err
	}
	p.limits.fitFleet(proxies, len(p.zones))
	p.limits.fitTimes(tick, p.channel, p.telemetry)
	p.limits.fitReports(p.telemetry, p.classes)
	return nil
}

// warnf adds a warning about an unusual setting that can still be used.
func (p *parsedConfiguration) warnf(format string, args ...any) {
	p.warnings = append(p.warnings, fmt.Sprintf(format, args...))
}

// parseClassNames reads the names of the classes, which must be distinct and not empty.
func (p *parsedConfiguration) parseClassNames(values *fastjson.Value, parsed *settings.Settings) {
	for class := range p.classes {
		key := fmt.Sprintf("profiles.%d.name", class)
		value := values.Get("profiles", strconv.Itoa(class), "name")
		if value == nil || value.Type() != fastjson.TypeString {
			parsed.Reject(key, "is missing or not a string")
			return
		}
		name := string(value.GetStringBytes())
		if _, taken := p.classIndex[name]; taken || name == "" {
			parsed.Reject(key, fmt.Sprintf("is %q; a name must not be empty, or the name of another class", name))
		}
		p.classNames = append(p.classNames, value.MarshalTo(nil))
		p.classIndex[name] = class
	}
}

// newDecisions makes the balancer.Controller, which paces its pushes to the proxies by the settings
// of the given push channel. It configures no shards, because shards are not supported on sockets.
func (p *parsedConfiguration) newDecisions(
	host balancer.Host, channel balancer.PushChannel,
) (*balancer.Controller, error) {
	return balancer.New(host, balancer.Config{
		Seed:      p.seed,
		Classes:   p.classes,
		Channel:   channel,
		Rules:     p.rules,
		Telemetry: p.telemetry,
		Admission: p.admissionMode,
	})
}

// indexByName maps each name to its index in names.
func indexByName(names []string) map[string]int {
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	return index
}
