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

// testTimeout bounds what a story waits for; nothing waits for it to pass.
const testTimeout = 20 * time.Second

// fakeProxy is a proxy as the protocol's page describes it: it applies messages, and counts what the channel counts.
type fakeProxy struct {
	classes   []string
	lines     []map[string]float64
	limits    [][]float64 // level and manner of trying again, or nil
	withdrawn map[string]bool
	nonces    []int
	cost      int // lines of the last message
	messages  int // messages
	inMessage bool
	parts     int
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

// apply takes frames as they leave; an error is what a proxy would reset its stream for.
func (fake *fakeProxy) apply(raw []byte) error {
	for len(raw) > 0 {
		size := int(binary.BigEndian.Uint32(raw))
		if size > 1<<20 || len(raw) < 4+size {
			return fmt.Errorf("a frame of %d bytes in %d", size, len(raw))
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
		return fmt.Errorf("not a push: %w", err)
	}
	if !fake.inMessage {
		fake.cost, fake.parts = 0, 0
		fake.messages++
	}
	fake.inMessage = p.More
	if fake.parts++; fake.parts > 64 {
		return fmt.Errorf("too many parts")
	}
	meant := p.Classes
	if meant == nil {
		meant = fake.classes
	}
	for _, name := range meant {
		class := slices.Index(fake.classes, name)
		if class < 0 {
			return fmt.Errorf("unknown class %q", name)
		}
		if p.Whole {
			fake.lines[class], fake.limits[class] = map[string]float64{}, nil
		}
		for _, l := range p.Lines {
			id, weight := l[0].(string), l[1].(float64)
			if weight < 0 {
				return fmt.Errorf("a weight below 0")
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
	for _, one := range []bool{p.Whole, p.Level != nil, p.Ticket != nil} {
		if one {
			fake.cost++
		}
	}
	if p.Ticket != nil {
		fake.nonces = append(fake.nonces, *p.Ticket)
	}
	return nil
}

// picks gives the backends that the proxy can pick for a class.
func (fake *fakeProxy) picks(class int) (ids []string) {
	for id := range fake.lines[class] {
		if !fake.withdrawn[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// receive applies what waits in a connection's outbox.
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

// logBuffer keeps the lines of a log, and lets stories wait for one.
type logBuffer struct {
	mutex   sync.Mutex
	text    strings.Builder
	changed chan struct{}
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

// waitFor until a line holds some text as often as asked.
func (d *logBuffer) waitFor(t *testing.T, some string, times int) {
	t.Helper()
	late := time.After(testTimeout)
	for {
		text, more := d.read()
		if strings.Count(text, some) >= times {
			return
		}
		select {
		case <-more:
		case <-late:
			t.Fatalf("no line %q %d times in:\n%s", some, times, text)
		}
	}
}

func newLogBuffer() *logBuffer { return &logBuffer{changed: make(chan struct{})} }

// sampleSettings are those of a small deployment of two classes and two zones.
const sampleSettings = `{"azs":["a","b"],"tick":1.0,"weights":"rough","membershipMode":"automatic",
"familyInfo":{"admission":"per_second","backlog":900,"egressPerS":900,"overhead":4,"pushDelayMax":600,"reportEvery":1000,
"proxyCount":40,"classWrites":[false,true],"staysLocal":[false,false],"messagesMost":30,"messagesOver":10000},
"profiles":[{"name":"read it","deadline":4000,"target":1500},{"name":"write","deadline":2000,"target":800}],
"reporting":{"how":"silent","fields":[]},"rules":{"coldShare":0.2,"rampTime":17000,"stopSendingWithin":3000}}`

func endpointJSON(id int, state string) string {
	return fmt.Sprintf(`{"id":"s-%d","addr":"x","zone":"%s","state":"%s","weight":2,"started_ms":0}`,
		id, string("ab"[id%2]), state)
}

// listJSON is an answer of discovery: version, whole, and entries.
func listJSON(version int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, whole, strings.Join(entries, ","))
}

func configuration(discovery, known string) []byte {
	return []byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f","known":%s,
"limits":{"cores":1,"memory_mb":192,"sockets":200},"settings":%s}`, discovery, known, sampleSettings))
}

// newIdleLoop makes a controller that nobody serves: the story takes its turns, and plays time.
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

// advance takes a turn after a while, and idle ones before it, as timers bring them.
func advance(loop *eventLoop, wait int64, what func()) {
	for ; wait > microsPerSecond/2; wait -= microsPerSecond / 2 {
		advanceStalled(loop, microsPerSecond/2, func() {})
	}
	advanceStalled(loop, wait, what)
}

// advanceStalled takes a turn after a while in which we stalled.
func advanceStalled(loop *eventLoop, wait int64, what func()) {
	now := loop.now + wait
	loop.clock = func() int64 { return now }
	loop.iterate(what)
}

// connectProxy has a proxy join on a connection that nobody reads.
func connectProxy(t *testing.T, loop *eventLoop, serial, node int, keeps bool) *connection {
	here, there := net.Pipe()
	t.Cleanup(func() { here.Close(); there.Close() })
	conn := newConnection(here, serial, loop, func(*connection) error { return nil })
	conn.kind, conn.proxy, conn.zone = kindProxy, node, node%2
	conn.lastMessageAt.Store(loop.now)
	loop.iterate(func() { loop.proxyConnected(conn, 10, keeps) })
	return conn
}

// client is a connection to a controller, as a proxy or collector has it.
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

// receive reads one frame, with its length.
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

// isClosed tells whether the controller closes the connection without another word.
func (caller *client) isClosed() bool {
	_, err := caller.in.ReadByte()
	return err != nil && !isTimeout(err)
}

// isRefused tells whether the controller closes the connection with no other word than an error, if it gets through.
func (caller *client) isRefused() bool {
	text, err := io.ReadAll(caller.in)
	errorOrNothing := len(text) == 0 || len(text) > 4 && bytes.HasPrefix(text[4:], []byte(`{"msg":"error","reason":"`)) &&
		fastjson.ValidateBytes(text[4:]) == nil && int(binary.BigEndian.Uint32(text)) == len(text)-4
	return errorOrNothing && !isTimeout(err)
}

// isTimeout tells whether an error is a deadline's.
func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
