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

// change is an entry of raft's log that changes the distributed configuration. It is an array, where the entries of
// package share are maps.
type change struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Proposal distribution.Proposal
}

const (
	kindChange = 1
	cborArray  = 4 // major type, the upper three bits of a first byte
)

func isChange(data []byte) bool { return len(data) > 0 && data[0]>>5 == cborArray }

// changes is the part of the state machine that holds the distributed configuration. It takes part at every member,
// whether or not anybody can subscribe there.
type changes struct {
	told Distribution // nil for nobody
	seen func(distribution.Epoch)

	mutex sync.Mutex
	voter *distribution.VoterState
}

// newChanges is a configuration that nothing was put into. Seen is told epochs; nil for nobody.
func newChanges(told Distribution, seen func(distribution.Epoch)) *changes {
	if seen == nil {
		seen = func(distribution.Epoch) {}
	}
	return &changes{told: told, seen: seen, voter: distribution.NewVoterState()}
}

// outcome is what became of a proposal.
type outcome struct {
	mark distribution.Mark
	err  error
}

// apply takes a change in, whole or not at all.
func (c *changes) apply(data []byte, failed func(error)) any {
	var entry change
	if err := cbor.Unmarshal(data, &entry); err != nil {
		failed(err)
		return outcome{err: err}
	}
	if entry.Kind != kindChange {
		err := fmt.Errorf("an entry of the unknown kind %d", entry.Kind)
		failed(err)
		return outcome{err: err}
	}
	c.mutex.Lock()
	founds := c.voter.Empty()
	accepted, err := c.voter.Accept(entry.Proposal)
	mark := c.voter.Mark()
	var state distribution.State
	if err == nil && founds {
		state = c.voter.State()
	}
	c.mutex.Unlock()
	if err != nil {
		return outcome{err: err}
	}
	c.seen(mark.Epoch)
	switch {
	case c.told == nil:
	case founds:
		c.told.Restored(state)
	default:
		c.told.Accepted(accepted)
	}
	return outcome{mark: mark}
}

// state is the configuration for a snapshot; nil where there is none.
func (c *changes) state() *distribution.State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.voter.Empty() {
		return nil
	}
	state := c.voter.State()
	return &state
}

// restore takes over the configuration of a snapshot; nil where it had none.
func (c *changes) restore(state *distribution.State) {
	voter := distribution.NewVoterState()
	if state != nil {
		voter = distribution.RestoreVoterState(*state)
		c.seen(state.Mark.Epoch)
	}
	c.mutex.Lock()
	c.voter = voter
	c.mutex.Unlock()
	if state != nil && c.told != nil {
		c.told.Restored(*state)
	}
}

// view gives access to the configuration.
func (c *changes) view(look func(*distribution.VoterState)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	look(c.voter)
}

// pieceOfSnapshot is how many entries are encoded at a time.
const pieceOfSnapshot = 1024

// WriteConfiguration writes a configuration as a sequence: what it is without its entries, then these in pieces.
func WriteConfiguration(to io.Writer, state *distribution.State) error {
	encoder := cbor.NewEncoder(to)
	head := *state
	head.Entries = nil
	if err := encoder.Encode(head); err != nil {
		return err
	}
	for left := state.Entries; len(left) > 0; {
		piece := left[:min(pieceOfSnapshot, len(left))]
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
	if err == nil && !state.Mark.Epoch.Known() {
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
	refusedForNow  refusal = iota + 1 // not the leader, or it is not known whether it will be accepted yet
	refusedMoved                      // the record is not at the base of the proposal
	refusedForGood                    // the record refuses it however often it comes
)

// acceptChange puts a change on the record, if we lead.
func (n *Node) acceptChange(p distribution.Proposal) answer {
	r, _ := n.current()
	if r.State() != raft.Leader {
		return answer{Why: "not the leader", Refusal: refusedForNow}
	}
	n.leaderMutex.Lock()
	p.Epoch = distribution.NextEpoch(n.epoch, uint64(time.Now().Unix()), randomID())
	n.leaderMutex.Unlock()
	p.AcceptedAt = time.Now().UnixMicro()
	body, err := cbor.Marshal(change{Kind: kindChange, Proposal: p})
	if err != nil {
		return answer{Why: err.Error(), Refusal: refusedForGood}
	}
	future := r.Apply(body, applyWithin)
	if err := future.Error(); err != nil {
		return answer{Why: err.Error(), Refusal: refusedForNow}
	}
	result, _ := future.Response().(outcome)
	switch {
	case errors.Is(result.err, distribution.ErrMoved):
		return answer{Why: result.err.Error(), Refusal: refusedMoved}
	case result.err != nil:
		return answer{Why: result.err.Error(), Refusal: refusedForGood}
	}
	return answer{Accepted: true, Mark: &result.mark}
}

// Why a change was not accepted. Of ErrUnanswered it is not known whether it will be.
var (
	ErrUnanswered = errors.New("no leader of the record has answered")
	ErrRefused    = errors.New("the record refuses the change")
)

// Change has the record accept a change: once, whole. An error that is ErrUnanswered leaves open whether it does.
func (n *Node) Change(ctx context.Context, p distribution.Proposal) (distribution.Mark, error) {
	r, _ := n.current()
	_, id := r.LeaderWithID()
	var a answer
	var err error
	switch leader := nameOf(id); leader {
	case "":
		return distribution.Mark{}, ErrUnanswered
	case n.config.Name:
		a = n.acceptChange(p)
	default:
		a, err = n.ask(ctx, leader, call{Change: &p})
	}
	switch {
	case err != nil:
		return distribution.Mark{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
	case a.Accepted && a.Mark != nil:
		return *a.Mark, nil
	case a.Refusal == refusedMoved:
		return distribution.Mark{}, distribution.ErrMoved
	case a.Refusal == refusedForGood:
		return distribution.Mark{}, fmt.Errorf("%w: %s", ErrRefused, a.Why)
	}
	return distribution.Mark{}, fmt.Errorf("%w: %s", ErrUnanswered, a.Why)
}

// Configure has the record hold just the wanted entries, by one change; it tells how many entries differ, 0 if none does.
// While nobody leads the record it tries again, until the context ends.
func (n *Node) Configure(ctx context.Context, wanted []distribution.Entry) (mark distribution.Mark, differ int, err error) {
	for {
		_, m := n.current()
		var p distribution.Proposal
		m.changes.view(func(voter *distribution.VoterState) { p = voter.Difference(wanted) })
		if len(p.Entries) == 0 {
			return p.Base, 0, nil
		}
		if mark, err = n.Change(ctx, p); err == nil || errors.Is(err, ErrRefused) {
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
	m.changes.view(func(voter *distribution.VoterState) { empty = voter.Empty() })
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
