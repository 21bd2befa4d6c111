package consensus

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Peer is a node of the distribution as others know it: its name, which its certificate has, and where it can be
// dialled. Nodes name each other by both, so that a subscriber can dial one that another has told it of.
type Peer struct {
	Name    string
	Address string // empty for one that nobody dials
}

// PeerSeparator stands between name and address; no name has it.
const PeerSeparator = "@"

// String is the peer as it is named in messages.
func (p Peer) String() string {
	if p.Address == "" {
		return p.Name
	}
	return p.Name + PeerSeparator + p.Address
}

// ParsePeer reads a peer as it is named in messages.
func ParsePeer(text string) Peer {
	name, address, _ := strings.Cut(text, PeerSeparator)
	return Peer{name, address}
}

// subscribesAs tells whether a caller may subscribe under a name.
func (c caller) subscribesAs(name string) bool {
	return c.named == nil || c.named(ParsePeer(name).Name)
}

var errNoSubscribers = errors.New("nobody can subscribe here")

func subscribeResponse(on bool) memberResponse {
	if !on {
		return memberResponse{Why: errNoSubscribers.Error()}
	}
	return memberResponse{Accepted: true}
}

// requireLoopback refuses an address to which plain text may not be spoken.
func requireLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is not on loopback, and plain text is for loopback alone; give certificate, key and authority", address)
	}
	return nil
}

// Subscriber makes and takes connections for subscriptions: by the calls and credentials of the members, without being
// one.
type Subscriber struct {
	secure *tls.Config
}

// NewSubscriber reads the credentials; where they are empty, plain text is spoken on loopback alone.
func NewSubscriber(credentials Credentials) (*Subscriber, error) {
	secure, err := credentials.tlsConfig()
	return &Subscriber{secure}, err
}

// Dial connects to a peer, given as Peer's String has it, and makes the call to subscribe.
func (s *Subscriber) Dial(ctx context.Context, peer string) (net.Conn, error) {
	to := ParsePeer(peer)
	if s.secure == nil {
		if err := requireLoopback(to.Address); err != nil {
			return nil, err
		}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	conn, err := s.subscribe(ctx, raw, to.Name)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return conn, nil
}

// subscribe makes the call over a connection.
func (s *Subscriber) subscribe(ctx context.Context, conn net.Conn, name string) (net.Conn, error) {
	if s.secure != nil {
		as := s.secure.Clone()
		as.ServerName = name
		secured := tls.Client(conn, as)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		conn = secured
	}
	if _, err := conn.Write([]byte{connCalls}); err != nil {
		return nil, err
	}
	var a memberResponse
	if err := roundTrip(conn, memberRequest{Subscribe: true}, &a); err != nil {
		return nil, err
	}
	if !a.Accepted {
		return nil, errors.New(a.Why)
	}
	return conn, conn.SetDeadline(time.Time{})
}

// Listener takes the connections of subscribers at one that passes on. It serves nothing else.
type Listener struct {
	transport *transport
}

// Listen listens at an address. Serve gets each connection after its call, with the names under which the caller may
// subscribe; it returns when the connection has ended. Refused is told of callers that were not let in.
func (s *Subscriber) Listen(address string, serve func(conn net.Conn, allowed func(name string) bool),
	refused func(from net.Addr, why error)) (*Listener, error) {
	if s.secure == nil {
		if err := requireLoopback(address); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	t := &transport{secure: s.secure, listener: listener, raftConns: make(chan net.Conn), ended: make(chan struct{}),
		conns: map[net.Conn]bool{}, allowSubscribers: true, onRefused: refused}
	t.serve = func(conn net.Conn, from caller, _ int) {
		conn.SetDeadline(time.Now().Add(callTimeout))
		var c memberRequest
		if receive(conn, &c) != nil {
			return
		}
		a := subscribeResponse(c.Subscribe)
		if send(conn, a) != nil || !a.Accepted {
			return
		}
		conn.SetDeadline(time.Time{})
		serve(conn, from.subscribesAs)
	}
	return &Listener{t}, nil
}

// Address is where it listens.
func (l *Listener) Address() string { return l.transport.listener.Addr().String() }

// Run takes connections until the context ends, and closes them then.
func (l *Listener) Run(ctx context.Context) {
	var accepting sync.WaitGroup
	accepting.Go(l.transport.acceptLoop)
	<-ctx.Done()
	l.transport.close()
	accepting.Wait()
	l.transport.handlers.Wait()
}
