package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// emptyChange: a voter is cut off from the others for six seconds. Meanwhile a drain is taken out at another
// voter, and then ordered again at the one that is cut off.
func emptyChange(l *lab) {
	w := newWorld(l)
	s := newSite(l, w)
	defer s.end()
	zones := []string{"a", "b", "c"}
	const proxies, id = 9, "s-04"
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
	var owed atomic.Int64 // from then on nobody may send to the backend, Unix time in milliseconds
	owed.Store(time.Now().Add(time.Hour).UnixMilli())
	s.serve(20, func(p *proxy, class, to string, at time.Time) {
		c, joined := p.joinedTo()
		if c != nil && to == id && at.UnixMilli() > owed.Load() && at.Sub(joined) > 3300*time.Millisecond {
			l.violation("proxy %d, joined to %s, sends a request of %s to %s, %.2f s after its drain had to be in force",
				p.number, c.name, class, id, float64(at.UnixMilli()-owed.Load())/1000)
		}
	})
	n0, n1 := l.controllers[0], l.controllers[1]
	drained := map[string]any{"shop": map[string]any{"drain": map[string]any{id: true}}}
	time.Sleep(4 * time.Second)
	if answer := l.order(n1, drained, "the drain of "+id); answer != "change_accepted" {
		cannotRun("the first drain: %s", answer)
	}
	time.Sleep(6 * time.Second)
	if l.trouble {
		l.note("n0 is cut off from the other voters")
		cutOff(links, 0, true)
	}
	cutAt := time.Now()
	time.Sleep(2 * time.Second)
	if answer := l.order(n1, map[string]any{}, "no drain"); answer != "change_accepted" {
		cannotRun("the end of the drain: %s", answer)
	}
	time.Sleep(time.Second)
	heal := time.AfterFunc(time.Until(cutAt.Add(6*time.Second)), func() {
		l.note("the cut is over")
		cutOff(links, 0, false)
	})
	defer heal.Stop()
	answer := l.order(n0, drained, "the drain of "+id)
	if answer == "change_unanswered" || answer == "change_refused" {
		l.note("the order was not accepted, and says so: nothing is owed")
	} else {
		// Three seconds after the cut the drain has to be at every voter, and then its grace runs.
		owed.Store(cutAt.Add(6*time.Second + 3*time.Second + 3300*time.Millisecond).UnixMilli())
	}
	time.Sleep(time.Until(cutAt.Add(28 * time.Second)))
}

// order writes distributed entries into the file of every controller and sends SIGHUP to one. It returns what
// that one answers.
func (l *lab) order(c *controller, distributed map[string]any, text string) string {
	before := c.countAnswers()
	l.distribute(distributed)
	l.note("an operator orders at %s: %s", c.name, text)
	c.signal(syscall.SIGHUP)
	for began := time.Now(); time.Since(began) < 14*time.Second; time.Sleep(20 * time.Millisecond) {
		for answer, count := range c.countAnswers() {
			if count > before[answer] {
				l.note("%s answers %s", c.name, answer)
				return answer
			}
		}
	}
	cannotRun("%s did not answer", c.name)
	return ""
}

func (c *controller) countAnswers() map[string]int {
	counts := map[string]int{}
	for _, answer := range []string{"change_accepted", "change_empty", "change_refused", "change_unanswered"} {
		counts[answer] = c.countLog("msg=" + answer + " ")
	}
	return counts
}

// cutOff cuts all links of one member, or mends them.
func cutOff(links map[[2]int]*link, member int, cut bool) {
	for ends, k := range links {
		if ends[0] == member || ends[1] == member {
			k.cut(cut)
		}
	}
}
