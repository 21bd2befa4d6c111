package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
	"wheelrill/subscribe"
)

// Paces of the voters' raft, those of package replica.
const (
	raftHeartbeat = 400 * time.Millisecond
	raftLease     = 300 * time.Millisecond
	proposeWithin = 500 * time.Millisecond
	knowEvery     = 200 * time.Millisecond // a voter looks whether its record is current
)

// voterGroup is voters with a record on raft, each handing it out.
type voterGroup struct {
	voters  []*voter
	network *network
	content *content
}

// voter is one of them. Its log and votes outlast its lives.
type voter struct {
	hollowSubscriber
	group  *voterGroup
	id     raft.ServerID
	log    *raft.InmemStore
	files  *raft.InmemSnapshotStore
	raft   *raft.Raft
	way    *raft.InmemTransport
	ending sync.WaitGroup
}

func newVoters(n int, network *network, content *content, inForce *inForce) *voterGroup {
	g := &voterGroup{network: network, content: content}
	for i := range n {
		v := &voter{group: g, id: raft.ServerID(voterName(i)), log: raft.NewInmemStore(), files: raft.NewInmemSnapshotStore()}
		v.name, v.role, v.region, v.network, v.inForce = voterName(i), roleVoter, i, network, inForce
		v.scopes = distribution.AllScopes()
		g.voters = append(g.voters, v)
	}
	return g
}

func voterName(i int) string { return fmt.Sprint("voter/", i) }

// start starts all, founds the record and waits for a leader.
func (g *voterGroup) start(ctx context.Context) error {
	var servers []raft.Server
	for _, v := range g.voters {
		servers = append(servers, raft.Server{ID: v.id, Address: raft.ServerAddress(v.id)})
	}
	for _, v := range g.voters {
		if err := v.start(); err != nil {
			return err
		}
	}
	if err := g.voters[0].raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err != nil {
		return err
	}
	if !waitFor(ctx, startsWithin, func() bool { return g.leader() != nil }) {
		return fmt.Errorf("no leader within %s", startsWithin)
	}
	return nil
}

// leader is the voter that leads; nil if none does.
func (g *voterGroup) leader() *voter {
	for _, v := range g.voters {
		if r := v.running(); r != nil && r.State() == raft.Leader {
			return v
		}
	}
	return nil
}

// propose has entries accepted as one change, by whoever leads, and waits until they are.
func (g *voterGroup) propose(ctx context.Context, entries []distribution.Entry) error {
	for {
		if v := g.leader(); v != nil {
			if err := v.propose(entries); err == nil || errors.Is(err, errRefused) {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(lookEvery):
		}
	}
}

// running is the voter's part in raft; nil while it is down.
func (v *voter) running() *raft.Raft {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.stop == nil {
		return nil
	}
	return v.raft
}

// close ends all.
func (g *voterGroup) close() {
	for _, v := range g.voters {
		v.kill()
	}
}

// start begins a life of a voter, with the log and the votes that it had.
func (v *voter) start() error {
	ctx, stop := context.WithCancel(context.Background())
	carrier := subscribe.New(subscribe.Config{
		Node: distribution.Config{Name: v.name, Voter: true, Limits: distribution.DefaultLimits()},
		Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("a voter dials nobody") }})
	_, v.way = raft.NewInmemTransport(raft.ServerAddress(v.id))
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = v.id, hclog.NewNullLogger()
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = raftHeartbeat, raftHeartbeat, raftLease
	c.CommitTimeout = raftHeartbeat / 8
	for _, other := range v.group.voters {
		if other != v && other.up() {
			v.way.Connect(raft.ServerAddress(other.id), other.way)
			other.way.Connect(raft.ServerAddress(v.id), v.way)
		}
	}
	r, err := raft.NewRaft(c, &voterMachine{state: distribution.NewVoterState(), carrier: carrier, content: v.group.content}, v.log, v.log,
		v.files, v.way)
	if err != nil {
		stop()
		return err
	}
	v.mutex.Lock()
	v.carrier, v.stop, v.ended, v.raft = carrier, stop, make(chan struct{}), r
	ended := v.ended
	v.mutex.Unlock()
	v.network.listen(v.name, v.region, func(conn net.Conn) { carrier.Accept(conn, nil) })
	v.ending.Go(func() {
		defer close(ended)
		carrier.Run(ctx)
	})
	v.ending.Go(func() { v.know(ctx, r, carrier) })
	return nil
}

// know tells the carrier whenever the record is known to be led by a majority, and to be all here.
func (v *voter) know(ctx context.Context, r *raft.Raft, carrier *subscribe.Carrier) {
	look := time.NewTicker(knowEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
		led := r.State() == raft.Leader && r.VerifyLeader().Error() == nil ||
			r.State() == raft.Follower && time.Since(r.LastContact()) < raftHeartbeat
		if led && r.AppliedIndex() >= r.CommitIndex() {
			carrier.Current()
		}
	}
}

// kill ends a life as the end of a process would. What is on disk stays.
func (v *voter) kill() {
	if !v.up() {
		return
	}
	for _, other := range v.group.voters {
		if other != v && other.way != nil {
			other.way.Disconnect(raft.ServerAddress(v.id))
		}
	}
	v.way.DisconnectAll()
	v.hollowSubscriber.kill()
	v.raft.Shutdown().Error()
	v.ending.Wait()
}

var errRefused = errors.New("the voters refuse it")

// propose puts a proposal on the record, if we lead.
func (v *voter) propose(entries []distribution.Entry) error {
	body, err := cbor.Marshal(distribution.Proposal{AcceptedAt: time.Now().UnixMicro(), Entries: entries,
		Epoch: distribution.NextEpoch(distribution.Epoch{}, uint64(time.Now().Unix()), rand.Uint64())})
	if err != nil {
		return err
	}
	r := v.running()
	if r == nil {
		return raft.ErrRaftShutdown
	}
	f := r.Apply(body, proposeWithin)
	if err := f.Error(); err != nil {
		return err
	}
	if err, ok := f.Response().(error); ok {
		return fmt.Errorf("%w: %w", errRefused, err)
	}
	return nil
}

// voterMachine takes proposals off raft's log.
type voterMachine struct {
	state   *distribution.VoterState
	carrier *subscribe.Carrier
	content *content
}

// Apply takes one proposal in.
func (m *voterMachine) Apply(l *raft.Log) any {
	var p distribution.Proposal
	if err := cbor.Unmarshal(l.Data, &p); err != nil {
		return err
	}
	change, err := m.state.Accept(p)
	if err != nil {
		return err
	}
	m.content.accepted(change)
	m.carrier.Accepted(change)
	return nil
}

var errNoSnapshots = errors.New("a run is too short for snapshots of the record")

// Snapshot is not called within a run.
func (*voterMachine) Snapshot() (raft.FSMSnapshot, error) { return nil, errNoSnapshots }

// Restore is not called within a run.
func (*voterMachine) Restore(from io.ReadCloser) error {
	return errors.Join(errNoSnapshots, from.Close())
}
