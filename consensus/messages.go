package consensus

import (
	"io"
	"net"
	"time"

	"wheelrill/distribution"
	"wheelrill/internal/frame"
	"wheelrill/ownership"
)

// connPurpose is the purpose of a connection, which is the first byte that the caller sends on it.
type connPurpose byte

const (
	// connRaft is for raft's own messages. Before them the caller sends the ID of the member that
	// it calls, because a process that has lost its votes has a new ID.
	connRaft connPurpose = 'r'
	// connCalls is for calls: a sequence of memberRequest and memberResponse follows.
	connCalls connPurpose = 'c'
)

// maxCallBytes is the maximum size of one encoded memberRequest or memberResponse.
const maxCallBytes = 4 << 20

// memberRequest is a call to a member. The field that is set gives the kind of the call; ID and
// Name are set together. Key numbers must never be changed or reused.
type memberRequest struct {
	Entry  *ownership.Entry `cbor:"1,keyasint,omitempty"` // the entry to append to the record
	Status bool             `cbor:"2,keyasint,omitempty"` // requests ID, HasRecord and Leader
	// Name and ID ask for the admission of the member Name under ID.
	Name string `cbor:"3,keyasint,omitempty"`
	ID   string `cbor:"4,keyasint,omitempty"`
	// Subscribe requests a subscription: after the response, messages of package distribution
	// follow in both directions until the connection ends.
	Subscribe bool                   `cbor:"5,keyasint,omitempty"`
	Change    *distribution.Proposal `cbor:"6,keyasint,omitempty"` // the change to accept
}

// memberResponse is the answer to a memberRequest.
type memberResponse struct {
	Accepted  bool   `cbor:"1,keyasint,omitempty"`
	Reason    string `cbor:"2,keyasint,omitempty"` // why the call is not accepted
	ID        string `cbor:"3,keyasint,omitempty"`
	HasRecord bool   `cbor:"4,keyasint,omitempty"` // the member is part of a record
	Leader    string `cbor:"5,keyasint,omitempty"` // name of the leader; empty if unknown

	Version *distribution.Version `cbor:"6,keyasint,omitempty"` // version after an accepted change
	Refusal refusal               `cbor:"7,keyasint,omitempty"` // class of Reason for a refused Change; otherwise 0
}

// refusal is the class of reasons for which a change is not accepted.
type refusal uint8

const (
	refusedRetry           refusal = iota + 1 // may be proposed again: not the leader, or the outcome is unknown
	refusedVersionMismatch                    // the record is not at the base of the proposal
	refusedPermanently                        // the record would refuse the change again
)

// Reasons on the wire for refusing a call.
const (
	reasonNotLeader     = "not the leader"
	reasonNotMember     = "its certificate names no member"
	reasonOtherMember   = "it may not speak for that member"
	reasonNoSubscribers = "nobody can subscribe here"
)

// send writes one message, preceded by its length.
func send(to io.Writer, message any) error { return frame.Write(to, message) }

// receive reads one message of at most maxCallBytes.
func receive(from io.Reader, into any) error { return frame.Read(from, maxCallBytes, into) }

// roundTrip sends a call on a connection and reads the response, within callTimeout.
func roundTrip(conn net.Conn, request memberRequest) (response memberResponse, err error) {
	conn.SetDeadline(time.Now().Add(callTimeout))
	if err := send(conn, request); err != nil {
		return response, err
	}
	err = receive(conn, &response)
	return response, err
}
