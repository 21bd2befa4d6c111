// Package controller runs the decisions as a controller on sockets: proxies and collectors connect to it, it follows
// discovery, and writes orders on the proxies' streams.
package controller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// Identity says where a controller stands. An empty field is taken from the configuration.
type Identity struct {
	Name      string
	Listen    string // where proxies and collectors connect
	Discovery string
}

// Controller is one controller.
type Controller struct {
	limits  *limits
	log     *slog.Logger
	loop    *eventLoop
	watcher *endpointWatcher

	distributor *distributor // nil for none

	mutex         sync.Mutex
	configuration *parsedConfiguration // what the last configuration that counts said
}

// parsedConfiguration is a configuration that was read and found usable.
type parsedConfiguration struct {
	Identity
	seed          uint64
	cachedList    *fastjson.Value
	limits        *limits
	channel       balancer.PushChannel
	rules         balancer.RuleLimits
	classes       []balancer.Class
	classNames    [][]byte       // of the classes, as they are written
	classIndex    map[string]int // and as they are read
	zones         []string
	telemetry     balancer.Telemetry
	admissionMode balancer.AdmissionMode
	needsRestart  map[string]string // what counts from a start on, as the file has it
	warnings      []string          // what is odd, but can be borne
}

// New reads a configuration, a JSON object. An error names the key that is missing or unusable.
func New(place Identity, configuration []byte, to *slog.Logger) (*Controller, error) {
	p, err := parseConfiguration(configuration)
	if err != nil {
		return nil, err
	}
	p.Name, p.Listen = cmp.Or(place.Name, p.Name), cmp.Or(place.Listen, p.Listen)
	p.Discovery = cmp.Or(place.Discovery, p.Discovery)
	switch _, _, err := net.SplitHostPort(p.Discovery); {
	case p.Listen == "":
		return nil, errors.New("configuration: listen is missing")
	case p.Discovery == "":
		return nil, errors.New("configuration: discovery is missing")
	case err != nil:
		return nil, fmt.Errorf("configuration: discovery: %w", err)
	}
	c := &Controller{limits: p.limits, log: newRateLimitedLogger(to, p.limits), configuration: p}
	for _, text := range p.warnings {
		c.log.Warn("setting_unusual", "text", text)
	}
	m := &eventLoop{limits: p.limits, log: c.log, zoneIndex: indexByName(p.zones), zoneNames: p.zones, classIndex: p.classIndex,
		backends: newBackendIndex(), inbox: make(chan func(), p.limits.inboxSize), stopped: make(chan struct{}),
		ready: make(chan struct{}), clock: newClock()}
	m.tables = newTables(p.classNames, func(backend int) []byte { return m.backends.names[backend] }, p.limits.maxFrame, p.limits.maxParts)
	m.now = m.clock()
	m.decisions = balancer.New(m, p.seed, p.classes, p.channel, p.rules, balancer.Sharding{}, p.telemetry, p.admissionMode)
	c.loop = m
	c.watcher = newEndpointWatcher(p.Discovery, p.limits, c.log, func(whole bool, version int64, servers []*fastjson.Value) {
		m.post(func() { m.endpointsUpdated(whole, version, servers) })
	}, func() { m.post(func() { m.becomeReady(readyDiscoveryAnswered) }) })
	m.watcher = c.watcher
	c.watcher.loadCached(p.cachedList)
	return c, nil
}

// parseConfiguration takes in a whole configuration, or says what keeps it from being used.
func parseConfiguration(configuration []byte) (*parsedConfiguration, error) {
	root, err := fastjson.ParseBytes(configuration)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if key := duplicateKey(root); key != "" {
		return nil, fmt.Errorf("configuration: %s stands there twice", key)
	}
	values := root.Get("settings")
	if values == nil || values.Type() != fastjson.TypeObject {
		return nil, errors.New("configuration: settings is missing")
	}
	text := func(key string) string { return string(root.GetStringBytes(key)) }
	p := &parsedConfiguration{Identity: Identity{text("name"), text("listen"), text("discovery")}, seed: parseSeed(root.GetStringBytes("seed")),
		cachedList: root.Get("known"), limits: defaultLimits(), needsRestart: map[string]string{}, classIndex: map[string]int{}}
	for _, key := range []string{"name", "listen", "limits", "settings"} {
		if v := root.Get(key); v != nil {
			p.needsRestart[key] = v.String()
		}
	}
	var given [3]float64
	for i, key := range []string{"cores", "memory_mb", "sockets"} {
		x, ok := numberAt(root.Get("limits"), key)
		if given[i] = x; !ok || x == 0 {
			return nil, fmt.Errorf("configuration: limits.%s is missing, or no figure above 0", key)
		}
	}
	p.limits.fitResources(given[0], given[1], given[2])
	facts := settings.ParseJSON(values, func(format string, args ...any) {
		p.warnings = append(p.warnings, fmt.Sprintf(format, args...))
	})
	p.channel, p.rules, p.classes = facts.PushChannel(), facts.RuleLimits(), facts.Classes()
	p.telemetry, p.admissionMode, p.zones = facts.Telemetry(), facts.AdmissionMode(), facts.Zones()
	nodes := facts.Count("familyInfo.proxyCount")
	if nodes == 0 {
		facts.Reject("familyInfo.proxyCount", "is 0")
	}
	if facts.NumberOr("familyInfo.partitionsN", 0) > 0 {
		facts.Reject("familyInfo.partitionsN", "asks for slices, which no page describes on sockets yet")
	}
	if p.telemetry.HealthChecksAllowed {
		p.warnings = append(p.warnings, "probes are left off: no page describes them on sockets yet")
	}
	p.telemetry.HealthChecksAllowed, p.telemetry.PollingRequired = false, false // the list is followed here without being asked for
	tick := settings.Microseconds(facts.NumberOr("tick", 0))
	for i := range p.classes {
		name := values.Get("profiles", strconv.Itoa(i), "name")
		if name == nil || name.Type() != fastjson.TypeString {
			facts.Reject(fmt.Sprintf("profiles.%d.name", i), "is missing")
			break
		}
		text := string(name.GetStringBytes())
		if _, again := p.classIndex[text]; again || text == "" {
			facts.Reject(fmt.Sprintf("profiles.%d.name", i), fmt.Sprintf("is %q, which is empty or another's", text))
		}
		p.classNames, p.classIndex[text] = append(p.classNames, name.MarshalTo(nil)), i
	}
	if err := facts.Err(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	p.limits.fitFleet(nodes, len(p.zones), tick, p.channel, p.telemetry, p.classes)
	return p, nil
}

// Reload takes a configuration that replaces the last one, in one step. What it says of discovery counts at once, and
// more than what the environment said; the rest of it counts from the next start on. One that cannot be used changes
// nothing. Streams, tables and all that is known live on.
func (c *Controller) Reload(configuration []byte) error {
	p, err := parseConfiguration(configuration)
	if err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(p.Discovery); err != nil {
		return fmt.Errorf("configuration: discovery: %w", err)
	}
	wanted, distributes, err := c.distributedEntries(configuration)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(p.needsRestart)) {
		if p.needsRestart[key] != c.configuration.needsRestart[key] {
			c.log.Warn("reload_needs_restart", "key", key, "text", "it differs, and counts from the next start on")
		}
	}
	c.log.Info("configuration_reloaded", "discovery", p.Discovery)
	c.configuration = p
	c.watcher.follow(p.Discovery, p.cachedList)
	if distributes {
		c.distributor.enqueueProposal(wanted)
	}
	return nil
}

func indexByName(names []string) map[string]int {
	of := map[string]int{}
	for i, name := range names {
		of[name] = i
	}
	return of
}

// parseSeed reads the hexadecimal seed; any other text serves as well.
func parseSeed(text []byte) uint64 {
	if n, err := strconv.ParseUint(string(text), 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// Cores and Memory are what the process was given: a count, at least 1, and bytes, 0 if nobody said.
func (c *Controller) Cores() int    { return c.limits.cores }
func (c *Controller) Memory() int64 { return c.limits.memory }

// Serve runs the controller until the context ends. It returns nil then, or what kept it from serving.
func (c *Controller) Serve(ctx context.Context) error {
	if c.distributor != nil && c.distributor.carrier == nil {
		return errors.New("distribution: a voter is a member that shares the record, and this one does not")
	}
	c.mutex.Lock()
	place, channel, rules, sight := c.configuration.Identity, c.configuration.channel, c.configuration.rules, c.configuration.telemetry
	c.mutex.Unlock()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", place.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	c.log.Info("serving", "name", place.Name, "listen", listener.Addr(), "discovery", place.Discovery,
		"proxies", c.limits.proxies, "max_unidentified", c.limits.maxUnidentified, "sockets", c.limits.sockets)
	seconds := func(micros int64, places int) string { return formatDecimal(float64(micros)/microsPerSecond, places) }
	c.log.Info("settings_in_force", "lines_per_s", formatDecimal(channel.LinesPerSecond, 0), "backlog", formatDecimal(channel.Backlog, 0),
		"message_overhead", formatDecimal(channel.MessageOverhead, 0), "max_push_latency_s", seconds(channel.MaxLatency, 2), "max_messages", channel.MaxMessages,
		"message_window_s", seconds(channel.MessageWindow, 0), "drain_grace_s", seconds(rules.DrainGrace, 1),
		"warmup_s", seconds(rules.WarmupTime, 0), "report_interval_s", seconds(sight.ReportInterval, 1),
		"reports_per_s", formatDecimal(sight.ReportLinesPerSecond, 0), "min_backend_connections", channel.MinBackendConnections,
		"memory_mb", c.limits.memory>>20)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Where the fleet is shared, streams and the record outlast the module, which gives its proxies away first.
	after, end := context.WithCancel(ctx)
	if c.loop.ownership != nil {
		after, end = context.WithCancel(context.WithoutCancel(ctx))
	}
	defer end()
	var parts sync.WaitGroup
	defer time.AfterFunc(c.limits.readyTimeout, func() {
		c.loop.post(func() { c.loop.becomeReady(readyWithoutList) })
	}).Stop()
	parts.Go(func() { c.loop.run(ctx); end() })
	parts.Go(func() { c.watcher.run(ctx) })
	// The record's address goes last: who finds nobody there takes it that no stream of ours is left.
	recorded, forget := context.WithCancel(context.WithoutCancel(ctx))
	defer forget()
	if c.loop.ownership != nil {
		parts.Go(func() { c.loop.ownership.node.Run(recorded) })
	}
	if c.distributor != nil {
		parts.Go(func() { c.distributor.run(recorded) })
	}
	err = (&server{limits: c.limits, loop: c.loop, log: c.log}).run(after, listener)
	cancel()
	forget()
	parts.Wait()
	c.log.Info("stopped", "name", place.Name)
	return err
}
