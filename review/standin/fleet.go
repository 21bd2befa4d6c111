package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// deployment holds the figures of a small deployment, in the words of the settings.
type deployment struct {
	zones       []string
	classes     []string
	proxies     int
	backends    int
	grace       time.Duration // rules.stopSendingWithin
	messages    int           // familyInfo.messagesMost
	window      time.Duration // familyInfo.messagesOver
	linesPerS   float64       // familyInfo.egressPerS
	backlog     float64       // familyInfo.backlog
	overhead    float64       // familyInfo.overhead
	propagation time.Duration // familyInfo.propagation, the mean
	maxLatency  time.Duration // familyInfo.pushDelayMax
	report      time.Duration // familyInfo.reportEvery
	rate        float64       // requests per second of each proxy
	local       []bool        // familyInfo.staysLocal: classes that keep to the proxy's zone; nil if none does
	zoneSizes   []int         // backends of each zone; nil if they are dealt evenly
}

// blackhole is familyInfo.blackhole, the limit of the rule on proxies without a line.
const blackhole = 4700 * time.Millisecond

// socketSlack is by how much the time limit on drains is longer on sockets.
const socketSlack = 300 * time.Millisecond

// settings returns the object settings of the configuration.
func (d deployment) settings() map[string]any {
	local := d.local
	if local == nil {
		local = make([]bool, len(d.classes))
	}
	ms := func(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }
	return map[string]any{
		"azs": d.zones, "tick": 4.0, "weights": "rough", "membershipMode": "automatic", "countedBy": "request",
		"family": "control", "flavors": []string{"c4"},
		"familyInfo": map[string]any{
			"admission": "per_second", "backlog": d.backlog, "egressPerS": d.linesPerS, "overhead": d.overhead,
			"propagation": ms(d.propagation), "pushDelayMax": ms(d.maxLatency), "reportEvery": ms(d.report),
			"ingestRate": 250.0, "messagesMost": d.messages, "messagesOver": ms(d.window), "proxyCount": d.proxies,
			"socketsMin": 230.0, "partitionsN": 0, "blackhole": ms(blackhole), "choice": "rotate", "failsToEject": 3,
			"initialSet": 5, "localFirst": false, "perTry": 1.2, "retryDefault": 1, "singleWriter": false,
			"classWrites": []bool{false, true}, "staysLocal": local,
		},
		"limits": map[string]any{"mayProbe": false, "peers": false},
		"profiles": []map[string]any{
			{"name": d.classes[0], "target": 1500.0, "deadline": 5000.0, "worth": 2.0, "idempotency": "pure"},
			{"name": d.classes[1], "target": 1000.0, "deadline": 2500.0, "worth": 6.0, "idempotency": "side_effect"},
		},
		"reporting": map[string]any{"how": "silent", "fields": []string{}},
		"rules":     map[string]any{"coldShare": 0.19, "rampTime": 18000.0, "stopSendingWithin": ms(d.grace)},
	}
}

// servers returns the list of discovery with all backends up.
func (d deployment) servers() (servers []server) {
	for i := range d.backends {
		zone := d.zones[i%len(d.zones)]
		for z, last := 0, 0; z < len(d.zoneSizes); z++ {
			if last += d.zoneSizes[z]; i < last {
				zone = d.zones[z]
				break
			}
		}
		servers = append(servers, server{ID: fmt.Sprintf("s-%02d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			Zone: zone, Kind: "c4", State: "up", Weight: 1})
	}
	return servers
}

// member is a controller with what the platform gives it: discovery, and its channel to proxies.
type member struct {
	*controller
	discovery *discovery

	mutex sync.Mutex
	free  time.Time // time from which the channel can send
}

// depart returns the time at which a message of so many lines has left the channel.
func (m *member) depart(lines, linesPerS float64) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now := time.Now(); m.free.Before(now) {
		m.free = now
	}
	m.free = m.free.Add(time.Duration(lines / linesPerS * float64(time.Second)))
	return m.free
}

// fleet is all proxies, and the backends that they send to.
type fleet struct {
	run     *run
	figures deployment
	members []*member
	proxies []*proxy

	mutex   sync.Mutex
	late    []lateSend
	drained map[string]time.Time // time from which an operator's drain of a backend has to hold, by backend
	failing map[string]float64   // share of the tries that a backend answers with an error, by backend
	sent    map[string]int       // tries of the present second, by backend
	refused int                  // requests of the present second that found no backend
}

// lateSend is a try that reached a backend after the grace of its drain.
type lateSend struct {
	proxy   int
	backend string
	member  string
	after   time.Duration // time since the controller was told, or since the proxy joined if that was later
}

// newFleet makes the proxies; proxy i goes to the controller home(i) first. It starts nothing.
func (r *run) newFleet(figures deployment, members []*member, home func(proxy int) int) *fleet {
	f := &fleet{run: r, figures: figures, members: members, sent: map[string]int{}, drained: map[string]time.Time{}, failing: map[string]float64{}}
	for i := range figures.proxies {
		p := &proxy{fleet: f, number: i, zone: figures.zones[i%len(figures.zones)], home: home(i), cold: true,
			out: map[string]bool{}, tables: map[string]map[string]float64{}, arrived: map[string]int{}}
		for _, class := range figures.classes {
			p.tables[class] = map[string]float64{}
		}
		f.proxies = append(f.proxies, p)
	}
	return f
}

// start starts the proxies and collectors.
func (f *fleet) start() {
	standing := f.figures.servers()
	for _, p := range f.proxies {
		for _, class := range f.figures.classes { // a standing table of listed backends of its zone
			for _, s := range standing {
				if s.Zone == p.zone && len(p.tables[class]) < 5 {
					p.tables[class][s.ID] = 1
				}
			}
		}
		go p.connect()
		go p.work()
	}
	for _, m := range f.members {
		for _, zone := range f.figures.zones {
			go f.collect(m, zone)
		}
	}
	go f.summarize()
}

// summarize writes what was sent in each second into the record.
func (f *fleet) summarize() {
	for range time.Tick(time.Second) {
		f.mutex.Lock()
		text, _ := json.Marshal(f.sent)
		refused := f.refused
		f.sent, f.refused = map[string]int{}, 0
		f.mutex.Unlock()
		f.run.log("proxies: requests sent and answered in this second, by backend: %s; refused, no backend: %d", text, refused)
	}
}

// lateSends returns the tries that came too late so far.
func (f *fleet) lateSends() []lateSend {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.late)
}

// proxy is one proxy: it keeps a stream to one controller, and sends as its tables say.
type proxy struct {
	fleet  *fleet
	number int
	zone   string
	home   int // index of the controller that it dials first

	mutex    sync.Mutex
	cold     bool
	tables   map[string]map[string]float64 // weights by class and backend
	out      map[string]bool               // backends that are shut out
	member   *member                       // controller that it is joined to; nil if none
	joinedAt time.Time
	messages int            // messages applied on this stream
	arrived  map[string]int // requests since the last report, by class
	tries    map[string]int // tries since the last report, by backend
	errors   map[string]int // tries since the last report that were answered with an error, by backend
}

// push is a part of a message of a controller.
type push struct {
	Msg     string   `json:"msg"`
	Classes []string `json:"classes"`
	Whole   bool     `json:"whole"`
	Lines   [][2]any `json:"lines"`
	Level   *float64 `json:"level"`
	Out     []string `json:"out"`
	Back    []string `json:"back"`
	Ticket  *int     `json:"ticket"`
	More    bool     `json:"more"`
}

// writeMessage writes one message of the protocol.
func writeMessage(conn net.Conn, message map[string]any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	_, err = conn.Write(append(frame, body...))
	return err
}

// readMessage reads one message of the protocol.
func readMessage(conn net.Conn) ([]byte, error) {
	var size uint32
	if err := binary.Read(conn, binary.BigEndian, &size); err != nil {
		return nil, err
	}
	if size > 1<<20 {
		return nil, errors.New("a message over 1 MiB")
	}
	body := make([]byte, size)
	_, err := io.ReadFull(conn, body)
	return body, err
}

// probe reports whether a controller answers that it is alive.
func probe(address string) bool {
	conn, err := net.DialTimeout("tcp", address, 500*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if writeMessage(conn, map[string]any{"msg": "probe"}) != nil {
		return false
	}
	body, err := readMessage(conn)
	return err == nil && bytes.Contains(body, []byte("alive"))
}

// connect keeps a stream to a controller, the first one at home.
func (p *proxy) connect() {
	for attempt := 0; ; attempt++ {
		m := p.fleet.members[(p.home+attempt)%len(p.fleet.members)]
		if conn, err := net.DialTimeout("tcp", m.listen, 500*time.Millisecond); err == nil {
			p.stream(conn, m)
			conn.Close()
		}
		time.Sleep(100*time.Millisecond + rand.N(400*time.Millisecond))
	}
}

// due is a message on its way to the proxy.
type due struct {
	at    time.Time
	parts []push
}

// stream is one stream to a controller.
func (p *proxy) stream(conn net.Conn, m *member) {
	p.mutex.Lock()
	hello := map[string]any{"msg": "hello", "node": p.number, "locality": p.zone, "w": p.fleet.figures.rate, "cold": p.cold}
	p.mutex.Unlock()
	if writeMessage(conn, hello) != nil {
		return
	}
	p.mutex.Lock()
	p.member, p.joinedAt, p.messages = m, time.Now(), 0
	p.mutex.Unlock()
	p.fleet.run.log("proxy %d: joins %s", p.number, m.name)
	done := make(chan struct{})
	messages := make(chan due, 1024)
	var parts sync.WaitGroup
	parts.Go(func() { p.apply(conn, messages, done) })
	parts.Go(func() { p.reportDemand(conn, done) })
	p.receive(conn, m, messages)
	close(done)
	parts.Wait()
	p.mutex.Lock()
	p.member = nil
	p.mutex.Unlock()
	p.fleet.run.log("proxy %d: its stream to %s has ended", p.number, m.name)
}

// receive reads messages and puts them on their way: through the channel of the controller, and
// then to the proxy. A message enters the channel once its last byte has arrived.
func (p *proxy) receive(conn net.Conn, m *member, messages chan due) {
	var parts []push
	var last time.Time
	for {
		body, err := readMessage(conn)
		if err != nil {
			return
		}
		var part push
		if err := json.Unmarshal(body, &part); err != nil || part.Msg != "push" {
			continue // an answer to a probe, or the reason of a refusal
		}
		if parts = append(parts, part); part.More {
			continue
		}
		lines := p.fleet.figures.overhead
		for _, part := range parts {
			lines += float64(len(part.Lines) + len(part.Out) + len(part.Back))
			for _, counts := range []bool{part.Whole, part.Level != nil, part.Ticket != nil} {
				if counts {
					lines++
				}
			}
		}
		mean := p.fleet.figures.propagation
		way := min(mean/2+rand.N(mean), p.fleet.figures.maxLatency)
		at := m.depart(lines, p.fleet.figures.linesPerS).Add(way)
		if at.Before(last) {
			at = last
		}
		last = at
		text, _ := json.Marshal(parts)
		p.fleet.run.log("proxy %d: message from %s, %.0f lines, in force in %d ms: %s", p.number, m.name, lines,
			time.Until(at).Milliseconds(), text)
		messages <- due{at, parts}
		parts = nil
	}
}

// apply applies messages when they arrive; what is under way when the stream ends is lost.
func (p *proxy) apply(conn net.Conn, messages chan due, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case message := <-messages:
			select {
			case <-done:
				return
			case <-time.After(time.Until(message.at)):
			}
			for _, part := range message.parts {
				p.applyPart(part)
				if part.Ticket != nil {
					ack := map[string]any{"msg": "ack", "node": p.number, "nonce": *part.Ticket, "latency": 200.0}
					_ = writeMessage(conn, ack) // a broken stream is noticed by receive
				}
			}
		}
	}
}

func (p *proxy) applyPart(part push) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	classes := part.Classes
	if classes == nil {
		classes = p.fleet.figures.classes
	}
	for _, class := range classes {
		if part.Whole {
			p.tables[class] = map[string]float64{}
			p.cold = false
		}
		for _, line := range part.Lines {
			id, weight := line[0].(string), line[1].(float64)
			if weight > 0 {
				p.tables[class][id] = weight
			} else {
				delete(p.tables[class], id)
			}
		}
	}
	for _, id := range part.Out {
		p.out[id] = true
	}
	for _, id := range part.Back {
		delete(p.out, id)
	}
	if !part.More {
		p.messages++
	}
}

// mayPick returns the backends that the proxy may pick for a class, with their weights.
func (p *proxy) mayPick(class string) (ids []string, weights []float64) {
	for id := range p.tables[class] {
		if !p.out[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		weights = append(weights, p.tables[class][id])
	}
	return ids, weights
}

// work lets requests arrive at the proxy, which sends each to a backend of its table.
func (p *proxy) work() {
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() / p.fleet.figures.rate * float64(time.Second)))
		class := p.fleet.figures.classes[rand.N(len(p.fleet.figures.classes))]
		p.mutex.Lock()
		p.arrived[class]++
		ids, weights := p.mayPick(class)
		total := 0.
		for _, weight := range weights {
			total += weight
		}
		point, chosen := rand.Float64()*total, ""
		for i, weight := range weights {
			chosen = ids[i]
			if point -= weight; point < 0 {
				break
			}
		}
		if chosen != "" {
			if p.tries == nil {
				p.tries, p.errors = map[string]int{}, map[string]int{}
			}
			p.tries[chosen]++
			if rand.Float64() < p.fleet.errorShare(chosen) {
				p.errors[chosen]++
			}
		}
		m, joinedAt := p.member, p.joinedAt
		p.mutex.Unlock()
		p.fleet.send(p, class, chosen, m, joinedAt)
	}
}

// send records a request at a backend, and judges it by the rule on drains: a joined proxy may not
// send to a backend later than the grace after its controller was told, or after the proxy's
// joining if that was later.
func (f *fleet) send(p *proxy, class, backend string, m *member, joinedAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if backend == "" {
		f.refused++
		return
	}
	f.sent[backend]++
	if m == nil {
		return
	}
	told, leaves := m.discovery.toldAt(backend)
	if ordered, drained := f.drained[backend]; drained && !leaves {
		told, leaves = ordered, true
	}
	if !leaves {
		return
	}
	if joinedAt.After(told) {
		told = joinedAt
	}
	after := time.Since(told)
	f.run.log("proxy %d: sends a request %s to %s, %d ms after %s was told (or it joined)", p.number, class, backend,
		after.Milliseconds(), m.name)
	if after > f.figures.grace+socketSlack {
		f.late = append(f.late, lateSend{p.number, backend, m.name, after})
	}
}

// errorShare returns the share of the tries that a backend answers with an error.
func (f *fleet) errorShare(backend string) float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.failing[backend]
}

// fail makes backends answer a share of the tries with an error; a share of 0 makes them well.
func (f *fleet) fail(share float64, ids ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, id := range ids {
		f.failing[id] = share
	}
	f.run.log("backends: %v answer %.0f%% of the tries with an error", ids, 100*share)
}

// drain records that an operator's drain of a backend has to hold from now on.
func (f *fleet) drain(backend string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.drained[backend] = time.Now()
}

// picks returns how many connected proxies may pick a backend now.
func (f *fleet) picks(backend string) (count int) {
	for _, p := range f.proxies {
		p.mutex.Lock()
		for _, class := range f.figures.classes {
			if p.tables[class][backend] > 0 && !p.out[backend] {
				count++
				break
			}
		}
		p.mutex.Unlock()
	}
	return count
}

// reportDemand sends the proxy's reports over its stream.
func (p *proxy) reportDemand(conn net.Conn, done chan struct{}) {
	ticker := time.NewTicker(p.fleet.figures.report)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		p.mutex.Lock()
		arrived := p.arrived
		p.arrived = map[string]int{}
		p.mutex.Unlock()
		for _, class := range p.fleet.figures.classes {
			report := map[string]any{"msg": "demand", "node": p.number, "route": class, "total": arrived[class], "errors": 0,
				"interval": float64(p.fleet.figures.report.Milliseconds())}
			if writeMessage(conn, report) != nil {
				return
			}
		}
	}
}

// collect is the collector of a zone for one controller.
func (f *fleet) collect(m *member, zone string) {
	for {
		time.Sleep(200 * time.Millisecond)
		conn, err := net.DialTimeout("tcp", m.listen, 500*time.Millisecond)
		if err != nil {
			continue
		}
		err = writeMessage(conn, map[string]any{"msg": "agent", "locality": zone})
		for err == nil {
			time.Sleep(f.figures.report)
			sums, errors := map[string]int{}, map[string]int{}
			for _, p := range f.proxies {
				p.mutex.Lock()
				if p.zone == zone && p.member == m {
					for id, tries := range p.tries {
						sums[id] += tries
					}
					for id, tries := range p.errors {
						errors[id] += tries
					}
					p.tries, p.errors = nil, nil
				}
				p.mutex.Unlock()
			}
			for id, tries := range sums {
				report := map[string]any{"msg": "outcomes", "locality": zone, "endpoint": id, "total": tries, "errors": errors[id],
					"rtt": 250.0, "interval": float64(f.figures.report.Milliseconds())}
				if err = writeMessage(conn, report); err != nil {
					break
				}
			}
		}
		conn.Close()
	}
}

// allJoined reports whether every proxy has applied a message of the controller at its home.
func (f *fleet) allJoined() bool {
	for _, p := range f.proxies {
		p.mutex.Lock()
		served := p.member != nil && !p.cold && p.messages > 0
		p.mutex.Unlock()
		if !served {
			return false
		}
	}
	return true
}
