package controller

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// eventLoop is the actor around the decisions: it hands them what happens, one thing after the other, and is their Host.
// All that it takes at once happens at one clock time, after which each proxy concerned is written one message.
type eventLoop struct {
	*tables
	limits    *limits
	log       *slog.Logger
	decisions *balancer.Controller

	watcher   *endpointWatcher
	ownership *ownershipHost // what is shared with other controllers; nil for nothing

	distributor *distributor // where distributed configuration arrives; nil for nowhere
	overrides   *overrides   // what that says of backends; nil where none arrives

	zoneIndex, classIndex map[string]int
	zoneNames             []string
	backends              *backendIndex
	sessions              []*session // by proxy; nil if it is not joined

	inbox     chan func()
	stopped   chan struct{}
	ready     chan struct{} // closed once the decisions know a backend, or have waited for one
	clock     func() int64
	now       int64 // of this turn
	stalledAt int64 // when we last came to ourselves after standing still
	timers    []timer
}

// session is a proxy's stream, and the marks on it that are unanswered.
type session struct {
	conn          *connection
	unacked       []*pendingAck
	firstComplete *pendingAck // the first that went out with tables of ours for every class, until it is answered
	complete      bool        // and then
}

// pendingAck is one that went out at some clock time, to however many proxies.
type pendingAck struct {
	nonce                   int
	edition                 uint64 // of our tables then, where they are shared
	sentBy, firstAnsweredAt int64  // due: when the last of them can have left; answered: when the first of them did
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
func (l *eventLoop) post(what func()) {
	select {
	case l.inbox <- what:
	case <-l.stopped:
	}
}

// tryPost gives the module something that may be lost. With a full mailbox it is given up: the reader has to go on
// reading, and thousands of reports that wait already say nearly the same.
func (l *eventLoop) tryPost(what func()) {
	select {
	case l.inbox <- what:
	default:
		l.log.Warn("report_dropped", "inbox_size", l.limits.inboxSize)
	}
}

func (l *eventLoop) run(ctx context.Context) {
	defer close(l.stopped)
	if l.ownership != nil {
		defer l.ownership.handOver()
	}
	l.now = l.clock()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		next := l.limits.logRepeatInterval
		if len(l.timers) > 0 {
			next = time.Duration(l.timers[0].at-l.clock()) * time.Microsecond
		}
		wake.Reset(max(next, 0))
		select {
		case <-ctx.Done():
			return
		case <-wake.C:
			l.iterate(func() {})
		case what := <-l.inbox:
			if early := l.now + l.limits.tick.Microseconds() - l.clock(); early > 0 {
				wake.Reset(time.Duration(early) * time.Microsecond)
				select {
				case <-ctx.Done():
					return
				case <-wake.C:
				}
			}
			l.iterate(what)
		}
	}
}

// iterate takes what has come in, and the timers that are due, at one clock time.
func (l *eventLoop) iterate(first func()) {
	last := l.now
	if l.now = max(l.clock(), last+1); l.now-last > l.limits.stallThreshold {
		l.log.Warn("process_stalled", "stalled_s", formatDecimal(float64(l.now-last)/microsPerSecond, 1))
		l.stalledAt = l.now
	}
	first()
	if l.distributor != nil {
		if entries, whole := l.distributor.takeArrived(); whole || len(entries) > 0 {
			l.applyDistributed(entries, whole)
		}
	}
	for taken := 1; taken < l.limits.eventsPerIteration; taken++ {
		select {
		case what := <-l.inbox:
			what()
			continue
		default:
		}
		break
	}
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		due := l.timers[0]
		l.timers = l.timers[1:]
		if due.tag == coordinatorTimer {
			l.ownership.renew(l.now)
			continue
		}
		l.decisions.TimerFired(due.tag)
	}
	l.dropSilentProxies()
	defer l.forgetRemovedBackends()
	sends, edition := (*connection).send, uint64(0)
	if l.ownership != nil {
		l.ownership.recordTableChanges()
		sends, edition = l.ownership.send, l.ownership.coordinator.Revision()
	}
	var one *pendingAck
	l.flush(sends, l.dropProxy, func(proxy, number int) {
		if one == nil {
			one = &pendingAck{nonce: number, edition: edition, sentBy: l.now + l.decisions.QueueDelay()}
		}
		j := l.sessions[proxy]
		if l.ownership != nil && j.firstComplete == nil && !j.complete && !slices.Contains(l.proxy(proxy).tables, unbound) {
			j.firstComplete = one
		}
		if j.unacked = append(j.unacked, one); len(j.unacked) > l.limits.maxUnacked {
			j.unacked = j.unacked[1:] // it talks, but answers nothing
		}
	})
}

// forgetRemovedBackends ends what is kept of backends that are gone for long. Nothing on its way names them by their index.
func (l *eventLoop) forgetRemovedBackends() {
	many := l.backends.sweep(l.now, l.limits.forgetAfter, func(backend int) bool {
		gone := l.tables.forget(backend, func() bool { return l.decisions.ForgetBackend(backend) })
		if gone && l.ownership != nil {
			l.ownership.evidence.ForgetBackend(l.backends.ids[backend])
		}
		return gone
	})
	if many > 0 {
		l.log.Info("backends_forgotten", "backends", many, "known", len(l.backends.index))
	}
}

// Now is the clock time of this turn.
func (l *eventLoop) Now() int64 { return l.now }

// SetTimer has Elapsed called after a while.
func (l *eventLoop) SetTimer(wait int64, tag uint64) {
	t := timer{l.now + max(wait, 1), tag}
	at, _ := slices.BinarySearchFunc(l.timers, t, func(a, b timer) int {
		if a.at > b.at {
			return 1
		}
		return -1
	})
	l.timers = slices.Insert(l.timers, at, t)
}

// Log writes a change of mode, with the id of the backend that it is about as staff know it.
func (l *eventLoop) Log(backend int, line string) {
	if backend < 0 {
		l.log.Info("decision", "text", line)
		return
	}
	l.log.Info("decision", "backend", l.backends.ids[backend], "text", line)
}

// PollEndpoints has the list ask now, if it waits after a failed call. It is followed all the time, as asking costs
// discovery nothing here.
func (l *eventLoop) PollEndpoints() { l.watcher.wake() }

// CheckHealth is not called: on sockets no page says how backends are probed, so the decisions are told they may not.
func (l *eventLoop) CheckHealth(int) {}

func (l *eventLoop) zoneName(zone int) string {
	if zone < 0 || zone >= len(l.zoneNames) {
		return ""
	}
	return l.zoneNames[zone]
}

// endpointsUpdated takes in the list, whole or what changed.
func (l *eventLoop) endpointsUpdated(whole bool, version int64, servers []*fastjson.Value) {
	entries := make([]balancer.Endpoint, 0, len(servers))
	there := map[int]bool{}
	for _, server := range servers {
		if e, ok := l.decodeEndpoint(server); ok {
			entries, there[e.Backend] = l.withOverrides(entries, e), e.State != balancer.Removed
		}
	}
	if whole && l.overrides != nil {
		l.overrides.noteUnlisted(there)
	}
	for backend, since := range l.backends.removedAt {
		switch here, named := there[backend]; {
		case here:
			l.backends.removedAt[backend] = 0
		case since == 0 && (named || whole):
			l.backends.removedAt[backend] = l.now
		}
	}
	l.log.Info("endpoint_list_updated", "version", version, "full", whole, "endpoints", len(entries))
	l.decisions.EndpointsUpdated(whole, entries)
	if len(entries) > 0 {
		l.becomeReady(readyListKnown)
	}
}

// withOverrides adds the entry of a backend to a list, with what distributed configuration says of it.
func (l *eventLoop) withOverrides(to []balancer.Endpoint, e balancer.Endpoint) []balancer.Endpoint {
	if l.overrides == nil {
		return append(to, e)
	}
	l.overrides.noteListed(e)
	return l.overrides.merged(to, l.backends.ids[e.Backend], e)
}

// Reasons why answers leave.
const (
	readyListKnown         = "the list is known"
	readyDiscoveryAnswered = "discovery has answered"
	readyWithoutList       = "nothing is known, and discovery keeps silent"
)

// becomeReady has answers leave from now on. A controller that knows no backend orders nothing, and proxies go on with
// what they hold, which is no worse than with none to connect to.
func (l *eventLoop) becomeReady(why string) {
	select {
	case <-l.ready:
	default:
		close(l.ready)
		level := slog.LevelInfo
		if why == readyWithoutList {
			level = slog.LevelWarn
		}
		l.log.Log(context.Background(), level, "ready", "backends", len(l.backends.index), "reason", why)
	}
}

func (l *eventLoop) decodeEndpoint(server *fastjson.Value) (e balancer.Endpoint, ok bool) {
	id := server.GetStringBytes("id")
	zone, there := l.zoneIndex[string(server.GetStringBytes("zone"))]
	if len(id) == 0 || len(id) > l.limits.maxIDBytes || !there {
		l.log.Warn("endpoint_skipped", "backend", string(id[:min(len(id), l.limits.maxIDBytes)]), "reason", "no usable id or zone")
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
		l.log.Warn("endpoint_state_unknown", "backend", string(id), "state", state, "treated_as", "draining")
	}
	backend, ok := l.backends.assign(string(id), server.Get("id").MarshalTo(nil), l.limits.maxBackends)
	if !ok {
		l.log.Warn("endpoint_skipped", "backend", string(id), "reason", "too many backends")
		return e, false
	}
	weight, _ := numberAt(server, "weight")
	began, _ := numberAt(server, "started_ms")
	return balancer.Endpoint{Backend: backend, State: condition, StartedAt: settings.Microseconds(began), Weight: weight,
		Zone: zone}, true
}

// proxyConnected takes a proxy's stream. A newer one replaces the old, whose end then says nothing.
func (l *eventLoop) proxyConnected(p *connection, usual float64, keeps bool) {
	for len(l.sessions) <= p.proxy {
		l.sessions = append(l.sessions, nil)
	}
	if old := l.sessions[p.proxy]; old != nil && old.conn.sequence > p.sequence {
		p.close(errSuperseded) // its first words were under way for longer than the next stream took
		return
	} else if old != nil {
		l.removeSession(p.proxy)
		old.conn.close(errReplaced)
	}
	l.log.Info("proxy_connected", "proxy", p.proxy, "zone", l.zoneName(p.zone),
		"requests_per_s", formatDecimal(usual, 1), "may_hold_withdrawals", keeps, "remote", p.conn.RemoteAddr())
	l.sessions[p.proxy] = &session{conn: p}
	s := l.connect(p.proxy, p, keeps)
	if l.ownership != nil {
		s.unowned, s.wantsToken = true, p.wantsToken
		l.ownership.proxyJoined(p.proxy, pendingProxy{p.zone, usual, keeps})
		return
	}
	l.decisions.ProxyConnected(p.proxy, p.zone, usual, keeps)
}

func (l *eventLoop) isCurrent(p *connection) bool {
	return p.proxy < len(l.sessions) && l.sessions[p.proxy] != nil && l.sessions[p.proxy].conn == p
}

// proxyDisconnected takes the end of a stream, unless another has replaced it.
func (l *eventLoop) proxyDisconnected(p *connection) {
	if l.isCurrent(p) {
		l.log.Info("proxy_disconnected", "proxy", p.proxy, "error", p.closeReason)
		l.removeSession(p.proxy)
	}
}

// dropProxy ends the stream of a proxy that cannot be reached.
func (l *eventLoop) dropProxy(node int, err error) {
	if p := l.sessions[node].conn; err != errClosed {
		l.log.Warn("proxy_dropped", "proxy", node, "error", err)
		p.close(err)
	}
	l.removeSession(node)
}

// removeSession ends what is kept of a proxy's stream.
func (l *eventLoop) removeSession(node int) {
	l.sessions[node] = nil
	l.disconnect(node)
	if l.ownership == nil || l.ownership.proxyLeft(node) {
		l.decisions.ProxyDisconnected(node)
	}
}

// dropSilentProxies ends streams that are half-open. They say nothing and cannot be told from quiet ones but by marks that
// stay unanswered, so both are asked for.
// Messages leave the channel one by one, so time counts from when all that waits can have left.
// Where other proxies have answered the same mark, less time will do. While we stood still ourselves we heard nobody,
// which says nothing of them.
func (l *eventLoop) dropSilentProxies() {
	for node, j := range l.sessions {
		if j == nil || len(j.unacked) == 0 {
			continue
		}
		oldest, unheard := j.unacked[0], l.now-max(j.conn.lastHeard.Load(), l.stalledAt)
		if min(l.now-oldest.sentBy, unheard) > l.limits.silenceTimeout ||
			oldest.firstAnsweredAt > 0 && min(l.now-oldest.firstAnsweredAt, unheard) > l.limits.ackLagTimeout {
			l.dropProxy(node, errSilent)
		}
	}
}

// acknowledged takes a mark that came back. From a stream that has been replaced it says nothing.
func (l *eventLoop) acknowledged(p *connection, number int) {
	if !l.isCurrent(p) {
		return
	}
	j := l.sessions[p.proxy]
	at := slices.IndexFunc(j.unacked, func(w *pendingAck) bool { return w.nonce == number })
	if at < 0 {
		l.log.Warn("ack_unknown", "proxy", p.proxy, "nonce", number)
		return
	}
	if j.unacked[at].firstAnsweredAt == 0 {
		j.unacked[at].firstAnsweredAt = l.now
	}
	if l.ownership != nil {
		j.complete = j.complete || slices.Contains(j.unacked[:at+1], j.firstComplete)
		if j.complete {
			s := l.proxy(p.proxy)
			l.ownership.coordinator.ProxyAcknowledged(p.proxy, j.unacked[at].edition, s.tables, s.cleared || !s.mayHoldWithdrawals)
		}
	}
	j.unacked = slices.Delete(j.unacked, 0, at+1)
	l.decisions.Acknowledged(p.proxy, number)
}

// outcomesReported takes in what the proxies of a zone met at a backend.
func (l *eventLoop) outcomesReported(id string, tries, failed int, mean, span int64, load balancer.BackendLoad) {
	backend, ok := l.backends.index[id]
	if !ok {
		l.log.Info("report_for_unknown_backend", "backend", id[:min(len(id), l.limits.maxIDBytes)])
		return
	}
	l.decisions.OutcomesReported(backend, tries, failed, mean, span, load)
	if l.ownership != nil {
		l.ownership.evidence.AddOutcomes(id, tries, failed, mean, span)
	}
}

// demandReported takes in what came to a proxy.
func (l *eventLoop) demandReported(node, class, count int, span int64) {
	if node < len(l.sessions) && l.sessions[node] != nil && !l.proxy(node).unowned {
		l.decisions.DemandReported(node, class, count, span)
		if l.ownership != nil {
			l.ownership.evidence.AddDemand(node, class, count, span)
		}
	}
}
