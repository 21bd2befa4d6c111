// Package distribution decides how the configuration on the record of the voters comes to all other controllers: who
// is below whom in a tree of bounded fan-out, what each receives, and what it refuses.
//
// A Node does no I/O, has no clock and starts nothing: it is driven by calls that hand in the time, and acts through
// its Host. The calls of one node come one at a time. Times called now are in microseconds of any clock that never goes back, of this
// node alone; only AcceptedAt is wall time.
package distribution

// Link is a connection to another node as long as it lives. Zero is none.
type Link uint64

// Host acts for a node. It must not call the node from within these methods.
type Host interface {
	// Dial connects to a peer; Connected or DialFailed answers for the link, unless Close comes first.
	Dial(peer string, link Link)
	// Send puts a message on a link, after those before it. It never waits; a host that cannot keep the message closes
	// the link and says so by Closed. The message must not be modified afterwards.
	Send(link Link, m Message)
	// Close ends a link, or a dial, once what was sent on it has left. Closed must not be called for it, though it does no harm.
	Close(link Link, reason CloseReason)
	// Apply has the controller act by a change: each entry has its revision and its time of acceptance. If whole,
	// the entries are all that there is, and what is not among them is gone.
	Apply(change Change, whole bool)
	// Log tells an event.
	Log(event Event)
	// Chance draws a random number, for jitter and choices.
	Chance() uint64
}

// Config is what a node is started with.
type Config struct {
	Name       string   // by which others dial it
	Voter      bool     // it gets changes from the record by Accepted, and has no parent
	Scopes     Scopes   // what a subscriber asks for; a voter has all
	Candidates []string // possible parents, by name; the node's own is left out
	// Floor is the newest mark known from before a restart: nothing older is taken.
	Floor  Mark
	Limits Limits
}

// Counts are totals since the start of a node.
type Counts struct {
	DeltasSent     uint64
	DeltasTaken    uint64
	ChangesTaken   uint64
	SnapshotsSent  uint64 // whole ones
	SnapshotsTaken uint64
	Refusals       uint64 // given to children
	RefusedBy      uint64 // got from parents
	Gaps           uint64
	WrongDigests   uint64
	Older          uint64 // messages refused for being older
	ParentsLost    uint64
	Dials          uint64
}

// Status is what a node can say about itself.
type Status struct {
	Mark   Mark
	Digest Digest
	// Age is for how many µs the source has not been known to be current: how old the configuration may be.
	// NeverCurrent if it never was.
	Age       int64
	Parent    string   // none for a voter, and while looking for one
	Path      []string // from the voter down to the parent
	Children  []string // in the order of their admission
	Snapshots int      // under way to children
	Entries   int      // live ones
	LogFloor  uint64   // changes after this revision are kept for deltas
	Horizon   uint64   // tombstones after this revision are kept
	Counts    Counts
}

// Node is a voter or a subscriber, and a parent to bounded many others.
type Node struct {
	config Config
	host   Host
}

// New starts a node. A voter has nothing until Restored or Accepted; a subscriber dials at the first Elapsed.
func New(config Config, host Host, now int64) *Node { return &Node{config: config, host: host} }

// Incoming names the link of a caller that the host has accepted. Its first message must be a Subscribe.
func (n *Node) Incoming(now int64) Link { return 0 }

// Connected says that a dial has succeeded.
func (n *Node) Connected(link Link, now int64) {}

// DialFailed says that a dial has not succeeded; the link is gone.
func (n *Node) DialFailed(link Link, now int64) {}

// Received hands in a message that came on a link.
func (n *Node) Received(link Link, m Message, now int64) {}

// Closed says that a link is gone.
func (n *Node) Closed(link Link, now int64) {}

// Accepted hands a voter the next change of the record. Revisions grow, and need not be consecutive. It tells whether
// the change was taken: not if it is no newer than what the voter has, or of another epoch.
func (n *Node) Accepted(change Change, now int64) bool { return false }

// Restored hands a voter the state of a record: at its start, from a snapshot of the record, or empty with a new epoch
// when a record was founded anew. A subscriber can be started with what it kept. A state older than what the node has
// is refused.
func (n *Node) Restored(state State, now int64) bool { return false }

// Current says that the voter has just known its record to be led by a majority, so that nothing newer was accepted
// anywhere for longer than that takes to reach it.
func (n *Node) Current(now int64) {}

// Resubscribe changes what a subscriber asks for. It keeps what it has until a snapshot of the new scopes is whole.
func (n *Node) Resubscribe(scopes Scopes, now int64) {}

// Compact drops changes up to a revision from the log, and tombstones up to it, besides what the limits drop.
func (n *Node) Compact(revision uint64) {}

// Elapsed lets time pass. The host calls it some ten times a second.
func (n *Node) Elapsed(now int64) {}

// Status tells how the node is.
func (n *Node) Status(now int64) Status { return Status{} }

// Mark is what the node has.
func (n *Node) Mark() Mark { return Mark{} }

// State is all that the node has, sorted by key, to be kept for a restart.
func (n *Node) State() State { return State{} }

// Get gives a live entry.
func (n *Node) Get(key Key) (Entry, bool) { return Entry{}, false }
