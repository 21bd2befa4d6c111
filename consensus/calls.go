package consensus

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
	"wheelrill/ownership"
)

// memberRequest is what members ask each other; answer is what they get.
type memberRequest struct {
	Entry  *ownership.Entry `cbor:"1,keyasint,omitempty"` // to be put on the record
	Status bool             `cbor:"2,keyasint,omitempty"`
	Name   string           `cbor:"3,keyasint,omitempty"` // with ID: this member would join as that
	ID     string           `cbor:"4,keyasint,omitempty"`
	// Subscribe: the messages of package distribution follow the answer, both ways, until the connection ends.
	Subscribe bool                   `cbor:"5,keyasint,omitempty"`
	Change    *distribution.Proposal `cbor:"6,keyasint,omitempty"` // to be accepted by the record
}

type memberResponse struct {
	Accepted  bool   `cbor:"1,keyasint,omitempty"`
	Why       string `cbor:"2,keyasint,omitempty"`
	ID        string `cbor:"3,keyasint,omitempty"`
	HasRecord bool   `cbor:"4,keyasint,omitempty"` // it is part of a record
	Leader    string `cbor:"5,keyasint,omitempty"` // name

	Mark    *distribution.Version `cbor:"6,keyasint,omitempty"` // of an accepted change
	Refusal refusal               `cbor:"7,keyasint,omitempty"` // of a change
}

// serve answers one connection's calls, one after the other. Who is no member may subscribe, and do nothing else.
func (n *Node) serve(conn net.Conn, from caller, connection int) {
	if len(from.members) == 0 {
		conn.SetReadDeadline(time.Now().Add(callTimeout))
	}
	for {
		var c memberRequest
		if err := receive(conn, &c); err != nil {
			return
		}
		a := n.handle(c, from, connection)
		conn.SetWriteDeadline(time.Now().Add(callTimeout))
		if err := send(conn, a); err != nil {
			return
		}
		if c.Subscribe && a.Accepted {
			conn.SetDeadline(time.Time{})
			n.config.Distribution.Accept(conn, from.subscribesAs)
			return
		}
	}
}

func (n *Node) handle(c memberRequest, from caller, connection int) memberResponse {
	switch {
	case c.Subscribe:
		return subscribeResponse(n.config.Distribution != nil)
	case len(from.members) == 0:
		return memberResponse{Why: errNotMember.Error()}
	case c.Status:
		return n.status()
	case c.Change != nil:
		return n.acceptChange(*c.Change)
	case c.Entry != nil && slices.Contains(from.members, c.Entry.Member):
		return n.appendEntry(*c.Entry, connection)
	case c.ID != "" && slices.Contains(from.members, c.Name) && nameOf(raft.ServerID(c.ID)) == c.Name:
		return n.admit(c.Name, c.ID)
	}
	return memberResponse{Why: "it may not speak for that member"}
}

func (n *Node) status() memberResponse {
	r, _ := n.current()
	a := memberResponse{ID: n.ID()}
	_, leader := r.LeaderWithID()
	a.Leader = nameOf(leader)
	if f := r.GetConfiguration(); f.Error() == nil {
		a.HasRecord = len(f.Configuration().Servers) > 0
	}
	return a
}

// appendEntry puts an entry on the record, if we lead. The number tells the connections apart that entries come by.
func (n *Node) appendEntry(e ownership.Entry, connection int) memberResponse {
	r, m := n.current()
	if r.State() != raft.Leader {
		return memberResponse{Why: "not the leader"}
	}
	n.leaderMutex.Lock()
	now := n.clock()
	n.leases.Observe(e.Incarnation, e.Seq, connection, now)
	m.withRecord(func(record *ownership.Record) { e.OnRecord = n.leases.OnRecord(record, now) })
	e.Stamp = ownership.Stamp{Leader: n.stamp, At: now}
	n.leaderMutex.Unlock()
	body, err := cbor.Marshal(e)
	if err != nil {
		return memberResponse{Why: err.Error()}
	}
	if err := r.Apply(body, applyTimeout).Error(); err != nil {
		return memberResponse{Why: err.Error()}
	}
	return memberResponse{Accepted: true}
}

// admit has a member take part under a new id: it has forgotten its votes, or never had any. Its old id goes first.
func (n *Node) admit(name, id string) memberResponse {
	r, _ := n.current()
	if r.State() != raft.Leader {
		return memberResponse{Why: "not the leader"}
	}
	f := r.GetConfiguration()
	if err := f.Error(); err != nil {
		return memberResponse{Why: err.Error()}
	}
	var ids []string
	for _, server := range f.Configuration().Servers {
		ids = append(ids, string(server.ID))
	}
	leave, in := ownership.Admit(ids, id, func(id string) string { return nameOf(raft.ServerID(id)) })
	for _, other := range leave {
		if err := r.RemoveServer(raft.ServerID(other), 0, applyTimeout).Error(); err != nil {
			return memberResponse{Why: err.Error()}
		}
	}
	if in {
		return memberResponse{Accepted: true}
	}
	if err := r.AddVoter(raft.ServerID(id), addressOf(name, id), 0, applyTimeout).Error(); err != nil {
		return memberResponse{Why: err.Error()}
	}
	n.log.Info("member_joined", "name", name, "id", id)
	return memberResponse{Accepted: true}
}

// callMember makes one call on a connection of its own.
func (n *Node) callMember(ctx context.Context, name string, c memberRequest) (a memberResponse, err error) {
	conn, err := n.transport.dial(ctx, name, connCalls)
	if err != nil {
		return a, err
	}
	defer conn.Close()
	return a, roundTrip(conn, c, &a)
}

func roundTrip(conn net.Conn, c memberRequest, a *memberResponse) error {
	conn.SetDeadline(time.Now().Add(callTimeout))
	if err := send(conn, c); err != nil {
		return err
	}
	return receive(conn, a)
}
