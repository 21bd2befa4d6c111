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

// serving is a controller that runs in this process.
type serving struct {
	*Controller
	said    *diary
	address string
	stop    func()
}

// startController runs a controller that was prepared.
func startController(t *testing.T, name, known string, prepare func(*Controller) error) *serving {
	t.Helper()
	said := newDiary()
	c, err := New(Identity{Name: name}, configuration("127.0.0.1:9", known), NewLogger(said))
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
	s := &serving{Controller: c, said: said, stop: sync.OnceFunc(func() { cancel(); running.Wait() })}
	t.Cleanup(func() {
		if text, _ := said.read(); t.Failed() {
			t.Logf("%s said:\n%s", name, text)
		}
	})
	t.Cleanup(s.stop)
	said.waits(t, "msg=serving", 1)
	text, _ := said.read()
	s.address = regexp.MustCompile(`msg=serving .* listen=(\S+)`).FindStringSubmatch(text)[1]
	return s
}

// freeAddress is one on loopback that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// quickLimits are limits with which losses are seen soon.
func quickLimits() distribution.Limits {
	limits := distribution.DefaultLimits()
	limits.Heartbeat, limits.Lease, limits.Handshake, limits.MaxStaleness = microsPerSecond/10, microsPerSecond/2, microsPerSecond, 3*microsPerSecond/2
	return limits
}

// votes runs controllers that share a record and vote on what is distributed.
func votes(t *testing.T, known string, names ...string) (map[string]string, []*serving) {
	t.Helper()
	members := map[string]string{}
	for _, name := range names {
		members[name] = freeAddress(t)
	}
	var all []*serving
	for _, name := range names {
		all = append(all, startController(t, name, known, func(c *Controller) error {
			if err := c.JoinDistribution(DistributionConfig{Voter: true, limits: quickLimits()}); err != nil {
				return err
			}
			return c.ShareOwnership(OwnershipConfig{Members: members})
		}))
	}
	for _, v := range all {
		v.said.waits(t, "msg=quorum_changed quorum=true", 1)
	}
	return members, all
}

// subscribes runs a controller that subscribes for the scope pricing.
func subscribes(t *testing.T, name, known string, with DistributionConfig) *serving {
	t.Helper()
	with.Scopes, with.limits = []string{"pricing"}, quickLimits()
	return startController(t, name, known, func(c *Controller) error { return c.JoinDistribution(with) })
}

// reloads has a controller read a file that distributes something.
func (s *serving) reloads(t *testing.T, known, distributed string) {
	t.Helper()
	if err := s.Reload(withDistributed(known, distributed)); err != nil {
		t.Fatal(err)
	}
}

func withDistributed(known, distributed string) []byte {
	text := string(configuration("127.0.0.1:9", known))
	return []byte(strings.Replace(text, `"seed"`, `"distributed":`+distributed+`,"seed"`, 1))
}

func TestDistribution(t *testing.T) {
	var entries []string
	for id := range 6 {
		entries = append(entries, backendIs(id, "up"))
	}
	known := listing(1, true, entries...)
	members, voters := votes(t, known, "n0", "n1", "n2")
	relayAt := freeAddress(t)
	relay := subscribes(t, "s1", known, DistributionConfig{Parents: members, Listen: relayAt, FanOut: 4})
	leaf := subscribes(t, "s2", known, DistributionConfig{Parents: map[string]string{"s1": relayAt}})
	p, h := calls(t, leaf.address), newHearer("read it", "write")
	p.says(`{"msg":"hello","node":3,"locality":"b","w":12.5,"cold":true}`)
	picks := func(what string, is func(ids []string) bool) {
		t.Helper()
		for !is(h.picks(0)) {
			if err := h.apply(p.gets()); err != nil { // which fails after a while
				t.Fatalf("%s: %v, picks %v", what, err, h.picks(0))
			}
			for len(h.tickets) > 0 && !h.inside {
				p.says(fmt.Sprintf(`{"msg":"ack","node":3,"nonce":%d,"latency":1}`, h.tickets[0]))
				h.tickets = h.tickets[1:]
			}
		}
	}
	picks("all", func(ids []string) bool { return len(ids) == 6 && !h.inside })
	t.Run("a drain is in force at a controller below another subscriber", func(t *testing.T) {
		voters[1].reloads(t, known, `{"pricing":{"drain":{"s-2":true}},"orders":{"drain":{"s-3":true}}}`)
		voters[1].said.waits(t, "msg=change_accepted revision=1", 1)
		picks("without the drained one", func(ids []string) bool { return !slices.Contains(ids, "s-2") && !h.inside })
		if !slices.Contains(h.picks(0), "s-3") {
			t.Error("a drain of another scope counts")
		}
		for _, s := range []*serving{relay, leaf, voters[0], voters[2]} {
			s.said.waits(t, "msg=configuration_applied revision=1", 1)
		}
		leaf.said.waits(t, "msg=snapshot_applied revision=1", 1)
		leaf.said.waits(t, `msg=subscribed`, 1)
	})
	t.Run("the same file again is no change, and a bad one changes nothing", func(t *testing.T) {
		voters[0].reloads(t, known, `{"pricing":{"drain":{"s-2":true}},"orders":{"drain":{"s-3":true}}}`)
		voters[0].said.waits(t, "msg=change_empty revision=1", 1)
		if err := voters[0].Reload(withDistributed(known, `{"pricing":{"drain":{"s-4":1}}}`)); err == nil {
			t.Error("taken")
		}
		voters[0].reloads(t, known, fmt.Sprintf(`{"pricing":{"service":{"x":{"y":%q}}}}`, strings.Repeat("z", 1<<20)))
		voters[0].said.waits(t, "msg=change_refused", 1)
	})
	t.Run("the parent is lost, and the voters' majority: it goes on with what it has", func(t *testing.T) {
		relay.stop()
		leaf.said.waits(t, "msg=parent_lost", 1)
		leaf.said.waits(t, "msg=subscribed", 2) // at one that it has learned of
		voters[2].reloads(t, known, `{"pricing":{"drain":{"s-4":true}}}`)
		voters[2].said.waits(t, "msg=change_accepted revision=2", 1)
		picks("with the second change", func(ids []string) bool {
			return !slices.Contains(ids, "s-4") && slices.Contains(ids, "s-2") && !h.inside
		})
		voters[0].stop()
		voters[1].stop()
		leaf.said.waits(t, "msg=configuration_stale revision=2", 1)
		if picks := h.picks(0); len(picks) != 5 {
			t.Errorf("picks %v", picks)
		}
		if text, _ := leaf.said.read(); strings.Count(text, "msg=snapshot_applied") != 1 {
			t.Errorf("a snapshot where a delta would do")
		}
	})
}

func TestDistributionRefused(t *testing.T) {
	known := listing(1, true, backendIs(0, "up"))
	for name, x := range map[string]struct {
		with DistributionConfig
		want string
	}{
		"listens everywhere in plain text": {DistributionConfig{Listen: "0.0.0.0:0"}, "loopback"},
		"address in use":                   {DistributionConfig{Listen: "127.0.0.1:0x"}, "listen"},
		"a name that is none":              {DistributionConfig{Name: "s@1"}, "leave it out"},
		"no such certificate":              {DistributionConfig{}, "certificate"},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := New(Identity{}, configuration("127.0.0.1:9", known), NewLogger(newDiary()))
			if err != nil {
				t.Fatal(err)
			}
			if x.want == "certificate" {
				x.with.Certificate = "none.pem"
			}
			if err := c.JoinDistribution(x.with); err == nil || !strings.Contains(err.Error(), x.want) {
				t.Errorf("got %v", err)
			}
		})
	}
	c, err := New(Identity{}, configuration("127.0.0.1:9", known), NewLogger(newDiary()))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.JoinDistribution(DistributionConfig{Voter: true}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := c.Serve(ctx); err == nil || !strings.Contains(err.Error(), "shares the record") {
		t.Errorf("a voter without a record serves: %v", err)
	}
}

// A controller that takes no part reads what its file would distribute as little as before.
func TestDistributionOff(t *testing.T) {
	said := newDiary()
	c, err := New(Identity{}, withDistributed(listing(1, true, backendIs(0, "up")), `[]`), NewLogger(said))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Reload(withDistributed("null", `7`)); err != nil {
		t.Error(err)
	}
}
