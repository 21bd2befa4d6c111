// Package fake plays the parts around controllers on loopback: relays (proxies), workers (backends), collectors and
// discovery, as the protocol has them, and the wires between any two parties, with a small vocabulary of faults. Tests
// and rehearsals use the same ones. What they do and meet goes into an account that package rules judges.
package fake

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what is wrong with a wire.
type Fault struct {
	Delay             time.Duration // each piece takes so much longer
	DropOutgoing      bool          // what the caller sends does not come through; nothing is said of it
	DropIncoming      bool          // nor does what it is sent
	RefuseConnections bool          // new calls are refused, open ones reset
}

// Cut is a wire through which nothing comes, either way.
var Cut = Fault{DropOutgoing: true, DropIncoming: true}

// FaultyLink is a way to an address with faults on it: callers dial the wire in place of the address.
type FaultyLink struct {
	to       string
	listener net.Listener

	mutex sync.Mutex
	fault Fault
	turn  chan struct{} // closed at each change of the fault
	conns map[net.Conn]bool
	ended bool
	open  sync.WaitGroup
}

// NewFaultyLink lays a wire to an address.
func NewFaultyLink(to string) (*FaultyLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &FaultyLink{to: to, listener: listener, turn: make(chan struct{}), conns: map[net.Conn]bool{}}
	w.open.Go(w.run)
	return w, nil
}

// Address is where callers dial.
func (w *FaultyLink) Address() string { return w.listener.Addr().String() }

// Set puts a fault on the wire, or takes it off; open connections feel it as well.
func (w *FaultyLink) Set(f Fault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fault = f
	close(w.turn)
	w.turn = make(chan struct{})
	if f.RefuseConnections {
		for conn := range w.conns {
			reset(conn)
		}
	}
}

// Close takes the wire away with all that is on it.
func (w *FaultyLink) Close() {
	w.mutex.Lock()
	w.ended = true
	w.listener.Close()
	for conn := range w.conns {
		conn.Close()
	}
	if w.turn != nil {
		close(w.turn)
		w.turn = make(chan struct{})
	}
	w.mutex.Unlock()
	w.open.Wait()
}

// reset ends a connection as a killed process does.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (w *FaultyLink) now() (Fault, chan struct{}, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.fault, w.turn, w.ended
}

// keep notes a connection; false once the wire is gone.
func (w *FaultyLink) keep(conn net.Conn) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		conn.Close()
		return false
	}
	w.conns[conn] = true
	return true
}

func (w *FaultyLink) drop(conn net.Conn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.conns, conn)
	conn.Close()
}

func (w *FaultyLink) run() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		if fault, _, _ := w.now(); fault.RefuseConnections {
			reset(conn)
			continue
		}
		if !w.keep(conn) {
			return
		}
		w.open.Go(func() { w.carry(conn) })
	}
}

// carry brings one connection's bytes over. A call made during a cut hangs as on a network that says nothing.
func (w *FaultyLink) carry(conn net.Conn) {
	defer w.drop(conn)
	if !w.passes(func(f Fault) bool { return f.DropOutgoing }) {
		return
	}
	far, err := net.DialTimeout("tcp", w.to, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	if !w.keep(far) {
		return
	}
	defer w.drop(far)
	var both sync.WaitGroup
	both.Go(func() { w.copy(far, conn, func(f Fault) bool { return f.DropOutgoing }) })
	both.Go(func() { w.copy(conn, far, func(f Fault) bool { return f.DropIncoming }) })
	both.Wait()
}

// passes waits until a direction is not cut; false once the wire is gone.
func (w *FaultyLink) passes(cut func(Fault) bool) bool {
	for {
		fault, turn, ended := w.now()
		if ended {
			return false
		}
		if !cut(fault) {
			if fault.Delay > 0 {
				time.Sleep(fault.Delay)
			}
			return true
		}
		<-turn
	}
}

// copy brings bytes one way. What is under way as a cut begins waits for its end, as what is sent again does.
func (w *FaultyLink) copy(to, from net.Conn, cut func(Fault) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !w.passes(cut) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			} else if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			return
		}
	}
}
