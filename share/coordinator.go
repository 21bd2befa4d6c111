package share

import (
	"maps"
	"slices"
)

// Host is what a Coordinator acts through.
type Host interface {
	// Propose asks for an entry to be put on the record. Answered or Failed follows, once.
	Propose(Entry)
	// Granted lets the decisions have a proxy that joined. What it surely has is known where there is a base; clean says
	// that it shuts nothing out. So many of the messages that one owner may write to it are spent already.
	Granted(proxy int, token uint64, base []Base, clean bool, came []float64, spent int)
	// Fitted is what another member saw the fleet do.
	Fitted(f Fit)
	// Spent takes messages away from what may be written to a proxy that was granted before.
	Spent(proxy, messages int)
	// Release lets what was ordered up to an edition leave.
	Release(edition uint64)
	// Learned is what another member's proxies met of late, or what keeps a backend withdrawn there.
	Learned(member string, s Seen)
	// Mode tells that the member goes off the record, or is on it again.
	Mode(alone bool, why string)
	// Chance is a number drawn anew.
	Chance() uint64
}

// Terms are the figures that all members agree on. Times are in µs.
type Terms struct {
	Lease    int64 // without an answer for so long a member goes on off the record
	Renew    int64 // an entry is proposed at least this often
	Span     int64 // messages to a proxy are counted over this
	Messages int   // that a proxy may be sent within it, by all members together
	Members  int   // that there can be
	// Kept is how many of them an owner has in any case, however many came before it. A proxy is with one owner at a time,
	// who orders changes at a pace: those of a whole span, and what each owner's coming takes, are within the limit for
	// up to mostMoves of them; shares alone would leave the last without any.
	Kept int
}

// Stray is what each member may write to a proxy within the span without owning it by the record. A member that starts
// anew, or gets the proxy back, has forgotten what it wrote of that: it has one message then. Own is what an owner may
// write beyond it: the shares of the owners before count until the span has passed. All together stay within the limit.
func (t Terms) Stray() int { return max(1, t.Messages/2/max(t.Members, 1)-1) }

// Own is an owner's further share.
func (t Terms) Own() int { return (t.Messages - t.Members*(t.Stray()+1)) / (movesKept + 1) }

// Coordinator is one member at work on the record: it claims the proxies that connect to the member, puts its table
// changes on the record before they leave, and says what may be written to whom.
type Coordinator struct {
	host   Host
	terms  Terms
	name   string
	record *Record

	incarnation, seq uint64
	proposed         int64  // when the entry under way was first proposed
	under            *Entry // the entry under way
	next             Entry  // what gathers for the one after
	stood            int64  // when the last entry that was answered had been proposed
	last             int64  // when any was
	alone            bool
	closing          bool
	started          int64
	entered          int64 // when an incarnation's entering was last proposed

	edition uint64                     // of our tables
	tables  map[int]map[string]float64 // as they stand
	proxies map[int]*charge            // joined to us
	strays  map[int][]int64            // when proxies were granted to us within the span
	leaders map[uint64]heard
}

// heard is the last stamp of a leader that was taken in, and when that was here.
type heard struct {
	at, here int64
}

// charge is a proxy that is joined to us.
type charge struct {
	grantedAt int64
	granted   bool
	owned     bool   // ours by the record, in this incarnation or in the last
	token     uint64 // of this incarnation; 0 while none is given
	claiming  bool
	others    int   // claims of ours that were under way as its stream began: they mean an older one
	unheard   int64 // since when it is ours by no claim, and has to be heard first; 0 where it is, or is claimed
	edition   uint64
	tables    []int
	sure      bool
}

// New makes the Coordinator of a member that has just started.
func New(host Host, name string, terms Terms, now int64) *Coordinator {
	c := &Coordinator{host: host, terms: terms, name: name, record: NewRecord(), started: now, stood: now, last: now - terms.Renew,
		tables: map[int]map[string]float64{}, proxies: map[int]*charge{}, strays: map[int][]int64{},
		leaders: map[uint64]heard{}}
	c.enter(now)
	return c
}

// enter begins an incarnation on the record with our tables as they stand. The proxies that we have are claimed as they are
// heard: we may have stood still, and they may have gone to others long ago, whom a claim of ours would take them from.
func (c *Coordinator) enter(now int64) {
	c.incarnation, c.seq, c.under = c.host.Chance(), 0, nil
	c.next = Entry{Floor: c.record.Token, Edition: c.edition}
	for _, number := range slices.Sorted(maps.Keys(c.tables)) {
		laid := Laid{Table: number}
		for _, id := range slices.Sorted(maps.Keys(c.tables[number])) {
			laid.Lines = append(laid.Lines, Line{id, c.tables[number][id]})
		}
		c.next.Laid = append(c.next.Laid, laid)
	}
	for _, p := range c.proxies {
		p.token, p.claiming, p.others, p.unheard = 0, false, 0, now
	}
}

// claim asks for a proxy: for a new stream of it, or again for one that we have had all the time.
func (c *Coordinator) claim(proxy int, again bool) {
	p := c.proxies[proxy]
	p.token, p.claiming, p.unheard = 0, true, 0
	if again {
		c.next.Again = append(c.next.Again, proxy)
	} else if !slices.Contains(c.next.Claims, proxy) {
		c.next.Claims = append(c.next.Claims, proxy)
	}
}

// Record is the record as far as it was taken in.
func (c *Coordinator) Record() *Record { return c.record }

// Alone tells whether we write off the record.
func (c *Coordinator) Alone() bool { return c.alone }

// Owned counts the proxies that are ours by the record.
func (c *Coordinator) Owned() (n int) {
	for _, p := range c.proxies {
		if p.token > 0 {
			n++
		}
	}
	return n
}

// Joined: a proxy's stream has begun. It is granted once its claim stands, or at once off the record. On the record
// nothing is written to a proxy that is not ours by it: a later owner would not know of it.
func (c *Coordinator) Joined(proxy int, now int64) {
	c.proxies[proxy] = &charge{}
	if c.under != nil {
		for _, claims := range [][]int{c.under.Claims, c.under.Again} {
			if slices.Contains(claims, proxy) {
				c.proxies[proxy].others++
			}
		}
	}
	c.claim(proxy, false)
	if c.alone {
		c.grant(proxy, Move{}, c.terms.Own(), now)
	}
	c.goOn(now)
}

// Left: its stream has ended.
func (c *Coordinator) Left(proxy int) {
	delete(c.proxies, proxy)
	is := func(p int) bool { return p == proxy }
	c.next.Claims, c.next.Again = slices.DeleteFunc(c.next.Claims, is), slices.DeleteFunc(c.next.Again, is)
}

// Spoke: the proxy was last heard on its stream at some time. If another owns it by the record it has not gone there, or
// is back.
func (c *Coordinator) Spoke(proxy int, at int64) {
	if p := c.proxies[proxy]; p != nil && p.unheard > 0 && at > p.unheard+c.terms.Renew {
		c.claim(proxy, true)
	}
}

// Laid: tables have changed. It gives the edition that what is ordered now belongs to, which waits for its release.
func (c *Coordinator) Laid(changes []Laid, now int64) uint64 {
	c.edition++
	for _, laid := range changes {
		if c.tables[laid.Table] == nil {
			c.tables[laid.Table] = map[string]float64{}
		}
		for _, l := range laid.Lines {
			if c.tables[laid.Table][l.Backend] = l.Weight; l.Weight == 0 {
				delete(c.tables[laid.Table], l.Backend)
			}
		}
	}
	if c.next.Edition > 0 && len(c.next.Laid) > 0 { // what has not left yet becomes one edition with this
		c.next.Laid = append(c.next.Laid, changes...)
	} else {
		c.next.Laid = changes
	}
	if c.next.Edition = c.edition; c.alone {
		c.host.Release(c.edition)
	} else {
		c.goOn(now)
	}
	return c.edition
}

// Edition is that of our tables.
func (c *Coordinator) Edition() uint64 { return c.edition }

// Confirmed: a proxy has applied all that we wrote to it up to an edition; its tables are bound as given, by class. Sure:
// it shuts out what we ordered, and nothing that others did.
func (c *Coordinator) Confirmed(proxy int, edition uint64, tables []int, sure bool) {
	p := c.proxies[proxy]
	if p == nil || edition < p.edition || slices.Contains(tables, -1) {
		return
	}
	if p.edition == edition && p.sure == sure && slices.Equal(p.tables, tables) {
		return
	}
	p.edition, p.tables, p.sure = edition, slices.Clone(tables), sure
	c.tell(proxy, p)
}

func (c *Coordinator) tell(proxy int, p *charge) {
	if p.token == 0 || p.edition == 0 {
		return
	}
	told := Told{proxy, p.token, p.edition, p.tables, p.sure}
	if at := slices.IndexFunc(c.next.Told, func(t Told) bool { return t.Proxy == proxy }); at >= 0 {
		c.next.Told[at] = told
		return
	}
	c.next.Told = append(c.next.Told, told)
}

// Tell is what is due of our evidence, to be told to the others.
func (c *Coordinator) Tell(v *Evidence, now int64) {
	seen, came, fit := v.Due(now)
	c.next.Seen, c.next.Came = append(c.next.Seen, seen...), append(c.next.Came, came...)
	if fit != (Fit{}) {
		c.next.Fit = fit
	}
}

// Close gives all away at a planned end: from now on nothing is written to any proxy.
func (c *Coordinator) Close(now int64) {
	c.closing, c.next.Closing, c.next.Claims, c.next.Again = true, true, nil, nil
	c.goOn(now)
}

// Closed tells whether our end stands on the record.
func (c *Coordinator) Closed() bool {
	incarnation := c.record.Incarnations[c.incarnation]
	return c.closing && incarnation != nil && incarnation.Closed
}

// Elapsed looks at what waits for time.
func (c *Coordinator) Elapsed(now int64) {
	if !c.alone && now-c.stood >= c.terms.Lease {
		c.goAlone(now)
	}
	for _, proxy := range slices.Sorted(maps.Keys(c.proxies)) {
		p := c.proxies[proxy]
		if p.granted && !p.owned && now-p.grantedAt >= c.terms.Span {
			p.grantedAt = now
			c.host.Spent(proxy, c.terms.Own()) // it has only what every member has of each proxy
		}
	}
	for proxy, at := range c.strays {
		if now-at[len(at)-1] >= c.terms.Span {
			delete(c.strays, proxy)
		}
	}
	c.goOn(now)
}

func (c *Coordinator) goAlone(now int64) {
	c.alone = true
	c.host.Mode(true, "no entry of ours stands for a lease, or another entered under our name")
	c.host.Release(c.edition)
	for _, proxy := range slices.Sorted(maps.Keys(c.proxies)) {
		if !c.proxies[proxy].granted {
			c.grant(proxy, Move{}, c.terms.Own(), now)
		}
	}
	c.enter(now) // what we write from now on is another incarnation's
}

// goOn proposes what has gathered, one entry at a time.
func (c *Coordinator) goOn(now int64) {
	pressing := len(c.next.Claims) > 0 || len(c.next.Again) > 0 || len(c.next.Laid) > 0 || c.next.Closing || c.seq == 0 ||
		len(c.next.Told) > 0 && now-c.last >= c.terms.Renew/2
	if c.under != nil || !pressing && now-c.last < c.terms.Renew {
		return
	}
	if c.seq == 0 { // two processes of one name would enter by turns as fast as they can
		if c.entered > 0 && now-c.entered < c.terms.Renew {
			return
		}
		c.entered = now
	}
	e := c.next
	if c.next = (Entry{}); c.seq > 0 && e.Edition == 0 {
		e.Edition = c.edition
	}
	e.Member, e.Incarnation, e.Seq = c.name, c.incarnation, c.seq+1
	c.under, c.proposed, c.last = &e, now, now
	c.host.Propose(e)
}

// Answered: the entry under way stands on the record.
func (c *Coordinator) Answered(incarnation, seq uint64, now int64) {
	if c.under == nil || c.under.Incarnation != incarnation || c.under.Seq != seq {
		return // of an earlier incarnation
	}
	edition := c.under.Edition
	c.seq, c.stood, c.under = seq, c.proposed, nil
	if now-c.stood >= c.terms.Lease { // it took too long to count on it; Elapsed says what follows
		c.goOn(now)
		return
	}
	if c.alone || seq == 1 {
		c.alone = false
		c.host.Mode(false, "we have entered the record")
	}
	c.host.Release(edition)
	c.goOn(now)
}

// Failed: it is not known to stand, and is proposed again as it is.
func (c *Coordinator) Failed(incarnation, seq uint64, now int64) {
	if c.under == nil || c.under.Incarnation != incarnation || c.under.Seq != seq {
		return
	}
	c.host.Propose(*c.under)
}

// Recorded takes the next entry of the record, of whatever member.
func (c *Coordinator) Recorded(e Entry, now int64) {
	c.hears(e.Stamp, now)
	moves, taken := c.record.Apply(e)
	if !taken {
		if e.Incarnation == c.incarnation && c.record.Members[c.name] != c.incarnation { // another has entered under our name
			c.goAlone(now)
		}
		return
	}
	for _, m := range moves {
		c.moved(m, now)
	}
	switch entered := c.record.Incarnations[c.incarnation] != nil; {
	case e.Incarnation == c.incarnation && e.Seq == 1:
		c.learnStanding()
	case entered && e.Member != c.name: // what stood on the record before we came is old
		for _, s := range e.Seen {
			c.host.Learned(e.Member, s)
		}
		if e.Fit != (Fit{}) {
			c.host.Fitted(e.Fit)
		}
	}
}

// learnStanding tells what others have withdrawn, and what they saw the fleet do, to one that has just come.
func (c *Coordinator) learnStanding() {
	for _, member := range slices.Sorted(maps.Keys(c.record.Fits)) {
		if member != c.name {
			c.host.Fitted(c.record.Fits[member])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.record.Away)) {
		for _, member := range slices.Sorted(maps.Keys(c.record.Away[id])) {
			if member != c.name {
				c.host.Learned(member, c.record.Away[id][member])
			}
		}
	}
}

// Restored takes the record as a whole, in place of the entries that led to it.
func (c *Coordinator) Restored(record *Record, now int64) {
	c.record = record
	for proxy, h := range record.Proxies {
		for _, move := range h.Moves {
			c.hears(move, now)
		}
		if p := c.proxies[proxy]; p != nil && h.Incarnation != c.incarnation && h.Token > p.token && p.token > 0 {
			p.token, p.owned, p.unheard = 0, false, now
		}
	}
}

// hears takes a stamp of the record.
func (c *Coordinator) hears(s Stamp, now int64) {
	if last, known := c.leaders[s.Leader]; known && last.at > s.At {
		return
	}
	c.leaders[s.Leader] = heard{s.At, now}
	if len(c.leaders) > leadersKept {
		oldest := s.Leader
		for id, h := range c.leaders {
			if h.here < c.leaders[oldest].here {
				oldest = id
			}
		}
		delete(c.leaders, oldest)
	}
}

// leadersKept is how many leaders' clocks are known at a time; of a forgotten one nothing recent can be left.
const leadersKept = 64

// age is how long ago a stamp was given, at least.
func (c *Coordinator) age(s Stamp, now int64) int64 {
	last, known := c.leaders[s.Leader]
	if !known {
		return c.terms.Span
	}
	return now - last.here + last.at - s.At
}

// moved takes a change of owners. Whose it was within the span counts for what may be written now.
func (c *Coordinator) moved(m Move, now int64) {
	standing := 0
	for _, move := range m.To.Moves {
		if c.age(move, now) < c.terms.Span {
			standing++
		}
	}
	p := c.proxies[m.Proxy]
	switch ours := m.To.Incarnation == c.incarnation; {
	case p == nil:
	case ours && p.others > 0:
		p.others--
	case ours:
		p.claiming, p.owned, p.token, p.unheard = false, true, m.To.Token, 0
		if p.granted {
			c.tell(m.Proxy, p)
			return
		}
		spent := c.terms.Own() * min(1, standing/(movesKept+1)) // shares are laid aside for owners before, not for more
		c.grant(m.Proxy, m, spent, now)
	case p.owned && m.To.Token > p.token && m.To.Owner != c.name:
		p.owned, p.token, p.unheard = false, 0, now
		if p.granted {
			c.host.Spent(m.Proxy, c.terms.Own())
		}
	}
}

func (c *Coordinator) grant(proxy int, m Move, spent int, now int64) {
	p := c.proxies[proxy]
	p.granted, p.grantedAt = true, now
	moves := 0
	for _, move := range m.To.Moves {
		if c.age(move, now) < c.terms.Span {
			moves++
		}
	}
	recent := slices.DeleteFunc(c.strays[proxy], func(at int64) bool { return now-at >= c.terms.Span })
	if c.strays[proxy] = append(recent, now); len(recent) > 0 || now-c.started < c.terms.Span {
		spent += c.terms.Stray() - 1
	}
	if moves <= mostMoves {
		spent = max(0, min(spent, c.terms.Stray()+c.terms.Own()-c.terms.Kept))
	}
	c.host.Granted(proxy, p.token, m.Base, m.Clean, m.Came, spent)
}
