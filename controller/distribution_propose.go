package controller

import (
	"context"
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"wheelrill/consensus"
)

// distributedEntries reads the entries that a voter's configuration distributes. It returns false
// if the controller is not a voter, or if the configuration lacks the key distributedKey.
func (c *Controller) distributedEntries(configuration []byte) (entries proposedEntries, ok bool, err error) {
	if c.distributor == nil || c.distributor.consensusNode == nil {
		return nil, false, nil
	}
	root, err := fastjson.ParseBytes(configuration)
	if err != nil {
		return nil, false, fmt.Errorf("configuration: %w", err)
	}
	return readDistributed(root)
}

// enqueueProposal queues entries for a voter to propose. They replace entries that are already
// queued.
func (d *distributor) enqueueProposal(entries proposedEntries) {
	for {
		select {
		case d.proposals <- entries:
			return
		default:
		}
		select {
		case <-d.proposals:
		default:
		}
	}
}

// runProposals proposes queued entries, one change at a time, until ctx ends.
func (d *distributor) runProposals(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case entries := <-d.proposals:
			d.propose(ctx, entries)
		}
	}
}

// propose proposes to replace all distributed entries by the given ones, as one change, and logs
// the result.
func (d *distributor) propose(ctx context.Context, entries proposedEntries) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	version, differing, err := d.consensusNode.ReplaceConfiguration(ctx, entries)
	switch {
	case err == nil && differing == 0:
		d.log.Info("change_empty", "revision", version.Revision, "epoch", version.Epoch.String())
	case err == nil:
		d.log.Info("change_accepted", "revision", version.Revision, "epoch", version.Epoch.String(), "entries", differing)
	case errors.Is(err, consensus.ErrChangeRefused):
		d.log.Warn("change_refused", "error", err)
	default:
		d.log.Warn("change_unanswered", "error", err)
	}
}
