package distribution

import (
	"fmt"
	"testing"
)

// only gives the one connection of a member as a dialer.
func (c *cluster) only(t *testing.T, m *member) *conn {
	t.Helper()
	for _, conn := range c.conns {
		if conn.dialer == m {
			return conn
		}
	}
	t.Fatalf("%s has no connection", m.config.Name)
	return nil
}

// duo is a voter with a subscriber of scope "a".
func duo(t *testing.T, limits Limits) (c *cluster, v, leaf *member) {
	t.Helper()
	c = newCluster()
	c.encode = true
	v = c.add(voter("v", limits))
	c.fill(5)
	leaf = c.add(subscriber("leaf", SomeScopes("a"), limits, "v"))
	c.advance(second, tick)
	c.expectCaughtUp(t, v, leaf)
	return c, v, leaf
}

func TestLostDeltaIsRecoveredByDeltas(t *testing.T) {
	c, v, leaf := duo(t, DefaultLimits())
	snapshots := leaf.node.Status(c.now).Counts.SnapshotsInstalled
	c.fill(2)
	c.follow(v, 1)
	conn := c.only(t, leaf)
	c.deliver(conn, 0, true)
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.GapsSeen != 1 || counts.SnapshotsInstalled != snapshots {
		t.Errorf("counts %+v", counts)
	}
}

func TestLossOfTheLastDeltaIsSeenByTheHeartbeat(t *testing.T) {
	c, v, leaf := duo(t, DefaultLimits())
	c.fill(1)
	c.follow(v, 1)
	c.deliver(c.only(t, leaf), 0, true)
	c.advance(2*second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.GapsSeen != 1 {
		t.Errorf("counts %+v", counts)
	}
}

func TestWrongDigestEndsInASnapshot(t *testing.T) {
	c, v, leaf := duo(t, DefaultLimits())
	snapshots := leaf.node.Status(c.now).Counts.SnapshotsInstalled
	before := leaf.node.Version()
	c.fill(1)
	c.follow(v, 1)
	conn := c.only(t, leaf)
	delta := conn.queues[0][0].(*Delta)
	damaged := *delta
	damaged.Changes = []Change{{Revision: delta.Revision, Entries: []Entry{set("a", "other", "damaged")}}}
	conn.queues[0][0] = &damaged
	c.deliver(conn, 0, false)
	leaf.verify()
	c.requireConsistent(t)
	if leaf.node.Version() != before {
		t.Error("something of a wrong delta was applied")
	}
	c.advance(2*second, tick)
	c.expectCaughtUp(t, leaf)
	counts := leaf.node.Status(c.now).Counts
	if counts.WrongDigests != 1 || counts.SnapshotsInstalled != snapshots+1 {
		t.Errorf("counts %+v", counts)
	}
}

func TestWrongDigestOfAChildIsSeenWhenItSubscribes(t *testing.T) {
	c, _, leaf := duo(t, DefaultLimits())
	kept := leaf.node.State()
	kept.Entries[0].Value = []byte("damaged")
	leaf.kill()
	leaf.start(kept)
	c.now += second
	c.tick()
	c.settle()
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.SnapshotsInstalled != 1 {
		t.Errorf("counts %+v", counts)
	}
}

func TestSubscriberStartsWithItsStoredState(t *testing.T) {
	c, _, leaf := duo(t, DefaultLimits())
	kept := leaf.node.State()
	leaf.kill()
	c.fill(3)
	leaf.start(kept)
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.SnapshotsInstalled != 0 {
		t.Errorf("counts %+v", counts)
	}
}

func TestSnapshotIsInstalledWholeOrNotAtAll(t *testing.T) {
	limits := DefaultLimits()
	limits.PieceBytes = 64
	c := newCluster()
	c.encode = true
	v := c.add(voter("v", limits))
	c.fill(20)
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
				piece, is := conn.queues[0][0].(*SnapshotPiece)
				c.deliver(conn, 0, false)
				leaf.verify()
				c.requireConsistent(t)
				if is {
					pieces++
				}
				if is && !piece.Last && leaf.node.Version() != (Version{}) {
					t.Fatalf("it is at %v before the last piece", leaf.node.Version())
				}
			}
		}
	}
	c.expectCaughtUp(t, v, leaf)
	if pieces < 4 {
		t.Errorf("%d pieces", pieces)
	}
}

func TestSnapshotPiecesKeepToThePace(t *testing.T) {
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
		if bytes := v.sentBytes - before; i > 0 && bytes > limits.SnapshotBytesPerSecond+limits.PieceBytes+2048 {
			t.Fatalf("%d bytes in a second", bytes)
		}
	}
	c.expectCaughtUp(t, c.members...)
	if lost := c.members[1].node.Status(c.now).Counts.ParentsLost; lost > 0 {
		t.Errorf("it left its parent %d times on the way", lost)
	}
}

// A pace above a window for each call of Elapsed is made use of: what a child confirms lets the next pieces go.
func TestFastPaceIsReachedBetweenTicks(t *testing.T) {
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
		t.Errorf("counts %+v", counts)
	}
}

// A pause of hours, as of a machine that was suspended, gives no more credit than a second does.
func TestCreditOfThePaceIsBoundedAfterAPause(t *testing.T) {
	limits := DefaultLimits()
	limits.SnapshotBytesPerSecond = 1 << 30
	n := &Node{limits: limits}
	for _, pause := range []int64{second, 24 * 3600 * second, 365 * 24 * 3600 * second} {
		n.snapshotCredit = 0
		if n.refillSnapshotCredit(n.creditRefilledAt + pause); n.snapshotCredit != int64(limits.SnapshotBytesPerSecond)/creditsPerSecond*microsecondsPerSecond {
			t.Errorf("after %d s: a credit of %d", pause/second, n.snapshotCredit)
		}
	}
}

func TestChildAtACompactedRevisionCatchesUp(t *testing.T) {
	for _, story := range []struct {
		name       string
		compact    func(v *member, revision uint64)
		changes    int
		snapshots  uint64
		tombstones int
	}{
		{"log gone, tombstones there: one merged delta", dropLog, 4, 0, 100},
		{"log and tombstones gone: a snapshot", compactAll, 4, 1, 100},
		{"more tombstones than the limit: a snapshot", dropLog, 4, 1, 2},
		{"too much for one delta: a snapshot", dropLog, 400, 1, 1000},
	} {
		t.Run(story.name, func(t *testing.T) {
			limits := DefaultLimits()
			limits.Tombstones = story.tombstones
			c, v, leaf := duo(t, limits)
			before := leaf.node.Status(c.now).Counts.SnapshotsInstalled
			c.cut(v, leaf)
			for i := range story.changes {
				c.accept(set("a", fmt.Sprint("new", i), "1"), deletion("a", fmt.Sprint("entry", i)))
			}
			c.advance(second, tick)
			story.compact(v, v.node.Version().Revision-1)
			c.heal(v, leaf)
			c.advance(6*second, tick)
			c.expectCaughtUp(t, leaf)
			if taken := leaf.node.Status(c.now).Counts.SnapshotsInstalled - before; taken != story.snapshots {
				t.Errorf("%d snapshots", taken)
			}
		})
	}
}

// TestMergedChangeReachesChildrenOfChildren has a relay that took a merged change serve children from before, within and after it.
func TestMergedChangeReachesChildrenOfChildren(t *testing.T) {
	limits := DefaultLimits()
	c := newCluster()
	v := c.add(voter("v", limits))
	relay := c.add(subscriber("relay", AllScopes(), limits, "v"))
	var leaves []*member
	for i := range 4 {
		leaves = append(leaves, c.add(subscriber(fmt.Sprint("leaf", i), SomeScopes("a"), limits, "v")))
	}
	c.fill(5)
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
	if taken := relay.node.Status(c.now).Counts.SnapshotsInstalled; taken != 1 {
		t.Errorf("the relay took %d snapshots", taken)
	}
	for _, leaf := range leaves {
		c.heal(relay, leaf)
	}
	c.advance(4*second, tick)
	c.expectCaughtUp(t, leaves...)
	for _, leaf := range leaves {
		if taken := leaf.node.Status(c.now).Counts.SnapshotsInstalled; taken != 1 {
			t.Errorf("%s took %d snapshots", leaf.config.Name, taken)
		}
	}
}

func TestLongLogIsSentInBatches(t *testing.T) {
	limits := DefaultLimits()
	limits.BatchBytes, limits.Window = 500, 1500
	c, v, leaf := duo(t, limits)
	c.cut(v, leaf)
	c.fill(200)
	c.advance(second, tick)
	before := leaf.node.Status(c.now).Counts
	c.heal(v, leaf)
	c.advance(3*second, tick)
	c.expectCaughtUp(t, leaf)
	after := leaf.node.Status(c.now).Counts
	if after.SnapshotsInstalled != before.SnapshotsInstalled || after.GapsSeen != 0 || after.WrongDigests != 0 {
		t.Errorf("counts %+v", after)
	}
	if batches := after.DeltasApplied - before.DeltasApplied; batches < 20 || batches > 100 {
		t.Errorf("%d batches", batches)
	}
}

func TestResubscribeKeepsTheOldScopesUntilTheSnapshotIsComplete(t *testing.T) {
	c, _, leaf := duo(t, DefaultLimits())
	leaf.node.Resubscribe(SomeScopes("b", "a"), c.now)
	if _, found := leaf.node.lookUp(Key{"a", "entry0"}); !found {
		t.Error("it lost what it had")
	}
	c.fill(1)
	c.advance(2*second, tick)
	c.expectCaughtUp(t, leaf)
	if _, found := leaf.node.lookUp(Key{"b", "entry0"}); !found {
		t.Error("it has nothing of the new scope")
	}
	leaf.node.Resubscribe(SomeScopes("b"), c.now)
	c.fill(1)
	c.advance(2*second, tick)
	c.expectCaughtUp(t, leaf)
	if _, found := leaf.node.lookUp(Key{"a", "entry0"}); found {
		t.Error("it keeps what it no longer asks for")
	}
}

// dropLog drops the log up to a revision and leaves the tombstones.
func dropLog(m *member, revision uint64) { m.node.store.log.dropTo(revision) }

// compactAll drops the log and the tombstones up to a revision.
func compactAll(m *member, revision uint64) { m.node.compact(revision) }
