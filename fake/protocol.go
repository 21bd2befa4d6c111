package fake

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Types of messages, the values of the key "msg".
const (
	msgHello    = "hello"    // first message of a proxy on a stream
	msgAgent    = "agent"    // first message of a collector on a connection
	msgProbe    = "probe"    // request of a proxy to a controller for an alive message
	msgAlive    = "alive"    // answer of a controller to a probe
	msgPush     = "push"     // one part of a push to a proxy
	msgAck      = "ack"      // acknowledgement of a push with a nonce
	msgDemand   = "demand"   // report of the number of requests that a proxy received
	msgOutcomes = "outcomes" // report of the outcomes of attempts at a backend
)

// probe asks a controller for an alive message.
type probe struct {
	Msg string `json:"msg"`
}

// agent is a collector's first message.
type agent struct {
	Zone string `json:"locality"`
	Msg  string `json:"msg"`
}

// hello is a proxy's first message.
type hello struct {
	Msg   string  `json:"msg"`
	Proxy int     `json:"node"`
	Zone  string  `json:"locality"`
	Rate  float64 `json:"w"`               // requests a second that the proxy normally receives
	Cold  bool    `json:"cold"`            // the proxy has not applied a push yet
	Fence bool    `json:"fence,omitempty"` // the proxy asks for the fencing tokens of owners
}

// ack acknowledges a push with a nonce, once the proxy has handled the push.
type ack struct {
	Msg     string  `json:"msg"`
	Proxy   int     `json:"node"`
	Nonce   int     `json:"nonce"`
	Latency float64 `json:"latency"` // latency that the proxy reports for the push, in ms
}

// demandReport reports how many requests of a class a proxy received in an interval.
type demandReport struct {
	Msg      string  `json:"msg"`
	Proxy    int     `json:"node"`
	Class    string  `json:"route"`
	Total    int     `json:"total"`
	Errors   int     `json:"errors"`
	Interval float64 `json:"interval"` // length of the reported interval, in ms
}

// outcomeReport reports the outcomes of the attempts that the proxies of a zone sent to a backend
// in an interval.
type outcomeReport struct {
	Msg      string  `json:"msg"`
	Zone     string  `json:"locality"`
	Backend  string  `json:"endpoint"`
	Total    int     `json:"total"`
	Errors   int     `json:"errors"`
	Latency  float64 `json:"rtt"`      // mean latency of the successful attempts, in ms
	Interval float64 `json:"interval"` // length of the reported interval, in ms
}

// pushPart is one message of a push. A push may have several messages; More is set in all except
// the last.
type pushPart struct {
	Msg       string   `json:"msg"`
	Token     uint64   `json:"token"`   // fencing token of the owner; 0 for a push without a token
	Classes   []string `json:"classes"` // classes that Full, Entries and Limit apply to; nil for all classes
	Full      bool     `json:"whole"`   // the part removes all earlier entries and admission limits of its classes
	Entries   [][2]any `json:"lines"`   // pairs of backend and weight; a weight of 0 removes the entry
	Limit     *float64 `json:"level"`   // admission limit in requests a second; nil to leave the limit unchanged
	Retry     int      `json:"retry"`   // retry policy; applied only together with Limit
	Withdrawn []string `json:"out"`     // backends that the proxy must not use any more
	Restored  []string `json:"back"`    // withdrawn backends that the proxy may use again
	Nonce     *int     `json:"ticket"`  // nonce that requests an acknowledgement; nil to request none
	More      bool     `json:"more"`    // further parts of the same push follow
}

// Retry policies in a push. A push may also have 0, for no retries.
const (
	retryIfNotExecuted = 1 // retry only if the attempt surely did not run; the default without an admission limit
	retryOnFailure     = 2 // retry after any failure, but a write only if the attempt surely did not run
)

// lines returns the cost of the part in a push channel, in lines, without MessageOverhead.
func (p pushPart) lines() int {
	n := len(p.Entries) + len(p.Withdrawn) + len(p.Restored)
	if p.Full {
		n++
	}
	if p.Limit != nil {
		n++
	}
	if p.Nonce != nil {
		n++
	}
	return n
}

const (
	frameHeaderSize = 4       // size in bytes of the header, which is the length of the body, big-endian
	maxFrameSize    = 1 << 20 // maximum size of a body, in bytes
)

var errInvalidPush = errors.New("fake: push with an unknown class or backend, or a weight that is not a number >= 0")

// frame encodes a message for a stream: the length of its JSON body, then the body.
func frame(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err) // cannot happen: every message type of this file can be encoded
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// readFrame reads one frame and returns its body.
func readFrame(r io.Reader) ([]byte, error) {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > maxFrameSize {
		return nil, fmt.Errorf("fake: frame of %d bytes, allowed are 1 to %d", size, maxFrameSize)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

// discoveryEntry is the entry of one backend in the endpoint list.
type discoveryEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   State   `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // start of the backend as Unix time in ms; 0 if the backend started long ago

	version int // version of the list in which the entry last changed
}

// discoveryAnswer is the body of an answer of discovery.
type discoveryAnswer struct {
	Version int              `json:"version"`
	Full    bool             `json:"full"` // true if Servers holds the full list, false if only the changed entries
	Servers []discoveryEntry `json:"servers"`
}

// State is the state of a backend in the endpoint list.
type State string

// States of a backend.
const (
	StateUp       State = "up"
	StateDraining State = "draining"
	StateRemoved  State = "removed"
)
