// Package ownership decides which of several controllers (members) owns which proxy, and which tables
// a proxy is known to hold when its owner changes. The package has no I/O, no clock and no
// goroutines: no method is safe for concurrent use, and times are those of the caller's monotonic
// clock.
//
// # The record
//
// The members replicate a log of entries (package consensus). Record is the state that results from
// applying these entries. It is the same at every member that has applied the same entries, because
// Apply depends on nothing else. A member claims a proxy by an entry. Each committed claim gets the
// next fencing token, and its member owns the proxy until the next claim of this proxy is
// committed.
//
// # A member
//
// Coordinator implements the part of one member. It claims the proxies that connect to the member,
// and puts each change of the member's tables on the record before the change is written to a
// proxy. A member is without quorum when no entry of its own has been committed for a lease. It
// then continues without the record and serves every proxy that connects. An incarnation lasts from
// the time at which a member enters the record to its planned end, its loss of the quorum, or its
// restart. No state of a Coordinator survives a crash: the next process enters as a new
// incarnation. The state of the record survives as long as a majority of the members does, or as
// long as the folders in which package consensus stores it.
//
// # Losing a proxy
//
// A member that sees another member's claim of a proxy that it owned does not close its stream to
// the proxy: the proxy may still be reading this stream, because a claim can arrive late.
// The member may go on writing to it. A proxy that is active more than LeaseTerms.RenewInterval after
// the loss is claimed again. A proxy that has requested fencing tokens rejects a message whose token
// is older than the greatest token that it has seen. It accepts a message with an equal token or
// without a token. A member writes without a token to a proxy that it granted without quorum. Messages to a
// proxy that was granted before keep the token of this grant, also while the member is without
// quorum and after the proxy was claimed again. The protocol has no message for a rejection: the
// member that wrote a rejected message is not notified.
//
// # The leader
//
// LeaseTracker holds what only the leader of the record knows, by its own clock: until when each
// member has certainly written nothing without quorum. Until then the member is fully recorded: the
// record has everything that the member wrote to its proxies. The comment of LeaseTracker.Observe
// shows why this time is never too long. A new leader has observed no entries, so it reports no
// member as fully recorded.
//
// A process that is not running has written nothing either, and its successor continues without
// quorum one lease after its start at the earliest. So a member is also fully recorded for one
// lease after its address refused a connection, and for one lease after the arrival of the entry
// that closed its incarnation.
//
// # Membership
//
// NextStep decides how a member becomes part of a record. A record is started only by the member
// whose name sorts first, and only if every member was reached and none is part of a record:
// otherwise two records could exist at the same time, for example after a split in which one side
// has lost its state. A member that has lost its votes returns under another ID and asks to be
// admitted. If all other members have returned as new, no member is left that could elect a leader
// together with the remaining one, so the remaining member starts over as new, too. It does not
// start over if its part of the record is on a disk: such a part is not given up automatically.
//
// # Messages
//
// How many messages a member may write to a proxy does not depend on the record: each member keeps a
// pace from the time at which the proxy connected to it (package balancer), so that all members
// together keep the limit whatever they know of each other.
//
// docs/shared.md describes the reasons and the alternatives.
package ownership
