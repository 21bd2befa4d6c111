package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"wheelrill/consensus"
	"wheelrill/distribution"
	"wheelrill/distribution/transport"
)

// DistributionConfig says what part a controller has in the distribution of configuration.
type DistributionConfig struct {
	// Voter is true for a member that shares the record, and hands the configuration on to subscribers. Of what follows only FanOut
	// and SnapshotPace count then.
	Voter bool
	// Name is a subscriber's; the controller's own if empty.
	Name string
	// Parents has the addresses of voters, or of subscribers that pass on, by their names.
	Parents map[string]string
	// Scopes are those of the entries that the controller gets.
	Scopes []string
	// AllScopes is true for one that gets all of them, whatever Scopes says.
	AllScopes bool
	// Listen is where others subscribe, and how they are told to dial; empty: the controller passes nothing on.
	Listen string
	// Folder is where a subscriber keeps what it has; empty: a restart begins with nothing.
	Folder string
	// FanOut is how many subscribe here, at most; 0 for the default.
	FanOut int
	// SnapshotPace is how many bytes a second all snapshots that are sent from here take together; 0 for the default.
	SnapshotPace int
	consensus.Credentials

	limits distribution.Limits // of the node; the default where it is zero
}

const (
	proposeTimeout = 10 * time.Second // that a change waits for the record
	statusInterval = 10 * time.Second // between two lines that tell the state of the distribution
)

// errNoParent is what a voter's dial gives.
var errNoParent = errors.New("a voter has no parent")

// distributor is the controller's side of the distribution: what arrives waits here until the event loop takes it. JoinDistribution
// sets its fields, and ShareOwnership a voter's transport and node, before Serve begins.
type distributor struct {
	loop          *eventLoop
	log           *slog.Logger
	limits        distribution.Limits
	transport     *transport.Transport // our node of the tree, and its connections
	consensusNode *consensus.Node      // of a voter
	listener      *consensus.Listener  // of a subscriber that passes on
	cache         *configurationCache  // of a subscriber with a folder
	arrived       arrivedEntries       // what the loop has not taken
	proposals     chan proposedEntries // of a voter: the newest configuration that is to be proposed; a newer one replaces it
}

// proposedEntries are all entries that are to be on the record.
type proposedEntries []distribution.Entry

// JoinDistribution has the controller take part in the distribution of configuration from Serve on. It is called once, before Serve.
// A voter has to share the record as well, by ShareOwnership, afterwards. An error says what would do.
func (c *Controller) JoinDistribution(config DistributionConfig) error {
	if config.Name == "" {
		config.Name = c.configuration.Name
	}
	d := &distributor{loop: c.loop, log: c.log, limits: config.nodeLimits(), proposals: make(chan proposedEntries, 1)}
	if !config.Voter {
		if err := d.subscribe(config); err != nil {
			return err
		}
	}
	c.distributor = d
	c.loop.distributor, c.loop.overrides = d, newOverrides()
	return nil
}

// nodeLimits are the limits of our node. One that listens nowhere has no place for others, and is proposed to nobody.
func (c DistributionConfig) nodeLimits() distribution.Limits {
	limits := c.limits
	if limits == (distribution.Limits{}) {
		limits = distribution.DefaultLimits()
	}
	if c.SnapshotPace > 0 {
		limits.SnapshotBytesPerSecond = c.SnapshotPace
	}
	switch {
	case !c.Voter && c.Listen == "":
		limits.FanOut = 0
	case c.FanOut > 0:
		limits.FanOut = c.FanOut
	}
	return limits
}

// subscribe prepares a subscriber.
func (d *distributor) subscribe(config DistributionConfig) error {
	subscriber, err := consensus.NewSubscriber(config.Credentials)
	if err != nil {
		return err
	}
	if strings.Contains(config.Name, consensus.PeerSeparator) {
		return fmt.Errorf("name: %q has a %s, which parts names from addresses; leave it out", config.Name, consensus.PeerSeparator)
	}
	self := consensus.Peer{Name: config.Name}
	if config.Listen != "" {
		if d.listener, err = subscriber.Listen(config.Listen, d.accept, d.logRefused); err != nil {
			return err
		}
		self.Address = d.listener.Address()
	}
	scopes := distribution.SomeScopes(config.Scopes...)
	if config.AllScopes {
		scopes = distribution.AllScopes()
	}
	d.transport = transport.New(transport.Config{
		Node:  distribution.Config{Name: self.String(), Scopes: scopes, Candidates: config.candidates(), Limits: d.limits},
		Dial:  subscriber.Dial,
		Apply: d.apply,
		Log:   d.logEvent,
	})
	return d.restore(config.Folder)
}

// candidates are the parents as our node has them, in the order of their names.
func (c DistributionConfig) candidates() (candidates []string) {
	for _, name := range slices.Sorted(maps.Keys(c.Parents)) {
		candidates = append(candidates, consensus.Peer{Name: name, Address: c.Parents[name]}.String())
	}
	return candidates
}

// restore begins with what a folder has; what it has may be damaged, but it must be possible to write there.
func (d *distributor) restore(folder string) error {
	if folder == "" {
		return nil
	}
	var err error
	if d.cache, err = openConfigurationCache(folder); err != nil {
		return err
	}
	state, err := d.cache.load()
	if err != nil {
		d.log.Warn("cache_unusable", "error", err) // it begins with nothing, and gets all from a parent
		return nil
	}
	if state != nil {
		d.log.Info("cache_loaded", "revision", state.Version.Revision, "epoch", state.Version.Epoch.String(), "entries", len(state.Entries))
		d.transport.Restored(*state)
	}
	return nil
}

// becomeVoter prepares a voter, as a member that shares the record.
func (d *distributor) becomeVoter(self consensus.Peer) *transport.Transport {
	d.transport = transport.New(transport.Config{
		Node:  distribution.Config{Name: self.String(), Voter: true, Limits: d.limits},
		Dial:  func(context.Context, string) (net.Conn, error) { return nil, errNoParent },
		Apply: d.apply,
		Log:   d.logEvent,
	})
	return d.transport
}

// accept serves one that subscribes here. Goroutines of the listener call it.
func (d *distributor) accept(conn net.Conn, allowed func(string) bool) {
	d.transport.Accept(conn, allowed)
}

// run carries the distribution until the context ends. Controller.Serve starts it and waits for its end; it starts the goroutines of
// its parts and waits for theirs, the transport's last, so that the cache is written with all that came.
func (d *distributor) run(ctx context.Context) {
	var running sync.WaitGroup
	carried, endCarried := context.WithCancel(context.WithoutCancel(ctx))
	running.Go(func() { d.transport.Run(carried) })
	running.Go(func() {
		defer endCarried()
		d.runCache(ctx)
	})
	if d.listener != nil {
		running.Go(func() { d.listener.Run(ctx) })
	}
	running.Go(func() { d.runStatusReports(ctx) })
	running.Go(func() { d.runProposals(ctx) })
	running.Wait()
}
