package controller

import (
	"time"

	"wheelrill/balancer"
)

// limits holds the sizes, counts and timeouts of the controller, apart from those that
// balancer.Controller applies to its decisions. New sets them. They are read-only afterwards, so
// any goroutine may read them.
//
// Other parts define their own limits: the distributed configuration in distribution/limits.go
// (distribution.Limits), its connections in distribution/transport/config.go (transport.Bounds),
// the replicated ownership record in constants of package consensus next to the code that uses them
// (its times are in timings.go), and leases in ownership.go.
type limits struct {
	// Resources of the process and size of the fleet.

	// cores is the number of CPU cores of the process, at least 1.
	cores int
	// memory is the memory of the process in bytes; 0 if not configured.
	memory int64
	// sockets is the number of file descriptors that the process may have open.
	sockets int
	// proxies is the number of proxies in the fleet.
	proxies int

	// Bounds on the number of connections.

	// maxConnections bounds the total number of connections. At the bound, the oldest unidentified
	// connections are evicted and new ones wait in the listener's backlog.
	maxConnections int
	// maxUnidentified bounds the connections that have not identified themselves; at the bound, the
	// oldest are evicted.
	maxUnidentified int
	// maxIdentified bounds the identified connections; at the bound, a connection that identifies
	// itself is refused.
	maxIdentified int
	// maxMemberConnections bounds the connections from other controllers; 0 means the default of
	// package consensus. At the bound, the oldest one that is not identified is closed, or the new one
	// is refused.
	maxMemberConnections int
	// collectorsPerZone bounds the collector connections of a zone; at the bound, a new one
	// replaces the oldest.
	collectorsPerZone int

	// Bounds on backends.

	// maxBackends bounds the number of known backends; endpoints beyond it are skipped.
	maxBackends int
	// maxIDBytes bounds the length of a backend's id.
	maxIDBytes int
	// forgetAfter is how long a backend's state is kept after the endpoint list has dropped it.
	forgetAfter microseconds

	// Bounds on messages in both directions, and on queues.

	// maxFrame bounds the bytes of a frame, which holds a message or one part of a message to a
	// proxy.
	maxFrame int
	// maxFirstFrame bounds the bytes of a message that an unidentified connection sends.
	maxFirstFrame int
	// maxParts bounds the number of parts of a message to a proxy.
	maxParts int
	// smallMessage is the size in bytes up to which a message is read into the buffer that each
	// connection keeps. The memory of larger messages is bounded by messageMemory.
	smallMessage int
	// messageMemory bounds the bytes that all connections together use for messages of more than
	// smallMessage. At the bound, they wait, and incomplete ones are given up.
	messageMemory int64
	// eventsPerConnection bounds the events of one connection that wait for the event loop. At the
	// bound, the connection is not read.
	eventsPerConnection int
	// eventsPerCollector is that bound for collectors, of which there are few, and which send the
	// reports of a whole zone at once.
	eventsPerCollector int
	// receiveBuffer is the size in bytes of the system's buffer for what a connection has received,
	// but this process has not read.
	receiveBuffer int
	// inboxSize bounds the events queued for the event loop, apart from those of connections. At the
	// bound, posting an event blocks.
	inboxSize int
	// eventsPerIteration bounds the events that the loop handles in one iteration, at one clock
	// time.
	eventsPerIteration int
	// outboxSize bounds the messages queued for one connection. At the bound, send fails: the loop
	// drops a proxy that it was pushing to, an unidentified connection ends, and an identified
	// connection gets no answer to its probe.
	outboxSize int
	// maxUnacked bounds the outstanding acknowledgements of one proxy; at the bound, the oldest one
	// is forgotten.
	maxUnacked int
	// maxResponseBody bounds the bytes of a discovery response.
	maxResponseBody int

	// Largest plausible values in load reports; a report with a larger one is skipped.

	// maxProxyRate is the largest plausible rate of requests that arrive at one proxy, per second.
	maxProxyRate float64
	// maxFleetRate is the largest plausible rate of requests that arrive at all proxies together,
	// per second.
	maxFleetRate float64
	// maxResponseTime is the longest plausible response time of a backend.
	maxResponseTime microseconds
	// maxReportInterval is the longest plausible interval that one report covers.
	maxReportInterval microseconds
	// maxUtilization is the largest plausible CPU utilization of a backend. It allows for backends
	// that report a percentage in place of a share of their cores.
	maxUtilization float64
	// maxQueueLength is the largest plausible number of requests queued at a backend.
	maxQueueLength float64

	// Times of the event loop, of readiness and shutdown, and of silent proxies.

	// tick is the minimum time between two iterations that events trigger.
	tick time.Duration
	// stallThreshold is the time between two iterations above which the process counts as stalled.
	// An idle loop has no such gaps, as the timers that balancer.Controller sets cause several
	// iterations a second.
	stallThreshold microseconds
	// readyTimeout is the time after the start at which the controller becomes ready even without
	// an endpoint list.
	readyTimeout time.Duration
	// handOverTimeout bounds the wait at shutdown until the replicated ownership record confirms
	// that this controller's proxies are released.
	handOverTimeout time.Duration
	// silenceTimeout bounds the silence of a proxy: its connection counts as half-open if, for
	// longer than silenceTimeout, no message has arrived and an acknowledgement has been
	// outstanding.
	silenceTimeout microseconds
	// ackLagTimeout is a second bound on the silence of a proxy. It applies once another proxy has
	// acknowledged the push whose acknowledgement is outstanding: the connection counts as half-open
	// if no message has arrived for longer than ackLagTimeout after that acknowledgement.
	ackLagTimeout microseconds

	// Times of connections from proxies and collectors.

	// identifyTimeout is the time after accept within which a connection has to identify itself.
	identifyTimeout time.Duration
	// minEvictAge is the age below which an unidentified connection is never evicted, however many
	// others arrive.
	minEvictAge time.Duration
	// finalReadTimeout is the extra time granted after a deadline, as this process itself may have
	// stalled past it: for one more read from a connection, for one more write to it, and for
	// draining the listener's backlog. It also bounds writing the reason to a refused connection, and
	// each remaining step of an evicted one: last read, queued answers, discarding of input.
	finalReadTimeout time.Duration
	// lingerTimeout is how long input from a refused connection is read and discarded.
	lingerTimeout time.Duration
	// writeTimeout bounds the write of one message; connection.deliver extends it where this
	// process may have stalled.
	writeTimeout time.Duration

	// Times and retries of calls to discovery.

	// dialTimeout bounds connecting to discovery, and writing a request to it.
	dialTimeout time.Duration
	// watchWait is how long discovery may wait for a change before it answers a watch.
	watchWait time.Duration
	// watchMargin is the time that a call to discovery may take in addition to watchWait before the
	// call counts as failed.
	watchMargin time.Duration
	// minBackoff is the wait, before jitter, after a failed call or after a watch that ended early
	// without a change; each further failure doubles it.
	minBackoff time.Duration
	// maxBackoff bounds the wait that doubles with each failed call, before jitter.
	maxBackoff time.Duration
	// maxUnusableAnswers is the number of consecutive unusable answers of discovery after which the
	// watcher requests the full list. It is also the number of consecutive answers with an older
	// version than the known list after which the watcher accepts a full list of an older version.
	maxUnusableAnswers int

	// Limits on repeated log lines.

	// logRepeatInterval is the minimum time between two lines of the same rate-limited kind.
	logRepeatInterval time.Duration
	// maxLogKinds bounds the number of kinds of log lines that are counted separately.
	maxLogKinds int
}

// defaultLimits returns the limits that do not depend on the settings or the resources of the
// process.
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
		smallMessage:       4 << 10,
		eventsPerCollector: 1024,
		receiveBuffer:      64 << 10,
		inboxSize:          4096,
		eventsPerIteration: 1024,
		outboxSize:         64,
		maxUnacked:         256,
		maxResponseBody:    16 << 20,

		maxProxyRate:   1000,
		maxUtilization: 100,
		maxQueueLength: 1e6,

		stallThreshold: microsPerSecond,
		// The platform waits ten seconds for a restarted process, so readyTimeout is shorter.
		readyTimeout:    5 * time.Second,
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

// fitResources sets the limits that follow from the CPU cores, megabytes of memory and file
// descriptors of the process. 0 means not configured: the defaults are 1 core, an unknown amount of
// memory and defaultSockets descriptors.
func (l *limits) fitResources(cores, memoryMB, sockets float64) {
	const defaultSockets, maxSockets = 1024, 1 << 20
	l.cores = max(1, int(cores))
	l.memory = int64(memoryMB) << 20
	l.sockets = defaultSockets
	if sockets > 0 {
		l.sockets = int(min(sockets, maxSockets))
	}
	l.fitMemory()
}

// fitMemory sets the limits that follow from the memory of the process.
func (l *limits) fitMemory() {
	const (
		shareForMessages = 8        // messages get this part of the memory
		maxMessageMemory = 64 << 20 // bytes; also for an unknown memory
		shareForEvents   = 16       // events get this part of the memory
		eventBytes       = 256      // estimated bytes of one event
		minEvents        = 64       // least number of events of a connection
		maxEvents        = 1024
	)
	l.messageMemory = maxMessageMemory
	l.eventsPerConnection = maxEvents
	if l.memory > 0 {
		l.messageMemory = min(maxMessageMemory, max(l.memory/shareForMessages, memoryPerMessageByte*int64(l.maxFrame)))
		l.eventsPerConnection = min(maxEvents, max(minEvents, int(l.memory/shareForEvents/eventBytes/int64(l.sockets))))
	}
}

// fitFleet sets the limits that follow from the number of proxies and zones. It needs the result of
// fitResources.
func (l *limits) fitFleet(proxies, zones int) {
	// reservedSockets counts the file descriptors of the runtime, the standard streams, the
	// listener and discovery.
	const reservedSockets = 24
	// reservedForUnidentified is the number of connections that are always left for unidentified
	// peers, as every connection starts unidentified.
	const reservedForUnidentified = 8
	const minUnidentified = 256
	const (
		shareForConnections = 4        // connections get this part of the memory, apart from large messages
		shareForMembers     = 8        // connections from other controllers get this part
		connectionBytes     = 24 << 10 // estimated bytes of one connection
	)
	l.proxies = proxies
	connections := l.sockets - reservedSockets
	if l.memory > 0 {
		connections = min(connections, int(l.memory/shareForConnections/connectionBytes))
		l.maxMemberConnections = int(l.memory / shareForMembers / connectionBytes)
	}
	l.maxConnections = max(connections, reservedForUnidentified+1)
	// Two connections per proxy are expected, as a proxy may reconnect before the controller detects
	// the end of its old connection.
	expected := 2*proxies + (l.collectorsPerZone+1)*zones
	l.maxIdentified = min(expected, l.maxConnections-reservedForUnidentified)
	// After a restart, all proxies and collectors reconnect at once.
	l.maxUnidentified = max(minUnidentified, proxies+zones)
}

// fitTimes sets the times that follow from the loop's tick, the push channel and the report
// interval.
func (l *limits) fitTimes(tick microseconds, channel balancer.PushChannel, telemetry balancer.Telemetry) {
	l.tick = max(time.Duration(tick)*time.Microsecond, time.Millisecond)
	// A running proxy sends one load report per report interval. The timeouts allow for a proxy
	// that stalls for two seconds, and for pushes that wait because the push channel to the proxies
	// is full.
	const proxyStall = 2 * microsPerSecond
	l.silenceTimeout = 2*channel.MaxLatency + 3*telemetry.ReportInterval + proxyStall
	l.ackLagTimeout = channel.MaxLatency + proxyStall
	if channel.LinesPerSecond > 0 {
		l.ackLagTimeout += microseconds(channel.Backlog / channel.LinesPerSecond * float64(microsPerSecond))
	}
}

// fitReports sets the bounds on load reports from the number of proxies, the report interval and
// the classes. It needs the result of fitFleet.
func (l *limits) fitReports(telemetry balancer.Telemetry, classes []balancer.Class) {
	const minReportInterval = 60 * microsPerSecond // a delayed load report covers many report intervals
	l.maxFleetRate = l.maxProxyRate * float64(max(l.proxies, 1))
	l.maxReportInterval = max(minReportInterval, 30*telemetry.ReportInterval)
	for _, class := range classes {
		// A response time above twice the deadline is implausible, as a proxy abandons a request at
		// its deadline.
		l.maxResponseTime = max(l.maxResponseTime, 2*class.Deadline)
	}
}
