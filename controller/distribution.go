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

// DistributionConfig is the role of a controller in the distribution of configuration.
type DistributionConfig struct {
	// Voter is true for a member of shared ownership. Voters vote on changes of the distributed
	// configuration, and distribute it to subscribers. Of the fields below, only FanOut and
	// SnapshotPace apply to a voter.
	Voter bool
	// Name is the name of a subscriber; empty means the controller's own name.
	Name string
	// Parents maps the names of voters, and of subscribers that listen, to their addresses.
	Parents map[string]string
	// Scopes are the scopes of the entries that the controller receives.
	Scopes []string
	// AllScopes is true for a controller that receives the entries of all scopes, whatever Scopes
	// contains.
	AllScopes bool
	// Listen is the address on which other subscribers connect, and which is announced to them;
	// empty means that no subscriber can connect to this one.
	Listen string
	// Folder is where a subscriber stores its configuration; empty means that the subscriber has no
	// configuration after a restart until it connects to a parent.
	Folder string
	// FanOut is the maximum number of subscribers connected to this controller; 0 means the
	// default.
	FanOut int
	// SnapshotPace is the rate, in bytes a second, at which this controller sends snapshots, all
	// subscribers together; 0 means the default.
	SnapshotPace int
	consensus.Credentials

	// limits are the limits of this controller's node of the distribution tree; the zero value
	// means the default.
	limits distribution.Limits
}

const (
	proposeTimeout = 10 * time.Second // longest wait until a proposed change is accepted or refused
	statusInterval = 10 * time.Second // time between two distribution_status lines of the log
)

// errNoParent is returned if the distribution node of a voter dials a parent.
var errNoParent = errors.New("a voter has no parent")

// distributor is the controller's part in the distribution of configuration. Changes that arrive
// wait in it until the event loop takes them. JoinDistribution sets its fields, and ShareOwnership
// sets a voter's transport and consensusNode, before Serve begins.
type distributor struct {
	loop          *eventLoop
	log           *slog.Logger
	limits        distribution.Limits
	transport     *transport.Transport // this controller's node of the distribution tree, and its connections
	consensusNode *consensus.Node      // consensus node that proposes changes; set only for a voter
	// listener accepts connections of other subscribers. It is set only for a subscriber that
	// listens.
	listener *consensus.Listener
	cache    *configurationCache // file with the configuration; set only for a subscriber with a folder
	arrived  arrivedEntries      // distributed entries that the event loop has not taken yet
	// proposals holds, at a voter, the newest entries to propose. Newer entries replace entries
	// that still wait here.
	proposals chan proposedEntries
}

// proposedEntries are the complete distributed entries that a voter proposes: once the proposal is
// accepted, they replace all entries of the distribution.Record.
type proposedEntries []distribution.Entry

// JoinDistribution makes the controller take part in the distribution of configuration while it
// serves. It is called once, before Serve; a voter must then also call ShareOwnership. An error
// names the value that is refused, and what is accepted.
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

// nodeLimits returns the limits of this controller's node. A subscriber that does not listen has a
// fan-out of 0, and is never proposed as a parent.
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

// subscribe sets up a subscriber: its listener, its node of the distribution tree and its cache.
func (d *distributor) subscribe(config DistributionConfig) error {
	subscriber, err := consensus.NewSubscriber(config.Credentials)
	if err != nil {
		return err
	}
	if strings.Contains(config.Name, consensus.PeerSeparator) {
		return fmt.Errorf("name: %q contains %s, which separates names from addresses; leave it out",
			config.Name, consensus.PeerSeparator)
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
		Node:   distribution.Config{Name: self.String(), Scopes: scopes, Candidates: config.candidates(), Limits: d.limits},
		Dial:   subscriber.Dial,
		Apply:  d.apply,
		Log:    d.logEvent,
		Memory: d.loop.memberBounds,
	})
	return d.restore(config.Folder)
}

// candidates returns the names and addresses of the possible parents as texts, as the distribution
// node expects them, in the order of the names.
func (c DistributionConfig) candidates() (candidates []string) {
	for _, name := range slices.Sorted(maps.Keys(c.Parents)) {
		candidates = append(candidates, consensus.Peer{Name: name, Address: c.Parents[name]}.String())
	}
	return candidates
}

// restore loads the configuration that a folder contains. A damaged file is logged and ignored, but
// the folder must be writable.
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
		// The subscriber begins without a configuration, and a parent sends the complete one.
		d.log.Warn("cache_unusable", "error", err)
		return nil
	}
	if state != nil {
		d.log.Info("cache_loaded", "revision", state.Version.Revision, "epoch", state.Version.Epoch.String(),
			"entries", len(state.Entries))
		d.transport.Restored(*state)
	}
	return nil
}

// becomeVoter sets up the distribution node of a voter, which has no parent.
func (d *distributor) becomeVoter(self consensus.Peer) *transport.Transport {
	d.transport = transport.New(transport.Config{
		Node:   distribution.Config{Name: self.String(), Voter: true, Limits: d.limits},
		Dial:   func(context.Context, string) (net.Conn, error) { return nil, errNoParent },
		Apply:  d.apply,
		Log:    d.logEvent,
		Memory: d.loop.memberBounds,
	})
	return d.transport
}

// accept serves the connection of a subscriber. Goroutines of the listener call it.
func (d *distributor) accept(conn net.Conn, allowed func(string) bool) {
	d.transport.Accept(conn, allowed)
}

// run distributes configuration until ctx ends. Controller.Serve starts it and waits for its end.
// run starts the goroutines of its parts and waits for them; the transport ends last, so that the
// cache is written with all changes that have arrived.
func (d *distributor) run(ctx context.Context) {
	var running sync.WaitGroup
	transportCtx, stopTransport := context.WithCancel(context.WithoutCancel(ctx))
	running.Go(func() { d.transport.Run(transportCtx) })
	running.Go(func() {
		defer stopTransport()
		d.runCache(ctx)
	})
	if d.listener != nil {
		running.Go(func() { d.listener.Run(ctx) })
	}
	running.Go(func() { d.runStatusReports(ctx) })
	running.Go(func() { d.runProposals(ctx) })
	running.Wait()
}
