package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"testing"

	"wheelrill/consensus"
	"wheelrill/distribution"
	"wheelrill/internal/testcert"
	"wheelrill/ownership"
)

// issueCredentials returns credentials with a certificate for a name.
func issueCredentials(t *testing.T, authority *testcert.Authority, name string) consensus.Credentials {
	t.Helper()
	return consensus.Credentials(authority.Issue(t, name))
}

// discardedEvents ignores all events of the record.
type discardedEvents struct{}

func (discardedEvents) EntryCommitted(ownership.Entry)     {}
func (discardedEvents) SnapshotRestored(*ownership.Record) {}
func (discardedEvents) ProposalCommitted(uint64, uint64)   {}
func (discardedEvents) ProposalFailed(uint64, uint64)      {}

// member is a voter: a node of the replicated record, and the transport that distributes its
// configuration.
type member struct {
	*peer
	node *consensus.Node
}

// startMember starts a voter of the record that the members replicate, and stops it when the test
// ends.
func startMember(t *testing.T, name string, members map[string]string, credentials consensus.Credentials) *member {
	t.Helper()
	self := consensus.Peer{Name: name, Address: members[name]}
	p := newPeer(name, Config{
		Node: distribution.Config{Name: self.String(), Voter: true, Limits: fastLimits(4)},
		Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("a voter must not dial") },
	})
	terms := ownership.LeaseTerms{
		Duration:      1_500_000,
		RenewInterval: 200_000,
		Members:       len(members),
	}
	node, err := consensus.New(consensus.Config{
		Name:         name,
		Members:      members,
		Credentials:  credentials,
		Terms:        terms,
		Distribution: p.Transport,
	}, discardedEvents{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	p.run(t, func(ctx context.Context) { node.Run(ctx) })
	return &member{p, node}
}

// startSubscriber starts a subscriber, which other nodes can dial through a TLS listener, and
// returns the name for these dials.
func startSubscriber(t *testing.T, name string, credentials consensus.Credentials, parents ...string) (*peer, string) {
	t.Helper()
	subscriber, err := consensus.NewSubscriber(credentials)
	if err != nil {
		t.Fatal(err)
	}
	var p *peer
	serve := func(conn net.Conn, allowed func(string) bool) { p.Accept(conn, allowed) }
	listener, err := subscriber.Listen("127.0.0.1:0", serve, func(net.Addr, error) {})
	if err != nil {
		t.Fatal(err)
	}
	self := consensus.Peer{Name: name, Address: listener.Address()}
	p = newPeer(name, Config{
		Node: distribution.Config{
			Name:       self.String(),
			Scopes:     distribution.SomeScopes("pricing"),
			Candidates: parents,
			Limits:     fastLimits(4),
		},
		Dial: subscriber.Dial,
	})
	p.run(t, func(ctx context.Context) { listener.Run(ctx) })
	return p, self.String()
}

// configure sets the content of the record to values of the scope pricing, and returns its version.
func configure(t *testing.T, m *member, values ...string) distribution.Version {
	t.Helper()
	var wanted []distribution.Entry
	for i, value := range values {
		wanted = append(wanted, distribution.Entry{Scope: "pricing", Name: fmt.Sprint(i), Value: []byte(value)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	version, _, err := m.node.ReplaceConfiguration(ctx, wanted)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// freeAddresses returns a loopback address without a listener for each name.
func freeAddresses(t *testing.T, names ...string) map[string]string {
	t.Helper()
	free := map[string]string{}
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		free[name] = l.Addr().String()
	}
	return free
}

// TestSubscribersFollowARecordOfThreeMembersOverTLS guards against subscribers that miss a change
// or take an unneeded snapshot when the leader stops, accept a foreign certificate, or do not
// report a lost majority. Three voters replicate a real record over TLS; subscribers that are not
// members form a tree below them.
func TestSubscribersFollowARecordOfThreeMembersOverTLS(t *testing.T) {
	trusted, foreign := testcert.NewAuthority(t), testcert.NewAuthority(t)
	members := freeAddresses(t, "a", "b", "c")
	var parents []string
	for name, address := range members {
		parents = append(parents, consensus.Peer{Name: name, Address: address}.String())
	}
	var voters []*member
	for name := range members {
		voters = append(voters, startMember(t, name, members, issueCredentials(t, trusted, name)))
	}
	last := configure(t, voters[0], "1")
	var all []*peer
	relay, relayName := startSubscriber(t, "s0", issueCredentials(t, trusted, "s0"), parents...)
	all = append(all, relay)
	for i := 1; i < 4; i++ {
		name := fmt.Sprint("s", i)
		s, _ := startSubscriber(t, name, issueCredentials(t, trusted, name), relayName)
		all = append(all, s)
	}
	waitForAll := func(version distribution.Version) {
		t.Helper()
		digests := map[distribution.Digest]bool{}
		for _, p := range all {
			waitFor(t, fmt.Sprint(p.name, " has version ", version), func() bool { return p.status(t).Version == version })
			digests[p.status(t).Digest] = true
		}
		if len(digests) != 1 {
			t.Errorf("the subscribers have different digests at version %v: %v", version, digests)
		}
	}
	waitForAll(last)
	t.Run("a certificate with another name, or of another authority, gets no place", func(t *testing.T) {
		wrongName, _ := startSubscriber(t, "s1", issueCredentials(t, trusted, "s9"), parents...)
		wrongAuthority, _ := startSubscriber(t, "s8", issueCredentials(t, foreign, "s8"), parents...)
		for _, p := range []*peer{wrongName, wrongAuthority} {
			waitFor(t, p.name+" has dialled more than 4 times", func() bool { return p.status(t).Counts.Dials > 4 })
			if status := p.status(t); status.Parent != "" || status.Version.Revision > 0 {
				t.Errorf("%s got a place or content: %+v", p.name, status)
			}
			p.stop()
		}
	})
	t.Run("the leader is stopped: the next change reaches all subscribers by deltas", func(t *testing.T) {
		for i, v := range voters {
			if v.node.IsLeader() {
				v.stop()
				voters = append(voters[:i], voters[i+1:]...)
				break
			}
		}
		version := configure(t, voters[0], "1", "2")
		waitForAll(version)
		if version.Epoch != last.Epoch || version.Revision != last.Revision+1 {
			t.Errorf("the version after %v is %v, it should be the next revision of the same epoch", last, version)
		}
		last = version
		for _, p := range all {
			if p.snapshots() != 1 {
				t.Errorf("%s installed %d snapshots, it should be 1", p.name, p.snapshots())
			}
		}
	})
	t.Run("the majority is lost: all subscribers keep their content and log that it is stale", func(t *testing.T) {
		voters[0].stop()
		for _, p := range all {
			waitFor(t, p.name+" logs EventSourceStale", func() bool { return p.hasLogged(distribution.EventSourceStale) })
		}
		waitForAll(last)
		if want := "pricing/0=1 pricing/1=2"; relay.contents() != want {
			t.Errorf("the relay has %q, it should keep %q", relay.contents(), want)
		}
	})
}
