package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheelrill/fake"
	"wheelrill/internal/process"
	"wheelrill/scale/results"
)

// changeByFile measures how long a configuration change takes with the present mechanism: a new
// configuration file on each machine and a SIGHUP to its controller. Each measured change names
// another address of discovery, and a controller has applied the change once it has connected to
// that address.
type changeByFile struct{}

const (
	discoveryAddressCount = 4 // number of a controller's discovery addresses; each change moves the controller to the next
	settleTimeout         = 10 * time.Second
	memberCores           = 1
	memberSockets         = 256
	memberLimitMB         = 192
)

// Describe returns the name, the sizes and the metrics of the measurement.
func (changeByFile) Describe() Description {
	d := Description{Name: "change", About: "A change as it is made today, a file for each controller and a SIGHUP, real processes on one machine",
		SizeUnit: "controllers", Sizes: []int{4, 8, 16, 32}, Targets: []int{targetControllers}, Transport: "loopback"}
	for _, rate := range changeRates() {
		d.Metrics = append(d.Metrics,
			results.Metric{Name: "half" + rate.suffix, Unit: "ms",
				About: "until the last controller acts by a change, 50 in 100, " + rate.about, Budget: 1000 * maxPropagationSeconds, Fit: true},
			results.Metric{Name: "p99" + rate.suffix, Unit: "ms",
				About: "until the last controller acts by a change, 99 in 100, " + rate.about, Budget: 1000 * maxPropagationSeconds, Fit: true},
			results.Metric{Name: "most" + rate.suffix, Unit: "ms",
				About: "until the last controller acts by a change, most, " + rate.about, Budget: 1000 * maxPropagationSeconds, Fit: true},
			results.Metric{Name: "written" + rate.suffix, Unit: "ms",
				About: "of that, until the last file was written and signal sent, mean, " + rate.about, Fit: true},
			results.Metric{Name: "processor" + rate.suffix, Unit: "% of a core",
				About: "processor time of a controller, mean, " + rate.about, Budget: maxProcessorPercent, Fit: true})
	}
	d.Metrics = append(d.Metrics,
		results.Metric{Name: "bytes_per_change", Unit: "bytes", About: "files that a change writes, in all", Fit: true},
		results.Metric{Name: "memory", Unit: "MB", About: "resident memory of a controller, most", Budget: maxMegabytes})
	return d
}

// Needs returns the memory, number of processes and time that the measurement of one size takes.
func (changeByFile) Needs(size int, o Options) Needs {
	return Needs{Memory: int64(size)*memberMemory + fakesMemory, Processes: size,
		Time: startTimeout + time.Duration(len(changeRates()))*(o.Duration+settleTimeout)}
}

// Run makes changes at each rate, and measures how long the last controller takes to apply each
// change.
func (changeByFile) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	folder, err := os.MkdirTemp(o.Folder, "change-")
	if err != nil {
		return s, err
	}
	fleet, err := newReloadedFleet(size, folder, o)
	if err != nil {
		return s, err
	}
	defer fleet.close()
	if err := fleet.start(ctx); err != nil {
		return s, err
	}
	for _, rate := range changeRates() {
		o.progressf("%d controllers, %s", size, rate.about)
		if err := fleet.measureChanges(ctx, rate, o, &s); err != nil {
			return s, err
		}
	}
	var memory float64
	for _, c := range fleet.controllers {
		usage, err := readUsage(c.process.PID())
		if err != nil {
			return s, err
		}
		memory = max(memory, float64(usage.resident)/megabyte)
	}
	s.Set("bytes_per_change", float64(fleet.lastChangeBytes))
	s.Set("memory", memory)
	return s, nil
}

// reloadedFleet holds controllers that receive changes as a new configuration file and a SIGHUP.
type reloadedFleet struct {
	discovery       *fake.Discovery
	controllers     []*reloadedController
	folder          string
	seed            uint64
	settings        map[string]any
	changesMade     int // number of configuration changes made so far, at all rates
	lastChangeBytes int // total size in bytes of the files that the last change wrote
}

// reloadedController is a controller process with its discovery addresses. Each change moves the
// controller to the next address.
type reloadedController struct {
	process            *process.Controller
	discoveryAddresses []*watchedAddress // change n moves the controller to address n modulo the number of addresses
	appliedChange      atomic.Int64      // number of the newest change that the controller applied
}

func newReloadedFleet(size int, folder string, o Options) (f *reloadedFleet, err error) {
	f = &reloadedFleet{folder: folder, seed: o.Seed}
	f.settings = proxylessSettings()
	if f.discovery, err = fake.NewDiscovery(nil, nil); err != nil {
		return nil, err
	}
	listen, err := process.FreeAddresses(size)
	if err != nil {
		return f, err
	}
	for i := range size {
		c := &reloadedController{}
		f.controllers = append(f.controllers, c)
		for range discoveryAddressCount {
			watched, err := watchAddress(f.discovery, func(change int64) {
				c.appliedChange.Store(max(c.appliedChange.Load(), change))
			})
			if err != nil {
				f.close()
				return nil, err
			}
			c.discoveryAddresses = append(c.discoveryAddresses, watched)
		}
		c.process = &process.Controller{Name: memberName(i), Program: o.Program, Listen: listen[i],
			Env: []string{"LB_CONFIG=" + f.path(i)}}
		if c.process.Log, err = os.Create(filepath.Join(folder, memberName(i)+".log")); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *reloadedFleet) path(i int) string { return filepath.Join(f.folder, memberName(i)+".json") }

func (f *reloadedFleet) close() {
	for _, c := range f.controllers {
		if c.process != nil && c.process.Up {
			c.process.Stop(syscall.SIGKILL)
		}
		if c.process != nil && c.process.Log != nil {
			c.process.Log.Close()
		}
		for _, watched := range c.discoveryAddresses {
			watched.close()
		}
	}
	f.discovery.Close()
}

// write replaces the configuration file of controller i by the file that makes the given change. It
// writes a draft and renames the draft to the final name, as an operator's tool would do, because a
// rename is atomic. It returns the size of the file in bytes.
func (f *reloadedFleet) write(i int, change int64) (int, error) {
	c := f.controllers[i]
	watched := c.discoveryAddresses[change%discoveryAddressCount]
	watched.change.Store(change)
	name := memberName(i)
	draft, err := process.WriteConfig(f.folder, name+".draft", map[string]any{"name": name, "listen": c.process.Listen,
		"discovery": watched.address(), "seed": fmt.Sprintf("%x", f.seed+uint64(i)+1),
		"limits":   map[string]any{"cores": memberCores, "memory_mb": memberLimitMB, "sockets": memberSockets},
		"settings": f.settings})
	if err != nil {
		return 0, err
	}
	info, err := os.Stat(draft)
	if err != nil {
		return 0, err
	}
	return int(info.Size()), os.Rename(draft, f.path(i))
}

// start starts all controllers, and waits until each controller has connected to discovery.
func (f *reloadedFleet) start(ctx context.Context) error {
	f.changesMade = 1
	for i, c := range f.controllers {
		if _, err := f.write(i, 1); err != nil {
			return err
		}
		if err := c.process.Start(); err != nil {
			return err
		}
	}
	if !await(ctx, startTimeout, func() bool { return f.allApplied(1) }) {
		return fmt.Errorf("not all controllers connected to discovery within %s; their logs are in %s",
			startTimeout, f.folder)
	}
	return nil
}

// allApplied reports whether all controllers have applied the given change or a later one.
func (f *reloadedFleet) allApplied(change int64) bool {
	for _, c := range f.controllers {
		if c.appliedChange.Load() < change {
			return false
		}
	}
	return true
}

// pacedChanges makes configuration changes at one mean rate, and collects for each change the time
// until the last controller has applied it.
type pacedChanges struct {
	fleet   *reloadedFleet
	made    int           // number of configuration changes made so far at this rate
	writing time.Duration // total time spent on writing configuration files and sending SIGHUPs

	mutex   sync.Mutex              // guards all fields that follow in the struct
	latency *hdrhistogram.Histogram // time in µs from the start of a change until the last controller applied it
	late    int                     // number of changes that at least one controller did not apply within settleTimeout
}

// measureChanges makes changes at one rate for Options.Duration, and sets the metrics of that rate.
func (f *reloadedFleet) measureChanges(ctx context.Context, rate changeRate, o Options, s *results.Sample) error {
	p := &pacedChanges{fleet: f, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), histogramDigits)}
	before := f.processor()
	began := time.Now()
	if err := p.run(ctx, rate, o.Duration); err != nil {
		return err
	}
	processor := f.processor() - before
	seconds := time.Since(began).Seconds()
	if p.late > 0 {
		s.Violations = append(s.Violations, fmt.Sprintf("%d changes of %d were not in force within %s, %s", p.late, p.made, settleTimeout, rate.about))
	}
	milliseconds := func(quantile float64) float64 { return float64(p.latency.ValueAtQuantile(quantile)) / 1000 }
	s.Set("half"+rate.suffix, milliseconds(50))
	s.Set("p99"+rate.suffix, milliseconds(99))
	s.Set("most"+rate.suffix, milliseconds(100))
	s.Set("written"+rate.suffix, float64(p.writing.Microseconds())/1000/float64(p.made))
	s.Set("processor"+rate.suffix, percent*processor.Seconds()/seconds/float64(len(f.controllers)))
	return nil
}

// run makes changes for the given span, with a random pause before each change. For each change, a
// goroutine waits until all controllers have applied the change or settleTimeout has passed. run
// returns after all these goroutines have ended.
func (p *pacedChanges) run(ctx context.Context, rate changeRate, span time.Duration) error {
	random := rand.New(rand.NewPCG(p.fleet.seed, uint64(p.fleet.changesMade)))
	var observing sync.WaitGroup
	defer observing.Wait()
	for began := time.Now(); time.Since(began) < span; {
		if err := pauseFor(ctx, rate.pause(random)); err != nil {
			return err
		}
		accepted := time.Now()
		change, err := p.fleet.writeChange()
		if err != nil {
			return err
		}
		p.made++
		p.writing += time.Since(accepted)
		observing.Go(func() { p.observe(ctx, change, accepted) })
	}
	return nil
}

// observe waits until the last controller applies a change, for at most settleTimeout, and records
// how long that took.
func (p *pacedChanges) observe(ctx context.Context, change int64, accepted time.Time) {
	inTime := awaitClosely(ctx, settleTimeout, func() bool { return p.fleet.allApplied(change) })
	elapsed := time.Since(accepted)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !inTime {
		p.late++
	}
	_ = p.latency.RecordValue(elapsed.Microseconds()) // RecordValue cannot fail: settleTimeout is in the histogram's range
}

// writeChange writes the file of the next change for each controller, and sends the controller a
// SIGHUP.
func (f *reloadedFleet) writeChange() (change int64, err error) {
	f.changesMade++
	f.lastChangeBytes = 0
	for i, c := range f.controllers {
		size, err := f.write(i, int64(f.changesMade))
		if err != nil {
			return 0, err
		}
		f.lastChangeBytes += size
		if err := c.process.Signal(syscall.SIGHUP); err != nil {
			return 0, fmt.Errorf("SIGHUP to controller %s: %w", c.process.Name, err)
		}
	}
	return int64(f.changesMade), nil
}

// processor returns the total processor time that all controllers have taken so far.
func (f *reloadedFleet) processor() (sum time.Duration) {
	for _, c := range f.controllers {
		if usage, err := readUsage(c.process.PID()); err == nil {
			sum += usage.processor
		}
	}
	return sum
}
