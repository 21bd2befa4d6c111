// Package consensus puts the entries of package share on a record that all members of an installation have, by means of
// hashicorp/raft: over TLS between members that know each other by name, on disk or in memory. It decides nothing about
// proxies or backends.
package consensus

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
	"wheelrill/ownership"
)

// Events are told what becomes of the record, the entries in their order. They may wait, but not for the Node.
type Events interface {
	EntryCommitted(ownership.Entry)
	SnapshotRestored(*ownership.Record)
	ProposalCommitted(incarnation, seq uint64)
	ProposalFailed(incarnation, seq uint64)
}

// Config is what a member is started with.
type Config struct {
	Name    string
	Members map[string]string // the address of each by its name, our own among them
	Folder  string            // for what must outlast the process; "" keeps it in memory
	Credentials
	Terms ownership.LeaseTerms
	// Distribution is told what the record has of the distributed configuration, and serves those who subscribe to it;
	// nil: nobody can subscribe here.
	Distribution Distribution
}

// Times and sizes of a member's part in raft, beside its pace.
const (
	applyTimeout      = 500 * time.Millisecond
	pollInterval      = 200 * time.Millisecond
	snapshotThreshold = 4096               // entries
	maxAppendEntries  = 32                 // in one message of raft's: all may be changes of the greatest size, and time is short
	trailingLogs      = 1024               // entries that are kept beyond a snapshot, for who lags a little
	statsInterval     = 10 * time.Second   // between two lines that tell the record's cost
	folderMode        = os.FileMode(0o700) // others could vote in our name
)

// Node is a member's part in the record.
type Node struct {
	config    Config
	events    Events
	log       *slog.Logger
	transport *transport
	clock     func() int64 // µs
	pace      pace

	proposals chan ownership.Entry // one entry is under way at a time

	mutex        sync.Mutex // over what a raft instance brings
	raft         *raft.Raft
	id           string
	stateMachine *stateMachine
	closeRaft    func()

	halted    atomic.Bool                             // votes cannot be kept any more
	wrapStore func(raft.StableStore) raft.StableStore // for tests of disks; nil for none

	// leaderMutex is over what we see as leader; that holds over several leaderships, as it rests on our clock alone.
	leaderMutex sync.Mutex
	leases      *ownership.LeaseTracker
	stamp       uint64             // tells our clock from others
	epoch       distribution.Epoch // the greatest of the distributed configuration

	currency currency // of maintainMembership alone
}

// New checks a configuration, listens at our address, and starts nothing else. An error says what would do.
func New(config Config, events Events, log *slog.Logger) (*Node, error) {
	return newNode(config, events, log, nil)
}

func newNode(config Config, events Events, log *slog.Logger, wrapStore func(raft.StableStore) raft.StableStore) (*Node, error) {
	address, ok := config.Members[config.Name]
	if !ok {
		return nil, fmt.Errorf("members: %q is not among them; add it with its address", config.Name)
	}
	secure, err := config.tlsConfig()
	if err != nil {
		return nil, err
	}
	if secure == nil {
		for name, address := range config.Members {
			if err := requireLoopback(address); err != nil {
				return nil, fmt.Errorf("members: %s: %w", name, err)
			}
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("members: listen: %w", err)
	}
	began := time.Now()
	n := &Node{config: config, events: events, log: log, wrapStore: wrapStore, proposals: make(chan ownership.Entry, 1), stamp: randomID(),
		leases: ownership.NewLeaseTracker(config.Terms), pace: paceFor(time.Duration(config.Terms.Duration) * time.Microsecond),
		clock: func() int64 { return time.Since(began).Microseconds() }}
	n.transport = &transport{name: config.Name, members: config.Members, secure: secure, listener: listener, id: n.ID, serve: n.serve,
		raftConns: make(chan net.Conn), ended: make(chan struct{}), conns: map[net.Conn]bool{}, allowSubscribers: config.Distribution != nil,
		onRefused: func(from net.Addr, why error) {
			if !errors.Is(why, errOtherID) && !errors.Is(why, net.ErrClosed) && !errors.Is(why, io.EOF) {
				log.Info("member_refused", "peer", from.String(), "why", why.Error())
			}
		}}
	if err := n.open(); err != nil {
		n.transport.close()
		return nil, err
	}
	return n, nil
}

// ID is our name with what is drawn for as long as our votes are remembered.
func (n *Node) ID() string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.id
}

// Cost is what the record has cost so far: entries that were taken in, and bytes that went out and came in.
func (n *Node) Cost() (entries uint64, bytes int64) {
	r, _ := n.current()
	return r.AppliedIndex(), n.transport.bytes.Load()
}

// IsLeader tells whether this member leads the record now.
func (n *Node) IsLeader() bool {
	r, _ := n.current()
	return r.State() == raft.Leader
}

// Propose takes the entry that is to be put on the record next. It never waits.
func (n *Node) Propose(e ownership.Entry) {
	for {
		select {
		case n.proposals <- e:
			return
		default:
		}
		select { // one of an incarnation that is over
		case <-n.proposals:
		default:
		}
	}
}

// open begins a raft instance: from the folder, or as new.
func (n *Node) open() error {
	id := n.config.Name + "/" + rand.Text()[:8]
	m := &stateMachine{events: n.events, record: ownership.NewRecord(), configuration: newConfiguration(n.config.Distribution, n.noteEpoch), onUnreadable: func(err error) {
		n.log.Error("entry_unreadable", "error", err.Error())
	}}
	var log raft.LogStore
	var stable raft.StableStore
	var snapshots raft.SnapshotStore
	shut := func() {}
	if n.config.Folder == "" {
		memory := raft.NewInmemStore()
		log, stable, snapshots = memory, memory, raft.NewInmemSnapshotStore()
	} else {
		store, err := openFolder(n.config.Folder)
		if err != nil {
			return err
		}
		shut = func() { store.Close() }
		files, err := raft.NewFileSnapshotStoreWithLogger(n.config.Folder, 2, n.raftLog())
		if err != nil {
			shut()
			return fmt.Errorf("folder: %s: %w", n.config.Folder, err)
		}
		const key = "id"
		if had, err := store.Get([]byte(key)); err == nil && len(had) > 0 {
			id = string(had)
		} else if err := store.Set([]byte(key), []byte(id)); err != nil {
			shut()
			return fmt.Errorf("folder: %s: %w", n.config.Folder, err)
		}
		log, stable, snapshots = store, store, files
	}
	if n.wrapStore != nil {
		stable = n.wrapStore(stable)
	}
	stable = haltingStore{stable, func(err error) {
		n.log.Error("record_lost", "error", err.Error(), "text", "votes cannot be kept, so we take no further part; mend the disk and restart")
		n.halted.Store(true)
	}, n.transport.ended}
	ours := &layer{transport: n.transport, address: addressOf(n.config.Name, id), closed: make(chan struct{})}
	carrier := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: ours, MaxPool: 2,
		Timeout: callTimeout, Logger: n.raftLog()})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(id), n.raftLog()
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = n.pace.heartbeat, n.pace.heartbeat, n.pace.leaderLease
	c.CommitTimeout, c.MaxAppendEntries = n.pace.commit, maxAppendEntries
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotThreshold, trailingLogs, 5*time.Second
	n.mutex.Lock()
	defer n.mutex.Unlock()
	r, err := raft.NewRaft(c, m, log, stable, snapshots, carrier)
	if err != nil {
		carrier.Close()
		shut()
		return fmt.Errorf("record: %w", err)
	}
	n.id, n.stateMachine, n.raft = id, m, r
	n.closeRaft = func() {
		r.Shutdown().Error()
		carrier.Close()
		shut()
	}
	return nil
}

func (n *Node) raftLog() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Error, Output: raftLogWriter{n.log}, DisableTime: true})
}

// raftLogWriter hands raft's own lines on.
type raftLogWriter struct{ to *slog.Logger }

func (l raftLogWriter) Write(line []byte) (int, error) {
	l.to.Info("raft", "text", string(line[:max(0, len(line)-1)]))
	return len(line), nil
}

func (n *Node) current() (*raft.Raft, *stateMachine) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.raft, n.stateMachine
}

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(n.transport.acceptLoop)
	parts.Go(func() { n.forwardProposals(ctx) })
	parts.Go(func() { n.maintainMembership(ctx) })
	<-ctx.Done()
	if n.halted.Load() {
		n.transport.close() // or what is held would hold up the end
	} else if r, _ := n.current(); r.State() == raft.Leader {
		r.LeadershipTransfer().Error() // or the others go without a leader for a while
	}
	n.mutex.Lock()
	shut := n.closeRaft
	n.mutex.Unlock()
	shut()
	n.transport.close()
	parts.Wait()
	n.transport.handlers.Wait()
}

// maintainMembership has us become part of the record, and stay it.
func (n *Node) maintainMembership(ctx context.Context) {
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	told, lost, bytes, index := time.Now(), 0, n.transport.bytes.Load(), uint64(0)
	r, _ := n.current()
	for {
		select {
		case <-ctx.Done():
			return
		case leading := <-r.LeaderCh():
			n.currency.reset()
			n.log.Info("leading", "leads", leading, "name", n.config.Name)
			continue
		case <-look.C:
		}
		if time.Since(told) >= statsInterval {
			seconds := time.Since(told).Seconds()
			_, m := n.current()
			n.log.Info("record", "entries_per_s", round(float64(r.AppliedIndex()-index)/seconds),
				"bytes_per_s", round(float64(n.transport.bytes.Load()-bytes)/seconds), "snapshot_bytes", m.bytes.Load())
			told, bytes, index = time.Now(), n.transport.bytes.Load(), r.AppliedIndex()
		}
		if r.State() == raft.Leader {
			n.probeSilentMembers(ctx)
		}
		if _, leader := r.LeaderWithID(); leader != "" && n.isMember(r) {
			lost = 0
			n.noteCurrent(r)
			continue
		}
		n.currency.reset()
		lost++
		if n.takeNextStep(ctx, r, lost) {
			n.mutex.Lock()
			shut := n.closeRaft
			n.mutex.Unlock()
			shut()
			if err := n.open(); err != nil {
				n.log.Error("record_lost", "error", err.Error())
				return
			}
			n.events.SnapshotRestored(ownership.NewRecord())
			r, _ = n.current()
			lost, index = 0, 0
		}
	}
}

// probeSilentMembers has the lease tracker know of members that are not there: of whom nothing came lately, and at
// whose address nobody listens. Only a refusal shows that; what hangs may be cut off, or stand still.
func (n *Node) probeSilentMembers(ctx context.Context) {
	_, m := n.current()
	var silent []string
	n.leaderMutex.Lock()
	now := n.clock()
	m.withRecord(func(record *ownership.Record) {
		for name, incarnation := range record.Members {
			if name != n.config.Name && n.leases.SilentFor(incarnation, now, 2*n.config.Terms.RenewInterval) {
				silent = append(silent, name)
			}
		}
	})
	n.leaderMutex.Unlock()
	for _, name := range silent {
		at := n.clock()
		conn, err := n.transport.dial(ctx, name, connCalls)
		if err == nil {
			conn.Close()
		} else if errors.Is(err, syscall.ECONNREFUSED) {
			n.leaderMutex.Lock()
			n.leases.MarkGone(name, at)
			n.leaderMutex.Unlock()
		}
	}
}

func round(x float64) float64 { return float64(int(x*10+0.5)) / 10 }

// isMember tells whether the record has us as a member.
func (n *Node) isMember(r *raft.Raft) bool {
	f := r.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(s raft.Server) bool {
		return string(s.ID) == n.ID()
	})
}

// takeNextStep takes the next step to be part of a record; it is true where we have to come as new.
func (n *Node) takeNextStep(ctx context.Context, r *raft.Raft, looks int) (anew bool) {
	others := map[string]ownership.PeerStatus{}
	for name := range n.config.Members {
		if name == n.config.Name {
			continue
		}
		if a, err := n.callMember(ctx, name, memberRequest{Status: true}); err == nil {
			others[name] = ownership.PeerStatus{ID: a.ID, HasRecord: a.HasRecord, Leader: a.Leader}
		}
	}
	_, leader := r.LeaderWithID()
	f := r.GetConfiguration()
	own := ownership.OwnStatus{
		Name:            n.config.Name,
		ID:              n.ID(),
		HasRecord:       f.Error() == nil && len(f.Configuration().Servers) > 0,
		IsMember:        n.isMember(r),
		HasLeader:       leader != "",
		Durable:         n.config.Folder != "",
		LeaderlessPolls: looks,
	}
	switch step := ownership.NextStep(own, slices.Collect(maps.Keys(n.config.Members)), others); step.Action {
	case ownership.Join:
		if a, err := n.callMember(ctx, step.JoinVia, memberRequest{Name: n.config.Name, ID: n.ID()}); err == nil && !a.Accepted {
			n.log.Debug("join", "at", step.JoinVia, "why", a.Why)
		}
	case ownership.Bootstrap:
		var servers []raft.Server
		for _, name := range slices.Sorted(maps.Keys(step.IDs)) {
			servers = append(servers, raft.Server{ID: raft.ServerID(step.IDs[name]), Address: addressOf(name, step.IDs[name])})
		}
		if err := r.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err == nil {
			n.log.Info("founded", "members", len(servers))
		}
	case ownership.StartOver:
		n.log.Info("record_lost", "text", "all others have come as new; so do we")
		return true
	}
	return false
}

// forwardProposals brings entries to the leader, over one connection as long as it lasts.
func (n *Node) forwardProposals(ctx context.Context) {
	var conn net.Conn
	to := ""
	hangUp := func() {
		if conn != nil {
			conn.Close()
		}
		conn = nil
	}
	defer hangUp()
	for {
		var e ownership.Entry
		select {
		case <-ctx.Done():
			return
		case e = <-n.proposals:
		}
		r, _ := n.current()
		_, id := r.LeaderWithID()
		leader := nameOf(id)
		var a memberResponse
		switch {
		case leader == "":
		case leader == n.config.Name:
			hangUp()
			a = n.appendEntry(e, 0)
		default:
			var err error
			if leader != to || conn == nil {
				hangUp()
				to = leader
				conn, err = n.transport.dial(ctx, leader, connCalls)
			}
			if err == nil {
				err = roundTrip(conn, memberRequest{Entry: &e}, &a)
			}
			if err != nil {
				hangUp()
			}
		}
		if a.Accepted {
			n.events.ProposalCommitted(e.Incarnation, e.Seq)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval / 4):
		}
		n.events.ProposalFailed(e.Incarnation, e.Seq)
	}
}
