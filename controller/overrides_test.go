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
		for _, e := range o.merged(nil, "s-3", e) {
			all = append(all, fmt.Sprint(e.State, e.Weight))
		}
		return strings.Join(all, ", ")
	}
	puts := func(e distribution.Entry, usable bool) {
		t.Helper()
		if _, ok := o.apply(e); ok != usable {
			t.Errorf("%+v: usable %v", e, ok)
		}
	}
	wants := func(e balancer.Endpoint, want string) {
		t.Helper()
		if got := merged(e); got != want {
			t.Errorf("got %s, not %s", got, want)
		}
	}
	wants(ready, fmt.Sprint(balancer.Ready, 2))
	puts(distributedEntry("weight/s-3", "0.5", 1), true)
	wants(ready, fmt.Sprint(balancer.Ready, 0.5))
	other := distributedEntry("weight/s-3", "1.5", 2)
	other.Scope = "orders"
	puts(other, true)
	wants(ready, fmt.Sprint(balancer.Ready, 1.5)) // set last
	puts(distributedEntry("drain/s-3", "true", 3), true)
	wants(ready, fmt.Sprint(balancer.Draining, 1.5))
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
		puts(step.drain, true)
		if got := o.merged(nil, "s-3", ready)[0].DrainingSince; got != step.since {
			t.Errorf("drained since %d, not %d", got, step.since)
		}
	}
	first.Deleted, unknown.Deleted = true, true
	puts(first, true)
	puts(unknown, true)
	if got := o.merged(nil, "s-3", ready)[0].DrainingSince; got != 9 {
		t.Errorf("drained since %d once the first is over", got)
	}
	gone := ready
	gone.State = balancer.Removed
	wants(gone, fmt.Sprintf("%v 1.5, %v 1.5", balancer.Draining, balancer.Removed))
	for _, nonsense := range []string{"false", "", "1"} { // as if it were not there
		puts(distributedEntry("drain/s-3", nonsense, 4), false)
		wants(ready, fmt.Sprint(balancer.Ready, 1.5))
	}
	other.Deleted = true
	puts(other, true)
	wants(ready, fmt.Sprint(balancer.Ready, 0.5))
	for _, nonsense := range []string{"0", "-1", "NaN", "1e9", "x", ""} {
		puts(distributedEntry("weight/s-3", nonsense, 5), false)
		wants(ready, fmt.Sprint(balancer.Ready, 2))
	}
	puts(distributedEntry("limit/t1", "5", 6), true)
	puts(distributedEntry("drain/s-3", "true", 7), true)
	for _, nonsense := range []string{"-1", "NaN", "Inf", "x", ""} {
		puts(distributedEntry("limit/read it", nonsense, 8), false)
	}
	if limit := o.limitOf("read it"); limit != 0 {
		t.Errorf("a limit of %v", limit)
	}
	puts(distributedEntry("limit/read it", "7", 9), true)
	lower := distributedEntry("limit/read it", "0", 10)
	lower.Scope = "orders"
	if puts(lower, true); o.limitOf("read it") != minLimit {
		t.Errorf("of 7 and 0 the limit is %v", o.limitOf("read it"))
	}
	lower.Deleted = true
	if puts(lower, true); o.limitOf("read it") != 7 {
		t.Errorf("the limit that is left is %v", o.limitOf("read it"))
	}
	changed := o.reset()
	slices.SortFunc(changed, func(a, b subject) int { return strings.Compare(a.backend+a.class, b.backend+b.class) })
	if want := []subject{{class: "read it"}, {backend: "s-3"}, {class: "t1"}}; !slices.Equal(changed, want) {
		t.Errorf("reset %v", changed)
	}
	wants(ready, fmt.Sprint(balancer.Ready, 2))
	if len(o.drains)+len(o.weights)+len(o.classLimits) != 0 {
		t.Errorf("left over: %+v", o)
	}
}

// drainOf is what arrives when a backend is drained, or let back.
func drainOf(id string, revision uint64, deleted bool) []distribution.Entry {
	e := distributedEntry("drain/"+id, "true", revision)
	e.Deleted = deleted
	return []distribution.Entry{e}
}

// picks takes what a proxy was told, and gives what it can pick.
func (h *fakeProxy) receivePicks(t *testing.T, p *connection) []string {
	t.Helper()
	h.receive(t, p)
	return h.picks(0)
}

func TestDistributedEntriesReachDecisions(t *testing.T) {
	begins := func(t *testing.T) (*eventLoop, *fakeProxy, *connection) {
		m, _ := newIdleLoop(t)
		m.overrides = newOverrides()
		m.iterate(func() {
			m.endpointsUpdated(true, 2, parsed(t, "["+endpointJSON(0, "up")+","+endpointJSON(1, "up")+"]").GetArray())
		})
		p, h := connectProxy(t, m, 1, 0, false), newFakeProxy("read it", "write")
		if got := h.receivePicks(t, p); len(got) != 2 {
			t.Fatalf("picks %v", got)
		}
		m.iterate(func() { m.acknowledged(p, h.nonces[len(h.nonces)-1]) })
		return m, h, p
	}
	without := func(t *testing.T, m *eventLoop, h *fakeProxy, p *connection, id string) {
		t.Helper()
		advance(m, 2*microsPerSecond, func() {})
		if got := h.receivePicks(t, p); slices.Contains(got, id) {
			t.Errorf("picks %v", got)
		}
	}
	t.Run("a drain takes a backend out, and its end brings it back", func(t *testing.T) {
		m, h, p := begins(t)
		m.iterate(func() { m.applyDistributed(drainOf("s-0", 1, false), false) })
		without(t, m, h, p, "s-0")
		m.iterate(func() { // whatever discovery says
			m.endpointsUpdated(true, 3, parsed(t, "["+endpointJSON(0, "up")+","+endpointJSON(1, "up")+"]").GetArray())
		})
		without(t, m, h, p, "s-0")
		m.iterate(func() { m.applyDistributed(drainOf("s-0", 2, true), false) })
		advance(m, 5*microsPerSecond, func() {})
		if got := h.receivePicks(t, p); !slices.Contains(got, "s-0") {
			t.Errorf("picks %v", got)
		}
	})
	t.Run("a drain counts for a backend that is listed later", func(t *testing.T) {
		m, h, p := begins(t)
		m.iterate(func() { m.applyDistributed(drainOf("s-2", 1, false), false) })
		m.iterate(func() { m.endpointsUpdated(false, 3, parsed(t, "["+endpointJSON(2, "up")+"]").GetArray()) })
		without(t, m, h, p, "s-2")
	})
	t.Run("a drain of one that discovery has dropped takes it out", func(t *testing.T) {
		m, h, p := begins(t)
		m.iterate(func() { m.endpointsUpdated(true, 3, parsed(t, "["+endpointJSON(1, "up")+"]").GetArray()) })
		m.iterate(func() { m.applyDistributed(drainOf("s-0", 1, false), false) })
		without(t, m, h, p, "s-0")
		advance(m, m.limits.forgetAfter+2*microsPerSecond, func() {})
		if m.backends.ids[0] == "s-0" {
			t.Error("it is never forgotten")
		}
		m.iterate(func() { m.endpointsUpdated(false, 4, parsed(t, "["+endpointJSON(8, "up")+"]").GetArray()) })
		advance(m, 5*microsPerSecond, func() {})
		next := newFakeProxy("read it", "write")
		if got := next.receivePicks(t, connectProxy(t, m, 2, 1, false)); m.backends.ids[0] != "s-8" || !slices.Contains(got, "s-8") {
			t.Errorf("the next that has its index is %s; picks %v", m.backends.ids[0], got)
		}
	})
	t.Run("a full configuration ends what it lacks", func(t *testing.T) {
		m, h, p := begins(t)
		m.iterate(func() { m.applyDistributed(drainOf("s-0", 1, false), false) })
		without(t, m, h, p, "s-0")
		m.iterate(func() { m.applyDistributed(nil, true) })
		advance(m, 5*microsPerSecond, func() {})
		if got := h.receivePicks(t, p); !slices.Contains(got, "s-0") {
			t.Errorf("picks %v", got)
		}
	})
	t.Run("a limit of a class is told to the proxies, and its end", func(t *testing.T) {
		m, h, p := begins(t)
		index := m.classIndex["read it"]
		comes := func() {
			for range 8 {
				m.decisions.DemandReported(0, index, 80, microsPerSecond)
				advance(m, microsPerSecond, func() {})
				h.receive(t, p)
				m.iterate(func() { m.acknowledged(p, h.nonces[len(h.nonces)-1]) })
			}
		}
		comes()
		m.iterate(func() {
			m.applyDistributed([]distribution.Entry{distributedEntry("limit/read it", "8", 1), distributedEntry("limit/tenant-17", "1", 1)}, false)
		})
		comes()
		if len(h.limits[0]) == 0 || h.limits[0][0] <= 0 || h.limits[0][0] > 8.1 {
			t.Errorf("levels %v", h.limits)
		}
		m.iterate(func() { m.applyDistributed(nil, true) })
		comes()
		if len(h.limits[0]) > 0 && h.limits[0][0] <= 80 {
			t.Errorf("levels once it is over: %v", h.limits)
		}
	})
	t.Run("a weight stands over the listed one", func(t *testing.T) {
		m, h, p := begins(t)
		m.iterate(func() { m.applyDistributed([]distribution.Entry{distributedEntry("weight/s-0", "4", 1)}, false) })
		advance(m, 20*microsPerSecond, func() {})
		h.receive(t, p)
		if lines := h.lines[0]; lines["s-0"] <= lines["s-1"] {
			t.Errorf("lines %v", lines)
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
		t.Errorf("got %s, %v, %v", got, ok, err)
	}
	if _, ok, err := readDistributed(parsed(t, `{}`)); ok || err != nil {
		t.Errorf("a file without it: %v, %v", ok, err)
	}
	if entries, ok, err := readDistributed(parsed(t, `{"distributed":{}}`)); !ok || err != nil || len(entries) != 0 {
		t.Errorf("nothing is to be distributed: %v, %v, %v", entries, ok, err)
	}
	for bad, want := range map[string]string{
		`[]`:                               "configuration: distributed: is no object",
		`{"pricing":[]}`:                   "configuration: distributed.pricing: is no object",
		`{"pricing":{"drain":true}}`:       "configuration: distributed.pricing.drain: is no object",
		`{"pricing":{"drian":{"s":1}}}`:    "configuration: distributed.pricing.drian.s: is of an unknown kind",
		`{"pricing":{"drain":{"s":1}}}`:    "configuration: distributed.pricing.drain.s: is 1; a drain is true",
		`{"pricing":{"weight":{"s":0}}}`:   "configuration: distributed.pricing.weight.s: is 0; give a number above 0",
		`{"pricing":{"weight":{"s":"2"}}}`: `configuration: distributed.pricing.weight.s: is "2"; give`,
		`{"pricing":{"limit":{"t":-1}}}`:   "configuration: distributed.pricing.limit.t: is -1; give a number",
		`{"pricing":{"route":{"t":1}}}`:    "configuration: distributed.pricing.route.t: is no object",
		`{"":{"route":{"t":{}}}}`:          `configuration: distributed: "" is no name`,
	} {
		if _, _, err := readDistributed(parsed(t, `{"distributed":`+bad+`}`)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: got %v", bad, err)
		}
	}
}
