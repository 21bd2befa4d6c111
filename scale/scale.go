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

// Options holds the parameters of a run that its caller sets.
type Options struct {
	Duration time.Duration     // time for which each size is observed
	Seed     uint64            // seed of all random numbers
	Voters   int               // number of raft voters, for measurements whose size does not determine it
	Program  string            // path of the executable that is run as a controller
	Folder   string            // folder for logs and configurations of the processes; if empty, a temporary one
	Progress func(text string) // called with the text of each progress message; may be nil
}

// progressf formats a progress message, and passes it to Options.Progress if that is set.
func (o Options) progressf(format string, args ...any) {
	if o.Progress != nil {
		o.Progress(fmt.Sprintf(format, args...))
	}
}

// Description describes a measurement.
type Description struct {
	Name     string // name of the measurement, and of the file in which its run is stored
	About    string // what is measured, in a sentence
	SizeUnit string // unit of the sizes, such as members
	Sizes    []int  // sizes that are measured by default
	Targets  []int  // sizes at which fits are evaluated, such as the size expected in two years
	// Transport states how the nodes are connected: "loopback" for sockets, "memory" for connections
	// in memory, or "calls" for function calls without connections.
	Transport string
	Metrics   []results.Metric // metrics of each sample
}

// Needs holds the estimated memory, processes and time that a measurement of one size takes.
type Needs struct {
	Memory    int64         // estimated bytes of memory
	Processes int           // number of processes that run in addition to this one
	Time      time.Duration // expected duration; a measurement of the size that takes twice as long is aborted
	// Refusal is the reason why the size cannot be measured on any machine with the given options.
	// It is empty if the size can be measured.
	Refusal string
}

// Measurement measures one aspect of a deployment, at one size at a time.
type Measurement interface {
	// Describe returns the name, the sizes and the metrics of the measurement.
	Describe() Description
	// Needs estimates the memory, processes and time that the measurement of a size takes.
	Needs(size int, options Options) Needs
	// Run measures one size. It returns an error if the context ends before the measurement is
	// complete.
	Run(ctx context.Context, size int, options Options) (results.Sample, error)
}

// Measurements returns all measurements, in the order in which users see them listed.
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

// Find returns the measurement of the given name.
func Find(name string) (Measurement, error) {
	var names []string
	for _, m := range Measurements() {
		if m.Describe().Name == name {
			return m, nil
		}
		names = append(names, m.Describe().Name)
	}
	return nil, fmt.Errorf("there is no measurement %q; the measurements are %s", name, strings.Join(names, ", "))
}

// MeasureSizes runs a measurement at each of the given sizes, and fits the results. Without given
// sizes, it uses the sizes of the measurement's description. It starts nothing and returns a
// *RefusedError if a size cannot be measured, or needs more memory, processes or time than a run
// may take.
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

// buildRevision returns the abbreviated hash of the commit that the program was built from, or ""
// if the build did not record the commit.
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

const revisionDigits = 7 // number of digits of an abbreviated commit hash, the same as in git's output
