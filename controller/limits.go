package controller

import (
	"time"

	"wheelrill/balancer"
)

// limits are the sizes, counts and times of everything around the decisions. New fills them; nobody changes them after that, so any
// goroutine may read them.
type limits struct {
	// What the process is given, and who exists.
	cores   int
	memory  int64 // bytes; 0 if nobody said
	sockets int   // descriptors
	proxies int   // proxies that exist

	// Connections.
	maxConnections    int // in all; at the bound, the oldest unidentified ones are evicted, and others wait in the backlog
	maxUnidentified   int // of those that have not identified themselves; at the bound, the oldest are evicted
	maxIdentified     int // of the others; at the bound, a newcomer is refused
	collectorsPerZone int // at the bound, a newcomer replaces the oldest

	// Backends.
	maxBackends int          // at the bound, further ones of the list are skipped
	maxIDBytes  int          // of a backend's id
	forgetAfter microseconds // that a backend is known on after the list has dropped it

	// Messages, either way, and queues.
	maxFrame           int // bytes of a message, or of a part of one
	maxFirstFrame      int // bytes of a message of an unidentified connection
	maxParts           int // of a message to a proxy
	maxIdleBuffer      int // bytes; a reader's buffer that grew beyond this is given back
	inboxSize          int // events that wait for the loop; at the bound, reports are dropped and other events make their senders wait
	eventsPerIteration int // events that the loop takes at one clock time
	outboxSize         int // messages that wait for one connection; at the bound send fails: the loop drops a proxy, an unidentified connection ends, the answer to another's probe is lost
	maxUnacked         int // acknowledgements that are missing of one proxy; at the bound, the oldest is forgotten
	maxResponseBody    int // bytes of an answer of discovery

	// What load reports can say; beyond it a report is skipped.
	maxProxyRate      float64 // requests a second that arrive at a proxy
	maxFleetRate      float64 // the same of all proxies
	maxResponseTime   microseconds
	maxReportInterval microseconds // that one report covers
	maxUtilization    float64      // share of its cores that a backend has at work; it may count them in percent
	maxQueueLength    float64      // requests that wait at a backend

	// Times of the loop.
	tick            time.Duration // between two iterations, at least
	stallThreshold  microseconds  // without an iteration that show that the process stalled: the decisions want several a second
	readyTimeout    time.Duration // from the start on, after which answers leave without a list
	handOverTimeout time.Duration // that the record may take to say that our proxies are given away
	silenceTimeout  microseconds  // without a message, and an acknowledgement missing as long, that show a half-open connection
	ackLagTimeout   microseconds  // the same where another proxy has given that acknowledgement

	// Times of connections.
	identifyTimeout time.Duration // from accept on, for a connection to identify itself
	minEvictAge     time.Duration // that it has for this at least, however many others come
	// finalReadTimeout is a last look past a deadline, as it may be this process that stalled: at what had arrived of a connection, at
	// what it takes of a message, at the listener's backlog; and what an evicted connection has for its end.
	finalReadTimeout time.Duration
	lingerTimeout    time.Duration // that what a refused connection still sends is read
	writeTimeout     time.Duration // for one message to leave

	// Times of discovery.
	dialTimeout       time.Duration
	watchWait         time.Duration // that discovery may wait for a change
	watchMargin       time.Duration // beyond that before the call has failed
	minBackoff        time.Duration // after a failed call; it doubles ...
	maxBackoff        time.Duration // ... up to this
	maxUselessAnswers int           // in a row, before the full list is asked for, and taken even if it is older

	// The log.
	logRepeatInterval time.Duration // between two lines of a kind that is rate limited
	maxLogKinds       int           // kinds of lines that are counted apart
}

// defaultLimits are those that do not depend on what the process is given.
func defaultLimits() *limits {
	return &limits{
		cores: 1,

		collectorsPerZone: 2,

		maxBackends: 1 << 16,
		maxIDBytes:  256,
		forgetAfter: 30 * microsPerSecond,

		maxFrame:           1 << 20,
		maxFirstFrame:      16 << 10,
		maxParts:           64,
		maxIdleBuffer:      64 << 10,
		inboxSize:          4096,
		eventsPerIteration: 1024,
		outboxSize:         64,
		maxUnacked:         256,
		maxResponseBody:    16 << 20,

		maxProxyRate:   1000,
		maxUtilization: 100,
		maxQueueLength: 1e6,

		stallThreshold:  microsPerSecond,
		readyTimeout:    5 * time.Second, // of the ten seconds that the platform waits for a process that restarts
		handOverTimeout: 400 * time.Millisecond,

		identifyTimeout:  1500 * time.Millisecond,
		minEvictAge:      50 * time.Millisecond,
		finalReadTimeout: 20 * time.Millisecond,
		lingerTimeout:    200 * time.Millisecond,
		writeTimeout:     10 * time.Second,

		dialTimeout:       500 * time.Millisecond,
		watchWait:         2 * time.Second,
		watchMargin:       time.Second,
		minBackoff:        50 * time.Millisecond,
		maxBackoff:        time.Second,
		maxUselessAnswers: 5,

		logRepeatInterval: 10 * time.Second,
		maxLogKinds:       1024,
	}
}

// fitResources fits the limits to the cores, megabytes and descriptors that the process has; 0 stands for as many as are usual.
func (l *limits) fitResources(cores, memoryMB, sockets float64) {
	const usualSockets, maxSockets = 1024, 1 << 20
	l.cores = max(1, int(cores))
	l.memory = int64(memoryMB) << 20
	l.sockets = usualSockets
	if sockets > 0 {
		l.sockets = int(min(sockets, maxSockets))
	}
}

// fitFleet fits the limits to the proxies and zones that exist, after fitResources.
func (l *limits) fitFleet(proxies, zones int) {
	const reservedSockets = 24        // of the runtime, the standard streams, the listener and discovery
	const reservedForUnidentified = 8 // connections in any case: each is unidentified at first
	const usualUnidentified = 256
	l.proxies = proxies
	l.maxConnections = max(l.sockets-reservedSockets, reservedForUnidentified+1)
	// Proxies twice over, as a new connection may come before the old one is seen to end.
	wanted := 2*proxies + (l.collectorsPerZone+1)*zones
	l.maxIdentified = min(wanted, l.maxConnections-reservedForUnidentified)
	l.maxUnidentified = max(usualUnidentified, proxies+zones) // after a restart all come at once
}

// fitPace fits the limits to the pace of the loop (its tick), of pushes and of reports.
func (l *limits) fitPace(tick microseconds, channel balancer.PushChannel, telemetry balancer.Telemetry) {
	l.tick = max(time.Duration(tick)*time.Microsecond, time.Millisecond)
	// A live proxy reports each interval. It may stall for two seconds, and the channel may be full.
	const proxyStall = 2 * microsPerSecond
	l.silenceTimeout = 2*channel.MaxLatency + 3*telemetry.ReportInterval + proxyStall
	l.ackLagTimeout = channel.MaxLatency + proxyStall
	if channel.LinesPerSecond > 0 {
		l.ackLagTimeout += microseconds(channel.Backlog / channel.LinesPerSecond * float64(microsPerSecond))
	}
}

// fitReports fits what load reports can say to the proxies, the pace of reports and the classes, after fitFleet.
func (l *limits) fitReports(telemetry balancer.Telemetry, classes []balancer.Class) {
	const minReportInterval = 60 * microsPerSecond // where reports wait for their turn, one covers many intervals
	l.maxFleetRate = l.maxProxyRate * float64(max(l.proxies, 1))
	l.maxReportInterval = max(minReportInterval, 30*telemetry.ReportInterval)
	for _, class := range classes {
		l.maxResponseTime = max(l.maxResponseTime, 2*class.Deadline) // a proxy gives a request up at its deadline
	}
}
