package consensus

import (
	"io"
	"net"
	"time"

	"wheelrill/distribution"
	"wheelrill/internal/frame"
	"wheelrill/ownership"
)

// connPurpose is what a connection is for: its first byte.
type connPurpose byte

const (
	connRaft  connPurpose = 'r' // raft's own messages follow the ID that is meant: a process that has forgotten its votes has another
	connCalls connPurpose = 'c' // a sequence of memberRequest and memberResponse
)

// maxCallBytes bounds one memberRequest or memberResponse.
const maxCallBytes = 4 << 20

// memberRequest is a call between members: of one kind, which is the field that is set; ID and Name go together. Numbers of
// keys are never changed or used again.
type memberRequest struct {
	Entry  *ownership.Entry `cbor:"1,keyasint,omitempty"` // to be appended to the record
	Status bool             `cbor:"2,keyasint,omitempty"` // asks for ID, HasRecord and Leader
	Name   string           `cbor:"3,keyasint,omitempty"` // with ID: this member asks to be admitted under that ID
	ID     string           `cbor:"4,keyasint,omitempty"`
	// Subscribe: the messages of package distribution follow the response, both ways, until the connection ends.
	Subscribe bool                   `cbor:"5,keyasint,omitempty"`
	Change    *distribution.Proposal `cbor:"6,keyasint,omitempty"` // to be accepted by the record
}

// memberResponse answers a memberRequest.
type memberResponse struct {
	Accepted  bool   `cbor:"1,keyasint,omitempty"`
	Why       string `cbor:"2,keyasint,omitempty"` // it was not accepted
	ID        string `cbor:"3,keyasint,omitempty"`
	HasRecord bool   `cbor:"4,keyasint,omitempty"` // it is part of a record
	Leader    string `cbor:"5,keyasint,omitempty"` // name of the leader that it knows

	Version *distribution.Version `cbor:"6,keyasint,omitempty"` // of an accepted change
	Refusal refusal               `cbor:"7,keyasint,omitempty"` // of a change
}

// refusal says why a change was not accepted.
type refusal uint8

const (
	refusedRetry       refusal = iota + 1 // not the leader, or it is not known whether it will be accepted yet
	refusedBaseMoved                      // the record is not at the base of the proposal
	refusedPermanently                    // the record refuses it however often it comes
)

// Reasons on the wire for what is not accepted.
const (
	whyNotLeader     = "not the leader"
	whyNotMember     = "its certificate names no member"
	whyNotThatMember = "it may not speak for that member"
	whyNoSubscribers = "nobody can subscribe here"
)

// send writes one message with its length before it.
func send(to io.Writer, message any) error { return frame.Write(to, message) }

// receive reads one message.
func receive(from io.Reader, into any) error { return frame.Read(from, maxCallBytes, into) }

// roundTrip makes one call on a connection, within callTimeout.
func roundTrip(conn net.Conn, request memberRequest) (response memberResponse, err error) {
	conn.SetDeadline(time.Now().Add(callTimeout))
	if err := send(conn, request); err != nil {
		return response, err
	}
	err = receive(conn, &response)
	return response, err
}
