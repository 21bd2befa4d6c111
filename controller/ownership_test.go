package controller

import (
	"context"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// runningMember is one of the controllers that share the ownership of proxies.
type runningMember struct {
	address string
	logged  *logBuffer
	stop    func()
	loop    *eventLoop
}

// awaitAcknowledged waits until the member's copy of the replicated record shows owner as the owner
// of a proxy, and that the proxy has acknowledged a message.
func (s *runningMember) awaitAcknowledged(t *testing.T, node int, owner string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		acknowledged := make(chan bool, 1)
		s.loop.post(func() {
			proxy := s.loop.ownership.coordinator.Record().Proxies[node]
			acknowledged <- proxy.Owner == owner && proxy.Revision > 0
		})
		select {
		case done := <-acknowledged:
			if done {
				return
			}
		case <-timeout:
			t.Fatalf("the record has no acknowledgement of proxy %d to owner %s", node, owner)
		}
	}
}

// runMembers runs the named controllers as members of a group of the given size. The other members
// of the group do not run.
func runMembers(t *testing.T, known string, members int, names ...string) []*runningMember {
	t.Helper()
	addresses := map[string]string{}
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[fmt.Sprint("n", i)] = l.Addr().String()
		l.Close()
	}
	var running []*runningMember
	for _, name := range names {
		logged := newLogBuffer()
		c, err := New(Identity{Name: name}, configuration("127.0.0.1:9", known), NewLogger(logged))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.ShareOwnership(OwnershipConfig{Members: addresses}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- c.Serve(ctx) }()
		logged.waitFor(t, "msg=serving", 1)
		text, _ := logged.read()
		s := &runningMember{regexp.MustCompile(`msg=serving .* listen=(\S+)`).FindStringSubmatch(text)[1], logged, func() {
			cancel()
			if err := <-ended; err != nil {
				t.Errorf("%s ended with %v", name, err)
			}
			ended <- nil
		}, c.loop}
		t.Cleanup(s.stop)
		t.Cleanup(func() {
			if text, _ := logged.read(); t.Failed() {
				t.Logf("log of %s:\n%s", name, text)
			}
		})
		running = append(running, s)
	}
	return running
}

// connectProxyAt connects a proxy to a controller, applies messages until one requests an
// acknowledgement, and acknowledges it.
func connectProxyAt(t *testing.T, address string, fake *fakeProxy, cold bool) *client {
	t.Helper()
	proxy := dial(t, address)
	proxy.send(fmt.Sprintf(`{"msg":"hello","node":3,"locality":"b","w":12.5,"cold":%v}`, cold))
	for nonces := len(fake.nonces); len(fake.nonces) == nonces || fake.inMessage; {
		if err := fake.apply(proxy.receive()); err != nil {
			t.Fatal(err)
		}
	}
	proxy.send(fmt.Sprintf(`{"msg":"ack","node":3,"nonce":%d,"latency":1}`, fake.nonces[len(fake.nonces)-1]))
	return proxy
}

func TestSharedOwnership(t *testing.T) {
	var entries []string
	for id := range 12 {
		entries = append(entries, endpointJSON(id, "up"))
	}
	known := listJSON(1, true, entries...)
	t.Run("a proxy that changes its owner is written the difference, not the full table again", func(t *testing.T) {
		all := runMembers(t, known, 3, "n0", "n1", "n2")
		for _, s := range all { // wait until each member has joined, and the replicated record contains its tables
			s.logged.waitFor(t, "msg=quorum_changed quorum=true", 1)
		}
		fake := newFakeProxy("read it", "write")
		proxy := connectProxyAt(t, all[0].address, fake, true)
		if len(fake.picks(0)) != 12 {
			t.Fatalf("picks %v, want 12 backends", fake.picks(0))
		}
		knownTables := 0
		// The proxy changes its owner several times, as the replicated record may lack some
		// confirmations of its tables at first.
		for at := 1; knownTables == 0 && at < 6; at++ {
			all[at%3].awaitAcknowledged(t, 3, fmt.Sprint("n", (at-1)%3))
			proxy.Close()
			proxy = connectProxyAt(t, all[at%3].address, fake, false)
			text, _ := all[at%3].logged.read()
			if knownTables = strings.Count(text, "tables_known=true"); knownTables > 0 && fake.cost > 6 {
				t.Errorf("%d lines were written to a proxy that had all entries", fake.cost)
			}
			if picks := fake.picks(0); len(picks) != 12 || !slices.Equal(picks, fake.picks(1)) {
				t.Fatalf("picks %v and %v, want the same 12 backends", picks, fake.picks(1))
			}
		}
		if knownTables == 0 {
			t.Error("no member ever knew the tables of the proxy")
		}
	})
	t.Run("at a planned end the handover is confirmed before the connections end", func(t *testing.T) {
		all := runMembers(t, known, 3, "n0", "n1", "n2")
		all[1].logged.waitFor(t, "msg=quorum_changed quorum=true", 1)
		proxy := connectProxyAt(t, all[1].address, newFakeProxy("read it", "write"), true)
		all[1].stop()
		if text, _ := all[1].logged.read(); !strings.Contains(text, "msg=handover_confirmed") || !proxy.isClosed() {
			t.Errorf("connection closed %v, log: %s", proxy.isClosed(), text)
		}
	})
	t.Run("a member without a majority serves by itself after a lease", func(t *testing.T) {
		alone := runMembers(t, known, 3, "n0")[0]
		fake := newFakeProxy("read it", "write")
		began := time.Now()
		connectProxyAt(t, alone.address, fake, true)
		if text, _ := alone.logged.read(); len(fake.picks(0)) != 12 ||
			!strings.Contains(text, "msg=quorum_changed quorum=false") {
			t.Errorf("picks %v, want 12 backends; log: %s", fake.picks(0), text)
		}
		if waited := time.Since(began); waited > 3*time.Second { // the drain grace of the settings is 3 s
			t.Errorf("the proxy waited %s for its tables", waited)
		}
	})
	t.Run("if a proxy asks for fencing tokens, each push has its owner's token", func(t *testing.T) {
		all := runMembers(t, known, 2, "n0", "n1")
		all[0].logged.waitFor(t, "msg=quorum_changed quorum=true", 1)
		proxy := dial(t, all[0].address)
		proxy.send(`{"msg":"hello","node":3,"locality":"b","w":12.5,"cold":true,"fence":true}`)
		if raw := string(proxy.receive()); !strings.Contains(raw, `{"msg":"push","token":`) {
			t.Errorf("the push has no token: %q", raw)
		}
	})
	t.Run("an unusable OwnershipConfig is refused", func(t *testing.T) {
		c, err := New(Identity{Name: "n9"}, configuration("127.0.0.1:9", known), NewLogger(newLogBuffer()))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.ShareOwnership(OwnershipConfig{Members: map[string]string{"n0": "127.0.0.1:0"}}); err == nil ||
			!strings.Contains(err.Error(), `"n9" is not among them`) {
			t.Errorf("got error %v, want one that names the missing member n9", err)
		}
		tooShort := OwnershipConfig{Members: map[string]string{"n9": "127.0.0.1:0"}, Lease: 1000}
		if err := c.ShareOwnership(tooShort); err == nil ||
			!strings.Contains(err.Error(), "lease") {
			t.Errorf("got error %v, want one that names the lease", err)
		}
	})
}

func TestDefaultLeaseLeavesTimeForDrains(t *testing.T) {
	// Guards against a default lease that is longer than a drain may wait: where the record stopped to
	// answer, drains were told only after the grace.
	for _, c := range []struct {
		grace, latency int // ms
		want           int64
	}{{3000, 600, 1500_000}, {1500, 575, 925_000}, {1500, 1200, 800_000}} {
		settings := strings.NewReplacer(`"stopSendingWithin":3000`, fmt.Sprintf(`"stopSendingWithin":%d`, c.grace),
			`"pushDelayMax":600`, fmt.Sprintf(`"pushDelayMax":%d`, c.latency)).Replace(sampleSettings)
		text := strings.Replace(string(configuration("127.0.0.1:9", listJSON(1, true))), sampleSettings, settings, 1)
		controller, err := New(Identity{Name: "n0"}, []byte(text), NewLogger(newLogBuffer()))
		if err != nil {
			t.Fatal(err)
		}
		terms, err := controller.leaseTerms(OwnershipConfig{})
		if err != nil || terms.Duration != c.want {
			t.Errorf("grace %d ms, latency %d ms: lease %d us, error %v, want %d us", c.grace, c.latency, terms.Duration, err, c.want)
		}
		if terms, _ := controller.leaseTerms(OwnershipConfig{Lease: 1_000_000}); terms.Duration != 1_000_000 {
			t.Errorf("lease %d us, want the configured one", terms.Duration)
		}
	}
}
