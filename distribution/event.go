package distribution

// enumName gives the name of an enumerated value.
func enumName(names []string, value int) string {
	if value < 0 || value >= len(names) {
		return "unknown"
	}
	return names[value]
}

// CloseReason says why a node has a link closed. Zero is the end of the connection itself. It does not go over the wire.
type CloseReason uint8

// Reasons to close a link.
const (
	CloseSilent         CloseReason = iota + 1 // the peer sent nothing for a lease
	CloseNotChosen                             // another parent admitted first
	CloseReplaced                              // the child subscribed anew on another link
	CloseRefused                               // the place was refused
	CloseTimedOut                              // dial, admission or subscription took too long
	CloseOutdatedParent                        // the parent sent an older version, or another's source is more current
	CloseLoop                                  // the node is among its own ancestors, or too deep
	CloseConflict                              // the parent has an epoch of the same number founded by others
	CloseNotCovered                            // the parent no longer covers the child's scopes
	CloseMalformed                             // a message breaks a rule
	CloseTooLarge                              // the state would pass the bound
)

var closeNames = [...]string{"none", "silent", "not chosen", "replaced", "refused", "timed out", "outdated parent",
	"loop", "conflict", "not covered", "malformed", "too large"}

// String names the reason, as log lines have it.
func (r CloseReason) String() string { return enumName(closeNames[:], int(r)) }

// EventKind says what an Event tells.
type EventKind uint8

// Kinds of events.
const (
	EventAdmitted          EventKind = iota + 1 // this node has a place below Peer
	EventRefusedBy                              // Peer refused this node a place, for Refusal
	EventParentLost                             // the parent Peer is gone or was left, for CloseReason
	EventChildAdmitted                          // Peer has a place below this node
	EventChildRefused                           // this node refused Peer a place, for Refusal
	EventChildLost                              // the child Peer is gone or was closed, for CloseReason
	EventGap                                    // a message of Peer does not follow what this node has
	EventWrongDigest                            // a message of Peer ends in another digest; nothing of it was applied
	EventOlderRefused                           // a message of Peer, or a change, is older than what this node has
	EventEpochConflict                          // Peer has another epoch with the same number; refused
	EventSnapshotSent                           // a snapshot to Peer is complete
	EventSnapshotInstalled                      // a snapshot of Peer was installed
	EventCompacted                              // changes up to Version have left the log
	EventMalformed                              // a message of Peer breaks a rule
	EventTooLarge                               // what Peer sent would pass the bound on the state; refused
	EventSourceStale                            // the source has not been known to be current for MaxStaleness
	EventSourceCurrent                          // it is again
)

var eventNames = [...]string{"none", "admitted", "refused by parent", "parent lost", "child admitted", "child refused",
	"child lost", "gap", "wrong digest", "older refused", "epoch conflict", "snapshot sent",
	"snapshot installed", "compacted", "malformed", "too large", "source stale", "source current"}

// String names the kind, as log lines have it.
func (k EventKind) String() string { return enumName(eventNames[:], int(k)) }

// Event is something for the host's log. The controller logs it (controller/distribution_log.go): each with revision= and
// epoch=; EventParentLost as msg=parent_lost with parent= and reason=, the text of the CloseReason or "connection closed";
// what concerns children, and EventCompacted, as msg=distribution_tree, and refused messages as
// msg=distribution_message_refused, with peer= and detail=, the text of the EventKind.
type Event struct {
	// Kind says what happened, and which of the other fields are set.
	Kind EventKind
	// Peer is the other node, if there is one.
	Peer string
	// Version is what this node has, or for EventOlderRefused what was refused.
	Version Version
	// Refusal is the reason of a refusal.
	Refusal RefusalReason
	// CloseReason is why a child or parent was lost.
	CloseReason CloseReason
}
