package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wheelrill/invariant"
)

// FleetConfig sets the size and the properties of a fleet.
type FleetConfig struct {
	Zones          []string      // names of the zones; backends and proxies are spread evenly over the zones
	Backends       int           // number of backends
	Cores          int           // number of cores per backend
	ServiceTime    time.Duration // time for which a request occupies a core
	Proxies        int           // number of proxies
	Fenced         bool          // the proxies ask for fencing tokens
	Classes        []Class       // classes of requests; every proxy receives requests of each class
	ReportInterval time.Duration // time between two reports of a collector
	Seed           uint64        // seed of all random choices
}

// Fleet holds discovery, the backends, the proxies and the collectors around the controllers, and
// the links to the controllers. Safe for concurrent use, except for Start and Close.
type Fleet struct {
	Discovery *Discovery // serves the list of backends to the controllers
	Backends  []*Backend // the backends w-00, w-01 and so on

	checker        *invariant.Checker
	classes        []Class
	reportInterval time.Duration
	startedAt      time.Time
	links          []*FaultyLink           // links to the controllers, by index of the controller
	pushChannels   []*pushChannel          // push channels, by index of the controller
	proxies        []*Proxy                // proxies, by number of the proxy
	collectors     map[string][]*collector // collectors, by zone and then by index of the controller
	seed           uint64
	backendsByID   map[string]*Backend
	running        sync.WaitGroup     // goroutines of proxies and collectors; stop ends them
	stop           context.CancelFunc // ends the goroutines of the fleet; nil before Start
}

// NewFleet creates a fleet for the controllers at the given addresses, starts its links to them,
// and publishes all backends. It opens no streams; Start does.
func NewFleet(config FleetConfig, limits invariant.Limits, controllers []string) (*Fleet, error) {
	f := &Fleet{
		checker:        invariant.NewChecker(limits),
		classes:        config.Classes,
		reportInterval: config.ReportInterval,
		startedAt:      time.Now(),
		collectors:     map[string][]*collector{},
		seed:           config.Seed,
		backendsByID:   map[string]*Backend{},
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
		f.pushChannels = append(f.pushChannels, &pushChannel{fleet: f, controller: i, linesPerSecond: limits.LinesPerSecond})
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
		f.backendsByID[b.ID] = b
	}
	f.Discovery.Publish(StateUp, f.Backends...)
}

// Clock returns the time since the fleet was created. All times that the checker gets are on this
// clock.
func (f *Fleet) Clock() time.Duration { return time.Since(f.startedAt) }

// ControllerRestarted records that a controller runs as a new process from now on, with a new,
// empty push channel.
func (f *Fleet) ControllerRestarted(controller int) { f.pushChannels[controller].restart() }

// ControllerFrozen records that a controller's process is frozen, or runs again. While it is
// frozen, proxies with a stream to it count as disconnected.
func (f *Fleet) ControllerFrozen(controller int, frozen bool) {
	for _, p := range f.proxies {
		p.mutex.Lock()
		if p.controller == controller {
			p.reportReachable(!frozen)
		}
		p.mutex.Unlock()
	}
}

// Start starts the streams, the reports and the requests, which continue until Close.
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

// Close stops the fleet. It returns the verdict of the checker and the counts of the proxies. The
// checker gives its verdict before the streams end, because a proxy whose stream has ended counts
// as disconnected.
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

// Counts returns the sum of the counts of all proxies so far.
func (f *Fleet) Counts() Counts {
	var sum Counts
	for _, p := range f.proxies {
		p.mutex.Lock()
		sum.add(p.counts)
		p.mutex.Unlock()
	}
	return sum
}

// ProxiesUsing returns the number of proxies that can pick a backend: at least one of their tables
// has an entry for it, and it is not withdrawn.
func (f *Fleet) ProxiesUsing(backend string) int {
	using := 0
	for _, p := range f.proxies {
		if p.uses(backend) {
			using++
		}
	}
	return using
}

// ConnectedProxies returns the number of proxies that are connected to any controller, and the
// number of proxies that are connected to the given controller.
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

// backend returns the backend with an ID, or nil for an unknown ID.
func (f *Fleet) backend(id string) *Backend { return f.backendsByID[id] }

// reportOutcome passes the outcome of an attempt to the collector of the proxy's zone for the
// controller that the proxy was connected to. Without a connection the outcome is dropped.
func (f *Fleet) reportOutcome(zone string, controller int, backend string, outcome Outcome, latency time.Duration) {
	if controller >= 0 {
		f.collectors[zone][controller].countOutcome(backend, outcome, latency)
	}
}
