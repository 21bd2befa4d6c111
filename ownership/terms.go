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
	// Members is the number of members that share the record.
	Members int
}
