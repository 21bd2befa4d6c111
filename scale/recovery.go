package scale

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"wheelrill/scale/results"
)

// recovery measures the time, bytes and memory that controllers need to get the endpoint list from
// discovery again when all controllers restart at once. Each controller is a real process on this
// machine. At present a controller requests the whole list, whichever backends it serves.
type recovery struct {
	allBackends bool // the endpoint list has the backends of all services, not only of the services of one controller
}

// Assumed size of the endpoint list, in which every service has the same number of backends, and
// estimates of a controller's memory.
const (
	targetBackends   = 99_000
	targetServices   = 5700
	backendsServed   = targetBackends / targetServices * servicesPerGroup
	controllerMemory = 40 << 20 // approximate bytes of memory of a controller without backends
	backendMemory    = 6 << 10  // approximate bytes of memory that each backend adds to a controller
)

// Describe returns the name, the sizes and the metrics of the measurement.
func (r recovery) Describe() Description {
	d := Description{Name: "recovery", SizeUnit: "controllers at once", Sizes: []int{1, 5, 10, 20, 40},
		Targets: []int{40, 220, targetControllers}, Transport: "loopback",
		About: fmt.Sprintf("Real controllers that restart at once on one machine, and learn %d backends from discovery: those of %d services",
			r.backends(), servicesPerGroup),
		Metrics: []results.Metric{
			{Name: "ready", Unit: "s", About: "until the last is ready, all on this machine's cores", Fit: true},
			{Name: "ready_processor", Unit: "s", About: "processor time of a controller until it is ready, mean"},
			{Name: "all_bytes", Unit: "bytes", About: "that discovery sends to all of them", Fit: true},
			{Name: "bytes", Unit: "bytes", About: "that one is sent, mean"},
			{Name: "memory", Unit: "MB", About: "resident memory of a controller, the most", Budget: maxMegabytes},
			{Name: "repeats", Unit: "repeats", About: "that the median is taken of"},
		}}
	if r.allBackends {
		d.Name = "recovery-whole"
		d.Sizes = []int{1, 2, 4, 8}
		d.About = fmt.Sprintf("Real controllers that restart at once on one machine, and learn all %d backends from discovery", r.backends())
	}
	return d
}

func (r recovery) backends() int {
	if r.allBackends {
		return targetBackends
	}
	return backendsServed
}

// Needs returns the largest memory, number of processes and time that the measurement of one size
// takes.
func (r recovery) Needs(size int, o Options) Needs {
	return Needs{Memory: fakesMemory + int64(size)*int64(controllerMemory+r.backends()*backendMemory), Processes: size,
		Time: o.Duration + listReadyTimeout}
}

// recoveryCost holds the figures of one restart of all controllers.
type recoveryCost struct {
	ready     time.Duration // time from the restart of all controllers until the last one was ready
	processor time.Duration // mean processor time that a controller took until it was ready
	bytes     int64         // bytes that discovery sent to all controllers together
	memory    int64         // largest resident memory of a controller, in bytes
}

// Run restarts all controllers in each repeat, and returns the medians.
func (r recovery) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	folder, err := os.MkdirTemp(o.Folder, "recovery-")
	if err != nil {
		return s, err
	}
	discovery, _, err := newDiscovery(r.backends())
	if err != nil {
		return s, err
	}
	defer discovery.Close()
	controllers, err := newListedControllers(size, discovery.Address(), folder, o)
	if err != nil {
		return s, err
	}
	var all []recoveryCost
	s.Partial, err = runRepeats(ctx, o.Duration, func() error {
		_, before := discovery.Sent()
		cost, err := restartAll(ctx, controllers, folder)
		_, after := discovery.Sent()
		cost.bytes = after - before
		all = append(all, cost)
		return err
	})
	if err != nil {
		return s, fmt.Errorf("%w; the logs are in %s", err, folder)
	}
	medianFigure := func(figure func(recoveryCost) float64) float64 { return medianOf(all, figure) }
	s.Set("ready", medianFigure(func(c recoveryCost) float64 { return c.ready.Seconds() }))
	s.Set("ready_processor", medianFigure(func(c recoveryCost) float64 { return c.processor.Seconds() }))
	s.Set("all_bytes", medianFigure(func(c recoveryCost) float64 { return float64(c.bytes) }))
	s.Set("bytes", medianFigure(func(c recoveryCost) float64 { return float64(c.bytes) / float64(size) }))
	s.Set("memory", medianFigure(func(c recoveryCost) float64 { return float64(c.memory) / megabyte }))
	s.Set("repeats", float64(len(all)))
	return s, nil
}

// restartAll starts all controllers at once, waits until each controller is ready, and then ends
// all of them.
func restartAll(ctx context.Context, controllers []*listedController, folder string) (cost recoveryCost, err error) {
	defer func() {
		for _, c := range controllers {
			c.end()
		}
	}()
	for _, c := range controllers {
		if err := c.start(folder); err != nil {
			return cost, err
		}
	}
	began := controllers[0].began
	usages := make([]preciseUsage, len(controllers))
	failures := make([]error, len(controllers))
	var waiting sync.WaitGroup
	for i, c := range controllers {
		waiting.Go(func() {
			if failures[i] = c.waitReady(ctx, listReadyTimeout); failures[i] == nil {
				usages[i], failures[i] = readPreciseUsage(c.process.PID())
			}
		})
	}
	waiting.Wait()
	for i, c := range controllers {
		if failures[i] != nil {
			return cost, failures[i]
		}
		cost.ready = max(cost.ready, c.readyAt().Sub(began))
		cost.processor += usages[i].processor / time.Duration(len(controllers))
		cost.memory = max(cost.memory, usages[i].peak)
	}
	return cost, nil
}
