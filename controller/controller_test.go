package controller

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"net"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheelrill/decide"
)

func TestModule(t *testing.T) {
	t.Run("a proxy that joins is given the whole table, and no more lines than the decisions count", func(t *testing.T) {
		m, _ := begin(t)
		for node, keeps := range []bool{false, true} {
			p, h := joins(t, m, 1, node, keeps), newHearer("read it", "write")
			h.shut["s-1"] = keeps
			// Counted: headers aside a mark, a level for each class, a bind and its lines, each twice if it keeps any.
			most := 1 + 2 + 1 + 2
			if keeps {
				most += 2
			}
			if h.hears(t, p); len(h.picks(0)) != 2 || len(h.picks(1)) != 2 || len(h.tickets) != 1 || h.cost > most {
				t.Errorf("node %d: got %+v", node, h)
			}
		}
	})
	t.Run("what happens at one clock time goes out as one message", func(t *testing.T) {
		m, _ := begin(t)
		p, h := joins(t, m, 1, 3, false), newHearer("read it", "write")
		h.hears(t, p)
		m.applied(p, h.tickets[0])
		news := fmt.Sprintf("[%s,%s,%s]", backendIs(0, "draining"), backendIs(1, "removed"), backendIs(2, "up"))
		later(m, 5*second, func() { m.listed(false, 2, parsed(t, news).GetArray()) })
		if h.hears(t, p); h.told != 2 || !slices.Equal(h.picks(0), []string{"s-2"}) {
			t.Errorf("got %+v", h)
		}
	})
	t.Run("a newer stream takes the place of the old, whose end and marks say nothing", func(t *testing.T) {
		m, said := begin(t)
		old, h := joins(t, m, 1, 0, false), newHearer("read it", "write")
		h.hears(t, old)
		p, h2 := joins(t, m, 2, 0, true), newHearer("read it", "write")
		m.turn(func() { m.applied(old, h.tickets[0]); m.left(old) })
		h2.hears(t, p)
		if !m.current(p) || old.send(nil) != errEnded || len(h2.picks(0)) != 2 {
			t.Errorf("current %v, picks %v", m.current(p), h2.picks(0))
		}
		stale := joins(t, m, 1, 0, true)
		if !m.current(p) || stale.send(nil) != errEnded {
			t.Error("a hello that was under way for long took the stream's place")
		}
		m.turn(func() { p.end(io.EOF); m.left(p) })
		if text, _ := said.read(); m.current(p) || !strings.Contains(text, `event=left node=0 why=EOF`) {
			t.Errorf("did not leave: %s", text)
		}
	})
	t.Run("a stream that says nothing and answers no mark is half-open, a quiet one is not", func(t *testing.T) {
		m, _ := begin(t)
		gone, talks, quiet := joins(t, m, 1, 0, false), joins(t, m, 2, 1, false), joins(t, m, 3, 2, false)
		h := newHearer("read it", "write")
		h.hears(t, quiet)
		m.turn(func() { m.applied(quiet, h.tickets[0]) })
		later(m, m.limits.silence-second/2, func() {
			talks.heard.Store(m.now)
			m.addDemand(0, 0, 4, second) // through a collector: that says nothing of the stream
		})
		if !m.current(gone) || !m.current(talks) {
			t.Error("given up too early")
		}
		later(m, second, func() {})
		if m.current(gone) || !m.current(talks) || !m.current(quiet) {
			t.Errorf("gone %v, talks %v, quiet %v", m.current(gone), m.current(talks), m.current(quiet))
		}
	})
	t.Run("a stream whose mark waits in the channel behind others is not half-open", func(t *testing.T) {
		m, _ := begin(t)
		p := joins(t, m, 1, 0, false)
		one := *m.joins[0].waiting[0]
		one.due += 30 * second // as where thousands join at once
		m.joins[0].waiting[0] = &one
		later(m, 20*second, func() {})
		if !m.current(p) {
			t.Error("given up while its mark waited")
		}
		later(m, 20*second, func() {})
		if m.current(p) {
			t.Error("never given up")
		}
	})
	t.Run("after standing still ourselves nobody is taken for silent", func(t *testing.T) {
		m, said := begin(t)
		p := joins(t, m, 1, 0, false)
		jump(m, 2*m.limits.silence, func() {})
		if !m.current(p) {
			t.Error("given up before it could be heard")
		}
		later(m, m.limits.silence+second, func() {})
		if m.current(p) {
			t.Error("never given up")
		}
		said.waits(t, "event=stood_still", 1)
	})
	t.Run("it is found sooner where others have answered the same mark", func(t *testing.T) {
		m, _ := begin(t)
		gone, here := joins(t, m, 1, 0, false), joins(t, m, 2, 1, false)
		h := newHearer("read it", "write")
		h.hears(t, here)
		m.turn(func() { m.applied(here, h.tickets[0]) })
		later(m, 4*second, func() { m.listed(false, 2, parsed(t, "["+backendIs(0, "draining")+"]").GetArray()) })
		h.hears(t, here)
		first := m.joins[0].waiting[0].number
		m.turn(func() { m.applied(here, h.tickets[len(h.tickets)-1]) })
		m.joins[0].waiting = slices.DeleteFunc(m.joins[0].waiting, func(w *mark) bool { return w.number == first })
		later(m, m.limits.lag+second/10, func() {})
		if m.current(gone) || !m.current(here) {
			t.Errorf("gone %v, here %v", m.current(gone), m.current(here))
		}
	})
	t.Run("reports are given up when the mailbox is full, and the log says so", func(t *testing.T) {
		m, said := begin(t)
		for range m.limits.mailbox + 5 {
			m.report(func() {})
		}
		said.waits(t, "event=report_dropped", 1)
		for range m.limits.mailbox / m.limits.turn {
			m.turn(func() {})
		}
		if len(m.mail) > m.limits.turn {
			t.Errorf("%d still wait", len(m.mail))
		}
	})
}

func TestReports(t *testing.T) {
	taken := func(t *testing.T, first string, texts ...string) int {
		m, _ := begin(t)
		raw := framed(first)
		for _, text := range texts {
			raw = append(raw, framed(text)...)
		}
		p := newPeer(&told{Reader: bytes.NewReader(raw)}, 1, m, func(*peer) error { return nil })
		if err := p.read(); err != io.EOF {
			t.Errorf("the stream ended with %v", err)
		}
		return len(m.mail) - strings.Count(first, "hello")
	}
	full := strings.Replace(reports, "41.7", `41.7,"metrics":{"util":0.5,"queue":2,"latency_ms":30}`, 1)
	ack := `{"msg":"ack","node":3,"nonce":1,"latency":3.5}`
	for what, x := range map[string]struct {
		first, good string
		spoilt      []string // old and new text by turns
		unread      []string // fields that nobody reads may be spoilt
	}{
		"outcomes": {agent, full, []string{`"total":9`, `"total":9.5`, `"total":9`, `"total":null`, `"total":9`, `"was":9`, `"total":9`,
			`"total":1e8`, `"total":9`, `"total":-9`, `"errors":1`, `"errors":10`, `"errors":1`, `"errors":"1"`, `"errors":1`, `"was":1`,
			`41.7`, `-41.7`, `41.7`, `8001`, `"rtt":41.7`, `"was":1`, `41.7`, `[41.7]`, `1000.0`, `0`, `1000.0`, `1e9`, `"interval"`, `"was"`,
			`"s-0"`, `7`, `"a"`, `"z"`, `"locality"`, `"was"`, `0.5`, `"much"`, `0.5`, `-0.5`, `0.5`, `1e6`, `{"util`, `[],"was":{"util`,
			`"queue":2`, `"queue":{}`, `:30}`, `:9e9}`}, []string{`"util"`, `"inflight":"x","util"`}},
		"demand": {hello, usage, []string{`"node":3`, `"node":4`, `"node":3`, `"node":"3"`, `"node":3`, `"was":3`, `"node":3`, `"node":40`,
			`"total":9`, `"total":"9"`, `"total":9`, `"total":-1`, `"total":9`, `"total":5000`, `"total":9`, `"was":9`, `"write"`, `"lost"`,
			`"write"`, `0`, `"route"`, `"was"`, `1000.0`, `-1`, `1000.0`, `1e9`, `1000.0`, `true`}, []string{`"errors":0`, `"errors":[]`}},
		"marks": {hello, ack, []string{`"nonce":1`, `"nonce":-1`, `"nonce":1`, `"nonce":65536`, `"nonce":1`, `"nonce":1.5`, `"nonce":1`,
			`"nonce":"1"`, `"nonce"`, `"was"`, `"node":3`, `"node":4`}, []string{`3.5`, `"x"`, `"node":3`, `"node":"x"`}},
	} {
		t.Run(what, func(t *testing.T) {
			var texts []string
			for i := 0; i < len(x.spoilt); i += 2 {
				spoilt := strings.Replace(x.good, x.spoilt[i], x.spoilt[i+1], 1)
				if n := taken(t, x.first, spoilt); n != 0 || spoilt == x.good {
					t.Errorf("taken: %s", spoilt)
				}
				texts = append(texts, spoilt, x.good)
			}
			if n := taken(t, x.first, texts...); n != len(x.spoilt)/2 {
				t.Errorf("%d of %d good ones between spoilt ones were taken", n, len(x.spoilt)/2)
			}
			for i := 0; i < len(x.unread); i += 2 {
				if text := strings.Replace(x.good, x.unread[i], x.unread[i+1], 1); taken(t, x.first, text) != 1 {
					t.Errorf("not taken: %s", text)
				}
			}
		})
	}
	t.Run("a joining with a spoilt detail is served", func(t *testing.T) {
		m, _ := begin(t)
		for _, w := range []string{`"w":-1,"cold":true`, `"w":1e30,"cold":true`, `"w":"x","cold":true`, `"w":[],"cold":7`} {
			h := newHearer("read it", "write")
			p := newPeer(&told{Reader: bytes.NewReader(framed(strings.Replace(hello, `"w":12.5,"cold":true`, w, 1)))}, 1, m,
				func(*peer) error { return nil })
			p.read()
			if m.turn(func() {}); !m.current(p) {
				t.Fatalf("%s: it has not joined", w)
			}
			if h.hears(t, p); len(h.picks(0)) != 2 {
				t.Errorf("%s: picks %v", w, h.picks(0))
			}
			m.turn(func() { m.left(p) })
			later(m, 5*second, func() {})
		}
	})
}

func TestForgetting(t *testing.T) {
	m, _ := begin(t)
	p, h := joins(t, m, 1, 0, true), newHearer("read it", "write")
	first := m.backends.index["s-0"]
	for version := 2; version < 60; version++ { // each backend is replaced by one under a new id
		h.hears(t, p)
		if n := len(h.tickets); n > 0 {
			m.applied(p, h.tickets[n-1])
		}
		news := fmt.Sprintf("[%s,%s]", backendIs(version, "up"), backendIs(version-2, "removed"))
		later(m, 3*second, func() {
			p.heard.Store(m.now)
			m.listed(false, int64(version), parsed(t, news).GetArray())
		})
	}
	h.hears(t, p)
	if known := len(m.backends.index); known > 20 || len(m.backends.ids) > 20 || len(m.tables.withdrawn) > 20 {
		t.Errorf("%d known, %d indices, %d withdrawn", known, len(m.backends.ids), len(m.tables.withdrawn))
	}
	if !slices.Equal(h.picks(0), []string{"s-58", "s-59"}) || !slices.Equal(h.picks(1), []string{"s-58", "s-59"}) {
		t.Errorf("picks %v", h.lines)
	}
	if _, known := m.backends.index["s-50"]; !known || m.backends.ids[first] == "s-0" {
		t.Error("forgotten too soon, or not at all")
	}
	m.addOutcomes("s-0", 9, 9, 0, second, decide.Load{}) // a late report says nothing of the one that has its index now
	later(m, 3*second, func() { p.heard.Store(m.now) })
	h.hears(t, p)
	if len(h.picks(0)) != 2 {
		t.Errorf("picks %v", h.picks(0))
	}
}

func TestConfiguration(t *testing.T) {
	good := string(configuration("127.0.0.1:9", "null"))
	for what, change := range map[string][2]string{
		"not JSON":                       {"{", "["},
		"configuration: listen":          {`"listen"`, `"was"`},
		"configuration: discovery":       {`"discovery"`, `"was"`},
		"configuration: settings":        {`"settings"`, `"was"`},
		"setting familyInfo.egressPerS":  {`"egressPerS":900`, `"egressPerS":"many"`},
		"setting familyInfo.proxyCount":  {`"proxyCount":40`, `"proxyCount":-1`},
		"setting azs":                    {`"azs":["a","b"]`, `"azs":[]`},
		"setting profiles.1.target":      {`,"target":800`, ``},
		"setting profiles.0.name":        {`"name":"read it"`, `"name":7`},
		"setting rules.rampTime":         {`"rampTime"`, `"was"`},
		"setting familyInfo.partitionsN": {`"overhead":4`, `"overhead":4,"partitionsN":64`},
	} {
		t.Run(what, func(t *testing.T) {
			changed := strings.Replace(good, change[0], change[1], 1)
			_, err := New(Place{}, []byte(changed), Journal(io.Discard))
			if err == nil || what != "not JSON" && !strings.Contains(err.Error(), what) {
				t.Errorf("error %v", err)
			}
		})
	}
	t.Run("the place given beats the configuration, and odd words are said", func(t *testing.T) {
		said := newDiary()
		odd := strings.Replace(good, `"weights":"rough"`, `"weights":"guessed"`, 1)
		c, err := New(Place{Listen: "127.0.0.1:7", Discovery: "127.0.0.1:8"}, []byte(odd), Journal(said))
		if err != nil || c.plan.Listen != "127.0.0.1:7" || c.list.client.Addr != "127.0.0.1:8" || c.Cores() != 1 ||
			c.Memory() != 192<<20 {
			t.Errorf("got %+v, error %v", c, err)
		}
		said.waits(t, "guessed", 1)
	})
}

// discovery is a stand-in that answers each call with the next text; none left, a watch ends without news.
type discovery struct {
	address string
	answers chan string
	asked   chan string // the query of each call
}

func discovers(t *testing.T) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &discovery{listener.Addr().String(), make(chan string, 16), make(chan string, 1024)}
	stop := make(chan struct{})
	s := &fasthttp.Server{Logger: log.New(io.Discard, "", 0), Handler: func(call *fasthttp.RequestCtx) {
		select {
		case d.asked <- string(call.URI().QueryString()):
		default:
		}
		wait := make(<-chan time.Time) // a call for the whole list is always answered by the story
		if call.QueryArgs().Has("timeout_ms") {
			wait = time.After(time.Duration(call.QueryArgs().GetUintOrZero("timeout_ms")) * time.Millisecond)
		}
		select {
		case text := <-d.answers:
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
			call.SetBodyString(listing(call.QueryArgs().GetUintOrZero("since"), false))
		case <-stop:
		}
	}}
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(listener) }()
	t.Cleanup(func() { close(stop); listener.Close(); <-done })
	return d
}

// serves runs a controller, and ends it with the story, which must take well under 0.7 s.
func serves(t *testing.T, discovery, known string, change func(*limits)) (address string, said *diary) {
	t.Helper()
	_, address, said = runs(t, discovery, known, change)
	return address, said
}

func runs(t *testing.T, discovery, known string, change func(*limits)) (c *Controller, address string, said *diary) {
	t.Helper()
	return runsWith(t, configuration(discovery, known), change)
}

func runsWith(t *testing.T, configuration []byte, change func(*limits)) (c *Controller, address string, said *diary) {
	t.Helper()
	said = newDiary()
	c, err := New(Place{}, configuration, Journal(said))
	if err != nil {
		t.Fatal(err)
	}
	c.limits.watch, c.limits.watchOver = 50*time.Millisecond, time.Second
	if change != nil {
		change(c.limits)
		c.log.repeatEvery = c.limits.logRepeat
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("ended with %v", err)
			}
		case <-time.After(600 * time.Millisecond):
			t.Error("did not end in time")
		}
	})
	said.waits(t, "event=serving", 1)
	text, _ := said.read()
	return c, regexp.MustCompile(`event=serving .* listen=(\S+)`).FindStringSubmatch(text)[1], said
}

var two = listing(1, true, backendIs(0, "up"), backendIs(1, "up"))

const (
	hello   = `{"msg":"hello","node":3,"locality":"b","w":12.5,"cold":true}`
	agent   = `{"msg":"agent","locality":"a"}`
	probe   = `{"msg":"probe"}`
	reports = `{"msg":"outcomes","locality":"a","endpoint":"s-0","total":9,"errors":1,"rtt":41.7,"interval":1000.0}`
	usage   = `{"msg":"demand","node":3,"route":"write","total":9,"errors":0,"interval":1000.0}`
)

func TestSockets(t *testing.T) {
	t.Run("a proxy joins, hears of a drain, and answers marks; a collector reports", func(t *testing.T) {
		d := discovers(t)
		address, said := serves(t, d.address, two, nil)
		stranger := calls(t, address)
		stranger.says(probe)
		if got := string(stranger.gets()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("a probe is answered %q", got)
		}
		p, h := calls(t, address), newHearer("read it", "write")
		for _, b := range framed(hello) { // in pieces
			p.Write([]byte{b})
		}
		if err := h.apply(p.gets()); err != nil || len(h.picks(1)) != 2 {
			t.Fatalf("error %v, got %+v", err, h)
		}
		many := slices.Concat(framed(fmt.Sprintf(`{"msg":"ack","node":3,"nonce":%d,"latency":3.1}`, h.tickets[0])),
			framed(usage), framed(usage), framed(probe))
		p.Write(many) // several in one go
		if got := string(p.gets()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("a proxy's probe is answered %q", got)
		}
		c := calls(t, address)
		c.says(agent)
		c.says(reports)
		c.says(usage)
		c.says(probe)
		c.gets()
		d.answers <- listing(2, false, backendIs(0, "draining"), backendIs(4, "up"))
		for !slices.Equal(h.picks(0), []string{"s-1", "s-4"}) {
			if err := h.apply(p.gets()); err != nil {
				t.Fatal(err)
			}
		}
		p.Close()
		said.waits(t, "event=left node=3", 1)
	})
	t.Run("nothing is answered before the list is known", func(t *testing.T) {
		d := discovers(t)
		address, said := serves(t, d.address, "null", nil)
		p := calls(t, address)
		p.says(probe)
		if text, _ := said.read(); strings.Contains(text, "event=ready") {
			t.Error("ready without a backend")
		}
		d.answers <- two
		p.gets()
		said.waits(t, "event=ready", 1)
	})
	t.Run("odd messages are skipped, unreadable ones end the stream", func(t *testing.T) {
		address, said := serves(t, discovers(t).address, two, nil)
		skipped := []string{`{}`, `{"msg":7}`, `{"msg":"lease"}`, `{"msg":"ack"}`, `{"msg":"ack","node":4,"nonce":1}`,
			`{"msg":"ack","node":3,"nonce":-1}`, `{"msg":"ack","node":3,"nonce":1e300}`, `{"msg":"ack","nonce":0.5}`,
			`{"msg":"demand","node":9,"route":"write","total":1,"interval":1}`, hello, agent, reports,
			`{"msg":"demand","node":3,"route":"lost","total":1,"interval":1}`, strings.Replace(hello, "3", "4", 1),
			`{"msg":"demand","node":3,"route":"write","total":1e99,"interval":1}`,
			`{"msg":"demand","node":3,"route":"write","total":1,"interval":-4}`,
			`{"msg":"demand","node":"3","route":"write","total":1,"interval":1,"further":[{"x":null}]}`}
		p := calls(t, address)
		p.says(hello)
		p.gets()
		for _, text := range skipped {
			p.says(text)
		}
		p.says(probe)
		if got := string(p.gets()[4:]); got != `{"msg":"alive"}` {
			t.Errorf("got %q", got)
		}
		c := calls(t, address)
		c.says(agent)
		for _, change := range [][2]string{{`"s-0"`, `"s-9"`}, {`"s-0"`, `8`}, {`"a"`, `"z"`}, {`9`, `-9`}, {`9`, `"9"`},
			{`41.7`, `[]`}, {`"errors":1`, `"errors":1e9`}, {`41.7`, `41.7,"metrics":{"util":"high","queue":-1}`}, {`41.7`, `41.7,"metrics":3`}} {
			c.says(strings.Replace(reports, change[0], change[1], 1))
		}
		c.says(hello)
		c.says(probe)
		c.gets()
		said.waits(t, "event=skipped", 5)
		for _, raw := range []string{"\x00\x00\x00\x00", "\x00\x10\x00\x01", "\xff\xff\xff\xff", string(framed("{")),
			string(framed("[1]")), string(framed("null")), string(framed(strings.Repeat("[", 5000)))} {
			q := calls(t, address)
			q.says(strings.Replace(hello, "3", "7", 1))
			q.gets()
			q.Write([]byte(raw))
			if !q.ends() {
				t.Errorf("%.20q was taken", raw)
			}
		}
		for _, text := range []string{strings.Replace(hello, "3", "40", 1), strings.Replace(hello, `"b"`, `"q"`, 1),
			strings.Replace(agent, `"a"`, `7`, 1), strings.Repeat(" ", 20000) + hello} {
			q := calls(t, address)
			q.Write(framed(text))
			if !q.refused() {
				t.Errorf("%.40q was taken", text)
			}
		}
	})
	t.Run("a stranger has one deadline, whatever it says and however slowly", func(t *testing.T) {
		address, said := serves(t, discovers(t).address, two, func(l *limits) { l.identifyWithin = 300 * time.Millisecond })
		began, push := time.Now(), `{"msg":"push","out":["s-0"]}`
		for what, bad := range map[string]string{"a report before it joined": string(framed(reports)),
			"usage before it joined": string(framed(usage)), "a mark": string(framed(`{"msg":"ack","node":3,"nonce":1}`)),
			"an order": string(framed(push)), "HTTP": "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "no object": string(framed("[]")),
			"half a hello": string(framed(hello)[:20]), "no length": "\x00\x00\x00\x00", "nothing": "",
			"too much": "\x7f\xff\xff\xff" + strings.Repeat("x", 9000)} {
			c := calls(t, address)
			if c.Write([]byte(bad)); !c.refused() {
				t.Errorf("%s: it was not refused", what)
			}
		}
		for size := range 40 { // each breaks off elsewhere, and that is one sort of line
			c := calls(t, address)
			c.Write(framed(hello)[:5+size])
			c.Close()
		}
		said.waits(t, "event=stranger_ended", 3)
		if text, _ := said.read(); strings.Count(text, "event=stranger_ended") > 10 {
			t.Errorf("too much is said of strangers: %s", text)
		}
		if spent := time.Since(began); spent > 2*time.Second {
			t.Errorf("all that took %v", spent) // only those that are not done saying something wait for the deadline
		}
		c, trickle := calls(t, address), calls(t, address)
		for range time.Tick(time.Millisecond) { // a probe renews nothing, nor does another byte
			_, err := c.Write(framed(probe))
			if _, late := trickle.Write([]byte(hello)[:1]); err != nil && late != nil {
				break
			}
		}
	})
	t.Run("what arrived while we stood still is read before anybody is judged late", func(t *testing.T) {
		m, _ := begin(t)
		m.limits.identifyWithin = time.Nanosecond
		here, there := net.Pipe()
		go there.Write(framed(hello))
		p := newPeer(here, 1, m, func(*peer) error { there.Close(); return nil })
		if p.read(); p.kind != proxy {
			t.Errorf("it is a %v", p.kind)
		}
	})
	t.Run("strangers that say nothing are ended, and keep nobody out", func(t *testing.T) {
		d := discovers(t)
		address, said := serves(t, d.address, two, func(l *limits) { l.unidentified, l.identifyWithin = 10, 200*time.Millisecond })
		p := calls(t, address)
		p.says(hello)
		p.gets()
		before := runtime.NumGoroutine()
		var silent []*caller
		for range 100 {
			silent = append(silent, calls(t, address))
		}
		q, c := calls(t, address), calls(t, address)
		q.says(strings.Replace(hello, "3", "4", 1))
		q.gets()
		c.says(agent)
		c.says(probe)
		c.gets()
		for _, s := range silent {
			if !s.refused() {
				t.Error("a stranger stayed")
			}
		}
		p.says(probe)
		p.gets()
		said.waits(t, "event=stranger_ended", 1)
		for late := time.Now().Add(patience); runtime.NumGoroutine() > before+20; runtime.Gosched() {
			if time.Now().After(late) {
				t.Fatalf("%d goroutines before, %d after", before, runtime.NumGoroutine())
			}
		}
	})
	t.Run("a peer that reads nothing ends when a message does not leave in time", func(t *testing.T) {
		m, said := begin(t)
		m.limits.write = 20 * time.Millisecond
		p := joins(t, m, 1, 0, false) // its first table waits already
		p.run()
		if text, _ := said.read(); !strings.Contains(fmt.Sprint(p.why), "write: ") {
			t.Errorf("ended by %v: %s", p.why, text)
		}
		m.turn(func() {})
		if m.current(p) {
			t.Error("it is still joined")
		}
	})
	t.Run("while hundreds are silent, proxies that come back all at once take the places of their old streams", func(t *testing.T) {
		address, said := serves(t, discovers(t).address, two, func(l *limits) { l.conns, l.lasting, l.unidentified = 48, 42, 48 })
		var old, now []*caller
		for round := range 2 {
			for range 100 {
				calls(t, address)
			}
			for node := range 40 {
				p := calls(t, address)
				p.says(strings.Replace(hello, "3", fmt.Sprint(node), 1))
				p.says(probe)
				if old = append(old, p); round == 1 {
					now = append(now, p)
				}
			}
		}
		for _, p := range now {
			p.gets()
		}
		for _, p := range old[:40] {
			for p.SetReadDeadline(time.Now().Add(patience)); ; {
				if _, err := p.in.ReadByte(); err != nil {
					break
				}
			}
		}
		if text, _ := said.read(); strings.Contains(text, errBudget.Error()) {
			t.Error("one of them found no room")
		}
	})
	t.Run("of a zone's collectors the newest stay, and beyond the budget nobody is taken", func(t *testing.T) {
		address, _ := serves(t, discovers(t).address, two, func(l *limits) { l.lasting = 4 })
		var all []*caller
		for range 3 {
			c := calls(t, address)
			c.says(agent)
			c.says(probe)
			c.gets()
			all = append(all, c)
		}
		if !all[0].ends() {
			t.Error("the oldest stayed")
		}
		for node := range 3 {
			p := calls(t, address)
			p.says(strings.Replace(hello, "3", fmt.Sprint(node), 1))
			if node < 2 {
				p.gets()
			} else if !p.refused() {
				t.Error("one beyond the budget was taken")
			}
		}
	})
	t.Run("without a descriptor left the oldest stranger makes room", func(t *testing.T) {
		m, said := begin(t)
		ctx, stop := context.WithCancel(t.Context())
		here, there := net.Pipe()
		defer here.Close()
		short := &shortOf{Listener: &net.TCPListener{}, conns: []net.Conn{there, nil, nil}, done: ctx.Done()}
		ended := make(chan error)
		s := &server{limits: m.limits, module: m, log: m.log}
		go func() { ended <- s.run(ctx, short) }()
		said.waits(t, "event=accept_failed", 1)
		said.waits(t, "event=stranger_ended", 1)
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
		c, err := New(Place{Listen: taken.Addr().String()}, configuration("127.0.0.1:9", two), Journal(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Serve(t.Context()); err == nil || !strings.Contains(err.Error(), "listen") {
			t.Errorf("error %v", err)
		}
	})
}

func TestReload(t *testing.T) {
	t.Run("another address is followed at once, and streams and what is known live on", func(t *testing.T) {
		d, next := discovers(t), discovers(t)
		d.answers <- "silence"
		c, address, said := runs(t, d.address, two, func(l *limits) { l.watchOver = patience })
		if query := <-d.asked; query != "since=1&timeout_ms=50" {
			t.Errorf("asked %q", query)
		}
		p, h := calls(t, address), newHearer("read it", "write")
		p.says(hello)
		if err := h.apply(p.gets()); err != nil || len(h.picks(0)) != 2 {
			t.Errorf("error %v, got %+v", err, h)
		}
		for range 3 { // several in a row are one
			if err := c.Reload(configuration(next.address, "null")); err != nil {
				t.Fatal(err)
			}
		}
		next.answers <- listing(2, false, backendIs(5, "up"))
		for len(h.picks(0)) != 3 {
			if err := h.apply(p.gets()); err != nil {
				t.Fatal(err)
			}
		}
		if query := <-next.asked; query != "since=1&timeout_ms=50" {
			t.Errorf("the new one was asked %q", query)
		}
		said.waits(t, "event=reloaded discovery="+next.address, 3)
	})
	t.Run("one that cannot be used changes nothing, and says why", func(t *testing.T) {
		d := discovers(t)
		c, _, said := runs(t, d.address, two, nil)
		good := string(configuration("127.0.0.1:9", "null"))
		for change, why := range map[[2]string]string{{"{", "["}: "configuration", {`"discovery"`, `"was"`}: "discovery",
			{"127.0.0.1:9", "nowhere"}: "discovery", {`"settings"`, `"was"`}: "settings", {good[90:], ""}: "configuration",
			{`"egressPerS":900`, `"egressPerS":"many"`}: "egressPerS"} {
			if err := c.Reload([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil ||
				!strings.Contains(err.Error(), why) {
				t.Errorf("%v: error %v", change, err)
			}
		}
		for len(d.asked) > 0 {
			<-d.asked
		}
		if query := <-d.asked; query != "since=1&timeout_ms=50" {
			t.Errorf("asked %q", query)
		}
		if text, _ := said.read(); strings.Contains(text, "event=reloaded") {
			t.Errorf("one was taken: %s", text)
		}
	})
	t.Run("what counts from the next start on is said", func(t *testing.T) {
		c, _, said := runs(t, discovers(t).address, two, nil)
		changed := strings.Replace(string(configuration("127.0.0.1:9", "null")), `"backlog":900`, `"backlog":901`, 1)
		if err := c.Reload([]byte(strings.Replace(changed, `127.0.0.1:0`, `127.0.0.1:1`, 1))); err != nil {
			t.Fatal(err)
		}
		said.waits(t, "event=reload_later key=listen", 1)
		said.waits(t, "event=reload_later key=settings", 1)
	})
}

func TestDiscovery(t *testing.T) {
	t.Run("while it fails what was known stays, and the watch goes on where it was", func(t *testing.T) {
		d := discovers(t)
		for _, bad := range []string{"status 500", "reset", "silence", "{", "[]", `{"version":9}`, "half" + two,
			`{"version":-1,"full":true,"servers":[]}`, `{"version":3,"full":true,"servers":{}}`, listing(0, true)} {
			d.answers <- bad
		}
		address, said := serves(t, d.address, two, func(l *limits) { l.retryLeast, l.retryMost, l.logRepeat = 1, 1, 0 })
		for range 10 {
			if query := <-d.asked; query != "since=1&timeout_ms=50" && query != "" {
				t.Errorf("asked %q", query)
			}
		}
		p, h := calls(t, address), newHearer("read it", "write")
		p.says(hello)
		if err := h.apply(p.gets()); err != nil || len(h.picks(0)) != 2 {
			t.Errorf("error %v, got %+v", err, h)
		}
		d.answers <- listing(2, true, backendIs(0, "up"), backendIs(1, "up"), backendIs(5, "up")) // all was asked for by now
		for len(h.picks(0)) != 3 {
			if err := h.apply(p.gets()); err != nil {
				t.Fatal(err)
			}
		}
		said.waits(t, "event=discovery_failed", 1)
	})
	t.Run("one that says again and again that it knows less is taken at its word, whole", func(t *testing.T) {
		d := discovers(t)
		known := listing(50, true, backendIs(0, "up"))
		for range 6 {
			d.answers <- listing(7, true, backendIs(1, "up"))
		}
		_, said := serves(t, d.address, known, func(l *limits) { l.retryLeast, l.retryMost = 1, 1 })
		said.waits(t, "event=list version=7 whole=true entries=1", 1)
		for i := range 6 {
			if query := <-d.asked; (query == "") != (i == 5) {
				t.Errorf("call %d asked %q", i, query)
			}
		}
	})
	t.Run("one that will not go on from our version is asked for all it knows", func(t *testing.T) {
		d := discovers(t)
		for range 5 {
			d.answers <- "status 500"
		}
		d.answers <- listing(3, true, backendIs(0, "up"), backendIs(1, "up"))
		_, said := serves(t, d.address, two, func(l *limits) { l.retryLeast, l.retryMost = 1, 1 })
		said.waits(t, "event=list version=3 whole=true entries=2", 1)
		for i, want := range []string{"since=1", "since=1", "since=1", "since=1", "since=1", "", "since=3"} {
			if query := <-d.asked; !strings.HasPrefix(query, want) || want == "" && query != "" {
				t.Errorf("call %d asked %q", i, query)
			}
		}
	})
	t.Run("entries that cannot be used are left out, unknown words read with care", func(t *testing.T) {
		d := discovers(t)
		odd := []string{`{"id":"","zone":"a","state":"up"}`, `{"id":"s-8","zone":"q","state":"up"}`, `7`, `{"zone":"a"}`,
			`{"id":"` + strings.Repeat("x", 300) + `","zone":"a","state":"up"}`, backendIs(6, "resting"),
			`{"id":"say \"7\"","zone":"a","state":"up","weight":"big","started_ms":-3}`}
		address, said := serves(t, d.address, listing(1, true, append(odd, backendIs(0, "up"))...), nil)
		p, h := calls(t, address), newHearer("read it", "write")
		p.says(hello)
		if err := h.apply(p.gets()); err != nil || !slices.Equal(h.picks(0), []string{"s-0", `say "7"`}) {
			t.Errorf("error %v, got %v", err, h.picks(0))
		}
		said.waits(t, `state=resting taken=draining`, 1)
	})
}

// FuzzStream gives a peer whatever bytes, as what is said by a stranger, and then by a proxy.
func FuzzStream(f *testing.F) {
	f.Add(slices.Concat(framed(hello), framed(usage), framed(probe), framed(`{"msg":"ack","node":3,"nonce":1}`)))
	f.Add(slices.Concat(framed(agent), framed(reports), framed(usage), framed("null")))
	f.Add([]byte("\x00\x10\x00\x00{"))
	for _, text := range spoilt {
		f.Add(append(framed(text), framed(probe)...))
	}
	for _, size := range []int{0, 16 << 10, 16<<10 + 1, 1 << 20, 1<<20 + 1} {
		f.Add(append(binary.BigEndian.AppendUint32(nil, uint32(size)), hello...))
	}
	for cut := range framed(hello) {
		f.Add(framed(hello)[:cut])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := fuzzed(t)
		for _, before := range []string{"", hello, agent} {
			var first []byte
			if before != "" {
				first = framed(before)
			}
			p := newPeer(&told{Reader: bytes.NewReader(append(first, raw...))}, 1, m, func(*peer) error { return nil })
			if err := p.read(); err == nil {
				t.Fatal("bytes without an end")
			}
			m.turn(func() {})
		}
	})
}

// shortOf is a listener that hands out connections, or for nil an error, and then waits.
type shortOf struct {
	net.Listener
	conns []net.Conn
	done  <-chan struct{}
}

func (s *shortOf) Close() error { return nil }

func (s *shortOf) Accept() (net.Conn, error) {
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

// told is a connection that brings some bytes and ends.
type told struct {
	net.Conn
	io.Reader
}

func (c *told) Read(b []byte) (int, error)      { return c.Reader.Read(b) }
func (c *told) RemoteAddr() net.Addr            { return &net.TCPAddr{} }
func (c *told) SetReadDeadline(time.Time) error { return nil }
func (c *told) Close() error                    { return nil }

func fuzzed(t *testing.T) *module {
	c, err := New(Place{}, configuration("127.0.0.1:9", two), Journal(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	c.module.turn(func() {})
	return c.module
}
