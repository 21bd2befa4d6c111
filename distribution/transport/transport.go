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

// Transport runs a node over connections. Its methods may be called from any goroutine; Run may be
// called only once.
type Transport struct {
	config    Config
	bounds    Bounds
	startedAt time.Time
	mailbox   chan event    // events that Run handles; capacity Bounds.Mailbox; never closed
	ended     chan struct{} // channel that Run closes when Run ends

	bytesIn   atomic.Int64 // number of bytes received on all links
	bytesOut  atomic.Int64 // number of bytes sent on all links
	overflows atomic.Int64 // number of links closed because their queue was full

	// The four fields below are accessed only on the event loop.
	node            *distribution.Node
	links           map[distribution.Link]*link
	overflowedLinks []*link // links aborted because their queue was full; Run calls the node's Closed for each
	ctx             context.Context

	mutex               sync.Mutex         // guards the three fields below
	openLinks           map[*link]struct{} // the links that have a connection; closeAll aborts them
	closed              bool               // Run has ended, and register adds no further links to openLinks
	acceptedConnections int                // number of open accepted connections; at most Bounds.AcceptedConnections

	goroutines sync.WaitGroup // a goroutine per dial, which then reads the link, and one per writer; Run waits for all
}

// event is an input of the event loop. Its kind determines which of the other fields are set.
type event struct {
	kind    eventKind
	link    *link                               // the link of the event; set for all kinds except eventCall
	message distribution.Message                // the received message; set for eventReceived
	run     func(now distribution.Microseconds) // the function to run; set for eventCall
}

type eventKind uint8

const (
	eventCall       eventKind = iota // a function is to run on the event loop
	eventAccepted                    // a connection was accepted
	eventConnected                   // a dial succeeded
	eventDialFailed                  // a dial failed
	eventReceived                    // a message from the peer was read
	eventClosed                      // the connection has ended
)

// New returns a transport. The transport starts no goroutine before Run.
func New(config Config) *Transport {
	bounds := config.Bounds.withDefaults()
	t := &Transport{
		config:    config,
		bounds:    bounds,
		startedAt: time.Now(),
		mailbox:   make(chan event, bounds.Mailbox),
		ended:     make(chan struct{}),
		links:     map[distribution.Link]*link{},
		openLinks: map[*link]struct{}{},
	}
	t.node = distribution.New(config.Node, host{t}, t.now())
	return t
}

// now returns the time in µs since New, on a monotonic clock.
func (t *Transport) now() distribution.Microseconds { return time.Since(t.startedAt).Microseconds() }

// Run is the event loop. It returns once the context has ended and all dials and writers have
// ended.
func (t *Transport) Run(ctx context.Context) {
	t.ctx = ctx
	defer t.goroutines.Wait()
	defer t.closeAll()
	// The random first interval spreads the ticks of many transports in one process.
	tick := time.NewTimer(rand.N(t.bounds.Tick))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.node.Tick(t.now())
			tick.Reset(t.bounds.Tick)
		case e := <-t.mailbox:
			t.handleEvent(e)
		}
		t.reportOverflowedLinks()
	}
}

// handleEvent passes an event to the node. Events of a link that is closed already are dropped.
func (t *Transport) handleEvent(e event) {
	now := t.now()
	switch e.kind {
	case eventCall:
		e.run(now)
		return
	case eventAccepted:
		t.addAcceptedLink(e.link, now)
		return
	}
	if t.links[e.link.id] != e.link {
		return
	}
	switch e.kind {
	case eventConnected:
		t.node.Connected(e.link.id, now)
	case eventDialFailed:
		delete(t.links, e.link.id)
		t.node.DialFailed(e.link.id, now)
	case eventReceived:
		t.node.Received(e.link.id, e.message, now)
	case eventClosed:
		delete(t.links, e.link.id)
		t.node.Closed(e.link.id, now)
	}
}

// addAcceptedLink registers an accepted link with the node, or closes the link if too many accepted
// links are without a Subscribe.
func (t *Transport) addAcceptedLink(l *link, now distribution.Microseconds) {
	l.id = t.node.Incoming(now)
	if l.id == 0 {
		l.close()
		return
	}
	t.links[l.id] = l
}

// reportOverflowedLinks calls the node's Closed for the links that were aborted because their queue
// was full.
func (t *Transport) reportOverflowedLinks() {
	// The node's method Closed can send messages, which can overflow the queues of further links.
	for len(t.overflowedLinks) > 0 {
		overflowed := t.overflowedLinks[0]
		t.overflowedLinks = t.overflowedLinks[1:]
		if t.links[overflowed.id] == overflowed {
			delete(t.links, overflowed.id)
			t.node.Closed(overflowed.id, t.now())
		}
	}
	t.overflowedLinks = nil
}

// post puts an event into the mailbox and waits while the mailbox is full. It returns false once
// Run has ended.
func (t *Transport) post(e event) bool {
	select {
	case t.mailbox <- e:
		return true
	case <-t.ended:
		return false
	}
}

// closeAll aborts all connections and prevents new ones.
func (t *Transport) closeAll() {
	close(t.ended)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
	for l := range t.openLinks {
		l.abort()
	}
}

// register adds a link with a connection to those that closeAll aborts. It returns false if
// closeAll has run already.
func (t *Transport) register(l *link) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.openLinks[l] = struct{}{}
	return true
}

func (t *Transport) unregister(l *link) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.openLinks, l)
}

// adjustAcceptedConnections adds change to the number of open accepted connections. It returns
// false, and adds nothing, if the number would exceed Bounds.AcceptedConnections.
func (t *Transport) adjustAcceptedConnections(change int) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.acceptedConnections+change > t.bounds.AcceptedConnections {
		return false
	}
	t.acceptedConnections += change
	return true
}

// Accept serves a connection that a peer has opened until the connection ends, and closes it. The
// peer may subscribe only under names that allowed permits; a nil allowed permits all names.
func (t *Transport) Accept(conn net.Conn, allowed func(name string) bool) {
	defer conn.Close()
	if !t.adjustAcceptedConnections(1) {
		return
	}
	defer t.adjustAcceptedConnections(-1)
	l := &link{transport: t, conn: conn, allowed: allowed}
	if !t.register(l) {
		return
	}
	defer t.unregister(l)
	if t.post(event{kind: eventAccepted, link: l}) {
		l.read()
	}
}
