package controller

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wheelrill/internal/intake"
)

// connectionKind is the role of a connection's peer, as the peer has identified itself.
type connectionKind uint8

const (
	kindUnidentified connectionKind = iota // the peer has not identified itself yet
	kindCollector
	kindProxy
)

// String returns the kind as it is logged.
func (k connectionKind) String() string {
	return [...]string{"unidentified", "collector", "proxy"}[k]
}

// connection is a connection from a proxy, from a collector, or from a peer that has not identified
// itself yet. It has two goroutines. The goroutine of run is the reader, which decodes messages
// into events of the loop. run also starts the writer, which sends the messages in outbox, and
// waits for the writer's end. Any goroutine may call send and close. The states of a connection are
// described at run.
type connection struct {
	socket   net.Conn
	limits   *limits
	loop     *eventLoop
	log      *slog.Logger
	register func(*connection) error // called when the peer identifies itself; an error refuses the connection
	sequence int                     // position in the order in which connections were accepted

	// Fields owned by the reader's goroutine. Other goroutines may read a field if the reader sets
	// it before it calls register or posts the connection to the loop.
	body             []byte        // the message that the reader is reading or handling
	lease            *intake.Lease // memory of a large message in body; nil for a small one
	pace             pace
	kind             connectionKind
	wantsToken       bool // whether the proxy asked for a fencing token in each push
	zone             int
	proxy            int
	acceptedAt       time.Time
	finalReadStarted bool // whether the read deadline has passed, and the final read after it has begun

	evicted       atomic.Bool  // whether evict was called
	notRead       atomic.Bool  // whether the reader waits for memory or for the event loop, so that the peer's input is not read
	lastMessageAt atomic.Int64 // time at which the last complete message was read, Unix time in µs

	queue    *eventQueue   // events for the loop
	outbox   chan []byte   // messages to the peer; send fails if limits.outboxSize messages wait here
	readDone chan struct{} // closed when the reader has ended; after that no answers are put into outbox
	// awaitsReady is true if the writer may wait until the controller is ready, even after readDone
	// is closed. endReading sets it before it closes readDone.
	awaitsReady bool

	closed      chan struct{} // closed by the first call of close, which ends the connection
	closeOnce   sync.Once
	closeReason error // reason of the first call of close; set before the channel closed is closed
}

// newConnection returns a connection for an accepted socket; run serves it.
func newConnection(socket net.Conn, sequence int, loop *eventLoop, register func(*connection) error) *connection {
	c := &connection{
		socket: socket, sequence: sequence, limits: loop.limits, loop: loop, log: loop.log, register: register,
		proxy: -1, zone: -1, acceptedAt: time.Now(),
		queue:    loop.queues.newQueue(),
		outbox:   make(chan []byte, loop.limits.outboxSize),
		readDone: make(chan struct{}),
		closed:   make(chan struct{}),
	}
	// Messages do not extend this read deadline, which applies until the peer has identified
	// itself.
	c.readUntil(c.acceptedAt.Add(c.limits.identifyTimeout))
	return c
}

// run serves the connection; the server calls it in a goroutine. A call of close ends any state at
// once, together with both goroutines. The states are:
//
// Reading: lasts until readMessages returns.
//
// Draining: begins with endReading; the writer sends the queued answers. An identified connection
// that the peer has broken skips this state.
//
// Refusing: only if the controller ends the connection, because of an input that it does not take;
// the reason is sent, and further input is discarded.
func (c *connection) run() {
	var writer sync.WaitGroup
	writer.Go(c.writeMessages)
	err := c.readMessages()
	finished := err == io.EOF // the peer has closed its sending side, and may still read
	refused := !finished && (c.kind == kindUnidentified || isRefusal(err))
	if finished || refused {
		c.endReading(&writer, err, finished && c.kind != kindProxy)
	}
	if refused {
		c.refuse(err)
	}
	c.close(err)
	writer.Wait()
	c.queue.putLast(func() { c.loop.connectionEnded(c) }, !finished)
}

// close closes the connection. The reason of the first call is kept.
func (c *connection) close(reason error) {
	c.closeOnce.Do(func() {
		c.closeReason = reason
		close(c.closed)
		_ = c.socket.Close() // an error of Close is ignored, as the socket is not used again
	})
}

// evict ends an unidentified connection, unless a message that identifies it has already arrived.
// It moves the read deadline to the past, so Read reads only once more, for at most
// limits.finalReadTimeout.
func (c *connection) evict() {
	c.evicted.Store(true)
	c.readUntil(c.acceptedAt)
	select {
	case <-c.readDone: // the reader has ended, but the writer may still wait until the controller is ready
		time.AfterFunc(c.limits.finalReadTimeout, func() { c.close(errIdentifyTimeout) })
	default:
	}
}

// identifyAs registers an unidentified connection as a proxy's or a collector's, and removes its
// read deadline. If register refuses the connection, it stays unidentified.
func (c *connection) identifyAs(kind connectionKind, proxy, zone int) error {
	c.kind, c.proxy, c.zone = kind, proxy, zone
	if err := c.register(c); err != nil {
		c.kind = kindUnidentified
		return err
	}
	if kind == kindCollector {
		c.queue.setLimit(c.limits.eventsPerCollector)
	}
	c.readUntil(time.Time{})
	return nil
}

// readUntil sets the read deadline; the zero time removes the deadline.
func (c *connection) readUntil(deadline time.Time) {
	// SetReadDeadline fails only on a closed connection, and then the next read fails too.
	_ = c.socket.SetReadDeadline(deadline)
}

// writeWithin sets the deadline of the next write.
func (c *connection) writeWithin(timeout time.Duration) {
	// SetWriteDeadline fails only on a closed connection, and then the next write fails too.
	_ = c.socket.SetWriteDeadline(time.Now().Add(timeout))
}

// Read reads from the socket. After the deadline it reads once more, with limits.finalReadTimeout,
// as this process itself may have stalled while bytes arrived in time.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.socket.Read(buffer)
	if n == 0 && errors.Is(err, errTimeout) && !c.finalReadStarted {
		c.finalReadStarted = true
		c.readUntil(time.Now().Add(c.limits.finalReadTimeout))
		return c.socket.Read(buffer)
	}
	return n, err
}
