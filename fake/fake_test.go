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

const testTimeout = 20 * time.Second // bounds what a test waits for

// eventually waits until something is so.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	late := time.After(testTimeout)
	for !is() {
		select {
		case <-late:
			t.Fatalf("never %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// startEcho serves an address that sends back what it is sent.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	open.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			open.Go(func() { io.Copy(conn, conn); conn.Close() })
		}
	})
	t.Cleanup(func() { l.Close(); open.Wait() })
	return l.Addr().String()
}

func TestFaultyLinkHoldsOrResetsWhatItCarries(t *testing.T) {
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
	echo := func(conn net.Conn, word string) error {
		conn.Write([]byte(word))
		got := make([]byte, len(word))
		_, err := io.ReadFull(conn, got)
		if err == nil && string(got) != word {
			err = fmt.Errorf("got %q", got)
		}
		return err
	}
	a := dial()
	defer a.Close()
	if err := echo(a, "one"); err != nil {
		t.Fatal(err)
	}
	for name, fault := range map[string]Fault{"both ways": Partition, "out": {DropOutgoing: true}, "back": {DropIncoming: true}} {
		t.Run("what is sent during a cut "+name+" comes after it", func(t *testing.T) {
			link.SetFault(fault)
			a.Write([]byte("two"))
			got := make([]byte, 3)
			a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if n, _ := a.Read(got); n > 0 {
				t.Errorf("%q came through", got[:n])
			}
			link.SetFault(Fault{})
			a.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := io.ReadFull(a, got); err != nil || string(got) != "two" {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
	t.Run("shut, open calls are reset and new ones refused", func(t *testing.T) {
		link.SetFault(Fault{RefuseConnections: true})
		if err := echo(a, "x"); err == nil {
			t.Error("an open call went on")
		}
		if b, err := net.Dial("tcp", link.Address()); err == nil { // it may be reset as it comes up, or after
			b.SetDeadline(time.Now().Add(testTimeout))
			if err := echo(b, "x"); err == nil {
				t.Error("a new call was taken")
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

// newTestFleet makes a fleet with one controller, which the test plays.
func newTestFleet(t *testing.T) (*Fleet, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := NewFleet(FleetConfig{Zones: []string{"a"}, Backends: 3, Cores: 1, ServiceTime: 2 * time.Millisecond, Proxies: 1, Fenced: true,
		Classes: []Class{{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Rate: 200},
			{Name: "write", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 2, Writes: true, Rate: 200}},
		ReportInterval: 50 * time.Millisecond, Seed: 1},
		invariant.Limits{MaxEmptyTable: time.Minute, DrainGrace: time.Minute}, []string{l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	return fleet, l
}

// controllerEnd is a controller's end of a proxy's stream.
type controllerEnd struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

// acceptProxy accepts connections until a proxy's comes; others are read and answered nothing.
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

// receiveKind reads until a message of some kind comes.
func (c *controllerEnd) receiveKind(word string) string {
	c.Helper()
	for {
		if body := c.receive(); strings.Contains(body, `"msg":"`+word+`"`) {
			return body
		}
	}
}

func TestProxyFollowsTheOrdersOfItsController(t *testing.T) {
	fleet, l := newTestFleet(t)
	defer l.Close()
	fleet.Start()
	c := acceptProxy(t, l)
	c.send(`{"msg":"alive"}`)
	c.send(`{"msg":"push","token":5,"whole":true,"lines":[["w-00",1],["w-01",1]],"ticket":7}`)
	if got := c.receiveKind("ack"); !strings.Contains(got, `"nonce":7`) {
		t.Errorf("answered %s", got)
	}
	awaitUsers := func(worker string, n int) {
		t.Helper()
		eventually(t, fmt.Sprintf("%d proxies use %s", n, worker), func() bool { return fleet.ProxiesUsing(worker) == n })
	}
	awaitUsers("w-00", 1)
	t.Run("a message in parts is applied whole; a class is meant alone", func(*testing.T) {
		c.send(`{"msg":"push","token":5,"classes":["read"],"lines":[["w-00",0]],"more":true}`)
		c.send(`{"msg":"push","token":5,"out":["w-01"],"lines":[["w-02",1]],"ticket":8}`)
		c.receiveKind("ack")
		awaitUsers("w-01", 0)
		awaitUsers("w-02", 1)
		awaitUsers("w-00", 1) // for writes
	})
	t.Run("an order with an older token is refused, and answered", func(t *testing.T) {
		c.send(`{"msg":"push","token":4,"back":["w-01"],"ticket":9}`)
		c.receiveKind("ack")
		awaitUsers("w-01", 0)
		eventually(t, "counted", func() bool { return fleet.Counts().StalePushesRejected == 1 })
	})
	t.Run("requests are sent where the tables say, reports and demand are told", func(t *testing.T) {
		eventually(t, "served", func() bool { return fleet.Counts().Served > 20 })
		if got := c.receiveKind("demand"); !strings.Contains(got, `"route":`) {
			t.Errorf("told %s", got)
		}
	})
	t.Run("a hung worker answers nothing, one that refuses proves it, and a write is not tried again without proof", func(t *testing.T) {
		fleet.Backends[0].SetMode(ModeFailFast)
		fleet.Backends[2].SetMode(ModeFailFast)
		lost, tries := fleet.Counts().Lost, fleet.Counts().Attempts
		eventually(t, "lost", func() bool { return fleet.Counts().Lost > lost+10 })
		if after := fleet.Counts(); after.Attempts-tries > 3*(after.Requests) {
			t.Errorf("%d tries", after.Attempts-tries)
		}
		fleet.Backends[0].SetMode(ModeRefuse)
		fleet.Backends[2].SetMode(ModeHealthy)
		served := fleet.Counts().Served
		eventually(t, "served by the other", func() bool { return fleet.Counts().Served > served+20 })
	})
	t.Run("a level lets in no more a second", func(t *testing.T) {
		c.send(`{"msg":"push","token":5,"level":1,"retry":0,"ticket":10}`)
		c.receiveKind("ack")
		refused := fleet.Counts().Rejected
		eventually(t, "refused", func() bool { return fleet.Counts().Rejected > refused+50 })
	})
	t.Run("what cannot be used ends the stream, and the proxy dials again with what it has", func(t *testing.T) {
		c.send(`{"msg":"push","lines":[["nobody",1]]}`)
		c2 := acceptProxy(t, l)
		awaitUsers("w-02", 1)
		c2.Close()
	})
	verdict, counts := fleet.Close()
	if len(verdict.Violations) > 0 || verdict.Effects == 0 || counts.Streams == 0 {
		t.Errorf("verdict %+v, counts %+v", verdict, counts)
	}
}

func TestDiscoveryAnswersListsAndLongPolls(t *testing.T) {
	fleet, l := newTestFleet(t)
	defer l.Close()
	defer fleet.Close()
	get := func(query string) (a discoveryAnswer) {
		t.Helper()
		response, err := http.Get("http://" + fleet.Discovery.Address() + "/api/targets" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
		return a
	}
	whole := get("")
	if !whole.Full || len(whole.Servers) != 3 {
		t.Fatalf("got %+v", whole)
	}
	if a := get(fmt.Sprintf("?since=%d&timeout_ms=1", whole.Version)); len(a.Servers) != 0 || a.Full {
		t.Errorf("nothing new, got %+v", a)
	}
	told := make(chan discoveryAnswer)
	go func() { told <- get(fmt.Sprintf("?since=%d&timeout_ms=20000", whole.Version)) }()
	fleet.Discovery.Publish("draining", fleet.Backends[1])
	if a := <-told; len(a.Servers) != 1 || a.Servers[0].State != "draining" || a.Version <= whole.Version {
		t.Errorf("a watch got %+v", a)
	}
	fleet.Backends[2].Restart(time.Second)
	fleet.Discovery.Publish("up", fleet.Backends[2])
	fleet.Discovery.Publish("removed", fleet.Backends[0])
	a := get("")
	if at := slices.IndexFunc(a.Servers, func(e discoveryEntry) bool { return e.ID == "w-02" }); len(a.Servers) != 2 || a.Servers[at].Started == 0 {
		t.Errorf("got %+v", a)
	}
}

func TestColdBackendIsOverloadedByALongQueue(t *testing.T) {
	fleet, l := newTestFleet(t)
	defer l.Close()
	w := fleet.Backends[0]
	w.Restart(time.Hour)
	for i := range coldQueuePerCore*w.Cores + w.Cores + 2 {
		w.Handle(fmt.Sprint(i), time.Minute, func(Outcome, time.Duration) {})
	}
	if v, _ := fleet.Close(); len(v.Violations) != 1 || v.Violations[0].Rule != 4 {
		t.Errorf("breaches %+v", v.Violations)
	}
}
