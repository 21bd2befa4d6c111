package decide

// How to call this module: New makes a Controller from its Host, its seed and the figures it starts with
// (all in host.go); after that there is one method for each thing that can happen, and each acts by calling
// the Host. Read on from New, then Elapsed, publish, judge and steer; docs/design.md says why.

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
)

const (
	second = int64(1_000_000)

	// From the design page, "ours" there, so defaults.
	pace           = 2 * second  // ordinary changes go out at most this often
	replyTimeout   = 5 * second  // answering nothing for so long leaves R; also the span that scores look at
	triesToJudge   = 20          // fewer tries prove no failure share
	firstBackoff   = 10 * second // a withdrawn backend returns after this, doubling ...
	longestBackoff = 60 * second // ... up to this
	entryShare     = 0.25        // new and returning backends begin with this part of the listed weight ...
	entryFor       = 5 * second  // ... for so long

	beat         = second / 4 // how often waiting work is looked at: well under any pace
	provenSilent = 5          // tries that all failed before a backend counts as dead: a proxy's own measure
	probeEvery   = 3 * second // looks at a withdrawn backend; the process must have had time to change
	mostFailing  = 1. / 3     // part of the listed weight that failures short of death may take out
	mostDead     = 3. / 4     // part that may leave altogether: a cut can hide all zones but one
	wellAnswered = 0.8        // a share of answers that shows a backend at work

	hotAt      = 0.45 // mean answer time over expected time from which a queue is building everywhere
	calmAt     = 0.3  // and below which more may be let in
	leastCut   = 0.85 // a cut goes this far under the proven throughput, so that the queue shrinks
	deepCut    = 0.1  // and no further than this
	drain      = 2 * pace
	baseDrift  = 1.01
	easeFast   = 1.05
	easeDown   = 0.92
	easeUp     = 1.02
	strainAt   = 2.0  // a score (times the median) that is no chance, if a queue stands there as well
	strainStep = 0.75 // a strained backend's weight goes down in steps of this

	idleBusy    = 0.8
	idleWaiting = 0.8
	atRest      = 1.25
	unlimited   = 1e6    // a rate no proxy reaches
	everyone    = 0xffff // all classes of a mask
)

// Controller decides for the proxies that are joined to it.
type Controller struct {
	host     Host
	seed     uint64
	drawn    uint64
	tag      uint64
	limits   Limits
	sight    Sight
	classes  []Class
	backends []backend
	proxies  []proxy
	channel  ledger
	levels   admission
	owners   []slice

	started     int64
	listedOnce  bool
	askAt       int64
	askWait     int64
	publishedAt int64
	lookedAt    int64
	reports     int
	fallback    bool
}

// backend is all that is known of one backend.
type backend struct {
	Entry
	listed    bool
	drained   bool    // was seen draining since its last start
	line      float64 // its weight in our tables
	out       bool    // withdrawn from whatever tables proxies hold
	samples   []sample
	load      Load
	answered  int64 // when an answer was last heard of
	unheard   int   // tries without any answer since then
	enteredAt int64 // when it last entered or returned; 0 if it was here from the start
	away      bool
	backAt    int64
	backoff   int64
	probedAt  int64
	probed    bool // its last return was on a passed probe
	fooled    bool // that return failed: its probes prove nothing
	score     float64

	strained float64 // part of the listed weight it is left with; 0 for all of it
	easeAt   int64   // when that is widened
	easeWait int64
}

// sample is one report line.
type sample struct {
	at            int64
	tries, failed int
	took          int64 // total time of the answered ones
}

type proxy struct {
	joined, bound bool
	zone          int
	joinedAt      int64
	rates         []float64 // exchanges a second that come to it, by class
	sent          []int64   // when messages went to it, within the span that is counted
}

// New makes a controller that knows nothing yet: until reports come, nothing is withdrawn for being unheard.
func New(host Host, seed uint64, classes []Class, channel Channel, limits Limits, partition Partition,
	sight Sight, admit Admission) *Controller {
	c := &Controller{host: host, seed: seed, tag: seed | 1, limits: limits, sight: sight, classes: classes,
		channel: ledger{Channel: channel}, levels: newAdmission(admit, classes), started: host.Now()}
	c.owners = newSlices(partition)
	if sight.MustAsk {
		c.ask()
	}
	host.After(beat, c.tag)
	return c
}

// chance draws evenly from 0 to 1.
func (c *Controller) chance() float64 {
	var word [16]byte
	binary.LittleEndian.PutUint64(word[:], c.seed)
	binary.LittleEndian.PutUint64(word[8:], c.drawn)
	c.drawn++
	h := fnv.New64a()
	h.Write(word[:])
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (c *Controller) logf(format string, args ...any) { c.host.Log(fmt.Sprintf(format, args...)) }

// Elapsed is the beat: whatever waited for time or for room in the channel is looked at again.
func (c *Controller) Elapsed(tag uint64) {
	if tag != c.tag {
		return // a timer of an earlier life
	}
	now := c.host.Now()
	c.host.After(beat, c.tag)
	c.channel.expire(now)
	if c.sight.MustAsk && now >= c.askAt {
		c.ask()
	}
	c.probe(now)
	if c.reports > 0 && now-c.lookedAt >= c.sight.ReportEvery {
		c.judge(now)
		c.steer(now)
		c.lookedAt, c.reports = now, 0
	}
	if a := &c.levels; a.drainedAt > 0 && now >= a.drainedAt { // the queue must be gone, though no report says so yet
		a.drainedAt, a.part = 0, leastCut
		a.limit = a.part * a.able * c.laidWeight()
		c.setLevels()
		c.publish(now, true)
	}
	c.returns(now)
	c.publish(now, now-c.publishedAt >= pace)
	c.bindWaiting(now)
	c.tendSlices(now)
}

// ---- the list

// ask asks for the list, and again when no answer comes.
func (c *Controller) ask() {
	c.host.Watch()
	c.askWait = max(second/2, min(2*c.askWait, c.limitWait()))
	c.askAt = c.host.Now() + 1<<50 // the answer, or the failure, sets the next
}

func (c *Controller) limitWait() int64 { return max(second, c.sight.AskWithin/4) }

// ListFailed asks again after a while, spread by chance so that controllers do not ask together.
func (c *Controller) ListFailed() {
	if c.sight.MustAsk {
		c.askAt = c.host.Now() + int64(float64(c.askWait)*(0.5+c.chance()))
	}
}

// Listed takes in the list: whole, or what changed; a remembered one may be out of date.
func (c *Controller) Listed(whole, remembered bool, entries []Entry) {
	now := c.host.Now()
	if !remembered {
		c.askWait = 0
	}
	seen := make([]bool, len(c.backends))
	for _, e := range entries {
		for len(c.backends) <= e.Backend {
			c.backends, seen = append(c.backends, backend{}), append(seen, false)
		}
		seen[e.Backend] = true
		c.relist(&c.backends[e.Backend], e, now)
	}
	for i := range c.backends {
		if b := &c.backends[i]; whole && !seen[i] && b.listed && b.Condition != Gone {
			b.Condition = Gone
		}
	}
	c.listedOnce = c.listedOnce || whole
	c.publish(now, false)
	c.bindWaiting(now)
	c.tendSlices(now)
}

func (c *Controller) relist(b *backend, e Entry, now int64) {
	fresh := !b.listed || b.Condition != Ready || b.Started != e.Started
	restarted := b.listed && e.Started > b.Started
	b.Entry, b.listed = e, true
	if restarted || !fresh && e.Condition == Ready {
		b.drained = false
	}
	if e.Condition == Draining {
		b.drained = true
	}
	if e.Condition != Ready || !fresh {
		return
	}
	b.drained = false
	if c.listedOnce {
		b.enteredAt = now
	}
	if restarted { // another process: what was heard of the old one says nothing
		b.away, b.backoff, b.fooled = false, 0, false
	}
	b.samples, b.unheard, b.answered = nil, 0, now
}

// usable tells whether exchanges may go to a backend at all, whatever its score.
func (c *Controller) usable(b *backend, now int64) bool {
	if !b.listed || b.Condition == Draining {
		return false
	}
	if b.Condition == Gone {
		// Where only draining binds, a list that dropped a backend which still answers is wrong.
		return c.limits.OnlyDrainingBinds && !b.drained && b.answered > now-replyTimeout && b.line > 0
	}
	return true
}

// ---- reports

// Heard is what proxies of one zone met at a backend.
func (c *Controller) Heard(zone, id, tries, failed int, mean, span int64, load Load) {
	if id >= len(c.backends) || tries <= 0 {
		return
	}
	now, b := c.host.Now(), &c.backends[id]
	c.reports++
	s := sample{at: now, tries: tries, failed: failed, took: mean * int64(tries-failed)}
	b.samples = append(b.samples, s)
	if load.Busy >= 0 || load.Waiting >= 0 {
		b.load = load
	}
	if failed < tries {
		b.answered, b.unheard = now, 0
	} else {
		b.unheard += tries
	}
}

// Came is what came to a proxy, refused exchanges and repeats by clients among it.
func (c *Controller) Came(id, class, count, unanswered int, span int64) {
	if id >= len(c.proxies) || !c.proxies[id].joined || span <= 0 {
		return
	}
	smooth(&c.proxies[id].rates[class], float64(count)/float64(span)*float64(second))
}

func smooth(old *float64, now float64) {
	if *old == 0 {
		*old = now
	} else {
		*old = (*old + now) / 2
	}
}

// ---- proxies

// Joined: the proxy holds stale tables until it is bound, so it is bound as soon as the channel has room.
func (c *Controller) Joined(id, zone int, rate float64) {
	for len(c.proxies) <= id {
		c.proxies = append(c.proxies, proxy{})
	}
	now := c.host.Now()
	c.proxies[id] = proxy{joined: true, zone: zone, joinedAt: now, rates: make([]float64, len(c.classes))}
	c.bindWaiting(now)
}

// Left: the proxy goes on with what it holds; nothing more can be told to it.
func (c *Controller) Left(id int) {
	if id < len(c.proxies) {
		c.proxies[id] = proxy{}
		c.slicesLost(id)
	}
}

// Applied: a message has come through, and with it all that left before it.
func (c *Controller) Applied(id, mark int, took int64) {
	now := c.host.Now()
	c.channel.applied(mark)
	c.slicesApplied(id, mark, now)
	c.bindWaiting(now)
}

// ---- tables

// tables gives the numbers of the tables that hold a backend: the shared one, and the one of its zone where
// some class must stay in its zone.
func (c *Controller) tables(zone int) []int {
	var own, shared bool
	for _, class := range c.classes {
		own, shared = own || class.OwnZone, shared || !class.OwnZone
	}
	var list []int
	if shared {
		list = append(list, 0)
	}
	if own {
		list = append(list, 1+zone)
	}
	return list
}

// mask gives the classes that use a table.
func (c *Controller) mask(table int) uint16 {
	mask := uint16(0)
	for i, class := range c.classes {
		if class.OwnZone == (table != 0) {
			mask |= 1 << i
		}
	}
	return mask
}

// share is the part of its listed weight that a backend may carry now.
func (c *Controller) share(b *backend, now int64) float64 {
	part := 1.0
	if b.strained > 0 {
		part = b.strained
	}
	if b.enteredAt > 0 && now-b.enteredAt < entryFor {
		part = entryShare
	}
	// Rule 4: a cold backend is sent no more than the capacity it surely has, so that every controller
	// alone keeps it from being pushed over. Steps of a quarter keep the orders few.
	if age := now - b.Started; b.Started > 0 && age >= 0 && age < c.limits.WarmBy {
		sure := c.limits.ColdShare + (1-c.limits.ColdShare)*float64(age)/float64(c.limits.WarmBy)
		step := float64(int(sure*4)) / 4
		if step == 0 {
			step = sure
			if b.line > 0 && b.line < sure*b.Weight {
				step = b.line / b.Weight
			}
		}
		part = min(part, step)
	}
	return part
}

// wanted is the weight that a backend should have in our tables.
func (c *Controller) wanted(b *backend, now int64) float64 {
	if !c.usable(b, now) || b.away && !c.fallback {
		return 0
	}
	weight := b.Weight
	if weight <= 0 {
		weight = 1
	}
	return weight * c.share(b, now)
}

// publish lays what differs from the standing tables. What the rules need goes at once: leaving a draining or
// gone backend, easing off a cold one, filling an empty table. The rest keeps the design's pace.
func (c *Controller) publish(now int64, ordinary bool) {
	if len(c.owners) > 0 {
		c.withdrawals(now)
		return
	}
	if !c.channel.open(c.proxies, now, c.limits.Grace, !ordinary) {
		return
	}
	lines, laid := 0, false
	for i := range c.backends {
		lines += count(c.backends[i].line > 0)
	}
	for i := range c.backends {
		// What must go at once takes along what waits, as one message costs one header.
		b := &c.backends[i]
		want, cold := c.wanted(b, now), b.Started > 0 && now-b.Started < c.limits.WarmBy
		ordinary = ordinary || want < b.line && (cold || !c.usable(b, now)) || want > 0 && lines == 0
	}
	for _, adding := range []bool{true, false} { // lines come before others go: no table is bare in between
		for i := range c.backends {
			want, line := c.wanted(&c.backends[i], now), c.backends[i].line
			if ordinary && want != line && (want > line) == adding {
				c.setLine(i, want)
				laid = true
			}
		}
	}
	c.withdrawals(now)
	if ordinary && c.layLevels() || laid {
		c.publishedAt = now
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (c *Controller) setLine(id int, weight float64) {
	b := &c.backends[id]
	b.line = weight
	for _, table := range c.tables(b.Zone) {
		c.host.SetLine(table, id, weight)
		for p := range c.proxies {
			if q := &c.proxies[p]; q.bound && (table == 0 || q.zone == b.Zone) {
				c.bill(q, 1)
			}
		}
	}
}

// withdrawals keeps joined proxies that still hold tables of others off backends that drain or are gone.
func (c *Controller) withdrawals(now int64) {
	for i := range c.backends {
		b := &c.backends[i]
		out := b.listed && !c.usable(b, now)
		if out != b.out {
			b.out = out
			c.host.Withdraw(i, out)
			for p := range c.proxies {
				if c.proxies[p].joined && !c.proxies[p].bound {
					c.bill(&c.proxies[p], 1)
				}
			}
		}
	}
}

// bindWaiting gives whole tables to proxies that hold those of others, while the channel has room.
func (c *Controller) bindWaiting(now int64) {
	if len(c.owners) > 0 {
		return
	}
	var perTable [256 + 1]int
	for i := range c.backends {
		if c.backends[i].line > 0 {
			for _, table := range c.tables(c.backends[i].Zone) {
				perTable[table]++
			}
		}
	}
	for i := range c.proxies {
		p := &c.proxies[i]
		if !p.joined || p.bound {
			continue
		}
		cost, bare := 0., false
		for _, table := range c.tables(p.zone) {
			cost += float64(1 + perTable[table] + c.levels.lines())
			bare = bare || perTable[table] == 0
		}
		if bare || !c.channel.fits(cost+c.channel.Head+1) || !c.channel.may(p, now, false) {
			continue
		}
		p.bound = true
		c.bill(p, cost)
		for _, table := range c.tables(p.zone) {
			c.host.Bind(table, i, c.mask(table))
		}
	}
}

// ---- scores

// judge scores every backend and settles which leave R.
func (c *Controller) judge(now int64) {
	var shares, means []float64
	listed, away := 0., 0.
	type verdict struct {
		id     int
		dead   bool
		tries  int
		failed int
	}
	var bad []verdict
	for i := range c.backends {
		b := &c.backends[i]
		b.samples = slices.DeleteFunc(b.samples, func(s sample) bool { return s.at <= now-replyTimeout })
		if !c.usable(b, now) {
			continue
		}
		listed += b.Weight
		if b.away {
			away += b.Weight
			continue
		}
		if tries, failed, took := b.sums(); tries > 0 {
			shares = append(shares, 1-float64(failed)/float64(tries))
			if failed < tries {
				means = append(means, float64(took)/float64(tries-failed))
			}
		}
	}
	usual, median := middle(shares, 1), middle(means, 0)
	good := 0.
	for i := range c.backends {
		b := &c.backends[i]
		if !c.usable(b, now) || b.away {
			continue
		}
		tries, failed, took := b.sums()
		answers := 1.
		if tries > 0 {
			answers = 1 - float64(failed)/float64(tries)
		}
		if answers >= wellAnswered {
			good += b.Weight
		}
		b.score = 1
		if tries > failed && median > 0 {
			b.score = float64(took) / float64(tries-failed) / median
		}
		// Silence counts only with tries: without them it is we who do not know.
		silent := b.unheard >= provenSilent
		dead := silent || tries >= provenSilent && failed == tries
		// Against the median, and only while that is good: what all share (overload, our own stall) condemns nobody.
		// A backend that answers, but late, has a queue: it carries too much, which is no reason to send all of
		// that to the next. Only if others fare far better does it lose part of its weight.
		if queued := b.score*median >= hotAt*c.levels.expected; !dead && queued {
			if b.score >= strainAt && tries >= triesToJudge/2 {
				c.strain(i, now)
			}
		} else if dead || tries >= triesToJudge && usual >= wellAnswered && answers < usual/2 {
			b.score = -1
			bad = append(bad, verdict{i, dead, tries, failed})
		}
	}
	slices.SortStableFunc(bad, func(a, b verdict) int {
		if a.dead != b.dead {
			return count(b.dead) - count(a.dead)
		}
		return b.failed*a.tries - a.failed*b.tries
	})
	for _, v := range bad {
		b := &c.backends[v.id]
		most := mostFailing
		// Guards against a mistaken judgement putting the load of many on a few: the dead may leave in
		// numbers only while enough others are seen at work.
		if v.dead && good >= (1-mostDead)*listed {
			most = mostDead
		}
		if away+b.Weight > most*listed {
			continue
		}
		away += b.Weight
		b.away = true
		b.fooled = b.fooled || b.probed
		b.backoff = max(firstBackoff, min(2*b.backoff, longestBackoff))
		b.backAt, b.probedAt = now+b.backoff, now
		c.logf("backend %d leaves R: %d of %d tries failed, median answered %.2f, back in %d s",
			v.id, v.failed, v.tries, usual, b.backoff/second)
	}
	c.settleFallback(now)
}

// strain takes weight off a backend that answers, but so much later than the others that a queue must stand
// at it alone: its listed weight is more than it can carry. Taken out whole, its load would strain the next
// one. It guards against rough weights, slow machines and half-dead ones; where times differ by nature and
// are near the expected time, it would shift load for nothing.
func (c *Controller) strain(id int, now int64) {
	b := &c.backends[id]
	if b.strained == 0 {
		b.strained = 1
		c.logf("backend %d strained: answers take %.1f times the median", id, b.score)
	}
	b.strained = max(b.strained*strainStep, entryShare)
	b.easeWait = max(firstBackoff, min(2*b.easeWait, longestBackoff))
	b.easeAt = now + b.easeWait
	b.samples = nil
}

func (b *backend) sums() (tries, failed int, took int64) {
	for _, s := range b.samples {
		tries, failed, took = tries+s.tries, failed+s.failed, took+s.took
	}
	return
}

func middle(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// settleFallback publishes all when R is empty: B random ones, B being the listed count.
func (c *Controller) settleFallback(now int64) {
	r, usable := 0, 0
	for i := range c.backends {
		if b := &c.backends[i]; c.usable(b, now) {
			usable++
			r += count(!b.away)
		}
	}
	if empty := r == 0 && usable > 0; empty != c.fallback {
		c.fallback = empty
		c.logf("R empty: %v, %d backends usable", empty, usable)
	}
}

// returns brings withdrawn backends back after their time, at the entry share.
func (c *Controller) returns(now int64) {
	for i := range c.backends {
		b := &c.backends[i]
		if b.away && now >= b.backAt {
			c.comeBack(i, now, false)
		}
		if b.strained > 0 && now >= b.easeAt {
			b.easeAt = now + b.easeWait
			if b.strained /= strainStep; b.strained > 0.99 {
				b.strained = 0
			}
		}
	}
	c.settleFallback(now)
}

func (c *Controller) comeBack(id int, now int64, probed bool) {
	b := &c.backends[id]
	b.away, b.probed, b.enteredAt = false, probed, now
	b.samples, b.unheard, b.answered = nil, 0, now
	c.logf("backend %d returns to R, probed %v", id, probed)
}

// probe looks at withdrawn backends.
func (c *Controller) probe(now int64) {
	if !c.sight.MayProbe {
		return
	}
	for i := range c.backends {
		if b := &c.backends[i]; b.away && !b.fooled && b.Condition == Ready && now-b.probedAt >= probeEvery {
			b.probedAt = now
			c.host.Probe(i)
		}
	}
}

// Probed is how a probe ended. A pass shows that the process runs; if the return fails, it is not believed again.
func (c *Controller) Probed(id int, outcome Outcome, took int64) {
	if id < len(c.backends) && outcome == Answered && c.backends[id].away && !c.backends[id].fooled {
		c.comeBack(id, c.host.Now(), true)
	}
}

// ---- levels

// admission is what we let in, in units: an exchange counts its expected time in seconds, as no setting gives
// its work.
type admission struct {
	how                  Admission
	order                []int // classes by importance per unit, the first to be let in
	units                []float64
	expected             float64 // expected time of the mean exchange let in, microseconds
	limit                float64 // units a second; 0 while all are let in
	part                 float64 // of what is able to be answered; 0 while all are let in
	base                 float64 // heat when no queue stands
	outer                float64 // longest outer limit, microseconds
	bound                bool
	drainedAt, holdUntil int64
	able                 float64 // units a second and listed weight that were answered while a queue stood
	laid                 []float64
	want                 []float64
}

func newAdmission(how Admission, classes []Class) admission {
	a := admission{how: how, laid: make([]float64, len(classes)), want: make([]float64, len(classes))}
	for i, class := range classes {
		a.order = append(a.order, i)
		a.outer = max(a.outer, float64(class.Outer))
		a.units = append(a.units, max(float64(class.Expected)/float64(second), 1e-3))
	}
	slices.SortStableFunc(a.order, func(x, y int) int {
		vx, vy := classes[x].Importance/a.units[x], classes[y].Importance/a.units[y]
		return count(vx < vy) - count(vx > vy)
	})
	return a
}

// carried is the listed weight behind a backend's line: strain moves load, but takes no capacity away.
func (b *backend) carried() float64 {
	if b.strained > 0 {
		return b.line / b.strained
	}
	return b.line
}

// laidWeight is the weight that all lines in use stand for.
func (c *Controller) laidWeight() float64 {
	sum := 0.
	for i := range c.backends {
		sum += c.backends[i].carried()
	}
	return sum
}

func (a *admission) lines() int {
	n := 0
	for _, x := range a.laid {
		n += count(x > 0)
	}
	return n
}

// steer sets how much is let in. When answers on the whole take so long that a queue must stand everywhere,
// only as much is let in as was answered, less a part that lets the queue shrink.
func (c *Controller) steer(now int64) {
	a := &c.levels
	if a.how == AdmitNone {
		return
	}
	tries, answers, took, weight := 0, 0, 0., 0.
	for i := range c.backends {
		b := &c.backends[i]
		late, failed := 0., 0
		answered := 0
		for _, s := range b.samples {
			if s.at > c.lookedAt {
				answered, late = answered+s.tries-s.failed, late+float64(s.took)
				failed += s.failed
			}
		}
		tries, answers, took = tries+answered, answers+answered, took+late
		if answered > 0 {
			weight += b.carried()
		}
		// Failures of a backend that answers late are time-outs in its queue, and say how long that is.
		if answered > 0 && late/float64(answered) > calmAt*a.expected {
			tries, took = tries+failed, took+float64(failed)*a.outer/2
		}
	}
	came, let, letUnits := 0., 0., 0.
	for class := range c.classes {
		for i := range c.proxies {
			if p := &c.proxies[i]; p.joined {
				r := p.rates[class]
				came += r * a.units[class]
				if a.laid[class] > 0 {
					r = min(r, a.laid[class])
				}
				let += r
				letUnits += r * a.units[class]
			}
		}
	}
	if tries == 0 || let == 0 {
		return
	}
	perExchange := letUnits / let // the expected time of the mean exchange let in, seconds
	a.expected = perExchange * float64(second)
	heat := took / float64(tries) / a.expected
	if a.base == 0 || heat < a.base || now-c.started < replyTimeout {
		a.base = heat
	}
	a.base *= baseDrift
	// Reports that a stall of ours held back come together, and are counted over the whole time.
	proven := float64(answers) / float64(now-c.lookedAt) * float64(second) * perExchange
	was, lag := a.bound, c.sight.ReportEvery+c.channel.LongestWay+second
	switch {
	case weight == 0 || now < a.holdUntil: // what was ordered is not yet seen
	case heat > hotAt && !c.idle():
		smooth(&a.able, proven/weight)
		// The queue that stands before a new exchange, in seconds of work, with what came while we did not know.
		queue := (heat-min(a.base, calmAt))*perExchange + max(0, letUnits/(a.able*weight)-1)*float64(lag)/float64(second)
		a.part = max(deepCut, leastCut-queue/(float64(drain)/float64(second)))
		a.drainedAt, a.holdUntil = now+drain, now+drain+lag
	case a.part > 0 && came > a.limit && heat < calmAt:
		if heat < atRest*a.base {
			a.part *= easeFast
		} else {
			a.part *= easeUp
		}
	case a.part > 0 && came > a.limit:
		a.part *= easeDown
	case a.part > 0:
		a.able = max(a.able, proven/c.laidWeight())
	}
	a.limit = a.part * a.able * c.laidWeight()
	if a.bound = a.part > 0 && came > a.limit; was != a.bound {
		c.logf("limit bound %v at %.1f units/s: answers take %.2f of the expected time, %.1f come, %.1f answered",
			a.bound, a.limit, heat, came, proven)
	}
	c.setLevels()
	if a.drainedAt == now+drain { // a cut just found cannot wait for its turn
		c.publish(now, true)
	}
}

// idle tells whether the backends themselves say that nothing waits: then slow answers come from proxies that
// stand still, or from the way, and letting less in would not help. Where they say nothing, it is false.
func (c *Controller) idle() bool {
	n, busy, waiting := 0., 0., 0.
	for i := range c.backends {
		if b := &c.backends[i]; b.line > 0 && b.answered > c.lookedAt && b.load != (Load{}) {
			n, busy, waiting = n+1, busy+b.load.Busy, waiting+b.load.Waiting
		}
	}
	return n > 0 && (busy >= 0 && busy < idleBusy*n || waiting >= 0 && waiting < idleWaiting*n)
}

// setLevels shares the limit out, importance first; a class is cut at its busiest proxies.
func (c *Controller) setLevels() {
	a := &c.levels
	left := a.limit
	for _, class := range a.order {
		a.want[class] = 0
		if a.limit == 0 {
			continue
		}
		var rates []float64
		total := 0.
		for i := range c.proxies {
			if p := &c.proxies[i]; p.joined {
				rates = append(rates, p.rates[class])
				total += p.rates[class]
			}
		}
		part := min(total, max(left/a.units[class], 0.05*total))
		left -= part * a.units[class]
		if a.how == AdmitShare {
			a.want[class] = part / max(total, 1e-9)
		} else if part < total {
			a.want[class] = max(waterline(rates, part), 0.01)
		}
	}
}

// waterline is the cap at which capped rates add up to the total wanted.
func waterline(rates []float64, total float64) float64 {
	slices.Sort(rates)
	for i, r := range rates {
		if rest := float64(len(rates) - i); r*rest >= total {
			return total / rest
		} else {
			total -= r
		}
	}
	return unlimited
}

// layLevels orders levels that changed by more than chance explains.
func (c *Controller) layLevels() bool {
	a, laid := &c.levels, false
	for class := range c.classes {
		want, old := a.want[class], a.laid[class]
		if want == old || want > 0 && old > 0 && want < 1.05*old && want > 0.95*old {
			continue
		}
		a.laid[class] = want
		allowance, tries := want, TryOnce // a further try would only add to the queue
		if want == 0 {
			allowance, tries = unlimited, TryAfterProof
		}
		for table := range 1 + c.sight.Zones {
			if mask := c.mask(table) & (1 << class); mask != 0 {
				c.host.Admit(table, mask, allowance, tries)
				laid = true
			}
		}
		for i := range c.proxies {
			if c.proxies[i].bound {
				c.bill(&c.proxies[i], 1)
			}
		}
	}
	return laid
}

// ---- the channel

// ledger counts what may still wait in the channel: all lines ordered of which no mark has come back. It counts
// lines on their way as well, so it holds on days when the channel is slow.
type ledger struct {
	Channel
	lines float64
	wait  []order
	mark  int
}

// order is what one clock time's orders cost.
type order struct {
	mark    int
	at      int64
	lines   float64
	reached int
}

// bill counts lines to a proxy, and with the first at this clock time the message and its mark.
func (c *Controller) bill(p *proxy, lines float64) {
	l, now := &c.channel, c.host.Now()
	if n := len(l.wait); n == 0 || l.wait[n-1].at != now {
		l.mark = (l.mark + 1) & 0xffff
		l.wait = append(l.wait, order{mark: l.mark, at: now})
		c.host.Mark(l.mark, false)
	}
	o := &l.wait[len(l.wait)-1]
	if n := len(p.sent); n == 0 || p.sent[n-1] != now {
		p.sent = append(p.sent, now)
		o.reached++
		lines += l.Head + 1
	}
	o.lines += lines
	l.lines += lines
}

func (l *ledger) applied(mark int) {
	for i := range l.wait {
		if o := &l.wait[i]; o.mark == mark {
			gone := o.lines / float64(max(o.reached, 1))
			o.lines -= gone
			o.reached--
			l.drop(i + count(o.reached <= 0))
			return
		}
	}
}

// drop forgets the first orders and adds up the rest.
func (l *ledger) drop(n int) {
	l.wait = l.wait[n:]
	l.lines = 0
	for _, o := range l.wait {
		l.lines += o.lines
	}
}

// expire forgets orders whose marks will not come: the proxies are lost or stand still. It allows for a channel
// at a quarter of its usual speed.
func (l *ledger) expire(now int64) {
	for len(l.wait) > 0 {
		o := l.wait[0]
		if now-o.at < l.LongestWay+2*second+int64(4*l.lines/l.LinesPerS*float64(second)) {
			return
		}
		l.drop(1)
	}
}

// fits tells whether a whole table may go: the design lets these wait while half the backlog is in use.
func (l *ledger) fits(cost float64) bool { return l.lines == 0 || l.lines+cost <= l.Backlog/2 }

// may tells whether a proxy may be sent one more message. Half of what is allowed is kept for what the rules need.
func (l *ledger) may(p *proxy, now int64, urgent bool) bool {
	p.sent = slices.DeleteFunc(p.sent, func(at int64) bool { return at <= now-l.MessagesSpan-l.LongestWay })
	if l.MessagesMost == 0 || len(p.sent) > 0 && p.sent[len(p.sent)-1] == now {
		return true
	}
	if urgent {
		return len(p.sent) < l.MessagesMost
	}
	return len(p.sent) < l.MessagesMost/2
}

// open tells whether changes may go to all bound proxies now. Urgent ones that come one by one, as when a
// zone's backends drop from the list, wait for each other as long as the grace bears it twice: sent singly they
// used up the messages that a proxy may be written, and the last had to wait.
func (l *ledger) open(proxies []proxy, now, grace int64, urgent bool) bool {
	gap := min((grace-l.LongestWay-beat)/2, l.MessagesSpan/int64(max(l.MessagesMost, 1)))
	most := l.Backlog / 2
	if urgent {
		most = l.Backlog * 3 / 4
	}
	if l.lines > most {
		return false
	}
	for i := range proxies {
		p := &proxies[i]
		if p.bound && !l.may(p, now, urgent) {
			return false
		}
		if n := len(p.sent); p.bound && l.MessagesMost > 0 && n > 0 && p.sent[n-1] < now && p.sent[n-1]+gap > now {
			return false
		}
	}
	return true
}

// ---- slices

// slice is one part of the keys, with its owner.
type slice struct {
	mine  bool
	owner int
}

func newSlices(p Partition) []slice { return make([]slice, p.Count) }

func (c *Controller) SliceCame(id, class, count int, span int64) {}
func (c *Controller) SliceGiven(id int)                          {}
func (c *Controller) SliceTaken(id int)                          {}
func (c *Controller) SliceLine(id, backend int, weight float64)  {}
func (c *Controller) slicesLost(proxy int)                       {}
func (c *Controller) slicesApplied(proxy, mark int, now int64)   {}
func (c *Controller) tendSlices(now int64)                       {}
