package consensus

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"wheelrill/distribution"
)

// listenPair returns both ends of a TCP connection.
func listenPair(t *testing.T) (server, caller net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if caller, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close(); caller.Close() })
	return server, caller
}

// singleLeader returns a member that is the leader of a record of its own.
func singleLeader(t *testing.T) *runningMember {
	t.Helper()
	m := startMember(t, Config{Name: "a", Members: freeAddresses(t, "a"), Distribution: &fakeDistribution{}})
	waitUntil(t, "the member leads", func() bool { return m.leaderName() == "a" })
	return m
}

// holds reports whether the configuration record of a member holds exactly the given entries.
func holds(m *runningMember, entries ...distribution.Entry) bool {
	return len(m.difference(entries).Entries) == 0
}

// TestRepeatedChangeTakesEffectOnce guards against an order whose answer was lost, and that was proposed
// again over a newer order of somebody else, which was accepted meanwhile.
func TestRepeatedChangeTakesEffectOnce(t *testing.T) {
	m := singleLeader(t)
	configure(t, m, entry("x", "0"))
	older := m.difference([]distribution.Entry{entry("x", "1")})
	first, err := m.ProposeChange(context.Background(), older)
	if err != nil {
		t.Fatal(err)
	}
	newest, _ := configure(t, m, entry("x", "2"))
	again, err := m.ProposeChange(context.Background(), older)
	if err != nil || again != first {
		t.Errorf("the older change again: got version %v, error %v, want the former answer %v", again, err, first)
	}
	if !holds(m, entry("x", "2")) {
		t.Error("the older change took effect a second time, over the newer one")
	}
	var version distribution.Version
	m.current().machine.configuration.view(func(record *distribution.Record) { version = record.Version() })
	if version != newest {
		t.Errorf("the record is at %v, want %v", version, newest)
	}
}

// TestCallsOfACallerThatLeftAreDropped guards against calls that take effect although their caller has
// left, and may have called another member.
func TestCallsOfACallerThatLeftAreDropped(t *testing.T) {
	m := singleLeader(t)
	configure(t, m, entry("x", "0"))
	server, caller := listenPair(t)
	for i := range 5 {
		proposal := distribution.Proposal{Entries: []distribution.Entry{entry("x", fmt.Sprint("late ", i))}}
		if err := send(caller, memberRequest{Change: &proposal}); err != nil {
			t.Fatal(err)
		}
	}
	caller.Close()
	waitUntil(t, "the end of the caller is known", func() bool { return hasLeft(server) })
	m.serve(server, callerOf("a"), 1)
	if !holds(m, entry("x", "0")) {
		t.Error("a call of a caller that had left took effect")
	}
	server, caller = listenPair(t)
	proposal := m.difference([]distribution.Entry{entry("x", "1")})
	go m.serve(server, callerOf("a"), 2)
	if response, err := roundTrip(caller, memberRequest{Change: &proposal}); err != nil || !response.Accepted {
		t.Errorf("the call of a caller that waits got %+v, error %v, want it accepted", response, err)
	}
}

func callerOf(members ...string) caller { return caller{members: members} }

// TestUnchangedConfigurationIsConfirmed guards against a voter that is cut off and answers an order by its
// own old copy of the record, as if the order were in force already.
func TestUnchangedConfigurationIsConfirmed(t *testing.T) {
	addresses := freeAddresses(t, "a", "b", "c")
	members := map[string]*runningMember{}
	for name := range addresses {
		members[name] = startMember(t, Config{Name: name, Members: addresses, Distribution: &fakeDistribution{}})
	}
	version, _ := configure(t, members["a"], entry("x", "1"))
	waitUntil(t, "all members have the change", func() bool {
		return holds(members["a"], entry("x", "1")) && holds(members["b"], entry("x", "1")) && holds(members["c"], entry("x", "1"))
	})
	if same, differing := configure(t, members["c"], entry("x", "1")); same != version || differing != 0 {
		t.Errorf("the same entries again: got version %v with %d differing entries, want %v with 0", same, differing, version)
	}
	members["a"].stop()
	members["b"].stop()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if _, _, err := members["c"].ReplaceConfiguration(ctx, []distribution.Entry{entry("x", "1")}); !errors.Is(err, ErrUnanswered) {
		t.Errorf("without a majority: got error %v, want %v", err, ErrUnanswered)
	}
}
