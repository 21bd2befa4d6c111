// Package controller runs balancer.Controller, which makes the balancing decisions, on sockets:
// proxies and collectors connect to the controller, which follows the endpoint list of discovery
// and pushes tables to the proxies.
//
// The goroutine of the event loop owns the state and calls balancer.Controller. Connections, the
// endpoint watcher, the consensus node of shared ownership and the distribution of configuration
// run on goroutines of their own and post events to the loop. Only package consensus and a
// subscriber's configurationCache store state on disk.
package controller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	memberframe "wheelrill/internal/frame"
	"wheelrill/internal/intake"
)

// Identity is a controller's name and addresses. New fills empty fields from the configuration.
type Identity struct {
	Name      string // identifies the controller in the log and among members that share ownership
	Listen    string // address on which proxies and collectors connect
	Discovery string // host and port of discovery
}

// Controller is a controller that New has made. JoinDistribution and ShareOwnership may be called
// before Serve, which runs it once. Reload may be called while it serves.
type Controller struct {
	limits      *limits
	log         *slog.Logger
	loop        *eventLoop
	watcher     *endpointWatcher
	distributor *distributor // distribution of configuration; nil if the controller takes no part in it

	mutex         sync.Mutex           // guards the field configuration
	configuration *parsedConfiguration // the last configuration that New or Reload accepted
}

// New reads a configuration, a JSON object, and makes a controller that logs to logger. An error
// names the key that is missing or unusable.
func New(identity Identity, configuration []byte, logger *slog.Logger) (*Controller, error) {
	parsed, err := parseConfiguration(configuration)
	if err != nil {
		return nil, err
	}
	parsed.Name = cmp.Or(identity.Name, parsed.Name)
	parsed.Listen = cmp.Or(identity.Listen, parsed.Listen)
	parsed.Discovery = cmp.Or(identity.Discovery, parsed.Discovery)
	switch {
	case parsed.Listen == "":
		return nil, errors.New("configuration: listen is missing")
	case parsed.Discovery == "":
		return nil, errors.New("configuration: discovery is missing")
	}
	if err := checkDiscovery(parsed.Discovery); err != nil {
		return nil, err
	}
	c := &Controller{limits: parsed.limits, log: newRateLimitedLogger(logger, parsed.limits), configuration: parsed}
	for _, text := range parsed.warnings {
		c.log.Warn("setting_unusual", "text", text)
	}
	// The loop, its balancer.Controller and the endpoint watcher refer to each other, so the
	// references are set one by one.
	c.loop = newEventLoop(parsed, c.log)
	if c.loop.decisions, err = parsed.newDecisions(c.loop, parsed.channel); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c.watcher = newEndpointWatcher(parsed.Discovery, parsed.limits, c.log,
		func(full bool, version int64, servers []*fastjson.Value) {
			c.loop.post(func() { c.loop.endpointsUpdated(full, version, servers) })
		},
		func() { c.loop.post(func() { c.loop.becomeReady(readyDiscoveryAnswered) }) })
	c.loop.watcher = c.watcher
	c.watcher.loadCached(parsed.cachedList)
	return c, nil
}

// checkDiscovery checks that an address has a host and a port.
func checkDiscovery(address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("configuration: discovery: %w; a host and a port are required", err)
	}
	return nil
}

// newEventLoop makes the loop without its balancer.Controller and its endpoint watcher, which New
// sets.
func newEventLoop(parsed *parsedConfiguration, log *slog.Logger) *eventLoop {
	loop := &eventLoop{
		limits:     parsed.limits,
		log:        log,
		zoneIndex:  indexByName(parsed.zones),
		zoneNames:  parsed.zones,
		classIndex: parsed.classIndex,
		backends:   newBackendIndex(),
		queues:     newEventQueues(parsed.limits.eventsPerConnection),
		inbox:      make(chan func(), parsed.limits.inboxSize),

		messageMemory: intake.NewMemory(parsed.limits.messageMemory),
		largeMessages: make(chan struct{}, 1),
		parsers:       newParsers(parsed.limits.cores),

		stopped: make(chan struct{}),
		ready:   make(chan struct{}),
		clock:   newClock(),
	}
	backendName := func(backend int) []byte { return loop.backends.names[backend] }
	loop.tables = newTables(parsed.classNames, backendName, parsed.limits.maxFrame, parsed.limits.maxParts)
	loop.memberBounds = memberframe.NewBounds(loop.messageMemory)
	loop.now = loop.clock()
	return loop
}

// Cores returns the number of cores that the configuration gives the process, at least 1.
func (c *Controller) Cores() int { return c.limits.cores }

// Memory returns the bytes of memory that the configuration gives the process; 0 if unknown.
func (c *Controller) Memory() int64 { return c.limits.memory }

// Reload replaces the configuration in one step. The discovery address and the cached list take
// effect at once. The address also replaces one that was passed to New in the Identity, so the
// configuration must contain it. A voter also proposes the entries that the configuration
// distributes. All other keys take effect at the next start: Reload logs each of restartKeys whose
// value differs from that of the last accepted configuration, but not a key that the new
// configuration lacks. An unusable configuration changes nothing, and the error names the key.
// Connections, tables and all other state are kept. Any goroutine may call Reload.
func (c *Controller) Reload(configuration []byte) error {
	parsed, err := parseConfiguration(configuration)
	if err != nil {
		return err
	}
	if err := checkDiscovery(parsed.Discovery); err != nil {
		return err
	}
	entries, distributes, err := c.distributedEntries(configuration)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(parsed.restartTexts)) {
		if parsed.restartTexts[key] != c.configuration.restartTexts[key] {
			c.log.Warn("reload_needs_restart", "key", key,
				"text", "the value differs from the last one, and takes effect at the next start")
		}
	}
	c.log.Info("configuration_reloaded", "discovery", parsed.Discovery)
	c.configuration = parsed
	c.watcher.setAddress(parsed.Discovery, parsed.cachedList)
	if distributes {
		c.distributor.enqueueProposal(entries)
	}
	return nil
}

// Serve runs the controller until ctx ends, which is its planned end, and then returns nil. At the
// planned end the controller first gives up the ownership of its proxies if ownership is shared,
// then closes connections, and then stops its consensus node and the distribution. If the
// controller cannot serve, Serve returns the error.
func (c *Controller) Serve(ctx context.Context) error {
	if c.distributor != nil && c.distributor.transport == nil {
		return errors.New(
			"distribution: a voter must share ownership, but ShareOwnership was not called after JoinDistribution")
	}
	c.mutex.Lock()
	configuration := c.configuration
	c.mutex.Unlock()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", configuration.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	c.logStart(configuration, listener.Addr())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connections, endConnections := c.connectionsContext(ctx)
	defer endConnections()
	// Stop the consensus node only after the connections are closed: other members take its
	// unreachable address as proof that this controller's connections are closed.
	recordCtx, stopRecord := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRecord()
	defer time.AfterFunc(c.limits.readyTimeout, func() {
		c.loop.post(func() { c.loop.becomeReady(readyWithoutList) })
	}).Stop()
	var running sync.WaitGroup
	running.Go(func() { c.loop.run(ctx); endConnections() })
	running.Go(func() { c.watcher.run(ctx) })
	if c.loop.ownership != nil {
		running.Go(func() { c.loop.ownership.node.Run(recordCtx) })
	}
	if c.distributor != nil {
		running.Go(func() { c.distributor.run(recordCtx) })
	}
	err = (&server{limits: c.limits, loop: c.loop, log: c.log}).run(connections, listener)
	cancel()
	stopRecord()
	running.Wait()
	c.log.Info("stopped", "name", configuration.Name)
	return err
}

// connectionsContext returns the context of the server. Where ownership is shared, it does not end
// with ctx: connections must stay open until the loop has given up the ownership of the proxies.
func (c *Controller) connectionsContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.loop.ownership != nil {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithCancel(ctx)
}

// logStart logs the addresses, limits and settings with which the controller starts.
func (c *Controller) logStart(configuration *parsedConfiguration, listen net.Addr) {
	c.log.Info("serving", "name", configuration.Name, "listen", listen, "discovery", configuration.Discovery,
		"proxies", c.limits.proxies, "max_unidentified", c.limits.maxUnidentified, "sockets", c.limits.sockets)
	c.logSettings(configuration.channel, configuration.rules, configuration.telemetry)
}

// logSettings logs the settings that balancer.Controller uses.
func (c *Controller) logSettings(
	channel balancer.PushChannel, rules balancer.RuleLimits, telemetry balancer.Telemetry,
) {
	seconds := func(span microseconds, places int) string { return formatDecimal(inSeconds(span), places) }
	c.log.Info("settings_in_force", "lines_per_s", formatDecimal(channel.LinesPerSecond, 0),
		"backlog", formatDecimal(channel.Backlog, 0),
		"message_overhead", formatDecimal(channel.MessageOverhead, 0),
		"max_push_latency_s", seconds(channel.MaxLatency, 2),
		"max_messages", channel.MaxMessages,
		"message_window_s", seconds(channel.MessageWindow, 0),
		"drain_grace_s", seconds(rules.DrainGrace, 1),
		"warmup_s", seconds(rules.WarmupTime, 0),
		"report_interval_s", seconds(telemetry.ReportInterval, 1),
		"reports_per_s", formatDecimal(telemetry.ReportLinesPerSecond, 0),
		"min_backend_connections", channel.MinBackendConnections,
		"memory_mb", c.limits.memory>>20)
}
