package simwire

// The simulator's protocol names its records with its own words. Only this file maps them to the
// terms of load balancing: the comment behind each code quotes the protocol's word. layout.go has
// the positions of fields.

// eventCode is the first byte of a record that the simulator sends.
type eventCode uint8

// Codes of events. Each comment quotes the protocol's word for the event, and states what happened.
const (
	eventCreate               eventCode = 0  // simulator protocol event "create": a controller started, with its settings
	eventEndpointsUpdated     eventCode = 1  // simulator protocol event "fleet": endpoint list, its change or failed poll
	eventTimerFired           eventCode = 2  // simulator protocol event "elapsed": a timer of the controller fired
	eventHealthCheckCompleted eventCode = 3  // simulator protocol event "checked": a health check completed
	eventPeerMessage          eventCode = 4  // simulator protocol event "from peer": unexpected, as peers send no messages
	eventKilled               eventCode = 5  // simulator protocol event "killed": a controller ended
	eventProxyConnected       eventCode = 6  // simulator protocol event "enrolled": a proxy connected
	eventProxyDisconnected    eventCode = 7  // simulator protocol event "lost stream": a proxy disconnected
	eventAcknowledged         eventCode = 8  // simulator protocol event "acked": a proxy sent a requested ack
	eventOutcomesReported     eventCode = 9  // simulator protocol event "upstream stats": report of outcomes at a backend
	eventDemandReported       eventCode = 10 // simulator protocol event "arrivals": report of the demand at a proxy
	eventShardDemandReported  eventCode = 11 // simulator protocol event "pressure": report of the demand for a shard
	eventShardOwnership       eventCode = 12 // simulator protocol event "tenure": a shard was assigned or revoked
	eventShardOwnerStored     eventCode = 13 // simulator protocol event "on record": owner of a shard was stored
	eventEndpointList         eventCode = 14 // simulator protocol event "roster": endpoint list with its reference number

	lastEvent = eventEndpointList
)

// actionCode is the first byte of a record in a reply to the simulator.
type actionCode uint8

// Codes of actions. Each comment quotes the protocol's word for the action, and states what the
// action orders. Three codes are never sent, because no decision requires them: 66 ("tell": a
// message to a peer), 70 ("get list": request the endpoint list once) and 72 ("drop lines": remove
// all entries of a table).
const (
	actionSetTimer          actionCode = 64 // simulator protocol action "sleep": set a timer
	actionCheckHealth       actionCode = 65 // simulator protocol action "health check": check the health of a backend
	actionLog               actionCode = 67 // simulator protocol action "emit": log a line
	actionAbort             actionCode = 68 // simulator protocol action "bail out": the controller cannot continue
	actionPollEndpoints     actionCode = 69 // simulator protocol action "listen": poll the endpoint list
	actionPublishEntry      actionCode = 71 // simulator protocol action "set weight": publish a table entry
	actionWithdraw          actionCode = 73 // simulator protocol action "suspend": withdraw or restore a backend
	actionAssignTable       actionCode = 74 // simulator protocol action "pin": assign a table to a proxy
	actionSetAdmissionLimit actionCode = 75 // simulator protocol action "level": set an admission limit
	actionRequestAck        actionCode = 76 // simulator protocol action "seal": request an ack
)

// Kinds of eventEndpointsUpdated. Each comment quotes the protocol's word for the kind, and states
// what the event has.
const (
	updateDelta  = 0 // simulator protocol update kind "delta": the event has only the changed entries
	updateFull   = 1 // simulator protocol update kind "full": the event has the full list
	updateCached = 2 // simulator protocol update kind "cached": full list as the controller last received it
	updateFailed = 3 // simulator protocol update kind "failed": a poll failed, so the event has no list
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
