package balancer

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"wheelrill/internal/golden"
)

// The transcript test makes seeded sequences of calls, of all exported methods and under many
// settings. It records each call, each effect ordered from the host with its time, and each
// returned value. Golden files hold the first lines of each case, and a hash of each further chunk
// of lines. Log texts are excluded.
//
//	go test -run TestTranscript -update                        rewrites the golden files; never in CI
//	go test -run TestTranscript -write-transcripts=DIRECTORY   writes full transcripts, for line-by-line diffs

var writeTranscripts = flag.String("write-transcripts", "", "write complete transcripts into this `directory`")

const (
	transcriptHead  = 250  // number of lines at the start of a transcript that a golden file holds in full
	transcriptChunk = 1000 // number of further lines that one hash in a golden file covers
	logMarker       = "# log "
)

// transcriptCase is one seeded sequence of calls with its settings.
type transcriptCase struct {
	name              string
	backends, proxies int
	seconds           int
	reportSpan        int64 // time that a report line covers, in microseconds
	loads             bool  // the backends report their load
	noSyncMessage     bool  // the host does not support Host.SyncWithdrawals
	change            func(settings *testSettings)
}

func transcriptCases() []transcriptCase {
	threeClasses := []Class{
		{LatencyObjective: 1500_000, Deadline: 4 * second, PriorityWeight: 1, ZoneLocal: true},
		{LatencyObjective: 800_000, Deadline: 2 * second, PriorityWeight: 3, Writes: true, ZoneLocal: true},
		{LatencyObjective: 300_000, Deadline: second, PriorityWeight: 2, ZoneLocal: true},
	}
	sharded := func(singleOwner bool, mode AdmissionMode) func(*testSettings) {
		return func(settings *testSettings) {
			settings.sharding = Sharding{Count: 6, SingleOwner: singleOwner, WriteLease: 2500_000, SettleTime: 2 * second}
			settings.mode = mode
		}
	}
	return []transcriptCase{
		{name: "rate", backends: 12, proxies: 5},
		{name: "rate-loads", backends: 12, proxies: 5, loads: true},
		{name: "share", backends: 10, proxies: 4, change: func(settings *testSettings) { settings.mode = AdmissionByShare }},
		{name: "none", backends: 8, proxies: 4, change: func(settings *testSettings) {
			settings.mode = AdmissionUnsupported
		}},
		{name: "own-zone", backends: 12, proxies: 6, change: func(settings *testSettings) {
			settings.classes[1].ZoneLocal = true
		}},
		{name: "all-own-zone", backends: 9, proxies: 6, loads: true, change: func(settings *testSettings) {
			settings.classes = threeClasses
		}},
		{name: "subsets", backends: 30, proxies: 24, seconds: 150, change: func(settings *testSettings) {
			settings.channel.MinBackendConnections, settings.channel.Proxies = 8, 24
		}},
		{name: "subsets-own-zone", backends: 26, proxies: 20, seconds: 150, change: func(settings *testSettings) {
			settings.channel.MinBackendConnections, settings.channel.Proxies, settings.classes[1].ZoneLocal = 8, 24, true
		}},
		{name: "subsets-by-channel", backends: 40, proxies: 20, seconds: 150, change: func(settings *testSettings) {
			settings.channel.Proxies, settings.channel.LinesPerSecond = 20, 200
		}},
		{name: "subsets-by-both", backends: 60, proxies: 30, seconds: 100, change: func(settings *testSettings) {
			settings.channel.MinBackendConnections, settings.channel.Proxies, settings.channel.LinesPerSecond = 30, 60, 700
		}},
		{name: "few-left", backends: 4, proxies: 3, loads: true},
		{name: "tight-channel", backends: 20, proxies: 12, seconds: 200, change: func(settings *testSettings) {
			settings.channel.LinesPerSecond, settings.channel.Backlog = 120, 150
		}},
		{name: "tight-messages", backends: 12, proxies: 8, change: func(settings *testSettings) {
			settings.channel.MaxMessages, settings.channel.MessageWindow = 8, 10*second
		}},
		{name: "unlimited-messages", backends: 12, proxies: 8, noSyncMessage: true, change: func(settings *testSettings) {
			settings.channel.MaxMessages, settings.channel.MessageWindow, settings.channel.LimitLines = 0, 0, 2
		}},
		{name: "slices-single-share", backends: 8, proxies: 4, change: sharded(true, AdmissionByShare)},
		{name: "slices-single-none", backends: 8, proxies: 4, change: sharded(true, AdmissionUnsupported)},
		{name: "slices-many", backends: 8, proxies: 4, change: sharded(false, AdmissionByRate)},
		{name: "only-draining-binds", backends: 12, proxies: 5, change: func(settings *testSettings) {
			settings.limits.OnlyDrainingMustLeave = true
		}},
		{name: "live-weights", backends: 12, proxies: 5, loads: true, change: func(settings *testSettings) {
			settings.telemetry.LoadDependentWeights = true
		}},
		{name: "probes", backends: 12, proxies: 5, change: func(settings *testSettings) {
			settings.telemetry.HealthChecksAllowed = true
		}},
		{name: "asks", backends: 12, proxies: 5, change: func(settings *testSettings) {
			settings.telemetry.PollingRequired, settings.telemetry.MaxPollInterval = true, 10*second
		}},
		{name: "old-news", backends: 12, proxies: 6, reportSpan: 12 * second, change: func(settings *testSettings) {
			settings.limits.DrainGrace = 6 * second
		}},
		{name: "slow-reports", backends: 12, proxies: 6, reportSpan: 2 * second, change: func(settings *testSettings) {
			settings.telemetry.ReportInterval, settings.channel.Proxies = 2*second, 30
		}},
		{name: "shared-proxies", backends: 12, proxies: 8, change: func(settings *testSettings) {
			settings.channel.MaxMessages, settings.channel.MessageWindow = 8, 10*second
			settings.channel.SharedProxies = true
		}},
	}
}

// play runs the case with a random seed that depends on its number, and returns the transcript.
func (testCase transcriptCase) play(t *testing.T, number int) []string {
	settings := defaultSettings()
	if testCase.change != nil {
		testCase.change(&settings)
	}
	host := &transcriptHost{Rand: rand.New(rand.NewPCG(uint64(number)+1, 35)),
		testCase: testCase, settings: settings, now: 100 * second,
		connected: make([]bool, testCase.proxies), affected: 1}
	host.controller = newController(t, host, settings)
	for i := range testCase.backends {
		host.endpoints = append(host.endpoints, Endpoint{Backend: i, State: Ready, Weight: float64(1 + i%3), Zone: i % 3 % 2})
	}
	for id := range settings.sharding.Count {
		host.record("> slice given %d", id)
		host.controller.ShardAssigned(id)
		host.record("> slice entry %d %d", id, id%testCase.backends)
		host.controller.ShardOwnerStored(id, id%testCase.backends, 1)
	}
	host.connect(0)
	host.updateEndpoints(true, slices.Clone(host.endpoints))
	for proxy := 1; proxy < testCase.proxies; proxy++ {
		host.connect(proxy)
	}
	seconds := testCase.seconds
	if seconds == 0 {
		seconds = 300
	}
	for i := range 20 * seconds {
		host.step(i)
	}
	return host.lines
}

// summary returns the first lines of a transcript, without log lines, and a hash of each further
// chunk.
func summary(lines []string) string {
	lines = slices.DeleteFunc(slices.Clone(lines), func(line string) bool { return strings.HasPrefix(line, logMarker) })
	var text strings.Builder
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
	return text.String()
}

func TestTranscript(t *testing.T) {
	for number, testCase := range transcriptCases() {
		t.Run(testCase.name, func(t *testing.T) {
			lines := testCase.play(t, number)
			if *writeTranscripts != "" {
				path := filepath.Join(*writeTranscripts, testCase.name+".txt")
				if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			golden.Compare(t, filepath.Join("transcript", testCase.name+".txt"), summary(lines))
		})
	}
}
