package controller

import (
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// fakeDiscovery is a discovery server that answers each call with the next text of answers. If
// answers is empty, a watch ends at its timeout without changes.
type fakeDiscovery struct {
	address string
	// answers holds bodies of answers, or failures: "status 500", "silence", "reset", or "half"
	// followed by a truncated body.
	answers chan string
	queries chan string // query strings of the calls
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &fakeDiscovery{listener.Addr().String(), make(chan string, 16), make(chan string, 1024)}
	stop := make(chan struct{})
	server := &fasthttp.Server{Logger: log.New(io.Discard, "", 0), Handler: func(call *fasthttp.RequestCtx) {
		select {
		case discovery.queries <- string(call.URI().QueryString()):
		default:
		}
		// A call for the full list has no timeout: its channel wait never receives, so the call waits
		// until the test gives an answer. A watch ends at the timeout that its query gives.
		wait := make(<-chan time.Time)
		if call.QueryArgs().Has("timeout_ms") {
			wait = time.After(time.Duration(call.QueryArgs().GetUintOrZero("timeout_ms")) * time.Millisecond)
		}
		select {
		case text := <-discovery.answers:
			switch {
			case text == "status 500":
				call.SetStatusCode(500)
			case text == "silence":
				<-stop
			case text == "reset":
				call.HijackSetNoResponse(true)
				call.Hijack(func(net.Conn) {})
			case strings.HasPrefix(text, "half"):
				call.HijackSetNoResponse(true)
				call.Hijack(func(c net.Conn) { fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n%s", text[4:]) })
			default:
				call.SetBodyString(text)
			}
		case <-wait:
			call.SetBodyString(listJSON(call.QueryArgs().GetUintOrZero("since"), false))
		case <-stop:
		}
	}}
	done := make(chan struct{})
	go func() { defer close(done); server.Serve(listener) }()
	t.Cleanup(func() { close(stop); listener.Close(); <-done })
	return discovery
}

func TestWatchingDiscovery(t *testing.T) {
	t.Run("while discovery fails, the known list stays, and the watch continues from its version", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		for _, invalid := range []string{"status 500", "reset", "silence", "{", "[]", `{"version":9}`, "half" + twoEndpoints,
			`{"version":-1,"full":true,"servers":[]}`, `{"version":3,"full":true,"servers":{}}`, listJSON(0, true)} {
			discovery.answers <- invalid
		}
		address, logged := serve(t, discovery.address, twoEndpoints, func(l *limits) { l.minBackoff, l.maxBackoff, l.logRepeatInterval = 1, 1, 0 })
		for range 10 {
			if query := <-discovery.queries; query != "since=1&timeout_ms=50" && query != "" {
				t.Errorf("query %q, want a watch from version 1 or a request for the full list", query)
			}
		}
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		proxy.send(hello)
		if err := fake.apply(proxy.receive()); err != nil || len(fake.picks(0)) != 2 {
			t.Errorf("error %v, got %+v, want two picks", err, fake)
		}
		// After the unusable answers above, the watcher requests the full list. It accepts
		// this full list.
		discovery.answers <- listJSON(2, true, endpointJSON(0, "up"), endpointJSON(1, "up"), endpointJSON(5, "up"))
		for len(fake.picks(0)) != 3 {
			if err := fake.apply(proxy.receive()); err != nil {
				t.Fatal(err)
			}
		}
		logged.waitFor(t, "msg=discovery_failed", 1)
	})
	t.Run("after repeated answers with an older version, an older full list is accepted", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		known := listJSON(50, true, endpointJSON(0, "up"))
		for range 6 {
			discovery.answers <- listJSON(7, true, endpointJSON(1, "up"))
		}
		_, logged := serve(t, discovery.address, known, func(l *limits) { l.minBackoff, l.maxBackoff = 1, 1 })
		logged.waitFor(t, "msg=endpoint_list_updated version=7 full=true endpoints=1", 1)
		for i := range 6 {
			if query := <-discovery.queries; (query == "") != (i == 5) {
				t.Errorf("query %q in call %d, want an empty one in call 5 only", query, i)
			}
		}
	})
	t.Run("after repeated failures of a watch, the full list is requested", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		for range 5 {
			discovery.answers <- "status 500"
		}
		discovery.answers <- listJSON(3, true, endpointJSON(0, "up"), endpointJSON(1, "up"))
		_, logged := serve(t, discovery.address, twoEndpoints, func(l *limits) { l.minBackoff, l.maxBackoff = 1, 1 })
		logged.waitFor(t, "msg=endpoint_list_updated version=3 full=true endpoints=2", 1)
		for i, want := range []string{"since=1", "since=1", "since=1", "since=1", "since=1", "", "since=3"} {
			if query := <-discovery.queries; !strings.HasPrefix(query, want) || want == "" && query != "" {
				t.Errorf("query %q in call %d, want %q", query, i, want)
			}
		}
	})
	t.Run("invalid endpoints are skipped, and an unknown state is treated as draining", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		invalid := []string{`{"id":"","zone":"a","state":"up"}`, `{"id":"s-8","zone":"q","state":"up"}`, `7`, `{"zone":"a"}`,
			`{"id":"` + strings.Repeat("x", 300) + `","zone":"a","state":"up"}`, endpointJSON(6, "resting"),
			`{"id":"say \"7\"","zone":"a","state":"up","weight":"big","started_ms":-3}`}
		address, logged := serve(t, discovery.address, listJSON(1, true, append(invalid, endpointJSON(0, "up"))...), nil)
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		proxy.send(hello)
		if err := fake.apply(proxy.receive()); err != nil || !slices.Equal(fake.picks(0), []string{"s-0", `say "7"`}) {
			t.Errorf("error %v, picks %v, want the two valid endpoints", err, fake.picks(0))
		}
		logged.waitFor(t, `state=resting treated_as=draining`, 1)
	})
}
