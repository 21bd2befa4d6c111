// Package distribution decides how the configuration that the voters agree on reaches every other controller: which
// controller subscribes to which, what each is sent, and what it refuses.
//
// Voters and subscribers form a tree of bounded fan-out. A child subscribes to a parent, is granted a lease on a place,
// and gets a snapshot or the changes that it lacks; it is a parent to others in turn. A position in the history of the
// configuration is a Version: the epoch of the record, and a revision within it. A node never goes back to an older one.
//
// # Concurrency
//
// A Node does no I/O, reads no clock and starts no goroutine: its host calls it with the time, and it acts through
// Host. The calls of one node, and of one Record, come one at a time; there are no locks here. What a method returns and
// what is handed to the host is not modified afterwards, so it may be read by any goroutine. Parameters and fields named
// now, or for a time, are microseconds of a clock of this node alone that never goes back; AcceptedAt alone is wall time.
//
// # What survives a crash
//
// Nothing by itself. A voter's state is that of its record (package consensus), from which it is restored. A subscriber's
// host can keep State and hand it to Restored at the next start; the subscriber then accepts nothing older. A host that
// keeps no more than a version can set Config.Floor to the same end; today's daemon does not. A subscriber that is started
// with neither accepts what its first parent has, also if that is older than what the subscriber had.
//
// # Timers
//
// All run off Tick, which the host calls (package transport: every 100 ms), so each is late by up to that. The values are
// the defaults of Limits; "up to" is drawn at random.
//
//   - Heartbeat, 1 s: a parent sends each child one.
//   - Lease, 1.8 s: a child leaves a parent that is silent, and a parent ends the place of such a child.
//   - Handshake, 3 s: a child gives up an attempt to get a place, or a parent that does not answer a request; a parent
//     closes a caller that has not subscribed.
//   - HedgeDelay, 0.4 s: a node without a parent dials a second candidate beside the first, and again a third.
//   - Backoff, up to MinBackoff, 0.2 s, doubled with each failure until MaxBackoff, 2 s: no dial at all. The peer that
//     failed is not dialled for at least half of that.
//   - MaxRetryAfter, 10 s: a refused child waits up to that, and a peer whose epoch conflicts is not dialled for so long.
//   - MaxStaleness, 5 s: a child whose parent is behind, or whose source is not known to be current, looks for another
//     parent, and logs EventSourceStale in the second case.
//
// Snapshots are paced by a credit that grows with time, by SnapshotBytesPerSecond, at each Tick and Renew.
package distribution
