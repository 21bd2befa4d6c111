package distribution

import "slices"

// upstream is a place that this node has at a parent, or tries to get.
type upstream struct {
	link      Link
	peer      string
	since     int64 // of the dial
	connected bool
	heard     int64 // the last message

	awaiting bool   // a Subscribe is sent and not answered; until it is, what comes belongs to the time before
	request  uint64 // of the last Subscribe
	askedAt  int64  // when it was sent
	mends    int    // requests to mend a gap or a wrong digest since something fitted

	admittedAt  int64
	lease       int64
	path        []string
	behindSince int64  // since when the parent has been behind this node, if behind
	behind      bool   // the parent is older than this node
	received    uint64 // messages since the admission
	unconfirmed int    // bytes since the last Renew
}

// assembly is a snapshot that is built up aside.
type assembly struct {
	store      *store
	next       int // index of the next piece
	progressAt int64
}

// mendsMost is how often a node asks a parent to mend a gap before it leaves it.
const mendsMost = 3

// renewsPerWindow is how often a window of the parent's is confirmed besides at heartbeats.
const renewsPerWindow = 4

// Connected says that a dial has succeeded.
func (n *Node) Connected(link Link, now int64) {
	u := n.attempt(link)
	if u == nil || u.connected {
		return
	}
	u.connected = true
	n.subscribe(u, now)
}

// subscribe asks for a place, or asks the parent anew for what is missing.
func (n *Node) subscribe(u *upstream, now int64) {
	u.awaiting, u.askedAt = true, now
	u.request++
	n.incoming = nil
	m := &Subscribe{
		Name:    n.config.Name,
		Scopes:  n.config.Scopes,
		Version: n.store.version,
		Digest:  n.store.digest,
		Whole:   n.doubted || !n.store.covered.Equal(n.config.Scopes),
		FanOut:  n.limits.FanOut,
		Request: u.request,
	}
	if n.store.version.Before(n.config.Floor) {
		m.Version, m.Whole = n.config.Floor, true
	}
	if n.faults.takeOlder {
		m.Version = Version{}
	}
	n.host.Send(u.link, m)
}

// fromUpstream handles a message of a parent, or of one that was asked to be it.
func (n *Node) fromUpstream(link Link, m Message, now int64) {
	u := n.upstream(link)
	if u == nil {
		return
	}
	u.heard = now
	u.received++
	u.unconfirmed += m.Size()
	switch m := m.(type) {
	case *Admitted:
		n.admitted(u, m, now)
	case *Refused:
		n.refusedBy(u, m, now)
	default:
		if u == n.parent && !u.awaiting {
			n.fromParent(u, m, now)
		}
	}
}

// fromParent handles what a parent sends to a child with a place.
func (n *Node) fromParent(u *upstream, m Message, now int64) {
	beat := false
	switch m := m.(type) {
	case *Delta:
		n.takeDelta(u, m, now)
	case *SnapshotPiece:
		n.takePiece(u, m, now)
	case *Heartbeat:
		beat = true
		n.takeHeartbeat(u, m, now)
	}
	enough := u.unconfirmed >= n.limits.Window/renewsPerWindow
	if u == n.parent && !u.awaiting && (beat || enough) {
		n.host.Send(u.link, &Renew{Version: n.store.version, Received: u.received})
		u.unconfirmed = 0
	}
}

// takeDelta applies changes if they follow what this node has and end in the digest that they should.
func (n *Node) takeDelta(u *upstream, m *Delta, now int64) {
	version := Version{m.Epoch, m.Revision}
	if n.older(version) || version == n.store.version {
		n.refuseOlder(u.peer, version)
		return
	}
	if !n.follows(m.Epoch, m.Previous) {
		n.gap(u, now)
		return
	}
	if !n.wellFormed(m) {
		n.malformed(u, now)
		return
	}
	prepared := n.store.prepare(m.Changes)
	if prepared.digest != m.Digest && !n.faults.takeGap {
		n.wrongDigest(u, now)
		return
	}
	if prepared.bytes > n.limits.StateBytes {
		n.tooLarge(u, now)
		return
	}
	n.apply(prepared)
	n.store.version.Revision = m.Revision
	n.counts.DeltasTaken++
	u.mends = 0
	n.feedAll(now)
}

// follows tells whether what was sent for a child at a revision fits what this node has.
func (n *Node) follows(epoch Epoch, previous uint64) bool {
	if n.faults.takeGap {
		return epoch == n.store.version.Epoch
	}
	whole := !n.doubted && n.incoming == nil && n.store.covered.Equal(n.config.Scopes)
	return whole && n.store.version == Version{epoch, previous}
}

// wellFormed tells whether the changes are in order and in this node's scopes.
func (n *Node) wellFormed(m *Delta) bool {
	last := m.Previous
	for _, change := range m.Changes {
		if change.Revision <= last || change.Revision > m.Revision || len(change.Entries) == 0 {
			return false
		}
		last = change.Revision
		if !n.entriesFit(change.Entries, change.Revision) {
			return false
		}
	}
	return len(m.Changes) > 0
}

// entriesFit tells whether entries are in this node's scopes and none is newer than a revision.
func (n *Node) entriesFit(entries []Entry, revision uint64) bool {
	for _, e := range entries {
		if !n.config.Scopes.Has(e.Scope) || e.Revision > revision {
			return false
		}
	}
	return true
}

// takePiece adds a piece to the snapshot that is being received, and takes the whole over after the last.
func (n *Node) takePiece(u *upstream, m *SnapshotPiece, now int64) {
	if m.Index == 0 {
		if !n.mayTake(u, m.Version, now) {
			return
		}
		n.incoming = &assembly{store: newStore(m.Version, n.config.Scopes)}
	}
	a := n.incoming
	if a == nil || a.store.version != m.Version || a.next != m.Index {
		n.gap(u, now)
		return
	}
	if !n.entriesFit(m.Entries, m.Version.Revision) {
		n.malformed(u, now)
		return
	}
	for _, e := range m.Entries {
		a.store.set(e)
	}
	a.next++
	a.progressAt = now
	switch {
	case a.store.bytes > n.limits.StateBytes:
		n.tooLarge(u, now)
	case m.Last && a.store.digest != m.Digest:
		n.doubted = true
		n.wrongDigest(u, now)
	case m.Last:
		n.takeSnapshotOver(u, m, now)
	}
}

// mayTake tells whether a snapshot of a version may replace what this node has: it is no older, and not of an epoch
// founded beside. The parent is left if not.
func (n *Node) mayTake(u *upstream, version Version, now int64) bool {
	switch {
	case n.conflicts(version.Epoch) || !version.Epoch.Known():
		n.conflict(u, now)
	case n.older(version) && !n.faults.takeOlder:
		n.refuseOlder(u.peer, version)
		n.leave(CloseStale, now)
	default:
		return true
	}
	return false
}

// takeSnapshotOver replaces what this node has by a snapshot that is complete and fits its digest.
func (n *Node) takeSnapshotOver(u *upstream, m *SnapshotPiece, now int64) {
	whole := n.incoming.store
	whole.graves.horizon = max(whole.graves.horizon, m.Horizon)
	n.incoming, n.doubted = nil, false
	u.mends = 0
	n.counts.SnapshotsTaken++
	n.host.Log(Event{Kind: EventSnapshotTaken, Peer: u.peer, Version: whole.version})
	n.replaceStore(whole, now)
}

// takeHeartbeat notes that the parent is there, and moves on past revisions with nothing in this node's scopes.
func (n *Node) takeHeartbeat(u *upstream, m *Heartbeat, now int64) {
	n.learn(m.Candidates, false)
	if !n.pathFits(m.Path) {
		n.leave(CloseLoop, now)
		return
	}
	n.setPath(u, m.Path, now)
	if m.Epoch.Known() {
		n.moveOn(u, m, now)
	}
	if u == n.parent && !u.awaiting {
		n.noteSource(u, m.Source, m.Age, now)
	}
}

// moveOn takes the revision of a heartbeat that follows what this node has.
func (n *Node) moveOn(u *upstream, m *Heartbeat, now int64) {
	version := Version{m.Epoch, m.Revision}
	switch {
	case n.older(version):
		n.refuseOlder(u.peer, version)
	case !n.follows(m.Epoch, m.Previous):
		n.gap(u, now)
	case m.Digest != n.store.digest && !n.faults.takeGap:
		n.wrongDigest(u, now)
	default:
		n.store.version.Revision = max(n.store.version.Revision, m.Revision)
		u.mends = 0
	}
}

// noteSource notes how old the parent's configuration is, and whether it is behind this node's.
func (n *Node) noteSource(u *upstream, source Version, age, now int64) {
	have := n.store.version
	behind := n.older(source)
	if behind && !u.behind {
		u.behindSince = now
	}
	u.behind = behind
	complete := !n.doubted && n.store.covered.Equal(n.config.Scopes)
	if complete && have.Epoch == source.Epoch && have.Revision >= source.Revision && age != NeverCurrent {
		n.knownCurrent(now - age)
		n.placeIsGood(u)
	}
}

// pathFits tells whether a parent with this path can be this node's: it isn't below this node, nor too deep.
func (n *Node) pathFits(path []string) bool {
	return len(path) > 0 && len(path) <= n.limits.DepthMost && !slices.Contains(path, n.config.Name)
}

// setPath takes the parent's path over, and tells the children at once if it is another.
func (n *Node) setPath(u *upstream, path []string, now int64) {
	if slices.Equal(u.path, path) {
		return
	}
	u.path = path
	n.learn(path, false)
	n.beatSoon(now)
}

// beatSoon has every child get a heartbeat with the next passing of time.
func (n *Node) beatSoon(now int64) {
	for _, c := range n.children {
		c.beatAt = now
	}
}

// gap answers a message that doesn't follow what this node has: it asks for what leads on from there.
func (n *Node) gap(u *upstream, now int64) {
	n.counts.Gaps++
	n.host.Log(Event{Kind: EventGap, Peer: u.peer, Version: n.store.version})
	n.mend(u, now)
}

// wrongDigest answers changes or a snapshot that end in another digest than they should: nothing of them was applied,
// and only a snapshot tells where the fault is.
func (n *Node) wrongDigest(u *upstream, now int64) {
	n.counts.WrongDigests++
	n.host.Log(Event{Kind: EventWrongDigest, Peer: u.peer, Version: n.store.version})
	n.doubted = true
	n.mend(u, now)
}

// mend asks the parent anew, unless that has been in vain.
func (n *Node) mend(u *upstream, now int64) {
	u.mends++
	if u.mends > mendsMost {
		n.leave(CloseMalformed, now)
		return
	}
	n.subscribe(u, now)
}

func (n *Node) malformed(u *upstream, now int64) {
	n.host.Log(Event{Kind: EventMalformed, Peer: u.peer, Version: n.store.version})
	n.leave(CloseMalformed, now)
}

func (n *Node) tooLarge(u *upstream, now int64) {
	n.host.Log(Event{Kind: EventTooLarge, Peer: u.peer, Version: n.store.version})
	n.leave(CloseTooLarge, now)
}

// conflict leaves one whose epoch was founded beside this node's.
func (n *Node) conflict(u *upstream, now int64) {
	n.host.Log(Event{Kind: EventEpochConflict, Peer: u.peer, Version: n.store.version})
	n.avoid(u.peer, now+n.limits.RetryMost)
	if u == n.parent {
		n.leave(CloseConflict, now)
		return
	}
	n.host.Close(u.link, CloseConflict)
	n.attemptFailed(u, now)
}

// Resubscribe changes what a subscriber asks for. It keeps what it has until a snapshot of the new scopes is whole.
func (n *Node) Resubscribe(scopes Scopes, now int64) {
	if n.config.Voter || n.config.Scopes.Equal(scopes) {
		return
	}
	n.config.Scopes = scopes
	if n.parent != nil {
		n.subscribe(n.parent, now)
	}
	for _, u := range n.attempts {
		if u.connected {
			n.subscribe(u, now)
		}
	}
}
