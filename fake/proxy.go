package fake

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Class describes one class of requests and its traffic.
type Class struct {
	Name             string        // name of the class on the wire
	LatencyObjective time.Duration // a request answered within this time counts as served
	Deadline         time.Duration // a request without an answer within this time is lost
	PriorityWeight   float64       // value of one served request in OfferedValue and ServedValue of Counts
	Writes           bool          // a second run of a request has a second effect, which violates rule 2
	Rate             float64       // requests a second that each proxy receives
}

// Proxy keeps a stream to one of the controllers, applies the pushes that it receives, and sends
// its requests exactly as its tables say.
type Proxy struct {
	fleet  *Fleet
	number int
	zone   string
	fenced bool       // the proxy asks for fencing tokens, and rejects pushes with a token below highestToken
	random *rand.Rand // source of random numbers, used only by run

	mutex        sync.Mutex       // guards the fields below
	controller   int              // index of the controller that the proxy is connected to; -1 if it is not connected
	cold         bool             // the proxy has not applied a push yet
	tables       []*Table         // tables, by index of the class
	limits       []admissionLimit // admission limits, by index of the class
	withdrawn    map[string]bool  // withdrawn backends, by backend ID
	highestToken uint64           // highest fencing token of the applied pushes
	demand       []int            // number of requests since the last demand report, by index of the class
	counts       Counts
}

// newProxy returns a proxy with empty tables that is not connected.
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

// setConnected records that a controller has sent a message on the stream to it.
func (p *Proxy) setConnected(controller int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.controller = controller
	p.counts.Streams++
	p.reportReachable(true)
}

// setDisconnected records that the stream to the controller has ended.
func (p *Proxy) setDisconnected() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.controller = -1
	p.reportReachable(false)
}

// reportReachable reports to the checker whether pushes can reach the proxy from now on. The caller
// holds the mutex.
func (p *Proxy) reportReachable(reachable bool) {
	var empty []string
	for i, class := range p.fleet.classes {
		if reachable && p.tables[i].Empty() {
			empty = append(empty, class.Name)
		}
	}
	p.fleet.checker.ProxyConnected(p.number, reachable, empty, p.fleet.Clock())
}

// uses reports whether the proxy can pick a backend from at least one of its tables.
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

// push collects the parts of one push and their cost in lines.
type push struct {
	parts []pushPart
	lines int
}

func (p *push) add(part pushPart) {
	p.parts = append(p.parts, part)
	p.lines += part.lines()
}

// apply applies all parts of a push, or returns an error and applies none if a part is invalid. A
// fenced proxy rejects a push with a stale token without an error.
func (p *Proxy) apply(received push, controller int, connecting bool) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	token := received.parts[0].Token
	if p.fenced && token > 0 && token < p.highestToken {
		p.counts.StalePushesRejected++
		return nil
	}
	for _, part := range received.parts {
		if !p.validPart(part) {
			return errInvalidPush
		}
	}
	for _, part := range received.parts {
		p.applyPart(part)
	}
	for _, table := range p.tables {
		table.Index(p.withdrawn)
	}
	p.highestToken = max(p.highestToken, token)
	p.cold = false
	p.counts.Pushes++
	p.counts.Lines += received.lines
	if connecting {
		p.counts.LinesAtConnect += received.lines
	}
	now := p.fleet.Clock()
	p.fleet.checker.PushApplied(fmt.Sprint("controller ", controller), p.number, token, now)
	for i, class := range p.fleet.classes {
		p.fleet.checker.TableChanged(p.number, class.Name, !p.tables[i].Empty(), now)
	}
	return nil
}

// validPart reports whether all classes and backends of a part are known and all weights are
// numbers >= 0.
func (p *Proxy) validPart(part pushPart) bool {
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

// applyPart applies a valid part. The caller holds the mutex.
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
