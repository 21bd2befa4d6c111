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
	"wheelrill/internal/frame"
	"wheelrill/ownership"
)

// Events receives the changes of the ownership record in the order of its entries, and the outcomes
// of proposals. Its methods are called on several goroutines. They may block, but must not wait for
// a call to the Node.
type Events interface {
	// EntryCommitted passes on the next entry of the ownership record, which any member may have
	// proposed.
	EntryCommitted(ownership.Entry)
	// SnapshotRestored passes on a whole ownership record, which replaces the record that resulted
	// from all earlier entries. The receiver may keep and modify the passed record.
	SnapshotRestored(*ownership.Record)
	// ProposalCommitted reports that an entry passed to Propose is committed to the record.
	ProposalCommitted(incarnation, seq uint64)
	// ProposalFailed reports that it is unknown whether an entry passed to Propose is committed to
	// the record. The entry may be proposed again.
	ProposalFailed(incarnation, seq uint64)
}

// Config holds the settings of a member.
type Config struct {
	// Name is the name of this member. It has to be among Members.
	Name string
	// Members has the address (host:port) of each member by name, including this member.
	Members map[string]string
	// Folder is the path of the folder for data that must survive the process; if Folder is empty,
	// all data is in memory.
	Folder string
	Credentials
	// Terms are the lease terms, such as the duration of a lease. All members must have the same
	// terms.
	Terms ownership.LeaseTerms
	// Distribution receives the distributed configuration, and serves its subscribers; nil if this
	// member serves no subscribers.
	Distribution Distribution
	// Bounds bounds the memory of the calls that this member receives; nil if it is not bounded.
	Bounds *frame.Bounds
	// MaxConnections is the number of connections to this member that can be open at the same time;
	// 0 means defaultMaxConnections.
	MaxConnections int
}

// Node is a member that takes part in replicating the ownership record and the configuration
// record. Its methods are safe for concurrent use.
type Node struct {
	config    Config
	events    Events
	log       *slog.Logger
	transport *transport
	clock     func() ownership.Microseconds // returns the time since the call of New, in microseconds
	timings   raftTimings

	// proposals holds the entry that forwardProposals sends to the leader next. It has space for
	// one entry only, because a member has at most one entry in flight.
	proposals chan ownership.Entry

	mutex    sync.Mutex // protects the field instance
	instance *instance

	halted    atomic.Bool                             // set once a write of raft's term or vote has failed
	wrapStore func(raft.StableStore) raft.StableStore // in tests, wraps the store to inject write errors; otherwise nil

	// leaderMutex protects the fields below. They hold state that this process has collected as
	// leader. The state stays valid over several leaderships, as it depends only on the clock of
	// this process. It is lost when the process ends.
	leaderMutex sync.Mutex
	leases      *ownership.LeaseTracker
	clockID     uint64             // random ID of this process's clock, which stamped entries have as Stamp.Leader
	newestEpoch distribution.Epoch // newest epoch of all configuration records that this process has held
}

// New checks a Config, opens the folder, and listens on this member's address; Run accepts the
// connections. If a key of the Config causes an error, the error is a ConfigError.
func New(config Config, events Events, log *slog.Logger) (*Node, error) {
	return newNode(config, events, log, nil)
}

// newNode does the work of New, and lets tests wrap the store for raft's term and vote.
func newNode(config Config, events Events, log *slog.Logger,
	wrapStore func(raft.StableStore) raft.StableStore) (*Node, error) {
	address, ok := config.Members[config.Name]
	if !ok {
		return nil, &ConfigError{"members", fmt.Errorf("%q is not among them; add it with its address", config.Name)}
	}
	tlsConfig, err := config.tlsConfig()
	if err != nil {
		return nil, err
	}
	if tlsConfig == nil {
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
		clockID:   randomID(),
		leases:    ownership.NewLeaseTracker(config.Terms),
		timings:   timingsFor(time.Duration(config.Terms.Duration) * time.Microsecond),
		clock:     func() ownership.Microseconds { return time.Since(started).Microseconds() },
	}
	n.transport = newTransport(config.Members, tlsConfig)
	n.transport.listener = listener
	if config.MaxConnections > 0 {
		n.transport.maxConnections = config.MaxConnections
	}
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

// logRefused logs that a connection was refused, except for errors of ordinary operation: other
// members call a restarted member under its old ID, and connections get closed.
func (n *Node) logRefused(from net.Addr, reason error) {
	if errors.Is(reason, errWrongID) || errors.Is(reason, net.ErrClosed) || errors.Is(reason, io.EOF) {
		return
	}
	n.log.Warn("member_refused", "peer", from.String(), "reason", reason.Error())
}

// Run takes part in the record until the context ends. If this member is then the leader, it
// transfers the leadership. Run returns when all goroutines of the Node have returned and all
// connections are closed.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(n.transport.acceptLoop)
	loops.Go(func() { n.forwardProposals(ctx) })
	loops.Go(func() { n.maintainMembership(ctx) })
	<-ctx.Done()
	if n.halted.Load() {
		// The transport must be closed before raft, because closing the transport releases the
		// goroutine that haltingStore blocks.
		n.transport.close()
	} else if r := n.current().raft; r.State() == raft.Leader {
		_ = r.LeadershipTransfer().Error() // if the transfer fails, the other members elect a leader a little later
	}
	n.current().close()
	n.transport.close()
	loops.Wait()
	n.transport.handlers.Wait()
}

// ID returns the raft ID of this member: its name and a random part, which stays the same as long
// as the member's votes are stored.
func (n *Node) ID() string { return n.current().id }

// Cost returns the load that replicating the record has caused in this process since the call of
// New: the number of entries applied (raft's applied index), and the number of bytes sent and
// received.
func (n *Node) Cost() (entries uint64, bytes int64) {
	return n.current().raft.AppliedIndex(), n.transport.bytes.Load()
}

// IsLeader reports whether this member is the leader of the record now.
func (n *Node) IsLeader() bool { return n.current().raft.State() == raft.Leader }

// leaderName returns the name of the leader that raft knows; empty if it knows none.
func (n *Node) leaderName() string {
	_, id := n.current().raft.LeaderWithID()
	return memberName(id)
}
