package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"wheelrill/balancer"
	"wheelrill/scale/results"
)

const (
	second   = int64(1_000_000) // one second in microseconds, the unit of time of package balancer
	workTick = second / 4       // interval at which the balancer processes waiting work
)

// decisions measures the processor time and the heap that the decisions of one controller take, as
// a function of the number of listed backends or of the number of connected proxies. No sockets are
// involved. The push channel accepts every order at once, so that no work is postponed.
type decisions struct {
	byProxies bool // the sizes are numbers of proxies instead of numbers of backends
}

// Number of backends if the sizes of the measurement are numbers of proxies, and number of proxies
// if the sizes are numbers of backends.
const (
	defaultBackends = 1000 // number of backends if the sizes are numbers of proxies
	defaultProxies  = 100  // number of proxies if the sizes are numbers of backends
)

// Numbers of steps in one repeat of the measurement, and the longest time of a repeat.
const (
	decisionChanges = 8                // number of backends that a repeat drains
	decisionTicks   = 8                // number of ticks in each of two series: without reports, then with reports
	maxDecisionTime = 90 * time.Second // longest time of one repeat
)

// Describe returns the name, the sizes and the metrics of the measurement.
func (m decisions) Describe() Description {
	d := Description{Name: "decisions-backends", SizeUnit: "backends",
		Sizes:   []int{200, 1000, 5000, 20_000, 65_536, 99_000},
		Targets: []int{99_000}, Transport: "calls",
		About: fmt.Sprintf("Processor time and heap of a controller's decisions by backends, %d proxies, without sockets", defaultProxies),
		Metrics: []results.Metric{
			{Name: "start", Unit: "ms", About: "the whole list, to a controller that knows nothing", Fit: true},
			{Name: "again", Unit: "ms", About: "the same whole list once more", Fit: true},
			{Name: "join", Unit: "ms", About: "all proxies join and are bound", Fit: true},
			{Name: "change", Unit: "ms", About: "one entry of the list changes", Fit: true},
			{Name: "report_line", Unit: "µs", About: "one line of a report", Fit: true},
			{Name: "beat", Unit: "ms", About: "a look at waiting work, four times a second", Fit: true},
			{Name: "look", Unit: "ms", About: "the same once reports have come, each 2 s", Fit: true},
			{Name: "processor", Unit: "% of a core", About: "beats, looks and 75 report lines a second", Budget: maxProcessorPercent, Fit: true},
			{Name: "heap", Unit: "MB", About: "heap kept", Budget: maxMegabytes, Fit: true},
			{Name: "orders", Unit: "orders", About: "lines, binds, withdrawals, levels and marks"},
			{Name: "repeats", Unit: "repeats", About: "that the median is taken of"},
		}}
	if m.byProxies {
		d.Name = "decisions-proxies"
		d.SizeUnit = "proxies"
		d.Sizes = []int{100, 400, 1200, 2400}
		d.Targets = []int{2400}
		d.About = fmt.Sprintf("Processor time and heap of a controller's decisions by proxies, %d backends, without sockets", defaultBackends)
	}
	return d
}

// Needs returns the largest memory and time that the measurement of one size takes.
func (m decisions) Needs(_ int, o Options) Needs {
	const bytes = 1 << 30
	return Needs{Memory: bytes, Time: o.Duration + maxDecisionTime}
}

// Run makes the repeats, each with a new controller, and returns the medians.
func (m decisions) Run(ctx context.Context, size int, o Options) (sample results.Sample, err error) {
	run := decisionRun{backends: size, proxies: defaultProxies, changes: decisionChanges, ticks: decisionTicks}
	if m.byProxies {
		run.backends = defaultBackends
		run.proxies = size
	}
	var runs []decisionCost
	sample.Partial, err = runRepeats(ctx, o.Duration, func() error {
		runs = append(runs, run.execute())
		return nil
	})
	if err != nil {
		return sample, err
	}
	for _, other := range runs {
		if other.orders != runs[0].orders {
			sample.Violations = append(sample.Violations, fmt.Sprintf("orders differ between repeats: %+v and %+v", runs[0].orders, other.orders))
		}
	}
	sample.Values = decisionValues(runs).Values
	return sample, nil
}

// decisionValues returns the median of each figure over several runs.
func decisionValues(runs []decisionCost) (s results.Sample) {
	medianFigure := func(unit time.Duration, figure func(decisionCost) time.Duration) float64 {
		return medianOf(runs, func(c decisionCost) float64 { return float64(figure(c)) / float64(unit) })
	}
	line := medianFigure(time.Microsecond, func(c decisionCost) time.Duration { return c.reportLine })
	quiet := medianFigure(time.Millisecond, func(c decisionCost) time.Duration { return c.quietTick })
	evaluation := medianFigure(time.Millisecond, func(c decisionCost) time.Duration { return c.reportsTick })
	// Processor time in µs that the controller takes per second for ticks without reports, for
	// ticks that evaluate reports, and for report lines, at the rates that these have in the
	// deployments.
	perSecond := (ticksPerSecond-evaluationsPerSecond)*quiet*1000 + evaluationsPerSecond*evaluation*1000 + reportLines*line
	s.Set("start", medianFigure(time.Millisecond, func(c decisionCost) time.Duration { return c.start }))
	s.Set("again", medianFigure(time.Millisecond, func(c decisionCost) time.Duration { return c.repeatedList }))
	s.Set("join", medianFigure(time.Millisecond, func(c decisionCost) time.Duration { return c.join }))
	s.Set("change", medianFigure(time.Millisecond, func(c decisionCost) time.Duration { return c.change }))
	s.Set("report_line", line)
	s.Set("beat", quiet)
	s.Set("look", evaluation)
	s.Set("processor", percent*perSecond/float64(second))
	s.Set("heap", medianOf(runs, func(c decisionCost) float64 { return float64(c.heap) / megabyte }))
	s.Set("orders", float64(runs[0].orders.sum()))
	s.Set("repeats", float64(len(runs)))
	return s
}

const (
	reportInterval       = 2 * second // interval between reports of a proxy or collector in the deployments
	reportLines          = 75.        // highest rate of report lines at a controller in the deployments, lines per second
	ticksPerSecond       = float64(second) / float64(workTick)
	evaluationsPerSecond = float64(second) / float64(reportInterval)
)

// decisionRun holds the parameters of one run of a controller. A run begins with the first endpoint
// list that the controller gets.
type decisionRun struct {
	backends, proxies int
	changes           int // number of drains, each of which changes one entry of the endpoint list
	ticks             int // number of ticks in each of two series: without reports, then with reports
}

// decisionCost holds the processor time of each step of a run, and the heap bytes and the numbers
// of orders of the whole run.
type decisionCost struct {
	start        time.Duration // processor time to create a controller and process its first endpoint list (all backends)
	repeatedList time.Duration // processor time to process the first endpoint list again at the end of the run
	join         time.Duration // processor time to connect all proxies and assign their tables
	change       time.Duration // processor time from the drain of a backend by the endpoint list to the ack of all proxies
	reportLine   time.Duration // processor time per report line: the outcomes of a backend or the demand at a proxy
	quietTick    time.Duration // processor time of a tick without reports to evaluate
	reportsTick  time.Duration // processor time of a tick that evaluates reports
	heap         int64         // heap bytes in use at the end of the run, minus the heap bytes in use before the run
	orders       orderCounts
}

// execute starts a controller with its first endpoint list, connects proxies, runs ticks, drains
// backends by changes of the list, and measures each of these steps.
func (l decisionRun) execute() (cost decisionCost) {
	entries := l.entries()
	before := heapInUse()
	host := newCountingHost(l.proxies)
	cost.start = processorTimeOf(func() {
		control, err := balancer.New(host, balancer.Config{
			Seed:      1,
			Classes:   measuredClasses(),
			Channel:   unlimitedChannel(l.proxies),
			Rules:     measuredLimits(),
			Telemetry: balancer.Telemetry{ReportInterval: reportInterval},
			Admission: balancer.AdmissionByRate,
		})
		if err != nil {
			panic(err) // balancer.New cannot fail: the configuration is constant, and has classes of requests
		}
		host.control = control
		host.control.EndpointsUpdated(true, entries)
		host.acknowledge()
	})
	cost.join = processorTimeOf(func() {
		for proxy := range l.proxies {
			host.control.ProxyConnected(proxy, proxy%measuredZones, 1, false)
		}
		host.acknowledge()
	})
	host.advance(settlingTicks)
	l.runTicks(host, &cost)
	cost.change = l.measureDrains(host)
	cost.repeatedList = processorTimeOf(func() {
		host.control.EndpointsUpdated(true, entries)
		host.acknowledge()
	})
	cost.heap = heapInUse() - before
	cost.orders = host.orders
	runtime.KeepAlive(host)
	runtime.KeepAlive(entries)
	return cost
}

// runTicks runs l.ticks ticks without reports, and then l.ticks ticks that each evaluate reports
// about every backend and proxy. It sets the processor times of these ticks and of a report line in
// cost.
func (l decisionRun) runTicks(host *countingHost, cost *decisionCost) {
	cost.quietTick = processorTimeOf(func() { host.advance(l.ticks) }) / time.Duration(l.ticks)
	var reports, evaluations time.Duration
	lines := 0
	for range l.ticks {
		host.now += reportInterval - workTick
		reports += processorTimeOf(func() { lines += l.sendReports(host) })
		evaluations += processorTimeOf(func() { host.advance(1) })
	}
	cost.reportLine = reports / time.Duration(lines)
	cost.reportsTick = evaluations / time.Duration(l.ticks)
}

// sendReports passes to the controller one report of successful attempts for each backend, and one
// report of the usual demand for each proxy and class. It returns the number of report lines.
func (l decisionRun) sendReports(host *countingHost) (lines int) {
	const attempts, mean, requests = 10, 200_000, 2
	for backend := range l.backends {
		host.control.OutcomesReported(balancer.OutcomeReport{
			Backend:        backend,
			Attempts:       attempts,
			MeanAnswerTime: mean,
			Span:           reportInterval,
			Load:           balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1},
		})
	}
	classes := len(measuredClasses())
	for proxy := range l.proxies {
		for class := range classes {
			host.control.DemandReported(proxy, class, requests, reportInterval)
		}
	}
	return l.backends + l.proxies*classes
}

// measureDrains drains one backend after the other through the endpoint list, and makes each
// backend ready again. It returns the mean processor time from the start of a drain until all
// proxies have acknowledged it.
func (l decisionRun) measureDrains(host *countingHost) time.Duration {
	sum := time.Duration(0)
	for i := range l.changes {
		entry := l.entry(i * l.backends / l.changes)
		entry.State = balancer.Draining
		sum += processorTimeOf(func() {
			host.control.EndpointsUpdated(false, []balancer.Endpoint{entry})
			host.acknowledge()
		})
		host.advance(1)
		entry.State = balancer.Ready
		host.control.EndpointsUpdated(false, []balancer.Endpoint{entry})
		host.advance(settlingTicks)
	}
	return sum / time.Duration(l.changes)
}

// settlingTicks is the number of ticks, 8 s in all, that a run waits until the effects of a step
// are over: a new backend has a reduced weight for 5 s.
const settlingTicks = 32

func (l decisionRun) entry(backend int) balancer.Endpoint {
	return balancer.Endpoint{Backend: backend, State: balancer.Ready, Weight: 2, Zone: backend % measuredZones}
}

func (l decisionRun) entries() (all []balancer.Endpoint) {
	for backend := range l.backends {
		all = append(all, l.entry(backend))
	}
	return all
}

// measuredZones, measuredClasses and measuredLimits have the values of the shipped sample
// configuration.
const measuredZones = 2

func measuredClasses() []balancer.Class {
	return []balancer.Class{
		{LatencyObjective: 1500_000, Deadline: 4 * second, PriorityWeight: 1},
		{LatencyObjective: 800_000, Deadline: 2 * second, PriorityWeight: 3, Writes: true},
	}
}

func measuredLimits() balancer.RuleLimits {
	return balancer.RuleLimits{DrainGrace: 3 * second, ColdStartShare: 0.16, WarmupTime: 17 * second}
}

// unlimitedChannel returns a push channel that accepts every order at once.
func unlimitedChannel(proxies int) balancer.PushChannel {
	const linesPerS, backlogS = 9e9, 50
	return balancer.PushChannel{LinesPerSecond: linesPerS, MessageOverhead: 4, Backlog: backlogS * linesPerS, MaxLatency: 660_000, Proxies: proxies}
}
