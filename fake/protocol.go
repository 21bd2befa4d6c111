package fake

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
)

// Words of the protocol, in "msg".
const (
	msgHello    = "hello"    // a proxy's first message
	msgAgent    = "agent"    // a collector's first message
	msgProbe    = "probe"    // asks for any answer
	msgAlive    = "alive"    // that answer
	msgPush     = "push"     // a part of a push
	msgAck      = "ack"      // a push with a nonce is applied
	msgDemand   = "demand"   // requests that came to a proxy
	msgOutcomes = "outcomes" // what proxies met at a backend
)

// probe asks for any answer.
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
	Rate  float64 `json:"w"`               // requests a second that come to it as a rule
	Cold  bool    `json:"cold"`            // it holds nothing
	Fence bool    `json:"fence,omitempty"` // it asks for owners' tokens
}

// ack tells that a push with a nonce is applied.
type ack struct {
	Msg     string  `json:"msg"`
	Proxy   int     `json:"node"`
	Nonce   int     `json:"nonce"`
	Latency float64 `json:"latency"` // ms
}

// demandReport tells how many requests of a class came to a proxy.
type demandReport struct {
	Msg      string  `json:"msg"`
	Proxy    int     `json:"node"`
	Class    string  `json:"route"`
	Total    int     `json:"total"`
	Errors   int     `json:"errors"`
	Interval float64 `json:"interval"` // ms
}

// outcomeReport tells what the proxies of a zone met at a backend.
type outcomeReport struct {
	Msg      string  `json:"msg"`
	Zone     string  `json:"locality"`
	Backend  string  `json:"endpoint"`
	Total    int     `json:"total"`
	Errors   int     `json:"errors"`
	Latency  float64 `json:"rtt"`      // mean of those that succeeded, ms
	Interval float64 `json:"interval"` // ms
}

// pushPart is one message of a push. A push may come in several, all of which but the last have More.
type pushPart struct {
	Msg       string   `json:"msg"`
	Token     uint64   `json:"token"`   // the owner's; 0 for none
	Classes   []string `json:"classes"` // that it is for; none for all
	Full      bool     `json:"whole"`   // takes the place of what was there
	Entries   [][2]any `json:"lines"`   // backend and weight, where 0 removes the entry
	Limit     *float64 `json:"level"`   // requests a second that are admitted
	Retry     int      `json:"retry"`   // goes with a limit
	Withdrawn []string `json:"out"`     // backends to use no more
	Restored  []string `json:"back"`    // and to use again
	Nonce     *int     `json:"ticket"`  // to be acknowledged
	More      bool     `json:"more"`
}

// Retry policies that a push may have.
const (
	retryIfNotExecuted = 1 // after proof that nothing ran; also where no push says otherwise
	retryOnFailure     = 2 // and more: after any failure, where a second run does no harm
)

// lines is what the part costs in a push channel.
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
	frameHeaderSize = 4       // bytes that hold the length, the highest first
	maxFrameSize    = 1 << 20 // bytes
)

var errUnusable = errors.New("fake: a push that cannot be used")

// frame encodes a message as it goes onto a stream.
func frame(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err) // only types of this file are given
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// readFrame reads the body of one message.
func readFrame(r io.Reader) ([]byte, error) {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > maxFrameSize {
		return nil, errUnusable
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

// discoveryEntry is one backend as discovery writes it.
type discoveryEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   State   `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // since 1970; 0 for long ago

	version int // of the list in which it last changed
}

// discoveryAnswer is the body of discovery's answers.
type discoveryAnswer struct {
	Version int              `json:"version"`
	Full    bool             `json:"full"` // all entries; otherwise those that have changed
	Servers []discoveryEntry `json:"servers"`
}

// State is what discovery says of a backend.
type State string

// States of a backend.
const (
	StateUp       State = "up"
	StateDraining State = "draining"
	StateRemoved  State = "removed"
)
