package consensus

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
)

// Distribution is told what the record has of the distributed configuration, in order, and serves those who subscribe to
// it. Its calls may wait, but not for the Node.
type Distribution interface {
	// Restored tells all of the configuration.
	Restored(state distribution.State)
	// Accepted tells the next change.
	Accepted(change distribution.Change)
	// Current says that the record was just known to be led by a majority, and that we have all of it.
	Current()
	// Accept serves the connection of a subscriber until it ends, and closes it. It may subscribe under the names that are
	// allowed.
	Accept(conn net.Conn, allowed func(name string) bool)
}

// configurationEntry is an entry of raft's log that changes the distributed configuration. It is an array, where the entries of
// package share are maps.
type configurationEntry struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Proposal distribution.Proposal
}

const (
	kindProposal = 1
	cborArray    = 4 // major type, the upper three bits of a first byte
)

func isConfigurationEntry(data []byte) bool { return len(data) > 0 && data[0]>>5 == cborArray }

// configuration is the part of the state machine that holds the distributed configuration. It takes part at every member,
// whether or not anybody can subscribe there.
type configuration struct {
	distribution Distribution // nil for nobody
	seen         func(distribution.Epoch)

	mutex sync.Mutex
	voter *distribution.Record
}

// newConfiguration is a configuration that nothing was put into. Seen is told epochs; nil for nobody.
func newConfiguration(told Distribution, seen func(distribution.Epoch)) *configuration {
	if seen == nil {
		seen = func(distribution.Epoch) {}
	}
	return &configuration{distribution: told, seen: seen, voter: distribution.NewRecord()}
}

// changeResult is what became of a proposal.
type changeResult struct {
	mark distribution.Version
	err  error
}

// apply takes a change in, whole or not at all.
func (c *configuration) apply(data []byte, failed func(error)) any {
	var entry configurationEntry
	if err := cbor.Unmarshal(data, &entry); err != nil {
		failed(err)
		return changeResult{err: err}
	}
	if entry.Kind != kindProposal {
		err := fmt.Errorf("an entry of the unknown kind %d", entry.Kind)
		failed(err)
		return changeResult{err: err}
	}
	c.mutex.Lock()
	founds := c.voter.Empty()
	accepted, err := c.voter.Apply(entry.Proposal)
	mark := c.voter.Version()
	var state distribution.State
	if err == nil && founds {
		state = c.voter.State()
	}
	c.mutex.Unlock()
	if err != nil {
		return changeResult{err: err}
	}
	c.seen(mark.Epoch)
	switch {
	case c.distribution == nil:
	case founds:
		c.distribution.Restored(state)
	default:
		c.distribution.Accepted(accepted)
	}
	return changeResult{mark: mark}
}

// state is the configuration for a snapshot; nil where there is none.
func (c *configuration) state() *distribution.State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.voter.Empty() {
		return nil
	}
	state := c.voter.State()
	return &state
}

// restore takes over the configuration of a snapshot; nil where it had none.
func (c *configuration) restore(state *distribution.State) {
	voter := distribution.NewRecord()
	if state != nil {
		voter = distribution.RestoreRecord(*state)
		c.seen(state.Version.Epoch)
	}
	c.mutex.Lock()
	c.voter = voter
	c.mutex.Unlock()
	if state != nil && c.distribution != nil {
		c.distribution.Restored(*state)
	}
}

// view gives access to the configuration.
func (c *configuration) view(look func(*distribution.Record)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	look(c.voter)
}

// entriesPerPiece is how many entries are encoded at a time.
const entriesPerPiece = 1024

// WriteConfiguration writes a configuration as a sequence: what it is without its entries, then these in pieces.
func WriteConfiguration(to io.Writer, state *distribution.State) error {
	encoder := cbor.NewEncoder(to)
	head := *state
	head.Entries = nil
	if err := encoder.Encode(head); err != nil {
		return err
	}
	for left := state.Entries; len(left) > 0; {
		piece := left[:min(entriesPerPiece, len(left))]
		if err := encoder.Encode(piece); err != nil {
			return err
		}
		left = left[len(piece):]
	}
	return nil
}

// ReadConfiguration reads one that WriteConfiguration wrote; nil where there is nothing to read.
func ReadConfiguration(body []byte) (*distribution.State, error) {
	if len(body) == 0 {
		return nil, nil
	}
	state := &distribution.State{}
	rest, err := cbor.UnmarshalFirst(body, state)
	for err == nil && len(rest) > 0 {
		var piece []distribution.Entry
		rest, err = cbor.UnmarshalFirst(rest, &piece)
		state.Entries = append(state.Entries, piece...)
	}
	if err == nil && !state.Version.Epoch.Known() {
		err = errors.New("a configuration without an epoch")
	}
	return state, err
}

// noteEpoch remembers the greatest epoch, over several records.
func (n *Node) noteEpoch(epoch distribution.Epoch) {
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	if epoch.Newer(n.epoch) {
		n.epoch = epoch
	}
}

// refusal says why a change was not accepted.
type refusal uint8

const (
	refusedRetry       refusal = iota + 1 // not the leader, or it is not known whether it will be accepted yet
	refusedBaseMoved                      // the record is not at the base of the proposal
	refusedPermanently                    // the record refuses it however often it comes
)

// acceptChange puts a change on the record, if we lead.
func (n *Node) acceptChange(p distribution.Proposal) memberResponse {
	r, _ := n.current()
	if r.State() != raft.Leader {
		return memberResponse{Why: "not the leader", Refusal: refusedRetry}
	}
	n.leaderMutex.Lock()
	p.Epoch = distribution.NextEpoch(n.epoch, uint64(time.Now().Unix()), randomID())
	n.leaderMutex.Unlock()
	p.AcceptedAt = time.Now().UnixMicro()
	body, err := cbor.Marshal(configurationEntry{Kind: kindProposal, Proposal: p})
	if err != nil {
		return memberResponse{Why: err.Error(), Refusal: refusedPermanently}
	}
	future := r.Apply(body, applyTimeout)
	if err := future.Error(); err != nil {
		return memberResponse{Why: err.Error(), Refusal: refusedRetry}
	}
	result, _ := future.Response().(changeResult)
	switch {
	case errors.Is(result.err, distribution.ErrVersionMismatch):
		return memberResponse{Why: result.err.Error(), Refusal: refusedBaseMoved}
	case result.err != nil:
		return memberResponse{Why: result.err.Error(), Refusal: refusedPermanently}
	}
	return memberResponse{Accepted: true, Mark: &result.mark}
}

// Why a change was not accepted. Of ErrUnanswered it is not known whether it will be.
var (
	ErrUnanswered = errors.New("no leader of the record has answered")
	ErrRefused    = errors.New("the record refuses the change")
)

// ProposeChange has the record accept a change: once, whole. An error that is ErrUnanswered leaves open whether it does.
func (n *Node) ProposeChange(ctx context.Context, p distribution.Proposal) (distribution.Version, error) {
	r, _ := n.current()
	_, id := r.LeaderWithID()
	var a memberResponse
	var err error
	switch leader := nameOf(id); leader {
	case "":
		return distribution.Version{}, ErrUnanswered
	case n.config.Name:
		a = n.acceptChange(p)
	default:
		a, err = n.callMember(ctx, leader, memberRequest{Change: &p})
	}
	switch {
	case err != nil:
		return distribution.Version{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
	case a.Accepted && a.Mark != nil:
		return *a.Mark, nil
	case a.Refusal == refusedBaseMoved:
		return distribution.Version{}, distribution.ErrVersionMismatch
	case a.Refusal == refusedPermanently:
		return distribution.Version{}, fmt.Errorf("%w: %s", ErrRefused, a.Why)
	}
	return distribution.Version{}, fmt.Errorf("%w: %s", ErrUnanswered, a.Why)
}

// Configure has the record hold just the wanted entries, by one change; it tells how many entries differ, 0 if none does.
// While nobody leads the record it tries again, until the context ends.
func (n *Node) Configure(ctx context.Context, wanted []distribution.Entry) (mark distribution.Version, differ int, err error) {
	for {
		_, m := n.current()
		var p distribution.Proposal
		m.configuration.view(func(voter *distribution.Record) { p = voter.Difference(wanted) })
		if len(p.Entries) == 0 {
			return p.Base, 0, nil
		}
		if mark, err = n.ProposeChange(ctx, p); err == nil || errors.Is(err, ErrRefused) {
			return mark, len(p.Entries), err
		}
		select {
		case <-ctx.Done():
			return mark, 0, err
		case <-time.After(pollInterval):
		}
	}
}

// noteCurrent says that the record is led and that we have all of it, if that is so.
func (n *Node) noteCurrent(r *raft.Raft) {
	if n.config.Distribution == nil {
		return
	}
	_, m := n.current()
	empty := true
	m.configuration.view(func(voter *distribution.Record) { empty = voter.Empty() })
	seen := progress{leads: r.State() == raft.Leader, inContact: time.Since(r.LastContact()) < n.pace.heartbeat,
		applied: r.AppliedIndex(), committed: r.CommitIndex(), last: r.LastIndex()}
	if n.currency.observe(seen) && !empty {
		n.config.Distribution.Current()
	}
}

// progress is how far a member's part in raft is.
type progress struct {
	leads                    bool
	inContact                bool   // with a leader, where we do not lead: within a heartbeat timeout
	applied, committed, last uint64 // indices
}

// currency tells whether a member has all that was accepted anywhere for longer than a heartbeat takes.
type currency struct {
	ledFrom uint64 // our last index as we were first seen to lead; 0 while we do not
}

// observe looks at the progress, as long as the leadership does not change.
func (c *currency) observe(p progress) bool {
	if p.applied < p.committed {
		return false
	}
	if !p.leads {
		c.ledFrom = 0
		return p.inContact
	}
	if c.ledFrom == 0 {
		c.ledFrom = max(p.last, 1) // what stands up to there may have been accepted by the leader before us
	}
	return p.applied >= c.ledFrom
}

// reset takes that the leadership has changed.
func (c *currency) reset() { c.ledFrom = 0 }
