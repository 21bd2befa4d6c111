package distribution

// Message is one of the typed messages between a parent and a child. It is not modified after it was sent.
type Message interface {
	// Size estimates the bytes that the message takes on the wire, for the bounds on what is unconfirmed.
	Size() int
}

// Subscribe asks for a place below the receiver. It is the first message of a child on a new link, and sent again on
// the same link when the child needs a snapshot or other scopes.
type Subscribe struct {
	// Name is the one by which others dial the child.
	Name string `cbor:"1,keyasint,omitempty"`
	// Scopes are those that the child asks for.
	Scopes Scopes `cbor:"2,keyasint,omitempty"`
	// Version is what the child has.
	Version Version `cbor:"3,keyasint,omitempty"`
	// Digest is that of what the child has.
	Digest Digest `cbor:"4,keyasint,omitempty"`
	// WantSnapshot asks for a snapshot also where deltas would do: what the child has is in doubt, or of other scopes.
	WantSnapshot bool `cbor:"5,keyasint,omitempty"`
	// FanOut is how many children the sender would take itself; with none it is proposed to nobody as a parent.
	FanOut int `cbor:"6,keyasint,omitempty"`
	// Request numbers the requests of the child; the answer repeats it, so that the child knows which one it answers.
	Request uint64 `cbor:"7,keyasint,omitempty"`
}

// NeverCurrent is the age of a node that has not known its source to be current since it started.
const NeverCurrent Microseconds = -1

// Admitted grants a lease on a place.
type Admitted struct {
	// Lease is the µs without a Renew after which the place is free again.
	Lease Microseconds `cbor:"1,keyasint,omitempty"`
	// Version is what the parent has.
	Version Version `cbor:"2,keyasint,omitempty"`
	// Path holds the names from the voter down to the parent, which is the last.
	Path []string `cbor:"3,keyasint,omitempty"`
	// Age is the µs for which the parent has not known its source to be current; NeverCurrent if it never was.
	Age Microseconds `cbor:"4,keyasint,omitempty"`
	// Candidates are other possible parents.
	Candidates []string `cbor:"5,keyasint,omitempty"`
	// Request is that of the Subscribe that this answers.
	Request uint64 `cbor:"6,keyasint,omitempty"`
}

// RefusalReason says why a parent gives no place. Its numbers are those of the wire.
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

var refusalNames = [...]string{"none", "full", "busy", "not covered", "loop", "too deep", "empty", "malformed",
	"epoch conflict"}

// String names the reason, as log lines have it.
func (r RefusalReason) String() string { return enumName(refusalNames[:], int(r)) }

// Refused says that the receiver gets no place, or loses the one that it had.
type Refused struct {
	// Reason is never zero.
	Reason RefusalReason `cbor:"1,keyasint,omitempty"`
	// RetryAfter is the µs before the child may ask here again.
	RetryAfter Microseconds `cbor:"2,keyasint,omitempty"`
	// Candidates are parents that the child may ask instead.
	Candidates []string `cbor:"3,keyasint,omitempty"`
}

// Delta holds changes in the child's scopes, in order, each of them whole.
type Delta struct {
	// Epoch is that of all the changes.
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Previous is the revision at which the child must be for the changes to apply.
	Previous uint64 `cbor:"2,keyasint,omitempty"`
	// Revision is where the child is afterwards; revisions with nothing in its scopes are passed over.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Changes have revisions after Previous, up to Revision.
	Changes []Change `cbor:"4,keyasint,omitempty"`
	// Digest is that of the child's scopes at Revision.
	Digest Digest `cbor:"5,keyasint,omitempty"`
}

// SnapshotPiece is a part of the state in the child's scopes. The child builds the state up aside and installs it in
// one step after the last piece, if the digest matches.
type SnapshotPiece struct {
	// Version is that of the whole state.
	Version Version `cbor:"1,keyasint,omitempty"`
	// Index counts the pieces from 0 on, without a gap.
	Index int `cbor:"2,keyasint,omitempty"`
	// Last says that the state is complete with this piece.
	Last bool `cbor:"3,keyasint,omitempty"`
	// Entries each have their own revision and time of acceptance.
	Entries []Entry `cbor:"4,keyasint,omitempty"`
	// Horizon is that of the State; in the last piece only.
	Horizon uint64 `cbor:"5,keyasint,omitempty"`
	// Digest is that of the whole state; in the last piece only.
	Digest Digest `cbor:"6,keyasint,omitempty"`
}

// Heartbeat says that the parent is there, and moves the child past revisions with nothing in its scopes. Without an
// epoch it moves nothing: the child's deltas or snapshot are still due, or the parent is behind the child.
type Heartbeat struct {
	// Epoch is that of the revisions, or zero.
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Previous is as in Delta.
	Previous uint64 `cbor:"2,keyasint,omitempty"`
	// Revision is as in Delta.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Digest is that of the child's scopes at Revision.
	Digest Digest `cbor:"4,keyasint,omitempty"`
	// Path is as in Admitted.
	Path []string `cbor:"5,keyasint,omitempty"`
	// Age is as in Admitted.
	Age Microseconds `cbor:"6,keyasint,omitempty"`
	// Candidates are as in Admitted, in one of heartbeatsPerProposal heartbeats.
	Candidates []string `cbor:"7,keyasint,omitempty"`
	// Source is what the parent has.
	Source Version `cbor:"8,keyasint,omitempty"`
}

// Renew renews the child's lease. It answers heartbeats, so that a child that reads nothing loses its place, and
// larger amounts of deltas and pieces.
type Renew struct {
	// Version is what the child has.
	Version Version `cbor:"1,keyasint,omitempty"`
	// Received counts the messages of the parent on this link since its Admitted, that one included.
	Received uint64 `cbor:"2,keyasint,omitempty"`
}
