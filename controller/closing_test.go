package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

// closeWriting closes the sending side of a connection. The client can still read.
func (caller *client) closeWriting() {
	caller.Helper()
	if err := caller.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		caller.Fatal(err)
	}
}

// reset closes the connection with a TCP reset.
func (caller *client) reset() {
	caller.Conn.(*net.TCPConn).SetLinger(0)
	caller.Close()
}

// readRest reads messages until the controller closes the connection. A reset is an error.
func (caller *client) readRest() (texts []string, err error) {
	raw, err := io.ReadAll(caller.in)
	for len(raw) >= lengthSize {
		size := int(uint32(raw[0])<<24 | uint32(raw[1])<<16 | uint32(raw[2])<<8 | uint32(raw[3]))
		if len(raw) < lengthSize+size {
			return texts, fmt.Errorf("%d bytes of a frame of %d", len(raw)-lengthSize, size)
		}
		texts, raw = append(texts, string(raw[lengthSize:lengthSize+size])), raw[lengthSize+size:]
	}
	return texts, err
}

const aliveReply = `{"msg":"alive"}`

func helloOf(node int) string { return strings.Replace(hello, "3", fmt.Sprint(node), 1) }

func TestClosingConnections(t *testing.T) {
	t.Run("a probe before a half-close is answered, but not before readiness", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		address, logged := serve(t, discovery.address, "null", func(l *limits) { l.identifyTimeout = testTimeout })
		prober := dial(t, address)
		prober.send(probe)
		prober.closeWriting()
		silent := dial(t, address)
		silent.closeWriting()
		// The controller is not ready yet and closes the silent connection, because no answer waits
		// in the connection's outbox.
		logged.waitFor(t, "msg=unidentified_closed", 1)
		discovery.answers <- twoEndpoints
		if texts, err := prober.readRest(); err != nil || len(texts) != 1 || texts[0] != aliveReply {
			t.Errorf("got %q, error %v, want %q", texts, err, aliveReply)
		}
	})
	t.Run("an answer that waits for readiness does not extend the identification timeout", func(t *testing.T) {
		address, _ := serve(t, newFakeDiscovery(t).address, "null", func(l *limits) { l.identifyTimeout = 50 * time.Millisecond })
		prober := dial(t, address)
		prober.send(probe)
		prober.closeWriting()
		if texts, err := prober.readRest(); err != nil || len(texts) != 0 {
			t.Errorf("got %q, error %v, want no message", texts, err)
		}
	})
	t.Run("a collector's last report before its half-close is processed", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		caller := dial(t, address)
		caller.Write(bytes.Join([][]byte{frame(agent), frame(strings.Replace(outcomesReport, "s-0", "s-last", 1)), frame(probe)}, nil))
		caller.closeWriting()
		if texts, err := caller.readRest(); err != nil || len(texts) != 1 || texts[0] != aliveReply {
			t.Errorf("got %q, error %v, want %q", texts, err, aliveReply)
		}
		logged.waitFor(t, "msg=report_for_unknown_backend backend=s-last", 1)
	})
	t.Run("a proxy's last acknowledgement before its half-close is processed", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		proxy.send(hello)
		if err := fake.apply(proxy.receive()); err != nil || len(fake.nonces) != 1 {
			t.Fatalf("error %v, nonces %v, want one nonce", err, fake.nonces)
		}
		ack := fmt.Sprintf(`{"msg":"ack","node":3,"nonce":%d}`, fake.nonces[0])
		// the controller logs the repeated ack as unknown
		proxy.Write(bytes.Join([][]byte{frame(ack), frame(ack), frame(probe)}, nil))
		proxy.closeWriting()
		texts, err := proxy.readRest()
		if err != nil || len(texts) == 0 || texts[len(texts)-1] != aliveReply {
			t.Errorf("got %q, error %v, want %q as the last message", texts, err, aliveReply)
		}
		logged.waitFor(t, "msg=ack_unknown proxy=3", 1)
		logged.waitFor(t, "msg=proxy_disconnected proxy=3 error=EOF", 1)
	})
	t.Run("a refusal reaches the peer in spite of unread input, and no reset follows", func(t *testing.T) {
		address, _ := serve(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		for name, first := range map[string][]byte{"not an object": frame("[]"),
			"report without identification": frame(outcomesReport), "unknown proxy": frame(helloOf(99)),
			"length 0": {0, 0, 0, 0}, "length too large": {0xff, 0, 0, 0}} {
			caller := dial(t, address)
			if _, err := caller.Write(append(first, bytes.Repeat([]byte("unread "), 10000)...)); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			texts, err := caller.readRest()
			if err != nil || len(texts) != 1 || !strings.HasPrefix(texts[0], `{"msg":"error","reason":"`) ||
				fastjson.Validate(texts[0]) != nil {
				t.Errorf("%s: got %q, error %v, want one error message and a regular end", name, texts, err)
			}
		}
	})
	t.Run("a refused connection that continues to send is closed", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		caller := dial(t, address)
		caller.Write(frame("[]"))
		for {
			if _, err := caller.Write(make([]byte, 64<<10)); err != nil {
				break
			}
		}
		logged.waitFor(t, "msg=unidentified_closed", 1)
	})
	t.Run("a proxy whose stream ends within a message is disconnected, and the message is ignored", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.logRepeatInterval = 0 })
		// Proxies 0 to 6 each send only the beginning of a report about proxy 9. The controller skips
		// and logs a complete report about another proxy, so the log would show if it handled a
		// truncated report as a complete one.
		text := strings.Replace(demandReport, `"node":3`, `"node":9`, 1)
		for node, cut := range []int{1, 3, 4, 5, 20, 40, len(text) + lengthSize - 1} {
			proxy := dial(t, address)
			proxy.send(helloOf(node))
			proxy.receive()
			proxy.Write(frame(text)[:cut])
			if node%2 == 0 {
				proxy.reset()
			} else {
				proxy.Close()
			}
			logged.waitFor(t, fmt.Sprintf("msg=proxy_disconnected proxy=%d", node), 1)
		}
		if text, _ := logged.read(); strings.Contains(text, "msg=message_skipped") {
			t.Errorf("a partial message was processed: %s", text)
		}
	})
	t.Run("a connection's end and its successor's hello can arrive in either order", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		var five []string
		for b := range 5 {
			five = append(five, endpointJSON(b, "up"))
		}
		address, logged := serve(t, discovery.address, listJSON(1, true, five...), nil)
		for version, closeOldFirst := range []bool{false, true, false} {
			old, proxy, fake := dial(t, address), dial(t, address), newFakeProxy("read it", "write")
			old.send(hello)
			old.receive()
			if closeOldFirst {
				old.Close()
				logged.waitFor(t, "msg=proxy_disconnected proxy=3", 1)
			}
			proxy.send(hello)
			if err := fake.apply(proxy.receive()); err != nil || len(fake.picks(0)) != 5-version {
				t.Fatalf("old connection closed first: %v: error %v, picks %v, want %d", closeOldFirst, err,
					fake.picks(0), 5-version)
			}
			if old.Close(); !closeOldFirst {
				if _, err := old.in.ReadByte(); err == nil {
					t.Error("the old connection stays open after the new one has identified itself")
				}
			}
			// The push that drains this backend arrives on the proxy's new connection.
			discovery.answers <- listJSON(2+version, false, endpointJSON(version, "draining"))
			for len(fake.picks(0)) > 4-version {
				if err := fake.apply(proxy.receive()); err != nil {
					t.Fatal(err)
				}
			}
			proxy.Close()
			logged.waitFor(t, "msg=connection_closed", 1)
		}
	})
	t.Run("an evicted connection whose hello arrives in time stays", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		loop.limits.finalReadTimeout = testTimeout
		local, remote := net.Pipe()
		defer remote.Close()
		conn := newConnection(local, 1, loop, func(*connection) error { return nil })
		conn.evict()
		ended := make(chan error, 1)
		go func() { ended <- conn.readMessages() }()
		remote.Write(frame(hello))
		// The reader still reads this report, although evict has moved the read deadline to the
		// past: the hello, which identifies the proxy, has removed the read deadline.
		remote.Write(frame(demandReport))
		remote.Close()
		if err := <-ended; err != io.EOF || conn.kind != kindProxy {
			t.Errorf("readMessages returned %v on a connection of kind %v, want EOF and proxy", err, conn.kind)
		}
	})
	t.Run("a write whose deadline passes while the process stalls continues where it stopped", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		// The write deadline is 1 ns, so it passes before the first byte is written.
		loop.limits.writeTimeout, loop.limits.finalReadTimeout = time.Nanosecond, testTimeout
		local, remote := net.Pipe()
		conn := newConnection(local, 1, loop, func(*connection) error { return nil })
		ended := make(chan error, 1)
		message := bytes.Repeat([]byte("order "), 1000)
		go func() { ended <- conn.deliver(message) }()
		got := make([]byte, len(message))
		if _, err := io.ReadFull(remote, got); err != nil || !bytes.Equal(got, message) {
			t.Errorf("error %v, or the peer received other bytes than the message", err)
		}
		if err := <-ended; err != nil {
			t.Errorf("deliver returned %v after a stall of the process, want nil", err)
		}
	})
}

func TestLateAndManyConnections(t *testing.T) {
	t.Run("a connection made between listen and readiness is served once the list is known", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		address, logged := serve(t, discovery.address, "null", nil)
		proxy, otherProxy, fake := dial(t, address), dial(t, address), newFakeProxy("read it", "write")
		proxy.send(hello)
		proxy.send(probe)
		otherProxy.send(probe)
		logged.waitFor(t, "msg=proxy_connected proxy=3", 1)
		discovery.answers <- twoEndpoints
		otherProxy.receive()
		if got := string(proxy.receive()[lengthSize:]); got != aliveReply {
			t.Errorf("first message %q, want %q", got, aliveReply)
		}
		if err := fake.apply(proxy.receive()); err != nil || len(fake.picks(0)) != 2 || len(fake.picks(1)) != 2 {
			t.Errorf("error %v, picks %v", err, fake.lines)
		}
	})
	t.Run("a flood of silent unidentified connections is evicted as fast as it arrives", func(t *testing.T) {
		// If the controller evicted the 200 connections one after the other, each would wait for
		// finalReadTimeout, which is testTimeout/200: the test would reach testTimeout and fail.
		address, _ := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) {
			l.maxUnidentified, l.identifyTimeout, l.minEvictAge, l.finalReadTimeout = 40, testTimeout, time.Millisecond, testTimeout/200
		})
		for range 200 {
			dial(t, address)
		}
		var proxies []*client
		for node := range 40 {
			proxy := dial(t, address)
			proxy.send(helloOf(node))
			proxies = append(proxies, proxy)
		}
		for _, proxy := range proxies {
			proxy.receive()
		}
	})
	t.Run("clients without a complete hello are refused at the deadline, and do not block proxies", func(t *testing.T) {
		address, _ := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.identifyTimeout, l.maxUnidentified = 300*time.Millisecond, 60 })
		var incomplete []*client
		for i := range 120 {
			caller := dial(t, address)
			switch i % 4 {
			case 0:
				caller.Write(frame(hello)[:1])
			case 1:
				// The prefix announces 16 KiB, the largest length allowed before identification,
				// but no body follows.
				caller.Write([]byte{0, 0, 64, 0})
			case 2:
				caller.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			}
			incomplete = append(incomplete, caller)
		}
		for node := range 40 {
			proxy := dial(t, address)
			proxy.send(helloOf(node))
			proxy.receive()
		}
		for _, caller := range incomplete {
			if !caller.isRefused() {
				t.Error("a connection without a complete hello was not refused")
			}
		}
	})
	t.Run("connections made during shutdown are closed, whether they were accepted or not", func(t *testing.T) {
		for range 10 {
			c, err := New(Identity{}, configuration(newFakeDiscovery(t).address, twoEndpoints), NewLogger(io.Discard))
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			logged := newLogBuffer()
			c.log = NewLogger(logged)
			ended := make(chan error, 1)
			go func() { ended <- c.Serve(ctx) }()
			logged.waitFor(t, "msg=serving", 1)
			text, _ := logged.read()
			address := regexp.MustCompile(`msg=serving .* listen=(\S+)`).FindStringSubmatch(text)[1]
			var all sync.WaitGroup
			for i := range 40 {
				all.Go(func() {
					if i == 20 {
						stop()
					}
					conn, err := net.DialTimeout("tcp", address, testTimeout)
					if err != nil {
						return // the connection is refused, as the listener is closed already
					}
					defer conn.Close()
					conn.Write(frame(helloOf(i)))
					conn.SetReadDeadline(time.Now().Add(testTimeout))
					if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
						t.Error("a connection was left open after shutdown")
					}
				})
			}
			all.Wait()
			if err := <-ended; err != nil {
				t.Errorf("Serve returned %v, want nil", err)
			}
		}
	})
}
