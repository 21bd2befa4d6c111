package controller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"
)

var (
	errUnreadable   = errors.New("cannot be read")
	errFull         = errors.New("too many messages wait for it")
	errEnded        = errors.New("it has ended")
	errUnidentified = errors.New("it never said who it is")
	errReplaced     = errors.New("a newer connection took its place")
	errSilent       = errors.New("it is silent and leaves marks unanswered")
	errRefused      = errors.New("it cannot be taken")
	errBudget       = errors.New("no socket is left for it")
	errStale        = errors.New("a newer connection came before it spoke")
	errEarly        = errors.New("it must say first who it is")
)

// cause is what went wrong, without the addresses that make each line of a log another.
func cause(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}

// rootCause is the error at the bottom of one: a few different ones, however often a client thinks of new numbers.
func rootCause(err error) string {
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}

// kind is what a connection has said that it is.
type kind uint8

const (
	unidentified kind = iota
	collector
	proxy
)

// String gives the kind as the log has it.
func (k kind) String() string { return [...]string{"stranger", "collector", "proxy"}[k] }

// peer is one connection: a reader that decodes what comes into calls to the module, and a writer whose mailbox holds
// what waits to leave. Both end when the connection is closed.
type peer struct {
	conn     net.Conn
	limits   *limits
	module   *module
	log      *journal
	identify func(p *peer) error // called when it has said who it is; refuses one that is too many
	serial   int                 // in the order in which connections came

	body          *bytes.Buffer // the message being read
	kind          kind          // set by the reader before identify
	fenced        bool          // it asked for tokens with its orders
	zone          int
	node          int
	acceptedAt    time.Time // when it was accepted
	finalReadDone bool      // its deadline has passed, and what had arrived by then is being read

	evicted atomic.Bool // it was asked to make room

	mailbox     chan []byte
	readDone    chan struct{} // closed when the reader has ended: what waits in the mailbox is all that is still owed
	awaitsReady bool          // and may wait for readiness; set before readDone is closed
	ended       chan struct{}
	once        sync.Once
	why         error        // set before ended is closed
	heard       atomic.Int64 // module's clock when something whole last came
}

func newPeer(conn net.Conn, serial int, m *module, identify func(*peer) error) *peer {
	p := &peer{conn: conn, serial: serial, limits: m.limits, module: m, log: m.log, identify: identify, node: -1, zone: -1,
		acceptedAt: time.Now(), mailbox: make(chan []byte, m.limits.outgoing), readDone: make(chan struct{}),
		ended: make(chan struct{})}
	conn.SetReadDeadline(p.acceptedAt.Add(m.limits.identifyWithin)) // the one deadline until it has said who it is
	return p
}

// evict has an unidentified peer judged by what has arrived of it.
func (p *peer) evict() {
	p.evicted.Store(true)
	p.conn.SetReadDeadline(p.acceptedAt)
	select {
	case <-p.readDone: // nobody reads any more, and an answer may wait for readiness
		time.AfterFunc(p.limits.finalRead, func() { p.end(errUnidentified) })
	default:
	}
}

// Read reads from the connection. When the deadline has passed, what arrived by then is still read: it may be we who
// stood still.
func (p *peer) Read(b []byte) (int, error) {
	n, err := p.conn.Read(b)
	if n == 0 && errors.Is(err, errTimeout) && !p.finalReadDone {
		p.finalReadDone = true
		p.conn.SetReadDeadline(time.Now().Add(p.limits.finalRead))
		return p.conn.Read(b)
	}
	return n, err
}

// end closes the connection; the first reason stays.
func (p *peer) end(why error) {
	p.once.Do(func() {
		p.why = why
		close(p.ended)
		p.conn.Close()
	})
}

// send puts a message into the mailbox. It never waits: a peer whose mailbox is full does not take what it is sent.
func (p *peer) send(message []byte) error {
	select {
	case <-p.ended:
		return errEnded
	default:
	}
	select {
	case p.mailbox <- message:
		return nil
	default:
		return errFull
	}
}

// run plays the peer until its connection ends, and pays first what is owed to one that is not broken: the answers to
// what it asked, and to an unidentified one the reason why it is refused.
func (p *peer) run() {
	var writer sync.WaitGroup
	writer.Go(p.write)
	err := p.read()
	asked := err == io.EOF // it has said its last, and may still listen
	if asked || p.kind == unidentified {
		p.flushMailbox(&writer, err, asked && p.kind != proxy)
	}
	if p.kind == unidentified && !asked {
		p.refuse(err)
	}
	p.end(err)
	writer.Wait()
	if p.kind == proxy {
		p.module.post(func() { p.module.left(p) })
	}
}

// flushMailbox lets the writer send what waits in the mailbox, for as long as an unidentified peer has at most.
func (p *peer) flushMailbox(writer *sync.WaitGroup, why error, awaitReady bool) {
	p.awaitsReady = awaitReady
	close(p.readDone)
	patience := max(p.limits.finalRead, time.Until(p.acceptedAt.Add(p.limits.identifyWithin)))
	if p.evicted.Load() {
		patience = p.limits.finalRead
	}
	late := time.AfterFunc(patience, func() { p.end(why) })
	defer late.Stop()
	writer.Wait()
}

// refuse gives an unidentified peer the reason, and then reads on for a moment: a close with bytes unread is a reset, and
// a reset can overtake the reason.
func (p *peer) refuse(why error) {
	linger := p.limits.linger
	if p.evicted.Load() {
		linger = p.limits.finalRead
	}
	p.conn.SetWriteDeadline(time.Now().Add(p.limits.finalRead))
	if _, err := p.conn.Write(refusal(why)); err != nil {
		return
	}
	if half, ok := p.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		p.conn.SetReadDeadline(time.Now().Add(linger))
		io.CopyN(io.Discard, p.conn, int64(p.limits.frame))
	}
}

// write sends what waits, until the connection ends or, when the reader has, the mailbox is empty. Nothing leaves before
// the module can decide, the answer to a probe among it.
func (p *peer) write() {
	select {
	case <-p.module.ready:
	case <-p.ended:
		return
	case <-p.readDone:
		if len(p.mailbox) == 0 || !p.awaitsReady {
			return
		}
		select {
		case <-p.module.ready:
		case <-p.ended:
			return
		}
	}
	for message := p.nextMessage(); message != nil; message = p.nextMessage() {
		if err := p.deliver(message); err != nil {
			p.end(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// nextMessage waits for a message; nil says that there will be none.
func (p *peer) nextMessage() []byte {
	select {
	case <-p.ended:
		return nil
	case message := <-p.mailbox:
		return message
	case <-p.readDone:
	}
	select {
	case message := <-p.mailbox:
		return message
	default:
		return nil
	}
}

// deliver writes a message. When the deadline has passed, what the connection takes all the same still counts: it may
// be we who stood still.
func (p *peer) deliver(message []byte) error {
	wait := p.limits.write
	for {
		p.conn.SetWriteDeadline(time.Now().Add(wait))
		n, err := p.conn.Write(message)
		if err == nil {
			return nil
		}
		if !errors.Is(err, errTimeout) || n == 0 && wait == p.limits.finalRead {
			return err
		}
		if message = message[n:]; wait == p.limits.finalRead {
			wait = p.limits.write
		} else {
			wait = p.limits.finalRead
		}
	}
}

// read decodes messages until the connection ends. What is no JSON object cannot be read, and a stream that goes on
// with such counts as left already; a message that merely makes no sense is skipped.
func (p *peer) read() error {
	in, parser := bufio.NewReader(p), &fastjson.Parser{}
	p.body = &bytes.Buffer{}
	for {
		most := p.limits.frame
		if p.kind == unidentified {
			most = p.limits.firstFrame
		}
		if err := readFrame(in, p.body, most); err != nil {
			if p.kind == unidentified && errors.Is(err, errTimeout) {
				return errUnidentified
			}
			return err
		}
		message, err := parser.ParseBytes(p.body.Bytes())
		if err != nil || message.Type() != fastjson.TypeObject {
			return fmt.Errorf("a message that is no JSON object: %w", errUnreadable)
		}
		p.heard.Store(p.module.clock())
		if err := p.take(message); err != nil {
			return err
		}
		if p.body.Cap() > p.limits.keptBuffer {
			p.body, parser = &bytes.Buffer{}, &fastjson.Parser{}
		}
	}
}

// becomes has an unidentified peer taken for what it says that it is, from when on it has no deadline.
func (p *peer) becomes(k kind, node, zone int) error {
	p.kind, p.node, p.zone = k, node, zone
	if err := p.identify(p); err != nil {
		p.kind = unidentified
		return err
	}
	p.conn.SetReadDeadline(time.Time{})
	return nil
}
