package ownership

import (
	"fmt"
	"slices"
	"testing"
)

var terms = LeaseTerms{Duration: 1000, RenewInterval: 100, MessageWindow: 10_000, MaxMessages: 36, Members: 3, GuaranteedMessages: 4}

// fakeHost notes what a coordinator asks for.
type fakeHost struct {
	proposed []Entry
	granted  map[int]string
	spent    map[int]int
	released uint64
	learned  []string
	modes    []bool
	drawn    uint64
}

func newFakeHost() *fakeHost { return &fakeHost{granted: map[int]string{}, spent: map[int]int{}} }

func (p *fakeHost) Propose(e Entry) { p.proposed = append(p.proposed, e) }
func (p *fakeHost) ProxyGranted(grant Grant) {
	p.granted[grant.Proxy] = fmt.Sprint(grant.Token, " ", grant.Base != nil, " ", grant.SentMessages)
}
func (p *fakeHost) MessagesSentByPeers(proxy, messages int) { p.spent[proxy] += messages }
func (p *fakeHost) ReleaseUpTo(edition uint64)              { p.released = edition }
func (p *fakeHost) PeerObservationReported(member string, s Observation) {
	p.learned = append(p.learned, member+" "+s.Backend)
}
func (p *fakeHost) PeerCapacityReported(f Capacity)    { p.learned = append(p.learned, fmt.Sprint(f)) }
func (p *fakeHost) QuorumChanged(alone bool, _ string) { p.modes = append(p.modes, alone) }
func (p *fakeHost) RandomID() uint64                   { p.drawn++; return p.drawn * 1000 }

// stands puts the last proposal on the record, stamped, and answers it.
func (p *fakeHost) stands(d *Coordinator, now int64, recorded ...uint64) Entry {
	e := p.proposed[len(p.proposed)-1]
	e.OnRecord, e.Stamp = recorded, Stamp{7, now}
	d.EntryApplied(e, now)
	d.ProposalCommitted(e.Incarnation, e.Seq, now)
	return e
}

// works has a coordinator enter, and others that are at work beside it.
func works(t *testing.T) (*fakeHost, *Coordinator) {
	t.Helper()
	p := newFakeHost()
	d := New(p, "n0", terms, 0)
	d.started = -terms.MessageWindow // long ago
	d.Tick(0)
	p.stands(d, 0)
	for i, name := range []string{"n1", "n2"} {
		d.EntryApplied(Entry{Member: name, Incarnation: uint64(i + 1), Seq: 1, Stamp: Stamp{7, 0}}, 0)
	}
	return p, d
}

func TestCoordinator(t *testing.T) {
	t.Run("a proxy is granted once its claim stands, with what the last owner told it", func(t *testing.T) {
		p, d := works(t)
		d.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 2, Claims: []int{5}, Revision: 1, Stamp: Stamp{7, 10},
			TableChanges: []TableChange{{0, []Line{{"a", 1}, {"b", 2}}}}}, 10)
		d.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 3, Revision: 1, Stamp: Stamp{7, 20},
			Confirmations: []Confirmation{{5, 1, 1, []int{0, 0}, true}}}, 20)
		d.ProxyConnected(5, 30)
		if len(p.granted) > 0 {
			t.Fatalf("granted %v before its claim stands", p.granted)
		}
		p.stands(d, 40, 1, 2, 1000)
		if h := d.record.Proxies[5]; p.granted[5] != "2 true 0" || h.Owner != "n0" || d.OwnedProxies() != 1 {
			t.Errorf("granted %v, on the record %+v", p.granted, h)
		}
	})
	t.Run("where anybody may have written off the record, what it holds is not known", func(t *testing.T) {
		for _, recorded := range [][]uint64{{1, 1000}, {2, 1000}, nil} {
			p, d := works(t)
			d.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 2, Claims: []int{5}, Revision: 1, TableChanges: []TableChange{{0, []Line{{"a", 1}}}}}, 10)
			d.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 3, Revision: 1, Confirmations: []Confirmation{{5, 1, 1, []int{0}, true}}}, 20)
			d.ProxyConnected(5, 30)
			if p.stands(d, 40, recorded...); p.granted[5] != "2 false 0" {
				t.Errorf("recorded %v: granted %v", recorded, p.granted)
			}
		}
	})
	t.Run("orders wait for the record, and for no longer than a lease", func(t *testing.T) {
		p, d := works(t)
		edition := d.ChangeTables([]TableChange{{0, []Line{{"a", 1}}}}, 100)
		if p.released >= edition {
			t.Error("released before it stands")
		}
		if d.Tick(999); d.WithoutQuorum() || p.released >= edition {
			t.Error("off the record too early")
		}
		if d.Tick(1100); !d.WithoutQuorum() || p.released != edition || !slices.Equal(p.modes, []bool{false, true}) {
			t.Errorf("alone %v, released %d, modes %v", d.WithoutQuorum(), p.released, p.modes)
		}
		if d.ProxyConnected(3, 1200); p.granted[3] != fmt.Sprint("0 false ", terms.OwnerQuota()) {
			t.Errorf("granted %v", p.granted)
		}
		d.Tick(1200 + terms.MessageWindow) // it has of that proxy no more than every member has
		if p.spent[3] != terms.OwnerQuota() {
			t.Errorf("spent %v", p.spent)
		}
	})
	t.Run("back on the record it enters anew, with its tables and claims; nothing of the old incarnation counts", func(t *testing.T) {
		p, d := works(t)
		d.ProxyConnected(4, 50)
		d.ChangeTables([]TableChange{{0, []Line{{"a", 1}, {"b", 1}}}}, 60)
		old := p.proposed[len(p.proposed)-1]
		d.Tick(1100)
		d.ChangeTables([]TableChange{{0, []Line{{"a", 0}}}}, 1150)
		e := p.stands(d, 1200)
		if e.Seq != 1 || e.Incarnation == old.Incarnation || len(e.Claims)+len(e.Reclaims) > 0 || len(e.TableChanges) != 1 || d.WithoutQuorum() {
			t.Errorf("entered with %+v, alone %v", e, d.WithoutQuorum())
		}
		d.ProxyHeardFrom(4, 1000) // heard before: it may be gone since
		p.stands(d, 1300)
		d.ProxyHeardFrom(4, 1350)
		p.stands(d, 1400) // what was under way
		if again := p.stands(d, 1410); !slices.Equal(again.Reclaims, []int{4}) || d.OwnedProxies() != 1 || len(d.record.Proxies[4].Moves) > 0 {
			t.Errorf("claimed with %+v, owns %d, moves %v", again, d.OwnedProxies(), d.record.Proxies[4].Moves)
		}
		if _, taken := d.record.Apply(old); taken {
			t.Error("an entry of the incarnation that is over was taken in")
		}
		if incarnation := d.record.Incarnations[e.Incarnation]; incarnation.Tables[0].Lines["a"].Weight != 0 || incarnation.Tables[0].Lines["b"].Weight != 1 {
			t.Errorf("on the record %+v", incarnation.Tables[0])
		}
	})
	t.Run("a claim that was under way for an older stream does not grant the newer", func(t *testing.T) {
		p, d := works(t)
		d.ProxyConnected(4, 50)
		d.ProxyDisconnected(4)
		d.ProxyConnected(4, 60)
		if p.stands(d, 70, 1, 2, 1000); len(p.granted) > 0 {
			t.Errorf("granted %v by the older claim", p.granted)
		}
		if p.stands(d, 80, 1, 2, 1000); p.granted[4] != "2 false 0" {
			t.Errorf("granted %v", p.granted)
		}
	})
	t.Run("of a proxy that comes and goes between owners no more messages are spent than the limit", func(t *testing.T) {
		p, d := works(t)
		for i, name := range []string{"n1", "n2", "n1"} {
			d.EntryApplied(Entry{Member: name, Incarnation: uint64(i%2 + 1), Seq: uint64(2 + i/2), Claims: []int{5}, Stamp: Stamp{7, int64(100 + i)}}, 100)
		}
		d.ProxyConnected(5, 200)
		if p.stands(d, 210); p.granted[5] != fmt.Sprint("4 false ", terms.OwnerQuota()) {
			t.Errorf("granted %v with three others' shares standing", p.granted)
		}
		for i := range maxMovesWithReserve { // and so on: beyond some it has none of its own
			d.ProxyDisconnected(5)
			d.EntryApplied(Entry{Member: []string{"n1", "n2"}[i%2], Incarnation: uint64(i%2 + 1), Seq: d.record.Incarnations[uint64(i%2+1)].Seq + 1, Claims: []int{5},
				Stamp: Stamp{7, 220 + int64(i)}}, 220)
		}
		d.ProxyConnected(5, 230)
		if p.stands(d, 240); p.granted[5] != fmt.Sprint("9 false ", terms.OwnerQuota()+terms.UnownedQuota()-1) {
			t.Errorf("granted %v after %d moves", p.granted, maxMovesWithReserve+4)
		}
		if most := terms.Members*(terms.UnownedQuota()+1) + (previousOwnersCounted+1)*terms.OwnerQuota(); most > terms.MaxMessages {
			t.Errorf("%d messages by all together", most)
		}
	})
	t.Run("how old a move is counts by one leader's clock, also for who has just started", func(t *testing.T) {
		p := newFakeHost()
		d := New(p, "n0", terms, 0)
		d.Tick(0)
		for i, name := range []string{"n1", "n2", "n1", "n2"} {
			d.EntryApplied(Entry{Member: name, Incarnation: uint64(i + 1), Seq: 1, Claims: []int{5}, Stamp: Stamp{7, int64(i)}}, 0)
		}
		d.started = -terms.MessageWindow
		d.ProxyConnected(5, 0)
		e := p.proposed[0]
		e.Stamp = Stamp{7, 11_000}
		d.EntryApplied(e, 1)
		d.ProposalCommitted(e.Incarnation, e.Seq, 1)
		e = p.proposed[1]
		e.Stamp = Stamp{7, 11_001}
		if d.EntryApplied(e, 2); p.granted[5] != "5 false 0" {
			t.Errorf("granted %v: the others' shares are long over", p.granted)
		}
	})
	t.Run("one that has just started, or has the proxy back, has few messages left of those that need no claim", func(t *testing.T) {
		p := newFakeHost()
		d := New(p, "n0", terms, 0)
		d.Tick(0)
		d.Tick(terms.Duration)
		d.ProxyConnected(5, terms.Duration)
		if left := terms.UnownedQuota() + terms.OwnerQuota(); p.granted[5] != fmt.Sprint("0 false ", left-terms.GuaranteedMessages) {
			t.Errorf("granted %v of %d", p.granted, left)
		}
		d.ProxyConnected(6, 2*terms.MessageWindow)
		d.ProxyDisconnected(6)
		d.ProxyConnected(6, 2*terms.MessageWindow+5)
		if left := terms.UnownedQuota() + terms.OwnerQuota(); p.granted[6] != fmt.Sprint("0 false ", left-terms.GuaranteedMessages) {
			t.Errorf("granted %v of %d", p.granted, left)
		}
	})
	t.Run("one that is heard although another claimed it is claimed again, one that is silent is not", func(t *testing.T) {
		p, d := works(t)
		for _, proxy := range []int{4, 5} {
			d.ProxyConnected(proxy, 50)
		}
		for range 2 {
			p.stands(d, 60)
		}
		d.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 2, Claims: []int{4, 5}, Stamp: Stamp{7, 70}}, 70)
		if d.OwnedProxies() != 0 || p.spent[4] != terms.OwnerQuota() {
			t.Errorf("owns %d, spent %v", d.OwnedProxies(), p.spent)
		}
		d.ProxyHeardFrom(4, 60) // what was heard before says nothing
		d.ProxyHeardFrom(5, 300)
		d.Tick(300)
		p.stands(d, 310)
		if p.stands(d, 320); d.record.Proxies[5].Owner != "n0" || d.record.Proxies[4].Owner != "n1" {
			t.Errorf("on the record %+v", d.record.Proxies)
		}
	})
}

func TestRecord(t *testing.T) {
	t.Run("a line set after what a proxy confirmed is in doubt, also one that was taken out", func(t *testing.T) {
		b := NewRecord()
		b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1, Claims: []int{3}, Revision: 1,
			TableChanges: []TableChange{{0, []Line{{"a", 1}, {"b", 1}, {"c", 1}}}}})
		b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 2, Revision: 2, TableChanges: []TableChange{{0, []Line{{"a", 0.5}, {"b", 0}}}},
			Confirmations: []Confirmation{{3, 1, 1, []int{0}, true}}})
		moves, _ := b.Apply(Entry{Member: "n1", Incarnation: 2, Seq: 1, Claims: []int{3}, OnRecord: []uint64{1}})
		base := moves[0].Base
		if len(base) != 1 || !base[0].Uncertain["a"] || !base[0].Uncertain["b"] || base[0].Uncertain["c"] || base[0].Lines["c"] != 1 {
			t.Errorf("base %+v", base)
		}
	})
	t.Run("what a proxy shuts out is known once it confirmed what was withdrawn, if nothing of others is left", func(t *testing.T) {
		for _, story := range []struct {
			sure       bool
			shut       float64
			set, heard uint64
			clean      bool
		}{{true, 0, 2, 2, true}, {true, 1, 2, 2, false}, {true, 0, 3, 2, false}, {false, 0, 2, 2, false}} {
			b := NewRecord()
			b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1, Claims: []int{3}, Revision: 1, TableChanges: []TableChange{{0, []Line{{"a", 1}}}}})
			b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 2, Revision: story.set, TableChanges: []TableChange{{WithdrawnTable, []Line{{"a", story.shut}}}},
				Confirmations: []Confirmation{{3, 1, story.heard, []int{0}, story.sure}}})
			if moves, _ := b.Apply(Entry{Member: "n1", Incarnation: 2, Seq: 1, Claims: []int{3}, OnRecord: []uint64{1}}); moves[0].NoWithdrawals != story.clean ||
				!moves[0].Known {
				t.Errorf("%+v: %+v", story, moves[0])
			}
		}
	})
	t.Run("what is remembered of lines taken out has an end, from which on a base is not known", func(t *testing.T) {
		b := NewRecord()
		b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1, Claims: []int{3, 4}, Revision: 1, TableChanges: []TableChange{{0, []Line{{"a", 1}}}}})
		b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 2, Revision: 1, Confirmations: []Confirmation{{3, 1, 1, []int{0}, true}}})
		for seq := uint64(3); seq < 400; seq++ {
			b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: seq, Revision: seq,
				TableChanges: []TableChange{{0, []Line{{fmt.Sprint("s", seq), 0}}}}})
		}
		b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 400, Revision: 400, Confirmations: []Confirmation{{4, 2, 399, []int{0}, true}}})
		if n := len(b.Incarnations[1].Tables[0].Lines); n > maxRemovedLines+1 {
			t.Errorf("%d lines are remembered", n)
		}
		moves, _ := b.Apply(Entry{Member: "n1", Incarnation: 2, Seq: 1, Claims: []int{3, 4}, OnRecord: []uint64{1}})
		if moves[0].Known || !moves[1].Known {
			t.Errorf("moves %+v", moves)
		}
	})
	t.Run("an entry counts once, a closed incarnation not at all, and incarnations that own nothing are forgotten", func(t *testing.T) {
		b := NewRecord()
		first := Entry{Member: "n0", Incarnation: 1, Seq: 1, Claims: []int{3}}
		b.Apply(first)
		if _, taken := b.Apply(first); taken || b.Token != 1 {
			t.Errorf("taken twice, token %d", b.Token)
		}
		b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 2, Closing: true})
		if _, taken := b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 3, Claims: []int{4}}); taken {
			t.Error("a closed incarnation went on")
		}
		b.Apply(Entry{Member: "n0", Incarnation: 2, Seq: 1, SeenToken: 40})
		if len(b.Incarnations) != 2 {
			t.Errorf("%d incarnations while the older owns a proxy", len(b.Incarnations))
		}
		if moves, _ := b.Apply(Entry{Member: "n1", Incarnation: 9, Seq: 1, Claims: []int{3}}); len(b.Incarnations) != 2 || moves[0].To.Token != 41 {
			t.Errorf("incarnations %v, moves %+v", b.Incarnations, moves)
		}
	})
	t.Run("a repeat of an entering brings no incarnation back that is over, also one that is forgotten", func(t *testing.T) {
		b := NewRecord()
		b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1})
		b.Apply(Entry{Member: "n0", Incarnation: 2, Seq: 1})
		if _, taken := b.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1}); taken || b.Members["n0"] != 2 || b.Incarnations[1] != nil {
			t.Errorf("the incarnation is %d of %v", b.Members["n0"], b.Incarnations)
		}
		for incarnation := uint64(3); incarnation < 99; incarnation++ {
			b.Apply(Entry{Member: "n0", Incarnation: incarnation, Seq: 1})
		}
		if len(b.Past["n0"]) != maxPastIncarnations {
			t.Errorf("%d incarnations are kept", len(b.Past["n0"]))
		}
	})
	t.Run("one whose entries are not taken in, as another entered under its name, goes off the record", func(t *testing.T) {
		p, d := works(t)
		d.EntryApplied(Entry{Member: "n0", Incarnation: 77, Seq: 1}, 50)
		d.Tick(terms.RenewInterval)
		if p.stands(d, terms.RenewInterval); !slices.Contains(p.modes, true) || d.incarnation == 1000 {
			t.Errorf("modes %v, incarnation %d", p.modes, d.incarnation)
		}
	})
	t.Run("a withdrawal stands until its member takes it back, or enters anew", func(t *testing.T) {
		p := newFakeHost()
		d := New(p, "n0", terms, 0)
		d.Tick(0)
		for member, incarnation := range map[string]uint64{"n1": 1, "n2": 2} {
			d.EntryApplied(Entry{Member: member, Incarnation: incarnation, Seq: 1}, 0)
			d.EntryApplied(Entry{Member: member, Incarnation: incarnation, Seq: 2, Observations: []Observation{{Backend: "a", Attempts: 5, Failed: 5, Withdrawn: true}}}, 10)
		}
		d.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 3, Observations: []Observation{{Backend: "a", Attempts: 5}}}, 20)
		if len(d.record.Withdrawn["a"]) != 1 || len(p.learned) > 0 {
			t.Errorf("withdrawn %v, learned %v before we came", d.record.Withdrawn, p.learned)
		}
		if p.stands(d, 30); !slices.Equal(p.learned, []string{"n2 a"}) {
			t.Errorf("learned %v", p.learned)
		}
		if d.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 4, Observations: []Observation{{Backend: "b"}}}, 35); !slices.Equal(p.learned, []string{"n2 a", "n1 b"}) {
			t.Errorf("learned %v", p.learned)
		}
		if d.EntryApplied(Entry{Member: "n2", Incarnation: 5, Seq: 1}, 40); len(d.record.Withdrawn) != 0 {
			t.Errorf("withdrawn %v", d.record.Withdrawn)
		}
	})
}
