package ownership

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"wheelrill/internal/golden"
)

// transcript runs three members on one record by a seeded random sequence of calls. Its text has
// every call that the members make to their hosts, and every entry that is applied to the record.
type transcript struct {
	random       *rand.Rand
	now          int64
	text         strings.Builder
	log          []Entry
	record       *Record // the record at the leader
	leases       *LeaseTracker
	members      []*transcriptMember
	lastRandomID uint64
}

// transcriptMember is a member, with the network between it and the leader.
type transcriptMember struct {
	*transcript
	name        string
	coordinator *Coordinator
	evidence    *Evidence
	proposed    []Entry
	applied     int // number of log entries that the member has applied
	connection  int
	connected   map[int]bool
	released    uint64
}

var transcriptTerms = LeaseTerms{Duration: 1500, RenewInterval: 200, Members: 3}

func (m *transcriptMember) note(format string, args ...any) {
	fmt.Fprintf(&m.text, "%d %s: %s\n", m.now, m.name, fmt.Sprintf(format, args...))
}

func (m *transcriptMember) Propose(e Entry) {
	m.note("proposes %s", describeEntry(e))
	m.proposed = append(m.proposed, e)
}

func (m *transcriptMember) ProxyGranted(grant Grant) {
	m.note("is granted proxy %d by token %d: has %s, clean %v, gets %v", grant.Proxy, grant.Token,
		describeBase(grant.Base), grant.NoWithdrawals, grant.Demand)
}

func (m *transcriptMember) PeerCapacityReported(capacity Capacity) {
	m.note("hears of capacity %g %g", capacity.Proven, capacity.Saturated)
}

func (m *transcriptMember) ReleaseUpTo(revision uint64) {
	m.released = revision
	m.note("lets edition %d leave", revision)
}

func (m *transcriptMember) PeerObservationReported(member string, observation Observation) {
	m.note("hears of %s from %s: %d of %d failed, mean %d, over %d, for %d, withdrawn %v", observation.Backend,
		member, observation.Failed, observation.Attempts, observation.MeanLatency, observation.Window,
		observation.Backoff, observation.Withdrawn)
}

func (m *transcriptMember) QuorumChanged(withoutQuorum bool, reason string) {
	m.note("alone %v: %s", withoutQuorum, reason)
}

func (m *transcriptMember) RandomID() uint64 {
	m.lastRandomID++
	return m.lastRandomID * 1000
}

func describeEntry(e Entry) string {
	slices.Sort(e.FullyRecorded)
	var tables strings.Builder
	for _, change := range e.TableChanges {
		fmt.Fprintf(&tables, " %d%v", change.Table, change.Lines)
	}
	return fmt.Sprintf("%s/%d/%d floor %d closing %v claims %v again %v edition %d tables%s confirmed %v seen %v"+
		" demand %v capacity %v vouched %v stamp %v",
		e.Member, e.Incarnation, e.Seq, e.SeenToken, e.Closing, e.Claims, e.Reclaims, e.Revision, tables.String(),
		e.Confirmations, e.Observations, e.Demands, e.Capacity, e.FullyRecorded, e.Stamp)
}

// start starts a process of the member, without the state of its previous process.
func (m *transcriptMember) start() {
	m.connection++
	m.proposed, m.applied, m.connected, m.released = nil, 0, map[int]bool{}, 0
	m.evidence = NewEvidence()
	m.evidence.interval = 500
	m.note("starts")
	m.coordinator = New(m, m.name, transcriptTerms, m.now)
	m.coordinator.ChangeTables([]TableChange{{0, []Line{{"a", 1}, {"b", 1}}}}, m.now)
}

// deliver puts the member's oldest proposal on the record. The answer to the member is lost unless
// answered is set.
func (m *transcriptMember) deliver(answered bool) {
	if len(m.proposed) == 0 {
		return
	}
	e := m.proposed[0]
	m.proposed = m.proposed[1:]
	m.leases.Observe(e.Incarnation, e.Seq, m.connection, m.now)
	e.FullyRecorded, e.Stamp = m.leases.FullyRecorded(m.record, m.now), Stamp{7, m.now}
	moves, accepted := m.record.Apply(e)
	m.note("puts on the record, counts %v: %s", accepted, describeEntry(e))
	for _, move := range moves {
		m.note("  %s", describeMove(move))
	}
	m.log = append(m.log, e)
	if answered {
		m.coordinator.ProposalCommitted(e.Incarnation, e.Seq, m.now)
		return
	}
	m.connection++
	m.coordinator.ProposalFailed(e.Incarnation, e.Seq, m.now)
}

// step performs one random action of the member.
func (m *transcriptMember) step() {
	proxy := m.random.IntN(4)
	backend := string(rune('a' + m.random.IntN(5)))
	switch m.random.IntN(24) {
	case 0, 1:
		if m.connected[proxy] {
			m.coordinator.ProxyDisconnected(proxy)
			m.evidence.ForgetProxy(proxy)
		}
		m.connected[proxy] = !m.connected[proxy]
		if m.connected[proxy] {
			m.coordinator.ProxyConnected(proxy, m.now)
		}
	case 2:
		weight := float64(m.random.IntN(3)) / 2
		revision := m.coordinator.ChangeTables([]TableChange{{m.random.IntN(3) - 1, []Line{{backend, weight}}}}, m.now)
		m.note("edition %d", revision)
	case 3, 4:
		if m.connected[proxy] {
			tables := []int{m.random.IntN(3) - 1, 0}
			m.coordinator.ProxyAcknowledged(proxy, m.released, tables, m.random.IntN(2) == 0)
		}
	case 5:
		m.coordinator.ProxyActiveAt(proxy, m.now)
	case 6:
		m.evidence.AddOutcomes(backend, 1+m.random.IntN(9), m.random.IntN(2), int64(m.random.IntN(5000)), 300)
	case 7:
		m.evidence.SetWithdrawn(backend, m.random.IntN(2) == 0, m.random.IntN(9), m.random.IntN(9),
			int64(m.random.IntN(900)))
	case 8:
		m.evidence.AddDemand(proxy, m.random.IntN(2), m.random.IntN(40), 200_000)
		m.evidence.SetCapacity(Capacity{Proven: float64(m.random.IntN(4)), Saturated: float64(m.random.IntN(4))})
	case 9:
		m.evidence.ForgetBackend(backend)
	case 10:
		if m.random.IntN(8) == 0 {
			m.start()
		}
	case 11:
		if m.random.IntN(20) == 0 {
			m.coordinator.Close(m.now)
			m.note("closes")
		}
	case 12:
		m.leases.MarkStopped(m.name, m.now)
	case 13:
		if m.random.IntN(10) == 0 { // restore a snapshot instead of applying the entries
			restored := NewRecord()
			for _, e := range m.log {
				restored.Apply(e)
			}
			m.applied = len(m.log)
			m.coordinator.SnapshotRestored(restored, m.now)
			m.note("takes a snapshot")
		}
	case 14:
		m.deliver(false)
	case 15, 16, 17:
		m.deliver(true)
	case 18, 19, 20, 21:
		for ; m.applied < len(m.log); m.applied++ {
			m.coordinator.EntryApplied(m.log[m.applied], m.now)
		}
	case 22:
		m.coordinator.AddEvidence(m.evidence, m.now)
	case 23:
		m.coordinator.Tick(m.now)
		m.note("owns %d, alone %v, closed %v, edition %d, silent %v", m.coordinator.OwnedProxies(),
			m.coordinator.withoutQuorum, m.coordinator.Closed(),
			m.coordinator.Revision(), m.leases.SilentFor(m.coordinator.incarnation, m.now, 400))
	}
}

// runTranscript runs one sequence of steps, and returns its transcript, followed by the resulting
// record as text.
func runTranscript(seed uint64, steps int) string {
	s := &transcript{random: rand.New(rand.NewPCG(seed, 35)), now: 1000, record: NewRecord(),
		leases: NewLeaseTracker(transcriptTerms)}
	for _, name := range []string{"n0", "n1", "n2"} {
		m := &transcriptMember{transcript: s, name: name}
		s.members = append(s.members, m)
		m.start()
	}
	for range steps {
		s.now += int64(s.random.IntN(30))
		s.members[s.random.IntN(len(s.members))].step()
	}
	return s.text.String() + describeRecord(s.record)
}

// TestSameCallsGiveSameTranscript guards against changes of behavior: for the same sequence of
// calls to the members, their calls to the hosts and the resulting record are the same as in the
// golden files. One sequence is compared in full, the others by their checksums.
func TestSameCallsGiveSameTranscript(t *testing.T) {
	golden.Compare(t, "transcript.txt", runTranscript(1, 500))
	var sums strings.Builder
	for seed := range uint64(40) {
		text := runTranscript(seed, 5000)
		fmt.Fprintf(&sums, "seed %d: %d lines, %x\n", seed, strings.Count(text, "\n"), sha256.Sum256([]byte(text)))
	}
	golden.Compare(t, "transcripts.txt", sums.String())
}
