package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"wheelrill/scale/results"
)

// roles measures one voter, one distributor and one controller that has children, each as a real
// process, as a function of the total number of distributed entries. The other voters, and the
// children of the distributor and the controller, are hollow nodes in this process.
type roles struct{}

// Names of the real processes, which are also the prefixes of the names of their metrics.
const (
	voterRole       = "voter"
	distributorRole = "distributor"
	controllerRole  = "controller"
)

// Numbers of children, limits and times of the deployment around the real processes.
const (
	distributorChildren = maxFanOut - 1 // number of hollow children of the distributor; the controller is its child too
	// Number of hollow children of the controller. The rate at which a controller sends snapshots
	// is limited, so with more children it would take minutes until all have their configuration.
	controllerChildren     = 4
	dedicatedNodeMegabytes = 4096 // memory limit in MB of a process on a dedicated machine
	rolesReadyTimeout      = 4 * time.Minute
	statsLogInterval       = 10 * time.Second // interval at which a controller logs its distribution status
	rolesSeed              = 17
)

// Describe returns the name, the sizes and the metrics of the measurement.
func (roles) Describe() Description {
	d := Description{Name: "roles", SizeUnit: "entries in all", Sizes: []int{5700, 50_000, 150_000, entriesOfAll},
		Transport: "loopback", Targets: []int{entriesOfAll},
		About: fmt.Sprintf("A voter, a distributor with %d children and a controller with %d and %d backends, real processes, 4.2 changes a second",
			maxFanOut, controllerChildren, backendsServed)}
	for _, role := range []string{voterRole, distributorRole, controllerRole} {
		d.Metrics = append(d.Metrics,
			results.Metric{Name: role + "_bytes_per_s", Unit: "bytes/s", About: "in and out at the " + role, Budget: maxBytesPerSecond},
			results.Metric{Name: role + "_processor", Unit: "% of a core", About: "processor time of the " + role, Budget: maxProcessorPercent},
			results.Metric{Name: role + "_memory", Unit: "MB",
				About: "resident memory of the " + role + ", the most", Budget: maxMegabytes, Fit: true})
	}
	d.Metrics = append(d.Metrics,
		results.Metric{Name: "distributor_ready", Unit: "s", About: "from the start of the distributor until it has all entries", Fit: true},
		results.Metric{Name: "controller_ready", Unit: "s",
			About: "from the start of the controller until it has those of its services", Fit: true},
		results.Metric{Name: "controller_entries", Unit: "entries", About: "of its services, and those of all"},
		results.Metric{Name: "most", Unit: "s", About: "until in force at the last child, 100 in 100", Budget: maxPropagationSeconds})
	return d
}

// Needs returns the memory, processes and time that the three real processes and this process take,
// or the reason why the size cannot be measured.
func (roles) Needs(size int, o Options) Needs {
	held := int64(o.Voters*copiesAtVoter+2) * int64(size) * entryMemory * heapGrowth
	children := int64(maxFanOut+controllerChildren) * (subscriberMemory + int64(size/targetGroups)*entryMemory*heapGrowth)
	needs := Needs{Memory: treeMemory + 3*memberMemory + held + children, Processes: 3,
		Time: startTimeout + 2*rolesReadyTimeout + o.Duration}
	if o.Duration < 2*statsLogInterval {
		needs.Refusal = fmt.Sprintf("--for is %s, but a controller logs its cost every %s; give %s or more",
			o.Duration, statsLogInterval, 2*statsLogInterval)
	}
	return needs
}

// Run starts the voters, then the nodes below them, makes changes, and reads the traffic, the
// processor time and the memory of the three real processes.
func (roles) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	folder, err := os.MkdirTemp(o.Folder, "roles-")
	if err != nil {
		return s, err
	}
	r, err := newRoleFleet(size, folder, o)
	if err != nil {
		return s, err
	}
	defer r.close()
	delays := watchDelays()
	if err := r.start(ctx); err != nil {
		return s, fmt.Errorf("%w; the logs are in %s", err, folder)
	}
	if err := r.measure(ctx, &s); err != nil {
		return s, fmt.Errorf("%w; the logs are in %s", err, folder)
	}
	s.Violations = r.propagation.violations
	s.Inconclusive = delays.inconclusiveReason()
	return s, nil
}

// measure makes changes for Options.Duration, and sets the metrics of each real process.
func (r *roleFleet) measure(ctx context.Context, s *results.Sample) error {
	r.propagation.reset()
	random := rand.New(rand.NewPCG(r.options.Seed, rolesSeed))
	rate := changeRate{perS: changesPerSecond * changeRateFactor}
	before := map[string]preciseUsage{}
	began := time.Now()
	for role, c := range r.processes {
		usage, err := readPreciseUsage(c.process.PID())
		if err != nil {
			return err
		}
		before[role] = usage
	}
	for time.Since(began) < r.options.Duration {
		if err := pauseFor(ctx, rate.pause(random)); err != nil {
			return err
		}
		if err := r.propose(ctx, r.content.drawChange()); err != nil {
			return err
		}
	}
	seconds := time.Since(began).Seconds()
	for _, role := range []string{voterRole, distributorRole, controllerRole} {
		usage, err := readPreciseUsage(r.processes[role].process.PID())
		if err != nil {
			return err
		}
		bytes, err := r.bytesPerS(role)
		if err != nil {
			return err
		}
		s.Set(role+"_bytes_per_s", bytes)
		s.Set(role+"_processor", percent*(usage.processor-before[role].processor).Seconds()/seconds)
		s.Set(role+"_memory", float64(usage.peak)/megabyte)
	}
	last := r.content.lastRevision()
	await(ctx, maxPropagationSeconds*time.Second, func() bool { return countBehind(r.children, r.content, last) == 0 })
	forEachNode(r.children, func(child *hollowSubscriber) { child.check(r.content, last) })
	s.Set("distributor_ready", r.ready[distributorRole].Seconds())
	s.Set("controller_ready", r.ready[controllerRole].Seconds())
	s.Set("controller_entries", float64(commonEntries+r.content.shape.entriesPerGroup))
	s.Set("most", r.propagation.seconds(r.propagation.latency, 100))
	return nil
}

// bytesPerS returns the bytes per second that a process last logged. For a voter, they are the
// bytes on all connections of the record, including the bytes that the voter exchanges with
// subscribers on these connections. For the other processes, they are the bytes on the connections
// of distribution.
func (r *roleFleet) bytesPerS(role string) (sum float64, err error) {
	event := logDistributionStatus
	keys := []string{logInBytes, logOutBytes}
	if role == voterRole {
		event = logRecord
		keys = []string{logBytes}
	}
	line, ok := r.processes[role].lastLine(event)
	if !ok {
		return 0, fmt.Errorf("the log of the %s has no line msg=%s, which gives its bytes per second", role, event)
	}
	for _, key := range keys {
		value, err := strconv.ParseFloat(logField(line.text, key), 64)
		if err != nil {
			return 0, fmt.Errorf("value of %s in the log line msg=%s: %w", key, event, err)
		}
		sum += value
	}
	return sum, nil
}
