package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// site is what stands around the controllers in one run.
type site struct {
	lab     *lab
	world   *world
	proxies []*proxy

	mutex    sync.Mutex
	attempts map[[2]string]int // tries since the last report, by zone of the proxy and backend
	lag      float64           // mean time of an answer, in milliseconds
	stopped  chan struct{}
}

func newSite(l *lab, w *world) *site {
	return &site{lab: l, world: w, attempts: map[[2]string]int{}, lag: 200, stopped: make(chan struct{})}
}

// end ends the traffic, and notes what each proxy sent and refused.
func (s *site) end() {
	close(s.stopped)
	for _, p := range s.proxies {
		p.mutex.Lock()
		s.lab.note("proxy %d sent %v requests by backend (without a name: refused, as it had no line to pick), and refused %d by its level",
			p.number, p.sent, p.overLevel)
		p.mutex.Unlock()
	}
}

// serve has every proxy send requests of each class, perSecond in all classes together.
func (s *site) serve(perSecond float64, sent func(p *proxy, class, id string, at time.Time)) {
	for _, p := range s.proxies {
		go func() {
			next := time.Now()
			for n := 0; ; n++ {
				// The times are planned ahead, so that late timers do not lower the rate.
				next = next.Add(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second)))
				if late := time.Now().Add(-100 * time.Millisecond); next.Before(late) {
					next = late
				}
				select {
				case <-s.stopped:
					return
				case <-time.After(time.Until(next)):
				}
				class := p.classes[n%len(p.classes)]
				now := time.Now()
				p.mutex.Lock()
				admitted := !p.down && p.admits(class, now)
				if !p.down {
					p.demand[class]++
				}
				if !admitted && !p.down {
					p.overLevel++
				}
				p.mutex.Unlock()
				if !admitted {
					continue
				}
				id := p.pick(class)
				p.mutex.Lock()
				p.sent[id]++
				p.lastSent[id] = now
				p.mutex.Unlock()
				if id != "" {
					s.mutex.Lock()
					s.attempts[[2]string{p.zone, id}]++
					s.mutex.Unlock()
				}
				sent(p, class, id, now)
			}
		}()
	}
}

// collect forwards each zone's outcomes to every controller once in each interval.
func (s *site) collect(zones []string, interval time.Duration) {
	go func() {
		conns := map[string]net.Conn{}
		for {
			select {
			case <-s.stopped:
				return
			case <-time.After(interval):
			}
			s.mutex.Lock()
			attempts := s.attempts
			s.attempts = map[[2]string]int{}
			s.mutex.Unlock()
			for _, c := range s.lab.controllers {
				for _, zone := range zones {
					key := c.name + zone
					if conns[key] == nil {
						conn, err := net.DialTimeout("tcp", c.address, 200*time.Millisecond)
						if err != nil || send(conn, map[string]any{"msg": "agent", "locality": zone}) != nil {
							continue
						}
						conns[key] = conn
					}
					for pair, total := range attempts {
						if pair[0] != zone {
							continue
						}
						err := send(conns[key], map[string]any{"msg": "outcomes", "locality": zone, "endpoint": pair[1], "total": total,
							"errors": 0, "rtt": s.lag * (0.9 + 0.2*rand.Float64()), "interval": float64(interval.Milliseconds())})
						if err != nil {
							conns[key].Close()
							conns[key] = nil
							break
						}
					}
				}
			}
		}
	}()
}

// rejoin keeps the proxies joined, the controllers in turn from the first one on. One whose stream has ended
// dials again after redial: the same controller if stays is true, and the next one otherwise or if it is not
// taken.
func (s *site) rejoin(first func(p *proxy) int, stays bool, redial func() time.Duration) {
	for _, p := range s.proxies {
		go func() {
			next, wait := first(p), time.Duration(0)
			for {
				select {
				case <-s.stopped:
					return
				case <-time.After(wait + 10*time.Millisecond):
				}
				wait = 0
				p.mutex.Lock()
				down := p.down
				p.mutex.Unlock()
				if c, _ := p.joinedTo(); c != nil || down {
					continue
				}
				if !p.join(s.lab.controllers[next%len(s.lab.controllers)]) {
					next, wait = next+1, redial()
					continue
				}
				for c, _ := p.joinedTo(); c != nil; c, _ = p.joinedTo() {
					time.Sleep(10 * time.Millisecond)
				}
				wait = redial()
				if !stays {
					next++
				}
			}
		}()
	}
}
