package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// stage is the one fake host: it keeps what was ordered, and plays time.
type stage struct {
	*testing.T
	c        *Controller
	now      int64
	timers   []int64
	tag      uint64
	tables   map[int]map[int]float64
	out      map[int]bool
	bound    map[string]bool
	levels   map[string]float64
	tries    map[string]RetryPolicy
	messages []int64 // times at which orders with a mark went out
	mark     int
	watches  int
	probes   []int
	script   []string
	left     map[int64]float64 // lines of each order that are still in the channel that sends plays
}

func (s *stage) Now() int64      { return s.now }
func (s *stage) Log(int, string) {}
func (s *stage) PollEndpoints()  { s.watches++ }
func (s *stage) SetTimer(wait int64, tag uint64) {
	s.timers, s.tag = append(s.timers, s.now+wait), tag
}
func (s *stage) CheckHealth(b int) { s.probes = append(s.probes, b) }
func (s *stage) PublishEntry(table, b int, weight float64) {
	if s.tables[table] == nil {
		s.tables[table] = map[int]float64{}
	}
	s.tables[table][b] = weight
	if weight == 0 {
		delete(s.tables[table], b)
	}
	s.note("line %d %d %.3f", table, b, weight)
}
func (s *stage) AssignTable(table, p int, classes uint16) {
	if len(s.tables[table]) == 0 {
		s.Errorf("proxy %d bound to the empty table %d", p, table)
	}
	s.bound[fmt.Sprint(p, table, classes)] = true
	s.note("bind %d %d %d", table, p, classes)
}
func (s *stage) Withdraw(b int, out bool) {
	s.out[b] = out
	s.note("withdraw %d %v", b, out)
}
func (s *stage) SyncWithdrawals(p int, _ float64, _ RetryPolicy) bool {
	s.note("remind %d", p)
	return true
}
func (s *stage) ClearWithdrawals(p int) { s.note("clear %d", p) }
func (s *stage) SetAdmissionLimit(table int, classes uint16, allowance float64, tries RetryPolicy) {
	key := fmt.Sprint(table, classes)
	s.levels[key], s.tries[key] = allowance, tries
	s.note("admit %s %.2f %d", key, allowance, tries)
}
func (s *stage) RequestAck(number int, everyone bool) {
	s.mark = number
	if n := len(s.messages); n == 0 || s.messages[n-1] != s.now {
		s.messages = append(s.messages, s.now)
	}
}
func (s *stage) note(format string, args ...any) {
	s.script = append(s.script, fmt.Sprint(s.now, " ")+fmt.Sprintf(format, args...))
}

func twoClasses() []Class {
	return []Class{
		{LatencyObjective: 1500_000, Deadline: 4 * second, PriorityWeight: 1},
		{LatencyObjective: 800_000, Deadline: 2 * second, PriorityWeight: 3, Writes: true},
	}
}

// setting is what a story may change before it begins.
type setting struct {
	classes   []Class
	channel   PushChannel
	limits    RuleLimits
	partition Sharding
	sight     Telemetry
	admit     AdmissionMode
}

func usual() setting {
	return setting{
		classes: twoClasses(),
		channel: PushChannel{LinesPerSecond: 900, MessageOverhead: 4, Backlog: 900, MaxLatency: 660_000,
			MaxMessages: 30, MessageWindow: 10 * second},
		limits: RuleLimits{DrainGrace: 3 * second, ColdStartShare: 0.16, WarmupTime: 17 * second},
		sight:  Telemetry{ReportInterval: second},
		admit:  AdmissionByRate,
	}
}

// begin starts a controller with this many ready backends, in zones by turns, and proxies.
func begin(t *testing.T, x setting, backends, proxies int) *stage {
	s := &stage{T: t, now: 100 * second, tables: map[int]map[int]float64{}, out: map[int]bool{},
		bound: map[string]bool{}, levels: map[string]float64{}, tries: map[string]RetryPolicy{}, left: map[int64]float64{}}
	s.c = New(s, 7, x.classes, x.channel, x.limits, x.partition, x.sight, x.admit)
	var all []Endpoint
	for b := range backends {
		all = append(all, Endpoint{Backend: b, State: Ready, Weight: 2, Zone: b % 2})
	}
	if backends > 0 {
		s.c.EndpointsUpdated(true, all)
	}
	for p := range proxies {
		s.c.ProxyConnected(p, p%2, 10, false)
		s.c.Acknowledged(p, s.mark)
	}
	return s
}

// plays lets time pass in seconds; every second each is called, if given, and all proxies answer marks.
func (s *stage) plays(seconds float64, each func()) {
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
			s.c.TimerFired(s.tag)
		}
		for p, q := range s.c.proxies {
			if q.joined {
				s.c.Acknowledged(p, s.mark)
			}
		}
	}
}

// hears reports one backend's tries of the last second.
func (s *stage) hears(b, tries, failed int, mean int64) {
	s.c.OutcomesReported(b, tries, failed, mean, second, BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1})
}

// lists tells of backends from one number to another, in one go.
func (s *stage) lists(from, to int, condition EndpointState, started int64) {
	var all []Endpoint
	for b := from; b < to; b++ {
		all = append(all, Endpoint{Backend: b, State: condition, Weight: 2, Zone: b % 2, StartedAt: started})
	}
	s.c.EndpointsUpdated(false, all)
}

// fine reports good answers of all backends but the given ones, and the usual demand at each proxy.
func (s *stage) fine(except ...int) {
	for b := range s.c.backends {
		if !slices.Contains(except, b) {
			s.hears(b, 10, 0, 250_000)
		}
	}
	s.comes(20, 20)
}

func (s *stage) comes(perClass ...int) {
	for p := range s.c.proxies {
		for class, n := range perClass {
			s.c.DemandReported(p, class, n, second)
		}
	}
}

// late has proxies heard of in lines that cover so long, as where these wait for their turn.
func (s *stage) late(span int64) {
	for p := range s.c.proxies {
		for class := range 2 {
			s.c.DemandReported(p, class, int(20*span/second), span)
		}
	}
}

func (s *stage) weight(b int, want float64, when string) {
	s.Helper()
	if got := s.tables[0][b]; got < want-0.001 || got > want+0.001 {
		s.Errorf("%s: backend %d has weight %.3f, want %.3f", when, b, got, want)
	}
}

func jam(s *stage) func() {
	return func() {
		for b := range s.c.backends {
			s.hears(b, 10, 1, 900_000)
		}
		s.comes(40, 20)
	}
}
