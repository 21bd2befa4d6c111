package simwire

import (
	"fmt"

	"wheelrill/balancer"
)

// The methods below implement balancer.Host. They append each action to the current reply.

// Now returns the simulated time of the current frame, in microseconds.
func (in *instance) Now() int64 { return in.server.now }

// SetTimer requests an eventTimerFired with the tag after a wait in microseconds.
func (in *instance) SetTimer(wait int64, tag uint64) {
	a := in.newAction(actionSetTimer)
	a.putF64(timerWaitAt, float64(wait)/microsecondsPerMillisecond)
	a.putU64(timerTagAt, tag)
}

// Log writes a line to the simulator's log; a line about a backend starts with the backend's id. If
// backend is -1, the line is about no backend.
func (in *instance) Log(backend int, line string) {
	if backend >= 0 {
		line = fmt.Sprintf("backend %d %s", in.backends.ids[backend], line)
	}
	in.server.reply.addText(actionLog, in.id, line)
}

// PollEndpoints requests the changes of the endpoint list from discovery, now and whenever the list
// changes.
func (in *instance) PollEndpoints() { in.newAction(actionPollEndpoints).putBool(pollFollowAt, true) }

// CheckHealth starts a health check of a backend.
func (in *instance) CheckHealth(backend int) {
	in.newAction(actionCheckHealth).putU32(checkBackendAt, in.backends.ids[backend])
}

// PublishEntry sets the weight of a backend in a table; a weight of 0 removes the entry.
func (in *instance) PublishEntry(table, backend int, weight float64) {
	a := in.newAction(actionPublishEntry)
	a.putU16(publishTableAt, uint16(table))
	a.putU32(publishBackendAt, in.backends.ids[backend])
	a.putF32(publishWeightAt, weight)
}

// AssignTable makes a proxy use a table for a set of classes (bit i is class i).
func (in *instance) AssignTable(table, proxy int, classes uint16) {
	a := in.newAction(actionAssignTable)
	a.putU16(assignTableAt, uint16(table))
	a.putU16(assignProxyAt, uint16(in.proxies.ids[proxy]))
	a.putU16(assignClassesAt, classes)
}

// Withdraw makes proxies avoid a backend, whatever entries their tables have, or allows them to use
// it again. The protocol does more than balancer.Host requires: the action reaches all connected
// proxies, not only those that may hold tables of other controllers.
func (in *instance) Withdraw(backend int, withdrawn bool) {
	a := in.newAction(actionWithdraw)
	a.putU32(withdrawBackendAt, in.backends.ids[backend])
	a.putBool(withdrawFlagAt, withdrawn)
}

// SyncWithdrawals returns false: this protocol has no action to sync withdrawals, as a withdrawal
// reaches all connected proxies.
func (in *instance) SyncWithdrawals(int, float64, balancer.RetryPolicy) bool { return false }

// ClearWithdrawals does nothing: this protocol has no action to clear withdrawals, as a proxy
// observes only the withdrawals of the instance that the proxy is connected to.
func (in *instance) ClearWithdrawals(int) {}

// HoldMessages is never called: the proxies of the simulator are not shared.
func (in *instance) HoldMessages(int) {}

// ResumeMessages is never called: the proxies of the simulator are not shared.
func (in *instance) ResumeMessages(int) {}

// SetAdmissionLimit sets how many requests of a set of classes (bit i is class i) the proxies that
// use a table admit, and the retry policy that accompanies the limit.
func (in *instance) SetAdmissionLimit(table int, classes uint16, limit float64, retry balancer.RetryPolicy) {
	a := in.newAction(actionSetAdmissionLimit)
	a.putU16(limitTableAt, uint16(table))
	a.putU16(limitClassesAt, classes)
	a.putF32(limitAt, limit)
	a[limitRetryAt] = byte(retry)
}

// RequestAck requests an ack from each proxy that the actions of this reply affect or, with
// allConnected, from each connected proxy. For each ack the simulator sends an eventAcknowledged
// that carries the number passed to RequestAck.
func (in *instance) RequestAck(number int, allConnected bool) {
	a := in.newAction(actionRequestAck)
	a.putU64(requestNumberAt, uint64(number))
	a.putBool(requestAllConnectedAt, allConnected)
}

// newAction appends an action of this instance to the reply.
func (in *instance) newAction(code actionCode) action { return in.server.reply.add(code, in.id) }
