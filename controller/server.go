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

// server accepts connections and keeps them within the socket budget. Those that have not identified themselves have a
// share of their own, of which the oldest make room once each has had a moment to speak, so that whoever speaks gets in.
type server struct {
	limits *limits
	loop   *eventLoop
	log    *slog.Logger

	mutex        sync.Mutex
	unidentified []*connection // the oldest first
	identified   []*connection
	accepted     int
	running      sync.WaitGroup
}

// run accepts until the context ends, then ends every connection.
func (s *server) run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { interrupt(listener) })
	defer stop()
	defer s.closeAll()
	defer s.drainBacklog(listener)
	for s.waitForRoom(ctx) {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
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
			continue
		}
		s.accepted++
		p := newConnection(conn, s.accepted, s.loop, s.identify)
		s.mutex.Lock()
		s.unidentified = append(s.unidentified, p)
		s.mutex.Unlock()
		s.running.Go(func() {
			p.run()
			s.remove(p)
		})
	}
	return nil
}

// interrupt ends a wait for a connection, and leaves the listener open where it can.
func interrupt(listener net.Listener) {
	if tcp, ok := listener.(*net.TCPListener); ok {
		tcp.SetDeadline(time.Now())
		return
	}
	listener.Close()
}

// drainBacklog closes the listener and, for a moment before, what waits in its backlog: not every kernel ends that with
// the listener, and whoever waits on it would wait for good.
func (s *server) drainBacklog(listener net.Listener) {
	defer listener.Close()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	tcp.SetDeadline(time.Now().Add(s.limits.finalReadTimeout))
	for {
		conn, err := tcp.Accept()
		if err != nil {
			return
		}
		conn.Close()
	}
}

func (s *server) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.limits.tick):
	}
}

// waitForRoom waits until one more connection fits, and tells whether it does before the end. Who comes meanwhile waits
// in the backlog of the listener.
func (s *server) waitForRoom(ctx context.Context) bool {
	for ctx.Err() == nil {
		s.mutex.Lock()
		over := max(len(s.unidentified)+len(s.identified)-s.limits.maxConnections, len(s.unidentified)-s.limits.maxUnidentified) + 1
		s.mutex.Unlock()
		if over <= 0 {
			return true
		}
		s.evict(over)
		s.pause(ctx)
	}
	return false
}

// evict has so many more of the oldest unidentified peers make room, if they had their time to speak: each is judged by
// what has arrived of it. Those that were evicted before are on their way out, and a flood must not come in only as fast
// as one goes.
func (s *server) evict(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.unidentified {
		if count <= 0 || time.Since(p.acceptedAt) < s.limits.minEvictAge {
			return
		}
		if !p.evicted.Load() {
			p.evict()
			count--
		}
	}
}

// identify moves a peer to those that have identified themselves. A proxy's newer connection takes the place of the
// older, and a collector too many of a zone that of the oldest, as they may be half-open; beyond the budget the newcomer
// is the one to go.
func (s *server) identify(p *connection) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	same := 1
	for _, other := range slices.Backward(slices.Clone(s.identified)) {
		if other.kind != p.kind || other.proxy != p.proxy || other.zone != p.zone && p.kind == kindCollector {
			continue
		}
		if same++; p.kind == kindProxy && other.sequence > p.sequence {
			return errSuperseded // its first words were under way for longer than the next connection took
		}
		if p.kind == kindProxy || same > s.limits.collectorsPerZone {
			s.identified = without(s.identified, other)
			other.close(errReplaced)
		}
	}
	if len(s.identified) >= s.limits.maxIdentified {
		return errNoRoom
	}
	s.unidentified, s.identified = without(s.unidentified, p), append(s.identified, p)
	return nil
}

func (s *server) remove(p *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unidentified, s.identified = without(s.unidentified, p), without(s.identified, p)
	if p.kind == kindUnidentified {
		s.log.Info("unidentified_closed", "remote", p.socket.RemoteAddr(), "error", p.closeReason)
		return
	}
	s.log.Info("connection_closed", "remote", p.socket.RemoteAddr(), "kind", p.kind,
		"proxy", p.proxy, "zone", s.loop.zoneName(p.zone), "error", p.closeReason)
}

func without(peers []*connection, p *connection) []*connection {
	for i, other := range peers {
		if other == p {
			return append(peers[:i:i], peers[i+1:]...)
		}
	}
	return peers
}

func (s *server) closeAll() {
	s.mutex.Lock()
	for _, p := range append(s.unidentified, s.identified...) {
		p.close(context.Canceled)
	}
	s.mutex.Unlock()
	s.running.Wait()
}
