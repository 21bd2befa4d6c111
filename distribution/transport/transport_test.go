package transport

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"wheelrill/distribution"
	"wheelrill/internal/frame"
)

func TestChangesReachAllSubscribers(t *testing.T) {
	n := newNetwork()
	voters := []*peer{n.voter(t, "v0", 2), n.voter(t, "v1", 2), n.voter(t, "v2", 2)}
	r := newRecord(voters...)
	r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	var all []*peer
	for i := range 3 {
		all = append(all, n.subscriber(t, fmt.Sprint("s", i), 4, "v0", "v1", "v2"))
	}
	for i := 3; i < 8; i++ { // the subscribers s3 to s7 are configured with s0 and s1 as possible parents
		all = append(all, n.subscriber(t, fmt.Sprint("s", i), 0, "s0", "s1"))
	}
	waitForAll := func(want string) {
		t.Helper()
		for _, p := range all {
			waitFor(t, p.name+" has "+want, func() bool { return p.contents() == want })
		}
	}
	waitForAll("pricing/a=1")
	r.accept(t, map[string]string{"a": "2", "b": "1"})
	waitForAll("pricing/a=2 pricing/b=1")
	r.accept(t, map[string]string{"a": ""})
	waitForAll("pricing/b=1")
	digest := r.state.Digest()
	for _, p := range all {
		status := p.status(t)
		if status.Digest != digest || status.Version != r.state.Version() || p.snapshots() != 1 {
			t.Errorf("%s has status %+v after %d snapshots; it should have digest %v and version %v after 1",
				p.name, status, p.snapshots(), digest, r.state.Version())
		}
		if traffic := p.Traffic(); traffic.In == 0 || traffic.Out == 0 || traffic.Overflows != 0 {
			t.Errorf("%s counts traffic %+v, it should have bytes in and out and no overflow", p.name, traffic)
		}
	}
}

func TestSubscriberOfAKilledParentGetsTheNextChangeFromAnother(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 2)
	r := newRecord(v)
	r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	middle := []*peer{n.subscriber(t, "m0", 4, "v0"), n.subscriber(t, "m1", 4, "v0")}
	for _, m := range middle {
		waitFor(t, m.name+" has a=1", func() bool { return m.contents() == "pricing/a=1" })
	}
	s := n.subscriber(t, "s", 0, "m0", "m1")
	waitFor(t, "the subscriber has a=1 and a parent", func() bool {
		return s.contents() == "pricing/a=1" && s.status(t).Parent != ""
	})
	for _, m := range middle {
		if s.status(t).Parent == m.name {
			m.stop()
			break
		}
	}
	r.accept(t, map[string]string{"a": "2"})
	waitFor(t, "the subscriber has a=2 from the other parent", func() bool {
		return s.contents() == "pricing/a=2"
	})
	if s.snapshots() != 1 || !s.hasLogged(distribution.EventParentLost) {
		t.Errorf("%d snapshots were installed, it should be 1; EventParentLost logged: %t",
			s.snapshots(), s.hasLogged(distribution.EventParentLost))
	}
}

func TestParentThatNeverAnswersIsLeftForAnother(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 2)
	r := newRecord(v)
	r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	ended := make(chan struct{})
	n.listen(t, "mute", func(conn net.Conn) { <-ended; conn.Close() })
	t.Cleanup(func() { close(ended) })
	s := n.subscriber(t, "s", 0, "mute", "v0")
	waitFor(t, "the subscriber has a=1 from v0", func() bool { return s.contents() == "pricing/a=1" })
	if parent := s.status(t).Parent; parent != "v0" {
		t.Errorf("the parent is %q, it should be \"v0\"", parent)
	}
}

// Guards against a subscriber that stays with a suspended parent, or does not report the age of its
// configuration. The parent's connections stay open, as the kernel continues to accept bytes for a
// suspended process; a forwarder that discards all bytes simulates this.
func TestFrozenParentIsLeftAndTheAgeGrows(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 2)
	r := newRecord(v)
	r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	// The subscriber learns the name v0 from its parent's path. Without an address for v0 it cannot
	// dial the voter directly.
	voterAddress := n.remove("v0")
	var mutex sync.Mutex
	frozen := make(chan struct{})
	n.listen(t, "m", func(conn net.Conn) { // peer "m" forwards all bytes between the subscriber and the voter
		defer conn.Close()
		to, err := net.Dial("tcp", voterAddress)
		if err != nil {
			return
		}
		defer to.Close()
		var forwarding sync.WaitGroup
		forward := func(from, to net.Conn) {
			buffer := make([]byte, 4096)
			for {
				got, err := from.Read(buffer)
				if err != nil {
					return
				}
				select {
				case <-frozen:
					continue
				default:
				}
				mutex.Lock()
				to.Write(buffer[:got])
				mutex.Unlock()
			}
		}
		forwarding.Go(func() { forward(to, conn) })
		forward(conn, to)
		to.Close()
		forwarding.Wait()
	})
	s := n.subscriber(t, "s", 0, "m")
	waitFor(t, "the subscriber has a=1", func() bool { return s.contents() == "pricing/a=1" })
	r.accept(t, map[string]string{"a": "2"})
	waitFor(t, "the subscriber has a=2 and is current", func() bool {
		return s.contents() == "pricing/a=2" && s.status(t).Age >= 0
	})
	close(frozen)
	waitFor(t, "the subscriber leaves the frozen parent", func() bool {
		return s.hasLogged(distribution.EventParentLost)
	})
	waitFor(t, "the subscriber's age exceeds 0.5 s", func() bool { return s.status(t).Age > 500_000 })
	if s.contents() != "pricing/a=2" {
		t.Errorf("the subscriber has %q, it should keep a=2", s.contents())
	}
}

func TestSubscriberLogsThatTheMajorityIsLost(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 2)
	r := newRecord(v)
	loseMajority := r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	s := n.subscriber(t, "s", 0, "v0")
	waitFor(t, "the subscriber has a=1 and is current", func() bool {
		status := s.status(t)
		return s.contents() == "pricing/a=1" && status.Age >= 0
	})
	loseMajority()
	waitFor(t, "the subscriber logs EventSourceStale", func() bool {
		return s.hasLogged(distribution.EventSourceStale)
	})
	if s.contents() != "pricing/a=1" || s.status(t).Age < 900_000 {
		t.Errorf("the subscriber has %q and status %+v, it should keep a=1 with an age of 0.9 s or more",
			s.contents(), s.status(t))
	}
	r.keepCurrent(t)
	waitFor(t, "the subscriber logs EventSourceCurrent", func() bool {
		return s.hasLogged(distribution.EventSourceCurrent)
	})
	if s.snapshots() != 1 {
		t.Errorf("%d snapshots were installed, it should be 1", s.snapshots())
	}
}

// Guards against an unbounded queue, or delays for other subscribers, when one subscriber reads
// nothing. The link of that subscriber has to be closed once its queue is full.
func TestSubscriberThatReadsNothingIsClosedAndDelaysNoOther(t *testing.T) {
	n := newNetwork()
	limits := fastLimits(4)
	limits.Lease, limits.Window = 3_600_000_000, 1<<30 // lease and window so large that the node closes no link
	v := n.start(t, distribution.Config{Name: "v0", Voter: true, Limits: limits},
		Bounds{QueueCount: 16, QueueBytes: 64 << 10, WriteTimeout: time.Hour})
	r := newRecord(v)
	r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	s := n.subscriber(t, "s", 0, "v0")
	clientEnd, serverEnd := net.Pipe() // net.Pipe has no buffer: a write blocks until the peer reads
	defer clientEnd.Close()
	var serving sync.WaitGroup
	serving.Go(func() { v.Accept(serverEnd, nil) })
	subscribe := &distribution.Subscribe{Name: "deaf", Scopes: distribution.SomeScopes("pricing")}
	if err := frame.Write(clientEnd, distribution.NewEnvelope(subscribe)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the subscriber that reads nothing has a place", func() bool {
		return len(v.status(t).Children) == 2
	})
	body := make([]byte, 4<<10)
	for i := 0; v.Traffic().Overflows == 0; i++ {
		if i == 1000 {
			t.Fatal("no overflow after 1000 changes: the queue has no bound")
		}
		r.accept(t, map[string]string{"large": fmt.Sprint(i, string(body))})
		waitFor(t, "the other subscriber has the change", func() bool {
			return s.status(t).Version == r.state.Version()
		})
	}
	waitFor(t, "the place of the closed subscriber is free", func() bool {
		return len(v.status(t).Children) == 1
	})
	serving.Wait()
	r.accept(t, map[string]string{"large": "", "a": "2"})
	waitFor(t, "the other subscriber has all changes", func() bool { return s.contents() == "pricing/a=2" })
}

func TestSubscribeUnderANameThatIsNotAllowedIsClosed(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 4)
	r := newRecord(v)
	r.accept(t, map[string]string{"a": "1"})
	clientEnd, serverEnd := net.Pipe()
	defer clientEnd.Close()
	var serving sync.WaitGroup
	serving.Go(func() { v.Accept(serverEnd, func(name string) bool { return name == "s1" }) })
	if err := frame.Write(clientEnd, distribution.NewEnvelope(&distribution.Subscribe{Name: "s2"})); err != nil {
		t.Fatal(err)
	}
	if _, err := clientEnd.Read(make([]byte, 1)); err == nil {
		t.Error("the Subscribe under the name s2 was answered, only s1 is allowed")
	}
	serving.Wait()
	if children := v.status(t).Children; len(children) != 0 {
		t.Errorf("the voter's children are %v, it should have none", children)
	}
}

func TestBrokenMessagesCloseTheConnection(t *testing.T) {
	n := newNetwork()
	v := n.start(t, distribution.Config{Name: "v0", Voter: true, Limits: fastLimits(4)}, Bounds{MessageBytes: 1 << 10})
	for name, bytes := range map[string][]byte{
		"too large":      {0, 0, 8, 0},
		"invalid CBOR":   {0, 0, 0, 1, 0xff},
		"empty envelope": {0, 0, 0, 1, 0xa0},
	} {
		t.Run(name, func(t *testing.T) {
			clientEnd, serverEnd := net.Pipe()
			defer clientEnd.Close()
			var serving sync.WaitGroup
			serving.Go(func() { v.Accept(serverEnd, nil) })
			clientEnd.Write(bytes)
			if _, err := clientEnd.Read(make([]byte, 1)); err == nil {
				t.Error("the message was answered, the connection should be closed")
			}
			serving.Wait()
		})
	}
}

func TestAcceptedConnectionsAreBounded(t *testing.T) {
	n := newNetwork()
	v := n.start(t, distribution.Config{Name: "v0", Voter: true, Limits: fastLimits(4)}, Bounds{AcceptedConnections: 2})
	var serving sync.WaitGroup
	defer serving.Wait()
	for range 2 {
		clientEnd, serverEnd := net.Pipe()
		defer clientEnd.Close()
		serving.Go(func() { v.Accept(serverEnd, nil) })
	}
	waitFor(t, "two connections are served", func() bool {
		v.Transport.mutex.Lock()
		defer v.Transport.mutex.Unlock()
		return v.acceptedConnections == 2
	})
	clientEnd, serverEnd := net.Pipe()
	v.Accept(serverEnd, nil)
	if _, err := clientEnd.Read(make([]byte, 1)); err == nil {
		t.Error("a third connection was served, Bounds.AcceptedConnections is 2")
	}
}

// Guards against connections that remain open, or are still counted as open, once Run has returned,
// and against methods of the transport that block once Run has returned.
func TestRunClosesAllConnectionsAtItsEnd(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 4)
	r := newRecord(v)
	r.accept(t, map[string]string{"a": "1"})
	s := n.subscriber(t, "s", 0, "v0")
	waitFor(t, "the subscriber has a=1", func() bool { return s.contents() == "pricing/a=1" })
	s.stop()
	waitFor(t, "the place of the closed subscriber is free", func() bool {
		return len(v.status(t).Children) == 0
	})
	if _, ok := s.Status(); ok {
		t.Error("Status succeeds after Run has ended")
	}
	clientEnd, serverEnd := net.Pipe()
	s.Accept(serverEnd, nil)
	if _, err := clientEnd.Read(make([]byte, 1)); err == nil {
		t.Error("Accept serves a connection after Run has ended")
	}
	s.Current() // Current must not block after Run has ended
	for range 2 * DefaultMailbox {
		s.Current()
	}
	s.Transport.mutex.Lock()
	defer s.Transport.mutex.Unlock()
	if len(s.openLinks) != 0 || s.acceptedConnections != 0 {
		t.Errorf("%d links and %d accepted connections remain after Run has ended", len(s.openLinks), s.acceptedConnections)
	}
}
