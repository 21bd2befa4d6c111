package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	memberframe "wheelrill/internal/frame"
	"wheelrill/internal/intake"
)

// eventLoop owns the controller's state, and implements balancer.Host for its balancer.Controller.
// Only the goroutine of run reads or writes the balancer.Controller, tables, sessions, overrides,
// timers, backend indices and the ownership coordinator; all other goroutines post functions to
// inbox. Connections also read the fields that New sets and that never change: limits, log, zone
// and class indices and names, clock, and the channels. All events of one iteration share one clock
// time, and each proxy that they affect gets one message for all of them. The loop stores nothing
// on disk: after a restart it begins with the endpoint list that the configuration contains.
type eventLoop struct {
	// tables is embedded so that PublishEntry, AssignTable, Withdraw and the other orders of
	// balancer.Host are methods of the loop. The loop's methods connect, disconnect, proxy, flush
	// and forget are therefore those of tables.
	*tables
	limits    *limits
	log       *slog.Logger
	decisions *balancer.Controller
	watcher   *endpointWatcher

	ownership   *ownershipHost // shared ownership of proxies; nil if ownership is not shared
	distributor *distributor   // distribution of configuration; nil if the controller takes no part in it
	// overrides holds the overrides of backends and classes by distributed entries; nil if
	// distributor is nil.
	overrides *overrides

	zoneIndex  map[string]int // index of each zone, by zone name
	classIndex map[string]int // index of each class, by class name
	zoneNames  []string
	backends   *backendIndex
	sessions   []*session // session of each proxy, by proxy number; nil if the proxy is not connected

	// queues holds the events of connections.
	queues *eventQueues
	// inbox holds the other events, at most limits.inboxSize. When it is full, post blocks.
	inbox chan func()
	// messageMemory is the memory that all large messages share while they are read and handled.
	messageMemory *intake.Memory
	// memberBounds bounds the memory of messages from other controllers, which is part of
	// messageMemory.
	memberBounds *memberframe.Bounds
	// largeMessages holds a value while a large message is reduced.
	largeMessages chan struct{}
	// parsers holds the parsers that no connection uses. There is one for each core, because a parser
	// keeps the memory that its largest message took.
	parsers chan *fastjson.Parser

	stopped chan struct{} // closed when run returns; no event is handled after that
	ready   chan struct{} // closed by becomeReady; until then connections send no message

	clock     func() microseconds // returns the current Unix time in µs
	now       microseconds        // clock time of the current iteration
	stalledAt microseconds        // time at which the process last resumed after a stall
	timers    []timer             // pending timers, ordered by the time at which they are due
}

// post queues an event that must not be lost, and blocks while the inbox is full. Once the loop has
// stopped, the event is dropped. Any goroutine except the loop's own may call post.
func (l *eventLoop) post(event func()) {
	select {
	case l.inbox <- event:
	case <-l.stopped:
	}
}

// wake makes the loop run an iteration, by queueing an event that does nothing. If the inbox is
// full, wake queues nothing, as the queued events make the loop iterate anyway. Any goroutine may
// call wake.
func (l *eventLoop) wake() {
	select {
	case l.inbox <- func() {}:
	default:
	}
}

// run handles events until ctx ends, and then gives up the ownership of the proxies if ownership is
// shared. Controller.Serve starts it and waits for its end.
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
		case <-l.queues.filled:
			if !l.awaitTick(ctx, wake) {
				return
			}
			l.iterate(func() {})
		}
	}
}

// awaitTick waits until limits.tick has passed since the last iteration. It returns false if ctx
// ends first.
func (l *eventLoop) awaitTick(ctx context.Context, wake *time.Timer) bool {
	remaining := l.now + l.limits.tick.Microseconds() - l.clock()
	if remaining <= 0 {
		return true
	}
	wake.Reset(time.Duration(remaining) * time.Microsecond)
	select {
	case <-ctx.Done():
		return false
	case <-wake.C:
		return true
	}
}

// iterate handles an event, the distributed entries that have arrived, other queued events and due
// timers, all at one clock time, and then pushes the resulting changes to the proxies.
func (l *eventLoop) iterate(first func()) {
	l.advanceClock()
	first()
	l.handleArrivedEntries()
	l.handleQueuedEvents()
	l.fireTimers()
	l.dropSilentProxies()
	defer l.forgetRemovedBackends()
	l.pushChanges()
}

// advanceClock sets the clock time of an iteration, which is always later than that of the last
// one. A long pause between two iterations is recorded, because no message was read during it.
func (l *eventLoop) advanceClock() {
	last := l.now
	l.now = max(l.clock(), last+1)
	pause := l.now - last
	if pause > l.limits.stallThreshold {
		l.log.Warn("process_stalled", "stalled_s", formatDecimal(inSeconds(pause), 1))
		l.stalledAt = l.now
	}
}

// handleArrivedEntries applies the distributed entries that have arrived.
func (l *eventLoop) handleArrivedEntries() {
	if l.distributor == nil {
		return
	}
	entries, full := l.distributor.takeArrived()
	if full || len(entries) > 0 {
		l.applyDistributed(entries, full)
	}
}

// handleQueuedEvents handles queued events, so that the iteration handles at most
// limits.eventsPerIteration events, the first one included. The events of connections come last, and
// in turn.
func (l *eventLoop) handleQueuedEvents() {
	handled := 1 + l.handleInbox(l.limits.eventsPerIteration-1)
	l.handleConnectionEvents(l.limits.eventsPerIteration - handled)
}

// handleConnectionEvents handles events of connections, in turn and up to a number.
func (l *eventLoop) handleConnectionEvents(limit int) {
	for limit > 0 {
		events := l.queues.take(limit)
		if len(events) == 0 {
			return
		}
		for _, event := range events {
			event()
		}
		limit -= len(events)
	}
	signal(l.queues.filled) // events may be left for the next iteration
}

// handleInbox handles events in the inbox, up to a number, and returns how many it handled.
func (l *eventLoop) handleInbox(limit int) (handled int) {
	for ; handled < limit; handled++ {
		select {
		case event := <-l.inbox:
			event()
		default:
			return handled
		}
	}
	return handled
}

// pushChanges writes each proxy the changes of this iteration that concern it, and registers the
// acknowledgements that balancer.Controller requested. Where ownership is shared, pushChanges first
// proposes the changes to the replicated record. A message then waits until the record contains its
// changes, or this member acts without the record.
func (l *eventLoop) pushChanges() {
	send, revision := (*connection).send, uint64(0)
	if l.ownership != nil {
		l.ownership.recordTableChanges()
		send, revision = l.ownership.send, l.ownership.coordinator.Revision()
	}
	var ack *pendingAck // one pendingAck, which all proxies of this iteration share
	l.flush(send, l.dropProxy, func(proxy, nonce int) {
		if ack == nil {
			ack = &pendingAck{nonce: nonce, revision: revision, sentBy: l.now + l.decisions.QueueDelay()}
		}
		l.expectAck(proxy, ack)
	})
}

// forgetRemovedBackends discards the state of backends that the endpoint list dropped at least
// limits.forgetAfter ago. Their indices can be reused, because no queued event or message refers to
// a backend by its index.
func (l *eventLoop) forgetRemovedBackends() {
	forgotten := l.backends.sweep(l.now, l.limits.forgetAfter, func(backend int) bool {
		discarded := l.forget(backend, func() bool { return l.decisions.ForgetBackend(backend) })
		if discarded && l.ownership != nil {
			l.ownership.evidence.ForgetBackend(l.backends.ids[backend])
		}
		return discarded
	})
	if forgotten > 0 {
		l.log.Info("backends_forgotten", "backends", forgotten, "known", len(l.backends.index))
	}
}

// Reasons for which the controller becomes ready, as logged.
const (
	readyListKnown         = "the list is known"
	readyDiscoveryAnswered = "discovery has answered"
	readyWithoutList       = "nothing is known, and discovery keeps silent"
)

// becomeReady allows connections to send messages, including the answers to readiness checks. A
// controller that knows no backend gives no orders, so its proxies keep their present tables, as
// they would if they could not connect to any controller.
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

// Log implements balancer.Host: it logs a decision, with the id of the backend concerned instead of
// its index, because operators know backends by their ids.
func (l *eventLoop) Log(backend int, line string) {
	if backend < 0 {
		l.log.Info("decision", "text", line)
		return
	}
	l.log.Info("decision", "backend", l.backends.ids[backend], "text", line)
}

// PollEndpoints implements balancer.Host: it ends the watcher's backoff at once. No other request
// is needed: the endpoint list is watched all the time, because a watch costs discovery nothing.
func (l *eventLoop) PollEndpoints() { l.watcher.wake() }

// CheckHealth implements balancer.Host. It is never called: a controller on sockets does not
// support health checks, so parseSettings disables them for the decisions.
func (l *eventLoop) CheckHealth(int) {}

// zoneName returns the name of a zone, or an empty string if the index is out of range.
func (l *eventLoop) zoneName(zone int) string {
	if zone < 0 || zone >= len(l.zoneNames) {
		return ""
	}
	return l.zoneNames[zone]
}
