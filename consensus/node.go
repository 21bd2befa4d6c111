package consensus

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"wheelrill/distribution"
	"wheelrill/ownership"
)

// Events is told what becomes of the record, the entries in their order. Its methods are called on several goroutines, and
// may block, but must not wait for a call of the Node.
type Events interface {
	// EntryCommitted gives the next entry of the record, of whatever member.
	EntryCommitted(ownership.Entry)
	// SnapshotRestored gives the record as a whole, in place of all entries before. The receiver owns it.
	SnapshotRestored(*ownership.Record)
	// ProposalCommitted says that an entry which was given to Propose is on the record.
	ProposalCommitted(incarnation, seq uint64)
	// ProposalFailed says that it is not known whether such an entry is on the record. It may be proposed again.
	ProposalFailed(incarnation, seq uint64)
}

// Config is what a member is started with.
type Config struct {
	// Name is ours among Members.
	Name string
	// Members has the address (host:port) of each member by its name, our own among them.
	Members map[string]string
	// Folder is for what must outlast the process; empty keeps everything in memory.
	Folder string
	Credentials
	// Terms are the same at all members.
	Terms ownership.LeaseTerms
	// Distribution is told the distributed configuration, and serves its subscribers; nil where nobody can subscribe.
	Distribution Distribution
}

// Node is a member's part in the record. Its methods may be called at the same time.
type Node struct {
	config    Config
	events    Events
	log       *slog.Logger
	transport *transport
	clock     func() ownership.Microseconds // since New
	pace      pace

	// proposals holds the entry that is to be forwarded next, and no other: a member has one entry in flight.
	proposals chan ownership.Entry

	mutex    sync.Mutex // over instance
	instance *instance

	halted    atomic.Bool                             // votes cannot be written any more
	wrapStore func(raft.StableStore) raft.StableStore // for tests of disks; nil for none

	// leaderMutex is over the fields below: what this process knows as leader, over several leaderships, as it rests on our
	// clock alone. It does not survive the process.
	leaderMutex sync.Mutex
	leases      *ownership.LeaseTracker
	stamp       uint64             // tells our clock from others'
	epoch       distribution.Epoch // the greatest that a configuration record had
}

// New checks a Config, opens the folder, and listens at our address; connections are taken by Run. Its errors are
// ConfigErrors where a key of the Config is to blame.
func New(config Config, events Events, log *slog.Logger) (*Node, error) {
	return newNode(config, events, log, nil)
}

func newNode(config Config, events Events, log *slog.Logger, wrapStore func(raft.StableStore) raft.StableStore) (*Node, error) {
	address, ok := config.Members[config.Name]
	if !ok {
		return nil, &ConfigError{"members", fmt.Errorf("%q is not among them; add it with its address", config.Name)}
	}
	secure, err := config.tlsConfig()
	if err != nil {
		return nil, err
	}
	if secure == nil {
		for name, address := range config.Members {
			if err := requireLoopback(address); err != nil {
				return nil, &ConfigError{"members", fmt.Errorf("%s: %w", name, err)}
			}
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ConfigError{"members", fmt.Errorf("listen: %w", err)}
	}
	started := time.Now()
	n := &Node{
		config:    config,
		events:    events,
		log:       log,
		wrapStore: wrapStore,
		proposals: make(chan ownership.Entry, 1),
		stamp:     randomID(),
		leases:    ownership.NewLeaseTracker(config.Terms),
		pace:      paceFor(time.Duration(config.Terms.Duration) * time.Microsecond),
		clock:     func() ownership.Microseconds { return time.Since(started).Microseconds() },
	}
	n.transport = newTransport(config.Members, secure)
	n.transport.listener = listener
	n.transport.id = n.ID
	n.transport.serve = n.serve
	n.transport.allowSubscribers = config.Distribution != nil
	n.transport.onRefused = n.logRefused
	if err := n.openInstance(); err != nil {
		n.transport.close()
		return nil, err
	}
	return n, nil
}

// logRefused logs a caller that was not let in, but for what happens in ordinary operation: a member that has restarted is
// called under its old ID, and calls end.
func (n *Node) logRefused(from net.Addr, why error) {
	if errors.Is(why, errOtherID) || errors.Is(why, net.ErrClosed) || errors.Is(why, io.EOF) {
		return
	}
	n.log.Warn("member_refused", "peer", from.String(), "reason", why.Error())
}

// Run is our part in the record until the context ends. It hands the leadership on, and returns when all has ended.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(n.transport.acceptLoop)
	loops.Go(func() { n.forwardProposals(ctx) })
	loops.Go(func() { n.maintainMembership(ctx) })
	<-ctx.Done()
	if n.halted.Load() {
		n.transport.close() // first, as it frees the goroutine that haltingStore holds
	} else if r := n.current().raft; r.State() == raft.Leader {
		_ = r.LeadershipTransfer().Error() // where it fails the others elect one, a little later
	}
	n.current().close()
	n.transport.close()
	loops.Wait()
	n.transport.handlers.Wait()
}

// ID is our name, with what is drawn for as long as our votes are remembered.
func (n *Node) ID() string { return n.current().id }

// Cost is what the record has cost this process so far: the entries that were applied, and the bytes that were sent and
// received.
func (n *Node) Cost() (entries uint64, bytes int64) {
	return n.current().raft.AppliedIndex(), n.transport.bytes.Load()
}

// IsLeader tells whether this member leads the record now.
func (n *Node) IsLeader() bool { return n.current().raft.State() == raft.Leader }

// leaderName is the leader that we know of; empty for none.
func (n *Node) leaderName() string {
	_, id := n.current().raft.LeaderWithID()
	return memberName(id)
}
