package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// transcriptHost is the host of the controller in one transcriptCase, and makes the calls of the
// case.
type transcriptHost struct {
	*rand.Rand
	controller    *Controller
	testCase      transcriptCase
	settings      testSettings
	now           int64
	lines         []string
	timers        []transcriptTimer
	requestedAcks []int   // batch numbers of acks that were requested and not yet given
	ackTimes      []int64 // times at which the acks of requestedAcks are given, in microseconds
	connected     []bool
	endpoints     []Endpoint
	listedCount   int // number of backends that have been listed; their indices are the lowest ones
	condition     int // number of the condition of the fleet, see reportAll
	affected      int // number of backends that conditions 2 to 4 affect; their indices are the lowest ones
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
func (host *transcriptHost) Withdraw(backend int, withdrawn bool) {
	host.record("withdraw %d %v", backend, withdrawn)
}
func (host *transcriptHost) SyncWithdrawals(proxy int, limit float64, retry RetryPolicy) bool {
	host.record("sync %d %v %d", proxy, limit, retry)
	return !host.testCase.noSyncMessage
}
func (host *transcriptHost) ClearWithdrawals(proxy int) { host.record("clear %d", proxy) }
func (host *transcriptHost) HoldMessages(proxy int)     { host.record("hold %d", proxy) }
func (host *transcriptHost) ResumeMessages(proxy int)   { host.record("resume %d", proxy) }
func (host *transcriptHost) SetAdmissionLimit(table int, classes uint16, limit float64, retry RetryPolicy) {
	host.record("limit %d %d %v %d", table, classes, limit, retry)
}
func (host *transcriptHost) RequestAck(number int, allConnected bool) {
	host.record("request %d %v", number, allConnected)
	host.requestedAcks = append(host.requestedAcks, number)
	host.ackTimes = append(host.ackTimes, host.now+300_000+host.Int64N(900_000))
}

// updateEndpoints records and makes a call of EndpointsUpdated.
func (host *transcriptHost) updateEndpoints(complete bool, entries []Endpoint) {
	var text strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&text, " [%d %d %d %v %d %d]", e.Backend, e.State, e.StartedAt, e.Weight, e.Zone, e.DrainingSince)
		host.listedCount = max(host.listedCount, e.Backend+1)
	}
	host.record("> endpoints %v%s", complete, text.String())
	host.controller.EndpointsUpdated(complete, entries)
}

func (host *transcriptHost) connect(proxy int) {
	baseline, mayHold := float64(1+host.IntN(40)), host.IntN(2) == 0
	host.record("> connect %d %d %v %v", proxy, proxy%2, baseline, mayHold)
	host.connected[proxy] = true
	host.controller.ProxyConnected(proxy, proxy%2, baseline, mayHold)
}

func (host *transcriptHost) disconnect(proxy int) {
	host.record("> disconnect %d", proxy)
	host.connected[proxy] = false
	host.controller.ProxyDisconnected(proxy)
}

// reportAll reports outcomes at each backend, and demand at each proxy and shard, according to the
// condition of the fleet.
func (host *transcriptHost) reportAll() {
	span := max(host.testCase.reportSpan, host.settings.telemetry.ReportInterval)
	for i := range host.endpoints {
		attempts, failures, mean := host.IntN(14), 0, 150_000+host.Int64N(120_000)
		isAffected := i < host.affected
		switch {
		case host.condition == 1: // all backends answer late, and fail a tenth of their attempts
			failures, mean = attempts/10, 700_000+host.Int64N(500_000)
		case host.condition == 2 && isAffected: // all attempts at the affected backends fail
			failures, mean = attempts, 0
		case host.condition == 3 && isAffected: // affected backends answer late, and fail a quarter of their attempts
			failures, mean = attempts/4, 1200_000+host.Int64N(800_000)
		case host.condition == 4 && isAffected: // affected backends answer fast, but fail three quarters of attempts
			failures = attempts * 3 / 4
		case host.condition == 5: // at most one attempt at each backend
			attempts = host.IntN(2)
		case host.condition == 6: // all attempts at all backends fail
			failures, mean = attempts, 0
		case host.condition == 8: // all backends answer late, although they are lightly loaded
			mean = 450_000 + host.Int64N(300_000)
		case host.condition == 7: // short queues at all backends, and high demand
			mean = 300_000 + host.Int64N(200_000)
		}
		load := BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}
		if host.testCase.loads {
			load = BackendLoad{CPUUtilization: host.Float64(), QueueLength: 2 * host.Float64(),
				ServiceTime: float64(mean) * host.Float64()}
			if host.condition == 8 {
				load = BackendLoad{CPUUtilization: 0.7 + 0.2*host.Float64(), QueueLength: host.Float64(),
					ServiceTime: float64(mean) * (0.6 + 0.1*host.Float64())}
			}
		}
		host.record("> outcomes %d %d %d %d %d [%v %v %v]", i, attempts, failures, mean, span,
			load.CPUUtilization, load.QueueLength, load.ServiceTime)
		host.controller.OutcomesReported(OutcomeReport{Backend: i, Attempts: attempts, Failures: failures,
			MeanAnswerTime: mean, Span: span, Load: load})
	}
	for proxy, isConnected := range host.connected {
		for class := range host.settings.classes {
			n := host.IntN(30)
			if host.condition == 1 || host.condition == 7 {
				n *= 3
			}
			n = n * int(span/second)
			if isConnected && host.IntN(8) > 0 {
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

// changeRandomEndpoints makes random changes to the endpoint list.
func (host *transcriptHost) changeRandomEndpoints() {
	var entries []Endpoint
	for range 1 + host.IntN(3) {
		i := host.IntN(len(host.endpoints))
		if host.IntN(12) == 0 && len(host.endpoints) < host.testCase.backends+6 { // add a new backend
			i = len(host.endpoints)
			host.endpoints = append(host.endpoints,
				Endpoint{Backend: i, Weight: float64(1 + host.IntN(4)), Zone: i % 3 % 2, StartedAt: host.now})
		}
		e := &host.endpoints[i]
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
	if host.IntN(10) == 0 { // a complete list that may omit some backends
		entries = nil
		for _, e := range host.endpoints {
			if host.IntN(15) > 0 && e.State != Removed {
				entries = append(entries, e)
			}
		}
		host.updateEndpoints(true, entries)
		return
	}
	host.updateEndpoints(false, entries)
}

// drainAllBut lists the backends below an index as ready, and all others as draining.
func (host *transcriptHost) drainAllBut(below int) {
	for i := range host.endpoints {
		if host.endpoints[i].State = Ready; i >= below {
			host.endpoints[i].State = Draining
		}
	}
	host.updateEndpoints(false, slices.Clone(host.endpoints))
}

// makeRandomCall makes a random call of one of the Controller methods that reportAll and
// changeRandomEndpoints do not call.
func (host *transcriptHost) makeRandomCall() {
	proxy, backend := host.IntN(host.testCase.proxies), host.IntN(len(host.endpoints))
	class := host.IntN(len(host.settings.classes))
	switch host.IntN(16) {
	case 0, 1, 2:
		if host.connected[proxy] {
			host.disconnect(proxy)
		} else {
			host.connect(proxy)
		}
	case 3:
		for i := range host.connected { // connect many proxies at once
			if !host.connected[i] || host.IntN(3) == 0 {
				host.connect(i)
			}
		}
	case 4, 5:
		attempts := host.IntN(9)
		failures, mean, backoff := attempts-attempts*host.IntN(2), host.Int64N(900_000), host.Int64N(40*second)
		host.record("> peer outcomes %d %d %d %d %d", backend, attempts, failures, mean, backoff)
		host.controller.PeerOutcomesReported(backend, attempts, failures, mean, backoff)
	case 6:
		at := host.now - host.Int64N(5)*second/4
		host.record("> peers until %d %d", proxy, at)
		host.controller.PeersMaySendUntil(proxy, at)
	case 7:
		rates := make([]float64, len(host.settings.classes))
		for i := range rates {
			rates[i] = 30 * host.Float64()
		}
		if host.connected[proxy] {
			host.record("> demands %d %v", proxy, rates)
			host.controller.SeedDemand(proxy, rates)
		}
	case 8:
		proven, saturated := host.Float64()/2, host.Float64()/2
		host.record("> capacity %v %v", proven, saturated)
		host.controller.SeedThroughput(proven, saturated)
	case 9:
		quota := float64(host.IntN(2)) * 200 * host.Float64()
		host.record("> quota %d %v", class, quota)
		host.controller.SetClassQuota(class, quota)
	case 10, 11:
		if backend >= host.listedCount {
			return
		}
		forgotten := host.controller.ForgetBackend(backend)
		host.record("> forget %d = %v", backend, forgotten)
		if forgotten {
			host.endpoints[backend].State, host.endpoints[backend].StartedAt = Removed, 0
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
		host.makeRandomShardCall()
	}
}

// makeRandomShardCall makes a random call about a shard.
func (host *transcriptHost) makeRandomShardCall() {
	if host.settings.sharding.Count == 0 {
		return
	}
	switch id, backend := host.IntN(host.settings.sharding.Count), host.IntN(len(host.endpoints)); host.IntN(4) {
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

// recordReturnValues records the values that the controller's query methods return.
func (host *transcriptHost) recordReturnValues() {
	for i := range len(host.endpoints) + 1 {
		attempts, failures, backoff, ejected := host.controller.Ejection(i)
		host.record("= ejected %d %d %d %d %v", i, attempts, failures, backoff, ejected)
	}
	proven, saturated := host.controller.Throughput()
	host.record("= capacity %v %v", proven, saturated)
	host.record("= delay %d", host.controller.QueueDelay())
}

// step advances the clock by 40 to 60 ms, and makes the calls that are due.
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
	for len(host.ackTimes) > 0 && host.ackTimes[0] <= host.now {
		number := host.requestedAcks[0]
		host.requestedAcks, host.ackTimes = host.requestedAcks[1:], host.ackTimes[1:]
		for proxy, isConnected := range host.connected {
			if isConnected && host.IntN(25) > 0 {
				host.record("> acknowledged %d %d", proxy, number)
				host.controller.Acknowledged(proxy, number)
			}
		}
	}
	every := int(max(host.testCase.reportSpan/4, host.settings.telemetry.ReportInterval) / second * 20)
	if i%every == every-1 {
		host.reportAll()
	}
	if i%400 == 399 {
		host.condition, host.affected = host.IntN(9), 1+host.IntN(max(1, host.testCase.backends/3))
		host.record("mood %d %d", host.condition, host.affected)
	}
	if host.condition == 2 && i%400 == 200 && host.testCase.backends < 10 {
		host.drainAllBut(host.affected)
	}
	if host.IntN(70) == 0 {
		host.changeRandomEndpoints()
	}
	if host.IntN(30) == 0 {
		host.makeRandomCall()
	}
	if i%200 == 150 {
		host.recordReturnValues()
	}
}
