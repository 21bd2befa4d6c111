package scale

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wheelrill/fake"
	"wheelrill/internal/process"
	"wheelrill/invariant"
	"wheelrill/rehearse"
)

// listedZones are the zones in the settings of the controllers.
var listedZones = []string{"a", "b", "c"}

// newDiscovery starts a discovery service whose list has the given number of backends.
func newDiscovery(backends int) (*fake.Discovery, []*fake.Backend, error) {
	discovery, err := fake.NewDiscovery(invariant.NewChecker(invariant.Limits{}), func() time.Duration { return 0 })
	if err != nil {
		return nil, nil, err
	}
	var list []*fake.Backend
	for i := range backends {
		list = append(list, &fake.Backend{ID: fmt.Sprintf("s-%08x", i), Zone: listedZones[i%len(listedZones)], Weight: 1})
	}
	discovery.Publish(fake.StateUp, list...)
	return discovery, list, nil
}

// listedController is the process of a real controller that gets its endpoint list from discovery
// and has no proxies.
type listedController struct {
	process *process.Controller
	began   time.Time
	reading sync.WaitGroup // waits for the goroutine that reads the log of the process

	mutex         sync.Mutex
	ready         time.Time          // time at which the controller logged that it is ready, or the zero time
	knownBackends string             // number of backends in the log line with msg=ready
	lastLines     map[string]logLine // last log line of each event, by the name of the event
}

// logLine is a line of a controller's log.
type logLine struct {
	text string
	at   time.Time // time at which the line was read
}

// listedConfig holds the parameters of a listedController.
type listedConfig struct {
	name      string
	listen    string
	discovery string // address of the discovery service
	folder    string // folder in which the configuration file is written
	megabytes int    // memory limit of the process in MB
	seed      uint64
	program   string
}

// newListedControllers prepares the given number of controllers, each with a configuration file of
// its own.
func newListedControllers(count int, discovery, folder string, o Options) ([]*listedController, error) {
	listen, err := process.FreeAddresses(count)
	if err != nil {
		return nil, err
	}
	var all []*listedController
	for i := range count {
		c, err := newListedController(listedConfig{
			name:      memberName(i),
			listen:    listen[i],
			discovery: discovery,
			folder:    folder,
			megabytes: maxMegabytes,
			seed:      o.Seed + uint64(i) + 1,
			program:   o.Program,
		})
		if err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	return all, nil
}

// lookupClass is the only class of requests in the settings of controllers without proxies.
var lookupClass = fake.Class{Name: "lookup", LatencyObjective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, PriorityWeight: 1}

// proxylessSettings returns the settings of controllers without proxies.
func proxylessSettings() map[string]any {
	scenario := &rehearse.Scenario{Proxies: recordProxies}
	return scenario.Settings([]fake.Class{lookupClass})
}

// newListedController prepares a controller with a configuration file of its own.
func newListedController(config listedConfig) (*listedController, error) {
	path, err := process.WriteConfig(config.folder, config.name+".json", map[string]any{
		"name":      config.name,
		"listen":    config.listen,
		"discovery": config.discovery,
		"seed":      fmt.Sprintf("%x", config.seed),
		"limits":    map[string]any{"cores": memberCores, "memory_mb": config.megabytes, "sockets": memberSockets},
		"settings":  proxylessSettings(),
	})
	if err != nil {
		return nil, err
	}
	return &listedController{process: &process.Controller{Name: config.name, Program: config.program, Listen: config.listen,
		Env: []string{"LB_CONFIG=" + path}}}, nil
}

// start starts the process, and reads its log until the log ends.
func (c *listedController) start(folder string) error {
	log, err := os.Create(filepath.Join(folder, c.process.Name+".log"))
	if err != nil {
		return err
	}
	from, to, err := os.Pipe()
	if err != nil {
		log.Close()
		return err
	}
	c.process.Log = to
	c.began = time.Now()
	c.ready = time.Time{}
	c.knownBackends = ""
	c.lastLines = map[string]logLine{}
	err = c.process.Start()
	to.Close() // closes only this process's copy: the started process has its own copy of the write end of the pipe
	if err != nil {
		from.Close()
		log.Close()
		return err
	}
	c.reading.Go(func() {
		defer log.Close()
		defer from.Close()
		for lines := bufio.NewScanner(from); lines.Scan(); {
			c.readLine(lines.Text())
			fmt.Fprintln(log, lines.Text())
		}
	})
	return nil
}

// readLine stores a log line as the last line of its event, and records when the controller is
// ready.
func (c *listedController) readLine(line string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	event := logEvent(line)
	c.lastLines[event] = logLine{line, time.Now()}
	if event == logReady {
		c.ready = time.Now()
		c.knownBackends = logField(line, logBackends)
	}
}

// lastLine returns the last log line of an event, and whether the log has such a line.
func (c *listedController) lastLine(event string) (logLine, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	line, ok := c.lastLines[event]
	return line, ok
}

// readyAt returns the time at which the controller logged that it is ready, or the zero time if it
// has not logged that.
func (c *listedController) readyAt() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ready
}

// waitReady waits until the controller is ready. It returns an error if the process ends or is not
// ready within the given time.
func (c *listedController) waitReady(ctx context.Context, within time.Duration) error {
	done := func() bool {
		return !c.readyAt().IsZero() || c.process.ExitedUnexpectedly()
	}
	awaitClosely(ctx, within, done)
	if c.readyAt().IsZero() {
		return fmt.Errorf("controller %s ended or was not ready within %s", c.process.Name, within)
	}
	return nil
}

// end kills the process, and waits until the whole log of the process has been read.
func (c *listedController) end() {
	if c.process.Up {
		c.process.Stop(syscall.SIGKILL)
		c.reading.Wait()
	}
}
