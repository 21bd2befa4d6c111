package controller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

// unusableMessages are not JSON objects, or have ambiguous or invalid fields.
var unusableMessages = []string{`[]`, `7`, `"hello"`, `null`, `true`, ``, `{`, `{"msg":}`, `{"msg":"demand"`, "\xff\xfe", `{}`,

	`{"msg":"hello","node":3,"node":4,"locality":"b","w":1,"cold":true}`,
	`{"msg":"demand","node":3,"route":"write","total":9,"total":900,"errors":0,"interval":1000}`,
	`{"msg":"outcomes","locality":"a","endpoint":"s-0","total":9,"errors":1,"rtt":41,"interval":1000,"metrics":{"util":0.1,"util":9}}`,
	`{"msg":"demand","node":3,"route":"write","total":1e300,"errors":0,"interval":1000}`,
	`{"msg":"demand","node":-3,"route":"write","total":9,"errors":0,"interval":1000}`,
	`{"msg":"demand","node":3,"route":"write","total":9,"errors":0,"interval":-1e300}`,
	`{"msg":"ack","node":3,"nonce":99999999999999999999}`,
	`{"msg":"outcomes","locality":"a","endpoint":"` + strings.Repeat("x", 5000) + `","total":9,"errors":1,"rtt":41,"interval":1000}`}

func TestUnusableMessages(t *testing.T) {
	t.Run("a message with any invalid field is skipped as a whole, from a proxy and from a collector", func(t *testing.T) {
		for _, text := range unusableMessages {
			for _, first := range []string{hello, agent} {
				loop, logged := newIdleLoop(t)
				loop.limits.logRepeatInterval = 0
				raw := append(append(frame(first), frame(text)...), frame(demandReport)...)
				conn := newConnection(&readerConn{Reader: bytes.NewReader(raw)}, 1, loop, func(*connection) error { return nil })
				err := conn.readMessages()
				loop.iterate(func() {})
				queued, log := loop.queues.queuedEvents(), logged.text.String()
				switch object := fastjson.Validate(text) == nil && strings.HasPrefix(text, "{"); {
				case !object && (!errors.Is(err, errUnreadable) || queued != 0):
					t.Errorf("%.60s: error %v, %d events in the inbox, want errUnreadable and none", text, err, queued)
				case object && err != io.EOF:
					t.Errorf("%.60s: error %v, want EOF", text, err)
				case object && !strings.Contains(log, "msg=message_skipped") && !strings.Contains(log, "msg=report_for_unknown_backend"):
					t.Errorf("%.60s: the message was not skipped", text)
				}
			}
		}
	})
	t.Run("a message with a hundred thousand keys is checked in linear time", func(t *testing.T) {
		text, began := []byte(`{"msg":"probe"`), time.Now()
		for i := range 100_000 {
			text = fmt.Appendf(text, `,"%x":0`, i)
		}
		address, _ := serve(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		proxy := dial(t, address)
		proxy.send(hello)
		proxy.receive()
		proxy.send(string(append(text, '}')))
		if got := string(proxy.receive()[lengthSize:]); got != aliveReply || time.Since(began) > testTimeout/4 {
			t.Errorf("got %q after %v, want %q within %v", got, time.Since(began), aliveReply, testTimeout/4)
		}
	})
	t.Run("a hello that names two proxies is refused", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		caller := dial(t, address)
		caller.send(`{"msg":"hello","node":3,"node":4,"locality":"b","w":1,"cold":true}`)
		if texts, err := caller.readRest(); err != nil || len(texts) != 1 || !strings.Contains(texts[0], errUnacceptable.Error()) {
			t.Errorf("got %q, error %v, want one refusal", texts, err)
		}
		if text, _ := logged.read(); strings.Contains(text, "msg=proxy_connected") {
			t.Error("the proxy was connected")
		}
	})
	t.Run("frame lengths of 0, of the limit, and one above the limit", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.maxFrame = 4 << 10; l.maxFirstFrame = 1 << 10; l.logRepeatInterval = 0 })
		padded := func(text string, size int) []byte { return frame(text + strings.Repeat(" ", size-len(text))) }
		for node, test := range []struct {
			first, then []byte
			accepted    bool
		}{
			{padded(helloOf(0), 1<<10), padded(probe, 4<<10), true},
			{padded(helloOf(1), 1<<10), padded(probe, 4<<10+1), false},
			{padded(helloOf(2), 1<<10), []byte{0, 0, 0, 0}, false},
			{padded(helloOf(3), 1<<10+1), nil, false},
			{[]byte{0, 0, 0, 0}, nil, false},
		} {
			proxy := dial(t, address)
			proxy.Write(test.first)
			if test.then != nil {
				proxy.receive()
				proxy.Write(test.then)
			}
			if !test.accepted {
				_, _ = proxy.readRest() // read until the connection ends
				if test.then != nil {
					logged.waitFor(t, fmt.Sprintf("msg=proxy_disconnected proxy=%d", node), 1)
				}
			} else if got := string(proxy.receive()[lengthSize:]); got != aliveReply {
				t.Errorf("proxy %d got %q, want %q", node, got, aliveReply)
			}
		}
		if text, _ := logged.read(); strings.Contains(text, "msg=proxy_connected proxy=3") {
			t.Error("a first message one byte above the limit was accepted")
		}
	})
}
