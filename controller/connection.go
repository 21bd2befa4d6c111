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

var (
	errUnreadable      = errors.New("cannot be read")
	errOutboxFull      = errors.New("too many messages wait for it")
	errClosed          = errors.New("it has ended")
	errIdentifyTimeout = errors.New("it never said who it is")
	errReplaced        = errors.New("a newer connection took its place")
	errSilent          = errors.New("it is silent and leaves marks unanswered")
	errUnacceptable    = errors.New("it cannot be taken")
	errNoRoom          = errors.New("no socket is left for it")
	errSuperseded      = errors.New("a newer connection came before it spoke")
	errNotIdentified   = errors.New("it must say first who it is")
)

// reasonOf is what went wrong, without the addresses that make each line of a log another.
func reasonOf(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}

// connectionKind is what a connection has said that it is.
type connectionKind uint8

const (
	kindUnidentified connectionKind = iota
	kindCollector
	kindProxy
)

// String gives the kind as the log has it.
func (k connectionKind) String() string { return [...]string{"stranger", "collector", "proxy"}[k] }

// connection is one connection: a reader that decodes what comes into calls to the module, and a writer whose mailbox holds
// what waits to leave. Both end when the connection is closed.
type connection struct {
	conn     net.Conn
	limits   *limits
	loop     *eventLoop
	log      *slog.Logger
	register func(p *connection) error // called when it has said who it is; refuses one that is too many
	sequence int                       // in the order in which connections came

	body          *bytes.Buffer  // the message being read
	kind          connectionKind // set by the reader before identify
	wantsToken    bool           // it asked for tokens with its orders
	zone          int
	proxy         int
	acceptedAt    time.Time // when it was accepted
	finalReadDone bool      // its deadline has passed, and what had arrived by then is being read

	evicted atomic.Bool // it was asked to make room

	outbox      chan []byte
	readDone    chan struct{} // closed when the reader has ended: what waits in the mailbox is all that is still owed
	awaitsReady bool          // and may wait for readiness; set before readDone is closed
	closed      chan struct{}
	closeOnce   sync.Once
	closeReason error        // set before ended is closed
	lastHeard   atomic.Int64 // module's clock when something whole last came
}

func newConnection(conn net.Conn, serial int, m *eventLoop, identify func(*connection) error) *connection {
	p := &connection{conn: conn, sequence: serial, limits: m.limits, loop: m, log: m.log, register: identify, proxy: -1, zone: -1,
		acceptedAt: time.Now(), outbox: make(chan []byte, m.limits.outboxSize), readDone: make(chan struct{}),
		closed: make(chan struct{})}
	conn.SetReadDeadline(p.acceptedAt.Add(m.limits.identifyTimeout)) // the one deadline until it has said who it is
	return p
}

// evict has an unidentified peer judged by what has arrived of it.
func (c *connection) evict() {
	c.evicted.Store(true)
	c.conn.SetReadDeadline(c.acceptedAt)
	select {
	case <-c.readDone: // nobody reads any more, and an answer may wait for readiness
		time.AfterFunc(c.limits.finalReadTimeout, func() { c.close(errIdentifyTimeout) })
	default:
	}
}

// Read reads from the connection. When the deadline has passed, what arrived by then is still read: it may be we who
// stood still.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	if n == 0 && errors.Is(err, errTimeout) && !c.finalReadDone {
		c.finalReadDone = true
		c.conn.SetReadDeadline(time.Now().Add(c.limits.finalReadTimeout))
		return c.conn.Read(b)
	}
	return n, err
}

// close closes the connection; the first reason stays.
func (c *connection) close(why error) {
	c.closeOnce.Do(func() {
		c.closeReason = why
		close(c.closed)
		c.conn.Close()
	})
}

// send puts a message into the mailbox. It never waits: a peer whose mailbox is full does not take what it is sent.
func (c *connection) send(message []byte) error {
	select {
	case <-c.closed:
		return errClosed
	default:
	}
	select {
	case c.outbox <- message:
		return nil
	default:
		return errOutboxFull
	}
}

// run plays the peer until its connection ends, and pays first what is owed to one that is not broken: the answers to
// what it asked, and to an unidentified one the reason why it is refused.
func (c *connection) run() {
	var writer sync.WaitGroup
	writer.Go(c.writeMessages)
	err := c.readMessages()
	asked := err == io.EOF // it has said its last, and may still listen
	if asked || c.kind == kindUnidentified {
		c.flushOutbox(&writer, err, asked && c.kind != kindProxy)
	}
	if c.kind == kindUnidentified && !asked {
		c.refuse(err)
	}
	c.close(err)
	writer.Wait()
	if c.kind == kindProxy {
		c.loop.post(func() { c.loop.proxyDisconnected(c) })
	}
}

// flushOutbox lets the writer send what waits in the mailbox, for as long as an unidentified peer has at most.
func (c *connection) flushOutbox(writer *sync.WaitGroup, why error, awaitReady bool) {
	c.awaitsReady = awaitReady
	close(c.readDone)
	patience := max(c.limits.finalReadTimeout, time.Until(c.acceptedAt.Add(c.limits.identifyTimeout)))
	if c.evicted.Load() {
		patience = c.limits.finalReadTimeout
	}
	late := time.AfterFunc(patience, func() { c.close(why) })
	defer late.Stop()
	writer.Wait()
}

// refuse gives an unidentified peer the reason, and then reads on for a moment: a close with bytes unread is a reset, and
// a reset can overtake the reason.
func (c *connection) refuse(why error) {
	linger := c.limits.lingerTimeout
	if c.evicted.Load() {
		linger = c.limits.finalReadTimeout
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.limits.finalReadTimeout))
	if _, err := c.conn.Write(errorMessage(why)); err != nil {
		return
	}
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(linger))
		io.CopyN(io.Discard, c.conn, int64(c.limits.maxFrame))
	}
}

// writeMessages sends what waits, until the connection ends or, when the reader has, the mailbox is empty. Nothing leaves before
// the module can decide, the answer to a probe among it.
func (c *connection) writeMessages() {
	select {
	case <-c.loop.ready:
	case <-c.closed:
		return
	case <-c.readDone:
		if len(c.outbox) == 0 || !c.awaitsReady {
			return
		}
		select {
		case <-c.loop.ready:
		case <-c.closed:
			return
		}
	}
	for message := c.nextMessage(); message != nil; message = c.nextMessage() {
		if err := c.deliver(message); err != nil {
			c.close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// nextMessage waits for a message; nil says that there will be none.
func (c *connection) nextMessage() []byte {
	select {
	case <-c.closed:
		return nil
	case message := <-c.outbox:
		return message
	case <-c.readDone:
	}
	select {
	case message := <-c.outbox:
		return message
	default:
		return nil
	}
}

// deliver writes a message. When the deadline has passed, what the connection takes all the same still counts: it may
// be we who stood still.
func (c *connection) deliver(message []byte) error {
	wait := c.limits.writeTimeout
	for {
		c.conn.SetWriteDeadline(time.Now().Add(wait))
		n, err := c.conn.Write(message)
		if err == nil {
			return nil
		}
		if !errors.Is(err, errTimeout) || n == 0 && wait == c.limits.finalReadTimeout {
			return err
		}
		if message = message[n:]; wait == c.limits.finalReadTimeout {
			wait = c.limits.writeTimeout
		} else {
			wait = c.limits.finalReadTimeout
		}
	}
}

// readMessages decodes messages until the connection ends. What is no JSON object cannot be read, and a stream that goes on
// with such counts as left already; a message that merely makes no sense is skipped.
func (c *connection) readMessages() error {
	in, parser := bufio.NewReader(c), &fastjson.Parser{}
	c.body = &bytes.Buffer{}
	for {
		most := c.limits.maxFrame
		if c.kind == kindUnidentified {
			most = c.limits.maxFirstFrame
		}
		if err := readFrame(in, c.body, most); err != nil {
			if c.kind == kindUnidentified && errors.Is(err, errTimeout) {
				return errIdentifyTimeout
			}
			return err
		}
		message, err := parser.ParseBytes(c.body.Bytes())
		if err != nil || message.Type() != fastjson.TypeObject {
			return fmt.Errorf("a message that is no JSON object: %w", errUnreadable)
		}
		c.lastHeard.Store(c.loop.clock())
		if err := c.dispatch(message); err != nil {
			return err
		}
		if c.body.Cap() > c.limits.maxIdleBuffer {
			c.body, parser = &bytes.Buffer{}, &fastjson.Parser{}
		}
	}
}

// identifyAs has an unidentified peer taken for what it says that it is, from when on it has no deadline.
func (c *connection) identifyAs(k connectionKind, node, zone int) error {
	c.kind, c.proxy, c.zone = k, node, zone
	if err := c.register(c); err != nil {
		c.kind = kindUnidentified
		return err
	}
	c.conn.SetReadDeadline(time.Time{})
	return nil
}
