package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// transcript is the host, and the driver, of one case.
type transcriptHost struct {
	*rand.Rand
	controller *Controller
	testCase   transcriptCase
	settings   testSettings
	now        int64
	lines      []string
	timers     []transcriptTimer
	requests   []int // numbers of acknowledgements asked for and not yet given, with their times in due
	due        []int64
	joined     []bool
	listed     []Endpoint
	known      int // backends that the controller was told of
	mood       int // how the fleet does just now
	few        int // backends below this number are those that differ
}

type transcriptTimer struct {
	at  int64
	tag uint64
}

func (host *transcriptHost) record(format string, args ...any) {
	host.lines = append(host.lines, fmt.Sprintf("%d ", host.now)+fmt.Sprintf(format, args...))
}

func (host *transcriptHost) Now() int64 { return host.now }
func (host *transcriptHost) SetTimer(wait int64, tag uint64) {
	host.timers = append(host.timers, transcriptTimer{host.now + wait, tag})
	host.record("timer %d %d", wait, tag)
}
func (host *transcriptHost) Log(backend int, line string) {
	host.lines = append(host.lines, fmt.Sprint(logMarker, host.now, " ", backend, " ", line))
}
func (host *transcriptHost) PollEndpoints()          { host.record("poll") }
func (host *transcriptHost) CheckHealth(backend int) { host.record("probe %d", backend) }
func (host *transcriptHost) PublishEntry(table, backend int, weight float64) {
	host.record("entry %d %d %v", table, backend, weight)
}
func (host *transcriptHost) AssignTable(table, proxy int, classes uint16) {
	host.record("bind %d %d %d", table, proxy, classes)
}
func (host *transcriptHost) Withdraw(backend int, out bool) {
	host.record("withdraw %d %v", backend, out)
}
func (host *transcriptHost) SyncWithdrawals(proxy int, allowance float64, tries RetryPolicy) bool {
	host.record("sync %d %v %d", proxy, allowance, tries)
	return !host.testCase.mute
}
func (host *transcriptHost) ClearWithdrawals(proxy int) { host.record("clear %d", proxy) }
func (host *transcriptHost) SetAdmissionLimit(table int, classes uint16, allowance float64, tries RetryPolicy) {
	host.record("limit %d %d %v %d", table, classes, allowance, tries)
}
func (host *transcriptHost) RequestAck(number int, everyone bool) {
	host.record("request %d %v", number, everyone)
	host.requests, host.due = append(host.requests, number), append(host.due, host.now+300_000+host.Int64N(900_000))
}

// list tells of endpoints.
func (host *transcriptHost) list(full bool, entries []Endpoint) {
	var text strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&text, " [%d %d %d %v %d %d]", e.Backend, e.State, e.StartedAt, e.Weight, e.Zone, e.DrainingSince)
		host.known = max(host.known, e.Backend+1)
	}
	host.record("> endpoints %v%s", full, text.String())
	host.controller.EndpointsUpdated(full, entries)
}

func (host *transcriptHost) connect(proxy int) {
	usual, keeps := float64(1+host.IntN(40)), host.IntN(2) == 0
	host.record("> connect %d %d %v %v", proxy, proxy%2, usual, keeps)
	host.joined[proxy] = true
	host.controller.ProxyConnected(proxy, proxy%2, usual, keeps)
}

func (host *transcriptHost) disconnect(proxy int) {
	host.record("> disconnect %d", proxy)
	host.joined[proxy] = false
	host.controller.ProxyDisconnected(proxy)
}

// outcomes reports what was met at each backend, and what came to each proxy, as the mood has it.
func (host *transcriptHost) outcomes() {
	span := max(host.testCase.span, host.settings.telemetry.ReportInterval)
	for i := range host.listed {
		tries, failed, mean := host.IntN(14), 0, 150_000+host.Int64N(120_000)
		differs := i < host.few
		switch {
		case host.mood == 1: // a jam
			failed, mean = tries/10, 700_000+host.Int64N(500_000)
		case host.mood == 2 && differs: // some are dead
			failed, mean = tries, 0
		case host.mood == 3 && differs: // some are slow
			failed, mean = tries/4, 1200_000+host.Int64N(800_000)
		case host.mood == 4 && differs: // some fail fast
			failed = tries * 3 / 4
		case host.mood == 5: // thin news
			tries = host.IntN(2)
		case host.mood == 6: // everything fails
			failed, mean = tries, 0
		case host.mood == 8: // late answers of backends that have little to do
			mean = 450_000 + host.Int64N(300_000)
		case host.mood == 7: // nearly nothing waits, and more comes
			mean = 300_000 + host.Int64N(200_000)
		}
		load := BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}
		if host.testCase.loads {
			load = BackendLoad{CPUUtilization: host.Float64(), QueueLength: 2 * host.Float64(), ServiceTime: float64(mean) * host.Float64()}
			if host.mood == 8 {
				load = BackendLoad{CPUUtilization: 0.7 + 0.2*host.Float64(), QueueLength: host.Float64(), ServiceTime: float64(mean) * (0.6 + 0.1*host.Float64())}
			}
		}
		host.record("> outcomes %d %d %d %d %d [%v %v %v]", i, tries, failed, mean, span, load.CPUUtilization, load.QueueLength, load.ServiceTime)
		host.controller.OutcomesReported(OutcomeReport{Backend: i, Attempts: tries, Failures: failed, MeanAnswerTime: mean, Span: span, Load: load})
	}
	for proxy, joined := range host.joined {
		for class := range host.settings.classes {
			n := host.IntN(30)
			if host.mood == 1 || host.mood == 7 {
				n *= 3
			}
			n = n * int(span/second)
			if joined && host.IntN(8) > 0 {
				host.record("> demand %d %d %d %d", proxy, class, n, span)
				host.controller.DemandReported(proxy, class, n, span)
			}
		}
	}
	for id := range host.settings.sharding.Count {
		n, class := host.IntN(20), host.IntN(len(host.settings.classes))
		host.record("> slice demand %d %d %d", id, class, n)
		host.controller.ShardDemandReported(id, class, n, span)
	}
}

// change is one change of the list by chance.
func (host *transcriptHost) change() {
	var entries []Endpoint
	for range 1 + host.IntN(3) {
		i := host.IntN(len(host.listed))
		if host.IntN(12) == 0 && len(host.listed) < host.testCase.backends+6 { // one more
			i = len(host.listed)
			host.listed = append(host.listed, Endpoint{Backend: i, Weight: float64(1 + host.IntN(4)), Zone: i % 3 % 2, StartedAt: host.now})
		}
		e := &host.listed[i]
		switch host.IntN(6) {
		case 0:
			e.State = Removed
		case 1:
			e.State, e.DrainingSince = Draining, 0
			if host.IntN(2) == 0 {
				e.DrainingSince = host.now - host.Int64N(2*second)
			}
		case 2:
			e.State, e.StartedAt = Ready, host.now-host.Int64N(2*second)
		case 3:
			e.Weight = float64(host.IntN(5))
		default:
			e.State = Ready
		}
		entries = append(entries, *e)
	}
	if host.IntN(10) == 0 { // a complete list, that may leave some out
		entries = nil
		for _, e := range host.listed {
			if host.IntN(15) > 0 && e.State != Removed {
				entries = append(entries, e)
			}
		}
		host.list(true, entries)
		return
	}
	host.list(false, entries)
}

// leaveOnly drains all but those below a number.
func (host *transcriptHost) leaveOnly(below int) {
	for i := range host.listed {
		if host.listed[i].State = Ready; i >= below {
			host.listed[i].State = Draining
		}
	}
	host.list(false, slices.Clone(host.listed))
}

// shuffle is any other call by chance.
func (host *transcriptHost) shuffle() {
	proxy, backend, class := host.IntN(host.testCase.proxies), host.IntN(len(host.listed)), host.IntN(len(host.settings.classes))
	switch host.IntN(16) {
	case 0, 1, 2:
		if host.joined[proxy] {
			host.disconnect(proxy)
		} else {
			host.connect(proxy)
		}
	case 3:
		for i := range host.joined { // many at once
			if !host.joined[i] || host.IntN(3) == 0 {
				host.connect(i)
			}
		}
	case 4, 5:
		tries := host.IntN(9)
		failed, mean, wait := tries-tries*host.IntN(2), host.Int64N(900_000), host.Int64N(40*second)
		host.record("> peer outcomes %d %d %d %d %d", backend, tries, failed, mean, wait)
		host.controller.PeerOutcomesReported(backend, tries, failed, mean, wait)
	case 6:
		messages := host.IntN(5)
		host.record("> spent %d %d", proxy, messages)
		host.controller.MessagesSentByPeers(proxy, messages)
	case 7:
		rates := make([]float64, len(host.settings.classes))
		for i := range rates {
			rates[i] = 30 * host.Float64()
		}
		if host.joined[proxy] {
			host.record("> demands %d %v", proxy, rates)
			host.controller.SeedDemand(proxy, rates)
		}
	case 8:
		proven, able := host.Float64()/2, host.Float64()/2
		host.record("> capacity %v %v", proven, able)
		host.controller.SeedThroughput(proven, able)
	case 9:
		quota := float64(host.IntN(2)) * 200 * host.Float64()
		host.record("> quota %d %v", class, quota)
		host.controller.SetClassQuota(class, quota)
	case 10, 11:
		if backend >= host.known {
			return
		}
		forgotten := host.controller.ForgetBackend(backend)
		host.record("> forget %d = %v", backend, forgotten)
		if forgotten {
			host.listed[backend].State, host.listed[backend].StartedAt = Removed, 0
		}
	case 12:
		outcome := HealthCheckResult(host.IntN(7))
		host.record("> probed %d %d", backend, outcome)
		host.controller.HealthCheckCompleted(backend, outcome)
	case 13:
		host.record("> list failed")
		host.controller.EndpointPollFailed()
	case 14:
		host.record("> stray timer")
		host.controller.TimerFired(99)
	case 15:
		host.slice()
	}
}

func (host *transcriptHost) slice() {
	if host.settings.sharding.Count == 0 {
		return
	}
	switch id, backend := host.IntN(host.settings.sharding.Count), host.IntN(len(host.listed)); host.IntN(4) {
	case 0:
		host.record("> slice taken %d", id)
		host.controller.ShardRevoked(id)
	case 1:
		host.record("> slice entry %d %d", id, backend)
		host.controller.ShardOwnerStored(id, backend, float64(host.IntN(2)))
	default:
		host.record("> slice given %d", id)
		host.controller.ShardAssigned(id)
		host.record("> slice entry %d %d", id, backend)
		host.controller.ShardOwnerStored(id, backend, 1)
	}
}

// returned keeps what the controller says of itself.
func (host *transcriptHost) returned() {
	for i := range len(host.listed) + 1 {
		tries, failed, wait, away := host.controller.Ejection(i)
		host.record("= ejected %d %d %d %d %v", i, tries, failed, wait, away)
	}
	proven, able := host.controller.Throughput()
	host.record("= capacity %v %v", proven, able)
	host.record("= delay %d", host.controller.QueueDelay())
}

// step lets a moment pass.
func (host *transcriptHost) step(i int) {
	host.now += 40_000 + host.Int64N(20_000)
	for _, timer := range slices.Clone(host.timers) {
		if timer.at <= host.now {
			host.timers = slices.DeleteFunc(host.timers, func(t transcriptTimer) bool { return t == timer })
			host.record("> timer %d", timer.tag)
			host.controller.TimerFired(timer.tag)
		}
	}
	host.now += host.Int64N(3)
	for len(host.due) > 0 && host.due[0] <= host.now {
		number := host.requests[0]
		host.requests, host.due = host.requests[1:], host.due[1:]
		for proxy, joined := range host.joined {
			if joined && host.IntN(25) > 0 {
				host.record("> acknowledged %d %d", proxy, number)
				host.controller.Acknowledged(proxy, number)
			}
		}
	}
	every := int(max(host.testCase.span/4, host.settings.telemetry.ReportInterval) / second * 20)
	if i%every == every-1 {
		host.outcomes()
	}
	if i%400 == 399 {
		host.mood, host.few = host.IntN(9), 1+host.IntN(max(1, host.testCase.backends/3))
		host.record("mood %d %d", host.mood, host.few)
	}
	if host.mood == 2 && i%400 == 200 && host.testCase.backends < 10 {
		host.leaveOnly(host.few)
	}
	if host.IntN(70) == 0 {
		host.change()
	}
	if host.IntN(30) == 0 {
		host.shuffle()
	}
	if i%200 == 150 {
		host.returned()
	}
}
