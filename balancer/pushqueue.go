package balancer

import (
	"slices"
)

// ledger counts lines until their mark, or a later one, has come back, so it holds when the channel is slow.
type pushQueue struct {
	PushChannel
	queuedLines           float64
	reservedLines         float64 // lines that must follow, of the tables of those who wait, and ...
	maxQueuedBeforeTables float64 // ... how many may stand in the channel with them for the first of these to have its in time
	batches               []pushBatch
	lastNumber            int64 // orders so far; a mark is its low 16 bits
}

// bill counts lines to a proxy, and with the first at this clock time the message and its mark.
func (c *Controller) charge(p *proxyState, lines float64) {
	l, now := &c.queue, c.host.Now()
	if n := len(l.batches); n == 0 || l.batches[n-1].sentAt != now {
		l.lastNumber++
		l.batches = append(l.batches, pushBatch{number: l.lastNumber, sentAt: now, linesTo: map[*proxyState]float64{}})
		c.host.RequestAck(int(l.lastNumber&0xffff), false)
	}
	o := &l.batches[len(l.batches)-1]
	if n := len(p.messageTimes); n == 0 || p.messageTimes[n-1] != now {
		p.messageTimes = append(p.messageTimes, now)
		lines += l.messageOverhead() + (c.tableLimitLines()-l.LimitLines)*float64(count(!p.assigned)) // it has heard of none yet
	}
	o.linesTo[p] += lines
	o.lines += lines
	l.queuedLines += lines
}

// expire forgets orders whose marks will not come, even at a quarter of the channel's usual speed.
func (l *pushQueue) expire(now int64) {
	for len(l.batches) > 0 {
		patience := l.MaxLatency + 2*second + int64(4*l.queuedLines/max(l.LinesPerSecond, 1)*float64(second))
		if now-l.batches[0].sentAt < patience {
			return
		}
		l.discard(1)
	}
}

// header is what each message costs beside what it is for: head, mark, and levels where they always go along.
func (l *pushQueue) messageOverhead() float64 { return l.MessageOverhead + 1 + l.LimitLines }

// room is how many lines may wait. Where the backlog bears far more than two paces take to send, what joins
// its end would be late by all of that; held back here it is decided on later news, and shares messages.
func (l *pushQueue) capacity() float64 {
	return min(l.Backlog, l.linesSentIn(2*minPublishInterval))
}

// fits tells whether lines may go: what no rule needs, as of a growing fleet, waits at half the room.
func (l *pushQueue) hasCapacity(cost float64, must bool) bool {
	return l.queuedLines == 0 || l.queuedLines+cost <= l.capacity()/2 || must && l.queuedLines+cost <= l.capacity()
}

// delays tells whether, with so many lines before them, tables would come too late to those who wait: rule 3
// binds whatever they brought, and that may name what had gone before we began, which no message takes out.
func (l *pushQueue) wouldDelayTables(cost float64) bool {
	return l.reservedLines > 0 && l.queuedLines+cost+l.reservedLines > l.maxQueuedBeforeTables
}

// may tells whether a proxy may be sent one more message. Half of those allowed are kept for what is urgent.
func (l *pushQueue) mayPush(p *proxyState, now int64, urgent bool) bool {
	p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at int64) bool { return at <= now-l.MessageWindow-l.MaxLatency })
	if l.MaxMessages == 0 || len(p.messageTimes) > 0 && p.messageTimes[len(p.messageTimes)-1] == now {
		return true
	}
	return len(p.messageTimes) < max(l.MaxMessages/2, (l.MaxMessages-2)*count(p.reserveReleased), l.MaxMessages*count(urgent))
}

// open tells whether changes may go to all bound proxies now. Needed ones wait for each other as long as the
// grace bears it twice, what does not fit as one piece for an emptier channel.
func (l *pushQueue) mayPublish(proxies []*proxyState, now, last, grace int64, need float64) bool {
	gap := min((grace-l.MaxLatency-tickInterval)/2, l.MessageWindow/int64(max(l.MaxMessages, 1)))
	if l.MaxMessages > 0 && now > last && now-last < gap ||
		l.queuedLines > l.capacity()/8 && (need == 0 || l.queuedLines+need > l.capacity()) {
		return false
	}
	return !slices.ContainsFunc(proxies, func(p *proxyState) bool { return p.assigned && !l.mayPush(p, now, need > 0) })
}

// applied takes a mark that came back from a proxy, and gives the number of the orders that carried it.
func (l *pushQueue) acknowledge(mark int, p *proxyState) int64 {
	number := l.lastNumber - (l.lastNumber-int64(mark))&0xffff
	for i := range l.batches {
		if o := &l.batches[i]; o.number == number {
			o.lines -= o.linesTo[p]
			delete(o.linesTo, p)
			l.discard(i + count(len(o.linesTo) == 0))
			break
		}
	}
	return number
}

func (l *pushQueue) discard(n int) {
	l.batches, l.queuedLines = l.batches[n:], 0
	for _, o := range l.batches {
		l.queuedLines += o.lines
	}
}

// billEach bills lines to each proxy concerned.
func (c *Controller) chargeEach(lines float64, concerned func(p *proxyState) bool) {
	c.changedAt = c.host.Now()
	for _, p := range c.proxies {
		if p.connected && concerned(p) {
			c.charge(p, lines)
		}
	}
}

// takes is how many lines leave the channel within a time.
func (l *pushQueue) linesSentIn(within int64) float64 {
	return max(l.LinesPerSecond, 1) * float64(within) / float64(second)
}

type pushBatch struct {
	number, sentAt int64
	lines          float64
	linesTo        map[*proxyState]float64 // what it cost each that has not said so: a bind costs many times a line
}
