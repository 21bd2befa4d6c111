// Package ownership decides which of several controllers (members) owns which proxy, what a proxy that changes its owner
// is known to hold, and how many messages may still be written to it. It has no I/O, no clock and no goroutine: no
// method is safe for concurrent use, and times are those of the caller's monotonic clock.
//
// # The record
//
// The members replicate a log of entries (package consensus). Record is the state that results from applying them: the
// same at every member that has applied the same entries, as Apply depends on nothing else. A member claims a proxy by an
// entry; each claim that is committed is given the next fencing token, and owns the proxy until the next one.
//
// # A member
//
// Coordinator is one member's part: it claims the proxies that connect, puts each change of the member's tables on the
// record before the change is written to a proxy. Where no entry of its own has been committed for a lease it is without a
// quorum: it goes on by itself, and serves whoever connects. An incarnation is the time between a member's entering the
// record and its end, its loss of the quorum, or its restart. Nothing of a Coordinator survives a crash: the next process enters as a new
// incarnation. What the record holds survives as long as a majority of the members, or the folders of package consensus.
//
// # Losing a proxy
//
// A member that sees another's claim of a proxy that it owned does not close the stream: it may be the one that the proxy
// reads, as a claim can be late on its way. Coordinator.loseProxy takes the owner quota away, so that the member may go on
// writing within its unowned quota; a proxy that is active later than a LeaseTerms.RenewInterval after that is claimed
// again. A proxy that has asked for fencing tokens rejects a message whose token is older than the greatest that it has
// seen; one with an equal token, or without one, is accepted. A member writes without a token to a proxy that it granted
// without a quorum. A proxy that was granted before goes on with the token of its grant, also while the member has no
// quorum, and after it was claimed again. The protocol has no word for a rejection: the member that wrote the message is
// not told.
//
// # The leader
//
// LeaseTracker is what the leader of the record knows besides, by its own clock: until when each member has surely written
// nothing without a quorum. Such members are vouched for: what a proxy of theirs holds is on the record. The comment of
// LeaseTracker.Observe shows why the time is never too long. A new leader has seen nothing, and vouches for nobody.
//
// A process that does not run has written nothing either, and its successor goes on without a quorum no sooner than a lease
// after its start. So a member is vouched for as well for a lease after its address refused a connection, and for a lease
// after the entry arrived by which it closed its incarnation.
//
// # Membership
//
// NextStep decides how a member comes to belong to a record. A record is founded by the first member by name alone, and
// only if every member was reached and none is part of one: otherwise two could stand side by side, as after a split in
// which one side has forgotten. A member that has lost its votes comes under another ID and asks to be admitted. Where all
// others have come as new nobody is left who could elect a leader with it, so it comes as new too, unless its part is on a
// disk: that is not given up automatically.
//
// # Messages
//
// The limit on messages to a proxy within a window is divided beforehand, so that members need not agree on each message:
// every member has LeaseTerms.UnownedQuota, an owner has LeaseTerms.OwnerQuota on top, and there is room for the owner
// quotas of the present owner and of the two before it.
//
// docs/shared.md has the reasons and the alternatives.
package ownership
