package balancer

// This file holds what is kept of backends, proxies, levels, slices and orders, and sums over it. Nothing is decided here.

import (
	"cmp"
	"math"
	"slices"
)

// backend is all that is known of one backend.
type backend struct {
	Endpoint
	part            int     // of the fleet that it is in
	listed, drained bool    // drained: was seen draining since it was last ready
	line            float64 // its weight in our tables
	out             bool    // withdrawn from whatever tables proxies hold
	late            int64   // how long its drain had been ordered when we heard of it
	enteredAt       int64   // when it entered or returned; 0 if it was here from the start

	samples         []sample // what was heard within the reply timeout, and its sums
	others          []sample // what others heard; it has the place of ours where there are none
	elsewhere       bool     // so it does
	learnt          bool     // it left R on that alone: telling it to others again would never end
	tries, failed   int
	mean            float64
	load            BackendLoad
	answered        int64   // when an answer was last heard of
	unheard         int     // tries without any answer since then
	score           float64 // mean over the median, 1 if unheard, negative if it left R
	away            bool
	backAt, backoff int64
	probedAt        int64
	strained        float64 // part of the listed weight that it is left with; 0 for all of it
	widenAt         int64
	since           int64 // when that was: what was heard before says nothing of its new weight
}

type sample struct {
	at, from      int64 // when it came, and what it tells of at the earliest, but for a period
	took          int64 // all answered ones together
	tries, failed int
}

type proxy struct {
	joined, bound    bool
	keeps, reminded  bool    // keeps: may hold withdrawals of others, until it is cleared of them
	cleared          bool    // a backend's first line lets it back from then on, and costs two
	told             float64 // withdrawals that it heard of before it was bound: the same
	zone, part       int
	usual            float64 // requests a second that come to it on ordinary days
	joinedAt, leftAt int64
	applied          int64     // orders up to this one have come through
	rates            []float64 // requests a second that come to it, by class
	sent             []int64   // when messages went to it, within the span that is counted
	owed             []int64   // the same by others, for when it joins
	cramped          bool      // others had sent some: its table may take what is kept for what is urgent
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (b *backend) tally(now int64) {
	old := func(s sample) bool { return s.at <= now-replyTimeout }
	b.samples, b.others = slices.DeleteFunc(b.samples, old), slices.DeleteFunc(b.others, old)
	heard := b.samples
	if b.elsewhere = len(heard) == 0 && len(b.others) > 0; b.elsewhere {
		heard = b.others
	}
	took := int64(0)
	b.tries, b.failed, b.mean = 0, 0, 0
	for _, s := range heard {
		if s.from > b.since {
			b.tries, b.failed, took = b.tries+s.tries, b.failed+s.failed, took+s.took
		}
	}
	if b.failed < b.tries {
		b.mean = float64(took) / float64(b.tries-b.failed)
	}
}

// Ejection tells whether a backend is out of R by what our own proxies met, and what that was as far as it is known.
// Wait is its back-off, in microseconds.
func (c *Controller) Ejection(id int) (tries, failed int, wait int64, away bool) {
	if id >= len(c.backends) {
		return 0, 0, 0, false
	}
	b := c.backends[id]
	if b.unheard > 0 {
		return b.unheard, b.unheard, b.backoff, b.away && !b.learnt
	}
	return b.tries, b.failed, b.backoff, b.away && !b.learnt
}

// Throughput is what the fleet was seen to do for each unit of weight and of ordinary traffic: without a queue, and with
// one; 0 if that is not known.
func (c *Controller) Throughput() (proven, able float64) { return c.levels.proven, c.levels.able }

// SeedDemand takes what another controller counted at a proxy that joined us, requests a second by class.
func (c *Controller) SeedDemand(id int, rates []float64) { copy(c.proxies[id].rates, rates) }

// SeedThroughput takes what another controller saw of that, in place of what we have not seen ourselves.
func (c *Controller) SeedThroughput(proven, able float64) {
	a := &c.levels
	a.proven, a.able = cmp.Or(a.proven, max(proven, 0)), cmp.Or(a.able, max(able, 0))
}

// SetClassQuota takes how many requests of a class a second the whole fleet may be sent, at all controllers; 0 is any number.
func (c *Controller) SetClassQuota(class int, perS float64) {
	c.levels.quota[class] = perS
	c.setLevels()
}

// MessagesSentByPeers counts messages to a proxy that others have sent within the span, or will have. It counts for
// one that is joined, and for one that joins next.
func (c *Controller) MessagesSentByPeers(id, messages int) {
	for len(c.proxies) <= id {
		c.proxies = append(c.proxies, &proxy{})
	}
	p, at := c.proxies[id], c.host.Now()-1 // not of this clock time: a message of its own would share that one
	if p.joined {
		p.sent = append(slices.Repeat([]int64{at}, messages), p.sent...)
	} else {
		p.owed = slices.Repeat([]int64{at}, messages)
	}
}

func (b *backend) forget(now int64) { b.samples, b.others, b.unheard, b.answered = nil, nil, 0, now }

func (b *backend) carried() float64 { return b.line / cmp.Or(b.strained, 1) } // strain takes no capacity away

func (b *backend) answers() float64 { return 1 - float64(b.failed)/float64(max(b.tries, 1)) }

func middle(values []float64, none float64) float64 {
	if slices.Sort(values); len(values) > 0 {
		return values[len(values)/2]
	}
	return none
}

// waterline caps rates so that they add up to a total below theirs.
func waterline(rates []float64, total float64) float64 {
	slices.Sort(rates)
	for i, r := range rates {
		if rest := float64(len(rates) - i); r*rest >= total {
			return total / rest
		}
		total -= r
	}
	return unlimited
}

// applied takes a mark that came back from a proxy, and gives the number of the orders that carried it.
func (l *ledger) applied(mark int, p *proxy) int64 {
	number := l.count - (l.count-int64(mark))&0xffff
	for i := range l.waiting {
		if o := &l.waiting[i]; o.count == number {
			o.lines -= o.reached[p]
			delete(o.reached, p)
			l.drop(i + count(len(o.reached) == 0))
			break
		}
	}
	return number
}

func (l *ledger) drop(n int) {
	l.waiting, l.lines = l.waiting[n:], 0
	for _, o := range l.waiting {
		l.lines += o.lines
	}
}

// billEach bills lines to each proxy concerned.
func (c *Controller) billEach(lines float64, concerned func(p *proxy) bool) {
	c.laidAt = c.host.Now()
	for _, p := range c.proxies {
		if p.joined && concerned(p) {
			c.bill(p, lines)
		}
	}
}

// QueueDelay is how long what waits in the channel takes to leave, in microseconds: a mark is not answered before.
func (c *Controller) QueueDelay() int64 {
	return int64(c.channel.lines / max(c.channel.LinesPerSecond, 1) * float64(second))
}

// takes is how many lines leave the channel within a time.
func (l *ledger) takes(within int64) float64 {
	return max(l.LinesPerSecond, 1) * float64(within) / float64(second)
}

// withdrawals is how many there are, and what a message costs that tells one proxy of all of them.
func (c *Controller) withdrawals() (outs, message float64) {
	for _, b := range c.backends {
		outs += float64(count(b.out))
	}
	return outs, c.channel.header() + outs + float64(len(c.classes))
}

// whole is the lines of a proxy's tables, what they cost with header and levels, and whether one is empty.
func (c *Controller) whole(p *proxy, sizes map[int]float64) (lines, cost float64, bare bool) {
	cost = c.channel.header() + c.relevels()
	c.tables(p.part, p.zone, func(table int, _ uint16) {
		n, known := sizes[table]
		if !known {
			n = float64(c.laid(table))
			sizes[table] = n
		}
		lines, cost, bare = lines+n, cost+n+1, bare || n == 0
	})
	return lines, cost, bare
}

// owing sums what those who wait for their tables cost, and how much may stand in the channel for the first of them to
// have its in time.
func (c *Controller) owing(now int64, sizes map[int]float64) {
	l := &c.channel
	l.owed, l.due = 0, math.Inf(1)
	for _, i := range c.waiting {
		p := c.proxies[i]
		if !p.joined || p.bound {
			continue
		}
		if _, cost, bare := c.whole(p, sizes); !bare {
			l.owed += cost
			l.due = min(l.due, inTime*l.takes(c.grace)-l.takes(l.MaxLatency+now-p.joinedAt))
		}
	}
}

// reading is what the reports since the last look say.
type reading struct {
	heat, median        float64 // of all answers, and that of the median backend
	came, let, answered float64 // units a second, at all, past the levels, and by backends that keep up
	recent              float64 // weight in lines that was heard of within the reply timeout, as heard is
	laid, heard, dead   float64 // weight in lines, that keeps up, that answers nothing, times ordinary traffic
}

// laid counts the lines of a table.
func (c *Controller) laid(table int) (lines int) {
	for _, b := range c.backends {
		lines += count(b.line > 0 && c.in(b, table))
	}
	return lines
}

// partWeights is the listed weight of the ready backends by part, in all and by zone. Nil counts nothing.
type partWeights struct {
	all   []float64
	zones map[int][]float64
}

func (c *Controller) partWeights() *partWeights {
	w := &partWeights{all: make([]float64, c.parts), zones: map[int][]float64{}}
	for _, b := range c.backends {
		w.add(b, 1)
	}
	return w
}

// add counts a backend, or with a sign of -1 takes it out.
func (w *partWeights) add(b *backend, sign float64) {
	if w == nil || !b.listed || b.State != Ready {
		return
	}
	if w.zones[b.Zone] == nil {
		w.zones[b.Zone] = make([]float64, len(w.all))
	}
	w.all[b.part] += sign * b.Weight
	w.zones[b.Zone][b.part] += sign * b.Weight
}

// counted is the weight of a part with that of a zone counted twice.
func (w *partWeights) counted(part, zone int) float64 {
	if ofZone := w.zones[zone]; ofZone != nil {
		return w.all[part] + ofZone[part]
	}
	return w.all[part]
}

// weights is what each part may carry now, and a fair share of it.
func (c *Controller) weights(now int64) (parts []float64, fair float64) {
	parts = make([]float64, c.parts)
	for _, b := range c.backends {
		w := c.wanted(b, now)
		parts[b.part], fair = parts[b.part]+w, fair+w/float64(c.parts)
	}
	return parts, fair
}

// demand is what comes to each joined proxy, and in all; where there are slices it is spread evenly.
func (c *Controller) demand(class int) (rates []float64, total float64) {
	for _, p := range c.proxies {
		if p.joined {
			rates = append(rates, p.rates[class]*float64(count(!c.owners.exist()))*c.levels.trim[class])
		}
	}
	for _, s := range c.owners.all {
		for i := 0; s.mine && i < len(rates); i++ {
			rates[i] += s.rates[class] / float64(len(rates))
		}
	}
	for _, rate := range rates {
		total += rate
	}
	return rates, total
}

// admission is what we let in, in units: a request counts its target latency, as nothing gives its work.
type admission struct {
	how        AdmissionMode
	order      []int // classes by value per unit, the first to be let in
	units      []float64
	deadline   float64 // longest deadline, microseconds
	target     float64 // target latency of the mean request let in, microseconds
	able       float64 // units a second answered while a queue stood, over heard, see look
	proven     float64 // the same let in while none stood, the most of it
	part       float64 // of what is able to be answered; 0 until a queue was seen
	limit      float64 // units a second
	bound      bool    // more comes than that
	urgent     bool    // a cut is to be told
	told       bool    // a level ever was
	heat       float64 // at the last look
	laid, want []float64
	quota      []float64 // requests a second of each class that the whole fleet may be sent; 0 for any number
	came       []float64 // requests counted since the last look
	trim       []float64 // what was counted in all, over the sum of the proxies' rates

	drainedAt, holdUntil int64 // when the queue must be gone, and when reports show it
	hotSince             int64 // when looks began to show a queue nearly everywhere; 0 while they do not
	widenedAt            int64 // when it was last widened, or guessed: reports tell of that a lag later
}

// ownership is what we hold of the slices in our charge. A slice's table is one line, its owner.
type ownership struct {
	Sharding
	all    []slice
	writes uint16
}

type slice struct {
	mine   bool
	owner  int       // -1 for none
	rates  []float64 // requests a second, by class
	held   int64     // the orders that stopped writes; 0 if they go on, -1 if they must stop
	freeAt int64     // when the former owner has none in hand; 0 while some proxy may still send it one
}

type order struct {
	count, at int64
	lines     float64
	reached   map[*proxy]float64 // what it cost each that has not said so: a bind costs many times a line
}
