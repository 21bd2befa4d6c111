// Package distribution decides how the configuration that the voters agree on reaches every other
// controller: which controller subscribes to which, which messages each controller is sent, and
// which messages it refuses.
//
// Voters and subscribers form a tree of bounded fan-out. A child subscribes to a parent, is granted
// a place, which is bounded by a lease, and gets either a snapshot or the changes that it lacks; it
// can itself be the parent of other subscribers. A position in the history of the configuration is
// a Version: the epoch of the record, and a revision within that epoch. A node never goes back to
// an older version.
//
// # Concurrency
//
// A Node does no I/O, reads no clock and starts no goroutine: its host calls it with the current
// time, and the node acts through Host. The calls of one Node, and those of one Record, must be
// serialized by the caller; this package takes no locks. Return values and values handed to the
// host are not modified afterwards, so any goroutine may read them. Parameters and fields that are
// named now or that hold a time are in microseconds of a monotonic clock of that node; only
// AcceptedAt is wall time.
//
// # State after a crash
//
// This package stores nothing itself. The state of a voter is restored from its record (package
// consensus). The host of a subscriber can store State and pass it to Restored at the next start;
// the subscriber then accepts no older version. A host that stores only a version can set
// Config.Floor for the same guarantee; package controller, the host in production, does not set it.
// A subscriber that is started without a State and without a Floor accepts the version of its first
// parent, even if it is older than the version that the subscriber had before the restart.
//
// # Timers
//
// All timers are checked in Tick, which the host calls (package transport: every 100 ms), so each
// fires late by up to that interval. The values below are the defaults of Limits; "up to" means
// drawn at random below that bound.
//
//   - Heartbeat, 1 s: a parent sends each child one heartbeat per interval.
//   - Lease, 1.8 s: a child leaves a parent that is silent for a lease, and a parent removes a
//     child that does not renew its lease.
//   - Handshake, 3 s: a child closes the link of an attempt that is not admitted within this time,
//     and leaves a parent that does not answer a Subscribe within it; a parent closes an accepted
//     connection on which no Subscribe arrives within it.
//   - HedgeDelay, 0.4 s: a node without a parent dials a second candidate in parallel if the first
//     has not admitted it after this delay, and a third after the same delay.
//   - Backoff: after a failure a node dials no peer for up to MinBackoff, 0.2 s; the bound doubles
//     with each consecutive failure until MaxBackoff, 2 s. The peer that failed is not dialled for
//     at least half of a bound that doubles likewise with the consecutive failures of that peer.
//   - MaxRetryAfter, 10 s: a refused subscriber waits for up to this time, and a peer with a
//     conflicting epoch is not dialled for this time.
//   - MaxStaleness, 5 s: a child looks for another parent if its parent has been behind for this
//     time, or if its source has not been known to be current for this time; in the second case it
//     logs EventSourceStale.
//
// Snapshots are paced by a credit that grows with time at SnapshotBytesPerSecond. The credit is
// refilled at each Tick, and at each Renew of a child with a snapshot under way.
package distribution
