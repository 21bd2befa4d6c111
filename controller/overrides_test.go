package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"wheelrill/balancer"
	"wheelrill/distribution"
)

func distributedEntry(name, value string, revision uint64) distribution.Entry {
	return distribution.Entry{Scope: "pricing", Name: name, Value: []byte(value), Revision: revision, AcceptedAt: 1}
}

func TestOverridesOfEndpoints(t *testing.T) {
	o := newOverrides()
	ready := balancer.Endpoint{Backend: 3, State: balancer.Ready, Weight: 2}
	merged := func(e balancer.Endpoint) string {
		var all []string
		for _, endpoint := range o.appendMerged(nil, "s-3", e) {
			all = append(all, fmt.Sprint(endpoint.State, endpoint.Weight))
		}
		return strings.Join(all, ", ")
	}
	apply := func(e distribution.Entry, usable bool) {
		t.Helper()
		if _, ok := o.apply(e); ok != usable {
			t.Errorf("apply(%+v) returned %v, want %v", e, ok, usable)
		}
	}
	expectMerged := func(e balancer.Endpoint, want string) {
		t.Helper()
		if got := merged(e); got != want {
			t.Errorf("merged endpoints are %s, want %s", got, want)
		}
	}
	expectMerged(ready, fmt.Sprint(balancer.Ready, 2))
	apply(distributedEntry("weight/s-3", "0.5", 1), true)
	expectMerged(ready, fmt.Sprint(balancer.Ready, 0.5))
	other := distributedEntry("weight/s-3", "1.5", 2)
	other.Scope = "orders"
	apply(other, true)
	expectMerged(ready, fmt.Sprint(balancer.Ready, 1.5)) // the weight with the newest revision applies
	apply(distributedEntry("drain/s-3", "true", 3), true)
	expectMerged(ready, fmt.Sprint(balancer.Draining, 1.5))
	first := distributedEntry("drain/s-3", "true", 2)
	first.Scope, first.AcceptedAt = "orders", 5
	second := distributedEntry("drain/s-3", "true", 4)
	second.AcceptedAt = 9
	unknown := distributedEntry("drain/s-3", "true", 5)
	unknown.Scope, unknown.AcceptedAt = "billing", 0
	for _, step := range []struct {
		drain distribution.Entry
		since int64
	}{{second, 9}, {first, 5}, {unknown, 5}} {
		apply(step.drain, true)
		if got := o.appendMerged(nil, "s-3", ready)[0].DrainingSince; got != step.since {
			t.Errorf("drained since %d, want %d", got, step.since)
		}
	}
	first.Deleted, unknown.Deleted = true, true
	apply(first, true)
	apply(unknown, true)
	if got := o.appendMerged(nil, "s-3", ready)[0].DrainingSince; got != 9 {
		t.Errorf("drained since %d after the first drain has ended, want 9", got)
	}
	removed := ready
	removed.State = balancer.Removed
	expectMerged(removed, fmt.Sprintf("%v 1.5, %v 1.5", balancer.Draining, balancer.Removed))
	for _, unusable := range []string{"false", "", "1"} { // an entry with an unusable value counts as deleted
		apply(distributedEntry("drain/s-3", unusable, 4), false)
		expectMerged(ready, fmt.Sprint(balancer.Ready, 1.5))
	}
	other.Deleted = true
	apply(other, true)
	expectMerged(ready, fmt.Sprint(balancer.Ready, 0.5))
	for _, unusable := range []string{"0", "-1", "NaN", "1e9", "x", ""} {
		apply(distributedEntry("weight/s-3", unusable, 5), false)
		expectMerged(ready, fmt.Sprint(balancer.Ready, 2))
	}
	apply(distributedEntry("limit/t1", "5", 6), true)
	apply(distributedEntry("drain/s-3", "true", 7), true)
	for _, unusable := range []string{"-1", "NaN", "Inf", "x", ""} {
		apply(distributedEntry("limit/read it", unusable, 8), false)
	}
	if limit := o.limitOf("read it"); limit != 0 {
		t.Errorf("unusable values set a limit of %v", limit)
	}
	apply(distributedEntry("limit/read it", "7", 9), true)
	lower := distributedEntry("limit/read it", "0", 10)
	lower.Scope = "orders"
	if apply(lower, true); o.limitOf("read it") != minLimit {
		t.Errorf("the limit of entries of 7 and 0 is %v, want minLimit", o.limitOf("read it"))
	}
	lower.Deleted = true
	if apply(lower, true); o.limitOf("read it") != 7 {
		t.Errorf("the limit after the entry of 0 was deleted is %v, want 7", o.limitOf("read it"))
	}
	changed := o.reset()
	slices.SortFunc(changed, func(a, b subject) int { return strings.Compare(a.backend+a.class, b.backend+b.class) })
	if want := []subject{{class: "read it"}, {backend: "s-3"}, {class: "t1"}}; !slices.Equal(changed, want) {
		t.Errorf("reset returned %v, want %v", changed, want)
	}
	expectMerged(ready, fmt.Sprint(balancer.Ready, 2))
	if len(o.drains)+len(o.weights)+len(o.classLimits) != 0 {
		t.Errorf("overrides after reset: %+v", o)
	}
}

// drainOf returns the entry that arrives when a backend is drained, or when its drain ends.
func drainOf(id string, revision uint64, deleted bool) []distribution.Entry {
	e := distributedEntry("drain/"+id, "true", revision)
	e.Deleted = deleted
	return []distribution.Entry{e}
}

// receivePicks applies the messages to a proxy, and returns the backends that it can pick.
func (fake *fakeProxy) receivePicks(t *testing.T, conn *connection) []string {
	t.Helper()
	fake.receive(t, conn)
	return fake.picks(0)
}

func TestDistributedEntriesReachDecisions(t *testing.T) {
	newLoop := func(t *testing.T) (*eventLoop, *fakeProxy, *connection) {
		loop, _ := newIdleLoop(t)
		loop.overrides = newOverrides()
		loop.iterate(func() {
			loop.endpointsUpdated(true, 2, parsed(t, "["+endpointJSON(0, "up")+","+endpointJSON(1, "up")+"]").GetArray())
		})
		conn, fake := connectProxy(t, loop, 1, 0, false), newFakeProxy("read it", "write")
		if got := fake.receivePicks(t, conn); len(got) != 2 {
			t.Fatalf("picks %v, want 2 backends", got)
		}
		loop.iterate(func() { loop.acknowledged(conn, fake.nonces[len(fake.nonces)-1]) })
		return loop, fake, conn
	}
	expectWithout := func(t *testing.T, loop *eventLoop, fake *fakeProxy, conn *connection, id string) {
		t.Helper()
		advance(loop, 2*microsPerSecond, func() {})
		if got := fake.receivePicks(t, conn); slices.Contains(got, id) {
			t.Errorf("picks %v, want none of %s", got, id)
		}
	}
	t.Run("a drained backend is not picked until its drain ends", func(t *testing.T) {
		loop, fake, conn := newLoop(t)
		loop.iterate(func() { loop.applyDistributed(drainOf("s-0", 1, false), false) })
		expectWithout(t, loop, fake, conn, "s-0")
		loop.iterate(func() { // a full list from discovery does not end the drain
			loop.endpointsUpdated(true, 3, parsed(t, "["+endpointJSON(0, "up")+","+endpointJSON(1, "up")+"]").GetArray())
		})
		expectWithout(t, loop, fake, conn, "s-0")
		loop.iterate(func() { loop.applyDistributed(drainOf("s-0", 2, true), false) })
		advance(loop, 5*microsPerSecond, func() {})
		if got := fake.receivePicks(t, conn); !slices.Contains(got, "s-0") {
			t.Errorf("picks %v, want s-0 among them", got)
		}
	})
	t.Run("a drain applies to a backend that is listed later", func(t *testing.T) {
		loop, fake, conn := newLoop(t)
		loop.iterate(func() { loop.applyDistributed(drainOf("s-2", 1, false), false) })
		loop.iterate(func() { loop.endpointsUpdated(false, 3, parsed(t, "["+endpointJSON(2, "up")+"]").GetArray()) })
		expectWithout(t, loop, fake, conn, "s-2")
	})
	t.Run("a drained backend that discovery has dropped is not picked", func(t *testing.T) {
		loop, fake, conn := newLoop(t)
		loop.iterate(func() { loop.endpointsUpdated(true, 3, parsed(t, "["+endpointJSON(1, "up")+"]").GetArray()) })
		loop.iterate(func() { loop.applyDistributed(drainOf("s-0", 1, false), false) })
		expectWithout(t, loop, fake, conn, "s-0")
		advance(loop, loop.limits.forgetAfter+2*microsPerSecond, func() {})
		if loop.backends.ids[0] == "s-0" {
			t.Error("the backend was never forgotten")
		}
		loop.iterate(func() { loop.endpointsUpdated(false, 4, parsed(t, "["+endpointJSON(8, "up")+"]").GetArray()) })
		advance(loop, 5*microsPerSecond, func() {})
		next := newFakeProxy("read it", "write")
		if got := next.receivePicks(t, connectProxy(t, loop, 2, 1, false)); loop.backends.ids[0] != "s-8" ||
			!slices.Contains(got, "s-8") {
			t.Errorf("its index was reused by %q, want s-8; picks %v", loop.backends.ids[0], got)
		}
	})
	t.Run("a full configuration ends drains that it lacks", func(t *testing.T) {
		loop, fake, conn := newLoop(t)
		loop.iterate(func() { loop.applyDistributed(drainOf("s-0", 1, false), false) })
		expectWithout(t, loop, fake, conn, "s-0")
		loop.iterate(func() { loop.applyDistributed(nil, true) })
		advance(loop, 5*microsPerSecond, func() {})
		if got := fake.receivePicks(t, conn); !slices.Contains(got, "s-0") {
			t.Errorf("picks %v, want s-0 among them", got)
		}
	})
	t.Run("a limit of a class and its end reach the proxies", func(t *testing.T) {
		loop, fake, conn := newLoop(t)
		index := loop.classIndex["read it"]
		reportDemand := func() {
			for range 8 {
				loop.decisions.DemandReported(0, index, 80, microsPerSecond)
				advance(loop, microsPerSecond, func() {})
				fake.receive(t, conn)
				loop.iterate(func() { loop.acknowledged(conn, fake.nonces[len(fake.nonces)-1]) })
			}
		}
		reportDemand()
		loop.iterate(func() {
			loop.applyDistributed([]distribution.Entry{distributedEntry("limit/read it", "8", 1),
				distributedEntry("limit/tenant-17", "1", 1)}, false)
		})
		reportDemand()
		if len(fake.limits[0]) == 0 || fake.limits[0][0] <= 0 || fake.limits[0][0] > 8.1 {
			t.Errorf("limits %v, want at most 8.1", fake.limits)
		}
		loop.iterate(func() { loop.applyDistributed(nil, true) })
		reportDemand()
		if len(fake.limits[0]) > 0 && fake.limits[0][0] <= 80 {
			t.Errorf("limits %v after the entry's end, want above 80", fake.limits)
		}
	})
	t.Run("a weight overrides the listed one", func(t *testing.T) {
		loop, fake, conn := newLoop(t)
		loop.iterate(func() { loop.applyDistributed([]distribution.Entry{distributedEntry("weight/s-0", "4", 1)}, false) })
		advance(loop, 20*microsPerSecond, func() {})
		fake.receive(t, conn)
		if lines := fake.lines[0]; lines["s-0"] <= lines["s-1"] {
			t.Errorf("weights %v, want s-0 above s-1", lines)
		}
	})
}

func TestReadingDistributedEntries(t *testing.T) {
	good := `{"distributed":{"pricing":{"drain":{"s-1":true},"weight":{"s-2":0.5},"limit":{"t1":120},
		"route":{"/x":{"to": "pricing"}},"service":{"pricing":{}}},"orders":{"drain":{"s-9":true}}}}`
	entries, ok, err := readDistributed(parsed(t, good))
	var all []string
	for _, e := range entries {
		all = append(all, fmt.Sprintf("%s %s %s", e.Scope, e.Name, e.Value))
	}
	want := `orders drain/s-9 true;pricing drain/s-1 true;pricing limit/t1 120;pricing route//x {"to":"pricing"};` +
		`pricing service/pricing {};pricing weight/s-2 0.5`
	if got := strings.Join(all, ";"); got != want || !ok || err != nil {
		t.Errorf("got %s, %v, error %v; want %s", got, ok, err, want)
	}
	if _, ok, err := readDistributed(parsed(t, `{}`)); ok || err != nil {
		t.Errorf("a configuration without the key: %v, error %v", ok, err)
	}
	if entries, ok, err := readDistributed(parsed(t, `{"distributed":{}}`)); !ok || err != nil || len(entries) != 0 {
		t.Errorf("an empty object: entries %v, %v, error %v", entries, ok, err)
	}
	for bad, want := range map[string]string{
		`[]`:                               "configuration: distributed: is not an object",
		`{"pricing":[]}`:                   "configuration: distributed.pricing: is not an object",
		`{"pricing":{"drain":true}}`:       "configuration: distributed.pricing.drain: is not an object",
		`{"pricing":{"drian":{"s":1}}}`:    "configuration: distributed.pricing.drian.s: is of an unknown kind",
		`{"pricing":{"drain":{"s":1}}}`:    "configuration: distributed.pricing.drain.s: is 1; a drain must be true",
		`{"pricing":{"weight":{"s":0}}}`:   "configuration: distributed.pricing.weight.s: is 0; use a number above 0",
		`{"pricing":{"weight":{"s":"2"}}}`: `configuration: distributed.pricing.weight.s: is "2"; use a number above 0`,
		`{"pricing":{"limit":{"t":-1}}}`:   "configuration: distributed.pricing.limit.t: is -1; use a number of requests",
		`{"pricing":{"route":{"t":1}}}`:    "configuration: distributed.pricing.route.t: is not an object",
		`{"":{"route":{"t":{}}}}`:          `configuration: distributed: "" is not a valid name`,
	} {
		if _, _, err := readDistributed(parsed(t, `{"distributed":`+bad+`}`)); err == nil ||
			!strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: got error %v, want %s", bad, err, want)
		}
	}
}
