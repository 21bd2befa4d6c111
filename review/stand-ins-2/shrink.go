package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// shrink: fourteen of twenty-four backends drain, one each 0.9 s. With SHARING=0 the same two controllers do not
// share their proxies.
func shrink(l *lab) {
	w := newWorld(l)
	s := newSite(l, w)
	defer s.end()
	zones := []string{"a", "b", "c"}
	const proxies = 12
	var entries []backend
	for i := range 24 {
		entries = append(entries, backend{ID: fmt.Sprintf("s-%02d", i), Zone: zones[i%3], State: "up"})
	}
	w.set(entries...)
	for i := range 2 {
		l.addController(fmt.Sprint("n", i), w, muscatSettings(zones, false, proxies))
	}
	sharing := os.Getenv("SHARING") != "0"
	if sharing {
		l.share()
	}
	for _, c := range l.controllers {
		c.start()
	}
	for _, c := range l.controllers {
		c.awaitAlive()
	}
	if sharing {
		l.awaitQuorum()
	}
	for i := range proxies {
		s.proxies = append(s.proxies, newProxy(l, w, i, zones[i%3], classNames, false, muscatDelay))
		s.proxies[i].every = time.Second
	}
	s.rejoin(func(p *proxy) int { return p.number }, true, func() time.Duration { return time.Duration(100+rand.IntN(2400)) * time.Millisecond })
	s.collect(zones, time.Second)
	s.serve(13, s.checkDrain(1800*time.Millisecond, func(*controller, *proxy) bool { return true }))
	time.Sleep(14 * time.Second)
	if l.trouble {
		for i := range 14 {
			entry := w.get(fmt.Sprintf("s-%02d", i))
			entry.State = "draining"
			w.set(entry)
			time.Sleep(900 * time.Millisecond)
		}
	}
	time.Sleep(8 * time.Second)
}
