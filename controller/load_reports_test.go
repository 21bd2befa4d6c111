package controller

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

func TestLoadReports(t *testing.T) {
	// accepted lets a connection read the message first, which identifies the peer, and then the
	// messages texts. It returns how many of the messages texts reach the loop's inbox.
	accepted := func(t *testing.T, first string, texts ...string) int {
		loop, _ := newIdleLoop(t)
		raw := frame(first)
		for _, text := range texts {
			raw = append(raw, frame(text)...)
		}
		conn := newConnection(&readerConn{Reader: bytes.NewReader(raw)}, 1, loop, func(*connection) error { return nil })
		if err := conn.readMessages(); err != io.EOF {
			t.Errorf("readMessages returned %v, want EOF", err)
		}
		return loop.queues.queuedEvents() - strings.Count(first, "hello")
	}
	full := strings.Replace(outcomesReport, "41.7", `41.7,"metrics":{"util":0.5,"queue":2,"latency_ms":30}`, 1)
	ack := `{"msg":"ack","node":3,"nonce":1,"latency":3.5}`
	for name, test := range map[string]struct {
		first, valid string
		// invalid holds pairs: a part of the message valid, and a replacement of that part which
		// makes the message invalid.
		invalid []string
		// ignored holds pairs: a part of the message valid, and a replacement of that part which
		// changes nothing, as the controller does not read the field.
		ignored []string
	}{
		"outcomes": {agent, full, []string{`"total":9`, `"total":9.5`, `"total":9`, `"total":null`, `"total":9`, `"was":9`, `"total":9`,
			`"total":1e8`, `"total":9`, `"total":-9`, `"errors":1`, `"errors":10`, `"errors":1`, `"errors":"1"`, `"errors":1`, `"was":1`,
			`41.7`, `-41.7`, `41.7`, `8001`, `"rtt":41.7`, `"was":1`, `41.7`, `[41.7]`, `1000.0`, `0`, `1000.0`, `1e9`, `"interval"`, `"was"`,
			`"s-0"`, `7`, `"a"`, `"z"`, `"locality"`, `"was"`, `0.5`, `"much"`, `0.5`, `-0.5`, `0.5`, `1e6`, `{"util`, `[],"was":{"util`,
			`"queue":2`, `"queue":{}`, `:30}`, `:9e9}`}, []string{`"util"`, `"inflight":"x","util"`}},
		"demand": {hello, demandReport, []string{`"node":3`, `"node":4`, `"node":3`, `"node":"3"`, `"node":3`, `"was":3`, `"node":3`, `"node":40`,
			`"total":9`, `"total":"9"`, `"total":9`, `"total":-1`, `"total":9`, `"total":5000`, `"total":9`, `"was":9`, `"write"`, `"lost"`,
			`"write"`, `0`, `"route"`, `"was"`, `1000.0`, `-1`, `1000.0`, `1e9`, `1000.0`, `true`}, []string{`"errors":0`, `"errors":[]`}},
		"acknowledgements": {hello, ack, []string{
			`"nonce":1`, `"nonce":-1`, `"nonce":1`, `"nonce":65536`, `"nonce":1`, `"nonce":1.5`, `"nonce":1`,
			`"nonce":"1"`, `"nonce"`, `"was"`, `"node":3`, `"node":4`}, []string{`3.5`, `"x"`, `"node":3`, `"node":"x"`}},
	} {
		t.Run(name, func(t *testing.T) {
			var texts []string
			for i := 0; i < len(test.invalid); i += 2 {
				invalid := strings.Replace(test.valid, test.invalid[i], test.invalid[i+1], 1)
				if n := accepted(t, test.first, invalid); n != 0 || invalid == test.valid {
					t.Errorf("invalid message accepted, or left unchanged by the replacement: %s", invalid)
				}
				texts = append(texts, invalid, test.valid)
			}
			if n := accepted(t, test.first, texts...); n != len(test.invalid)/2 {
				t.Errorf("%d of %d valid messages between invalid ones were accepted", n, len(test.invalid)/2)
			}
			for i := 0; i < len(test.ignored); i += 2 {
				if text := strings.Replace(test.valid, test.ignored[i], test.ignored[i+1], 1); accepted(t, test.first, text) != 1 {
					t.Errorf("message with an invalid unused field not accepted: %s", text)
				}
			}
		})
	}
	t.Run("a proxy is served although optional fields of its hello are invalid", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		for _, fields := range []string{`"w":-1,"cold":true`, `"w":1e30,"cold":true`, `"w":"x","cold":true`,
			`"w":[],"cold":7`} {
			fake := newFakeProxy("read it", "write")
			raw := frame(strings.Replace(hello, `"w":12.5,"cold":true`, fields, 1))
			conn := newConnection(&readerConn{Reader: bytes.NewReader(raw)}, 1, loop,
				func(*connection) error { return nil })
			_ = conn.readMessages() // readMessages ends with the input, so its error is not checked
			if loop.iterate(func() {}); !loop.isCurrent(conn) {
				t.Fatalf("%s: the proxy is not connected", fields)
			}
			if fake.receive(t, conn); len(fake.picks(0)) != 2 {
				t.Errorf("%s: picks %v, want two", fields, fake.picks(0))
			}
			loop.iterate(func() { loop.proxyDisconnected(conn) })
			advance(loop, 5*microsPerSecond, func() {})
		}
	})
}
