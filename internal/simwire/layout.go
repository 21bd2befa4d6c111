package simwire

// Byte positions of fields in records. Fields that this package neither reads nor writes are left
// out. The comment behind a position has the field's type. Numbers are little endian, and times are
// milliseconds as f64. A text or a list is a pair of u32: its offset in the frame's tail, and its
// size (of a text in bytes, of a list in entries).

// microsecondsPerMillisecond converts the protocol's unit of time to the balancer's. Times in
// events are converted by settings.FromMilliseconds instead, which also rounds them and replaces
// invalid times by 0.
const microsecondsPerMillisecond = 1000

// Header of a frame of events.
const (
	frameLengthAt = 0  // u32, bytes after the header
	frameClockAt  = 4  // f64, milliseconds
	frameCountAt  = 12 // u32, events
	frameNumberAt = 16 // u32
)

// Header of a reply.
const (
	replyCountAt  = 0 // u32, actions
	replyLengthAt = 4 // u32, bytes after the header
	replyNumberAt = 8 // u32
)

// textSizeAt is the position of the size in the field of a text or a list, relative to the field.
const textSizeAt = 4

// Fields of every event and action.
const (
	codeAt     = 0 // u8
	instanceAt = 1 // u16; eventEndpointList has none
)

// Fields of eventCreate.
const (
	createSeedAt     = 3  // u64
	createSettingsAt = 11 // text
)

// Fields of eventEndpointList, and of its entries, which have endpointSize bytes.
const (
	listNumberAt  = 1 // u32
	listEntriesAt = 5 // list

	endpointStartedAt = 0  // time
	endpointStateAt   = 10 // u8
	endpointWeightAt  = 11 // f32
	endpointZoneAt    = 17 // u8
	endpointBackendAt = 18 // u32
)

// Fields of eventEndpointsUpdated.
const (
	updateListAt = 3 // u32, number of an eventEndpointList
	updateKindAt = 7 // u8
)

// firedTagAt is the position of the tag in eventTimerFired.
const firedTagAt = 3 // u64

// Fields of eventHealthCheckCompleted.
const (
	checkedBackendAt = 3 // u32
	checkedResultAt  = 7 // u16
)

// Fields of eventOutcomesReported.
const (
	outcomesZoneAt     = 3  // u8, zone of the proxies that reported
	outcomesBackendAt  = 4  // u32
	outcomesAttemptsAt = 8  // u32
	outcomesFailuresAt = 12 // u32
	outcomesMeanAt     = 16 // time, mean answer time
	outcomesSpanAt     = 24 // time, length of the interval that the report covers
	outcomesLoadAt     = 32 // u8, number of load values; the values follow, f32 each
	loadValuesAt       = 1  // relative to outcomesLoadAt
	loadValueSize      = 4
)

// Fields of eventProxyConnected.
const (
	connectedRateAt  = 4 // f32, baseline demand in requests per second
	connectedZoneAt  = 8 // u8
	connectedProxyAt = 9 // u16
)

// Fields of eventProxyDisconnected, eventAcknowledged and eventDemandReported.
const (
	proxyAt     = 3 // u16
	ackNumberAt = 5 // u64; only in eventAcknowledged
)

// Fields of eventDemandReported and eventShardDemandReported.
const (
	demandClassAt = 5  // u8
	demandCountAt = 6  // u32
	demandSpanAt  = 14 // time, length of the interval that the report covers
)

// Fields of eventShardDemandReported, eventShardOwnership and eventShardOwnerStored.
const (
	shardAt         = 3 // u16
	shardAssignedAt = 5 // u8, a flag; only in eventShardOwnership
	shardOwnerAt    = 5 // u32, a backend; only in eventShardOwnerStored
	shardWeightAt   = 9 // f32; only in eventShardOwnerStored
)

// textAt is the position of the text in actionLog and actionAbort.
const textAt = 3 // text

// Fields of actionSetTimer.
const (
	timerWaitAt = 3  // time
	timerTagAt  = 11 // u64
)

// pollFollowAt is the position of the follow flag in actionPollEndpoints.
const pollFollowAt = 3 // u8, a flag: changes are requested from now on

// checkBackendAt is the position of the backend in actionCheckHealth.
const checkBackendAt = 3 // u32

// Fields of actionPublishEntry.
const (
	publishTableAt   = 3 // u16
	publishBackendAt = 5 // u32
	publishWeightAt  = 9 // f32
)

// Fields of actionWithdraw.
const (
	withdrawBackendAt = 3 // u32
	withdrawFlagAt    = 7 // u8, a flag: withdrawn
)

// Fields of actionAssignTable.
const (
	assignTableAt   = 3 // u16
	assignProxyAt   = 5 // u16
	assignClassesAt = 7 // u16, a bit per class
)

// Fields of actionSetAdmissionLimit.
const (
	limitTableAt   = 3  // u16
	limitClassesAt = 5  // u16, a bit per class
	limitAt        = 7  // f32
	limitRetryAt   = 11 // u8, a balancer.RetryPolicy
)

// Fields of actionRequestAck.
const (
	requestNumberAt       = 3  // u64
	requestAllConnectedAt = 11 // u8, a flag: all connected proxies
)
