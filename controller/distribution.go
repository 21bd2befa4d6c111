package controller

import (
	"cmp"
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

	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/consensus"
	"wheelrill/distribution"
	"wheelrill/distribution/transport"
)

// DistributionConfig says what part a controller has in the distribution of configuration.
type DistributionConfig struct {
	// Voter: it is a member that shares the record, and hands the configuration on to subscribers. Of what follows only
	// FanOut and SnapshotPace count then.
	Voter   bool
	Name    string            // of a subscriber; the controller's own if empty
	Parents map[string]string // addresses of voters, or of subscribers that pass on, by their names
	Scopes  []string          // that the controller serves
	// AllScopes: it gets all of them, whatever Scopes says.
	AllScopes bool
	Listen    string // where others subscribe, and how they are told to dial; empty: it passes nothing on
	Folder    string // where a subscriber keeps what it has; empty: a restart begins with nothing
	FanOut    int    // that subscribe here at most; 0 is as usual
	// SnapshotPace is how many bytes a second all snapshots that are sent from here take together; 0 is as usual.
	SnapshotPace int
	consensus.Credentials

	limits distribution.Limits // of the node; usual ones where it is zero
}

const (
	proposeTimeout   = 10 * time.Second // that a change waits for the record
	statusInterval   = 10 * time.Second // between two lines that tell the state of the distribution
	cacheInterval    = 5 * time.Second  // that what has changed is written to the folder ...
	cachePauseFactor = 100              // ... and no sooner than so many times what the last writing took
)

// distributor is the module's side of the distribution: what arrives waits here until the module takes it.
type distributor struct {
	loop      *eventLoop
	log       *slog.Logger
	carrier   *transport.Transport
	node      *consensus.Node     // of a voter
	listener  *consensus.Listener // of a subscriber that passes on
	limits    distribution.Limits
	cache     *configurationCache       // of a subscriber with a folder
	proposals chan []distribution.Entry // the newest configuration that a voter is to propose

	mutex    sync.Mutex
	arrived  map[distribution.Key]distribution.Entry
	complete bool // what arrived is all that there is
}

// JoinDistribution has the controller take part in the distribution of configuration from Serve on. A voter has to share the
// record as well, by Share, afterwards. An error says what would do.
func (c *Controller) JoinDistribution(with DistributionConfig) error {
	if with.Name == "" {
		with.Name = c.configuration.Name
	}
	d := &distributor{loop: c.loop, log: c.log, limits: with.nodeLimits(), proposals: make(chan []distribution.Entry, 1),
		arrived: map[distribution.Key]distribution.Entry{}}
	if !with.Voter {
		if err := d.subscribe(with); err != nil {
			return err
		}
	}
	c.distributor = d
	c.loop.distributor, c.loop.overrides = d, newOverrides()
	return nil
}

// nodeLimits are those of the node. One that listens nowhere has no place for others, and is proposed to nobody.
func (d DistributionConfig) nodeLimits() distribution.Limits {
	limits := d.limits
	if limits == (distribution.Limits{}) {
		limits = distribution.DefaultLimits()
	}
	if d.SnapshotPace > 0 {
		limits.SnapshotBytesPerSecond = d.SnapshotPace
	}
	switch {
	case !d.Voter && d.Listen == "":
		limits.FanOut = 0
	case d.FanOut > 0:
		limits.FanOut = d.FanOut
	}
	return limits
}

// subscribe prepares a subscriber.
func (d *distributor) subscribe(with DistributionConfig) error {
	subscriber, err := consensus.NewSubscriber(with.Credentials)
	if err != nil {
		return err
	}
	if strings.Contains(with.Name, consensus.PeerSeparator) {
		return fmt.Errorf("name: %q has a %s, which parts names from addresses; leave it out", with.Name, consensus.PeerSeparator)
	}
	self := consensus.Peer{Name: with.Name}
	if with.Listen != "" {
		if d.listener, err = subscriber.Listen(with.Listen, d.accept, d.logRefused); err != nil {
			return err
		}
		self.Address = d.listener.Address()
	}
	var candidates []string
	for _, name := range slices.Sorted(maps.Keys(with.Parents)) {
		candidates = append(candidates, consensus.Peer{Name: name, Address: with.Parents[name]}.String())
	}
	scopes := distribution.SomeScopes(with.Scopes...)
	if with.AllScopes {
		scopes = distribution.AllScopes()
	}
	d.carrier = transport.New(transport.Config{
		Node:  distribution.Config{Name: self.String(), Scopes: scopes, Candidates: candidates, Limits: d.limits},
		Dial:  subscriber.Dial,
		Apply: d.apply,
		Log:   d.logEvent,
	})
	return d.restore(with.Folder)
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
	switch state, err := d.cache.load(); {
	case err != nil:
		d.log.Warn("cache_unusable", "error", err)
	case state != nil:
		d.log.Info("cache_loaded", "revision", state.Version.Revision, "epoch", state.Version.Epoch.String(), "entries", len(state.Entries))
		d.carrier.Restored(*state)
	}
	return nil
}

var errNoParent = errors.New("a voter has no parent")

// becomeVoter prepares a voter, as a member that shares the record.
func (d *distributor) becomeVoter(self consensus.Peer) *transport.Transport {
	d.carrier = transport.New(transport.Config{
		Node:  distribution.Config{Name: self.String(), Voter: true, Limits: d.limits},
		Dial:  func(context.Context, string) (net.Conn, error) { return nil, errNoParent },
		Apply: d.apply,
		Log:   d.logEvent,
	})
	return d.carrier
}

// accept serves one that subscribes here.
func (d *distributor) accept(conn net.Conn, allowed func(string) bool) {
	d.carrier.Accept(conn, allowed)
}

func (d *distributor) logRefused(from net.Addr, why error) {
	d.log.Warn("subscriber_refused", "remote", from, "error", why)
}

// run carries the distribution until the context ends.
func (d *distributor) run(ctx context.Context) {
	var parts sync.WaitGroup
	carried, end := context.WithCancel(context.WithoutCancel(ctx)) // until all that it has is kept
	parts.Go(func() { d.carrier.Run(carried) })
	parts.Go(func() {
		defer end()
		d.runCache(ctx)
	})
	if d.listener != nil {
		parts.Go(func() { d.listener.Run(ctx) })
	}
	parts.Go(func() { d.runStatusReports(ctx) })
	parts.Go(func() { d.runProposals(ctx) })
	parts.Wait()
}

// runCache writes what a subscriber has now and then, and at the end.
func (d *distributor) runCache(ctx context.Context) {
	if d.cache == nil {
		<-ctx.Done()
		return
	}
	look := time.NewTimer(cacheInterval)
	defer look.Stop()
	for last := false; !last; {
		select {
		case <-ctx.Done():
			last = true
		case <-look.C:
		}
		began := time.Now()
		if err := d.cache.update(d.carrier); err != nil {
			d.log.Warn("cache_write_failed", "error", err)
		}
		look.Reset(max(cacheInterval, cachePauseFactor*time.Since(began)))
	}
}

// apply keeps what has arrived for the module, which takes it at its next turn. It does not wait for it.
func (d *distributor) apply(change distribution.Change, whole bool) {
	d.mutex.Lock()
	if whole {
		d.complete, d.arrived = true, map[distribution.Key]distribution.Entry{}
	}
	for _, e := range change.Entries {
		d.arrived[e.Key()] = e
	}
	d.mutex.Unlock()
	select {
	case d.loop.inbox <- func() {}: // has it take a turn
	default: // it will take one, as its mailbox is full
	}
}

// takeArrived gives what has arrived since it was last called.
func (d *distributor) takeArrived() (entries []distribution.Entry, whole bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.arrived) == 0 && !d.complete {
		return nil, false
	}
	for _, e := range d.arrived {
		entries = append(entries, e)
	}
	whole = d.complete
	d.arrived, d.complete = map[distribution.Key]distribution.Entry{}, false
	slices.SortFunc(entries, func(a, b distribution.Entry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Name, b.Name))
	})
	return entries, whole
}

// applyDistributed has the decisions act by what has arrived: through the list of backends, and the quotas of classes.
func (l *eventLoop) applyDistributed(entries []distribution.Entry, whole bool) {
	backends, classes := map[string]bool{}, map[string]bool{}
	touch := func(s subject) (known bool) {
		_, ours := l.classIndex[s.class]
		if s.backend != "" {
			backends[s.backend] = true
		} else if ours {
			classes[s.class] = true
		}
		return s.backend != "" || ours
	}
	if whole {
		for _, s := range l.overrides.reset() {
			touch(s)
		}
	}
	var last distribution.Entry
	for _, e := range entries {
		changed, ok := l.overrides.apply(e)
		if !ok {
			l.log.Warn("entry_unusable", "scope", e.Scope, "name", e.Name, "revision", e.Revision)
		}
		if touch(changed) {
			last = e // entries come in the order of their revisions
		}
	}
	if len(backends)+len(classes) == 0 {
		return
	}
	late := 0.0 // since the newest of them was accepted at the voter, by both wall clocks
	if last.AcceptedAt > 0 {
		late = float64(l.now-last.AcceptedAt) / microsPerSecond
	}
	l.log.Info("configuration_applied", "revision", last.Revision, "full", whole, "backends", len(backends),
		"drained", len(l.overrides.drains), "weighted", len(l.overrides.weights), "delay_s", formatDecimal(late, 3), "classes", len(classes))
	var relisted []balancer.Endpoint
	for _, id := range slices.Sorted(maps.Keys(backends)) {
		if backend, known := l.backends.index[id]; known {
			relisted = l.overrides.merged(relisted, id, l.overrides.listed[backend])
		}
	}
	if len(relisted) > 0 {
		l.decisions.EndpointsUpdated(false, relisted)
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		l.decisions.SetClassQuota(l.classIndex[class], l.overrides.limitOf(class))
	}
}

// enqueueProposal has a voter propose what the file wants to be distributed; the newest replaces what waits.
func (d *distributor) enqueueProposal(wanted []distribution.Entry) {
	for {
		select {
		case d.proposals <- wanted:
			return
		default:
		}
		select {
		case <-d.proposals:
		default:
		}
	}
}

// runProposals brings what is wanted onto the record, one change after the other.
func (d *distributor) runProposals(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case wanted := <-d.proposals:
			d.proposeChange(ctx, wanted)
		}
	}
}

func (d *distributor) proposeChange(ctx context.Context, wanted []distribution.Entry) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	mark, differ, err := d.node.Configure(ctx, wanted)
	switch {
	case err == nil && differ == 0:
		d.log.Info("change_empty", "revision", mark.Revision, "epoch", mark.Epoch.String())
	case err == nil:
		d.log.Info("change_accepted", "revision", mark.Revision, "epoch", mark.Epoch.String(), "entries", differ)
	case errors.Is(err, consensus.ErrRefused):
		d.log.Warn("change_refused", "error", err)
	default:
		d.log.Warn("change_unanswered", "error", err)
	}
}

// runStatusReports tells the state of the distribution now and then.
func (d *distributor) runStatusReports(ctx context.Context) {
	look := time.NewTicker(statusInterval)
	defer look.Stop()
	last := d.carrier.Traffic()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
		status, ok := d.carrier.Status()
		if !ok {
			return
		}
		now := d.carrier.Traffic()
		rate := func(now, last int64) string { return formatDecimal(float64(now-last)/statusInterval.Seconds(), 0) }
		d.log.Info("distribution_status", "revision", status.Version.Revision, "epoch", status.Version.Epoch.String(), "age_s", formatAge(status.Age),
			"parent", status.Parent, "depth", len(status.Path), "children", len(status.Children), "entries", status.Entries,
			"in_bytes_per_s", rate(now.In, last.In), "out_bytes_per_s", rate(now.Out, last.Out), "overflows", now.Overflows)
		last = now
	}
}

// formatAge is an age as a line of the log has it.
func formatAge(age int64) string {
	if age == distribution.NeverCurrent {
		return "unknown"
	}
	return formatDecimal(float64(age)/microsPerSecond, 1)
}

// logEvent logs what the node tells. What children or parents could call forth again and again is held back.
func (d *distributor) logEvent(e distribution.Event) {
	at := []any{"revision", e.Version.Revision, "epoch", e.Version.Epoch.String()}
	switch e.Kind {
	case distribution.EventAdmitted:
		d.log.Info("subscribed", append(at, "parent", e.Peer)...)
	case distribution.EventParentLost:
		d.log.Warn("parent_lost", append(at, "parent", e.Peer, "reason", lossReason(e.CloseReason))...)
	case distribution.EventSnapshotTaken:
		d.log.Info("snapshot_applied", append(at, "parent", e.Peer)...)
	case distribution.EventSourceStale:
		d.log.Warn("configuration_stale", at...)
	case distribution.EventSourceCurrent:
		d.log.Info("configuration_current", at...)
	case distribution.EventRefusedBy:
		d.log.Warn("subscription_refused", append(at, "parent", e.Peer, "reason", e.Refusal.String())...)
	case distribution.EventChildAdmitted, distribution.EventChildLost, distribution.EventChildRefused, distribution.EventSnapshotSent,
		distribution.EventCompacted:
		d.log.Info("distribution_tree", append(at, "peer", e.Peer, "detail", e.Kind.String())...)
	default:
		d.log.Warn("distribution_message_refused", append(at, "peer", e.Peer, "detail", e.Kind.String())...)
	}
}

// lossReason says why a parent was lost; none of the node's reasons is the end of the connection.
func lossReason(reason distribution.CloseReason) string {
	if reason == 0 {
		return "connection closed"
	}
	return reason.String()
}

// distributedEntries reads what a file wants to be distributed, at a voter; elsewhere it is left alone.
func (c *Controller) distributedEntries(configuration []byte) (entries []distribution.Entry, ok bool, err error) {
	if c.distributor == nil || c.distributor.node == nil {
		return nil, false, nil
	}
	root, err := fastjson.ParseBytes(configuration)
	if err != nil {
		return nil, false, fmt.Errorf("configuration: %w", err)
	}
	return readDistributed(root)
}
