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
	second   = int64(1_000_000) // microseconds, as decisions count time
	workTick = second / 4       // between two ticks, at which waiting work is looked at
)

// decisions measures what the decisions of one controller cost by the backends that it is told of, or by the proxies that
// are joined to it, without sockets. The channel bears whatever is ordered, so that all of the work is done at once.
type decisions struct {
	byProxies bool
}

// Of one that is measured, where the other figure grows.
const (
	defaultBackends = 1000
	defaultProxies  = 100
)

// How much one size plays.
const (
	decisionChanges = 8
	decisionTicks   = 8
	maxDecisionTime = 90 * time.Second // that one repeat may take
)

// Describe tells what is measured.
func (m decisions) Describe() Description {
	d := Description{Name: "decisions-backends", SizeUnit: "backends", Sizes: []int{200, 1000, 5000, 20_000, 65_536, 99_000},
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

// Needs tells what one size takes at most.
func (m decisions) Needs(_ int, o Options) Needs {
	const bytes = 1 << 30
	return Needs{Memory: bytes, Time: o.Duration + maxDecisionTime}
}

// Run plays the repeats, each with a controller of its own, and takes the median.
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

// decisionValues are the medians of several runs.
func decisionValues(runs []decisionCost) (s results.Sample) {
	medianFigure := func(unit time.Duration, figure func(decisionCost) time.Duration) float64 {
		return medianOf(runs, func(c decisionCost) float64 { return float64(figure(c)) / float64(unit) })
	}
	line := medianFigure(time.Microsecond, func(c decisionCost) time.Duration { return c.reportLine })
	quiet := medianFigure(time.Millisecond, func(c decisionCost) time.Duration { return c.quietTick })
	evaluation := medianFigure(time.Millisecond, func(c decisionCost) time.Duration { return c.reportsTick })
	perSecond := (ticksPerSecond-evaluationsPerSecond)*quiet*1000 + evaluationsPerSecond*evaluation*1000 + reportLines*line // µs
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
	reportInterval       = 2 * second // of the proxies and collectors of the deployments
	reportLines          = 75.        // a second that a controller is given at most there
	ticksPerSecond       = float64(second) / float64(workTick)
	evaluationsPerSecond = float64(second) / float64(reportInterval)
)

// decisionRun is one run of a controller, from its first list on.
type decisionRun struct {
	backends, proxies int
	changes           int // of one entry each
	ticks             int // quiet ones, and as many that evaluate reports
}

// decisionCost is the processor time that each step of a run took.
type decisionCost struct {
	start        time.Duration // the full list, to a controller that knows nothing
	repeatedList time.Duration // the same list once more
	join         time.Duration // all proxies connect
	change       time.Duration // one entry of the list
	reportLine   time.Duration // one line of a report
	quietTick    time.Duration // without reports
	reportsTick  time.Duration // that evaluates reports
	heap         int64         // bytes in use at the end
	orders       orderCounts
}

// execute has a controller live from its first list on.
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
			panic(err) // measuredClasses gives some
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

// runTicks plays quiet ticks, and then ticks that evaluate reports about every backend and proxy.
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

// reports tells of good answers of all backends, and of the usual demand at all proxies.
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

// measureDrains has one backend after the other drain, as the list says, and come back. It gives what a drain takes until
// all proxies have answered.
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

// settlingTicks is how many ticks are played until what was begun is done: new backends begin with a part of their weight
// for 5 s.
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

// Of the deployment that is measured: as the shipped sample configuration has it.
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

// unlimitedChannel bears whatever is sent.
func unlimitedChannel(proxies int) balancer.PushChannel {
	const linesPerS, backlogS = 9e9, 50
	return balancer.PushChannel{LinesPerSecond: linesPerS, MessageOverhead: 4, Backlog: backlogS * linesPerS, MaxLatency: 660_000, Proxies: proxies}
}
