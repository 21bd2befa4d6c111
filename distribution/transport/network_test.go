package transport

import (
	"context"
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

const waitTimeout = 30 * time.Second // maximum time of each wait of a test

// waitFor polls until a condition is met, and fails the test after waitTimeout.
func waitFor(t testing.TB, condition string, isMet func() bool) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for !isMet() {
		select {
		case <-timeout:
			t.Fatalf("condition not met within %v: %s", waitTimeout, condition)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// fastLimits returns limits under which a lost parent is detected within 0.4 s.
func fastLimits(fanOut int) distribution.Limits {
	limits := distribution.DefaultLimits()
	limits.Heartbeat, limits.Lease, limits.Handshake = 50_000, 400_000, 500_000
	limits.MaxStaleness, limits.HedgeDelay, limits.MinBackoff = 1_000_000, 150_000, 20_000
	limits.FanOut = fanOut
	return limits
}

// network resolves the names of peers to their addresses.
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

// remove deletes a name, so that dials of it fail, and returns its address.
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
		return nil, fmt.Errorf("no peer is listening under the name %q", name)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// listen accepts connections for a name until the test ends, and serves each in a goroutine.
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

// peer is a transport with the entries and the events that its node has passed to it.
type peer struct {
	*Transport
	name string
	stop func()

	mutex           sync.Mutex
	values          map[distribution.Key]string
	events          []distribution.Event
	completeChanges int // number of calls of Apply whose argument complete is true
}

// newPeer returns a peer that stores its changes and events. Its transport does not run yet.
func newPeer(name string, config Config) *peer {
	p := &peer{name: name, values: map[distribution.Key]string{}}
	config.Apply, config.Log = p.apply, p.log
	config.Bounds.Tick = 10 * time.Millisecond
	p.Transport = New(config)
	return p
}

// run runs the transport and the given functions until the peer is stopped or the test ends.
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

// start runs a transport that other peers can dial.
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
	// This cleanup runs before the cleanup of listen, which waits for the end of connections: the
	// transport ends these connections when it stops.
	t.Cleanup(p.stop)
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

func (p *peer) apply(change distribution.Change, complete bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if complete {
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

// contents returns the entries of the peer as text, sorted.
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
		t.Fatalf("the transport of %s has ended", p.name)
	}
	return status
}

// record simulates the voters' record: each voter gets every accepted change.
type record struct {
	state  *distribution.Record
	voters []*peer
}

func newRecord(voters ...*peer) *record { return &record{distribution.NewRecord(), voters} }

var epoch = distribution.Epoch{Number: 1, Identity: 1}

// accept sets entries of the record by name, all in one revision; an empty value deletes the entry.
func (r *record) accept(t testing.TB, values map[string]string) {
	t.Helper()
	var entries []distribution.Entry
	for _, name := range slices.Sorted(maps.Keys(values)) {
		e := distribution.Entry{Scope: "pricing", Name: name, Value: []byte(values[name])}
		e.Deleted = values[name] == ""
		entries = append(entries, e)
	}
	createsRecord := r.state.Empty()
	change, err := r.state.Apply(distribution.Proposal{Epoch: epoch, AcceptedAt: 1, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.voters {
		if createsRecord {
			v.Restored(r.state.State())
		} else {
			v.Accepted(change)
		}
	}
}

// keepCurrent calls Current of all voters every 20 ms, until the returned function is called or the
// test ends.
func (r *record) keepCurrent(t testing.TB) (stop func()) {
	stopped := make(chan struct{})
	var calling sync.WaitGroup
	calling.Go(func() {
		for {
			for _, v := range r.voters {
				v.Current()
			}
			select {
			case <-stopped:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	stop = sync.OnceFunc(func() { close(stopped); calling.Wait() })
	t.Cleanup(stop)
	return stop
}
