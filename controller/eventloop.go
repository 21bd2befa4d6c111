package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// module is the actor around the decisions: it hands them what happens, one thing after the other, and is their Host.
// All that it takes at once happens at one clock time, after which each proxy concerned is written one message.
type module struct {
	*tables
	limits  *limits
	log     *journal
	control *balancer.Controller

	list  *list
	fleet *fleet // what is shared with other controllers; nil for nothing

	distributor *distributor // where distributed configuration arrives; nil for nowhere
	overrides   *overrides   // what that says of backends; nil where none arrives

	zones, classes map[string]int
	zoneNames      []string
	backends       *backends
	joins          []*join // by proxy; nil if it is not joined

	mail   chan func()
	done   chan struct{}
	ready  chan struct{} // closed once the decisions know a backend, or have waited for one
	clock  func() int64
	now    int64 // of this turn
	stood  int64 // when we last came to ourselves after standing still
	timers []timer
}

// join is a proxy's stream, and the marks on it that are unanswered.
type join struct {
	peer    *peer
	waiting []*mark
	bound   *mark // the first that went out with tables of ours for every class, until it is answered
	whole   bool  // and then
}

// mark is one that went out at some clock time, to however many proxies.
type mark struct {
	number        int
	edition       uint64 // of our tables then, where they are shared
	due, answered int64  // due: when the last of them can have left; answered: when the first of them did
}

type timer struct {
	at  int64
	tag uint64
}

// newClock gives Unix time in µs as it is now, gone on with the monotonic clock.
func newClock() func() int64 {
	began := time.Now()
	return func() int64 { return began.UnixMicro() + time.Since(began).Microseconds() }
}

// post gives the module something that must not be lost; it waits while the mailbox is full.
func (m *module) post(what func()) {
	select {
	case m.mail <- what:
	case <-m.done:
	}
}

// report gives the module something that may be lost. With a full mailbox it is given up: the reader has to go on
// reading, and thousands of reports that wait already say nearly the same.
func (m *module) report(what func()) {
	select {
	case m.mail <- what:
	default:
		m.log.seldom("reports", "report_dropped", "mailbox", m.limits.mailbox)
	}
}

func (m *module) run(ctx context.Context) {
	defer close(m.done)
	if m.fleet != nil {
		defer m.fleet.close()
	}
	m.now = m.clock()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		next := m.limits.logRepeat
		if len(m.timers) > 0 {
			next = time.Duration(m.timers[0].at-m.clock()) * time.Microsecond
		}
		wake.Reset(max(next, 0))
		select {
		case <-ctx.Done():
			return
		case <-wake.C:
			m.turn(func() {})
		case what := <-m.mail:
			if early := m.now + m.limits.tick.Microseconds() - m.clock(); early > 0 {
				wake.Reset(time.Duration(early) * time.Microsecond)
				select {
				case <-ctx.Done():
					return
				case <-wake.C:
				}
			}
			m.turn(what)
		}
	}
}

// turn takes what has come in, and the timers that are due, at one clock time.
func (m *module) turn(first func()) {
	last := m.now
	if m.now = max(m.clock(), last+1); m.now-last > m.limits.still {
		m.log.seldom("stood", "stood_still", "seconds", figured(float64(m.now-last)/second, 1))
		m.stood = m.now
	}
	first()
	if m.distributor != nil {
		if entries, whole := m.distributor.take(); whole || len(entries) > 0 {
			m.configured(entries, whole)
		}
	}
	for taken := 1; taken < m.limits.turn; taken++ {
		select {
		case what := <-m.mail:
			what()
			continue
		default:
		}
		break
	}
	for len(m.timers) > 0 && m.timers[0].at <= m.now {
		due := m.timers[0]
		m.timers = m.timers[1:]
		if due.tag == coordinatorTag {
			m.fleet.tick(m.now)
			continue
		}
		m.control.TimerFired(due.tag)
	}
	m.findSilent()
	defer m.forget()
	sends, edition := (*peer).send, uint64(0)
	if m.fleet != nil {
		m.fleet.recordTableChanges()
		sends, edition = m.fleet.send, m.fleet.coordinator.Revision()
	}
	var one *mark
	m.flush(sends, m.dropProxy, func(proxy, number int) {
		if one == nil {
			one = &mark{number: number, edition: edition, due: m.now + m.control.QueueDelay()}
		}
		j := m.joins[proxy]
		if m.fleet != nil && j.bound == nil && !j.whole && !slices.Contains(m.at(proxy).bound, unbound) {
			j.bound = one
		}
		if j.waiting = append(j.waiting, one); len(j.waiting) > m.limits.marks {
			j.waiting = j.waiting[1:] // it talks, but answers nothing
		}
	})
}

// forget ends what is kept of backends that are gone for long. Nothing on its way names them by their index.
func (m *module) forget() {
	many := m.backends.sweep(m.now, m.limits.gone, func(backend int) bool {
		gone := m.tables.forget(backend, func() bool { return m.control.ForgetBackend(backend) })
		if gone && m.fleet != nil {
			m.fleet.evidence.ForgetBackend(m.backends.ids[backend])
		}
		return gone
	})
	if many > 0 {
		m.log.say("forgotten", "backends", many, "kept", len(m.backends.index))
	}
}

// Now is the clock time of this turn.
func (m *module) Now() int64 { return m.now }

// SetTimer has Elapsed called after a while.
func (m *module) SetTimer(wait int64, tag uint64) {
	t := timer{m.now + max(wait, 1), tag}
	at, _ := slices.BinarySearchFunc(m.timers, t, func(a, b timer) int {
		if a.at > b.at {
			return 1
		}
		return -1
	})
	m.timers = slices.Insert(m.timers, at, t)
}

// Log writes a change of mode, with the id of the backend that it is about as staff know it.
func (m *module) Log(backend int, line string) {
	if backend < 0 {
		m.log.say("decision", "text", line)
		return
	}
	m.log.say("decision", "backend", m.backends.ids[backend], "text", line)
}

// PollEndpoints has the list ask now, if it waits after a failed call. It is followed all the time, as asking costs
// discovery nothing here.
func (m *module) PollEndpoints() { m.list.wake() }

// CheckHealth is not called: on sockets no page says how backends are probed, so the decisions are told they may not.
func (m *module) CheckHealth(int) {}

func (m *module) zoneName(zone int) string {
	if zone < 0 || zone >= len(m.zoneNames) {
		return ""
	}
	return m.zoneNames[zone]
}

// listed takes in the list, whole or what changed.
func (m *module) listed(whole bool, version int64, servers []*fastjson.Value) {
	entries := make([]balancer.Endpoint, 0, len(servers))
	there := map[int]bool{}
	for _, server := range servers {
		if e, ok := m.entry(server); ok {
			entries, there[e.Backend] = m.merged(entries, e), e.State != balancer.Removed
		}
	}
	if whole && m.overrides != nil {
		m.overrides.dropped(there)
	}
	for backend, since := range m.backends.gone {
		switch here, named := there[backend]; {
		case here:
			m.backends.gone[backend] = 0
		case since == 0 && (named || whole):
			m.backends.gone[backend] = m.now
		}
	}
	m.log.say("list", "version", version, "whole", whole, "entries", len(entries))
	m.control.EndpointsUpdated(whole, entries)
	if len(entries) > 0 {
		m.becomeReady("the list is known")
	}
}

// merged adds the entry of a backend to a list, with what distributed configuration says of it.
func (m *module) merged(to []balancer.Endpoint, e balancer.Endpoint) []balancer.Endpoint {
	if m.overrides == nil {
		return append(to, e)
	}
	m.overrides.note(e)
	return m.overrides.merged(to, m.backends.ids[e.Backend], e)
}

// becomeReady has answers leave from now on. A controller that knows no backend orders nothing, and proxies go on with
// what they hold, which is no worse than with none to connect to.
func (m *module) becomeReady(why string) {
	select {
	case <-m.ready:
	default:
		close(m.ready)
		m.log.say("ready", "backends", len(m.backends.index), "why", why)
	}
}

func (m *module) entry(server *fastjson.Value) (e balancer.Endpoint, ok bool) {
	id := server.GetStringBytes("id")
	zone, there := m.zones[string(server.GetStringBytes("zone"))]
	if len(id) == 0 || len(id) > m.limits.id || !there {
		m.log.seldom("entry", "entry_skipped", "id", string(id[:min(len(id), m.limits.id)]), "why", "no usable id or zone")
		return e, false
	}
	condition := balancer.Draining // the careful reading of a word that we do not know
	switch state := string(server.GetStringBytes("state")); state {
	case "up":
		condition = balancer.Ready
	case "draining":
	case "removed":
		condition = balancer.Removed
	default:
		m.log.seldom("state", "entry_state", "id", string(id), "state", state, "taken", "draining")
	}
	backend, ok := m.backends.take(string(id), server.Get("id").MarshalTo(nil), m.limits.backends)
	if !ok {
		m.log.seldom("backends", "entry_skipped", "id", string(id), "why", "too many backends")
		return e, false
	}
	weight, _ := figureAt(server, "weight")
	began, _ := figureAt(server, "started_ms")
	return balancer.Endpoint{Backend: backend, State: condition, StartedAt: settings.Microseconds(began), Weight: weight,
		Zone: zone}, true
}

// joined takes a proxy's stream. A newer one replaces the old, whose end then says nothing.
func (m *module) joined(p *peer, usual float64, keeps bool) {
	for len(m.joins) <= p.node {
		m.joins = append(m.joins, nil)
	}
	if old := m.joins[p.node]; old != nil && old.peer.serial > p.serial {
		p.end(errStale) // its first words were under way for longer than the next stream took
		return
	} else if old != nil {
		m.removeStream(p.node)
		old.peer.end(errReplaced)
	}
	m.log.seldom(fmt.Sprint("joined ", p.node), "joined", "node", p.node, "zone", m.zoneName(p.zone),
		"usual", figured(usual, 1), "keeps", keeps, "peer", p.conn.RemoteAddr())
	m.joins[p.node] = &join{peer: p}
	s := m.join(p.node, p, keeps)
	if m.fleet != nil {
		s.unowned, s.fenced = true, p.fenced
		m.fleet.proxyJoined(p.node, pendingJoin{p.zone, usual, keeps})
		return
	}
	m.control.ProxyConnected(p.node, p.zone, usual, keeps)
}

func (m *module) current(p *peer) bool {
	return p.node < len(m.joins) && m.joins[p.node] != nil && m.joins[p.node].peer == p
}

// left takes the end of a stream, unless another has replaced it.
func (m *module) left(p *peer) {
	if m.current(p) {
		m.log.seldom(fmt.Sprint("left ", p.node), "left", "node", p.node, "why", p.why)
		m.removeStream(p.node)
	}
}

// dropProxy ends the stream of a proxy that cannot be reached.
func (m *module) dropProxy(node int, err error) {
	if p := m.joins[node].peer; err != errEnded {
		m.log.say("lost", "node", node, "why", err)
		p.end(err)
	}
	m.removeStream(node)
}

// removeStream ends what is kept of a proxy's stream.
func (m *module) removeStream(node int) {
	m.joins[node] = nil
	m.leave(node)
	if m.fleet == nil || m.fleet.proxyLeft(node) {
		m.control.ProxyDisconnected(node)
	}
}

// findSilent ends streams that are half-open. They say nothing and cannot be told from quiet ones but by marks that
// stay unanswered, so both are asked for.
// Messages leave the channel one by one, so time counts from when all that waits can have left.
// Where other proxies have answered the same mark, less time will do. While we stood still ourselves we heard nobody,
// which says nothing of them.
func (m *module) findSilent() {
	for node, j := range m.joins {
		if j == nil || len(j.waiting) == 0 {
			continue
		}
		oldest, unheard := j.waiting[0], m.now-max(j.peer.heard.Load(), m.stood)
		if min(m.now-oldest.due, unheard) > m.limits.silence ||
			oldest.answered > 0 && min(m.now-oldest.answered, unheard) > m.limits.lag {
			m.dropProxy(node, errSilent)
		}
	}
}

// applied takes a mark that came back. From a stream that has been replaced it says nothing.
func (m *module) applied(p *peer, number int) {
	if !m.current(p) {
		return
	}
	j := m.joins[p.node]
	at := slices.IndexFunc(j.waiting, func(w *mark) bool { return w.number == number })
	if at < 0 {
		m.log.seldom("mark", "mark_unknown", "node", p.node, "mark", number)
		return
	}
	if j.waiting[at].answered == 0 {
		j.waiting[at].answered = m.now
	}
	if m.fleet != nil {
		j.whole = j.whole || slices.Contains(j.waiting[:at+1], j.bound)
		if j.whole {
			s := m.at(p.node)
			m.fleet.coordinator.ProxyAcknowledged(p.node, j.waiting[at].edition, s.bound, s.cleared || !s.mayHoldWithdrawals)
		}
	}
	j.waiting = slices.Delete(j.waiting, 0, at+1)
	m.control.Acknowledged(p.node, number)
}

// addOutcomes takes in what the proxies of a zone met at a backend.
func (m *module) addOutcomes(id string, tries, failed int, mean, span int64, load balancer.BackendLoad) {
	backend, ok := m.backends.index[id]
	if !ok {
		m.log.seldom("unlisted", "report_unlisted", "id", id[:min(len(id), m.limits.id)])
		return
	}
	m.control.OutcomesReported(backend, tries, failed, mean, span, load)
	if m.fleet != nil {
		m.fleet.evidence.AddOutcomes(id, tries, failed, mean, span)
	}
}

// addDemand takes in what came to a proxy.
func (m *module) addDemand(node, class, count int, span int64) {
	if node < len(m.joins) && m.joins[node] != nil && !m.at(node).unowned {
		m.control.DemandReported(node, class, count, span)
		if m.fleet != nil {
			m.fleet.evidence.AddDemand(node, class, count, span)
		}
	}
}
