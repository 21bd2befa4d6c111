package distribution

import "testing"

func TestNewerEpochReplacesAndConflictingEpochIsRefused(t *testing.T) {
	t.Run("a newer one is taken by a snapshot", func(t *testing.T) {
		c, _, first, _, leaf := tree(t, DefaultLimits())
		old := leaf.node.Version()
		c.startNewRecord(Epoch{Number: 8, Identity: 80})
		c.fill(2)
		c.advance(3*second, tick)
		c.expectCaughtUp(t, first, leaf)
		if !old.Before(leaf.node.Version()) {
			t.Error("the newer epoch is not after the older")
		}
	})
	t.Run("an older one is refused", func(t *testing.T) {
		c, v, leaf := duo(t, DefaultLimits())
		c.startNewRecord(Epoch{Number: 8, Identity: 80})
		c.fill(2)
		c.advance(2*second, tick)
		before := leaf.node.Version()
		v.kill()
		c.epoch, c.record = Epoch{Number: 7, Identity: 71}, nil
		v.start(State{})
		c.fill(9)
		c.advance(20*second, tick)
		c.requireConsistent(t)
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
		c.advance(20*second, tick)
		c.requireConsistent(t)
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

func TestVoterRefusesChangesThatDoNotFollow(t *testing.T) {
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
	c.requireConsistent(t)
}

func TestRestartWithAFloorTakesNothingOlder(t *testing.T) {
	c := newCluster()
	limits := DefaultLimits()
	behind := c.add(voter("behind", limits))
	c.fill(5)
	c.advance(tick, tick)
	behind.hasLeader = false
	config := subscriber("leaf", SomeScopes("a"), limits, "behind")
	config.Floor = Version{c.epoch, 8}
	leaf := c.add(config)
	c.fill(4)
	c.advance(10*second, tick)
	if leaf.node.Version() != (Version{}) {
		t.Fatalf("it took %v", leaf.node.Version())
	}
	behind.hasLeader = true
	c.advance(3*second, tick)
	c.expectCaughtUp(t, leaf)
}
