package distribution

import (
	"fmt"
	"slices"
	"testing"
)

// subscribe sends a request of a caller to a member and gives the answer.
func (c *cluster) subscribe(m *member, request *Subscribe) Message {
	asker := &member{cluster: c, config: Config{Name: request.Name}, frozen: true}
	link := m.node.Incoming(c.now)
	conn := &conn{dialer: asker, acceptor: m, links: [2]Link{1, link}}
	c.conns = append(c.conns, conn)
	m.node.Received(link, request, c.now)
	if len(conn.queues[0]) == 0 {
		return nil
	}
	return conn.queues[0][0]
}

func TestSubscribeIsRefusedForEachReason(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxDepth, limits.MaxScopes, limits.FanOut = 2, 3, 3
	c, _, first, _, leaf := tree(t, limits)
	empty := c.add(subscriber("empty", AllScopes(), limits))
	for _, story := range []struct {
		name    string
		at      *member
		request Subscribe
		reason  RefusalReason
	}{
		{"no name", first, Subscribe{}, RefusedMalformed},
		{"scopes out of order", first, Subscribe{Name: "x", Scopes: Scopes{Names: []string{"b", "a"}}}, RefusedMalformed},
		{"too many scopes", first, Subscribe{Name: "x", Scopes: SomeScopes("a", "b", "c", "d")}, RefusedMalformed},
		{"nothing there yet", empty, Subscribe{Name: "x", Scopes: AllScopes()}, RefusedEmpty},
		{"more scopes than the parent has", first, Subscribe{Name: "v", Scopes: SomeScopes("a")}, RefusedLoop},
		{"itself", first, Subscribe{Name: "first", Scopes: SomeScopes("a")}, RefusedLoop},
		{"too deep", leaf, Subscribe{Name: "x", Scopes: SomeScopes("a")}, RefusedTooDeep},
		{"another record", first, Subscribe{Name: "x", Version: Version{Epoch{7, 71}, 4}}, RefusedConflict},
	} {
		t.Run(story.name, func(t *testing.T) {
			refused, is := c.subscribe(story.at, &story.request).(*Refused)
			if !is || refused.Reason != story.reason {
				t.Fatalf("answer %+v", refused)
			}
			if refused.RetryAfter < limits.MinBackoff || refused.RetryAfter > limits.MaxRetryAfter {
				t.Errorf("retry after %d", refused.RetryAfter)
			}
		})
	}
}

func TestSubscribeOfScopesThatTheParentLacksIsRefused(t *testing.T) {
	limits := DefaultLimits()
	c, _, leaf := duo(t, limits)
	for _, wider := range []Scopes{AllScopes(), SomeScopes("b"), SomeScopes("a", "b")} {
		refused, is := c.subscribe(leaf, &Subscribe{Name: "x", Scopes: wider}).(*Refused)
		if !is || refused.Reason != RefusedNotCovered {
			t.Errorf("%v: %+v", wider, refused)
		}
	}
	if _, is := c.subscribe(leaf, &Subscribe{Name: "x", Scopes: SomeScopes("a")}).(*Admitted); !is {
		t.Error("the same scopes are not admitted")
	}
}

func TestFullParentProposesItsChildren(t *testing.T) {
	limits := DefaultLimits()
	limits.FanOut = 2
	c, v, _, _, _ := tree(t, limits)
	refused, is := c.subscribe(v, &Subscribe{Name: "x", Scopes: SomeScopes("a"), FanOut: 1}).(*Refused)
	if !is || refused.Reason != RefusedFull {
		t.Fatalf("answer %+v", refused)
	}
	slices.Sort(refused.Candidates)
	if fmt.Sprint(refused.Candidates) != "[first second]" {
		t.Errorf("candidates %v", refused.Candidates)
	}
	late := c.add(subscriber("late", SomeScopes("a"), limits, "v"))
	c.advance(2*second, tick)
	c.expectCaughtUp(t, late)
	if parent := late.node.Status(c.now).Parent; parent != "first" && parent != "second" {
		t.Errorf("the parent is %q", parent)
	}
}

func TestLeafIsEvictedForASubscriberWithChildren(t *testing.T) {
	limits := DefaultLimits()
	limits.FanOut = 2
	leafLimits := limits
	leafLimits.FanOut = 0
	c := newCluster()
	v := c.add(voter("v", limits))
	c.fill(3)
	c.advance(tick, tick)
	var leaves []*member
	for i := range 2 {
		leaves = append(leaves, c.add(subscriber(fmt.Sprint("leaf", i), SomeScopes("a"), leafLimits, "v")))
	}
	c.advance(second, tick)
	relay := c.add(subscriber("relay", AllScopes(), limits, "v"))
	c.advance(2*DefaultMaxRetryAfter, tick)
	c.fill(1)
	c.advance(second, tick)
	c.expectCaughtUp(t, append(leaves, relay)...)
	if children := v.node.Status(c.now).Children; !slices.Contains(children, "relay") || len(children) != limits.FanOut {
		t.Errorf("the voter's children are %v", children)
	}
	other := c.add(subscriber("other", SomeScopes("a"), leafLimits, "v"))
	c.advance(3*second, tick)
	c.expectCaughtUp(t, other)
	if children := v.node.Status(c.now).Children; !slices.Contains(children, "relay") {
		t.Errorf("a leaf has displaced the relay: %v", children)
	}
}

func TestSubscribersBeyondMaxSnapshotsAreRefusedAsBusy(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxSnapshots, limits.PieceBytes = 2, 100
	c := newCluster()
	v := c.add(voter("v", limits))
	for i := range 100 {
		c.accept(set("a", fmt.Sprint(i), string(make([]byte, 500))))
	}
	c.advance(tick, tick)
	var waits []int64
	for i := range 5 {
		answer := c.subscribe(v, &Subscribe{Name: fmt.Sprint("x", i), Scopes: SomeScopes("a")})
		refused, is := answer.(*Refused)
		if is != (i >= limits.MaxSnapshots) {
			t.Fatalf("answer %d: %+v", i, answer)
		}
		if is {
			waits = append(waits, refused.RetryAfter)
		}
	}
	if slices.Max(waits) > limits.MaxRetryAfter || slices.Min(waits) < second {
		t.Errorf("waits %v", waits)
	}
	version := v.node.Version()
	request := &Subscribe{Name: "y", Scopes: SomeScopes("a"), Version: version, Digest: v.node.store.digestFor(SomeScopes("a"))}
	if _, is := c.subscribe(v, request).(*Admitted); !is {
		t.Error("one that needs no snapshot is refused")
	}
}

func TestSubscribersThatLoseTheVoterFormNoLoop(t *testing.T) {
	limits := DefaultLimits()
	c := newCluster()
	c.random = true
	v := c.add(voter("v", limits))
	upper := c.add(subscriber("upper", AllScopes(), limits, "v", "middle", "lower"))
	c.fill(3)
	c.advance(4*second, tick)
	middle := c.add(subscriber("middle", AllScopes(), limits, "upper", "lower"))
	c.advance(second, tick)
	lower := c.add(subscriber("lower", AllScopes(), limits, "middle", "upper"))
	c.advance(4*second, tick)
	c.expectCaughtUp(t, upper, middle, lower)
	c.cut(v, upper)
	c.cut(v, middle)
	c.cut(v, lower)
	for range 60 {
		c.advance(second, tick)
		c.requireConsistent(t)
		if age := lower.node.Status(c.now).Age; age > 70*second {
			t.Fatalf("age %d", age)
		}
	}
	for _, m := range []*member{upper, middle, lower} {
		if age := m.node.Status(c.now).Age; age < 58*second {
			t.Errorf("%s says that it is %d µs old", m.config.Name, age)
		}
	}
	c.heal(v, upper)
	c.fill(1)
	c.advance(15*second, tick)
	c.expectCaughtUp(t, upper, middle, lower)
}

func TestHalfOpenPlaceIsReplacedByTheSameName(t *testing.T) {
	c, v, leaf := duo(t, DefaultLimits())
	for _, conn := range c.conns { // the leaf's process is gone, and the voter has not heard of it
		conn.dialer = &member{cluster: c, config: Config{Name: "lost"}, frozen: true}
	}
	leaf.start(State{})
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	if children := v.node.Status(c.now).Children; fmt.Sprint(children) != "[leaf]" {
		t.Errorf("children %v", children)
	}
}

func TestCallersThatDoNotSubscribeAreBounded(t *testing.T) {
	c, v, _ := duo(t, DefaultLimits())
	accepted := 0
	for range 10_000 {
		if v.node.Incoming(c.now) != 0 {
			accepted++
		}
	}
	if accepted != DefaultFanOut+maxExtraCallers {
		t.Errorf("%d callers", accepted)
	}
	c.advance(DefaultHandshake+tick, tick)
	if len(v.node.callers) > 0 {
		t.Errorf("%d callers are still there", len(v.node.callers))
	}
}

func TestLearnedCandidatesAreBounded(t *testing.T) {
	c, _, leaf := duo(t, DefaultLimits())
	for i := range 1000 {
		leaf.node.learnCandidates([]string{fmt.Sprint("peer", i)}, i%2 == 0)
	}
	if len(leaf.node.candidates) != DefaultMaxCandidates+1 {
		t.Errorf("%d candidates", len(leaf.node.candidates))
	}
	if leaf.node.candidateByName("v") == nil || leaf.node.candidateByName("peer999") == nil {
		t.Error("the configured one or the latest is gone")
	}
	c.requireConsistent(t)
}

func TestSubscriberRefusesStateOverStateBytes(t *testing.T) {
	small := DefaultLimits()
	small.StateBytes = 4000
	c := newCluster()
	c.add(voter("v", DefaultLimits()))
	c.fill(3)
	leaf := c.add(subscriber("leaf", SomeScopes("a"), small, "v"))
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	before := leaf.node.Version()
	c.accept(set("a", "large", string(make([]byte, 5000))))
	c.advance(10*second, tick)
	c.requireConsistent(t)
	if leaf.node.Version() != before || leaf.eventCount(EventTooLarge) == 0 {
		t.Errorf("it is at %v", leaf.node.Version())
	}
	c.accept(deletion("a", "large"))
	c.advance(10*second, tick)
	c.expectCaughtUp(t, leaf)
}

func TestChildThatConfirmsNothingLosesItsPlace(t *testing.T) {
	c, v, _ := duo(t, DefaultLimits())
	version := v.node.Version()
	request := &Subscribe{Name: "x", Scopes: AllScopes(), Version: version, Digest: v.node.store.digest}
	if _, is := c.subscribe(v, request).(*Admitted); !is {
		t.Fatal("it is not admitted")
	}
	link := v.node.children[1].link
	for seconds := 0; v.node.childByLink(link) != nil; seconds++ {
		if seconds > 2*maxUnconfirmedMessages {
			t.Fatal("it keeps its place for ever")
		}
		c.now += second
		v.node.Received(link, &Renew{Version: version}, c.now)
		v.node.Tick(c.now)
	}
}
