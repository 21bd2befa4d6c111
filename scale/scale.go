package scale

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"wheelrill/scale/results"
)

// Options are what a run may be asked for.
type Options struct {
	Duration time.Duration     // how long each size is observed
	Seed     uint64            // of all that is drawn
	Voters   int               // raft voters, where the measurement has a number of its own
	Program  string            // path of the executable that is run as a controller
	Folder   string            // for logs and configurations of the processes; a temporary one if empty
	Progress func(text string) // is told what happens; nil for nobody
}

// progressf tells who watches.
func (o Options) progressf(format string, args ...any) {
	if o.Progress != nil {
		o.Progress(fmt.Sprintf(format, args...))
	}
}

// Description says what a measurement is.
type Description struct {
	Name      string           // of the measurement, also of the file of its runs
	About     string           // what is measured, in a sentence
	SizeUnit  string           // what a size counts
	Sizes     []int            // default sizes
	Targets   []int            // sizes that fits are read at, as the one in two years
	Transport string           // how controllers reach each other: "loopback", "memory" or "calls"
	Metrics   []results.Metric // of each sample
}

// Needs are what one size takes of the machine, estimated before it begins.
type Needs struct {
	Memory    int64         // bytes
	Processes int           // beside our own
	Time      time.Duration // estimate; a size that takes twice as long is ended
	Refusal   string        // why the size cannot be measured whatever the machine bears; empty where it can
}

// Measurement observes one thing at a size.
type Measurement interface {
	// Describe says what it is.
	Describe() Description
	// Needs estimates what a size takes.
	Needs(size int, options Options) Needs
	// Run measures a size, until the context ends.
	Run(ctx context.Context, size int, options Options) (results.Sample, error)
}

// Measurements are all there are, in the order in which they are listed.
func Measurements() []Measurement {
	return []Measurement{
		recordReal{},
		recordHollow{},
		recordHollow{byLease: true},
		changeByFile{},
		decisions{},
		decisions{byProxies: true},
		lists{},
		recovery{},
		recovery{allBackends: true},
		recoverySnapshot{},
		recoveryTree{recoverySubscribers},
		recoveryDelta{recoverySubscribers},
		addedTime{},
		roles{},
		distributionCost{},
		distributionCost{allEntries: true},
		distributedFaults{},
	}
}

// Find gives a measurement by its name.
func Find(name string) (Measurement, error) {
	var names []string
	for _, m := range Measurements() {
		if m.Describe().Name == name {
			return m, nil
		}
		names = append(names, m.Describe().Name)
	}
	return nil, fmt.Errorf("there is no measurement %q; there are %s", name, strings.Join(names, ", "))
}

// MeasureSizes runs a measurement at each size, and fits what it saw. It refuses what the machine would not bear, with a
// *RefusedError, before anything starts.
func MeasureSizes(ctx context.Context, m Measurement, sizes []int, options Options) (*results.Run, error) {
	description := m.Describe()
	if len(sizes) == 0 {
		sizes = description.Sizes
	}
	machine, err := thisMachine()
	if err != nil {
		return nil, err
	}
	for _, size := range sizes {
		if err := checkMachine(machine, size, m.Needs(size, options)); err != nil {
			return nil, err
		}
	}
	run := &results.Run{
		Name:      description.Name,
		About:     description.About,
		Revision:  buildRevision(),
		Date:      time.Now().UTC().Format(time.DateTime),
		Machine:   machine,
		Transport: description.Transport,
		Seed:      options.Seed,
		Seconds:   options.Duration.Seconds(),
		SizeUnit:  description.SizeUnit,
		Targets:   slices.Clone(description.Targets),
		Metrics:   description.Metrics,
	}
	for _, size := range sizes {
		options.progressf("%s: %d %s", description.Name, size, description.SizeUnit)
		deadlineCtx, cancel := context.WithTimeout(ctx, 2*m.Needs(size, options).Time)
		load := currentLoad()
		sample, err := m.Run(deadlineCtx, size, options)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("%s at %d %s: %w", description.Name, size, description.SizeUnit, err)
		}
		sample.Size = size
		sample.Load = load
		run.Samples = append(run.Samples, sample)
	}
	run.Evaluate()
	return run, nil
}

// buildRevision is the revision that the program was built from, where the build noted it.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(len(s.Value), revisionDigits)]
		}
	}
	return ""
}

const revisionDigits = 7 // of a commit, as git shows it
