package consensus

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// Subscriber opens and accepts connections for subscriptions to the distributed configuration. A
// Subscriber uses the same calls and kind of credentials as the members, but is not a member. Its
// methods are safe for concurrent use.
type Subscriber struct {
	tlsConfig *tls.Config // nil if connections are plain text
}

// NewSubscriber reads the credentials. If the credentials are empty, connections are plain text,
// which is allowed on loopback only.
func NewSubscriber(credentials Credentials) (*Subscriber, error) {
	tlsConfig, err := credentials.tlsConfig()
	return &Subscriber{tlsConfig}, err
}

// Dial connects to a peer, given in the form of Peer.String, and makes the call to subscribe. If
// the peer refuses the call, the error is a CallRefusedError.
func (s *Subscriber) Dial(ctx context.Context, peer string) (net.Conn, error) {
	target := ParsePeer(peer)
	if s.tlsConfig == nil {
		if err := requireLoopback(target.Address); err != nil {
			return nil, err
		}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	conn, err := s.subscribe(ctx, raw, target.Name)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return conn, nil
}

// subscribe performs the TLS handshake and the call to subscribe on a connection. It returns the
// connection to use after the handshake.
func (s *Subscriber) subscribe(ctx context.Context, conn net.Conn, name string) (net.Conn, error) {
	if s.tlsConfig != nil {
		secured := tls.Client(conn, withServerName(s.tlsConfig, name))
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		conn = secured
	}
	if _, err := conn.Write([]byte{byte(connCalls)}); err != nil {
		return nil, err
	}
	response, err := roundTrip(conn, memberRequest{Subscribe: true})
	if err != nil {
		return nil, err
	}
	if !response.Accepted {
		return nil, &CallRefusedError{response.Reason}
	}
	return conn, conn.SetDeadline(time.Time{})
}

// subscribeResponse returns the answer to a call to subscribe.
func subscribeResponse(accepted bool) memberResponse {
	if !accepted {
		return memberResponse{Reason: reasonNoSubscribers}
	}
	return memberResponse{Accepted: true}
}

// Listener accepts the connections of subscribers. A subscriber uses a Listener to pass the
// distributed configuration on to further subscribers. The Listener refuses all other connections
// and calls.
type Listener struct {
	transport *transport
}

// Listen listens on an address. If it accepts the call to subscribe on a connection, it calls serve
// with the connection and with a function that reports whether the caller may subscribe under a
// name; serve has to return when the connection has ended. For each refused connection, it calls
// onRefused with the caller's address and the reason. Both functions are called on one goroutine
// for each connection. The error is a ConfigError.
func (s *Subscriber) Listen(address string, serve func(conn net.Conn, allowed func(name string) bool),
	onRefused func(from net.Addr, reason error)) (*Listener, error) {
	if s.tlsConfig == nil {
		if err := requireLoopback(address); err != nil {
			return nil, &ConfigError{"listen", err}
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ConfigError{"listen", err}
	}
	t := newTransport(nil, s.tlsConfig)
	t.listener = listener
	t.allowSubscribers = true
	t.onRefused = onRefused
	t.serve = func(conn net.Conn, from caller, _ int) {
		if acceptSubscription(conn) {
			serve(conn, from.maySubscribeAs)
		}
	}
	return &Listener{t}, nil
}

// acceptSubscription answers the first call on a connection, and reports whether it was a call to
// subscribe.
func acceptSubscription(conn net.Conn) bool {
	conn.SetDeadline(time.Now().Add(callTimeout))
	var request memberRequest
	if receiveFirst(conn, &request) != nil {
		return false
	}
	if send(conn, subscribeResponse(request.Subscribe)) != nil {
		return false
	}
	conn.SetDeadline(time.Time{})
	return request.Subscribe
}

// Address returns the address on which the Listener listens, as host:port.
func (l *Listener) Address() string { return l.transport.listener.Addr().String() }

// Run accepts connections until the context ends, and returns when all accepted connections are
// closed.
func (l *Listener) Run(ctx context.Context) {
	var accepting sync.WaitGroup
	accepting.Go(l.transport.acceptLoop)
	<-ctx.Done()
	l.transport.close()
	accepting.Wait()
	l.transport.handlers.Wait()
}
