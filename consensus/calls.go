package consensus

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/internal/frame"
	"wheelrill/internal/intake"
	"wheelrill/ownership"
)

// applyTimeout is the maximum time that raft may take to queue a log entry, or a change of its list
// of members.
const applyTimeout = 500 * time.Millisecond

// idleTimeout is the time after which the connection of a member that makes no call is closed. Members
// that need their connection make a call several times in a lease.
const idleTimeout = 30 * time.Second

// refuseCall answers a call that cannot be read with the reason, if the caller is still there and the
// call is sound.
func refuseCall(conn net.Conn, err error) {
	var reason string
	var tooLarge frame.TooLargeError
	switch {
	case errors.Is(err, frame.ErrStalled):
		reason = reasonStalled
	case errors.Is(err, intake.ErrTooLarge), errors.As(err, &tooLarge):
		reason = reasonTooLarge
	default:
		return
	}
	conn.SetWriteDeadline(time.Now().Add(callTimeout))
	_ = send(conn, memberResponse{Reason: reason}) // the connection is closed in any case
}

// serve answers the calls on one connection in sequence, until the connection ends or its caller has
// left; the calls that are then unread are dropped. A caller that is not a member may only subscribe,
// and has to send its call within callTimeout.
func (n *Node) serve(conn net.Conn, from caller, connection int) {
	for {
		var request memberRequest
		timeout := idleTimeout
		if len(from.members) == 0 {
			timeout = callTimeout
		}
		conn.SetReadDeadline(time.Now().Add(timeout))
		if _, err := n.config.Bounds.Read(conn, conn, nil, maxCallBytes, &request); err != nil {
			refuseCall(conn, err)
			return
		}
		if hasLeft(conn) {
			return // the caller does not wait for an answer any more, and may have called another member
		}
		response := n.handle(request, from, connection)
		conn.SetWriteDeadline(time.Now().Add(callTimeout))
		if err := send(conn, response); err != nil {
			return
		}
		if request.Subscribe && response.Accepted {
			conn.SetDeadline(time.Time{})
			n.config.Distribution.Accept(conn, from.maySubscribeAs)
			return
		}
	}
}

// handle answers a call. The kind of the call is the first of these fields that is set: Subscribe,
// Status, Change, Entry, ID. A call of an unknown kind is refused with reasonOtherMember, as is a
// call in the name of another member.
func (n *Node) handle(request memberRequest, from caller, connection int) memberResponse {
	switch {
	case request.Subscribe:
		return subscribeResponse(n.config.Distribution != nil)
	case len(from.members) == 0:
		return memberResponse{Reason: reasonNotMember}
	case request.Status:
		return n.status()
	case request.Change != nil:
		return n.acceptChange(*request.Change)
	case request.Entry != nil && from.mayActAs(request.Entry.Member):
		return n.appendEntry(*request.Entry, connection)
	case request.ID != "" && from.mayActAs(request.Name) && memberName(raft.ServerID(request.ID)) == request.Name:
		return n.admit(request.Name, request.ID)
	}
	return memberResponse{Reason: reasonOtherMember}
}

// mayActAs reports whether the caller may make calls in the name of a member.
func (c caller) mayActAs(member string) bool { return slices.Contains(c.members, member) }

// status returns this member's answer to a status call.
func (n *Node) status() memberResponse {
	current := n.current()
	response := memberResponse{ID: current.id, Leader: n.leaderName()}
	if servers, err := current.servers(); err == nil {
		response.HasRecord = len(servers) > 0
	}
	return response
}

// appendEntry appends an ownership entry to raft's log if this member is the leader, and waits
// until the entry is committed. The connection number identifies the connection on which the entry
// arrived.
func (n *Node) appendEntry(entry ownership.Entry, connection int) memberResponse {
	current := n.current()
	if current.raft.State() != raft.Leader {
		return memberResponse{Reason: reasonNotLeader}
	}
	n.stampEntry(current.machine, &entry, connection)
	body, err := cbor.Marshal(entry)
	if err != nil {
		return memberResponse{Reason: err.Error()}
	}
	if err := current.raft.Apply(body, applyTimeout).Error(); err != nil {
		return memberResponse{Reason: err.Error()}
	}
	return memberResponse{Accepted: true}
}

// stampEntry sets the fields of an entry that only the leader knows: Stamp, the time at which the
// entry arrived, and FullyRecorded, the incarnations that have certainly written nothing to proxies
// without a quorum.
func (n *Node) stampEntry(machine *stateMachine, entry *ownership.Entry, connection int) {
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	now := n.clock()
	n.leases.Observe(entry.Incarnation, entry.Seq, connection, now)
	machine.withRecord(func(record *ownership.Record) { entry.FullyRecorded = n.leases.FullyRecorded(record, now) })
	entry.Stamp = ownership.Stamp{Leader: n.clockID, At: now}
}

// callMember makes one call to a member, on a new connection that it closes afterwards.
func (n *Node) callMember(ctx context.Context, name string, request memberRequest) (memberResponse, error) {
	conn, err := n.transport.dial(ctx, name, connCalls)
	if err != nil {
		return memberResponse{}, err
	}
	defer conn.Close()
	return roundTrip(conn, request)
}
