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

// server accepts connections and keeps them within the bounds of limits. Those that have not identified themselves have a bound of
// their own, at which the oldest make room once each has had a moment to speak, so that whoever speaks gets in. Controller.Serve
// runs it; it has a goroutine for each connection, and awaits them all.
type server struct {
	limits *limits
	loop   *eventLoop
	log    *slog.Logger

	accepted int            // connections so far; of run's goroutine
	running  sync.WaitGroup // goroutines of connections

	mutex        sync.Mutex    // guards what follows
	unidentified []*connection // the oldest first
	identified   []*connection // the oldest first
}

// run accepts until the context ends, and closes every connection then. An error is what kept it from accepting.
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
				_ = socket.Close() // its peer dials another controller
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		case err != nil: // the caller has gone again, or no descriptor is left
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

// serve starts serving a connection.
func (s *server) serve(socket net.Conn) {
	s.accepted++
	c := newConnection(socket, s.accepted, s.loop, s.identify)
	s.mutex.Lock()
	s.unidentified = append(s.unidentified, c)
	s.mutex.Unlock()
	s.running.Go(func() {
		c.run()
		s.remove(c)
	})
}

// interrupt ends a wait for a connection, and leaves the listener open where it can.
func interrupt(listener net.Listener) {
	if tcp, ok := listener.(*net.TCPListener); ok && tcp.SetDeadline(time.Now()) == nil {
		return
	}
	_ = listener.Close() // the wait ends, which is all that is wanted
}

// drainBacklog closes the listener and, for a moment before, what waits in its backlog: not every kernel ends that with the listener,
// and whoever waits on it would wait for good.
func (s *server) drainBacklog(listener net.Listener) {
	defer func() { _ = listener.Close() }() // it is of no use any more
	tcp, ok := listener.(*net.TCPListener)
	if !ok || tcp.SetDeadline(time.Now().Add(s.limits.finalReadTimeout)) != nil {
		return
	}
	for {
		socket, err := tcp.Accept()
		if err != nil {
			return
		}
		_ = socket.Close() // its peer dials another controller
	}
}

// pause waits for a tick.
func (s *server) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.limits.tick):
	}
}

// waitForRoom waits until one more connection fits; false if the context ends before. Who comes meanwhile waits in the listener's
// backlog.
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

// excess is how many connections have to go for one more to fit.
func (s *server) excess() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	overAll := len(s.unidentified) + len(s.identified) - s.limits.maxConnections
	overUnidentified := len(s.unidentified) - s.limits.maxUnidentified
	return max(overAll, overUnidentified) + 1
}

// evict has so many more of the oldest unidentified connections make room, if they had their time to speak: each is judged by what has
// arrived of it. Those that were evicted before do not count, as they are about to end: the more come, the more are evicted at once.
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

// identify moves a connection to the identified ones. A proxy's newer connection takes the place of the older, and a collector too
// many of a zone that of the oldest, as they may be half-open; beyond the bound the newcomer is refused. Goroutines of connections
// call it.
func (s *server) identify(c *connection) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ofSame := 1 // connections of the same proxy, or of collectors of the same zone
	for _, other := range slices.Backward(slices.Clone(s.identified)) {
		if !c.inSameGroup(other) {
			continue
		}
		ofSame++
		if c.kind == kindProxy && other.sequence > c.sequence {
			return errSuperseded // its hello was under way for longer than the next connection took
		}
		if c.kind == kindProxy || ofSame > s.limits.collectorsPerZone {
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

// inSameGroup tells whether another connection is of the same proxy, or of a collector of the same zone.
func (c *connection) inSameGroup(other *connection) bool {
	if other.kind != c.kind || other.proxy != c.proxy {
		return false
	}
	return c.kind != kindCollector || other.zone == c.zone
}

// remove forgets a connection that has ended.
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

// without gives connections but one, in a new array, so that who goes over the old one is not disturbed.
func without(connections []*connection, removed *connection) []*connection {
	for i, c := range connections {
		if c == removed {
			return append(connections[:i:i], connections[i+1:]...)
		}
	}
	return connections
}

// closeAll closes every connection, and waits for their goroutines.
func (s *server) closeAll() {
	s.mutex.Lock()
	for _, c := range slices.Concat(s.unidentified, s.identified) {
		c.close(context.Canceled)
	}
	s.mutex.Unlock()
	s.running.Wait()
}
