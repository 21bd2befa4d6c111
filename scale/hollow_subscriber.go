package scale

import (
	"context"
	"net"
	"sync"
	"time"

	"wheelrill/distribution"
	"wheelrill/distribution/transport"
)

// role is the function of a node in the tree.
type role int

const (
	roleSubscriber role = iota
	roleDistributor
	roleVoter
)

// hollowSubscriber is a node in the tree that runs the code of a real subscriber, and has no
// proxies. It runs from start to kill, and may be started again as a new incarnation. Safe for
// concurrent use.
type hollowSubscriber struct {
	name       string
	role       role
	region     int
	scopes     distribution.Scopes
	candidates []string // names of the nodes that are configured as candidate parents
	fanOut     int      // largest number of children that the node accepts
	// network connects the node to its parent and its children. It is nil if the node uses dial;
	// such a node has no children.
	network *network
	// dial connects the node to a parent if network is nil.
	dial        func(ctx context.Context, peer string) (net.Conn, error)
	propagation *propagation // records the changes that the node applies

	mutex           sync.Mutex           // guards all fields that follow in the struct
	node            *transport.Transport // transport of the node's present incarnation
	stop            context.CancelFunc   // ends the present incarnation; nil while the node is down
	ended           chan struct{}        // closed when the goroutine of the present incarnation ends
	appliedRevision uint64               // newest revision that the present incarnation applied; 0 until it applies one
	reachableSince  time.Time            // start of the incarnation, or end of its region's last cut, if that was later
	earlier         earlierIncarnations
}

// earlierIncarnations holds the traffic of a node's earlier incarnations, and the number of
// snapshots that these incarnations installed.
type earlierIncarnations struct {
	traffic   transport.Traffic
	snapshots uint64
}

// start starts a new incarnation of the node.
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

// dialParent connects to a candidate parent.
func (s *hollowSubscriber) dialParent(ctx context.Context, peer string) (net.Conn, error) {
	if s.network == nil {
		return s.dial(ctx, peer)
	}
	return s.network.dial(ctx, s.region, peer)
}

// kill stops the node as the end of its process would: all connections are closed, and the node
// loses its configuration.
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

// apply records that the node has applied a change or a snapshot. The revisions must increase: an
// older revision than the node's own is a violation, and so is a change with the node's own
// revision.
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

// markReachable records that the node is reachable again after a cut.
func (s *hollowSubscriber) markReachable() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reachableSince = time.Now()
}

// bytes returns the number of bytes that the node has sent and received in all its incarnations.
func (s *hollowSubscriber) bytes() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	traffic := s.node.Traffic()
	if s.stop == nil {
		traffic = transport.Traffic{}
	}
	return s.earlier.traffic.In + s.earlier.traffic.Out + traffic.In + traffic.Out
}

// earlierSnapshots returns the number of snapshots that earlier incarnations of the node have
// installed.
func (s *hollowSubscriber) earlierSnapshots() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.earlier.snapshots
}

// status returns the status of the node, or false while the node is down.
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

// check compares the entries of the node with the content at the given revision, or at the node's
// own revision if at is 0. Each difference is recorded as a violation.
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
		return // the node has no configuration yet, because it has just started
	}
	if at > 0 {
		state.Version.Revision = at
	}
	if text := content.difference(state, s.scopes); text != "" {
		s.propagation.addViolation("%s: %s", s.name, text)
	}
}

// isBehind reports whether the node runs and lacks a change in its scopes. newest holds the newest
// revision of each scope, and last is the newest revision of all scopes.
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

// countBehind counts the running nodes that have not applied all changes in their scopes up to the
// given revision.
func countBehind(nodes []*hollowSubscriber, content *content, revision uint64) (n int) {
	newest := content.newestByScope(revision)
	for _, s := range nodes {
		if s.isBehind(newest, revision) {
			n++
		}
	}
	return n
}
