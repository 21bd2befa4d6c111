package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// messagesWithoutTables: a zone is lost with its proxies, which come back and join before any backend of
// theirs; meanwhile backends of the other zones are replaced.
func messagesWithoutTables(l *lab) {
	zones := []string{"a", "b", "c"}
	const most, window = 12, 10 * time.Second
	w := newWorld(l)
	var entries []backend
	for i := range 24 {
		entries = append(entries, backend{ID: fmt.Sprintf("s-%02d", i), Zone: zones[i/8], State: "up"})
	}
	w.set(entries...)
	s := newSite(l, w)
	defer s.end()
	const proxies = 12
	with := muscatSettings(zones, true, proxies)
	for i := range 2 {
		l.addController(fmt.Sprint("n", i), w, with)
	}
	for _, c := range l.controllers {
		c.start()
		c.awaitAlive()
	}
	for i := range proxies {
		s.proxies = append(s.proxies, newProxy(l, w, i, zones[i%3], classNames, true, muscatDelay))
		s.proxies[i].every = time.Second
	}
	// The proxies of zone c join the controller of their own zone.
	s.rejoin(func(p *proxy) int {
		if p.zone == "c" {
			return 1
		}
		return 0
	}, true, func() time.Duration { return time.Duration(100+rand.IntN(2400)) * time.Millisecond })
	s.collect(zones, time.Second)
	s.serve(13, func(*proxy, string, string, time.Time) {})
	go s.countMessages(most, window)
	time.Sleep(12 * time.Second)
	if l.trouble {
		s.loseZoneOf("c", 16, 24)
	}
	for i := range 14 {
		old := w.get(fmt.Sprintf("s-%02d", i))
		old.State = "draining"
		w.set(old, backend{ID: fmt.Sprintf("s-new-%02d", i), Zone: old.Zone, State: "up", StartedMS: time.Now().UnixMilli()})
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if l.trouble {
		l.note("zone c returns")
		var back []backend
		for i := 16; i < 24; i++ {
			back = append(back, backend{ID: fmt.Sprintf("s-%02d", i), Zone: "c", State: "up", StartedMS: time.Now().UnixMilli()})
		}
		w.set(back...)
	}
	time.Sleep(6 * time.Second)
}

// loseZoneOf ends the backends and the proxies of a zone. The proxies are back, cold, 2 s later.
func (s *site) loseZoneOf(zone string, from, to int) {
	s.lab.note("zone %s is lost with its proxies", zone)
	var lost []backend
	for i := from; i < to; i++ {
		lost = append(lost, backend{ID: fmt.Sprintf("s-%02d", i), Zone: zone, State: "removed"})
	}
	for _, down := range []bool{true, false} {
		for _, p := range s.proxies {
			if p.zone != zone {
				continue
			}
			if down {
				p.mutex.Lock()
				p.down = true
				p.mutex.Unlock()
				p.leave()
				continue
			}
			p.startCold()
			p.mutex.Lock()
			p.down = false
			p.mutex.Unlock()
		}
		if down {
			s.world.set(lost...)
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(3 * time.Second)
}

// countMessages checks that no proxy is written more messages than the limit within the window, counted from
// its joining.
func (s *site) countMessages(most int, window time.Duration) {
	broken := map[*stream]bool{}
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, p := range s.proxies {
			p.mutex.Lock()
			joined, times := p.stream, p.messages
			p.mutex.Unlock()
			for i := range times {
				if i >= most && joined != nil && !broken[joined] && times[i].Sub(times[i-most]) < window {
					broken[joined] = true
					count := 0
					for _, at := range times {
						if !at.Before(times[i-most]) && at.Sub(times[i-most]) < window {
							count++
						}
					}
					s.lab.violation("%s has written %d messages to proxy %d within %.2f s, %d are allowed within %.0f s",
						joined.controller.name, most+1, p.number, times[i].Sub(times[i-most]).Seconds(), most, window.Seconds())
				}
			}
		}
	}
}
