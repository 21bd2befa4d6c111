package controller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var errTimeout = os.ErrDeadlineExceeded

// server takes connections in and keeps them within the socket budget: those that have not said who they are have a
// share of their own, of which the oldest makes room, so that whoever speaks gets in.
type server struct {
	limits *limits
	module *module
	log    *journal

	mutex     sync.Mutex
	strangers []*peer // the oldest first
	known     []*peer
	came      int
	peers     sync.WaitGroup
}

// run accepts until the context ends, then ends every connection.
func (s *server) run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer s.endAll()
	for {
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
			s.log.seldom("accept", "event=accept_failed error=%q", err)
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				s.makeRoom(1)
			}
			select {
			case <-ctx.Done():
			case <-time.After(s.limits.tick):
			}
			continue
		}
		s.came++
		p := newPeer(conn, s.came, s.module, s.identified)
		s.mutex.Lock()
		s.strangers = append(s.strangers, p)
		s.mutex.Unlock()
		s.makeRoom(0)
		s.peers.Go(func() {
			p.run()
			s.forget(p)
		})
	}
}

// makeRoom ends the oldest of those that have not said who they are while there are too many, and so many at least.
func (s *server) makeRoom(least int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for ; len(s.strangers) > 0; least-- {
		l := s.limits
		if least <= 0 && len(s.strangers) <= l.strange && len(s.strangers)+len(s.known) <= l.conns {
			return
		}
		oldest := s.strangers[0]
		s.strangers = s.strangers[1:]
		oldest.end(errStranger)
	}
}

// identified moves a peer to those that have said who they are. A collector too many of a zone takes the place of the
// oldest, which may be half-open; beyond the budget the newcomer is the one to go.
func (s *server) identified(p *peer) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.strangers = without(s.strangers, p)
	if len(s.known) >= s.limits.lasting {
		return errBudget
	}
	s.known = append(s.known, p)
	same := 0
	for i := len(s.known) - 1; i >= 0; i-- {
		if other := s.known[i]; p.kind == collector && other.kind == collector && other.zone == p.zone {
			if same++; same > s.limits.perZone {
				other.end(errReplaced)
			}
		}
	}
	return nil
}

func (s *server) forget(p *peer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.strangers, s.known = without(s.strangers, p), without(s.known, p)
	if p.kind == stranger {
		s.log.seldom("stranger "+p.why.Error(), "event=stranger_ended peer=%s why=%q", p.conn.RemoteAddr(), p.why)
		return
	}
	s.log.seldom(p.kind.String()+" ended", "event=ended peer=%s kind=%s node=%d zone=%s why=%q",
		p.conn.RemoteAddr(), p.kind, p.node, s.module.zoneName(p.zone), p.why)
}

func without(peers []*peer, p *peer) []*peer {
	for i, other := range peers {
		if other == p {
			return append(peers[:i:i], peers[i+1:]...)
		}
	}
	return peers
}

func (s *server) endAll() {
	s.mutex.Lock()
	for _, p := range append(s.strangers, s.known...) {
		p.end(context.Canceled)
	}
	s.mutex.Unlock()
	s.peers.Wait()
}
