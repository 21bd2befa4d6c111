package consensus

import (
	"context"
	"os"
	"testing"
	"time"

	"wheelrill/internal/testcert"
	"wheelrill/ownership"
)

func TestOnlyMembersWithTheirOwnNameAreServed(t *testing.T) {
	ours, foreign := testcert.NewAuthority(t), testcert.NewAuthority(t)
	at := freeAddresses(t, "a", "b")
	a := startMember(t, Config{Name: "a", Members: at, Credentials: issueCredentials(t, ours, "a")})
	b := startMember(t, Config{Name: "b", Members: at, Credentials: issueCredentials(t, ours, "b")})
	a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
	b.waitFor(t, "recorded a 1 1")

	asks := func(given Credentials, to string, c memberRequest) (memberResponse, error) {
		tlsConfig, err := given.tlsConfig()
		if err != nil {
			t.Fatal(err)
		}
		l := newTransport(at, tlsConfig)
		conn, err := l.dial(context.Background(), to, connCalls)
		if err != nil {
			return memberResponse{}, err
		}
		defer conn.Close()
		return roundTrip(conn, c)
	}
	for name, given := range map[string]Credentials{"a foreign authority": issueCredentials(t, foreign, "b"),
		"a name that is no member's": issueCredentials(t, ours, "z"), "plain text": {}} {
		t.Run(name+" is refused", func(t *testing.T) {
			if got, err := asks(given, "a", memberRequest{Status: true}); err == nil {
				t.Errorf("got %+v", got)
			}
		})
	}
	t.Run("a member may not speak for another", func(t *testing.T) {
		leader := a.status().Leader
		got, err := asks(issueCredentials(t, ours, "b"), leader, memberRequest{Entry: &ownership.Entry{Member: "a", Incarnation: 9, Seq: 1}})
		if err != nil || got.Accepted || got.Reason == "" {
			t.Errorf("got %+v, %v", got, err)
		}
		if got, err := asks(issueCredentials(t, ours, "b"), leader, memberRequest{Name: "a", ID: "a/x"}); err != nil || got.Accepted {
			t.Errorf("joined for another: %+v, %v", got, err)
		}
	})
	t.Run("a connection for an id that is over is not taken for ours", func(t *testing.T) {
		tlsConfig, _ := issueCredentials(t, ours, "b").tlsConfig()
		l := &streamLayer{transport: newTransport(at, tlsConfig)}
		conn, err := l.Dial(addressOf("a", "a/older"), 0)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil || os.IsTimeout(err) {
			t.Errorf("read %d bytes, %v", n, err)
		}
	})
}
