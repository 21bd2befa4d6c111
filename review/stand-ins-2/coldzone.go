package main

import (
	"fmt"
	"sync"
	"time"
)

// coldBackends judges rule 4: what all proxies together bring to a backend that has just started, against what
// it can do. A backend starts at the cold share of its capacity, which rises evenly until it is warm.
type coldBackends struct {
	lab            *lab
	capacity       float64 // requests a second of a warm backend
	share          float64
	warmup, window time.Duration
	multiple       float64

	mutex   sync.Mutex
	started map[string]time.Time
	came    map[string][]time.Time // requests since the start
	fallen  map[string]bool
}

func (b *coldBackends) start(id string, at time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.started[id], b.came[id] = at, nil
}

// can returns how many requests a backend can do from its start until a time after it.
func (b *coldBackends) can(after time.Duration) float64 {
	t, w := after.Seconds(), b.warmup.Seconds()
	if t <= 0 {
		return 0
	}
	if t > w {
		return b.capacity * ((1+b.share)/2*w + t - w)
	}
	return b.capacity * (b.share*t + (1-b.share)*t*t/(2*w))
}

func (b *coldBackends) sent(id string, at time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	started, cold := b.started[id]
	if !cold || b.fallen[id] || at.Sub(started) > b.warmup {
		return
	}
	b.came[id] = append(b.came[id], at)
	count := 0
	for _, other := range b.came[id] {
		if at.Sub(other) < b.window {
			count++
		}
	}
	age := at.Sub(started)
	if age < b.window {
		return // a whole window since the start has to pass
	}
	budget := b.multiple * (b.can(age) - b.can(age-b.window))
	slack := budget / 10 // for chance
	if float64(count) > budget+slack {
		b.fallen[id] = true
		b.lab.violation("%s, started %.2f s ago, was sent %d requests within %.1f s; %.0f are %.0f times what it can do in that time, and %.0f are let pass for chance: it falls over",
			id, age.Seconds(), count, b.window.Seconds(), budget, b.multiple, slack)
	}
}

// coldZone: a zone is lost and returns cold. Classes keep to the zone, which is asked for 0.9 of what it can do
// when it is warm.
func coldZone(l *lab) {
	zones := []string{"a", "b"}
	w := newWorld(l)
	var entries []backend
	for i := range 6 {
		entries = append(entries, backend{ID: fmt.Sprintf("s-%02d", i), Zone: zones[i/3], State: "up"})
	}
	w.set(entries...)
	s := newSite(l, w)
	defer s.end()
	const proxies = 12
	c := l.addController("n0", w, settings(zones, true, proxies, map[string]any{"socketsMin": 63.0}, nil))
	c.start()
	c.awaitAlive()
	for i := range proxies {
		s.proxies = append(s.proxies, newProxy(l, w, i, zones[i%2], classNames, true, santiagoDelay))
	}
	cold := &coldBackends{lab: l, capacity: 100, share: 0.16, warmup: 17 * time.Second, window: 2300 * time.Millisecond, multiple: 3,
		started: map[string]time.Time{}, came: map[string][]time.Time{}, fallen: map[string]bool{}}
	s.rejoin(func(*proxy) int { return 0 }, true, santiagoRedial)
	s.collect(zones, 2*time.Second)
	s.serve(45, func(p *proxy, class, id string, at time.Time) { cold.sent(id, at) })
	time.Sleep(15 * time.Second)
	set := func(state string, started int64) {
		var changed []backend
		for i := range 3 {
			changed = append(changed, backend{ID: fmt.Sprintf("s-%02d", i), Zone: "a", State: state, StartedMS: started})
		}
		w.set(changed...)
	}
	if l.trouble {
		l.note("zone a is lost")
		set("removed", 0)
		time.Sleep(11 * time.Second)
		l.note("zone a returns")
		now := time.Now()
		for i := range 3 {
			cold.start(fmt.Sprintf("s-%02d", i), now)
		}
		set("up", now.UnixMilli())
	}
	time.Sleep(20 * time.Second)
}
