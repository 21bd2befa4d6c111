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

// The transcript plays seeded sequences of calls, of every exported method and under many settings, and keeps every
// call, every effect asked of the host with the clock, and every returned value. Golden files hold the first lines of
// each case and a hash of each chunk of the rest. Log texts are left out.
//
//	go test -run TestTranscript -update                        renews the golden files; never in CI
//	go test -run TestTranscript -write-transcripts=DIRECTORY   writes complete transcripts, to be compared line by line

var writeTranscripts = flag.String("write-transcripts", "", "write complete transcripts into this `directory`")

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
	change            func(settings *testSettings)
}

func transcriptCases() []transcriptCase {
	threeClasses := []Class{
		{LatencyObjective: 1500_000, Deadline: 4 * second, PriorityWeight: 1, ZoneLocal: true},
		{LatencyObjective: 800_000, Deadline: 2 * second, PriorityWeight: 3, Writes: true, ZoneLocal: true},
		{LatencyObjective: 300_000, Deadline: second, PriorityWeight: 2, ZoneLocal: true},
	}
	sliced := func(single bool, admit AdmissionMode) func(*testSettings) {
		return func(settings *testSettings) {
			settings.sharding = Sharding{Count: 6, SingleOwner: single, WriteLease: 2500_000, SettleTime: 2 * second}
			settings.mode = admit
		}
	}
	return []transcriptCase{
		{name: "rate", backends: 12, proxies: 5},
		{name: "rate-loads", backends: 12, proxies: 5, loads: true},
		{name: "share", backends: 10, proxies: 4, change: func(settings *testSettings) { settings.mode = AdmissionByShare }},
		{name: "none", backends: 8, proxies: 4, change: func(settings *testSettings) { settings.mode = AdmissionUnsupported }},
		{name: "own-zone", backends: 12, proxies: 6, change: func(settings *testSettings) { settings.classes[1].ZoneLocal = true }},
		{name: "all-own-zone", backends: 9, proxies: 6, loads: true, change: func(settings *testSettings) { settings.classes = threeClasses }},
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
		{name: "unlimited-messages", backends: 12, proxies: 8, mute: true, change: func(settings *testSettings) {
			settings.channel.MaxMessages, settings.channel.MessageWindow, settings.channel.LimitLines = 0, 0, 2
		}},
		{name: "slices-single-share", backends: 8, proxies: 4, change: sliced(true, AdmissionByShare)},
		{name: "slices-single-none", backends: 8, proxies: 4, change: sliced(true, AdmissionUnsupported)},
		{name: "slices-many", backends: 8, proxies: 4, change: sliced(false, AdmissionByRate)},
		{name: "only-draining-binds", backends: 12, proxies: 5, change: func(settings *testSettings) { settings.limits.OnlyDrainingMustLeave = true }},
		{name: "live-weights", backends: 12, proxies: 5, loads: true, change: func(settings *testSettings) { settings.telemetry.LoadDependentWeights = true }},
		{name: "probes", backends: 12, proxies: 5, change: func(settings *testSettings) { settings.telemetry.HealthChecksAllowed = true }},
		{name: "asks", backends: 12, proxies: 5, change: func(settings *testSettings) {
			settings.telemetry.PollingRequired, settings.telemetry.MaxPollInterval = true, 10*second
		}},
		{name: "old-news", backends: 12, proxies: 6, span: 12 * second, change: func(settings *testSettings) { settings.limits.DrainGrace = 6 * second }},
		{name: "slow-reports", backends: 12, proxies: 6, span: 2 * second, change: func(settings *testSettings) {
			settings.telemetry.ReportInterval, settings.channel.Proxies = 2*second, 30
		}},
	}
}

func (of transcriptCase) play(t *testing.T, number int) []string {
	settings := defaultSettings()
	if of.change != nil {
		of.change(&settings)
	}
	host := &transcriptHost{Rand: rand.New(rand.NewPCG(uint64(number)+1, 35)), testCase: of, settings: settings, now: 100 * second,
		joined: make([]bool, of.proxies), few: 1}
	host.controller = newController(t, host, settings)
	for i := range of.backends {
		host.listed = append(host.listed, Endpoint{Backend: i, State: Ready, Weight: float64(1 + i%3), Zone: i % 3 % 2})
	}
	for id := range settings.sharding.Count {
		host.record("> slice given %d", id)
		host.controller.ShardAssigned(id)
		host.record("> slice entry %d %d", id, id%of.backends)
		host.controller.ShardOwnerStored(id, id%of.backends, 1)
	}
	host.connect(0)
	host.list(true, slices.Clone(host.listed))
	for proxy := 1; proxy < of.proxies; proxy++ {
		host.connect(proxy)
	}
	seconds := of.seconds
	if seconds == 0 {
		seconds = 300
	}
	for i := range 20 * seconds {
		host.step(i)
	}
	return host.lines
}

// summary is the head of a transcript without log lines, and a hash of each chunk after it.
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
	for number, of := range transcriptCases() {
		t.Run(of.name, func(t *testing.T) {
			lines := of.play(t, number)
			if *writeTranscripts != "" {
				path := filepath.Join(*writeTranscripts, of.name+".txt")
				if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			golden.Compare(t, filepath.Join("transcript", of.name+".txt"), summary(lines))
		})
	}
}
