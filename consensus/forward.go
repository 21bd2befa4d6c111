package consensus

import (
	"context"
	"net"
	"time"

	"wheelrill/ownership"
)

const (
	forwardRetryPause = 50 * time.Millisecond // before it is said that an entry was not accepted
	ownConnection     = 0                     // the number under which the leader's own entries arrive
)

// Propose has an entry appended to the record next. It never blocks; an entry that still waits is
// dropped, as it is of an incarnation that is over.
func (n *Node) Propose(entry ownership.Entry) {
	for {
		select {
		case n.proposals <- entry:
			return
		default:
		}
		select {
		case <-n.proposals:
		default:
		}
	}
}

// forwardProposals brings proposed entries to the leader, until the context ends.
func (n *Node) forwardProposals(ctx context.Context) {
	leader := leaderConn{transport: n.transport}
	defer leader.close()
	for {
		var entry ownership.Entry
		select {
		case <-ctx.Done():
			return
		case entry = <-n.proposals:
		}
		if n.appendAtLeader(ctx, &leader, entry) {
			n.events.ProposalCommitted(entry.Incarnation, entry.Seq)
			continue
		}
		if !sleep(ctx, forwardRetryPause) {
			return
		}
		n.events.ProposalFailed(entry.Incarnation, entry.Seq)
	}
}

// appendAtLeader has the leader append an entry; it is false where it is not known whether it is committed.
func (n *Node) appendAtLeader(ctx context.Context, conn *leaderConn, entry ownership.Entry) (committed bool) {
	switch leader := n.leaderName(); leader {
	case "":
		return false
	case n.config.Name:
		conn.close()
		return n.appendEntry(entry, ownConnection).Accepted
	default:
		response, err := conn.call(ctx, leader, memberRequest{Entry: &entry})
		return err == nil && response.Accepted
	}
}

// leaderConn is the connection to the leader, which is kept for as long as it works and the leader stays: the lease tracker
// counts entries on one connection alone. It is forwardProposals' own.
type leaderConn struct {
	transport *transport
	name      string // of the leader that it is to
	conn      net.Conn
}

// call makes one call, and dials if it has to.
func (l *leaderConn) call(ctx context.Context, leader string, request memberRequest) (memberResponse, error) {
	if l.conn == nil || l.name != leader {
		l.close()
		conn, err := l.transport.dial(ctx, leader, connCalls)
		if err != nil {
			return memberResponse{}, err
		}
		l.conn = conn
		l.name = leader
	}
	response, err := roundTrip(l.conn, request)
	if err != nil {
		l.close()
	}
	return response, err
}

func (l *leaderConn) close() {
	if l.conn != nil {
		l.conn.Close()
	}
	l.conn = nil
}

// sleep waits; it is false if the context has ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
