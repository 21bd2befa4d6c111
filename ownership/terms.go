package ownership

// Microseconds is a duration, or a time on a monotonic clock that starts at an arbitrary point.
type Microseconds = int64

// LeaseTerms are the settings on which all members have to agree.
type LeaseTerms struct {
	// Duration is the length of a lease: a member is without quorum once none of its entries has
	// been committed for this time.
	Duration Microseconds
	// RenewInterval is the longest time between two entries of a member.
	RenewInterval Microseconds
	// MessageWindow is the span over which messages to a proxy are counted.
	MessageWindow Microseconds
	// MaxMessages is the number of messages that all members together may write to a proxy within
	// MessageWindow.
	MaxMessages int
	// Members is the number of members that share the record.
	Members int
	// GuaranteedMessages is the number of messages that an owner may always write to a proxy,
	// unless the proxy has moved more than maxMovesWithReserve times within MessageWindow. A proxy
	// has one owner at a time, which spaces out its changes. The changes of a whole window and the
	// messages that each takeover needs therefore stay within MaxMessages for up to
	// maxMovesWithReserve moves.
	GuaranteedMessages int
}

// Limits for the division of the messages to a proxy.
const (
	// previousOwnersCounted is the number of previous owners within MessageWindow whose quotas fit
	// into MaxMessages.
	previousOwnersCounted = 2
	// maxMovesWithReserve is the number of moves of a proxy within MessageWindow up to which an
	// owner has GuaranteedMessages.
	maxMovesWithReserve = 4
)

// UnownedQuota returns the number of messages that a member may write to a proxy within
// MessageWindow without owning it on the record. A member that has started within the window, or
// that was already granted the proxy within the window, no longer knows what it wrote and may write
// one message.
func (t LeaseTerms) UnownedQuota() int { return max(1, t.MaxMessages/2/max(t.Members, 1)-1) }

// OwnerQuota returns the number of messages that an owner may write in addition to UnownedQuota.
// The quotas of previous owners count until the window has passed. All quotas together stay within
// MaxMessages.
func (t LeaseTerms) OwnerQuota() int {
	return (t.MaxMessages - t.Members*(t.UnownedQuota()+1)) / (previousOwnersCounted + 1)
}
