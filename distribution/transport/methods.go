package transport

import "wheelrill/distribution"

// Accepted hands a voter the next change of the record.
func (t *Transport) Accepted(change distribution.Change) {
	t.postCall(func(now distribution.Microseconds) { t.node.Accepted(change, now) })
}

// Restored hands in a whole state: a voter's record, or what a subscriber has stored.
func (t *Transport) Restored(state distribution.State) {
	t.postCall(func(now distribution.Microseconds) { t.node.Restored(state, now) })
}

// Current says that the voter has just known its record to be led by a majority.
func (t *Transport) Current() { t.postCall(t.node.Current) }

// Status asks the node how it is, and waits for it; false once Run has ended.
func (t *Transport) Status() (status distribution.Status, ok bool) {
	ok = t.postCallAndWait(func(now distribution.Microseconds) { status = t.node.Status(now) })
	return status, ok
}

// State asks the node for all that it has, and waits for it; false once Run has ended. Nobody modifies the state.
func (t *Transport) State() (state distribution.State, ok bool) {
	ok = t.postCallAndWait(func(distribution.Microseconds) { state = t.node.State() })
	return state, ok
}

// postCall has the event loop run something; it waits for room in the mailbox alone.
func (t *Transport) postCall(run func(now distribution.Microseconds)) {
	t.post(event{kind: eventCall, run: run})
}

// postCallAndWait has the event loop run something, and waits for it; false once Run has ended.
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
