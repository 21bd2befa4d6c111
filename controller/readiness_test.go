package controller

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

func TestReadinessAtStart(t *testing.T) {
	const listKnown, discoveryAnswered = "the list is known", "discovery has answered"
	const timedOut = "nothing is known, and discovery keeps silent"
	for _, test := range []struct {
		name, known string // known is the endpoint list in the configuration
		answers     []string
		refuses     bool   // whether discovery refuses connections
		reason      string // logged reason for which the controller becomes ready
		picks       int    // number of backends in the proxy's first table; 0 for no table, -1 for any number
	}{
		{"discovery answers, a list is configured", twoEndpoints,
			[]string{listJSON(2, true, endpointJSON(0, "up"))}, false, listKnown, -1},
		{"discovery is silent, a list is configured", twoEndpoints, []string{"silence"}, false, listKnown, 2},
		{"discovery refuses, a list is configured", twoEndpoints, nil, true, listKnown, 2},
		{"discovery answers an older version than the configured list", listJSON(9, true, endpointJSON(0, "up")),
			[]string{twoEndpoints}, false, listKnown, 1},
		{"discovery answers, no list is configured", "null", []string{twoEndpoints}, false, listKnown, 2},
		{"discovery answers, the configured list is invalid", `{"version":3}`, []string{twoEndpoints}, false, listKnown, 2},
		{"discovery answers, the configured list is not an object", `7`, []string{twoEndpoints}, false, listKnown, 2},
		{"discovery answers an empty list", "null", []string{listJSON(4, true)}, false, discoveryAnswered, 0},
		{"discovery answers an empty list, the configured list is empty", listJSON(0, true),
			[]string{listJSON(4, true)}, false, discoveryAnswered, 0},
		{"discovery is silent, no list is configured", "null", []string{"silence"}, false, timedOut, 0},
		{"discovery refuses, no list is configured", "null", nil, true, timedOut, 0},
		{"discovery answers changes without a full list", "null",
			slices.Repeat([]string{listJSON(3, false, endpointJSON(0, "up"))}, 16), false, timedOut, 0},
		{"a discovery response is cut off, then discovery answers", "null",
			[]string{"half" + twoEndpoints, twoEndpoints}, false, listKnown, 2},
		{"discovery resets, fails, then answers", "null",
			[]string{"reset", "status 500", "{", twoEndpoints}, false, listKnown, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			discovery := newFakeDiscovery(t)
			for _, text := range test.answers {
				discovery.answers <- text
			}
			address := discovery.address
			if test.refuses {
				address = newRefusingAddress(t)
			}
			controllerAddress, logged := serve(t, address, test.known, func(l *limits) {
				if l.readyTimeout = testTimeout; test.reason == timedOut {
					l.readyTimeout = 300 * time.Millisecond
				}
			})
			caller, proxy, fake := dial(t, controllerAddress), dial(t, controllerAddress), newFakeProxy("read it", "write")
			caller.send(probe) // the controller may not be ready yet; it answers the probe once it is ready
			if got := string(caller.receive()[lengthSize:]); got != aliveReply {
				t.Errorf("probe answered with %q, want %q", got, aliveReply)
			}
			logged.waitFor(t, "msg=ready", 1)
			if text, _ := logged.read(); !strings.Contains(text, fmt.Sprintf("reason=%q", test.reason)) {
				t.Errorf("ready for another reason than %q: %s", test.reason, text)
			}
			proxy.send(hello)
			if test.picks == 0 { // the controller pushes no table, but answers a probe of the proxy
				proxy.send(probe)
				if got := string(proxy.receive()[lengthSize:]); got != aliveReply {
					t.Errorf("probe answered with %q, want %q", got, aliveReply)
				}
				return
			}
			if err := fake.apply(proxy.receive()); err != nil || test.picks > 0 && len(fake.picks(0)) != test.picks {
				t.Errorf("error %v, picks %v, want %d", err, fake.picks(0), test.picks)
			}
		})
	}
	t.Run("a list that arrives after readiness is pushed to a proxy that is already connected", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		address, logged := serve(t, discovery.address, "null", func(l *limits) { l.readyTimeout = time.Millisecond })
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		proxy.send(hello)
		logged.waitFor(t, "msg=proxy_connected", 1)
		discovery.answers <- twoEndpoints
		if err := fake.apply(proxy.receive()); err != nil || len(fake.picks(0)) != 2 || len(fake.picks(1)) != 2 {
			t.Errorf("error %v, tables %v, want two entries in each", err, fake.lines)
		}
	})
}

// newRefusingAddress returns an address that refuses connections, as its listener is closed.
func newRefusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// scriptedConn is a connection whose input is a text. It calls onEnd as soon as the whole text has
// been read.
type scriptedConn struct {
	net.Conn
	text  string
	onEnd func()
}

func (h *scriptedConn) Read(b []byte) (int, error) {
	if h.text == "" {
		return 0, io.EOF
	}
	n := copy(b, h.text)
	if h.text = h.text[n:]; h.text == "" {
		h.onEnd()
	}
	return n, nil
}

func (h *scriptedConn) Write(b []byte) (int, error) { return len(b), nil }

func (h *scriptedConn) Close() error { return nil }

func (h *scriptedConn) SetDeadline(time.Time) error { return nil }

func (h *scriptedConn) SetReadDeadline(time.Time) error { return nil }

func (h *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func (h *scriptedConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (h *scriptedConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

func TestDiscoveryThatIsSilentOrFails(t *testing.T) {
	// connect serves a controller, and connects a proxy that has applied its first push.
	connect := func(t *testing.T, discovery *fakeDiscovery, known string) (*client, *fakeProxy, *logBuffer) {
		address, logged := serve(t, discovery.address, known, func(l *limits) { l.minBackoff, l.maxBackoff, l.logRepeatInterval = 1, 1, 0 })
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		proxy.send(hello)
		if err := fake.apply(proxy.receive()); err != nil {
			t.Fatal(err)
		}
		return proxy, fake, logged
	}
	receiveUntil := func(t *testing.T, proxy *client, fake *fakeProxy, picks ...string) {
		t.Helper()
		for !slices.Equal(fake.picks(0), picks) || !slices.Equal(fake.picks(1), picks) {
			if err := fake.apply(proxy.receive()); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Run("an answer from the former address is ignored", func(t *testing.T) {
		accepted := 0
		watcher := newEndpointWatcher("127.0.0.1:1", defaultLimits(), slog.New(slog.DiscardHandler),
			func(bool, int64, []*fastjson.Value) { accepted++ }, func() { accepted++ })
		body := listJSON(50, true, endpointJSON(0, "up"))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		watcher.client.Dial = func(string) (net.Conn, error) {
			return &scriptedConn{text: answer, onEnd: func() { watcher.setAddress("127.0.0.1:2", nil) }}, nil
		}
		if err := watcher.poll(); !errors.Is(err, errAddressChanged) || accepted != 0 || watcher.hasVersion {
			t.Errorf("error %v, %d callbacks, version %d, want errAddressChanged and no list", err, accepted, watcher.version)
		}
	})
	t.Run("a drain in an answer that is cut off takes effect with a later answer", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		proxy, fake, _ := connect(t, discovery, twoEndpoints)
		drain := listJSON(2, false, endpointJSON(0, "draining"))
		discovery.answers <- "half" + drain[:len(drain)-9]
		discovery.answers <- "reset"
		discovery.answers <- drain
		receiveUntil(t, proxy, fake, "s-1")
	})
	t.Run("repeated and skipped versions are accepted, and an older version is refused", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		var five []string
		for b := range 5 {
			five = append(five, endpointJSON(b, "up"))
		}
		proxy, fake, logged := connect(t, discovery, listJSON(1, true, five...))
		discovery.answers <- listJSON(2, false, endpointJSON(0, "draining"))
		discovery.answers <- listJSON(2, false, endpointJSON(0, "draining"))
		receiveUntil(t, proxy, fake, "s-1", "s-2", "s-3", "s-4")
		discovery.answers <- listJSON(7, false, endpointJSON(1, "removed"))
		receiveUntil(t, proxy, fake, "s-2", "s-3", "s-4")
		discovery.answers <- listJSON(5, false, endpointJSON(0, "up"), endpointJSON(1, "up"))
		logged.waitFor(t, "list version 5 is older than the known version 7", 1)
		discovery.answers <- listJSON(8, false, endpointJSON(2, "draining"))
		receiveUntil(t, proxy, fake, "s-3", "s-4")
	})
	t.Run("changes are not accepted in place of a requested full list", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		for range 5 {
			discovery.answers <- "status 500"
		}
		// This answer is unusable, as it lists only changes, and the watcher has requested the full
		// list after the failed calls.
		discovery.answers <- listJSON(9, false, endpointJSON(7, "up"))
		discovery.answers <- listJSON(9, true, endpointJSON(1, "up"), endpointJSON(7, "up"))
		proxy, fake, logged := connect(t, discovery, twoEndpoints)
		receiveUntil(t, proxy, fake, "s-1", "s-7")
		logged.waitFor(t, "got only changes, but the full list was requested", 1)
	})
	t.Run("a discovery server that ends each watch at once is called with pauses", func(t *testing.T) {
		discovery, began := newFakeDiscovery(t), time.Now()
		const calls, minBackoff = 10, 20 * time.Millisecond
		for range calls {
			discovery.answers <- listJSON(1, false)
		}
		serve(t, discovery.address, twoEndpoints, func(l *limits) { l.watchWait, l.minBackoff = testTimeout, minBackoff })
		for range calls {
			<-discovery.queries
		}
		if spent := time.Since(began); spent < (calls-1)*minBackoff/2 {
			t.Errorf("%d calls within %v, want at least %v", calls, spent, (calls-1)*minBackoff/2)
		}
	})
}
