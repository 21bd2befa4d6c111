package transport

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"wheelrill/distribution"
	"wheelrill/internal/frame"
	"wheelrill/internal/golden"
)

// wireMessage is a message whose encoding is in the golden file, and the name of its line in that
// file.
type wireMessage struct {
	name    string
	message distribution.Message
	full    bool // every field of the message is set
}

// refusalsOnTheWire lists the refusal reasons in the order of their numbers on the wire.
var refusalsOnTheWire = []distribution.RefusalReason{
	distribution.RefusedFull,
	distribution.RefusedBusy,
	distribution.RefusedNotCovered,
	distribution.RefusedLoop,
	distribution.RefusedTooDeep,
	distribution.RefusedEmpty,
	distribution.RefusedMalformed,
	distribution.RefusedConflict,
}

// wireMessages returns every type of message with every field set, with no field set, and in a few
// other forms.
func wireMessages() []wireMessage {
	recordEpoch := distribution.Epoch{Number: 1_764_700_000, Identity: 0x1122334455667788}
	at := distribution.Version{Epoch: recordEpoch, Revision: 70_000}
	digest := distribution.Digest{High: 0xfedcba9876543210, Low: 0x0123456789abcdef}
	scopes := distribution.Scopes{All: true, Names: []string{"orders", "pricing"}}
	set := distribution.Entry{Scope: "pricing", Name: "weight/s-1", Value: []byte("0.5"), Revision: 69_999, Deleted: true,
		AcceptedAt: 1_764_700_001_234_567}
	deleted := distribution.Entry{Scope: "pricing", Name: "drain/s-2", Deleted: true}
	path := []string{"n0@10.0.0.4:9443", "r1@10.0.1.7:9443"}
	others := []string{"r2@10.0.1.8:9443", "r3@10.0.1.9:9443"}
	change := distribution.Change{Epoch: recordEpoch, Revision: 70_000, AcceptedAt: 1_764_700_002_000_000,
		Entries: []distribution.Entry{set, deleted}}
	all := []wireMessage{
		{"subscribe, every field", &distribution.Subscribe{Name: "s17@10.0.2.1:9443", Scopes: scopes, Version: at,
			Digest: digest, WantSnapshot: true, FanOut: 16, Request: 3}, true},
		{"subscribe, the least", &distribution.Subscribe{}, false},
		{"subscribe, two scopes", &distribution.Subscribe{Name: "s17",
			Scopes: distribution.SomeScopes("pricing", "orders"), Request: 1}, false},
		{"admitted, every field", &distribution.Admitted{Lease: 1_800_000, Version: at, Path: path, Age: 250_000,
			Candidates: others, Request: 3}, true},
		{"admitted, the least", &distribution.Admitted{}, false},
		{"admitted, never current", &distribution.Admitted{Age: distribution.NeverCurrent}, false},
		{"refused, every field", &distribution.Refused{Reason: distribution.RefusedFull, RetryAfter: 5_000_000,
			Candidates: others}, true},
		{"refused, the least", &distribution.Refused{}, false},
		{"delta, every field", &distribution.Delta{Epoch: recordEpoch, Previous: 69_990, Revision: 70_000,
			Changes: []distribution.Change{change}, Digest: digest}, true},
		{"delta, the least", &distribution.Delta{}, false},
		{"delta, a change as it is sent", &distribution.Delta{Epoch: recordEpoch, Previous: 1, Revision: 2,
			Changes: []distribution.Change{{Revision: 2, AcceptedAt: 5, Entries: []distribution.Entry{deleted}}},
			Digest:  digest}, false},
		{"piece of a snapshot, every field", &distribution.SnapshotPiece{Version: at, Index: 7, Last: true,
			Entries: []distribution.Entry{set}, Horizon: 60_000, Digest: digest}, true},
		{"piece of a snapshot, the least", &distribution.SnapshotPiece{}, false},
		{"heartbeat, every field", &distribution.Heartbeat{Epoch: recordEpoch, Previous: 69_990, Revision: 70_000,
			Digest: digest, Path: path, Age: 250_000, Candidates: others, Source: at}, true},
		{"heartbeat, the least", &distribution.Heartbeat{}, false},
		{"renew, every field", &distribution.Renew{Version: at, Received: 1_000}, true},
		{"renew, the least", &distribution.Renew{}, false},
	}
	for i, reason := range refusalsOnTheWire {
		all = append(all, wireMessage{fmt.Sprintf("refused, reason %d", i+1), &distribution.Refused{Reason: reason}, false})
	}
	return all
}

// firstZeroField returns the path of the first field within a value that has its zero value, or ""
// if every field is set. In a list only the first element is examined.
func firstZeroField(name string, value reflect.Value) string {
	switch value.Kind() {
	case reflect.Pointer:
		return firstZeroField(name, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			if found := firstZeroField(name+"."+value.Type().Field(i).Name, value.Field(i)); found != "" {
				return found
			}
		}
		return ""
	case reflect.Slice:
		if value.Len() > 0 {
			return firstZeroField(name+"[0]", value.Index(0))
		}
	}
	if value.IsZero() {
		return name
	}
	return ""
}

// writtenBytes returns the bytes that a link writes for a message.
func writtenBytes(t *testing.T, m distribution.Message) []byte {
	t.Helper()
	c := New(Config{Node: distribution.Config{Name: "writer"}})
	readEnd, writeEnd := net.Pipe()
	l := &link{transport: c, conn: writeEnd}
	if !l.send(m) {
		t.Fatal("the queue of a new link is full")
	}
	l.close() // the link closes the connection once the message is written
	bytes, err := io.ReadAll(readEnd)
	if err != nil {
		t.Fatal(err)
	}
	c.goroutines.Wait()
	return bytes
}

// goldenMessages reads the golden file. Each line holds the name of a message and its bytes in
// hexadecimal.
func goldenMessages(t *testing.T, path string) map[string][]byte {
	t.Helper()
	body, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden := map[string][]byte{}
	for line := range strings.Lines(string(body)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), ": ")
		decoded, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		golden[name] = decoded
	}
	return golden
}

// Guards against changes to the wire format: each message has to be written as the bytes in the
// golden file, and these bytes have to be read as the same message.
func TestMessagesAreWrittenAndReadAsTheGoldenFileHasThem(t *testing.T) {
	path := filepath.Join("testdata", "messages.golden")
	messages := wireMessages()
	if golden.Updating() {
		var lines strings.Builder
		for _, m := range messages {
			fmt.Fprintf(&lines, "%s: %x\n", m.name, writtenBytes(t, m.message))
		}
		if err := os.WriteFile(path, []byte(lines.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden := goldenMessages(t, path)
	if len(golden) != len(messages) {
		t.Errorf("the golden file has %d messages, the test has %d", len(golden), len(messages))
	}
	for _, m := range messages {
		t.Run(m.name, func(t *testing.T) {
			if missing := firstZeroField("message", reflect.ValueOf(m.message)); m.full && missing != "" {
				t.Errorf("field %s is not set, though the message should have every field", missing)
			}
			want := golden[m.name]
			if got := writtenBytes(t, m.message); !bytes.Equal(got, want) {
				t.Errorf("the message is written as\n%x, the golden file has\n%x", got, want)
			}
			var envelope distribution.Envelope
			if err := frame.Read(bufio.NewReader(bytes.NewReader(want)), DefaultMessageBytes, &envelope); err != nil {
				t.Fatal(err)
			}
			if got, err := envelope.Message(); err != nil || !reflect.DeepEqual(got, m.message) {
				t.Errorf("the golden bytes are read as %+v, %v; want %+v", got, err, m.message)
			}
		})
	}
}
