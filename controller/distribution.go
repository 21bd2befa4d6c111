package controller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
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

// Distribution says what part a controller has in the distribution of configuration.
type Distribution struct {
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
	configureWithin = 10 * time.Second // that a change waits for the record
	statsEvery      = 10 * time.Second // between two lines that tell the state of the distribution
	keepEvery       = 5 * time.Second  // that what has changed is written to the folder ...
	keepPause       = 100              // ... and no sooner than so many times what the last writing took
)

// distributor is the module's side of the distribution: what arrives waits here until the module takes it.
type distributor struct {
	module   *module
	log      *journal
	carrier  *transport.Transport
	node     *consensus.Node     // of a voter
	listener *consensus.Listener // of a subscriber that passes on
	limits   distribution.Limits
	kept     *keeper                   // of a subscriber with a folder
	wanted   chan []distribution.Entry // the newest configuration that a voter is to propose

	mutex   sync.Mutex
	arrived map[distribution.Key]distribution.Entry
	whole   bool // what arrived is all that there is
}

// Distribute has the controller take part in the distribution of configuration from Serve on. A voter has to share the
// record as well, by Share, afterwards. An error says what would do.
func (c *Controller) Distribute(with Distribution) error {
	if with.Name == "" {
		with.Name = c.plan.Name
	}
	d := &distributor{module: c.module, log: c.log, limits: with.nodeLimits(), wanted: make(chan []distribution.Entry, 1),
		arrived: map[distribution.Key]distribution.Entry{}}
	if !with.Voter {
		if err := d.subscribe(with); err != nil {
			return err
		}
	}
	c.distributor = d
	c.module.distributor, c.module.overrides = d, newOverrides()
	return nil
}

// nodeLimits are those of the node. One that listens nowhere has no place for others, and is proposed to nobody.
func (d Distribution) nodeLimits() distribution.Limits {
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
func (d *distributor) subscribe(with Distribution) error {
	subscriber, err := consensus.NewSubscriber(with.Credentials)
	if err != nil {
		return err
	}
	if strings.Contains(with.Name, consensus.PeerSeparator) {
		return fmt.Errorf("name: %q has a %s, which parts names from addresses; leave it out", with.Name, consensus.PeerSeparator)
	}
	self := consensus.Peer{Name: with.Name}
	if with.Listen != "" {
		if d.listener, err = subscriber.Listen(with.Listen, d.accept, d.refused); err != nil {
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
		Log:   d.event,
	})
	return d.restore(with.Folder)
}

// restore begins with what a folder has; what it has may be damaged, but it must be possible to write there.
func (d *distributor) restore(folder string) error {
	if folder == "" {
		return nil
	}
	var err error
	if d.kept, err = newKeeper(folder); err != nil {
		return err
	}
	switch state, err := d.kept.load(); {
	case err != nil:
		d.log.say("kept_unusable", "error", err.Error())
	case state != nil:
		d.log.say("kept", "revision", state.Version.Revision, "epoch", state.Version.Epoch.String(), "entries", len(state.Entries))
		d.carrier.Restored(*state)
	}
	return nil
}

var errNoParent = errors.New("a voter has no parent")

// vote prepares a voter, as a member that shares the record.
func (d *distributor) vote(self consensus.Peer) *transport.Transport {
	d.carrier = transport.New(transport.Config{
		Node:  distribution.Config{Name: self.String(), Voter: true, Limits: d.limits},
		Dial:  func(context.Context, string) (net.Conn, error) { return nil, errNoParent },
		Apply: d.apply,
		Log:   d.event,
	})
	return d.carrier
}

// accept serves one that subscribes here.
func (d *distributor) accept(conn net.Conn, allowed func(string) bool) {
	d.carrier.Accept(conn, allowed)
}

func (d *distributor) refused(from net.Addr, why error) {
	d.log.seldom("subscriber_refused", "subscriber_refused", "peer", from.String(), "why", why.Error())
}

// run carries the distribution until the context ends.
func (d *distributor) run(ctx context.Context) {
	var parts sync.WaitGroup
	carried, end := context.WithCancel(context.WithoutCancel(ctx)) // until all that it has is kept
	parts.Go(func() { d.carrier.Run(carried) })
	parts.Go(func() {
		defer end()
		d.keep(ctx)
	})
	if d.listener != nil {
		parts.Go(func() { d.listener.Run(ctx) })
	}
	parts.Go(func() { d.report(ctx) })
	parts.Go(func() { d.propose(ctx) })
	parts.Wait()
}

// keep writes what a subscriber has now and then, and at the end.
func (d *distributor) keep(ctx context.Context) {
	if d.kept == nil {
		<-ctx.Done()
		return
	}
	look := time.NewTimer(keepEvery)
	defer look.Stop()
	for last := false; !last; {
		select {
		case <-ctx.Done():
			last = true
		case <-look.C:
		}
		began := time.Now()
		if err := d.kept.update(d.carrier); err != nil {
			d.log.seldom("kept", "keep_failed", "error", err.Error())
		}
		look.Reset(max(keepEvery, keepPause*time.Since(began)))
	}
}

// apply keeps what has arrived for the module, which takes it at its next turn. It does not wait for it.
func (d *distributor) apply(change distribution.Change, whole bool) {
	d.mutex.Lock()
	if whole {
		d.whole, d.arrived = true, map[distribution.Key]distribution.Entry{}
	}
	for _, e := range change.Entries {
		d.arrived[e.Key()] = e
	}
	d.mutex.Unlock()
	select {
	case d.module.mail <- func() {}: // has it take a turn
	default: // it will take one, as its mailbox is full
	}
}

// take gives what has arrived since it was last called.
func (d *distributor) take() (entries []distribution.Entry, whole bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.arrived) == 0 && !d.whole {
		return nil, false
	}
	for _, e := range d.arrived {
		entries = append(entries, e)
	}
	whole = d.whole
	d.arrived, d.whole = map[distribution.Key]distribution.Entry{}, false
	slices.SortFunc(entries, func(a, b distribution.Entry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Name, b.Name))
	})
	return entries, whole
}

// configured has the decisions act by what has arrived: through the list of backends, and the quotas of classes.
func (m *module) configured(entries []distribution.Entry, whole bool) {
	backends, classes := map[string]bool{}, map[string]bool{}
	touch := func(s subject) (known bool) {
		_, ours := m.classes[s.class]
		if s.backend != "" {
			backends[s.backend] = true
		} else if ours {
			classes[s.class] = true
		}
		return s.backend != "" || ours
	}
	if whole {
		for _, s := range m.overrides.reset() {
			touch(s)
		}
	}
	var last distribution.Entry
	for _, e := range entries {
		changed, ok := m.overrides.put(e)
		if !ok {
			m.log.seldom("distributed", "distributed_unusable", "scope", e.Scope, "name", e.Name, "revision", e.Revision)
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
		late = float64(m.now-last.AcceptedAt) / second
	}
	m.log.say("distributed", "revision", last.Revision, "whole", whole, "backends", len(backends),
		"drained", len(m.overrides.drains), "weighted", len(m.overrides.weights), "late_s", figured(late, 3), "classes", len(classes))
	var relisted []balancer.Endpoint
	for _, id := range slices.Sorted(maps.Keys(backends)) {
		if backend, known := m.backends.index[id]; known {
			relisted = m.overrides.merged(relisted, id, m.overrides.listed[backend])
		}
	}
	if len(relisted) > 0 {
		m.control.EndpointsUpdated(false, relisted)
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		m.control.SetClassQuota(m.classes[class], m.overrides.limitOf(class))
	}
}

// configure has a voter propose what the file wants to be distributed; the newest replaces what waits.
func (d *distributor) configure(wanted []distribution.Entry) {
	for {
		select {
		case d.wanted <- wanted:
			return
		default:
		}
		select {
		case <-d.wanted:
		default:
		}
	}
}

// propose brings what is wanted onto the record, one change after the other.
func (d *distributor) propose(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case wanted := <-d.wanted:
			d.proposeOne(ctx, wanted)
		}
	}
}

func (d *distributor) proposeOne(ctx context.Context, wanted []distribution.Entry) {
	ctx, cancel := context.WithTimeout(ctx, configureWithin)
	defer cancel()
	mark, differ, err := d.node.Configure(ctx, wanted)
	switch {
	case err == nil && differ == 0:
		d.log.say("change_empty", "revision", mark.Revision, "epoch", mark.Epoch.String())
	case err == nil:
		d.log.say("change_accepted", "revision", mark.Revision, "epoch", mark.Epoch.String(), "entries", differ)
	case errors.Is(err, consensus.ErrRefused):
		d.log.say("change_refused", "error", err.Error())
	default:
		d.log.say("change_unanswered", "error", err.Error())
	}
}

// report tells the state of the distribution now and then.
func (d *distributor) report(ctx context.Context) {
	look := time.NewTicker(statsEvery)
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
		rate := func(now, last int64) string { return figured(float64(now-last)/statsEvery.Seconds(), 0) }
		d.log.say("distribution", "revision", status.Version.Revision, "epoch", status.Version.Epoch.String(), "age_s", aged(status.Age),
			"parent", status.Parent, "depth", len(status.Path), "children", len(status.Children), "entries", status.Entries,
			"in_bytes_per_s", rate(now.In, last.In), "out_bytes_per_s", rate(now.Out, last.Out), "overflows", now.Overflows)
		last = now
	}
}

// aged is an age as a line of the log has it.
func aged(age int64) string {
	if age == distribution.NeverCurrent {
		return "unknown"
	}
	return figured(float64(age)/second, 1)
}

// event logs what the node tells. What children or parents could call forth again and again is held back.
func (d *distributor) event(e distribution.Event) {
	at := []any{"revision", e.Version.Revision, "epoch", e.Version.Epoch.String()}
	switch e.Kind {
	case distribution.EventAdmitted:
		d.log.say("subscribed", append(at, "parent", e.Peer)...)
	case distribution.EventParentLost:
		d.log.say("parent_lost", append(at, "parent", e.Peer, "why", lostBecause(e.CloseReason))...)
	case distribution.EventSnapshotTaken:
		d.log.say("snapshot_taken", append(at, "parent", e.Peer)...)
	case distribution.EventSourceStale:
		d.log.say("cut_off", at...)
	case distribution.EventSourceCurrent:
		d.log.say("cut_off_over", at...)
	case distribution.EventRefusedBy:
		d.log.seldom("subscription_refused", "subscription_refused", append(at, "parent", e.Peer, "why", e.Refusal.String())...)
	case distribution.EventChildAdmitted, distribution.EventChildLost, distribution.EventChildRefused, distribution.EventSnapshotSent,
		distribution.EventCompacted:
		d.log.seldom(fmt.Sprint("tree ", e.Kind), "tree", append(at, "peer", e.Peer, "what", e.Kind.String())...)
	default:
		d.log.seldom(fmt.Sprint("distribution ", e.Kind), "distribution_refused", append(at, "peer", e.Peer, "what", e.Kind.String())...)
	}
}

// lostBecause says why a parent was lost; none of the node's reasons is the end of the connection.
func lostBecause(reason distribution.CloseReason) string {
	if reason == 0 {
		return "connection closed"
	}
	return reason.String()
}

// wanted reads what a file wants to be distributed, at a voter; elsewhere it is left alone.
func (c *Controller) wanted(configuration []byte) (entries []distribution.Entry, ok bool, err error) {
	if c.distributor == nil || c.distributor.node == nil {
		return nil, false, nil
	}
	root, err := fastjson.ParseBytes(configuration)
	if err != nil {
		return nil, false, fmt.Errorf("configuration: %w", err)
	}
	return readDistributed(root)
}
