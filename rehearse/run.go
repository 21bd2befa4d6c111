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

// Intervals between hangs, between replacements of backends, and between steps of the main loop.
const (
	hangInterval      = 18 * time.Second
	replaceInterval   = 13 * time.Second
	loopInterval      = 20 * time.Millisecond
	firstDelayDivisor = 4 // the first hang and the first replacement are due after a quarter of their interval
)

// memberPair identifies a link by the member that dials and the member that is dialed.
type memberPair struct{ from, to int }

// run is one run of a scenario. Only the goroutine that calls Scenario.Run uses its fields.
type run struct {
	*Scenario
	fleet             *fake.Fleet
	controllers       []*process.Controller
	links             map[memberPair]*fake.FaultyLink // links by which members reach each other
	folder            string
	events            *os.File // log of faults and of state changes of backends; the controllers have their own logs
	random            *rand.Rand
	faultCounts       map[string]int         // number of injected faults, by kind
	disturbedBackends map[*fake.Backend]bool // backends that hang or are being replaced
	hangDetections    []time.Duration        // for each hang, the time until the backend was abandoned or the hang ended
	report            *Report
	timers            []timer
}

// timer is a callback that is due at a given time.
type timer struct {
	at       time.Time
	callback func() error
}

func newRun(s *Scenario, fleet *fake.Fleet, folder string) *run {
	return &run{
		Scenario:          s,
		fleet:             fleet,
		links:             map[memberPair]*fake.FaultyLink{},
		folder:            folder,
		random:            rand.New(rand.NewPCG(s.Seed, 1)),
		faultCounts:       map[string]int{},
		disturbedBackends: map[*fake.Backend]bool{},
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

// close ends the processes of the controllers that are up, and closes all links.
func (r *run) close() {
	r.events.Close()
	for _, c := range r.controllers {
		if c.Up {
			_ = c.Signal(syscall.SIGCONT) // continues a frozen process, which would not end otherwise
			c.Stop(syscall.SIGKILL)
		}
		c.Log.Close()
	}
	for _, link := range r.links {
		link.Close()
	}
}

// scheduleAfter adds a timer whose callback is due after the given wait.
func (r *run) scheduleAfter(wait time.Duration, callback func() error) {
	r.timers = append(r.timers, timer{time.Now().Add(wait), callback})
}

// schedule holds the times at which the next fault of a controller, the next hang and the next
// replacement of a backend are due.
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
		hang:    began.Add(hangInterval / firstDelayDivisor),
		replace: began.Add(replaceInterval / firstDelayDivisor),
	}
}

// execute injects faults, hangs and replacements by the schedule until the duration is over, and
// returns the report.
func (r *run) execute(ctx context.Context) (*Report, error) {
	monitor := process.StartDelayMonitor()
	before := r.fleet.Counts()
	began := time.Now()
	r.notifyObserver(false)
	next := r.newSchedule(began)
	for ctx.Err() == nil && time.Since(began) < r.Duration {
		select {
		case <-ctx.Done():
		case <-time.After(loopInterval):
		}
		if err := r.runDueActions(time.Now(), &next); err != nil {
			return nil, err
		}
	}
	r.report.Seconds = time.Since(began).Seconds()
	r.notifyObserver(true)
	verdict, after := r.fleet.Close()
	p99, longest := monitor.Stop()
	r.summarize(verdict, before, after)
	r.decideVerdict(verdict, p99, longest)
	return r.report, nil
}

// runDueActions fires the timers and injects the faults, hangs and replacements that are due. It
// returns an error if a controller has ended without having been stopped.
func (r *run) runDueActions(now time.Time, next *schedule) error {
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
			return fmt.Errorf("controller %s ended without having been stopped; its log is %s", c.Name, c.Log.Name())
		}
	}
	return nil
}

// fireTimers calls the callbacks of the timers that are due. A callback may add timers.
func (r *run) fireTimers(now time.Time) error {
	for i := 0; i < len(r.timers); {
		due := r.timers[i]
		if !now.After(due.at) {
			i++
			continue
		}
		r.timers = slices.Delete(r.timers, i, i+1)
		if err := due.callback(); err != nil {
			return err
		}
	}
	return nil
}

// notifyObserver calls Scenario.Observe, if it is set.
func (r *run) notifyObserver(ended bool) {
	if r.Observe != nil {
		r.Observe(r.controllers, ended)
	}
}

// log writes an event to the event log, and passes its text to Scenario.Progress.
func (r *run) log(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(r.events, "time=%s msg=rehearsal text=%q\n", time.Now().UTC().Format("15:04:05.000000"), text)
	if r.Progress != nil {
		r.Progress(text)
	}
}
