package distribution

import "errors"

// Message is one of the typed messages between a parent and a child.
type Message interface {
	// Size estimates the bytes that the message takes on the wire, for the bounds on what is under way.
	Size() int
}

// Subscribe asks for a place below the receiver. It is the first message of a child on a new link, and sent again on
// the same link when the child needs a snapshot.
type Subscribe struct {
	Name   string `cbor:"1,keyasint,omitempty"`
	Scopes Scopes `cbor:"2,keyasint,omitempty"`
	// Version and Digest are what the child has.
	Version Version `cbor:"3,keyasint,omitempty"`
	Digest  Digest  `cbor:"4,keyasint,omitempty"`
	// Whole asks for a snapshot also where deltas would do: what the child has is in doubt, or of other scopes.
	Whole bool `cbor:"5,keyasint,omitempty"`
	// FanOut is how many children the sender would take itself; with none it is proposed to nobody as a parent.
	FanOut int `cbor:"6,keyasint,omitempty"`
	// Request numbers the requests of the child; the answer repeats it, so that the child knows which one it answers.
	Request uint64 `cbor:"7,keyasint,omitempty"`
}

// Admitted grants a lease on a place.
type Admitted struct {
	Lease   int64   `cbor:"1,keyasint,omitempty"` // µs without a Renew after which the place is free again
	Version Version `cbor:"2,keyasint,omitempty"` // what the parent has
	// Path holds the names from the voter down to the parent, which is the last.
	Path []string `cbor:"3,keyasint,omitempty"`
	// Age is for how many µs the parent has not known its source to be current, NeverCurrent if it never was.
	Age        int64    `cbor:"4,keyasint,omitempty"`
	Candidates []string `cbor:"5,keyasint,omitempty"` // other possible parents
	Request    uint64   `cbor:"6,keyasint,omitempty"` // of the Subscribe that this answers
}

// NeverCurrent is the age of a node that has not known its source to be current since it started.
const NeverCurrent int64 = -1

// RefusalReason says why a parent gives no place.
type RefusalReason uint8

// Reasons of a refusal.
const (
	RefusedFull       RefusalReason = iota + 1 // every place of the fan-out is taken
	RefusedBusy                                // as many snapshots as allowed are under way
	RefusedNotCovered                          // the parent does not have all scopes that were asked for
	RefusedLoop                                // the child is an ancestor of the parent
	RefusedTooDeep                             // the tree would be deeper than its bound
	RefusedEmpty                               // the parent has no configuration yet
	RefusedMalformed                           // the request breaks a rule of the messages
	RefusedConflict                            // the child has an epoch of the same number founded by others
)

func (r RefusalReason) String() string {
	return nameOf(refusalNames[:], int(r))
}

var refusalNames = [...]string{"none", "full", "busy", "not covered", "loop", "too deep", "empty", "malformed",
	"epoch conflict"}

// Refused says that the receiver gets no place, or loses the one that it had.
type Refused struct {
	Reason     RefusalReason `cbor:"1,keyasint,omitempty"`
	RetryAfter int64         `cbor:"2,keyasint,omitempty"` // µs before the child may ask here again
	Candidates []string      `cbor:"3,keyasint,omitempty"` // whom it may ask instead
}

// Delta carries changes in the child's scopes, in order, each of them whole.
type Delta struct {
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Previous is the revision at which the child must be for the changes to fit.
	Previous uint64 `cbor:"2,keyasint,omitempty"`
	// Revision is where the child is afterwards; revisions with nothing in its scopes are passed over.
	Revision uint64   `cbor:"3,keyasint,omitempty"`
	Changes  []Change `cbor:"4,keyasint,omitempty"`
	Digest   Digest   `cbor:"5,keyasint,omitempty"` // of the child's scopes at Revision
}

// SnapshotPiece is a part of the whole state in the child's scopes. The child builds the state up aside and takes it
// over in one step after the last piece, if the digest fits.
type SnapshotPiece struct {
	Version Version `cbor:"1,keyasint,omitempty"`
	Index   int     `cbor:"2,keyasint,omitempty"` // from 0 on, without gap
	Last    bool    `cbor:"3,keyasint,omitempty"`
	Entries []Entry `cbor:"4,keyasint,omitempty"` // each with its own revision and time of acceptance
	Horizon uint64  `cbor:"5,keyasint,omitempty"` // as in State; in the last piece
	Digest  Digest  `cbor:"6,keyasint,omitempty"` // of the whole; in the last piece
}

// Heartbeat says that the parent is there, and moves the child past revisions with nothing in its scopes. Without an
// epoch it moves nothing: the child's deltas or snapshot are still due, or the parent is behind the child.
type Heartbeat struct {
	Epoch      Epoch    `cbor:"1,keyasint,omitempty"`
	Previous   uint64   `cbor:"2,keyasint,omitempty"` // as in Delta
	Revision   uint64   `cbor:"3,keyasint,omitempty"` // as in Delta
	Digest     Digest   `cbor:"4,keyasint,omitempty"`
	Path       []string `cbor:"5,keyasint,omitempty"` // as in Admitted
	Age        int64    `cbor:"6,keyasint,omitempty"` // as in Admitted
	Candidates []string `cbor:"7,keyasint,omitempty"` // only now and then
	// Source is what the parent has.
	Source Version `cbor:"8,keyasint,omitempty"`
}

// Renew renews the child's lease. It answers heartbeats, so that a child that reads nothing loses its place, and
// larger amounts of deltas and pieces.
type Renew struct {
	Version  Version `cbor:"1,keyasint,omitempty"`
	Received uint64  `cbor:"2,keyasint,omitempty"` // messages of the parent on this link so far
}

// Envelope is a message as it is encoded: just one of the fields is set.
type Envelope struct {
	Subscribe     *Subscribe     `cbor:"1,keyasint,omitempty"`
	Admitted      *Admitted      `cbor:"2,keyasint,omitempty"`
	Refused       *Refused       `cbor:"3,keyasint,omitempty"`
	Delta         *Delta         `cbor:"4,keyasint,omitempty"`
	SnapshotPiece *SnapshotPiece `cbor:"5,keyasint,omitempty"`
	Heartbeat     *Heartbeat     `cbor:"6,keyasint,omitempty"`
	Renew         *Renew         `cbor:"7,keyasint,omitempty"`
}

// ErrEnvelope says that an envelope held no message, or several.
var ErrEnvelope = errors.New("distribution: an envelope must hold just one message")

// Wrap gives the message's envelope.
func Wrap(m Message) Envelope {
	switch m := m.(type) {
	case *Subscribe:
		return Envelope{Subscribe: m}
	case *Admitted:
		return Envelope{Admitted: m}
	case *Refused:
		return Envelope{Refused: m}
	case *Delta:
		return Envelope{Delta: m}
	case *SnapshotPiece:
		return Envelope{SnapshotPiece: m}
	case *Heartbeat:
		return Envelope{Heartbeat: m}
	case *Renew:
		return Envelope{Renew: m}
	}
	return Envelope{}
}

// Message gives the message in the envelope.
func (e Envelope) Message() (Message, error) {
	var found []Message
	if e.Subscribe != nil {
		found = append(found, e.Subscribe)
	}
	if e.Admitted != nil {
		found = append(found, e.Admitted)
	}
	if e.Refused != nil {
		found = append(found, e.Refused)
	}
	if e.Delta != nil {
		found = append(found, e.Delta)
	}
	if e.SnapshotPiece != nil {
		found = append(found, e.SnapshotPiece)
	}
	if e.Heartbeat != nil {
		found = append(found, e.Heartbeat)
	}
	if e.Renew != nil {
		found = append(found, e.Renew)
	}
	if len(found) != 1 {
		return nil, ErrEnvelope
	}
	return found[0], nil
}
