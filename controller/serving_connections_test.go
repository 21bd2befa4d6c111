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
	t.Run("a proxy connects, acknowledges a push and receives a drain; a collector reports", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		address, logged := serve(t, discovery.address, twoEndpoints, nil)
		unidentified := dial(t, address)
		unidentified.send(probe)
		if got := string(unidentified.receive()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("an unidentified connection's probe is answered with %q", got)
		}
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		for _, b := range frame(hello) { // the hello is sent one byte per write
			proxy.Write([]byte{b})
		}
		if err := fake.apply(proxy.receive()); err != nil || len(fake.picks(1)) != 2 {
			t.Fatalf("error %v, got %+v, want two picks", err, fake)
		}
		messages := slices.Concat(frame(fmt.Sprintf(`{"msg":"ack","node":3,"nonce":%d,"latency":3.1}`, fake.nonces[0])),
			frame(demandReport), frame(demandReport), frame(probe))
		proxy.Write(messages) // several messages in one write
		if got := string(proxy.receive()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("a proxy's probe is answered with %q", got)
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
	t.Run("a probe is not answered before the list is known", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		address, logged := serve(t, discovery.address, "null", nil)
		proxy := dial(t, address)
		proxy.send(probe)
		if text, _ := logged.read(); strings.Contains(text, "msg=ready") {
			t.Error("the controller is ready without a known backend")
		}
		discovery.answers <- twoEndpoints
		proxy.receive()
		logged.waitFor(t, "msg=ready", 1)
	})
	t.Run("invalid messages are skipped, unreadable ones end the connection", func(t *testing.T) {
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
			t.Errorf("the probe after the invalid messages is answered with %q", got)
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
			if texts, err := otherProxy.readRest(); err != nil || len(texts) != 1 || !strings.Contains(texts[0], errUnreadable.Error()) {
				t.Errorf("after %.20q the proxy got %q, error %v, want one error message and the end", raw, texts, err)
			}
		}
		for _, text := range []string{strings.Replace(hello, "3", "40", 1), strings.Replace(hello, `"b"`, `"q"`, 1),
			strings.Replace(agent, `"a"`, `7`, 1), strings.Repeat(" ", 20000) + hello} {
			otherProxy := dial(t, address)
			otherProxy.Write(frame(text))
			if !otherProxy.isRefused() {
				t.Errorf("the first message %.40q was not refused", text)
			}
		}
	})
	t.Run("an unidentified connection has one deadline, whatever it sends and however slowly", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.identifyTimeout = 300 * time.Millisecond })
		began, push := time.Now(), `{"msg":"push","out":["s-0"]}`
		for name, invalid := range map[string]string{"an outcomes report": string(frame(outcomesReport)),
			"a demand report":    string(frame(demandReport)),
			"an acknowledgement": string(frame(`{"msg":"ack","node":3,"nonce":1}`)),
			"a push":             string(frame(push)), "HTTP": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			"not an object": string(frame("[]")),
			"half a hello":  string(frame(hello)[:20]), "length 0": "\x00\x00\x00\x00", "nothing": "",
			"length too large": "\x7f\xff\xff\xff" + strings.Repeat("x", 9000)} {
			caller := dial(t, address)
			if caller.Write([]byte(invalid)); !caller.isRefused() {
				t.Errorf("%s: the connection was not refused", name)
			}
		}
		for size := range 40 { // each connection ends after a different number of bytes; all cause one kind of log line
			caller := dial(t, address)
			caller.Write(frame(hello)[:5+size])
			caller.Close()
		}
		logged.waitFor(t, "msg=unidentified_closed", 3)
		if text, _ := logged.read(); strings.Count(text, "msg=unidentified_closed") > 10 {
			t.Errorf("more than 10 log lines about unidentified connections: %s", text)
		}
		if spent := time.Since(began); spent > 2*time.Second {
			// Only connections with an incomplete message stay open until the deadline for
			// identification.
			t.Errorf("took %v, want at most 2s", spent)
		}
		prober, trickle := dial(t, address), dial(t, address)
		// Neither a probe nor a further byte extends the deadline for identification.
		for range time.Tick(time.Millisecond) {
			_, probeErr := prober.Write(frame(probe))
			if _, trickleErr := trickle.Write([]byte(hello)[:1]); probeErr != nil && trickleErr != nil {
				break
			}
		}
	})
	t.Run("bytes that arrived while the process stalled are read after the deadline", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		loop.limits.identifyTimeout = time.Nanosecond
		local, remote := net.Pipe()
		go remote.Write(frame(hello))
		conn := newConnection(local, 1, loop, func(*connection) error { remote.Close(); return nil })
		if err := conn.readMessages(); conn.kind != kindProxy {
			t.Errorf("kind %v, want proxy; error %v", conn.kind, err)
		}
	})
	t.Run("silent unidentified connections are closed, and do not block others", func(t *testing.T) {
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
				t.Error("a silent connection was not refused")
			}
		}
		proxy.send(probe)
		proxy.receive()
		logged.waitFor(t, "msg=unidentified_closed", 1)
		for deadline := time.Now().Add(testTimeout); runtime.NumGoroutine() > before+20; runtime.Gosched() {
			if time.Now().After(deadline) {
				t.Fatalf("%d goroutines before, %d after", before, runtime.NumGoroutine())
			}
		}
	})
	t.Run("a connection whose peer reads nothing ends after the write timeout", func(t *testing.T) {
		loop, logged := newIdleLoop(t)
		loop.limits.writeTimeout = 20 * time.Millisecond
		conn := connectProxy(t, loop, 1, 0, false) // the proxy's first table is already in the outbox
		conn.run()
		if text, _ := logged.read(); !strings.Contains(fmt.Sprint(conn.closeReason), "write: ") {
			t.Errorf("closed with %v, want a write error: %s", conn.closeReason, text)
		}
		loop.iterate(func() {})
		if loop.isCurrent(conn) {
			t.Error("the proxy is still connected")
		}
	})
	t.Run("while many connections are silent, reconnecting proxies replace their old connections", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.maxConnections, l.maxIdentified, l.maxUnidentified = 48, 42, 48 })
		var all, current []*client
		for round := range 2 {
			for range 100 {
				dial(t, address)
			}
			for node := range 40 {
				proxy := dial(t, address)
				proxy.send(strings.Replace(hello, "3", fmt.Sprint(node), 1))
				proxy.send(probe)
				if all = append(all, proxy); round == 1 {
					current = append(current, proxy)
				}
			}
		}
		for _, proxy := range current {
			proxy.receive()
		}
		for _, proxy := range all[:40] {
			for proxy.SetReadDeadline(time.Now().Add(testTimeout)); ; {
				if _, err := proxy.in.ReadByte(); err != nil {
					break
				}
			}
		}
		if text, _ := logged.read(); strings.Contains(text, errNoRoom.Error()) {
			t.Error("a reconnecting proxy was refused at the connection limit")
		}
	})
	t.Run("the newest collectors of a zone stay, and connections beyond maxIdentified are refused", func(t *testing.T) {
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
			t.Error("the oldest of three collectors was not closed")
		}
		for node := range 3 {
			proxy := dial(t, address)
			proxy.send(strings.Replace(hello, "3", fmt.Sprint(node), 1))
			if node < 2 {
				proxy.receive()
			} else if !proxy.isRefused() {
				t.Error("a connection beyond maxIdentified was not refused")
			}
		}
	})
	t.Run("when file descriptors run out, the oldest unidentified connection is evicted", func(t *testing.T) {
		loop, logged := newIdleLoop(t)
		ctx, stop := context.WithCancel(t.Context())
		remote, local := net.Pipe()
		defer remote.Close()
		listener := &scriptedListener{Listener: &net.TCPListener{}, conns: []net.Conn{local, nil, nil}, done: ctx.Done()}
		ended := make(chan error)
		s := &server{limits: loop.limits, loop: loop, log: loop.log}
		go func() { ended <- s.run(ctx, listener) }()
		logged.waitFor(t, "msg=accept_failed", 1)
		logged.waitFor(t, "msg=unidentified_closed", 1)
		stop()
		if err := <-ended; err != nil {
			t.Errorf("run returned %v, want nil", err)
		}
	})
	t.Run("Serve returns an error if its address is in use", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		c, err := New(Identity{Listen: listener.Addr().String()}, configuration("127.0.0.1:9", twoEndpoints),
			NewLogger(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Serve(t.Context()); err == nil || !strings.Contains(err.Error(), "listen") {
			t.Errorf("error %v, want one about listen", err)
		}
	})
}

// scriptedListener is a listener that returns the given connections, with the error EMFILE in place
// of a nil connection, and then blocks until done is closed.
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
