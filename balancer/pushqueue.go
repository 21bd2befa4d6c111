package balancer

import "slices"

// Push queue: what waits in the channel to the proxies, in lines. Lines count as waiting until an ack of theirs, or of
// a later batch, comes back, so that the account holds when the channel is slow; it is too high by what is on its way.
//
//   - Required changes may fill the capacity: what the backlog bears, but no more than leaves in maxQueueTime. It is the
//     same however short the drain grace is. A change that is held back here, not in the channel, is decided anew on later
//     reports, and shares messages with others.
//   - Ordinary changes, and complete tables, may fill ordinaryShare of it, so that required ones never wait behind more.
//   - When a round of changes may start, and in which order it goes, is in publish.go.
//   - Of the messages that a proxy may be sent within the window, ordinary ones use half, or all but messagesForRequired at
//     a proxy for which other controllers told of theirs (proxyState.peersReportedMessages); the rest is kept for required
//     ones. Messages of withdrawals alone (sync.go) count as required, here and in the capacity.
//
// Inputs are PushChannel, the drain grace (microseconds) and the costs of what is to be pushed (lines).

const (
	maxQueueTime        = 2 * minPublishInterval // that what may wait takes to leave
	ordinaryShare       = 1. / 2                 // of the capacity
	nearlyEmptyShare    = 1. / 8                 // of the capacity
	messagesForRequired = 2                      // of a proxy's messages, kept for required ones, see peersReportedMessages

	// An ack that has not come within maxAckDelay and this many times the nominal sending time will not come.
	ackTimeoutFactor = 4
	maxAckDelay      = 2 * second // beside PushChannel.MaxLatency

	batchNumberMask = 0xffff // of a batch's number, this much goes to the proxies
)

// pushQueue is the account of the channel.
type pushQueue struct {
	PushChannel
	batches     []pushBatch // without an ack of theirs or of a later one, the oldest first
	queuedLines Lines       // sum over batches
	lastNumber  int64       // of the last batch

	// What is kept for the tables of proxies that wait for them, see reserveForTables.
	reservedLines         Lines // what these tables cost
	maxQueuedBeforeTables Lines // how many lines may wait, these tables among them, for the first of them to be in time
}

// pushBatch is what goes to proxies at one clock time.
type pushBatch struct {
	number  int64
	sentAt  Microseconds
	lines   Lines                 // sum over unacknowledged
	linesTo map[*proxyState]Lines // what went to each proxy that has not answered: tables cost many times an entry
}

// charge counts lines to a proxy, and with the first ones at this clock time its message, and the request for an ack.
func (c *Controller) charge(proxy *proxyState, lines Lines) {
	now := c.host.Now()
	batch := c.currentBatch(now)
	if n := len(proxy.messageTimes); n == 0 || proxy.messageTimes[n-1] != now {
		proxy.messageTimes = append(proxy.messageTimes, now)
		message := c.pushQueue.messageOverhead()
		if !proxy.hasOurTables { // it knows no limits yet
			message += c.tableLimitLines() - c.pushQueue.LimitLines
		}
		lines += message
	}
	batch.linesTo[proxy] += lines
	batch.lines += lines
	c.pushQueue.queuedLines += lines
}

// currentBatch is the batch of this clock time. It is valid until the next one is begun.
func (c *Controller) currentBatch(now Microseconds) *pushBatch {
	queue := &c.pushQueue
	if n := len(queue.batches); n == 0 || queue.batches[n-1].sentAt != now {
		queue.lastNumber++
		batch := pushBatch{number: queue.lastNumber, sentAt: now, linesTo: map[*proxyState]Lines{}}
		queue.batches = append(queue.batches, batch)
		c.host.RequestAck(int(queue.lastNumber&batchNumberMask), false)
	}
	return &queue.batches[len(queue.batches)-1]
}

// chargeEach counts lines to each connected proxy concerned.
func (c *Controller) chargeEach(lines Lines, concerned func(proxy *proxyState) bool) {
	c.changedAt = c.host.Now()
	for _, proxy := range c.proxies {
		if proxy.connected && concerned(proxy) {
			c.charge(proxy, lines)
		}
	}
}

// chargeAll counts lines to each connected proxy.
func (c *Controller) chargeAll(lines Lines) {
	c.chargeEach(lines, func(*proxyState) bool { return true })
}

// acknowledge takes a proxy's answer, and returns the number of the batch that it answers.
func (q *pushQueue) acknowledge(answered int, proxy *proxyState) (number int64) {
	number = q.lastNumber - (q.lastNumber-int64(answered))&batchNumberMask
	for i := range q.batches {
		batch := &q.batches[i]
		if batch.number != number {
			continue
		}
		batch.lines -= batch.linesTo[proxy]
		delete(batch.linesTo, proxy)
		left := i // all before it have left the channel
		if len(batch.linesTo) == 0 {
			left++
		}
		q.discard(left)
		break
	}
	return number
}

// expire discards batches whose acks will not come.
func (q *pushQueue) expire(now Microseconds) {
	for len(q.batches) > 0 {
		sendingTime := ackTimeoutFactor * q.queuedLines / max(q.LinesPerSecond, 1) * float64(second)
		timeout := q.MaxLatency + maxAckDelay + int64(sendingTime)
		if now-q.batches[0].sentAt < timeout {
			return
		}
		q.discard(1)
	}
}

// discard takes the first batches out.
func (q *pushQueue) discard(count int) {
	q.batches = q.batches[count:]
	q.queuedLines = 0
	for _, batch := range q.batches {
		q.queuedLines += batch.lines
	}
}

// messageOverhead is what each message costs beside what it is for: its own, the request for an ack, and limits where
// they always go along.
func (q *pushQueue) messageOverhead() Lines { return q.MessageOverhead + 1 + q.LimitLines }

// capacity is how many lines may wait.
func (q *pushQueue) capacity() Lines { return min(q.Backlog, q.linesSentIn(maxQueueTime)) }

// linesSentIn is how many lines leave the channel within a time.
func (q *pushQueue) linesSentIn(time Microseconds) Lines {
	return max(q.LinesPerSecond, 1) * float64(time) / float64(second)
}

// delay is how long what waits takes to leave.
func (q *pushQueue) delay() Microseconds {
	return int64(q.queuedLines / max(q.LinesPerSecond, 1) * float64(second))
}

// hasCapacity tells whether so many lines may go now.
func (q *pushQueue) hasCapacity(cost Lines, required bool) bool {
	queued := q.queuedLines + cost
	return q.queuedLines == 0 || queued <= q.capacity()*ordinaryShare || required && queued <= q.capacity()
}

// nearlyEmpty tells whether so little waits that a round of changes may begin.
func (q *pushQueue) nearlyEmpty() bool { return q.queuedLines <= q.capacity()*nearlyEmptyShare }

// wouldDelayTables tells whether, with so many lines before them, tables would come too late to proxies that wait.
func (q *pushQueue) wouldDelayTables(cost Lines) bool {
	return q.reservedLines > 0 && q.queuedLines+cost+q.reservedLines > q.maxQueuedBeforeTables
}

// mayPush tells whether a proxy may be sent one more message.
func (q *pushQueue) mayPush(proxy *proxyState, now Microseconds, required bool) bool {
	proxy.messageTimes = slices.DeleteFunc(proxy.messageTimes, func(at Microseconds) bool {
		return at <= now-q.MessageWindow-q.MaxLatency
	})
	sent := len(proxy.messageTimes)
	sharesMessage := sent > 0 && proxy.messageTimes[sent-1] == now
	if q.MaxMessages == 0 || sharesMessage {
		return true
	}
	allowed := q.MaxMessages / 2
	if proxy.peersReportedMessages {
		allowed = max(allowed, q.MaxMessages-messagesForRequired)
	}
	if required {
		allowed = max(allowed, q.MaxMessages)
	}
	return sent < allowed
}
