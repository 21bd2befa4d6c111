package controller

import (
	"context"
	"log/slog"
	"time"

	"wheelrill/balancer"
)

// eventLoop owns the controller's state and is the decisions' host. Its goroutine, which run is, is the only one that reads or
// writes the decisions, tables, sessions, overrides, timers, backend indices and the coordinator of ownership; all others hand it
// functions through inbox. What New sets and nobody changes, connections read as well: limits, log, zone and class indices and names,
// clock, and the channels. What it takes at once happens at one clock time, and leaves as one message to each proxy concerned.
// Nothing of its state outlasts the process: a restart begins with the cached list of the configuration.
type eventLoop struct {
	// tables is embedded so that the loop is the decisions' host: PublishEntry, AssignTable, Withdraw and the other orders are its
	// methods. So connect, disconnect, proxy, flush and forget, called on the loop, are those of tables.
	*tables
	limits    *limits
	log       *slog.Logger
	decisions *balancer.Controller
	watcher   *endpointWatcher

	ownership   *ownershipHost // shared ownership of proxies; nil where the controller acts alone
	distributor *distributor   // where distributed configuration arrives; nil for nowhere
	overrides   *overrides     // what distributed configuration says of backends; nil where none arrives

	zoneIndex  map[string]int // index of a zone by its name
	classIndex map[string]int // index of a class by its name
	zoneNames  []string
	backends   *backendIndex
	sessions   []*session // by proxy; nil if it is not connected

	inbox   chan func()   // events to take; limits.inboxSize of them, then post waits and tryPost gives up
	stopped chan struct{} // closed by run as it returns; nobody takes from inbox any more
	ready   chan struct{} // closed by becomeReady; answers leave from then on

	clock     func() microseconds // Unix time
	now       microseconds        // clock time of this iteration
	stalledAt microseconds        // when the last pause ended in which the process had no turn
	timers    []timer             // in the order in which they are due
}

// post gives the loop an event that must not be lost; it waits while the inbox is full. Any goroutine but the loop's may call it.
func (l *eventLoop) post(event func()) {
	select {
	case l.inbox <- event:
	case <-l.stopped:
	}
}

// tryPost gives the loop an event that may be lost: with a full inbox it is dropped, as the reader has to go on reading, and
// thousands of reports that wait already say nearly the same. Any goroutine may call it.
func (l *eventLoop) tryPost(event func()) {
	select {
	case l.inbox <- event:
	default:
		l.log.Warn("report_dropped", "inbox_size", l.limits.inboxSize)
	}
}

// wake has the loop iterate. With a full inbox it will without that. Any goroutine may call it.
func (l *eventLoop) wake() {
	select {
	case l.inbox <- func() {}:
	default:
	}
}

// run takes events until the context ends, and then hands our proxies over where ownership is shared. Controller.Serve starts it
// and waits for its end.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.stopped)
	if l.ownership != nil {
		defer l.ownership.handOver()
	}
	l.now = l.clock()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		wake.Reset(l.untilNextTimer())
		select {
		case <-ctx.Done():
			return
		case <-wake.C:
			l.iterate(func() {})
		case event := <-l.inbox:
			if !l.awaitTick(ctx, wake) {
				return
			}
			l.iterate(event)
		}
	}
}

// awaitTick waits until limits.tick has passed since the last iteration; false if the context ends before.
func (l *eventLoop) awaitTick(ctx context.Context, wake *time.Timer) bool {
	early := l.now + l.limits.tick.Microseconds() - l.clock()
	if early <= 0 {
		return true
	}
	wake.Reset(time.Duration(early) * time.Microsecond)
	select {
	case <-ctx.Done():
		return false
	case <-wake.C:
		return true
	}
}

// iterate takes an event, all others that have come in, and the timers that are due, at one clock time, and has what they changed
// leave.
func (l *eventLoop) iterate(first func()) {
	l.advanceClock()
	first()
	l.takeDistributed()
	l.takeWaiting()
	l.fireTimers()
	l.dropSilentProxies()
	defer l.forgetRemovedBackends()
	l.pushChanges()
}

// advanceClock begins an iteration. Clock times of iterations differ; a long pause between two is noted, as nobody was heard in it.
func (l *eventLoop) advanceClock() {
	last := l.now
	l.now = max(l.clock(), last+1)
	pause := l.now - last
	if pause > l.limits.stallThreshold {
		l.log.Warn("process_stalled", "stalled_s", formatDecimal(inSeconds(pause), 1))
		l.stalledAt = l.now
	}
}

// takeDistributed takes in the distributed configuration that has arrived.
func (l *eventLoop) takeDistributed() {
	if l.distributor == nil {
		return
	}
	entries, full := l.distributor.takeArrived()
	if full || len(entries) > 0 {
		l.applyDistributed(entries, full)
	}
}

// takeWaiting takes events that wait in the inbox, up to limits.eventsPerIteration with the first one.
func (l *eventLoop) takeWaiting() {
	for taken := 1; taken < l.limits.eventsPerIteration; taken++ {
		select {
		case event := <-l.inbox:
			event()
		default:
			return
		}
	}
}

// pushChanges writes each proxy what this iteration has changed for it, and notes the acknowledgements that were asked for. Where
// ownership is shared, the changes are put on the record first.
func (l *eventLoop) pushChanges() {
	send, revision := (*connection).send, uint64(0)
	if l.ownership != nil {
		l.ownership.recordTableChanges()
		send, revision = l.ownership.send, l.ownership.coordinator.Revision()
	}
	var ack *pendingAck // one for all proxies of this iteration
	l.flush(send, l.dropProxy, func(proxy, nonce int) {
		if ack == nil {
			ack = &pendingAck{nonce: nonce, revision: revision, sentBy: l.now + l.decisions.QueueDelay()}
		}
		l.expectAck(proxy, ack)
	})
}

// forgetRemovedBackends ends what is kept of backends that were removed long ago. Nothing on its way names them by their index.
func (l *eventLoop) forgetRemovedBackends() {
	forgotten := l.backends.sweep(l.now, l.limits.forgetAfter, func(backend int) bool {
		gone := l.forget(backend, func() bool { return l.decisions.ForgetBackend(backend) })
		if gone && l.ownership != nil {
			l.ownership.evidence.ForgetBackend(l.backends.ids[backend])
		}
		return gone
	})
	if forgotten > 0 {
		l.log.Info("backends_forgotten", "backends", forgotten, "known", len(l.backends.index))
	}
}

// Reasons why answers leave.
const (
	readyListKnown         = "the list is known"
	readyDiscoveryAnswered = "discovery has answered"
	readyWithoutList       = "nothing is known, and discovery keeps silent"
)

// becomeReady has answers leave from now on. A controller that knows no backend orders nothing, and proxies go on with what they
// hold, which is no worse than with none to connect to.
func (l *eventLoop) becomeReady(reason string) {
	select {
	case <-l.ready:
		return
	default:
	}
	close(l.ready)
	level := slog.LevelInfo
	if reason == readyWithoutList {
		level = slog.LevelWarn
	}
	l.log.Log(context.Background(), level, "ready", "backends", len(l.backends.index), "reason", reason)
}

// Log implements balancer.Host: it logs a change of mode, with the id of the backend that it is about, as staff know it.
func (l *eventLoop) Log(backend int, line string) {
	if backend < 0 {
		l.log.Info("decision", "text", line)
		return
	}
	l.log.Info("decision", "backend", l.backends.ids[backend], "text", line)
}

// PollEndpoints implements balancer.Host: it cuts the watcher's backoff short. The list is watched all the time, as that costs
// discovery nothing here.
func (l *eventLoop) PollEndpoints() { l.watcher.wake() }

// CheckHealth implements balancer.Host. It is not called: on sockets no page says how backends are checked, so the decisions are
// told that they may not.
func (l *eventLoop) CheckHealth(int) {}

// zoneName gives the name of a zone; none for an index that is no zone's.
func (l *eventLoop) zoneName(zone int) string {
	if zone < 0 || zone >= len(l.zoneNames) {
		return ""
	}
	return l.zoneNames[zone]
}
