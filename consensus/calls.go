package consensus

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// applyTimeout is how long raft may take to accept an entry, or a change of the members, into its queue.
const applyTimeout = 500 * time.Millisecond

// serve answers one connection's calls, one after the other, until it ends. Who is no member may subscribe, and do nothing
// else.
func (n *Node) serve(conn net.Conn, from caller, connection int) {
	if len(from.members) == 0 {
		conn.SetReadDeadline(time.Now().Add(callTimeout))
	}
	for {
		var request memberRequest
		if err := receive(conn, &request); err != nil {
			return
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

// handle answers a call. Its kind is that of the first of these fields that is set: Subscribe, Status, Change, Entry, ID. A
// call of an unknown kind is answered like one for another member.
func (n *Node) handle(request memberRequest, from caller, connection int) memberResponse {
	switch {
	case request.Subscribe:
		return subscribeResponse(n.config.Distribution != nil)
	case len(from.members) == 0:
		return memberResponse{Why: whyNotMember}
	case request.Status:
		return n.status()
	case request.Change != nil:
		return n.acceptChange(*request.Change)
	case request.Entry != nil && from.maySpeakFor(request.Entry.Member):
		return n.appendEntry(*request.Entry, connection)
	case request.ID != "" && from.maySpeakFor(request.Name) && memberName(raft.ServerID(request.ID)) == request.Name:
		return n.admit(request.Name, request.ID)
	}
	return memberResponse{Why: whyNotThatMember}
}

// maySpeakFor tells whether a caller may make a member's calls.
func (c caller) maySpeakFor(member string) bool { return slices.Contains(c.members, member) }

func (n *Node) status() memberResponse {
	current := n.current()
	response := memberResponse{ID: current.id, Leader: n.leaderName()}
	if servers, err := current.servers(); err == nil {
		response.HasRecord = len(servers) > 0
	}
	return response
}

// appendEntry appends an entry to the record, if we lead, and waits until it is committed. The number tells the
// connections apart on which entries arrive.
func (n *Node) appendEntry(entry ownership.Entry, connection int) memberResponse {
	current := n.current()
	if current.raft.State() != raft.Leader {
		return memberResponse{Why: whyNotLeader}
	}
	n.stampEntry(current.machine, &entry, connection)
	body, err := cbor.Marshal(entry)
	if err != nil {
		return memberResponse{Why: err.Error()}
	}
	if err := current.raft.Apply(body, applyTimeout).Error(); err != nil {
		return memberResponse{Why: err.Error()}
	}
	return memberResponse{Accepted: true}
}

// stampEntry adds to an entry what the leader knows: when it arrived, and who has written nothing without a quorum.
func (n *Node) stampEntry(machine *stateMachine, entry *ownership.Entry, connection int) {
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	now := n.clock()
	n.leases.Observe(entry.Incarnation, entry.Seq, connection, now)
	machine.withRecord(func(record *ownership.Record) { entry.FullyRecorded = n.leases.FullyRecorded(record, now) })
	entry.Stamp = ownership.Stamp{Leader: n.stamp, At: now}
}

// callMember makes one call on a connection of its own.
func (n *Node) callMember(ctx context.Context, name string, request memberRequest) (memberResponse, error) {
	conn, err := n.transport.dial(ctx, name, connCalls)
	if err != nil {
		return memberResponse{}, err
	}
	defer conn.Close()
	return roundTrip(conn, request)
}
