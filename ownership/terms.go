package ownership

// Microseconds are a span of time, or a time on a monotonic clock that starts at an arbitrary point.
type Microseconds = int64

// LeaseTerms are the figures that all members have to agree on.
type LeaseTerms struct {
	// Duration is the lease: without a committed entry for so long a member is without a quorum.
	Duration Microseconds
	// RenewInterval is the longest time between two entries of a member.
	RenewInterval Microseconds
	// MessageWindow is the time over which messages to a proxy are counted.
	MessageWindow Microseconds
	// MaxMessages may be written to a proxy within MessageWindow, by all members together.
	MaxMessages int
	// Members is how many members there are.
	Members int
	// GuaranteedMessages is what an owner may write in any case, however many owned the proxy shortly before. A proxy has
	// one owner at a time, which paces its changes, so that those of a whole window and what each takeover needs stay
	// within the limit for up to maxMovesWithReserve moves.
	GuaranteedMessages int
}

// Rules by which the messages to a proxy are divided.
const (
	previousOwnersCounted = 2 // owners before the present one for whose quotas there is room within the window
	maxMovesWithReserve   = 4 // moves within the window up to which an owner has GuaranteedMessages
)

// UnownedQuota is how many messages a member may write to a proxy within the window without owning it by the record. A
// member that has started within the window, or has the proxy back within it, has forgotten what it wrote, and has one.
func (t LeaseTerms) UnownedQuota() int { return max(1, t.MaxMessages/2/max(t.Members, 1)-1) }

// OwnerQuota is how many messages an owner may write beyond UnownedQuota. The quotas of the owners before it count until
// the window has passed. All quotas together stay within MaxMessages.
func (t LeaseTerms) OwnerQuota() int {
	return (t.MaxMessages - t.Members*(t.UnownedQuota()+1)) / (previousOwnersCounted + 1)
}
