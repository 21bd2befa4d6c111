package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"

	"wheelrill/consensus"
	"wheelrill/distribution"
	"wheelrill/distribution/transport"
	"wheelrill/internal/process"
)

// voterGroup holds the voters of a deployment. The voters keep one record through raft over
// loopback connections, and distribute the changes of the record through the in-memory network.
type voterGroup struct {
	voters        []*voter
	raftAddresses map[string]string
	folder        string
	network       *network
	content       *content
}

// voter is one voter of a group. The files of the voter remain after a kill, so that a restart
// continues with them.
type voter struct {
	hollowSubscriber
	group              *voterGroup
	member             *hollowMember // member of the record that the present incarnation of the voter runs
	goroutines         sync.WaitGroup
	earlierRecordBytes int64 // bytes that earlier incarnations of the voter sent and received for the record
}

func newVoters(n int, folder string, network *network, content *content, propagation *propagation) (*voterGroup, error) {
	addresses, err := process.FreeAddresses(n)
	if err != nil {
		return nil, err
	}
	g := &voterGroup{network: network, content: content, folder: folder, raftAddresses: map[string]string{}}
	for i := range n {
		v := &voter{group: g}
		v.name = voterName(i)
		v.role = roleVoter
		v.region = i
		v.network = network
		v.propagation = propagation
		v.scopes = distribution.AllScopes()
		v.fanOut = maxFanOut
		g.voters = append(g.voters, v)
		g.raftAddresses[v.name] = addresses[i]
	}
	return g, nil
}

func voterName(i int) string { return fmt.Sprint("voter", i) }

// start starts all voters, which create the record, and waits for a leader.
func (g *voterGroup) start(ctx context.Context) error {
	for _, v := range g.voters {
		if err := v.start(); err != nil {
			return err
		}
	}
	hasQuorum := func() bool {
		for _, v := range g.voters {
			if !v.member.hasQuorum.Load() {
				return false
			}
		}
		return g.leader() != nil
	}
	if !await(ctx, startTimeout, hasQuorum) {
		return fmt.Errorf("not all voters had quorum, or no voter led, within %s", startTimeout)
	}
	return nil
}

// leader returns the voter that leads, or nil if no voter leads.
func (g *voterGroup) leader() *voter {
	for _, v := range g.voters {
		if m := v.runningMember(); m != nil && m.node.IsLeader() {
			return v
		}
	}
	return nil
}

// runningMember returns the voter's member of the record, or nil while the voter is down.
func (v *voter) runningMember() *hollowMember {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.stop == nil {
		return nil
	}
	return v.member
}

// propose proposes entries as one change to the leader. After each failure it proposes them again,
// until the change is accepted or refused.
func (g *voterGroup) propose(ctx context.Context, entries []distribution.Entry) error {
	for {
		if v := g.leader(); v != nil {
			if m := v.runningMember(); m != nil {
				_, err := m.node.ProposeChange(ctx, distribution.Proposal{Entries: entries})
				if err == nil || errors.Is(err, consensus.ErrChangeRefused) {
					return err
				}
			}
		}
		if err := pauseFor(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// close kills all voters.
func (g *voterGroup) close() {
	for _, v := range g.voters {
		v.kill()
	}
}

// dedicatedNodeLimits returns the limits of a distribution node on a dedicated machine.
func dedicatedNodeLimits() distribution.Limits {
	limits := distribution.DefaultLimits()
	limits.FanOut = maxFanOut
	limits.SnapshotBytesPerSecond = dedicatedSnapshotRate
	return limits
}

// newVoterTransport returns the transport by which a voter distributes the configuration.
func newVoterTransport(name string, limits distribution.Limits) *transport.Transport {
	return transport.New(transport.Config{
		Node: distribution.Config{Name: name, Voter: true, Limits: limits},
		Dial: func(context.Context, string) (net.Conn, error) {
			return nil, errors.New("a voter has no parent to dial")
		}})
}

// start starts the voter with the log and the votes that it has on disk.
func (v *voter) start() error {
	limits := dedicatedNodeLimits()
	limits.FanOut = v.fanOut
	node := newVoterTransport(v.name, limits)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	v.goroutines.Go(func() {
		defer close(ended)
		node.Run(ctx)
	})
	member, err := startHollowMember(ctx, &v.goroutines, consensus.Config{Name: v.name, Members: v.group.raftAddresses,
		Folder: filepath.Join(v.group.folder, v.name), Distribution: voterDistribution{node, v.group.content}}, voterLease)
	if err != nil {
		stop()
		v.goroutines.Wait()
		return err
	}
	v.mutex.Lock()
	v.node = node
	v.stop = stop
	v.ended = ended
	v.member = member
	v.mutex.Unlock()
	v.network.listen(v.name, v.region, func(conn net.Conn) { node.Accept(conn, nil) })
	return nil
}

// kill stops the voter as the end of its process would. The files of the voter remain.
func (v *voter) kill() {
	member := v.runningMember()
	if member == nil {
		return
	}
	v.hollowSubscriber.kill()
	v.goroutines.Wait()
	_, bytes := member.node.Cost()
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.earlierRecordBytes += bytes
}

// recordBytes returns the bytes that the voter has sent and received for the record, in all its
// incarnations.
func (v *voter) recordBytes() int64 {
	member := v.runningMember()
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if member == nil {
		return v.earlierRecordBytes
	}
	_, bytes := member.node.Cost()
	return v.earlierRecordBytes + bytes
}

// voterDistribution passes changes of the record to the voter's node in the tree, and adds them to
// the content, with which nodes are compared.
type voterDistribution struct {
	*transport.Transport
	content *content
}

// Restored passes a whole configuration to the content and to the voter's transport: the first
// state of a new record, or the state that a restarted voter has read from its disk.
func (d voterDistribution) Restored(state distribution.State) {
	d.content.noteAccepted(distribution.Change{Epoch: state.Version.Epoch, Revision: state.Version.Revision, Entries: state.Entries})
	d.Transport.Restored(state)
}

// Accepted passes the next change of the record to the content and to the voter's transport.
func (d voterDistribution) Accepted(change distribution.Change) {
	d.content.noteAccepted(change)
	d.Transport.Accepted(change)
}
