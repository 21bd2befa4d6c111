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
	// previousOwnersCounted is the number of previous owners within MessageWindow whose shares fit
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

// OwnerQuota returns one owner's share of the messages that all unowned quotas leave. All unowned
// quotas, and the shares of the present owner and of the previousOwnersCounted owners before it,
// stay within MaxMessages.
func (t LeaseTerms) OwnerQuota() int {
	return max(0, t.MaxMessages-t.Members*(t.UnownedQuota()+1)) / (previousOwnersCounted + 1)
}

// MemberQuota returns the number of messages that a member may write to a proxy within MessageWindow
// at most. A proxy that stays with its owner has had no other owner within MessageWindow, so that its
// owner also has the shares of the previous owners.
func (t LeaseTerms) MemberQuota() int { return t.UnownedQuota() + t.ownerQuotaAfter(0) }

// ownerQuotaAfter returns the number of messages that an owner may write in addition to UnownedQuota
// if the proxy has moved the given number of times within MessageWindow. The first of these owners
// may have written all that the proxy's owner may write if the proxy does not move.
func (t LeaseTerms) ownerQuotaAfter(moves int) int {
	switch moves {
	case 0:
		return (previousOwnersCounted+1)*t.OwnerQuota() - t.nextOwnerShare()
	case 1:
		return t.nextOwnerShare()
	default:
		return 0
	}
}

// nextOwnerShare returns the share that is kept for the next owner of a proxy: none if it would have
// no more messages by it than GuaranteedMessages.
func (t LeaseTerms) nextOwnerShare() int {
	if t.UnownedQuota()+t.OwnerQuota() <= t.GuaranteedMessages {
		return 0
	}
	return t.OwnerQuota()
}
