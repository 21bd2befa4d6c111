package fake

import (
	"encoding/json"
	"testing"
)

// TestMessagesMatchTheWireFormat guards against a change of the bytes that proxies, collectors and
// discovery send, and of the keys by which pushes are read: real controllers would not understand
// them.
func TestMessagesMatchTheWireFormat(t *testing.T) {
	for _, c := range []struct {
		name    string
		message any
		want    string
	}{
		{"hello", hello{"hello", 7, "a", 4.5, true, false}, `{"msg":"hello","node":7,"locality":"a","w":4.5,"cold":true}`},
		{"hello of a fenced proxy", hello{"hello", 7, "a", 4, false, true},
			`{"msg":"hello","node":7,"locality":"a","w":4,"cold":false,"fence":true}`},
		{"ack", ack{"ack", 7, 31, 1}, `{"msg":"ack","node":7,"nonce":31,"latency":1}`},
		{"demand", demandReport{"demand", 7, "order", 12, 0, 1000},
			`{"msg":"demand","node":7,"route":"order","total":12,"errors":0,"interval":1000}`},
		{"outcomes", outcomeReport{"outcomes", "a", "w-01", 12, 3, 1.25, 1000},
			`{"msg":"outcomes","locality":"a","endpoint":"w-01","total":12,"errors":3,"rtt":1.25,"interval":1000}`},
		{"probe", probe{"probe"}, `{"msg":"probe"}`},
		{"agent", agent{"a", "agent"}, `{"locality":"a","msg":"agent"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			framed := frame(c.message)
			if got := string(framed[4:]); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
			if framed[0] != 0 || framed[1] != 0 || framed[2] != 0 || int(framed[3]) != len(c.want) {
				t.Errorf("header %v for a body of %d bytes", framed[:4], len(c.want))
			}
		})
	}
	t.Run("discovery", func(t *testing.T) {
		body, err := json.Marshal(discoveryAnswer{Version: 5, Full: true, Servers: []discoveryEntry{
			{ID: "w-01", Addr: "w-01", Zone: "a", Kind: "w", Cell: 2, State: "up", Weight: 1, Started: 77, version: 4},
		}})
		const want = `{"version":5,"full":true,"servers":[{"id":"w-01","addr":"w-01","zone":"a","kind":"w","cell":2,` +
			`"state":"up","weight":1,"started_ms":77}]}`
		if err != nil || string(body) != want {
			t.Errorf("got %s and error %v, want %s", body, err, want)
		}
	})
	t.Run("the keys of a push", func(t *testing.T) {
		var p pushPart
		text := `{"msg":"push","token":5,"classes":["read"],"whole":true,"lines":[["w-00",1]],"level":2.5,"retry":2,` +
			`"out":["w-01"],"back":["w-02"],"ticket":9,"more":true}`
		if err := json.Unmarshal([]byte(text), &p); err != nil {
			t.Fatal(err)
		}
		if p.Msg != "push" || p.Token != 5 || p.Classes[0] != "read" || !p.Full ||
			p.Entries[0][0] != "w-00" || p.Entries[0][1] != 1. ||
			*p.Limit != 2.5 || p.Retry != 2 || p.Withdrawn[0] != "w-01" || p.Restored[0] != "w-02" || *p.Nonce != 9 || !p.More {
			t.Errorf("decoded %s to %+v", text, p)
		}
		if n := p.lines(); n != 6 {
			t.Errorf("the part costs %d lines, want 6", n)
		}
	})
}
