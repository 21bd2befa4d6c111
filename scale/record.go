package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"wheelrill/internal/process"
	"wheelrill/rehearse"
	"wheelrill/scale/results"
)

// recordReal measures the traffic, processor time and memory that the record costs real
// controllers. The controllers run as processes with fake proxies around them, and all of them are
// members of the record.
type recordReal struct{}

// Numbers of proxies and backends in the measured deployment, estimates of the memory that the
// deployment takes, and times.
const (
	recordProxies   = 30
	recordBackends  = 12
	memberMemory    = 64 << 20 // approximate bytes of memory of a real member
	fakesMemory     = 64 << 20 // approximate bytes of memory of all fake proxies and backends, which run in this process
	startTimeout    = 30 * time.Second
	costLogInterval = 10 * time.Second // interval at which a member logs the cost of the record
)

// recordMetrics returns the metrics that recordReal and recordHollow have in common.
func recordMetrics() []results.Metric {
	return []results.Metric{
		{Name: "entries_per_s", Unit: "1/s", About: "entries at each member", Fit: true},
		{Name: "follower_bytes_per_s", Unit: "bytes/s", About: "in and out at a follower, mean", Budget: maxBytesPerSecond, Fit: true},
		{Name: "leader_bytes_per_s", Unit: "bytes/s", About: "in and out at the leader", Budget: maxBytesPerSecond, Fit: true}}
}

// Describe returns the name, the sizes and the metrics of the measurement.
func (recordReal) Describe() Description {
	return Description{Name: "record",
		About: "The record, all controllers being members, real processes with 30 proxies in all", SizeUnit: "members",
		Sizes: []int{3, 5, 7, 9, 11}, Targets: []int{100, targetControllers}, Transport: "loopback",
		Metrics: append(recordMetrics(),
			results.Metric{Name: "follower_processor", Unit: "% of a core",
				About: "processor time of a follower, mean", Budget: maxProcessorPercent, Fit: true},
			results.Metric{Name: "leader_processor", Unit: "% of a core",
				About: "processor time of the leader", Budget: maxProcessorPercent, Fit: true},
			results.Metric{Name: "memory", Unit: "MB", About: "resident memory of a member, most", Budget: maxMegabytes, Fit: true})}
}

// Needs returns the memory, processes and time that the member processes, and the fake proxies and
// backends in this process, take. If the size cannot be measured, Needs returns the reason.
func (recordReal) Needs(size int, o Options) Needs {
	needs := Needs{Memory: int64(size)*memberMemory + fakesMemory, Processes: size, Time: 2*startTimeout + o.Duration}
	if o.Duration < 2*costLogInterval {
		needs.Refusal = fmt.Sprintf("--for is %s, but a member logs its cost every %s; give %s or more",
			o.Duration, costLogInterval, 2*costLogInterval)
	}
	return needs
}

// Run runs a scenario without faults. It reads the processor time and memory of each member
// process, and reads the cost of the record from the log of each member.
func (recordReal) Run(ctx context.Context, size int, o Options) (results.Sample, error) {
	folder, err := os.MkdirTemp(o.Folder, "record-")
	if err != nil {
		return results.Sample{}, err
	}
	usages := &memberUsage{before: map[string]usage{}, after: map[string]usage{}}
	scenario := rehearse.Scenario{Calm: true, Sharing: true, Duration: o.Duration, FaultInterval: o.Duration,
		Controllers: size, Proxies: recordProxies, Backends: recordBackends, Seed: o.Seed, Program: o.Program,
		Folder: folder, Progress: o.Progress, Observe: usages.observe}
	report, err := scenario.Run(ctx)
	if err = errors.Join(err, usages.readErr); err != nil {
		return results.Sample{}, err
	}
	members := map[string]memberCost{}
	for name := range usages.before {
		if members[name], err = readLoggedCost(filepath.Join(folder, name+".log")); err != nil {
			return results.Sample{}, err
		}
	}
	s := usages.sample(members)
	if report.Verdict != rehearse.VerdictPassed {
		s.Inconclusive = fmt.Sprintf("the rehearsal's verdict is %q: %s; %v", report.Verdict, report.Reason, report.ViolationCounts)
	}
	return s, nil
}

// memberUsage holds the processor time and memory that each member had taken at the start and at
// the end of a rehearsal.
type memberUsage struct {
	before, after map[string]usage
	began, ended  time.Time
	readErr       error
}

// observe reads the usage of each member at the start and at the end of a rehearsal.
func (s *memberUsage) observe(controllers []*process.Controller, ended bool) {
	target := s.before
	if ended {
		target = s.after
		s.ended = time.Now()
	} else {
		s.began = time.Now()
	}
	for _, c := range controllers {
		usage, err := readUsage(c.PID())
		s.readErr = errors.Join(s.readErr, err)
		target[c.Name] = usage
	}
}

// processor returns the mean processor time of a member during the rehearsal, in percent of a core.
func (s *memberUsage) processor(name string) float64 {
	return percent * (s.after[name].processor - s.before[name].processor).Seconds() / s.ended.Sub(s.began).Seconds()
}

// sample returns the metrics of the record: the entries per second as a mean over all members, the
// bytes per second and the processor time as means over the followers and as figures of the leader,
// and the largest memory of a member.
func (s *memberUsage) sample(members map[string]memberCost) (sample results.Sample) {
	var entries, bytes, processor, leaderBytes, leaderProcessor, memory float64
	followers := float64(len(members) - 1)
	for name, cost := range members {
		memory = max(memory, float64(s.after[name].resident)/megabyte)
		entries += cost.entries / float64(len(members))
		if cost.leads {
			leaderBytes = cost.bytes
			leaderProcessor = s.processor(name)
		} else {
			bytes += cost.bytes / followers
			processor += s.processor(name) / followers
		}
	}
	sample.Set("entries_per_s", entries)
	sample.Set("follower_bytes_per_s", bytes)
	sample.Set("leader_bytes_per_s", leaderBytes)
	sample.Set("follower_processor", processor)
	sample.Set("leader_processor", leaderProcessor)
	sample.Set("memory", memory)
	return sample
}

// memberCost holds what a member's log states: the entries and bytes per second that the record
// costs the member, and whether the member leads.
type memberCost struct {
	entries, bytes float64
	leads          bool
}

// readLoggedCost reads from a member's log the last logged cost of the record, and whether the
// member leads at the end of the log.
func readLoggedCost(path string) (cost memberCost, err error) {
	file, err := os.Open(path)
	if err != nil {
		return cost, err
	}
	defer file.Close()
	found := false
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		switch logEvent(line) {
		case logLeading:
			cost.leads = logField(line, logLeads) == "true"
		case logRecord:
			found = true
			cost.entries, err = strconv.ParseFloat(logField(line, logEntries), 64)
			if err == nil {
				cost.bytes, err = strconv.ParseFloat(logField(line, logBytes), 64)
			}
			if err != nil {
				return cost, fmt.Errorf("%s: %w", path, err)
			}
		}
	}
	if !found {
		return cost, fmt.Errorf("%s: the member logged no cost of the record", path)
	}
	return cost, nil
}
