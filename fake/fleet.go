package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wheelrill/invariant"
)

// FleetConfig says of how much a fleet is made. All that is drawn comes from the seed.
type FleetConfig struct {
	Zones          []string      // names; backends and proxies are spread over them
	Backends       int           // number of them
	Cores          int           // of each backend
	ServiceTime    time.Duration // that a request takes on a core
	Proxies        int           // number of them
	Fenced         bool          // proxies ask for tokens
	Classes        []Class       // of requests, which come to each proxy
	ReportInterval time.Duration // of collectors
	Seed           uint64        // of all that is drawn
}

// Fleet is all that is around controllers. Safe for concurrent use, but for Start and Close.
type Fleet struct {
	Discovery *Discovery // tells controllers of the backends
	Backends  []*Backend // in the order of their names

	checker        *invariant.Checker
	classes        []Class
	reportInterval time.Duration
	began          time.Time
	links          []*FaultyLink           // to controllers
	channels       []*pushChannel          // by controller
	proxies        []*Proxy                // by number
	collectors     map[string][]*collector // by zone and controller
	seed           uint64
	byID           map[string]*Backend
	running        sync.WaitGroup     // goroutines of proxies and collectors, which stop ends
	stop           context.CancelFunc // nil before Start
}

// NewFleet sets everything up but the streams to controllers, which are at the given addresses.
func NewFleet(config FleetConfig, limits invariant.Limits, controllers []string) (*Fleet, error) {
	f := &Fleet{
		checker:        invariant.NewChecker(limits),
		classes:        config.Classes,
		reportInterval: config.ReportInterval,
		began:          time.Now(),
		collectors:     map[string][]*collector{},
		seed:           config.Seed,
		byID:           map[string]*Backend{},
	}
	var err error
	if f.Discovery, err = NewDiscovery(f.checker, f.Clock); err != nil {
		return nil, err
	}
	for i, address := range controllers {
		link, err := NewFaultyLink(address)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.links = append(f.links, link)
		f.channels = append(f.channels, &pushChannel{fleet: f, controller: i, linesPerSecond: limits.LinesPerSecond})
	}
	f.addBackends(config)
	for _, zone := range config.Zones {
		for controller := range controllers {
			f.collectors[zone] = append(f.collectors[zone], newCollector(f, zone, controller))
		}
	}
	for number := range config.Proxies {
		f.proxies = append(f.proxies, newProxy(f, number, config))
	}
	return f, nil
}

func (f *Fleet) addBackends(config FleetConfig) {
	for i := range config.Backends {
		b := &Backend{
			ID:          fmt.Sprintf("w-%02d", i),
			Zone:        config.Zones[i%len(config.Zones)],
			Weight:      1,
			Cores:       config.Cores,
			ServiceTime: config.ServiceTime,
			checker:     f.checker,
			clock:       f.Clock,
		}
		f.Backends = append(f.Backends, b)
		f.byID[b.ID] = b
	}
	f.Discovery.Publish(StateUp, f.Backends...)
}

// Clock is the time since the fleet was set up, as its checker has it.
func (f *Fleet) Clock() time.Duration { return time.Since(f.began) }

// ControllerRestarted notes that a controller's process is another from now on, and so is its push channel.
func (f *Fleet) ControllerRestarted(controller int) { f.channels[controller].restart() }

// ControllerFrozen notes that a controller's process stands still, or goes on. Its streams count as lost meanwhile.
func (f *Fleet) ControllerFrozen(controller int, frozen bool) {
	for _, p := range f.proxies {
		p.mutex.Lock()
		if p.controller == controller {
			p.noteReachable(!frozen)
		}
		p.mutex.Unlock()
	}
}

// Start begins streams, reports and requests, which go on until Close.
func (f *Fleet) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for _, zone := range f.collectors {
		for _, c := range zone {
			f.running.Go(func() { c.run(ctx) })
		}
	}
	for _, p := range f.proxies {
		f.running.Go(func() { p.run(ctx) })
		for class := range f.classes {
			random := rand.New(rand.NewPCG(f.seed+uint64(class)+1, uint64(p.number)))
			f.running.Go(func() { p.generateRequests(ctx, class, random) })
		}
	}
}

// Close ends everything, and gives what the checker found and the proxies counted. The verdict is taken before streams
// end, which would count as lost.
func (f *Fleet) Close() (invariant.Verdict, Counts) {
	verdict := f.checker.Verdict(f.Clock())
	if f.stop != nil {
		f.stop()
	}
	f.running.Wait()
	f.Discovery.Close()
	for _, link := range f.links {
		link.Close()
	}
	return verdict, f.Counts()
}

// Counts sums what the proxies have counted so far.
func (f *Fleet) Counts() Counts {
	var sum Counts
	for _, p := range f.proxies {
		p.mutex.Lock()
		sum.add(p.counts)
		p.mutex.Unlock()
	}
	return sum
}

// ProxiesUsing is how many proxies have an entry for a backend in some table, and may use it.
func (f *Fleet) ProxiesUsing(backend string) int {
	using := 0
	for _, p := range f.proxies {
		if p.uses(backend) {
			using++
		}
	}
	return using
}

// ConnectedProxies is how many proxies have a stream to some controller, and to this one.
func (f *Fleet) ConnectedProxies(controller int) (toAny, toThis int) {
	for _, p := range f.proxies {
		p.mutex.Lock()
		if p.controller >= 0 {
			toAny++
		}
		if p.controller == controller {
			toThis++
		}
		p.mutex.Unlock()
	}
	return toAny, toThis
}

// backend is the one of an id, or nil.
func (f *Fleet) backend(id string) *Backend { return f.byID[id] }

// reportOutcome hands the outcome of an attempt to the collector of a zone for the controller that the proxy had its
// stream to, if it had one.
func (f *Fleet) reportOutcome(zone string, controller int, backend string, outcome Outcome, took time.Duration) {
	if controller >= 0 {
		f.collectors[zone][controller].note(backend, outcome, took)
	}
}
