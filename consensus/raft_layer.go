package consensus

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// Separators in what raft knows members by. IDs and addresses are stored, so these are never changed.
const (
	idSeparator      = "/" // in an ID, between a member's name and what was drawn
	addressSeparator = "#" // in an address, between a member's name and the ID that is meant
)

// layer is the transport as one raft instance sees it.
type layer struct {
	*transport
	address raft.ServerAddress
	closed  chan struct{} // is closed by Close
}

// Accept waits for a connection that means us.
func (l *layer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.raftConns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close ends this instance's part; the transport goes on.
func (l *layer) Close() error {
	close(l.closed)
	return nil
}

// Addr is our address as raft writes it: a name and the ID that is meant.
func (l *layer) Addr() net.Addr { return memberAddr(l.address) }

// memberAddr is a net.Addr of a member.
type memberAddr raft.ServerAddress

func (a memberAddr) Network() string { return "member" }
func (a memberAddr) String() string  { return string(a) }

// Dial connects to raft at a member, and says which ID is meant. The timeout is the transport's own.
func (l *layer) Dial(address raft.ServerAddress, _ time.Duration) (net.Conn, error) {
	name, id, ok := strings.Cut(string(address), addressSeparator)
	if !ok {
		return nil, errUnknownMember
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

// addressOf is how raft writes a member of some ID.
func addressOf(name, id string) raft.ServerAddress {
	return raft.ServerAddress(name + addressSeparator + id)
}

// memberName is the name of the member that an ID belongs to.
func memberName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), idSeparator)
	return name
}
