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

// Transport is a node on connections. Its methods may be called from any goroutine, but Run once only.
type Transport struct {
	config    Config
	bounds    Bounds
	startedAt time.Time
	mailbox   chan event    // of Bounds.Mailbox; read by Run, never closed
	ended     chan struct{} // closed by Run at its end

	bytesIn   atomic.Int64 // received
	bytesOut  atomic.Int64 // sent
	overflows atomic.Int64 // links closed as their queue was full

	// Used by Run and what it calls alone.
	node            *distribution.Node
	links           map[distribution.Link]*link
	overflowedLinks []*link // aborted in the event that is being handled; the node hears of them after it
	ctx             context.Context

	mutex     sync.Mutex         // of the three fields below
	openLinks map[*link]struct{} // those with a connection, to be aborted at the end
	closed    bool               // Run has ended; no link is added to openLinks any more
	callers   int                // accepted connections, at most Bounds.Callers

	goroutines sync.WaitGroup // dials with their readers, and writers; Run waits for them
}

// event is something for the event loop. The kind says which of the other fields are set.
type event struct {
	kind    eventKind
	link    *link                               // of all kinds but eventCall
	message distribution.Message                // of eventReceived
	run     func(now distribution.Microseconds) // of eventCall
}

type eventKind uint8

const (
	eventCall       eventKind = iota // run a function on the event loop
	eventAccepted                    // a caller's connection was accepted
	eventConnected                   // a dial has succeeded
	eventDialFailed                  // a dial has not succeeded
	eventReceived                    // a message was read
	eventClosed                      // the connection has ended
)

// New makes a transport. It does nothing before Run.
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

// now is the time in µs since the transport was made, which never goes back.
func (t *Transport) now() distribution.Microseconds { return time.Since(t.startedAt).Microseconds() }

// Run is the event loop. It returns once the context has ended and all dials and writers with it.
func (t *Transport) Run(ctx context.Context) {
	t.ctx = ctx
	defer t.goroutines.Wait()
	defer t.closeAll()
	tick := time.NewTimer(rand.N(t.bounds.Tick)) // many in one process do not all wake at once
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

// handleEvent tells the node what happened. Events of a link that is closed by now are dropped.
func (t *Transport) handleEvent(e event) {
	now := t.now()
	switch e.kind {
	case eventCall:
		e.run(now)
		return
	case eventAccepted:
		t.addCaller(e.link, now)
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

// addCaller has the node identify an accepted link, or closes the link if the node takes no more.
func (t *Transport) addCaller(l *link, now distribution.Microseconds) {
	l.id = t.node.Incoming(now)
	if l.id == 0 {
		l.close()
		return
	}
	t.links[l.id] = l
}

// reportOverflowedLinks tells the node of links that could not keep a message.
func (t *Transport) reportOverflowedLinks() {
	for len(t.overflowedLinks) > 0 { // telling the node may add to them
		overflowed := t.overflowedLinks[0]
		t.overflowedLinks = t.overflowedLinks[1:]
		if t.links[overflowed.id] == overflowed {
			delete(t.links, overflowed.id)
			t.node.Closed(overflowed.id, t.now())
		}
	}
	t.overflowedLinks = nil
}

// post gives the event loop an event; it waits while the mailbox is full. False: Run has ended.
func (t *Transport) post(e event) bool {
	select {
	case t.mailbox <- e:
		return true
	case <-t.ended:
		return false
	}
}

// closeAll aborts all connections; none is added from now on.
func (t *Transport) closeAll() {
	close(t.ended)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
	for l := range t.openLinks {
		l.abort()
	}
}

// register adds a link with a connection to those that closeAll aborts; false if that is over.
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

// adjustCallers adds to the callers, or takes away; false if there are as many as can be.
func (t *Transport) adjustCallers(change int) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.callers+change > t.bounds.Callers {
		return false
	}
	t.callers += change
	return true
}

// Accept serves the connection of a caller until it ends, and closes it. The caller may subscribe under those names
// alone that allowed permits; nil permits all.
func (t *Transport) Accept(conn net.Conn, allowed func(name string) bool) {
	defer conn.Close()
	if !t.adjustCallers(1) {
		return
	}
	defer t.adjustCallers(-1)
	l := &link{transport: t, conn: conn, allowed: allowed}
	if !t.register(l) {
		return
	}
	defer t.unregister(l)
	if t.post(event{kind: eventAccepted, link: l}) {
		l.read()
	}
}
