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
	// connRaft is for raft's own messages. Before these messages, the caller sends the ID of the
	// member that it calls, because a process that has lost its votes has a new ID.
	connRaft connPurpose = 'r'
	// connCalls is for calls: the caller sends memberRequests, and receives a memberResponse to
	// each.
	connCalls connPurpose = 'c'
)

// maxCallBytes is the maximum size of one encoded memberRequest or memberResponse.
const maxCallBytes = 4 << 20

// memberRequest is a call to a member. The field that is set gives the kind of the call; ID and
// Name are set together. Key numbers must never be changed or reused.
type memberRequest struct {
	Entry  *ownership.Entry `cbor:"1,keyasint,omitempty"` // the ownership entry to append to raft's log
	Status bool             `cbor:"2,keyasint,omitempty"` // requests a response with ID, HasRecord and Leader
	// Name and ID request that the member Name is admitted to the replicated record under ID.
	Name string `cbor:"3,keyasint,omitempty"`
	ID   string `cbor:"4,keyasint,omitempty"`
	// Subscribe requests a subscription: after the response, messages of package distribution
	// follow in both directions until the connection ends.
	Subscribe bool                   `cbor:"5,keyasint,omitempty"`
	Change    *distribution.Proposal `cbor:"6,keyasint,omitempty"` // the proposed change of the configuration record
}

// memberResponse is the answer to a memberRequest.
type memberResponse struct {
	Accepted  bool   `cbor:"1,keyasint,omitempty"`
	Reason    string `cbor:"2,keyasint,omitempty"` // why the call is refused; empty if the call is accepted
	ID        string `cbor:"3,keyasint,omitempty"`
	HasRecord bool   `cbor:"4,keyasint,omitempty"` // the answering member is part of a replicated record
	Leader    string `cbor:"5,keyasint,omitempty"` // name of the leader; empty if the answering member knows no leader

	// Version is the version of the configuration record after an accepted Change.
	Version *distribution.Version `cbor:"6,keyasint,omitempty"`
	// Refusal is the class of Reason if a Change is refused, and otherwise 0.
	Refusal refusal `cbor:"7,keyasint,omitempty"`
}

// refusal is the class of reasons for which a change is not accepted.
type refusal uint8

const (
	// refusedRetry means that the change may be proposed again: the answering member is not the
	// leader, or the outcome is unknown.
	refusedRetry refusal = iota + 1
	// refusedVersionMismatch means that the configuration record is not at the base version of the
	// proposal.
	refusedVersionMismatch
	// refusedPermanently means that the configuration record refuses the change, and would refuse
	// the same change again.
	refusedPermanently
)

// Values of memberResponse.Reason for refused calls. They are sent on the wire.
const (
	reasonNotLeader     = "not the leader"
	reasonNotMember     = "its certificate names no member"
	reasonOtherMember   = "it may not speak for that member"
	reasonNoSubscribers = "nobody can subscribe here"
	reasonNoRoom        = "too many connections are open"
	reasonTooLarge      = "its call is too large for the memory of this member"
	reasonStalled       = "its call was not complete in time, and others wait"
)

// maxFirstBytes is the maximum size of a message that has to come first on a connection, before its
// caller is served.
const maxFirstBytes = 4 << 10

// send writes one message, preceded by its length.
func send(to io.Writer, message any) error { return frame.Write(to, message) }

// receive reads one message of at most maxCallBytes.
func receive(from io.Reader, into any) error { return frame.Read(from, maxCallBytes, into) }

// receiveFirst reads one message of at most maxFirstBytes.
func receiveFirst(from io.Reader, into any) error { return frame.Read(from, maxFirstBytes, into) }

// roundTrip sends a call on a connection and reads the response, within callTimeout.
func roundTrip(conn net.Conn, request memberRequest) (response memberResponse, err error) {
	conn.SetDeadline(time.Now().Add(callTimeout))
	if err := send(conn, request); err != nil {
		return response, err
	}
	err = receive(conn, &response)
	return response, err
}
