package controller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"wheelrill/distribution"
	"wheelrill/internal/golden"
)

// TestGoldenAnswers guards against changes in the bytes that a controller writes to unidentified
// connections and collectors before it closes them, for various inputs.
func TestGoldenAnswers(t *testing.T) {
	address, _ := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.maxIdentified, l.identifyTimeout = 2, 300*time.Millisecond })
	var text strings.Builder
	// record writes the controller's answer to messages that are followed by a half-close.
	record := func(name string, sent ...string) {
		caller := dial(t, address)
		for _, raw := range sent {
			if _, err := caller.Write([]byte(raw)); err != nil {
				t.Fatal(err)
			}
		}
		caller.Conn.(*net.TCPConn).CloseWrite()
		got, err := io.ReadAll(caller.in)
		if err != nil && len(got) == 0 {
			t.Fatalf("%s: %v", name, err)
		}
		fmt.Fprintf(&text, "%s: %q\n", name, got)
	}
	// recordOpen writes the controller's answer to messages without a half-close after them, so that
	// the controller has to close the connection.
	recordOpen := func(name string, sent ...string) {
		caller := dial(t, address)
		for _, raw := range sent {
			caller.Write([]byte(raw))
		}
		got, err := io.ReadAll(caller.in)
		if err != nil && len(got) == 0 {
			t.Fatalf("%s: %v", name, err)
		}
		fmt.Fprintf(&text, "%s: %q\n", name, got)
	}
	f := func(body string) string { return string(frame(body)) }
	record("nothing")
	record("a probe", f(probe))
	record("two probes", f(probe)+f(probe))
	record("a collector that probes", f(agent)+f(probe))
	record("a collector that reports and probes", f(agent)+f(outcomesReport)+f(demandReport)+f(probe))
	record("a collector that says nonsense and probes", f(agent)+f(`{"msg":"lease"}`)+f(hello)+f(agent)+f(probe))
	record("a report before it joined", f(outcomesReport))
	record("usage before it joined", f(demandReport))
	record("an acknowledgement before it joined", f(`{"msg":"ack","node":3,"nonce":1}`))
	record("an order", f(`{"msg":"push","out":["s-0"]}`))
	record("no kind", f(`{}`))
	// The answer is read before the report is sent, as a refusal does not wait for queued answers.
	prober := dial(t, address)
	prober.send(probe)
	fmt.Fprintf(&text, "a probe, then a report: %q", prober.receive())
	prober.send(outcomesReport)
	refusal, _ := io.ReadAll(prober.in)
	fmt.Fprintf(&text, " %q\n", refusal)
	record("a key twice", f(`{"msg":"probe","msg":"probe"}`))
	record("no object", f(`[1]`))
	record("no JSON", f(`{`))
	record("an empty message", "\x00\x00\x00\x00")
	record("too long a message", "\x7f\xff\xff\xff")
	record("half a length", "\x00\x00")
	record("half a hello", f(hello)[:20])
	record("an unknown zone of a collector", f(`{"msg":"agent","locality":"q"}`))
	record("an unknown zone of a proxy", f(strings.Replace(hello, `"b"`, `"q"`, 1)))
	record("an unknown proxy", f(strings.Replace(hello, "3", "40", 1)))
	recordOpen("silence")
	recordOpen("half a hello and then silence", f(hello)[:20])
	collector, otherCollector := dial(t, address), dial(t, address)
	for _, caller := range []*client{collector, otherCollector} {
		caller.send(agent)
		caller.send(probe)
		caller.receive()
	}
	recordOpen("a proxy beyond the room", f(hello))
	golden.Compare(t, "answers.golden", text.String())
}

// TestGoldenRefusals guards against changes in the bytes of error messages. It includes reasons
// that a client alone cannot provoke.
func TestGoldenRefusals(t *testing.T) {
	var text strings.Builder
	for _, reason := range []error{errIdentifyTimeout, errUnacceptable, errNoRoom, errSuperseded, errNotIdentified,
		errUnreadable,
		&net.OpError{Op: "read", Net: "tcp", Err: errors.New("connection reset by peer")},
		errors.New("\"größer\"\n\x01")} {
		fmt.Fprintf(&text, "%q\n", errorMessage(reason))
	}
	golden.Compare(t, "refusals.golden", text.String())
}

// TestGoldenDiscoveryRequests guards against changes in the bytes of requests to discovery, for a
// sequence of answers.
func TestGoldenDiscoveryRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	answers := []string{"", listJSON(7, true, endpointJSON(0, "up")), listJSON(7, false), listJSON(8, false, endpointJSON(1, "up")),
		listJSON(3, false), "{", `{"version":9}`, "[]", "{", "{", listJSON(9, true), listJSON(10, false)}
	var text strings.Builder
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for len(answers) > 0 {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			answers = serveGoldenDiscovery(conn, listener.Addr().String(), answers, &text)
		}
	}()
	runController(t, listener.Addr().String(), "null", func(l *limits) { l.minBackoff, l.maxBackoff = 1, 1 })
	select {
	case <-answered:
	case <-time.After(testTimeout):
		t.Fatalf("not all answers were requested within %v", testTimeout)
	}
	golden.Compare(t, "discovery-requests.golden", text.String())
}

// serveGoldenDiscovery answers the requests of one connection, records their bytes in text, and
// returns the remaining answers.
func serveGoldenDiscovery(conn net.Conn, address string, answers []string, text *strings.Builder) []string {
	defer conn.Close()
	var raw bytes.Buffer
	in := bufio.NewReader(io.TeeReader(conn, &raw))
	for len(answers) > 0 {
		if _, err := http.ReadRequest(in); err != nil {
			return answers
		}
		fmt.Fprintf(text, "%q\n", strings.ReplaceAll(raw.String(), address, "HOST"))
		raw.Reset()
		if answers[0] == "" {
			return answers[1:] // the connection is closed without an answer to this request
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answers[0]), answers[0])
		answers = answers[1:]
	}
	return answers
}

// TestGoldenFolder guards against changes in the file format of a subscriber's folder: the stored
// file must be readable, and the same state must be written with the same bytes.
func TestGoldenFolder(t *testing.T) {
	stored := filepath.Join("testdata", "subscriber-folder", "configuration.cbor")
	state := distribution.State{Version: distribution.Version{Epoch: distribution.Epoch{Number: 4, Identity: 1 << 60}, Revision: 7},
		Covered: distribution.SomeScopes("pricing", "orders"), Horizon: 2, Entries: []distribution.Entry{
			{Scope: "orders", Name: "limit/read it", Value: []byte("12.5"), Revision: 3, AcceptedAt: 1_700_000_000_000_000},
			{Scope: "pricing", Name: "drain/s-1", Revision: 6, Deleted: true, AcceptedAt: 1_700_000_001_000_000},
			{Scope: "pricing", Name: "weight/s-2", Value: []byte("0.5"), Revision: 7, AcceptedAt: 1_700_000_002_000_000}}}
	folder := t.TempDir()
	cache, err := openConfigurationCache(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := cache.save(state); err != nil {
		t.Fatal(err)
	}
	body, err := os.ReadFile(filepath.Join(folder, "configuration.cbor"))
	if err != nil {
		t.Fatal(err)
	}
	if golden.Updating() {
		if err := errors.Join(os.MkdirAll(filepath.Dir(stored), 0o755), os.WriteFile(stored, body, 0o644)); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(stored)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(body, want) {
		t.Errorf("the written file differs from %s\n got %x\nwant %x", stored, body, want)
	}
	if err := os.WriteFile(filepath.Join(folder, "configuration.cbor"), want, 0o600); err != nil {
		t.Fatal(err)
	}
	reopened, err := openConfigurationCache(folder)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := reopened.load(); err != nil || got == nil || !reflect.DeepEqual(*got, state) {
		t.Errorf("loaded %+v, error %v, want %+v", got, err, state)
	}
}
