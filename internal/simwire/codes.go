package simwire

// The simulator's protocol names its records with its own words. Only this file maps them to the
// terms of load balancing: the comment behind each code quotes the protocol's word. layout.go has
// the positions of fields.

// eventCode is the first byte of a record that the simulator sends.
type eventCode uint8

// Codes of events. Each comment quotes the protocol's word for the event, and states what happened.
const (
	eventCreate               eventCode = 0  // the protocol's "create": a controller started, with its settings
	eventEndpointsUpdated     eventCode = 1  // the protocol's "fleet": an endpoint list, its change, or a failed poll
	eventTimerFired           eventCode = 2  // the protocol's "elapsed": a timer of the controller fired
	eventHealthCheckCompleted eventCode = 3  // the protocol's "checked": a health check completed
	eventPeerMessage          eventCode = 4  // the protocol's "from peer": unexpected, as no message to a peer is sent
	eventKilled               eventCode = 5  // the protocol's "killed": a controller ended
	eventProxyConnected       eventCode = 6  // the protocol's "enrolled": a proxy connected
	eventProxyDisconnected    eventCode = 7  // the protocol's "lost stream": a proxy disconnected
	eventAcknowledged         eventCode = 8  // the protocol's "acked": a proxy sent a requested ack
	eventOutcomesReported     eventCode = 9  // the protocol's "upstream stats": a report of the outcomes at a backend
	eventDemandReported       eventCode = 10 // the protocol's "arrivals": a report of the demand at a proxy
	eventShardDemandReported  eventCode = 11 // the protocol's "pressure": a report of the demand for a shard
	eventShardOwnership       eventCode = 12 // the protocol's "tenure": a shard was assigned or revoked
	eventShardOwnerStored     eventCode = 13 // the protocol's "on record": the owner of a shard was stored
	eventEndpointList         eventCode = 14 // the protocol's "roster": an endpoint list, with a number to refer to it

	lastEvent = eventEndpointList
)

// actionCode is the first byte of a record in a reply to the simulator.
type actionCode uint8

// Codes of actions. Each comment quotes the protocol's word for the action, and states what the
// action orders. Three codes are never sent, because no decision requires them: 66 ("tell": a
// message to a peer), 70 ("get list": request the endpoint list once) and 72 ("drop lines": remove
// all entries of a table).
const (
	actionSetTimer          actionCode = 64 // the protocol's "sleep": set a timer
	actionCheckHealth       actionCode = 65 // the protocol's "health check": check the health of a backend
	actionLog               actionCode = 67 // the protocol's "emit": log a line
	actionAbort             actionCode = 68 // the protocol's "bail out": the controller cannot continue
	actionPollEndpoints     actionCode = 69 // the protocol's "listen": poll the endpoint list
	actionPublishEntry      actionCode = 71 // the protocol's "set weight": publish a table entry
	actionWithdraw          actionCode = 73 // the protocol's "suspend": withdraw or restore a backend
	actionAssignTable       actionCode = 74 // the protocol's "pin": assign a table to a proxy
	actionSetAdmissionLimit actionCode = 75 // the protocol's "level": set an admission limit
	actionRequestAck        actionCode = 76 // the protocol's "seal": request an ack
)

// Kinds of eventEndpointsUpdated. Each comment quotes the protocol's word for the kind, and states
// what the event has.
const (
	updateDelta  = 0 // the protocol's "delta": the event has only the changed entries
	updateFull   = 1 // the protocol's "full": the event has the full list
	updateCached = 2 // the protocol's "cached": the event has the full list as the controller last received it
	updateFailed = 3 // the protocol's "failed": a poll failed, so the event has no list
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
	loadQueue       = "waiting" // number of requests that are waiting, not yet started
	loadServiceTime = "avg_ms"  // mean service time in milliseconds
	maxLoadValues   = 4         // maximum number of load values in a report
)
