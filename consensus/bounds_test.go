package consensus

import (
	"bytes"
	"net"
	"testing"
	"time"

	"wheelrill/distribution"
	"wheelrill/internal/frame"
	"wheelrill/internal/intake"
)

// dialMember opens a connection for calls, as any process on this machine can.
func dialMember(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// TestCallersShareTheMemory guards against callers of a member's address that make the process hold
// more memory than it is configured for: each of them had up to 4 MiB, and their number was not bounded.
func TestCallersShareTheMemory(t *testing.T) {
	addresses := freeAddresses(t, "a")
	m := startMember(t, Config{Name: "a", Members: addresses, Bounds: frame.NewBounds(intake.NewMemory(1 << 20)), MaxConnections: 12})
	waitUntil(t, "the member leads", func() bool { return m.leaderName() == "a" })
	var call bytes.Buffer
	call.WriteByte(byte(connCalls))
	change := distribution.Proposal{Entries: []distribution.Entry{{Scope: "s", Name: "n", Value: make([]byte, 300_000)}}}
	if err := send(&call, memberRequest{Change: &change}); err != nil {
		t.Fatal(err)
	}
	var stalled []net.Conn
	for range 6 {
		conn := dialMember(t, addresses["a"])
		conn.Write(call.Bytes()[:150_000])
		stalled = append(stalled, conn)
	}
	sound := dialMember(t, addresses["a"])
	sound.Write(call.Bytes())
	var response memberResponse
	if err := receive(sound, &response); err != nil || !response.Accepted {
		t.Errorf("the sound change got %+v, error %v, want it accepted", response, err)
	}
	response = memberResponse{}
	if err := receive(stalled[0], &response); err != nil || response.Reason != reasonStalled {
		t.Errorf("the call that stopped half way got %+v, error %v, want the reason %q", response, err, reasonStalled)
	}
	large := dialMember(t, addresses["a"])
	large.Write([]byte{byte(connCalls), 0, 0x10, 0, 0}) // announces 1 MiB
	response = memberResponse{}
	if err := receive(large, &response); err != nil || response.Reason != reasonTooLarge {
		t.Errorf("the call that needs too much memory got %+v, error %v, want the reason %q", response, err, reasonTooLarge)
	}
	for range 40 { // these say nothing, and have to give way
		dialMember(t, addresses["a"])
	}
	waitUntil(t, "a member is served while connections are silent", func() bool {
		conn := dialMember(t, addresses["a"])
		conn.Write([]byte{byte(connCalls)})
		response, err := roundTrip(conn, memberRequest{Status: true})
		return err == nil && response.ID != ""
	})
}
