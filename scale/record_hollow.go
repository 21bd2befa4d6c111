package scale

import (
	"context"
	"os"
	"sync"
	"time"

	"wheelrill/scale/results"
)

// recordHollow is what the record costs hollow controllers, all members, in one process: by their number, or by their lease.
type recordHollow struct{ byLease bool }

// What a hollow member takes, about: its connections are to every other.
const (
	hollowMemberMemory = 2 << 20
	connectionMemory   = 128 << 10
)

// Describe says what it is.
func (r recordHollow) Describe() Description {
	d := Description{Name: "record-hollow", About: "The record, all controllers being members, hollow ones without proxies in one process",
		Size: "members", Sizes: []int{3, 5, 7, 9, 15, 25, 35}, Targets: []int{100, targetControllers}, Transport: "loopback",
		Metrics: append(recordMetrics(),
			results.Metric{Name: "processor", Unit: "% of a core", About: "processor time of a member, mean", Budget: maxProcessorPercent, Fit: true},
			results.Metric{Name: "memory", Unit: "MB", About: "resident memory of a member, mean", Budget: maxMegabytes, Fit: true})}
	if r.byLease {
		d.Name, d.About = "record-lease", "The record of the voters, hollow ones without proxies in one process, by their lease"
		d.Size, d.Sizes, d.Targets = "ms of lease", []int{1500, 3000, 4500, 6000, 9000}, []int{int(voterLease.Milliseconds())}
	}
	return d
}

// members is how many there are at a size, and their lease.
func (r recordHollow) members(size int, o Options) (members int, lease time.Duration) {
	if r.byLease {
		return o.Voters, time.Duration(size) * time.Millisecond
	}
	return size, defaultLease
}

// Needs are those of our own process.
func (r recordHollow) Needs(size int, o Options) Needs {
	size, _ = r.members(size, o)
	return Needs{Memory: int64(size) * (hollowMemberMemory + int64(size)*connectionMemory), Time: startTimeout + o.For}
}

// Run has members renew their leases, and reads what passed over their connections.
func (r recordHollow) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	size, lease := r.members(size, o)
	var running sync.WaitGroup
	defer running.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	members, err := startMembers(ctx, &running, size, lease)
	if err != nil {
		return s, err
	}
	before, costs, began := make([]hollowCost, size), make([]hollowCost, size), time.Now()
	for i, m := range members {
		before[i].entries, before[i].bytes = m.node.Cost()
	}
	earlierLives, err := readUsage(os.Getpid())
	if err != nil {
		return s, err
	}
	select {
	case <-ctx.Done():
		return s, ctx.Err()
	case <-time.After(o.For):
	}
	for i, m := range members {
		costs[i].entries, costs[i].bytes = m.node.Cost()
		costs[i].leads = m.node.IsLeader()
	}
	spent, err := readUsage(os.Getpid())
	if err != nil {
		return s, err
	}
	seconds := time.Since(began).Seconds()
	var entries, followers, leader float64
	for i, c := range costs {
		entries += float64(c.entries-before[i].entries) / seconds / float64(size)
		if bytes := float64(c.bytes-before[i].bytes) / seconds; c.leads {
			leader = bytes
		} else {
			followers += bytes / float64(size-1)
		}
	}
	s.Set("entries_per_s", entries)
	s.Set("follower_bytes_per_s", followers)
	s.Set("leader_bytes_per_s", leader)
	s.Set("processor", percent*(spent.Processor-earlierLives.Processor).Seconds()/seconds/float64(size))
	s.Set("memory", float64(spent.Memory)/megabyte/float64(size))
	if leader == 0 {
		s.Inconclusive = "no member led at the end"
	}
	return s, nil
}

// hollowCost is what the record has cost a member so far.
type hollowCost struct {
	entries uint64
	bytes   int64
	leads   bool
}
