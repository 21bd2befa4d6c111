package controller

import (
	"errors"
	"net"
	"os"
)

// Why a connection is refused. The texts stand in the reason of the error message that its peer gets, so they are part of the wire.
var (
	errUnreadable      = errors.New("cannot be read")
	errIdentifyTimeout = errors.New("it never said who it is")
	errUnacceptable    = errors.New("it cannot be taken")
	errNoRoom          = errors.New("no socket is left for it")
	errSuperseded      = errors.New("a newer connection came before it spoke")
	errNotIdentified   = errors.New("it must say first who it is")
)

// Why a connection is closed that was not refused.
var (
	errOutboxFull = errors.New("too many messages wait for it")
	errClosed     = errors.New("it has ended")
	errReplaced   = errors.New("a newer connection took its place")
	errSilent     = errors.New("it is silent and leaves pushes unacknowledged")
)

// Why a message to a proxy cannot be written.
var errTooManyParts = errors.New("more parts than one message may have")

// Why a call of discovery failed.
var (
	errMalformedList  = errors.New("not a list")
	errAddressChanged = errors.New("it is followed elsewhere by now")
)

// errTimeout is what a connection's reads and writes give once their deadline has passed.
var errTimeout = os.ErrDeadlineExceeded

// reasonOf is what went wrong, without addresses: they say nothing to the peer.
func reasonOf(err error) string {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Op + ": " + operation.Err.Error()
	}
	return err.Error()
}
