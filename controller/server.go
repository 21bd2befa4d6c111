package controller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

var errTimeout = os.ErrDeadlineExceeded

// server accepts connections and keeps them within the socket budget. Those that have not identified themselves have a
// share of their own, of which the oldest make room once each has had a moment to speak, so that whoever speaks gets in.
type server struct {
	limits *limits
	module *module
	log    *journal

	mutex        sync.Mutex
	unidentified []*peer // the oldest first
	identified   []*peer
	accepted     int
	peers        sync.WaitGroup
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
			s.log.seldom("accept", "accept_failed", "error", err)
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				s.evict(1)
			}
			s.pause(ctx)
			continue
		}
		s.accepted++
		p := newPeer(conn, s.accepted, s.module, s.identify)
		s.mutex.Lock()
		s.unidentified = append(s.unidentified, p)
		s.mutex.Unlock()
		s.peers.Go(func() {
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
	tcp.SetDeadline(time.Now().Add(s.limits.finalRead))
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
		over := max(len(s.unidentified)+len(s.identified)-s.limits.conns, len(s.unidentified)-s.limits.unidentified) + 1
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
		if count <= 0 || time.Since(p.acceptedAt) < s.limits.evictAfter {
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
func (s *server) identify(p *peer) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	same := 1
	for _, other := range slices.Backward(slices.Clone(s.identified)) {
		if other.kind != p.kind || other.node != p.node || other.zone != p.zone && p.kind == collector {
			continue
		}
		if same++; p.kind == proxy && other.serial > p.serial {
			return errStale // its first words were under way for longer than the next connection took
		}
		if p.kind == proxy || same > s.limits.perZone {
			s.identified = without(s.identified, other)
			other.end(errReplaced)
		}
	}
	if len(s.identified) >= s.limits.lasting {
		return errBudget
	}
	s.unidentified, s.identified = without(s.unidentified, p), append(s.identified, p)
	return nil
}

func (s *server) remove(p *peer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unidentified, s.identified = without(s.unidentified, p), without(s.identified, p)
	if p.kind == unidentified {
		s.log.seldom("stranger "+rootCause(p.why), "stranger_ended", "peer", p.conn.RemoteAddr(), "why", p.why)
		return
	}
	s.log.seldom(p.kind.String()+" ended", "ended", "peer", p.conn.RemoteAddr(), "kind", p.kind,
		"node", p.node, "zone", s.module.zoneName(p.zone), "why", p.why)
}

func without(peers []*peer, p *peer) []*peer {
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
		p.end(context.Canceled)
	}
	s.mutex.Unlock()
	s.peers.Wait()
}
