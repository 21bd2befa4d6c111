package controller

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

var twoEndpoints = listJSON(1, true, endpointJSON(0, "up"), endpointJSON(1, "up"))

const (
	hello   = `{"msg":"hello","node":3,"locality":"b","w":12.5,"cold":true}`
	agent   = `{"msg":"agent","locality":"a"}`
	probe   = `{"msg":"probe"}`
	reports = `{"msg":"outcomes","locality":"a","endpoint":"s-0","total":9,"errors":1,"rtt":41.7,"interval":1000.0}`
	usage   = `{"msg":"demand","node":3,"route":"write","total":9,"errors":0,"interval":1000.0}`
)

func TestServingConnections(t *testing.T) {
	t.Run("a proxy joins, gets a drain, and acknowledges pushes; a collector reports", func(t *testing.T) {
		d := newFakeDiscovery(t)
		address, logged := serve(t, d.address, twoEndpoints, nil)
		stranger := dial(t, address)
		stranger.send(probe)
		if got := string(stranger.receive()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("a probe is answered %q", got)
		}
		p, h := dial(t, address), newFakeProxy("read it", "write")
		for _, b := range frame(hello) { // in pieces
			p.Write([]byte{b})
		}
		if err := h.apply(p.receive()); err != nil || len(h.picks(1)) != 2 {
			t.Fatalf("error %v, got %+v", err, h)
		}
		many := slices.Concat(frame(fmt.Sprintf(`{"msg":"ack","node":3,"nonce":%d,"latency":3.1}`, h.nonces[0])),
			frame(usage), frame(usage), frame(probe))
		p.Write(many) // several in one go
		if got := string(p.receive()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("a proxy's probe is answered %q", got)
		}
		c := dial(t, address)
		c.send(agent)
		c.send(reports)
		c.send(usage)
		c.send(probe)
		c.receive()
		d.answers <- listJSON(2, false, endpointJSON(0, "draining"), endpointJSON(4, "up"))
		for !slices.Equal(h.picks(0), []string{"s-1", "s-4"}) {
			if err := h.apply(p.receive()); err != nil {
				t.Fatal(err)
			}
		}
		p.Close()
		logged.waitFor(t, "msg=proxy_disconnected proxy=3", 1)
	})
	t.Run("nothing is answered before the list is known", func(t *testing.T) {
		d := newFakeDiscovery(t)
		address, logged := serve(t, d.address, "null", nil)
		p := dial(t, address)
		p.send(probe)
		if text, _ := logged.read(); strings.Contains(text, "msg=ready") {
			t.Error("ready without a backend")
		}
		d.answers <- twoEndpoints
		p.receive()
		logged.waitFor(t, "msg=ready", 1)
	})
	t.Run("odd messages are skipped, unreadable ones end the stream", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		skipped := []string{`{}`, `{"msg":7}`, `{"msg":"lease"}`, `{"msg":"ack"}`, `{"msg":"ack","node":4,"nonce":1}`,
			`{"msg":"ack","node":3,"nonce":-1}`, `{"msg":"ack","node":3,"nonce":1e300}`, `{"msg":"ack","nonce":0.5}`,
			`{"msg":"demand","node":9,"route":"write","total":1,"interval":1}`, hello, agent, reports,
			`{"msg":"demand","node":3,"route":"lost","total":1,"interval":1}`, strings.Replace(hello, "3", "4", 1),
			`{"msg":"demand","node":3,"route":"write","total":1e99,"interval":1}`,
			`{"msg":"demand","node":3,"route":"write","total":1,"interval":-4}`,
			`{"msg":"demand","node":"3","route":"write","total":1,"interval":1,"further":[{"x":null}]}`}
		p := dial(t, address)
		p.send(hello)
		p.receive()
		for _, text := range skipped {
			p.send(text)
		}
		p.send(probe)
		if got := string(p.receive()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("got %q", got)
		}
		c := dial(t, address)
		c.send(agent)
		for _, change := range [][2]string{{`"s-0"`, `"s-9"`}, {`"s-0"`, `8`}, {`"a"`, `"z"`}, {`9`, `-9`}, {`9`, `"9"`},
			{`41.7`, `[]`}, {`"errors":1`, `"errors":1e9`}, {`41.7`, `41.7,"metrics":{"util":"high","queue":-1}`}, {`41.7`, `41.7,"metrics":3`}} {
			c.send(strings.Replace(reports, change[0], change[1], 1))
		}
		c.send(hello)
		c.send(probe)
		c.receive()
		logged.waitFor(t, "msg=message_skipped", 5)
		for _, raw := range []string{"\x00\x00\x00\x00", "\x00\x10\x00\x01", "\xff\xff\xff\xff", string(frame("{")),
			string(frame("[1]")), string(frame("null")), string(frame(strings.Repeat("[", 5000)))} {
			q := dial(t, address)
			q.send(strings.Replace(hello, "3", "7", 1))
			q.receive()
			q.Write([]byte(raw))
			if !q.isClosed() {
				t.Errorf("%.20q was taken", raw)
			}
		}
		for _, text := range []string{strings.Replace(hello, "3", "40", 1), strings.Replace(hello, `"b"`, `"q"`, 1),
			strings.Replace(agent, `"a"`, `7`, 1), strings.Repeat(" ", 20000) + hello} {
			q := dial(t, address)
			q.Write(frame(text))
			if !q.isRefused() {
				t.Errorf("%.40q was taken", text)
			}
		}
	})
	t.Run("an unidentified connection has one deadline, whatever it says and however slowly", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.identifyTimeout = 300 * time.Millisecond })
		began, push := time.Now(), `{"msg":"push","out":["s-0"]}`
		for what, bad := range map[string]string{"a report before it joined": string(frame(reports)),
			"usage before it joined": string(frame(usage)), "a mark": string(frame(`{"msg":"ack","node":3,"nonce":1}`)),
			"an order": string(frame(push)), "HTTP": "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "no object": string(frame("[]")),
			"half a hello": string(frame(hello)[:20]), "no length": "\x00\x00\x00\x00", "nothing": "",
			"too much": "\x7f\xff\xff\xff" + strings.Repeat("x", 9000)} {
			c := dial(t, address)
			if c.Write([]byte(bad)); !c.isRefused() {
				t.Errorf("%s: it was not refused", what)
			}
		}
		for size := range 40 { // each breaks off elsewhere, and that is one sort of line
			c := dial(t, address)
			c.Write(frame(hello)[:5+size])
			c.Close()
		}
		logged.waitFor(t, "msg=unidentified_closed", 3)
		if text, _ := logged.read(); strings.Count(text, "msg=unidentified_closed") > 10 {
			t.Errorf("too much is logged of unidentified connections: %s", text)
		}
		if spent := time.Since(began); spent > 2*time.Second {
			t.Errorf("all that took %v", spent) // only those that are not done saying something wait for the deadline
		}
		c, trickle := dial(t, address), dial(t, address)
		for range time.Tick(time.Millisecond) { // a probe renews nothing, nor does another byte
			_, err := c.Write(frame(probe))
			if _, late := trickle.Write([]byte(hello)[:1]); err != nil && late != nil {
				break
			}
		}
	})
	t.Run("what arrived while we stalled is read before anybody is judged late", func(t *testing.T) {
		m, _ := newIdleLoop(t)
		m.limits.identifyTimeout = time.Nanosecond
		here, there := net.Pipe()
		go there.Write(frame(hello))
		p := newConnection(here, 1, m, func(*connection) error { there.Close(); return nil })
		if err := p.readMessages(); p.kind != kindProxy {
			t.Errorf("it is a %v: %v", p.kind, err)
		}
	})
	t.Run("unidentified connections that say nothing are ended, and keep nobody out", func(t *testing.T) {
		d := newFakeDiscovery(t)
		address, logged := serve(t, d.address, twoEndpoints, func(l *limits) { l.maxUnidentified, l.identifyTimeout = 10, 200*time.Millisecond })
		p := dial(t, address)
		p.send(hello)
		p.receive()
		before := runtime.NumGoroutine()
		var silent []*client
		for range 100 {
			silent = append(silent, dial(t, address))
		}
		q, c := dial(t, address), dial(t, address)
		q.send(strings.Replace(hello, "3", "4", 1))
		q.receive()
		c.send(agent)
		c.send(probe)
		c.receive()
		for _, s := range silent {
			if !s.isRefused() {
				t.Error("an unidentified connection stayed")
			}
		}
		p.send(probe)
		p.receive()
		logged.waitFor(t, "msg=unidentified_closed", 1)
		for late := time.Now().Add(patience); runtime.NumGoroutine() > before+20; runtime.Gosched() {
			if time.Now().After(late) {
				t.Fatalf("%d goroutines before, %d after", before, runtime.NumGoroutine())
			}
		}
	})
	t.Run("a peer that reads nothing ends when a message does not leave in time", func(t *testing.T) {
		m, logged := newIdleLoop(t)
		m.limits.writeTimeout = 20 * time.Millisecond
		p := connectProxy(t, m, 1, 0, false) // its first table waits already
		p.run()
		if text, _ := logged.read(); !strings.Contains(fmt.Sprint(p.closeReason), "write: ") {
			t.Errorf("ended by %v: %s", p.closeReason, text)
		}
		m.iterate(func() {})
		if m.isCurrent(p) {
			t.Error("it is still joined")
		}
	})
	t.Run("while hundreds are silent, proxies that come back all at once take the places of their old streams", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.maxConnections, l.maxIdentified, l.maxUnidentified = 48, 42, 48 })
		var old, now []*client
		for round := range 2 {
			for range 100 {
				dial(t, address)
			}
			for node := range 40 {
				p := dial(t, address)
				p.send(strings.Replace(hello, "3", fmt.Sprint(node), 1))
				p.send(probe)
				if old = append(old, p); round == 1 {
					now = append(now, p)
				}
			}
		}
		for _, p := range now {
			p.receive()
		}
		for _, p := range old[:40] {
			for p.SetReadDeadline(time.Now().Add(patience)); ; {
				if _, err := p.in.ReadByte(); err != nil {
					break
				}
			}
		}
		if text, _ := logged.read(); strings.Contains(text, errNoRoom.Error()) {
			t.Error("one of them found no room")
		}
	})
	t.Run("of a zone's collectors the newest stay, and beyond the budget nobody is taken", func(t *testing.T) {
		address, _ := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.maxIdentified = 4 })
		var all []*client
		for range 3 {
			c := dial(t, address)
			c.send(agent)
			c.send(probe)
			c.receive()
			all = append(all, c)
		}
		if !all[0].isClosed() {
			t.Error("the oldest stayed")
		}
		for node := range 3 {
			p := dial(t, address)
			p.send(strings.Replace(hello, "3", fmt.Sprint(node), 1))
			if node < 2 {
				p.receive()
			} else if !p.isRefused() {
				t.Error("one beyond the budget was taken")
			}
		}
	})
	t.Run("without a descriptor left the oldest unidentified connection makes room", func(t *testing.T) {
		m, logged := newIdleLoop(t)
		ctx, stop := context.WithCancel(t.Context())
		here, there := net.Pipe()
		defer here.Close()
		short := &shortListener{Listener: &net.TCPListener{}, conns: []net.Conn{there, nil, nil}, done: ctx.Done()}
		ended := make(chan error)
		s := &server{limits: m.limits, loop: m, log: m.log}
		go func() { ended <- s.run(ctx, short) }()
		logged.waitFor(t, "msg=accept_failed", 1)
		logged.waitFor(t, "msg=unidentified_closed", 1)
		stop()
		if err := <-ended; err != nil {
			t.Errorf("ended with %v", err)
		}
	})
	t.Run("an address that cannot be had is an error", func(t *testing.T) {
		taken, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer taken.Close()
		c, err := New(Identity{Listen: taken.Addr().String()}, configuration("127.0.0.1:9", twoEndpoints), NewLogger(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Serve(t.Context()); err == nil || !strings.Contains(err.Error(), "listen") {
			t.Errorf("error %v", err)
		}
	})
}

// shortListener is a listener that hands out connections, or for nil an error, and then waits.
type shortListener struct {
	net.Listener
	conns []net.Conn
	done  <-chan struct{}
}

func (s *shortListener) Close() error { return nil }

func (s *shortListener) Accept() (net.Conn, error) {
	if len(s.conns) == 0 {
		<-s.done
		return nil, net.ErrClosed
	}
	conn := s.conns[0]
	if s.conns = s.conns[1:]; conn == nil {
		return nil, syscall.EMFILE
	}
	return conn, nil
}
