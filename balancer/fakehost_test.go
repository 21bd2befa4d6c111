package balancer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// fakeHost keeps what the controller asks for, and lets time pass.
type fakeHost struct {
	*testing.T
	controller   *Controller
	now          int64
	timers       []int64
	timerTag     uint64
	tables       map[int]map[int]float64
	withdrawn    map[int]bool
	assigned     map[string]bool
	limits       map[string]float64
	retries      map[string]RetryPolicy
	messages     []int64 // times at which acks were requested
	ackRequest   int
	polls        int
	healthChecks []int
	script       []string
	unsentLines  map[int64]float64 // lines of each batch that are still in the channel that drainQueue plays
}

func (host *fakeHost) Now() int64      { return host.now }
func (host *fakeHost) Log(int, string) {}
func (host *fakeHost) PollEndpoints()  { host.polls++ }
func (host *fakeHost) SetTimer(wait int64, tag uint64) {
	host.timers, host.timerTag = append(host.timers, host.now+wait), tag
}
func (host *fakeHost) CheckHealth(b int) { host.healthChecks = append(host.healthChecks, b) }
func (host *fakeHost) PublishEntry(table, b int, weight float64) {
	if host.tables[table] == nil {
		host.tables[table] = map[int]float64{}
	}
	host.tables[table][b] = weight
	if weight == 0 {
		delete(host.tables[table], b)
	}
	host.note("entry %d %d %.3f", table, b, weight)
}
func (host *fakeHost) AssignTable(table, p int, classes uint16) {
	if len(host.tables[table]) == 0 {
		host.Errorf("proxy %d assigned the empty table %d", p, table)
	}
	host.assigned[fmt.Sprint(p, table, classes)] = true
	host.note("assign %d %d %d", table, p, classes)
}
func (host *fakeHost) Withdraw(b int, out bool) {
	host.withdrawn[b] = out
	host.note("withdraw %d %v", b, out)
}
func (host *fakeHost) SyncWithdrawals(p int, _ float64, _ RetryPolicy) bool {
	host.note("sync %d", p)
	return true
}
func (host *fakeHost) ClearWithdrawals(p int) { host.note("clear %d", p) }
func (host *fakeHost) SetAdmissionLimit(table int, classes uint16, allowance float64, tries RetryPolicy) {
	key := fmt.Sprint(table, classes)
	host.limits[key], host.retries[key] = allowance, tries
	host.note("limit %s %.2f %d", key, allowance, tries)
}
func (host *fakeHost) RequestAck(number int, _ bool) {
	host.ackRequest = number
	if n := len(host.messages); n == 0 || host.messages[n-1] != host.now {
		host.messages = append(host.messages, host.now)
	}
}
func (host *fakeHost) note(format string, args ...any) {
	host.script = append(host.script, fmt.Sprint(host.now, " ")+fmt.Sprintf(format, args...))
}

func twoClasses() []Class {
	return []Class{
		{LatencyObjective: 1500_000, Deadline: 4 * second, PriorityWeight: 1},
		{LatencyObjective: 800_000, Deadline: 2 * second, PriorityWeight: 3, Writes: true},
	}
}

// testSettings is what a test may change before it starts a controller.
type testSettings struct {
	classes   []Class
	channel   PushChannel
	limits    RuleLimits
	sharding  Sharding
	telemetry Telemetry
	mode      AdmissionMode
}

func defaultSettings() testSettings {
	return testSettings{
		classes: twoClasses(),
		channel: PushChannel{LinesPerSecond: 900, MessageOverhead: 4, Backlog: 900, MaxLatency: 660_000,
			MaxMessages: 30, MessageWindow: 10 * second},
		limits:    RuleLimits{DrainGrace: 3 * second, ColdStartShare: 0.16, WarmupTime: 17 * second},
		telemetry: Telemetry{ReportInterval: second},
		mode:      AdmissionByRate,
	}
}

// startController starts a controller with this many ready backends, in zones by turns, and proxies.
func startController(t *testing.T, settings testSettings, backends, proxies int) *fakeHost {
	t.Helper()
	host := &fakeHost{T: t, now: 100 * second, tables: map[int]map[int]float64{}, withdrawn: map[int]bool{},
		assigned: map[string]bool{}, limits: map[string]float64{}, retries: map[string]RetryPolicy{}, unsentLines: map[int64]float64{}}
	host.controller = newController(t, host, settings)
	var all []Endpoint
	for b := range backends {
		all = append(all, Endpoint{Backend: b, State: Ready, Weight: 2, Zone: b % 2})
	}
	if backends > 0 {
		host.controller.EndpointsUpdated(true, all)
	}
	for p := range proxies {
		host.controller.ProxyConnected(p, p%2, 10, false)
		host.controller.Acknowledged(p, host.ackRequest)
	}
	return host
}

// newController makes a controller that must be possible.
func newController(t *testing.T, host Host, settings testSettings) *Controller {
	t.Helper()
	c, err := New(host, Config{
		Seed:      7,
		Classes:   settings.classes,
		Channel:   settings.channel,
		Rules:     settings.limits,
		Sharding:  settings.sharding,
		Telemetry: settings.telemetry,
		Admission: settings.mode,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// run lets time pass in seconds; every second each is called, if given, and all proxies answer acks.
func (host *fakeHost) run(seconds float64, each func()) {
	end := host.now + int64(seconds*float64(second))
	next := host.now + second
	for host.now < end {
		host.now = min(end, next)
		if len(host.timers) > 0 {
			host.now = min(host.now, slices.Min(host.timers))
		}
		if host.now == next && each != nil {
			each()
		}
		if host.now == next {
			next += second
		}
		due := slices.Contains(host.timers, host.now)
		host.timers = slices.DeleteFunc(host.timers, func(at int64) bool { return at == host.now })
		if due {
			host.controller.TimerFired(host.timerTag)
		}
		for p, proxy := range host.controller.proxies {
			if proxy.connected {
				host.controller.Acknowledged(p, host.ackRequest)
			}
		}
	}
}

// reportOutcomes reports one backend's attempts of the last second.
func (host *fakeHost) reportOutcomes(b, tries, failed int, mean int64) {
	host.controller.OutcomesReported(OutcomeReport{Backend: b, Attempts: tries, Failures: failed, MeanAnswerTime: mean, Span: second, Load: noLoad})
}

// updateEndpoints lists backends from one number to another, in one go.
func (host *fakeHost) updateEndpoints(from, to int, condition EndpointState, started int64) {
	var all []Endpoint
	for b := from; b < to; b++ {
		all = append(all, Endpoint{Backend: b, State: condition, Weight: 2, Zone: b % 2, StartedAt: started})
	}
	host.controller.EndpointsUpdated(false, all)
}

// reportHealthy reports good answers of all backends but the given ones, and the usual demand at each proxy.
func (host *fakeHost) reportHealthy(except ...int) {
	for b := range host.controller.backends {
		if !slices.Contains(except, b) {
			host.reportOutcomes(b, 10, 0, 250_000)
		}
	}
	host.reportDemand(20, 20)
}

// reportDemand reports demand of the last second at each proxy, by class.
func (host *fakeHost) reportDemand(perClass ...int) {
	for p := range host.controller.proxies {
		for class, n := range perClass {
			host.controller.DemandReported(p, class, n, second)
		}
	}
}

// reportDemandOver reports demand in lines that cover so long, as where these wait for their turn.
func (host *fakeHost) reportDemandOver(span int64) {
	for p := range host.controller.proxies {
		for class := range 2 {
			host.controller.DemandReported(p, class, int(20*span/second), span)
		}
	}
}

// expectWeight checks a backend's weight in the first table.
func (host *fakeHost) expectWeight(b int, want float64, when string) {
	host.Helper()
	if got := host.tables[0][b]; got < want-0.001 || got > want+0.001 {
		host.Errorf("%s: backend %d has weight %.3f, want %.3f", when, b, got, want)
	}
}

// noLoad is the load of a backend that reports none.
var noLoad = BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}

// reportOverload reports answers that are late everywhere, and more demand.
func reportOverload(host *fakeHost) func() {
	return func() {
		for b := range host.controller.backends {
			host.reportOutcomes(b, 10, 1, 900_000)
		}
		host.reportDemand(40, 20)
	}
}

// count is 1 for a condition that holds, and 0 for one that does not.
func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// wholeFleet is the settings of one day of the whole fleet: a channel of 900 lines a second for two thousand proxies.
func wholeFleet() testSettings {
	settings := defaultSettings()
	settings.channel = PushChannel{LinesPerSecond: 900, MessageOverhead: 4, Backlog: 48100, MaxLatency: 807_500, MaxMessages: 30,
		MessageWindow: 10 * second, Proxies: 2184, MinBackendConnections: 83}
	settings.limits.DrainGrace = 55 * second
	settings.telemetry.ReportInterval = 2 * second
	return settings
}

// playChannel plays a channel of 900 lines a second for some seconds, and gives the most lines that waited meanwhile.
func (host *fakeHost) playChannel(seconds float64) (most float64) {
	for range int(seconds * 4) {
		host.now += tickInterval
		host.timers = nil
		host.controller.TimerFired(host.timerTag)
		most = max(most, host.controller.pushQueue.queuedLines)
		for room := 900. / 4; room > 0 && len(host.controller.pushQueue.batches) > 0; {
			batch := host.controller.pushQueue.batches[0]
			if _, known := host.unsentLines[batch.number]; !known {
				host.unsentLines[batch.number] = batch.lines
			}
			take := min(room, host.unsentLines[batch.number])
			room -= take
			if host.unsentLines[batch.number] -= take; host.unsentLines[batch.number] > 0 {
				break
			}
			for _, p := range slices.Collect(maps.Keys(batch.linesTo)) { // whoever they were
				host.controller.pushQueue.acknowledge(int(batch.number&0xffff), p)
			}
			host.controller.syncProxies(host.now)
		}
	}
	return most
}
