package main

import (
	"math/rand/v2"
	"time"
)

// emptyTables checks rule 1: a joined proxy lacks a line to pick for a class for no longer than the limit,
// while the controller's list shows a backend as up that is open to the class and whose start lies the
// warm-up time back.
func (s *site) emptyTables(limit, warmup time.Duration, until time.Time) {
	type key struct {
		p     *proxy
		class string
	}
	since, broken := map[key]time.Time{}, map[key]bool{}
	for time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
		now := time.Now()
		for _, p := range s.proxies {
			c, joined := p.joinedTo()
			for _, class := range p.classes {
				k := key{p, class}
				if c == nil || now.Sub(c.since) < time.Second || p.pick(class) != "" || !s.warmListed(c, p, warmup, now) {
					delete(since, k)
					continue
				}
				if since[k].IsZero() {
					since[k] = now
					s.lab.note("proxy %d has no line to pick for %s, and a warm backend is listed (joined to %s for %.1f s)",
						p.number, class, c.name, now.Sub(joined).Seconds())
				}
				if now.Sub(since[k]) > limit && !broken[k] {
					broken[k] = true
					p.mutex.Lock()
					s.lab.violation("proxy %d has had no line to pick for %s for %.1f s, %.1f s are allowed: table %v, shut out %v",
						p.number, class, now.Sub(since[k]).Seconds(), limit.Seconds(), p.tables[class], p.out)
					p.mutex.Unlock()
				}
			}
		}
	}
}

func (s *site) warmListed(c *controller, p *proxy, warmup time.Duration, now time.Time) bool {
	for _, b := range s.world.list() {
		state, _ := c.agent.toldAt(b.ID)
		open := !p.local || b.Zone == p.zone
		if open && b.State == "up" && state == "up" && now.UnixMilli()-b.StartedMS >= warmup.Milliseconds() {
			return true
		}
	}
	return false
}

// coldOut: a zone is lost with its proxies. The proxies are back first, hold no ordered table, and are told to
// shut out the lost backends. Their streams break as the zone returns.
func coldOut(l *lab) {
	zones := []string{"a", "b"}
	w := newWorld(l)
	var entries []backend
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
		entries = append(entries, backend{ID: "s-" + id, Zone: id[:1], State: "up"})
	}
	w.set(entries...)
	s := newSite(l, w)
	defer s.end()
	c := l.addController("n0", w, settings(zones, true, 6, nil, nil))
	c.start()
	c.awaitAlive()
	for i := range 6 {
		s.proxies = append(s.proxies, newProxy(l, w, i, zones[i/3], classNames, true, santiagoDelay))
	}
	s.rejoin(func(*proxy) int { return 0 }, true, func() time.Duration { return time.Duration(900+rand.IntN(1000)) * time.Millisecond })
	s.collect(zones, 2*time.Second)
	s.serve(12, func(*proxy, string, string, time.Time) {})
	time.Sleep(5 * time.Second)
	end := time.Now().Add(39 * time.Second)
	if l.trouble {
		go s.loseZone()
	}
	s.emptyTables(5*time.Second, 17*time.Second, end)
}

func (s *site) loseZone() {
	l := s.lab
	l.note("zone a is lost with its proxies")
	for _, p := range s.proxies[:3] {
		p.mutex.Lock()
		p.down = true
		p.mutex.Unlock()
		p.leave()
	}
	set := func(state string, started int64) {
		var entries []backend
		for _, id := range []string{"s-a1", "s-a2", "s-a3"} {
			entries = append(entries, backend{ID: id, Zone: "a", State: state, StartedMS: started})
		}
		s.world.set(entries...)
	}
	time.Sleep(300 * time.Millisecond)
	set("removed", 0)
	time.Sleep(1500 * time.Millisecond)
	l.note("the proxies of zone a have started again")
	for _, p := range s.proxies[:3] {
		p.startCold()
		p.mutex.Lock()
		p.down = false
		p.mutex.Unlock()
	}
	time.Sleep(9 * time.Second)
	l.note("the streams of the proxies of zone a break")
	for _, p := range s.proxies[:3] {
		p.leave()
	}
	time.Sleep(300 * time.Millisecond)
	l.note("zone a returns")
	set("up", time.Now().UnixMilli())
}
