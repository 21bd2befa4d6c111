package fake

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelrill/invariant"
)

const testTimeout = 20 * time.Second // maximum time of the wait for each condition or message

// eventually waits until a condition holds, and fails the test after testTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	timeout := time.After(testTimeout)
	for !condition() {
		select {
		case <-timeout:
			t.Fatalf("not within %s: %s", testTimeout, description)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// startEcho starts a server that returns all bytes that it receives, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { io.Copy(conn, conn); conn.Close() })
		}
	})
	t.Cleanup(func() { l.Close(); connections.Wait() })
	return l.Addr().String()
}

// TestFaultyLinkDelaysOrResetsConnections guards against a link that loses bytes or lets them pass
// while a fault drops them, and against one that lets connections continue while it refuses them.
// Rehearsals would then test other faults than their reports name.
func TestFaultyLinkDelaysOrResetsConnections(t *testing.T) {
	link, err := NewFaultyLink(startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", link.Address())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		return conn
	}
	echo := func(conn net.Conn, text string) error {
		conn.Write([]byte(text))
		got := make([]byte, len(text))
		_, err := io.ReadFull(conn, got)
		if err == nil && string(got) != text {
			err = fmt.Errorf("got %q, want %q", got, text)
		}
		return err
	}
	a := dial()
	defer a.Close()
	if err := echo(a, "one"); err != nil {
		t.Fatal(err)
	}
	for name, fault := range map[string]Fault{
		"both directions": Partition, "outgoing bytes": {DropOutgoing: true}, "incoming bytes": {DropIncoming: true},
	} {
		t.Run("bytes sent while the link drops "+name+" arrive after the fault", func(t *testing.T) {
			link.SetFault(fault)
			a.Write([]byte("two"))
			got := make([]byte, 3)
			a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if n, _ := a.Read(got); n > 0 {
				t.Errorf("%q arrived during the fault", got[:n])
			}
			link.SetFault(Fault{})
			a.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := io.ReadFull(a, got); err != nil || string(got) != "two" {
				t.Errorf("after the fault got %q and error %v, want two", got, err)
			}
		})
	}
	t.Run("a link that refuses connections resets open and new ones", func(t *testing.T) {
		link.SetFault(Fault{RefuseConnections: true})
		if err := echo(a, "x"); err == nil {
			t.Error("an open connection was not reset")
		}
		if b, err := net.Dial("tcp", link.Address()); err == nil { // the reset may arrive during or after the dial
			b.SetDeadline(time.Now().Add(testTimeout))
			if err := echo(b, "x"); err == nil {
				t.Error("a new connection was not reset")
			}
			b.Close()
		}
		link.SetFault(Fault{})
		c := dial()
		defer c.Close()
		if err := echo(c, "back"); err != nil {
			t.Error(err)
		}
	})
}

// newTestFleet returns a fleet with one controller, and the listener of that controller, which the
// test implements.
func newTestFleet(t *testing.T) (*Fleet, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := NewFleet(FleetConfig{
		Zones: []string{"a"}, Backends: 3, Cores: 1, ServiceTime: 2 * time.Millisecond, Proxies: 1, Fenced: true,
		Classes: []Class{
			{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Rate: 200},
			{Name: "write", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 2, Writes: true,
				Rate: 200},
		},
		ReportInterval: 50 * time.Millisecond, Seed: 1},
		invariant.Limits{MaxEmptyTable: time.Minute, DrainGrace: time.Minute}, []string{l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	return fleet, l
}

// controllerEnd is the controller's end of a stream from a proxy.
type controllerEnd struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

// acceptProxy accepts connections until one is from a proxy. It reads from the other connections,
// but does not answer on them.
func acceptProxy(t *testing.T, l net.Listener) *controllerEnd {
	t.Helper()
	for {
		l.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		c := &controllerEnd{t, conn, bufio.NewReader(conn)}
		if strings.Contains(c.receive(), `"hello"`) {
			return c
		}
		go io.Copy(io.Discard, conn)
		t.Cleanup(func() { conn.Close() })
	}
}

func (c *controllerEnd) receive() string {
	c.Helper()
	body, err := readFrame(c.in)
	if err != nil {
		c.Fatal(err)
	}
	return string(body)
}

func (c *controllerEnd) send(text string) {
	c.Helper()
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)); err != nil {
		c.Fatal(err)
	}
}

// receiveType reads messages until one has the given type, and returns it.
func (c *controllerEnd) receiveType(msg string) string {
	c.Helper()
	for {
		if body := c.receive(); strings.Contains(body, `"msg":"`+msg+`"`) {
			return body
		}
	}
}

// TestProxyAppliesPushesOfItsController guards against a proxy that deviates from its tables,
// admission limits, fencing tokens or retry policy: rehearsals would then find violations that
// controllers have not caused, or miss those that they have.
func TestProxyAppliesPushesOfItsController(t *testing.T) {
	fleet, l := newTestFleet(t)
	defer l.Close()
	fleet.Start()
	c := acceptProxy(t, l)
	c.send(`{"msg":"alive"}`)
	c.send(`{"msg":"push","token":5,"whole":true,"lines":[["w-00",1],["w-01",1]],"ticket":7}`)
	if got := c.receiveType("ack"); !strings.Contains(got, `"nonce":7`) {
		t.Errorf("the acknowledgement is %s, want nonce 7", got)
	}
	awaitUsers := func(backend string, n int) {
		t.Helper()
		eventually(t, fmt.Sprintf("%d proxies use %s", n, backend), func() bool { return fleet.ProxiesUsing(backend) == n })
	}
	awaitUsers("w-00", 1)
	t.Run("all parts of a push are applied, each to its classes only", func(*testing.T) {
		c.send(`{"msg":"push","token":5,"classes":["read"],"lines":[["w-00",0]],"more":true}`)
		c.send(`{"msg":"push","token":5,"out":["w-01"],"lines":[["w-02",1]],"ticket":8}`)
		c.receiveType("ack")
		awaitUsers("w-01", 0)
		awaitUsers("w-02", 1)
		awaitUsers("w-00", 1) // w-00 is still in the table of the class write
	})
	t.Run("a push with an older token is rejected, but acknowledged", func(t *testing.T) {
		c.send(`{"msg":"push","token":4,"back":["w-01"],"ticket":9}`)
		c.receiveType("ack")
		awaitUsers("w-01", 0)
		eventually(t, "one stale push is counted", func() bool { return fleet.Counts().StalePushesRejected == 1 })
	})
	t.Run("requests are served and demand is reported", func(t *testing.T) {
		eventually(t, "more than 20 requests are served", func() bool { return fleet.Counts().Served > 20 })
		if got := c.receiveType("demand"); !strings.Contains(got, `"route":`) {
			t.Errorf("the demand report is %s, want a route", got)
		}
	})
	t.Run("requests are lost at failing backends after few attempts, and served by a healthy one", func(t *testing.T) {
		fleet.Backends[0].SetMode(ModeFailFast)
		fleet.Backends[2].SetMode(ModeFailFast)
		lost, attempts := fleet.Counts().Lost, fleet.Counts().Attempts
		eventually(t, "more than 10 requests are lost", func() bool { return fleet.Counts().Lost > lost+10 })
		if after := fleet.Counts(); after.Attempts-attempts > 3*(after.Requests) {
			t.Errorf("%d attempts for %d requests, allowed are 3 per request", after.Attempts-attempts, after.Requests)
		}
		fleet.Backends[0].SetMode(ModeRefuse)
		fleet.Backends[2].SetMode(ModeHealthy)
		served := fleet.Counts().Served
		eventually(t, "more than 20 requests are served by the healthy backend", func() bool {
			return fleet.Counts().Served > served+20
		})
	})
	t.Run("requests above the admission limit are rejected", func(t *testing.T) {
		c.send(`{"msg":"push","token":5,"level":1,"retry":0,"ticket":10}`)
		c.receiveType("ack")
		rejected := fleet.Counts().Rejected
		eventually(t, "more than 50 requests are rejected", func() bool { return fleet.Counts().Rejected > rejected+50 })
	})
	t.Run("an invalid push ends the stream, and the proxy dials again and keeps its tables", func(t *testing.T) {
		c.send(`{"msg":"push","lines":[["nobody",1]]}`)
		c2 := acceptProxy(t, l)
		awaitUsers("w-02", 1)
		c2.Close()
	})
	verdict, counts := fleet.Close()
	if len(verdict.Violations) > 0 || verdict.Effects == 0 || counts.Streams == 0 {
		t.Errorf("verdict %+v, counts %+v; want no violations, some effects and some streams", verdict, counts)
	}
}

// TestDiscoveryAnswersListsAndLongPolls guards against an answer that misses a change, and against
// a long poll that is not answered when the list changes: controllers would use a stale list.
func TestDiscoveryAnswersListsAndLongPolls(t *testing.T) {
	fleet, l := newTestFleet(t)
	defer l.Close()
	defer fleet.Close()
	get := func(query string) (answer discoveryAnswer) {
		t.Helper()
		response, err := http.Get("http://" + fleet.Discovery.Address() + "/api/targets" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			t.Fatal(err)
		}
		return answer
	}
	full := get("")
	if !full.Full || len(full.Servers) != 3 {
		t.Fatalf("got %+v, want a full list of 3 backends", full)
	}
	if a := get(fmt.Sprintf("?since=%d&timeout_ms=1", full.Version)); len(a.Servers) != 0 || a.Full {
		t.Errorf("without a change got %+v, want no entries", a)
	}
	answers := make(chan discoveryAnswer)
	go func() { answers <- get(fmt.Sprintf("?since=%d&timeout_ms=20000", full.Version)) }()
	fleet.Discovery.Publish("draining", fleet.Backends[1])
	if a := <-answers; len(a.Servers) != 1 || a.Servers[0].State != "draining" || a.Version <= full.Version {
		t.Errorf("the long poll got %+v, want the draining backend in a newer version", a)
	}
	fleet.Backends[2].Restart(time.Second)
	fleet.Discovery.Publish("up", fleet.Backends[2])
	fleet.Discovery.Publish("removed", fleet.Backends[0])
	a := get("")
	restarted := slices.IndexFunc(a.Servers, func(e discoveryEntry) bool { return e.ID == "w-02" })
	if len(a.Servers) != 2 || a.Servers[restarted].Started == 0 {
		t.Errorf("got %+v, want 2 backends, and a start time of w-02", a)
	}
}

// TestColdBackendIsOverloadedByALongQueue guards against a cold backend that takes any load. No
// rehearsal could then find a violation of rule 4: a cold backend is not overloaded.
func TestColdBackendIsOverloadedByALongQueue(t *testing.T) {
	fleet, l := newTestFleet(t)
	defer l.Close()
	backend := fleet.Backends[0]
	backend.Restart(time.Hour)
	for i := range coldQueuePerCore*backend.Cores + backend.Cores + 2 {
		backend.Handle(fmt.Sprint(i), time.Minute, func(Outcome, time.Duration) {})
	}
	if v, _ := fleet.Close(); len(v.Violations) != 1 || v.Violations[0].Rule != 4 {
		t.Errorf("violations are %+v, want one of rule 4", v.Violations)
	}
}
