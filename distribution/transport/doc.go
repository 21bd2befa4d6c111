// Package transport runs a distribution.Node over connections: it dials and accepts connections,
// reads and writes messages, and passes the resulting events to the node. The node alone decides
// which nodes are its parent and its children, which messages it sends and which requests it
// refuses.
//
// # Goroutines
//
// Run is the event loop, which alone calls the node. Each connection has a reader: for a dialled
// connection the goroutine that dialled, for an accepted connection the caller of Accept. A writer
// runs only while messages wait for its peer. Readers wait while the mailbox is full; the event
// loop never waits for a peer. All these goroutines end with the context of Run, which returns once
// the dials and writers have ended; a reader that serves Accept returns to its caller.
//
// # Bounds
//
// At most Bounds.Mailbox events wait in the mailbox; while it is full, readers and goroutines that
// call methods wait. Messages to a peer wait in a queue of at most Bounds.QueueCount messages and
// QueueBytes; a link whose queue is full is closed and counted in Traffic.Overflows. While
// Bounds.AcceptedConnections accepted connections are open, every further accepted connection is
// closed at once.
//
// # Timers
//
//   - Bounds.Tick, 100 ms: the interval of the node's Tick; the first Tick occurs at a random time
//     within the first interval.
//   - DialTimeout, 2 s: bounds a dial.
//   - WriteTimeout, 5 s: bounds the time to write the messages queued for a peer.
//   - CloseTimeout, 0.5 s: replaces WriteTimeout once the link is to be closed.
//
// All other timers are those of the node.
//
// # State after a crash
//
// The transport stores nothing: see Transport.State for the state that a subscriber can store.
package transport
