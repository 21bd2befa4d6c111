package consensus

import (
	"context"
	"net"
	"time"

	"wheelrill/ownership"
)

const (
	// forwardRetryPause is the pause between a failed attempt to append an entry and the call of
	// ProposalFailed.
	forwardRetryPause = 50 * time.Millisecond
	// localConnection is the connection number for entries that the leader itself proposes, which
	// arrive on no connection. The numbers of connections start at 1.
	localConnection = 0
)

// Propose queues an entry, to be appended to the record next. It never blocks. It drops an entry
// that is still queued, because the queued entry belongs to an incarnation that has ended.
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

// forwardProposals sends proposed entries to the leader, one at a time, until the context ends.
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

// appendAtLeader makes the leader append an entry to its log, and reports whether the entry is
// committed. If the result is false, it is unknown whether the entry is committed.
func (n *Node) appendAtLeader(ctx context.Context, conn *leaderConn, entry ownership.Entry) (committed bool) {
	switch leader := n.leaderName(); leader {
	case "":
		return false
	case n.config.Name:
		conn.close()
		return n.appendEntry(entry, localConnection).Accepted
	default:
		response, err := conn.call(ctx, leader, memberRequest{Entry: &entry})
		return err == nil && response.Accepted
	}
}

// leaderConn is the connection to the leader. It stays open until it fails or another member
// becomes leader, because the lease tracker can count a lease only from successive entries on the
// same connection. Only forwardProposals uses it.
type leaderConn struct {
	transport *transport
	name      string // name of the leader to which conn is open
	conn      net.Conn
}

// call makes one call to the leader. It dials if there is no connection, or the connection is to
// another member.
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

// sleep waits for the given time. It returns false if the context ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
