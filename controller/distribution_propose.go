package controller

import (
	"context"
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"wheelrill/consensus"
)

// distributedEntries reads what a configuration wants to be distributed, at a voter; elsewhere it is left alone (not ok).
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

// enqueueProposal has a voter propose entries; they replace what waits to be proposed.
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

// runProposals proposes what is enqueued, one change after the other, until the context ends.
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

// propose brings entries onto the record as one change, and logs what became of it.
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
