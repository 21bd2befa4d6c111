package fake

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Class is one class of requests.
type Class struct {
	Name             string        // on the wire
	LatencyObjective time.Duration // within which an answer counts as served
	Deadline         time.Duration // after which a request is lost
	PriorityWeight   float64       // value of a request that is served
	Writes           bool          // a second run of the same would be a second effect
	Rate             float64       // requests a second that come to each proxy
}

// Proxy has one stream to some controller, tables that it follows exactly, and requests that it sends where they say.
type Proxy struct {
	fleet  *Fleet
	number int
	zone   string
	fenced bool       // it asks for tokens, and rejects pushes with an older one than it has seen
	random *rand.Rand // of run alone

	mutex      sync.Mutex // of all below
	controller int        // that its stream is to; -1 for none
	cold       bool       // it has had no push
	tables     []*Table   // by class
	limits     []admissionLimit
	withdrawn  map[string]bool // backends by id
	token      uint64          // the highest that was seen
	demand     []int           // requests by class since they were last reported
	counts     Counts
}

// newProxy makes a proxy that holds nothing.
func newProxy(fleet *Fleet, number int, config FleetConfig) *Proxy {
	p := &Proxy{
		fleet:      fleet,
		number:     number,
		zone:       config.Zones[number%len(config.Zones)],
		fenced:     config.Fenced,
		random:     rand.New(rand.NewPCG(config.Seed, uint64(number))),
		controller: -1,
		cold:       true,
		limits:     make([]admissionLimit, len(config.Classes)),
		withdrawn:  map[string]bool{},
		demand:     make([]int, len(config.Classes)),
	}
	for range config.Classes {
		p.tables = append(p.tables, NewTable())
	}
	return p
}

// connected notes that a controller has shown to be there.
func (p *Proxy) connected(controller int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.controller = controller
	p.counts.Streams++
	p.noteReachable(true)
}

func (p *Proxy) disconnected() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.controller = -1
	p.noteReachable(false)
}

// noteReachable tells the checker that pushes reach the proxy from now on, or do not. The proxy is locked.
func (p *Proxy) noteReachable(reachable bool) {
	var empty []string
	for i, class := range p.fleet.classes {
		if reachable && p.tables[i].Empty() {
			empty = append(empty, class.Name)
		}
	}
	p.fleet.checker.ProxyConnected(p.number, reachable, empty, p.fleet.Clock())
}

// uses tells whether it has an entry for a backend in some table, and may use it.
func (p *Proxy) uses(backend string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, table := range p.tables {
		if table.Has(backend) {
			return true
		}
	}
	return false
}

// push is all parts of one push.
type push struct {
	parts []pushPart
	lines int
}

func (o *push) add(part pushPart) {
	o.parts = append(o.parts, part)
	o.lines += part.lines()
}

// apply takes in a whole push, or none of it. An error means that it cannot be used.
func (p *Proxy) apply(o push, controller int, connecting bool) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	token := o.parts[0].Token
	if p.fenced && token > 0 && token < p.token {
		p.counts.StalePushesRejected++
		return nil
	}
	for _, part := range o.parts {
		if !p.usable(part) {
			return errUnusable
		}
	}
	for _, part := range o.parts {
		p.applyPart(part)
	}
	for _, table := range p.tables {
		table.Index(p.withdrawn)
	}
	p.token = max(p.token, token)
	p.cold = false
	p.counts.Pushes++
	p.counts.Lines += o.lines
	if connecting {
		p.counts.LinesAtConnect += o.lines
	}
	now := p.fleet.Clock()
	p.fleet.checker.PushApplied(fmt.Sprint("controller ", controller), p.number, token, now)
	for i, class := range p.fleet.classes {
		p.fleet.checker.TableChanged(p.number, class.Name, !p.tables[i].Empty(), now)
	}
	return nil
}

// usable tells whether all classes, backends and weights of a part are ones that can be.
func (p *Proxy) usable(part pushPart) bool {
	for _, name := range part.Classes {
		if !slices.ContainsFunc(p.fleet.classes, func(c Class) bool { return c.Name == name }) {
			return false
		}
	}
	for _, entry := range part.Entries {
		id, isText := entry[0].(string)
		weight, isNumber := entry[1].(float64)
		if !isText || !isNumber || weight < 0 || p.fleet.backend(id) == nil {
			return false
		}
	}
	return true
}

// applyPart takes in a usable part. The proxy is locked.
func (p *Proxy) applyPart(part pushPart) {
	for i, class := range p.fleet.classes {
		if part.Classes != nil && !slices.Contains(part.Classes, class.Name) {
			continue
		}
		if part.Full {
			p.tables[i] = NewTable()
			p.limits[i] = admissionLimit{}
		}
		for _, entry := range part.Entries {
			p.tables[i].Set(entry[0].(string), entry[1].(float64))
		}
		if part.Limit != nil {
			p.limits[i] = newAdmissionLimit(*part.Limit, part.Retry)
		}
	}
	for _, id := range part.Withdrawn {
		p.withdrawn[id] = true
	}
	for _, id := range part.Restored {
		delete(p.withdrawn, id)
	}
}
