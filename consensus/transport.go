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
	dialTimeout      = 500 * time.Millisecond // time limit for opening a connection and identifying its caller
	callTimeout      = time.Second            // time limit for sending a call and receiving its response
	minEvictAge      = 50 * time.Millisecond  // age below which no accepted connection makes room for another
	acceptRetryPause = 10 * time.Millisecond  // pause after an error of the listener before the next call of Accept
)

// defaultMaxConnections is the number of accepted connections that can be open at the same time, where
// the configuration gives none.
const defaultMaxConnections = 2048

// transport opens and accepts the connections between members, both raft connections and
// connections for calls.
type transport struct {
	members   map[string]string // addresses of the members by name
	tlsConfig *tls.Config       // nil if connections are plain text

	// The next fields state how acceptLoop treats connections. They are set before acceptLoop starts.
	listener         net.Listener
	id               func() string // returns this member's ID, which the caller of a raft connection has to send
	serve            func(conn net.Conn, from caller, connection int)
	onRefused        func(from net.Addr, reason error)
	allowSubscribers bool // also accept callers that are not members; these callers may only subscribe

	// raftConns has no buffer: a connection waits in its goroutine until raft accepts it, or the
	// transport is closed.
	raftConns chan net.Conn
	ended     chan struct{} // this channel is closed by transport.close
	endOnce   sync.Once
	handlers  sync.WaitGroup // goroutines that serve accepted connections

	maxConnections int // set before acceptLoop starts

	mutex     sync.Mutex        // protects the fields conns, accepted and connCount
	conns     map[net.Conn]bool // open connections, which transport.close closes
	accepted  []acceptedConn    // accepted connections that are served, oldest first; at most maxConnections
	connCount int               // number of accepted connections for calls; the last connection has this number

	bytes atomic.Int64 // number of bytes sent and received on all connections since the call of newTransport
}

func newTransport(members map[string]string, tlsConfig *tls.Config) *transport {
	return &transport{
		members:   members,
		tlsConfig: tlsConfig,
		raftConns: make(chan net.Conn),

		maxConnections: defaultMaxConnections,

		ended: make(chan struct{}),
		conns: map[net.Conn]bool{},
	}
}

// acceptLoop accepts connections until the transport is closed, and serves each on its own
// goroutine.
func (t *transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.isClosedAfter(acceptRetryPause) || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the error of Accept is temporary, for example no free file descriptor
		}
		t.handlers.Go(func() {
			tracked := t.track(conn)
			if !t.admit(conn) {
				tracked.SetWriteDeadline(time.Now().Add(dialTimeout))
				_ = send(tracked, memberResponse{Reason: reasonNoRoom}) // the connection is closed in any case
				tracked.Close()
				t.onRefused(conn.RemoteAddr(), errNoRoom)
				return
			}
			if err := t.accept(tracked); err != nil {
				tracked.Close()
				t.onRefused(conn.RemoteAddr(), err)
			}
		})
	}
}

// admit counts an accepted connection, and reports whether it may stay. If there are too many, the
// oldest one whose caller has not been identified is closed in its place.
func (t *transport) admit(conn net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.accepted) >= t.maxConnections {
		oldest := slices.IndexFunc(t.accepted, func(other acceptedConn) bool {
			return !other.identified && time.Since(other.at) >= minEvictAge
		})
		if oldest < 0 {
			return false
		}
		t.accepted[oldest].Close()
		t.accepted = slices.Delete(t.accepted, oldest, oldest+1)
	}
	t.accepted = append(t.accepted, acceptedConn{Conn: conn, at: time.Now()})
	return true
}

// noteIdentified notes that the caller of an accepted connection has said what the connection is for.
func (t *transport) noteIdentified(conn net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := range t.accepted {
		if t.accepted[i].Conn == conn {
			t.accepted[i].identified = true
		}
	}
}

// acceptedConn is an accepted connection that is served.
type acceptedConn struct {
	net.Conn
	at         time.Time // time of the accept
	identified bool      // its caller has said what the connection is for
}

// isClosedAfter waits for the pause or until the transport is closed, and reports whether the
// transport is closed.
func (t *transport) isClosedAfter(pause time.Duration) bool {
	select {
	case <-t.ended:
		return true
	case <-time.After(pause):
		return false
	}
}

// accept identifies the caller, and serves the connection or passes it to raft. The error is the
// reason for which the caller is refused.
func (t *transport) accept(raw net.Conn) error {
	raw.SetDeadline(time.Now().Add(dialTimeout))
	conn, from, err := t.identify(raw)
	if err != nil {
		return err
	}
	if len(from.members) == 0 && !t.allowSubscribers {
		return errNotMember
	}
	purpose := make([]byte, 1)
	if _, err := io.ReadFull(conn, purpose); err != nil {
		return fmt.Errorf("read the first byte, the purpose of the connection: %w", err)
	}
	if tracked, ok := raw.(trackedConn); ok {
		t.noteIdentified(tracked.Conn)
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
	return fmt.Errorf("the connection has the unknown purpose %q; %q and %q are known", purpose, connRaft, connCalls)
}

// acceptRaft passes a connection to raft if the caller is a member and the connection is for this
// member's ID.
func (t *transport) acceptRaft(conn net.Conn, from caller) error {
	if len(from.members) == 0 {
		return errNotMember
	}
	var targetID string
	if err := receiveFirst(conn, &targetID); err != nil {
		return err
	}
	if targetID != t.id() {
		return errWrongID
	}
	conn.SetDeadline(time.Time{})
	select {
	case t.raftConns <- conn:
		return nil
	case <-t.ended:
		return net.ErrClosed
	}
}

// nextConnection returns the number of a new connection for calls. Numbers start at 1.
func (t *transport) nextConnection() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.connCount++
	return t.connCount
}

// caller is the authenticated identity of the process that opened a connection.
type caller struct {
	members []string // members in whose name the caller may make calls; empty if the caller is not a member
	// hasName reports whether the caller's certificate is valid for a name. It is nil for a
	// plain-text connection, on which any name is allowed.
	hasName func(name string) bool
}

// identify authenticates the caller by a TLS handshake, unless connections are plain text. It
// returns the connection that has to be used after the handshake.
func (t *transport) identify(conn net.Conn) (net.Conn, caller, error) {
	if t.tlsConfig == nil {
		return conn, caller{members: slices.Collect(maps.Keys(t.members))}, nil
	}
	secured := tls.Server(conn, t.tlsConfig)
	if err := secured.Handshake(); err != nil {
		return nil, caller{}, fmt.Errorf("TLS handshake: %w", err)
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

// dial opens a connection for one purpose to the member with the given name, within dialTimeout.
func (t *transport) dial(ctx context.Context, name string, purpose connPurpose) (net.Conn, error) {
	address, ok := t.members[name]
	if !ok {
		return nil, fmt.Errorf("%w %q", errUnknownMember, name)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := t.track(raw)
	conn.SetDeadline(time.Now().Add(dialTimeout))
	if t.tlsConfig != nil {
		conn = tls.Client(conn, withServerName(t.tlsConfig, name))
	}
	if _, err := conn.Write([]byte{byte(purpose)}); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return conn, nil
}

// withServerName returns a TLS configuration for connecting to a server whose certificate has to be
// valid for a name.
func withServerName(tlsConfig *tls.Config, name string) *tls.Config {
	named := tlsConfig.Clone()
	named.ServerName = name
	return named
}

// close closes the listener and all connections. Further calls of close have no effect.
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

// track returns a connection whose bytes are counted, and which is closed when the transport is
// closed.
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

// trackedConn counts the bytes that pass over a connection. Closing it also removes the connection
// from the open connections of the transport.
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
	c.transport.accepted = slices.DeleteFunc(c.transport.accepted, func(other acceptedConn) bool { return other.Conn == c.Conn })
	c.transport.mutex.Unlock()
	return c.Conn.Close()
}
