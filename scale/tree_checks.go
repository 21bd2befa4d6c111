package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"
)

// countWaiting counts the nodes that have no configuration yet.
func countWaiting(nodes []*hollowSubscriber) (n int) {
	for _, s := range nodes {
		s.mutex.Lock()
		if s.appliedRevision == 0 {
			n++
		}
		s.mutex.Unlock()
	}
	return n
}

// maxNamedWaiting is the largest number of waiting nodes that an error names.
const maxNamedWaiting = 8

// describeWaiting describes up to maxNamedWaiting of the nodes that have no configuration: their
// scopes, their parents, and how often they dialed a parent and were refused.
func describeWaiting(nodes []*hollowSubscriber) string {
	var text []string
	for _, s := range nodes {
		s.mutex.Lock()
		waits := s.appliedRevision == 0
		s.mutex.Unlock()
		if status, ok := s.status(); ok && waits && len(text) < maxNamedWaiting {
			text = append(text, fmt.Sprintf("%s with scopes %v below parent %q, refused %d times in %d dials",
				s.name, s.scopes.Names, status.Parent, status.Counts.RefusedByParents, status.Counts.Dials))
		}
	}
	return strings.Join(text, "; ")
}

// checkRandomSubscribers compares random subscribers with the content, each at the subscriber's own
// revision.
func (t *tree) checkRandomSubscribers(random *rand.Rand) {
	for range checksAtOnce {
		t.subscribers[random.IntN(len(t.subscribers))].check(t.content, 0)
	}
}

// settle waits for at most maxPropagationSeconds until all nodes have applied the last change.
// After the wait it compares all nodes with the content.
func (t *tree) settle(ctx context.Context) error {
	last := t.content.lastRevision()
	await(ctx, maxPropagationSeconds*time.Second, func() bool { return countBehind(t.nodes(), t.content, last) == 0 })
	forEachNode(t.nodes(), func(s *hollowSubscriber) { s.check(t.content, last) })
	return ctx.Err()
}

// parentsLost returns how often the links of running nodes to their parents have ended or been
// closed, in the present incarnations of these nodes.
func (t *tree) parentsLost() int64 {
	var lost atomic.Int64
	forEachNode(t.nodes(), func(s *hollowSubscriber) {
		if status, ok := s.status(); ok {
			lost.Add(int64(status.Counts.ParentsLost))
		}
	})
	return lost.Load()
}

// needlessSnapshots returns the number of installed snapshots minus the number of started
// incarnations, because each incarnation needs one snapshot. It returns 0 if the difference is
// negative.
func (t *tree) needlessSnapshots() int64 {
	var taken atomic.Int64
	forEachNode(t.nodes(), func(s *hollowSubscriber) {
		if status, ok := s.status(); ok {
			taken.Add(int64(status.Counts.SnapshotsInstalled))
		}
		taken.Add(int64(s.earlierSnapshots()))
	})
	return max(0, taken.Load()-t.starts.Load())
}
