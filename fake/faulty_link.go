package fake

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what is wrong with a link.
type Fault struct {
	Delay             time.Duration // added to each piece that is read
	DropOutgoing      bool          // what the caller sends does not come through; nobody is told
	DropIncoming      bool          // nor does what it is sent
	RefuseConnections bool          // new connections are refused, open ones reset
}

// Partition is the fault of a link through which nothing comes, either way.
var Partition = Fault{DropOutgoing: true, DropIncoming: true}

// FaultyLink is a way to an address with faults on it: callers dial the link in place of the address. Safe for
// concurrent use.
type FaultyLink struct {
	to       string
	listener net.Listener
	running  sync.WaitGroup // goroutines that accept and copy, which Close ends

	mutex   sync.Mutex // of all below
	fault   Fault
	changed chan struct{} // closed at each change of the fault, and by Close
	conns   map[net.Conn]bool
	closed  bool
}

const (
	linkBufferSize  = 32 << 10 // bytes
	linkDialTimeout = time.Second
)

// NewFaultyLink makes a link to an address, without a fault.
func NewFaultyLink(to string) (*FaultyLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &FaultyLink{to: to, listener: listener, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	l.running.Go(l.accept)
	return l, nil
}

// Address is where callers dial.
func (l *FaultyLink) Address() string { return l.listener.Addr().String() }

// SetFault puts a fault on the link, or with Fault{} takes it off; open connections feel it as well.
func (l *FaultyLink) SetFault(fault Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
	l.notify()
	if fault.RefuseConnections {
		for conn := range l.conns {
			reset(conn)
		}
	}
}

// notify has what waits for a change of the fault look again. The link is locked.
func (l *FaultyLink) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Close takes the link away with all connections on it.
func (l *FaultyLink) Close() {
	l.mutex.Lock()
	l.closed = true
	l.listener.Close()
	for conn := range l.conns {
		conn.Close()
	}
	l.notify()
	l.mutex.Unlock()
	l.running.Wait()
}

// reset ends a connection as a killed process does. Errors mean that it has ended.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// state is the fault at the moment, and a channel that is closed at its next change.
func (l *FaultyLink) state() (fault Fault, changed chan struct{}, closed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault, l.changed, l.closed
}

// register notes a connection; false once the link is closed.
func (l *FaultyLink) register(conn net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		conn.Close()
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *FaultyLink) unregister(conn net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, conn)
	conn.Close()
}

func (l *FaultyLink) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		if fault, _, _ := l.state(); fault.RefuseConnections {
			reset(conn)
			continue
		}
		if !l.register(conn) {
			return
		}
		l.running.Go(func() { l.forward(conn) })
	}
}

// direction tells whether a fault drops what goes one way.
type direction func(Fault) bool

func outgoing(f Fault) bool { return f.DropOutgoing }
func incoming(f Fault) bool { return f.DropIncoming }

// forward copies one connection's bytes both ways. One made while outgoing bytes are dropped hangs, as on a network that
// loses packets.
func (l *FaultyLink) forward(conn net.Conn) {
	defer l.unregister(conn)
	if !l.awaitPassage(outgoing) {
		return
	}
	far, err := net.DialTimeout("tcp", l.to, linkDialTimeout)
	if err != nil {
		reset(conn)
		return
	}
	if !l.register(far) {
		return
	}
	defer l.unregister(far)
	var both sync.WaitGroup
	both.Go(func() { l.copy(far, conn, outgoing) })
	both.Go(func() { l.copy(conn, far, incoming) })
	both.Wait()
}

// awaitPassage waits until a direction is not dropped, and for the delay; false once the link is closed.
func (l *FaultyLink) awaitPassage(dropped direction) bool {
	for {
		fault, changed, closed := l.state()
		if closed {
			return false
		}
		if !dropped(fault) {
			time.Sleep(fault.Delay)
			return true
		}
		<-changed
	}
}

// copy brings bytes one way. What is under way as a fault begins waits for its end, as what TCP sends again does.
func (l *FaultyLink) copy(to, from net.Conn, dropped direction) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !l.awaitPassage(dropped) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			endLike(to, err)
			return
		}
	}
}

// endLike ends a connection as the other side of the link ended: in order, or with a reset.
func endLike(conn net.Conn, err error) {
	if !errors.Is(err, io.EOF) {
		reset(conn)
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // an error means that it has ended
	}
}
