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

var testTerms = ownership.LeaseTerms{
	Duration: 1_500_000, RenewInterval: 200_000,
	Members: 3,
}

// eventLog records the events of a member as texts, and lets tests wait for them.
type eventLog struct {
	mutex   sync.Mutex
	changed chan struct{} // this channel is closed and replaced at each event
	events  []string
}

func newEventLog() *eventLog { return &eventLog{changed: make(chan struct{})} }

func (l *eventLog) add(event string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, event)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *eventLog) EntryCommitted(e ownership.Entry) {
	l.add(fmt.Sprintf("entry committed %s %d %d", e.Member, e.Incarnation, e.Seq))
}

func (l *eventLog) SnapshotRestored(*ownership.Record) { l.add("snapshot restored") }

func (l *eventLog) ProposalCommitted(incarnation, seq uint64) {
	l.add(fmt.Sprintf("proposal committed %d %d", incarnation, seq))
}

func (l *eventLog) ProposalFailed(incarnation, seq uint64) {
	l.add(fmt.Sprintf("proposal failed %d %d", incarnation, seq))
}

// has reports whether an event begins with prefix. It returns the channel that is closed at the
// next event.
func (l *eventLog) has(prefix string) (bool, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, event := range l.events {
		if strings.HasPrefix(event, prefix) {
			return true, l.changed
		}
	}
	return false, l.changed
}

// waitFor waits for an event that begins with prefix.
func (l *eventLog) waitFor(t testing.TB, prefix string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		found, changed := l.has(prefix)
		if found {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("no event %q within %s; events are %q", prefix, testTimeout, l.events)
		}
	}
}

// runningMember is a Node whose method Run is executing until stop is called.
type runningMember struct {
	*Node
	*eventLog
	stop func()
}

// freeAddresses returns a free loopback address for each name.
func freeAddresses(t testing.TB, names ...string) map[string]string {
	t.Helper()
	addresses := map[string]string{}
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[name] = l.Addr().String()
		defer l.Close()
	}
	return addresses
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func startMember(t testing.TB, config Config) *runningMember {
	t.Helper()
	return startMemberWithStore(t, config, nil)
}

// startMemberWithStore starts a member whose store for raft's term and vote is wrapped, to inject
// write errors.
func startMemberWithStore(t testing.TB, config Config,
	wrapStore func(raft.StableStore) raft.StableStore) *runningMember {
	t.Helper()
	events := newEventLog()
	config.Terms = testTerms
	n, err := newNode(config, events, discardLogger(), wrapStore)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.Run(ctx) })
	m := &runningMember{n, events, sync.OnceFunc(func() { cancel(); running.Wait() })}
	t.Cleanup(m.stop)
	return m
}

// commit proposes an entry again and again until the entry is committed.
func (m *runningMember) commit(t testing.TB, e ownership.Entry) {
	t.Helper()
	timeout := time.After(testTimeout)
	committedEvent := fmt.Sprintf("proposal committed %d %d", e.Incarnation, e.Seq)
	failedEvent := fmt.Sprintf("proposal failed %d %d", e.Incarnation, e.Seq)
	for attempts := 1; ; attempts++ {
		m.Propose(e)
		for m.count(failedEvent) < attempts {
			committed, changed := m.has(committedEvent)
			if committed {
				return
			}
			select {
			case <-changed:
			case <-timeout:
				t.Fatalf("entry %+v not committed within %s, after %d attempts", e, testTimeout, attempts)
			}
		}
	}
}

// count returns how often an event has occurred.
func (l *eventLog) count(event string) (times int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, other := range l.events {
		if other == event {
			times++
		}
	}
	return times
}

// memorySink is a raft.SnapshotSink in memory.
type memorySink struct{ bytes.Buffer }

func (s *memorySink) ID() string { return "snapshot" }

func (s *memorySink) Cancel() error { return nil }

func (s *memorySink) Close() error { return nil }

// persisted returns the bytes that a snapshot writes.
func persisted(t testing.TB, s raft.FSMSnapshot) []byte {
	t.Helper()
	var sink memorySink
	if err := s.Persist(&sink); err != nil {
		t.Fatal(err)
	}
	return sink.Bytes()
}

// fakeDistribution is a Distribution that stores the states and changes passed to it, and counts
// its calls.
type fakeDistribution struct {
	mutex        sync.Mutex
	state        *distribution.Record
	changes      int
	currentCalls int
	snapshots    int
	onAccept     func(conn net.Conn, allowed func(string) bool)
}

func (d *fakeDistribution) Restored(state distribution.State) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.state = distribution.RestoreRecord(state)
	d.snapshots++
}

func (d *fakeDistribution) Accepted(change distribution.Change) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := distribution.Proposal{AcceptedAt: change.AcceptedAt, Entries: change.Entries}
	if applied, err := d.state.Apply(p); err != nil || applied.Revision != change.Revision {
		panic(fmt.Sprintf("change %+v does not follow the state: got %+v, %v", change, applied, err))
	}
	d.changes++
}

func (d *fakeDistribution) Current() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.currentCalls++
}

func (d *fakeDistribution) Accept(conn net.Conn, allowed func(string) bool) {
	d.onAccept(conn, allowed)
}

// digestAt reports whether the stored state of the distributed configuration has exactly the given
// version, and returns the digest of the state.
func (d *fakeDistribution) digestAt(version distribution.Version) (distribution.Digest, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.state == nil || d.state.Version() != version {
		return distribution.Digest{}, false
	}
	return d.state.Digest(), true
}

// waitUntil polls a condition until it is true. The text describes the condition.
func waitUntil(t testing.TB, text string, condition func() bool) {
	t.Helper()
	timeout := time.After(testTimeout)
	for !condition() {
		select {
		case <-timeout:
			t.Fatalf("condition not met within %s: %s", testTimeout, text)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func entry(name, value string) distribution.Entry {
	return distribution.Entry{Scope: "pricing", Name: name, Value: []byte(value)}
}

// configure replaces the distributed configuration by the wanted entries. The given member proposes
// the change.
func configure(t testing.TB, m *runningMember, wanted ...distribution.Entry) (distribution.Version, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	version, differing, err := m.ReplaceConfiguration(ctx, wanted)
	if err != nil {
		t.Fatal(err)
	}
	return version, differing
}

// machineWith returns a state machine to which one ownership entry and the given configuration
// entries are applied.
func machineWith(t *testing.T, entries ...distribution.Entry) *stateMachine {
	t.Helper()
	m := &stateMachine{
		events:        newEventLog(),
		record:        ownership.NewRecord(),
		configuration: newConfigurationRecord(nil, nil),
	}
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

// snapshotOf returns the bytes of a snapshot of a state machine.
func snapshotOf(t *testing.T, m *stateMachine) []byte {
	t.Helper()
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return persisted(t, s)
}

// issueCredentials returns credentials with a certificate that is valid for a name.
func issueCredentials(t testing.TB, authority *testcert.Authority, name string) Credentials {
	t.Helper()
	return Credentials(authority.Issue(t, name))
}
