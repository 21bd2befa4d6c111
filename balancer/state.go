package balancer

// This file holds what is kept of backends, proxies, levels, slices and orders, and sums over it. Nothing is decided here.

import (
	"cmp"
	"math"
	"slices"
)

// backend is all that is known of one backend.
type backendState struct {
	Endpoint
	subset               int     // of the fleet that it is in
	listed, seenDraining bool    // drained: was seen draining since it was last ready
	published            float64 // its weight in our tables
	withdrawn            bool    // withdrawn from whatever tables proxies hold
	drainDelay           int64   // how long its drain had been ordered when we heard of it
	enteredAt            int64   // when it entered or returned; 0 if it was here from the start

	ownOutcomes         []outcomeSample // what was heard within the reply timeout, and its sums
	peerOutcomes        []outcomeSample // what others heard; it has the place of ours where there are none
	reportedByPeersOnly bool            // so it does
	ejectedByPeerReport bool            // it left R on that alone: telling it to others again would never end
	attempts, failures  int
	meanAnswerTime      float64
	load                BackendLoad
	lastAnswerAt        int64   // when an answer was last heard of
	consecutiveFailures int     // tries without any answer since then
	score               float64 // mean over the median, 1 if unheard, negative if it left R
	ejected             bool
	readmitAt, backoff  int64
	healthCheckedAt     int64
	reducedTo           float64 // part of the listed weight that it is left with; 0 for all of it
	raiseWeightAt       int64
	weightReducedAt     int64 // when that was: what was heard before says nothing of its new weight
}

type outcomeSample struct {
	receivedAt, coversFrom int64 // when it came, and what it tells of at the earliest, but for a period
	answerTime             int64 // all answered ones together
	attempts, failures     int
}

type proxyState struct {
	connected, assigned               bool
	mayHoldForeign, withdrawalsSynced bool    // keeps: may hold withdrawals of others, until it is cleared of them
	withdrawalsCleared                bool    // a backend's first line lets it back from then on, and costs two
	heldWithdrawals                   float64 // withdrawals that it heard of before it was bound: the same
	zone, subset                      int
	baselineRate                      float64 // requests a second that come to it on ordinary days
	connectedAt, disconnectedAt       int64
	acknowledged                      int64     // orders up to this one have come through
	demand                            []float64 // requests a second that come to it, by class
	messageTimes                      []int64   // when messages went to it, within the span that is counted
	peerMessageTimes                  []int64   // the same by others, for when it joins
	reserveReleased                   bool      // others had sent some: its table may take what is kept for what is urgent
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (b *backendState) sumOutcomes(now int64) {
	old := func(s outcomeSample) bool { return s.receivedAt <= now-scoreWindow }
	b.ownOutcomes, b.peerOutcomes = slices.DeleteFunc(b.ownOutcomes, old), slices.DeleteFunc(b.peerOutcomes, old)
	heard := b.ownOutcomes
	if b.reportedByPeersOnly = len(heard) == 0 && len(b.peerOutcomes) > 0; b.reportedByPeersOnly {
		heard = b.peerOutcomes
	}
	took := int64(0)
	b.attempts, b.failures, b.meanAnswerTime = 0, 0, 0
	for _, s := range heard {
		if s.coversFrom > b.weightReducedAt {
			b.attempts, b.failures, took = b.attempts+s.attempts, b.failures+s.failures, took+s.answerTime
		}
	}
	if b.failures < b.attempts {
		b.meanAnswerTime = float64(took) / float64(b.attempts-b.failures)
	}
}

// Ejection tells whether a backend is out of R by what our own proxies met, and what that was as far as it is known.
// Wait is its back-off, in microseconds.
func (c *Controller) Ejection(id int) (tries, failed int, wait int64, away bool) {
	if id >= len(c.backends) {
		return 0, 0, 0, false
	}
	b := c.backends[id]
	if b.consecutiveFailures > 0 {
		return b.consecutiveFailures, b.consecutiveFailures, b.backoff, b.ejected && !b.ejectedByPeerReport
	}
	return b.attempts, b.failures, b.backoff, b.ejected && !b.ejectedByPeerReport
}

// Throughput is what the fleet was seen to do for each unit of weight and of ordinary traffic: without a queue, and with
// one; 0 if that is not known.
func (c *Controller) Throughput() (proven, able float64) {
	return c.admission.provenThroughput, c.admission.saturatedThroughput
}

// SeedDemand takes what another controller counted at a proxy that joined us, requests a second by class.
func (c *Controller) SeedDemand(id int, rates []float64) { copy(c.proxies[id].demand, rates) }

// SeedThroughput takes what another controller saw of that, in place of what we have not seen ourselves.
func (c *Controller) SeedThroughput(proven, able float64) {
	a := &c.admission
	a.provenThroughput, a.saturatedThroughput = cmp.Or(a.provenThroughput, max(proven, 0)), cmp.Or(a.saturatedThroughput, max(able, 0))
}

// SetClassQuota takes how many requests of a class a second the whole fleet may be sent, at all controllers; 0 is any number.
func (c *Controller) SetClassQuota(class int, perS float64) {
	c.admission.quota[class] = perS
	c.distributeLimit()
}

// MessagesSentByPeers counts messages to a proxy that others have sent within the span, or will have. It counts for
// one that is joined, and for one that joins next.
func (c *Controller) MessagesSentByPeers(id, messages int) {
	for len(c.proxies) <= id {
		c.proxies = append(c.proxies, &proxyState{})
	}
	p, at := c.proxies[id], c.host.Now()-1 // not of this clock time: a message of its own would share that one
	if p.connected {
		p.messageTimes = append(slices.Repeat([]int64{at}, messages), p.messageTimes...)
	} else {
		p.peerMessageTimes = slices.Repeat([]int64{at}, messages)
	}
}

func (b *backendState) resetOutcomes(now int64) {
	b.ownOutcomes, b.peerOutcomes, b.consecutiveFailures, b.lastAnswerAt = nil, nil, 0, now
}

func (b *backendState) publishedCapacity() float64 { return b.published / cmp.Or(b.reducedTo, 1) } // strain takes no capacity away

func (b *backendState) successRate() float64 {
	return 1 - float64(b.failures)/float64(max(b.attempts, 1))
}

func median(values []float64, none float64) float64 {
	if slices.Sort(values); len(values) > 0 {
		return values[len(values)/2]
	}
	return none
}

// waterline caps rates so that they add up to a total below theirs.
func maxMinFairRate(rates []float64, total float64) float64 {
	slices.Sort(rates)
	for i, r := range rates {
		if rest := float64(len(rates) - i); r*rest >= total {
			return total / rest
		}
		total -= r
	}
	return unlimitedRate
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

// QueueDelay is how long what waits in the channel takes to leave, in microseconds: a mark is not answered before.
func (c *Controller) QueueDelay() int64 {
	return int64(c.queue.queuedLines / max(c.queue.LinesPerSecond, 1) * float64(second))
}

// takes is how many lines leave the channel within a time.
func (l *pushQueue) linesSentIn(within int64) float64 {
	return max(l.LinesPerSecond, 1) * float64(within) / float64(second)
}

// withdrawals is how many there are, and what a message costs that tells one proxy of all of them.
func (c *Controller) withdrawalCost() (outs, message float64) {
	for _, b := range c.backends {
		outs += float64(count(b.withdrawn))
	}
	return outs, c.queue.messageOverhead() + outs + float64(len(c.classes))
}

// whole is the lines of a proxy's tables, what they cost with header and levels, and whether one is empty.
func (c *Controller) fullTableCost(p *proxyState, sizes map[int]float64) (lines, cost float64, bare bool) {
	cost = c.queue.messageOverhead() + c.tableLimitLines()
	c.eachTable(p.subset, p.zone, func(table int, _ uint16) {
		n, known := sizes[table]
		if !known {
			n = float64(c.tableSize(table))
			sizes[table] = n
		}
		lines, cost, bare = lines+n, cost+n+1, bare || n == 0
	})
	return lines, cost, bare
}

// owing sums what those who wait for their tables cost, and how much may stand in the channel for the first of them to
// have its in time.
func (c *Controller) reserveForTables(now int64, sizes map[int]float64) {
	l := &c.queue
	l.reservedLines, l.maxQueuedBeforeTables = 0, math.Inf(1)
	for _, i := range c.syncQueue {
		p := c.proxies[i]
		if !p.connected || p.assigned {
			continue
		}
		if _, cost, bare := c.fullTableCost(p, sizes); !bare {
			l.reservedLines += cost
			l.maxQueuedBeforeTables = min(l.maxQueuedBeforeTables, tablesShareOfGrace*l.linesSentIn(c.remainingGrace)-l.linesSentIn(l.MaxLatency+now-p.connectedAt))
		}
	}
}

// reading is what the reports since the last look say.
type loadSummary struct {
	latencyRatio, medianRatio                         float64 // of all answers, and that of the median backend
	offered, admitted, answered                       float64 // units a second, at all, past the levels, and by backends that keep up
	recentCapacity                                    float64 // weight in lines that was heard of within the reply timeout, as heard is
	publishedCapacity, reportedCapacity, deadCapacity float64 // weight in lines, that keeps up, that answers nothing, times ordinary traffic
}

// laid counts the lines of a table.
func (c *Controller) tableSize(table int) (lines int) {
	for _, b := range c.backends {
		lines += count(b.published > 0 && c.inTable(b, table))
	}
	return lines
}

// partWeights is the listed weight of the ready backends by part, in all and by zone. Nil counts nothing.
type subsetWeights struct {
	all    []float64
	byZone map[int][]float64
}

func (c *Controller) listedSubsetWeights() *subsetWeights {
	w := &subsetWeights{all: make([]float64, c.subsets), byZone: map[int][]float64{}}
	for _, b := range c.backends {
		w.add(b, 1)
	}
	return w
}

// add counts a backend, or with a sign of -1 takes it out.
func (w *subsetWeights) add(b *backendState, sign float64) {
	if w == nil || !b.listed || b.State != Ready {
		return
	}
	if w.byZone[b.Zone] == nil {
		w.byZone[b.Zone] = make([]float64, len(w.all))
	}
	w.all[b.subset] += sign * b.Weight
	w.byZone[b.Zone][b.subset] += sign * b.Weight
}

// counted is the weight of a part with that of a zone counted twice.
func (w *subsetWeights) countingTwice(part, zone int) float64 {
	if ofZone := w.byZone[zone]; ofZone != nil {
		return w.all[part] + ofZone[part]
	}
	return w.all[part]
}

// weights is what each part may carry now, and a fair share of it.
func (c *Controller) subsetTargetWeights(now int64) (parts []float64, fair float64) {
	parts = make([]float64, c.subsets)
	for _, b := range c.backends {
		w := c.targetWeight(b, now)
		parts[b.subset], fair = parts[b.subset]+w, fair+w/float64(c.subsets)
	}
	return parts, fair
}

// demand is what comes to each joined proxy, and in all; where there are slices it is spread evenly.
func (c *Controller) classDemand(class int) (rates []float64, total float64) {
	for _, p := range c.proxies {
		if p.connected {
			rates = append(rates, p.demand[class]*float64(count(!c.sharding.enabled()))*c.admission.demandCorrection[class])
		}
	}
	for _, s := range c.sharding.shards {
		for i := 0; s.assigned && i < len(rates); i++ {
			rates[i] += s.demand[class] / float64(len(rates))
		}
	}
	for _, rate := range rates {
		total += rate
	}
	return rates, total
}

// admission is what we let in, in units: a request counts its target latency, as nothing gives its work.
type admissionState struct {
	mode                AdmissionMode
	priorityOrder       []int // classes by value per unit, the first to be let in
	unitsPerRequest     []float64
	longestDeadline     float64 // longest deadline, microseconds
	meanObjective       float64 // target latency of the mean request let in, microseconds
	saturatedThroughput float64 // units a second answered while a queue stood, over heard, see look
	provenThroughput    float64 // the same let in while none stood, the most of it
	limitShare          float64 // of what is able to be answered; 0 until a queue was seen
	limit               float64 // units a second
	limiting            bool    // more comes than that
	cutPending          bool    // a cut is to be told
	limitsSent          bool    // a level ever was
	latencyRatio        float64 // at the last look
	published, target   []float64
	quota               []float64 // requests a second of each class that the whole fleet may be sent; 0 for any number
	counted             []float64 // requests counted since the last look
	demandCorrection    []float64 // what was counted in all, over the sum of the proxies' rates

	queueDrainedAt, holdUntil int64 // when the queue must be gone, and when reports show it
	overloadedSince           int64 // when looks began to show a queue nearly everywhere; 0 while they do not
	raisedAt                  int64 // when it was last widened, or guessed: reports tell of that a lag later
}

// ownership is what we hold of the slices in our charge. A slice's table is one line, its owner.
type shardingState struct {
	Sharding
	shards       []shardState
	writeClasses uint16
}

type shardState struct {
	assigned  bool
	owner     int       // -1 for none
	demand    []float64 // requests a second, by class
	fence     int64     // the orders that stopped writes; 0 if they go on, -1 if they must stop
	settledAt int64     // when the former owner has none in hand; 0 while some proxy may still send it one
}

type pushBatch struct {
	number, sentAt int64
	lines          float64
	linesTo        map[*proxyState]float64 // what it cost each that has not said so: a bind costs many times a line
}
