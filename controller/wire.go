package controller

// Names in the protocol with proxies, collectors and discovery. They are defined in this file only.
// The Go identifiers are the usual terms of the field, also where the protocol has other names.

// Kinds of messages, which are the values of the field keyMessage.
const (
	keyMessage = "msg"

	messageProbe    = "probe"    // readiness check of this controller, from any peer
	messageAlive    = "alive"    // the controller's answer to a probe
	messageHello    = "hello"    // message with which a proxy identifies itself
	messageAgent    = "agent"    // message with which a collector identifies itself
	messageAck      = "ack"      // a proxy's acknowledgement of a push and of all pushes before it
	messageOutcomes = "outcomes" // load report: outcomes of the attempts that a zone's proxies made at a backend
	messageDemand   = "demand"   // load report: number of requests of a class that arrived at a proxy
	messagePush     = "push"     // tables, limits and withdrawals that the controller sends to a proxy
	messageError    = "error"    // last message to a peer whose connection the controller refuses
)

// Keys of messages that proxies and collectors send.
const (
	keyZone     = "locality" // name of the sender's zone
	keyProxy    = "node"     // number of the proxy that sends the message, or that the report is about
	keyRate     = "w"        // approximate rate of requests that arrive at the proxy, per second
	keyCold     = "cold"     // true if the proxy has no table from an earlier push
	keyFence    = "fence"    // true if the proxy asks for its owner's fencing token in each push
	keyNonce    = "nonce"    // nonce of the newest push that the proxy acknowledges
	keyBackend  = "endpoint" // id of the backend that the report is about
	keyClass    = "route"    // name of the class of requests that the report is about
	keyCount    = "total"    // number of attempts (in messageOutcomes) or of requests (in messageDemand)
	keyFailed   = "errors"   // number of failed attempts, which are included in keyCount
	keyLatency  = "rtt"      // mean latency of the successful attempts, in ms
	keyInterval = "interval" // length of the interval that the report covers, in ms
	keyLoad     = "metrics"  // load figures that the backend reports about itself

	// Load figures of a backend. Each figure has two alternative keys.
	keyUtilization, keyCPU    = "util", "cpu"          // CPU utilization, as a share of the backend's cores
	keyQueue, keyWaiting      = "queue", "waiting"     // number of requests queued at the backend
	keyServiceTime, keyMeanMS = "latency_ms", "avg_ms" // recent service time of the backend, in ms
)

// Keys of pushes.
const (
	keyToken   = "token"   // fencing token of the proxy's owner, if the proxy asked for tokens
	keyClasses = "classes" // names of the classes that the push applies to; if missing, all classes
	// keyFull is true if the entries replace the whole table of the classes that the push applies to.
	// The proxy then discards its admission limits of these classes too.
	keyFull     = "whole"
	keyEntries  = "lines"  // table entries, each a backend and its weight; weight 0 removes the entry
	keyLimit    = "level"  // admission limit of the classes
	keyRetry    = "retry"  // retry policy of the classes; present with each admission limit
	keyWithdraw = "out"    // withdrawn backends: the proxy must not use them
	keyRestore  = "back"   // restored backends: the proxy may use them again
	keyAck      = "ticket" // nonce with which the proxy has to acknowledge the push
	keyMore     = "more"   // true if another part of this message follows

	keyReason = "reason" // reason for which the connection is refused (in messageError)
)

// Discovery: the request path, the parameters of a watch, and the keys and values of a response.
const (
	discoveryPath = "/api/targets"
	paramSince    = "since"      // list version that the watcher knows; the response contains the changes since then
	paramTimeout  = "timeout_ms" // time in ms for which the watch may wait for a change

	keyVersion   = "version"
	keyFullList  = "full"    // true if the response lists all endpoints, false if only changed ones
	keyEndpoints = "servers" // array of the listed endpoints
	keyID        = "id"
	keyListZone  = "zone"
	keyState     = "state"
	keyWeight    = "weight"
	keyStartedAt = "started_ms" // start time of the backend, Unix time in ms; 0 means long ago

	stateReady    = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)
