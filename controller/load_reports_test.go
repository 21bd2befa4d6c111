package controller

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

func TestLoadReports(t *testing.T) {
	taken := func(t *testing.T, first string, texts ...string) int {
		loop, _ := newIdleLoop(t)
		raw := frame(first)
		for _, text := range texts {
			raw = append(raw, frame(text)...)
		}
		conn := newConnection(&readerConn{Reader: bytes.NewReader(raw)}, 1, loop, func(*connection) error { return nil })
		if err := conn.readMessages(); err != io.EOF {
			t.Errorf("the stream ended with %v", err)
		}
		return len(loop.inbox) - strings.Count(first, "hello")
	}
	full := strings.Replace(outcomesReport, "41.7", `41.7,"metrics":{"util":0.5,"queue":2,"latency_ms":30}`, 1)
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
		"demand": {hello, demandReport, []string{`"node":3`, `"node":4`, `"node":3`, `"node":"3"`, `"node":3`, `"was":3`, `"node":3`, `"node":40`,
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
		loop, _ := newIdleLoop(t)
		for _, w := range []string{`"w":-1,"cold":true`, `"w":1e30,"cold":true`, `"w":"x","cold":true`, `"w":[],"cold":7`} {
			fake := newFakeProxy("read it", "write")
			conn := newConnection(&readerConn{Reader: bytes.NewReader(frame(strings.Replace(hello, `"w":12.5,"cold":true`, w, 1)))}, 1, loop,
				func(*connection) error { return nil })
			_ = conn.readMessages() // the end of its input
			if loop.iterate(func() {}); !loop.isCurrent(conn) {
				t.Fatalf("%s: it has not joined", w)
			}
			if fake.receive(t, conn); len(fake.picks(0)) != 2 {
				t.Errorf("%s: picks %v", w, fake.picks(0))
			}
			loop.iterate(func() { loop.proxyDisconnected(conn) })
			advance(loop, 5*microsPerSecond, func() {})
		}
	})
}
