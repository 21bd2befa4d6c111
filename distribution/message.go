package distribution

// Message is one of the typed messages between a parent and a child. A message is not modified
// after it was sent.
type Message interface {
	// Size estimates the number of bytes of the message on the wire, for the bounds on unconfirmed
	// bytes.
	Size() int
}

// Subscribe asks the receiver for a place as its child. It is the first message of a child on a new
// link. The child sends it again on the same link to recover from a gap or a wrong digest, or to
// subscribe to other scopes.
type Subscribe struct {
	// Name is the name under which other nodes dial the child.
	Name string `cbor:"1,keyasint,omitempty"`
	// Scopes are the scopes that the child subscribes to.
	Scopes Scopes `cbor:"2,keyasint,omitempty"`
	// Version is the version that the child holds, or its Config.Floor if that is newer.
	Version Version `cbor:"3,keyasint,omitempty"`
	// Digest is the digest of the entries that the child holds.
	Digest Digest `cbor:"4,keyasint,omitempty"`
	// WantSnapshot asks for a snapshot even where deltas would suffice: the child held a wrong
	// digest, holds other scopes than it subscribes to, or holds less than its Config.Floor.
	WantSnapshot bool `cbor:"5,keyasint,omitempty"`
	// FanOut is the number of children that the sender accepts; a sender with zero is not proposed
	// as a parent.
	FanOut int `cbor:"6,keyasint,omitempty"`
	// Request numbers the requests of the child. The answer repeats the number, so that the child
	// can match the answer to the request.
	Request uint64 `cbor:"7,keyasint,omitempty"`
}

// NeverCurrent is the Age of a node whose source has not been known to be current since the node
// started.
const NeverCurrent Microseconds = -1

// Admitted grants the child a place for the time of a lease.
type Admitted struct {
	// Lease is the time in µs without a Renew after which the parent removes the child.
	Lease Microseconds `cbor:"1,keyasint,omitempty"`
	// Version is the version that the parent holds.
	Version Version `cbor:"2,keyasint,omitempty"`
	// Path holds the names of the nodes from the voter down to the parent, which is the last.
	Path []string `cbor:"3,keyasint,omitempty"`
	// Age is the time in µs since the configuration of the parent was last known to equal its
	// source, the record of the voters; NeverCurrent if it never was.
	Age Microseconds `cbor:"4,keyasint,omitempty"`
	// Candidates are the names of other possible parents.
	Candidates []string `cbor:"5,keyasint,omitempty"`
	// Request is the Request of the Subscribe that this message answers.
	Request uint64 `cbor:"6,keyasint,omitempty"`
}

// RefusalReason is the reason for which a parent refuses a place. Its numbers are sent on the wire.
type RefusalReason uint8

// Reasons of a refusal.
const (
	RefusedFull       RefusalReason = iota + 1 // the parent already has Limits.FanOut children
	RefusedBusy                                // the parent already has Limits.MaxSnapshots snapshots under way or due
	RefusedNotCovered                          // the parent does not cover all requested scopes
	RefusedLoop                                // the child is an ancestor of the parent, or the parent itself
	RefusedTooDeep                             // the tree would be deeper than Limits.MaxDepth
	RefusedEmpty                               // the parent has no configuration yet
	RefusedMalformed                           // the name or the scopes of the request are invalid
	RefusedConflict                            // the child's epoch has the parent's epoch number and another identity
)

var refusalNames = [...]string{"none", "full", "busy", "not covered", "loop", "too deep", "empty", "malformed",
	"epoch conflict"}

// String returns the text that stands for the reason in log lines.
func (r RefusalReason) String() string { return enumName(refusalNames[:], int(r)) }

// Refused denies the receiver a place, or revokes the place that it has.
type Refused struct {
	// Reason states why the receiver gets no place; it is never zero.
	Reason RefusalReason `cbor:"1,keyasint,omitempty"`
	// RetryAfter is the time in µs before the child may ask the sender again.
	RetryAfter Microseconds `cbor:"2,keyasint,omitempty"`
	// Candidates are the names of other parents that the child may ask.
	Candidates []string `cbor:"3,keyasint,omitempty"`
}

// Delta holds changes in the child's scopes, sorted by revision. No change is split between two
// deltas.
type Delta struct {
	// Epoch is the epoch of Previous, of Revision and of all changes.
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Previous is the revision that the child must hold for the changes to apply.
	Previous uint64 `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the child after the changes; revisions without entries in its
	// scopes are skipped.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Changes have revisions after Previous, up to Revision.
	Changes []Change `cbor:"4,keyasint,omitempty"`
	// Digest is the digest of the entries in the child's scopes at Revision.
	Digest Digest `cbor:"5,keyasint,omitempty"`
}

// SnapshotPiece is one part of a snapshot, the complete state in the child's scopes. The child
// collects the pieces separately from its current state, and installs the new state in one step
// after the last piece if the digest matches.
type SnapshotPiece struct {
	// Version is the version of the parent's state when the snapshot began; it is the same in all
	// pieces.
	Version Version `cbor:"1,keyasint,omitempty"`
	// Index numbers the pieces consecutively from 0.
	Index int `cbor:"2,keyasint,omitempty"`
	// Last marks the piece that completes the state.
	Last bool `cbor:"3,keyasint,omitempty"`
	// Entries include tombstones; each entry states its revision and time of acceptance.
	Entries []Entry `cbor:"4,keyasint,omitempty"`
	// Horizon is the revision after which no tombstone is missing among the entries of all pieces;
	// it is set only in the last piece.
	Horizon uint64 `cbor:"5,keyasint,omitempty"`
	// Digest is the digest of the entries of all pieces; it is set only in the last piece.
	Digest Digest `cbor:"6,keyasint,omitempty"`
}

// Heartbeat shows that the parent is running, and advances the child past revisions without entries
// in its scopes. A heartbeat with a zero epoch does not advance the child: deltas or a snapshot are
// still due, or the parent is behind the child.
type Heartbeat struct {
	// Epoch is the epoch of Previous and Revision; zero if the heartbeat does not advance the child.
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Previous is the revision that the child must hold for the heartbeat to advance it.
	Previous uint64 `cbor:"2,keyasint,omitempty"`
	// Revision is the revision to which the heartbeat advances the child.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Digest is the digest of the entries in the child's scopes at Revision.
	Digest Digest `cbor:"4,keyasint,omitempty"`
	// Path holds the names of the nodes from the voter down to the parent, which is the last.
	Path []string `cbor:"5,keyasint,omitempty"`
	// Age is the time in µs since the configuration of the parent was last known to equal its
	// source, the record of the voters; NeverCurrent if it never was.
	Age Microseconds `cbor:"6,keyasint,omitempty"`
	// Candidates are the names of other possible parents; they are set in one of
	// heartbeatsPerProposal heartbeats.
	Candidates []string `cbor:"7,keyasint,omitempty"`
	// Source is the version that the parent holds.
	Source Version `cbor:"8,keyasint,omitempty"`
}

// Renew renews the child's lease and confirms messages. A child sends it as the answer to a
// heartbeat, so that a child that reads nothing loses its place, and after each
// Limits.Window/renewsPerWindow bytes from the parent.
type Renew struct {
	// Version is the version that the child holds.
	Version Version `cbor:"1,keyasint,omitempty"`
	// Received is the number of messages that the child has received from the parent on this link
	// since the parent's last Admitted, including that Admitted.
	Received uint64 `cbor:"2,keyasint,omitempty"`
}
