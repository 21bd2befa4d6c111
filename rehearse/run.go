package rehearse

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"wheelrill/fake"
	"wheelrill/internal/process"
)

// Times between hangs and between replacements of backends.
const (
	hangInterval    = 18 * time.Second
	replaceInterval = 13 * time.Second
	loopInterval    = 20 * time.Millisecond
	firstAfter      = 4 // the first hang and the first replacement come after this part of their interval
)

// memberPair is the direction of a link between two controllers.
type memberPair struct{ from, to int }

// run is one play of a scenario. Everything in it belongs to the goroutine that plays.
type run struct {
	*Scenario
	fleet          *fake.Fleet
	controllers    []*process.Controller
	links          map[memberPair]*fake.FaultyLink // between members
	folder         string
	events         *os.File // what has happened, beside the controllers' logs
	random         *rand.Rand
	faultCounts    map[string]int         // by kind
	busyBackends   map[*fake.Backend]bool // with which something is going on
	hangDetections []time.Duration        // from each hang until nearly all proxies had left
	report         *Report
	timers         []timer
}

// timer is something that comes later.
type timer struct {
	at   time.Time
	call func() error
}

func newRun(s *Scenario, fleet *fake.Fleet, folder string) *run {
	return &run{
		Scenario:     s,
		fleet:        fleet,
		links:        map[memberPair]*fake.FaultyLink{},
		folder:       folder,
		random:       rand.New(rand.NewPCG(s.Seed, 1)),
		faultCounts:  map[string]int{},
		busyBackends: map[*fake.Backend]bool{},
		report: &Report{
			Scenario:    s.name(),
			Seed:        s.Seed,
			Sharing:     s.Sharing,
			Controllers: s.Controllers,
			Proxies:     s.Proxies,
			Folder:      folder,
		},
	}
}

// close ends all processes and links.
func (r *run) close() {
	r.events.Close()
	for _, c := range r.controllers {
		if c.Up {
			_ = c.Signal(syscall.SIGCONT) // one that is frozen would not end
			c.Stop(syscall.SIGKILL)
		}
		c.Log.Close()
	}
	for _, link := range r.links {
		link.Close()
	}
}

func (r *run) after(wait time.Duration, call func() error) {
	r.timers = append(r.timers, timer{time.Now().Add(wait), call})
}

// schedule is when the next controller fault, the next hang and the next replacement of a backend are due.
type schedule struct {
	fault, hang, replace time.Time
}

func (r *run) newSchedule(began time.Time) schedule {
	if r.Calm {
		never := began.Add(2 * r.Duration)
		return schedule{never, never, never}
	}
	return schedule{
		fault:   began.Add(r.FaultInterval),
		hang:    began.Add(hangInterval / firstAfter),
		replace: began.Add(replaceInterval / firstAfter),
	}
}

// play injects faults, hangs and replacements by the schedule until the duration is over, and gives the report.
func (r *run) play(ctx context.Context) (*Report, error) {
	monitor := process.StartDelayMonitor()
	before := r.fleet.Counts()
	began := time.Now()
	r.observe(false)
	next := r.newSchedule(began)
	for ctx.Err() == nil && time.Since(began) < r.Duration {
		select {
		case <-ctx.Done():
		case <-time.After(loopInterval):
		}
		if err := r.step(time.Now(), &next); err != nil {
			return nil, err
		}
	}
	r.report.Seconds = time.Since(began).Seconds()
	r.observe(true)
	verdict, after := r.fleet.Close()
	p99, longest := monitor.Stop()
	r.summarize(verdict, before, after)
	r.decideVerdict(verdict, p99, longest)
	return r.report, nil
}

// step does what is due.
func (r *run) step(now time.Time, next *schedule) error {
	if err := r.fireTimers(now); err != nil {
		return err
	}
	if now.After(next.fault) {
		next.fault = next.fault.Add(r.FaultInterval)
		if err := r.injectFault(); err != nil {
			return err
		}
	}
	if now.After(next.hang) {
		next.hang = next.hang.Add(hangInterval)
		r.hangBackend()
	}
	if now.After(next.replace) {
		next.replace = next.replace.Add(replaceInterval)
		r.replaceBackend()
	}
	for _, c := range r.controllers {
		if c.ExitedUnexpectedly() {
			return fmt.Errorf("%s has ended by itself; its log is %s", c.Name, c.Log.Name())
		}
	}
	return nil
}

// fireTimers calls those that are due, which may set others.
func (r *run) fireTimers(now time.Time) error {
	for i := 0; i < len(r.timers); {
		due := r.timers[i]
		if !now.After(due.at) {
			i++
			continue
		}
		r.timers = slices.Delete(r.timers, i, i+1)
		if err := due.call(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) observe(ended bool) {
	if r.Observe != nil {
		r.Observe(r.controllers, ended)
	}
}

// log notes what happens beside the controllers' logs, and tells who watches.
func (r *run) log(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(r.events, "time=%s msg=rehearsal text=%q\n", time.Now().UTC().Format("15:04:05.000000"), text)
	if r.Progress != nil {
		r.Progress(text)
	}
}
