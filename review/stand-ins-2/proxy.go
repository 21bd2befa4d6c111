package main

import (
	"bufio"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// part is one part of a message on a stream.
type part struct {
	Msg     string   `json:"msg"`
	Classes []string `json:"classes"`
	Whole   bool     `json:"whole"`
	Lines   [][]any  `json:"lines"`
	Level   *float64 `json:"level"`
	Retry   int      `json:"retry"`
	Out     []string `json:"out"`
	Back    []string `json:"back"`
	Ticket  *int     `json:"ticket"`
	More    bool     `json:"more"`
	Token   uint64   `json:"token"`
}

func (p part) cost() (lines float64) {
	lines = float64(len(p.Lines) + len(p.Out) + len(p.Back))
	if p.Whole {
		lines++
	}
	if p.Level != nil {
		lines++
	}
	if p.Ticket != nil {
		lines++
	}
	return lines
}

// proxy does as its tables say: tables by class, shut out backends whatever tables name them, and an
// ordered table at all (cold says that it has none).
type proxy struct {
	lab     *lab
	world   *world
	number  int
	zone    string
	classes []string
	local   bool                 // its classes keep to its zone
	late    func() time.Duration // from the channel to the proxy
	fenced  bool
	every   time.Duration // between two reports

	mutex     sync.Mutex
	tables    map[string]map[string]float64
	out       map[string]bool
	cold      bool
	token     uint64
	refused   int
	overLevel int
	down      bool // its process does not run
	stream    *stream
	messages  []time.Time // when messages arrived, since it last joined
	all       []time.Time // when messages arrived, from all controllers
	sent      map[string]int
	demand    map[string]int
	lastSent  map[string]time.Time
	levels    map[string]float64   // requests a second that it lets in, by class
	let       map[string]time.Time // until when earlier requests use up the level
}

// stream is one stream of a proxy to a controller.
type stream struct {
	conn       net.Conn
	controller *controller
	joinedAt   time.Time
	ended      bool
}

func newProxy(l *lab, w *world, number int, zone string, classes []string, local bool, late func() time.Duration) *proxy {
	p := &proxy{lab: l, world: w, number: number, zone: zone, classes: classes, local: local, late: late, every: 2 * time.Second}
	p.startCold()
	return p
}

// startCold makes it a proxy that has just started: its table holds up to six listed backends, drawn by
// chance, in its zone if three are listed there, and it has nothing that a controller ordered.
func (p *proxy) startCold() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	listed := p.world.list()
	own := slices.DeleteFunc(slices.Clone(listed), func(b backend) bool { return b.Zone != p.zone })
	if len(own) >= 3 {
		listed = own
	}
	rand.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	listed = listed[:min(6, len(listed))]
	p.tables, p.out, p.cold = map[string]map[string]float64{}, map[string]bool{}, true
	p.sent, p.demand, p.lastSent = map[string]int{}, map[string]int{}, map[string]time.Time{}
	p.levels, p.let = map[string]float64{}, map[string]time.Time{}
	for _, class := range p.classes {
		p.tables[class] = map[string]float64{}
		for _, b := range listed {
			p.tables[class][b.ID] = 1
		}
	}
}

// join opens a stream to a controller.
func (p *proxy) join(c *controller) bool {
	conn, err := net.DialTimeout("tcp", c.address, 300*time.Millisecond)
	if err != nil {
		return false
	}
	p.mutex.Lock()
	hello := map[string]any{"msg": "hello", "node": p.number, "locality": p.zone, "w": 20.0, "cold": p.cold}
	p.mutex.Unlock()
	if p.fenced {
		hello["fence"] = true
	}
	if send(conn, hello) != nil {
		conn.Close()
		return false
	}
	s := &stream{conn: conn, controller: c, joinedAt: time.Now()}
	p.mutex.Lock()
	p.stream, p.messages = s, nil
	p.mutex.Unlock()
	p.lab.note("proxy %d joins %s, cold %v", p.number, c.name, hello["cold"])
	go p.read(s)
	go p.report(s)
	return true
}

// leave resets the stream.
func (p *proxy) leave() {
	p.mutex.Lock()
	s := p.stream
	p.mutex.Unlock()
	if s != nil {
		if tcp, ok := s.conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		p.end(s, "reset by the case")
	}
}

func (p *proxy) end(s *stream, reason string) {
	s.conn.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	if p.stream == s {
		p.stream = nil
	}
	p.lab.note("proxy %d: stream to %s ended: %s", p.number, s.controller.name, reason)
}

// joinedTo returns the controller that it is joined to and since when; nil if it is not.
func (p *proxy) joinedTo() (*controller, time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stream == nil {
		return nil, time.Time{}
	}
	return p.stream.controller, p.stream.joinedAt
}

type delivery struct {
	parts []part
	at    time.Time
}

// read reads messages and puts them into the controller's channel; apply takes them in order.
func (p *proxy) read(s *stream) {
	deliveries := make(chan delivery, 1024)
	go p.applyAll(s, deliveries)
	defer close(deliveries)
	reader := bufio.NewReader(s.conn)
	var parts []part
	var last time.Time
	for {
		body, err := receive(reader)
		if err != nil {
			p.end(s, err.Error())
			return
		}
		var received part
		if err := json.Unmarshal(body, &received); err != nil {
			p.end(s, "unreadable message")
			return
		}
		if received.Msg != "push" {
			continue
		}
		parts = append(parts, received)
		if received.More {
			continue
		}
		now, cost := time.Now(), 0.
		for _, each := range parts {
			cost += each.cost()
		}
		leaves, waiting := s.controller.channel.enter(cost, now)
		p.countMessage(s, now, parts, cost, waiting)
		arrives := leaves.Add(p.late())
		if arrives.Before(last) {
			arrives = last
		}
		last = arrives
		deliveries <- delivery{parts, arrives}
		parts = nil
	}
}

func (p *proxy) countMessage(s *stream, now time.Time, parts []part, cost, waiting float64) {
	p.mutex.Lock()
	p.messages = append(p.messages, now)
	p.all = append(p.all, now)
	p.mutex.Unlock()
	if ch := s.controller.channel; ch.check && waiting > ch.backlog {
		p.lab.violation("%.0f lines wait in the channel of %s, %.0f are allowed", waiting, s.controller.name, ch.backlog)
	}
	text, _ := json.Marshal(parts)
	p.lab.note("%s to proxy %d, %.0f lines, %.0f wait in the channel: %s", s.controller.name, p.number, cost, waiting,
		text[:min(len(text), 400)])
}

func (p *proxy) applyAll(s *stream, deliveries chan delivery) {
	for each := range deliveries {
		time.Sleep(time.Until(each.at))
		p.mutex.Lock()
		ended := s.ended
		p.mutex.Unlock()
		if ended {
			return // messages in transit are lost
		}
		if !p.apply(each.parts) {
			p.lab.note("proxy %d refuses a message with token %d, it has seen %d", p.number, each.parts[0].Token, p.token)
			continue
		}
		for _, part := range each.parts {
			if part.Ticket != nil {
				send(s.conn, map[string]any{"msg": "ack", "node": p.number, "nonce": *part.Ticket, "latency": 100.0})
			}
		}
	}
}

// apply applies a whole message. A fenced proxy refuses one whose token is older than one it has seen.
func (p *proxy) apply(parts []part) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if token := parts[0].Token; p.fenced && token > 0 {
		if token < p.token {
			p.refused++
			return false
		}
		p.token = token
	}
	for _, part := range parts {
		for _, class := range p.classes {
			if part.Classes != nil && !slices.Contains(part.Classes, class) {
				continue
			}
			if part.Whole {
				p.tables[class] = map[string]float64{}
				delete(p.levels, class)
			}
			if part.Level != nil {
				p.levels[class] = *part.Level
			}
			for _, line := range part.Lines {
				id, weight := line[0].(string), line[1].(float64)
				if weight == 0 {
					delete(p.tables[class], id)
				} else {
					p.tables[class][id] = weight
				}
			}
		}
		if part.Whole || len(part.Lines) > 0 {
			p.cold = false // it holds a table that was ordered
		}
		for _, id := range part.Out {
			p.out[id] = true
		}
		for _, id := range part.Back {
			delete(p.out, id)
		}
	}
	return true
}

// pick draws a line by weight; empty if there is none to pick.
func (p *proxy) pick(class string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var ids []string
	total := 0.
	for id, weight := range p.tables[class] {
		if weight > 0 && !p.out[id] && (!p.local || p.world.get(id).Zone == p.zone) {
			ids, total = append(ids, id), total+weight
		}
	}
	slices.Sort(ids)
	at := rand.Float64() * total
	for _, id := range ids {
		if at -= p.tables[class][id]; at < 0 {
			return id
		}
	}
	return ""
}

// admits reports whether the level of a class lets one more request in now. The caller holds the mutex.
func (p *proxy) admits(class string, now time.Time) bool {
	level, limited := p.levels[class]
	if !limited {
		return true
	}
	if level <= 0 || p.let[class].After(now) {
		return false
	}
	from := p.let[class]
	if oldest := now.Add(-time.Second); from.Before(oldest) {
		from = oldest
	}
	p.let[class] = from.Add(time.Duration(float64(time.Second) / level))
	return true
}

// report sends what came to the proxy in each interval, on its stream.
func (p *proxy) report(s *stream) {
	for {
		time.Sleep(p.every)
		p.mutex.Lock()
		ended, demand := s.ended, p.demand
		p.demand = map[string]int{}
		p.mutex.Unlock()
		if ended {
			return
		}
		for _, class := range p.classes {
			send(s.conn, map[string]any{"msg": "demand", "node": p.number, "route": class, "total": demand[class], "errors": 0, "interval": float64(p.every.Milliseconds())})
		}
	}
}
