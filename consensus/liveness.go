package consensus

import (
	"context"
	"errors"
	"syscall"

	"wheelrill/ownership"
)

// probeSilentMembers finds members whose process does not run, and marks them as stopped in the
// lease tracker. A member counts as stopped if it has sent no entry for longer than two renew
// intervals and its address refuses a connection. A connection attempt that times out proves
// nothing: the member may be cut off by the network, or its process may be stalled.
func (n *Node) probeSilentMembers(ctx context.Context) {
	for _, name := range n.silentMembers() {
		probedAt := n.clock()
		conn, err := n.transport.dial(ctx, name, connCalls)
		if err == nil {
			conn.Close()
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.leaderMutex.Lock()
			n.leases.MarkStopped(name, probedAt)
			n.leaderMutex.Unlock()
		}
	}
}

// silentMembers returns the names of the other members from which no entry has arrived at this
// leader for longer than two renew intervals.
func (n *Node) silentMembers() (silent []string) {
	machine := n.current().machine
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	now := n.clock()
	machine.withRecord(func(record *ownership.Record) {
		for name, incarnation := range record.Members {
			if name != n.config.Name && n.leases.SilentFor(incarnation, now, 2*n.config.Terms.RenewInterval) {
				silent = append(silent, name)
			}
		}
	})
	return silent
}
