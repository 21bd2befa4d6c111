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
	for i := 3; i < 8; i++ { // below other subscribers
		all = append(all, n.subscriber(t, fmt.Sprint("s", i), 0, "s0", "s1"))
	}
	everywhere := func(want string) {
		t.Helper()
		for _, p := range all {
			waitFor(t, p.name+" has "+want, func() bool { return p.contents() == want })
		}
	}
	everywhere("pricing/a=1")
	r.accept(t, map[string]string{"a": "2", "b": "1"})
	everywhere("pricing/a=2 pricing/b=1")
	r.accept(t, map[string]string{"a": ""})
	everywhere("pricing/b=1")
	digest := r.state.Digest()
	for _, p := range all {
		status := p.status(t)
		if status.Digest != digest || status.Version != r.state.Version() || p.snapshots() != 1 {
			t.Errorf("%s is at %+v, %d snapshots", p.name, status, p.snapshots())
		}
		if traffic := p.Traffic(); traffic.In == 0 || traffic.Out == 0 || traffic.Overflows != 0 {
			t.Errorf("%s counts %+v", p.name, traffic)
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
		waitFor(t, m.name+" has it", func() bool { return m.contents() == "pricing/a=1" })
	}
	s := n.subscriber(t, "s", 0, "m0", "m1")
	waitFor(t, "it has a parent", func() bool { return s.contents() == "pricing/a=1" && s.status(t).Parent != "" })
	for _, m := range middle {
		if s.status(t).Parent == m.name {
			m.stop()
			break
		}
	}
	r.accept(t, map[string]string{"a": "2"})
	waitFor(t, "the other parent tells it", func() bool { return s.contents() == "pricing/a=2" })
	if s.snapshots() != 1 || !s.hasLogged(distribution.EventParentLost) {
		t.Errorf("%d snapshots where a delta would do", s.snapshots())
	}
}

func TestParentThatNeverAnswersIsLeftForAnother(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 2)
	r := newRecord(v)
	r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	over := make(chan struct{})
	n.listen(t, "mute", func(conn net.Conn) { <-over; conn.Close() })
	t.Cleanup(func() { close(over) })
	s := n.subscriber(t, "s", 0, "mute", "v0")
	waitFor(t, "it has it from the other", func() bool { return s.contents() == "pricing/a=1" })
	if parent := s.status(t).Parent; parent != "v0" {
		t.Errorf("its parent is %q", parent)
	}
}

// A parent that is frozen, with its connections open: the kernel goes on taking what is sent to it.
func TestFrozenParentIsLeftAndTheAgeGrows(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 2)
	r := newRecord(v)
	r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	behind := n.remove("v0") // a parent's path names those above it, who would be dialled in its place
	var mutex sync.Mutex
	frozen := make(chan struct{})
	n.listen(t, "m", func(conn net.Conn) { // a relay in front of the voter
		defer conn.Close()
		to, err := net.Dial("tcp", behind)
		if err != nil {
			return
		}
		defer to.Close()
		var relaying sync.WaitGroup
		relay := func(from, to net.Conn) {
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
		relaying.Go(func() { relay(to, conn) })
		relay(conn, to)
		to.Close()
		relaying.Wait()
	})
	s := n.subscriber(t, "s", 0, "m")
	waitFor(t, "it has it", func() bool { return s.contents() == "pricing/a=1" })
	r.accept(t, map[string]string{"a": "2"})
	waitFor(t, "it has the next", func() bool { return s.contents() == "pricing/a=2" && s.status(t).Age >= 0 })
	close(frozen)
	waitFor(t, "it leaves the frozen one", func() bool { return s.hasLogged(distribution.EventParentLost) })
	waitFor(t, "it tells its age", func() bool { return s.status(t).Age > 500_000 })
	if s.contents() != "pricing/a=2" {
		t.Errorf("it has %s", s.contents())
	}
}

func TestSubscriberLogsThatTheMajorityIsLost(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 2)
	r := newRecord(v)
	lost := r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	s := n.subscriber(t, "s", 0, "v0")
	waitFor(t, "it is current", func() bool { status := s.status(t); return s.contents() == "pricing/a=1" && status.Age >= 0 })
	lost()
	waitFor(t, "it tells that what it has is old", func() bool { return s.hasLogged(distribution.EventSourceStale) })
	if s.contents() != "pricing/a=1" || s.status(t).Age < 900_000 {
		t.Errorf("has %s, %+v", s.contents(), s.status(t))
	}
	r.keepCurrent(t)
	waitFor(t, "it is current again", func() bool { return s.hasLogged(distribution.EventSourceCurrent) })
	if s.snapshots() != 1 {
		t.Errorf("%d snapshots", s.snapshots())
	}
}

// One that subscribes and reads nothing is closed once its queue is full, and holds nobody up.
func TestSubscriberThatReadsNothingIsClosedAndDelaysNoOther(t *testing.T) {
	n := newNetwork()
	limits := fastLimits(4)
	limits.Lease, limits.Window = 3_600_000_000, 1<<30 // so that the node itself does not end it
	v := n.start(t, distribution.Config{Name: "v0", Voter: true, Limits: limits},
		Bounds{QueueCount: 16, QueueBytes: 64 << 10, WriteTimeout: time.Hour})
	r := newRecord(v)
	r.keepCurrent(t)
	r.accept(t, map[string]string{"a": "1"})
	s := n.subscriber(t, "s", 0, "v0")
	ours, theirs := net.Pipe() // without any buffer of the kernel
	defer ours.Close()
	var serving sync.WaitGroup
	serving.Go(func() { v.Accept(theirs, nil) })
	subscribe := &distribution.Subscribe{Name: "deaf", Scopes: distribution.SomeScopes("pricing")}
	if err := frame.Write(ours, distribution.NewEnvelope(subscribe)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "it has a place", func() bool { return len(v.status(t).Children) == 2 })
	body := make([]byte, 4<<10)
	for i := 0; v.Traffic().Overflows == 0; i++ {
		if i == 1000 {
			t.Fatal("its queue has no bound")
		}
		r.accept(t, map[string]string{"large": fmt.Sprint(i, string(body))})
		waitFor(t, "the other has it", func() bool { return s.status(t).Version == r.state.Version() })
	}
	waitFor(t, "its place is free", func() bool { return len(v.status(t).Children) == 1 })
	serving.Wait()
	r.accept(t, map[string]string{"large": "", "a": "2"})
	waitFor(t, "the other has all", func() bool { return s.contents() == "pricing/a=2" })
}

func TestSubscribeUnderANameThatIsNotAllowedIsClosed(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 4)
	r := newRecord(v)
	r.accept(t, map[string]string{"a": "1"})
	ours, theirs := net.Pipe()
	defer ours.Close()
	var serving sync.WaitGroup
	serving.Go(func() { v.Accept(theirs, func(name string) bool { return name == "s1" }) })
	if err := frame.Write(ours, distribution.NewEnvelope(&distribution.Subscribe{Name: "s2"})); err != nil {
		t.Fatal(err)
	}
	if _, err := ours.Read(make([]byte, 1)); err == nil {
		t.Error("it was answered")
	}
	serving.Wait()
	if children := v.status(t).Children; len(children) != 0 {
		t.Errorf("children %v", children)
	}
}

func TestBrokenMessagesCloseTheConnection(t *testing.T) {
	n := newNetwork()
	v := n.start(t, distribution.Config{Name: "v0", Voter: true, Limits: fastLimits(4)}, Bounds{MessageBytes: 1 << 10})
	for name, bytes := range map[string][]byte{
		"too large":      {0, 0, 8, 0},
		"no CBOR":        {0, 0, 0, 1, 0xff},
		"empty envelope": {0, 0, 0, 1, 0xa0},
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := net.Pipe()
			defer ours.Close()
			var serving sync.WaitGroup
			serving.Go(func() { v.Accept(theirs, nil) })
			ours.Write(bytes)
			if _, err := ours.Read(make([]byte, 1)); err == nil {
				t.Error("it was answered")
			}
			serving.Wait()
		})
	}
}

func TestCallersAreBounded(t *testing.T) {
	n := newNetwork()
	v := n.start(t, distribution.Config{Name: "v0", Voter: true, Limits: fastLimits(4)}, Bounds{Callers: 2})
	var serving sync.WaitGroup
	defer serving.Wait()
	for range 2 {
		ours, theirs := net.Pipe()
		defer ours.Close()
		serving.Go(func() { v.Accept(theirs, nil) })
	}
	waitFor(t, "two are served", func() bool {
		v.Transport.mutex.Lock()
		defer v.Transport.mutex.Unlock()
		return v.callers == 2
	})
	ours, theirs := net.Pipe()
	v.Accept(theirs, nil)
	if _, err := ours.Read(make([]byte, 1)); err == nil {
		t.Error("a third was served")
	}
}

// At the end all connections are closed, and Run returns only when nothing of it is left.
func TestRunClosesAllConnectionsAtItsEnd(t *testing.T) {
	n := newNetwork()
	v := n.voter(t, "v0", 4)
	r := newRecord(v)
	r.accept(t, map[string]string{"a": "1"})
	s := n.subscriber(t, "s", 0, "v0")
	waitFor(t, "it has it", func() bool { return s.contents() == "pricing/a=1" })
	s.stop()
	waitFor(t, "its place is free", func() bool { return len(v.status(t).Children) == 0 })
	if _, ok := s.Status(); ok {
		t.Error("it answers")
	}
	ours, theirs := net.Pipe()
	s.Accept(theirs, nil)
	if _, err := ours.Read(make([]byte, 1)); err == nil {
		t.Error("it serves")
	}
	s.Current() // does not wait for an actor that has ended
	for range 2 * DefaultMailbox {
		s.Current()
	}
	s.Transport.mutex.Lock()
	defer s.Transport.mutex.Unlock()
	if len(s.openLinks) != 0 || s.callers != 0 {
		t.Errorf("%d links, %d callers are left", len(s.openLinks), s.callers)
	}
}
