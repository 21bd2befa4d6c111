package distribution

// Link identifies a connection to another node, or a dial in progress, until it is closed. Zero
// identifies no link.
type Link uint64

// Host performs I/O for a node. The node calls it from within its own methods: the methods of a
// host must neither block nor call the node.
type Host interface {
	// Dial starts to connect to a peer. The host answers with Node.Connected or Node.DialFailed for
	// the link, unless the node closes the link first.
	Dial(peer string, link Link)
	// Send queues a message on a link, behind the messages sent earlier. A host that cannot keep
	// the message closes the link and calls Node.Closed. The message must not be modified
	// afterwards.
	Send(link Link, m Message)
	// Close ends a link, or a dial, once the messages already sent on the link are written. The
	// host need not call Node.Closed for it.
	Close(link Link, reason CloseReason)
	// Apply passes a change to the controller; each entry carries its revision and its time of
	// acceptance. If complete is set, the entries are the whole configuration, and the controller
	// deletes every entry that is not among them.
	Apply(change Change, complete bool)
	// Log records an event.
	Log(event Event)
	// Random returns a random number, for jitter and for the choice among peers.
	Random() uint64
}

// Config holds the parameters of a node.
type Config struct {
	// Name is the name under which other nodes dial this node. It is unique among all nodes.
	Name string
	// Voter marks a node that gets changes from the record through Accepted and has no parent.
	Voter bool
	// Scopes are the scopes that a subscriber requests; a voter has all scopes.
	Scopes Scopes
	// Candidates are the names of possible parents; the node's own name is ignored.
	Candidates []string
	// Floor is the newest version that a subscriber knows from before a restart: it accepts no
	// older version. It is meant for hosts that store a version across a restart but not the State;
	// a host that passes the State to Restored need not set it. The floor to store is the newer of
	// the Floor that the node started with and the node's Version. Package controller stores the
	// State, if a folder for it is configured, and does not set Floor.
	Floor Version
	// Limits bounds the node. New fills in no defaults: see DefaultLimits.
	Limits Limits
}

// Node is a voter or a subscriber, and the parent of at most Limits.FanOut others. Its methods must
// not be called concurrently. Only the State that the host stores survives a restart of the
// process.
type Node struct {
	config Config
	host   Host
	limits Limits
	store  *store
	counts Counts

	// The fields up to lastServedChild hold the state of this node as the parent of its children.
	lastLink          Link
	unsubscribedLinks []unsubscribedLink // accepted links without a Subscribe; at most FanOut+maxExtraUnsubscribed
	children          []*child           // children in the order of their admission; at most Limits.FanOut
	// snapshotCredit is the amount of snapshot data that may be sent now, in millionths of a byte. A
	// large piece makes it negative.
	snapshotCredit   int64
	creditRefilledAt Microseconds
	lastServedChild  int // index of the child that was sent the last snapshot piece

	// The fields up to consecutiveRefusals hold the state of this node as the child of its parent.
	parent              *parentLink       // link to the parent; nil without a parent
	attempts            []*parentLink     // links to peers that were asked for a place; at most maxAttempts
	incomingSnapshot    *incomingSnapshot // the snapshot that is being received; nil if there is none
	contentInDoubt      bool              // a parent's digest did not match, so only a complete snapshot is accepted
	candidates          []candidate       // possible parents: the configured ones, then at most MaxCandidates learned ones
	nextDialAt          Microseconds
	consecutiveFailures int // number of failed attempts and lost parents since the source was last known to be current
	consecutiveRefusals int // number of refusals since this node last got a place

	sourceCurrentAt   Microseconds // last time at which this node held all that the voters' record held
	sourceEverCurrent bool
	loggedStale       bool // EventSourceStale was logged after the last EventSourceCurrent

	faults plantedFaults // deliberate faults that the model check plants; zero outside of tests
}

// New returns a node. A voter has no configuration until Restored or Accepted is called. A
// subscriber dials a parent at a Tick, after a jitter of at most MinBackoff.
func New(config Config, host Host, now Microseconds) *Node {
	n := &Node{config: config, host: host, limits: config.Limits, creditRefilledAt: now, nextDialAt: now}
	if config.Voter {
		n.config.Scopes = AllScopes()
		// With a floor, a voter would refuse the changes of the record's log, which is replayed from
		// an older state at a restart.
		n.config.Floor = Version{}
	}
	n.snapshotCredit = int64(n.limits.PieceBytes) * microsecondsPerSecond
	n.store = newStore(Version{}, n.config.Scopes)
	for _, peer := range config.Candidates {
		n.addCandidate(peer, true)
	}
	n.nextDialAt += n.jitter(n.limits.MinBackoff) // the jitter spreads the dials of nodes that start together
	return n
}

func (n *Node) newLink() Link {
	n.lastLink++
	return n.lastLink
}

// Accepted passes the next change of the record to a voter. Revisions grow, and need not be
// consecutive. It reports whether the change was applied: a change of another epoch, or one that is
// not newer than the voter's version, is refused.
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

// Restored replaces the content of a node. A voter gets the state of its record: at its start, from
// a snapshot of the record, or an empty state with a new epoch after a new record was created. A
// subscriber can be started with the State of its last run. Restored reports whether the state was
// installed: a state without an epoch, older than the node's version, or of a conflicting epoch is
// refused.
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

// Current notes that the record of the voter has a leader backed by a majority at this time, and
// that the voter has the whole record. It follows that no newer change has been accepted by any
// voter, except within the time that a change takes to reach this voter.
func (n *Node) Current(now Microseconds) { n.noteSourceCurrent(now) }

// Tick advances the node's time and performs the actions that are due. The host calls Tick about
// ten times a second.
func (n *Node) Tick(now Microseconds) {
	n.checkParent(now)
	n.checkAttempts(now)
	n.checkChildren(now)
	n.sendDueHeartbeats(now)
	n.refillSnapshotCredit(now)
	n.sendSnapshotPieces(now)
	n.sendEmptyPieces(now)
	n.seekParent(now)
	n.logStaleness(now)
}

// Incoming registers an accepted connection and returns its link. The first message on the link
// must be a Subscribe. Incoming returns zero if too many accepted links are without a Subscribe;
// the host then closes the connection.
func (n *Node) Incoming(now Microseconds) Link {
	if len(n.unsubscribedLinks) >= n.limits.FanOut+maxExtraUnsubscribed {
		return 0
	}
	link := n.newLink()
	n.unsubscribedLinks = append(n.unsubscribedLinks, unsubscribedLink{link, now})
	return link
}

// Connected handles a successful dial.
func (n *Node) Connected(link Link, now Microseconds) {
	attempt := n.attemptByLink(link)
	if attempt == nil || attempt.connected {
		return
	}
	attempt.connected = true
	n.sendSubscribe(attempt, now)
}

// DialFailed handles a failed dial, whose link is closed already.
func (n *Node) DialFailed(link Link, now Microseconds) { n.parentLinkClosed(link, now) }

// Received handles a message that arrived on a link.
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

// Closed handles the end of a link.
func (n *Node) Closed(link Link, now Microseconds) {
	n.removeUnsubscribed(link)
	if c := n.childByLink(link); c != nil {
		n.removeChild(c, 0, now)
	}
	n.parentLinkClosed(link, now)
}

// Resubscribe changes the scopes of a subscriber. The node keeps its content until a snapshot of
// the new scopes is complete. It is meant for hosts whose scopes change at run time; package
// controller does not call it, as its scopes are fixed.
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

// jitter returns a random duration below bound, or zero if bound is not positive.
func (n *Node) jitter(bound Microseconds) Microseconds {
	if bound <= 0 {
		return 0
	}
	return int64(n.host.Random() % uint64(bound))
}
