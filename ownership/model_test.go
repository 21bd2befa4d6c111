package ownership

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// The check plays every order of events up to a depth: members at work on one record, one proxy that dials about, kills,
// cuts and lost answers. Real coordinators, record and lease tracker; the log, the network and the proxy are the model's.

var modelTerms = LeaseTerms{Duration: 3, RenewInterval: 1, MessageWindow: 5, MaxMessages: 16, Members: 2}

// eventKind is a letter, by which orders of events are written.
type eventKind byte

const (
	eventTick        eventKind = 't' // a unit of time passes
	eventDial        eventKind = 'd' // the proxy dials the member
	eventOrder       eventKind = 'o' // the member changes its table
	eventAcknowledge eventKind = 'c' // the proxy acknowledges all that it was told
	eventCut         eventKind = 'x' // the member is cut off the record
	eventLoseAnswers eventKind = 'l' // its entries arrive, their answers do not
	eventHeal        eventKind = 'h' // it is connected again
	eventKill        eventKind = 'k' // its process ends
	eventClose       eventKind = 'q' // it ends as planned
	eventStart       eventKind = 's' // its process starts
	eventStartCutOff eventKind = 'z' // it starts, and reaches no record
	eventFlood       eventKind = 'f' // it writes as much as it may
)

// world is one state of the model.
type world struct {
	now     int64
	log     []Entry
	leases  *LeaseTracker
	record  *Record // the leader's
	members []*player
	stream  int // whose stream the proxy has
	serial  int
	lines   map[string]float64 // that the proxy really has
	token   uint64             // the greatest that it has seen
	written []int64            // messages to it, by time
	broken  string
	drawn   uint64
}

// player is a member's process, and the model of what carries its orders.
type player struct {
	w           *world
	index       int
	coordinator *Coordinator
	up, cut     bool // cut: from the record
	deaf        bool // its entries come through, their answers do not
	conn        int
	read        int // of the log
	out         []Entry
	joined      int // serial of the proxy's stream that it knows
	granted     int
	token       uint64
	line        float64
	edition     uint64   // of the last order
	wrote       int      // serial of the stream on which it has written
	wait        []uint64 // orders that wait for their release
	sent        []int64
}

func (p *player) Propose(e Entry) { p.out = append(p.out, e) }

func (p *player) RandomID() uint64 { p.w.drawn++; return p.w.drawn }

func (p *player) PeerObservationReported(string, Observation) {}

func (p *player) QuorumChanged(bool, string) {}

func (p *player) PeerCapacityReported(Capacity) {}

func (p *player) ProxyGranted(grant Grant) {
	p.granted, p.token, p.sent = p.joined, grant.Token, nil
	p.MessagesSentByPeers(0, grant.SentMessages)
	if p.w.stream != p.index || p.w.serial != p.joined {
		return // the stream is gone already
	}
	for _, b := range grant.Base {
		for id, weight := range p.w.lines {
			if !b.Uncertain[id] && b.Lines[id] != weight {
				p.w.fails("the proxy has %s %g, the base says %g", id, weight, b.Lines[id])
			}
		}
		for id, weight := range b.Lines {
			if !b.Uncertain[id] && p.w.lines[id] != weight {
				p.w.fails("the base has %s %g, the proxy %g", id, weight, p.w.lines[id])
			}
		}
	}
	if p.may() {
		p.leaves(func() { p.w.lines = p.table() })
	}
}

func (p *player) MessagesSentByPeers(_, messages int) {
	for range messages {
		p.sent = append(p.sent, p.w.now)
	}
}

func (p *player) ReleaseUpTo(edition uint64) {
	for len(p.wait) > 0 && p.wait[0] <= edition {
		p.wait = p.wait[1:]
		if p.granted == p.joined {
			p.leaves(func() { p.w.lines = p.table() })
		}
	}
}

// table is the one line that the member has as far as it was released, besides one that never changes.
func (p *player) table() map[string]float64 {
	has := map[string]float64{"b": 1}
	if p.line > 0 {
		has["a"] = p.line
	}
	return has
}

// may tells whether the member may order one more message to the proxy, and counts it.
func (p *player) may() bool {
	p.sent = slices.DeleteFunc(p.sent, func(at int64) bool { return at <= p.w.now-modelTerms.MessageWindow })
	if len(p.sent) >= modelTerms.UnownedQuota()+modelTerms.OwnerQuota() {
		return false
	}
	p.sent = append(p.sent, p.w.now)
	return true
}

// leaves has a message leave; it comes to the proxy if this is its stream.
func (p *player) leaves(what func()) {
	w := p.w
	if w.stream != p.index || w.serial != p.joined || p.token > 0 && p.token < w.token {
		return
	}
	w.token, p.wrote = max(w.token, p.token), w.serial
	w.written = slices.DeleteFunc(w.written, func(at int64) bool { return at <= w.now-modelTerms.MessageWindow })
	if w.written = append(w.written, w.now); len(w.written) > modelTerms.MaxMessages {
		w.fails("%d messages within the span", len(w.written))
	}
	what()
}

func (w *world) fails(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// settle lets everything on its way arrive, but for what is cut.
func (w *world) settle() {
	repeated := map[*player]bool{}
	for moved := true; moved; {
		moved = false
		for _, p := range w.members {
			if !p.up || p.cut {
				continue
			}
			for len(p.out) > 0 && !repeated[p] {
				e := p.out[0]
				p.out, moved = p.out[1:], true
				w.leases.Observe(e.Incarnation, e.Seq, p.conn, w.now)
				e.FullyRecorded, e.Stamp = w.leases.FullyRecorded(w.record, w.now), Stamp{1, w.now}
				w.log = append(w.log, e)
				w.record.Apply(e)
				if p.deaf { // and is repeated, over a connection anew
					p.conn++
					p.out, repeated[p] = append(p.out, e), true
					break
				}
				p.coordinator.ProposalCommitted(e.Incarnation, e.Seq, w.now)
			}
			for ; p.read < len(w.log); p.read++ {
				p.coordinator.EntryApplied(w.log[p.read], w.now)
				moved = true
			}
		}
	}
}

func (w *world) start(p *player) {
	p.up, p.cut, p.deaf, p.read, p.out, p.wait, p.sent, p.granted = true, false, false, 0, nil, nil, nil, 0
	p.conn, p.line, p.edition, p.token, p.joined, p.wrote = p.conn+1, 0, 0, 0, 0, 0
	p.coordinator = New(p, fmt.Sprint("n", p.index), modelTerms, w.now)
	p.coordinator.ChangeTables([]TableChange{{0, []Line{{"b", 1}}}}, w.now)
}

func (w *world) dial(p *player) {
	if last := w.members[w.stream]; last.up && last.joined == w.serial {
		last.coordinator.ProxyDisconnected(0)
		last.granted = -1
	}
	w.serial++
	w.stream = p.index
	if p.up {
		p.joined = w.serial
		p.coordinator.ProxyConnected(0, w.now)
	}
}

// event plays one event; false where it can do nothing.
func (w *world) event(kind eventKind, p *player) bool {
	switch kind {
	case eventTick:
		w.now++
		for _, p := range w.members {
			if !p.up { // the leader looks
				w.leases.MarkStopped(fmt.Sprint("n", p.index), w.now)
			}
		}
		for _, p := range w.members {
			if p.up {
				p.coordinator.Tick(w.now)
			}
			if p.up && w.stream == p.index && w.serial == p.joined {
				p.coordinator.ProxyActiveAt(0, w.now)
			}
		}
	case eventDial:
		if !p.up {
			return false
		}
		w.dial(p)
	case eventOrder:
		if !p.up || p.granted == p.joined && !p.may() {
			return false
		}
		p.line = 1 - p.line
		p.wait = append(p.wait, 1<<62)
		p.edition = p.coordinator.Revision() + 1
		p.wait[len(p.wait)-1] = p.edition
		p.coordinator.ChangeTables([]TableChange{{0, []Line{{"a", p.line}}}}, w.now)
	case eventAcknowledge:
		if p.index != w.stream || !p.up || p.granted != p.joined || len(p.wait) > 0 || p.wrote != w.serial {
			return false
		}
		p.coordinator.ProxyAcknowledged(0, p.coordinator.Revision(), []int{0}, true)
	case eventCut:
		if !p.up || p.cut {
			return false
		}
		p.cut = true
	case eventLoseAnswers:
		if !p.up || p.deaf || p.cut {
			return false
		}
		p.deaf = true
	case eventHeal:
		if !p.up || !p.cut && !p.deaf {
			return false
		}
		p.cut, p.deaf, p.conn = false, false, p.conn+1
	case eventKill:
		if !p.up {
			return false
		}
		p.up = false
	case eventClose:
		if !p.up || p.cut || p.deaf {
			return false
		}
		p.coordinator.Close(w.now)
		w.settle()
		p.up = false
	case eventStart:
		if p.up {
			return false
		}
		w.start(p)
	case eventStartCutOff:
		if p.up {
			return false
		}
		w.start(p)
		p.cut = true
	case eventFlood:
		if !p.up || p.granted != p.joined {
			return false
		}
		for p.may() {
			p.leaves(func() {})
		}
	}
	w.settle()
	return true
}

func begin() *world {
	w := &world{now: 100, leases: NewLeaseTracker(modelTerms), record: NewRecord(), lines: map[string]float64{}}
	for i := range modelTerms.Members {
		w.members = append(w.members, &player{w: w, index: i})
		w.start(w.members[i])
	}
	w.settle()
	for range 3 {
		w.event(eventTick, nil)
	}
	w.dial(w.members[0])
	w.settle()
	w.event(eventAcknowledge, w.members[0])
	w.event(eventTick, nil)
	w.written = nil
	return w
}

// key tells states apart, whenever they came about.
func (w *world) key() uint64 {
	h := fnv.New64a()
	since := func(at int64) int64 { return max(w.now-at, -99) }
	fmt.Fprint(h, w.stream, w.lines, w.token, w.serial-w.members[w.stream].joined)
	for _, at := range w.written {
		fmt.Fprint(h, " ", since(at))
	}
	for _, p := range w.members {
		d := p.coordinator
		fmt.Fprint(h, "|", p.up, p.cut, p.deaf, p.joined == w.serial, p.granted == p.joined, p.wrote == w.serial, p.line, p.wait, len(w.log)-p.read, len(p.out),
			d.withoutQuorum, since(d.leaseFrom), since(d.lastProposedAt), len(d.pending.Claims), len(d.pending.TableChanges), len(d.pending.Confirmations), d.inFlight != nil, d.tables)
		for _, at := range p.sent {
			fmt.Fprint(h, " ", since(at))
		}
		if c := d.proxies[0]; c != nil {
			fmt.Fprint(h, *c)
		}
		for _, at := range d.grantTimes[0] {
			fmt.Fprint(h, " ", since(at))
		}
		fmt.Fprint(h, min(w.now-d.started, modelTerms.MessageWindow), d.closing, since(w.leases.stoppedAt[d.name]))
		if a, ok := w.leases.arrivals[d.incarnation]; ok {
			fmt.Fprint(h, since(a.arrivedAt), since(a.previousAt), since(a.leaseFrom))
		}
	}
	hold := w.record.Proxies[0]
	for _, move := range hold.Moves {
		fmt.Fprint(h, " ", since(move.At))
	}
	fmt.Fprint(h, hold.Owner, hold.Revision, w.record.Members[hold.Owner] == hold.Incarnation)
	if incarnation := w.record.Incarnations[hold.Incarnation]; incarnation != nil && incarnation.Tables[0] != nil {
		for _, id := range slices.Sorted(maps.Keys(incarnation.Tables[0].Lines)) {
			fmt.Fprint(h, id, incarnation.Tables[0].Lines[id])
		}
	}
	return h.Sum64()
}
