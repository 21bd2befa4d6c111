package simwire

// Byte positions of the fields that are read or written, by record. Fields that nobody here uses are left out. Numbers are
// little endian, times are milliseconds as f64, and a text or a list is two u32: where it begins in the frame's tail, and
// its size.

// microsecondsPerMillisecond is a millisecond of the wire in the balancer's unit. Times that come are converted by
// settings.FromMilliseconds, which also rounds and refuses what cannot be a time.
const microsecondsPerMillisecond = 1000

// Header of a frame of events.
const (
	frameLengthAt = 0  // u32, bytes of what follows the header
	frameClockAt  = 4  // f64, milliseconds
	frameCountAt  = 12 // u32, events
	frameNumberAt = 16 // u32
)

// Header of a reply.
const (
	replyCountAt  = 0 // u32, actions
	replyLengthAt = 4 // u32, bytes of what follows the header
	replyNumberAt = 8 // u32
)

// textSizeAt is where a text or a list has its size, from its own position on.
const textSizeAt = 4

// Every event and action.
const (
	codeAt     = 0 // u8
	instanceAt = 1 // u16; eventEndpointList has none
)

// eventCreate.
const (
	createSeedAt     = 3  // u64
	createSettingsAt = 11 // text
)

// eventEndpointList, and its entries of endpointSize bytes.
const (
	listNumberAt  = 1 // u32
	listEntriesAt = 5 // list

	endpointStartedAt = 0  // time
	endpointStateAt   = 10 // u8
	endpointWeightAt  = 11 // f32
	endpointZoneAt    = 17 // u8
	endpointBackendAt = 18 // u32
)

// eventEndpointsUpdated.
const (
	updateListAt = 3 // u32, number of an eventEndpointList
	updateKindAt = 7 // u8
)

// eventTimerFired.
const firedTagAt = 3 // u64

// eventHealthCheckCompleted.
const (
	checkedBackendAt = 3 // u32
	checkedResultAt  = 7 // u16
)

// eventOutcomesReported.
const (
	outcomesZoneAt     = 3  // u8, of the proxies
	outcomesBackendAt  = 4  // u32
	outcomesAttemptsAt = 8  // u32
	outcomesFailuresAt = 12 // u32
	outcomesMeanAt     = 16 // time, mean answer time
	outcomesSpanAt     = 24 // time
	outcomesLoadAt     = 32 // u8, number of figures; then the figures, f32 each
	loadFiguresAt      = 1  // from there on
	loadFigureSize     = 4
)

// eventProxyConnected.
const (
	connectedRateAt  = 4 // f32, requests a second on ordinary days
	connectedZoneAt  = 8 // u8
	connectedProxyAt = 9 // u16
)

// eventProxyDisconnected, eventAcknowledged and eventDemandReported.
const (
	proxyAt     = 3 // u16
	ackNumberAt = 5 // u64; eventAcknowledged alone
)

// eventDemandReported and eventShardDemandReported.
const (
	demandClassAt = 5  // u8
	demandCountAt = 6  // u32
	demandSpanAt  = 14 // time
)

// eventShardDemandReported, eventShardOwnership and eventShardOwnerStored.
const (
	shardAt         = 3 // u16
	shardAssignedAt = 5 // u8, a flag; eventShardOwnership alone
	shardOwnerAt    = 5 // u32, a backend; eventShardOwnerStored alone
	shardWeightAt   = 9 // f32; the same
)

// actionLog and actionAbort.
const textAt = 3 // text

// actionSetTimer.
const (
	timerWaitAt = 3  // time
	timerTagAt  = 11 // u64
)

// actionPollEndpoints.
const pollFollowAt = 3 // u8, a flag: changes are wanted from now on

// actionCheckHealth.
const checkBackendAt = 3 // u32

// actionPublishEntry.
const (
	publishTableAt   = 3 // u16
	publishBackendAt = 5 // u32
	publishWeightAt  = 9 // f32
)

// actionWithdraw.
const (
	withdrawBackendAt = 3 // u32
	withdrawFlagAt    = 7 // u8, a flag: withdrawn
)

// actionAssignTable.
const (
	assignTableAt   = 3 // u16
	assignProxyAt   = 5 // u16
	assignClassesAt = 7 // u16, a bit a class
)

// actionSetAdmissionLimit.
const (
	limitTableAt   = 3  // u16
	limitClassesAt = 5  // u16, a bit a class
	limitAt        = 7  // f32
	limitRetryAt   = 11 // u8
)

// actionRequestAck.
const (
	requestNumberAt   = 3  // u64
	requestEveryoneAt = 11 // u8, a flag: all connected proxies
)
