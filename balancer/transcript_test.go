package balancer

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The transcript plays seeded sequences of calls, of every exported method and under many settings, and keeps every
// call, every effect asked of the host with the clock, and every returned value. Golden files hold the first lines of
// each case and a hash of each chunk of the rest. Log texts are left out.
//
//	go test -run TestTranscript -update-transcripts            renews the golden files; never in CI
//	go test -run TestTranscript -write-transcripts=DIRECTORY   writes complete transcripts, to be compared line by line
var (
	updateTranscripts = flag.Bool("update-transcripts", false, "renew the golden transcripts")
	writeTranscripts  = flag.String("write-transcripts", "", "write complete transcripts into this `directory`")
)

const (
	transcriptHead  = 250  // lines that a golden file shows
	transcriptChunk = 1000 // lines that share a hash after them
	logMarker       = "# log "
)

// transcriptCase is one seeded sequence under one setting.
type transcriptCase struct {
	name              string
	backends, proxies int
	seconds           int
	span              int64 // what a report line covers
	loads             bool  // backends report how busy they are
	mute              bool  // the host cannot tell withdrawals to a proxy
	change            func(x *testSettings)
}

func transcriptCases() []transcriptCase {
	threeClasses := []Class{
		{LatencyObjective: 1500_000, Deadline: 4 * second, PriorityWeight: 1, ZoneLocal: true},
		{LatencyObjective: 800_000, Deadline: 2 * second, PriorityWeight: 3, Writes: true, ZoneLocal: true},
		{LatencyObjective: 300_000, Deadline: second, PriorityWeight: 2, ZoneLocal: true},
	}
	sliced := func(single bool, admit AdmissionMode) func(*testSettings) {
		return func(x *testSettings) {
			x.sharding = Sharding{Count: 6, SingleOwner: single, WriteLease: 2500_000, SettleTime: 2 * second}
			x.mode = admit
		}
	}
	return []transcriptCase{
		{name: "rate", backends: 12, proxies: 5},
		{name: "rate-loads", backends: 12, proxies: 5, loads: true},
		{name: "share", backends: 10, proxies: 4, change: func(x *testSettings) { x.mode = AdmissionByShare }},
		{name: "none", backends: 8, proxies: 4, change: func(x *testSettings) { x.mode = AdmissionUnsupported }},
		{name: "own-zone", backends: 12, proxies: 6, change: func(x *testSettings) { x.classes[1].ZoneLocal = true }},
		{name: "all-own-zone", backends: 9, proxies: 6, loads: true, change: func(x *testSettings) { x.classes = threeClasses }},
		{name: "subsets", backends: 30, proxies: 24, seconds: 150, change: func(x *testSettings) {
			x.channel.MinBackendConnections, x.channel.Proxies = 8, 24
		}},
		{name: "subsets-own-zone", backends: 26, proxies: 20, seconds: 150, change: func(x *testSettings) {
			x.channel.MinBackendConnections, x.channel.Proxies, x.classes[1].ZoneLocal = 8, 24, true
		}},
		{name: "subsets-by-channel", backends: 40, proxies: 20, seconds: 150, change: func(x *testSettings) {
			x.channel.Proxies, x.channel.LinesPerSecond = 20, 200
		}},
		{name: "subsets-by-both", backends: 60, proxies: 30, seconds: 100, change: func(x *testSettings) {
			x.channel.MinBackendConnections, x.channel.Proxies, x.channel.LinesPerSecond = 30, 60, 700
		}},
		{name: "few-left", backends: 4, proxies: 3, loads: true},
		{name: "tight-channel", backends: 20, proxies: 12, seconds: 200, change: func(x *testSettings) {
			x.channel.LinesPerSecond, x.channel.Backlog = 120, 150
		}},
		{name: "tight-messages", backends: 12, proxies: 8, change: func(x *testSettings) {
			x.channel.MaxMessages, x.channel.MessageWindow = 8, 10*second
		}},
		{name: "unlimited-messages", backends: 12, proxies: 8, mute: true, change: func(x *testSettings) {
			x.channel.MaxMessages, x.channel.MessageWindow, x.channel.LimitLines = 0, 0, 2
		}},
		{name: "slices-single-share", backends: 8, proxies: 4, change: sliced(true, AdmissionByShare)},
		{name: "slices-single-none", backends: 8, proxies: 4, change: sliced(true, AdmissionUnsupported)},
		{name: "slices-many", backends: 8, proxies: 4, change: sliced(false, AdmissionByRate)},
		{name: "only-draining-binds", backends: 12, proxies: 5, change: func(x *testSettings) { x.limits.OnlyDrainingMustLeave = true }},
		{name: "live-weights", backends: 12, proxies: 5, loads: true, change: func(x *testSettings) { x.telemetry.LoadDependentWeights = true }},
		{name: "probes", backends: 12, proxies: 5, change: func(x *testSettings) { x.telemetry.HealthChecksAllowed = true }},
		{name: "asks", backends: 12, proxies: 5, change: func(x *testSettings) {
			x.telemetry.PollingRequired, x.telemetry.MaxPollInterval = true, 10*second
		}},
		{name: "old-news", backends: 12, proxies: 6, span: 12 * second, change: func(x *testSettings) { x.limits.DrainGrace = 6 * second }},
		{name: "slow-reports", backends: 12, proxies: 6, span: 2 * second, change: func(x *testSettings) {
			x.telemetry.ReportInterval, x.channel.Proxies = 2*second, 30
		}},
	}
}

// transcript is the host, and the driver, of one case.
type transcriptHost struct {
	*rand.Rand
	c        *Controller
	of       transcriptCase
	x        testSettings
	now      int64
	lines    []string
	timers   []transcriptTimer
	requests []int // numbers of acknowledgements asked for and not yet given, with their times in due
	due      []int64
	joined   []bool
	listed   []Endpoint
	known    int // backends that the controller was told of
	mood     int // how the fleet does just now
	few      int // backends below this number are those that differ
}

type transcriptTimer struct {
	at  int64
	tag uint64
}

func (r *transcriptHost) record(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%d ", r.now)+fmt.Sprintf(format, args...))
}

func (r *transcriptHost) Now() int64 { return r.now }
func (r *transcriptHost) SetTimer(wait int64, tag uint64) {
	r.timers = append(r.timers, transcriptTimer{r.now + wait, tag})
	r.record("timer %d %d", wait, tag)
}
func (r *transcriptHost) Log(backend int, line string) {
	r.lines = append(r.lines, fmt.Sprint(logMarker, r.now, " ", backend, " ", line))
}
func (r *transcriptHost) PollEndpoints()          { r.record("poll") }
func (r *transcriptHost) CheckHealth(backend int) { r.record("probe %d", backend) }
func (r *transcriptHost) PublishEntry(table, backend int, weight float64) {
	r.record("entry %d %d %v", table, backend, weight)
}
func (r *transcriptHost) AssignTable(table, proxy int, classes uint16) {
	r.record("bind %d %d %d", table, proxy, classes)
}
func (r *transcriptHost) Withdraw(backend int, out bool) { r.record("withdraw %d %v", backend, out) }
func (r *transcriptHost) SyncWithdrawals(proxy int, allowance float64, tries RetryPolicy) bool {
	r.record("sync %d %v %d", proxy, allowance, tries)
	return !r.of.mute
}
func (r *transcriptHost) ClearWithdrawals(proxy int) { r.record("clear %d", proxy) }
func (r *transcriptHost) SetAdmissionLimit(table int, classes uint16, allowance float64, tries RetryPolicy) {
	r.record("limit %d %d %v %d", table, classes, allowance, tries)
}
func (r *transcriptHost) RequestAck(number int, everyone bool) {
	r.record("request %d %v", number, everyone)
	r.requests, r.due = append(r.requests, number), append(r.due, r.now+300_000+r.Int64N(900_000))
}

// list tells of endpoints.
func (r *transcriptHost) list(full bool, entries []Endpoint) {
	var text strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&text, " [%d %d %d %v %d %d]", e.Backend, e.State, e.StartedAt, e.Weight, e.Zone, e.DrainingSince)
		r.known = max(r.known, e.Backend+1)
	}
	r.record("> endpoints %v%s", full, text.String())
	r.c.EndpointsUpdated(full, entries)
}

func (r *transcriptHost) connect(proxy int) {
	usual, keeps := float64(1+r.IntN(40)), r.IntN(2) == 0
	r.record("> connect %d %d %v %v", proxy, proxy%2, usual, keeps)
	r.joined[proxy] = true
	r.c.ProxyConnected(proxy, proxy%2, usual, keeps)
}

func (r *transcriptHost) disconnect(proxy int) {
	r.record("> disconnect %d", proxy)
	r.joined[proxy] = false
	r.c.ProxyDisconnected(proxy)
}

// outcomes reports what was met at each backend, and what came to each proxy, as the mood has it.
func (r *transcriptHost) outcomes() {
	span := max(r.of.span, r.x.telemetry.ReportInterval)
	for i := range r.listed {
		tries, failed, mean := r.IntN(14), 0, 150_000+r.Int64N(120_000)
		differs := i < r.few
		switch {
		case r.mood == 1: // a jam
			failed, mean = tries/10, 700_000+r.Int64N(500_000)
		case r.mood == 2 && differs: // some are dead
			failed, mean = tries, 0
		case r.mood == 3 && differs: // some are slow
			failed, mean = tries/4, 1200_000+r.Int64N(800_000)
		case r.mood == 4 && differs: // some fail fast
			failed = tries * 3 / 4
		case r.mood == 5: // thin news
			tries = r.IntN(2)
		case r.mood == 6: // everything fails
			failed, mean = tries, 0
		case r.mood == 8: // late answers of backends that have little to do
			mean = 450_000 + r.Int64N(300_000)
		case r.mood == 7: // nearly nothing waits, and more comes
			mean = 300_000 + r.Int64N(200_000)
		}
		load := BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}
		if r.of.loads {
			load = BackendLoad{CPUUtilization: r.Float64(), QueueLength: 2 * r.Float64(), ServiceTime: float64(mean) * r.Float64()}
			if r.mood == 8 {
				load = BackendLoad{CPUUtilization: 0.7 + 0.2*r.Float64(), QueueLength: r.Float64(), ServiceTime: float64(mean) * (0.6 + 0.1*r.Float64())}
			}
		}
		r.record("> outcomes %d %d %d %d %d [%v %v %v]", i, tries, failed, mean, span, load.CPUUtilization, load.QueueLength, load.ServiceTime)
		r.c.OutcomesReported(i, tries, failed, mean, span, load)
	}
	for proxy, joined := range r.joined {
		for class := range r.x.classes {
			n := r.IntN(30)
			if r.mood == 1 || r.mood == 7 {
				n *= 3
			}
			n = n * int(span/second)
			if joined && r.IntN(8) > 0 {
				r.record("> demand %d %d %d %d", proxy, class, n, span)
				r.c.DemandReported(proxy, class, n, span)
			}
		}
	}
	for id := range r.x.sharding.Count {
		n, class := r.IntN(20), r.IntN(len(r.x.classes))
		r.record("> slice demand %d %d %d", id, class, n)
		r.c.ShardDemandReported(id, class, n, span)
	}
}

// change is one change of the list by chance.
func (r *transcriptHost) change() {
	var entries []Endpoint
	for range 1 + r.IntN(3) {
		i := r.IntN(len(r.listed))
		if r.IntN(12) == 0 && len(r.listed) < r.of.backends+6 { // one more
			i = len(r.listed)
			r.listed = append(r.listed, Endpoint{Backend: i, Weight: float64(1 + r.IntN(4)), Zone: i % 3 % 2, StartedAt: r.now})
		}
		e := &r.listed[i]
		switch r.IntN(6) {
		case 0:
			e.State = Removed
		case 1:
			e.State, e.DrainingSince = Draining, 0
			if r.IntN(2) == 0 {
				e.DrainingSince = r.now - r.Int64N(2*second)
			}
		case 2:
			e.State, e.StartedAt = Ready, r.now-r.Int64N(2*second)
		case 3:
			e.Weight = float64(r.IntN(5))
		default:
			e.State = Ready
		}
		entries = append(entries, *e)
	}
	if r.IntN(10) == 0 { // a complete list, that may leave some out
		entries = nil
		for _, e := range r.listed {
			if r.IntN(15) > 0 && e.State != Removed {
				entries = append(entries, e)
			}
		}
		r.list(true, entries)
		return
	}
	r.list(false, entries)
}

// leaveOnly drains all but those below a number.
func (r *transcriptHost) leaveOnly(below int) {
	for i := range r.listed {
		if r.listed[i].State = Ready; i >= below {
			r.listed[i].State = Draining
		}
	}
	r.list(false, slices.Clone(r.listed))
}

// shuffle is any other call by chance.
func (r *transcriptHost) shuffle() {
	proxy, backend, class := r.IntN(r.of.proxies), r.IntN(len(r.listed)), r.IntN(len(r.x.classes))
	switch r.IntN(16) {
	case 0, 1, 2:
		if r.joined[proxy] {
			r.disconnect(proxy)
		} else {
			r.connect(proxy)
		}
	case 3:
		for i := range r.joined { // many at once
			if !r.joined[i] || r.IntN(3) == 0 {
				r.connect(i)
			}
		}
	case 4, 5:
		tries := r.IntN(9)
		failed, mean, wait := tries-tries*r.IntN(2), r.Int64N(900_000), r.Int64N(40*second)
		r.record("> peer outcomes %d %d %d %d %d", backend, tries, failed, mean, wait)
		r.c.PeerOutcomesReported(backend, tries, failed, mean, wait)
	case 6:
		messages := r.IntN(5)
		r.record("> spent %d %d", proxy, messages)
		r.c.MessagesSentByPeers(proxy, messages)
	case 7:
		rates := make([]float64, len(r.x.classes))
		for i := range rates {
			rates[i] = 30 * r.Float64()
		}
		if r.joined[proxy] {
			r.record("> demands %d %v", proxy, rates)
			r.c.SeedDemand(proxy, rates)
		}
	case 8:
		proven, able := r.Float64()/2, r.Float64()/2
		r.record("> capacity %v %v", proven, able)
		r.c.SeedThroughput(proven, able)
	case 9:
		quota := float64(r.IntN(2)) * 200 * r.Float64()
		r.record("> quota %d %v", class, quota)
		r.c.SetClassQuota(class, quota)
	case 10, 11:
		if backend >= r.known {
			return
		}
		forgotten := r.c.ForgetBackend(backend)
		r.record("> forget %d = %v", backend, forgotten)
		if forgotten {
			r.listed[backend].State, r.listed[backend].StartedAt = Removed, 0
		}
	case 12:
		outcome := HealthCheckResult(r.IntN(7))
		r.record("> probed %d %d", backend, outcome)
		r.c.HealthCheckCompleted(backend, outcome)
	case 13:
		r.record("> list failed")
		r.c.EndpointPollFailed()
	case 14:
		r.record("> stray timer")
		r.c.TimerFired(99)
	case 15:
		r.slice()
	}
}

func (r *transcriptHost) slice() {
	if r.x.sharding.Count == 0 {
		return
	}
	switch id, backend := r.IntN(r.x.sharding.Count), r.IntN(len(r.listed)); r.IntN(4) {
	case 0:
		r.record("> slice taken %d", id)
		r.c.ShardRevoked(id)
	case 1:
		r.record("> slice entry %d %d", id, backend)
		r.c.ShardOwnerStored(id, backend, float64(r.IntN(2)))
	default:
		r.record("> slice given %d", id)
		r.c.ShardAssigned(id)
		r.record("> slice entry %d %d", id, backend)
		r.c.ShardOwnerStored(id, backend, 1)
	}
}

// returned keeps what the controller says of itself.
func (r *transcriptHost) returned() {
	for i := range len(r.listed) + 1 {
		tries, failed, wait, away := r.c.Ejection(i)
		r.record("= ejected %d %d %d %d %v", i, tries, failed, wait, away)
	}
	proven, able := r.c.Throughput()
	r.record("= capacity %v %v", proven, able)
	r.record("= delay %d", r.c.QueueDelay())
}

// step lets a moment pass.
func (r *transcriptHost) step(i int) {
	r.now += 40_000 + r.Int64N(20_000)
	for _, timer := range slices.Clone(r.timers) {
		if timer.at <= r.now {
			r.timers = slices.DeleteFunc(r.timers, func(t transcriptTimer) bool { return t == timer })
			r.record("> timer %d", timer.tag)
			r.c.TimerFired(timer.tag)
		}
	}
	r.now += r.Int64N(3)
	for len(r.due) > 0 && r.due[0] <= r.now {
		number := r.requests[0]
		r.requests, r.due = r.requests[1:], r.due[1:]
		for proxy, joined := range r.joined {
			if joined && r.IntN(25) > 0 {
				r.record("> acknowledged %d %d", proxy, number)
				r.c.Acknowledged(proxy, number)
			}
		}
	}
	every := int(max(r.of.span/4, r.x.telemetry.ReportInterval) / second * 20)
	if i%every == every-1 {
		r.outcomes()
	}
	if i%400 == 399 {
		r.mood, r.few = r.IntN(9), 1+r.IntN(max(1, r.of.backends/3))
		r.record("mood %d %d", r.mood, r.few)
	}
	if r.mood == 2 && i%400 == 200 && r.of.backends < 10 {
		r.leaveOnly(r.few)
	}
	if r.IntN(70) == 0 {
		r.change()
	}
	if r.IntN(30) == 0 {
		r.shuffle()
	}
	if i%200 == 150 {
		r.returned()
	}
}

func (of transcriptCase) play(number int) []string {
	x := defaultSettings()
	if of.change != nil {
		of.change(&x)
	}
	r := &transcriptHost{Rand: rand.New(rand.NewPCG(uint64(number)+1, 35)), of: of, x: x, now: 100 * second,
		joined: make([]bool, of.proxies), few: 1}
	r.c = New(r, 7, x.classes, x.channel, x.limits, x.sharding, x.telemetry, x.mode)
	for i := range of.backends {
		r.listed = append(r.listed, Endpoint{Backend: i, State: Ready, Weight: float64(1 + i%3), Zone: i % 3 % 2})
	}
	for id := range x.sharding.Count {
		r.record("> slice given %d", id)
		r.c.ShardAssigned(id)
		r.record("> slice entry %d %d", id, id%of.backends)
		r.c.ShardOwnerStored(id, id%of.backends, 1)
	}
	r.connect(0)
	r.list(true, slices.Clone(r.listed))
	for proxy := 1; proxy < of.proxies; proxy++ {
		r.connect(proxy)
	}
	seconds := of.seconds
	if seconds == 0 {
		seconds = 300
	}
	for i := range 20 * seconds {
		r.step(i)
	}
	return r.lines
}

// summary is the head of a transcript without log lines, and a hash of each chunk after it.
func summary(lines []string) []byte {
	lines = slices.DeleteFunc(slices.Clone(lines), func(line string) bool { return strings.HasPrefix(line, logMarker) })
	var text bytes.Buffer
	head := min(len(lines), transcriptHead)
	for _, line := range lines[:head] {
		fmt.Fprintln(&text, line)
	}
	from := head
	for chunk := range slices.Chunk(lines[head:], transcriptChunk) {
		hash := sha256.Sum256([]byte(strings.Join(chunk, "\n")))
		fmt.Fprintf(&text, "lines %d to %d: %x\n", from+1, from+len(chunk), hash[:12])
		from += len(chunk)
	}
	return text.Bytes()
}

func TestTranscript(t *testing.T) {
	for number, of := range transcriptCases() {
		t.Run(of.name, func(t *testing.T) {
			lines := of.play(number)
			if *writeTranscripts != "" {
				path := filepath.Join(*writeTranscripts, of.name+".txt")
				if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			got, path := summary(lines), filepath.Join("testdata", "transcript", of.name+".txt")
			if *updateTranscripts {
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, got, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if bytes.Equal(got, want) {
				return
			}
			ours, theirs := bufio.NewScanner(bytes.NewReader(got)), bufio.NewScanner(bytes.NewReader(want))
			for line := 1; ; line++ {
				more, others := ours.Scan(), theirs.Scan()
				if ours.Text() != theirs.Text() || !more || !others {
					t.Fatalf("line %d of %s:\ngot  %s\nwant %s\nboth complete: -write-transcripts", line, path, ours.Text(), theirs.Text())
				}
			}
		})
	}
}
