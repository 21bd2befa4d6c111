package controller

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

// testTimeout bounds the waits of tests. A test that passes never waits until it expires.
const testTimeout = 20 * time.Second

// fakeProxy is a proxy that follows the protocol. It applies pushes, and counts their cost in the
// same way as the push channel.
type fakeProxy struct {
	classes   []string
	lines     []map[string]float64 // table entries of each class: weights by backend id
	limits    [][]float64          // admission limit and retry policy of each class; nil if the class has no limit
	withdrawn map[string]bool
	nonces    []int
	cost      int  // cost of the last message, in lines of the push channel
	messages  int  // number of messages received
	inMessage bool // whether the last part had keyMore, so that the next part belongs to the same message
	parts     int  // number of parts of the current message
}

func newFakeProxy(classes ...string) *fakeProxy {
	fake := &fakeProxy{classes: classes, withdrawn: map[string]bool{}, limits: make([][]float64, len(classes))}
	for range classes {
		fake.lines = append(fake.lines, map[string]float64{})
	}
	return fake
}

type push struct {
	Msg     string
	Classes []string
	Whole   bool
	Lines   [][2]any
	Level   *float64
	Retry   *int
	Out     []string
	Back    []string
	Ticket  *int
	More    bool
}

// apply applies the frames of pushes. It returns an error for a push at which a real proxy would
// reset its connection.
func (fake *fakeProxy) apply(raw []byte) error {
	for len(raw) > 0 {
		size := int(binary.BigEndian.Uint32(raw))
		if size > 1<<20 || len(raw) < 4+size {
			return fmt.Errorf("frame length %d, want at most %d, and at most the %d bytes that follow", size, 1<<20, len(raw)-4)
		}
		if err := fake.applyPart(raw[4 : 4+size]); err != nil {
			return fmt.Errorf("%w in %.200s", err, raw[4:4+size])
		}
		raw = raw[4+size:]
	}
	return nil
}

func (fake *fakeProxy) applyPart(text []byte) error {
	var p push
	decode := json.NewDecoder(bytes.NewReader(text))
	decode.DisallowUnknownFields()
	if err := decode.Decode(&p); err != nil || p.Msg != "push" || (p.Level == nil) != (p.Retry == nil) {
		return fmt.Errorf("not a valid push: %w", err)
	}
	if !fake.inMessage {
		fake.cost, fake.parts = 0, 0
		fake.messages++
	}
	fake.inMessage = p.More
	if fake.parts++; fake.parts > 64 {
		return fmt.Errorf("message with part number %d, want at most 64 parts", fake.parts)
	}
	classes := p.Classes
	if classes == nil {
		classes = fake.classes
	}
	for _, name := range classes {
		class := slices.Index(fake.classes, name)
		if class < 0 {
			return fmt.Errorf("unknown class %q, want one of %q", name, fake.classes)
		}
		if p.Whole {
			fake.lines[class], fake.limits[class] = map[string]float64{}, nil
		}
		for _, l := range p.Lines {
			id, weight := l[0].(string), l[1].(float64)
			if weight < 0 {
				return fmt.Errorf("weight %g of backend %s, want at least 0", weight, id)
			}
			fake.lines[class][id] = weight
			if weight == 0 {
				delete(fake.lines[class], id)
			}
		}
		if p.Level != nil {
			fake.limits[class] = []float64{*p.Level, float64(*p.Retry)}
		}
	}
	for _, id := range p.Out {
		fake.withdrawn[id] = true
	}
	for _, id := range p.Back {
		delete(fake.withdrawn, id)
	}
	fake.cost += len(p.Lines) + len(p.Out) + len(p.Back)
	for _, present := range []bool{p.Whole, p.Level != nil, p.Ticket != nil} {
		if present {
			fake.cost++
		}
	}
	if p.Ticket != nil {
		fake.nonces = append(fake.nonces, *p.Ticket)
	}
	return nil
}

// picks returns the sorted backends that the proxy can pick for a class.
func (fake *fakeProxy) picks(class int) (ids []string) {
	for id := range fake.lines[class] {
		if !fake.withdrawn[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// receive applies the messages in a connection's outbox to the fake proxy.
func (fake *fakeProxy) receive(t *testing.T, conn *connection) {
	t.Helper()
	for {
		select {
		case raw := <-conn.outbox:
			if err := fake.apply(raw); err != nil {
				t.Fatal(err)
			}
		default:
			return
		}
	}
}

// logBuffer keeps the text of a log, and lets tests wait for a line.
type logBuffer struct {
	mutex   sync.Mutex
	text    strings.Builder
	changed chan struct{} // closed by the next write to the log
}

func (d *logBuffer) Write(line []byte) (int, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.text.Write(line)
	close(d.changed)
	d.changed = make(chan struct{})
	return len(line), nil
}

func (d *logBuffer) read() (string, chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.text.String(), d.changed
}

// waitFor waits until the log contains a text at least the given number of times.
func (d *logBuffer) waitFor(t *testing.T, want string, times int) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		text, changed := d.read()
		if strings.Count(text, want) >= times {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("the log contains %q fewer than %d times:\n%s", want, times, text)
		}
	}
}

func newLogBuffer() *logBuffer { return &logBuffer{changed: make(chan struct{})} }

// sampleSettings are the settings of a small deployment with two classes and two zones.
const sampleSettings = `{"azs":["a","b"],"tick":1.0,"weights":"rough","membershipMode":"automatic",
"familyInfo":{"admission":"per_second","backlog":900,"egressPerS":900,"overhead":4,"pushDelayMax":600,"reportEvery":1000,
"proxyCount":40,"classWrites":[false,true],"staysLocal":[false,false],"messagesMost":30,"messagesOver":10000},
"profiles":[{"name":"read it","deadline":4000,"target":1500},{"name":"write","deadline":2000,"target":800}],
"reporting":{"how":"silent","fields":[]},"rules":{"coldShare":0.2,"rampTime":17000,"stopSendingWithin":3000}}`

func endpointJSON(id int, state string) string {
	return fmt.Sprintf(`{"id":"s-%d","addr":"x","zone":"%s","state":"%s","weight":2,"started_ms":0}`,
		id, string("ab"[id%2]), state)
}

// listJSON returns a discovery response: a full list, or changes only.
func listJSON(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

func configuration(discovery, known string) []byte {
	return []byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f","known":%s,
"limits":{"cores":1,"memory_mb":192,"sockets":200},"settings":%s}`, discovery, known, sampleSettings))
}

// newIdleLoop returns the event loop of a controller that is not served. The test runs its
// iterations and sets its clock.
func newIdleLoop(t *testing.T) (*eventLoop, *logBuffer) {
	t.Helper()
	logged := newLogBuffer()
	c, err := New(Identity{}, configuration("127.0.0.1:9", listJSON(1, true, endpointJSON(0, "up"), endpointJSON(1, "up"))),
		NewLogger(logged))
	if err != nil {
		t.Fatal(err)
	}
	now := c.loop.now
	c.loop.clock = func() int64 { return now }
	c.loop.iterate(func() {})
	return c.loop, logged
}

func parsed(t *testing.T, text string) *fastjson.Value {
	t.Helper()
	v, err := fastjson.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// advance runs an iteration with an event after a wait. During the wait it runs an idle iteration
// every half second, as the timers of a running loop would.
func advance(loop *eventLoop, wait int64, event func()) {
	for ; wait > microsPerSecond/2; wait -= microsPerSecond / 2 {
		advanceStalled(loop, microsPerSecond/2, func() {})
	}
	advanceStalled(loop, wait, event)
}

// advanceStalled runs an iteration with an event after a wait without any iteration, as if the
// process had stalled.
func advanceStalled(loop *eventLoop, wait int64, event func()) {
	now := loop.now + wait
	loop.clock = func() int64 { return now }
	loop.iterate(event)
}

// connectProxy connects a proxy to the loop, on a connection that is not served, as run is not
// called. sequence is the connection's position in the order in which connections were accepted.
func connectProxy(t *testing.T, loop *eventLoop, sequence, node int, mayHoldWithdrawals bool) *connection {
	local, remote := net.Pipe()
	t.Cleanup(func() { local.Close(); remote.Close() })
	conn := newConnection(local, sequence, loop, func(*connection) error { return nil })
	conn.kind, conn.proxy, conn.zone = kindProxy, node, node%2
	conn.lastMessageAt.Store(loop.now)
	loop.iterate(func() { loop.proxyConnected(conn, 10, mayHoldWithdrawals) })
	return conn
}

// client is the proxy's or collector's end of a connection to a controller.
type client struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &client{t, conn, bufio.NewReader(conn)}
}

func frame(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

func (caller *client) send(text string) {
	caller.Helper()
	if _, err := caller.Write(frame(text)); err != nil {
		caller.Fatal(err)
	}
}

// receive reads one frame, including its length prefix.
func (caller *client) receive() []byte {
	caller.Helper()
	raw := make([]byte, 4)
	if _, err := io.ReadFull(caller.in, raw); err != nil {
		caller.Fatal(err)
	}
	raw = append(raw, make([]byte, binary.BigEndian.Uint32(raw))...)
	if _, err := io.ReadFull(caller.in, raw[4:]); err != nil {
		caller.Fatal(err)
	}
	return raw
}

// isClosed reports whether the controller closes the connection without sending a message.
func (caller *client) isClosed() bool {
	_, err := caller.in.ReadByte()
	return err != nil && !isTimeout(err)
}

// isRefused reports whether the controller closes the connection after at most one message, which
// is an error message.
func (caller *client) isRefused() bool {
	text, err := io.ReadAll(caller.in)
	emptyOrError := len(text) == 0 || len(text) > 4 && bytes.HasPrefix(text[4:], []byte(`{"msg":"error","reason":"`)) &&
		fastjson.ValidateBytes(text[4:]) == nil && int(binary.BigEndian.Uint32(text)) == len(text)-4
	return emptyOrError && !isTimeout(err)
}

// isTimeout reports whether an error comes from an expired deadline.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
