package consensus

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wheelrill/distribution"
	"wheelrill/internal/golden"
	"wheelrill/ownership"
)

func goldenEntry() ownership.Entry {
	return ownership.Entry{Member: "n0", Incarnation: 1<<63 + 5, Seq: 300, SeenToken: 4, Claims: []int{5}, Reclaims: []int{6}, Revision: 9,
		TableChanges:  []ownership.TableChange{{Table: 2, Lines: []ownership.Line{{Backend: "a", Weight: 0.5}}}},
		Confirmations: []ownership.Confirmation{{Proxy: 5, Token: 4, Revision: 8, Tables: []int{2, 2}, WithdrawalsKnown: true}}}
}

func goldenVersion() distribution.Version {
	return distribution.Version{Epoch: distribution.Epoch{Number: 1_700_000_000, Identity: 1<<63 + 7}, Revision: 12}
}

func goldenProposal() distribution.Proposal {
	return distribution.Proposal{Conditional: true, Base: goldenVersion(), Epoch: goldenVersion().Epoch, AcceptedAt: 1_700_000_000_000_000,
		Entries: []distribution.Entry{
			{Scope: "pricing", Name: "limit", Value: []byte("30")},
			{Scope: "pricing", Name: "old", Deleted: true},
		}}
}

func goldenConfiguration() *distribution.State {
	state := &distribution.State{Version: goldenVersion(), Horizon: 3}
	for i := range 3 {
		state.Entries = append(state.Entries, distribution.Entry{Scope: "pricing", Name: fmt.Sprint("n", i), Value: []byte("1"),
			Revision: uint64(10 + i), AcceptedAt: 1_700_000_000_000_000})
	}
	return state
}

// The encoding of calls, responses, log entries and snapshots must not change. In addition to the
// cases of TestEncodedCalls, the golden file has each message with every field set and with none.
func TestEncodedBytesMatchTheGoldenFile(t *testing.T) {
	e, p, version := goldenEntry(), goldenProposal(), goldenVersion()
	var text strings.Builder
	for _, c := range []struct {
		name  string
		value any
	}{
		{"call, empty", memberRequest{}},
		{"call, full", memberRequest{Entry: &e, Status: true, Name: "n0", ID: "n0/ABCDEFGH", Subscribe: true, Change: &p}},
		{"call, entry", memberRequest{Entry: &e}},
		{"call, status", memberRequest{Status: true}},
		{"call, join", memberRequest{Name: "n0", ID: "n0/ABCDEFGH"}},
		{"call, subscribe", memberRequest{Subscribe: true}},
		{"call, change", memberRequest{Change: &p}},
		{"answer, empty", memberResponse{}},
		{"answer, full", memberResponse{Accepted: true, Reason: "why", ID: "n0/ABCDEFGH", HasRecord: true, Leader: "n1",
			Version: &version, Refusal: refusedPermanently}},
		{"answer, change accepted", memberResponse{Accepted: true, Version: &version}},
		{"answer, change refused for now", memberResponse{Reason: "not the leader", Refusal: refusedRetry}},
		{"answer, change refused as the base moved", memberResponse{Reason: "moved", Refusal: refusedVersionMismatch}},
		{"answer, change refused for good", memberResponse{Reason: "no", Refusal: refusedPermanently}},
		{"log entry, record", e},
		{"log entry, configuration", configurationEntry{Kind: kindProposal, Proposal: p}},
		{"log entry, configuration, empty", configurationEntry{}},
	} {
		body, err := cbor.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s: %s\n", c.name, hex.EncodeToString(body))
	}
	var framed bytes.Buffer
	if err := send(&framed, memberRequest{Status: true}); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&text, "frame: %x\n", framed.Bytes())
	fmt.Fprintf(&text, "first byte: %x for raft, %x for calls\n", connRaft, connCalls)
	var configuration bytes.Buffer
	if err := WriteConfiguration(&configuration, goldenConfiguration()); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&text, "configuration: %x\n", configuration.Bytes())
	many := goldenConfiguration()
	for len(many.Entries) < 2*entriesPerChunk+1 {
		many.Entries = append(many.Entries, distribution.Entry{Scope: "s", Name: fmt.Sprint(len(many.Entries)), Revision: 12})
	}
	configuration.Reset()
	if err := WriteConfiguration(&configuration, many); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&text, "pieces of a long configuration:%s\n", sequenceLengths(t, configuration.Bytes()))
	golden.Compare(t, "encoded.txt", text.String())
}

// sequenceLengths returns the number of bytes of each item of a CBOR sequence.
func sequenceLengths(t *testing.T, sequence []byte) (text string) {
	t.Helper()
	for len(sequence) > 0 {
		var item cbor.RawMessage
		rest, err := cbor.UnmarshalFirst(sequence, &item)
		if err != nil {
			t.Fatal(err)
		}
		text += fmt.Sprint(" ", len(item))
		sequence = rest
	}
	return text
}

// firstBytes returns the first bytes, at most length, that dial writes on its connection to a
// listener.
func firstBytes(t *testing.T, length int, dial func(address string)) []byte {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan []byte, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			got <- nil
			return
		}
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		text := make([]byte, length)
		n, _ := io.ReadFull(conn, text)
		got <- text[:n]
	}()
	dial(l.Addr().String())
	return <-got
}

// The bytes at the beginning of each kind of connection, and those of a member's responses to
// calls, must not change, as members of other releases send and expect them.
func TestConversationsMatchTheGoldenFile(t *testing.T) {
	var text strings.Builder
	plain := func(address string) *transport {
		return newTransport(map[string]string{"n0": address}, nil)
	}
	fmt.Fprintf(&text, "raft at a member: %x\n", firstBytes(t, 17, func(address string) {
		conn, err := (&streamLayer{transport: plain(address)}).Dial(addressOf("n0", "n0/ABCDEFGH"), 0)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}))
	fmt.Fprintf(&text, "a subscriber: %x\n", firstBytes(t, 8, func(address string) {
		s, err := NewSubscriber(Credentials{})
		if err != nil {
			t.Fatal(err)
		}
		if conn, err := s.Dial(context.Background(), "n0@"+address); err == nil {
			conn.Close()
			t.Error("Dial succeeded without a response to its call, want an error")
		}
	}))
	a := startMember(t, Config{Name: "n0", Members: freeAddresses(t, "n0", "n1")})
	address := a.transport.members["n0"]
	for _, c := range []struct {
		name, sent string
	}{
		{"nobody may subscribe", "a105f5"},
		{"an entry of another member", "a101a501616102010302" + "0ea201fb000000000000000002fb0000000000000000" + "0ca201000200"},
		{"joining under another name", "a20361610463612f31"},
		{"an entry where nobody leads", "a101a501626e3002010302" + "0ea201fb000000000000000002fb0000000000000000" + "0ca201000200"},
		{"a change where nobody leads", "a106a10405"},
	} {
		// The caller sends the purpose byte for calls, followed by a frame that contains one call.
		body, err := hex.DecodeString(fmt.Sprintf("%02x%08x", 'c', len(c.sent)/2) + c.sent)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := conn.Write(body); err != nil {
			t.Fatal(err)
		}
		head := make([]byte, 4)
		if _, err := io.ReadFull(conn, head); err != nil {
			t.Fatal(c.name, err)
		}
		got := make([]byte, int(head[2])<<8|int(head[3]))
		if _, err := io.ReadFull(conn, got); err != nil {
			t.Fatal(c.name, err)
		}
		conn.Close()
		fmt.Fprintf(&text, "%s: %x answered %x%x %q\n", c.name, body, head, got, got)
	}
	golden.Compare(t, "conversations.txt", text.String())
}

// describe returns the content of a member's ownership record and configuration record as text. The
// golden files contain this text.
func describe(m *stateMachine) string {
	var text strings.Builder
	printLine := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	m.withRecord(func(record *ownership.Record) {
		printLine("last token %d", record.Token)
		for _, member := range slices.Sorted(maps.Keys(record.Members)) {
			printLine("member %s is %d, was %v", member, record.Members[member], record.PastIncarnations[member])
		}
		for _, id := range slices.Sorted(maps.Keys(record.Incarnations)) {
			incarnation := record.Incarnations[id]
			printLine("process %d of %s: last entry %d, closed %v, edition %d", id, incarnation.Member,
				incarnation.Seq, incarnation.Closed, incarnation.Revision)
			for _, number := range slices.Sorted(maps.Keys(incarnation.Tables)) {
				for _, backend := range slices.Sorted(maps.Keys(incarnation.Tables[number].Lines)) {
					line := incarnation.Tables[number].Lines[backend]
					printLine("  table %d: %s %g set by %d", number, backend, line.Weight, line.Revision)
				}
			}
		}
		for _, proxy := range slices.Sorted(maps.Keys(record.Proxies)) {
			owned := record.Proxies[proxy]
			printLine("proxy %d: of %s as %d, token %d, confirmed %d of tables %v, sure %v, %d moves", proxy,
				owned.Owner, owned.Incarnation, owned.Token, owned.Revision, owned.Tables, owned.WithdrawalsKnown, len(owned.Moves))
		}
	})
	state := m.configuration.state()
	if state == nil {
		printLine("no configuration")
		return text.String()
	}
	printLine("configuration at revision %d of %d-%d, horizon %d", state.Version.Revision,
		state.Version.Epoch.Number, state.Version.Epoch.Identity, state.Horizon)
	for _, e := range state.Entries {
		printLine("  %s %s = %q since %d at %d, deleted %v", e.Scope, e.Name, e.Value, e.Revision, e.AcceptedAt, e.Deleted)
	}
	return text.String()
}

// writeVoter runs a member on a folder until the folder has a snapshot, and log entries after the
// snapshot.
func writeVoter(t *testing.T, folder string, configured bool) {
	t.Helper()
	config := Config{Name: "n0", Members: freeAddresses(t, "n0"), Folder: folder}
	if configured {
		config.Distribution = &fakeDistribution{}
	}
	m := startMember(t, config)
	m.commit(t, ownership.Entry{Member: "n0", Incarnation: 5, Seq: 1, Claims: []int{3, 4}, Revision: 1,
		TableChanges: []ownership.TableChange{{Table: 0, Lines: []ownership.Line{{Backend: "a", Weight: 1}, {Backend: "b", Weight: 0.25}}}}})
	if configured {
		configure(t, m, entry("x", "1"), entry("y", "1"))
	}
	r := m.current().raft
	if err := r.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	m.commit(t, ownership.Entry{Member: "n0", Incarnation: 5, Seq: 2, Revision: 2,
		TableChanges:  []ownership.TableChange{{Table: 0, Lines: []ownership.Line{{Backend: "a", Weight: 0}}}},
		Confirmations: []ownership.Confirmation{{Proxy: 3, Token: 1, Revision: 2, Tables: []int{0, 0}, WithdrawalsKnown: true}}})
	if configured {
		configure(t, m, entry("x", "2"), entry("z", "1"))
	}
	m.stop()
}

// A voter has to read a folder that an earlier release wrote, with a snapshot and with log entries
// after the snapshot.
func TestStoredFolderIsRead(t *testing.T) {
	for _, name := range []string{"record", "configuration"} {
		t.Run(name, func(t *testing.T) {
			stored := filepath.Join("testdata", "voter-"+name)
			if golden.Updating() {
				if err := os.RemoveAll(stored); err != nil {
					t.Fatal(err)
				}
				if err := os.MkdirAll(stored, 0o755); err != nil {
					t.Fatal(err)
				}
				writeVoter(t, stored, name == "configuration")
			}
			folder := t.TempDir()
			if err := os.CopyFS(folder, os.DirFS(stored)); err != nil {
				t.Fatal(err)
			}
			m := startMember(t, Config{Name: "n0", Members: freeAddresses(t, "n0"), Folder: folder})
			m.waitFor(t, "entry committed n0 5 2") // this entry follows the snapshot in the stored log
			if restored, _ := m.has("snapshot restored"); !restored {
				t.Error("the member did not restore the snapshot")
			}
			if name == "configuration" {
				waitUntil(t, "the last change of the configuration is applied", func() bool {
					machine := m.current().machine
					state := machine.configuration.state()
					return state != nil && state.Version.Revision == 2
				})
			}
			machine := m.current().machine
			golden.Compare(t, "voter-"+name+".txt", "id "+m.ID()+"\n"+describe(machine))
			// The member must be able to append entries to the record that it read from the folder.
			m.commit(t, ownership.Entry{Member: "n0", Incarnation: 5, Seq: 3, Claims: []int{3}})
		})
	}
}

// A member has to read the body of a snapshot that an earlier release wrote, with and without a
// configuration.
func TestStoredSnapshotIsRead(t *testing.T) {
	for _, name := range []string{"record", "configuration"} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join("testdata", "snapshot-"+name+".cbor")
			if golden.Updating() {
				m := machineWith(t)
				if name == "configuration" {
					m = machineWith(t, entry("x", "1"), entry("y", "2"), entry("x", "3"))
				}
				e := goldenEntry()
				e.Seq = 1
				m.record.Apply(e)
				m.record.Apply(ownership.Entry{Member: "n1", Incarnation: 21, Seq: 1, Claims: []int{9}, Stamp: ownership.Stamp{Leader: 9, At: 50}})
				if err := os.WriteFile(path, snapshotOf(t, m), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			body, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			m := &stateMachine{
				events:        newEventLog(),
				record:        ownership.NewRecord(),
				configuration: newConfigurationRecord(nil, nil),
				onUnreadable:  func(err error) { t.Error(err) },
			}
			if err := m.Restore(io.NopCloser(bytes.NewReader(body))); err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "snapshot-"+name+".txt", describe(m))
			state, err := ReadConfiguration(nil)
			if state != nil || err != nil {
				t.Errorf("an empty body: got state %+v, error %v; want neither", state, err)
			}
			if _, err := ReadConfiguration([]byte{0xa0}); err == nil || errors.Is(err, io.EOF) {
				t.Errorf("a configuration without an epoch: got error %v, want one other than io.EOF", err)
			}
		})
	}
}
