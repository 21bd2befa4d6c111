// Package distribution decides how the configuration on the record of the voters comes to all other controllers: who
// is below whom in a tree of bounded fan-out, what each receives, and what it refuses.
//
// A Node does no I/O, has no clock and starts nothing: it is driven by calls that hand in the time, and acts through
// its Host. The calls of one node come one at a time. Times called now are in microseconds of any clock that never
// goes back, of this node alone; only AcceptedAt is wall time.
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
	// Close ends a link, or a dial, once what was sent on it has left. Closed need not be called for it.
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
	// Floor is the newest version that a subscriber knows from before a restart: it takes nothing older. Whoever keeps it
	// keeps the newer of the Floor it started with and the Version of the node.
	Floor  Version
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
	Version Version
	Digest  Digest
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
	limits Limits
	store  *store
	counts Counts

	lastLink   Link
	callers    []caller // links that came in and have not subscribed yet
	children   []*child // in the order of their admission
	credit     int64    // µbytes that snapshots may send now; below zero after a piece larger than was left
	refilledAt int64    // when credit was last added
	turn       int      // the child that the next piece is for

	parent     *upstream   // the place that this node has
	attempts   []*upstream // to get one, or a better one
	incoming   *assembly   // the snapshot that is being received
	doubted    bool        // what the node has is in doubt; only a snapshot of the parent mends it
	candidates []candidate // configured ones first
	nextDial   int64
	failures   int // to get a place, since the source was last known to be current
	refusals   int // since this node last got a place

	currentAt   int64 // when the source was last known to be current
	everCurrent bool
	stale       bool // as last logged

	faults faults
}

// faults are planted by tests, to show that the checks find them.
type faults struct {
	takeGap   bool // a delta that does not follow is taken in
	takeOlder bool // what an older parent says is taken in
	applyHalf bool // of a change the first entry alone is applied
}

// New starts a node. A voter has nothing until Restored or Accepted; a subscriber dials at the first Elapsed.
func New(config Config, host Host, now int64) *Node {
	n := &Node{config: config, host: host, limits: config.Limits, refilledAt: now, nextDial: now}
	if config.Voter {
		n.config.Scopes = AllScopes()
		n.config.Floor = Version{} // the record's log is replayed from an older state after a restart
	}
	n.credit = int64(n.limits.PieceBytes) * microsecondsPerSecond
	n.store = newStore(Version{}, n.config.Scopes)
	for _, peer := range config.Candidates {
		n.addCandidate(peer, true)
	}
	n.nextDial += n.jitter(n.limits.BackoffLeast) // many may start at once
	return n
}

func (n *Node) newLink() Link {
	n.lastLink++
	return n.lastLink
}

// Accepted hands a voter the next change of the record. Revisions grow, and need not be consecutive. It tells whether
// the change was taken: not if it is no newer than what the voter has, or of another epoch.
func (n *Node) Accepted(change Change, now int64) bool {
	version := Version{change.Epoch, change.Revision}
	if !n.store.version.Epoch.Known() {
		n.store.version.Epoch = change.Epoch
	}
	if change.Epoch != n.store.version.Epoch || !n.store.version.Before(version) || n.older(version) {
		n.refuseOlder("", version)
		return false
	}
	n.apply(n.store.prepare([]Change{change}))
	n.feedAll(now)
	return true
}

// Restored hands a voter the state of a record: at its start, from a snapshot of the record, or empty with a new epoch
// when a record was founded anew. A subscriber can be started with what it kept. A state older than what the node has
// is refused.
func (n *Node) Restored(state State, now int64) bool {
	covered := state.Covered
	if n.config.Voter {
		covered = AllScopes()
	}
	conflict := n.conflicts(state.Version.Epoch)
	if !state.Version.Epoch.Known() || n.older(state.Version) || conflict {
		n.refuseOlder("", state.Version)
		return false
	}
	restored := newStore(state.Version, covered)
	for _, e := range state.Entries {
		restored.set(e)
	}
	restored.graves.horizon = max(restored.graves.horizon, state.Horizon)
	n.replaceStore(restored, now)
	return true
}

// Current says that the voter has just known its record to be led by a majority and itself to have all of it, so that
// nothing newer was accepted anywhere for longer than that takes to reach it.
func (n *Node) Current(now int64) { n.knownCurrent(now) }

// Compact drops changes up to a revision from the log, and tombstones up to it, besides what the limits drop.
func (n *Node) Compact(revision uint64) { n.store.compactTo(revision) }

// Elapsed lets time pass. The host calls it some ten times a second.
func (n *Node) Elapsed(now int64) {
	n.watchParent(now)
	n.watchAttempts(now)
	n.watchChildren(now)
	n.beat(now)
	n.refill(now)
	n.sendPieces(now)
	n.seek(now)
	n.noteStale(now)
}

// Closed says that a link is gone.
func (n *Node) Closed(link Link, now int64) {
	n.forgetCaller(link)
	if c := n.child(link); c != nil {
		n.dropChild(c, 0, now)
	}
	n.upstreamClosed(link, now)
}

// Received hands in a message that came on a link.
func (n *Node) Received(link Link, m Message, now int64) {
	switch m := m.(type) {
	case *Subscribe:
		n.subscribed(link, m, now)
	case *Renew:
		n.renewed(link, m, now)
	default:
		n.fromUpstream(link, m, now)
	}
}

// Version is what the node has; it is zero until it has anything.
func (n *Node) Version() Version { return n.store.version }

// State is all that the node has, by scope and name, to be kept for a restart.
func (n *Node) State() State { return n.store.state() }

// Get gives a live entry.
func (n *Node) Get(key Key) (Entry, bool) {
	e, found := n.store.lookup(key)
	return e, found && !e.Deleted
}

// Status tells how the node is.
func (n *Node) Status(now int64) Status {
	status := Status{
		Version:  n.store.version,
		Digest:   n.store.digest,
		Age:      n.age(now),
		Entries:  n.store.live,
		LogFloor: n.store.log.floor,
		Horizon:  n.store.graves.horizon,
		Counts:   n.counts,
	}
	if n.parent != nil {
		status.Parent, status.Path = n.parent.peer, n.parent.path
	}
	for _, c := range n.children {
		status.Children = append(status.Children, c.name)
		if c.snapshot != nil {
			status.Snapshots++
		}
	}
	return status
}

// age is for how long the source has not been known to be current.
func (n *Node) age(now int64) int64 {
	if !n.everCurrent {
		return NeverCurrent
	}
	return now - n.currentAt
}

// knownCurrent says that what the node has was all that the source had at a time.
func (n *Node) knownCurrent(at int64) {
	if !n.everCurrent || at > n.currentAt {
		n.currentAt, n.everCurrent = at, true
	}
}

// noteStale logs when the source falls out of date, and when it is back.
func (n *Node) noteStale(now int64) {
	stale := n.everCurrent && n.age(now) > n.limits.StaleMost
	if stale == n.stale {
		return
	}
	n.stale = stale
	kind := EventCurrent
	if stale {
		kind = EventStale
	}
	n.host.Log(Event{Kind: kind, Version: n.store.version})
}

// older tells whether a version is older than what the node has, or had before it was started.
func (n *Node) older(version Version) bool {
	return version.Before(n.store.version) || version.Before(n.config.Floor)
}

// conflicts tells whether an epoch was founded beside the node's, without either knowing of the other.
func (n *Node) conflicts(epoch Epoch) bool {
	for _, known := range []Epoch{n.store.version.Epoch, n.config.Floor.Epoch} {
		if epoch.Known() && known.Known() && epoch != known && epoch.Number == known.Number {
			return true
		}
	}
	return false
}

// refuseOlder notes that something older than what the node has was not taken.
func (n *Node) refuseOlder(peer string, version Version) {
	n.counts.Older++
	n.host.Log(Event{Kind: EventOlder, Peer: peer, Version: version})
}

// apply takes over changes that were prepared, one after the other and each of them whole.
func (n *Node) apply(p prepared) {
	for _, step := range p.steps {
		if n.faults.applyHalf {
			step.entries = step.entries[:1]
		}
		n.store.commit(step)
		n.counts.ChangesTaken++
		change := step.log.change
		change.Epoch, change.Entries = n.store.version.Epoch, step.entries
		n.host.Apply(change, false)
	}
	n.compact()
}

// replaceStore takes over a whole state in one step.
func (n *Node) replaceStore(whole *store, now int64) {
	n.store = whole
	n.host.Apply(Change{
		Epoch:    whole.version.Epoch,
		Revision: whole.version.Revision,
		Entries:  whole.collect(AllScopes(), false),
	}, true)
	n.compact()
	n.dropUncovered(now)
	n.feedAll(now)
}

// compact keeps the log and the tombstones within their limits.
func (n *Node) compact() {
	if n.store.compact(n.limits) {
		n.host.Log(Event{Kind: EventCompacted, Version: Version{n.store.version.Epoch, n.store.log.floor}})
	}
}

// jitter draws a time up to a bound.
func (n *Node) jitter(most int64) int64 {
	if most <= 0 {
		return 0
	}
	return int64(n.host.Chance() % uint64(most))
}
