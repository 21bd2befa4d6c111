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

// fill puts a number of changes on the record, in the scopes "a" and "b".
func (c *cluster) fill(changes int) {
	for i := range changes {
		value := fmt.Sprint(len(c.record))
		c.accept(set("a", fmt.Sprint("entry", i%7), value), set("b", fmt.Sprint("entry", i%5), value))
	}
}

// expectCaughtUp fails unless the members have the whole record.
func (c *cluster) expectCaughtUp(t *testing.T, members ...*member) {
	t.Helper()
	c.requireConsistent(t)
	want := Version{c.epoch, uint64(len(c.record))}
	for _, m := range members {
		if has := m.node.Version(); has != want {
			t.Fatalf("%s is at %v, the record at %v", m.config.Name, has, want)
		}
	}
}

// tree is a voter, two relays below it, and a subscriber below the first.
func tree(t *testing.T, limits Limits) (c *cluster, v, first, second, leaf *member) {
	t.Helper()
	c = newCluster()
	c.encode = true
	v = c.add(voter("v", limits))
	c.fill(5)
	first = c.add(subscriber("first", AllScopes(), limits, "v"))
	second = c.add(subscriber("second", AllScopes(), limits, "v"))
	c.advance(2*oneSecond, tick)
	leaf = c.add(subscriber("leaf", SomeScopes("a"), limits, "first"))
	c.advance(oneSecond, tick)
	leaf.node.learnCandidates([]string{"second"}, false)
	c.expectCaughtUp(t, v, first, second, leaf)
	if parent := leaf.node.Status(c.now).Parent; parent != "first" {
		t.Fatalf("the parent is %q", parent)
	}
	return c, v, first, second, leaf
}

// oneSecond is second where a member is called second.
const oneSecond = second

func TestChangesGoDownTheTreeAtOnce(t *testing.T) {
	c, v, first, _, leaf := tree(t, DefaultLimits())
	snapshots := leaf.node.Status(c.now).Counts.SnapshotsInstalled
	for range 20 {
		c.fill(1)
		c.follow(v, 1)
		c.settle()
		c.expectCaughtUp(t, first, leaf)
	}
	status := leaf.node.Status(c.now)
	if status.Counts.SnapshotsInstalled != snapshots || status.Counts.GapsSeen != 0 {
		t.Errorf("counts %+v", status.Counts)
	}
	if want := []string{"v", "first"}; fmt.Sprint(status.Path) != fmt.Sprint(want) {
		t.Errorf("path %v", status.Path)
	}
	if _, found := leaf.node.lookUp(Key{"b", "entry0"}); found {
		t.Error("the leaf has an entry that it did not ask for")
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
			c, _, first, second, leaf := tree(t, DefaultLimits())
			before := leaf.node.Status(c.now).Counts
			failure.inflict(c, first, leaf)
			c.fill(3)
			c.advance(DefaultLease+oneSecond, tick)
			c.expectCaughtUp(t, second, leaf)
			status := leaf.node.Status(c.now)
			if status.Parent != "second" && status.Parent != "v" {
				t.Errorf("the parent is %q", status.Parent)
			}
			if status.Counts.SnapshotsInstalled != before.SnapshotsInstalled {
				t.Error("a snapshot was sent where deltas would do")
			}
			if status.Age > 2*oneSecond {
				t.Errorf("age %d µs", status.Age)
			}
		})
	}
}

func TestFrozenParentIsLeftAndItsPlaceFreed(t *testing.T) {
	c, v, first, _, _ := tree(t, DefaultLimits())
	first.frozen = true
	c.advance(DefaultLease+oneSecond, tick)
	if children := v.node.Status(c.now).Children; slices.Contains(children, "first") {
		t.Errorf("the voter's children are %v", children)
	}
	first.frozen = false
	c.fill(2)
	c.advance(3*oneSecond, tick)
	c.expectCaughtUp(t, first)
}

func TestParentThatLagsChangesNothingAndIsLeftForABetterOne(t *testing.T) {
	c := newCluster()
	limits := DefaultLimits()
	ahead, behind := c.add(voter("ahead", limits)), c.add(voter("behind", limits))
	c.fill(5)
	c.advance(oneSecond, tick)
	behind.hasLeader = false // it hears no more of the record
	c.fill(4)
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, "ahead"))
	c.advance(oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	c.cut(ahead, leaf)
	leaf.node.learnCandidates([]string{"behind"}, false)
	c.advance(3*oneSecond, tick)
	c.expectCaughtUp(t, leaf) // it keeps what it has
	status := leaf.node.Status(c.now)
	if status.Parent != "behind" || status.Age < 2*oneSecond {
		t.Errorf("parent %q, age %d", status.Parent, status.Age)
	}
	c.heal(ahead, leaf)
	c.fill(1)
	c.advance(DefaultMaxStaleness+DefaultMaxRetryAfter, tick)
	c.expectCaughtUp(t, leaf)
	if parent := leaf.node.Status(c.now).Parent; parent != "ahead" {
		t.Errorf("it stays with %q, which lags", parent)
	}
}

func TestRestartedVoterAtAnOlderRevisionCatchesUp(t *testing.T) {
	c, v, first, second, leaf := tree(t, DefaultLimits())
	kept := v.node.State()
	c.fill(4)
	c.advance(oneSecond, tick)
	v.kill()
	v.hasLeader = false // the record's log comes later
	v.start(kept)
	c.advance(3*oneSecond, tick)
	c.requireConsistent(t)
	if version := v.node.Version(); version != kept.Version {
		t.Fatalf("the voter is at %v", version)
	}
	snapshots := first.node.Status(c.now).Counts.SnapshotsInstalled
	c.fill(1)
	v.hasLeader = true
	c.advance(2*oneSecond, tick)
	c.expectCaughtUp(t, v, first, second, leaf)
	if first.node.Status(c.now).Counts.SnapshotsInstalled != snapshots {
		t.Error("a snapshot was sent where deltas would do")
	}
}

func TestSubscribersTellTheirAgeWhileTheMajorityIsLost(t *testing.T) {
	c, v, first, _, leaf := tree(t, DefaultLimits())
	v.hasLeader = false
	dials := leaf.node.Status(c.now).Counts.Dials
	c.advance(30*oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	status := leaf.node.Status(c.now)
	if status.Age < 28*oneSecond || status.Age > 33*oneSecond {
		t.Errorf("age %d µs after 30 s", status.Age)
	}
	if status.Parent != "first" {
		t.Errorf("the parent is %q", status.Parent)
	}
	if tried := status.Counts.Dials - dials; tried > 6 {
		t.Errorf("%d dials, and no parent is better", tried)
	}
	if leaf.eventCount(EventSourceStale) != 1 {
		t.Errorf("stale was logged %d times", leaf.eventCount(EventSourceStale))
	}
	v.hasLeader = true
	c.fill(1)
	c.advance(3*oneSecond, tick)
	c.expectCaughtUp(t, first, leaf)
	if age := leaf.node.Status(c.now).Age; age > 3*oneSecond {
		t.Errorf("age %d µs after the majority is back", age)
	}
	if leaf.eventCount(EventSourceCurrent) != 1 {
		t.Errorf("current was logged %d times", leaf.eventCount(EventSourceCurrent))
	}
}

func TestSlowParentIsHedgedByASecond(t *testing.T) {
	c := newCluster()
	limits := DefaultLimits()
	slow := c.add(voter("slow", limits))
	c.add(voter("quick", limits))
	c.fill(3)
	c.advance(tick, tick)
	slow.frozen = true
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, "slow", "quick"))
	c.advance(oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	if status := leaf.node.Status(c.now); status.Parent != "quick" || status.Counts.Dials != 2 {
		t.Errorf("status %+v", status)
	}
	slow.frozen = false // the late admission counts for nothing
	c.fill(1)
	c.advance(oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	if children := slow.node.Status(c.now).Children; len(children) > 0 {
		t.Errorf("a place at both: %v", children)
	}
}

func TestFirstOfTwoParentsThatAdmitIsChosen(t *testing.T) {
	c := newCluster()
	limits := DefaultLimits()
	one, other := c.add(voter("one", limits)), c.add(voter("other", limits))
	c.fill(3)
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, "one", "other"))
	c.advance(tick, tick)
	leaf.kill()
	leaf.start(State{})
	leaf.node.dialCandidate(c.now)
	leaf.node.dialCandidate(c.now)
	c.connect()
	if len(c.conns) != 2 {
		t.Fatalf("%d connections", len(c.conns))
	}
	c.settle()
	c.advance(oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	places := len(one.node.Status(c.now).Children) + len(other.node.Status(c.now).Children)
	if places != 1 {
		t.Errorf("%d places", places)
	}
}

func TestChildThatReadsNothingHoldsNobodyUp(t *testing.T) {
	limits := DefaultLimits()
	limits.LogChanges, limits.Tombstones = 50, 10
	c, v, first, _, leaf := tree(t, limits)
	before := leaf.node.Status(c.now).Counts
	leaf.frozen = true
	most := 0
	for range 300 {
		c.accept(set("a", "large", string(make([]byte, 2000))), set("b", "x", "1"))
		c.follow(v, 1)
		c.settle()
		if place := first.node.childByLink(first.node.children[0].link); place != nil {
			most = max(most, place.unconfirmedBytes)
		}
	}
	if bound := limits.Window + limits.BatchBytes + 4096; most > bound {
		t.Errorf("%d bytes under way to it, bound %d", most, bound)
	}
	c.advance(DefaultLease+oneSecond, tick)
	if children := first.node.Status(c.now).Children; len(children) > 0 {
		t.Errorf("it keeps its place: %v", children)
	}
	leaf.frozen = false
	c.advance(5*oneSecond, tick)
	c.expectCaughtUp(t, leaf)
	after := leaf.node.Status(c.now).Counts
	if after.SnapshotsInstalled+after.DeltasApplied == before.SnapshotsInstalled+before.DeltasApplied {
		t.Error("it took nothing")
	}
}

func TestManySubscribersThatStartAtOnceAllCatchUp(t *testing.T) {
	c := newCluster()
	c.random = true
	limits := DefaultLimits()
	limits.FanOut, limits.MaxSnapshots = 4, 2
	v := c.add(voter("v", limits))
	c.fill(40)
	const subscribers = 40
	var all []*member
	for i := range subscribers {
		all = append(all, c.add(subscriber(fmt.Sprint("s", i), AllScopes(), limits, "v")))
	}
	for range 600 {
		c.now += tick
		c.tick()
		c.connect()
		for moved := true; moved; { // one message a connection at a time
			moved = false
			for _, conn := range slices.Clone(c.conns) {
				for side := range conn.queues {
					moved = slices.Contains(c.conns, conn) && c.deliver(conn, side, false) || moved
				}
			}
			for _, m := range c.members {
				if due := m.node.snapshotsPending(); due > limits.MaxSnapshots {
					t.Fatalf("%s has %d snapshots under way", m.config.Name, due)
				}
			}
		}
	}
	c.expectCaughtUp(t, all...)
	for _, m := range append(all, v) {
		if places := len(m.node.Status(c.now).Children); places > limits.FanOut {
			t.Errorf("%s has %d children", m.config.Name, places)
		}
		if depth := len(m.node.Status(c.now).Path); depth > limits.MaxDepth {
			t.Errorf("%s is %d deep", m.config.Name, depth)
		}
	}
}

func TestRegionThatWasCutOffCatchesUp(t *testing.T) {
	c := newCluster()
	c.random = true
	limits := DefaultLimits()
	v := c.add(voter("v", limits))
	relay := c.add(subscriber("relay", AllScopes(), limits, "v"))
	c.fill(10)
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
		c.fill(2)
		c.advance(5*oneSecond, 500*millisecond)
	}
	c.requireConsistent(t)
	if tried := region[0].node.Status(c.now).Counts.Dials - dials; tried > 600 {
		t.Errorf("%d dials in five minutes", tried)
	}
	if age := region[0].node.Status(c.now).Age; age < 290*oneSecond {
		t.Errorf("age %d µs", age)
	}
	for _, m := range region {
		c.heal(v, m)
		c.heal(relay, m)
	}
	c.advance(6*oneSecond, tick)
	c.expectCaughtUp(t, region...)
	if more := snapshots() - before; more > 0 {
		t.Errorf("%d snapshots where deltas would do", more)
	}
}
