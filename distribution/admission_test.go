package distribution

import (
	"fmt"
	"slices"
	"testing"
)

// subscribe sends a Subscribe to a member on a new link, and returns the answer of the member's
// node.
func (c *cluster) subscribe(m *member, request *Subscribe) Message {
	requester := &member{cluster: c, config: Config{Name: request.Name}, frozen: true}
	link := m.node.Incoming(c.now)
	conn := &conn{dialer: requester, acceptor: m, links: [2]Link{1, link}}
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
	c, _, first, _, leaf := newRelayTree(t, limits)
	empty := c.add(subscriber("empty", AllScopes(), limits))
	for _, test := range []struct {
		name    string
		at      *member
		request Subscribe
		reason  RefusalReason
	}{
		{"no name", first, Subscribe{}, RefusedMalformed},
		{"scopes out of order", first, Subscribe{Name: "x", Scopes: Scopes{Names: []string{"b", "a"}}}, RefusedMalformed},
		{"too many scopes", first, Subscribe{Name: "x", Scopes: SomeScopes("a", "b", "c", "d")}, RefusedMalformed},
		{"the parent has no configuration yet", empty, Subscribe{Name: "x", Scopes: AllScopes()}, RefusedEmpty},
		{"the name of the parent's parent", first, Subscribe{Name: "v", Scopes: SomeScopes("a")}, RefusedLoop},
		{"the name of the parent itself", first, Subscribe{Name: "first", Scopes: SomeScopes("a")}, RefusedLoop},
		{"too deep", leaf, Subscribe{Name: "x", Scopes: SomeScopes("a")}, RefusedTooDeep},
		{"an epoch of another record", first, Subscribe{Name: "x", Version: Version{Epoch{7, 71}, 4}}, RefusedConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			refused, ok := c.subscribe(test.at, &test.request).(*Refused)
			if !ok || refused.Reason != test.reason {
				t.Fatalf("the answer is %+v, it should be a refusal for %q", refused, test.reason)
			}
			if refused.RetryAfter < limits.MinBackoff || refused.RetryAfter > limits.MaxRetryAfter {
				t.Errorf("RetryAfter is %d µs, not within %d and %d µs",
					refused.RetryAfter, limits.MinBackoff, limits.MaxRetryAfter)
			}
		})
	}
}

func TestSubscribeOfScopesThatTheParentLacksIsRefused(t *testing.T) {
	limits := DefaultLimits()
	c, _, leaf := newVoterAndLeaf(t, limits)
	for _, wider := range []Scopes{AllScopes(), SomeScopes("b"), SomeScopes("a", "b")} {
		refused, ok := c.subscribe(leaf, &Subscribe{Name: "x", Scopes: wider}).(*Refused)
		if !ok || refused.Reason != RefusedNotCovered {
			t.Errorf("the answer to scopes %v is %+v, it should be a refusal for %q", wider, refused, RefusedNotCovered)
		}
	}
	if _, ok := c.subscribe(leaf, &Subscribe{Name: "x", Scopes: SomeScopes("a")}).(*Admitted); !ok {
		t.Error("a subscriber with the parent's scopes is not admitted")
	}
}

func TestFullParentProposesItsChildren(t *testing.T) {
	limits := DefaultLimits()
	limits.FanOut = 2
	c, v, _, _, _ := newRelayTree(t, limits)
	refused, ok := c.subscribe(v, &Subscribe{Name: "x", Scopes: SomeScopes("a"), FanOut: 1}).(*Refused)
	if !ok || refused.Reason != RefusedFull {
		t.Fatalf("the answer is %+v, it should be a refusal for %q", refused, RefusedFull)
	}
	slices.Sort(refused.Candidates)
	if fmt.Sprint(refused.Candidates) != "[first second]" {
		t.Errorf("the proposed candidates are %v, they should be [first second]", refused.Candidates)
	}
	late := c.add(subscriber("late", SomeScopes("a"), limits, "v"))
	c.advance(2*second, tick)
	c.expectCaughtUp(t, late)
	if parent := late.node.Status(c.now).Parent; parent != "first" && parent != "second" {
		t.Errorf("the parent is %q, it should be \"first\" or \"second\"", parent)
	}
}

func TestLeafIsEvictedForASubscriberWithChildren(t *testing.T) {
	limits := DefaultLimits()
	limits.FanOut = 2
	leafLimits := limits
	leafLimits.FanOut = 0
	c := newCluster()
	v := c.add(voter("v", limits))
	c.acceptChanges(3)
	c.advance(tick, tick)
	var leaves []*member
	for i := range 2 {
		leaves = append(leaves, c.add(subscriber(fmt.Sprint("leaf", i), SomeScopes("a"), leafLimits, "v")))
	}
	c.advance(second, tick)
	relay := c.add(subscriber("relay", AllScopes(), limits, "v"))
	c.advance(2*DefaultMaxRetryAfter, tick)
	c.acceptChanges(1)
	c.advance(second, tick)
	c.expectCaughtUp(t, append(leaves, relay)...)
	if children := v.node.Status(c.now).Children; !slices.Contains(children, "relay") || len(children) != limits.FanOut {
		t.Errorf("the voter's children are %v, they should be %d with the relay", children, limits.FanOut)
	}
	other := c.add(subscriber("other", SomeScopes("a"), leafLimits, "v"))
	c.advance(3*second, tick)
	c.expectCaughtUp(t, other)
	if children := v.node.Status(c.now).Children; !slices.Contains(children, "relay") {
		t.Errorf("a leaf has evicted the relay: the voter's children are %v", children)
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
		refused, ok := answer.(*Refused)
		if ok != (i >= limits.MaxSnapshots) {
			t.Fatalf("answer %d is %+v, only the first %d should be admitted", i, answer, limits.MaxSnapshots)
		}
		if ok {
			waits = append(waits, refused.RetryAfter)
		}
	}
	if slices.Max(waits) > limits.MaxRetryAfter || slices.Min(waits) < second {
		t.Errorf("RetryAfter of the refusals is %v µs, each should be within %d and %d µs",
			waits, second, limits.MaxRetryAfter)
	}
	version := v.node.Version()
	request := &Subscribe{Name: "y", Scopes: SomeScopes("a"), Version: version,
		Digest: v.node.store.digestFor(SomeScopes("a"))}
	if _, ok := c.subscribe(v, request).(*Admitted); !ok {
		t.Error("a subscriber that needs no snapshot is not admitted")
	}
}

func TestSubscribersThatLoseTheVoterFormNoLoop(t *testing.T) {
	limits := DefaultLimits()
	c := newCluster()
	c.random = true
	v := c.add(voter("v", limits))
	upper := c.add(subscriber("upper", AllScopes(), limits, "v", "middle", "lower"))
	c.acceptChanges(3)
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
			t.Fatalf("the age of the lowest subscriber is %d µs, over 70 s", age)
		}
	}
	for _, m := range []*member{upper, middle, lower} {
		if age := m.node.Status(c.now).Age; age < 58*second {
			t.Errorf("the age of %s is %d µs, under 58 s", m.config.Name, age)
		}
	}
	c.heal(v, upper)
	c.acceptChanges(1)
	c.advance(15*second, tick)
	c.expectCaughtUp(t, upper, middle, lower)
}

func TestHalfOpenPlaceIsReplacedByTheSameName(t *testing.T) {
	c, v, leaf := newVoterAndLeaf(t, DefaultLimits())
	for _, conn := range c.conns { // simulates that the leaf's process ended and the voter was not notified
		conn.dialer = &member{cluster: c, config: Config{Name: "lost"}, frozen: true}
	}
	leaf.start(State{})
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	if children := v.node.Status(c.now).Children; fmt.Sprint(children) != "[leaf]" {
		t.Errorf("the voter's children are %v, they should be [leaf]", children)
	}
}

func TestLinksWithoutSubscribeAreBounded(t *testing.T) {
	c, v, _ := newVoterAndLeaf(t, DefaultLimits())
	accepted := 0
	for range 10_000 {
		if v.node.Incoming(c.now) != 0 {
			accepted++
		}
	}
	if accepted != DefaultFanOut+maxExtraUnsubscribed {
		t.Errorf("%d links without a Subscribe were accepted, the bound is %d", accepted, DefaultFanOut+maxExtraUnsubscribed)
	}
	c.advance(DefaultHandshake+tick, tick)
	if len(v.node.unsubscribedLinks) > 0 {
		t.Errorf("%d links without a Subscribe remain after Limits.Handshake", len(v.node.unsubscribedLinks))
	}
}

func TestLearnedCandidatesAreBounded(t *testing.T) {
	c, _, leaf := newVoterAndLeaf(t, DefaultLimits())
	for i := range 1000 {
		leaf.node.learnCandidates([]string{fmt.Sprint("peer", i)}, i%2 == 0)
	}
	if len(leaf.node.candidates) != DefaultMaxCandidates+1 {
		t.Errorf("%d candidates are stored, the bound is %d", len(leaf.node.candidates), DefaultMaxCandidates+1)
	}
	if leaf.node.candidateByName("v") == nil || leaf.node.candidateByName("peer999") == nil {
		t.Error("the configured candidate or the last learned one was removed")
	}
	c.requireConsistent(t)
}

func TestSubscriberRefusesStateOverStateBytes(t *testing.T) {
	small := DefaultLimits()
	small.StateBytes = 4000
	c := newCluster()
	c.add(voter("v", DefaultLimits()))
	c.acceptChanges(3)
	leaf := c.add(subscriber("leaf", SomeScopes("a"), small, "v"))
	c.advance(second, tick)
	c.expectCaughtUp(t, leaf)
	before := leaf.node.Version()
	c.accept(set("a", "large", string(make([]byte, 5000))))
	c.advance(10*second, tick)
	c.requireConsistent(t)
	if leaf.node.Version() != before || leaf.eventCount(EventTooLarge) == 0 {
		t.Errorf("the leaf is at version %v, it should stay at %v and log EventTooLarge", leaf.node.Version(), before)
	}
	c.accept(deletion("a", "large"))
	c.advance(10*second, tick)
	c.expectCaughtUp(t, leaf)
}

func TestChildThatConfirmsNothingLosesItsPlace(t *testing.T) {
	c, v, _ := newVoterAndLeaf(t, DefaultLimits())
	version := v.node.Version()
	request := &Subscribe{Name: "x", Scopes: AllScopes(), Version: version, Digest: v.node.store.digest}
	if _, ok := c.subscribe(v, request).(*Admitted); !ok {
		t.Fatal("the child is not admitted")
	}
	link := v.node.children[1].link
	for seconds := 0; v.node.childByLink(link) != nil; seconds++ {
		if seconds > 2*maxUnconfirmedMessages {
			t.Fatalf("the child still has its place after %d s without a confirmation", seconds)
		}
		c.now += second
		v.node.Received(link, &Renew{Version: version}, c.now)
		v.node.Tick(c.now)
	}
}
