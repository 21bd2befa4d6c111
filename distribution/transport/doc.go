// Package transport runs a distribution.Node over connections: it dials and accepts, reads and writes messages, and
// tells the node what happens. Which node is whose parent, what each is sent and what is refused the node decides.
//
// # Goroutines
//
// Run is the event loop, which alone calls the node. Each connection has a reader: of a dialled one it is the goroutine
// that dialled, of an accepted one the caller of Accept. A writer lives only while something waits for its peer. Readers
// wait while the mailbox is full; the event loop waits for nobody. All of them end with the context of Run, which returns
// once the dials and writers have; a reader that serves Accept returns to its caller.
//
// # Bounds
//
// Events wait in a mailbox of Bounds.Mailbox; beyond, readers and callers of methods wait. Messages to a peer wait in a
// queue of Bounds.QueueCount and QueueBytes; at the bound its link is closed and counted in Traffic.Overflows. Of Callers
// connections at a time the next is closed at once.
//
// # Timers
//
// Bounds.Tick, 100 ms: the node's Tick; the first comes at random within it. DialTimeout, 2 s: a dial. WriteTimeout, 5 s:
// what is queued for a peer, or CloseTimeout, 0.5 s, once the link is to be closed. All others are the node's.
//
// # What survives a crash
//
// Nothing here survives a crash: see Transport.State for what a subscriber can store.
package transport
