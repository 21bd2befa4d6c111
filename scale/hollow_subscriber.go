package scale

import (
	"context"
	"net"
	"sync"
	"time"

	"wheelrill/distribution"
	"wheelrill/distribution/transport"
)

// role is what a node does in the tree.
type role int

const (
	roleSubscriber role = iota
	roleDistributor
	roleVoter
)

// hollowSubscriber runs the code of a subscriber, and has no proxies. It runs from start to kill, and may be started again
// as new. Safe for concurrent use.
type hollowSubscriber struct {
	name        string
	role        role
	region      int
	scopes      distribution.Scopes
	candidates  []string // possible parents, to begin with
	fanOut      int      // children at most
	network     *network // nil where it is reached by nobody, and dials as told
	dial        func(ctx context.Context, peer string) (net.Conn, error)
	propagation *propagation // is told what it acts by

	mutex           sync.Mutex           // of all below
	node            *transport.Transport // of this incarnation
	stop            context.CancelFunc   // nil while it is down
	ended           chan struct{}        // closed with the goroutine of this incarnation
	appliedRevision uint64               // the newest revision that it acts by
	reachableSince  time.Time            // since when
	earlier         earlierIncarnations
}

// earlierIncarnations is what earlier incarnations have passed over their links, and taken.
type earlierIncarnations struct {
	traffic   transport.Traffic
	snapshots uint64
}

// start starts a new incarnation.
func (s *hollowSubscriber) start() {
	ctx, stop := context.WithCancel(context.Background())
	limits := distribution.DefaultLimits()
	if s.role == roleDistributor {
		limits = dedicatedNodeLimits()
	}
	limits.FanOut = s.fanOut
	node := transport.New(transport.Config{
		Node:  distribution.Config{Name: s.name, Scopes: s.scopes, Candidates: s.candidates, Limits: limits},
		Dial:  s.dialParent,
		Apply: s.apply})
	ended := make(chan struct{})
	s.mutex.Lock()
	s.node = node
	s.stop = stop
	s.ended = ended
	s.appliedRevision = 0
	s.reachableSince = time.Now()
	s.mutex.Unlock()
	if s.network != nil {
		s.network.listen(s.name, s.region, func(conn net.Conn) { node.Accept(conn, nil) })
	}
	go func() {
		defer close(ended)
		node.Run(ctx)
	}()
}

// dialParent connects to a possible parent.
func (s *hollowSubscriber) dialParent(ctx context.Context, peer string) (net.Conn, error) {
	if s.network == nil {
		return s.dial(ctx, peer)
	}
	return s.network.dial(ctx, s.region, peer)
}

// kill ends it as the end of a process would: all connections are closed, and nothing is kept.
func (s *hollowSubscriber) kill() {
	if s.network != nil {
		s.network.leave(s.name)
	}
	s.mutex.Lock()
	stop := s.stop
	ended := s.ended
	node := s.node
	s.stop = nil
	s.mutex.Unlock()
	if stop == nil {
		return
	}
	status, _ := node.Status()
	stop()
	<-ended
	traffic := node.Traffic()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.earlier.snapshots += status.Counts.SnapshotsInstalled
	s.earlier.traffic.In += traffic.In
	s.earlier.traffic.Out += traffic.Out
}

// apply is told each change, in order.
func (s *hollowSubscriber) apply(change distribution.Change, snapshot bool) {
	s.mutex.Lock()
	appliedRevision := s.appliedRevision
	reachableSince := s.reachableSince
	s.appliedRevision = max(appliedRevision, change.Revision)
	s.mutex.Unlock()
	if change.Revision < appliedRevision || !snapshot && change.Revision == appliedRevision {
		s.propagation.addViolation("%s went from revision %d to %d", s.name, appliedRevision, change.Revision)
	}
	s.propagation.applied(change, appliedRevision, reachableSince)
}

// markReachable notes that it can be reached from now on, after a cut.
func (s *hollowSubscriber) markReachable() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reachableSince = time.Now()
}

// bytes is what has passed over its links, in all incarnations.
func (s *hollowSubscriber) bytes() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	traffic := s.node.Traffic()
	if s.stop == nil {
		traffic = transport.Traffic{}
	}
	return s.earlier.traffic.In + s.earlier.traffic.Out + traffic.In + traffic.Out
}

// earlierSnapshots counts those that its earlier incarnations have taken.
func (s *hollowSubscriber) earlierSnapshots() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.earlier.snapshots
}

// status asks the node how it is; false while it is down.
func (s *hollowSubscriber) status() (distribution.Status, bool) {
	s.mutex.Lock()
	node := s.node
	up := s.stop != nil
	s.mutex.Unlock()
	if !up {
		return distribution.Status{}, false
	}
	return node.Status()
}

// check compares the node with the content: at the revision given, or at its own where that is 0.
func (s *hollowSubscriber) check(content *content, at uint64) {
	s.mutex.Lock()
	node := s.node
	up := s.stop != nil
	appliedRevision := s.appliedRevision
	s.mutex.Unlock()
	if !up {
		return
	}
	state, ok := node.State()
	if !ok || at == 0 && appliedRevision == 0 {
		return // it has just started, and says so to those who ask
	}
	if at > 0 {
		state.Version.Revision = at
	}
	if text := content.difference(state, s.scopes); text != "" {
		s.propagation.addViolation("%s: %s", s.name, text)
	}
}

// isBehind tells whether the node runs, and acts by less than the newest revisions of its scopes; last is that of all of them.
func (s *hollowSubscriber) isBehind(newest map[string]uint64, last uint64) bool {
	want := last
	if !s.scopes.All {
		want = 0
		for _, scope := range s.scopes.Names {
			want = max(want, newest[scope])
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stop != nil && s.appliedRevision < want
}

// countBehind counts the nodes that act by less than what is in their scopes up to a revision.
func countBehind(nodes []*hollowSubscriber, content *content, revision uint64) (n int) {
	newest := content.newestByScope(revision)
	for _, s := range nodes {
		if s.isBehind(newest, revision) {
			n++
		}
	}
	return n
}
