package scale

import (
	"context"
	"fmt"
	"time"

	"wheelrill/scale/results"
)

// recoveryTree measures what it costs when subscribers of a running deployment restart at the same
// time, as a function of the number of subscribers that restart.
type recoveryTree struct{ subscribers int }

// recoveryDelta measures the time and bytes that a region needs to catch up after it was cut off,
// as a function of the number of changes that the region missed.
type recoveryDelta struct{ subscribers int }

// Size and times of the deployment of recoveryTree and recoveryDelta.
const (
	recoverySubscribers = 1100            // number of subscribers of the deployment
	minCutTime          = 4 * time.Second // shortest cut: longer than a parent's lease, so subscribers lose their parents
	allProposalsTime    = time.Minute     // estimated time until all proposed changes are accepted
)

// Describe returns the name, the sizes and the metrics of the measurement.
func (m recoveryTree) Describe() Description {
	return Description{Name: "recovery-subscribers", SizeUnit: "subscribers that restart at once",
		Sizes:   []int{1, 40, 220, m.subscribers},
		Targets: []int{40, 220, targetControllers}, Transport: "memory",
		About: fmt.Sprintf("Of %d hollow subscribers some are killed and start anew at once; each learns %d entries", m.subscribers,
			commonEntries+servicesPerGroup),
		Metrics: []results.Metric{
			{Name: "ready", Unit: "s", About: "until the last has its configuration", Fit: true},
			{Name: "bytes", Unit: "bytes", About: "that one of them is sent until then, mean", Fit: true},
			{Name: "worst_bytes_per_s", Unit: "bytes/s", About: "in and out at the node that passes on most meanwhile", Budget: maxBytesPerSecond},
			{Name: "processor", Unit: "ms", About: "processor time of the whole installation for each of them", Fit: true},
			{Name: "repeats", Unit: "repeats", About: "that the median is taken of"},
		}}
}

// Needs returns the time that the measurement of one size takes, and the memory of all nodes, which
// run in this process.
func (m recoveryTree) Needs(size int, o Options) Needs {
	return Needs{Memory: scaledTree(max(size, m.subscribers)).memory(o),
		Time: o.Duration + startTimeout + 2*readyTimeout}
}

// restartCost holds the figures of one restart of some subscribers.
type restartCost struct {
	ready     time.Duration // time from the restart until all restarted subscribers had their configuration
	processor time.Duration // processor time that the whole deployment took while subscribers restarted
	bytes     float64       // mean number of bytes that a restarted subscriber received
	worst     float64       // bytes per second that the busiest node sent and received
}

// Run restarts the given number of random subscribers in each repeat, and returns the medians. The
// seed of the run determines which subscribers.
func (m recoveryTree) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	t, err := newTree(ctx, scaledTree(max(size, m.subscribers)), o)
	if err != nil {
		return s, err
	}
	defer t.close()
	delays := watchDelays()
	var all []restartCost
	s.Partial, err = runRepeats(ctx, o.Duration, func() error {
		cost, err := t.restartSome(ctx, size)
		all = append(all, cost)
		return err
	})
	if err != nil {
		return s, err
	}
	s.Set("ready", medianOf(all, func(c restartCost) float64 { return c.ready.Seconds() }))
	s.Set("bytes", medianOf(all, func(c restartCost) float64 { return c.bytes }))
	s.Set("worst_bytes_per_s", medianOf(all, func(c restartCost) float64 { return c.worst }))
	s.Set("processor", medianOf(all, func(c restartCost) float64 { return c.processor.Seconds() * 1000 / float64(size) }))
	s.Set("repeats", float64(len(all)))
	s.Violations = t.propagation.violations
	s.Inconclusive = delays.inconclusiveReason()
	return s, nil
}

// restartSome kills the given number of random subscribers, starts them as new incarnations, and
// waits until all of them have their configuration.
func (t *tree) restartSome(ctx context.Context, count int) (cost restartCost, err error) {
	var restarted []*hollowSubscriber
	for _, i := range t.random.Perm(len(t.subscribers))[:count] {
		restarted = append(restarted, t.subscribers[i])
	}
	forEachNode(restarted, (*hollowSubscriber).kill)
	before := t.bytes()
	processorBefore := processorTime()
	began := time.Now()
	for _, s := range restarted {
		t.starts.Add(1)
		s.start()
	}
	if !awaitClosely(ctx, readyTimeout, func() bool { return countWaiting(restarted) == 0 }) {
		return cost, fmt.Errorf("%d of %d subscribers have no configuration after %s",
			countWaiting(restarted), count, readyTimeout)
	}
	cost.ready = time.Since(began)
	cost.processor = processorTime() - processorBefore
	for name, bytes := range t.bytes() {
		cost.worst = max(cost.worst, float64(bytes-before[name])/max(cost.ready, time.Second).Seconds())
	}
	for _, s := range restarted {
		cost.bytes += float64(s.received()) / float64(count)
	}
	return cost, nil
}

// received returns the number of bytes that the present incarnation of the node has received.
func (s *hollowSubscriber) received() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.node.Traffic().In
}

// Describe returns the name, the sizes and the metrics of the measurement.
func (m recoveryDelta) Describe() Description {
	return Description{Name: "recovery-delta", SizeUnit: "changes missed", Sizes: []int{10, 40, 160, 640},
		Targets:   []int{126, 1512},
		Transport: "memory",
		About:     fmt.Sprintf("A region of %d hollow subscribers is cut off, misses changes and catches up", m.subscribers/regions),
		Metrics: []results.Metric{
			{Name: "ready", Unit: "s", About: "from the end of the cut until the last has all changes", Budget: maxPropagationSeconds, Fit: true},
			{Name: "bytes", Unit: "bytes", About: "that one of them is sent until then, mean", Fit: true},
			{Name: "snapshots", Unit: "snapshots", About: "that were taken, where deltas would have done"},
		}}
}

// Needs returns the time that the measurement of one size takes, and the memory of all nodes, which
// run in this process.
func (m recoveryDelta) Needs(_ int, o Options) Needs {
	return Needs{Memory: scaledTree(m.subscribers).memory(o), Time: startTimeout + 2*readyTimeout + allProposalsTime}
}

// Run cuts off a region without voters, makes the given number of changes, ends the cut, and
// measures how the region catches up.
func (m recoveryDelta) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	t, err := newTree(ctx, scaledTree(m.subscribers), o)
	if err != nil {
		return s, err
	}
	defer t.close()
	delays := watchDelays()
	region := len(t.voters.voters) + t.random.IntN(regions-len(t.voters.voters))
	t.network.cutOff(region)
	began := time.Now()
	for range size {
		if err := t.voters.propose(ctx, t.content.drawChange()); err != nil {
			return s, err
		}
	}
	if err := pauseFor(ctx, minCutTime-time.Since(began)); err != nil {
		return s, err
	}
	var behind []*hollowSubscriber
	before := 0.
	for _, node := range t.nodes() {
		if node.region == region {
			behind = append(behind, node)
			before += float64(node.received())
			node.markReachable()
		}
	}
	t.network.heal()
	healed := time.Now()
	if !awaitClosely(ctx, readyTimeout, func() bool { return t.allCurrent(behind) }) {
		return s, fmt.Errorf("%s after the end of the cut, not all nodes of the region have the newest revision",
			readyTimeout)
	}
	ready := time.Since(healed)
	after := 0.
	for _, node := range behind {
		after += float64(node.received())
	}
	forEachNode(behind, func(node *hollowSubscriber) { node.check(t.content, t.content.lastRevision()) })
	s.Set("ready", ready.Seconds())
	s.Set("bytes", (after-before)/float64(len(behind)))
	s.Set("snapshots", float64(t.needlessSnapshots()))
	s.Violations = t.propagation.violations
	s.Inconclusive = delays.inconclusiveReason()
	return s, nil
}

// allCurrent reports whether all given nodes have the newest revision, according to their status.
func (t *tree) allCurrent(nodes []*hollowSubscriber) bool {
	last := t.content.lastRevision()
	for _, node := range nodes {
		if status, ok := node.status(); !ok || status.Version.Revision < last {
			return false
		}
	}
	return true
}
