package controller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"

	"wheelrill/decide"
	"wheelrill/internal/start"
)

var (
	errUnreadable = errors.New("cannot be read")
	errFull       = errors.New("too many messages wait for it")
	errEnded      = errors.New("it has ended")
	errStranger   = errors.New("it never said who it is")
	errReplaced   = errors.New("a newer connection took its place")
	errSilent     = errors.New("it is silent and leaves marks unanswered")
	errRefused    = errors.New("it cannot be taken")
	errBudget     = errors.New("no socket is left for it")
	errStale      = errors.New("a newer connection came before it spoke")
)

// kind is what a connection has said that it is.
type kind uint8

const (
	stranger kind = iota
	collector
	proxy
)

func (k kind) String() string { return [...]string{"stranger", "collector", "proxy"}[k] }

// peer is one connection: a reader that decodes what comes into calls to the module, and a writer whose mailbox holds
// what waits to leave. Both end when the connection is closed.
type peer struct {
	conn   net.Conn
	limits *limits
	module *module
	log    *journal
	known  func(p *peer) error // told when it has said who it is; it may be one too many
	serial int                 // in the order in which connections came

	body   *bytes.Buffer // the message being read
	kind   kind          // set by the reader before known
	zone   int
	node   int
	probed bool

	mail  chan []byte
	ended chan struct{}
	once  sync.Once
	why   error        // set before ended is closed
	heard atomic.Int64 // module's clock when something whole last came
}

func newPeer(conn net.Conn, serial int, m *module, known func(*peer) error) *peer {
	return &peer{conn: conn, serial: serial, limits: m.limits, module: m, log: m.log, known: known, node: -1, zone: -1,
		mail: make(chan []byte, m.limits.outgoing), ended: make(chan struct{})}
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

// run plays the peer until its connection ends.
func (p *peer) run() {
	var writer sync.WaitGroup
	writer.Go(p.write)
	p.end(p.read())
	writer.Wait()
	if p.kind == proxy {
		p.module.post(func() { p.module.left(p) })
	}
}

// write sends what waits. Nothing leaves before the module can decide, the answer to a probe among it.
func (p *peer) write() {
	select {
	case <-p.module.ready:
	case <-p.ended:
		return
	}
	for {
		select {
		case <-p.ended:
			return
		case message := <-p.mail:
			p.conn.SetWriteDeadline(time.Now().Add(p.limits.write))
			if _, err := p.conn.Write(message); err != nil {
				p.end(fmt.Errorf("write: %w", err))
				return
			}
		}
	}
}

// read decodes messages until the connection ends. What is no JSON object cannot be read, and a stream that goes on
// with such counts as left already; a message that merely makes no sense is skipped.
func (p *peer) read() error {
	in, parser := bufio.NewReader(p.conn), &fastjson.Parser{}
	p.body = &bytes.Buffer{}
	for {
		most, patience := p.limits.frame, time.Time{}
		if p.kind == stranger {
			most, patience = p.limits.firstFrame, time.Now().Add(p.limits.first)
			if p.probed {
				patience = time.Now().Add(p.limits.probing)
			}
		}
		p.conn.SetReadDeadline(patience)
		if err := readFrame(in, p.body, most); err != nil {
			if p.kind == stranger && !p.probed && errors.Is(err, errTimeout) {
				return errStranger
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
	switch word := string(m.GetStringBytes("msg")); {
	case word == "probe":
		p.probed = true
		if err := p.send(alive); err != nil && p.kind == stranger {
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
	case word == "demand" && p.kind != stranger:
		p.demand(m)
	default:
		p.skip("not expected of a " + p.kind.String())
	}
	return nil
}

// skip notes a message that is passed over, with some of its text.
func (p *peer) skip(why string) {
	const shown = 160
	text := p.body.Bytes()
	p.log.seldom("skipped "+why, "event=skipped peer=%s kind=%s why=%q message=%q",
		p.conn.RemoteAddr(), p.kind, why, text[:min(len(text), shown)])
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

// eitherAt reads a figure that goes by one of two names; one that is not there is negative.
func eitherAt(m *fastjson.Value, name, other string) float64 {
	for _, key := range []string{name, other} {
		if x, ok := figureAt(m, key); ok {
			return x
		}
	}
	return -1
}

// indexAt reads a whole number below a bound.
func indexAt(m *fastjson.Value, key string, below int) (int, bool) {
	x, ok := figureAt(m, key)
	return int(x), ok && x < float64(below) && x == float64(int(x))
}

// countAt reads a count of exchanges; parts of one do not exist.
func countAt(m *fastjson.Value, key string) (int, bool) {
	const most = 1 << 31
	return indexAt(m, key, most)
}

func (p *peer) zoneAt(m *fastjson.Value) (int, bool) {
	zone, ok := p.module.zones[string(m.GetStringBytes("locality"))]
	return zone, ok
}

func (p *peer) agent(m *fastjson.Value) error {
	zone, ok := p.zoneAt(m)
	switch {
	case p.kind != stranger:
		p.skip("it has said who it is")
	case !ok:
		p.skip("unknown zone")
		return errRefused
	default:
		p.kind, p.zone = collector, zone
		return p.known(p)
	}
	return nil
}

func (p *peer) hello(m *fastjson.Value) error {
	if p.kind != stranger {
		p.skip("it has said who it is") // ending a joined proxy's stream would not count as its leaving
		return nil
	}
	node, ok := indexAt(m, "node", p.limits.nodes)
	zone, there := p.zoneAt(m)
	if !ok || !there {
		p.skip("unknown proxy or zone")
		return errRefused
	}
	usual, _ := figureAt(m, "w")
	keeps := !m.GetBool("cold") // if nothing is said it may hold something
	p.kind, p.node, p.zone = proxy, node, zone
	if err := p.known(p); err != nil {
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

// outcomes is what the proxies of a zone met at a backend.
func (p *peer) outcomes(m *fastjson.Value) {
	id := string(m.GetStringBytes("endpoint"))
	tries, ok := countAt(m, "total")
	failed, counted := countAt(m, "errors")
	mean, timed := figureAt(m, "rtt")
	failed = min(failed, tries)
	if _, there := p.zoneAt(m); !ok || !counted || !there || id == "" || !timed && failed < tries {
		p.skip("outcomes without usable figures")
		return
	}
	said := m.Get("metrics")
	load := decide.Load{Busy: eitherAt(said, "util", "cpu"), Waiting: eitherAt(said, "queue", "waiting"),
		Service: 1000 * eitherAt(said, "latency_ms", "avg_ms")}
	p.module.report(func() { p.module.met(id, tries, failed, start.Micros(mean), load) })
}

// demand is what came to a proxy; it may come over the proxy's stream or any collector.
func (p *peer) demand(m *fastjson.Value) {
	node, ok := indexAt(m, "node", p.limits.nodes)
	class, there := p.module.classes[string(m.GetStringBytes("route"))]
	count, counted := countAt(m, "total")
	span, timed := figureAt(m, "interval")
	if !ok || !there || !counted || !timed || p.kind == proxy && node != p.node {
		p.skip("demand without usable figures")
		return
	}
	p.module.report(func() { p.module.came(node, class, count, start.Micros(span)) })
}
