package balancer

import "slices"

// Delay of rounds: a round of changes that is due (publish.go) starts only if
//   - enough time has passed since any change of an earlier clock time was sent to several proxies,
//     if the settings limit messages. The time that has to pass is the drain grace that was left
//     when the drain was listed (computeGraceAtListing), less PushChannel.MaxLatency and a tick,
//     divided by publicationsPerGrace. If the message window divided by PushChannel.MaxMessages is
//     shorter, that quotient is the time that has to pass;
//   - no more than nearlyEmptyShare of the push queue's capacity is queued, or all required changes
//     fit into the rest of the capacity;
//   - each proxy with assigned tables may be sent one more message (message_budget.go).
//
// With a message pace (message_pace.go) the first and the last condition do not apply: a proxy that
// may be sent no message does not hold up the others.

// publicationsPerGrace is the number of rounds of required changes that fit into the drain grace.
const publicationsPerGrace = 2

// roundDelay is the reason for which no round of changes may start yet.
type roundDelay string

const (
	notDelayed        roundDelay = ""
	delayedBySpacing  roundDelay = "the last round was sent too recently"
	delayedByQueue    roundDelay = "the push queue has no capacity"
	delayedByReserve  roundDelay = "the messages left for a proxy are kept for later required changes"
	delayedByMessages roundDelay = "a proxy may be sent no more messages within the message window"
)

// noteRequired notes from which time on required changes have been pending. A short subset does not
// count: it may stay short for long, while no backend can be moved to it.
func (c *Controller) noteRequired(plan *publication) {
	switch {
	case !plan.awaited:
		c.requiredSince, c.loggedDelay = 0, notDelayed
	case c.requiredSince == 0:
		c.requiredSince = plan.now
	}
}

// logRequiredChanges logs why required changes wait, unless they wait for the spacing of rounds or for
// their deadline, and how long they have waited if the round that sends them starts too late for the
// drain grace.
func (c *Controller) logRequiredChanges(plan *publication, delay roundDelay) {
	if c.requiredSince == 0 {
		return
	}
	waited := float64(plan.now-c.requiredSince) / float64(second)
	allowed := float64(c.graceAtListing-c.pushQueue.MaxLatency) / float64(second)
	switch {
	case delay == notDelayed && waited > max(allowed, 0):
		c.logf(-1, "required changes sent after %.2f s, %.2f s allowed", waited, allowed)
	case (delay == delayedByQueue || delay == delayedByMessages) && delay != c.loggedDelay:
		c.logf(-1, "required changes wait: %s", delay)
		c.loggedDelay = delay
	}
}

// mayPublish reports whether a round of changes may start now, with the given cost of required
// changes.
func (c *Controller) mayPublish(now Microseconds, required Lines) bool {
	return c.roundDelay(now, required) == notDelayed
}

// roundDelay returns the reason for which a round of changes with the given cost of required changes
// may not start now, by the conditions above.
func (c *Controller) roundDelay(now Microseconds, required Lines) roundDelay {
	queue := &c.pushQueue
	interval := min((c.graceAtListing-queue.MaxLatency-tickInterval)/publicationsPerGrace,
		queue.MessageWindow/int64(max(queue.MaxMessages, 1)))
	limitsRounds := queue.MaxMessages > 0 && !queue.pace.limits()
	tooSoon := limitsRounds && now > c.changedAt && now-c.changedAt < interval
	fits := required > 0 && queue.queuedLines+required <= queue.capacity()
	urgency := ordinaryMessage
	if required > 0 {
		urgency = c.requiredUrgency(now, required)
	}
	mayNotPush := func(urgency messageUrgency) func(*proxyState) bool {
		return func(proxy *proxyState) bool { return proxy.tablesAssigned && !queue.mayPush(proxy, now, urgency) }
	}
	switch {
	case tooSoon:
		return delayedBySpacing
	case !queue.nearlyEmpty() && !fits:
		return delayedByQueue
	case !limitsRounds:
		return notDelayed
	case slices.ContainsFunc(c.proxies, mayNotPush(overdueMessage)):
		return delayedByMessages
	case slices.ContainsFunc(c.proxies, mayNotPush(urgency)):
		return delayedByReserve
	default:
		return notDelayed
	}
}
