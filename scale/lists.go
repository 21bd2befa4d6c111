package scale

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"wheelrill/fake"
	"wheelrill/scale/results"
)

// lists measures the time, bytes and memory that the endpoint list of discovery costs a real
// controller, as a function of the number of entries. It measures the cost from the start of the
// controller until it is ready, the cost while the list does not change, and the cost of each change
// of one entry. The controller has no proxies.
type lists struct{}

// Times and limits of one run of the controller.
const (
	listReadyTimeout = 150 * time.Second
	// Time for which the controller is observed without changes of the list, and then with changes.
	// Each of the two periods takes at most a quarter of Options.Duration.
	listIdleTime = 3 * time.Second
	listChanges  = 10
	maxListBytes = 16 << 20 // size in bytes of the largest answer of discovery that a controller accepts
)

// Describe returns the name, the sizes and the metrics of the measurement.
func (lists) Describe() Description {
	return Description{Name: "lists", SizeUnit: "backends listed", Sizes: []int{5000, 10_000, 20_000, 40_000, 65_536},
		Targets: []int{99_000}, Transport: "loopback",
		About: "What discovery's list costs one real controller without proxies: recovery of one, and each change",
		Metrics: []results.Metric{
			{Name: "ready", Unit: "s", About: "from the process's start until it is ready", Fit: true},
			{Name: "ready_processor", Unit: "s", About: "processor time until then", Fit: true},
			{Name: "list_bytes", Unit: "bytes", About: "of the whole list as discovery sends it", Budget: maxListBytes, Fit: true},
			{Name: "entry_bytes", Unit: "bytes", About: "of one entry in it"},
			{Name: "idle_processor", Unit: "% of a core", About: "processor time while nothing changes", Budget: maxProcessorPercent, Fit: true},
			{Name: "change_processor", Unit: "ms", About: "processor time of one change of one entry, beyond that"},
			{Name: "change_bytes", Unit: "bytes", About: "that discovery sends for it"},
			{Name: "memory", Unit: "MB", About: "resident memory, the most", Budget: maxMegabytes, Fit: true},
			{Name: "known", Unit: "backends", About: "that the controller takes in"},
			{Name: "repeats", Unit: "repeats", About: "that the median is taken of"},
		}}
}

// Needs returns the largest memory, number of processes and time that the measurement of one size
// takes.
func (lists) Needs(_ int, o Options) Needs {
	const bytes = 1 << 30
	return Needs{Memory: bytes, Processes: 1, Time: o.Duration + listReadyTimeout}
}

// listCost holds the figures of one run of a controller with one endpoint list.
type listCost struct {
	ready, readyProcessor    time.Duration
	idleShare, changingShare float64 // processor seconds per second while the list does not change, and while it changes
	changeTime               float64 // seconds between two changes of the list
	listBytes, changeBytes   int64
	memory                   int64
	knownBackends            float64
}

// Run repeats the measurement, each time with a new process, and returns the medians.
func (lists) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	folder, err := os.MkdirTemp(o.Folder, "lists-")
	if err != nil {
		return s, err
	}
	discovery, backends, err := newDiscovery(size)
	if err != nil {
		return s, err
	}
	defer discovery.Close()
	var all []listCost
	s.Partial, err = runRepeats(ctx, o.Duration, func() error {
		cost, err := measureList(ctx, discovery, backends, folder, o)
		all = append(all, cost)
		return err
	})
	if err != nil {
		return s, fmt.Errorf("%w; the log of the controller is in %s", err, folder)
	}
	medianFigure := func(figure func(listCost) float64) float64 { return medianOf(all, figure) }
	s.Set("ready", medianFigure(func(c listCost) float64 { return c.ready.Seconds() }))
	s.Set("ready_processor", medianFigure(func(c listCost) float64 { return c.readyProcessor.Seconds() }))
	s.Set("list_bytes", medianFigure(func(c listCost) float64 { return float64(c.listBytes) }))
	s.Set("entry_bytes", medianFigure(func(c listCost) float64 { return float64(c.listBytes) / float64(size) }))
	s.Set("idle_processor", medianFigure(func(c listCost) float64 { return percent * c.idleShare }))
	s.Set("change_processor", medianFigure(func(c listCost) float64 {
		return max(0, c.changingShare-c.idleShare) * c.changeTime * 1000
	}))
	s.Set("change_bytes", medianFigure(func(c listCost) float64 { return float64(c.changeBytes) / listChanges }))
	s.Set("memory", medianFigure(func(c listCost) float64 { return float64(c.memory) / megabyte }))
	s.Set("known", medianFigure(func(c listCost) float64 { return c.knownBackends }))
	s.Set("repeats", float64(len(all)))
	return s, nil
}

// measureList starts a controller, observes it while the list does not change, and then changes one
// entry of the list after the other.
func measureList(ctx context.Context, discovery *fake.Discovery, backends []*fake.Backend, folder string, o Options) (cost listCost, err error) {
	controllers, err := newListedControllers(1, discovery.Address(), folder, o)
	if err != nil {
		return cost, err
	}
	c := controllers[0]
	_, sentBefore := discovery.Sent()
	if err := c.start(folder); err != nil {
		return cost, err
	}
	defer c.end()
	if err := c.waitReady(ctx, listReadyTimeout); err != nil {
		return cost, err
	}
	usage, err := readPreciseUsage(c.process.PID())
	if err != nil {
		return cost, err
	}
	cost.readyProcessor = usage.processor
	cost.ready = c.readyAt().Sub(c.began)
	_, sentAfter := discovery.Sent()
	cost.listBytes = sentAfter - sentBefore
	if cost.knownBackends, err = strconv.ParseFloat(c.knownBackends, 64); err != nil {
		return cost, fmt.Errorf("number of backends in the log line msg=ready: %w", err)
	}
	span := min(listIdleTime, o.Duration/4)
	if cost.idleShare, err = c.processorShareDuring(func() error { return pauseFor(ctx, span) }); err != nil {
		return cost, err
	}
	_, sentBefore = discovery.Sent()
	cost.changeTime = span.Seconds() / listChanges
	cost.changingShare, err = c.processorShareDuring(func() error {
		for i := range listChanges {
			state := []fake.State{fake.StateDraining, fake.StateUp}[i%2]
			discovery.Publish(state, backends[i/2*len(backends)/listChanges])
			if err := pauseFor(ctx, span/listChanges); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return cost, err
	}
	_, sentAfter = discovery.Sent()
	cost.changeBytes = sentAfter - sentBefore
	usage, err = readPreciseUsage(c.process.PID())
	cost.memory = usage.peak
	return cost, err
}

// processorShareDuring returns the processor time that the controller takes while activity runs, in
// processor seconds per second.
func (c *listedController) processorShareDuring(activity func() error) (float64, error) {
	began := time.Now()
	before, err := readPreciseUsage(c.process.PID())
	if err != nil {
		return 0, err
	}
	if err := activity(); err != nil {
		return 0, err
	}
	after, err := readPreciseUsage(c.process.PID())
	return (after.processor - before.processor).Seconds() / time.Since(began).Seconds(), err
}
