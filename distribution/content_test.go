package distribution

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
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
	c.pass(second, tick)
	c.expectCaughtUp(t, v, leaf)
	return c, v, leaf
}

func TestLostDeltaIsMendedByDeltas(t *testing.T) {
	c, v, leaf := duo(t, DefaultLimits())
	snapshots := leaf.node.Status(c.now).Counts.SnapshotsTaken
	c.fill(2)
	c.follow(v, 1)
	conn := c.only(t, leaf)
	c.deliver(conn, 0, true)
	c.pass(second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.GapsSeen != 1 || counts.SnapshotsTaken != snapshots {
		t.Errorf("counts %+v", counts)
	}
}

func TestLastDeltaLostIsSeenByTheHeartbeat(t *testing.T) {
	c, v, leaf := duo(t, DefaultLimits())
	c.fill(1)
	c.follow(v, 1)
	c.deliver(c.only(t, leaf), 0, true)
	c.pass(2*second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.GapsSeen != 1 {
		t.Errorf("counts %+v", counts)
	}
}

func TestWrongDigestEndsInASnapshot(t *testing.T) {
	c, v, leaf := duo(t, DefaultLimits())
	snapshots := leaf.node.Status(c.now).Counts.SnapshotsTaken
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
	c.sound(t)
	if leaf.node.Version() != before {
		t.Error("something of a wrong delta was applied")
	}
	c.pass(2*second, tick)
	c.expectCaughtUp(t, leaf)
	counts := leaf.node.Status(c.now).Counts
	if counts.WrongDigests != 1 || counts.SnapshotsTaken != snapshots+1 {
		t.Errorf("counts %+v", counts)
	}
}

func TestWrongDigestAtTheChildIsSeenAtSubscribing(t *testing.T) {
	c, _, leaf := duo(t, DefaultLimits())
	kept := leaf.node.State()
	kept.Entries[0].Value = []byte("damaged")
	leaf.kill()
	leaf.start(kept)
	c.now += second
	c.tick()
	c.settle()
	c.pass(second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.SnapshotsTaken != 1 {
		t.Errorf("counts %+v", counts)
	}
}

func TestSubscriberStartsWithWhatItKept(t *testing.T) {
	c, _, leaf := duo(t, DefaultLimits())
	kept := leaf.node.State()
	leaf.kill()
	c.fill(3)
	leaf.start(kept)
	c.pass(second, tick)
	c.expectCaughtUp(t, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.SnapshotsTaken != 0 {
		t.Errorf("counts %+v", counts)
	}
}

func TestSnapshotIsTakenWholeOrNotAtAll(t *testing.T) {
	limits := DefaultLimits()
	limits.PieceBytes = 64
	c := newCluster()
	c.encode = true
	v := c.add(voter("v", limits))
	c.fill(20)
	c.pass(tick, tick)
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
				c.sound(t)
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

func TestPiecesArePaced(t *testing.T) {
	limits := DefaultLimits()
	c := newCluster()
	v := c.add(voter("v", limits))
	for i := range 200 {
		c.accept(set("a", fmt.Sprint(i), string(make([]byte, 200))))
	}
	c.pass(tick, tick)
	for i := range 3 {
		c.add(subscriber(fmt.Sprint("leaf", i), SomeScopes("a"), limits, "v"))
	}
	for i := range 20 {
		before := v.sent
		c.pass(second, tick)
		if bytes := v.sent - before; i > 0 && bytes > limits.SnapshotBytesPerSecond+limits.PieceBytes+2048 {
			t.Fatalf("%d bytes in a second", bytes)
		}
	}
	c.expectCaughtUp(t, c.members...)
	if lost := c.members[1].node.Status(c.now).Counts.ParentsLost; lost > 0 {
		t.Errorf("it left its parent %d times on the way", lost)
	}
}

// A pace above a window for each call of Elapsed is made use of: what a child confirms lets the next pieces go.
func TestFastPace(t *testing.T) {
	limits := DefaultLimits()
	limits.SnapshotBytesPerSecond = 16 * mebibyte
	c := newCluster()
	v := c.add(voter("v", limits))
	for i := range 400 {
		c.accept(set("a", fmt.Sprint(i), string(make([]byte, 5000))))
	}
	c.pass(tick, tick)
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, "v"))
	c.pass(second/2, tick)
	c.expectCaughtUp(t, v, leaf)
	if counts := leaf.node.Status(c.now).Counts; counts.SnapshotsTaken != 1 {
		t.Errorf("counts %+v", counts)
	}
}

// A pause of hours, as of a machine that was suspended, gives no more credit than a second does.
func TestPaceAfterAPause(t *testing.T) {
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

func TestCompactedRevision(t *testing.T) {
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
			before := leaf.node.Status(c.now).Counts.SnapshotsTaken
			c.cut(v, leaf)
			for i := range story.changes {
				c.accept(set("a", fmt.Sprint("new", i), "1"), gone("a", fmt.Sprint("entry", i)))
			}
			c.pass(second, tick)
			story.compact(v, v.node.Version().Revision-1)
			c.heal(v, leaf)
			c.pass(6*second, tick)
			c.expectCaughtUp(t, leaf)
			if taken := leaf.node.Status(c.now).Counts.SnapshotsTaken - before; taken != story.snapshots {
				t.Errorf("%d snapshots", taken)
			}
		})
	}
}

// TestMergedChangeIsPassedOn has a relay that took a merged change serve children from before, within and after it.
func TestMergedChangeIsPassedOn(t *testing.T) {
	limits := DefaultLimits()
	c := newCluster()
	v := c.add(voter("v", limits))
	relay := c.add(subscriber("relay", AllScopes(), limits, "v"))
	var leaves []*member
	for i := range 4 {
		leaves = append(leaves, c.add(subscriber(fmt.Sprint("leaf", i), SomeScopes("a"), limits, "v")))
	}
	c.fill(5)
	c.pass(2*second, tick)
	c.cut(v, relay)
	for i, leaf := range leaves {
		c.cut(v, leaf)
		leaf.node.learnCandidates([]string{"relay"}, false)
		c.cut(relay, leaf)
		c.accept(set("a", "x", fmt.Sprint(i)), gone("a", fmt.Sprint("entry", i)))
		c.pass(tick, tick)
	}
	v.node.store.log.dropTo(v.node.Version().Revision)
	c.heal(v, relay)
	c.pass(4*second, tick)
	c.expectCaughtUp(t, relay)
	if taken := relay.node.Status(c.now).Counts.SnapshotsTaken; taken != 1 {
		t.Errorf("the relay took %d snapshots", taken)
	}
	for _, leaf := range leaves {
		c.heal(relay, leaf)
	}
	c.pass(4*second, tick)
	c.expectCaughtUp(t, leaves...)
	for _, leaf := range leaves {
		if taken := leaf.node.Status(c.now).Counts.SnapshotsTaken; taken != 1 {
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
	c.pass(second, tick)
	before := leaf.node.Status(c.now).Counts
	c.heal(v, leaf)
	c.pass(3*second, tick)
	c.expectCaughtUp(t, leaf)
	after := leaf.node.Status(c.now).Counts
	if after.SnapshotsTaken != before.SnapshotsTaken || after.GapsSeen != 0 || after.WrongDigests != 0 {
		t.Errorf("counts %+v", after)
	}
	if batches := after.DeltasTaken - before.DeltasTaken; batches < 20 || batches > 100 {
		t.Errorf("%d batches", batches)
	}
}

func TestEpochs(t *testing.T) {
	t.Run("a newer one is taken by a snapshot", func(t *testing.T) {
		c, _, first, _, leaf := tree(t, DefaultLimits())
		old := leaf.node.Version()
		c.found(Epoch{Number: 8, Identity: 80})
		c.fill(2)
		c.pass(3*second, tick)
		c.expectCaughtUp(t, first, leaf)
		if !old.Before(leaf.node.Version()) {
			t.Error("the newer epoch is not after the older")
		}
	})
	t.Run("an older one is refused", func(t *testing.T) {
		c, v, leaf := duo(t, DefaultLimits())
		c.found(Epoch{Number: 8, Identity: 80})
		c.fill(2)
		c.pass(2*second, tick)
		before := leaf.node.Version()
		v.kill()
		c.epoch, c.record = Epoch{Number: 7, Identity: 71}, nil
		v.start(State{})
		c.fill(9)
		c.pass(20*second, tick)
		c.sound(t)
		if leaf.node.Version() != before {
			t.Errorf("it went to %v", leaf.node.Version())
		}
	})
	t.Run("one of the same number is refused and logged", func(t *testing.T) {
		c, v, leaf := duo(t, DefaultLimits())
		before := leaf.node.Version()
		v.kill()
		c.epoch, c.record = Epoch{Number: 7, Identity: 71}, nil
		v.start(State{})
		c.fill(9)
		c.pass(20*second, tick)
		c.sound(t)
		if leaf.node.Version() != before {
			t.Errorf("it went to %v", leaf.node.Version())
		}
		refused := 0
		for _, e := range v.events {
			if e.Refusal == RefusedConflict {
				refused++
			}
		}
		if refused == 0 || refused > 5 {
			t.Errorf("refused %d times", refused)
		}
	})
	t.Run("the next grows also for one who has lost all", func(t *testing.T) {
		first := NextEpoch(Epoch{}, 1_700_000_000, 1)
		second := NextEpoch(first, 1_600_000_000, 2)
		third := NextEpoch(Epoch{}, 1_700_000_100, 3)
		if !second.Newer(first) || !third.Newer(second) {
			t.Errorf("%v, %v, %v", first, second, third)
		}
	})
}

func TestVoterRefusesWhatDoesNotFollow(t *testing.T) {
	c, v, _ := duo(t, DefaultLimits())
	version := v.node.Version()
	for _, change := range []Change{
		{Epoch: c.epoch, Revision: version.Revision},
		{Epoch: c.epoch, Revision: 1},
		{Epoch: Epoch{Number: 9}, Revision: 99},
		{Epoch: Epoch{Number: 1}, Revision: 99},
	} {
		change.Entries = []Entry{set("a", "x", "wrong")}
		if v.node.Accepted(change, c.now) {
			t.Errorf("%v was taken", change)
		}
	}
	if v.node.Restored(State{Version: Version{c.epoch, 1}}, c.now) {
		t.Error("an older state was taken")
	}
	v.verify()
	c.sound(t)
}

func TestRestartWithAFloorTakesNothingOlder(t *testing.T) {
	c := newCluster()
	limits := DefaultLimits()
	behind := c.add(voter("behind", limits))
	c.fill(5)
	c.pass(tick, tick)
	behind.leads = false
	config := subscriber("leaf", SomeScopes("a"), limits, "behind")
	config.Floor = Version{c.epoch, 8}
	leaf := c.add(config)
	c.fill(4)
	c.pass(10*second, tick)
	if leaf.node.Version() != (Version{}) {
		t.Fatalf("it took %v", leaf.node.Version())
	}
	behind.leads = true
	c.pass(3*second, tick)
	c.expectCaughtUp(t, leaf)
}

func TestResubscribe(t *testing.T) {
	c, _, leaf := duo(t, DefaultLimits())
	leaf.node.Resubscribe(SomeScopes("b", "a"), c.now)
	if _, found := leaf.node.Get(Key{"a", "entry0"}); !found {
		t.Error("it lost what it had")
	}
	c.fill(1)
	c.pass(2*second, tick)
	c.expectCaughtUp(t, leaf)
	if _, found := leaf.node.Get(Key{"b", "entry0"}); !found {
		t.Error("it has nothing of the new scope")
	}
	leaf.node.Resubscribe(SomeScopes("b"), c.now)
	c.fill(1)
	c.pass(2*second, tick)
	c.expectCaughtUp(t, leaf)
	if _, found := leaf.node.Get(Key{"a", "entry0"}); found {
		t.Error("it keeps what it no longer asks for")
	}
}

func TestMessagesAreSmall(t *testing.T) {
	beat := &Heartbeat{
		Epoch:    Epoch{1_790_000_000, 1 << 60},
		Previous: 12_345_678,
		Revision: 12_345_678,
		Digest:   Digest{1 << 60, 1 << 61},
		Path:     []string{"voter-1", "relay-12", "relay-345"},
		Age:      123_456,
		Source:   Version{Epoch{1_790_000_000, 1 << 60}, 12_345_678},
	}
	encoded, err := cbor.Marshal(NewEnvelope(beat))
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > 128 || beat.Size() < len(encoded)*3/4 {
		t.Errorf("a heartbeat has %d bytes, estimated %d", len(encoded), beat.Size())
	}
	renew, err := cbor.Marshal(NewEnvelope(&Renew{Version: beat.Source, Received: 100_000}))
	if err != nil {
		t.Fatal(err)
	}
	if len(renew) > 48 {
		t.Errorf("a renewal has %d bytes", len(renew))
	}
}

func TestEnvelopeHoldsOneMessage(t *testing.T) {
	for _, envelope := range []Envelope{{}, {Renew: &Renew{}, Refused: &Refused{}}} {
		if m, err := envelope.Message(); err == nil {
			t.Errorf("%+v gives %v", envelope, m)
		}
	}
	for _, m := range []Message{&Subscribe{}, &Admitted{}, &Refused{}, &Delta{}, &SnapshotPiece{}, &Heartbeat{}, &Renew{}} {
		if got, err := NewEnvelope(m).Message(); err != nil || got != m {
			t.Errorf("%T comes back as %T, %v", m, got, err)
		}
	}
}

// dropLog drops the log up to a revision and leaves the tombstones.
func dropLog(m *member, revision uint64) { m.node.store.log.dropTo(revision) }

// compactAll drops the log and the tombstones up to a revision.
func compactAll(m *member, revision uint64) { m.node.Compact(revision) }
