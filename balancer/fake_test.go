package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// stage is the one fake host: it keeps what was ordered, and plays time.
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
	messages     []int64 // times at which orders with a mark went out
	ackRequest   int
	polls        int
	healthChecks []int
	script       []string
	unsentLines  map[int64]float64 // lines of each order that are still in the channel that sends plays
}

func (s *fakeHost) Now() int64      { return s.now }
func (s *fakeHost) Log(int, string) {}
func (s *fakeHost) PollEndpoints()  { s.polls++ }
func (s *fakeHost) SetTimer(wait int64, tag uint64) {
	s.timers, s.timerTag = append(s.timers, s.now+wait), tag
}
func (s *fakeHost) CheckHealth(b int) { s.healthChecks = append(s.healthChecks, b) }
func (s *fakeHost) PublishEntry(table, b int, weight float64) {
	if s.tables[table] == nil {
		s.tables[table] = map[int]float64{}
	}
	s.tables[table][b] = weight
	if weight == 0 {
		delete(s.tables[table], b)
	}
	s.note("line %d %d %.3f", table, b, weight)
}
func (s *fakeHost) AssignTable(table, p int, classes uint16) {
	if len(s.tables[table]) == 0 {
		s.Errorf("proxy %d bound to the empty table %d", p, table)
	}
	s.assigned[fmt.Sprint(p, table, classes)] = true
	s.note("bind %d %d %d", table, p, classes)
}
func (s *fakeHost) Withdraw(b int, out bool) {
	s.withdrawn[b] = out
	s.note("withdraw %d %v", b, out)
}
func (s *fakeHost) SyncWithdrawals(p int, _ float64, _ RetryPolicy) bool {
	s.note("remind %d", p)
	return true
}
func (s *fakeHost) ClearWithdrawals(p int) { s.note("clear %d", p) }
func (s *fakeHost) SetAdmissionLimit(table int, classes uint16, allowance float64, tries RetryPolicy) {
	key := fmt.Sprint(table, classes)
	s.limits[key], s.retries[key] = allowance, tries
	s.note("admit %s %.2f %d", key, allowance, tries)
}
func (s *fakeHost) RequestAck(number int, everyone bool) {
	s.ackRequest = number
	if n := len(s.messages); n == 0 || s.messages[n-1] != s.now {
		s.messages = append(s.messages, s.now)
	}
}
func (s *fakeHost) note(format string, args ...any) {
	s.script = append(s.script, fmt.Sprint(s.now, " ")+fmt.Sprintf(format, args...))
}

func twoClasses() []Class {
	return []Class{
		{LatencyObjective: 1500_000, Deadline: 4 * second, PriorityWeight: 1},
		{LatencyObjective: 800_000, Deadline: 2 * second, PriorityWeight: 3, Writes: true},
	}
}

// setting is what a story may change before it begins.
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

// begin starts a controller with this many ready backends, in zones by turns, and proxies.
func startController(t *testing.T, x testSettings, backends, proxies int) *fakeHost {
	s := &fakeHost{T: t, now: 100 * second, tables: map[int]map[int]float64{}, withdrawn: map[int]bool{},
		assigned: map[string]bool{}, limits: map[string]float64{}, retries: map[string]RetryPolicy{}, unsentLines: map[int64]float64{}}
	s.controller = New(s, 7, x.classes, x.channel, x.limits, x.sharding, x.telemetry, x.mode)
	var all []Endpoint
	for b := range backends {
		all = append(all, Endpoint{Backend: b, State: Ready, Weight: 2, Zone: b % 2})
	}
	if backends > 0 {
		s.controller.EndpointsUpdated(true, all)
	}
	for p := range proxies {
		s.controller.ProxyConnected(p, p%2, 10, false)
		s.controller.Acknowledged(p, s.ackRequest)
	}
	return s
}

// plays lets time pass in seconds; every second each is called, if given, and all proxies answer marks.
func (s *fakeHost) run(seconds float64, each func()) {
	end := s.now + int64(seconds*float64(second))
	next := s.now + second
	for s.now < end {
		s.now = min(end, next)
		if len(s.timers) > 0 {
			s.now = min(s.now, slices.Min(s.timers))
		}
		if s.now == next && each != nil {
			each()
		}
		if s.now == next {
			next += second
		}
		due := slices.Contains(s.timers, s.now)
		s.timers = slices.DeleteFunc(s.timers, func(at int64) bool { return at == s.now })
		if due {
			s.controller.TimerFired(s.timerTag)
		}
		for p, q := range s.controller.proxies {
			if q.connected {
				s.controller.Acknowledged(p, s.ackRequest)
			}
		}
	}
}

// hears reports one backend's tries of the last second.
func (s *fakeHost) reportOutcomes(b, tries, failed int, mean int64) {
	s.controller.OutcomesReported(b, tries, failed, mean, second, BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1})
}

// lists tells of backends from one number to another, in one go.
func (s *fakeHost) updateEndpoints(from, to int, condition EndpointState, started int64) {
	var all []Endpoint
	for b := from; b < to; b++ {
		all = append(all, Endpoint{Backend: b, State: condition, Weight: 2, Zone: b % 2, StartedAt: started})
	}
	s.controller.EndpointsUpdated(false, all)
}

// fine reports good answers of all backends but the given ones, and the usual demand at each proxy.
func (s *fakeHost) reportHealthy(except ...int) {
	for b := range s.controller.backends {
		if !slices.Contains(except, b) {
			s.reportOutcomes(b, 10, 0, 250_000)
		}
	}
	s.reportDemand(20, 20)
}

func (s *fakeHost) reportDemand(perClass ...int) {
	for p := range s.controller.proxies {
		for class, n := range perClass {
			s.controller.DemandReported(p, class, n, second)
		}
	}
}

// late has proxies heard of in lines that cover so long, as where these wait for their turn.
func (s *fakeHost) reportDemandOver(span int64) {
	for p := range s.controller.proxies {
		for class := range 2 {
			s.controller.DemandReported(p, class, int(20*span/second), span)
		}
	}
}

func (s *fakeHost) expectWeight(b int, want float64, when string) {
	s.Helper()
	if got := s.tables[0][b]; got < want-0.001 || got > want+0.001 {
		s.Errorf("%s: backend %d has weight %.3f, want %.3f", when, b, got, want)
	}
}

func reportOverload(s *fakeHost) func() {
	return func() {
		for b := range s.controller.backends {
			s.reportOutcomes(b, 10, 1, 900_000)
		}
		s.reportDemand(40, 20)
	}
}
