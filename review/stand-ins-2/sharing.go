package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// share makes the controllers members that share their proxies, on loopback in plain text and without a
// folder. Each reaches the others by links of its own, which it returns by the numbers of the members that dial
// and are dialled.
func (l *lab) share() map[[2]int]*link {
	links := map[[2]int]*link{}
	var addresses []string
	for range l.controllers {
		addresses = append(addresses, freeAddress())
	}
	for i, c := range l.controllers {
		text := "sharing:\n  name: " + c.name + "\n  plain: true\n  members:\n"
		for j, other := range l.controllers {
			address := addresses[j]
			if i != j {
				k := newLink(address)
				address = k.address
				links[[2]int{i, j}] = k
			}
			text += "    " + other.name + ": " + address + "\n"
		}
		c.options = filepath.Join(l.folder, c.name+".yaml")
		if err := os.WriteFile(c.options, []byte(text), 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
	return links
}

// setLease writes a lease into the options files, which members read at their start.
func (l *lab) setLease(lease string) {
	for _, c := range l.controllers {
		file, err := os.OpenFile(c.options, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			cannotRun("%v", err)
		}
		fmt.Fprintf(file, "  lease: %s\n", lease)
		file.Close()
	}
}

// awaitQuorum waits until every controller's log says as often as it was started that it is on the record.
func (l *lab) awaitQuorum() {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		missing := 0
		for _, c := range l.controllers {
			body, _ := os.ReadFile(filepath.Join(l.folder, c.name+".log"))
			if strings.Count(string(body), "quorum=true") < c.starts {
				missing++
			}
		}
		if missing == 0 {
			l.note("all members are on the record")
			return
		}
	}
	cannotRun("the members did not found a record within 15 s")
}

// checkDrain notes a request that a joined proxy sends to a draining or removed backend after the grace, which
// runs from when its controller was told, or from the proxy's joining if that is later.
func (s *site) checkDrain(grace time.Duration, judged func(c *controller, p *proxy) bool) func(*proxy, string, string, time.Time) {
	return func(p *proxy, class, id string, at time.Time) {
		c, joined := p.joinedTo()
		if c == nil || id == "" || !judged(c, p) {
			return
		}
		state, told := c.agent.toldAt(id)
		if state != "draining" && state != "removed" {
			return
		}
		from := told
		for _, later := range []time.Time{joined, c.since.Add(time.Second)} {
			if later.After(from) {
				from = later
			}
		}
		if late := at.Sub(from); late > grace {
			s.lab.violation("proxy %d, joined to %s, sends a request of %s to %s, which is %s, %.2f s after %s was told; %.2f s are allowed",
				p.number, c.name, class, id, state, late.Seconds(), c.name, grace.Seconds())
		}
	}
}

// members adds backends and three controllers that share, and starts these.
func members(l *lab, s *site, backends int, with map[string]any) {
	zones := []string{"a", "b", "c"}
	var entries []backend
	for i := range backends {
		entries = append(entries, backend{ID: fmt.Sprintf("s-%02d", i), Zone: zones[i%3], State: "up"})
	}
	s.world.set(entries...)
	for i := range 3 {
		l.addController(fmt.Sprint("n", i), s.world, with)
	}
	l.share()
	for _, c := range l.controllers {
		c.start()
	}
	for _, c := range l.controllers {
		c.awaitAlive()
	}
	l.awaitQuorum()
}

// leaseAndGrace: backends are replaced, two a second apart in every nine seconds, and two of three members
// stand still for 1.9 s from half a second after the second one on.
func leaseAndGrace(l *lab) {
	w := newWorld(l)
	s := newSite(l, w)
	defer s.end()
	zones := []string{"a", "b", "c"}
	const proxies = 12
	members(l, s, 24, muscatSettings(zones, false, proxies))
	for i := range proxies {
		s.proxies = append(s.proxies, newProxy(l, w, i, zones[i%3], classNames, false, muscatDelay))
		s.proxies[i].every = time.Second
	}
	s.rejoin(func(p *proxy) int { return p.number }, true, func() time.Duration { return time.Duration(100+rand.IntN(2400)) * time.Millisecond })
	s.collect(zones, time.Second)
	s.serve(25, s.checkDrain(1800*time.Millisecond, func(c *controller, _ *proxy) bool { return c == l.controllers[0] }))
	time.Sleep(14 * time.Second)
	for i := range 4 {
		s.replace(2 * i)
		time.Sleep(time.Second)
		s.replace(2*i + 1)
		time.Sleep(500 * time.Millisecond)
		if l.trouble {
			l.controllers[1].signal(syscall.SIGSTOP)
			l.controllers[2].signal(syscall.SIGSTOP)
		}
		time.Sleep(1900 * time.Millisecond)
		if l.trouble {
			l.controllers[1].signal(syscall.SIGCONT)
			l.controllers[2].signal(syscall.SIGCONT)
		}
		time.Sleep(5600 * time.Millisecond)
	}
}

// replace drains a backend, and lists a new one in its zone.
func (s *site) replace(number int) {
	old := s.world.get(fmt.Sprintf("s-%02d", number))
	old.State = "draining"
	s.world.set(old, backend{ID: fmt.Sprintf("s-new-%02d", number), Zone: old.Zone, State: "up", StartedMS: time.Now().UnixMilli()})
}

// fenceAfterRestart: all members are stopped and started again, and streams break once more; then a backend
// drains.
func fenceAfterRestart(l *lab) {
	w := newWorld(l)
	s := newSite(l, w)
	defer s.end()
	zones := []string{"a", "b", "c"}
	const proxies = 9
	members(l, s, 12, settings(zones, false, proxies, nil, nil))
	for i := range proxies {
		p := newProxy(l, w, i, zones[i%3], classNames, false, santiagoDelay)
		p.fenced = true
		s.proxies = append(s.proxies, p)
	}
	s.rejoin(func(p *proxy) int { return p.number }, false, func() time.Duration { return time.Duration(550+rand.IntN(1000)) * time.Millisecond })
	s.collect(zones, 2*time.Second)
	s.serve(20, s.checkDrain(3300*time.Millisecond, func(*controller, *proxy) bool { return true }))
	breakStreams := func() {
		l.note("the streams break")
		for _, p := range s.proxies {
			p.leave()
		}
		time.Sleep(6 * time.Second)
	}
	time.Sleep(4 * time.Second)
	for range 3 {
		breakStreams()
	}
	if l.trouble {
		l.note("all members are stopped, and started again with another lease")
		for _, c := range l.controllers {
			c.stop(syscall.SIGTERM)
		}
		l.setLease("2s")
		for _, c := range l.controllers {
			c.start()
		}
		for _, c := range l.controllers {
			c.awaitAlive()
		}
		l.awaitQuorum()
	}
	time.Sleep(6 * time.Second)
	breakStreams()
	entry := w.get("s-03")
	entry.State = "draining"
	w.set(entry)
	time.Sleep(15 * time.Second)
	for _, p := range s.proxies {
		p.mutex.Lock()
		l.note("proxy %d has seen token %d and refused %d messages", p.number, p.token, p.refused)
		p.mutex.Unlock()
	}
}
