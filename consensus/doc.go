// Package consensus replicates the entries of package ownership, and the changes of the distributed configuration, between
// the members of an installation, by means of hashicorp/raft: over TLS between members that know each other by name, on
// disk or in memory. It decides nothing about proxies or backends.
//
// # What is stored
//
// With Config.Folder a member keeps its ID, raft's term, vote and log in record.db (bbolt), and the last two snapshots in
// the folder snapshots. What raft has acknowledged survives a crash. A damaged record.db makes New fail with an error that
// names the folder. Raft's library checks the sum of a snapshot and reads an older one where the newest fails; New fails where
// there are some and none can be read. Entries of the log have no sum of ours.
// Nothing is repaired or deleted. Without a folder everything is lost with the process, and the member comes back under a
// new ID and asks to be admitted. A full disk halts the member's part in raft, and the controller goes on without a
// quorum.
//
// Three things are called a record: raft's replicated log, and the two states that result from it, the ownership record
// (ownership.Record) and the configuration record (distribution.Record). A snapshot is a CBOR sequence: the ownership
// record, and behind it the configuration record if it is not empty. An entry of the log is a CBOR map for the ownership
// record, and a CBOR array for the configuration record. The configuration record holds the distributed configuration; what
// an operator sets for a member is its Config, and raft's list of voters is raft.Configuration.
//
// # Goroutines
//
// Node.Run starts three, and returns when they and all connections have ended: transport.acceptLoop takes connections,
// with one goroutine for each that ends with it; forwardProposals brings proposed entries to the leader, one at a time;
// maintainMembership has the member belong to a record, founds one, or comes as new. Raft has goroutines of its own, which
// end with instance.close. The methods of Events and Distribution are called on raft's and on these goroutines.
//
// # Locks
//
// Node.mutex is over the present raft instance, Node.leaderMutex over what the member sees as leader, stateMachine.mutex
// over the ownership record, configurationRecord.mutex over the configuration record, transport.mutex over the open
// connections. Where two are held they are taken in this order; Node.mutex is held while a raft instance starts and
// restores its snapshot.
package consensus
