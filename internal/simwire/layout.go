package simwire

// The constants below are the byte positions of fields in records. Fields that this package neither
// reads nor writes are left out. The comment behind a position has the field's type and meaning.
// Numbers are little endian, and times are milliseconds as f64. A text or a list is a pair of u32:
// its offset in the frame's tail, and its size (of a text in bytes, of a list in entries).

// microsecondsPerMillisecond converts the protocol's unit of time to the balancer's. Times in
// events are converted by settings.FromMilliseconds instead, which also rounds them and replaces
// invalid times by 0.
const microsecondsPerMillisecond = 1000

// Fields in the header of a frame of events.
const (
	frameLengthAt = 0  // u32: number of bytes after the header
	frameClockAt  = 4  // f64: simulated time of the frame in milliseconds
	frameCountAt  = 12 // u32: number of events
	frameNumberAt = 16 // u32: number of the frame, which the reply repeats
)

// Fields in the header of a reply.
const (
	replyCountAt  = 0 // u32: number of actions
	replyLengthAt = 4 // u32: number of bytes after the header
	replyNumberAt = 8 // u32: number of the frame that the reply answers
)

// textSizeAt is the position of the size in a field that refers to a text or a list, relative to
// the start of the field.
const textSizeAt = 4

// Fields of every event and action.
const (
	codeAt     = 0 // u8: code of the event or action
	instanceAt = 1 // u16: id of the instance; an eventEndpointList has no instance
)

// Fields of eventCreate.
const (
	createSeedAt     = 3  // u64: seed of the instance's balancer
	createSettingsAt = 11 // text: settings of the instance
)

// Fields of eventEndpointList, and of its entries, which have endpointSize bytes.
const (
	listNumberAt  = 1 // u32: number of the endpoint list
	listEntriesAt = 5 // list: entries of the endpoint list

	endpointStartedAt = 0  // time: start time of the backend
	endpointStateAt   = 10 // u8: state of the backend
	endpointWeightAt  = 11 // f32: weight of the backend
	endpointZoneAt    = 17 // u8: zone of the backend
	endpointBackendAt = 18 // u32: id of the backend
)

// Fields of eventEndpointsUpdated.
const (
	updateListAt = 3 // u32: number of the endpoint list that the event refers to
	updateKindAt = 7 // u8: kind of the update, such as updateDelta
)

// firedTagAt is the position of the tag in eventTimerFired.
const firedTagAt = 3 // u64: tag that actionSetTimer passed

// Fields of eventHealthCheckCompleted.
const (
	checkedBackendAt = 3 // u32: id of the checked backend
	checkedResultAt  = 7 // u16: result of the health check, such as checkPassed
)

// Fields of eventOutcomesReported.
const (
	outcomesZoneAt     = 3  // u8: zone of the proxies that reported
	outcomesBackendAt  = 4  // u32: id of the backend that the report is about
	outcomesAttemptsAt = 8  // u32: number of attempts at the backend in the interval
	outcomesFailuresAt = 12 // u32: number of failed attempts at the backend in the interval
	outcomesMeanAt     = 16 // time: mean answer time of the attempts
	outcomesSpanAt     = 24 // time: length of the interval that the report covers
	outcomesLoadAt     = 32 // u8: number of load values; the values follow this field, each an f32
	loadValuesAt       = 1  // position of the first load value, relative to outcomesLoadAt
	loadValueSize      = 4  // size of a load value in bytes
)

// Fields of eventProxyConnected.
const (
	connectedRateAt  = 4 // f32: baseline demand of the proxy in requests per second
	connectedZoneAt  = 8 // u8: zone of the proxy
	connectedProxyAt = 9 // u16: id of the proxy
)

// Fields of eventProxyDisconnected, eventAcknowledged and eventDemandReported.
const (
	proxyAt     = 3 // u16: id of the proxy
	ackNumberAt = 5 // u64: number of the requested ack; only in eventAcknowledged
)

// Fields of eventDemandReported and eventShardDemandReported.
const (
	demandClassAt = 5  // u8: class of the requests
	demandCountAt = 6  // u32: number of requests in the interval
	demandSpanAt  = 14 // time: length of the interval that the report covers
)

// Fields of eventShardDemandReported, eventShardOwnership and eventShardOwnerStored.
const (
	shardAt         = 3 // u16: number of the shard
	shardAssignedAt = 5 // u8: 0 if the shard is revoked, else the shard is assigned; only in eventShardOwnership
	shardOwnerAt    = 5 // u32: id of the backend that owns the shard; only in eventShardOwnerStored
	shardWeightAt   = 9 // f32: weight of the backend that owns the shard; only in eventShardOwnerStored
)

// textAt is the position of the text in actionLog and actionAbort.
const textAt = 3 // text: logged line, or reason of the abort

// Fields of actionSetTimer.
const (
	timerWaitAt = 3  // time: wait until the timer fires
	timerTagAt  = 11 // u64: tag that eventTimerFired returns
)

// pollFollowAt is the position of the follow flag in actionPollEndpoints.
const pollFollowAt = 3 // u8, a flag: changes of the endpoint list are requested from now on

// checkBackendAt is the position of the backend in actionCheckHealth.
const checkBackendAt = 3 // u32: id of the backend to check

// Fields of actionPublishEntry.
const (
	publishTableAt   = 3 // u16: number of the table that contains the entry
	publishBackendAt = 5 // u32: id of the backend
	publishWeightAt  = 9 // f32: weight of the backend in the table; 0 removes the table entry
)

// Fields of actionWithdraw.
const (
	withdrawBackendAt = 3 // u32: id of the backend to withdraw or restore
	withdrawFlagAt    = 7 // u8: 1 to withdraw the backend, 0 to restore it
)

// Fields of actionAssignTable.
const (
	assignTableAt   = 3 // u16: number of the table to assign
	assignProxyAt   = 5 // u16: id of the proxy that has to use the table
	assignClassesAt = 7 // u16: set of classes for which the proxy has to use the table; bit i is class i
)

// Fields of actionSetAdmissionLimit.
const (
	limitTableAt   = 3  // u16: number of the table whose proxies apply the limit
	limitClassesAt = 5  // u16: set of classes that the limit is for; bit i is class i
	limitAt        = 7  // f32: admission limit, a share of the requests or a rate in requests per second
	limitRetryAt   = 11 // u8: retry policy, a balancer.RetryPolicy
)

// Fields of actionRequestAck.
const (
	requestNumberAt       = 3  // u64: number of the requested ack
	requestAllConnectedAt = 11 // u8: 1 requests the ack from all connected proxies, 0 from proxies that the reply affects
)
