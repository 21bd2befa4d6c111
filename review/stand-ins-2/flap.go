package main

import (
	"math/rand/v2"
	"time"
)

// flappingStream judges the other proxies alone: the stream of one proxy breaks six times within nine seconds, and the proxy dials the members
// in turn; then three backends are
// replaced, one each 2 s; all of it twice.
func flappingStream(l *lab) {
	w := newWorld(l)
	s := newSite(l, w)
	defer s.end()
	zones := []string{"a", "b", "c"}
	const proxies = 12
	members(l, s, 12, settings(zones, false, proxies, nil, nil))
	for i := range proxies {
		s.proxies = append(s.proxies, newProxy(l, w, i, zones[i%3], classNames, false, santiagoDelay))
	}
	s.rejoin(func(p *proxy) int { return p.number }, false, func() time.Duration { return time.Duration(550+rand.IntN(200)) * time.Millisecond })
	s.collect(zones, 2*time.Second)
	s.serve(20, s.checkDrain(3300*time.Millisecond, func(_ *controller, p *proxy) bool { return p.number != 0 }))
	time.Sleep(14 * time.Second)
	for i := range 2 {
		if l.trouble {
			for range 6 {
				s.proxies[0].leave()
				time.Sleep(1500 * time.Millisecond)
			}
		}
		for step := range 3 {
			s.replace(3*i + step)
			time.Sleep(2 * time.Second)
		}
		time.Sleep(12 * time.Second)
	}
}
