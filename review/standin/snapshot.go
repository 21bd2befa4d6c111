package main

import (
	"fmt"
	"strings"
	"time"
)

// santiago has the figures of the deployment santiago-enlace, as far as its brief gives them.
var santiago = deployment{
	zones: []string{"quilicura", "renca", "pudahuel", "san-bernardo"}, classes: []string{"ticket-sync", "ticket-open"},
	proxies: 16, backends: 20, grace: 3 * time.Second, messages: 30, window: 10 * time.Second,
	linesPerS: 900, backlog: 900, overhead: 4, propagation: 265 * time.Millisecond, maxLatency: 662 * time.Millisecond,
	report: 2 * time.Second, rate: 14,
}

// Three routes of 120 KiB take 360 KiB, which at 16 KiB a second take 22.5 s. The case waits twice
// as long before it judges.
const (
	largeRoutes   = 3
	routeBytes    = 120 << 10
	snapshotBound = 45 * time.Second
)

// caseSnapshot: a subscriber is killed and started again, and has to get the configuration by
// snapshot.
func caseSnapshot(r *run) verdict {
	const backend = "s-00"
	s := &sharing{names: []string{"n0", "n1", "n2"}}
	voters := r.startVoters(santiago, s)
	r.accepted(voters[0], drains(backend))
	subscriber := r.newMember(santiago, "s17", r.freeAddresses(1)[0], subscriberOptions(s, "s17"))
	r.startAll([]*member{subscriber})
	r.require(subscriber.awaitLog(0, 20*time.Second, "msg=snapshot_applied") != "", "the subscriber gets no configuration")
	f := r.newFleet(santiago, []*member{subscriber}, func(int) int { return 0 })
	f.start()
	r.require(await(10*time.Second, f.allJoined), "some proxy gets no table")
	routes := map[string]any{}
	for i := range largeRoutes {
		routes[fmt.Sprintf("/quote/%d", i)] = map[string]any{"service": "pricing", "rules": strings.Repeat("x", routeBytes)}
	}
	entries := drains(backend)
	entries["pricing"].(map[string]any)["route"] = routes
	r.accepted(voters[0], entries)
	r.require(await(10*time.Second, func() bool { return f.picks(backend) == 0 }), "the drain does not come into force")
	time.Sleep(2 * time.Second)
	mark := subscriber.mark()
	if r.trouble {
		subscriber.kill()
		time.Sleep(500 * time.Millisecond)
		subscriber.start()
	}
	time.Sleep(snapshotBound)
	f.drain(backend)
	time.Sleep(12 * time.Second)
	result := f.judgeDrains()
	if r.trouble {
		applied := subscriber.logged(mark, "msg=snapshot_applied")
		result.reason += fmt.Sprintf("; the subscriber logged snapshot_applied after its restart: %v", applied != "")
	}
	return result
}
