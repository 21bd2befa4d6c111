package rehearse

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wheelrill/fake"
	"wheelrill/internal/process"
	"wheelrill/invariant"
)

// Scenario injects faults into controllers under load, one after the other; those that died are started again. Load is of
// two classes of requests, one of which must not take effect twice; now and then a backend hangs or is replaced.
type Scenario struct {
	Duration      time.Duration // that is played
	FaultInterval time.Duration // between two faults
	Controllers   int           // number of them
	Proxies       int           // number of them
	Backends      int           // number of them
	Seed          uint64        // of all that is drawn
	Sharing       bool          // the controllers share the ownership of proxies
	Fenced        bool          // proxies ask for owners' tokens, and reject older ones
	Faults        string        // kinds that are drawn from, with commas; empty for kill
	Calm          bool          // nothing goes wrong at all
	Disk          bool          // members keep the record on disk, and come back as who they were
	Program       string        // path of the executable that is run as a controller
	Folder        string        // for logs and configurations; a temporary one if empty

	// Progress is told what happens, as it does; nil for nobody.
	Progress func(text string)
	// Observe is called with the controllers as play begins, and as it has ended; nil for nobody.
	Observe func(controllers []*process.Controller, ended bool)
}

// What a proxy may be sent: MaxMessages within MessageWindow.
const (
	MaxMessages   = 30
	MessageWindow = 10 * time.Second
)

// Figures of the deployment.
const (
	coresPerBackend = 4
	serviceTime     = 20 * time.Millisecond
	reportInterval  = time.Second
	warmupTime      = 17 * time.Second // that a new backend is cold
	coldShare       = 0.16             // of its load, that it may be sent meanwhile

	drainGrace       = 3000 * time.Millisecond
	socketAllowance  = 300 * time.Millisecond // that real sockets get beyond the grace
	schedulingMargin = 500 * time.Millisecond // that a busy machine adds to what is measured

	minLinesPerSecond      = 900 // of a controller's push channel
	minBacklog             = 900 // lines
	linesPerSecondPerProxy = 6
	backlogPerProxy        = 12
	pushDelay              = 660 * time.Millisecond
	tick                   = 4 * time.Millisecond

	minMembers = 2 // of a record
)

var zones = []string{"a", "b", "c"}

var classes = []fake.Class{
	{Name: "lookup", LatencyObjective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, PriorityWeight: 1, Rate: 3},
	{Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond, PriorityWeight: 3, Writes: true, Rate: 1},
}

// Names of scenarios.
const (
	ScenarioCalm     = "calm"     // Calm is set
	ScenarioTakeover = "takeover" // Calm is not
)

// ScenarioDescription says what a scenario is.
type ScenarioDescription struct {
	Name    string // by which it is asked for
	Summary string // in a sentence
}

// Scenarios are all there are.
func Scenarios() []ScenarioDescription {
	return []ScenarioDescription{
		{ScenarioCalm, "nothing goes wrong"},
		{ScenarioTakeover, "controllers are killed under load, and come back as new; a backend hangs now and then"},
	}
}

func (s *Scenario) name() string {
	if s.Calm {
		return ScenarioCalm
	}
	return ScenarioTakeover
}

// pushChannel is what a controller's way to its proxies carries. One line to all proxies with the overhead of its message
// has to fit, wherever they all are.
func (s *Scenario) pushChannel() (linesPerSecond, backlog int) {
	return max(minLinesPerSecond, linesPerSecondPerProxy*s.Proxies), max(minBacklog, backlogPerProxy*s.Proxies)
}

// Settings are what every controller is given, in the form of the simulator's first message.
func (s *Scenario) Settings(classes []fake.Class) map[string]any {
	var profiles []map[string]any
	var writes, zoneLocal []bool
	for _, class := range classes {
		profiles = append(profiles, map[string]any{
			"name":     class.Name,
			"target":   class.LatencyObjective.Milliseconds(),
			"deadline": class.Deadline.Milliseconds(),
			"worth":    class.PriorityWeight,
		})
		writes = append(writes, class.Writes)
		zoneLocal = append(zoneLocal, false)
	}
	linesPerSecond, backlog := s.pushChannel()
	return map[string]any{
		"azs":            zones,
		"tick":           float64(tick.Milliseconds()),
		"weights":        "rough",
		"membershipMode": "automatic",
		"familyInfo": map[string]any{
			"admission":    "per_second",
			"backlog":      backlog,
			"egressPerS":   linesPerSecond,
			"overhead":     fake.MessageOverhead,
			"pushDelayMax": pushDelay.Milliseconds(),
			"reportEvery":  reportInterval.Milliseconds(),
			"messagesMost": MaxMessages,
			"messagesOver": MessageWindow.Milliseconds(),
			"proxyCount":   s.Proxies,
			"partitionsN":  0,
			"classWrites":  writes,
			"staysLocal":   zoneLocal,
		},
		"limits":    map[string]any{"mayProbe": false},
		"profiles":  profiles,
		"reporting": map[string]any{"how": "silent", "fields": []string{}},
		"rules": map[string]any{
			"coldShare":         coldShare,
			"rampTime":          warmupTime.Milliseconds(),
			"stopSendingWithin": drainGrace.Milliseconds(),
		},
	}
}

// Run plays it. An error means that it could not be played at all; the report's verdict says how it went.
func (s *Scenario) Run(ctx context.Context) (*Report, error) {
	if s.Controllers < 1 || s.Proxies < 1 || s.Sharing && s.Controllers < minMembers {
		return nil, fmt.Errorf("controllers %d, proxies %d: one of each at least, two controllers where they share", s.Controllers, s.Proxies)
	}
	folder, err := s.makeFolder()
	if err != nil {
		return nil, err
	}
	addresses, err := process.FreeAddresses(2 * s.Controllers)
	if err != nil {
		return nil, err
	}
	listen, members := addresses[:s.Controllers], addresses[s.Controllers:]
	fleet, err := fake.NewFleet(s.fleetConfig(), s.limits(), listen)
	if err != nil {
		return nil, err
	}
	r := newRun(s, fleet, folder)
	defer r.close()
	if r.events, err = os.Create(filepath.Join(folder, "events.log")); err == nil {
		err = r.startControllers(ctx, listen, members)
	}
	if err != nil {
		fleet.Close()
		return nil, err
	}
	return r.play(ctx)
}

// makeFolder makes the folder for logs and configurations.
func (s *Scenario) makeFolder() (string, error) {
	if s.Folder == "" {
		return os.MkdirTemp("", ScenarioTakeover+"-")
	}
	return s.Folder, os.MkdirAll(s.Folder, 0o755)
}

func (s *Scenario) fleetConfig() fake.FleetConfig {
	return fake.FleetConfig{
		Zones:          zones,
		Backends:       s.Backends,
		Cores:          coresPerBackend,
		ServiceTime:    serviceTime,
		Proxies:        s.Proxies,
		Fenced:         s.Fenced,
		Classes:        classes,
		ReportInterval: reportInterval,
		Seed:           s.Seed,
	}
}

// limits are what the run is checked by.
func (s *Scenario) limits() invariant.Limits {
	linesPerSecond, backlog := s.pushChannel()
	return invariant.Limits{
		MaxEmptyTable:  drainGrace + socketAllowance,
		DrainGrace:     drainGrace + socketAllowance,
		MaxMessages:    MaxMessages,
		MessageWindow:  MessageWindow,
		LinesPerSecond: float64(linesPerSecond),
		Backlog:        float64(backlog),
		Margin:         schedulingMargin,
	}
}
