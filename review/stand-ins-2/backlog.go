package main

import (
	"fmt"
	"time"
)

// backlogWithLimits: a zone is lost, and a limit goes out with the entries that leave. A trial for rule 5.
func backlogWithLimits(l *lab) {
	zones := []string{"a", "b"}
	const proxies = 60
	w := newWorld(l)
	var entries []backend
	for i := range 24 {
		entries = append(entries, backend{ID: fmt.Sprintf("s-%02d", i), Zone: zones[i/12], State: "up"})
	}
	w.set(entries...)
	s := newSite(l, w)
	defer s.end()
	c := l.addController("n0", w, settings(zones, false, proxies, nil, nil))
	c.start()
	c.awaitAlive()
	for i := range proxies {
		s.proxies = append(s.proxies, newProxy(l, w, i, zones[i%2], classNames, false, santiagoDelay))
	}
	c.channel.check = true
	s.rejoin(func(*proxy) int { return 0 }, true, santiagoRedial)
	s.collect(zones, 2*time.Second)
	s.serve(8, func(*proxy, string, string, time.Time) {})
	time.Sleep(20 * time.Second)
	if l.trouble {
		l.note("zone a is lost")
		for i := range entries[:12] {
			entries[i].State = "removed"
		}
		w.set(entries[:12]...)
	}
	time.Sleep(12 * time.Second)
	l.note("at most %.0f lines waited in the channel, %.0f are allowed", c.channel.peak, c.channel.backlog)
}
