package share

import (
	"maps"
	"slices"
)

// Host is the place that a Desk works in.
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

// Desk is one member at work on the record.
type Desk struct {
	host   Host
	terms  Terms
	name   string
	record *Record

	life, seq uint64
	proposed  int64  // when the entry under way was first proposed
	under     *Entry // the entry under way
	next      Entry  // what gathers for the one after
	stood     int64  // when the last entry that was answered had been proposed
	last      int64  // when any was
	alone     bool
	closing   bool
	started   int64
	entered   int64 // when a life's entering was last proposed

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
	owned     bool   // ours by the record, in this life or in the last
	token     uint64 // of this life; 0 while none is given
	claiming  bool
	others    int   // claims of ours that were under way as its stream began: they mean an older one
	unheard   int64 // since when it is ours by no claim, and has to be heard first; 0 where it is, or is claimed
	edition   uint64
	tables    []int
	sure      bool
}

// New makes the desk of a member that has just started.
func New(host Host, name string, terms Terms, now int64) *Desk {
	d := &Desk{host: host, terms: terms, name: name, record: NewRecord(), started: now, stood: now, last: now - terms.Renew,
		tables: map[int]map[string]float64{}, proxies: map[int]*charge{}, strays: map[int][]int64{},
		leaders: map[uint64]heard{}}
	d.enter(now)
	return d
}

// enter begins a life on the record with our tables as they stand. The proxies that we have are claimed as they are
// heard: we may have stood still, and they may have gone to others long ago, whom a claim of ours would take them from.
func (d *Desk) enter(now int64) {
	d.life, d.seq, d.under = d.host.Chance(), 0, nil
	d.next = Entry{Floor: d.record.Token, Edition: d.edition}
	for _, number := range slices.Sorted(maps.Keys(d.tables)) {
		laid := Laid{Table: number}
		for _, id := range slices.Sorted(maps.Keys(d.tables[number])) {
			laid.Lines = append(laid.Lines, Line{id, d.tables[number][id]})
		}
		d.next.Laid = append(d.next.Laid, laid)
	}
	for _, p := range d.proxies {
		p.token, p.claiming, p.others, p.unheard = 0, false, 0, now
	}
}

// claim asks for a proxy: for a new stream of it, or again for one that we have had all the time.
func (d *Desk) claim(proxy int, again bool) {
	p := d.proxies[proxy]
	p.token, p.claiming, p.unheard = 0, true, 0
	if again {
		d.next.Again = append(d.next.Again, proxy)
	} else if !slices.Contains(d.next.Claims, proxy) {
		d.next.Claims = append(d.next.Claims, proxy)
	}
}

// Record is the record as far as it was taken in.
func (d *Desk) Record() *Record { return d.record }

// Alone tells whether we write off the record.
func (d *Desk) Alone() bool { return d.alone }

// Owned counts the proxies that are ours by the record.
func (d *Desk) Owned() (n int) {
	for _, p := range d.proxies {
		if p.token > 0 {
			n++
		}
	}
	return n
}

// Joined: a proxy's stream has begun. It is granted once its claim stands, or at once off the record. On the record
// nothing is written to a proxy that is not ours by it: a later owner would not know of it.
func (d *Desk) Joined(proxy int, now int64) {
	d.proxies[proxy] = &charge{}
	if d.under != nil {
		for _, claims := range [][]int{d.under.Claims, d.under.Again} {
			if slices.Contains(claims, proxy) {
				d.proxies[proxy].others++
			}
		}
	}
	d.claim(proxy, false)
	if d.alone {
		d.grant(proxy, Move{}, d.terms.Own(), now)
	}
	d.goOn(now)
}

// Left: its stream has ended.
func (d *Desk) Left(proxy int) {
	delete(d.proxies, proxy)
	is := func(p int) bool { return p == proxy }
	d.next.Claims, d.next.Again = slices.DeleteFunc(d.next.Claims, is), slices.DeleteFunc(d.next.Again, is)
}

// Spoke: the proxy was last heard on its stream at some time. If another owns it by the record it has not gone there, or
// is back.
func (d *Desk) Spoke(proxy int, at int64) {
	if p := d.proxies[proxy]; p != nil && p.unheard > 0 && at > p.unheard+d.terms.Renew {
		d.claim(proxy, true)
	}
}

// Laid: tables have changed. It gives the edition that what is ordered now belongs to, which waits for its release.
func (d *Desk) Laid(changes []Laid, now int64) uint64 {
	d.edition++
	for _, laid := range changes {
		if d.tables[laid.Table] == nil {
			d.tables[laid.Table] = map[string]float64{}
		}
		for _, l := range laid.Lines {
			if d.tables[laid.Table][l.Backend] = l.Weight; l.Weight == 0 {
				delete(d.tables[laid.Table], l.Backend)
			}
		}
	}
	if d.next.Edition > 0 && len(d.next.Laid) > 0 { // what has not left yet becomes one edition with this
		d.next.Laid = append(d.next.Laid, changes...)
	} else {
		d.next.Laid = changes
	}
	if d.next.Edition = d.edition; d.alone {
		d.host.Release(d.edition)
	} else {
		d.goOn(now)
	}
	return d.edition
}

// Edition is that of our tables.
func (d *Desk) Edition() uint64 { return d.edition }

// Confirmed: a proxy has applied all that we wrote to it up to an edition; its tables are bound as given, by class. Sure:
// it shuts out what we ordered, and nothing that others did.
func (d *Desk) Confirmed(proxy int, edition uint64, tables []int, sure bool) {
	p := d.proxies[proxy]
	if p == nil || edition < p.edition || slices.Contains(tables, -1) {
		return
	}
	if p.edition == edition && p.sure == sure && slices.Equal(p.tables, tables) {
		return
	}
	p.edition, p.tables, p.sure = edition, slices.Clone(tables), sure
	d.tell(proxy, p)
}

func (d *Desk) tell(proxy int, p *charge) {
	if p.token == 0 || p.edition == 0 {
		return
	}
	told := Told{proxy, p.token, p.edition, p.tables, p.sure}
	if at := slices.IndexFunc(d.next.Told, func(t Told) bool { return t.Proxy == proxy }); at >= 0 {
		d.next.Told[at] = told
		return
	}
	d.next.Told = append(d.next.Told, told)
}

// Tell is what is due of our evidence, to be told to the others.
func (d *Desk) Tell(v *Evidence, now int64) {
	seen, came, fit := v.Due(now)
	d.next.Seen, d.next.Came = append(d.next.Seen, seen...), append(d.next.Came, came...)
	if fit != (Fit{}) {
		d.next.Fit = fit
	}
}

// Close gives all away at a planned end: from now on nothing is written to any proxy.
func (d *Desk) Close(now int64) {
	d.closing, d.next.Closing, d.next.Claims, d.next.Again = true, true, nil, nil
	d.goOn(now)
}

// Closed tells whether our end stands on the record.
func (d *Desk) Closed() bool {
	life := d.record.Lives[d.life]
	return d.closing && life != nil && life.Closed
}

// Elapsed looks at what waits for time.
func (d *Desk) Elapsed(now int64) {
	if !d.alone && now-d.stood >= d.terms.Lease {
		d.goAlone(now)
	}
	for _, proxy := range slices.Sorted(maps.Keys(d.proxies)) {
		p := d.proxies[proxy]
		if p.granted && !p.owned && now-p.grantedAt >= d.terms.Span {
			p.grantedAt = now
			d.host.Spent(proxy, d.terms.Own()) // it has only what every member has of each proxy
		}
	}
	for proxy, at := range d.strays {
		if now-at[len(at)-1] >= d.terms.Span {
			delete(d.strays, proxy)
		}
	}
	d.goOn(now)
}

func (d *Desk) goAlone(now int64) {
	d.alone = true
	d.host.Mode(true, "no entry of ours stands for a lease, or another entered under our name")
	d.host.Release(d.edition)
	for _, proxy := range slices.Sorted(maps.Keys(d.proxies)) {
		if !d.proxies[proxy].granted {
			d.grant(proxy, Move{}, d.terms.Own(), now)
		}
	}
	d.enter(now) // what we write from now on is another life's
}

// goOn proposes what has gathered, one entry at a time.
func (d *Desk) goOn(now int64) {
	pressing := len(d.next.Claims) > 0 || len(d.next.Again) > 0 || len(d.next.Laid) > 0 || d.next.Closing || d.seq == 0 ||
		len(d.next.Told) > 0 && now-d.last >= d.terms.Renew/2
	if d.under != nil || !pressing && now-d.last < d.terms.Renew {
		return
	}
	if d.seq == 0 { // two processes of one name would enter by turns as fast as they can
		if d.entered > 0 && now-d.entered < d.terms.Renew {
			return
		}
		d.entered = now
	}
	e := d.next
	if d.next = (Entry{}); d.seq > 0 && e.Edition == 0 {
		e.Edition = d.edition
	}
	e.Member, e.Life, e.Seq = d.name, d.life, d.seq+1
	d.under, d.proposed, d.last = &e, now, now
	d.host.Propose(e)
}

// Answered: the entry under way stands on the record.
func (d *Desk) Answered(life, seq uint64, now int64) {
	if d.under == nil || d.under.Life != life || d.under.Seq != seq {
		return // of an earlier life
	}
	edition := d.under.Edition
	d.seq, d.stood, d.under = seq, d.proposed, nil
	if now-d.stood >= d.terms.Lease { // it took too long to count on it; Elapsed says what follows
		d.goOn(now)
		return
	}
	if d.alone || seq == 1 {
		d.alone = false
		d.host.Mode(false, "we have entered the record")
	}
	d.host.Release(edition)
	d.goOn(now)
}

// Failed: it is not known to stand, and is proposed again as it is.
func (d *Desk) Failed(life, seq uint64, now int64) {
	if d.under == nil || d.under.Life != life || d.under.Seq != seq {
		return
	}
	d.host.Propose(*d.under)
}

// Recorded takes the next entry of the record, of whatever member.
func (d *Desk) Recorded(e Entry, now int64) {
	d.hears(e.Stamp, now)
	moves, taken := d.record.Apply(e)
	if !taken {
		if e.Life == d.life && d.record.Members[d.name] != d.life { // another has entered under our name
			d.goAlone(now)
		}
		return
	}
	for _, m := range moves {
		d.moved(m, now)
	}
	switch entered := d.record.Lives[d.life] != nil; {
	case e.Life == d.life && e.Seq == 1:
		d.learnStanding()
	case entered && e.Member != d.name: // what stood on the record before we came is old
		for _, s := range e.Seen {
			d.host.Learned(e.Member, s)
		}
		if e.Fit != (Fit{}) {
			d.host.Fitted(e.Fit)
		}
	}
}

// learnStanding tells what others have withdrawn, and what they saw the fleet do, to one that has just come.
func (d *Desk) learnStanding() {
	for _, member := range slices.Sorted(maps.Keys(d.record.Fits)) {
		if member != d.name {
			d.host.Fitted(d.record.Fits[member])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.record.Away)) {
		for _, member := range slices.Sorted(maps.Keys(d.record.Away[id])) {
			if member != d.name {
				d.host.Learned(member, d.record.Away[id][member])
			}
		}
	}
}

// Restored takes the record as a whole, in place of the entries that led to it.
func (d *Desk) Restored(record *Record, now int64) {
	d.record = record
	for proxy, h := range record.Proxies {
		for _, move := range h.Moves {
			d.hears(move, now)
		}
		if p := d.proxies[proxy]; p != nil && h.Life != d.life && h.Token > p.token && p.token > 0 {
			p.token, p.owned, p.unheard = 0, false, now
		}
	}
}

// hears takes a stamp of the record.
func (d *Desk) hears(s Stamp, now int64) {
	if last, known := d.leaders[s.Leader]; known && last.at > s.At {
		return
	}
	d.leaders[s.Leader] = heard{s.At, now}
	if len(d.leaders) > leadersKept {
		oldest := s.Leader
		for id, h := range d.leaders {
			if h.here < d.leaders[oldest].here {
				oldest = id
			}
		}
		delete(d.leaders, oldest)
	}
}

// leadersKept is how many leaders' clocks are known at a time; of a forgotten one nothing recent can be left.
const leadersKept = 64

// age is how long ago a stamp was given, at least.
func (d *Desk) age(s Stamp, now int64) int64 {
	last, known := d.leaders[s.Leader]
	if !known {
		return d.terms.Span
	}
	return now - last.here + last.at - s.At
}

// moved takes a change of owners. Whose it was within the span counts for what may be written now.
func (d *Desk) moved(m Move, now int64) {
	standing := 0
	for _, move := range m.To.Moves {
		if d.age(move, now) < d.terms.Span {
			standing++
		}
	}
	p := d.proxies[m.Proxy]
	switch ours := m.To.Life == d.life; {
	case p == nil:
	case ours && p.others > 0:
		p.others--
	case ours:
		p.claiming, p.owned, p.token, p.unheard = false, true, m.To.Token, 0
		if p.granted {
			d.tell(m.Proxy, p)
			return
		}
		spent := d.terms.Own() * min(1, standing/(movesKept+1)) // shares are laid aside for owners before, not for more
		d.grant(m.Proxy, m, spent, now)
	case p.owned && m.To.Token > p.token && m.To.Owner != d.name:
		p.owned, p.token, p.unheard = false, 0, now
		if p.granted {
			d.host.Spent(m.Proxy, d.terms.Own())
		}
	}
}

func (d *Desk) grant(proxy int, m Move, spent int, now int64) {
	p := d.proxies[proxy]
	p.granted, p.grantedAt = true, now
	moves := 0
	for _, move := range m.To.Moves {
		if d.age(move, now) < d.terms.Span {
			moves++
		}
	}
	recent := slices.DeleteFunc(d.strays[proxy], func(at int64) bool { return now-at >= d.terms.Span })
	if d.strays[proxy] = append(recent, now); len(recent) > 0 || now-d.started < d.terms.Span {
		spent += d.terms.Stray() - 1
	}
	if moves <= mostMoves {
		spent = max(0, min(spent, d.terms.Stray()+d.terms.Own()-d.terms.Kept))
	}
	d.host.Granted(proxy, p.token, m.Base, m.Clean, m.Came, spent)
}
