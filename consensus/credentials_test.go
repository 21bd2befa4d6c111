package consensus

import (
	"context"
	"os"
	"testing"
	"time"

	"wheelrill/internal/testcert"
	"wheelrill/ownership"
)

// A connection is served only if its certificate is from the members' authority and valid for a
// member's name, and that member may make calls and raft connections only under its own name and
// ID.
func TestMemberIsServedOnlyUnderItsOwnName(t *testing.T) {
	authority, foreignAuthority := testcert.NewAuthority(t), testcert.NewAuthority(t)
	addresses := freeAddresses(t, "a", "b")
	a := startMember(t, Config{Name: "a", Members: addresses, Credentials: issueCredentials(t, authority, "a")})
	b := startMember(t, Config{Name: "b", Members: addresses, Credentials: issueCredentials(t, authority, "b")})
	a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
	b.waitFor(t, "entry committed a 1 1")

	call := func(credentials Credentials, member string, request memberRequest) (memberResponse, error) {
		tlsConfig, err := credentials.tlsConfig()
		if err != nil {
			t.Fatal(err)
		}
		caller := newTransport(addresses, tlsConfig)
		conn, err := caller.dial(context.Background(), member, connCalls)
		if err != nil {
			return memberResponse{}, err
		}
		defer conn.Close()
		return roundTrip(conn, request)
	}
	for name, credentials := range map[string]Credentials{
		"a certificate of another authority":    issueCredentials(t, foreignAuthority, "b"),
		"a certificate for a name of no member": issueCredentials(t, authority, "z"),
		"plain text":                            {},
	} {
		t.Run(name+" is refused", func(t *testing.T) {
			if got, err := call(credentials, "a", memberRequest{Status: true}); err == nil {
				t.Errorf("got response %+v, want an error", got)
			}
		})
	}
	t.Run("a member may not make calls in the name of another", func(t *testing.T) {
		leader := a.status().Leader
		credentials := issueCredentials(t, authority, "b")
		entry := &ownership.Entry{Member: "a", Incarnation: 9, Seq: 1}
		got, err := call(credentials, leader, memberRequest{Entry: entry})
		if err != nil || got.Accepted || got.Reason == "" {
			t.Errorf("an entry of another member: got %+v, error %v, want a refusal with a reason", got, err)
		}
		if got, err := call(credentials, leader, memberRequest{Name: "a", ID: "a/x"}); err != nil || got.Accepted {
			t.Errorf("admission of another member: got %+v, error %v, want a refusal", got, err)
		}
	})
	t.Run("a raft connection for an earlier ID of a member is refused", func(t *testing.T) {
		tlsConfig, _ := issueCredentials(t, authority, "b").tlsConfig()
		layer := &streamLayer{transport: newTransport(addresses, tlsConfig)}
		conn, err := layer.Dial(addressOf("a", "a/older"), 0)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil || os.IsTimeout(err) {
			t.Errorf("read %d bytes, error %v; want a closed connection", n, err)
		}
	})
}
