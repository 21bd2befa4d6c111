package simwire

// The simulator's protocol names its records with its own words. Only this file maps them to the
// terms of load balancing: the comment behind each code quotes the protocol's word. layout.go has
// the positions of fields.

// eventCode is the first byte of a record that the simulator sends.
type eventCode uint8

// Codes of events, with the protocol's word for each in quotes.
const (
	eventCreate               eventCode = 0  // "create": a controller started, with its settings
	eventEndpointsUpdated     eventCode = 1  // "fleet": an endpoint list, a change to it, or a failed poll
	eventTimerFired           eventCode = 2  // "elapsed"
	eventHealthCheckCompleted eventCode = 3  // "checked"
	eventPeerMessage          eventCode = 4  // "from peer": unexpected, as no message to a peer is sent
	eventKilled               eventCode = 5  // "killed": a controller ended
	eventProxyConnected       eventCode = 6  // "enrolled"
	eventProxyDisconnected    eventCode = 7  // "lost stream"
	eventAcknowledged         eventCode = 8  // "acked"
	eventOutcomesReported     eventCode = 9  // "upstream stats"
	eventDemandReported       eventCode = 10 // "arrivals"
	eventShardDemandReported  eventCode = 11 // "pressure"
	eventShardOwnership       eventCode = 12 // "tenure": a shard was assigned or revoked
	eventShardOwnerStored     eventCode = 13 // "on record"
	eventEndpointList         eventCode = 14 // "roster": an endpoint list, with a number to refer to it

	lastEvent = eventEndpointList
)

// actionCode is the first byte of a record in a reply to the simulator.
type actionCode uint8

// Codes of actions, with the protocol's word for each in quotes. Three codes are never sent,
// because no decision requires them: 66 ("tell": a message to a peer), 70 ("get list": request the
// endpoint list once) and 72 ("drop lines": remove all entries of a table).
const (
	actionSetTimer          actionCode = 64 // "sleep"
	actionCheckHealth       actionCode = 65 // "health check"
	actionLog               actionCode = 67 // "emit"
	actionAbort             actionCode = 68 // "bail out": the controller cannot continue
	actionPollEndpoints     actionCode = 69 // "listen"
	actionPublishEntry      actionCode = 71 // "set weight"
	actionWithdraw          actionCode = 73 // "suspend"
	actionAssignTable       actionCode = 74 // "pin"
	actionSetAdmissionLimit actionCode = 75 // "level"
	actionRequestAck        actionCode = 76 // "seal"
)

// Kinds of eventEndpointsUpdated, with the protocol's word for each in quotes.
const (
	updateDelta  = 0 // "delta": only the changed entries
	updateFull   = 1 // "full"
	updateCached = 2 // "cached": the full list as the controller last received it
	updateFailed = 3 // "failed": a poll failed, so the event has no list
)

// States of a backend in an endpoint list. Warnings use the protocol's word "condition" for a
// state.
const (
	backendRemoved  = 0
	backendReady    = 1
	backendDraining = 2
)

// Results of a health check.
const (
	checkPassed      = 1
	checkFailed      = 2
	checkRefused     = 3
	checkTimedOut    = 4
	checkUnreachable = 5
	checkBroken      = 6
)

// Words of the protocol in warnings, so that a warning can be matched with the protocol's records.
const (
	wordShard             = "slice"
	wordHealthCheckResult = "probe outcome"
)

// Names of the values in a load report, as the setting reporting.fields lists them.
const (
	loadCPU         = "cpu"     // CPU utilization as a share of all cores
	loadQueue       = "waiting" // requests that are waiting, not yet started
	loadServiceTime = "avg_ms"  // mean service time in milliseconds
	maxLoadValues   = 4         // maximum number of values in a report
)
