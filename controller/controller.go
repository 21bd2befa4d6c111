// Package controller runs the decisions as a controller on sockets: proxies and collectors connect to it, it follows
// discovery, and writes orders on the proxies' streams.
package controller

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log"
	"net"
	"strconv"
	"sync"

	"github.com/valyala/fastjson"

	"wheelrill/decide"
	"wheelrill/internal/start"
)

// Place says where a controller stands. An empty field is taken from the configuration.
type Place struct {
	Name      string
	Listen    string // where proxies and collectors connect
	Discovery string
}

// Controller is one controller.
type Controller struct {
	name, listen string
	limits       *limits
	log          *journal
	module       *module
	list         *list
}

// New reads a configuration, a JSON object. An error names the key that is missing or unusable.
func New(place Place, configuration []byte, to *log.Logger) (*Controller, error) {
	root, err := fastjson.ParseBytes(configuration)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for key, into := range map[string]*string{"name": &place.Name, "listen": &place.Listen,
		"discovery": &place.Discovery} {
		if *into == "" {
			*into = string(root.GetStringBytes(key))
		}
	}
	settings := root.Get("settings")
	switch {
	case place.Listen == "":
		return nil, errors.New("configuration: listen is missing")
	case place.Discovery == "":
		return nil, errors.New("configuration: discovery is missing")
	case settings == nil || settings.Type() != fastjson.TypeObject:
		return nil, errors.New("configuration: settings is missing")
	}
	bounds := usualLimits()
	given := root.Get("limits")
	cores, _ := figureAt(given, "cores")
	memory, _ := figureAt(given, "memory_mb")
	sockets, _ := figureAt(given, "sockets")
	bounds.give(cores, memory, sockets)
	log := newJournal(to, bounds.quiet, bounds.sorts)
	facts := start.Nested(settings, func(format string, args ...any) {
		log.say("event=setting text=%q", fmt.Sprintf(format, args...))
	})
	channel, rules, classes := facts.Channel(), facts.Limits(), facts.Classes()
	sight, admission := facts.Sight(), facts.Admission()
	zones, nodes := facts.Zones(), facts.Count("familyInfo.proxyCount")
	if facts.Maybe("familyInfo.partitionsN", 0) > 0 {
		facts.Fail("familyInfo.partitionsN", "asks for slices, which no page describes on sockets yet")
	}
	if sight.MayProbe {
		log.say("event=setting text=%q", "probes are left off: no page describes them on sockets yet")
	}
	sight.MayProbe, sight.MustAsk = false, false // the list is followed here without being asked for
	tick := start.Micros(facts.Maybe("tick", 0))
	names, nameText := []string{}, [][]byte{}
	for i := range classes {
		name := settings.Get("profiles", strconv.Itoa(i), "name")
		if name == nil || name.Type() != fastjson.TypeString {
			facts.Fail(fmt.Sprintf("profiles.%d.name", i), "is missing")
			break
		}
		names, nameText = append(names, string(name.GetStringBytes())), append(nameText, name.MarshalTo(nil))
	}
	if err := facts.Err(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	bounds.size(nodes, len(zones), tick, channel, sight)
	c := &Controller{name: place.Name, listen: place.Listen, limits: bounds, log: log}
	m := &module{limits: bounds, log: log, zones: index(zones), zoneNames: zones, classes: index(names),
		backends: map[string]int{}, mail: make(chan func(), bounds.mailbox), done: make(chan struct{}),
		ready: make(chan struct{}), clock: newClock()}
	m.tables = newTables(nameText, func(backend int) []byte { return m.names[backend] }, bounds.frame, bounds.parts)
	m.now = m.clock()
	m.control = decide.New(m, seed(root.GetStringBytes("seed")), classes, channel, rules, decide.Partition{},
		sight, admission)
	c.module = m
	c.list = newList(place.Discovery, bounds, log, func(whole bool, version int64, servers []*fastjson.Value) {
		m.post(func() { m.listed(whole, version, servers) })
	})
	m.list = c.list
	if known := root.Get("known"); known != nil {
		if err := c.list.answer(known); err != nil {
			log.say("event=known_unusable error=%q", err)
		}
	}
	return c, nil
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
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	c.log.say("event=serving name=%s listen=%s discovery=%s proxies=%d strangers=%d sockets=%d", c.name,
		listener.Addr(), c.list.client.Addr, c.limits.nodes, c.limits.strange, c.limits.sockets)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var parts sync.WaitGroup
	parts.Go(func() { c.module.run(ctx) })
	parts.Go(func() { c.list.run(ctx) })
	err = (&server{limits: c.limits, module: c.module, log: c.log}).run(ctx, listener)
	cancel()
	parts.Wait()
	c.log.say("event=stopped name=%s", c.name)
	return err
}
