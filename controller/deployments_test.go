package controller

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"wheelrill/balancer"
)

// deployment holds the settings in which the deployments of a test differ.
type deployment struct {
	classes       []classSettings
	zones         []string
	backendPrefix string // prefix of the backends' ids
	maxMessages   int
}

type classSettings struct {
	name               string
	target, deadline   float64
	worth              float64
	writes, staysLocal bool
}

func (c deployment) configuration(discovery, known string) []byte {
	var profiles, writes, staysLocal []any
	for _, p := range c.classes {
		profiles = append(profiles, map[string]any{"name": p.name, "target": p.target, "deadline": p.deadline, "worth": p.worth})
		writes, staysLocal = append(writes, p.writes), append(staysLocal, p.staysLocal)
	}
	text, err := json.Marshal(map[string]any{"name": "n", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f",
		"known": json.RawMessage(known), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 200},
		"settings": map[string]any{"azs": c.zones, "tick": 1, "weights": "rough", "membershipMode": "automatic",
			"familyInfo": map[string]any{"admission": "per_second", "backlog": 900, "egressPerS": 900, "overhead": 4,
				"pushDelayMax": 600, "reportEvery": 1000, "proxyCount": 40, "classWrites": writes, "staysLocal": staysLocal,
				"messagesMost": c.maxMessages, "messagesOver": 10000},
			"profiles": profiles, "reporting": map[string]any{"how": "silent", "fields": []any{}},
			"rules": map[string]any{"coldShare": 0.2, "rampTime": 17000, "stopSendingWithin": 3000}}})
	if err != nil {
		panic(err)
	}
	return text
}

func (c deployment) endpointJSON(b int, state string, started int64) string {
	return fmt.Sprintf(`{"id":%q,"zone":%q,"state":%q,"weight":2,"started_ms":%d}`, fmt.Sprint(c.backendPrefix, b),
		c.zones[b%len(c.zones)], state, started)
}

func (c deployment) classNames() (names []string) {
	for _, p := range c.classes {
		names = append(names, p.name)
	}
	return names
}

// newLoop makes a controller of the deployment with the given number of backends, and returns its
// event loop, which the test iterates.
func (c deployment) newLoop(t *testing.T, backends int) *eventLoop {
	t.Helper()
	var all []string
	for b := range backends {
		all = append(all, c.endpointJSON(b, "up", 0))
	}
	controller, err := New(Identity{}, c.configuration("127.0.0.1:9", listJSON(1, true, all...)), NewLogger(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	loop, now := controller.loop, controller.loop.now
	loop.clock = func() int64 { return now }
	loop.iterate(func() {})
	return loop
}

// simulate runs a deployment for 40 seconds in which demand exceeds the backends' capacity: their
// latency grows, the attempts at one backend all fail, backends are drained and added, and proxies
// reconnect. It returns a line per second and proxy with the tables, limits and withdrawals that
// the proxy holds. Each class is replaced by its position in order, and each backend by its number,
// so that deployments with other names are comparable.
func (c deployment) simulate(t *testing.T, order []int) (states []string) {
	loop := c.newLoop(t, 12)
	random := rand.New(rand.NewPCG(1, 2))
	// a load figure of -1 means that the backend does not report the figure
	noLoad := balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}
	conns, proxies := map[int]*connection{}, map[int]*fakeProxy{}
	backendNumbers := map[string]int{}
	for b := range 40 {
		backendNumbers[fmt.Sprint(c.backendPrefix, b)] = b
	}
	for second := range 40 {
		drawn := []int{random.IntN(12), random.IntN(12), random.IntN(8)}
		advance(loop, microsPerSecond, func() {
			for node := range 8 {
				if second == 0 || second%9 == 0 && node == drawn[2] {
					proxies[node] = newFakeProxy(c.classNames()...)
				}
			}
		})
		for node := range 8 {
			if second == 0 || second%9 == 0 && node == drawn[2] {
				conns[node] = connectProxy(t, loop, second+1, node, second > 0)
				conns[node].zone = node % len(c.zones)
			}
		}
		loop.iterate(func() {
			for b := range 12 {
				mean := int64(200_000 + 60_000*second)
				if b == 5 && second > 4 {
					loop.outcomesReported(outcomeReport{fmt.Sprint(c.backendPrefix, b), 9, 9, 0, microsPerSecond, noLoad})
				} else {
					loop.outcomesReported(outcomeReport{fmt.Sprint(c.backendPrefix, b), 20, 1, mean, microsPerSecond, noLoad})
				}
			}
			for node := range 8 {
				// The reports have the same order in all deployments, however the settings order
				// the classes.
				for at, class := range order {
					loop.demandReported(node, class, 20+10*at, microsPerSecond)
				}
			}
			if second%5 == 2 {
				loop.endpointsUpdated(false, int64(second), parsed(t, "["+c.endpointJSON(drawn[0], "draining", 0)+","+
					c.endpointJSON(12+second/5, "up", loop.now/1000)+"]").GetArray())
			}
			if second%5 == 4 {
				loop.endpointsUpdated(false, int64(second), parsed(t, "["+c.endpointJSON(drawn[1], "up", 0)+"]").GetArray())
			}
		})
		for _, node := range slices.Sorted(maps.Keys(conns)) {
			fake, conn := proxies[node], conns[node]
			conn.lastMessageAt.Store(loop.now)
			before := len(fake.nonces)
			fake.receive(t, conn)
			for _, nonce := range fake.nonces[before:] {
				loop.iterate(func() { loop.acknowledged(conn, nonce) })
			}
			line := fmt.Sprint(second, " ", node)
			for _, class := range order {
				weights := map[int]float64{}
				for id, weight := range fake.lines[class] {
					weights[backendNumbers[id]] = weight
				}
				line += fmt.Sprint(" ", weights)
				if l := fake.limits[class]; l != nil {
					line += fmt.Sprintf(" %.4g/%g", l[0], l[1])
				}
			}
			withdrawn := []int{}
			for id := range fake.withdrawn {
				withdrawn = append(withdrawn, backendNumbers[id])
			}
			slices.Sort(withdrawn)
			states = append(states, line+fmt.Sprint(" ", withdrawn))
		}
	}
	return states
}

func TestDecisionsDoNotDependOnNames(t *testing.T) {
	t.Run("other names and another order of classes result in the same decisions", func(t *testing.T) {
		classes := []classSettings{{"fetch", 1500, 4000, 1, false, false}, {"order", 800, 2000, 3, true, false},
			{"audit", 3000, 9000, 0.5, false, true}}
		one := deployment{classes: classes, zones: []string{"a", "b"}, backendPrefix: "s-", maxMessages: 30}
		want := one.simulate(t, []int{0, 1, 2})
		limited := 0
		for _, line := range want {
			limited += strings.Count(line, "/0")
		}
		if !strings.Contains(want[len(want)-1], ":") || limited == 0 {
			t.Fatalf("the simulation has no table entries or no admission limits: %s", want[len(want)-1])
		}
		for name, order := range map[string][]int{"reversed": {2, 1, 0}, "rotated": {1, 2, 0}, "unchanged": {0, 1, 2}} {
			other := deployment{zones: []string{`north "1"`, "süd"}, backendPrefix: "worker/", maxMessages: 30,
				classes: make([]classSettings, len(classes))}
			for i, at := range order {
				p := classes[i]
				p.name = []string{"größer", "a b", "x"}[i]
				other.classes[at] = p
			}
			got := other.simulate(t, order)
			for i := range want {
				if got[i] != want[i] {
					t.Fatalf("order %s: line %d of %d\n got %s\nwant %s", name, i, len(want), got[i], want[i])
				}
			}
		}
	})
	t.Run("sixteen classes each have their own table and limit; a seventeenth is refused", func(t *testing.T) {
		c := deployment{zones: []string{"a"}, backendPrefix: "s-", maxMessages: 30}
		for i := range 16 {
			c.classes = append(c.classes, classSettings{fmt.Sprint("class ", i), 500 + 100*float64(i), 3000, 1 + float64(i%5), i%3 == 0, i%4 == 1})
		}
		loop := c.newLoop(t, 3)
		conn, fake := connectProxy(t, loop, 1, 0, false), newFakeProxy(c.classNames()...)
		for class := range 16 {
			loop.SetAdmissionLimit(balancer.AllTables, 1<<class, float64(1+class), balancer.RetryPolicy(class%2))
		}
		advance(loop, 3*microsPerSecond, func() {})
		fake.receive(t, conn)
		for class := range 16 {
			if len(fake.picks(class)) != 3 || fake.limits[class] == nil || fake.limits[class][0] != float64(1+class) ||
				fake.limits[class][1] != float64(class%2) {
				t.Errorf("class %d: picks %v, limit and retry policy %v", class, fake.picks(class), fake.limits[class])
			}
		}
		c.classes = append(c.classes, classSettings{"one more", 500, 3000, 1, false, false})
		if _, err := New(Identity{}, c.configuration("127.0.0.1:9", twoEndpoints), NewLogger(io.Discard)); err == nil ||
			!strings.Contains(err.Error(), "profiles.count") {
			t.Errorf("error %v, want one about profiles.count", err)
		}
	})
}

func TestControllersOfOneProcessAreIndependent(t *testing.T) {
	t.Run("two controllers in one process do not affect each other, before or after a reload", func(t *testing.T) {
		one := deployment{zones: []string{"a", "b"}, backendPrefix: "s-", maxMessages: 30, classes: []classSettings{
			{"read", 1500, 4000, 1, false, false}, {"write", 800, 2000, 3, true, false}}}
		other := deployment{zones: []string{"b", "a"}, backendPrefix: "s-", maxMessages: 4, classes: []classSettings{
			{"write", 3000, 9000, 1, false, false}, {"other", 100, 500, 9, true, false}, {"read", 800, 2000, 3, true, false}}}
		serve := func(c deployment, known string) (*Controller, *fakeDiscovery, *client, *fakeProxy) {
			discovery := newFakeDiscovery(t)
			controller, address, _ := runConfiguration(t, c.configuration(discovery.address, known), nil)
			proxy, fake := dial(t, address), newFakeProxy(c.classNames()...)
			proxy.send(`{"msg":"hello","node":0,"locality":"a","w":5,"cold":true}`)
			if err := fake.apply(proxy.receive()); err != nil {
				t.Fatal(err)
			}
			return controller, discovery, proxy, fake
		}
		first, discovery, proxy, fake := serve(one,
			listJSON(1, true, one.endpointJSON(0, "up", 0), one.endpointJSON(1, "up", 0)))
		second, otherDiscovery, otherProxy, otherFake := serve(other,
			listJSON(1, true, other.endpointJSON(0, "up", 0), other.endpointJSON(2, "up", 0)))
		for round := range 2 {
			for class := range one.classes {
				if want := []string{"s-0", "s-1"}; !slices.Equal(fake.picks(class), want) {
					t.Errorf("round %d: first controller's proxy picks %v, want %v", round, fake.picks(class), want)
				}
			}
			for class := range other.classes {
				if want := []string{"s-0", "s-2"}; !slices.Equal(otherFake.picks(class), want) {
					t.Errorf("round %d: second controller's proxy picks %v, want %v", round, otherFake.picks(class), want)
				}
			}
			if fmt.Sprint(first.loop.classIndex, first.loop.zoneIndex, second.loop.classIndex, second.loop.zoneIndex) !=
				"map[read:0 write:1] map[a:0 b:1] map[other:1 read:2 write:0] map[a:1 b:0]" {
				t.Errorf("round %d: classes and zones %v %v, %v %v", round, first.loop.classIndex, first.loop.zoneIndex,
					second.loop.classIndex, second.loop.zoneIndex)
			}
			// Of the new configuration, only the discovery address takes effect before the next start.
			if err := first.Reload(other.configuration(discovery.address, "null")); err != nil {
				t.Fatal(err)
			}
			if err := second.Reload([]byte("{")); err == nil {
				t.Error("a truncated configuration was accepted")
			}
		}
		discovery.answers <- listJSON(2, false, one.endpointJSON(0, "draining", 0))
		otherDiscovery.answers <- listJSON(2, false, other.endpointJSON(2, "draining", 0))
		for len(fake.picks(1)) > 1 {
			if err := fake.apply(proxy.receive()); err != nil {
				t.Fatal(err)
			}
		}
		for len(otherFake.picks(2)) > 1 {
			if err := otherFake.apply(otherProxy.receive()); err != nil {
				t.Fatal(err)
			}
		}
		if !slices.Equal(fake.picks(0), []string{"s-1"}) || !slices.Equal(otherFake.picks(0), []string{"s-0"}) {
			t.Errorf("picks %v and %v, want s-1 and s-0", fake.picks(0), otherFake.picks(0))
		}
	})
	t.Run("an invalid or ambiguous configuration is refused with its key, also in a reload", func(t *testing.T) {
		good := string(configuration("127.0.0.1:9", "null"))
		controller, err := New(Identity{}, []byte(good), NewLogger(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		state := func() string {
			loaded := controller.configuration
			return fmt.Sprint(loaded.Identity, loaded.classNames, loaded.zones, *controller.limits, controller.watcher.address)
		}
		before := state()
		for key, change := range map[string][2]string{
			"profiles.1.name":               {`"name":"write"`, `"name":"read it"`},
			"profiles.0.name":               {`"name":"read it"`, `"name":""`},
			"azs":                           {`["a","b"]`, `["a","b","a"]`},
			"limits.cores":                  {`"cores":1`, `"cores":0`},
			"limits.memory_mb":              {`"memory_mb":192`, `"memory":192`},
			"limits.sockets":                {`"sockets":200`, `"sockets":-1`},
			"familyInfo.classWrites":        {`"classWrites":[false,true]`, `"classWrites":[false]`},
			"familyInfo.staysLocal":         {`"staysLocal":[false,false]`, `"staysLocal":[false,false,true]`},
			"familyInfo.messages_most":      {`"messagesMost"`, `"messages_most"`},
			"familyInfo.classwrites":        {`"classWrites"`, `"classwrites"`},
			"familyInfo.proxyCount":         {`"proxyCount":40`, `"proxyCount":0`},
			"familyInfo.backlog":            {`"backlog":900`, `"backlog":0`},
			"familyInfo.egressPerS":         {`"egressPerS":900`, `"egressPerS":0`},
			"familyInfo.reportEvery":        {`"reportEvery":1000`, `"reportEvery":0`},
			"profiles.0.deadline":           {`"deadline":4000`, `"deadline":0`},
			"profiles.1.target":             {`"target":800`, `"target":0`},
			"rules.stopSendingWithin":       {`"stopSendingWithin":3000`, `"stopSendingWithin":0`},
			"settings.familyInfo.backlog":   {`"backlog":900`, `"backlog":900,"backlog":9`},
			"known.servers":                 {`"known":null`, `"known":{"version":1,"servers":[],"full":true,"servers":[]}`},
			"discovery":                     {`"discovery":"127.0.0.1:9"`, `"discovery":"127.0.0.1:9","discovery":"127.0.0.1:8"`},
			"configuration: settings is":    {`"settings"`, `"was"`},
			"setting rules.droppedStayopen": {`"coldShare"`, `"droppedStayopen":true,"coldShare"`},
		} {
			invalid := strings.Replace(good, change[0], change[1], 1)
			for name, load := range map[string]func([]byte) error{"reload": controller.Reload, "start": func(text []byte) error {
				_, err := New(Identity{}, text, NewLogger(io.Discard))
				return err
			}} {
				if err := load([]byte(invalid)); invalid == good || err == nil || !strings.Contains(err.Error(), key) {
					t.Errorf("%s with an invalid %s: error %v, want one that contains the key", name, key, err)
				}
			}
		}
		if after := state(); after != before {
			t.Errorf("a refused reload changed the configuration\nbefore %s\nafter %s", before, after)
		}
	})
}
