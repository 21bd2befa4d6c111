package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// appliedTwice: the answers of the leader to one voter are lost for three seconds. An order is given there, and
// half a second later another one at the third voter, with the new file at all of them.
func appliedTwice(l *lab) {
	w := newWorld(l)
	s := newSite(l, w)
	defer s.end()
	zones := []string{"a", "b", "c"}
	const proxies, first, second = 9, "s-04", "s-05"
	var entries []backend
	for i := range 9 {
		entries = append(entries, backend{ID: fmt.Sprintf("s-%02d", i), Zone: zones[i%3], State: "up"})
	}
	w.set(entries...)
	for i := range 3 {
		l.addController(fmt.Sprint("n", i), w, settings(zones, false, proxies, nil, nil))
	}
	links := l.share()
	l.vote()
	for _, c := range l.controllers {
		c.start()
	}
	for _, c := range l.controllers {
		c.awaitAlive()
	}
	l.awaitQuorum()
	for i := range proxies {
		s.proxies = append(s.proxies, newProxy(l, w, i, zones[i%3], classNames, false, santiagoDelay))
	}
	s.rejoin(func(p *proxy) int { return p.number }, true, santiagoRedial)
	s.collect(zones, 2*time.Second)
	var owed atomic.Int64 // from then on nobody may send to the second backend, Unix time in milliseconds
	owed.Store(time.Now().Add(time.Hour).UnixMilli())
	s.serve(20, func(p *proxy, class, to string, at time.Time) {
		c, joined := p.joinedTo()
		if c != nil && to == second && at.UnixMilli() > owed.Load() && at.Sub(joined) > 3300*time.Millisecond {
			l.violation("proxy %d, joined to %s, sends a request of %s to %s, %.2f s after its drain had to be in force",
				p.number, c.name, class, second, float64(at.UnixMilli()-owed.Load())/1000)
		}
	})
	time.Sleep(4 * time.Second)
	if answer := l.order(l.controllers[0], map[string]any{"shop": map[string]any{"limit": map[string]any{"tenant-1": 10}}}, "a limit"); answer != "change_accepted" {
		cannotRun("the limit: %s", answer)
	}
	time.Sleep(2 * time.Second)
	leader := -1
	for i, c := range l.controllers {
		if c.countLog("msg=leading leads=true") > c.countLog("msg=leading leads=false") {
			leader = i
		}
	}
	if leader < 0 {
		cannotRun("no voter leads")
	}
	one, other := (leader+1)%3, (leader+2)%3
	l.note("n%d leads; what it answers to n%d is lost for three seconds: %v", leader, one, l.trouble)
	if l.trouble {
		links[[2]int{one, leader}].lose(true)
		time.AfterFunc(3*time.Second, func() {
			l.note("answers arrive again")
			links[[2]int{one, leader}].lose(false)
		})
	}
	l.distribute(map[string]any{"shop": map[string]any{"drain": map[string]any{first: true}}})
	l.note("an operator orders at n%d: the drain of %s", one, first)
	l.controllers[one].signal(syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	if answer := l.order(l.controllers[other], map[string]any{"shop": map[string]any{"drain": map[string]any{second: true}}},
		"the drain of "+second+", and no other"); answer != "change_accepted" {
		cannotRun("the second order: %s", answer)
	}
	// Three seconds after it was accepted the drain has to be at every voter, and then its grace runs.
	owed.Store(time.Now().Add(3*time.Second + 3300*time.Millisecond).UnixMilli())
	time.Sleep(18 * time.Second)
	for i, c := range l.controllers {
		for answer, count := range c.countAnswers() {
			if count > 0 {
				l.note("n%d has answered %s %d times", i, answer, count)
			}
		}
	}
}
