package consensus

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// Subscriber makes and takes connections for subscriptions to the distributed configuration, by the calls and credentials
// of the members, without being one. Its methods may be called at the same time.
type Subscriber struct {
	secure *tls.Config // nil for plain text
}

// NewSubscriber reads the credentials; where they are empty, plain text is spoken on loopback alone.
func NewSubscriber(credentials Credentials) (*Subscriber, error) {
	secure, err := credentials.tlsConfig()
	return &Subscriber{secure}, err
}

// Dial connects to a peer, given as Peer.String has it, and makes the call to subscribe. The error is a RefusedError where
// the peer refuses it.
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
		secured := tls.Client(conn, withServerName(s.secure, name))
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
		return nil, &CallRefusedError{response.Why}
	}
	return conn, conn.SetDeadline(time.Time{})
}

// subscribeResponse answers the call to subscribe.
func subscribeResponse(accepted bool) memberResponse {
	if !accepted {
		return memberResponse{Why: whyNoSubscribers}
	}
	return memberResponse{Accepted: true}
}

// Listener takes the connections of subscribers at a subscriber that passes the distributed configuration on. It serves
// nothing else.
type Listener struct {
	transport *transport
}

// Listen listens at an address. Serve gets each connection after its call, with the names under which the caller may
// subscribe; it returns when the connection has ended. OnRefused is told of callers that were not let in. Both are called
// on a goroutine for each connection. The error is a ConfigError.
func (s *Subscriber) Listen(address string, serve func(conn net.Conn, allowed func(name string) bool),
	onRefused func(from net.Addr, why error)) (*Listener, error) {
	if s.secure == nil {
		if err := requireLoopback(address); err != nil {
			return nil, &ConfigError{"listen", err}
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ConfigError{"listen", err}
	}
	t := newTransport(nil, s.secure)
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

// acceptSubscription answers the first call of a connection; it is true if that was to subscribe.
func acceptSubscription(conn net.Conn) bool {
	conn.SetDeadline(time.Now().Add(callTimeout))
	var request memberRequest
	if receive(conn, &request) != nil {
		return false
	}
	if send(conn, subscribeResponse(request.Subscribe)) != nil {
		return false
	}
	conn.SetDeadline(time.Time{})
	return request.Subscribe
}

// Address is where it listens, host:port.
func (l *Listener) Address() string { return l.transport.listener.Addr().String() }

// Run takes connections until the context ends, and returns when all of them are closed.
func (l *Listener) Run(ctx context.Context) {
	var accepting sync.WaitGroup
	accepting.Go(l.transport.acceptLoop)
	<-ctx.Done()
	l.transport.close()
	accepting.Wait()
	l.transport.handlers.Wait()
}
