package transport

import "wheelrill/distribution"

// Accepted passes the next change of the record to a voter's node.
func (t *Transport) Accepted(change distribution.Change) {
	t.postCall(func(now distribution.Microseconds) { t.node.Accepted(change, now) })
}

// Restored passes a whole state to the node: the record of a voter, or the state that a subscriber
// has stored.
func (t *Transport) Restored(state distribution.State) {
	t.postCall(func(now distribution.Microseconds) { t.node.Restored(state, now) })
}

// Current notes that the record of the voter has a leader backed by a majority, and that the voter
// has the whole record.
func (t *Transport) Current() { t.postCall(t.node.Current) }

// Status waits for the event loop and returns the status of the node. It returns false once Run has
// ended.
func (t *Transport) Status() (status distribution.Status, ok bool) {
	ok = t.postCallAndWait(func(now distribution.Microseconds) { status = t.node.Status(now) })
	return status, ok
}

// State waits for the event loop and returns the whole content of the node. It returns false once
// Run has ended. The state must not be modified.
func (t *Transport) State() (state distribution.State, ok bool) {
	ok = t.postCallAndWait(func(distribution.Microseconds) { state = t.node.State() })
	return state, ok
}

// postCall posts a function to be run on the event loop. It waits only while the mailbox is full.
func (t *Transport) postCall(run func(now distribution.Microseconds)) {
	t.post(event{kind: eventCall, run: run})
}

// postCallAndWait runs a function on the event loop and waits until it has returned. It returns
// false once Run has ended.
func (t *Transport) postCallAndWait(run func(now distribution.Microseconds)) bool {
	done := make(chan struct{})
	runAndSignal := func(now distribution.Microseconds) {
		run(now)
		close(done)
	}
	if !t.post(event{kind: eventCall, run: runAndSignal}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-t.ended:
		return false
	}
}
