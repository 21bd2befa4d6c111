package transport

import (
	"context"
	"math/rand/v2"

	"wheelrill/distribution"
)

// host implements distribution.Host for the node. The node calls it on the event loop.
type host struct{ *Transport }

// Dial implements distribution.Host.
func (h host) Dial(peer string, id distribution.Link) {
	t := h.Transport
	ctx, cancel := context.WithTimeout(t.ctx, t.bounds.DialTimeout)
	l := &link{transport: t, id: id, cancel: cancel}
	t.links[id] = l
	t.goroutines.Go(func() { t.dial(ctx, peer, l) })
}

// dial connects a link and reads messages from it until its connection ends.
func (t *Transport) dial(ctx context.Context, peer string, l *link) {
	conn, err := t.config.Dial(ctx, peer)
	l.cancel()
	if err != nil {
		t.post(event{kind: eventDialFailed, link: l})
		return
	}
	defer conn.Close()
	if !l.attach(conn) || !t.register(l) {
		return
	}
	defer t.unregister(l)
	if t.post(event{kind: eventConnected, link: l}) {
		l.read()
	}
}

// Send implements distribution.Host.
func (h host) Send(id distribution.Link, m distribution.Message) {
	l := h.links[id]
	if l == nil || l.send(m) {
		return
	}
	h.overflows.Add(1)
	l.abort()
	h.overflowedLinks = append(h.overflowedLinks, l)
}

// Close implements distribution.Host.
func (h host) Close(id distribution.Link, _ distribution.CloseReason) {
	if l := h.links[id]; l != nil {
		delete(h.links, id)
		l.close()
	}
}

// Apply implements distribution.Host.
func (h host) Apply(change distribution.Change, complete bool) {
	if h.config.Apply != nil {
		h.config.Apply(change, complete)
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
