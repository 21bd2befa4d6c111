package simwire

import (
	"fmt"

	"wheelrill/balancer"
)

// The methods of balancer.Host: each appends one action to the reply in hand.

// Now is the simulated time of the frame in hand, in µs.
func (in *instance) Now() int64 { return in.server.now }

// SetTimer asks for eventTimerFired with the tag once the wait, in µs, is over.
func (in *instance) SetTimer(wait int64, tag uint64) {
	a := in.act(actionSetTimer)
	a.putF64(timerWaitAt, float64(wait)/microsecondsPerMillisecond)
	a.putU64(timerTagAt, tag)
}

// Log writes a line to the simulator's log, about a backend, or about none if it is negative.
func (in *instance) Log(backend int, line string) {
	if backend >= 0 {
		line = fmt.Sprintf("backend %d %s", in.backends.ids[backend], line)
	}
	in.server.reply.addText(actionLog, in.id, line)
}

// PollEndpoints asks discovery for what changed, and for changes from now on.
func (in *instance) PollEndpoints() { in.act(actionPollEndpoints).putBool(pollFollowAt, true) }

// CheckHealth starts a health check of a backend.
func (in *instance) CheckHealth(backend int) {
	in.act(actionCheckHealth).putU32(checkBackendAt, in.backends.ids[backend])
}

// PublishEntry sets a backend's weight in a table; a weight of 0 removes the entry.
func (in *instance) PublishEntry(table, backend int, weight float64) {
	a := in.act(actionPublishEntry)
	a.putU16(publishTableAt, uint16(table))
	a.putU32(publishBackendAt, in.backends.ids[backend])
	a.putF32(publishWeightAt, weight)
}

// AssignTable gives a proxy a table for some classes, a bit for each.
func (in *instance) AssignTable(table, proxy int, classes uint16) {
	a := in.act(actionAssignTable)
	a.putU16(assignTableAt, uint16(table))
	a.putU16(assignProxyAt, uint16(in.proxies.ids[proxy]))
	a.putU16(assignClassesAt, classes)
}

// Withdraw has proxies use a backend no more, whatever their tables hold, or use it again. The wire reaches further than
// balancer.Host asks: it tells all connected proxies, not only those that may hold tables of other controllers.
func (in *instance) Withdraw(backend int, withdrawn bool) {
	a := in.act(actionWithdraw)
	a.putU32(withdrawBackendAt, in.backends.ids[backend])
	a.putBool(withdrawFlagAt, withdrawn)
}

// SyncWithdrawals has no action on this wire: a withdrawal reaches all connected proxies.
func (in *instance) SyncWithdrawals(int, float64, balancer.RetryPolicy) bool { return false }

// ClearWithdrawals has none either: a proxy observes the withdrawals of its instance alone.
func (in *instance) ClearWithdrawals(int) {}

// SetAdmissionLimit sets how much of some classes the proxies of a table admit, and when they retry.
func (in *instance) SetAdmissionLimit(table int, classes uint16, limit float64, retry balancer.RetryPolicy) {
	a := in.act(actionSetAdmissionLimit)
	a.putU16(limitTableAt, uint16(table))
	a.putU16(limitClassesAt, classes)
	a.putF32(limitAt, limit)
	a[limitRetryAt] = byte(retry)
}

// RequestAck has the proxies that this reply reaches acknowledge a number, or all connected ones.
func (in *instance) RequestAck(number int, everyone bool) {
	a := in.act(actionRequestAck)
	a.putU64(requestNumberAt, uint64(number))
	a.putBool(requestEveryoneAt, everyone)
}

// act appends an action of this instance.
func (in *instance) act(code actionCode) action { return in.server.reply.add(code, in.id) }
