package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// server accepts connections and keeps their number within limits. Unidentified connections have a
// separate bound, at which the oldest ones are evicted. A connection is evicted only after
// limits.minEvictAge, so that a peer that identifies itself promptly is always accepted.
// Controller.Serve runs the server, which has one goroutine per connection and waits for all of
// them at its end.
type server struct {
	limits *limits
	loop   *eventLoop
	log    *slog.Logger

	accepted int            // number of connections accepted so far; owned by run's goroutine
	running  sync.WaitGroup // counts the goroutines that serve connections

	mutex        sync.Mutex    // guards the fields below
	unidentified []*connection // unidentified connections, oldest first
	identified   []*connection // identified connections, in the order of their identification
}

// run accepts connections until the context ends, and then closes all of them. It returns an error
// if the listener is closed before that; after any other error of the listener it continues.
func (s *server) run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { interrupt(listener) })
	defer stop()
	defer s.closeAll()
	defer s.drainBacklog(listener)
	for s.waitForRoom(ctx) {
		socket, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = socket.Close() // the controller is shutting down; the peer has to connect to another controller
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		case err != nil: // the peer disconnected before the accept, or the process has no free file descriptor
			s.log.Warn("accept_failed", "error", err)
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				s.evict(1)
			}
			s.pause(ctx)
		default:
			s.serve(socket)
		}
	}
	return nil
}

// serve starts a goroutine that serves an accepted socket.
func (s *server) serve(socket net.Conn) {
	s.accepted++
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(s.limits.receiveBuffer) // without it, the system's default applies
	}
	c := newConnection(socket, s.accepted, s.loop, s.identify)
	s.mutex.Lock()
	s.unidentified = append(s.unidentified, c)
	s.mutex.Unlock()
	s.running.Go(func() {
		c.run()
		s.remove(c)
	})
}

// interrupt ends a blocked Accept. It leaves a TCP listener open, so that drainBacklog can use the
// listener. It closes a listener of any other type.
func interrupt(listener net.Listener) {
	if tcp, ok := listener.(*net.TCPListener); ok && tcp.SetDeadline(time.Now()) == nil {
		return
	}
	_ = listener.Close() // an error of Close is ignored, as Accept returns in any case
}

// drainBacklog accepts and closes the connections in the listener's backlog, for
// limits.finalReadTimeout, and then closes the listener. Some kernels don't close the connections
// in the backlog with the listener, and their peers would wait forever.
func (s *server) drainBacklog(listener net.Listener) {
	defer func() { _ = listener.Close() }() // an error of Close is ignored, as the listener is not used again
	tcp, ok := listener.(*net.TCPListener)
	if !ok || tcp.SetDeadline(time.Now().Add(s.limits.finalReadTimeout)) != nil {
		return
	}
	for {
		socket, err := tcp.Accept()
		if err != nil {
			return
		}
		_ = socket.Close() // the controller is shutting down; the peer has to connect to another controller
	}
}

// pause waits for limits.tick, or until the context ends.
func (s *server) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.limits.tick):
	}
}

// waitForRoom waits until one more connection fits into the limits; it returns false if the context
// ends first. New connections wait in the listener's backlog during that time.
func (s *server) waitForRoom(ctx context.Context) bool {
	for ctx.Err() == nil {
		excess := s.excess()
		if excess <= 0 {
			return true
		}
		s.evict(excess)
		s.pause(ctx)
	}
	return false
}

// excess returns the number of connections that have to end before one more fits into the limits.
func (s *server) excess() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	overAll := len(s.unidentified) + len(s.identified) - s.limits.maxConnections
	overUnidentified := len(s.unidentified) - s.limits.maxUnidentified
	return max(overAll, overUnidentified) + 1
}

// evict evicts the given number of unidentified connections, the oldest first, as far as they are
// older than limits.minEvictAge. Connections that an earlier call evicted, but that have not ended
// yet, do not count towards the number, so a faster flood of connections evicts more of them at once.
func (s *server) evict(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.unidentified {
		if count <= 0 || time.Since(c.acceptedAt) < s.limits.minEvictAge {
			return
		}
		if !c.evicted.Load() {
			c.evict()
			count--
		}
	}
}

// identify moves a connection from the unidentified to the identified connections. A newer
// connection of a proxy replaces the older one, and a collector beyond limits.collectorsPerZone
// replaces the oldest of its zone, as the replaced connection may be half-open. At
// limits.maxIdentified, the new connection is refused. Connections call it in their own goroutines.
func (s *server) identify(c *connection) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	groupSize := 1 // number of connections of the same proxy, or of collectors of the same zone, including c
	for _, other := range slices.Backward(slices.Clone(s.identified)) {
		if !c.inSameGroup(other) {
			continue
		}
		groupSize++
		if c.kind == kindProxy && other.sequence > c.sequence {
			return errSuperseded // this hello was handled after the hello on a newer connection of the proxy
		}
		if c.kind == kindProxy || groupSize > s.limits.collectorsPerZone {
			s.identified = without(s.identified, other)
			other.close(errReplaced)
		}
	}
	if len(s.identified) >= s.limits.maxIdentified {
		return errNoRoom
	}
	s.unidentified, s.identified = without(s.unidentified, c), append(s.identified, c)
	return nil
}

// inSameGroup reports whether both connections are from the same proxy, or both from collectors of
// the same zone.
func (c *connection) inSameGroup(other *connection) bool {
	if other.kind != c.kind || other.proxy != c.proxy {
		return false
	}
	return c.kind != kindCollector || other.zone == c.zone
}

// remove drops a connection that has ended, and logs its end.
func (s *server) remove(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unidentified, s.identified = without(s.unidentified, c), without(s.identified, c)
	if c.kind == kindUnidentified {
		s.log.Info("unidentified_closed", "remote", c.socket.RemoteAddr(), "error", c.closeReason)
		return
	}
	s.log.Info("connection_closed", "remote", c.socket.RemoteAddr(), "kind", c.kind, "proxy", c.proxy,
		"zone", s.loop.zoneName(c.zone), "error", c.closeReason)
}

// without returns the connections except one, in a new array, so that a caller can still iterate
// over the old array.
func without(connections []*connection, removed *connection) []*connection {
	for i, c := range connections {
		if c == removed {
			return append(connections[:i:i], connections[i+1:]...)
		}
	}
	return connections
}

// closeAll closes all connections, and waits for their goroutines.
func (s *server) closeAll() {
	s.mutex.Lock()
	for _, c := range slices.Concat(s.unidentified, s.identified) {
		c.close(context.Canceled)
	}
	s.mutex.Unlock()
	s.running.Wait()
}
