package balancer

// How to call this module: New makes a Controller from its Host, its seed and the figures it starts with
// (all in host.go); after that there is one method for each thing that can happen, and each acts by calling
// the Host. Read New, then Elapsed, publish, judge and steer; docs/design.md says why things are so.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

const (
	second = int64(1_000_000)

	// From the design page, "ours" there, so defaults.
	pace           = 2 * second  // ordinary changes go out at most this often
	replyTimeout   = 5 * second  // the span of reports that scores look at
	triesToJudge   = 20          // fewer tries prove no share of failures
	firstBackoff   = 10 * second // a withdrawn backend returns after this, doubling ...
	longestBackoff = 60 * second // ... up to this
	entryShare     = 0.25        // new and returning backends begin with this part of the listed weight ...
	entryFor       = 5 * second  // ... for so long

	beat         = second / 4 // how often waiting work is looked at: well under any pace
	provenSilent = 5          // failures in a row that show death where others answer: proxies use as many
	inTime       = 3. / 4     // part of the grace within which all that it binds is to have left the channel
	mostAway     = 3. / 4     // part of the listed weight that may leave: a cut can hide all zones but one
	wellAnswered = 0.8        // a share of answers that shows a backend, or the fleet, at work
	strainAt     = 2.0        // a score (times the median) that is no chance where a queue stands as well
	strainStep   = 0.75       // weight goes down in steps of this: twice is about the spread of rough weights

	// Levels. Heat is the mean answer time over the target latency.
	hotAt      = 0.4       // from here a queue stands nearly everywhere: its tail misses the target latency
	calmAt     = 0.3       // below this hardly anything waits
	restAt     = 0.2       // heat without any queue, about: target latencies leave room
	jammed     = 1.5       // times what a jammed fleet answers at a look is the most that it can do
	leastCut   = 0.85      // part of the proven throughput that fixed weights can spread without queues
	deepestCut = 0.3       // a cut leaves this much: the queue is a guess, and what waits too long is dropped
	drain      = 2 * pace  // a queue is drained within this; orders keep the pace, so not faster
	ahead      = 1.15      // of what is answered now: a limit further ahead is none when it is needed
	easeUp     = 0.08      // wider below the heat of a cut, a step for each time that news takes, and ...
	easeFast   = 0.1       // ... while most backends have no queue, three times that when none has
	idleAt     = 0.8       // backends less busy, or with less waiting on average, have no queue
	elsewhere  = 0.67      // part of the answer time that their service takes at most then
	incredible = 0.6       // heat at which that is not believed: the figures may be old, or wrong
	spare      = 1.3       // times what was let in without a queue is taken to be possible, until one was seen
	leastTrim  = 0.5       // rates stand too high by less than this: a proxy with no line in most periods
	leastLet   = 0.05      // part of its demand that the least important class keeps: we go on hearing of it
	sameLevel  = 0.05      // levels that differ by less are one: reports are no finer
	unlimited  = 1_000_000 // a rate no proxy reaches

	// Parts of the fleet, each with a table and a part of the proxies, where backends take too few connections.
	tooMany   = 1.6 // proxies for each connection of the smallest backend; up to there many are quiet
	leastPart = 5   // backends in a part
	// Part of what leaves in time that tables are cut to where connections ask for parts as well.
	tableShare = 1. / 2
	shortPart  = 0.5 // of its fair share that it has left when it is given backends of the largest part ...
	fairPart   = 0.8 // ... until it has this much
)

// Controller decides for the proxies that are joined to it.
type Controller struct {
	host        Host
	seed, drawn uint64
	limits      RuleLimits
	sight       Telemetry
	classes     []Class
	shared, own uint16 // classes that use the shared table, and those that use their zone's
	backends    []*backend
	proxies     []*proxy
	parts       int   // one is usual
	waiting     []int // proxies to be bound, and then cleared, those with most traffic first
	channel     ledger
	levels      admission
	owners      ownership

	publishedAt, laidAt, lookedAt, askAt, askWait int64

	tries                               int     // heard of since the last look
	every                               float64 // microseconds that a report covers of late: news is as old
	grace                               int64   // what is left of it for the drain that was heard of last
	listedOnce, fallback, pressed, warm bool    // warm: some backend was listed that was not cold
}

// New makes a controller that knows nothing yet: until reports come, nothing is withdrawn for being unheard.
func New(host Host, seed uint64, classes []Class, channel PushChannel, limits RuleLimits, partition Sharding,
	sight Telemetry, admit AdmissionMode) *Controller {
	c := &Controller{host: host, seed: seed, limits: limits, sight: sight, classes: classes,
		lookedAt: host.Now(), channel: ledger{PushChannel: channel}, levels: newAdmission(admit, classes),
		owners: newOwnership(partition, classes), parts: 1, grace: limits.DrainGrace}
	for i, class := range classes {
		c.own |= uint16(count(class.ZoneLocal)) << i
	}
	c.shared = (1<<len(classes) - 1) &^ c.own
	host.SetTimer(beat, seed)
	return c
}

func (c *Controller) chance() float64 {
	h := fnv.New64a()
	fmt.Fprint(h, c.seed, " ", c.drawn)
	c.drawn++
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (c *Controller) logf(id int, f string, a ...any) { c.host.Log(id, fmt.Sprintf(f, a...)) }

// TimerFired is the beat: whatever waited for time or for room in the channel is looked at again.
func (c *Controller) TimerFired(tag uint64) {
	if tag != c.seed {
		return // a timer of an earlier life
	}
	now := c.host.Now()
	c.host.SetTimer(beat, c.seed)
	c.channel.expire(now)
	if c.sight.PollingRequired && now >= c.askAt { // an answer, or a failure, always comes
		c.host.PollEndpoints()
		c.askWait, c.askAt = max(second/2, min(2*c.askWait, c.sight.MaxPollInterval/4)), 1<<62
	}
	if c.tries > 0 && now-c.lookedAt >= c.sight.ReportInterval {
		c.judge(now)
		c.steer(now)
		c.lookedAt, c.tries = now, 0
	}
	c.returns(now)
	c.publish(now, c.levels.urgent || now-c.publishedAt >= pace)
}

// EndpointPollFailed asks again after a while, spread by chance so that controllers do not ask together.
func (c *Controller) EndpointPollFailed() {
	c.askAt = c.host.Now() + int64(float64(c.askWait)*(0.5+c.chance()))
}

// EndpointsUpdated takes in the list: whole, or what changed.
func (c *Controller) EndpointsUpdated(whole bool, entries []Endpoint) {
	now := c.host.Now()
	c.askWait = 0
	if whole && !c.listedOnce {
		c.divide(len(entries))
	}
	seen := make([]bool, len(c.backends))
	var carried *partWeights // by part; summed up once, as a list of many backends would cost their square
	for _, e := range entries {
		for len(c.backends) <= e.Backend {
			c.backends, seen = append(c.backends, &backend{}), append(seen, false)
		}
		b := c.backends[e.Backend]
		if seen[e.Backend] = true; !b.listed && c.parts > 1 {
			if carried == nil {
				carried = c.partWeights()
			}
			b.part = carried.lightest(e.Zone)
		}
		carried.add(b, -1)
		b.relist(e, now, c.listedOnce, c.sight.LoadDependentWeights)
		carried.add(b, 1)
	}
	for i, b := range c.backends {
		if whole && !seen[i] {
			b.State = Removed
		}
		c.warm = c.warm || b.State == Ready && !c.cold(b, now)
	}
	c.listedOnce = c.listedOnce || whole && len(entries) > 0
	c.publish(now, false)
}

// divide settles the number of parts: one, or as many as connections ask for, or more where the tables of all
// proxies, if they come to one controller, would not leave in time. One table for all is best where
// connections suffice, so then parts are no smaller than must be; else tables leave room for drains as well.
func (c *Controller) divide(backends int) {
	l, proxies, parts, share := &c.channel, float64(c.channel.Proxies), 1., 1.
	if many := proxies / float64(l.MinBackendConnections); l.MinBackendConnections > 0 && many > tooMany {
		parts, share = math.Ceil(many), tableShare
	}
	within := inTime * l.takes(c.limits.DrainGrace)
	if !c.owners.exist() && proxies*(l.header()+float64(backends)/parts) > within {
		parts = math.Ceil(float64(backends) / max(1, share*within/proxies-l.header()))
	}
	c.parts = max(1, min(int(parts), backends/leastPart, l.Proxies)) // a part without a proxy serves nobody

	for id, p := range c.proxies { // those that came before the list
		p.part = id % c.parts
	}
}

// lightest is the part with the least listed weight, the zone's twice: a lost one takes as much of each.
func (w *partWeights) lightest(zone int) int {
	least := 0
	for part := range w.all {
		if w.counted(part, zone) < w.counted(least, zone) {
			least = part
		}
	}
	return least
}

func (b *backend) relist(e Endpoint, now int64, entering, live bool) {
	restarted := b.listed && e.StartedAt > b.StartedAt
	// One that kept its line while a wrong list had dropped it is neither new nor cold.
	fresh := !b.listed || restarted || b.State != Ready && b.line == 0
	if e.State == Removed || live { // the size, not the load of the moment; a gone one's line may stand on
		e.Weight = max(e.Weight, b.Weight)
	}
	if b.Endpoint, b.listed = e, true; b.Weight <= 0 {
		b.Weight = 1
	}
	if e.State != Ready {
		if e.State == Draining && e.DrainingSince > 0 {
			b.late = max(b.late, now-e.DrainingSince)
		}
		b.drained = b.drained || e.State == Draining
		return
	}
	if b.drained, b.late = false, 0; restarted { // another process: what was heard of the old one says nothing
		b.away, b.backoff, b.strained = false, 0, 0
	}
	if fresh {
		b.enteredAt = now * int64(count(entering))
		b.forget(now)
	}
}

// ForgetBackend ends what is kept of a backend that is gone: its index may mean another. Not while it has a line.
func (c *Controller) ForgetBackend(id int) bool {
	gone := c.backends[id].State == Removed && c.backends[id].line == 0
	if gone {
		c.backends[id] = &backend{}
	}
	return gone
}

// usable leaves the score aside. Where only draining binds, one that the list drops is, until its tries fail.
func (c *Controller) usable(b *backend, now int64) bool {
	if b.State == Removed {
		return !c.mustLeave(b) && !b.away && b.line > 0
	}
	return b.listed && b.State == Ready
}

// graceLeft is what is left of it for the drain that was heard of last after its order, until it is told.
func (c *Controller) graceLeft() int64 {
	late := int64(0)
	for _, b := range c.backends {
		if b.late > late && c.mustLeave(b) && (b.line > 0 || !b.out) {
			late = b.late
		}
	}
	return max(0, c.limits.DrainGrace-late)
}

// mustLeave tells whether rule 3 binds for a backend.
func (c *Controller) mustLeave(b *backend) bool {
	return b.listed && b.State != Ready && (b.drained || !c.limits.OnlyDrainingMustLeave)
}

// OutcomesReported is what our proxies of some zone met at a backend, within a span that ended a moment ago.
func (c *Controller) OutcomesReported(id, tries, failed int, mean, span int64, load BackendLoad) {
	if id >= len(c.backends) || tries <= 0 {
		return
	}
	now, b := c.host.Now(), c.backends[id]
	c.tries += tries
	from := now
	if c.every > c.levels.deadline { // lines wait for their turn: they tell of requests that are all over
		if from -= max(0, span-c.sight.ReportInterval); from < max(b.StartedAt, b.enteredAt) {
			return // of another process, or of when it was away
		}
	}
	b.samples = append(b.samples, sample{now, from, mean * int64(tries-failed), tries, failed})
	if load.CPUUtilization >= 0 || load.QueueLength >= 0 {
		b.load = load
	}
	if b.unheard += tries; failed < tries {
		b.answered, b.unheard = now, 0
	}
}

// PeerOutcomesReported is what proxies of another controller met: it counts where ours met nothing, or no answer either.
func (c *Controller) PeerOutcomesReported(id, tries, failed int, mean, wait int64) {
	if id >= len(c.backends) || tries <= 0 {
		return
	}
	now, b := c.host.Now(), c.backends[id]
	b.others = append(b.others, sample{now, now, mean * int64(tries-failed), tries, failed})
	if b.tally(now); !b.elsewhere && (b.unheard == 0 || failed < tries) {
		return
	} else if b.unheard += tries; failed < tries {
		b.answered, b.unheard = now, 0
	}
	if b.backoff = max(b.backoff, wait/2); b.unheard >= provenSilent { // where it leaves R, for as long as there
		c.judge(now)
	}
}

// DemandReported is what came to a proxy, refused requests and repeats by clients among it.
func (c *Controller) DemandReported(id, class, count int, span int64) {
	if c.proxies[id].joined && span > 0 {
		c.smooth(&c.proxies[id].rates[class], count, span)
		c.levels.came[class] += float64(count)
		c.every += (float64(span) - c.every) / 64 // of some lines: a line a proxy and class may take many seconds
	}
}

// smooth weighs a count with its span, as a proxy that gets little has no line in most periods.
func (c *Controller) smooth(rate *float64, count int, span int64) {
	*rate += (float64(count)*float64(second) - *rate*float64(span)) / float64(c.sight.ReportInterval+span)
}

// ProxyConnected takes a proxy in. It holds stale tables until it is bound, which is as soon as there is room.
func (c *Controller) ProxyConnected(id, zone int, usual float64, keeps bool) {
	for len(c.proxies) <= id {
		c.proxies = append(c.proxies, &proxy{})
	}
	n := len(c.classes) // it counts with its ordinary traffic until it is heard of
	c.proxies[id] = &proxy{joined: true, bound: c.owners.exist(), keeps: keeps, zone: zone, usual: max(usual, 1),
		part: id % c.parts, joinedAt: c.host.Now(), rates: slices.Repeat([]float64{usual / float64(n)}, n),
		sent: c.proxies[id].owed, cramped: c.proxies[id].owed != nil}
	for i := range c.owners.all { // it reads lines from the store, but must hear which writes are held
		if s := &c.owners.all[i]; s.held > 0 {
			s.held = -1
		}
	}
	// Where the channel may need long for all, it goes first to those whose tables carry most.
	long := float64(count(c.channel.room() < c.channel.Backlog))
	c.waiting = slices.DeleteFunc(c.waiting, func(other int) bool { return other == id })
	at, _ := slices.BinarySearchFunc(c.waiting, c.proxies[id].usual, func(other int, usual float64) int {
		return cmp.Or(cmp.Compare(usual*long, c.proxies[other].usual*long), -1)
	})
	c.waiting = slices.Insert(c.waiting, at, id)
	c.bindWaiting(c.host.Now())
}

// ProxyDisconnected takes the end of a proxy: it goes on with what it holds, and nothing more can be told to it.
func (c *Controller) ProxyDisconnected(id int) {
	c.proxies[id] = &proxy{leftAt: c.host.Now()}
}

// Acknowledged takes the answer to a mark: its message has come through, and with it all that left before it.
func (c *Controller) Acknowledged(id, mark int) {
	c.proxies[id].applied = c.channel.applied(mark, c.proxies[id])
	c.bindWaiting(c.host.Now())
}

// tables hands out the tables that a proxy of a part and zone uses, with their classes.
func (c *Controller) tables(part, zone int, do func(table int, classes uint16)) {
	for i, classes := range []uint16{c.shared, c.own} {
		if classes != 0 {
			do(part+i*(c.parts-part+zone), classes)
		}
	}
}

// in tells whether a table is one that has a backend's line: its part's, or its zone's.
func (c *Controller) in(b *backend, table int) bool {
	if table >= c.parts {
		return c.own != 0 && table-c.parts == b.Zone
	}
	return c.shared != 0 && b.part == table
}

// share is the part of its listed weight that a backend may carry now.
func (c *Controller) share(b *backend, now int64) float64 {
	part := cmp.Or(b.strained, 1)
	if !c.cold(b, b.enteredAt) && now-b.enteredAt < entryFor { // a cold one is eased in below
		part = min(part, entryShare)
	}
	// Rule 4: a cold backend is sent what it surely can do. Steps of a quarter keep the orders few.
	if c.cold(b, now) {
		sure := c.limits.ColdStartShare + (1-c.limits.ColdStartShare)*float64(now-b.StartedAt)/float64(c.limits.WarmupTime)
		part = min(part, max(float64(int(sure*4))/4, c.limits.ColdStartShare))
	}
	return part
}

// cold: one that is to start within as long is so too, as clocks may differ by that.
func (c *Controller) cold(b *backend, now int64) bool {
	return b.StartedAt > 0 && max(now-b.StartedAt, b.StartedAt-now) < c.limits.WarmupTime
}

func (c *Controller) wanted(b *backend, now int64) float64 {
	// Where proxies heed no levels, or we may have started in a jam, only absence keeps it from a cold one.
	blind := c.levels.how == AdmissionUnsupported && c.levels.heat > hotAt || c.levels.target == 0 && c.warm
	out := blind && c.cold(b, now)
	if !c.usable(b, now) || b.away && !c.fallback || out {
		return 0
	}
	return b.Weight * c.share(b, now)
}

// publish lays what differs from the standing tables. What rules need goes at once, the rest keeps the pace.
func (c *Controller) publish(now int64, ordinary bool) {
	bare := !slices.ContainsFunc(c.backends, func(b *backend) bool { return b.line > 0 })
	must := func(b *backend, want float64) bool {
		return want < b.line && (c.cold(b, now) || c.mustLeave(b)) || want > 0 && bare
	}
	header, strange, joined, need := c.channel.header(), 0., 0., 0.
	c.grace = c.graceLeft()
	c.owing(now, map[int]float64{})
	bound, kept := make([]float64, c.parts), make([]float64, c.parts)
	for _, p := range c.proxies {
		bound[p.part] += float64(count(p.bound))
		kept[p.part] += float64(count(p.bound && (p.cleared || p.told > 0)))
		joined += float64(count(p.joined))
		strange += float64(count(p.joined && (!p.bound || c.owners.exist())))
	}
	// What a line costs: the proxies of its part hear of it, each in one message with all that goes to it now.
	charge := func(b *backend, told []bool) float64 {
		fresh := float64(count(!told[b.part]))
		return bound[b.part]*(1+header*fresh) + kept[b.part]*float64(count(b.line == 0))
	}
	due, told := slices.ContainsFunc(c.levels.order, c.levels.stale), make([]bool, c.parts)
	weights, fair := c.weights(now)
	for part, w := range weights {
		if w < shortPart*fair {
			need, told[part] = need+1+bound[part]*header, true
		}
	}
	outs, table := 0., header+float64(len(c.backends)/c.parts)
	for _, b := range c.backends {
		due = due || c.wanted(b, now) != b.line
		if must(b, c.wanted(b, now)) {
			need, told[b.part] = need+max(charge(b, told), 1), true
		}
		outs += float64(count(b.out != c.mustLeave(b)))
	}
	bind := strange > 0 && !c.owners.exist() && c.binds(table, header+outs, int(strange))
	if !bind {
		need += outs + strange*min(1, outs)*(header+outs)
	}
	if c.levels.urgent { // all let in meanwhile adds to a queue
		need += (header + 1) * joined
	}
	goes := (ordinary || need > 0) && c.channel.open(c.proxies, now, c.laidAt, c.grace, need)
	c.pressed = !goes && (ordinary && due && c.channel.lines > c.channel.room()/8 || // binds wait
		need > 0 && c.channel.lines+need > c.channel.room())
	if goes {
		laid, left, order := false, false, []*backend(nil)
		stood, lost := 0., 0.
		for _, b := range c.backends {
			stood += b.carried()
		}
		// Where the channel is short, lines go where they change most; those of a part share its messages.
		gap := func(b *backend) float64 { return math.Abs(c.wanted(b, now) - b.line) }
		gaps := make([]float64, c.parts)
		for _, b := range c.backends {
			if c.wanted(b, now) != b.line {
				order, gaps[b.part] = append(order, b), gaps[b.part]+gap(b)
			}
		}
		slices.SortStableFunc(order, func(x, y *backend) int {
			return cmp.Or(cmp.Compare(gaps[y.part], gaps[x.part]), x.part-y.part, cmp.Compare(gap(y), gap(x)))
		})
		clear(told)
		for _, first := range []bool{true, false} {
			for _, b := range order {
				want := c.wanted(b, now)
				if want == b.line || must(b, want) != first {
					continue
				}
				if cost := charge(b, told); !c.channel.fits(cost, first) || !first && c.channel.delays(cost) {
					left = true
					continue
				}
				if b.State != Ready || c.cold(b, now) { // a withdrawal tells of our own proxies only
					lost += max(0, b.line-want) / cmp.Or(b.strained, 1)
				}
				c.setLine(b, want)
				laid, told[b.part], bare = true, true, bare && want == 0
			}
		}
		laid = c.even(now, weights, fair, bound) || laid
		fresh := header + float64(len(c.classes))
		for i, b := range c.backends { // proxies that still hold tables of others stay off these as well
			// Once their line is gone, as long as it stands a withdrawal costs one to each bound proxy too.
			out := c.mustLeave(b) && b.line == 0
			if out != b.out && !bind && c.channel.fits(strange*(1+fresh), true) {
				b.out, fresh = out, 0
				c.host.Withdraw(i, out)
				c.billEach(1, func(p *proxy) bool {
					p.told += float64(count(!p.bound))
					return !p.bound || c.owners.exist()
				})
			}
		}
		c.foresee(now, stood, lost)
		if c.levels.urgent = false; c.layLevels() || laid {
			c.publishedAt = now * int64(count(!left)) // the rest goes as soon as there is room
		}
	}
	c.tendSlices(now)
	c.bindWaiting(now)
}

func (c *Controller) setLine(b *backend, weight float64) {
	entering := b.line == 0
	if b.line = weight; c.owners.exist() {
		return // the owner of a slice is its table
	}
	for table := range c.parts + b.Zone + 1 {
		if c.in(b, table) {
			c.tell(b, table, weight, entering)
		}
	}
}

func (c *Controller) tell(b *backend, table int, weight float64, entering bool) {
	uses := func(p *proxy) bool { return p.bound && (table == p.part || table == c.parts+p.zone) }
	c.host.PublishEntry(table, b.Backend, weight)
	c.billEach(1, uses)
	c.billEach(1, func(p *proxy) bool { return entering && (p.cleared || p.told > 0) && uses(p) })
}

// even gives parts that are short backends of the one that has most, as far as there is room: their proxies
// would overfill the few that are left. Never cold ones, which would be new to twice as many proxies.
func (c *Controller) even(now int64, weights []float64, fair float64, bound []float64) (told bool) {
	for to := range weights {
		for short := weights[to] < shortPart*fair; short && weights[to] < fairPart*fair; {
			from := slices.Index(weights, slices.Max(weights))
			at := slices.IndexFunc(c.backends, func(b *backend) bool {
				return b.part == from && b.line > 0 && c.wanted(b, now) == b.line && !c.cold(b, now)
			})
			cost := (bound[from] + bound[to]) * (c.channel.header() + 1)
			if at < 0 || weights[from] <= fair || !c.channel.fits(cost, true) {
				break
			}
			b := c.backends[at]
			c.logf(at, "goes over to part %d, which has %.0f%% of its share", to, 100*weights[to]/fair)
			c.tell(b, from, 0, false)
			b.part, told = to, true
			c.tell(b, to, b.line, true)
			weights[from], weights[to] = weights[from]-b.line, weights[to]+b.line
		}
	}
	return told
}

// bindWaiting gives whole tables to proxies that hold those of others, as there is room: the busiest first,
// but those that waited for half the grace before all. Who waits hears at once of levels and withdrawals, as
// rule 3 binds whatever table it brought, unless a table comes in time for little more. Then all are cleared.
func (c *Controller) bindWaiting(now int64) {
	unbound, bound, l, spare := 0, 0, &c.channel, c.channel.room()/4 // spare is kept for what cannot wait
	header, sizes := l.header(), map[int]float64{}
	outs, message := c.withdrawals()
	if len(c.waiting) == 0 || !l.fits(header, false) && !l.fits(message+spare, true) {
		return // thousands may wait, and this is looked at with each mark
	}
	for _, i := range c.waiting {
		unbound += count(c.proxies[i].joined && !c.proxies[i].bound)
	}
	c.owing(now, sizes)
	for _, aged := range []bool{true, false} {
		for _, i := range c.waiting {
			p := c.proxies[i]
			if now-p.joinedAt > c.limits.DrainGrace/2 != aged {
				continue
			}
			lines, cost, bare := c.whole(p, sizes)
			due := !c.pressed || !p.bound && l.delays(0)
			ready := p.joined && !bare && due && l.fits(cost, false) && l.may(p, now, false)
			switch {
			case ready && !p.bound:
				p.bound, bound, l.owed = true, bound+1, l.owed-cost
				c.bill(p, 1+cost-header+min(p.told, lines))
				c.tables(p.part, p.zone, func(table int, classes uint16) { c.host.AssignTable(table, i, classes) })
			case ready && p.keeps && !p.cleared && unbound == 0 && l.fits(lines+spare, false):
				p.cleared = true
				c.bill(p, lines)
				c.host.ClearWithdrawals(i)
			case !p.bound && !p.reminded && (p.keeps || outs > 0) && l.may(p, now, true) &&
				(bare || 2*message <= cost) && (aged || !c.pressed && !c.binds(cost, message, unbound)) &&
				l.fits(message+spare, true) && c.host.SyncWithdrawals(i, unlimited, RetryIfNotExecuted):
				p.reminded, p.told = true, outs
				c.bill(p, outs+float64(len(c.classes)))
			}
		}
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(id int) bool {
		p := c.proxies[id]
		return !p.joined || p.bound && p.cleared == p.keeps
	})
	if bound > 0 && unbound == bound {
		c.bindWaiting(now) // what is to be cleared may go along
	}
}

// binds tells whether those who wait are as well bound as told by messages of their own.
func (c *Controller) binds(table, message float64, waiting int) bool {
	return table <= 3*message && table*float64(waiting) <= inTime*c.channel.takes(c.grace)
}

// relevels is how many lines of levels a whole table takes along, as it makes a proxy forget them.
func (c *Controller) relevels() float64 {
	return max(c.channel.LimitLines, float64(len(c.classes)*count(c.levels.told)))
}

// judge scores every backend and settles which leave R.
func (c *Controller) judge(now int64) {
	var shares, means []float64
	listed, away := 0., 0.
	for _, b := range c.backends {
		b.tally(now)
		if !c.usable(b, now) {
			continue
		}
		listed += b.Weight
		if b.away {
			away += b.Weight
		} else if b.mean > 0 {
			shares, means = append(shares, b.answers()), append(means, b.mean)
		}
	}
	usual, median := middle(shares, 1), middle(means, 0)
	for i, b := range c.backends {
		if !c.usable(b, now) || b.away {
			continue
		}
		if b.score = 1; b.mean > 0 && median > 0 {
			b.score = b.mean / median
		}
		lags := b.mean >= hotAt*c.levels.target && b.score >= strainAt && b.tries >= triesToJudge/2 &&
			!b.load.idle(b.mean) && !b.elsewhere
		switch {
		// Silence counts only with tries, and where most answer: what is shared condemns nobody.
		case usual >= wellAnswered && b.unheard >= provenSilent,
			lags && b.strained > 0 && b.strained <= entryShare: // it can do nothing even with the least weight
			away = c.leave(i, now, away, mostAway*listed)
		// One that answers, but late, has a queue: if others fare far better it loses part of its weight.
		case lags:
			c.strain(i, now)
		case b.tries >= triesToJudge && usual >= wellAnswered && b.answers() < usual/2:
			away = c.leave(i, now, away, mostAway*listed)
		}
	}
}

// leave takes a backend out of R unless too much is away: a mistake must not put the load of many on a few.
func (c *Controller) leave(id int, now int64, away, most float64) float64 {
	b := c.backends[id]
	b.score = -1
	if away+b.Weight > most && b.State != Removed {
		return away
	}
	b.backoff = max(firstBackoff, min(2*b.backoff, longestBackoff))
	b.away, b.learnt, b.backAt, b.probedAt = true, b.elsewhere, now+b.backoff, now
	c.logf(id, "leaves R: %d of %d tries failed, %d s", b.failed, b.tries, b.backoff/second)
	return away + b.Weight
}

// strain takes weight off a backend at which alone a queue must stand; hurts where times differ by nature.
func (c *Controller) strain(id int, now int64) {
	b := c.backends[id]
	if b.strained == 0 {
		c.logf(id, "strained: answers take %.1f times the median", b.score)
	}
	b.strained = max(cmp.Or(b.strained, 1)*strainStep, entryShare)
	b.since, b.widenAt = now, now+2*firstBackoff
}

// returns brings backends back after their time, or probes them. R empty: B random ones, which is all.
func (c *Controller) returns(now int64) {
	r, usable := 0, 0
	for i, b := range c.backends {
		if b.away && now >= b.backAt {
			c.comeBack(i, now, false)
		} else if b.away && c.sight.HealthChecksAllowed && now-b.probedAt >= b.backoff/3 {
			b.probedAt = now
			c.host.CheckHealth(i)
		}
		if b.strained > 0 && now >= b.widenAt {
			b.widenAt = now + 2*firstBackoff
			if b.strained /= strainStep; b.strained > 1-sameLevel {
				b.strained = 0
			}
		}
		usable += count(c.usable(b, now))
		r += count(c.usable(b, now) && !b.away)
	}
	if empty := r == 0 && usable > 0; empty != c.fallback {
		c.fallback = empty
		c.logf(-1, "R empty: %v, %d backends usable", empty, usable)
	}
}

func (c *Controller) comeBack(id int, now int64, probed bool) {
	b := c.backends[id]
	b.away, b.enteredAt = false, now
	b.forget(now)
	c.logf(id, "returns to R, probed %v, after %d s", probed, b.backoff/second)
}

// HealthCheckCompleted is how a probe ended. A pass may show little more than that the process runs.
func (c *Controller) HealthCheckCompleted(id int, outcome HealthCheckResult) {
	if id < len(c.backends) && outcome == HealthCheckPassed && c.backends[id].away {
		c.comeBack(id, c.host.Now(), true)
	}
}

func newAdmission(how AdmissionMode, classes []Class) admission {
	a := admission{how: how, laid: make([]float64, len(classes)), want: make([]float64, len(classes)),
		quota: make([]float64, len(classes))}
	for i, class := range classes {
		a.came, a.trim = append(a.came, 0), append(a.trim, 1)
		a.order = append(a.order, i)
		a.deadline = max(a.deadline, float64(class.Deadline))
		a.units = append(a.units, max(float64(class.LatencyObjective)/float64(second), 1e-3))
	}
	slices.SortStableFunc(a.order, func(x, y int) int {
		vx, vy := classes[x].PriorityWeight/a.units[x], classes[y].PriorityWeight/a.units[y]
		return count(vx < vy) - count(vx > vy)
	})
	return a
}

func (c *Controller) look(now int64) (r reading) {
	a := &c.levels
	var means []float64
	tries, answers, took, ours, told, requests := 0, 0, 0., 0., 0., 0.
	for _, p := range c.proxies { // of those that just joined the reports are still to come
		ours += p.usual
		told += p.usual * max(0, min(1, float64(now-p.joinedAt-c.sight.ReportInterval)/float64(now-c.lookedAt)))
	}
	for _, b := range c.backends {
		r.laid += b.carried() * ours
		if b.tries > 0 && !b.elsewhere { // where reports are few, one look hears of a part of the fleet
			r.recent += b.carried() * told
		}
		answered, failed, late := 0, 0, 0.
		for _, s := range b.samples {
			if s.at > c.lookedAt {
				answered, failed, late = answered+s.tries-s.failed, failed+s.failed, late+float64(s.took)
			}
		}
		if answered == 0 {
			r.dead += b.carried() * ours * float64(count(failed > 0))
			continue
		}
		mean := late / float64(answered)
		means = append(means, mean)
		tries, took = tries+answered, took+late
		// One that lags far behind the median says how slow things are, but not what a weight can do.
		if b.line > 0 && b.score < strainAt {
			answers, r.heard = answers+answered, r.heard+b.carried()*told
		}
		// Failures of one that answers late are time-outs in its queue; others, like lost answers or connections
		// that it does not take, are none.
		if mean > hotAt*a.target {
			tries, took = tries+failed, took+float64(failed)*a.deadline/2
		} else {
			answers += failed
		}
	}
	for class := range c.classes {
		rates, total := c.demand(class)
		a.trimTo(class, total, float64(now-c.lookedAt)/float64(second))
		for _, rate := range rates {
			r.came += rate * a.units[class]
			if a.laid[class] > 0 && a.how == AdmissionByRate {
				rate = min(rate, a.laid[class])
			} else if a.laid[class] > 0 {
				rate *= a.laid[class]
			}
			requests += rate
			r.let += rate * a.units[class]
		}
	}
	if tries > 0 && requests > 0 {
		a.target = r.let / requests * float64(second)
		r.heat, r.median = took/float64(tries)/a.target, middle(means, 0)/a.target
		// Reports that a stall of ours held back come together, and are counted over the whole time.
		r.answered = float64(answers) / float64(now-c.lookedAt) * a.target
	}
	return r
}

// trimTo follows what was counted at all proxies: a rate stands until its proxy's next line, which adds up.
func (a *admission) trimTo(class int, total, seconds float64) {
	if a.came[class] > 0 && total > 0 {
		a.trim[class] = max(leastTrim, min(1, a.trim[class]*(1+a.came[class]/seconds/total)/2))
		a.came[class] = 0
	}
}

// steer settles how much is let in. When a queue stands nearly everywhere, what was answered is what can be:
// less the queue while it drains, then most of it.
func (c *Controller) steer(now int64) {
	a, r := &c.levels, c.look(now)
	a.heat = r.heat
	if r.heat > 0 && r.heat < hotAt && r.recent > r.laid/2 { // thinly heard demand proves nothing
		a.proven = max(a.proven, r.let/r.laid)
	}
	if r.heat == 0 || r.heard == 0 || a.how == AdmissionUnsupported {
		return
	}
	was, idle := a.bound, r.heat < incredible && c.idle(r.heat*a.target)
	rests := r.median < calmAt && r.heat < hotAt // most have no queue, whatever a few have
	lag := c.sight.ReportInterval + c.channel.MaxLatency + second
	queue := max(0, r.heat-restAt) * a.target // before a new request, as time
	hot := r.heat > hotAt && r.median > calmAt && !idle
	a.hotSince = cmp.Or(a.hotSince, now) * int64(count(hot))
	// What stood in queues then may be answered or given up: only heat that outlasts old news is an overload.
	hot = hot && (c.every <= a.deadline || float64(now-a.hotSince) >= c.every)
	switch {
	case now < a.holdUntil:
		// What is heard now is late: half of the queue that it shows may be gone.
		if part := max(deepestCut, leastCut-queue/2/float64(drain)); now >= a.drainedAt || part < a.part {
			a.part = part
		}
	case hot:
		// As a queue stands, hardly more than was let in; what was answered was, even where demand is still thin.
		able := min(r.answered/r.heard, ahead*max(r.let, r.answered)/r.laid)
		if a.able == 0 {
			a.able = able
		}
		a.able = min((a.able+able)/2, jammed*able) // what was proven before a cut holds no more
		// What came while we did not know is in the queue as well.
		queue += max(0, r.let/(a.able*(r.laid-r.dead))-1) * float64(lag/2)
		a.part = max(deepestCut, leastCut-queue/float64(drain))
		a.drainedAt, a.holdUntil, a.hotSince, a.urgent = now+drain, now+drain+lag, 0, true
	case a.part > 0 && r.came > a.limit && (idle || r.heat < hotAt) && now-a.widenedAt >= lag:
		wider := easeUp // until it is heard of: steps on steps would overshoot by as many as fit into the lag
		if idle || rests {
			wider = easeFast * (1 + 2*max(0, min(1, (calmAt-r.heat)/(calmAt-restAt))))
		}
		a.widenedAt = now
		a.part = min(a.part*(1+wider*r.heard/r.laid), ahead*r.came/(a.able*r.laid)) // as far as we know of it
	}
	a.limit = a.part * a.able * r.laid
	if a.bound = a.part > 0 && r.came > a.limit; was != a.bound {
		c.logf(-1, "limit bound %v at %.1f units/s: heat %.2f, %.1f come, %.1f answered",
			a.bound, a.limit, r.heat, r.came, r.answered)
	}
	c.setLevels()
}

// foresee reckons what the list has just taken of our lines against what was proven: reports show a queue
// when it stands. Where none ever did, all that is known is what was let in without one, and a guess. Old
// news takes long to show that it was too low, so there it is made only where something waited already.
func (c *Controller) foresee(now int64, stood, lost float64) {
	a, came, ours := &c.levels, 0., 0.
	for class := range c.classes {
		_, total := c.demand(class)
		came += total * a.units[class]
	}
	for _, p := range c.proxies {
		ours += p.usual
	}
	able := spare * a.proven * (stood - lost) * ours
	switch {
	case a.how == AdmissionUnsupported || lost == 0 || lost >= stood:
		return
	case a.part > 0:
		a.limit *= 1 - lost/stood
	case a.proven > 0 && came > able && (c.every <= a.deadline || a.heat > calmAt):
		a.able, a.part, a.limit, a.widenedAt = spare*a.proven, 1, able, now
	}
	if was := a.bound; a.part > 0 && was != (came > a.limit) {
		a.bound = !was
		c.logf(-1, "limit bound %v at %.1f units/s, ahead of reports: %.0f%% of the weight went, %.1f come",
			a.bound, a.limit, 100*lost/stood, came)
	}
	c.setLevels()
}

// idle tells whether the backends say themselves that it is not they who are slow: proxies stand still, then.
func (c *Controller) idle(mean float64) bool {
	n, idle := 0, 0
	for _, b := range c.backends {
		if b.line > 0 && b.answered > c.lookedAt && b.load != (BackendLoad{}) {
			n, idle = n+1, idle+count(b.load.idle(mean))
		}
	}
	return 2*idle > n
}

func (l BackendLoad) idle(mean float64) bool {
	light := l.QueueLength >= 0 && l.QueueLength < idleAt && l.ServiceTime < elsewhere*mean
	return l != (BackendLoad{}) && (light || l.CPUUtilization >= 0 && l.CPUUtilization < idleAt)
}

// setLevels shares the limit out, value first; capping the busiest proxies, repeats count for nothing. A
// quota of a class is that of the whole fleet: of it we have what our proxies are of all.
func (c *Controller) setLevels() {
	a, joined := &c.levels, 0.
	for _, p := range c.proxies {
		joined += float64(count(p.joined))
	}
	left, ours := cmp.Or(a.limit, math.Inf(1)), max(joined, 1)/max(joined, float64(c.channel.Proxies), 1)
	for _, class := range a.order {
		rates, total := c.demand(class)
		most := min(left/a.units[class], cmp.Or(a.quota[class], math.Inf(1))*ours)
		part := min(total, max(most, leastLet*total))
		left -= part * a.units[class]
		if a.want[class] = 0; part < total && a.how == AdmissionByRate {
			a.want[class] = waterline(rates, part)
		} else if part < total && a.how == AdmissionByShare {
			a.want[class] = part / total
		}
	}
}

func (a *admission) stale(class int) bool {
	gap := math.Abs(a.want[class] - a.laid[class])
	return gap > 0 && gap >= sameLevel*a.laid[class]
}

func (c *Controller) layLevels() bool {
	a, laid := &c.levels, false
	for class := range c.classes {
		if !a.stale(class) {
			continue
		}
		a.laid[class], laid = a.want[class], true
		allowance, tries := a.want[class], NoRetry // a further try would only add to the queue
		if allowance == 0 {
			allowance, tries = unlimited, RetryIfNotExecuted
		}
		c.host.SetAdmissionLimit(AllTables, 1<<class, allowance, tries)
		a.told = true
		c.billEach(1, func(*proxy) bool { return true })
	}
	return laid
}

// ledger counts lines until their mark, or a later one, has come back, so it holds when the channel is slow.
type ledger struct {
	PushChannel
	lines   float64
	owed    float64 // lines that must follow, of the tables of those who wait, and ...
	due     float64 // ... how many may stand in the channel with them for the first of these to have its in time
	waiting []order
	count   int64 // orders so far; a mark is its low 16 bits
}

// bill counts lines to a proxy, and with the first at this clock time the message and its mark.
func (c *Controller) bill(p *proxy, lines float64) {
	l, now := &c.channel, c.host.Now()
	if n := len(l.waiting); n == 0 || l.waiting[n-1].at != now {
		l.count++
		l.waiting = append(l.waiting, order{count: l.count, at: now, reached: map[*proxy]float64{}})
		c.host.RequestAck(int(l.count&0xffff), false)
	}
	o := &l.waiting[len(l.waiting)-1]
	if n := len(p.sent); n == 0 || p.sent[n-1] != now {
		p.sent = append(p.sent, now)
		lines += l.header() + (c.relevels()-l.LimitLines)*float64(count(!p.bound)) // it has heard of none yet
	}
	o.reached[p] += lines
	o.lines += lines
	l.lines += lines
}

// expire forgets orders whose marks will not come, even at a quarter of the channel's usual speed.
func (l *ledger) expire(now int64) {
	for len(l.waiting) > 0 {
		patience := l.MaxLatency + 2*second + int64(4*l.lines/max(l.LinesPerSecond, 1)*float64(second))
		if now-l.waiting[0].at < patience {
			return
		}
		l.drop(1)
	}
}

// header is what each message costs beside what it is for: head, mark, and levels where they always go along.
func (l *ledger) header() float64 { return l.MessageOverhead + 1 + l.LimitLines }

// room is how many lines may wait. Where the backlog bears far more than two paces take to send, what joins
// its end would be late by all of that; held back here it is decided on later news, and shares messages.
func (l *ledger) room() float64 {
	return min(l.Backlog, l.takes(2*pace))
}

// fits tells whether lines may go: what no rule needs, as of a growing fleet, waits at half the room.
func (l *ledger) fits(cost float64, must bool) bool {
	return l.lines == 0 || l.lines+cost <= l.room()/2 || must && l.lines+cost <= l.room()
}

// delays tells whether, with so many lines before them, tables would come too late to those who wait: rule 3
// binds whatever they brought, and that may name what had gone before we began, which no message takes out.
func (l *ledger) delays(cost float64) bool { return l.owed > 0 && l.lines+cost+l.owed > l.due }

// may tells whether a proxy may be sent one more message. Half of those allowed are kept for what is urgent.
func (l *ledger) may(p *proxy, now int64, urgent bool) bool {
	p.sent = slices.DeleteFunc(p.sent, func(at int64) bool { return at <= now-l.MessageWindow-l.MaxLatency })
	if l.MaxMessages == 0 || len(p.sent) > 0 && p.sent[len(p.sent)-1] == now {
		return true
	}
	return len(p.sent) < max(l.MaxMessages/2, (l.MaxMessages-2)*count(p.cramped), l.MaxMessages*count(urgent))
}

// open tells whether changes may go to all bound proxies now. Needed ones wait for each other as long as the
// grace bears it twice, what does not fit as one piece for an emptier channel.
func (l *ledger) open(proxies []*proxy, now, last, grace int64, need float64) bool {
	gap := min((grace-l.MaxLatency-beat)/2, l.MessageWindow/int64(max(l.MaxMessages, 1)))
	if l.MaxMessages > 0 && now > last && now-last < gap ||
		l.lines > l.room()/8 && (need == 0 || l.lines+need > l.room()) {
		return false
	}
	return !slices.ContainsFunc(proxies, func(p *proxy) bool { return p.bound && !l.may(p, now, need > 0) })
}

func newOwnership(p Sharding, classes []Class) ownership {
	o := ownership{Sharding: p, all: make([]slice, p.Count)}
	for i, class := range classes {
		if class.Writes {
			o.writes |= 1 << i
		}
	}
	return o
}

func (o *ownership) exist() bool { return len(o.all) > 0 }

func (c *Controller) ShardAssigned(id int) {
	// Unless we just started: whoever had it may have been moving it, and a former owner have writes in hand.
	unsure := int64(count(c.owners.SingleOwner && c.levels.target > 0))
	c.owners.all[id] = slice{mine: true, owner: -1, rates: make([]float64, len(c.classes)), held: -unsure}
}

func (c *Controller) ShardRevoked(id int) { c.owners.all[id] = slice{} }

func (c *Controller) ShardOwnerStored(id, backend int, weight float64) {
	if s := &c.owners.all[id]; s.mine && weight > 0 {
		s.owner = backend
		c.tendSlices(c.host.Now()) // proxies read the store within moments
	}
}

func (c *Controller) ShardDemandReported(id, class, count int, span int64) {
	if s := &c.owners.all[id]; s.mine && span > 0 {
		c.smooth(&s.rates[class], count, span)
	}
}

// tendSlices gives slices owners that can serve them. Rule 2, for single ones: writes stop as it moves until
// each proxy has said so, or was lost for as long as it would write, and what it had sent is settled.
func (c *Controller) tendSlices(now int64) {
	o := &c.owners
	for id := range o.all {
		s := &o.all[id]
		if s.held > 0 && c.settled(s, now) {
			s.held = 0
			c.host.PublishEntry(id, s.owner, 1)
			c.host.SetAdmissionLimit(id, o.writes, unlimited, RetryIfNotExecuted)
			c.billEach(2, func(*proxy) bool { return true })
		}
		from, to := s.owner, c.successor(s, now)
		if to < 0 && s.held < 0 {
			to = from
		}
		if s.held > 0 || to < 0 || !c.channel.open(c.proxies, now, c.laidAt, c.grace, c.channel.Backlog/4) {
			continue
		}
		if s.owner = to; o.SingleOwner && (from >= 0 || s.held < 0) {
			c.hold(id, from)
			continue
		}
		c.host.PublishEntry(id, to, 1)
		if from >= 0 {
			c.host.PublishEntry(id, from, 0)
		}
		c.billEach(2, func(*proxy) bool { return true })
	}
}

// hold stops writes to a slice until its move has settled; reads go on at the new owner where levels work.
func (c *Controller) hold(id, from int) {
	s := &c.owners.all[id]
	if c.levels.how == AdmissionUnsupported && from >= 0 {
		c.host.PublishEntry(id, from, 0)
	} else if c.levels.how != AdmissionUnsupported {
		c.host.PublishEntry(id, s.owner, 1)
		c.host.SetAdmissionLimit(id, c.owners.writes, 0, NoRetry)
	}
	c.billEach(2, func(*proxy) bool { return true })
	s.held, s.freeAt = c.channel.count, 0
}

func (c *Controller) settled(s *slice, now int64) bool {
	for _, p := range c.proxies {
		if p.joined && p.applied < s.held || p.leftAt > 0 && now-p.leftAt < c.owners.WriteLease {
			s.freeAt = 0
			return false
		}
	}
	if s.freeAt == 0 {
		s.freeAt = now + c.owners.SettleTime
	}
	return now >= s.freeAt
}

func (c *Controller) successor(s *slice, now int64) int {
	best, least := -1, 0. // with least to do for its weight; -1 where the slice may stay
	if !s.mine || s.owner >= 0 && s.owner < len(c.backends) && c.wanted(c.backends[s.owner], now) > 0 {
		return best
	}
	load := make([]float64, len(c.backends))
	for _, t := range c.owners.all {
		if t.mine && t.owner >= 0 && t.owner < len(load) {
			load[t.owner]++
			for class, rate := range t.rates {
				load[t.owner] += rate * c.levels.units[class]
			}
		}
	}
	for i, b := range c.backends {
		if w := c.wanted(b, now); w > 0 && (best < 0 || load[i]/w < least) {
			best, least = i, load[i]/w
		}
	}
	return best
}
