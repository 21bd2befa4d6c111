package simwire

// The simulator's wire names its records by a theme of its own. This file alone maps its words to the field's terms; the
// word of the wire stands behind each code. layout.go has the positions of fields.

// eventCode is the first byte of a record that the simulator sends.
type eventCode uint8

// Codes of events, with the word that the wire has for each.
const (
	eventCreate               eventCode = 0  // create: a controller starts, with its settings
	eventEndpointsUpdated     eventCode = 1  // fleet: an endpoint list, a change to it, or a failed poll
	eventTimerFired           eventCode = 2  // elapsed
	eventHealthCheckCompleted eventCode = 3  // checked
	eventPeerMessage          eventCode = 4  // from peer: none comes, as none is sent
	eventKilled               eventCode = 5  // killed: a controller has ended
	eventProxyConnected       eventCode = 6  // enrolled
	eventProxyDisconnected    eventCode = 7  // lost stream
	eventAcknowledged         eventCode = 8  // acked
	eventOutcomesReported     eventCode = 9  // upstream stats
	eventDemandReported       eventCode = 10 // arrivals
	eventShardDemandReported  eventCode = 11 // pressure
	eventShardOwnership       eventCode = 12 // tenure: a shard is assigned or revoked
	eventShardOwnerStored     eventCode = 13 // on record
	eventEndpointList         eventCode = 14 // roster: a list that events name by its number

	lastEvent = eventEndpointList
)

// actionCode is the first byte of a record that the simulator is answered.
type actionCode uint8

// Codes of actions, with the word that the wire has for each. Three are never sent: 66 (tell: a message to a peer), 70 (get
// list: the list a single time) and 72 (drop lines: empties a table), as no decision asks for them.
const (
	actionSetTimer          actionCode = 64 // sleep
	actionCheckHealth       actionCode = 65 // health check
	actionLog               actionCode = 67 // emit
	actionAbort             actionCode = 68 // bail out: the controller cannot go on
	actionPollEndpoints     actionCode = 69 // listen
	actionPublishEntry      actionCode = 71 // set weight
	actionWithdraw          actionCode = 73 // suspend
	actionAssignTable       actionCode = 74 // pin
	actionSetAdmissionLimit actionCode = 75 // level
	actionRequestAck        actionCode = 76 // seal
)

// Kinds of eventEndpointsUpdated, with the word that the wire has for each.
const (
	updateDelta  = 0 // delta: only the entries that changed
	updateFull   = 1 // full
	updateCached = 2 // cached: the full list as the controller last had it
	updateFailed = 3 // failed: a poll came to nothing, and no list goes with it
)

// States of a backend in an endpoint list; warnings call them conditions.
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

// Words of the wire in warnings, for those who look for them in its frames.
const (
	wordShard             = "slice"
	wordHealthCheckResult = "probe outcome"
)

// Names of the figures in a load report, as the settings list them.
const (
	loadCPU         = "cpu"     // share of the cores at work
	loadQueue       = "waiting" // requests not begun
	loadServiceTime = "avg_ms"
	maxLoadFigures  = 4 // that a report has room for
)
