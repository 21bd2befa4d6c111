package controller

import (
	"context"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelrill/distribution"
)

// runningController is a controller that serves in the test process.
type runningController struct {
	*Controller
	logged  *logBuffer
	address string
	stop    func()
}

// startController makes a controller, calls prepare with it, and runs it until the test ends or
// stop is called.
func startController(t *testing.T, name, known string, prepare func(*Controller) error) *runningController {
	t.Helper()
	logged := newLogBuffer()
	c, err := New(Identity{Name: name}, configuration("127.0.0.1:9", known), NewLogger(logged))
	if err != nil {
		t.Fatal(err)
	}
	if err := prepare(c); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := c.Serve(ctx); err != nil {
			t.Errorf("%s ended with %v", name, err)
		}
	})
	s := &runningController{Controller: c, logged: logged, stop: sync.OnceFunc(func() { cancel(); running.Wait() })}
	t.Cleanup(func() {
		if text, _ := logged.read(); t.Failed() {
			t.Logf("log of %s:\n%s", name, text)
		}
	})
	t.Cleanup(s.stop)
	logged.waitFor(t, "msg=serving", 1)
	text, _ := logged.read()
	s.address = regexp.MustCompile(`msg=serving .* listen=(\S+)`).FindStringSubmatch(text)[1]
	return s
}

// freeAddress returns a loopback address on which no listener is open.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// quickLimits are limits with which a lost connection is detected soon.
func quickLimits() distribution.Limits {
	limits := distribution.DefaultLimits()
	limits.Heartbeat, limits.Lease = microsPerSecond/10, microsPerSecond/2
	limits.Handshake, limits.MaxStaleness = microsPerSecond, 3*microsPerSecond/2
	return limits
}

// runVoters runs controllers that are members of one consensus group and vote on the distributed
// configuration. It returns the members' addresses by name, and the controllers.
func runVoters(t *testing.T, known string, names ...string) (map[string]string, []*runningController) {
	t.Helper()
	members := map[string]string{}
	for _, name := range names {
		members[name] = freeAddress(t)
	}
	var all []*runningController
	for _, name := range names {
		all = append(all, startController(t, name, known, func(c *Controller) error {
			if err := c.JoinDistribution(DistributionConfig{Voter: true, limits: quickLimits()}); err != nil {
				return err
			}
			return c.ShareOwnership(OwnershipConfig{Members: members})
		}))
	}
	for _, v := range all {
		v.logged.waitFor(t, "msg=quorum_changed quorum=true", 1)
	}
	return members, all
}

// runSubscriber runs a controller that subscribes to the scope pricing.
func runSubscriber(t *testing.T, name, known string, with DistributionConfig) *runningController {
	t.Helper()
	with.Scopes, with.limits = []string{"pricing"}, quickLimits()
	return startController(t, name, known, func(c *Controller) error { return c.JoinDistribution(with) })
}

// reload makes a controller read a configuration with an object of distributed entries.
func (s *runningController) reload(t *testing.T, known, distributed string) {
	t.Helper()
	if err := s.Reload(withDistributed(known, distributed)); err != nil {
		t.Fatal(err)
	}
}

// withDistributed returns a configuration with an object of distributed entries.
func withDistributed(known, distributed string) []byte {
	text := string(configuration("127.0.0.1:9", known))
	return []byte(strings.Replace(text, `"seed"`, `"distributed":`+distributed+`,"seed"`, 1))
}

func TestDistributingConfiguration(t *testing.T) {
	var entries []string
	for id := range 6 {
		entries = append(entries, endpointJSON(id, "up"))
	}
	known := listJSON(1, true, entries...)
	members, voters := runVoters(t, known, "n0", "n1", "n2")
	relayAt := freeAddress(t)
	relay := runSubscriber(t, "s1", known, DistributionConfig{Parents: members, Listen: relayAt, FanOut: 4})
	leaf := runSubscriber(t, "s2", known, DistributionConfig{Parents: map[string]string{"s1": relayAt}})
	proxy, fake := dial(t, leaf.address), newFakeProxy("read it", "write")
	proxy.send(`{"msg":"hello","node":3,"locality":"b","w":12.5,"cold":true}`)
	awaitPicks := func(what string, done func(ids []string) bool) {
		t.Helper()
		for !done(fake.picks(0)) {
			// Without a further message, receive fails the test after a timeout.
			if err := fake.apply(proxy.receive()); err != nil {
				t.Fatalf("waiting for picks %s: %v, picks %v", what, err, fake.picks(0))
			}
			for len(fake.nonces) > 0 && !fake.inMessage {
				proxy.send(fmt.Sprintf(`{"msg":"ack","node":3,"nonce":%d,"latency":1}`, fake.nonces[0]))
				fake.nonces = fake.nonces[1:]
			}
		}
	}
	awaitPicks("of all backends", func(ids []string) bool { return len(ids) == 6 && !fake.inMessage })
	t.Run("a drain reaches a subscriber whose parent is another subscriber", func(t *testing.T) {
		voters[1].reload(t, known, `{"pricing":{"drain":{"s-2":true}},"orders":{"drain":{"s-3":true}}}`)
		voters[1].logged.waitFor(t, "msg=change_accepted revision=1", 1)
		awaitPicks("without the drained backend", func(ids []string) bool {
			return !slices.Contains(ids, "s-2") && !fake.inMessage
		})
		if !slices.Contains(fake.picks(0), "s-3") {
			t.Error("the drain of scope orders is applied, but the controller subscribes only to pricing")
		}
		for _, s := range []*runningController{relay, leaf, voters[0], voters[2]} {
			s.logged.waitFor(t, "msg=configuration_applied revision=1", 1)
		}
		leaf.logged.waitFor(t, "msg=snapshot_applied revision=1", 1)
		leaf.logged.waitFor(t, `msg=subscribed`, 1)
	})
	t.Run("neither an equal configuration nor an unusable one changes the record", func(t *testing.T) {
		voters[0].reload(t, known, `{"pricing":{"drain":{"s-2":true}},"orders":{"drain":{"s-3":true}}}`)
		voters[0].logged.waitFor(t, "msg=change_empty revision=1", 1)
		if err := voters[0].Reload(withDistributed(known, `{"pricing":{"drain":{"s-4":1}}}`)); err == nil {
			t.Error("an unusable configuration was accepted")
		}
		voters[0].reload(t, known, fmt.Sprintf(`{"pricing":{"service":{"x":{"y":%q}}}}`, strings.Repeat("z", 1<<20)))
		voters[0].logged.waitFor(t, "msg=change_refused", 1)
	})
	t.Run("a subscriber that loses its parent and the voters' majority keeps its configuration", func(t *testing.T) {
		relay.stop()
		leaf.logged.waitFor(t, "msg=parent_lost", 1)
		// The subscriber subscribes at another parent, whose address it got from the lost parent.
		leaf.logged.waitFor(t, "msg=subscribed", 2)
		voters[2].reload(t, known, `{"pricing":{"drain":{"s-4":true}}}`)
		voters[2].logged.waitFor(t, "msg=change_accepted revision=2", 1)
		awaitPicks("with the second change", func(ids []string) bool {
			return !slices.Contains(ids, "s-4") && slices.Contains(ids, "s-2") && !fake.inMessage
		})
		voters[0].stop()
		voters[1].stop()
		leaf.logged.waitFor(t, "msg=configuration_stale revision=2", 1)
		if picks := fake.picks(0); len(picks) != 5 {
			t.Errorf("picks %v, want 5 backends", picks)
		}
		if text, _ := leaf.logged.read(); strings.Count(text, "msg=snapshot_applied") != 1 {
			t.Error("a snapshot was sent where a delta is enough")
		}
	})
}

func TestUnusableDistributionIsRefused(t *testing.T) {
	known := listJSON(1, true, endpointJSON(0, "up"))
	for name, test := range map[string]struct {
		config DistributionConfig
		want   string
	}{
		"listens on all interfaces without TLS": {DistributionConfig{Listen: "0.0.0.0:0"}, "loopback"},
		"an invalid address":                    {DistributionConfig{Listen: "127.0.0.1:0x"}, "listen"},
		"a name with a separator":               {DistributionConfig{Name: "s@1"}, "leave it out"},
		"a missing certificate file":            {DistributionConfig{}, "certificate"},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := New(Identity{}, configuration("127.0.0.1:9", known), NewLogger(newLogBuffer()))
			if err != nil {
				t.Fatal(err)
			}
			if test.want == "certificate" {
				test.config.Certificate = "none.pem"
			}
			if err := c.JoinDistribution(test.config); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one that contains %q", err, test.want)
			}
		})
	}
	c, err := New(Identity{}, configuration("127.0.0.1:9", known), NewLogger(newLogBuffer()))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.JoinDistribution(DistributionConfig{Voter: true}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := c.Serve(ctx); err == nil ||
		!strings.Contains(err.Error(), "a voter must share ownership, but ShareOwnership was not called") {
		t.Errorf("a voter without shared ownership: Serve returned %v", err)
	}
}

// A controller that takes no part in the distribution ignores the distributed key of its
// configuration, even if the value is unusable.
func TestDistributedKeyIsIgnoredWithoutDistribution(t *testing.T) {
	logged := newLogBuffer()
	c, err := New(Identity{}, withDistributed(listJSON(1, true, endpointJSON(0, "up")), `[]`), NewLogger(logged))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Reload(withDistributed("null", `7`)); err != nil {
		t.Error(err)
	}
}
