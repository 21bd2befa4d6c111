package distribution

import "testing"

func TestNewerEpochReplacesAndConflictingEpochIsRefused(t *testing.T) {
	t.Run("a newer epoch is installed by a snapshot", func(t *testing.T) {
		c, _, first, _, leaf := newRelayTree(t, DefaultLimits())
		old := leaf.node.Version()
		c.startNewRecord(Epoch{Number: 8, Identity: 80})
		c.acceptChanges(2)
		c.advance(3*second, tick)
		c.expectCaughtUp(t, first, leaf)
		if !old.Before(leaf.node.Version()) {
			t.Errorf("the leaf is at %v, want a version after %v", leaf.node.Version(), old)
		}
	})
	t.Run("an older epoch is refused", func(t *testing.T) {
		c, v, leaf := newVoterAndLeaf(t, DefaultLimits())
		c.startNewRecord(Epoch{Number: 8, Identity: 80})
		c.acceptChanges(2)
		c.advance(2*second, tick)
		before := leaf.node.Version()
		v.kill()
		c.epoch, c.record = Epoch{Number: 7, Identity: 71}, nil
		v.start(State{})
		c.acceptChanges(9)
		c.advance(20*second, tick)
		c.requireConsistent(t)
		if leaf.node.Version() != before {
			t.Errorf("the leaf moved to %v of an older epoch, want %v", leaf.node.Version(), before)
		}
	})
	t.Run("an epoch of the same number is refused and logged", func(t *testing.T) {
		c, v, leaf := newVoterAndLeaf(t, DefaultLimits())
		before := leaf.node.Version()
		v.kill()
		c.epoch, c.record = Epoch{Number: 7, Identity: 71}, nil
		v.start(State{})
		c.acceptChanges(9)
		c.advance(20*second, tick)
		c.requireConsistent(t)
		if leaf.node.Version() != before {
			t.Errorf("the leaf moved to %v of a conflicting epoch, want %v", leaf.node.Version(), before)
		}
		refused := 0
		for _, e := range v.events {
			if e.Refusal == RefusedConflict {
				refused++
			}
		}
		if refused == 0 || refused > 5 {
			t.Errorf("the voter refused the leaf for a conflicting epoch %d times, want 1 to 5", refused)
		}
	})
	t.Run("the next epoch is newer even after all state was lost", func(t *testing.T) {
		first := NextEpoch(Epoch{}, 1_700_000_000, 1)
		second := NextEpoch(first, 1_600_000_000, 2)
		third := NextEpoch(Epoch{}, 1_700_000_100, 3)
		if !second.Newer(first) || !third.Newer(second) {
			t.Errorf("epochs %v, %v, %v; want the second and the third newer than the one before", first, second, third)
		}
	})
}

func TestVoterRefusesOlderRevisionsAndOtherEpochs(t *testing.T) {
	c, v, _ := newVoterAndLeaf(t, DefaultLimits())
	version := v.node.Version()
	for _, change := range []Change{
		{Epoch: c.epoch, Revision: version.Revision},
		{Epoch: c.epoch, Revision: 1},
		{Epoch: Epoch{Number: 9}, Revision: 99},
		{Epoch: Epoch{Number: 1}, Revision: 99},
	} {
		change.Entries = []Entry{set("a", "x", "wrong")}
		if v.node.Accepted(change, c.now) {
			t.Errorf("the voter at %v accepted %+v", version, change)
		}
	}
	if v.node.Restored(State{Version: Version{c.epoch, 1}}, c.now) {
		t.Errorf("the voter at %v accepted a state at revision 1", version)
	}
	v.verify()
	c.requireConsistent(t)
}

func TestRestartWithAFloorRefusesOlderVersions(t *testing.T) {
	c := newCluster()
	limits := DefaultLimits()
	behind := c.add(voter("behind", limits))
	c.acceptChanges(5)
	c.advance(tick, tick)
	behind.hasLeader = false
	config := subscriber("leaf", SomeScopes("a"), limits, "behind")
	config.Floor = Version{c.epoch, 8}
	leaf := c.add(config)
	c.acceptChanges(4)
	c.advance(10*second, tick)
	if leaf.node.Version() != (Version{}) {
		t.Fatalf("the leaf accepted %v, which is older than its floor %v", leaf.node.Version(), config.Floor)
	}
	behind.hasLeader = true
	c.advance(3*second, tick)
	c.expectCaughtUp(t, leaf)
}
