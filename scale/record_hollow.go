package scale

import (
	"context"
	"os"
	"sync"
	"time"

	"wheelrill/scale/results"
)

// recordHollow measures the traffic, processor time and memory that the record costs hollow
// controllers in one process. All of the controllers are members of the record. The sizes are
// numbers of members or, with byLease, durations of their lease in milliseconds.
type recordHollow struct{ byLease bool }

// Approximate memory in bytes of a hollow member, and of each of its connections. Each member is
// connected to every other one.
const (
	hollowMemberMemory = 2 << 20
	connectionMemory   = 128 << 10
)

// Describe returns the name, the sizes and the metrics of the measurement.
func (r recordHollow) Describe() Description {
	d := Description{Name: "record-hollow", About: "The record, all controllers being members, hollow ones without proxies in one process",
		SizeUnit: "members", Sizes: []int{3, 5, 7, 9, 15, 25, 35}, Targets: []int{100, targetControllers},
		Transport: "loopback",
		Metrics: append(recordMetrics(),
			results.Metric{Name: "processor", Unit: "% of a core", About: "processor time of a member, mean", Budget: maxProcessorPercent, Fit: true},
			results.Metric{Name: "memory", Unit: "MB", About: "resident memory of a member, mean", Budget: maxMegabytes, Fit: true})}
	if r.byLease {
		d.Name = "record-lease"
		d.About = "The record of the voters, hollow ones without proxies in one process, by their lease"
		d.SizeUnit = "ms of lease"
		d.Sizes = []int{1500, 3000, 4500, 6000, 9000}
		d.Targets = []int{int(voterLease.Milliseconds())}
	}
	return d
}

// members returns the number of members at the given size, and the duration of their lease.
func (r recordHollow) members(size int, o Options) (members int, lease time.Duration) {
	if r.byLease {
		return o.Voters, time.Duration(size) * time.Millisecond
	}
	return size, defaultLease
}

// Needs returns the memory that the measurement of one size takes in this process, and its time.
func (r recordHollow) Needs(size int, o Options) Needs {
	size, _ = r.members(size, o)
	return Needs{Memory: int64(size) * (hollowMemberMemory + int64(size)*connectionMemory),
		Time: startTimeout + o.Duration}
}

// Run starts members that renew their leases for Options.Duration, and measures the traffic between
// the members, and their processor time and memory.
func (r recordHollow) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	size, lease := r.members(size, o)
	var running sync.WaitGroup
	defer running.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	members, err := startHollowMembers(ctx, &running, size, lease)
	if err != nil {
		return s, err
	}
	before := recordCosts(members)
	began := time.Now()
	usageBefore, err := readUsage(os.Getpid())
	if err != nil {
		return s, err
	}
	if err := pauseFor(ctx, o.Duration); err != nil {
		return s, err
	}
	after := recordCosts(members)
	usageAfter, err := readUsage(os.Getpid())
	if err != nil {
		return s, err
	}
	seconds := time.Since(began).Seconds()
	setRecordCosts(before, after, seconds, &s)
	s.Set("processor", percent*(usageAfter.processor-usageBefore.processor).Seconds()/seconds/float64(size))
	s.Set("memory", float64(usageAfter.resident)/megabyte/float64(size))
	return s, nil
}

// hollowCost holds the number of entries and bytes that the record has cost a member since its
// start, and whether the member leads at present.
type hollowCost struct {
	entries uint64
	bytes   int64
	leads   bool
}

func recordCosts(members []*hollowMember) []hollowCost {
	costs := make([]hollowCost, len(members))
	for i, m := range members {
		costs[i].entries, costs[i].bytes = m.node.Cost()
		costs[i].leads = m.node.IsLeader()
	}
	return costs
}

// setRecordCosts sets the metrics of the record's entries and bytes per second. The bytes of the
// leader and of the followers are separate metrics.
func setRecordCosts(before, after []hollowCost, seconds float64, s *results.Sample) {
	size := float64(len(after))
	var entries, followers, leader float64
	for i, cost := range after {
		entries += float64(cost.entries-before[i].entries) / seconds / size
		bytes := float64(cost.bytes-before[i].bytes) / seconds
		if cost.leads {
			leader = bytes
		} else {
			followers += bytes / (size - 1)
		}
	}
	s.Set("entries_per_s", entries)
	s.Set("follower_bytes_per_s", followers)
	s.Set("leader_bytes_per_s", leader)
	if leader == 0 {
		s.Inconclusive = "no member led at the end"
	}
}
