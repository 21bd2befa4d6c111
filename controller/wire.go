package controller

// The words of the protocol with proxies, collectors and discovery, each with the field's term for it. No other file spells them.

// Kinds of messages, under keyMessage.
const (
	keyMessage = "msg"

	messageProbe    = "probe"    // a readiness check of this controller ...
	messageAlive    = "alive"    // ... and its answer
	messageHello    = "hello"    // a proxy connects
	messageAgent    = "agent"    // a collector connects
	messageAck      = "ack"      // a proxy acknowledges all pushes up to one
	messageOutcomes = "outcomes" // a load report: what the proxies of a zone met at a backend
	messageDemand   = "demand"   // a load report: what arrived at a proxy
	messagePush     = "push"     // our message to a proxy
	messageError    = "error"    // our last message to a connection that we refuse
)

// Keys of messages that proxies and collectors send.
const (
	keyZone     = "locality" // name of the sender's zone
	keyProxy    = "node"     // number of the proxy
	keyRate     = "w"        // requests a second that arrive at the proxy, roughly
	keyCold     = "cold"     // true: the proxy holds no table that was ordered
	keyFence    = "fence"    // true: the proxy wants the owner's fencing token with each push
	keyNonce    = "nonce"    // of the last push that is acknowledged
	keyBackend  = "endpoint" // id of the backend
	keyClass    = "route"    // name of the class
	keyCount    = "total"    // attempts, or requests
	keyFailed   = "errors"   // failed ones of them
	keyLatency  = "rtt"      // mean latency of the others, ms
	keyInterval = "interval" // time that the report covers, ms
	keyLoad     = "metrics"  // what the backend reports of itself

	// Of what a backend reports, each goes by one of two names.
	keyUtilization, keyCPU    = "util", "cpu"          // share of its cores at work
	keyQueue, keyWaiting      = "queue", "waiting"     // requests that wait
	keyServiceTime, keyMeanMS = "latency_ms", "avg_ms" // recent service time, ms
)

// Keys of pushes.
const (
	keyToken    = "token"   // fencing token of the proxy's owner
	keyClasses  = "classes" // names of the classes whose tables are meant; all if it is missing
	keyFull     = "whole"   // true: the entries make up the table, and limits are forgotten
	keyEntries  = "lines"   // backends with weights; 0 takes an entry out
	keyLimit    = "level"   // admission limit
	keyRetry    = "retry"   // retry policy, with each limit
	keyWithdraw = "out"     // backends that the proxy is not to use
	keyRestore  = "back"    // backends that it may use again
	keyAck      = "ticket"  // nonce that is to be acknowledged
	keyMore     = "more"    // true: a further part of this message follows

	keyReason = "reason" // of an error
)

// Discovery: its path, the parameters of a watch, and the keys and words of its answers.
const (
	discoveryPath = "/api/targets"
	paramSince    = "since"      // version after which changes are wanted
	paramTimeout  = "timeout_ms" // how long the watch may wait for one

	keyVersion   = "version"
	keyFullList  = "full"    // true: all endpoints; false: those that changed
	keyEndpoints = "servers" // the endpoints
	keyID        = "id"
	keyListZone  = "zone"
	keyState     = "state"
	keyWeight    = "weight"
	keyStartedAt = "started_ms" // Unix time; 0: long ago

	stateReady    = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)
