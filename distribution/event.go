package distribution

// enumName returns the name of an enumerated value, or "unknown" for a value out of range.
func enumName(names []string, value int) string {
	if value < 0 || value >= len(names) {
		return "unknown"
	}
	return names[value]
}

// CloseReason is the reason for which a node closes a link. Zero means that the connection ended
// and the node did not close it. The reason is not sent on the wire.
type CloseReason uint8

// Reasons to close a link.
const (
	CloseSilent         CloseReason = iota + 1 // no message or Renew within a lease, or too many unconfirmed messages
	CloseNotChosen                             // another peer admitted first, or the place is no better than the current
	CloseReplaced                              // the child subscribed again on another link
	CloseRefused                               // the parent refused the child a place, or revoked the place
	CloseTimedOut                              // no admission, answer or Subscribe arrived within Limits.Handshake
	CloseOutdatedParent                        // the parent sent an older version, or another parent is more current
	CloseLoop                                  // the parent is below the node, or the node would be too deep
	CloseConflict                              // the parent's epoch has the node's epoch number and another identity
	CloseNotCovered                            // this node no longer covers a scope to which its child subscribes
	CloseMalformed                             // a message breaks a rule, or recovery failed maxRecoveries times
	CloseTooLarge                              // a message would make the state exceed Limits.StateBytes
)

var closeNames = [...]string{"none", "silent", "not chosen", "replaced", "refused", "timed out", "outdated parent",
	"loop", "conflict", "not covered", "malformed", "too large"}

// String returns the text that stands for the reason in log lines.
func (r CloseReason) String() string { return enumName(closeNames[:], int(r)) }

// EventKind identifies the occurrence that an Event reports, such as a lost parent.
type EventKind uint8

// Kinds of events.
const (
	EventAdmitted          EventKind = iota + 1 // this node has a place below Peer
	EventRefusedBy                              // Peer refused this node a place; Refusal is the reason
	EventParentLost                             // the link to the parent Peer ended or was closed; see CloseReason
	EventChildAdmitted                          // Peer has a place below this node
	EventChildRefused                           // this node refused Peer a place; Refusal is the reason
	EventChildLost                              // the link to the child Peer ended or was closed; see CloseReason
	EventGap                                    // a message from Peer does not follow the version of this node
	EventWrongDigest                            // the content after a message from Peer would not have the stated digest
	EventOlderRefused                           // a message, change or state no newer than the node's version was refused
	EventEpochConflict                          // Peer's epoch was refused: same number as this node's, other identity
	EventSnapshotSent                           // the last piece of a snapshot was sent to Peer
	EventSnapshotInstalled                      // a snapshot from Peer was installed
	EventCompacted                              // changes up to Version were dropped from the log
	EventMalformed                              // a message from Peer breaks a rule
	EventTooLarge                               // a message from Peer that would exceed Limits.StateBytes was refused
	EventSourceStale                            // Status.Age exceeds Limits.MaxStaleness
	EventSourceCurrent                          // Status.Age is within Limits.MaxStaleness again
)

var eventNames = [...]string{"none", "admitted", "refused by parent", "parent lost", "child admitted", "child refused",
	"child lost", "gap", "wrong digest", "older refused", "epoch conflict", "snapshot sent",
	"snapshot installed", "compacted", "malformed", "too large", "source stale", "source current"}

// String returns the text that stands for the kind in log lines.
func (k EventKind) String() string { return enumName(eventNames[:], int(k)) }

// Event reports an occurrence to the host's log. The controller logs each event with the attributes
// revision= and epoch= (controller/distribution_log.go). EventParentLost is logged as
// msg=parent_lost with the attributes parent= and reason=, the text of the CloseReason or
// "connection closed". Events about children and EventCompacted are logged as
// msg=distribution_tree, and refused messages as msg=distribution_message_refused; both have the
// attributes peer= and detail=, the text of the EventKind.
type Event struct {
	// Kind determines which of the other fields are set.
	Kind EventKind
	// Peer is the other node, if there is one.
	Peer string
	// Version is the version of this node; for EventOlderRefused the refused version, for events
	// about a child the version of that child, and for EventCompacted the newest version dropped
	// from the log.
	Version Version
	// Refusal is the reason for which a place was refused.
	Refusal RefusalReason
	// CloseReason is the reason for which a child or parent was lost.
	CloseReason CloseReason
}
