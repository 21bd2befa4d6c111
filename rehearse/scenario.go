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

// Scenario describes a run that injects faults into controllers under load, one after the other,
// and restarts the controllers that were stopped. The load has two classes of requests; a request
// of the class with writes must not take effect twice. At intervals a backend hangs or is replaced.
type Scenario struct {
	Duration      time.Duration // duration of the run
	FaultInterval time.Duration // time between two faults
	Controllers   int           // number of controllers
	Proxies       int           // number of proxies
	Backends      int           // number of backends
	Seed          uint64        // seed of all random choices
	Sharing       bool          // the controllers share the ownership of proxies
	Fenced        bool          // proxies ask for fencing tokens, and reject a push with a token below their highest
	Faults        string        // names of the faults to choose from, separated by commas; kill if empty
	Calm          bool          // the run has no faults, hangs or replacements of backends
	Disk          bool          // members keep the record on disk, and have the same identity after a restart
	Program       string        // path of the executable that is started as a controller
	Folder        string        // folder for logs and configurations; if empty, a temporary folder is created

	// Progress is called with the text of each event when the event happens; it may be nil.
	Progress func(text string)
	// Observe is called with the controllers at the start and at the end of the run; it may be nil.
	Observe func(controllers []*process.Controller, ended bool)
}

// Limit on the messages to one proxy: at most MaxMessages within MessageWindow.
const (
	MaxMessages   = 30
	MessageWindow = 10 * time.Second
)

// Parameters of the deployment.
const (
	coresPerBackend = 4
	serviceTime     = 20 * time.Millisecond
	reportInterval  = time.Second
	warmupTime      = 17 * time.Second // time for which a new backend is cold
	coldShare       = 0.16             // maximum load of a cold backend, as a share of its normal load

	drainGrace       = 3000 * time.Millisecond
	socketAllowance  = 300 * time.Millisecond // added to drainGrace in the checker's limits, because sockets cause delays
	schedulingMargin = 500 * time.Millisecond // extra time the checker allows, because a busy machine causes delays

	minLinesPerSecond      = 900 // minimum rate of a controller's push channel, in lines per second
	minBacklog             = 900 // minimum capacity of a controller's push queue, in lines
	linesPerSecondPerProxy = 6
	backlogPerProxy        = 12
	pushDelay              = 660 * time.Millisecond
	tick                   = 4 * time.Millisecond

	minMembers = 2 // minimum number of controllers that share a record
)

var zones = []string{"a", "b", "c"}

var classes = []fake.Class{
	{
		Name: "lookup", LatencyObjective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond,
		PriorityWeight: 1, Rate: 3,
	},
	{
		Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond,
		PriorityWeight: 3, Writes: true, Rate: 1,
	},
}

// Names of the scenarios.
const (
	ScenarioCalm     = "calm"     // scenario in which Scenario.Calm is true
	ScenarioTakeover = "takeover" // scenario in which Scenario.Calm is false
)

// ScenarioDescription describes a scenario in the list of scenarios.
type ScenarioDescription struct {
	Name    string // name by which the scenario is selected
	Summary string // summary of the scenario in one line
}

// Scenarios returns the descriptions of all scenarios.
func Scenarios() []ScenarioDescription {
	return []ScenarioDescription{
		{ScenarioCalm, "no faults are injected"},
		{ScenarioTakeover, "controllers are killed under load and started again; at intervals a backend hangs"},
	}
}

func (s *Scenario) name() string {
	if s.Calm {
		return ScenarioCalm
	}
	return ScenarioTakeover
}

// pushChannel returns the rate of a controller's push channel, in lines per second, and the limit
// of its backlog, in lines. Both grow with the number of proxies, so that the channel can carry a
// message with one line to every proxy, even if all proxies are connected to one controller. The
// overhead of each message counts as lines too.
func (s *Scenario) pushChannel() (linesPerSecond, backlog int) {
	return max(minLinesPerSecond, linesPerSecondPerProxy*s.Proxies), max(minBacklog, backlogPerProxy*s.Proxies)
}

// Settings returns the settings that every controller gets, with the keys of the simulator's
// protocol.
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

// Run starts the controllers and the fleet, and runs the scenario. It returns an error if the run
// could not be started or completed. Without an error, the verdict of the report is the result.
func (s *Scenario) Run(ctx context.Context) (*Report, error) {
	if s.Controllers < 1 || s.Proxies < 1 || s.Sharing && s.Controllers < minMembers {
		return nil, fmt.Errorf(
			"%d controllers and %d proxies: at least one of each is needed, and two controllers for sharing",
			s.Controllers, s.Proxies)
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
	return r.execute(ctx)
}

// makeFolder creates the folder for logs and configurations, and returns its path.
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

// limits returns the limits of the rules that the fleet's checker applies to the run.
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
