package distribution

import (
	"fmt"
	"testing"
)

// onlyConn returns the oldest connection that a member has dialled, and fails the test if there is
// none. Its callers expect a single connection.
func (c *cluster) onlyConn(t *testing.T, m *member) *conn {
	t.Helper()
	for _, conn := range c.conns {
		if conn.dialer == m {
			return conn
		}
	}
	t.Fatalf("%s has not dialled any connection", m.config.Name)
	return nil
}

// newVoterAndLeaf starts a voter with five changes, and a subscriber of scope "a" that has them.
func newVoterAndLeaf(t *testing.T, limits Limits) (c *cluster, v, leaf *member) {
	t.Helper()
	c = newCluster()
	c.encode = true
	v = c.add(voter("v", limits))
	c.acceptChanges(5)
	leaf = c.add(subscriber("leaf", SomeScopes("a"), limits, "v"))
	c.advance(second, tick)
	c.expectCaughtUp(t, v, leaf)
	return c, v, leaf
}

func TestLostDeltaIsRecoveredByDeltas(t *testing.T) {
	c, v, leaf := newVoterAndLeaf(t, DefaultLimits())
	snapshots := leaf.node.Status(c.now).Counts.SnapshotsInstalled
	c.acceptChanges(2)
	c.follow(v, 1)
	conn := c.onlyConn(t, leaf)
	c.deliver(conn, 0, true)
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.GapsSeen != 1 || counts.SnapshotsInstalled != snapshots {
		t.Errorf("counts %+v after a lost delta, want 1 gap and %d snapshots installed", counts, snapshots)
	}
}

func TestHeartbeatRevealsLossOfTheLastDelta(t *testing.T) {
	c, v, leaf := newVoterAndLeaf(t, DefaultLimits())
	c.acceptChanges(1)
	c.follow(v, 1)
	c.deliver(c.onlyConn(t, leaf), 0, true)
	c.advance(2*second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.GapsSeen != 1 {
		t.Errorf("counts %+v, want 1 gap, seen in the heartbeat after the lost delta", counts)
	}
}

func TestDeltaWithWrongDigestIsReplacedByASnapshot(t *testing.T) {
	c, v, leaf := newVoterAndLeaf(t, DefaultLimits())
	snapshots := leaf.node.Status(c.now).Counts.SnapshotsInstalled
	before := leaf.node.Version()
	c.acceptChanges(1)
	c.follow(v, 1)
	conn := c.onlyConn(t, leaf)
	delta := conn.queues[0][0].(*Delta)
	damaged := *delta
	damaged.Changes = []Change{{Revision: delta.Revision, Entries: []Entry{set("a", "other", "damaged")}}}
	conn.queues[0][0] = &damaged
	c.deliver(conn, 0, false)
	leaf.verify()
	c.requireConsistent(t)
	if leaf.node.Version() != before {
		t.Errorf("the leaf is at %v after a delta with a wrong digest, want %v as before", leaf.node.Version(), before)
	}
	c.advance(2*second, tick)
	c.expectCaughtUp(t, leaf)
	counts := leaf.node.Status(c.now).Counts
	if counts.WrongDigests != 1 || counts.SnapshotsInstalled != snapshots+1 {
		t.Errorf("counts %+v, want 1 wrong digest and %d snapshots installed", counts, snapshots+1)
	}
}

func TestSubscribeWithWrongDigestGetsASnapshot(t *testing.T) {
	c, _, leaf := newVoterAndLeaf(t, DefaultLimits())
	stored := leaf.node.State()
	stored.Entries[0].Value = []byte("damaged")
	leaf.kill()
	leaf.start(stored)
	c.now += second
	c.tick()
	c.settle()
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.SnapshotsInstalled != 1 {
		t.Errorf("counts %+v after a start with a damaged state, want 1 snapshot installed", counts)
	}
}

func TestSubscriberStartsWithItsStoredState(t *testing.T) {
	c, _, leaf := newVoterAndLeaf(t, DefaultLimits())
	stored := leaf.node.State()
	leaf.kill()
	c.acceptChanges(3)
	leaf.start(stored)
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.SnapshotsInstalled != 0 {
		t.Errorf("counts %+v after a start with the stored state, want no snapshot installed", counts)
	}
}

func TestSnapshotIsInstalledOnlyWhenComplete(t *testing.T) {
	limits := DefaultLimits()
	limits.PieceBytes = 64
	c := newCluster()
	c.encode = true
	v := c.add(voter("v", limits))
	c.acceptChanges(20)
	c.advance(tick, tick)
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, "v"))
	pieces := 0
	for range 100 {
		c.now += 10 * millisecond
		c.tick()
		c.connect()
		for _, conn := range c.conns {
			for c.deliver(conn, 1, false) {
			}
			for len(conn.queues[0]) > 0 {
				piece, isPiece := conn.queues[0][0].(*SnapshotPiece)
				c.deliver(conn, 0, false)
				leaf.verify()
				c.requireConsistent(t)
				if isPiece {
					pieces++
				}
				if isPiece && !piece.Last && leaf.node.Version() != (Version{}) {
					t.Fatalf("the leaf is at %v before the last snapshot piece, want no version", leaf.node.Version())
				}
			}
		}
	}
	c.expectCaughtUp(t, v, leaf)
	if pieces < 4 {
		t.Errorf("the snapshot arrived in %d pieces, want at least 4", pieces)
	}
}

func TestSnapshotsKeepToTheirRateLimit(t *testing.T) {
	limits := DefaultLimits()
	c := newCluster()
	v := c.add(voter("v", limits))
	for i := range 200 {
		c.accept(set("a", fmt.Sprint(i), string(make([]byte, 200))))
	}
	c.advance(tick, tick)
	for i := range 3 {
		c.add(subscriber(fmt.Sprint("leaf", i), SomeScopes("a"), limits, "v"))
	}
	for i := range 20 {
		before := v.sentBytes
		c.advance(second, tick)
		bound := limits.SnapshotBytesPerSecond + limits.PieceBytes + 2048
		if bytes := v.sentBytes - before; i > 0 && bytes > bound {
			t.Fatalf("the voter sent %d bytes in second %d, want at most %d", bytes, i, bound)
		}
	}
	c.expectCaughtUp(t, c.members...)
	if lost := c.members[1].node.Status(c.now).Counts.ParentsLost; lost > 0 {
		t.Errorf("leaf0 lost its parent %d times during the snapshot, want 0", lost)
	}
}

// Guards against subscribers that never get large entries: a piece with such an entry takes longer
// than MaxStaleness at the parent's rate, and the subscriber left the parent before the next piece,
// which began the snapshot anew at another.
func TestSnapshotOfLargeEntriesArrives(t *testing.T) {
	for _, leaves := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d subscribers at once", leaves), func(t *testing.T) {
			limits := DefaultLimits()
			c := newCluster()
			for _, name := range []string{"v0", "v1", "v2"} {
				c.add(voter(name, limits))
			}
			for i := range 3 {
				c.accept(set("a", fmt.Sprint(i), string(make([]byte, 120*kibibyte))))
			}
			c.advance(second, tick)
			for i := range leaves {
				c.add(subscriber(fmt.Sprint("leaf", i), SomeScopes("a"), limits, "v0", "v1", "v2"))
			}
			timeAtRate := Microseconds(leaves*3*120*kibibyte) * second / Microseconds(limits.SnapshotBytesPerSecond)
			c.advance(timeAtRate+5*second, tick)
			c.expectCaughtUp(t, c.members...)
			for _, leaf := range c.members[3:] {
				if lost := leaf.node.Status(c.now).Counts.ParentsLost; lost > 0 {
					t.Errorf("%s lost its parent %d times during the snapshot, want 0", leaf.config.Name, lost)
				}
			}
		})
	}
}

// Snapshots must reach a rate of more than one window per Tick: a Renew that confirms pieces makes
// the parent send the next pieces at once. Otherwise the parent would send at most one window per
// Tick.
func TestHighSnapshotRateIsReachedBetweenTicks(t *testing.T) {
	limits := DefaultLimits()
	limits.SnapshotBytesPerSecond = 16 * mebibyte
	c := newCluster()
	v := c.add(voter("v", limits))
	for i := range 400 {
		c.accept(set("a", fmt.Sprint(i), string(make([]byte, 5000))))
	}
	c.advance(tick, tick)
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, "v"))
	c.advance(second/2, tick)
	c.expectCaughtUp(t, v, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.SnapshotsInstalled != 1 {
		t.Errorf("counts %+v after half a second, want 1 snapshot installed", counts)
	}
}

// A pause of hours, for example of a suspended machine, must not add more snapshot credit than a
// pause of one second, and must not overflow the computation of the credit.
func TestSnapshotCreditIsBoundedAfterAPause(t *testing.T) {
	limits := DefaultLimits()
	limits.SnapshotBytesPerSecond = 1 << 30
	n := &Node{limits: limits}
	bound := int64(limits.SnapshotBytesPerSecond) / creditsPerSecond * microsecondsPerSecond
	for _, pause := range []int64{second, 24 * 3600 * second, 365 * 24 * 3600 * second} {
		n.snapshotCredit = 0
		if n.refillSnapshotCredit(n.creditRefilledAt + pause); n.snapshotCredit != bound {
			t.Errorf("the credit after %d s is %d, want %d", pause/second, n.snapshotCredit, bound)
		}
	}
}

func TestChildAtACompactedRevisionCatchesUp(t *testing.T) {
	for _, test := range []struct {
		name       string
		compact    func(v *member, revision uint64)
		changes    int
		snapshots  uint64
		tombstones int
	}{
		{"log dropped, tombstones complete: one merged delta", dropLog, 4, 0, 100},
		{"log and tombstones dropped: a snapshot", compactAll, 4, 1, 100},
		{"more tombstones than the limit: a snapshot", dropLog, 4, 1, 2},
		{"merged change too large for a delta: a snapshot", dropLog, 400, 1, 1000},
	} {
		t.Run(test.name, func(t *testing.T) {
			limits := DefaultLimits()
			limits.Tombstones = test.tombstones
			c, v, leaf := newVoterAndLeaf(t, limits)
			before := leaf.node.Status(c.now).Counts.SnapshotsInstalled
			c.cut(v, leaf)
			for i := range test.changes {
				c.accept(set("a", fmt.Sprint("new", i), "1"), deletion("a", fmt.Sprint("entry", i)))
			}
			c.advance(second, tick)
			test.compact(v, v.node.Version().Revision-1)
			c.heal(v, leaf)
			c.advance(6*second, tick)
			c.expectCaughtUp(t, leaf)
			if installed := leaf.node.Status(c.now).Counts.SnapshotsInstalled - before; installed != test.snapshots {
				t.Errorf("the leaf installed %d snapshots, want %d", installed, test.snapshots)
			}
		})
	}
}

// A relay that applied a merged change must serve children whose version lies before, within or
// after that change. The relay cannot compute the digest at a revision within the merged change,
// and must nevertheless send a child at that revision a delta, not a snapshot.
func TestMergedChangeReachesChildrenOfChildren(t *testing.T) {
	limits := DefaultLimits()
	c := newCluster()
	v := c.add(voter("v", limits))
	relay := c.add(subscriber("relay", AllScopes(), limits, "v"))
	var leaves []*member
	for i := range 4 {
		leaves = append(leaves, c.add(subscriber(fmt.Sprint("leaf", i), SomeScopes("a"), limits, "v")))
	}
	c.acceptChanges(5)
	c.advance(2*second, tick)
	c.cut(v, relay)
	for i, leaf := range leaves {
		c.cut(v, leaf)
		leaf.node.learnCandidates([]string{"relay"}, false)
		c.cut(relay, leaf)
		c.accept(set("a", "x", fmt.Sprint(i)), deletion("a", fmt.Sprint("entry", i)))
		c.advance(tick, tick)
	}
	v.node.store.log.dropTo(v.node.Version().Revision)
	c.heal(v, relay)
	c.advance(4*second, tick)
	c.expectCaughtUp(t, relay)
	if installed := relay.node.Status(c.now).Counts.SnapshotsInstalled; installed != 1 {
		t.Errorf("the relay installed %d snapshots, want 1", installed)
	}
	for _, leaf := range leaves {
		c.heal(relay, leaf)
	}
	c.advance(4*second, tick)
	c.expectCaughtUp(t, leaves...)
	for _, leaf := range leaves {
		if installed := leaf.node.Status(c.now).Counts.SnapshotsInstalled; installed != 1 {
			t.Errorf("%s installed %d snapshots, want 1", leaf.config.Name, installed)
		}
	}
}

func TestLongLogIsSentInBatches(t *testing.T) {
	limits := DefaultLimits()
	limits.BatchBytes, limits.Window = 500, 1500
	c, v, leaf := newVoterAndLeaf(t, limits)
	c.cut(v, leaf)
	c.acceptChanges(200)
	c.advance(second, tick)
	before := leaf.node.Status(c.now).Counts
	c.heal(v, leaf)
	c.advance(3*second, tick)
	c.expectCaughtUp(t, leaf)
	after := leaf.node.Status(c.now).Counts
	if after.SnapshotsInstalled != before.SnapshotsInstalled || after.GapsSeen != 0 || after.WrongDigests != 0 {
		t.Errorf("counts %+v, want no gap, no wrong digest and %d snapshots installed",
			after, before.SnapshotsInstalled)
	}
	if batches := after.DeltasApplied - before.DeltasApplied; batches < 20 || batches > 100 {
		t.Errorf("200 changes arrived in %d deltas, want 20 to 100", batches)
	}
}

func TestResubscribeKeepsTheOldScopesUntilTheSnapshotIsComplete(t *testing.T) {
	c, _, leaf := newVoterAndLeaf(t, DefaultLimits())
	leaf.node.Resubscribe(SomeScopes("b", "a"), c.now)
	if _, found := leaf.node.lookUpLive(Key{"a", "entry0"}); !found {
		t.Error("entry0 of scope a is lost before the snapshot of the new scopes is complete")
	}
	c.acceptChanges(1)
	c.advance(2*second, tick)
	c.expectCaughtUp(t, leaf)
	if _, found := leaf.node.lookUpLive(Key{"b", "entry0"}); !found {
		t.Error("entry0 of the added scope b is missing after the snapshot")
	}
	leaf.node.Resubscribe(SomeScopes("b"), c.now)
	c.acceptChanges(1)
	c.advance(2*second, tick)
	c.expectCaughtUp(t, leaf)
	if _, found := leaf.node.lookUpLive(Key{"a", "entry0"}); found {
		t.Error("entry0 of scope a is still there after the subscription to it ended")
	}
}

// dropLog drops the log up to a revision and keeps the tombstones.
func dropLog(m *member, revision uint64) { m.node.store.log.dropTo(revision) }

// compactAll drops the log and the tombstones up to a revision.
func compactAll(m *member, revision uint64) { m.node.compact(revision) }
