package consensus

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// Separators in the IDs and addresses by which raft identifies members. Raft stores both, so these
// must never change.
const (
	idSeparator      = "/" // separates the member's name from the random part in an ID
	addressSeparator = "#" // separates the member's name from its ID in an address
)

// streamLayer is the raft.StreamLayer of one raft instance, on top of the transport.
type streamLayer struct {
	*transport
	address raft.ServerAddress
	closed  chan struct{} // this channel is closed by streamLayer.Close
}

// Accept waits for a raft connection to the ID of this member.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.raftConns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return. The transport stays open.
func (l *streamLayer) Close() error {
	close(l.closed)
	return nil
}

// Addr returns the address of this instance in the form that raft stores: the member's name and ID.
func (l *streamLayer) Addr() net.Addr { return memberAddr(l.address) }

// memberAddr implements net.Addr for the raft address of a member.
type memberAddr raft.ServerAddress

func (a memberAddr) Network() string { return "member" }
func (a memberAddr) String() string  { return string(a) }

// Dial opens a raft connection to the member with the given raft address, which contains the
// member's name and ID. It sends the ID, and the member refuses the connection if the member has
// another ID now. Dial uses dialTimeout instead of the timeout that raft passes.
func (l *streamLayer) Dial(address raft.ServerAddress, _ time.Duration) (net.Conn, error) {
	name, id, ok := strings.Cut(string(address), addressSeparator)
	if !ok {
		return nil, fmt.Errorf("%w %q", errUnknownMember, address)
	}
	conn, err := l.dial(context.Background(), name, connRaft)
	if err != nil {
		return nil, err
	}
	conn.SetWriteDeadline(time.Now().Add(dialTimeout))
	if err := send(conn, id); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetWriteDeadline(time.Time{})
	return conn, nil
}

// addressOf returns the raft address of the member with the given name and ID.
func addressOf(name, id string) raft.ServerAddress {
	return raft.ServerAddress(name + addressSeparator + id)
}

// memberName returns the name of the member to which an ID belongs.
func memberName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), idSeparator)
	return name
}
