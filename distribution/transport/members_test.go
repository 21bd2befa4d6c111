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

// issueCredentials makes the credentials of a name.
func issueCredentials(t *testing.T, authority *testcert.Authority, name string) consensus.Credentials {
	t.Helper()
	return consensus.Credentials(authority.Issue(t, name))
}

// discardedEvents does nothing with what becomes of the record.
type discardedEvents struct{}

func (discardedEvents) EntryCommitted(ownership.Entry)     {}
func (discardedEvents) SnapshotRestored(*ownership.Record) {}
func (discardedEvents) ProposalCommitted(uint64, uint64)   {}
func (discardedEvents) ProposalFailed(uint64, uint64)      {}

// member is a voter: a node of the record, and the transport that hands its configuration on.
type member struct {
	*peer
	node *consensus.Node
}

// startMember runs a voter of a record.
func startMember(t *testing.T, name string, members map[string]string, credentials consensus.Credentials) *member {
	t.Helper()
	self := consensus.Peer{Name: name, Address: members[name]}
	p := newPeer(name, Config{
		Node: distribution.Config{Name: self.String(), Voter: true, Limits: fastLimits(4)},
		Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("a voter dials nobody") },
	})
	terms := ownership.LeaseTerms{
		Duration:      1_500_000,
		RenewInterval: 200_000,
		MessageWindow: 10_000_000,
		MaxMessages:   30,
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

// startSubscriber runs a subscriber that others can dial by the calls of the members.
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

// configure has the record hold just some values of the scope pricing.
func configure(t *testing.T, m *member, values ...string) distribution.Version {
	t.Helper()
	var wanted []distribution.Entry
	for i, value := range values {
		wanted = append(wanted, distribution.Entry{Scope: "pricing", Name: fmt.Sprint(i), Value: []byte(value)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	version, _, err := m.node.Configure(ctx, wanted)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// freeAddresses are some on loopback that nobody listens at, by name.
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

// TestSubscribersFollowARecordOfThreeMembersOverTLS plays voters on a real record over TLS, and subscribers that are no members.
func TestSubscribersFollowARecordOfThreeMembersOverTLS(t *testing.T) {
	ours, foreign := testcert.NewAuthority(t), testcert.NewAuthority(t)
	members := freeAddresses(t, "a", "b", "c")
	var parents []string
	for name, address := range members {
		parents = append(parents, consensus.Peer{Name: name, Address: address}.String())
	}
	var voters []*member
	for name := range members {
		voters = append(voters, startMember(t, name, members, issueCredentials(t, ours, name)))
	}
	last := configure(t, voters[0], "1")
	var all []*peer
	relay, relayName := startSubscriber(t, "s0", issueCredentials(t, ours, "s0"), parents...)
	all = append(all, relay)
	for i := 1; i < 4; i++ {
		name := fmt.Sprint("s", i)
		s, _ := startSubscriber(t, name, issueCredentials(t, ours, name), relayName)
		all = append(all, s)
	}
	everywhere := func(version distribution.Version) {
		t.Helper()
		digests := map[distribution.Digest]bool{}
		for _, p := range all {
			waitFor(t, fmt.Sprint(p.name, " has ", version), func() bool { return p.status(t).Version == version })
			digests[p.status(t).Digest] = true
		}
		if len(digests) != 1 {
			t.Errorf("they differ: %v", digests)
		}
	}
	everywhere(last)
	t.Run("a certificate with another name, or of another authority, gets no place", func(t *testing.T) {
		liar, _ := startSubscriber(t, "s1", issueCredentials(t, ours, "s9"), parents...)
		stranger, _ := startSubscriber(t, "s8", issueCredentials(t, foreign, "s8"), parents...)
		for _, p := range []*peer{liar, stranger} {
			waitFor(t, "it has tried again and again", func() bool { return p.status(t).Counts.Dials > 4 })
			if status := p.status(t); status.Parent != "" || status.Version.Revision > 0 {
				t.Errorf("%s: %+v", p.name, status)
			}
			p.stop()
		}
	})
	t.Run("the leader is stopped: the next change reaches all, by deltas", func(t *testing.T) {
		for i, v := range voters {
			if v.node.IsLeader() {
				v.stop()
				voters = append(voters[:i], voters[i+1:]...)
				break
			}
		}
		version := configure(t, voters[0], "1", "2")
		everywhere(version)
		if version.Epoch != last.Epoch || version.Revision != last.Revision+1 {
			t.Errorf("from %v to %v", last, version)
		}
		last = version
		for _, p := range all {
			if p.snapshots() != 1 {
				t.Errorf("%s took %d snapshots", p.name, p.snapshots())
			}
		}
	})
	t.Run("the majority is lost: all keep what they have, and say how old it is", func(t *testing.T) {
		voters[0].stop()
		for _, p := range all {
			waitFor(t, p.name+" says so", func() bool { return p.hasLogged(distribution.EventSourceStale) })
		}
		everywhere(last)
		if relay.contents() != "pricing/0=1 pricing/1=2" {
			t.Errorf("it has %s", relay.contents())
		}
	})
}
