package consensus

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"wheelrill/internal/frame"
)

// Credentials are the files that a member shows and checks others by. Where all are empty it speaks plain text, which
// is for loopback alone.
type Credentials struct {
	Certificate, Key, Authority string // paths, PEM
}

// tlsConfig reads them; nil for plain text.
func (c Credentials) tlsConfig() (*tls.Config, error) {
	if c == (Credentials{}) {
		return nil, nil
	}
	own, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	text, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("authority: no certificate in %s", c.Authority)
	}
	return &tls.Config{Certificates: []tls.Certificate{own}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}, nil
}

// What a connection is for, its first byte.
const (
	connRaft  = 'r' // followed by the id that is meant: a process that has forgotten its votes has another
	connCalls = 'c'
)

const (
	dialTimeout  = 500 * time.Millisecond
	callTimeout  = time.Second
	maxCallBytes = 4 << 20 // bytes of one call or answer
)

var (
	errNotMember     = errors.New("its certificate names no member")
	errOtherID       = errors.New("another id is meant")
	errUnknownMember = errors.New("not a member's address")
)

// transport is a member's end of the connections between members: raft's own, and calls.
type transport struct {
	name             string
	members          map[string]string // addresses by name
	secure           *tls.Config
	id               func() string
	serve            func(conn net.Conn, from caller, connection int)
	onRefused        func(from net.Addr, why error)
	allowSubscribers bool // who is no member may call as well, to subscribe

	listener  net.Listener
	raftConns chan net.Conn
	ended     chan struct{}
	closeOnce sync.Once
	handlers  sync.WaitGroup
	mutex     sync.Mutex
	conns     map[net.Conn]bool
	connCount int
	bytes     atomic.Int64 // that went out and came in
}

// trackedConn counts what passes over a connection, and forgets it when it is closed.
type trackedConn struct {
	net.Conn
	of *transport
}

func (c trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.bytes.Add(int64(n))
	return n, err
}

func (c trackedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.bytes.Add(int64(n))
	return n, err
}

func (c trackedConn) Close() error {
	c.of.mutex.Lock()
	delete(c.of.conns, c.Conn)
	c.of.mutex.Unlock()
	return c.Conn.Close()
}

// track has a connection closed with the transport.
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

func (t *transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			select {
			case <-t.ended:
				return
			case <-time.After(10 * time.Millisecond): // no descriptor left: others may close some
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		t.handlers.Go(func() {
			kept := t.track(conn)
			if err := t.accept(kept); err != nil {
				kept.Close()
				t.onRefused(conn.RemoteAddr(), err)
			}
		})
	}
}

// caller is who has made a connection.
type caller struct {
	members []string // as whom it may speak
	// named tells whether its certificate has a name; nil for plain text, where it may have any.
	named func(name string) bool
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
	from := caller{named: func(name string) bool { return leaf.VerifyHostname(name) == nil }}
	for name := range t.members {
		if from.named(name) {
			from.members = append(from.members, name)
		}
	}
	return secured, from, nil
}

// accept checks who calls, and hands the connection on.
func (t *transport) accept(conn net.Conn) error {
	conn.SetDeadline(time.Now().Add(dialTimeout))
	conn, from, err := t.identify(conn)
	if err != nil {
		return err
	}
	if len(from.members) == 0 && !t.allowSubscribers {
		return errNotMember
	}
	head := make([]byte, 1)
	if _, err := io.ReadFull(conn, head); err != nil {
		return fmt.Errorf("its first byte: %w", err)
	}
	switch head[0] {
	case connCalls:
		conn.SetDeadline(time.Time{})
		t.mutex.Lock()
		t.connCount++
		connection := t.connCount
		t.mutex.Unlock()
		t.serve(conn, from, connection)
		conn.Close()
		return nil
	case connRaft:
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
	return fmt.Errorf("it is for %q", head)
}

// dial connects to a member by its name, for one purpose.
func (t *transport) dial(ctx context.Context, name string, purpose byte) (net.Conn, error) {
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
		as := t.secure.Clone()
		as.ServerName = name
		conn = tls.Client(conn, as)
	}
	if _, err := conn.Write([]byte{purpose}); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return conn, nil
}

// close ends the transport with all its connections.
func (t *transport) close() {
	t.closeOnce.Do(func() {
		close(t.ended)
		t.listener.Close()
		t.mutex.Lock()
		defer t.mutex.Unlock()
		for conn := range t.conns {
			conn.Close()
		}
	})
}

// layer is the transport as one raft instance sees it.
type layer struct {
	*transport
	address raft.ServerAddress
	closed  chan struct{}
}

// Accept waits for a connection meant for us.
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

// Addr is our address as raft writes it: a name and the id that is meant.
func (l *layer) Addr() net.Addr { return memberAddr(l.address) }

type memberAddr raft.ServerAddress

func (w memberAddr) Network() string { return "member" }
func (w memberAddr) String() string  { return string(w) }

// Dial connects to raft at a member, and says which id is meant.
func (l *layer) Dial(address raft.ServerAddress, _ time.Duration) (net.Conn, error) {
	name, id, ok := strings.Cut(string(address), "#")
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

// addressOf is how raft writes a member of some id.
func addressOf(name, id string) raft.ServerAddress { return raft.ServerAddress(name + "#" + id) }

// nameOf is the member that an id belongs to.
func nameOf(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// send writes one thing, its length before it.
func send(to io.Writer, what any) error { return frame.Write(to, what) }

// receive reads one.
func receive(from io.Reader, into any) error { return frame.Read(from, maxCallBytes, into) }
