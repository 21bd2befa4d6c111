// Package controller runs the decisions of package balancer as a controller on sockets: proxies and collectors connect to it, it
// follows discovery, and pushes tables to the proxies.
//
// One goroutine, the event loop's, owns the state and calls the decisions. Connections, the watcher of endpoints, the record of
// shared ownership and the distribution of configuration have goroutines of their own, and hand the loop events. Nothing is stored
// but what package consensus keeps, and a subscriber's configurationCache.
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
)

// Identity is a controller's name and addresses. An empty field is taken from the configuration.
type Identity struct {
	Name      string // in the log, and among members that share ownership
	Listen    string // address where proxies and collectors connect
	Discovery string // host and port of discovery
}

// Controller is one controller. New makes it; ShareOwnership and JoinDistribution may follow; Serve runs it, once. Reload may be
// called while it serves.
type Controller struct {
	limits      *limits
	log         *slog.Logger
	loop        *eventLoop
	watcher     *endpointWatcher
	distributor *distributor // nil where no configuration is distributed

	mutex         sync.Mutex           // guards configuration
	configuration *parsedConfiguration // the last one that counts
}

// New reads a configuration, a JSON object, and makes a controller of it that logs to a logger. An error names the key that is
// missing or unusable.
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
	// The loop, the decisions and the watcher need each other, so they are joined in steps.
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
		return fmt.Errorf("configuration: discovery: %w", err)
	}
	return nil
}

// newEventLoop makes the loop, without decisions and watcher.
func newEventLoop(parsed *parsedConfiguration, log *slog.Logger) *eventLoop {
	loop := &eventLoop{
		limits:     parsed.limits,
		log:        log,
		zoneIndex:  indexByName(parsed.zones),
		zoneNames:  parsed.zones,
		classIndex: parsed.classIndex,
		backends:   newBackendIndex(),
		inbox:      make(chan func(), parsed.limits.inboxSize),
		stopped:    make(chan struct{}),
		ready:      make(chan struct{}),
		clock:      newClock(),
	}
	backendName := func(backend int) []byte { return loop.backends.names[backend] }
	loop.tables = newTables(parsed.classNames, backendName, parsed.limits.maxFrame, parsed.limits.maxParts)
	loop.now = loop.clock()
	return loop
}

// Cores is how many cores the process was given, at least 1.
func (c *Controller) Cores() int { return c.limits.cores }

// Memory is how many bytes of memory the process was given; 0 if nobody said.
func (c *Controller) Memory() int64 { return c.limits.memory }

// Reload takes a configuration that replaces the last one, in one step. What it says of discovery counts at once, and more than what
// New's identity said, so it has to be there; the rest of it counts from the next start on. Keys of the rest that differ from the last
// configuration that was read are logged; those that it lacks are not. One that cannot be used changes nothing, and the error names
// the key. Connections, tables and all that is known live on. It may be called by any goroutine.
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
			c.log.Warn("reload_needs_restart", "key", key, "text", "it differs, and counts from the next start on")
		}
	}
	c.log.Info("configuration_reloaded", "discovery", parsed.Discovery)
	c.configuration = parsed
	c.watcher.follow(parsed.Discovery, parsed.cachedList)
	if distributes {
		c.distributor.enqueueProposal(entries)
	}
	return nil
}

// Serve runs the controller until the context ends. It returns nil then, after a planned end: our proxies are handed over where
// ownership is shared, then connections are closed, then the record and the distribution end. Otherwise it returns what kept it
// from serving.
func (c *Controller) Serve(ctx context.Context) error {
	if c.distributor != nil && c.distributor.transport == nil {
		return errors.New("distribution: a voter is a member that shares the record, and this one does not")
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
	// Close the record's address last: other members take an unreachable address as proof that our connections are closed.
	recorded, endRecord := context.WithCancel(context.WithoutCancel(ctx))
	defer endRecord()
	defer time.AfterFunc(c.limits.readyTimeout, func() {
		c.loop.post(func() { c.loop.becomeReady(readyWithoutList) })
	}).Stop()
	var running sync.WaitGroup
	running.Go(func() { c.loop.run(ctx); endConnections() })
	running.Go(func() { c.watcher.run(ctx) })
	if c.loop.ownership != nil {
		running.Go(func() { c.loop.ownership.node.Run(recorded) })
	}
	if c.distributor != nil {
		running.Go(func() { c.distributor.run(recorded) })
	}
	err = (&server{limits: c.limits, loop: c.loop, log: c.log}).run(connections, listener)
	cancel()
	endRecord()
	running.Wait()
	c.log.Info("stopped", "name", configuration.Name)
	return err
}

// connectionsContext is that of the server. Where ownership is shared, connections outlast the context, as the loop hands our
// proxies over first and ends them then.
func (c *Controller) connectionsContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.loop.ownership != nil {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithCancel(ctx)
}

// logStart logs what the controller begins with.
func (c *Controller) logStart(configuration *parsedConfiguration, listen net.Addr) {
	c.log.Info("serving", "name", configuration.Name, "listen", listen, "discovery", configuration.Discovery,
		"proxies", c.limits.proxies, "max_unidentified", c.limits.maxUnidentified, "sockets", c.limits.sockets)
	c.logSettings(configuration.channel, configuration.rules, configuration.telemetry)
}

// logSettings logs what the settings give the decisions.
func (c *Controller) logSettings(channel balancer.PushChannel, rules balancer.RuleLimits, telemetry balancer.Telemetry) {
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
