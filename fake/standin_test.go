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

const patience = 20 * time.Second

// eventually waits until something is so.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	late := time.After(patience)
	for !is() {
		select {
		case <-late:
			t.Fatalf("never %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// echoes serves an address that says back what it is told.
func echoes(t *testing.T) string {
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

func TestWire(t *testing.T) {
	w, err := NewFaultyLink(echoes(t))
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	dials := func() net.Conn {
		conn, err := net.Dial("tcp", w.Address())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		return conn
	}
	says := func(conn net.Conn, word string) error {
		conn.Write([]byte(word))
		got := make([]byte, len(word))
		_, err := io.ReadFull(conn, got)
		if err == nil && string(got) != word {
			err = fmt.Errorf("got %q", got)
		}
		return err
	}
	a := dials()
	defer a.Close()
	if err := says(a, "one"); err != nil {
		t.Fatal(err)
	}
	for name, fault := range map[string]Fault{"both ways": Cut, "out": {DropOutgoing: true}, "back": {DropIncoming: true}} {
		t.Run("what is sent during a cut "+name+" comes after it", func(t *testing.T) {
			w.Set(fault)
			a.Write([]byte("two"))
			got := make([]byte, 3)
			a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if n, _ := a.Read(got); n > 0 {
				t.Errorf("%q came through", got[:n])
			}
			w.Set(Fault{})
			a.SetReadDeadline(time.Now().Add(patience))
			if _, err := io.ReadFull(a, got); err != nil || string(got) != "two" {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
	t.Run("shut, open calls are reset and new ones refused", func(t *testing.T) {
		w.Set(Fault{RefuseConnections: true})
		if err := says(a, "x"); err == nil {
			t.Error("an open call went on")
		}
		if b, err := net.Dial("tcp", w.Address()); err == nil { // it may be reset as it comes up, or after
			b.SetDeadline(time.Now().Add(patience))
			if err := says(b, "x"); err == nil {
				t.Error("a new call was taken")
			}
			b.Close()
		}
		w.Set(Fault{})
		c := dials()
		defer c.Close()
		if err := says(c, "back"); err != nil {
			t.Error(err)
		}
	})
}

// around makes an installation with one controller that the story plays.
func around(t *testing.T) (*Fleet, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in, err := NewFleet(FleetConfig{Zones: []string{"a"}, Backends: 3, Cores: 1, ServiceTime: 2 * time.Millisecond, Proxies: 1, Fenced: true,
		Classes: []Class{{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Rate: 200},
			{Name: "write", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 2, Writes: true, Rate: 200}},
		ReportInterval: 50 * time.Millisecond, Seed: 1},
		invariant.Limits{MaxEmptyTable: time.Minute, DrainGrace: time.Minute}, []string{l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	return in, l
}

// controls is a controller's end of a relay's stream.
type controls struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

// takes accepts connections until a relay's comes; others are read and answered nothing.
func takes(t *testing.T, l net.Listener) *controls {
	t.Helper()
	for {
		l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		c := &controls{t, conn, bufio.NewReader(conn)}
		if strings.Contains(c.hears(), `"hello"`) {
			return c
		}
		go io.Copy(io.Discard, conn)
		t.Cleanup(func() { conn.Close() })
	}
}

func (c *controls) hears() string {
	c.Helper()
	body, err := readFrame(c.in)
	if err != nil {
		c.Fatal(err)
	}
	return string(body)
}

func (c *controls) says(text string) {
	c.Helper()
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)); err != nil {
		c.Fatal(err)
	}
}

// hearsOf reads until a message of some kind comes.
func (c *controls) hearsOf(word string) string {
	c.Helper()
	for {
		if body := c.hears(); strings.Contains(body, `"msg":"`+word+`"`) {
			return body
		}
	}
}

func TestRelay(t *testing.T) {
	in, l := around(t)
	defer l.Close()
	in.Start()
	c := takes(t, l)
	c.says(`{"msg":"alive"}`)
	c.says(`{"msg":"push","token":5,"whole":true,"lines":[["w-00",1],["w-01",1]],"ticket":7}`)
	if got := c.hearsOf("ack"); !strings.Contains(got, `"nonce":7`) {
		t.Errorf("answered %s", got)
	}
	holds := func(worker string, n int) {
		t.Helper()
		eventually(t, fmt.Sprintf("%d relays hold %s", n, worker), func() bool { return in.ProxiesUsing(worker) == n })
	}
	holds("w-00", 1)
	t.Run("a message in parts is applied whole; a class is meant alone", func(t *testing.T) {
		c.says(`{"msg":"push","token":5,"classes":["read"],"lines":[["w-00",0]],"more":true}`)
		c.says(`{"msg":"push","token":5,"out":["w-01"],"lines":[["w-02",1]],"ticket":8}`)
		c.hearsOf("ack")
		holds("w-01", 0)
		holds("w-02", 1)
		holds("w-00", 1) // for writes
	})
	t.Run("an order with an older token is refused, and answered", func(t *testing.T) {
		c.says(`{"msg":"push","token":4,"back":["w-01"],"ticket":9}`)
		c.hearsOf("ack")
		holds("w-01", 0)
		eventually(t, "counted", func() bool { return in.Counts().Refusals == 1 })
	})
	t.Run("requests are sent where the tables say, reports and demand are told", func(t *testing.T) {
		eventually(t, "served", func() bool { return in.Counts().Served > 20 })
		if got := c.hearsOf("demand"); !strings.Contains(got, `"route":`) {
			t.Errorf("told %s", got)
		}
	})
	t.Run("a hung worker answers nothing, one that refuses proves it, and a write is not tried again without proof", func(t *testing.T) {
		in.Backends[0].SetMode(ModeFailFast)
		in.Backends[2].SetMode(ModeFailFast)
		lost, tries := in.Counts().Lost, in.Counts().Tries
		eventually(t, "lost", func() bool { return in.Counts().Lost > lost+10 })
		if after := in.Counts(); after.Tries-tries > 3*(after.Came) {
			t.Errorf("%d tries", after.Tries-tries)
		}
		in.Backends[0].SetMode(ModeRefuse)
		in.Backends[2].SetMode(ModeHealthy)
		served := in.Counts().Served
		eventually(t, "served by the other", func() bool { return in.Counts().Served > served+20 })
	})
	t.Run("a level lets in no more a second", func(t *testing.T) {
		c.says(`{"msg":"push","token":5,"level":1,"retry":0,"ticket":10}`)
		c.hearsOf("ack")
		refused := in.Counts().Refused
		eventually(t, "refused", func() bool { return in.Counts().Refused > refused+50 })
	})
	t.Run("what cannot be used ends the stream, and the relay dials again with what it has", func(t *testing.T) {
		c.says(`{"msg":"push","lines":[["nobody",1]]}`)
		c2 := takes(t, l)
		holds("w-02", 1)
		c2.Close()
	})
	verdict, counts := in.Close()
	if len(verdict.Breaches) > 0 || verdict.Effects == 0 || counts.Streams == 0 {
		t.Errorf("verdict %+v, counts %+v", verdict, counts)
	}
}

func TestDiscovery(t *testing.T) {
	in, l := around(t)
	defer l.Close()
	defer in.Close()
	asks := func(query string) (a answer) {
		t.Helper()
		response, err := http.Get("http://" + in.Discovery.Address() + "/api/targets" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
		return a
	}
	whole := asks("")
	if !whole.Full || len(whole.Servers) != 3 {
		t.Fatalf("got %+v", whole)
	}
	if a := asks(fmt.Sprintf("?since=%d&timeout_ms=1", whole.Version)); len(a.Servers) != 0 || a.Full {
		t.Errorf("nothing new, got %+v", a)
	}
	told := make(chan answer)
	go func() { told <- asks(fmt.Sprintf("?since=%d&timeout_ms=20000", whole.Version)) }()
	in.Discovery.Publish("draining", in.Backends[1])
	if a := <-told; len(a.Servers) != 1 || a.Servers[0].State != "draining" || a.Version <= whole.Version {
		t.Errorf("a watch got %+v", a)
	}
	in.Backends[2].Restart(time.Second)
	in.Discovery.Publish("up", in.Backends[2])
	in.Discovery.Publish("removed", in.Backends[0])
	a := asks("")
	if at := slices.IndexFunc(a.Servers, func(e entry) bool { return e.ID == "w-02" }); len(a.Servers) != 2 || a.Servers[at].Started == 0 {
		t.Errorf("got %+v", a)
	}
}

func TestColdWorker(t *testing.T) {
	in, l := around(t)
	defer l.Close()
	w := in.Backends[0]
	w.Restart(time.Hour)
	for i := range coldQueue*w.Cores + w.Cores + 2 {
		w.Handle(fmt.Sprint(i), time.Minute, func(Outcome, time.Duration) {})
	}
	if v, _ := in.Close(); len(v.Breaches) != 1 || v.Breaches[0].Rule != 4 {
		t.Errorf("breaches %+v", v.Breaches)
	}
}
