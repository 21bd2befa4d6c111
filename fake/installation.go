package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wheelrill/invariant"
)

// Plan says of how much an installation is made. All that is drawn comes from the seed.
type Plan struct {
	Zones   []string
	Workers int
	Cores   int           // of each worker
	Service time.Duration // that a piece of work takes
	Relays  int
	Fenced  bool // the relays ask for tokens
	Classes []Class
	Reports time.Duration
	Seed    uint64
}

// Installation is all that is around controllers.
type Installation struct {
	Discovery *Discovery
	Workers   []*Worker

	account     *invariant.Account
	classes     []Class
	reports     time.Duration
	began       time.Time
	controllers []*Wire
	channels    []*channel // by controller
	relays      []*Relay
	collectors  map[string][]*collector // by zone and controller
	seed        uint64
	names       map[string]*Worker
	playing     sync.WaitGroup
	stop        context.CancelFunc
}

// NewInstallation sets everything up but the streams to controllers, which stand at the given addresses.
func NewInstallation(p Plan, limits invariant.Limits, controllers []string) (*Installation, error) {
	in := &Installation{account: invariant.NewAccount(limits), classes: p.Classes, reports: p.Reports, began: time.Now(),
		collectors: map[string][]*collector{}, seed: p.Seed, names: map[string]*Worker{}}
	var err error
	if in.Discovery, err = NewDiscovery(in.account, in.Clock); err != nil {
		return nil, err
	}
	for _, address := range controllers {
		wire, err := NewWire(address)
		if err != nil {
			in.Close()
			return nil, err
		}
		in.controllers = append(in.controllers, wire)
		in.channels = append(in.channels, &channel{in: in, of: len(in.channels), lines: limits.LinesPerS})
	}
	for i := range p.Workers {
		w := &Worker{ID: fmt.Sprintf("w-%02d", i), Zone: p.Zones[i%len(p.Zones)], Weight: 1, Cores: p.Cores, Service: p.Service,
			account: in.account, clock: in.Clock}
		in.Workers, in.names[w.ID] = append(in.Workers, w), w
	}
	in.Discovery.List("up", in.Workers...)
	for _, zone := range p.Zones {
		for at := range controllers {
			in.collectors[zone] = append(in.collectors[zone], &collector{in: in, zone: zone, at: at, met: map[string]*met{}})
		}
	}
	for node := range p.Relays {
		r := &Relay{in: in, node: node, zone: p.Zones[node%len(p.Zones)], fenced: p.Fenced, at: -1, cold: true,
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
func (in *Installation) Clock() time.Duration { return time.Since(in.began) }

// Restarted notes that a controller's process is another from now on, and so is its channel.
func (in *Installation) Restarted(controller int) {
	c := in.channels[controller]
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.life++
	c.free = 0
}

// Frozen notes that a controller's process stands still, or goes on. Its streams count as left meanwhile.
func (in *Installation) Frozen(controller int, frozen bool) {
	for _, r := range in.relays {
		r.mutex.Lock()
		if r.at == controller {
			r.joins(!frozen)
		}
		r.mutex.Unlock()
	}
}

// Wire is the way to a controller.
func (in *Installation) Wire(controller int) *Wire { return in.controllers[controller] }

// Play has streams, reports and requests go on until the installation is closed.
func (in *Installation) Play() {
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
func (in *Installation) Close() (invariant.Verdict, Counts) {
	verdict := in.account.Judge(in.Clock())
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
func (in *Installation) Counts() (sum Counts) {
	for _, r := range in.relays {
		r.mutex.Lock()
		sum.add(r.counts)
		r.mutex.Unlock()
	}
	return sum
}

// Holding tells how many relays have a line for a worker in some table, and may use it.
func (in *Installation) Holding(worker string) (n int) {
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

// Joined tells how many relays have a stream to some controller, and how many to this one.
func (in *Installation) Joined(controller int) (all, there int) {
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

func (in *Installation) knows(id string) bool { return in.names[id] != nil }

func (in *Installation) worker(id string) *Worker { return in.names[id] }

func (in *Installation) report(zone string, at int, worker string, result Result, took time.Duration) {
	if at >= 0 {
		in.collectors[zone][at].note(worker, result, took)
	}
}
