package balancer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// fakeHost records the effects that a controller orders, and advances the clock.
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
	messages     []int64 // times of the ack requests, one for each clock time at which messages were sent
	ackRequest   int
	polls        int
	healthChecks []int
	effects      []string
	logs         []string
	// unsentLines is the number of lines that the push channel of runChannel has not sent yet, by
	// batch number.
	unsentLines map[int64]float64
}

func (host *fakeHost) Now() int64             { return host.now }
func (host *fakeHost) Log(_ int, text string) { host.logs = append(host.logs, text) }
func (host *fakeHost) PollEndpoints()         { host.polls++ }
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
	host.record("entry %d %d %.3f", table, b, weight)
}
func (host *fakeHost) AssignTable(table, p int, classes uint16) {
	if len(host.tables[table]) == 0 {
		host.Errorf("proxy %d assigned the empty table %d", p, table)
	}
	host.assigned[fmt.Sprint(p, table, classes)] = true
	host.record("assign %d %d %d", table, p, classes)
}
func (host *fakeHost) Withdraw(b int, withdrawn bool) {
	host.withdrawn[b] = withdrawn
	host.record("withdraw %d %v", b, withdrawn)
}
func (host *fakeHost) SyncWithdrawals(p int, _ float64, _ RetryPolicy) bool {
	host.record("sync %d", p)
	return true
}
func (host *fakeHost) ClearWithdrawals(p int) { host.record("clear %d", p) }
func (host *fakeHost) HoldMessages(p int)     { host.record("hold %d", p) }
func (host *fakeHost) ResumeMessages(p int)   { host.record("resume %d", p) }
func (host *fakeHost) SetAdmissionLimit(table int, classes uint16, limit float64, retry RetryPolicy) {
	key := fmt.Sprint(table, classes)
	host.limits[key], host.retries[key] = limit, retry
	host.record("limit %s %.2f %d", key, limit, retry)
}
func (host *fakeHost) RequestAck(number int, _ bool) {
	host.ackRequest = number
	if n := len(host.messages); n == 0 || host.messages[n-1] != host.now {
		host.messages = append(host.messages, host.now)
	}
}
func (host *fakeHost) record(format string, args ...any) {
	host.effects = append(host.effects, fmt.Sprint(host.now, " ")+fmt.Sprintf(format, args...))
}

func twoClasses() []Class {
	return []Class{
		{LatencyObjective: 1500_000, Deadline: 4 * second, PriorityWeight: 1},
		{LatencyObjective: 800_000, Deadline: 2 * second, PriorityWeight: 3, Writes: true},
	}
}

// testSettings holds the settings that a test may change before it starts a controller.
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

// startController starts a controller with a number of ready backends, alternating between two
// zones, and of connected proxies.
func startController(t *testing.T, settings testSettings, backends, proxies int) *fakeHost {
	t.Helper()
	host := &fakeHost{T: t, now: 100 * second, tables: map[int]map[int]float64{}, withdrawn: map[int]bool{},
		assigned: map[string]bool{}, limits: map[string]float64{}, retries: map[string]RetryPolicy{},
		unsentLines: map[int64]float64{}}
	host.controller = newController(t, host, settings)
	var endpoints []Endpoint
	for b := range backends {
		endpoints = append(endpoints, Endpoint{Backend: b, State: Ready, Weight: 2, Zone: b % 2})
	}
	if backends > 0 {
		host.controller.EndpointsUpdated(true, endpoints)
	}
	for p := range proxies {
		host.controller.ProxyConnected(p, p%2, 10, false)
		host.controller.Acknowledged(p, host.ackRequest)
	}
	return host
}

// newController returns a new controller, or fails the test.
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

// run advances the clock by a number of seconds. Every second it calls the function each, if each
// is not nil. At each step of the clock all connected proxies answer the last ack request.
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
		host.acknowledge()
	}
}

// acknowledge makes all connected proxies answer the last ack request.
func (host *fakeHost) acknowledge() {
	for p, proxy := range host.controller.proxies {
		if proxy.connected {
			host.controller.Acknowledged(p, host.ackRequest)
		}
	}
}

// reportOutcomes reports the outcomes of one backend over the last second.
func (host *fakeHost) reportOutcomes(b, attempts, failures int, meanAnswerTime int64) {
	host.controller.OutcomesReported(OutcomeReport{Backend: b, Attempts: attempts, Failures: failures,
		MeanAnswerTime: meanAnswerTime, Span: second, Load: noLoad})
}

// updateEndpoints delivers an endpoint list with the backends whose indices are in [from, to), all
// in the same state.
func (host *fakeHost) updateEndpoints(from, to int, state EndpointState, started int64) {
	var endpoints []Endpoint
	for b := from; b < to; b++ {
		endpoints = append(endpoints, Endpoint{Backend: b, State: state, Weight: 2, Zone: b % 2, StartedAt: started})
	}
	host.controller.EndpointsUpdated(false, endpoints)
}

// reportHealthy reports quick answers of all backends except the given ones, and ordinary demand at
// each proxy.
func (host *fakeHost) reportHealthy(except ...int) {
	for b := range host.controller.backends {
		if !slices.Contains(except, b) {
			host.reportOutcomes(b, 10, 0, 250_000)
		}
	}
	host.reportDemand(20, 20)
}

// reportDemand reports demand over the last second at each proxy, by class.
func (host *fakeHost) reportDemand(perClass ...int) {
	for p := range host.controller.proxies {
		for class, n := range perClass {
			host.controller.DemandReported(p, class, n, second)
		}
	}
}

// reportDemandOver reports ordinary demand at each proxy in report lines that cover the given span.
// Lines cover a longer span than the report interval if they are delayed.
func (host *fakeHost) reportDemandOver(span int64) {
	for p := range host.controller.proxies {
		for class := range 2 {
			host.controller.DemandReported(p, class, int(20*span/second), span)
		}
	}
}

// expectLog fails the test unless a decision with the given text was logged.
func (host *fakeHost) expectLog(text string) {
	host.Helper()
	if !slices.Contains(host.logs, text) {
		host.Errorf("log lines are %q, want one %q", host.logs, text)
	}
}

// expectWeight fails the test if a backend's weight in table 0 differs from the wanted weight.
func (host *fakeHost) expectWeight(b int, want float64, when string) {
	host.Helper()
	if got := host.tables[0][b]; got < want-0.001 || got > want+0.001 {
		host.Errorf("%s: backend %d has weight %.3f, want %.3f", when, b, got, want)
	}
}

// noLoad is the load report of a backend that gives no load figure.
var noLoad = BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}

// reportOverload returns a function that reports late answers at all backends, and raised demand.
func reportOverload(host *fakeHost) func() {
	return func() {
		for b := range host.controller.backends {
			host.reportOutcomes(b, 10, 1, 900_000)
		}
		host.reportDemand(40, 20)
	}
}

// toInt returns 1 if a condition holds, and 0 otherwise.
func toInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// wholeFleetSettings returns settings with 2184 proxies and a channel of 900 lines per second.
func wholeFleetSettings() testSettings {
	settings := defaultSettings()
	settings.channel = PushChannel{LinesPerSecond: 900, MessageOverhead: 4, Backlog: 48100, MaxLatency: 807_500,
		MaxMessages: 30, MessageWindow: 10 * second, Proxies: 2184, MinBackendConnections: 83}
	settings.limits.DrainGrace = 55 * second
	settings.telemetry.ReportInterval = 2 * second
	return settings
}

// runChannel advances the clock by a number of seconds, with a channel that sends 900 lines per
// second. It returns the highest number of queued lines.
func (host *fakeHost) runChannel(seconds float64) (maxQueued float64) {
	for range int(seconds * 4) {
		host.now += tickInterval
		host.timers = nil
		host.controller.TimerFired(host.timerTag)
		maxQueued = max(maxQueued, host.controller.pushQueue.queuedLines)
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
			// The channel also sends the lines for proxies that have disconnected since the batch
			// was queued.
			for _, p := range slices.Collect(maps.Keys(batch.linesTo)) {
				host.controller.pushQueue.acknowledge(int(batch.number&0xffff), p)
			}
			host.controller.syncProxies(host.now)
		}
	}
	return maxQueued
}
