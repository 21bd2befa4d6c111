package controller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"
)

// connectionKind is what a connection has identified itself as.
type connectionKind uint8

const (
	kindUnidentified connectionKind = iota // it has not said who it is
	kindCollector
	kindProxy
)

// String gives the kind as the log has it.
func (k connectionKind) String() string {
	return [...]string{"unidentified", "collector", "proxy"}[k]
}

// connection is one connection of a proxy, a collector, or of somebody who has not said who it is. It has two goroutines, which run
// starts and awaits: the reader decodes messages into events of the loop, the writer sends what waits in outbox. Any goroutine may
// call send and close. It goes through the states of run.
type connection struct {
	socket   net.Conn
	limits   *limits
	loop     *eventLoop
	log      *slog.Logger
	register func(*connection) error // called once it has identified itself; refuses one that is too many
	sequence int                     // in the order in which connections were accepted

	// Of the reader. What it sets before register, and before it posts the connection to the loop, others may read afterwards.
	body             *bytes.Buffer // the message being read
	kind             connectionKind
	wantsToken       bool // it asked for fencing tokens with its pushes
	zone             int
	proxy            int
	acceptedAt       time.Time
	finalReadStarted bool // its deadline has passed, and what had arrived by then is being read

	evicted       atomic.Bool  // it was asked to make room
	lastMessageAt atomic.Int64 // the loop's clock when the last complete message came, µs

	outbox      chan []byte   // messages that wait; limits.outboxSize of them, then send fails
	readDone    chan struct{} // closed when the reader has ended: what waits in outbox is all that is still owed
	awaitsReady bool          // what is owed may wait for readiness; set before readDone is closed

	closed      chan struct{} // closed by close
	closeOnce   sync.Once
	closeReason error // set before closed is closed
}

// newConnection prepares a connection that was accepted; run serves it.
func newConnection(socket net.Conn, sequence int, loop *eventLoop, register func(*connection) error) *connection {
	c := &connection{
		socket: socket, sequence: sequence, limits: loop.limits, loop: loop, log: loop.log, register: register,
		proxy: -1, zone: -1, acceptedAt: time.Now(),
		outbox:   make(chan []byte, loop.limits.outboxSize),
		readDone: make(chan struct{}),
		closed:   make(chan struct{}),
	}
	c.readUntil(c.acceptedAt.Add(c.limits.identifyTimeout)) // the one deadline until it has identified itself
	return c
}

// run serves the connection through its states; close ends any of them at once, with both goroutines. Reading: until readMessages
// returns. Draining, from endReading on, left out by an identified one that broke: the answers that wait are sent. Refusing, only an
// unidentified one that broke: the reason is sent, and what still comes is dropped. The server has a goroutine for it.
func (c *connection) run() {
	var writer sync.WaitGroup
	writer.Go(c.writeMessages)
	err := c.readMessages()
	finished := err == io.EOF // it has said its last, and may still listen
	if finished || c.kind == kindUnidentified {
		c.endReading(&writer, err, finished && c.kind != kindProxy)
	}
	if c.kind == kindUnidentified && !finished {
		c.refuse(err)
	}
	c.close(err)
	writer.Wait()
	if c.kind == kindProxy {
		c.loop.post(func() { c.loop.proxyDisconnected(c) })
	}
}

// close closes the connection; the first reason stays.
func (c *connection) close(reason error) {
	c.closeOnce.Do(func() {
		c.closeReason = reason
		close(c.closed)
		_ = c.socket.Close() // nothing is to be done for one that cannot be closed
	})
}

// evict has an unidentified connection judged by what has arrived of it.
func (c *connection) evict() {
	c.evicted.Store(true)
	c.readUntil(c.acceptedAt)
	select {
	case <-c.readDone: // nobody reads any more, and an answer may wait for readiness
		time.AfterFunc(c.limits.finalReadTimeout, func() { c.close(errIdentifyTimeout) })
	default:
	}
}

// identifyAs takes an unidentified connection for what it says that it is. From then on it has no deadline.
func (c *connection) identifyAs(kind connectionKind, proxy, zone int) error {
	c.kind, c.proxy, c.zone = kind, proxy, zone
	if err := c.register(c); err != nil {
		c.kind = kindUnidentified
		return err
	}
	c.readUntil(time.Time{})
	return nil
}

// readUntil sets the deadline of reads; none for the zero time.
func (c *connection) readUntil(deadline time.Time) {
	_ = c.socket.SetReadDeadline(deadline) // fails only on a closed connection, which the next read tells
}

// writeWithin sets the deadline of the next write.
func (c *connection) writeWithin(timeout time.Duration) {
	_ = c.socket.SetWriteDeadline(time.Now().Add(timeout)) // fails only on a closed connection, which the next write tells
}

// Read reads from the socket. When the deadline has passed, what arrived by then is still read: it may be this process that
// stalled.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.socket.Read(buffer)
	if n == 0 && errors.Is(err, errTimeout) && !c.finalReadStarted {
		c.finalReadStarted = true
		c.readUntil(time.Now().Add(c.limits.finalReadTimeout))
		return c.socket.Read(buffer)
	}
	return n, err
}

// readMessages decodes messages until the connection ends, and says why it ended. What is no JSON object cannot be read, and a
// stream that goes on with such counts as ended already; a message that merely makes no sense is skipped.
func (c *connection) readMessages() error {
	in, parser := bufio.NewReader(c), &fastjson.Parser{}
	c.body = &bytes.Buffer{}
	for {
		if err := c.readNext(in); err != nil {
			return err
		}
		message, err := parser.ParseBytes(c.body.Bytes())
		if err != nil || message.Type() != fastjson.TypeObject {
			return fmt.Errorf("a message that is no JSON object: %w", errUnreadable)
		}
		c.lastMessageAt.Store(c.loop.clock())
		if err := c.dispatch(message); err != nil {
			return err
		}
		if c.body.Cap() > c.limits.maxIdleBuffer {
			c.body, parser = &bytes.Buffer{}, &fastjson.Parser{}
		}
	}
}

// readNext reads one message into body.
func (c *connection) readNext(in io.Reader) error {
	maxSize := c.limits.maxFrame
	if c.kind == kindUnidentified {
		maxSize = c.limits.maxFirstFrame
	}
	err := readFrame(in, c.body, maxSize)
	if c.kind == kindUnidentified && errors.Is(err, errTimeout) {
		return errIdentifyTimeout
	}
	return err
}
