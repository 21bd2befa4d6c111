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

// Place says where a controller stands. An empty field is taken from the configuration.
type Place struct {
	Name      string
	Listen    string // where proxies and collectors connect
	Discovery string
}

// Controller is one controller.
type Controller struct {
	limits *limits
	log    *journal
	module *module
	list   *list

	distributor *distributor // nil for none

	mutex sync.Mutex
	plan  *plan // what the last configuration that counts said
}

// plan is a configuration that was read and found usable.
type plan struct {
	Place
	seed     uint64
	known    *fastjson.Value
	limits   *limits
	channel  balancer.PushChannel
	rules    balancer.RuleLimits
	classes  []balancer.Class
	names    [][]byte       // of the classes, as they are written
	index    map[string]int // and as they are read
	zones    []string
	sight    balancer.Telemetry
	admit    balancer.AdmissionMode
	lasting  map[string]string // what counts from a start on, as the file has it
	complain []string          // what is odd, but can be borne
}

// New reads a configuration, a JSON object. An error names the key that is missing or unusable.
func New(place Place, configuration []byte, to *slog.Logger) (*Controller, error) {
	p, err := read(configuration)
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
	c := &Controller{limits: p.limits, log: newJournal(to, p.limits.logRepeat, p.limits.logKinds), plan: p}
	for _, text := range p.complain {
		c.log.say("setting", "text", text)
	}
	m := &module{limits: p.limits, log: c.log, zones: index(p.zones), zoneNames: p.zones, classes: p.index,
		backends: newBackends(), mail: make(chan func(), p.limits.mailbox), done: make(chan struct{}),
		ready: make(chan struct{}), clock: newClock()}
	m.tables = newTables(p.names, func(backend int) []byte { return m.backends.names[backend] }, p.limits.frame, p.limits.parts)
	m.now = m.clock()
	if m.control, err = balancer.New(m, p.decisions(p.channel)); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c.module = m
	c.list = newList(p.Discovery, p.limits, c.log, func(whole bool, version int64, servers []*fastjson.Value) {
		m.post(func() { m.listed(whole, version, servers) })
	}, func() { m.post(func() { m.becomeReady("discovery has answered") }) })
	m.list = c.list
	c.list.start(p.known)
	return c, nil
}

// decisions is what the decisions start with; shards are not played on sockets.
func (p *plan) decisions(channel balancer.PushChannel) balancer.Config {
	return balancer.Config{
		Seed:      p.seed,
		Classes:   p.classes,
		Channel:   channel,
		Rules:     p.rules,
		Telemetry: p.sight,
		Admission: p.admit,
	}
}

// read takes in a whole configuration, or says what keeps it from being used.
func read(configuration []byte) (*plan, error) {
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
	p := &plan{Place: Place{text("name"), text("listen"), text("discovery")}, seed: seed(root.GetStringBytes("seed")),
		known: root.Get("known"), limits: usualLimits(), lasting: map[string]string{}, index: map[string]int{}}
	for _, key := range []string{"name", "listen", "limits", "settings"} {
		if v := root.Get(key); v != nil {
			p.lasting[key] = v.String()
		}
	}
	var given [3]float64
	for i, key := range []string{"cores", "memory_mb", "sockets"} {
		x, ok := figureAt(root.Get("limits"), key)
		if given[i] = x; !ok || x == 0 {
			return nil, fmt.Errorf("configuration: limits.%s is missing, or no figure above 0", key)
		}
	}
	p.limits.give(given[0], given[1], given[2])
	facts := settings.ParseJSON(values, func(format string, args ...any) {
		p.complain = append(p.complain, fmt.Sprintf(format, args...))
	})
	p.channel, p.rules, p.classes = facts.PushChannel(), facts.RuleLimits(), facts.Classes()
	p.sight, p.admit, p.zones = facts.Telemetry(), facts.AdmissionMode(), facts.Zones()
	nodes := facts.Count("familyInfo.proxyCount")
	if nodes == 0 {
		facts.Reject("familyInfo.proxyCount", "is 0")
	}
	if facts.NumberOr("familyInfo.partitionsN", 0) > 0 {
		facts.Reject("familyInfo.partitionsN", "asks for slices, which no page describes on sockets yet")
	}
	if p.sight.HealthChecksAllowed {
		p.complain = append(p.complain, "probes are left off: no page describes them on sockets yet")
	}
	p.sight.HealthChecksAllowed, p.sight.PollingRequired = false, false // the list is followed here without being asked for
	tick := settings.Microseconds(facts.NumberOr("tick", 0))
	for i := range p.classes {
		name := values.Get("profiles", strconv.Itoa(i), "name")
		if name == nil || name.Type() != fastjson.TypeString {
			facts.Reject(fmt.Sprintf("profiles.%d.name", i), "is missing")
			break
		}
		text := string(name.GetStringBytes())
		if _, again := p.index[text]; again || text == "" {
			facts.Reject(fmt.Sprintf("profiles.%d.name", i), fmt.Sprintf("is %q, which is empty or another's", text))
		}
		p.names, p.index[text] = append(p.names, name.MarshalTo(nil)), i
	}
	if err := facts.Err(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	p.limits.size(nodes, len(p.zones), tick, p.channel, p.sight, p.classes)
	return p, nil
}

// Reload takes a configuration that replaces the last one, in one step. What it says of discovery counts at once, and
// more than what the environment said; the rest of it counts from the next start on. One that cannot be used changes
// nothing. Streams, tables and all that is known live on.
func (c *Controller) Reload(configuration []byte) error {
	p, err := read(configuration)
	if err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(p.Discovery); err != nil {
		return fmt.Errorf("configuration: discovery: %w", err)
	}
	wanted, distributes, err := c.wanted(configuration)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(p.lasting)) {
		if p.lasting[key] != c.plan.lasting[key] {
			c.log.say("reload_later", "key", key, "text", "it differs, and counts from the next start on")
		}
	}
	c.log.say("reloaded", "discovery", p.Discovery)
	c.plan = p
	c.list.follow(p.Discovery, p.known)
	if distributes {
		c.distributor.configure(wanted)
	}
	return nil
}

func index(names []string) map[string]int {
	of := map[string]int{}
	for i, name := range names {
		of[name] = i
	}
	return of
}

// seed reads the hexadecimal seed; any other text serves as well.
func seed(text []byte) uint64 {
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
	place, channel, rules, sight := c.plan.Place, c.plan.channel, c.plan.rules, c.plan.sight
	c.mutex.Unlock()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", place.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	c.log.say("serving", "name", place.Name, "listen", listener.Addr(), "discovery", place.Discovery,
		"proxies", c.limits.nodes, "strangers", c.limits.unidentified, "sockets", c.limits.sockets)
	seconds := func(micros int64, places int) string { return figured(float64(micros)/second, places) }
	c.log.say("given", "lines_per_s", figured(channel.LinesPerSecond, 0), "backlog", figured(channel.Backlog, 0),
		"head", figured(channel.MessageOverhead, 0), "way_s", seconds(channel.MaxLatency, 2), "messages", channel.MaxMessages,
		"messages_span_s", seconds(channel.MessageWindow, 0), "grace_s", seconds(rules.DrainGrace, 1),
		"warm_s", seconds(rules.WarmupTime, 0), "report_s", seconds(sight.ReportInterval, 1),
		"reports_per_s", figured(sight.ReportLinesPerSecond, 0), "connections", channel.MinBackendConnections,
		"memory_mb", c.limits.memory>>20)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Where the fleet is shared, streams and the record outlast the module, which gives its proxies away first.
	after, end := context.WithCancel(ctx)
	if c.module.fleet != nil {
		after, end = context.WithCancel(context.WithoutCancel(ctx))
	}
	defer end()
	var parts sync.WaitGroup
	defer time.AfterFunc(c.limits.patience, func() {
		c.module.post(func() { c.module.becomeReady("nothing is known, and discovery keeps silent") })
	}).Stop()
	parts.Go(func() { c.module.run(ctx); end() })
	parts.Go(func() { c.list.run(ctx) })
	// The record's address goes last: who finds nobody there takes it that no stream of ours is left.
	recorded, forget := context.WithCancel(context.WithoutCancel(ctx))
	defer forget()
	if c.module.fleet != nil {
		parts.Go(func() { c.module.fleet.node.Run(recorded) })
	}
	if c.distributor != nil {
		parts.Go(func() { c.distributor.run(recorded) })
	}
	err = (&server{limits: c.limits, module: c.module, log: c.log}).run(after, listener)
	cancel()
	forget()
	parts.Wait()
	c.log.say("stopped", "name", place.Name)
	return err
}
