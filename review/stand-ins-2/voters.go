package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// vote makes the members voters of a distributed configuration, with a folder each.
func (l *lab) vote() {
	for _, c := range l.controllers {
		body, err := os.ReadFile(c.options)
		if err != nil {
			cannotRun("%v", err)
		}
		text := string(body) + "  folder: " + filepath.Join(l.folder, c.name+"-folder") + "\ndistribution:\n  role: voter\n"
		if err := os.WriteFile(c.options, []byte(text), 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
}

// distribute writes the distributed entries into the configuration of each controller, as operators do.
func (l *lab) distribute(distributed map[string]any) {
	for _, c := range l.controllers {
		body, _ := os.ReadFile(c.config)
		var config map[string]any
		if err := json.Unmarshal(body, &config); err != nil {
			cannotRun("%v", err)
		}
		config["distributed"] = distributed
		body, _ = json.MarshalIndent(config, "", " ")
		if err := os.WriteFile(c.config, body, 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
}

// countLog returns how often a text stands in the controller's log.
func (c *controller) countLog(text string) int {
	body, _ := os.ReadFile(filepath.Join(c.lab.folder, c.name+".log"))
	return strings.Count(string(body), text)
}

func (c *controller) awaitLog(text string) {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		if c.countLog(text) > 0 {
			c.lab.note("%s logs %s", c.name, text)
			return
		}
	}
	cannotRun("%s did not log %s within 10 s", c.name, text)
}

// voterRestarts: a drain is accepted by all voters. Two of them are killed, and the third one is restarted
// before they are back.
func voterRestarts(l *lab) {
	w := newWorld(l)
	s := newSite(l, w)
	defer s.end()
	zones := []string{"a", "b", "c"}
	const proxies = 9
	var entries []backend
	for i := range 9 {
		entries = append(entries, backend{ID: fmt.Sprintf("s-%02d", i), Zone: zones[i%3], State: "up"})
	}
	w.set(entries...)
	for i := range 3 {
		l.addController(fmt.Sprint("n", i), w, settings(zones, false, proxies, nil, nil))
	}
	l.share()
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
	accepted := time.Now().Add(time.Hour)
	s.serve(20, func(p *proxy, class, id string, at time.Time) {
		c, joined := p.joinedTo()
		if c == nil || id != "s-04" {
			return
		}
		from := accepted
		for _, later := range []time.Time{joined, c.since.Add(time.Second)} {
			if later.After(from) {
				from = later
			}
		}
		if late := at.Sub(from); late > 3300*time.Millisecond {
			l.violation("proxy %d, joined to %s for %.2f s, sends a request of %s to s-04, %.2f s after all voters had applied its drain, which was never taken out",
				p.number, c.name, at.Sub(joined).Seconds(), class, at.Sub(accepted).Seconds())
		}
	})
	time.Sleep(5 * time.Second)
	l.distribute(map[string]any{"shop": map[string]any{"drain": map[string]any{"s-04": true}}})
	l.controllers[0].signal(syscall.SIGHUP)
	l.controllers[0].awaitLog("msg=change_accepted")
	for _, c := range l.controllers {
		c.awaitLog("msg=configuration_applied")
	}
	accepted = time.Now()
	time.Sleep(5 * time.Second)
	if l.trouble {
		l.controllers[1].stop(syscall.SIGKILL)
		l.controllers[2].stop(syscall.SIGKILL)
		time.Sleep(3 * time.Second)
		l.controllers[0].stop(syscall.SIGTERM)
		l.controllers[0].start()
		l.controllers[0].awaitAlive()
	}
	time.Sleep(20 * time.Second)
	if l.trouble {
		l.controllers[1].start()
		l.controllers[2].start()
		time.Sleep(8 * time.Second)
	}
}
