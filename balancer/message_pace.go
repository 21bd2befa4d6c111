package balancer

// Message pace: where controllers share their proxies (PushChannel.SharedProxies), a proxy may be
// sent PushChannel.MaxMessages messages within the message window by all of them together. A proxy
// is connected to one controller at a time, but the next controller may know nothing of what the
// last one sent. So each controller keeps to a pace that is safe whatever others have sent:
//
//   - Each connection of a proxy has a token bucket, and each message takes one token. The bucket
//     holds messagePace.burst tokens and gains one each messagePace.interval. It is empty at the
//     time up to which others may have sent messages (PeersMaySendUntil).
//   - The interval is the counting time of a message (pushQueue.countingTime) divided by MaxMessages
//     less the tokens of a full bucket beyond the first. The messages of all connections within any
//     counting time therefore stay within MaxMessages, however often the proxy moves.
//   - The burst is 1 if the interval then is no longer than a required change may wait, which is the
//     drain grace less PushChannel.MaxLatency: the rules are kept at any pace of changes.
//     Otherwise no pace keeps them at all times, and the burst is 1/burstDivisor of MaxMessages.
//   - Ordinary changes leave one token for required changes where the bucket holds more than one.
//   - A message that the host holds back counts from its release (MessageReleased), and no other
//     message is sent to the proxy before that. So the messages that a host releases at once are one
//     for each proxy at the most.
//
// A round of changes does not wait for a proxy that may be sent no message. The proxy is held: the
// host collects all changes for it, and it gets them in one message as soon as the pace permits. A
// proxy that connects is held until its first message.
//
// Inputs are PushChannel.MaxMessages, MessageWindow and MaxLatency, and the drain grace
// (microseconds).

const (
	// burstDivisor determines the burst where the pace cannot keep the drain grace at all times.
	burstDivisor = 2
	// ordinaryTokens is the number of tokens that have to be in a bucket for an ordinary message, if
	// the bucket can hold as many.
	ordinaryTokens = 2
)

// messagePace is the pace of the messages to each proxy. Its zero value permits any pace.
type messagePace struct {
	interval Microseconds // time in which a bucket gains a token
	burst    int          // number of tokens in a full bucket
}

// newMessagePace returns the pace that the settings ask for: none, unless proxies are shared and
// messages are limited.
func newMessagePace(channel PushChannel, grace Microseconds) messagePace {
	if !channel.SharedProxies || channel.MaxMessages == 0 {
		return messagePace{}
	}
	counting := channel.MessageWindow + channel.MaxLatency
	pace := messagePace{interval: divideUp(counting, channel.MaxMessages), burst: 1}
	if !pace.keepsGrace(channel, grace) {
		pace.burst = max(1, channel.MaxMessages/burstDivisor)
		pace.interval = divideUp(counting, channel.MaxMessages-pace.burst+1)
	}
	return pace
}

// divideUp returns a time divided by a number, rounded up.
func divideUp(time Microseconds, parts int) Microseconds {
	return (time + int64(parts) - 1) / int64(parts)
}

// limits reports whether there is a pace to keep.
func (p messagePace) limits() bool { return p.interval > 0 }

// keepsGrace reports whether a required change that waits for the pace still reaches proxies within
// the drain grace.
func (p messagePace) keepsGrace(channel PushChannel, grace Microseconds) bool {
	return p.interval <= grace-channel.MaxLatency
}

// MessagePace returns the time after which a further message may be sent to a proxy, the number of
// messages that may be sent without this time between them, and whether a drain that waits for the
// pace is still in time. The interval is 0 if there is no pace.
func (c *Controller) MessagePace() (interval Microseconds, burst int, keepsGrace bool) {
	pace := c.pushQueue.pace
	return pace.interval, pace.burst, pace.keepsGrace(c.pushQueue.PushChannel, c.rules.DrainGrace)
}

// tokensFor returns the number of tokens that have to be in the bucket for a message.
func (p messagePace) tokensFor(urgency messageUrgency) int {
	if urgency == ordinaryMessage {
		return min(p.burst, ordinaryTokens)
	}
	return 1
}

// emptyBucket returns the time at which a bucket that is empty at the given time is full.
func (p messagePace) emptyBucket(at Microseconds) Microseconds {
	return at + Microseconds(p.burst)*p.interval
}

// dueAt returns the time from which the pace permits a message of an urgency to a proxy. It is
// never while the host holds a message to the proxy back.
func (p messagePace) dueAt(proxy *proxyState, urgency messageUrgency) Microseconds {
	if proxy.unreleasedMessages > 0 {
		return never
	}
	return proxy.bucketFullAt - Microseconds(p.burst-p.tokensFor(urgency))*p.interval
}

// take takes a token for a message that is sent at the given time.
func (p messagePace) take(proxy *proxyState, at Microseconds) {
	proxy.bucketFullAt = max(proxy.bucketFullAt, at) + p.interval
}

// release counts a message that was held back as sent at the given time.
func (p messagePace) release(proxy *proxyState, at Microseconds) {
	proxy.unreleasedMessages = max(0, proxy.unreleasedMessages-1)
	proxy.bucketFullAt = max(proxy.bucketFullAt, at+p.interval)
}

// PeersMaySendUntil handles the time up to which other controllers may have sent messages to a
// proxy that connects next, which is the time at which the proxy left them. Without this call, they
// may have sent messages up to the call of ProxyConnected.
func (c *Controller) PeersMaySendUntil(id int, at Microseconds) {
	c.stateOf(id).peersSentUntil = at
}

// MessageHeldBack handles that the host cannot send a message to a proxy yet. MessageReleased ends
// this state.
func (c *Controller) MessageHeldBack(id int) {
	c.proxies[id].unreleasedMessages++
}

// MessageReleased handles that the host sends a message, for which it called MessageHeldBack, now.
func (c *Controller) MessageReleased(id int) {
	now := c.host.Now()
	c.pushQueue.pace.release(c.proxies[id], now)
	c.awaitMessage(c.proxies[id], now)
}

// mustHold reports whether a proxy may not be sent a change now, so that the host has to collect
// the change for a later message.
func (c *Controller) mustHold(proxy *proxyState, now Microseconds) bool {
	return c.pushQueue.pace.limits() && !c.pushQueue.mayPush(proxy, now, c.roundUrgency)
}

// hold makes the host collect the changes for a proxy, which are charged once they are sent.
func (c *Controller) hold(proxy *proxyState, lines Lines) {
	if !proxy.held {
		proxy.held, proxy.heldUrgency = true, ordinaryMessage
		c.heldProxies++
		c.host.HoldMessages(proxy.id)
	}
	proxy.heldUrgency = max(proxy.heldUrgency, c.roundUrgency)
	proxy.heldLines += lines
}

// resume makes the host send a proxy the changes that it has collected, and returns their cost.
func (c *Controller) resume(proxy *proxyState) (lines Lines) {
	lines = proxy.heldLines
	proxy.held, proxy.heldLines = false, 0
	c.heldProxies--
	c.host.ResumeMessages(proxy.id)
	return lines
}

// forgetHeld takes a proxy out of the count of held proxies, as its connection has ended.
func (c *Controller) forgetHeld(proxy *proxyState) {
	if proxy.held {
		c.heldProxies--
	}
}

// sendHeldChanges resumes the proxies that may be sent a message again, as far as the push queue
// has capacity.
func (c *Controller) sendHeldChanges(now Microseconds) {
	if c.heldProxies == 0 {
		return // skip the pass over all proxies: there may be thousands, and each ack comes here
	}
	for _, proxy := range c.proxies {
		if proxy.heldLines == 0 || !c.pushQueue.mayPush(proxy, now, proxy.heldUrgency) {
			continue
		}
		required := proxy.heldUrgency != ordinaryMessage
		if c.pushQueue.hasCapacity(c.pushQueue.messageOverhead()+proxy.heldLines, required) {
			c.charge(proxy, 0)
		}
	}
}

// awaitMessages sets a timer for the next time at which the pace permits a message to a proxy that
// is held or waits for tables, if that lies before the next tick.
func (c *Controller) awaitMessages(now Microseconds) {
	if !c.pushQueue.pace.limits() {
		return
	}
	for _, proxy := range c.proxies {
		c.awaitMessage(proxy, now)
	}
}

// awaitMessage does what awaitMessages does, for one proxy.
func (c *Controller) awaitMessage(proxy *proxyState, now Microseconds) {
	urgency := firstTablesMessage
	switch {
	case proxy.heldLines > 0:
		urgency = proxy.heldUrgency
	case !proxy.connected || proxy.hasAllTables():
		return
	}
	at := c.pushQueue.pace.dueAt(proxy, urgency)
	timerPending := c.paceTimerAt > now && c.paceTimerAt <= at
	if at <= now || at >= c.nextTickAt || timerPending {
		return
	}
	c.paceTimerAt = at
	c.host.SetTimer(at-now, c.timerTag())
}
