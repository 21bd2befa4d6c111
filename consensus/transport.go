package consensus

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout      = 500 * time.Millisecond // for a connection to be made, and for a caller to say who it is
	callTimeout      = time.Second            // for a call and its answer
	acceptRetryPause = 10 * time.Millisecond  // after an error of the listener
)

// transport is a member's end of the connections between members: raft's own, and calls.
type transport struct {
	members map[string]string // addresses by name
	secure  *tls.Config       // nil for plain text

	// What is done with connections; set before acceptLoop.
	listener         net.Listener
	id               func() string // ours, which raft's connections have to mean
	serve            func(conn net.Conn, from caller, connection int)
	onRefused        func(from net.Addr, why error)
	allowSubscribers bool // who is no member may call as well, to subscribe

	// raftConns has no buffer: a connection waits in its goroutine until raft accepts it, or the transport is closed.
	raftConns chan net.Conn
	ended     chan struct{} // is closed by close
	endOnce   sync.Once
	handlers  sync.WaitGroup // goroutines of connections that were accepted

	mutex     sync.Mutex        // over conns and connCount
	conns     map[net.Conn]bool // open ones, which close closes
	connCount int               // of calls, so far: each has a number

	bytes atomic.Int64 // sent and received
}

func newTransport(members map[string]string, secure *tls.Config) *transport {
	return &transport{
		members:   members,
		secure:    secure,
		raftConns: make(chan net.Conn),
		ended:     make(chan struct{}),
		conns:     map[net.Conn]bool{},
	}
}

// acceptLoop takes connections until the transport is closed, and serves each on a goroutine of its own.
func (t *transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.isClosedAfter(acceptRetryPause) || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // no file descriptor was left, say
		}
		t.handlers.Go(func() {
			tracked := t.track(conn)
			if err := t.accept(tracked); err != nil {
				tracked.Close()
				t.onRefused(conn.RemoteAddr(), err)
			}
		})
	}
}

// isClosedAfter waits for some time, or until the transport is closed, and tells whether it is.
func (t *transport) isClosedAfter(pause time.Duration) bool {
	select {
	case <-t.ended:
		return true
	case <-time.After(pause):
		return false
	}
}

// accept checks who calls, and serves the connection or hands it on to raft. An error says why the caller is refused.
func (t *transport) accept(conn net.Conn) error {
	conn.SetDeadline(time.Now().Add(dialTimeout))
	conn, from, err := t.identify(conn)
	if err != nil {
		return err
	}
	if len(from.members) == 0 && !t.allowSubscribers {
		return errNotMember
	}
	purpose := make([]byte, 1)
	if _, err := io.ReadFull(conn, purpose); err != nil {
		return fmt.Errorf("its first byte: %w", err)
	}
	switch connPurpose(purpose[0]) {
	case connCalls:
		conn.SetDeadline(time.Time{})
		t.serve(conn, from, t.nextConnection())
		conn.Close()
		return nil
	case connRaft:
		return t.acceptRaft(conn, from)
	}
	return fmt.Errorf("it is for %q", purpose)
}

// acceptRaft hands a connection on to raft, if it means us.
func (t *transport) acceptRaft(conn net.Conn, from caller) error {
	if len(from.members) == 0 {
		return errNotMember
	}
	var meant string
	if err := receive(conn, &meant); err != nil {
		return err
	}
	if meant != t.id() {
		return errOtherID
	}
	conn.SetDeadline(time.Time{})
	select {
	case t.raftConns <- conn:
		return nil
	case <-t.ended:
		return net.ErrClosed
	}
}

// nextConnection is the number of a connection for calls, from 1 on.
func (t *transport) nextConnection() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.connCount++
	return t.connCount
}

// caller is who has made a connection.
type caller struct {
	members []string // as whom it may speak
	// hasName tells whether its certificate is for a name; nil for plain text, where it may have any.
	hasName func(name string) bool
}

// identify finds out who calls, and gives the connection as it is to be used.
func (t *transport) identify(conn net.Conn) (net.Conn, caller, error) {
	if t.secure == nil {
		return conn, caller{members: slices.Collect(maps.Keys(t.members))}, nil
	}
	secured := tls.Server(conn, t.secure)
	if err := secured.Handshake(); err != nil {
		return nil, caller{}, fmt.Errorf("handshake: %w", err)
	}
	leaf := secured.ConnectionState().PeerCertificates[0]
	from := caller{hasName: func(name string) bool { return leaf.VerifyHostname(name) == nil }}
	for name := range t.members {
		if from.hasName(name) {
			from.members = append(from.members, name)
		}
	}
	return secured, from, nil
}

// dial connects to a member by its name, for one purpose, within dialTimeout.
func (t *transport) dial(ctx context.Context, name string, purpose connPurpose) (net.Conn, error) {
	address, ok := t.members[name]
	if !ok {
		return nil, errUnknownMember
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := t.track(raw)
	conn.SetDeadline(time.Now().Add(dialTimeout))
	if t.secure != nil {
		conn = tls.Client(conn, withServerName(t.secure, name))
	}
	if _, err := conn.Write([]byte{byte(purpose)}); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return conn, nil
}

// withServerName is a TLS configuration for calling somebody whose certificate has to be for a name.
func withServerName(secure *tls.Config, name string) *tls.Config {
	named := secure.Clone()
	named.ServerName = name
	return named
}

// close ends the transport with all its connections. It may be called again.
func (t *transport) close() {
	t.endOnce.Do(func() {
		close(t.ended)
		t.listener.Close()
		t.mutex.Lock()
		defer t.mutex.Unlock()
		for conn := range t.conns {
			conn.Close()
		}
	})
}

// track has a connection counted, and closed with the transport.
func (t *transport) track(conn net.Conn) net.Conn {
	t.mutex.Lock()
	t.conns[conn] = true
	t.mutex.Unlock()
	select {
	case <-t.ended:
		conn.Close()
	default:
	}
	return trackedConn{conn, t}
}

// trackedConn counts the bytes that pass over a connection, and forgets it when it is closed.
type trackedConn struct {
	net.Conn
	transport *transport
}

func (c trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.bytes.Add(int64(n))
	return n, err
}

func (c trackedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.bytes.Add(int64(n))
	return n, err
}

func (c trackedConn) Close() error {
	c.transport.mutex.Lock()
	delete(c.transport.conns, c.Conn)
	c.transport.mutex.Unlock()
	return c.Conn.Close()
}
