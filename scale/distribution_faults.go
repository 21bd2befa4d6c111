package scale

import (
	"context"
	"slices"
	"sync"
	"time"

	"wheelrill/scale/results"
)

// distributedFaults measures how long changes of the record take to reach subscribers during
// faults.
type distributedFaults struct{}

// treeFault is a kind of fault in the tree. The measurement injects it for a span of time, while
// changes are made at ten times the mean rate.
type treeFault struct {
	name, about string
	spanDivisor int // the span of the fault is Options.Duration divided by this number
	inject      func(ctx context.Context, t *tree, span time.Duration) error
}

// Times and extent of the faults.
const (
	parentKillInterval = 5 * time.Second
	leaderKillInterval = 15 * time.Second
	downtime           = 2 * time.Second // time from the kill of a node until its restart
	restartedOneIn     = 50              // one subscriber in 50 is killed, all at the same time: 220 of 11,000
	// Changes continue for this time after a fault, to measure how long nodes take to apply the
	// changes that they missed.
	recoveryTime = 5 * time.Second
)

func treeFaults() []treeFault {
	return []treeFault{
		{"parents", "a parent killed every 5 s", 1, killParents},
		{"restarts", "one node in 50 killed at once and started again", 6, restartMany},
		{"region", "a region cut off", 1, partitionRegion},
		{"leader", "the voters' leader killed every 15 s", 1, killLeaders},
		{"majority", "the voters' majority lost for half the time", 1, loseMajority},
	}
}

// Describe returns the name, the sizes and the metrics of the measurement.
func (distributedFaults) Describe() Description {
	d := Description{Name: "distribution-faults", About: "Distribution below the record under faults, 4.2 changes a second, hollow subscribers in one process",
		SizeUnit: "subscribers", Sizes: []int{1100}, Transport: "memory"}
	for _, f := range treeFaults() {
		d.Metrics = append(d.Metrics,
			results.Metric{Name: f.name + "_half", Unit: "s", About: f.about + ": until in force, 50 in 100", Budget: maxPropagationSeconds},
			results.Metric{Name: f.name + "_p99", Unit: "s", About: f.about + ": until in force, 99 in 100", Budget: maxPropagationSeconds},
			results.Metric{Name: f.name + "_most", Unit: "s", About: f.about + ": until in force, 100 in 100", Budget: maxPropagationSeconds},
			results.Metric{Name: f.name + "_back", Unit: "s",
				About: f.about + ": until what was missed is in force, from being reachable again, 100 in 100", Budget: maxPropagationSeconds},
			results.Metric{Name: f.name + "_faults", Unit: "times", About: f.about + ": nodes hit"},
			results.Metric{Name: f.name + "_snapshots", Unit: "snapshots", About: f.about + ": taken by nodes that were started anew"},
			results.Metric{Name: f.name + "_bytes_per_s_worst", Unit: "bytes/s",
				About: f.about + ": in and out at the worst node", Budget: maxBytesPerSecond})
	}
	return d
}

// Needs returns the time that the measurement of one size takes, and the memory of all nodes, which
// run in this process.
func (distributedFaults) Needs(size int, o Options) Needs {
	return Needs{Memory: scaledTree(size).memory(o),
		Time: startTimeout + readyTimeout + time.Duration(len(treeFaults()))*(o.Duration+recoveryTime+settleTimeout)}
}

// Run injects the kinds of faults one after the other, and measures each of them.
func (distributedFaults) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	t, err := newTree(ctx, scaledTree(size), o)
	if err != nil {
		return s, err
	}
	defer t.close()
	delays := watchDelays()
	for _, f := range treeFaults() {
		o.progressf("%d subscribers: %s", size, f.about)
		if err := t.measureFault(ctx, f, &s); err != nil {
			return s, err
		}
	}
	s.Violations = t.propagation.violations
	s.Inconclusive = delays.inconclusiveReason()
	return s, nil
}

// measureFault injects a fault while changes are made, and sets the metrics of that kind of fault.
func (t *tree) measureFault(ctx context.Context, f treeFault, s *results.Sample) error {
	t.propagation.reset()
	span := max(t.options.Duration/time.Duration(f.spanDivisor), downtime)
	startsBefore := t.starts.Load()
	needlessBefore := t.needlessSnapshots()
	before := t.bytes()
	began := time.Now()
	t.faultHits.Store(0)
	var injecting sync.WaitGroup
	var faultErr error
	injecting.Go(func() { faultErr = f.inject(ctx, t, span) })
	_, err := t.makeChanges(ctx, changesPerSecond*changeRateFactor, began.Add(span+min(recoveryTime, t.options.Duration)))
	injecting.Wait()
	if err == nil {
		err = faultErr
	}
	if err != nil {
		return err
	}
	after := t.bytes()
	seconds := time.Since(began).Seconds()
	if err := t.settle(ctx); err != nil {
		return err
	}
	worst := 0.
	for name := range after {
		worst = max(worst, float64(after[name]-before[name])/seconds)
	}
	s.Set(f.name+"_half", t.propagation.seconds(t.propagation.latency, 50))
	s.Set(f.name+"_p99", t.propagation.seconds(t.propagation.latency, 99))
	s.Set(f.name+"_most", t.propagation.seconds(t.propagation.latency, 100))
	s.Set(f.name+"_back", t.propagation.seconds(t.propagation.catchUpLatency, 100))
	s.Set(f.name+"_faults", float64(t.faultHits.Load()))
	s.Set(f.name+"_snapshots", float64(t.starts.Load()-startsBefore))
	s.Set(f.name+"_bytes_per_s_worst", worst)
	if needless := t.needlessSnapshots() - needlessBefore; needless > 0 {
		t.propagation.addViolation("%s: %d snapshots were installed where deltas would have been enough", f.about, needless)
	}
	return nil
}

// restart kills a node, and starts it as a new incarnation after the downtime.
func (t *tree) restart(ctx context.Context, s *hollowSubscriber) {
	t.faultHits.Add(1)
	s.kill()
	_ = pauseFor(ctx, downtime) // ignore the end of the context: the node must start, so that close finds it running
	t.starts.Add(1)
	s.start()
}

// killParents kills one random node with children in each parentKillInterval, and restarts the node
// after the downtime. The node is usually a subscriber, and sometimes a distributor.
func killParents(ctx context.Context, t *tree, span time.Duration) error {
	var restarting sync.WaitGroup
	defer restarting.Wait()
	for until := time.Now().Add(span); time.Now().Before(until); {
		if parent := t.drawParent(); parent != nil {
			restarting.Go(func() { t.restart(ctx, parent) })
		}
		if err := pauseFor(ctx, min(parentKillInterval, time.Until(until))); err != nil {
			return err
		}
	}
	return nil
}

// drawParent returns a random distributor or subscriber that has children, or nil if no distributor
// or subscriber has children.
func (t *tree) drawParent() *hollowSubscriber {
	nodes := t.nodes()
	for _, i := range t.faultRandom.Perm(len(nodes)) {
		if status, ok := nodes[i].status(); ok && len(status.Children) > 0 {
			return nodes[i]
		}
	}
	return nil
}

// restartMany kills one subscriber in fifty, all at the same time, and starts them again after the
// downtime.
func restartMany(ctx context.Context, t *tree, _ time.Duration) error {
	var restarting sync.WaitGroup
	for _, i := range t.faultRandom.Perm(len(t.subscribers))[:(len(t.subscribers)+restartedOneIn-1)/restartedOneIn] {
		restarting.Go(func() { t.restart(ctx, t.subscribers[i]) })
	}
	restarting.Wait()
	return ctx.Err()
}

// partitionRegion cuts off a random region that has no voters, for the span of the fault.
func partitionRegion(ctx context.Context, t *tree, span time.Duration) error {
	voters := len(t.voters.voters)
	region := voters + t.faultRandom.IntN(regions-voters)
	t.network.cutOff(region)
	err := pauseFor(ctx, span)
	for _, s := range t.nodes() {
		if s.region == region {
			t.faultHits.Add(1)
			s.markReachable()
		}
	}
	t.network.heal()
	return err
}

// killLeaders kills the leading voter every leaderKillInterval, and restarts the voter after the
// downtime with the log and votes that it has on disk.
func killLeaders(ctx context.Context, t *tree, span time.Duration) error {
	for until := time.Now().Add(span); time.Now().Before(until); {
		if v := t.voters.leader(); v != nil {
			t.faultHits.Add(1)
			v.kill()
			if err := pauseFor(ctx, downtime); err != nil {
				return err
			}
			if err := v.start(); err != nil {
				return err
			}
		}
		if err := pauseFor(ctx, max(0, min(leaderKillInterval-downtime, time.Until(until)))); err != nil {
			return err
		}
	}
	return nil
}

// loseMajority kills a majority of the voters, including the leader, and restarts them after half
// of the fault's span.
func loseMajority(ctx context.Context, t *tree, span time.Duration) error {
	majority := slices.Clone(t.voters.voters)
	slices.SortStableFunc(majority, func(a, b *voter) int {
		switch leader := t.voters.leader(); {
		case a == leader:
			return -1
		case b == leader:
			return 1
		}
		return 0
	})
	majority = majority[:len(majority)/2+1]
	for _, v := range majority {
		t.faultHits.Add(1)
		v.kill()
	}
	if err := pauseFor(ctx, span/2); err != nil {
		return err
	}
	for _, v := range majority {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}
