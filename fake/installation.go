package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wheelrill/invariant"
)

// FleetConfig says of how much an installation is made. All that is drawn comes from the seed.
type FleetConfig struct {
	Zones          []string
	Backends       int
	Cores          int           // of each worker
	ServiceTime    time.Duration // that a piece of work takes
	Proxies        int
	Fenced         bool // the relays ask for tokens
	Classes        []Class
	ReportInterval time.Duration
	Seed           uint64
}

// Fleet is all that is around controllers.
type Fleet struct {
	Discovery *Discovery
	Backends  []*Backend

	account     *invariant.Checker
	classes     []Class
	reports     time.Duration
	began       time.Time
	controllers []*FaultyLink
	channels    []*channel // by controller
	relays      []*Proxy
	collectors  map[string][]*collector // by zone and controller
	seed        uint64
	names       map[string]*Backend
	playing     sync.WaitGroup
	stop        context.CancelFunc
}

// NewFleet sets everything up but the streams to controllers, which stand at the given addresses.
func NewFleet(p FleetConfig, limits invariant.Limits, controllers []string) (*Fleet, error) {
	in := &Fleet{account: invariant.NewChecker(limits), classes: p.Classes, reports: p.ReportInterval, began: time.Now(),
		collectors: map[string][]*collector{}, seed: p.Seed, names: map[string]*Backend{}}
	var err error
	if in.Discovery, err = NewDiscovery(in.account, in.Clock); err != nil {
		return nil, err
	}
	for _, address := range controllers {
		wire, err := NewFaultyLink(address)
		if err != nil {
			in.Close()
			return nil, err
		}
		in.controllers = append(in.controllers, wire)
		in.channels = append(in.channels, &channel{in: in, of: len(in.channels), lines: limits.LinesPerSecond})
	}
	for i := range p.Backends {
		w := &Backend{ID: fmt.Sprintf("w-%02d", i), Zone: p.Zones[i%len(p.Zones)], Weight: 1, Cores: p.Cores, ServiceTime: p.ServiceTime,
			account: in.account, clock: in.Clock}
		in.Backends, in.names[w.ID] = append(in.Backends, w), w
	}
	in.Discovery.Publish("up", in.Backends...)
	for _, zone := range p.Zones {
		for at := range controllers {
			in.collectors[zone] = append(in.collectors[zone], &collector{in: in, zone: zone, at: at, met: map[string]*met{}})
		}
	}
	for node := range p.Proxies {
		r := &Proxy{in: in, node: node, zone: p.Zones[node%len(p.Zones)], fenced: p.Fenced, at: -1, cold: true,
			random: rand.New(rand.NewPCG(p.Seed, uint64(node))), levels: make([]level, len(p.Classes)),
			shut: map[string]bool{}, came: make([]int, len(p.Classes))}
		for range p.Classes {
			r.tables = append(r.tables, NewTable())
		}
		in.relays = append(in.relays, r)
	}
	return in, nil
}

// Clock is the time since the installation was set up, as its account has it.
func (in *Fleet) Clock() time.Duration { return time.Since(in.began) }

// ControllerRestarted notes that a controller's process is another from now on, and so is its channel.
func (in *Fleet) ControllerRestarted(controller int) {
	c := in.channels[controller]
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.life++
	c.free = 0
}

// ControllerFrozen notes that a controller's process stands still, or goes on. Its streams count as left meanwhile.
func (in *Fleet) ControllerFrozen(controller int, frozen bool) {
	for _, r := range in.relays {
		r.mutex.Lock()
		if r.at == controller {
			r.joins(!frozen)
		}
		r.mutex.Unlock()
	}
}

// Wire is the way to a controller.
func (in *Fleet) Wire(controller int) *FaultyLink { return in.controllers[controller] }

// Start has streams, reports and requests go on until the installation is closed.
func (in *Fleet) Start() {
	ctx, stop := context.WithCancel(context.Background())
	in.stop = stop
	for _, of := range in.collectors {
		for _, c := range of {
			in.playing.Go(func() { c.run(ctx) })
		}
	}
	for _, r := range in.relays {
		in.playing.Go(func() { r.run(ctx) })
		for class := range in.classes {
			random := rand.New(rand.NewPCG(in.seed+uint64(class)+1, uint64(r.node)))
			in.playing.Go(func() { r.arrivals(ctx, class, random) })
		}
	}
}

// Close ends everything, and gives what the account shows and the relays counted.
func (in *Fleet) Close() (invariant.Verdict, Counts) {
	verdict := in.account.Verdict(in.Clock())
	if in.stop != nil {
		in.stop()
	}
	in.playing.Wait()
	in.Discovery.Close()
	for _, wire := range in.controllers {
		wire.Close()
	}
	return verdict, in.Counts()
}

// Counts is what the relays have counted so far.
func (in *Fleet) Counts() (sum Counts) {
	for _, r := range in.relays {
		r.mutex.Lock()
		sum.add(r.counts)
		r.mutex.Unlock()
	}
	return sum
}

// ProxiesUsing tells how many relays have a line for a worker in some table, and may use it.
func (in *Fleet) ProxiesUsing(worker string) (n int) {
	for _, r := range in.relays {
		r.mutex.Lock()
		for _, table := range r.tables {
			if table.Has(worker) {
				n++
				break
			}
		}
		r.mutex.Unlock()
	}
	return n
}

// ConnectedProxies tells how many relays have a stream to some controller, and how many to this one.
func (in *Fleet) ConnectedProxies(controller int) (all, there int) {
	for _, r := range in.relays {
		r.mutex.Lock()
		if r.at >= 0 {
			all++
		}
		if r.at == controller {
			there++
		}
		r.mutex.Unlock()
	}
	return all, there
}

func (in *Fleet) knows(id string) bool { return in.names[id] != nil }

func (in *Fleet) worker(id string) *Backend { return in.names[id] }

func (in *Fleet) report(zone string, at int, worker string, result Outcome, took time.Duration) {
	if at >= 0 {
		in.collectors[zone][at].note(worker, result, took)
	}
}
