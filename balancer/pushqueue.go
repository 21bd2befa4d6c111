package balancer

// Push queue: an account of the lines that wait in the push channel to the proxies. A line counts
// as queued until an ack for its batch, or for a later one, comes back, so that the account is
// also correct when the channel is slow. The account is too high by the lines that the channel has
// sent and whose ack is still on its way.
//
//   - Required changes may fill the capacity: PushChannel.Backlog or, if it is less, the number of
//     lines that the channel sends within maxQueueTime. The capacity is the same however short the
//     drain grace is. A change that waits in the controller, and not in the channel, is decided
//     again on later reports, and shares messages with other changes.
//   - Ordinary changes, and complete tables, may fill ordinaryShare of the capacity, so that
//     required changes never wait behind more ordinary lines than this share.
//   - publish.go states when a round of changes may start, and in which order it is sent.
//   - Messages that hold only withdrawals (sync.go) count as required.
//   - message_budget.go states how many messages a proxy may be sent.
//
// Inputs are PushChannel, the drain grace (microseconds) and the costs of the pushes (lines).

const (
	// maxQueueTime is the longest time that the push channel takes to send a full queue.
	maxQueueTime = 2 * minPublishInterval
	// ordinaryShare is the share of the capacity that ordinary changes and complete tables may fill.
	ordinaryShare = 1. / 2
	// nearlyEmptyShare is the share of the capacity up to which the queue counts as nearly empty.
	nearlyEmptyShare = 1. / 8
	// A batch times out if its ack has not arrived within the sum of PushChannel.MaxLatency,
	// maxAckDelay and ackTimeoutFactor times the nominal sending time of the queue.
	ackTimeoutFactor = 4
	maxAckDelay      = 2 * second

	batchNumberMask = 0xffff // selects the lowest 16 bits of a batch number, which are sent to proxies
)

// pushQueue accounts for the lines that wait in the push channel to the proxies.
type pushQueue struct {
	PushChannel
	pace messagePace // pace of the messages to each proxy, see message_pace.go
	// batches holds the batches of which an ack is missing, oldest first. An ack of a batch
	// discards all earlier batches. A timeout (expire) discards the oldest batch.
	batches     []pushBatch
	queuedLines Lines // number of lines in all batches together
	lastNumber  int64 // number of the last batch

	// reserveInterval is the time for each of which one message per proxy is left for required
	// changes, see message_budget.go.
	reserveInterval Microseconds
	// spareMessages is the number of messages per proxy that a required message leaves in addition,
	// unless it is sent at the deadline of required changes.
	spareMessages int

	// reservedLines is the cost of the tables of waiting proxies, see reserveForTables.
	reservedLines Lines
	// maxQueuedBeforeTables is the highest number of queued lines, including the reserved lines, with
	// which none of the tables of waiting proxies is late.
	maxQueuedBeforeTables Lines
}

// pushBatch holds the lines sent to proxies at one clock time.
type pushBatch struct {
	number int64
	sentAt Microseconds
	lines  Lines // number of lines in linesTo, for all proxies together
	// linesTo holds the lines for each proxy that has not acknowledged the batch. They are counted by
	// proxy because complete tables cost many times as much as an entry.
	linesTo map[*proxyState]Lines
}

// charge adds lines for a proxy to the current batch. With the first lines for the proxy at this
// clock time it also adds the overhead of the message and of its ack request. If the proxy may not
// be sent a message now, the lines are held for a later one.
func (c *Controller) charge(proxy *proxyState, lines Lines) {
	now := c.host.Now()
	if c.mustHold(proxy, now) {
		c.hold(proxy, lines)
		return
	}
	if proxy.held {
		lines += c.resume(proxy)
	}
	batch := c.currentBatch(now)
	if n := len(proxy.messageTimes); n == 0 || proxy.messageTimes[n-1] != now {
		proxy.messageTimes = append(proxy.messageTimes, now)
		c.pushQueue.pace.take(proxy, now)
		message := c.pushQueue.messageOverhead()
		// The proxy has no limits yet, so the message carries the limits of all classes.
		if !proxy.tablesAssigned {
			message += c.tableLimitLines() - c.pushQueue.LimitLines
		}
		lines += message
	}
	batch.linesTo[proxy] += lines
	batch.lines += lines
	c.pushQueue.queuedLines += lines
}

// currentBatch returns the batch of this clock time, and starts it if there is none. The pointer is
// valid until the next batch starts.
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

// chargeEach adds lines to the current batch, for each connected proxy that a change affects.
func (c *Controller) chargeEach(lines Lines, affected func(proxy *proxyState) bool) {
	c.changedAt = c.host.Now()
	for _, proxy := range c.proxies {
		if proxy.connected && affected(proxy) {
			c.charge(proxy, lines)
		}
	}
}

// chargeAll adds lines to the current batch, for each connected proxy.
func (c *Controller) chargeAll(lines Lines) {
	c.chargeEach(lines, func(*proxyState) bool { return true })
}

// acknowledge handles a proxy's ack, and returns the full number of the acknowledged batch. The ack
// carries only the lowest 16 bits of this number.
func (q *pushQueue) acknowledge(ackNumber int, proxy *proxyState) (number int64) {
	number = q.lastNumber - (q.lastNumber-int64(ackNumber))&batchNumberMask
	for i := range q.batches {
		batch := &q.batches[i]
		if batch.number != number {
			continue
		}
		batch.lines -= batch.linesTo[proxy]
		delete(batch.linesTo, proxy)
		sentBatches := i // the channel has sent all batches before the acknowledged batch
		if len(batch.linesTo) == 0 {
			sentBatches++
		}
		q.discard(sentBatches)
		break
	}
	return number
}

// expire discards batches that have timed out without an ack.
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

// discard removes the oldest batches.
func (q *pushQueue) discard(count int) {
	q.batches = q.batches[count:]
	q.queuedLines = 0
	for _, batch := range q.batches {
		q.queuedLines += batch.lines
	}
}

// messageOverhead returns the cost in lines of a message to one proxy, apart from the changes in
// the message: PushChannel.MessageOverhead, one line for the ack request, and
// PushChannel.LimitLines if limits accompany every message.
func (q *pushQueue) messageOverhead() Lines { return q.MessageOverhead + 1 + q.LimitLines }

// capacity returns how many lines may be queued.
func (q *pushQueue) capacity() Lines { return min(q.Backlog, q.linesSentIn(maxQueueTime)) }

// linesSentIn returns how many lines the push channel sends within a time.
func (q *pushQueue) linesSentIn(time Microseconds) Lines {
	return max(q.LinesPerSecond, 1) * float64(time) / float64(second)
}

// sendingTime returns the time that the push channel takes to send a number of lines.
func (q *pushQueue) sendingTime(lines Lines) Microseconds {
	return int64(lines / max(q.LinesPerSecond, 1) * float64(second))
}

// delay returns the time that the push channel takes to send the queued lines.
func (q *pushQueue) delay() Microseconds { return q.sendingTime(q.queuedLines) }

// hasCapacity reports whether a change of this cost may be queued now. If nothing is queued, a
// change of any cost may be queued.
func (q *pushQueue) hasCapacity(cost Lines, required bool) bool {
	queued := q.queuedLines + cost
	return q.queuedLines == 0 || queued <= q.capacity()*ordinaryShare || required && queued <= q.capacity()
}

// nearlyEmpty reports whether few enough lines are queued for a round of changes to start.
func (q *pushQueue) nearlyEmpty() bool { return q.queuedLines <= q.capacity()*nearlyEmptyShare }

// wouldDelayTables reports whether lines of this cost, queued before the tables of waiting proxies,
// would make one of these tables late.
func (q *pushQueue) wouldDelayTables(cost Lines) bool {
	return q.reservedLines > 0 && q.queuedLines+cost+q.reservedLines > q.maxQueuedBeforeTables
}
