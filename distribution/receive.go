package distribution

import "slices"

// parentLink is a place that this node has at a parent, or tries to get.
type parentLink struct {
	link           Link
	peer           string
	dialedAt       int64 // of the dial
	connected      bool
	lastReceivedAt int64 // the last message

	subscribing     bool   // a Subscribe is sent and not answered; until it is, what comes belongs to the time before
	lastRequest     uint64 // of the last Subscribe
	subscribeSentAt int64  // when it was sent
	recoveries      int    // requests to mend a gap or a wrong digest since something fitted

	admittedAt       int64
	lease            int64
	path             []string
	behindSince      int64  // since when the parent has been behind this node, if behind
	behind           bool   // the parent is older than this node
	receivedMessages uint64 // messages since the admission
	unconfirmedBytes int    // bytes since the last Renew
}

// incomingSnapshot is a snapshot that is built up aside.
type incomingSnapshot struct {
	store      *store
	nextIndex  int // index of the next piece
	progressAt int64
}

// maxRecoveries is how often a node asks a parent to mend a gap before it leaves it.
const maxRecoveries = 3

// renewsPerWindow is how often a window of the parent's is confirmed besides at heartbeats.
const renewsPerWindow = 4

// Connected says that a dial has succeeded.
func (n *Node) Connected(link Link, now int64) {
	u := n.attemptByLink(link)
	if u == nil || u.connected {
		return
	}
	u.connected = true
	n.sendSubscribe(u, now)
}

// sendSubscribe asks for a place, or asks the parent anew for what is missing.
func (n *Node) sendSubscribe(u *parentLink, now int64) {
	u.subscribing, u.subscribeSentAt = true, now
	u.lastRequest++
	n.incomingSnapshot = nil
	m := &Subscribe{
		Name:         n.config.Name,
		Scopes:       n.config.Scopes,
		Version:      n.store.version,
		Digest:       n.store.digest,
		WantSnapshot: n.contentInDoubt || !n.store.covered.Equal(n.config.Scopes),
		FanOut:       n.limits.FanOut,
		Request:      u.lastRequest,
	}
	if n.store.version.Before(n.config.Floor) {
		m.Version, m.WantSnapshot = n.config.Floor, true
	}
	if n.faults.acceptOlder {
		m.Version = Version{}
	}
	n.host.Send(u.link, m)
}

// receiveFromParent handles a message of a parent, or of one that was asked to be it.
func (n *Node) receiveFromParent(link Link, m Message, now int64) {
	u := n.parentOrAttempt(link)
	if u == nil {
		return
	}
	u.lastReceivedAt = now
	u.receivedMessages++
	u.unconfirmedBytes += m.Size()
	switch m := m.(type) {
	case *Admitted:
		n.handleAdmitted(u, m, now)
	case *Refused:
		n.handleRefused(u, m, now)
	default:
		if u == n.parent && !u.subscribing {
			n.handleParentMessage(u, m, now)
		}
	}
}

// handleParentMessage handles what a parent sends to a child with a place.
func (n *Node) handleParentMessage(u *parentLink, m Message, now int64) {
	beat := false
	switch m := m.(type) {
	case *Delta:
		n.handleDelta(u, m, now)
	case *SnapshotPiece:
		n.handleSnapshotPiece(u, m, now)
	case *Heartbeat:
		beat = true
		n.handleHeartbeat(u, m, now)
	}
	enough := u.unconfirmedBytes >= n.limits.Window/renewsPerWindow
	if u == n.parent && !u.subscribing && (beat || enough) {
		n.host.Send(u.link, &Renew{Version: n.store.version, Received: u.receivedMessages})
		u.unconfirmedBytes = 0
	}
}

// handleDelta applies changes if they follow what this node has and end in the digest that they should.
func (n *Node) handleDelta(u *parentLink, m *Delta, now int64) {
	version := Version{m.Epoch, m.Revision}
	if n.isOlder(version) || version == n.store.version {
		n.reportOlder(u.peer, version)
		return
	}
	if !n.followsContent(m.Epoch, m.Previous) {
		n.handleGap(u, now)
		return
	}
	if !n.deltaWellFormed(m) {
		n.rejectMalformed(u, now)
		return
	}
	prepared := n.store.prepare(m.Changes)
	if prepared.digest != m.Digest && !n.faults.acceptGaps {
		n.handleWrongDigest(u, now)
		return
	}
	if prepared.bytes > n.limits.StateBytes {
		n.rejectTooLarge(u, now)
		return
	}
	n.applyBatch(prepared)
	n.store.version.Revision = m.Revision
	n.counts.DeltasTaken++
	u.recoveries = 0
	n.sendDeltasToAll(now)
}

// followsContent tells whether what was sent for a child at a revision fits what this node has.
func (n *Node) followsContent(epoch Epoch, previous uint64) bool {
	if n.faults.acceptGaps {
		return epoch == n.store.version.Epoch
	}
	whole := !n.contentInDoubt && n.incomingSnapshot == nil && n.store.covered.Equal(n.config.Scopes)
	return whole && n.store.version == Version{epoch, previous}
}

// deltaWellFormed tells whether the changes are in order and in this node's scopes.
func (n *Node) deltaWellFormed(m *Delta) bool {
	last := m.Previous
	for _, change := range m.Changes {
		if change.Revision <= last || change.Revision > m.Revision || len(change.Entries) == 0 {
			return false
		}
		last = change.Revision
		if !n.entriesValid(change.Entries, change.Revision) {
			return false
		}
	}
	return len(m.Changes) > 0
}

// entriesValid tells whether entries are in this node's scopes and none is newer than a revision.
func (n *Node) entriesValid(entries []Entry, revision uint64) bool {
	for _, e := range entries {
		if !n.config.Scopes.Has(e.Scope) || e.Revision > revision {
			return false
		}
	}
	return true
}

// handleSnapshotPiece adds a piece to the snapshot that is being received, and takes the whole over after the last.
func (n *Node) handleSnapshotPiece(u *parentLink, m *SnapshotPiece, now int64) {
	if m.Index == 0 {
		if !n.acceptsSnapshotOf(u, m.Version, now) {
			return
		}
		n.incomingSnapshot = &incomingSnapshot{store: newStore(m.Version, n.config.Scopes)}
	}
	a := n.incomingSnapshot
	if a == nil || a.store.version != m.Version || a.nextIndex != m.Index {
		n.handleGap(u, now)
		return
	}
	if !n.entriesValid(m.Entries, m.Version.Revision) {
		n.rejectMalformed(u, now)
		return
	}
	for _, e := range m.Entries {
		a.store.put(e)
	}
	a.nextIndex++
	a.progressAt = now
	switch {
	case a.store.bytes > n.limits.StateBytes:
		n.rejectTooLarge(u, now)
	case m.Last && a.store.digest != m.Digest:
		n.contentInDoubt = true
		n.handleWrongDigest(u, now)
	case m.Last:
		n.installSnapshot(u, m, now)
	}
}

// acceptsSnapshotOf tells whether a snapshot of a version may replace what this node has: it is no older, and not of an epoch
// founded beside. The parent is left if not.
func (n *Node) acceptsSnapshotOf(u *parentLink, version Version, now int64) bool {
	switch {
	case n.conflictsWith(version.Epoch) || !version.Epoch.Known():
		n.rejectConflict(u, now)
	case n.isOlder(version) && !n.faults.acceptOlder:
		n.reportOlder(u.peer, version)
		n.leaveParent(CloseBetterParent, now)
	default:
		return true
	}
	return false
}

// installSnapshot replaces what this node has by a snapshot that is complete and fits its digest.
func (n *Node) installSnapshot(u *parentLink, m *SnapshotPiece, now int64) {
	whole := n.incomingSnapshot.store
	whole.tombstones.horizon = max(whole.tombstones.horizon, m.Horizon)
	n.incomingSnapshot, n.contentInDoubt = nil, false
	u.recoveries = 0
	n.counts.SnapshotsTaken++
	n.host.Log(Event{Kind: EventSnapshotTaken, Peer: u.peer, Version: whole.version})
	n.replaceStore(whole, now)
}

// handleHeartbeat notes that the parent is there, and moves on past revisions with nothing in this node's scopes.
func (n *Node) handleHeartbeat(u *parentLink, m *Heartbeat, now int64) {
	n.learnCandidates(m.Candidates, false)
	if !n.pathValid(m.Path) {
		n.leaveParent(CloseLoop, now)
		return
	}
	n.setPath(u, m.Path, now)
	if m.Epoch.Known() {
		n.advanceByHeartbeat(u, m, now)
	}
	if u == n.parent && !u.subscribing {
		n.noteSourceAge(u, m.Source, m.Age, now)
	}
}

// advanceByHeartbeat takes the revision of a heartbeat that follows what this node has.
func (n *Node) advanceByHeartbeat(u *parentLink, m *Heartbeat, now int64) {
	version := Version{m.Epoch, m.Revision}
	switch {
	case n.isOlder(version):
		n.reportOlder(u.peer, version)
	case !n.followsContent(m.Epoch, m.Previous):
		n.handleGap(u, now)
	case m.Digest != n.store.digest && !n.faults.acceptGaps:
		n.handleWrongDigest(u, now)
	default:
		n.store.version.Revision = max(n.store.version.Revision, m.Revision)
		u.recoveries = 0
	}
}

// noteSourceAge notes how old the parent's configuration is, and whether it is behind this node's.
func (n *Node) noteSourceAge(u *parentLink, source Version, age, now int64) {
	have := n.store.version
	behind := n.isOlder(source)
	if behind && !u.behind {
		u.behindSince = now
	}
	u.behind = behind
	complete := !n.contentInDoubt && n.store.covered.Equal(n.config.Scopes)
	if complete && have.Epoch == source.Epoch && have.Revision >= source.Revision && age != NeverCurrent {
		n.noteSourceCurrent(now - age)
		n.resetFailures(u)
	}
}

// pathValid tells whether a parent with this path can be this node's: it isn't below this node, nor too deep.
func (n *Node) pathValid(path []string) bool {
	return len(path) > 0 && len(path) <= n.limits.MaxDepth && !slices.Contains(path, n.config.Name)
}

// setPath takes the parent's path over, and tells the children at once if it is another.
func (n *Node) setPath(u *parentLink, path []string, now int64) {
	if slices.Equal(u.path, path) {
		return
	}
	u.path = path
	n.learnCandidates(path, false)
	n.scheduleHeartbeats(now)
}

// scheduleHeartbeats has every child get a heartbeat with the next passing of time.
func (n *Node) scheduleHeartbeats(now int64) {
	for _, c := range n.children {
		c.nextHeartbeatAt = now
	}
}

// handleGap answers a message that doesn't follow what this node has: it asks for what leads on from there.
func (n *Node) handleGap(u *parentLink, now int64) {
	n.counts.GapsSeen++
	n.host.Log(Event{Kind: EventGap, Peer: u.peer, Version: n.store.version})
	n.requestRecovery(u, now)
}

// handleWrongDigest answers changes or a snapshot that end in another digest than they should: nothing of them was applied,
// and only a snapshot tells where the fault is.
func (n *Node) handleWrongDigest(u *parentLink, now int64) {
	n.counts.WrongDigests++
	n.host.Log(Event{Kind: EventWrongDigest, Peer: u.peer, Version: n.store.version})
	n.contentInDoubt = true
	n.requestRecovery(u, now)
}

// requestRecovery asks the parent anew, unless that has been in vain.
func (n *Node) requestRecovery(u *parentLink, now int64) {
	u.recoveries++
	if u.recoveries > maxRecoveries {
		n.leaveParent(CloseMalformed, now)
		return
	}
	n.sendSubscribe(u, now)
}

func (n *Node) rejectMalformed(u *parentLink, now int64) {
	n.host.Log(Event{Kind: EventMalformed, Peer: u.peer, Version: n.store.version})
	n.leaveParent(CloseMalformed, now)
}

func (n *Node) rejectTooLarge(u *parentLink, now int64) {
	n.host.Log(Event{Kind: EventTooLarge, Peer: u.peer, Version: n.store.version})
	n.leaveParent(CloseTooLarge, now)
}

// rejectConflict leaves one whose epoch was founded beside this node's.
func (n *Node) rejectConflict(u *parentLink, now int64) {
	n.host.Log(Event{Kind: EventEpochConflict, Peer: u.peer, Version: n.store.version})
	n.avoidUntil(u.peer, now+n.limits.MaxRetryAfter)
	if u == n.parent {
		n.leaveParent(CloseConflict, now)
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
		n.sendSubscribe(n.parent, now)
	}
	for _, u := range n.attempts {
		if u.connected {
			n.sendSubscribe(u, now)
		}
	}
}
