package controller

import (
	"time"

	"wheelrill/balancer"
)

// limits are the sizes, counts and times of everything around the decisions. They are filled once, at start, and
// each part is handed what it needs of them.
type limits struct {
	cores             int
	memory            int64 // bytes the process may use; 0 if nobody said
	sockets           int   // descriptors the process may hold
	proxies           int   // proxies that exist
	collectorsPerZone int   // collectors of a zone that are kept; the oldest goes
	maxConnections    int   // connections; the oldest of those that have not identified themselves go
	maxUnidentified   int   // of those, at most
	maxIdentified     int   // of those that have identified themselves, at most
	maxBackends       int   // backends that are known at a time
	forgetAfter       int64 // µs that one is known on after the list has dropped it
	maxIDBytes        int   // bytes of a backend's id

	maxFrame           int // bytes of one message, at most, either way
	maxFirstFrame      int // the same while a connection has not said who it is
	maxParts           int // parts of one message to a proxy
	maxIdleBuffer      int // a reader's buffer that grew beyond this is given back
	inboxSize          int // things that wait for the module; reports beyond this are given up
	eventsPerIteration int // things that the module takes at one clock time
	outboxSize         int // messages that wait for one peer
	maxUnacked         int // unanswered marks that are remembered of one proxy
	maxResponseBody    int // bytes of an answer of discovery

	// What reports can say. Beyond it they are spoilt.
	maxProxyRate      float64 // requests a second that can come to a proxy, by far
	maxFleetRate      float64 // and to all of them
	maxResponseTime   int64   // µs that an answer can take
	maxReportInterval int64   // µs that one report can cover
	maxUtilization    float64 // share of its cores that a backend can have at work; it may count them in percent
	maxQueueLength    float64 // requests that can wait at it

	tick              time.Duration // between two clock times of the module
	identifyTimeout   time.Duration // from accept on, for a connection to say who it is
	minEvictAge       time.Duration // that it has for this at least, however many others come
	finalReadTimeout  time.Duration // that what had arrived by then is read, and that a last word may take
	lingerTimeout     time.Duration // that what a refused connection still sends is read
	writeTimeout      time.Duration // for one message to leave
	dialTimeout       time.Duration // for a connection to discovery to come up
	watchWait         time.Duration // that discovery may wait for something new
	watchMargin       time.Duration // beyond that before the call has failed
	readyTimeout      time.Duration // from the start on, that a list is waited for before answers leave without
	minBackoff        time.Duration // pause after a failed call, doubling ...
	maxBackoff        time.Duration // ... up to this
	maxUselessAnswers int           // answers of no use, or older than what we know, before we ask for all and take that
	handOverTimeout   time.Duration // that others are told of a planned end
	silenceTimeout    int64         // µs without a word, a mark unanswered as long, show a half-open stream
	ackLagTimeout     int64         // the same where other proxies have answered the mark
	stallThreshold    int64         // µs without a turn show that we stood still: the decisions want one several times a second
	logRepeatInterval time.Duration // a line of the log that repeats is held back for so long
	maxLogKinds       int           // different lines whose repeats are counted
}

// defaultLimits are those that do not depend on what the process is given.
func defaultLimits() *limits {
	return &limits{
		cores: 1, collectorsPerZone: 2, maxBackends: 1 << 16, forgetAfter: 30 * microsPerSecond, maxIDBytes: 256,
		maxFrame: 1 << 20, maxFirstFrame: 16 << 10, maxParts: 64, maxIdleBuffer: 64 << 10,
		inboxSize: 4096, eventsPerIteration: 1024, outboxSize: 64, maxUnacked: 256, maxResponseBody: 16 << 20,
		identifyTimeout: 1500 * time.Millisecond, minEvictAge: 50 * time.Millisecond, finalReadTimeout: 20 * time.Millisecond,
		lingerTimeout: 200 * time.Millisecond,
		writeTimeout:  10 * time.Second,
		dialTimeout:   500 * time.Millisecond, watchWait: 2 * time.Second, watchMargin: time.Second,
		readyTimeout: 5 * time.Second, // of the ten seconds that the platform waits for a process that restarts
		minBackoff:   50 * time.Millisecond, maxBackoff: time.Second, maxUselessAnswers: 5,
		handOverTimeout: 400 * time.Millisecond, logRepeatInterval: 10 * time.Second, maxLogKinds: 1024, stallThreshold: microsPerSecond, maxProxyRate: 1000, maxUtilization: 100, maxQueueLength: 1e6,
	}
}

// fitResources fits the limits to the cores, megabytes and descriptors that the process has; 0 is as many as are usual.
func (l *limits) fitResources(cores, memoryMB, sockets float64) {
	const usual = 1024
	l.cores, l.memory, l.sockets = max(1, int(cores)), int64(memoryMB)<<20, usual
	if sockets > 0 {
		l.sockets = int(min(sockets, 1<<20))
	}
}

// fitFleet fits the limits to the proxies and zones that exist, after give, and to the pace of orders and reports.
func (l *limits) fitFleet(nodes, zones int, tick int64, channel balancer.PushChannel, sight balancer.Telemetry,
	classes []balancer.Class) {
	const spare = 24 // descriptors of the runtime, the standard streams, the listener and discovery
	const least = 8  // room for unidentified connections in any case: each is one at first
	l.proxies = nodes
	// Proxies twice over, as a new stream may come before the old one is seen to end.
	l.maxConnections = max(l.sockets-spare, least+1)
	l.maxIdentified = min(2*nodes+(l.collectorsPerZone+1)*zones, l.maxConnections-least)
	l.maxUnidentified = max(256, nodes+zones) // after a restart all come at once, and each is unidentified at first
	l.tick = max(time.Duration(tick)*time.Microsecond, time.Millisecond)
	// A live proxy reports each period. It may stand still for two seconds, and the channel may be full.
	const stall = 2 * microsPerSecond
	l.silenceTimeout = 2*channel.MaxLatency + 3*sight.ReportInterval + stall
	l.ackLagTimeout = channel.MaxLatency + stall
	// A proxy gives a request up at its deadline. Where lines wait for their turn one counts many periods.
	l.maxFleetRate = l.maxProxyRate * float64(max(nodes, 1))
	for _, class := range classes {
		l.maxResponseTime = max(l.maxResponseTime, 2*class.Deadline)
	}
	l.maxReportInterval = max(60*microsPerSecond, 30*sight.ReportInterval)
	if channel.LinesPerSecond > 0 {
		l.ackLagTimeout += int64(channel.Backlog / channel.LinesPerSecond * microsPerSecond)
	}
}

