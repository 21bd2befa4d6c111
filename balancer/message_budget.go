package balancer

import "slices"

// Message budget: a proxy may be sent PushChannel.MaxMessages messages within the message window. A
// message counts until it has left the window wherever it arrived within PushChannel.MaxLatency.
//
// Whatever is sent to a proxy must leave enough messages for required changes that are reported at
// any later time, for as long as the messages sent so far count. A required change may wait here
// until its deadline: the drain grace after it was reported, less PushChannel.MaxLatency, the time
// that the push channel takes to send it, and deadlineMargin. All required changes that are reported
// meanwhile are sent with it, so that required changes need one message in each reserve interval at
// the most. The reserve interval is the longest such wait or, if the allowed messages do not suffice
// for that, the time in which the window can always bear one more message.
//   - An overdue message, which is sent at the deadline of a required change, may use every message
//     that the limit allows.
//   - Any other message leaves one message for each reserve interval that follows. If the allowed
//     messages do not suffice for the longest wait, required changes come in shorter intervals, so a
//     required message then leaves one message more.
//   - Ordinary messages besides use half of the allowed messages at the most.
//   - A message with the first tables of a proxy is ordinary, but leaves nothing for reserve
//     intervals, since the rules need these tables themselves.
//
// If drains follow each other faster than the allowed messages can bear even so, the last of them
// are late: the rules cannot be kept then.
//
// Where controllers share their proxies, message_pace.go limits the messages instead.
//
// Inputs are PushChannel.MaxMessages, MessageWindow, MaxLatency and LinesPerSecond, and the drain
// grace (microseconds).

const (
	// deadlineMargin is how long before its deadline a required change is sent, because the timers of
	// controllers and proxies are not exact.
	deadlineMargin = second / 20
	// ordinaryMessagesDivisor divides the allowed messages into those that ordinary messages may use.
	ordinaryMessagesDivisor = 2
)

// messageUrgency states which of the allowed messages a message may use.
type messageUrgency int

const (
	ordinaryMessage messageUrgency = iota
	firstTablesMessage
	requiredMessage
	overdueMessage
)

// mayPush reports whether the limit on messages within the message window allows one more message
// to a proxy, or whether the proxy is sent a message at this clock time anyway.
func (q *pushQueue) mayPush(proxy *proxyState, now Microseconds, urgency messageUrgency) bool {
	proxy.messageTimes = slices.DeleteFunc(proxy.messageTimes, func(at Microseconds) bool {
		return at <= now-q.countingTime()
	})
	sent := len(proxy.messageTimes)
	sharesMessage := sent > 0 && proxy.messageTimes[sent-1] == now
	if q.MaxMessages == 0 || sharesMessage {
		return true
	}
	if q.pace.limits() {
		return q.pace.dueAt(proxy, urgency) <= now
	}
	switch urgency {
	case overdueMessage:
		return sent < q.MaxMessages
	case requiredMessage:
		return q.leavesReserve(proxy, now, q.spareMessages)
	case firstTablesMessage:
		return sent < q.ordinaryMessages()
	default:
		return sent < q.ordinaryMessages() && q.leavesReserve(proxy, now, 0)
	}
}

// countingTime returns the time for which a message counts towards the limit after it was sent.
func (q *pushQueue) countingTime() Microseconds { return q.MessageWindow + q.MaxLatency }

// ordinaryMessages returns how many messages ordinary messages to a proxy may use.
func (q *pushQueue) ordinaryMessages() int { return q.MaxMessages / ordinaryMessagesDivisor }

// leavesReserve reports whether a message to a proxy now leaves one message at the end of each
// reserve interval that follows while the messages sent so far count, and a number of spare messages.
func (q *pushQueue) leavesReserve(proxy *proxyState, now Microseconds, spare int) bool {
	sent := proxy.messageTimes
	intervals := 0
	for after := Microseconds(0); after < q.countingTime(); after += q.reserveInterval {
		counting := len(sent) - countUpTo(sent, now+after-q.countingTime())
		if counting+1+intervals+spare > q.MaxMessages {
			return false
		}
		intervals++
	}
	return true
}

// countUpTo returns how many of the times, which are in increasing order, are not after a time.
func countUpTo(times []Microseconds, time Microseconds) (count int) {
	for count < len(times) && times[count] <= time {
		count++
	}
	return count
}

// updateReserve computes the reserve interval from the settings and the number of connected proxies,
// and the messages that a required message leaves besides.
func (c *Controller) updateReserve() {
	queue := &c.pushQueue
	round := c.connectedCount() * (queue.messageOverhead() + 1)
	longestWait := c.rules.DrainGrace - queue.MaxLatency - queue.sendingTime(round) - deadlineMargin
	others := Microseconds(max(queue.MaxMessages-1, 1)) // messages that count beside one
	bearable := (queue.countingTime() + others - 1) / others
	queue.reserveInterval = max(longestWait, bearable, 1)
	queue.spareMessages = 0
	if longestWait < bearable {
		queue.spareMessages = 1
	}
}

// requiredUrgency returns the urgency of a message with pending required changes of the given cost.
func (c *Controller) requiredUrgency(now Microseconds, required Lines) messageUrgency {
	if c.requiredSince > 0 && now >= c.requiredDeadline(required) {
		return overdueMessage
	}
	return requiredMessage
}

// requiredDeadline returns the time at which pending required changes of the given cost must be sent
// for the drain grace to be kept.
func (c *Controller) requiredDeadline(required Lines) Microseconds {
	queue := &c.pushQueue
	sendingTime := queue.sendingTime(queue.queuedLines + required)
	return c.requiredSince + c.graceAtListing - queue.MaxLatency - sendingTime - deadlineMargin
}

// awaitRequiredDeadline sets a timer for the deadline of pending required changes, which may lie
// between two ticks.
func (c *Controller) awaitRequiredDeadline(now Microseconds, required Lines) {
	deadline := c.requiredDeadline(required)
	timerPending := c.deadlineTimerAt > now && c.deadlineTimerAt <= deadline
	if deadline <= now || deadline >= c.nextTickAt || timerPending {
		return
	}
	c.deadlineTimerAt = deadline
	c.host.SetTimer(deadline-now, c.timerTag())
}
