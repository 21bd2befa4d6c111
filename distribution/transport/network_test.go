package transport

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelrill/distribution"
)

const waitTimeout = 30 * time.Second // bounds what a test waits for

// waitFor polls waitFor something is so.
func waitFor(t testing.TB, what string, is func() bool) {
	t.Helper()
	late := time.After(waitTimeout)
	for !is() {
		select {
		case <-late:
			t.Fatalf("it never came to this: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// fastLimits are limits with which a lost parent is seen soon.
func fastLimits(fanOut int) distribution.Limits {
	limits := distribution.DefaultLimits()
	limits.Heartbeat, limits.Lease, limits.Handshake = 50_000, 400_000, 500_000
	limits.MaxStaleness, limits.HedgeDelay, limits.MinBackoff = 1_000_000, 150_000, 20_000
	limits.FanOut = fanOut
	return limits
}

// network has peers find each other by their names.
type network struct {
	mutex     sync.Mutex
	addresses map[string]string
}

func newNetwork() *network { return &network{addresses: map[string]string{}} }

func (n *network) set(name, address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.addresses[name] = address
}

// remove has nobody find a name any more; it gives its address.
func (n *network) remove(name string) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := n.addresses[name]
	delete(n.addresses, name)
	return address
}

func (n *network) dial(ctx context.Context, name string) (net.Conn, error) {
	n.mutex.Lock()
	address, ok := n.addresses[name]
	n.mutex.Unlock()
	if !ok {
		return nil, errors.New("nobody has that name")
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// listen accepts for a name until the test ends, and hands each connection on.
func (n *network) listen(t testing.TB, name string, serve func(net.Conn)) (stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.set(name, listener.Addr().String())
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { serve(conn) })
		}
	})
	stop = sync.OnceFunc(func() { listener.Close(); serving.Wait() })
	t.Cleanup(stop)
	return stop
}

// peer is a transport that runs, with what it was told to act by.
type peer struct {
	*Transport
	name string
	stop func()

	mutex           sync.Mutex
	values          map[distribution.Key]string
	events          []distribution.Event
	completeChanges int
}

// newPeer makes a transport that does not run yet, with what it is told kept.
func newPeer(name string, config Config) *peer {
	p := &peer{name: name, values: map[distribution.Key]string{}}
	config.Apply, config.Log = p.apply, p.log
	config.Bounds.Tick = 10 * time.Millisecond
	p.Transport = New(config)
	return p
}

// run runs the transport, and what else there is to the peer, until it is stopped or the test ends.
func (p *peer) run(t testing.TB, others ...func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, part := range append(others, p.Run) {
		running.Go(func() { part(ctx) })
	}
	p.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	t.Cleanup(p.stop)
}

// start runs a transport that others can dial.
func (n *network) start(t testing.TB, config distribution.Config, bounds Bounds) *peer {
	t.Helper()
	p := newPeer(config.Name, Config{Node: config, Dial: n.dial, Bounds: bounds})
	p.run(t)
	stopRunning := p.stop
	stopListening := n.listen(t, config.Name, func(conn net.Conn) { p.Accept(conn, nil) })
	p.stop = sync.OnceFunc(func() {
		stopRunning()
		stopListening()
	})
	t.Cleanup(p.stop) // before those of its parts: who serves a connection waits for the transport to end it
	return p
}

func (n *network) voter(t testing.TB, name string, fanOut int) *peer {
	t.Helper()
	return n.start(t, distribution.Config{Name: name, Voter: true, Limits: fastLimits(fanOut)}, Bounds{})
}

func (n *network) subscriber(t testing.TB, name string, fanOut int, parents ...string) *peer {
	t.Helper()
	return n.start(t, distribution.Config{Name: name, Scopes: distribution.SomeScopes("pricing"), Candidates: parents,
		Limits: fastLimits(fanOut)}, Bounds{})
}

func (p *peer) apply(change distribution.Change, whole bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if whole {
		p.completeChanges++
		clear(p.values)
	}
	for _, e := range change.Entries {
		if p.values[e.Key()] = string(e.Value); e.Deleted {
			delete(p.values, e.Key())
		}
	}
}

func (p *peer) log(event distribution.Event) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.events = append(p.events, event)
}

// contents gives what the peer acts by.
func (p *peer) contents() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var all []string
	for key, value := range p.values {
		all = append(all, fmt.Sprintf("%s/%s=%s", key.Scope, key.Name, value))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

func (p *peer) snapshots() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.completeChanges
}

func (p *peer) hasLogged(kind distribution.EventKind) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.events, func(e distribution.Event) bool { return e.Kind == kind })
}

func (p *peer) status(t testing.TB) distribution.Status {
	t.Helper()
	status, ok := p.Status()
	if !ok {
		t.Fatal("it has ended")
	}
	return status
}

// record stands for the voters' record: what is accepted goes to each of them.
type record struct {
	state  *distribution.Record
	voters []*peer
}

func newRecord(voters ...*peer) *record { return &record{distribution.NewRecord(), voters} }

var epoch = distribution.Epoch{Number: 1, Identity: 1}

// accept puts values on the record, all in one revision; an empty value deletes.
func (r *record) accept(t testing.TB, values map[string]string) {
	t.Helper()
	var entries []distribution.Entry
	for _, name := range slices.Sorted(maps.Keys(values)) {
		e := distribution.Entry{Scope: "pricing", Name: name, Value: []byte(values[name])}
		e.Deleted = values[name] == ""
		entries = append(entries, e)
	}
	founds := r.state.Empty()
	change, err := r.state.Apply(distribution.Proposal{Epoch: epoch, AcceptedAt: 1, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.voters {
		if founds {
			v.Restored(r.state.State())
		} else {
			v.Accepted(change)
		}
	}
}

// keepCurrent has the voters know their record to be led, until the test ends.
func (r *record) keepCurrent(t testing.TB) (lost func()) {
	over := make(chan struct{})
	var leading sync.WaitGroup
	leading.Go(func() {
		for {
			for _, v := range r.voters {
				v.Current()
			}
			select {
			case <-over:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	lost = sync.OnceFunc(func() { close(over); leading.Wait() })
	t.Cleanup(lost)
	return lost
}
