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

// runningMember is one of several controllers that share their fleet.
type runningMember struct {
	address string
	logged  *logBuffer
	stop    func()
	module  *eventLoop
}

// awaitAcknowledged waits until a member has it on the record that a proxy confirmed a table of its owner's.
func (s *runningMember) awaitAcknowledged(t *testing.T, node int, owner string) {
	t.Helper()
	late := time.After(testTimeout)
	for {
		stands := make(chan bool, 1)
		s.module.post(func() {
			h := s.module.ownership.coordinator.Record().Proxies[node]
			stands <- h.Owner == owner && h.Revision > 0
		})
		select {
		case is := <-stands:
			if is {
				return
			}
		case <-late:
			t.Fatal("nothing that it confirmed is on the record")
		}
	}
}

// runMembers runs as many as names are given; those that are not to run are members all the same.
func runMembers(t *testing.T, known string, members int, names ...string) []*runningMember {
	t.Helper()
	all := map[string]string{}
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all[fmt.Sprint("n", i)] = l.Addr().String()
		l.Close()
	}
	var running []*runningMember
	for _, name := range names {
		logged := newLogBuffer()
		c, err := New(Identity{Name: name}, configuration("127.0.0.1:9", known), NewLogger(logged))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.ShareOwnership(OwnershipConfig{Members: all}); err != nil {
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
				t.Logf("%s said:\n%s", name, text)
			}
		})
		running = append(running, s)
	}
	return running
}

// connectProxyAt has a proxy dial a controller, and apply what it is told until a message has a mark; it answers that.
func connectProxyAt(t *testing.T, address string, fake *fakeProxy, cold bool) *client {
	t.Helper()
	proxy := dial(t, address)
	proxy.send(fmt.Sprintf(`{"msg":"hello","node":3,"locality":"b","w":12.5,"cold":%v}`, cold))
	for marks := len(fake.nonces); len(fake.nonces) == marks || fake.inMessage; {
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
	t.Run("a proxy that goes over is told what differs, and not the full table again", func(t *testing.T) {
		all := runMembers(t, known, 3, "n0", "n1", "n2")
		for _, s := range all { // each has entered, and its tables stand
			s.logged.waitFor(t, "msg=quorum_changed quorum=true", 1)
		}
		fake := newFakeProxy("read it", "write")
		proxy := connectProxyAt(t, all[0].address, fake, true)
		if len(fake.picks(0)) != 12 {
			t.Fatalf("has %v", fake.picks(0))
		}
		told := 0
		for at := 1; told == 0 && at < 6; at++ { // at first not all are vouched for yet
			all[at%3].awaitAcknowledged(t, 3, fmt.Sprint("n", (at-1)%3))
			proxy.Close()
			proxy = connectProxyAt(t, all[at%3].address, fake, false)
			text, _ := all[at%3].logged.read()
			if told = strings.Count(text, "tables_known=true"); told > 0 && fake.cost > 6 {
				t.Errorf("%d lines for a proxy that had all of them", fake.cost)
			}
			if picks := fake.picks(0); len(picks) != 12 || !slices.Equal(picks, fake.picks(1)) {
				t.Fatalf("it can pick %v and %v", picks, fake.picks(1))
			}
		}
		if told == 0 {
			t.Error("what it had was never known")
		}
	})
	t.Run("at a planned end the record says so before the streams end", func(t *testing.T) {
		all := runMembers(t, known, 3, "n0", "n1", "n2")
		all[1].logged.waitFor(t, "msg=quorum_changed quorum=true", 1)
		proxy := connectProxyAt(t, all[1].address, newFakeProxy("read it", "write"), true)
		all[1].stop()
		if text, _ := all[1].logged.read(); !strings.Contains(text, "msg=handover_confirmed") || !proxy.isClosed() {
			t.Errorf("logged %s", text)
		}
	})
	t.Run("one that has no majority serves by itself after a lease", func(t *testing.T) {
		alone := runMembers(t, known, 3, "n0")[0]
		fake := newFakeProxy("read it", "write")
		began := time.Now()
		connectProxyAt(t, alone.address, fake, true)
		if text, _ := alone.logged.read(); len(fake.picks(0)) != 12 || !strings.Contains(text, "msg=quorum_changed quorum=false") {
			t.Errorf("it can pick %v; logged %s", fake.picks(0), text)
		}
		if waited := time.Since(began); waited > 3*time.Second { // the grace of these settings
			t.Errorf("it waited for %s", waited)
		}
	})
	t.Run("with fencing tokens asked for, each push has its owner's", func(t *testing.T) {
		all := runMembers(t, known, 2, "n0", "n1")
		all[0].logged.waitFor(t, "msg=quorum_changed quorum=true", 1)
		proxy := dial(t, all[0].address)
		proxy.send(`{"msg":"hello","node":3,"locality":"b","w":12.5,"cold":true,"fence":true}`)
		if raw := string(proxy.receive()); !strings.Contains(raw, `{"msg":"push","token":`) {
			t.Errorf("got %q", raw)
		}
	})
	t.Run("sharing that cannot be is refused with what would do", func(t *testing.T) {
		c, err := New(Identity{Name: "n9"}, configuration("127.0.0.1:9", known), NewLogger(newLogBuffer()))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.ShareOwnership(OwnershipConfig{Members: map[string]string{"n0": "127.0.0.1:0"}}); err == nil ||
			!strings.Contains(err.Error(), `"n9" is not among them`) {
			t.Errorf("got %v", err)
		}
		if err := c.ShareOwnership(OwnershipConfig{Members: map[string]string{"n9": "127.0.0.1:0"}, Lease: 1000}); err == nil ||
			!strings.Contains(err.Error(), "lease") {
			t.Errorf("got %v", err)
		}
	})
}
