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
	hello          = `{"msg":"hello","node":3,"locality":"b","w":12.5,"cold":true}`
	agent          = `{"msg":"agent","locality":"a"}`
	probe          = `{"msg":"probe"}`
	outcomesReport = `{"msg":"outcomes","locality":"a","endpoint":"s-0","total":9,"errors":1,"rtt":41.7,"interval":1000.0}`
	demandReport   = `{"msg":"demand","node":3,"route":"write","total":9,"errors":0,"interval":1000.0}`
)

func TestServingConnections(t *testing.T) {
	t.Run("a proxy joins, gets a drain, and acknowledges pushes; a collector reports", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		address, logged := serve(t, discovery.address, twoEndpoints, nil)
		stranger := dial(t, address)
		stranger.send(probe)
		if got := string(stranger.receive()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("a probe is answered %q", got)
		}
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		for _, b := range frame(hello) { // in pieces
			proxy.Write([]byte{b})
		}
		if err := fake.apply(proxy.receive()); err != nil || len(fake.picks(1)) != 2 {
			t.Fatalf("error %v, got %+v", err, fake)
		}
		many := slices.Concat(frame(fmt.Sprintf(`{"msg":"ack","node":3,"nonce":%d,"latency":3.1}`, fake.nonces[0])),
			frame(demandReport), frame(demandReport), frame(probe))
		proxy.Write(many) // several in one go
		if got := string(proxy.receive()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("a proxy's probe is answered %q", got)
		}
		caller := dial(t, address)
		caller.send(agent)
		caller.send(outcomesReport)
		caller.send(demandReport)
		caller.send(probe)
		caller.receive()
		discovery.answers <- listJSON(2, false, endpointJSON(0, "draining"), endpointJSON(4, "up"))
		for !slices.Equal(fake.picks(0), []string{"s-1", "s-4"}) {
			if err := fake.apply(proxy.receive()); err != nil {
				t.Fatal(err)
			}
		}
		proxy.Close()
		logged.waitFor(t, "msg=proxy_disconnected proxy=3", 1)
	})
	t.Run("nothing is answered before the list is known", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		address, logged := serve(t, discovery.address, "null", nil)
		proxy := dial(t, address)
		proxy.send(probe)
		if text, _ := logged.read(); strings.Contains(text, "msg=ready") {
			t.Error("ready without a backend")
		}
		discovery.answers <- twoEndpoints
		proxy.receive()
		logged.waitFor(t, "msg=ready", 1)
	})
	t.Run("odd messages are skipped, unreadable ones end the stream", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		skipped := []string{`{}`, `{"msg":7}`, `{"msg":"lease"}`, `{"msg":"ack"}`, `{"msg":"ack","node":4,"nonce":1}`,
			`{"msg":"ack","node":3,"nonce":-1}`, `{"msg":"ack","node":3,"nonce":1e300}`, `{"msg":"ack","nonce":0.5}`,
			`{"msg":"demand","node":9,"route":"write","total":1,"interval":1}`, hello, agent, outcomesReport,
			`{"msg":"demand","node":3,"route":"lost","total":1,"interval":1}`, strings.Replace(hello, "3", "4", 1),
			`{"msg":"demand","node":3,"route":"write","total":1e99,"interval":1}`,
			`{"msg":"demand","node":3,"route":"write","total":1,"interval":-4}`,
			`{"msg":"demand","node":"3","route":"write","total":1,"interval":1,"further":[{"x":null}]}`}
		proxy := dial(t, address)
		proxy.send(hello)
		proxy.receive()
		for _, text := range skipped {
			proxy.send(text)
		}
		proxy.send(probe)
		if got := string(proxy.receive()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("got %q", got)
		}
		caller := dial(t, address)
		caller.send(agent)
		for _, change := range [][2]string{{`"s-0"`, `"s-9"`}, {`"s-0"`, `8`}, {`"a"`, `"z"`}, {`9`, `-9`}, {`9`, `"9"`},
			{`41.7`, `[]`}, {`"errors":1`, `"errors":1e9`}, {`41.7`, `41.7,"metrics":{"util":"high","queue":-1}`}, {`41.7`, `41.7,"metrics":3`}} {
			caller.send(strings.Replace(outcomesReport, change[0], change[1], 1))
		}
		caller.send(hello)
		caller.send(probe)
		caller.receive()
		logged.waitFor(t, "msg=message_skipped", 5)
		for _, raw := range []string{"\x00\x00\x00\x00", "\x00\x10\x00\x01", "\xff\xff\xff\xff", string(frame("{")),
			string(frame("[1]")), string(frame("null")), string(frame(strings.Repeat("[", 5000)))} {
			otherProxy := dial(t, address)
			otherProxy.send(strings.Replace(hello, "3", "7", 1))
			otherProxy.receive()
			otherProxy.Write([]byte(raw))
			if !otherProxy.isClosed() {
				t.Errorf("%.20q was taken", raw)
			}
		}
		for _, text := range []string{strings.Replace(hello, "3", "40", 1), strings.Replace(hello, `"b"`, `"q"`, 1),
			strings.Replace(agent, `"a"`, `7`, 1), strings.Repeat(" ", 20000) + hello} {
			otherProxy := dial(t, address)
			otherProxy.Write(frame(text))
			if !otherProxy.isRefused() {
				t.Errorf("%.40q was taken", text)
			}
		}
	})
	t.Run("an unidentified connection has one deadline, whatever it says and however slowly", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.identifyTimeout = 300 * time.Millisecond })
		began, push := time.Now(), `{"msg":"push","out":["s-0"]}`
		for what, bad := range map[string]string{"a report before it joined": string(frame(outcomesReport)),
			"usage before it joined": string(frame(demandReport)), "a mark": string(frame(`{"msg":"ack","node":3,"nonce":1}`)),
			"an order": string(frame(push)), "HTTP": "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "no object": string(frame("[]")),
			"half a hello": string(frame(hello)[:20]), "no length": "\x00\x00\x00\x00", "nothing": "",
			"too much": "\x7f\xff\xff\xff" + strings.Repeat("x", 9000)} {
			caller := dial(t, address)
			if caller.Write([]byte(bad)); !caller.isRefused() {
				t.Errorf("%s: it was not refused", what)
			}
		}
		for size := range 40 { // each breaks off elsewhere, and that is one sort of line
			caller := dial(t, address)
			caller.Write(frame(hello)[:5+size])
			caller.Close()
		}
		logged.waitFor(t, "msg=unidentified_closed", 3)
		if text, _ := logged.read(); strings.Count(text, "msg=unidentified_closed") > 10 {
			t.Errorf("too much is logged of unidentified connections: %s", text)
		}
		if spent := time.Since(began); spent > 2*time.Second {
			t.Errorf("all that took %v", spent) // only those that are not done saying something wait for the deadline
		}
		caller, trickle := dial(t, address), dial(t, address)
		for range time.Tick(time.Millisecond) { // a probe renews nothing, nor does another byte
			_, err := caller.Write(frame(probe))
			if _, late := trickle.Write([]byte(hello)[:1]); err != nil && late != nil {
				break
			}
		}
	})
	t.Run("what arrived while we stalled is read before anybody is judged late", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		loop.limits.identifyTimeout = time.Nanosecond
		here, there := net.Pipe()
		go there.Write(frame(hello))
		conn := newConnection(here, 1, loop, func(*connection) error { there.Close(); return nil })
		if err := conn.readMessages(); conn.kind != kindProxy {
			t.Errorf("it is a %v: %v", conn.kind, err)
		}
	})
	t.Run("unidentified connections that say nothing are ended, and keep nobody out", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		address, logged := serve(t, discovery.address, twoEndpoints, func(l *limits) { l.maxUnidentified, l.identifyTimeout = 10, 200*time.Millisecond })
		proxy := dial(t, address)
		proxy.send(hello)
		proxy.receive()
		before := runtime.NumGoroutine()
		var silent []*client
		for range 100 {
			silent = append(silent, dial(t, address))
		}
		otherProxy, caller := dial(t, address), dial(t, address)
		otherProxy.send(strings.Replace(hello, "3", "4", 1))
		otherProxy.receive()
		caller.send(agent)
		caller.send(probe)
		caller.receive()
		for _, s := range silent {
			if !s.isRefused() {
				t.Error("an unidentified connection stayed")
			}
		}
		proxy.send(probe)
		proxy.receive()
		logged.waitFor(t, "msg=unidentified_closed", 1)
		for late := time.Now().Add(testTimeout); runtime.NumGoroutine() > before+20; runtime.Gosched() {
			if time.Now().After(late) {
				t.Fatalf("%d goroutines before, %d after", before, runtime.NumGoroutine())
			}
		}
	})
	t.Run("a peer that reads nothing ends when a message does not leave in time", func(t *testing.T) {
		loop, logged := newIdleLoop(t)
		loop.limits.writeTimeout = 20 * time.Millisecond
		conn := connectProxy(t, loop, 1, 0, false) // its first table waits already
		conn.run()
		if text, _ := logged.read(); !strings.Contains(fmt.Sprint(conn.closeReason), "write: ") {
			t.Errorf("ended by %v: %s", conn.closeReason, text)
		}
		loop.iterate(func() {})
		if loop.isCurrent(conn) {
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
				proxy := dial(t, address)
				proxy.send(strings.Replace(hello, "3", fmt.Sprint(node), 1))
				proxy.send(probe)
				if old = append(old, proxy); round == 1 {
					now = append(now, proxy)
				}
			}
		}
		for _, proxy := range now {
			proxy.receive()
		}
		for _, proxy := range old[:40] {
			for proxy.SetReadDeadline(time.Now().Add(testTimeout)); ; {
				if _, err := proxy.in.ReadByte(); err != nil {
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
			caller := dial(t, address)
			caller.send(agent)
			caller.send(probe)
			caller.receive()
			all = append(all, caller)
		}
		if !all[0].isClosed() {
			t.Error("the oldest stayed")
		}
		for node := range 3 {
			proxy := dial(t, address)
			proxy.send(strings.Replace(hello, "3", fmt.Sprint(node), 1))
			if node < 2 {
				proxy.receive()
			} else if !proxy.isRefused() {
				t.Error("one beyond the budget was taken")
			}
		}
	})
	t.Run("without a descriptor left the oldest unidentified connection makes room", func(t *testing.T) {
		loop, logged := newIdleLoop(t)
		ctx, stop := context.WithCancel(t.Context())
		here, there := net.Pipe()
		defer here.Close()
		short := &scriptedListener{Listener: &net.TCPListener{}, conns: []net.Conn{there, nil, nil}, done: ctx.Done()}
		ended := make(chan error)
		s := &server{limits: loop.limits, loop: loop, log: loop.log}
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

// scriptedListener is a listener that hands out connections, or for nil an error, and then waits.
type scriptedListener struct {
	net.Listener
	conns []net.Conn
	done  <-chan struct{}
}

func (s *scriptedListener) Close() error { return nil }

func (s *scriptedListener) Accept() (net.Conn, error) {
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
