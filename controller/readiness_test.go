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
	const atOnce, answered, waited = "the list is known", "discovery has answered", "nothing is known, and discovery keeps silent"
	for _, story := range []struct {
		what, known string
		answers     []string
		refuses     bool
		why         string
		picks       int // backends in the table that a proxy gets
	}{
		{"discovery answers, known is there", twoEndpoints, []string{listJSON(2, true, endpointJSON(0, "up"))}, false, atOnce, -1},
		{"discovery is silent, known is there", twoEndpoints, []string{"silence"}, false, atOnce, 2},
		{"discovery refuses, known is there", twoEndpoints, nil, true, atOnce, 2},
		{"discovery answers an older version, known is there", listJSON(9, true, endpointJSON(0, "up")), []string{twoEndpoints}, false, atOnce, 1},
		{"discovery answers, known is missing", "null", []string{twoEndpoints}, false, atOnce, 2},
		{"discovery answers, known is unusable", `{"version":3}`, []string{twoEndpoints}, false, atOnce, 2},
		{"discovery answers, known is no object", `7`, []string{twoEndpoints}, false, atOnce, 2},
		{"discovery answers an empty list", "null", []string{listJSON(4, true)}, false, answered, 0},
		{"discovery answers an empty list, known is empty", listJSON(0, true), []string{listJSON(4, true)}, false, answered, 0},
		{"discovery is silent, known is missing", "null", []string{"silence"}, false, waited, 0},
		{"discovery refuses, known is missing", "null", nil, true, waited, 0},
		{"discovery answers changes to nothing", "null", slices.Repeat([]string{listJSON(3, false, endpointJSON(0, "up"))}, 16), false, waited, 0},
		{"discovery is cut in mid-body, then answers", "null", []string{"half" + twoEndpoints, twoEndpoints}, false, atOnce, 2},
		{"discovery is reset, then fails, then answers", "null", []string{"reset", "status 500", "{", twoEndpoints}, false, atOnce, 2},
	} {
		t.Run(story.what, func(t *testing.T) {
			discovery := newFakeDiscovery(t)
			for _, text := range story.answers {
				discovery.answers <- text
			}
			address := discovery.address
			if story.refuses {
				address = newRefusingAddress(t)
			}
			at, logged := serve(t, address, story.known, func(l *limits) {
				if l.readyTimeout = testTimeout; story.why == waited {
					l.readyTimeout = 300 * time.Millisecond
				}
			})
			caller, proxy, fake := dial(t, at), dial(t, at), newFakeProxy("read it", "write")
			caller.send(probe) // it waits since before readiness
			if got := string(caller.receive()[lengthSize:]); got != aliveReply {
				t.Errorf("answered %q", got)
			}
			logged.waitFor(t, "msg=ready", 1)
			if text, _ := logged.read(); !strings.Contains(text, fmt.Sprintf("reason=%q", story.why)) {
				t.Errorf("ready for another reason: %s", text)
			}
			proxy.send(hello)
			if story.picks == 0 { // nothing is ordered, and it is served
				proxy.send(probe)
				if got := string(proxy.receive()[lengthSize:]); got != aliveReply {
					t.Errorf("got %q", got)
				}
				return
			}
			if err := fake.apply(proxy.receive()); err != nil || story.picks > 0 && len(fake.picks(0)) != story.picks {
				t.Errorf("error %v, picks %v", err, fake.picks(0))
			}
		})
	}
	t.Run("the list that comes after readiness is pushed to who has connected meanwhile", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		address, logged := serve(t, discovery.address, "null", func(l *limits) { l.readyTimeout = time.Millisecond })
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		proxy.send(hello)
		logged.waitFor(t, "msg=proxy_connected", 1)
		discovery.answers <- twoEndpoints
		if err := fake.apply(proxy.receive()); err != nil || len(fake.picks(0)) != 2 || len(fake.picks(1)) != 2 {
			t.Errorf("error %v, picks %v", err, fake.lines)
		}
	})
}

// newRefusingAddress is an address at which nobody listens.
func newRefusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// scriptedConn is a connection that gives a whole text, and in that instant has something else happen.
type scriptedConn struct {
	net.Conn
	text string
	then func()
}

func (h *scriptedConn) Read(b []byte) (int, error) {
	if h.text == "" {
		return 0, io.EOF
	}
	n := copy(b, h.text)
	if h.text = h.text[n:]; h.text == "" {
		h.then()
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
	// follows has a proxy joined that hears what the list says.
	follows := func(t *testing.T, discovery *fakeDiscovery, known string) (*client, *fakeProxy, *logBuffer) {
		address, logged := serve(t, discovery.address, known, func(l *limits) { l.minBackoff, l.maxBackoff, l.logRepeatInterval = 1, 1, 0 })
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		proxy.send(hello)
		if err := fake.apply(proxy.receive()); err != nil {
			t.Fatal(err)
		}
		return proxy, fake, logged
	}
	until := func(t *testing.T, proxy *client, fake *fakeProxy, picks ...string) {
		t.Helper()
		for !slices.Equal(fake.picks(0), picks) || !slices.Equal(fake.picks(1), picks) {
			if err := fake.apply(proxy.receive()); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Run("an answer of the former address does not overrule the newer one", func(t *testing.T) {
		taken := 0
		l := newEndpointWatcher("127.0.0.1:1", defaultLimits(), slog.New(slog.DiscardHandler),
			func(bool, int64, []*fastjson.Value) { taken++ }, func() { taken++ })
		body := listJSON(50, true, endpointJSON(0, "up"))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		l.client.Dial = func(string) (net.Conn, error) {
			return &scriptedConn{text: answer, then: func() { l.follow("127.0.0.1:2", nil) }}, nil
		}
		if err := l.poll(); !errors.Is(err, errAddressChanged) || taken != 0 || l.hasVersion {
			t.Errorf("error %v, taken %d times, version %d", err, taken, l.version)
		}
	})
	t.Run("a drain told in the very answer that dies is told by the next", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		proxy, fake, _ := follows(t, discovery, twoEndpoints)
		drain := listJSON(2, false, endpointJSON(0, "draining"))
		discovery.answers <- "half" + drain[:len(drain)-9]
		discovery.answers <- "reset"
		discovery.answers <- drain
		until(t, proxy, fake, "s-1")
	})
	t.Run("a version told twice, one skipped, and one that goes back", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		var five []string
		for b := range 5 {
			five = append(five, endpointJSON(b, "up"))
		}
		proxy, fake, logged := follows(t, discovery, listJSON(1, true, five...))
		discovery.answers <- listJSON(2, false, endpointJSON(0, "draining"))
		discovery.answers <- listJSON(2, false, endpointJSON(0, "draining"))
		until(t, proxy, fake, "s-1", "s-2", "s-3", "s-4")
		discovery.answers <- listJSON(7, false, endpointJSON(1, "removed"))
		until(t, proxy, fake, "s-2", "s-3", "s-4")
		discovery.answers <- listJSON(5, false, endpointJSON(0, "up"), endpointJSON(1, "up"))
		logged.waitFor(t, "version 5 is older than 7", 1)
		discovery.answers <- listJSON(8, false, endpointJSON(2, "draining"))
		until(t, proxy, fake, "s-3", "s-4")
	})
	t.Run("changes are not taken for the full list that was asked for", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		for range 5 {
			discovery.answers <- "status 500"
		}
		discovery.answers <- listJSON(9, false, endpointJSON(7, "up")) // what came before it is not known
		discovery.answers <- listJSON(9, true, endpointJSON(1, "up"), endpointJSON(7, "up"))
		proxy, fake, logged := follows(t, discovery, twoEndpoints)
		until(t, proxy, fake, "s-1", "s-7")
		logged.waitFor(t, "changes, where all was asked for", 1)
	})
	t.Run("one that ends each watch at once is not asked without a breath", func(t *testing.T) {
		discovery, began := newFakeDiscovery(t), time.Now()
		const calls, breath = 10, 20 * time.Millisecond
		for range calls {
			discovery.answers <- listJSON(1, false)
		}
		serve(t, discovery.address, twoEndpoints, func(l *limits) { l.watchWait, l.minBackoff = testTimeout, breath })
		for range calls {
			<-discovery.queries
		}
		if spent := time.Since(began); spent < (calls-1)*breath/2 {
			t.Errorf("%d calls within %v", calls, spent)
		}
	})
}
