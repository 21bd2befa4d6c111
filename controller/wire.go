package controller

// Names in the protocol with proxies, collectors and discovery. They are defined in this file only.
// The Go identifiers are the usual terms of the field, also where the protocol has other names.

// Kinds of messages: the values of keyMessage.
const (
	keyMessage = "msg"

	messageProbe    = "probe"    // readiness check of this controller
	messageAlive    = "alive"    // answer to a probe
	messageHello    = "hello"    // a proxy identifies itself
	messageAgent    = "agent"    // a collector identifies itself
	messageAck      = "ack"      // a proxy acknowledges a push and all pushes before it
	messageOutcomes = "outcomes" // load report: outcomes of the attempts of a zone's proxies at a backend
	messageDemand   = "demand"   // load report: requests that arrived at a proxy
	messagePush     = "push"     // a message of the controller to a proxy
	messageError    = "error"    // the last message to a connection that the controller refuses
)

// Keys of messages that proxies and collectors send.
const (
	keyZone     = "locality" // name of the sender's zone
	keyProxy    = "node"     // number of the proxy
	keyRate     = "w"        // approximate rate of requests that arrive at the proxy, per second
	keyCold     = "cold"     // true: the proxy holds no table from an earlier push
	keyFence    = "fence"    // true: each push to the proxy includes its owner's fencing token
	keyNonce    = "nonce"    // nonce of the last push that is acknowledged
	keyBackend  = "endpoint" // id of the backend
	keyClass    = "route"    // name of the class
	keyCount    = "total"    // number of attempts (in messageOutcomes) or of requests (in messageDemand)
	keyFailed   = "errors"   // number of attempts that failed, of those in keyCount
	keyLatency  = "rtt"      // mean latency of the successful attempts, ms
	keyInterval = "interval" // interval that the report covers, ms
	keyLoad     = "metrics"  // load figures that the backend reports about itself

	// Load figures of a backend. Each has two alternative keys.
	keyUtilization, keyCPU    = "util", "cpu"          // CPU utilization, as a share of the backend's cores
	keyQueue, keyWaiting      = "queue", "waiting"     // number of requests queued at the backend
	keyServiceTime, keyMeanMS = "latency_ms", "avg_ms" // recent service time of the backend, ms
)

// Keys of pushes.
const (
	keyToken    = "token"   // fencing token of the proxy's owner
	keyClasses  = "classes" // names of the classes that the push applies to; all if missing
	keyFull     = "whole"   // true: the entries replace the whole table, and the admission limit is removed
	keyEntries  = "lines"   // table entries: backends with weights; a weight of 0 removes the entry
	keyLimit    = "level"   // admission limit
	keyRetry    = "retry"   // retry policy; present with each admission limit
	keyWithdraw = "out"     // withdrawn backends: the proxy must not use them
	keyRestore  = "back"    // restored backends: the proxy may use them again
	keyAck      = "ticket"  // nonce that the proxy has to acknowledge
	keyMore     = "more"    // true: another part of this message follows

	keyReason = "reason" // why the connection is refused (in messageError)
)

// Discovery: the request path, the parameters of a watch, and the keys and values of a response.
const (
	discoveryPath = "/api/targets"
	paramSince    = "since"      // list version after which changes are requested
	paramTimeout  = "timeout_ms" // how long the watch may wait for a change, ms

	keyVersion   = "version"
	keyFullList  = "full"    // true: all endpoints; false: changed endpoints only
	keyEndpoints = "servers" // array of endpoints
	keyID        = "id"
	keyListZone  = "zone"
	keyState     = "state"
	keyWeight    = "weight"
	keyStartedAt = "started_ms" // start time of the backend, Unix time in ms; 0: long ago

	stateReady    = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)
