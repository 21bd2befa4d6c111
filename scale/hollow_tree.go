package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wheelrill/distribution"
)

// Figures of the tree, by assumption.
const (
	regions            = 25
	targetDistributors = maxMachines - defaultVoters // of the machines set aside, those that do not vote
	defaultVoters      = 5
	maxFanOut          = 64 // of a distributor, whose children are of some groups each; with 16, groups find no place at 11,000
	minFanOut          = 8
	belowDistributors  = 10       // one controller in so many is right below a distributor, whatever the size
	setAsidePace       = 16 << 20 // bytes a second of the snapshots from a voter or distributor, on machines set aside
	minDistributors    = 2
	knownDistributors  = 3 // that a subscriber is configured with as possible parents
	knownPeers         = 2 // of its group
	subscriberMemory   = 120 << 10
	treeMemory         = 256 << 20
	entryMemory        = 192 // bytes, about, of one that is kept
	heapGrowth         = 2   // times what is in use the heap grows to
	copiesAtVoter      = 3   // of all entries: as raft has them in its log, on the record and for subscribers
	readyTimeout       = 5 * time.Minute
	checksAtOnce       = 20 // subscribers compared with the content at a point drawn
	timeBetweenChecks  = time.Second
	treeSeed           = 11
	faultSeed          = 13
)

// tree is a whole installation in one process: voters, distributors that have all scopes, and subscribers.
type tree struct {
	options           Options
	folder            string // of the voters' records
	network           *network
	content           *content
	propagation       *propagation
	voters            *voterGroup
	distributors      []*hollowSubscriber
	subscribers       []*hollowSubscriber
	random            *rand.Rand
	faultDraws        *rand.Rand    // for what fails, which is drawn beside the changes
	faultHits         atomic.Int64  // of the fault that is played
	starts            atomic.Int64  // lives that have begun, which need a snapshot each
	ready             time.Duration // of all subscribers, once the distributors were
	distributorsReady time.Duration
}

// treePlan is the size of an installation.
type treePlan struct {
	subscribers  int
	content      contentShape
	distributors int
	fanOut       int // places at each distributor
}

// scaledTree is an installation with as much of everything for a subscriber as there will be, but one entry for each service.
func scaledTree(subscribers int) treePlan {
	distributors := max(minDistributors, (targetDistributors*subscribers+targetControllers-1)/targetControllers)
	fanOut := min(max(subscribers/belowDistributors/distributors, minFanOut), maxFanOut)
	return treePlan{subscribers, scaledContent(subscribers), distributors, fanOut}
}

// fullTree has all content and all distributors, whatever the number of subscribers.
func fullTree(subscribers int) treePlan {
	return treePlan{subscribers, fullContent(), targetDistributors, maxFanOut}
}

// memory is what the installation takes before garbage is collected.
func (p treePlan) memory(o Options) int64 {
	nodes := int64(p.subscribers)
	holdAll := int64(o.Voters*copiesAtVoter + p.distributors + 1) // the one that they are compared with
	entries := nodes*int64(p.content.ofEach) + holdAll*int64(p.content.groups*p.content.ofEach)
	return treeMemory + nodes*subscriberMemory + heapGrowth*entries*entryMemory
}

// newTree starts an installation, and waits until each node has its configuration.
func newTree(ctx context.Context, plan treePlan, o Options) (*tree, error) {
	t := &tree{options: o, network: newNetwork(), content: newContent(plan.content, o.Seed), random: rand.New(rand.NewPCG(o.Seed, treeSeed)),
		faultDraws: rand.New(rand.NewPCG(o.Seed, faultSeed))}
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

// placeNodes makes the nodes, with their regions, scopes and possible parents.
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

// drawCandidates draws the possible parents that a subscriber is configured with: distributors, and peers of its group,
// who are every so many-th subscriber.
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

// nodes are all that do not vote.
func (t *tree) nodes() []*hollowSubscriber {
	return append(append([]*hollowSubscriber{}, t.distributors...), t.subscribers...)
}

// start starts the voters with the first content, then the distributors, then all subscribers at once.
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

// startAll starts nodes at once, and gives the time until each has its configuration.
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

// countWaiting counts the nodes that have no configuration yet.
func countWaiting(nodes []*hollowSubscriber) (n int) {
	for _, s := range nodes {
		s.mutex.Lock()
		if s.seen == 0 {
			n++
		}
		s.mutex.Unlock()
	}
	return n
}

// maxNamedWaiting is how many that wait are named.
const maxNamedWaiting = 8

// describeWaiting names some of the nodes that have no configuration, with what they ask for and what became of it.
func describeWaiting(nodes []*hollowSubscriber) string {
	var text []string
	for _, s := range nodes {
		s.mutex.Lock()
		waits := s.seen == 0
		s.mutex.Unlock()
		if status, ok := s.status(); ok && waits && len(text) < maxNamedWaiting {
			text = append(text, fmt.Sprintf("%s of %v below %q, refused %d times in %d dials", s.name, s.scopes.Names, status.Parent,
				status.Counts.RefusedByParents, status.Counts.Dials))
		}
	}
	return strings.Join(text, "; ")
}

// close ends all.
func (t *tree) close() {
	each(t.nodes(), (*hollowSubscriber).kill)
	t.voters.close()
	t.network.serving.Wait()
	_ = os.RemoveAll(t.folder) // what is left of a temporary folder harms nobody
}

// each does something with all nodes, some at a time.
func each(nodes []*hollowSubscriber, what func(*hollowSubscriber)) {
	var working sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		working.Go(func() {
			for i := next.Add(1) - 1; int(i) < len(nodes); i = next.Add(1) - 1 {
				what(nodes[i])
			}
		})
	}
	working.Wait()
}

// change makes changes at a pace until a time, and compares some subscribers, drawn by the seed, with the content.
func (t *tree) change(ctx context.Context, perS float64, until time.Time) (made int, err error) {
	checks := rand.New(rand.NewPCG(t.options.Seed, uint64(made)+treeSeed))
	check := time.Now().Add(timeBetweenChecks)
	for {
		pause := changeRate{perS: perS}.pause(t.random)
		if left := time.Until(until); left < pause {
			return made, pauseFor(ctx, left)
		}
		if err := pauseFor(ctx, pause); err != nil {
			return made, err
		}
		limited, cancel := context.WithDeadline(ctx, until)
		err := t.voters.propose(limited, t.content.draw())
		cancel()
		switch {
		case err == nil:
			made++
		case ctx.Err() != nil:
			return made, ctx.Err()
		case limited.Err() == nil:
			return made, err
		}
		if time.Now().After(check) {
			check = time.Now().Add(timeBetweenChecks)
			t.checkSome(checks)
		}
	}
}

// checkSome compares subscribers that are drawn with the content at the revision that each of them is at.
func (t *tree) checkSome(random *rand.Rand) {
	for range checksAtOnce {
		t.subscribers[random.IntN(len(t.subscribers))].check(t.content, 0)
	}
}

// settle gives the last changes the time in which they have to be in force, and compares all nodes with the content at
// its end.
func (t *tree) settle(ctx context.Context) error {
	last := t.content.last()
	await(ctx, maxPropagationSeconds*time.Second, func() bool { return countBehind(t.nodes(), t.content, last) == 0 })
	each(t.nodes(), func(s *hollowSubscriber) { s.check(t.content, last) })
	return ctx.Err()
}

// parentsLost counts how often nodes that run have lost or left a parent.
func (t *tree) parentsLost() int64 {
	var lost atomic.Int64
	each(t.nodes(), func(s *hollowSubscriber) {
		if status, ok := s.status(); ok {
			lost.Add(int64(status.Counts.ParentsLost))
		}
	})
	return lost.Load()
}

// needlessSnapshots counts the snapshots that were taken beyond one for each life.
func (t *tree) needlessSnapshots() int64 {
	var taken atomic.Int64
	each(t.nodes(), func(s *hollowSubscriber) {
		if status, ok := s.status(); ok {
			taken.Add(int64(status.Counts.SnapshotsInstalled))
		}
		taken.Add(int64(s.earlierSnapshots()))
	})
	return max(0, taken.Load()-t.starts.Load())
}
