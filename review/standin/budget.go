package main

import (
	"fmt"
	"time"
)

// muscat has the figures of the deployment muscat-union, as far as its brief gives them.
var muscat = deployment{
	zones: []string{"ruwi", "seeb", "bawshar"}, classes: []string{"record-fetch", "holding-add"},
	proxies: 12, backends: 24, grace: 1500 * time.Millisecond, messages: 12, window: 10 * time.Second,
	linesPerS: 1400, backlog: 2800, overhead: 3, propagation: 200 * time.Millisecond, maxLatency: 500 * time.Millisecond,
	report: time.Second, rate: 13,
}

// The fleet shrinks from 24 backends to 10, 42% of its size, within 9.1 s.
const (
	leavingBackends = 14
	leavingInterval = 650 * time.Millisecond
)

// caseBudget: the fleet of backends shrinks, and controllers that share nothing are told of one
// drain after the other.
func caseBudget(r *run) verdict {
	members := r.startAlone(muscat, "n0", "n1")
	f := r.newFleet(muscat, members, func(proxy int) int { return proxy % 2 })
	f.start()
	r.require(await(10*time.Second, f.allJoined), "some proxy gets no table")
	time.Sleep(12 * time.Second) // the messages of the start leave the window
	for i := range leavingBackends {
		if r.trouble {
			for _, m := range members {
				m.discovery.set("draining", fmt.Sprintf("s-%02d", i))
			}
		}
		time.Sleep(leavingInterval)
	}
	time.Sleep(12 * time.Second)
	return f.judgeDrains()
}
