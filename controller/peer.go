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

	"wheelrill/decide"
	"wheelrill/internal/start"
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

// sort is the error at the bottom of one: a few different ones, however often a client thinks of new numbers.
func sort(err error) string {
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

	mail  chan []byte
	last  chan struct{} // closed when the reader has ended: what waits in the mailbox is all that is still owed
	waits bool          // and may wait for readiness; set before last is closed
	ended chan struct{}
	once  sync.Once
	why   error        // set before ended is closed
	heard atomic.Int64 // module's clock when something whole last came
}

func newPeer(conn net.Conn, serial int, m *module, identify func(*peer) error) *peer {
	p := &peer{conn: conn, serial: serial, limits: m.limits, module: m, log: m.log, identify: identify, node: -1, zone: -1,
		acceptedAt: time.Now(), mail: make(chan []byte, m.limits.outgoing), last: make(chan struct{}),
		ended: make(chan struct{})}
	conn.SetReadDeadline(p.acceptedAt.Add(m.limits.identifyWithin)) // the one deadline until it has said who it is
	return p
}

// evict has an unidentified peer judged by what has arrived of it.
func (p *peer) evict() {
	p.evicted.Store(true)
	p.conn.SetReadDeadline(p.acceptedAt)
	select {
	case <-p.last: // nobody reads any more, and an answer may wait for readiness
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
	case p.mail <- message:
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
		p.settle(&writer, err, asked && p.kind != proxy)
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

// settle lets the writer send what waits in the mailbox, for as long as an unidentified peer has at most.
func (p *peer) settle(writer *sync.WaitGroup, why error, waits bool) {
	p.waits = waits
	close(p.last)
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
	case <-p.last:
		if len(p.mail) == 0 || !p.waits {
			return
		}
		select {
		case <-p.module.ready:
		case <-p.ended:
			return
		}
	}
	for message := p.next(); message != nil; message = p.next() {
		if err := p.deliver(message); err != nil {
			p.end(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// next waits for a message; nil says that there will be none.
func (p *peer) next() []byte {
	select {
	case <-p.ended:
		return nil
	case message := <-p.mail:
		return message
	case <-p.last:
	}
	select {
	case message := <-p.mail:
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

func (p *peer) take(m *fastjson.Value) error {
	if key := twice(m); key != "" { // which of the two counts is anybody's guess
		if p.skip("a key stands there twice"); p.kind == unidentified {
			return errRefused
		}
		return nil
	}
	switch word := string(m.GetStringBytes("msg")); {
	case word == "probe":
		if err := p.send(alive); err != nil && p.kind == unidentified {
			return err
		}
	case word == "hello":
		return p.hello(m)
	case word == "agent":
		return p.agent(m)
	case word == "ack" && p.kind == proxy:
		p.ack(m)
	case word == "outcomes" && p.kind == collector:
		p.outcomes(m)
	case word == "demand" && p.kind != unidentified:
		p.demand(m)
	case p.kind == unidentified:
		p.skip("not expected of a stranger")
		return errEarly
	default:
		p.skip("not expected of a " + p.kind.String())
	}
	return nil
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

// skip notes a message that is passed over, with some of its text.
func (p *peer) skip(why string) {
	const shown = 160
	text := p.body.Bytes()
	p.log.seldom("skipped "+why, "skipped", "peer", p.conn.RemoteAddr(), "kind", p.kind, "why", why,
		"message", string(text[:min(len(text), shown)]))
}

// figureAt reads a figure; one that is missing, not a number, without end or below 0 is not usable.
func figureAt(m *fastjson.Value, key string) (float64, bool) {
	v := m.Get(key)
	if v == nil {
		return 0, false
	}
	x, err := v.Float64()
	if err != nil {
		return 0, false
	}
	return x, x >= 0 && start.Sane(x) == x
}

// eitherAt reads a figure that goes by one of two names; one that is not there is negative. One that is there and not
// usable, or above the most, spoils what it stands in.
func eitherAt(m *fastjson.Value, name, other string, most float64, spoilt *bool) float64 {
	for _, key := range []string{name, other} {
		if x, ok := figureAt(m, key); ok && x <= most {
			return x
		} else if m.Exists(key) {
			*spoilt = true
		}
	}
	return -1
}

// indexAt reads a whole number below a bound.
func indexAt(m *fastjson.Value, key string, below int) (int, bool) {
	x, ok := figureAt(m, key)
	return int(x), ok && x < float64(below) && x == float64(int(x))
}

// spanAt reads the time that a report covers, in seconds; no time at all, or too long a one, is not usable.
func (p *peer) spanAt(m *fastjson.Value) (int64, float64, bool) {
	x, ok := figureAt(m, "interval")
	span := start.Micros(x)
	return span, float64(span) / second, ok && span > 0 && span <= p.limits.span
}

// countAt reads a count of requests, of which so many can come in a second; parts of one do not exist.
func countAt(m *fastjson.Value, key string, perS, seconds float64) (int, bool) {
	return indexAt(m, key, int(perS*max(seconds, 1))+1)
}

// twice gives a key that stands in an object twice, or in an object within it.
func twice(v *fastjson.Value) (path string) {
	switch v.Type() {
	case fastjson.TypeArray:
		for _, item := range v.GetArray() {
			if path = twice(item); path != "" {
				return path
			}
		}
	case fastjson.TypeObject:
		seen := make(map[string]bool, v.GetObject().Len()) // a message may hold a hundred thousand keys
		v.GetObject().Visit(func(key []byte, item *fastjson.Value) {
			if path != "" {
				return
			}
			if name := string(key); seen[name] {
				path = name
			} else if inner := twice(item); inner != "" {
				path = name + "." + inner
			}
			seen[string(key)] = true
		})
	}
	return path
}

func (p *peer) zoneAt(m *fastjson.Value) (int, bool) {
	zone, ok := p.module.zones[string(m.GetStringBytes("locality"))]
	return zone, ok
}

func (p *peer) agent(m *fastjson.Value) error {
	zone, ok := p.zoneAt(m)
	switch {
	case p.kind != unidentified:
		p.skip("it has said who it is")
	case !ok:
		p.skip("unknown zone")
		return errRefused
	default:
		return p.becomes(collector, -1, zone)
	}
	return nil
}

func (p *peer) hello(m *fastjson.Value) error {
	if p.kind != unidentified {
		p.skip("it has said who it is") // ending a joined proxy's stream would not count as its leaving
		return nil
	}
	node, ok := indexAt(m, "node", p.limits.nodes)
	zone, there := p.zoneAt(m)
	if !ok || !there {
		p.skip("unknown proxy or zone")
		return errRefused
	}
	usual, ok := figureAt(m, "w")
	if !ok || usual > p.limits.proxyRate {
		usual = 0 // not known: it is served all the same
	}
	keeps := !m.GetBool("cold") // if nothing is said it may hold something
	p.fenced = m.GetBool("fence")
	if err := p.becomes(proxy, node, zone); err != nil {
		return err
	}
	p.module.post(func() { p.module.joined(p, usual, keeps) })
	return nil
}

func (p *peer) ack(m *fastjson.Value) {
	mark, ok := indexAt(m, "nonce", 1<<16)
	if node, same := indexAt(m, "node", p.limits.nodes); !ok || same && node != p.node {
		p.skip("no usable mark")
		return
	}
	p.module.post(func() { p.module.applied(p, mark) })
}

// outcomes is what the proxies of a zone met at a backend. A report is used whole or not at all. Fields that nobody
// reads are not looked at, but for those that show whether the others can be right: its zone and its time.
func (p *peer) outcomes(m *fastjson.Value) {
	span, seconds, timed := p.spanAt(m)
	id := string(m.GetStringBytes("endpoint"))
	tries, ok := countAt(m, "total", p.limits.fleetRate, seconds)
	failed, counted := countAt(m, "errors", p.limits.fleetRate, seconds)
	rtt, answered := figureAt(m, "rtt")
	mean := start.Micros(rtt)
	said, spoilt := m.Get("metrics"), false
	if said != nil && said.Type() != fastjson.TypeObject {
		spoilt = true
	}
	load := decide.Load{Busy: eitherAt(said, "util", "cpu", p.limits.busy, &spoilt),
		Waiting: eitherAt(said, "queue", "waiting", p.limits.queue, &spoilt),
		Service: 1000 * eitherAt(said, "latency_ms", "avg_ms", float64(p.limits.answer)/1000, &spoilt)}
	if _, there := p.zoneAt(m); !ok || !counted || !there || !timed || id == "" || spoilt || failed > tries ||
		failed < tries && (!answered || mean > p.limits.answer) {
		p.skip("outcomes without usable figures")
		return
	}
	p.module.report(func() { p.module.met(id, tries, failed, mean, span, load) })
}

// demand is what came to a proxy; it may come over the proxy's stream or any collector.
func (p *peer) demand(m *fastjson.Value) {
	node, ok := indexAt(m, "node", p.limits.nodes)
	class, there := p.module.classes[string(m.GetStringBytes("route"))]
	span, seconds, timed := p.spanAt(m)
	count, counted := countAt(m, "total", p.limits.proxyRate, seconds)
	if !ok || !there || !counted || !timed || p.kind == proxy && node != p.node {
		p.skip("demand without usable figures")
		return
	}
	p.module.report(func() { p.module.came(node, class, count, span) })
}
