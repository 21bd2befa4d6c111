package controller

import (
	"time"

	"wheelrill/balancer"
)

// limits are the sizes, counts and times of everything around the decisions. They are filled once, at start, and
// each part is handed what it needs of them.
type limits struct {
	cores        int
	memory       int64 // bytes the process may use; 0 if nobody said
	sockets      int   // descriptors the process may hold
	nodes        int   // proxies that exist
	perZone      int   // collectors of a zone that are kept; the oldest goes
	conns        int   // connections; the oldest of those that have not identified themselves go
	unidentified int   // of those, at most
	lasting      int   // of those that have identified themselves, at most
	backends     int   // backends that are known at a time
	gone         int64 // µs that one is known on after the list has dropped it
	id           int   // bytes of a backend's id

	frame      int // bytes of one message, at most, either way
	firstFrame int // the same while a connection has not said who it is
	parts      int // parts of one message to a proxy
	keptBuffer int // a reader's buffer that grew beyond this is given back
	mailbox    int // things that wait for the module; reports beyond this are given up
	turn       int // things that the module takes at one clock time
	outgoing   int // messages that wait for one peer
	marks      int // unanswered marks that are remembered of one proxy
	body       int // bytes of an answer of discovery

	// What reports can say. Beyond it they are spoilt.
	proxyRate float64 // requests a second that can come to a proxy, by far
	fleetRate float64 // and to all of them
	answer    int64   // µs that an answer can take
	span      int64   // µs that one report can cover
	busy      float64 // share of its cores that a backend can have at work; it may count them in percent
	queue     float64 // requests that can wait at it

	tick           time.Duration // between two clock times of the module
	identifyWithin time.Duration // from accept on, for a connection to say who it is
	evictAfter     time.Duration // that it has for this at least, however many others come
	finalRead      time.Duration // that what had arrived by then is read, and that a last word may take
	linger         time.Duration // that what a refused connection still sends is read
	write          time.Duration // for one message to leave
	dial           time.Duration // for a connection to discovery to come up
	watch          time.Duration // that discovery may wait for something new
	watchOver      time.Duration // beyond that before the call has failed
	patience       time.Duration // from the start on, that a list is waited for before answers leave without
	retryLeast     time.Duration // pause after a failed call, doubling ...
	retryMost      time.Duration // ... up to this
	uselessMost    int           // answers of no use, or older than what we know, before we ask for all and take that
	farewell       time.Duration // that others are told of a planned end
	silence        int64         // µs without a word, a mark unanswered as long, show a half-open stream
	lag            int64         // the same where other proxies have answered the mark
	still          int64         // µs without a turn show that we stood still: the decisions want one several times a second
	logRepeat      time.Duration // a line of the log that repeats is held back for so long
	logKinds       int           // different lines whose repeats are counted
}

// usualLimits are those that do not depend on what the process is given.
func usualLimits() *limits {
	return &limits{
		cores: 1, perZone: 2, backends: 1 << 16, gone: 30 * second, id: 256,
		frame: 1 << 20, firstFrame: 16 << 10, parts: 64, keptBuffer: 64 << 10,
		mailbox: 4096, turn: 1024, outgoing: 64, marks: 256, body: 16 << 20,
		identifyWithin: 1500 * time.Millisecond, evictAfter: 50 * time.Millisecond, finalRead: 20 * time.Millisecond,
		linger: 200 * time.Millisecond,
		write:  10 * time.Second,
		dial:   500 * time.Millisecond, watch: 2 * time.Second, watchOver: time.Second,
		patience:   5 * time.Second, // of the ten seconds that the platform waits for a process that restarts
		retryLeast: 50 * time.Millisecond, retryMost: time.Second, uselessMost: 5,
		farewell: 400 * time.Millisecond, logRepeat: 10 * time.Second, logKinds: 1024, still: second, proxyRate: 1000, busy: 100, queue: 1e6,
	}
}

// give fits the limits to the cores, megabytes and descriptors that the process has; 0 is as many as are usual.
func (l *limits) give(cores, memoryMB, sockets float64) {
	const usual = 1024
	l.cores, l.memory, l.sockets = max(1, int(cores)), int64(memoryMB)<<20, usual
	if sockets > 0 {
		l.sockets = int(min(sockets, 1<<20))
	}
}

// size fits the limits to the proxies and zones that exist, after give, and to the pace of orders and reports.
func (l *limits) size(nodes, zones int, tick int64, channel balancer.PushChannel, sight balancer.Telemetry,
	classes []balancer.Class) {
	const spare = 24 // descriptors of the runtime, the standard streams, the listener and discovery
	const least = 8  // room for unidentified connections in any case: each is one at first
	l.nodes = nodes
	// Proxies twice over, as a new stream may come before the old one is seen to end.
	l.conns = max(l.sockets-spare, least+1)
	l.lasting = min(2*nodes+(l.perZone+1)*zones, l.conns-least)
	l.unidentified = max(256, nodes+zones) // after a restart all come at once, and each is unidentified at first
	l.tick = max(time.Duration(tick)*time.Microsecond, time.Millisecond)
	// A live proxy reports each period. It may stand still for two seconds, and the channel may be full.
	const stall = 2 * second
	l.silence = 2*channel.MaxLatency + 3*sight.ReportInterval + stall
	l.lag = channel.MaxLatency + stall
	// A proxy gives a request up at its deadline. Where lines wait for their turn one counts many periods.
	l.fleetRate = l.proxyRate * float64(max(nodes, 1))
	for _, class := range classes {
		l.answer = max(l.answer, 2*class.Deadline)
	}
	l.span = max(60*second, 30*sight.ReportInterval)
	if channel.LinesPerSecond > 0 {
		l.lag += int64(channel.Backlog / channel.LinesPerSecond * second)
	}
}

const second = 1_000_000 // µs
