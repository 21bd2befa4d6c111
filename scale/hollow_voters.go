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

// voterGroup is voters with a record between them over loopback, each handing it out in memory.
type voterGroup struct {
	voters        []*voter
	raftAddresses map[string]string
	folder        string
	network       *network
	content       *content
}

// voter is one of them. What it has on disk outlasts a kill.
type voter struct {
	hollowSubscriber
	group              *voterGroup
	member             *hollowMember // of this incarnation
	goroutines         sync.WaitGroup
	earlierRecordBytes int64 // bytes that earlier incarnations have spent on the record
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

// start starts all, which found the record, and waits for a leader.
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
		return fmt.Errorf("the voters have no record within %s", startTimeout)
	}
	return nil
}

// leader is the voter that leads; nil if none does.
func (g *voterGroup) leader() *voter {
	for _, v := range g.voters {
		if m := v.runningMember(); m != nil && m.node.IsLeader() {
			return v
		}
	}
	return nil
}

// runningMember is the voter's part in the record; nil while it is down.
func (v *voter) runningMember() *hollowMember {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.stop == nil {
		return nil
	}
	return v.member
}

// propose has entries accepted as one change, by whoever leads, and waits until they are.
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

// close ends all.
func (g *voterGroup) close() {
	for _, v := range g.voters {
		v.kill()
	}
}

// dedicatedNodeLimits are those of a node on a machine set aside.
func dedicatedNodeLimits() distribution.Limits {
	limits := distribution.DefaultLimits()
	limits.FanOut = maxFanOut
	limits.SnapshotBytesPerSecond = dedicatedSnapshotRate
	return limits
}

// newVoterTransport hands out the configuration of a voter.
func newVoterTransport(name string, limits distribution.Limits) *transport.Transport {
	return transport.New(transport.Config{
		Node: distribution.Config{Name: name, Voter: true, Limits: limits},
		Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("a voter dials nobody") }})
}

// start starts a voter, with the log and the votes that it had.
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

// kill ends it as the end of a process would. What is on disk stays.
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

// recordBytes is what the record has cost, in all incarnations.
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

// voterDistribution hands the record's changes to a voter's node of the tree, and notes them for comparison.
type voterDistribution struct {
	*transport.Transport
	content *content
}

// Restored tells all of the configuration: at the founding its first change, later what a voter has from its disk.
func (d voterDistribution) Restored(state distribution.State) {
	d.content.noteAccepted(distribution.Change{Epoch: state.Version.Epoch, Revision: state.Version.Revision, Entries: state.Entries})
	d.Transport.Restored(state)
}

// Accepted tells the next change.
func (d voterDistribution) Accepted(change distribution.Change) {
	d.content.noteAccepted(change)
	d.Transport.Accepted(change)
}
