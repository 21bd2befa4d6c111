package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"wheelrill/distribution"
)

// tree is an entire deployment in one process: voters, distributors that receive all scopes, and
// subscribers.
type tree struct {
	options           Options
	folder            string // temporary folder with the files of the voters
	network           *network
	content           *content
	propagation       *propagation
	voters            *voterGroup
	distributors      []*hollowSubscriber
	subscribers       []*hollowSubscriber
	random            *rand.Rand
	faultRandom       *rand.Rand    // source of the nodes that faults hit; separate from the source of random changes
	faultHits         atomic.Int64  // number of times that the present fault has hit a node
	starts            atomic.Int64  // number of started incarnations of nodes; each incarnation needs one snapshot
	ready             time.Duration // time from the start of all subscribers until each had its configuration
	distributorsReady time.Duration // time from the start of all distributors until each had its configuration
}

// newTree starts a deployment, and waits until each of its nodes has its configuration.
func newTree(ctx context.Context, plan treePlan, o Options) (*tree, error) {
	t := &tree{options: o, network: newNetwork(), content: newContent(plan.content, o.Seed), random: rand.New(rand.NewPCG(o.Seed, treeSeed)),
		faultRandom: rand.New(rand.NewPCG(o.Seed, faultSeed))}
	t.propagation = newPropagation(t.content)
	var err error
	if t.folder, err = os.MkdirTemp(o.Folder, "voters-"); err != nil {
		return nil, err
	}
	if t.voters, err = newVoters(o.Voters, t.folder, t.network, t.content, t.propagation); err != nil {
		return nil, err
	}
	t.placeNodes(plan)
	if err := t.start(ctx); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

// placeNodes creates the distributors and subscribers, with their regions, scopes and candidate
// parents.
func (t *tree) placeNodes(plan treePlan) {
	var voters []string
	for _, v := range t.voters.voters {
		voters = append(voters, v.name)
	}
	for i := range plan.distributors {
		t.distributors = append(t.distributors, &hollowSubscriber{
			name:       fmt.Sprint("distributor/", i),
			role:       roleDistributor,
			region:     (len(voters) + i) % regions,
			scopes:     distribution.AllScopes(),
			candidates: voters,
			fanOut:     plan.fanOut,
		})
	}
	for i := range plan.subscribers {
		group := i % t.content.shape.groups
		t.subscribers = append(t.subscribers, &hollowSubscriber{
			name:       fmt.Sprint("subscriber/", i),
			region:     i % regions,
			scopes:     distribution.SomeScopes(commonScope, groupScope(group)),
			candidates: t.drawCandidates(group, plan.subscribers),
			fanOut:     distribution.DefaultFanOut,
		})
	}
	for _, s := range t.nodes() {
		s.network = t.network
		s.propagation = t.propagation
	}
}

// drawCandidates returns random candidate parents for a subscriber: some distributors, and some
// subscribers of the same group. With n groups, every n-th subscriber belongs to the same group.
func (t *tree) drawCandidates(group, subscribers int) []string {
	var candidates []string
	for _, i := range t.random.Perm(len(t.distributors))[:min(knownDistributors, len(t.distributors))] {
		candidates = append(candidates, t.distributors[i].name)
	}
	groups := t.content.shape.groups
	largestGroup := (subscribers + groups - 1) / groups
	for range knownPeers {
		peer := group + groups*t.random.IntN(largestGroup)
		candidates = append(candidates, fmt.Sprint("subscriber/", peer))
	}
	return candidates
}

// nodes returns all distributors and subscribers, without the voters.
func (t *tree) nodes() []*hollowSubscriber {
	return append(append([]*hollowSubscriber{}, t.distributors...), t.subscribers...)
}

// start starts the voters, proposes the initial content, and then starts all distributors at once
// and, when these have their configuration, all subscribers at once.
func (t *tree) start(ctx context.Context) error {
	if err := t.voters.start(ctx); err != nil {
		return err
	}
	for _, entries := range t.content.initial() {
		if err := t.voters.propose(ctx, entries); err != nil {
			return err
		}
	}
	var err error
	if t.distributorsReady, err = t.startAll(ctx, t.distributors); err != nil {
		return err
	}
	t.ready, err = t.startAll(ctx, t.subscribers)
	return err
}

// startAll starts the given nodes at once, and returns the time until each node has its
// configuration.
func (t *tree) startAll(ctx context.Context, nodes []*hollowSubscriber) (time.Duration, error) {
	began := time.Now()
	for _, s := range nodes {
		t.starts.Add(1)
		s.start()
	}
	if !await(ctx, readyTimeout, func() bool { return countWaiting(nodes) == 0 }) {
		return 0, fmt.Errorf("%d of %d nodes have no configuration after %s: %s", countWaiting(nodes), len(nodes), readyTimeout, describeWaiting(nodes))
	}
	return time.Since(began), nil
}

// close stops all nodes, and deletes the folder with the files of the voters.
func (t *tree) close() {
	forEachNode(t.nodes(), (*hollowSubscriber).kill)
	t.voters.close()
	t.network.serving.Wait()
	_ = os.RemoveAll(t.folder) // a temporary folder that is not deleted does no harm
}

// forEachNode calls action for each node. The calls run concurrently, at most GOMAXPROCS at a time.
func forEachNode(nodes []*hollowSubscriber, action func(*hollowSubscriber)) {
	var working sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		working.Go(func() {
			for i := next.Add(1) - 1; int(i) < len(nodes); i = next.Add(1) - 1 {
				action(nodes[i])
			}
		})
	}
	working.Wait()
}

// makeChanges proposes random changes of the content to the voters, at the given mean rate until
// the given time, and returns the number of accepted changes. Every timeBetweenChecks it compares
// random subscribers with the content; the seed of the run determines which subscribers.
func (t *tree) makeChanges(ctx context.Context, perS float64, until time.Time) (made int, err error) {
	checkRandom := rand.New(rand.NewPCG(t.options.Seed, uint64(made)+treeSeed))
	nextCheck := time.Now().Add(timeBetweenChecks)
	for {
		pause := changeRate{perS: perS}.pause(t.random)
		if remaining := time.Until(until); remaining < pause {
			return made, pauseFor(ctx, remaining)
		}
		if err := pauseFor(ctx, pause); err != nil {
			return made, err
		}
		deadlineCtx, cancel := context.WithDeadline(ctx, until)
		err := t.voters.propose(deadlineCtx, t.content.drawChange())
		cancel()
		switch {
		case err == nil:
			made++
		case ctx.Err() != nil:
			return made, ctx.Err()
		case deadlineCtx.Err() == nil:
			return made, err
		}
		if time.Now().After(nextCheck) {
			nextCheck = time.Now().Add(timeBetweenChecks)
			t.checkRandomSubscribers(checkRandom)
		}
	}
}
