package controller

import (
	"time"

	"wheelrill/balancer"
)

// limits are the sizes, counts and times of everything around the decisions. New fills them; nobody changes them after that, so any
// goroutine may read them. Limits of other parts stand with them: of the distributed configuration in distribution/limits.go
// (distribution.Limits), of its connections in distribution/transport/config.go (transport.Bounds), of the shared record in the
// constants of package consensus, beside what uses them (pace.go has its times), and of leases in ownership.go.
type limits struct {
	// What the process is given, and who exists.

	// cores is how many the process has, at least 1.
	cores int
	// memory is bytes; 0 if nobody said.
	memory int64
	// sockets is how many descriptors the process may have open.
	sockets int
	// proxies is how many proxies exist.
	proxies int

	// Connections.

	// maxConnections bounds all connections; at the bound, the oldest unidentified ones are evicted, and others wait in the
	// listener's backlog.
	maxConnections int
	// maxUnidentified bounds those that have not identified themselves; at the bound, the oldest are evicted.
	maxUnidentified int
	// maxIdentified bounds the others; at the bound, a newcomer is refused.
	maxIdentified int
	// collectorsPerZone bounds the collectors of a zone; at the bound, a newcomer replaces the oldest.
	collectorsPerZone int

	// Backends.

	// maxBackends bounds the list; further ones are skipped.
	maxBackends int
	// maxIDBytes bounds a backend's id.
	maxIDBytes int
	// forgetAfter is for how long a backend is known on after the list has dropped it.
	forgetAfter microseconds

	// Messages, either way, and queues.

	// maxFrame bounds the bytes of a message, or of a part of one.
	maxFrame int
	// maxFirstFrame bounds the bytes of a message of an unidentified connection.
	maxFirstFrame int
	// maxParts bounds the parts of a message to a proxy.
	maxParts int
	// maxIdleBuffer is bytes; a reader's buffer that grew beyond this is given back.
	maxIdleBuffer int
	// inboxSize bounds the events that wait for the loop; at the bound, reports are dropped, and other events make their senders
	// wait.
	inboxSize int
	// eventsPerIteration bounds the events that the loop takes at one clock time.
	eventsPerIteration int
	// outboxSize bounds the messages that wait for one connection. At the bound send fails: the loop drops a proxy, an unidentified
	// connection ends, the answer to another's probe is lost.
	outboxSize int
	// maxUnacked bounds the acknowledgements that are missing of one proxy; at the bound, the oldest is forgotten.
	maxUnacked int
	// maxResponseBody bounds the bytes of an answer of discovery.
	maxResponseBody int

	// What load reports can say; beyond it a report is skipped.

	// maxProxyRate is requests a second that arrive at one proxy.
	maxProxyRate float64
	// maxFleetRate is requests a second that arrive at all proxies.
	maxFleetRate float64
	// maxResponseTime is the longest response time.
	maxResponseTime microseconds
	// maxReportInterval is the longest time that one report covers.
	maxReportInterval microseconds
	// maxUtilization is the share of its cores that a backend has at work; it may count them in percent.
	maxUtilization float64
	// maxQueueLength is requests that wait at a backend.
	maxQueueLength float64

	// Times of the loop.

	// tick is the least time between two iterations.
	tick time.Duration
	// stallThreshold is the time without an iteration that shows that the process stalled: the decisions want several a second.
	stallThreshold microseconds
	// readyTimeout is the time from the start on after which answers leave without a list.
	readyTimeout time.Duration
	// handOverTimeout is the time that the record may take to say that our proxies are given away.
	handOverTimeout time.Duration
	// silenceTimeout is the time without a message, and with an acknowledgement missing as long, that shows a half-open connection.
	silenceTimeout microseconds
	// ackLagTimeout is the same where another proxy has given that acknowledgement.
	ackLagTimeout microseconds

	// Times of connections.

	// identifyTimeout is the time from accept on for a connection to identify itself.
	identifyTimeout time.Duration
	// minEvictAge is the time that it has for this at least, however many others come.
	minEvictAge time.Duration
	// finalReadTimeout is a last look past a deadline, as it may be this process that stalled: at what had arrived of a connection, at
	// what it takes of a message, at the listener's backlog; and what an evicted connection has for its end.
	finalReadTimeout time.Duration
	// lingerTimeout is for how long what a refused connection still sends is read.
	lingerTimeout time.Duration
	// writeTimeout is the time for one message to leave.
	writeTimeout time.Duration

	// Times of discovery.

	// dialTimeout is the time for a connection to discovery to be made, and for a request to be written to it.
	dialTimeout time.Duration
	// watchWait is the time that discovery may wait for a change before it answers.
	watchWait time.Duration
	// watchMargin is the time beyond watchWait after which the call has failed.
	watchMargin time.Duration
	// minBackoff is the wait after a failed call, or a watch that ended at once, before jitter; further failures double it.
	minBackoff time.Duration
	// maxBackoff bounds that wait.
	maxBackoff time.Duration
	// maxUnusableAnswers is how many in a row it takes for the full list to be asked for, and to be taken even if it is older.
	maxUnusableAnswers int

	// The log.

	// logRepeatInterval is the time between two lines of a kind that is rate limited.
	logRepeatInterval time.Duration
	// maxLogKinds bounds the kinds of lines that are counted apart.
	maxLogKinds int
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

		dialTimeout:        500 * time.Millisecond,
		watchWait:          2 * time.Second,
		watchMargin:        time.Second,
		minBackoff:         50 * time.Millisecond,
		maxBackoff:         time.Second,
		maxUnusableAnswers: 5,

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
