package fake

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault describes how a link disturbs connections. The zero value disturbs nothing.
type Fault struct {
	Delay             time.Duration // delay added to each new connection and to each chunk of bytes
	DropOutgoing      bool          // bytes from the caller wait for the end of the fault; neither side gets an error
	DropIncoming      bool          // bytes to the caller wait for the end of the fault; neither side gets an error
	RefuseConnections bool          // new connections and open connections are reset at once
}

// Partition is the fault of a link that delivers no bytes in either direction.
var Partition = Fault{DropOutgoing: true, DropIncoming: true}

// FaultyLink forwards connections to an address and injects faults into them. Callers dial the link
// instead of the address. Safe for concurrent use.
type FaultyLink struct {
	target   string // address to which the link forwards connections
	listener net.Listener
	running  sync.WaitGroup // goroutines that accept connections and copy bytes; Close waits for their end

	mutex   sync.Mutex // guards the fields below
	fault   Fault
	changed chan struct{}     // channel that is closed and replaced at each change of the fault and by Close
	conns   map[net.Conn]bool // open connections of callers, and open connections to the target
	closed  bool
}

const (
	linkBufferSize  = 32 << 10 // size in bytes of the buffer for one direction of a connection
	linkDialTimeout = time.Second
)

// NewFaultyLink starts a link to an address, without a fault.
func NewFaultyLink(to string) (*FaultyLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &FaultyLink{target: to, listener: listener, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	l.running.Go(l.accept)
	return l, nil
}

// Address returns the address that callers dial.
func (l *FaultyLink) Address() string { return l.listener.Addr().String() }

// SetFault replaces the fault of the link, which affects open connections as well.
// SetFault(Fault{}) removes the fault.
func (l *FaultyLink) SetFault(fault Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
	l.notifyFaultChanged()
	if fault.RefuseConnections {
		for conn := range l.conns {
			reset(conn)
		}
	}
}

// notifyFaultChanged wakes the goroutines that wait for a change of the fault. The caller holds the
// mutex.
func (l *FaultyLink) notifyFaultChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Close closes the link and all its connections, and waits for the goroutines of the link.
func (l *FaultyLink) Close() {
	l.mutex.Lock()
	l.closed = true
	l.listener.Close()
	for conn := range l.conns {
		conn.Close()
	}
	l.notifyFaultChanged()
	l.mutex.Unlock()
	l.running.Wait()
}

// reset closes a connection with a TCP reset, as it happens when a process is killed. An error
// means that the connection is closed already.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// state returns the current fault, a channel that is closed when the fault changes, and whether the
// link is closed.
func (l *FaultyLink) state() (fault Fault, changed chan struct{}, closed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault, l.changed, l.closed
}

// register adds a connection to the open ones. If the link is closed, it closes the connection and
// returns false.
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

// dropsDirection reports whether a fault drops the bytes of one direction.
type dropsDirection func(Fault) bool

func outgoing(f Fault) bool { return f.DropOutgoing }
func incoming(f Fault) bool { return f.DropIncoming }

// forward copies the bytes of a caller's connection in both directions. A connection that is made
// while outgoing bytes are dropped hangs, as on a network that loses packets.
func (l *FaultyLink) forward(conn net.Conn) {
	defer l.unregister(conn)
	if !l.awaitForwarding(outgoing) {
		return
	}
	remote, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		reset(conn)
		return
	}
	if !l.register(remote) {
		return
	}
	defer l.unregister(remote)
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(remote, conn, outgoing) })
	copies.Go(func() { l.copy(conn, remote, incoming) })
	copies.Wait()
}

// awaitForwarding waits until the bytes of a direction are no longer dropped, and then for the
// delay of the fault. It returns false once the link is closed.
func (l *FaultyLink) awaitForwarding(dropped dropsDirection) bool {
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

// copy forwards bytes in one direction. Bytes that are in transit when a fault begins are delivered
// after its end, like segments that TCP retransmits.
func (l *FaultyLink) copy(to, from net.Conn, dropped dropsDirection) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !l.awaitForwarding(dropped) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			propagateClose(to, err)
			return
		}
	}
}

// propagateClose ends a connection in the way in which the connection on the other side of the link
// ended: with an orderly close of its sending direction after io.EOF, otherwise with a reset.
func propagateClose(conn net.Conn, err error) {
	if !errors.Is(err, io.EOF) {
		reset(conn)
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // a CloseWrite error means that the connection is closed already
	}
}
