package distribution

import (
	"fmt"
	"slices"
	"testing"
)

const tick = 100 * millisecond

func voter(name string, limits Limits) Config { return Config{Name: name, Voter: true, Limits: limits} }

func subscriber(name string, scopes Scopes, limits Limits, candidates ...string) Config {
	return Config{Name: name, Scopes: scopes, Limits: limits, Candidates: candidates}
}

// acceptChanges adds a number of changes to the record, each with entries in the scopes "a" and
// "b".
func (c *cluster) acceptChanges(changes int) {
	for i := range changes {
		value := fmt.Sprint(len(c.record))
		c.accept(set("a", fmt.Sprint("entry", i%7), value), set("b", fmt.Sprint("entry", i%5), value))
	}
}

// expectCaughtUp fails the test unless the members have the whole record.
func (c *cluster) expectCaughtUp(t *testing.T, members ...*member) {
	t.Helper()
	c.requireConsistent(t)
	want := Version{c.epoch, uint64(len(c.record))}
	for _, m := range members {
		if version := m.node.Version(); version != want {
			t.Fatalf("%s is at %v, want %v of the record", m.config.Name, version, want)
		}
	}
}

// newRelayTree starts a voter, two relays below it, and a subscriber of scope "a" below the first
// relay. All have the whole record.
func newRelayTree(t *testing.T, limits Limits) (c *cluster, v, first, second, leaf *member) {
	t.Helper()
	c = newCluster()
	c.encode = true
	v = c.add(voter("v", limits))
	c.acceptChanges(5)
	first = c.add(subscriber("first", AllScopes(), limits, "v"))
	second = c.add(subscriber("second", AllScopes(), limits, "v"))
	c.advance(2*oneSecond, tick)
	leaf = c.add(subscriber("leaf", SomeScopes("a"), limits, "first"))
	c.advance(oneSecond, tick)
	leaf.node.learnCandidates([]string{"second"}, false)
	c.expectCaughtUp(t, v, first, second, leaf)
	if parent := leaf.node.Status(c.now).Parent; parent != "first" {
		t.Fatalf("the parent of the leaf is %q, want \"first\"", parent)
	}
	return c, v, first, second, leaf
}

// oneSecond equals the constant second. It is used in functions with a local variable named second.
const oneSecond = second

func TestChangesPropagateDownTheTreeImmediately(t *testing.T) {
	c, v, first, _, leaf := newRelayTree(t, DefaultLimits())
	snapshots := leaf.node.Status(c.now).Counts.SnapshotsInstalled
	for range 20 {
		c.acceptChanges(1)
		c.follow(v, 1)
		c.settle()
		c.expectCaughtUp(t, first, leaf)
	}
	status := leaf.node.Status(c.now)
	if status.Counts.SnapshotsInstalled != snapshots || status.Counts.GapsSeen != 0 {
		t.Errorf("counts %+v of the leaf, want %d snapshots installed and no gap", status.Counts, snapshots)
	}
	if want := []string{"v", "first"}; fmt.Sprint(status.Path) != fmt.Sprint(want) {
		t.Errorf("the path of the leaf is %v, want %v", status.Path, want)
	}
	if _, found := leaf.node.lookUpLive(Key{"b", "entry0"}); found {
		t.Error("the leaf has an entry of scope b, to which it does not subscribe")
	}
}

func TestChildOfALostParentCatchesUpByDeltas(t *testing.T) {
	for _, failure := range []struct {
		name    string
		inflict func(c *cluster, parent, leaf *member)
	}{
		{"killed", func(_ *cluster, parent, _ *member) { parent.kill() }},
		{"frozen", func(_ *cluster, parent, _ *member) { parent.frozen = true }},
		{"half-open", func(c *cluster, parent, leaf *member) { c.hang(parent, leaf) }},
		{"cut", func(c *cluster, parent, leaf *member) { c.cut(parent, leaf) }},
	} {
		t.Run(failure.name, func(t *testing.T) {
			c, _, first, second, leaf := newRelayTree(t, DefaultLimits())
			before := leaf.node.Status(c.now).Counts
			failure.inflict(c, first, leaf)
			c.acceptChanges(3)
			c.advance(DefaultLease+oneSecond, tick)
			c.expectCaughtUp(t, second, leaf)
			status := leaf.node.Status(c.now)
			if status.Parent != "second" && status.Parent != "v" {
				t.Errorf("the parent of the leaf is %q, want \"second\" or \"v\"", status.Parent)
			}
			if status.Counts.SnapshotsInstalled != before.SnapshotsInstalled {
				t.Error("the leaf installed a snapshot where deltas suffice")
			}
			if status.Age > 2*oneSecond {
				t.Errorf("the age of the leaf is %d µs, want at most %d", status.Age, 2*oneSecond)
			}
		})
	}
}

func TestFrozenRelayLosesItsPlaceAndRecovers(t *testing.T) {
	c, v, first, _, _ := newRelayTree(t, DefaultLimits())
	first.frozen = true
	c.advance(DefaultLease+oneSecond, tick)
	if children := v.node.Status(c.now).Children; slices.Contains(children, "first") {
		t.Errorf("the children of the voter are %v, want them without the frozen relay \"first\"", children)
	}
	first.frozen = false
	c.acceptChanges(2)
	c.advance(3*oneSecond, tick)
	c.expectCaughtUp(t, first)
}

func TestLaggingParentIsIgnoredAndReplaced(t *testing.T) {
	c := newCluster()
	limits := DefaultLimits()
	ahead, behind := c.add(voter("ahead", limits)), c.add(voter("behind", limits))
	c.acceptChanges(5)
	c.advance(oneSecond, tick)
	behind.hasLeader = false // the voter gets no further changes of the record
	c.acceptChanges(4)
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, "ahead"))
	c.advance(oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	c.cut(ahead, leaf)
	leaf.node.learnCandidates([]string{"behind"}, false)
	c.advance(3*oneSecond, tick)
	c.expectCaughtUp(t, leaf) // the leaf keeps its version, which is newer than that of its new parent
	status := leaf.node.Status(c.now)
	if status.Parent != "behind" || status.Age < 2*oneSecond {
		t.Errorf("the parent of the leaf is %q and its age %d µs, want \"behind\" and at least %d",
			status.Parent, status.Age, 2*oneSecond)
	}
	c.heal(ahead, leaf)
	c.acceptChanges(1)
	c.advance(DefaultMaxStaleness+DefaultMaxRetryAfter, tick)
	c.expectCaughtUp(t, leaf)
	if parent := leaf.node.Status(c.now).Parent; parent != "ahead" {
		t.Errorf("the parent of the leaf is %q, want \"ahead\" instead of the lagging one", parent)
	}
}

func TestRestartedVoterAtAnOlderRevisionCatchesUp(t *testing.T) {
	c, v, first, second, leaf := newRelayTree(t, DefaultLimits())
	stored := v.node.State()
	c.acceptChanges(4)
	c.advance(oneSecond, tick)
	v.kill()
	v.hasLeader = false // the voter gets no changes of the record until hasLeader is set
	v.start(stored)
	c.advance(3*oneSecond, tick)
	c.requireConsistent(t)
	if version := v.node.Version(); version != stored.Version {
		t.Fatalf("the restarted voter is at %v, want %v of its stored state", version, stored.Version)
	}
	snapshots := first.node.Status(c.now).Counts.SnapshotsInstalled
	c.acceptChanges(1)
	v.hasLeader = true
	c.advance(2*oneSecond, tick)
	c.expectCaughtUp(t, v, first, second, leaf)
	if first.node.Status(c.now).Counts.SnapshotsInstalled != snapshots {
		t.Error("the relay installed a snapshot where deltas suffice")
	}
}

func TestSubscribersReportTheirAgeWithoutAMajority(t *testing.T) {
	c, v, first, _, leaf := newRelayTree(t, DefaultLimits())
	v.hasLeader = false
	dials := leaf.node.Status(c.now).Counts.Dials
	c.advance(30*oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	status := leaf.node.Status(c.now)
	if status.Age < 28*oneSecond || status.Age > 33*oneSecond {
		t.Errorf("the age of the leaf is %d µs after 30 s, want 28 to 33 s", status.Age)
	}
	if status.Parent != "first" {
		t.Errorf("the parent of the leaf is %q, want \"first\"", status.Parent)
	}
	if newDials := status.Counts.Dials - dials; newDials > 6 {
		t.Errorf("the leaf dialled %d times in 30 s while no parent was better, want at most 6", newDials)
	}
	if leaf.eventCount(EventSourceStale) != 1 {
		t.Errorf("EventSourceStale was logged %d times, want 1", leaf.eventCount(EventSourceStale))
	}
	v.hasLeader = true
	c.acceptChanges(1)
	c.advance(3*oneSecond, tick)
	c.expectCaughtUp(t, first, leaf)
	if age := leaf.node.Status(c.now).Age; age > 3*oneSecond {
		t.Errorf("the age of the leaf is %d µs after the majority is back, want at most %d", age, 3*oneSecond)
	}
	if leaf.eventCount(EventSourceCurrent) != 1 {
		t.Errorf("EventSourceCurrent was logged %d times, want 1", leaf.eventCount(EventSourceCurrent))
	}
}

func TestUnresponsiveParentIsHedgedByASecondDial(t *testing.T) {
	c := newCluster()
	limits := DefaultLimits()
	slow := c.add(voter("slow", limits))
	c.add(voter("quick", limits))
	c.acceptChanges(3)
	c.advance(tick, tick)
	slow.frozen = true
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, "slow", "quick"))
	c.advance(oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	if status := leaf.node.Status(c.now); status.Parent != "quick" || status.Counts.Dials != 2 {
		t.Errorf("status %+v, want the parent \"quick\" after 2 dials", status)
	}
	slow.frozen = false // the Admitted of "slow" arrives late and must be ignored
	c.acceptChanges(1)
	c.advance(oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	if children := slow.node.Status(c.now).Children; len(children) > 0 {
		t.Errorf("the leaf has a place at both voters; the children of \"slow\" are %v", children)
	}
}

func TestFirstOfTwoParentsThatAdmitIsChosen(t *testing.T) {
	c := newCluster()
	limits := DefaultLimits()
	first, second := c.add(voter("one", limits)), c.add(voter("other", limits))
	c.acceptChanges(3)
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, "one", "other"))
	c.advance(tick, tick)
	leaf.kill()
	leaf.start(State{})
	leaf.node.dialCandidate(c.now)
	leaf.node.dialCandidate(c.now)
	c.connect()
	if len(c.conns) != 2 {
		t.Fatalf("the leaf has %d connections after two dials, want 2", len(c.conns))
	}
	c.settle()
	c.advance(oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	places := len(first.node.Status(c.now).Children) + len(second.node.Status(c.now).Children)
	if places != 1 {
		t.Errorf("the leaf has %d places at the two voters, want 1", places)
	}
}

func TestChildThatReadsNothingIsBoundedAndLosesItsPlace(t *testing.T) {
	limits := DefaultLimits()
	limits.LogChanges, limits.Tombstones = 50, 10
	c, v, first, _, leaf := newRelayTree(t, limits)
	before := leaf.node.Status(c.now).Counts
	leaf.frozen = true
	maxUnconfirmed := 0
	for range 300 {
		c.accept(set("a", "large", string(make([]byte, 2000))), set("b", "x", "1"))
		c.follow(v, 1)
		c.settle()
		if place := first.node.childByLink(first.node.children[0].link); place != nil {
			maxUnconfirmed = max(maxUnconfirmed, place.unconfirmedBytes)
		}
	}
	if bound := limits.Window + limits.BatchBytes + 4096; maxUnconfirmed > bound {
		t.Errorf("%d unconfirmed bytes were sent to the frozen leaf, want at most %d", maxUnconfirmed, bound)
	}
	c.advance(DefaultLease+oneSecond, tick)
	if children := first.node.Status(c.now).Children; len(children) > 0 {
		t.Errorf("the frozen leaf has not lost its place after a lease; the children of \"first\" are %v", children)
	}
	leaf.frozen = false
	c.advance(5*oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	after := leaf.node.Status(c.now).Counts
	if after.SnapshotsInstalled+after.DeltasApplied == before.SnapshotsInstalled+before.DeltasApplied {
		t.Error("the leaf applied no delta and installed no snapshot after it resumed")
	}
}

func TestManySubscribersThatStartAtOnceAllCatchUp(t *testing.T) {
	c := newCluster()
	c.random = true
	limits := DefaultLimits()
	limits.FanOut, limits.MaxSnapshots = 4, 2
	v := c.add(voter("v", limits))
	c.acceptChanges(40)
	const subscribers = 40
	var all []*member
	for i := range subscribers {
		all = append(all, c.add(subscriber(fmt.Sprint("s", i), AllScopes(), limits, "v")))
	}
	for range 600 {
		c.now += tick
		c.tick()
		c.connect()
		for moved := true; moved; { // each round delivers at most one message from each queue
			moved = false
			for _, conn := range slices.Clone(c.conns) {
				for side := range conn.queues {
					moved = slices.Contains(c.conns, conn) && c.deliver(conn, side, false) || moved
				}
			}
			for _, m := range c.members {
				if pending := m.node.snapshotsPending(); pending > limits.MaxSnapshots {
					t.Fatalf("%s has %d snapshots under way or due, want at most %d",
						m.config.Name, pending, limits.MaxSnapshots)
				}
			}
		}
	}
	c.expectCaughtUp(t, all...)
	for _, m := range append(all, v) {
		if places := len(m.node.Status(c.now).Children); places > limits.FanOut {
			t.Errorf("%s has %d children, want at most %d", m.config.Name, places, limits.FanOut)
		}
		if depth := len(m.node.Status(c.now).Path); depth > limits.MaxDepth {
			t.Errorf("%s has %d ancestors, want at most %d", m.config.Name, depth, limits.MaxDepth)
		}
	}
}

func TestRegionCatchesUpAfterAPartition(t *testing.T) {
	c := newCluster()
	c.random = true
	limits := DefaultLimits()
	v := c.add(voter("v", limits))
	relay := c.add(subscriber("relay", AllScopes(), limits, "v"))
	c.acceptChanges(10)
	c.advance(oneSecond, tick)
	var region []*member
	for i := range 60 {
		region = append(region, c.add(subscriber(fmt.Sprint("r", i), SomeScopes("a"), limits, "relay", "v")))
	}
	c.advance(20*oneSecond, tick)
	c.expectCaughtUp(t, region...)
	snapshots := func() (sum uint64) {
		for _, m := range region {
			sum += m.node.Status(c.now).Counts.SnapshotsInstalled
		}
		return sum
	}
	before := snapshots()
	for _, m := range region {
		c.cut(v, m)
		c.cut(relay, m)
	}
	dials := region[0].node.Status(c.now).Counts.Dials
	for range 60 {
		c.acceptChanges(2)
		c.advance(5*oneSecond, 500*millisecond)
	}
	c.requireConsistent(t)
	if newDials := region[0].node.Status(c.now).Counts.Dials - dials; newDials > 600 {
		t.Errorf("a subscriber that is cut off dialled %d times in five minutes, want at most 600", newDials)
	}
	if age := region[0].node.Status(c.now).Age; age < 290*oneSecond {
		t.Errorf("the age of a subscriber that was cut off for 300 s is %d µs, want at least %d", age, 290*oneSecond)
	}
	for _, m := range region {
		c.heal(v, m)
		c.heal(relay, m)
	}
	c.advance(6*oneSecond, tick)
	c.expectCaughtUp(t, region...)
	if installed := snapshots() - before; installed > 0 {
		t.Errorf("the region installed %d snapshots where deltas suffice", installed)
	}
}
