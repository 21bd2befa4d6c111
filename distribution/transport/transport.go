// Package transport carries the distribution of configuration over connections: it runs a distribution.Node as an
// actor, brings it what peers send, and sends them what it says. Who is whose parent, what each receives and what is
// refused the node decides; here nothing is decided.
package transport

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wheelrill/distribution"
)

// Config is what a transport is started with. Callbacks come from the actor's goroutine: they must not wait, nor call the
// transport.
type Config struct {
	Node distribution.Config
	// Dial connects to a peer by its name, with all that has to be said before the first message.
	Dial func(ctx context.Context, peer string) (net.Conn, error)
	// Apply is told each change, in order; if whole, the entries are all that there is.
	Apply func(change distribution.Change, whole bool)
	// Log is told events; nil for nobody.
	Log func(event distribution.Event)
	// Bounds; what is 0 has its default.
	Bounds Bounds
}

// Bounds are the sizes, counts and times of a transport.
type Bounds struct {
	Tick         time.Duration // between two looks at the time
	DialTimeout  time.Duration
	WriteTimeout time.Duration // for what is queued for a peer to leave
	CloseTimeout time.Duration // the same, once the link is to be closed
	Mailbox      int           // events that wait for the actor; readers wait beyond
	QueueCount   int           // messages that wait for a peer; beyond, its link is closed
	QueueBytes   int           // bytes of them, by the messages' estimates
	MessageBytes int           // of one message that a peer sends
	Incoming     int           // connections of callers; the next is closed at once
}

// Defaults of the bounds.
const (
	DefaultTick         = 100 * time.Millisecond
	DefaultDialTimeout  = 2 * time.Second
	DefaultWriteTimeout = 5 * time.Second
	DefaultCloseTimeout = 500 * time.Millisecond
	DefaultMailbox      = 64
	DefaultQueueCount   = 256
	DefaultQueueBytes   = 512 << 10
	DefaultMessageBytes = 4 << 20
	DefaultIncoming     = 1024
)

func (b Bounds) withDefaults() Bounds {
	defaults := Bounds{DefaultTick, DefaultDialTimeout, DefaultWriteTimeout, DefaultCloseTimeout, DefaultMailbox,
		DefaultQueueCount, DefaultQueueBytes, DefaultMessageBytes, DefaultIncoming}
	return Bounds{
		Tick:         given(b.Tick, defaults.Tick),
		DialTimeout:  given(b.DialTimeout, defaults.DialTimeout),
		WriteTimeout: given(b.WriteTimeout, defaults.WriteTimeout),
		CloseTimeout: given(b.CloseTimeout, defaults.CloseTimeout),
		Mailbox:      given(b.Mailbox, defaults.Mailbox),
		QueueCount:   given(b.QueueCount, defaults.QueueCount),
		QueueBytes:   given(b.QueueBytes, defaults.QueueBytes),
		MessageBytes: given(b.MessageBytes, defaults.MessageBytes),
		Incoming:     given(b.Incoming, defaults.Incoming),
	}
}

func given[T int | time.Duration](value, absent T) T {
	if value > 0 {
		return value
	}
	return absent
}

// Transport is a node on connections. Its methods may be called from any goroutine.
type Transport struct {
	config    Config
	bounds    Bounds
	began     time.Time
	mail      chan event
	ended     chan struct{}
	bytesIn   atomic.Int64 // bytes received
	bytesOut  atomic.Int64 // bytes sent
	overflows atomic.Int64 // links closed as their queue was full

	// The actor's alone.
	node   *distribution.Node
	links  map[distribution.Link]*link
	broken []*link // that could not keep a message of this turn
	ctx    context.Context

	mutex    sync.Mutex
	open     map[*link]struct{} // links with a connection, for the end
	over     bool
	incoming int
	running  sync.WaitGroup // dials and writers
}

// event is something for the actor.
type event struct {
	kind    eventKind
	link    *link
	message distribution.Message
	call    func(now int64)
}

type eventKind uint8

const (
	called eventKind = iota
	accepted
	connected
	dialFailed
	received
	closed
)

// New makes a transport. It does nothing before Run.
func New(config Config) *Transport {
	bounds := config.Bounds.withDefaults()
	c := &Transport{config: config, bounds: bounds, began: time.Now(), mail: make(chan event, bounds.Mailbox),
		ended: make(chan struct{}), links: map[distribution.Link]*link{}, open: map[*link]struct{}{}}
	c.node = distribution.New(config.Node, host{c}, c.now())
	return c
}

// now is the time since the transport was made, which never goes back.
func (c *Transport) now() int64 { return time.Since(c.began).Microseconds() }

// Run is the actor. It returns once the context has ended and all dials and writers with it.
func (c *Transport) Run(ctx context.Context) {
	c.ctx = ctx
	defer c.running.Wait()
	defer c.end()
	tick := time.NewTimer(rand.N(c.bounds.Tick)) // many in one process do not all wake at once
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.node.Tick(c.now())
			tick.Reset(c.bounds.Tick)
		case e := <-c.mail:
			c.take(e)
		}
		c.dropBroken()
	}
}

// take hands the node what happened. What comes of a link that is closed by now is left aside.
func (c *Transport) take(e event) {
	now := c.now()
	switch e.kind {
	case called:
		e.call(now)
		return
	case accepted:
		if e.link.id = c.node.Incoming(now); e.link.id == 0 {
			e.link.close()
			return
		}
		c.links[e.link.id] = e.link
		return
	}
	if c.links[e.link.id] != e.link {
		return
	}
	switch e.kind {
	case connected:
		c.node.Connected(e.link.id, now)
	case dialFailed:
		delete(c.links, e.link.id)
		c.node.DialFailed(e.link.id, now)
	case received:
		c.node.Received(e.link.id, e.message, now)
	case closed:
		delete(c.links, e.link.id)
		c.node.Closed(e.link.id, now)
	}
}

// dropBroken tells the node of links that could not keep a message.
func (c *Transport) dropBroken() {
	for len(c.broken) > 0 {
		l := c.broken[0]
		c.broken = c.broken[1:]
		if c.links[l.id] == l {
			delete(c.links, l.id)
			c.node.Closed(l.id, c.now())
		}
	}
	c.broken = nil
}

// post gives the actor an event; it waits while the mailbox is full. False: the transport has ended.
func (c *Transport) post(e event) bool {
	select {
	case c.mail <- e:
		return true
	case <-c.ended:
		return false
	}
}

// end closes all connections; none is taken from now on.
func (c *Transport) end() {
	close(c.ended)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.over = true
	for l := range c.open {
		l.abort()
	}
}

// register keeps a link with a connection for the end; false if that has come.
func (c *Transport) register(l *link) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.over {
		return false
	}
	c.open[l] = struct{}{}
	return true
}

func (c *Transport) unregister(l *link) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, l)
}

// admit counts a caller; false if there are as many as can be.
func (c *Transport) admit(change int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.incoming+change > c.bounds.Incoming {
		return false
	}
	c.incoming += change
	return true
}

// Accept serves the connection of a caller until it ends, and closes it. The caller may subscribe under those names
// alone that allowed permits; nil permits all.
func (c *Transport) Accept(conn net.Conn, allowed func(name string) bool) {
	defer conn.Close()
	if !c.admit(1) {
		return
	}
	defer c.admit(-1)
	l := &link{transport: c, conn: conn, allowed: allowed}
	if !c.register(l) {
		return
	}
	defer c.unregister(l)
	if c.post(event{kind: accepted, link: l}) {
		l.read()
	}
}

// host acts for the node, within the actor's turn.
type host struct{ *Transport }

// Dial implements distribution.Host.
func (h host) Dial(peer string, id distribution.Link) {
	c := h.Transport
	ctx, cancel := context.WithTimeout(c.ctx, c.bounds.DialTimeout)
	l := &link{transport: c, id: id, cancel: cancel}
	c.links[id] = l
	c.running.Go(func() {
		conn, err := c.config.Dial(ctx, peer)
		cancel()
		if err != nil {
			c.post(event{kind: dialFailed, link: l})
			return
		}
		defer conn.Close()
		if !l.attach(conn) || !c.register(l) {
			return
		}
		defer c.unregister(l)
		if c.post(event{kind: connected, link: l}) {
			l.read()
		}
	})
}

// Send implements distribution.Host.
func (h host) Send(id distribution.Link, m distribution.Message) {
	l := h.links[id]
	if l == nil || l.send(m) {
		return
	}
	h.overflows.Add(1)
	l.abort()
	h.broken = append(h.broken, l)
}

// Close implements distribution.Host.
func (h host) Close(id distribution.Link, _ distribution.CloseReason) {
	if l := h.links[id]; l != nil {
		delete(h.links, id)
		l.close()
	}
}

// Apply implements distribution.Host.
func (h host) Apply(change distribution.Change, whole bool) {
	if h.config.Apply != nil {
		h.config.Apply(change, whole)
	}
}

// Log implements distribution.Host.
func (h host) Log(event distribution.Event) {
	if h.config.Log != nil {
		h.config.Log(event)
	}
}

// Random implements distribution.Host.
func (h host) Random() uint64 { return rand.Uint64() }
