package scale

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wheelrill/distribution"
	"wheelrill/distribution/transport"
	"wheelrill/scale/results"
)

// recoverySnapshot measures the time and the bytes that a subscriber without any state needs to get
// its configuration from a parent, as a function of the number of entries of its scope.
type recoverySnapshot struct{}

// Assumed size of the whole configuration.
const (
	targetRoutes  = 29_000
	targetTenants = 330_000
	targetGroups  = targetServices / servicesPerGroup
	entriesOfAll  = targetBackends + targetRoutes + targetTenants
	entriesServed = entriesOfAll / targetGroups // number of entries of one group of services; a controller needs one group

	snapshotTimeout = 2 * time.Minute
)

// Describe returns the name, the sizes and the metrics of the measurement.
func (recoverySnapshot) Describe() Description {
	return Description{Name: "recovery-snapshot", SizeUnit: "entries of its scope", Sizes: []int{77, 250, 800, 2500},
		Targets: []int{entriesServed, entriesOfAll}, Transport: "memory",
		About: fmt.Sprintf("A subscriber that starts anew, until it has its scope from a voter; values of %d bytes, pace by default", valueBytes),
		Metrics: []results.Metric{
			{Name: "ready", Unit: "s", About: "from its start until it has its configuration", Fit: true},
			{Name: "bytes", Unit: "bytes", About: "that it is sent", Fit: true},
			{Name: "entry_bytes", Unit: "bytes", About: "an entry as CBOR has it"},
			{Name: "processor", Unit: "ms", About: "processor time of both ends", Fit: true},
			{Name: "repeats", Unit: "repeats", About: "that the median is taken of"},
		}}
}

// Needs returns the memory that the voter and the subscriber take, and the time of the measurement.
func (recoverySnapshot) Needs(_ int, o Options) Needs {
	return Needs{Memory: treeMemory, Time: o.Duration + snapshotTimeout}
}

// snapshotCost holds the figures of one snapshot that a new subscriber receives.
type snapshotCost struct {
	ready, processor time.Duration
	bytes            int64
}

// Run starts a new subscriber in each repeat, and returns the medians.
func (recoverySnapshot) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	network := newNetwork()
	content := newContent(contentShape{groups: 1, entriesPerGroup: size}, o.Seed)
	entries := make([]distribution.Entry, size)
	for i := range entries {
		entries[i] = content.entry(groupScope(0), fmt.Sprintf("service/%d", i))
	}
	body, err := cbor.Marshal(entries)
	if err != nil {
		return s, err
	}
	if err := startSnapshotSource(ctx, &running, network, entries); err != nil {
		return s, err
	}
	var all []snapshotCost
	s.Partial, err = runRepeats(ctx, o.Duration, func() error {
		cost, err := measureSnapshot(ctx, network, size)
		all = append(all, cost)
		return err
	})
	if err != nil {
		return s, err
	}
	s.Set("ready", medianOf(all, func(c snapshotCost) float64 { return c.ready.Seconds() }))
	s.Set("bytes", medianOf(all, func(c snapshotCost) float64 { return float64(c.bytes) }))
	s.Set("entry_bytes", float64(len(body))/float64(size))
	s.Set("processor", medianOf(all, func(c snapshotCost) float64 { return c.processor.Seconds() * 1000 }))
	s.Set("repeats", float64(len(all)))
	return s, nil
}

// currentInterval is the interval at which the single voter reports to its transport that the
// voter's copy of the record is current. The members of a real record make the same report.
const currentInterval = 200 * time.Millisecond

// startSnapshotSource starts a single voter that distributes the entries until the context ends.
func startSnapshotSource(ctx context.Context, running *sync.WaitGroup, network *network, entries []distribution.Entry) error {
	change, err := distribution.NewRecord().Apply(distribution.Proposal{AcceptedAt: time.Now().UnixMicro(), Entries: entries,
		Epoch: distribution.Epoch{Number: 1, Identity: 1}})
	if err != nil {
		return err
	}
	name := voterName(0)
	voter := newVoterTransport(name, distribution.DefaultLimits())
	network.listen(name, 0, func(conn net.Conn) { voter.Accept(conn, nil) })
	running.Go(func() { voter.Run(ctx) })
	voter.Accepted(change)
	voter.Current()
	running.Go(func() {
		for pauseFor(ctx, currentInterval) == nil {
			voter.Current()
		}
	})
	return nil
}

// measureSnapshot runs a subscriber until it has its configuration, which must have the wanted
// number of entries.
func measureSnapshot(ctx context.Context, network *network, want int) (cost snapshotCost, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan struct{})
	entryCount := make(chan int, 1)
	subscriber := transport.New(transport.Config{
		Node: distribution.Config{Name: "subscriber", Scopes: distribution.SomeScopes(groupScope(0)), Candidates: []string{voterName(0)},
			Limits: distribution.DefaultLimits()},
		Dial: func(ctx context.Context, peer string) (net.Conn, error) { return network.dial(ctx, 0, peer) },
		Apply: func(change distribution.Change, _ bool) {
			select {
			case entryCount <- len(change.Entries):
			default:
			}
		}})
	began := time.Now()
	before := processorTime()
	go func() {
		defer close(ended)
		subscriber.Run(ctx)
	}()
	defer func() { stop(); <-ended }()
	select {
	case got := <-entryCount:
		cost = snapshotCost{time.Since(began), processorTime() - before, subscriber.Traffic().In}
		if got != want {
			return cost, fmt.Errorf("the subscriber has %d entries, but its scope has %d", got, want)
		}
		return cost, nil
	case <-ctx.Done():
		return cost, ctx.Err()
	case <-time.After(snapshotTimeout):
		return cost, fmt.Errorf("a subscriber whose scope has %d entries has no configuration after %s", want,
			snapshotTimeout)
	}
}
