package transport

import "wheelrill/distribution"

// Traffic is what passed over all links: bytes of the messages with their lengths, and links closed because their peer
// did not read.
type Traffic struct{ In, Out, Overflows int64 }

// Traffic gives the totals since the start.
func (c *Transport) Traffic() Traffic {
	return Traffic{c.bytesIn.Load(), c.bytesOut.Load(), c.overflows.Load()}
}

// call has the actor do something; it does not wait for it.
func (c *Transport) call(what func(now int64)) { c.post(event{kind: called, call: what}) }

// Accepted hands a voter the next change of the record.
func (c *Transport) Accepted(change distribution.Change) {
	c.call(func(now int64) { c.node.Accepted(change, now) })
}

// Restored hands in a whole state: a voter's record, or what a subscriber has kept.
func (c *Transport) Restored(state distribution.State) {
	c.call(func(now int64) { c.node.Restored(state, now) })
}

// Current says that the voter has just known its record to be led by a majority.
func (c *Transport) Current() { c.call(c.current) }

func (c *Transport) current(now int64) { c.node.Current(now) }

// Resubscribe changes the scopes of a subscriber.
func (c *Transport) Resubscribe(scopes distribution.Scopes) {
	c.call(func(now int64) { c.node.Resubscribe(scopes, now) })
}

// Status asks the node how it is; false once the transport has ended.
func (c *Transport) Status() (status distribution.Status, ok bool) {
	ok = c.ask(func(now int64) { status = c.node.Status(now) })
	return status, ok
}

// State asks the node for all that it has; false once the transport has ended.
func (c *Transport) State() (state distribution.State, ok bool) {
	ok = c.ask(func(int64) { state = c.node.State() })
	return state, ok
}

// ask has the actor do something, and waits for it.
func (c *Transport) ask(what func(now int64)) bool {
	done := make(chan struct{})
	if !c.post(event{kind: called, call: func(now int64) { what(now); close(done) }}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-c.ended:
		return false
	}
}
