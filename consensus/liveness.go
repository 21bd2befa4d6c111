package consensus

import (
	"context"
	"errors"
	"syscall"

	"wheelrill/ownership"
)

// probeSilentMembers finds members that do not run, for the lease tracker: those of which nothing has arrived lately, and
// whose address refuses a connection. A connection that hangs shows nothing: the member may be cut off, or stand still.
func (n *Node) probeSilentMembers(ctx context.Context) {
	for _, name := range n.silentMembers() {
		at := n.clock()
		conn, err := n.transport.dial(ctx, name, connCalls)
		if err == nil {
			conn.Close()
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.leaderMutex.Lock()
			n.leases.MarkStopped(name, at)
			n.leaderMutex.Unlock()
		}
	}
}

// silentMembers are the others of which nothing has arrived for two renewals.
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
