package distribution

// Link identifies a connection to another node, or the dial of one, for as long as it lives. Zero is none.
type Link uint64

// Host acts for a node. Its methods are called from within the node's calls: they must neither wait nor call the node.
type Host interface {
	// Dial connects to a peer; Connected or DialFailed answers for the link, unless Close comes first.
	Dial(peer string, link Link)
	// Send puts a message on a link, after those before it. A host that cannot keep the message closes the link and says
	// so by Closed. The message must not be modified afterwards.
	Send(link Link, m Message)
	// Close ends a link, or a dial, once what was sent on it has left. Closed need not be called for it.
	Close(link Link, reason CloseReason)
	// Apply has the controller act by a change: each entry has its revision and its time of acceptance. If the change is
	// complete, its entries are all that there is, and what is not among them is deleted.
	Apply(change Change, complete bool)
	// Log is told an event.
	Log(event Event)
	// Random draws a random number, for jitter and choices.
	Random() uint64
}

// Config is what a node is started with.
type Config struct {
	// Name is the one by which others dial the node. It is unique among all nodes.
	Name string
	// Voter says that the node gets changes from the record by Accepted, and has no parent.
	Voter bool
	// Scopes are what a subscriber asks for; a voter has all.
	Scopes Scopes
	// Candidates are possible parents, by name; the node's own is left out.
	Candidates []string
	// Floor is the newest version that a subscriber knows from before a restart: it accepts nothing older. It is for hosts
	// that keep a version over a restart and not the State; one that hands the State to Restored need not set it. Whoever
	// keeps it keeps the newer of the Floor it started with and the Version of the node. The daemon keeps the State, where
	// it has a folder, and does not set it.
	Floor Version
	// Limits bound the node; none has a default here, see DefaultLimits.
	Limits Limits
}

// Node is a voter or a subscriber, and a parent to at most Limits.FanOut others. Its calls come one at a time; nothing
// of it survives the process but what the host keeps of State.
type Node struct {
	config Config
	host   Host
	limits Limits
	store  *store
	counts Counts

	// As a parent.
	lastLink         Link
	callers          []caller // links that came in and have not subscribed yet; at most FanOut and maxExtraCallers
	children         []*child // in the order of their admission; at most FanOut
	snapshotCredit   int64    // millionths of a byte that snapshots may send now; below zero after a larger piece
	creditRefilledAt Microseconds
	lastServedChild  int // index of the child that got the last piece of a snapshot

	// As a child.
	parent              *parentLink       // the place that this node has; nil without one
	attempts            []*parentLink     // to get a place, or a better one; at most maxAttempts
	incomingSnapshot    *incomingSnapshot // nil while none is being received
	contentInDoubt      bool              // a digest was wrong; nothing but a snapshot is accepted until one is installed
	candidates          []candidate       // configured ones first; of others at most MaxCandidates
	nextDialAt          Microseconds
	consecutiveFailures int // to get a place, since the source was last known to be current
	consecutiveRefusals int // since this node last got a place

	sourceCurrentAt   Microseconds // when the source was last known to be current
	sourceEverCurrent bool
	loggedStale       bool // whether EventSourceStale was the last of its two events

	faults plantedFaults // none but in a test
}

// New starts a node. A voter has nothing until Restored or Accepted; a subscriber dials at the first Tick.
func New(config Config, host Host, now Microseconds) *Node {
	n := &Node{config: config, host: host, limits: config.Limits, creditRefilledAt: now, nextDialAt: now}
	if config.Voter {
		n.config.Scopes = AllScopes()
		n.config.Floor = Version{} // the record's log is replayed from an older state after a restart
	}
	n.snapshotCredit = int64(n.limits.PieceBytes) * microsecondsPerSecond
	n.store = newStore(Version{}, n.config.Scopes)
	for _, peer := range config.Candidates {
		n.addCandidate(peer, true)
	}
	n.nextDialAt += n.jitter(n.limits.MinBackoff) // many may start at once
	return n
}

func (n *Node) newLink() Link {
	n.lastLink++
	return n.lastLink
}

// Accepted hands a voter the next change of the record. Revisions grow, and need not be consecutive. It tells whether
// the change was applied: not if it is no newer than what the voter has, or of another epoch.
func (n *Node) Accepted(change Change, now Microseconds) bool {
	version := Version{change.Epoch, change.Revision}
	if !n.store.version.Epoch.Known() {
		n.store.version.Epoch = change.Epoch
	}
	if change.Epoch != n.store.version.Epoch || !n.store.version.Before(version) || n.isOlder(version) {
		n.reportOlder("", version)
		return false
	}
	n.applyBatch(n.store.prepare([]Change{change}))
	n.sendDeltasToAll(now)
	return true
}

// Restored hands a voter the state of a record: at its start, from a snapshot of the record, or empty with a new epoch
// when a record was founded anew. A subscriber can be started with the State of its last run. A state that is older than
// what the node has, or without an epoch, is refused.
func (n *Node) Restored(state State, now Microseconds) bool {
	covered := state.Covered
	if n.config.Voter {
		covered = AllScopes()
	}
	conflict := n.conflictsWith(state.Version.Epoch)
	if !state.Version.Epoch.Known() || n.isOlder(state.Version) || conflict {
		n.reportOlder("", state.Version)
		return false
	}
	n.replaceStore(storeFrom(state, covered), now)
	return true
}

// Current says that the voter has just known its record to be led by a majority and itself to have all of it, so that
// nothing newer was accepted anywhere for longer than that takes to reach it.
func (n *Node) Current(now Microseconds) { n.noteSourceCurrent(now) }

// Tick lets time pass. The host calls it some ten times a second.
func (n *Node) Tick(now Microseconds) {
	n.checkParent(now)
	n.checkAttempts(now)
	n.checkChildren(now)
	n.sendDueHeartbeats(now)
	n.refillSnapshotCredit(now)
	n.sendSnapshotPieces(now)
	n.seekParent(now)
	n.logStaleness(now)
}

// Incoming identifies the link of a caller that the host has accepted. Its first message must be a Subscribe. Zero says
// that too many callers have not subscribed yet; the host closes the connection.
func (n *Node) Incoming(now Microseconds) Link {
	if len(n.callers) >= n.limits.FanOut+maxExtraCallers {
		return 0
	}
	link := n.newLink()
	n.callers = append(n.callers, caller{link, now})
	return link
}

// Connected says that a dial has succeeded.
func (n *Node) Connected(link Link, now Microseconds) {
	attempt := n.attemptByLink(link)
	if attempt == nil || attempt.connected {
		return
	}
	attempt.connected = true
	n.sendSubscribe(attempt, now)
}

// DialFailed says that a dial has not succeeded; the link is gone.
func (n *Node) DialFailed(link Link, now Microseconds) { n.parentLinkClosed(link, now) }

// Received hands in a message that came on a link.
func (n *Node) Received(link Link, m Message, now Microseconds) {
	switch m := m.(type) {
	case *Subscribe:
		n.handleSubscribe(link, m, now)
	case *Renew:
		n.handleRenew(link, m, now)
	default:
		n.receiveFromParent(link, m, now)
	}
}

// Closed says that a link is gone.
func (n *Node) Closed(link Link, now Microseconds) {
	n.removeCaller(link)
	if c := n.childByLink(link); c != nil {
		n.removeChild(c, 0, now)
	}
	n.parentLinkClosed(link, now)
}

// Resubscribe changes what a subscriber asks for. It keeps what it has until a snapshot of the new scopes is complete. It
// is for hosts whose scopes change while they run; the daemon's do not.
func (n *Node) Resubscribe(scopes Scopes, now Microseconds) {
	if n.config.Voter || n.config.Scopes.Equal(scopes) {
		return
	}
	n.config.Scopes = scopes
	if n.parent != nil {
		n.sendSubscribe(n.parent, now)
	}
	for _, attempt := range n.attempts {
		if attempt.connected {
			n.sendSubscribe(attempt, now)
		}
	}
}

// jitter draws a time up to a bound.
func (n *Node) jitter(bound Microseconds) Microseconds {
	if bound <= 0 {
		return 0
	}
	return int64(n.host.Random() % uint64(bound))
}
