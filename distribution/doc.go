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
// Nothing by itself. A voter's state is that of its record (package consensus), from which it is restored. A
// subscriber's host keeps State and hands it to Restored at the next start; without it, Config.Floor keeps a restarted
// subscriber from taking anything older than what it had.
package distribution
