// Package consensus replicates the entries of package ownership, and the changes of the distributed
// configuration, between the members of an installation. It uses hashicorp/raft over TLS
// connections between members that identify each other by name, and stores its data on disk or in
// memory. It makes no decisions about proxies or backends.
//
// # Stored data
//
// With Config.Folder set, a member stores its ID, raft's term, vote and log in record.db (bbolt),
// and the last two snapshots in the folder snapshots. Data that raft has acknowledged survives a
// crash. If record.db is damaged, New fails with an error that names the folder. The raft library
// verifies the checksum of a snapshot and falls back to an older snapshot if the newest fails; New
// fails if there are snapshots and none of them can be read. This package adds no checksum to the
// entries of the log. Nothing is repaired or deleted.
//
// Without a folder all data is lost when the process ends, and the member returns under a new ID
// and asks to be admitted. A full disk halts the member's part in raft, and the controller
// continues without a quorum.
//
// The word record has three meanings: raft's replicated log, and the two states that result from
// it, the ownership record (ownership.Record) and the configuration record (distribution.Record). A
// snapshot is a CBOR sequence: the ownership record, followed by the configuration record if that
// is not empty. A log entry is a CBOR map if it changes the ownership record, and a CBOR array if
// it changes the configuration record. The configuration record holds the distributed
// configuration. It differs from the settings that an operator gives a member, which are its
// Config, and from raft's list of voters, which is raft.Configuration.
//
// # Goroutines
//
// Node.Run starts three goroutines, and returns when they have returned and all connections are
// closed:
//
//   - transport.acceptLoop accepts connections, and starts one goroutine for each, which ends with
//     the connection;
//   - forwardProposals sends proposed entries to the leader, one at a time;
//   - maintainMembership makes the member part of a record: by joining one, by bootstrapping one,
//     or by dropping its record and starting over under a new ID.
//
// Raft has goroutines of its own, which end with instance.close. The methods of Events and
// Distribution are called on raft's goroutines and on those of Node.Run.
//
// # Locks
//
// Node.mutex protects the current raft instance, Node.leaderMutex the state that the member keeps
// as a leader, stateMachine.mutex the ownership record, configurationRecord.mutex the configuration
// record, and transport.mutex the open connections. A goroutine that holds two of them has taken
// them in this order. Node.mutex is held while a raft instance starts and restores its snapshot.
package consensus
