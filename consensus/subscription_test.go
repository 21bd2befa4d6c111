package consensus

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelrill/distribution"
	"wheelrill/internal/testcert"
	"wheelrill/ownership"
)

// A subscriber has a certificate of the members' authority, but for a name of no member. It may
// subscribe under its own name, and must not make any other call or open raft connections.
func TestSubscriberHasNoRightsOfAMember(t *testing.T) {
	authority, foreignAuthority := testcert.NewAuthority(t), testcert.NewAuthority(t)
	addresses := freeAddresses(t, "a")
	served := make(chan func(string) bool, 1)
	receiver := &fakeDistribution{onAccept: func(conn net.Conn, allowed func(string) bool) {
		served <- allowed
		io.WriteString(conn, "streams")
		conn.Close()
	}}
	a := startMember(t, Config{
		Name:         "a",
		Members:      addresses,
		Credentials:  issueCredentials(t, authority, "a"),
		Distribution: receiver,
	})
	a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
	tlsConfig, err := issueCredentials(t, authority, "s17").tlsConfig()
	if err != nil {
		t.Fatal(err)
	}
	transport := newTransport(addresses, tlsConfig)
	for name, request := range map[string]memberRequest{
		"propose an entry of a member":     {Entry: &ownership.Entry{Member: "a", Incarnation: 9, Seq: 1}},
		"propose an entry in its own name": {Entry: &ownership.Entry{Member: "s17", Incarnation: 9, Seq: 1}},
		"join in its own name":             {Name: "s17", ID: "s17/x"},
		"join in the name of a member":     {Name: "a", ID: "a/x"},
		"request the status":               {Status: true},
		"change the configuration":         {Change: &distribution.Proposal{Entries: []distribution.Entry{entry("x", "1")}}},
	} {
		t.Run("it may not "+name, func(t *testing.T) {
			conn, err := transport.dial(context.Background(), "a", connCalls)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			got, err := roundTrip(conn, request)
			if err != nil || got.Reason != reasonNotMember || got.Accepted || got.ID != "" {
				t.Errorf("got response %+v, error %v; want a refusal with reason %q", got, err, reasonNotMember)
			}
		})
	}
	t.Run("it may not open a raft connection", func(t *testing.T) {
		conn, err := (&streamLayer{transport: transport}).Dial(addressOf("a", a.ID()), 0)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("read %d bytes, error %v; want a closed connection", n, err)
		}
	})
	waitUntil(t, "the connections of refused callers are no longer tracked", func() bool {
		a.transport.mutex.Lock()
		defer a.transport.mutex.Unlock()
		return len(a.transport.conns) == 0
	})
	peer := Peer{"a", addresses["a"]}.String()
	t.Run("it may subscribe under its own name", func(t *testing.T) {
		s, err := NewSubscriber(issueCredentials(t, authority, "s17"))
		if err != nil {
			t.Fatal(err)
		}
		conn, err := s.Dial(context.Background(), peer)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if text, err := io.ReadAll(conn); string(text) != "streams" || err != nil {
			t.Errorf("got %q, error %v; want %q", text, err, "streams")
		}
		allowed := <-served
		if !allowed("s17") || !allowed(Peer{"s17", "10.0.0.1:1"}.String()) {
			t.Error("it may not subscribe under its own name")
		}
		if allowed("a") || allowed("") || allowed("@10.0.0.1:1") {
			t.Error("it may subscribe under other names than its own")
		}
	})
	for name, credentials := range map[string]Credentials{
		"a certificate of another authority": issueCredentials(t, foreignAuthority, "s17"),
		"plain text":                         {},
	} {
		t.Run(name+" is refused", func(t *testing.T) {
			s, err := NewSubscriber(credentials)
			if err != nil {
				t.Fatal(err)
			}
			if conn, err := s.Dial(context.Background(), peer); err == nil {
				conn.Close()
				t.Error("Dial succeeded, want an error")
			}
		})
	}
	t.Run("a peer with another name than the dialled one is refused", func(t *testing.T) {
		s, err := NewSubscriber(issueCredentials(t, authority, "s17"))
		if err != nil {
			t.Fatal(err)
		}
		if conn, err := s.Dial(context.Background(), Peer{"b", addresses["a"]}.String()); err == nil {
			conn.Close()
			t.Error("Dial to peer b accepted the certificate of member a")
		}
	})
}

func TestSubscribingIsRefusedWithoutDistribution(t *testing.T) {
	addresses := freeAddresses(t, "a")
	startMember(t, Config{Name: "a", Members: addresses})
	s, err := NewSubscriber(Credentials{})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := s.Dial(context.Background(), Peer{"a", addresses["a"]}.String())
	if refused := new(CallRefusedError); !errors.As(err, &refused) || refused.Reason != reasonNoSubscribers {
		t.Errorf("got connection %v, error %v; want a CallRefusedError with reason %q", conn, err, reasonNoSubscribers)
	}
}

func TestListenerServesOnlySubscribers(t *testing.T) {
	authority := testcert.NewAuthority(t)
	s, err := NewSubscriber(issueCredentials(t, authority, "s1"))
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan error, 16)
	l, err := s.Listen("127.0.0.1:0", func(conn net.Conn, allowed func(string) bool) {
		if allowed("s2") {
			io.Copy(conn, conn)
		}
	}, func(_ net.Addr, reason error) { refused <- reason })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	defer running.Wait()
	defer cancel()
	other, err := NewSubscriber(issueCredentials(t, authority, "s2"))
	if err != nil {
		t.Fatal(err)
	}
	peer := Peer{"s1", l.Address()}.String()
	conn, err := other.Dial(context.Background(), peer)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "x")
	if got := make([]byte, 1); true {
		if _, err := io.ReadFull(conn, got); err != nil || got[0] != 'x' {
			t.Errorf("got %q, error %v; want the echo %q", got, err, "x")
		}
	}
	t.Run("other calls and raft connections are refused", func(t *testing.T) {
		transport := newTransport(map[string]string{"s1": l.Address()}, other.tlsConfig)
		conn, err := transport.dial(context.Background(), "s1", connCalls)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if got, err := roundTrip(conn, memberRequest{Status: true}); err != nil || got.Accepted || got.ID != "" {
			t.Errorf("status call: got response %+v, error %v; want a refusal", got, err)
		}
		raw, err := transport.dial(context.Background(), "s1", connRaft)
		if err != nil {
			t.Fatal(err)
		}
		defer raw.Close()
		if err := <-refused; !errors.Is(err, errNotMember) {
			t.Errorf("raft connection: got error %v, want %v", err, errNotMember)
		}
	})
	t.Run("Run closes the connections when its context ends", func(t *testing.T) {
		cancel()
		running.Wait()
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is still open")
		}
	})
	plain, err := NewSubscriber(Credentials{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := plain.Listen("0.0.0.0:0", nil, nil); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Errorf("plain text listener on all interfaces: got error %v, want one about loopback", err)
	}
	if _, err := plain.Dial(context.Background(), "n0@192.0.2.1:9"); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Errorf("plain text to a remote peer: got error %v, want one about loopback", err)
	}
}
