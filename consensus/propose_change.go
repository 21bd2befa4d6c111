package consensus

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
)

// ReplaceConfiguration makes the configuration record hold exactly the wanted entries, by one
// change. It returns the version after the change and the number of entries that differed. If none
// differed from this member's copy of the record, it proposes a change without entries, which the
// record refuses as such if the copy is current, and returns 0. While the outcome is unknown it proposes the same change
// again every pollInterval, until the context ends; the record accepts it once at most. If the record
// has changed since the proposal was made, it makes a new one, unless an earlier outcome was unknown:
// others may then have changed the record knowing better, and it returns ErrChangeRefused. Its other
// errors are those of ProposeChange.
func (n *Node) ReplaceConfiguration(ctx context.Context, wanted []distribution.Entry) (
	version distribution.Version, differing int, err error) {
	proposal, anyUnanswered := n.difference(wanted), false
	for {
		version, err = n.ProposeChange(ctx, proposal)
		isEmpty := len(proposal.Entries) == 0
		if isEmpty && errors.Is(err, distribution.ErrNoChange) {
			return proposal.Base, 0, nil
		}
		mismatch := errors.Is(err, distribution.ErrVersionMismatch)
		switch {
		case err == nil || errors.Is(err, ErrChangeRefused):
			return version, len(proposal.Entries), err
		case mismatch && anyUnanswered:
			return version, 0, fmt.Errorf("%w: %w", ErrChangeRefused, err)
		}
		if !sleep(ctx, pollInterval) {
			return version, 0, err
		}
		if mismatch {
			proposal = n.difference(wanted)
		}
		anyUnanswered = anyUnanswered || !mismatch && !isEmpty && !errors.Is(err, errNotProposed)
	}
}

// difference returns the proposal that makes this member's configuration record hold exactly the
// wanted entries, with an Order of its own.
func (n *Node) difference(wanted []distribution.Entry) (proposal distribution.Proposal) {
	n.current().machine.configuration.view(func(record *distribution.Record) { proposal = record.Difference(wanted) })
	proposal.Order = distribution.Order(randomID())
	return proposal
}

// ProposeChange proposes a change to the configuration record, which accepts it completely and
// once, or not at all. It returns the version after the change. The error is ErrUnanswered if it is
// unknown whether the change will be accepted, distribution.ErrVersionMismatch if the record is not
// at the base version of the proposal, and ErrChangeRefused otherwise.
func (n *Node) ProposeChange(ctx context.Context, proposal distribution.Proposal) (distribution.Version, error) {
	response, err := n.proposeAtLeader(ctx, proposal)
	switch {
	case err != nil:
		return distribution.Version{}, err
	case response.Accepted && response.Version != nil:
		return *response.Version, nil
	case response.Refusal == refusedVersionMismatch:
		return distribution.Version{}, distribution.ErrVersionMismatch
	case response.Refusal == refusedPermanently && response.Reason == refusalReason(distribution.ErrNoChange):
		return distribution.Version{}, fmt.Errorf("%w: %w", ErrChangeRefused, distribution.ErrNoChange)
	case response.Refusal == refusedPermanently:
		return distribution.Version{}, fmt.Errorf("%w: %s", ErrChangeRefused, response.Reason)
	case response.Reason == reasonNotLeader:
		return distribution.Version{}, fmt.Errorf("%w: %w: %s", ErrUnanswered, errNotProposed, response.Reason)
	}
	return distribution.Version{}, fmt.Errorf("%w: %s", ErrUnanswered, response.Reason)
}

// proposeAtLeader passes a proposal to the leader, which may be this member, and returns the
// leader's response.
func (n *Node) proposeAtLeader(ctx context.Context, proposal distribution.Proposal) (memberResponse, error) {
	switch leader := n.leaderName(); leader {
	case "":
		return memberResponse{}, fmt.Errorf("%w: %w", ErrUnanswered, errNotProposed)
	case n.config.Name:
		return n.acceptChange(proposal), nil
	default:
		conn, err := n.transport.dial(ctx, leader, connCalls)
		if err != nil {
			return memberResponse{}, fmt.Errorf("%w: %w: %w", ErrUnanswered, errNotProposed, err)
		}
		defer conn.Close()
		response, err := roundTrip(conn, memberRequest{Change: &proposal})
		if err != nil {
			return memberResponse{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
		}
		return response, nil
	}
}

// acceptChange appends a change of the configuration record to raft's log if this member is the
// leader, and waits until the change is committed and applied.
func (n *Node) acceptChange(proposal distribution.Proposal) memberResponse {
	r := n.current().raft
	if r.State() != raft.Leader {
		return memberResponse{Reason: reasonNotLeader, Refusal: refusedRetry}
	}
	proposal.Epoch = n.nextEpoch()
	proposal.AcceptedAt = time.Now().UnixMicro()
	body, err := cbor.Marshal(configurationEntry{Kind: kindProposal, Proposal: proposal})
	if err != nil {
		return memberResponse{Reason: err.Error(), Refusal: refusedPermanently}
	}
	future := r.Apply(body, applyTimeout)
	if err := future.Error(); err != nil {
		return memberResponse{Reason: err.Error(), Refusal: refusedRetry}
	}
	result, _ := future.Response().(changeResult)
	switch {
	case errors.Is(result.err, distribution.ErrVersionMismatch):
		return memberResponse{Reason: refusalReason(result.err), Refusal: refusedVersionMismatch}
	case result.err != nil:
		return memberResponse{Reason: refusalReason(result.err), Refusal: refusedPermanently}
	}
	return memberResponse{Accepted: true, Version: &result.version}
}

// refusalReason returns the text of an error without the prefix of package distribution, because
// the reasons on the wire do not contain this prefix.
func refusalReason(err error) string { return strings.TrimPrefix(err.Error(), "distribution: ") }

// nextEpoch returns the epoch for a configuration record that has no epoch yet. The epoch is newer
// than every epoch that this process has seen.
func (n *Node) nextEpoch() distribution.Epoch {
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	return distribution.NextEpoch(n.newestEpoch, uint64(time.Now().Unix()), randomID())
}

// noteEpoch sets newestEpoch to the given epoch if the given epoch is newer. It is called for the
// epochs of all configuration records that this process has held.
func (n *Node) noteEpoch(epoch distribution.Epoch) {
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	if epoch.Newer(n.newestEpoch) {
		n.newestEpoch = epoch
	}
}
