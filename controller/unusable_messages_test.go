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

// unusableMessages are messages that are none, or cannot be read one way only.
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
	t.Run("a message is taken whole or not at all, whoever sends it", func(t *testing.T) {
		for _, text := range unusableMessages {
			for _, first := range []string{hello, agent} {
				loop, logged := newIdleLoop(t)
				loop.limits.logRepeatInterval = 0
				raw := append(append(frame(first), frame(text)...), frame(demandReport)...)
				conn := newConnection(&readerConn{Reader: bytes.NewReader(raw)}, 1, loop, func(*connection) error { return nil })
				err := conn.readMessages()
				loop.iterate(func() {})
				came, log := len(loop.inbox), logged.text.String()
				switch object := fastjson.Validate(text) == nil && strings.HasPrefix(text, "{"); {
				case !object && (!errors.Is(err, errUnreadable) || came != 0):
					t.Errorf("%.60s: the stream went on: %v", text, err)
				case object && err != io.EOF:
					t.Errorf("%.60s: the stream ended: %v", text, err)
				case object && !strings.Contains(log, "msg=message_skipped") && !strings.Contains(log, "msg=report_for_unknown_backend"):
					t.Errorf("%.60s: taken", text)
				}
			}
		}
	})
	t.Run("a message of a hundred thousand keys costs no more than its length", func(t *testing.T) {
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
			t.Errorf("got %q after %v", got, time.Since(began))
		}
	})
	t.Run("nobody joins by a hello that names two", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		caller := dial(t, address)
		caller.send(`{"msg":"hello","node":3,"node":4,"locality":"b","w":1,"cold":true}`)
		if texts, err := caller.readRest(); err != nil || len(texts) != 1 || !strings.Contains(texts[0], errUnacceptable.Error()) {
			t.Errorf("got %q, error %v", texts, err)
		}
		if text, _ := logged.read(); strings.Contains(text, "msg=proxy_connected") {
			t.Error("it has joined")
		}
	})
	t.Run("lengths of nothing, of the limit and of one more", func(t *testing.T) {
		address, logged := serve(t, newFakeDiscovery(t).address, twoEndpoints, func(l *limits) { l.maxFrame = 4 << 10; l.maxFirstFrame = 1 << 10; l.logRepeatInterval = 0 })
		padded := func(text string, size int) []byte { return frame(text + strings.Repeat(" ", size-len(text))) }
		for node, x := range []struct {
			first, then []byte
			stays       bool
		}{
			{padded(helloOf(0), 1<<10), padded(probe, 4<<10), true},
			{padded(helloOf(1), 1<<10), padded(probe, 4<<10+1), false},
			{padded(helloOf(2), 1<<10), []byte{0, 0, 0, 0}, false},
			{padded(helloOf(3), 1<<10+1), nil, false},
			{[]byte{0, 0, 0, 0}, nil, false},
		} {
			proxy := dial(t, address)
			proxy.Write(x.first)
			if x.then != nil {
				proxy.receive()
				proxy.Write(x.then)
			}
			if !x.stays {
				_, _ = proxy.readRest() // until the stream ends
				if x.then != nil {
					logged.waitFor(t, fmt.Sprintf("msg=proxy_disconnected proxy=%d", node), 1)
				}
			} else if got := string(proxy.receive()[lengthSize:]); got != aliveReply {
				t.Errorf("node %d got %q", node, got)
			}
		}
		if text, _ := logged.read(); strings.Contains(text, "msg=proxy_connected proxy=3") {
			t.Error("one byte more than an unidentified connection may send was taken")
		}
	})
}
