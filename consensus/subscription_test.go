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

func TestSubscriberIsNoMember(t *testing.T) {
	ours, foreign := testcert.NewAuthority(t), testcert.NewAuthority(t)
	at := freeAddresses(t, "a")
	served := make(chan func(string) bool, 1)
	told := &fakeDistribution{onAccept: func(conn net.Conn, allowed func(string) bool) {
		served <- allowed
		io.WriteString(conn, "streams")
		conn.Close()
	}}
	a := startMember(t, Config{Name: "a", Members: at, Credentials: issueCredentials(t, ours, "a"), Distribution: told})
	a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
	tlsConfig, err := issueCredentials(t, ours, "s17").tlsConfig()
	if err != nil {
		t.Fatal(err)
	}
	as := newTransport(at, tlsConfig)
	for name, c := range map[string]memberRequest{
		"propose":       {Entry: &ownership.Entry{Member: "a", Incarnation: 9, Seq: 1}},
		"propose as it": {Entry: &ownership.Entry{Member: "s17", Incarnation: 9, Seq: 1}},
		"join":          {Name: "s17", ID: "s17/x"},
		"join as one":   {Name: "a", ID: "a/x"},
		"ask":           {Status: true},
		"change":        {Change: &distribution.Proposal{Entries: []distribution.Entry{entry("x", "1")}}},
	} {
		t.Run("it may not "+name, func(t *testing.T) {
			conn, err := as.dial(context.Background(), "a", connCalls)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if got, err := roundTrip(conn, c); err != nil || got.Reason != reasonNotMember || got.Accepted || got.ID != "" {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
	t.Run("it may not speak raft", func(t *testing.T) {
		conn, err := (&streamLayer{transport: as}).Dial(addressOf("a", a.ID()), 0)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("read %d bytes, %v", n, err)
		}
	})
	waitUntil(t, "who was refused is forgotten", func() bool {
		a.transport.mutex.Lock()
		defer a.transport.mutex.Unlock()
		return len(a.transport.conns) == 0
	})
	peer := Peer{"a", at["a"]}.String()
	t.Run("it may subscribe, under its own name", func(t *testing.T) {
		s, err := NewSubscriber(issueCredentials(t, ours, "s17"))
		if err != nil {
			t.Fatal(err)
		}
		conn, err := s.Dial(context.Background(), peer)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if text, err := io.ReadAll(conn); string(text) != "streams" || err != nil {
			t.Errorf("got %q, %v", text, err)
		}
		allowed := <-served
		if !allowed("s17") || !allowed(Peer{"s17", "10.0.0.1:1"}.String()) || allowed("a") || allowed("") || allowed("@10.0.0.1:1") {
			t.Error("it may subscribe under other names")
		}
	})
	for name, given := range map[string]Credentials{"a foreign authority": issueCredentials(t, foreign, "s17"), "plain text": {}} {
		t.Run(name+" is refused", func(t *testing.T) {
			s, err := NewSubscriber(given)
			if err != nil {
				t.Fatal(err)
			}
			if conn, err := s.Dial(context.Background(), peer); err == nil {
				conn.Close()
				t.Error("let in")
			}
		})
	}
	t.Run("who has another name than was dialled is refused", func(t *testing.T) {
		s, err := NewSubscriber(issueCredentials(t, ours, "s17"))
		if err != nil {
			t.Fatal(err)
		}
		if conn, err := s.Dial(context.Background(), Peer{"b", at["a"]}.String()); err == nil {
			conn.Close()
			t.Error("taken for b")
		}
	})
}

func TestSubscribingIsRefusedWhereItIsOff(t *testing.T) {
	at := freeAddresses(t, "a")
	startMember(t, Config{Name: "a", Members: at})
	s, err := NewSubscriber(Credentials{})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := s.Dial(context.Background(), Peer{"a", at["a"]}.String())
	if refused := new(CallRefusedError); !errors.As(err, &refused) || refused.Reason != reasonNoSubscribers {
		t.Errorf("got %v, %v", conn, err)
	}
}

func TestListenerServesSubscribersAlone(t *testing.T) {
	ours := testcert.NewAuthority(t)
	s, err := NewSubscriber(issueCredentials(t, ours, "s1"))
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan error, 16)
	l, err := s.Listen("127.0.0.1:0", func(conn net.Conn, allowed func(string) bool) {
		if allowed("s2") {
			io.Copy(conn, conn)
		}
	}, func(_ net.Addr, why error) { refused <- why })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	defer running.Wait()
	defer cancel()
	other, err := NewSubscriber(issueCredentials(t, ours, "s2"))
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
			t.Errorf("got %q, %v", got, err)
		}
	}
	t.Run("nothing else is served", func(t *testing.T) {
		as := newTransport(map[string]string{"s1": l.Address()}, other.tlsConfig)
		conn, err := as.dial(context.Background(), "s1", connCalls)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if got, err := roundTrip(conn, memberRequest{Status: true}); err != nil || got.Accepted || got.ID != "" {
			t.Errorf("got %+v, %v", got, err)
		}
		raw, err := as.dial(context.Background(), "s1", connRaft)
		if err != nil {
			t.Fatal(err)
		}
		defer raw.Close()
		if err := <-refused; !errors.Is(err, errNotMember) {
			t.Errorf("raft: %v", err)
		}
	})
	t.Run("at the end the connections are closed", func(t *testing.T) {
		cancel()
		running.Wait()
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("it goes on")
		}
	})
	plain, err := NewSubscriber(Credentials{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := plain.Listen("0.0.0.0:0", nil, nil); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Errorf("plain text everywhere: %v", err)
	}
	if _, err := plain.Dial(context.Background(), "n0@192.0.2.1:9"); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Errorf("plain text to anybody: %v", err)
	}
}
