package controller

import (
	"errors"
	"net"
	"os"
)

// Reasons for refusing a connection. The peer receives the text as the reason of an error message,
// so these texts are part of the wire protocol and must not change.
var (
	// errUnreadable: a frame length is invalid, or a frame is not a JSON object.
	errUnreadable = errors.New("cannot be read")
	// errIdentifyTimeout: the connection did not identify itself within limits.identifyTimeout after
	// its accept, or before its eviction.
	errIdentifyTimeout = errors.New("it never said who it is")
	// errUnacceptable: before identification, a message has a duplicate key, or an unknown proxy or
	// zone.
	errUnacceptable = errors.New("it cannot be taken")
	// errNoRoom: limits.maxIdentified identified connections exist already.
	errNoRoom = errors.New("no socket is left for it")
	// errSuperseded: the proxy has already identified itself on a newer connection.
	errSuperseded = errors.New("a newer connection came before it spoke")
	// errNotIdentified: a message other than a probe, hello or agent arrived before identification.
	errNotIdentified = errors.New("it must say first who it is")
)

// Reasons for refusing an identified connection too. The peer receives the text like those above.
var (
	// errMessageStalled: a message was not complete in time, while others waited for its memory.
	errMessageStalled = errors.New("its message was not complete in time, and others wait")
	// errMessageTooLarge: the configured memory does not suffice for the message.
	errMessageTooLarge = errors.New("its message is too large for the memory of this controller")
)

// isRefusal reports whether an identified connection is told the reason of its end: this controller
// does not take what the peer has sent.
func isRefusal(err error) bool {
	return errors.Is(err, errUnreadable) || errors.Is(err, errMessageStalled) || errors.Is(err, errMessageTooLarge)
}

// Reasons for closing a connection.
var (
	// errOutboxFull: limits.outboxSize messages wait in the connection's outbox. An unidentified
	// connection receives this text as the reason of an error message, so it is part of the wire
	// protocol too.
	errOutboxFull = errors.New("too many messages wait for it")
	// errClosed: send was called on a connection that is closed already.
	errClosed = errors.New("the connection is closed")
	// errReplaced: the proxy has a newer connection, or newer collectors have filled the
	// limits.collectorsPerZone connections of the zone.
	errReplaced = errors.New("replaced by a newer connection")
	// errSilent: the proxy has been silent for longer than limits.silenceTimeout or
	// limits.ackLagTimeout, so its connection is probably half-open.
	errSilent = errors.New("no message, and a push unacknowledged, for longer than the timeout")
)

// errTooManyParts means that a message to a proxy needs more parts than limits.maxParts.
var errTooManyParts = errors.New("message to a proxy exceeds the maximum number of parts")

// Reasons why a call to discovery failed.
var (
	errMalformedList  = errors.New("invalid endpoint list")
	errAddressChanged = errors.New("the discovery address has changed")
)

// errTimeout is the error of a connection's reads and writes after their deadline.
var errTimeout = os.ErrDeadlineExceeded

// reasonOf returns the text of an error. It omits the addresses of a network error, as they are of
// no use to the peer.
func reasonOf(err error) string {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Op + ": " + operation.Err.Error()
	}
	return err.Error()
}
