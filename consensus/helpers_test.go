package consensus

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
	"wheelrill/internal/testcert"
	"wheelrill/ownership"
)

const testTimeout = 30 * time.Second

var testTerms = ownership.LeaseTerms{Duration: 1_500_000, RenewInterval: 200_000, MessageWindow: 10_000_000, MaxMessages: 30, Members: 3}

// eventLog notes what a member is told, and lets stories wait for it.
type eventLog struct {
	mutex   sync.Mutex
	changed chan struct{}
	events  []string
}

func newEventLog() *eventLog { return &eventLog{changed: make(chan struct{})} }

func (r *eventLog) note(what string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, what)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *eventLog) EntryCommitted(e ownership.Entry) {
	r.note(fmt.Sprintf("recorded %s %d %d", e.Member, e.Incarnation, e.Seq))
}

func (r *eventLog) SnapshotRestored(*ownership.Record) { r.note("restored") }

func (r *eventLog) ProposalCommitted(incarnation, seq uint64) {
	r.note(fmt.Sprintf("answered %d %d", incarnation, seq))
}

func (r *eventLog) ProposalFailed(incarnation, seq uint64) {
	r.note(fmt.Sprintf("failed %d %d", incarnation, seq))
}

func (r *eventLog) has(what string) (bool, chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, said := range r.events {
		if strings.HasPrefix(said, what) {
			return true, r.changed
		}
	}
	return false, r.changed
}

func (r *eventLog) waitFor(t testing.TB, what string) {
	t.Helper()
	late := time.After(testTimeout)
	for {
		has, more := r.has(what)
		if has {
			return
		}
		select {
		case <-more:
		case <-late:
			t.Fatalf("never told %q, but %q", what, r.events)
		}
	}
}

// runningMember is one that runs.
type runningMember struct {
	*Node
	*eventLog
	stop func()
}

// freeAddresses are free ones on loopback.
func freeAddresses(t testing.TB, names ...string) map[string]string {
	t.Helper()
	of := map[string]string{}
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		of[name] = l.Addr().String()
		defer l.Close()
	}
	return of
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func startMember(t testing.TB, config Config) *runningMember {
	t.Helper()
	return startMemberOn(t, config, nil)
}

// startMemberOn runs one on a disk that is spoilt by the story.
func startMemberOn(t testing.TB, config Config, wrapStore func(raft.StableStore) raft.StableStore) *runningMember {
	t.Helper()
	r := newEventLog()
	config.Terms = testTerms
	n, err := newNode(config, r, discardLogger(), wrapStore)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.Run(ctx) })
	m := &runningMember{n, r, sync.OnceFunc(func() { cancel(); running.Wait() })}
	t.Cleanup(m.stop)
	return m
}

// commit proposes an entry until it stands.
func (m *runningMember) commit(t testing.TB, e ownership.Entry) {
	t.Helper()
	late := time.After(testTimeout)
	answered, failed := fmt.Sprintf("answered %d %d", e.Incarnation, e.Seq), fmt.Sprintf("failed %d %d", e.Incarnation, e.Seq)
	for tried := 1; ; tried++ {
		m.Propose(e)
		for m.count(failed) < tried {
			stands, more := m.has(answered)
			if stands {
				return
			}
			select {
			case <-more:
			case <-late:
				t.Fatalf("never stands: %+v", e)
			}
		}
	}
}

func (r *eventLog) count(what string) (times int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, said := range r.events {
		if said == what {
			times++
		}
	}
	return times
}

// memorySink takes a snapshot.
type memorySink struct{ bytes.Buffer }

func (s *memorySink) ID() string { return "snapshot" }

func (s *memorySink) Cancel() error { return nil }

func (s *memorySink) Close() error { return nil }

func persisted(t testing.TB, s raft.FSMSnapshot) []byte {
	t.Helper()
	var to memorySink
	if err := s.Persist(&to); err != nil {
		t.Fatal(err)
	}
	return to.Bytes()
}

// fakeDistribution stands for the node of the distribution at a voter: it keeps what it is told.
type fakeDistribution struct {
	mutex        sync.Mutex
	state        *distribution.Record
	changes      int
	currentCalls int
	snapshots    int
	onAccept     func(conn net.Conn, allowed func(string) bool)
}

func (s *fakeDistribution) Restored(state distribution.State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state = distribution.RestoreRecord(state)
	s.snapshots++
}

func (s *fakeDistribution) Accepted(change distribution.Change) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := distribution.Proposal{AcceptedAt: change.AcceptedAt, Entries: change.Entries}
	if again, err := s.state.Apply(p); err != nil || again.Revision != change.Revision {
		panic(fmt.Sprint("told out of order: ", change, again, err))
	}
	s.changes++
}

func (s *fakeDistribution) Current() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.currentCalls++
}

func (s *fakeDistribution) Accept(conn net.Conn, allowed func(string) bool) {
	s.onAccept(conn, allowed)
}

// digestAt tells whether all that was told amounts to a mark, and with which digest.
func (s *fakeDistribution) digestAt(mark distribution.Version) (distribution.Digest, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state == nil || s.state.Version() != mark {
		return distribution.Digest{}, false
	}
	return s.state.Digest(), true
}

func waitUntil(t testing.TB, what string, is func() bool) {
	t.Helper()
	late := time.After(testTimeout)
	for !is() {
		select {
		case <-late:
			t.Fatalf("it never came to this: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func entry(name, value string) distribution.Entry {
	return distribution.Entry{Scope: "pricing", Name: name, Value: []byte(value)}
}

// configure has a member's record hold just some entries.
func configure(t testing.TB, m *runningMember, wanted ...distribution.Entry) (distribution.Version, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	mark, differ, err := m.ReplaceConfiguration(ctx, wanted)
	if err != nil {
		t.Fatal(err)
	}
	return mark, differ
}

// machineWith is a state machine that some entries were put into.
func machineWith(t *testing.T, entries ...distribution.Entry) *stateMachine {
	t.Helper()
	m := &stateMachine{events: newEventLog(), record: ownership.NewRecord(), configuration: newConfigurationRecord(nil, nil)}
	m.onUnreadable = func(err error) { t.Error(err) }
	m.record.Apply(ownership.Entry{Member: "a", Incarnation: 1, Seq: 1, Claims: []int{4}})
	for _, e := range entries {
		body, err := cbor.Marshal(configurationEntry{Kind: kindProposal, Proposal: distribution.Proposal{
			Epoch: distribution.Epoch{Number: 1}, Entries: []distribution.Entry{e}}})
		if err != nil {
			t.Fatal(err)
		}
		if result := m.Apply(&raft.Log{Data: body}); result.(changeResult).err != nil {
			t.Fatal(result)
		}
	}
	return m
}

func snapshotOf(t *testing.T, m *stateMachine) []byte {
	t.Helper()
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return persisted(t, s)
}

// issueCredentials makes the credentials of a name.
func issueCredentials(t testing.TB, authority *testcert.Authority, name string) Credentials {
	t.Helper()
	return Credentials(authority.Issue(t, name))
}
